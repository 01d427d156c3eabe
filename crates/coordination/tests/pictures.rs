//! Hard cases as drawings that a reader has approved: who owns the duty `audit`, in told time, a column a node. A changed line is a
//! changed behaviour. The drawings are in `pictures/`; `POSTPROXY_DRAW=1` writes them anew, to be read before they are kept.

mod sim;

use sim::{Sim, Without};

/// Three founders and one node without a vote, once the duty has an owner; who that is.
fn steady(seed: u64) -> (Sim, usize) {
    let mut sim = Sim::new(3, 1, seed, Without::default());
    sim.quiet = true;
    sim.waits(10_000, "an owner", |sim| sim.owners_of("audit").len() == 1);
    let owner = sim.owners_of("audit")[0];
    (sim, owner)
}

fn run(sim: &mut Sim, ms: u64) {
    (0..ms / 10).for_each(|_| sim.step());
}

fn drawn(sim: &Sim, name: &str) {
    let path = format!("{}/tests/pictures/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let drawn = sim.timeline.draw(50);
    if std::env::var_os("POSTPROXY_DRAW").is_some() {
        std::fs::write(&path, &drawn).expect("it is written");
    }
    let approved = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        drawn == approved,
        "another drawing than the approved one\n{drawn}\n{approved}"
    );
}

/// The owner dies: another has the duty a lease later, and the dead one comes back without it.
#[test]
fn the_owner_is_killed() {
    let (mut sim, owner) = steady(1);
    run(&mut sim, 1000);
    sim.kill(owner);
    run(&mut sim, 5000);
    sim.start(owner);
    run(&mut sim, 3000);
    drawn(&sim, "killed");
}

/// The owner sleeps past its lease: when it wakes it gives up before it does anything, and what it had checked before is refused.
#[test]
fn the_owner_sleeps_past_its_lease() {
    let (mut sim, owner) = steady(2);
    run(&mut sim, 1000);
    sim.nodes[owner].stopped = sim.now + 6000;
    sim.timeline.add_event(sim.now, owner, "stopped for 6 s");
    run(&mut sim, 8000);
    drawn(&sim, "asleep");
}

/// The owner is cut off: it stops by itself before another has the duty.
#[test]
fn the_owner_is_cut_off() {
    let (mut sim, owner) = steady(3);
    run(&mut sim, 1000);
    for other in (0..4).filter(|other| *other != owner) {
        sim.cut.extend([(owner, other), (other, owner)]);
    }
    sim.timeline.add_event(sim.now, owner, "cut off");
    run(&mut sim, 6000);
    for (a, b) in std::mem::take(&mut sim.cut) {
        sim.reconnect(a, b);
    }
    sim.timeline.add_global_event(sim.now, "healed");
    run(&mut sim, 3000);
    drawn(&sim, "cut-off");
}

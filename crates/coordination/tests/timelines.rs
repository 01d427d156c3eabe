//! Approved timelines of failures: which node may act as the owner of the lease `audit`, in virtual
//! time, with a column for each node. A changed line means changed behaviour. The timelines are in
//! `timelines/`; with `POSTPROXY_DRAW=1` the tests rewrite them, and the changes are to be
//! reviewed.

mod simulation;

use simulation::{DisabledSafeguards, Simulation};

/// Runs three voters and one other node until the lease has an owner, and returns the owner.
fn run_until_owned(seed: u64) -> (Simulation, usize) {
    let mut sim = Simulation::new(3, 1, seed, DisabledSafeguards::default());
    sim.without_pauses = true;
    sim.wait_until(10_000, "an owner", |sim| {
        sim.acting_owners("audit").len() == 1
    });
    let owner = sim.acting_owners("audit")[0];
    (sim, owner)
}

fn run(sim: &mut Simulation, ms: u64) {
    (0..ms / 10).for_each(|_| sim.step());
}

fn assert_timeline(sim: &Simulation, name: &str) {
    let path = format!("{}/tests/timelines/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let drawn = sim.timeline.draw(50);
    if std::env::var_os("POSTPROXY_DRAW").is_some() {
        std::fs::write(&path, &drawn).expect("a written file");
    }
    let approved = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        drawn == approved,
        "the timeline differs from the approved one\n{drawn}\n{approved}"
    );
}

/// After the owner's crash another node acquires the lease once it has expired, and the previous
/// owner restarts without it.
#[test]
fn another_node_owns_the_lease_after_the_owners_crash() {
    let (mut sim, owner) = run_until_owned(1);
    run(&mut sim, 1000);
    sim.kill(owner);
    run(&mut sim, 5000);
    sim.start(owner);
    run(&mut sim, 3000);
    assert_timeline(&sim, "killed");
}

/// An owner that is paused past the end of its lease gives it up on resuming and does not act for
/// it again.
#[test]
fn an_owner_paused_past_its_lease_gives_it_up() {
    let (mut sim, owner) = run_until_owned(2);
    run(&mut sim, 1000);
    sim.nodes[owner].paused_until = sim.now + 6000;
    sim.timeline.add_event(sim.now, owner, "stopped for 6 s");
    run(&mut sim, 8000);
    assert_timeline(&sim, "asleep");
}

/// An owner that is cut off from all nodes stops acting before another node owns the lease.
#[test]
fn an_owner_that_is_cut_off_stops_before_another_owns_the_lease() {
    let (mut sim, owner) = run_until_owned(3);
    run(&mut sim, 1000);
    for other in (0..4).filter(|other| *other != owner) {
        sim.cut_links.extend([(owner, other), (other, owner)]);
    }
    sim.timeline.add_event(sim.now, owner, "cut off");
    run(&mut sim, 6000);
    for (a, b) in std::mem::take(&mut sim.cut_links) {
        sim.reconnect(a, b);
    }
    sim.timeline.add_global_event(sim.now, "healed");
    run(&mut sim, 3000);
    assert_timeline(&sim, "cut-off");
}

//! Safety and progress of leases in simulation.

mod harness;

use harness::Simulation;

/// Whatever fails, no fence admits an effect of an earlier owner after one of a later owner, no
/// token has two owners, stored values do not go back, no two nodes have a permit at once, and
/// after the last fault every lease has an owner again.
#[test]
fn one_owner_at_a_time_whatever_fails() {
    let range = std::env::var("POSTPROXY_RUNS").unwrap_or_else(|_| "0..150".into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    let mut rejected = 0;
    let mut owners = 0;
    let mut effects = 0;
    for seed in from.parse::<u64>().expect("a seed")..to.parse().expect("a seed") {
        let mut sim = Simulation::new(3 + seed as usize % 5, seed);
        for _ in 0..5 {
            for _ in 0..150 + sim.draw(500) {
                sim.step();
            }
            sim.inject_fault();
        }
        sim.repair();
        // A lease, its drift, and the duration of a call.
        for _ in 0..600 {
            sim.step();
        }
        sim.assert_all_leases_become_owned(seed);
        owners += sim.assert_effects_are_ordered(seed);
        sim.assert_log_is_consistent(seed);
        effects += sim.admitted_count();
        rejected += sim.rejected_count();
    }
    println!("{effects} effects under {owners} tokens, {rejected} rejected");
    assert!(
        rejected > 20 && owners > 500,
        "{rejected} rejected, {owners} owners: the faults did happen"
    );
}

//! Safety and progress of leases in simulation.

mod harness;

use harness::Simulation;

/// Under random faults, no fence admits an effect of an earlier owner after one of a later owner,
/// no token has two owners, no stored value is replaced by one of an earlier owner, and no two
/// nodes have a permit for a lease at once. After the last fault every lease gets an owner again.
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
        // 6 s: long enough for a lease to expire and be acquired again.
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
        "{rejected} rejected, {owners} owners: too few for the faults to have had an effect"
    );
}

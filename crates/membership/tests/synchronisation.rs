//! Simulated clusters: all nodes learn of suspended workers and of forgotten nodes. The numbers of
//! promises are those of `docs/design/members.md`.

mod simulation;

use postproxy_membership::{ForgetError, Settings, SuspensionChange};
use simulation::{Simulation, address};
use std::collections::BTreeSet;

/// Promise 5: the sides of a partition come to agree, a resume undoes no suspend that its node
/// hadn't received, and a node that joins later learns of all suspensions.
#[test]
fn suspensions_on_both_sides_of_a_partition_converge() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(4, seed, Settings::default());
        assert!(simulation.run_until(30.0, Simulation::all_agree));
        simulation.change_suspension(0, "w-1", SuspensionChange::Suspend);
        let is_suspended = |worker: &'static str, wanted: bool| {
            move |simulation: &Simulation| {
                simulation.live_nodes().all(|(_, _, membership)| {
                    membership
                        .suspensions()
                        .iter()
                        .any(|record| record.worker == worker && record.suspension.is_active())
                        == wanted
                })
            }
        };
        assert!(
            simulation.run_until(10.0, is_suspended("w-1", true)),
            "seed {seed}"
        );
        simulation.partition(&[0, 1], &[2, 3]);
        // One side resumes w-1. The other suspends w-2 and resumes it, unaware of the suspend on
        // the first side.
        simulation.change_suspension(0, "w-1", SuspensionChange::Resume);
        simulation.change_suspension(2, "w-2", SuspensionChange::Suspend);
        simulation.change_suspension(1, "w-2", SuspensionChange::Suspend);
        simulation.run(3.0);
        simulation.change_suspension(3, "w-2", SuspensionChange::Resume);
        simulation.change_suspension(2, "w-3", SuspensionChange::Suspend);
        simulation.run(10.0);
        simulation.heal();
        assert!(
            simulation.run_until(30.0, Simulation::all_agree),
            "seed {seed}"
        );
        simulation.run(10.0);
        let joining = simulation.add("late", address(70));
        simulation.start(joining);
        assert!(
            simulation.run_until(10.0, Simulation::all_agree),
            "seed {seed}"
        );
        simulation.run(10.0);
        let digests: BTreeSet<u64> = simulation
            .live_nodes()
            .map(|(_, _, membership)| membership.suspensions_digest())
            .collect();
        assert_eq!(digests.len(), 1, "seed {seed}: all agree");
        assert!(
            is_suspended("w-1", false)(&simulation)
                && is_suspended("w-2", true)(&simulation)
                && is_suspended("w-3", true)(&simulation),
            "seed {seed}"
        );
    }
}

/// Thousands of suspensions don't fit a datagram. They must not be sent as many datagrams, some of
/// which get lost, and must not be sent again and again.
#[test]
fn thousands_of_suspensions_are_sent_over_streams_and_all_agree() {
    let mut simulation = Simulation::new(6, 21, Settings::default());
    assert!(simulation.run_until(30.0, Simulation::all_agree));
    simulation.partition(&[0, 1], &[2, 3, 4, 5]);
    for n in 0..1500 {
        simulation.change_suspension(
            0,
            &format!("worker-of-one-side-{n}"),
            SuspensionChange::Suspend,
        );
        simulation.change_suspension(
            2,
            &format!("worker-of-the-other-{n}"),
            SuspensionChange::Suspend,
        );
    }
    simulation.run(10.0);
    simulation.heal();
    simulation.faults.loss = 0.05;
    let have_all = |simulation: &Simulation| {
        simulation
            .live_nodes()
            .all(|(_, _, membership)| membership.suspensions().len() == 3000)
    };
    assert!(simulation.run_until(30.0, Simulation::all_agree));
    assert!(
        simulation.run_until(30.0, have_all),
        "{:?}",
        simulation
            .live_nodes()
            .map(|(_, _, membership)| membership.suspensions().len())
            .collect::<Vec<_>>()
    );
    let joining = simulation.add("late", address(70));
    simulation.start(joining);
    assert!(
        simulation.run_until(30.0, Simulation::all_agree) && simulation.run_until(10.0, have_all)
    );
    // Each node is sent all suspensions a few times, not again and again.
    let sent = simulation.stream_messages;
    assert!((5..400).contains(&sent), "{sent}");
    simulation.run(20.0);
    assert_eq!(
        simulation.stream_messages, sent,
        "nodes that agree send nothing"
    );
}

/// Forgets a node at node `n`, as on an operator's request.
fn forget(simulation: &mut Simulation, n: usize, name: &str) -> Result<(), ForgetError> {
    let now = simulation.now;
    let mut out = Vec::new();
    let result = simulation.membership(n).forget(now, name, &mut out);
    simulation.carry_out(n, out);
    result
}

/// A live node can't be forgotten. A forgotten one isn't counted any more, not even by nodes that
/// were cut off when it was forgotten.
#[test]
fn forgotten_node_is_forgotten_by_all_and_may_come_back() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(5, seed, Settings::default());
        assert!(simulation.run_until(30.0, Simulation::all_agree));
        assert_eq!(
            forget(&mut simulation, 0, "n4"),
            Err(ForgetError::StillAlive),
            "it is alive"
        );
        assert_eq!(
            forget(&mut simulation, 0, "n9"),
            Err(ForgetError::UnknownNode)
        );
        simulation.kill(4);
        let counts_as_failed = |simulation: &Simulation| {
            simulation.live_nodes().all(|(_, _, membership)| {
                membership.cluster_size() == 5 && membership.view().failed.contains("n4")
            })
        };
        assert!(
            simulation.run_until(20.0, counts_as_failed),
            "seed {seed}: it is still counted"
        );
        simulation.partition(&[0, 1], &[2, 3]);
        assert_eq!(forget(&mut simulation, 1, "n4"), Ok(()));
        simulation.run(8.0);
        assert_eq!(
            (
                simulation.membership(0).cluster_size(),
                simulation.membership(2).cluster_size()
            ),
            (4, 5),
            "seed {seed}: on one side only"
        );
        simulation.heal();
        let is_forgotten = |simulation: &Simulation| {
            simulation.live_nodes().all(|(_, _, membership)| {
                membership.cluster_size() == 4 && membership.view().left.contains("n4")
            })
        };
        assert!(
            simulation.run_until(30.0, is_forgotten),
            "seed {seed}: {}",
            simulation.describe()
        );
        simulation.start(4);
        assert!(
            simulation.run_until(30.0, Simulation::all_agree),
            "seed {seed}: it is back"
        );
        simulation.kill(4);
        assert!(
            simulation.run_until(20.0, counts_as_failed),
            "seed {seed}: its earlier incarnation was forgotten, not this one"
        );
    }
}

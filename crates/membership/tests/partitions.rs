//! Simulated clusters with cut links: the health that each node sees.

mod simulation;

use postproxy_membership::{ClusterHealth, MembershipEvent, Settings, UnreachablePair};
use simulation::Simulation;

fn voters(count: usize) -> Settings {
    Settings {
        voters: (0..count).map(|n| format!("n{n}")).collect(),
        ..Settings::default()
    }
}

fn is_failure(event: &MembershipEvent) -> bool {
    matches!(event, MembershipEvent::Failed(_))
}

/// Each side sees the health that the partition causes, and a complete cluster once it has healed.
#[test]
fn partition_is_seen_on_both_sides_and_heals() {
    let cases: [(usize, &[usize]); 4] = [(3, &[0]), (5, &[0, 1]), (5, &[0, 1, 2]), (4, &[0, 3])];
    for (count, side) in cases {
        for seed in 0..5 {
            let mut simulation = Simulation::new(count, seed, voters(count));
            assert!(
                simulation.run_until(30.0, |simulation| simulation
                    .all_see_health(&ClusterHealth::Complete)),
                "{count} {seed}"
            );
            let rest: Vec<usize> = (0..count).filter(|n| !side.contains(n)).collect();
            simulation.partition(side, &rest);
            let sees_partition = |simulation: &Simulation| {
                simulation.live_nodes().all(|(n, _, membership)| {
                    let own_side = if side.contains(&n) {
                        side.len()
                    } else {
                        rest.len()
                    };
                    match membership.health() {
                        ClusterHealth::MajorityPartition(away) => {
                            2 * own_side > count && away.len() == count - own_side
                        }
                        ClusterHealth::MinorityPartition(away) => {
                            2 * own_side < count && away.len() == count - own_side
                        }
                        ClusterHealth::NoMajority(away) => {
                            2 * own_side == count && away.len() == count - own_side
                        }
                        _ => false,
                    }
                })
            };
            assert!(
                simulation.run_until(30.0, sees_partition),
                "{count} {side:?} {seed}"
            );
            simulation.run(30.0);
            assert!(
                sees_partition(&simulation),
                "{count} {side:?} {seed}: it lasts"
            );
            simulation.heal();
            let is_complete = simulation.run_until(30.0, |simulation| {
                simulation.all_agree() && simulation.all_see_health(&ClusterHealth::Complete)
            });
            assert!(
                is_complete,
                "{count} {seed}: healed {}",
                simulation.describe()
            );
        }
    }
}

/// A link may be cut in one direction only. A node that is cut off from some nodes, but not from
/// all, isn't declared failed.
#[test]
fn cut_links_are_reported_and_no_node_is_declared_failed() {
    let one_way = |simulation: &mut Simulation| {
        simulation.cut_links.insert((0, 1));
        vec![("n1", "n0")]
    };
    let line = |simulation: &mut Simulation| {
        simulation.partition(&[0], &[2]);
        vec![("n0", "n2"), ("n2", "n0")]
    };
    type Cut = fn(&mut Simulation) -> Vec<(&'static str, &'static str)>;
    for (name, cut) in [("one way", one_way as Cut), ("a line", line as Cut)] {
        let mut simulation = Simulation::new(3, 4, voters(3));
        assert!(simulation.run_until(30.0, |simulation| {
            simulation.all_see_health(&ClusterHealth::Complete)
        }));
        let at = simulation.now;
        let pairs: Vec<UnreachablePair> = cut(&mut simulation)
            .into_iter()
            .map(|(observer, peer)| UnreachablePair {
                observer: observer.to_owned(),
                peer: peer.to_owned(),
            })
            .collect();
        let health = ClusterHealth::PartiallyUnreachable(pairs);
        assert!(
            simulation.run_until(20.0, |simulation| simulation.all_see_health(&health)),
            "{name}"
        );
        simulation.run(60.0);
        assert!(simulation.all_see_health(&health), "{name}: it lasts");
        assert_eq!(simulation.count_events(at, is_failure), 0, "{name}");
        simulation.heal();
        assert!(
            simulation.run_until(20.0, |simulation| simulation
                .all_see_health(&ClusterHealth::Complete)),
            "{name}: healed"
        );
    }
}

/// A node that was cut off when another one withdrew its reachability report must not keep that
/// report for ever. A schedule of processes with seed 30 found this fault.
#[test]
fn reachability_report_expires_if_its_withdrawal_was_lost() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(5, seed, voters(5));
        assert!(simulation.run_until(30.0, |simulation| {
            simulation.all_see_health(&ClusterHealth::Complete)
        }));
        simulation.cut_links.insert((4, 2));
        simulation.cut_links.insert((4, 3));
        simulation.run(4.0);
        // The report is withdrawn while n0 is cut off, before or after n0 is declared failed.
        simulation.partition(&[0], &[1, 2, 3, 4]);
        simulation.cut_links.remove(&(4, 2));
        simulation.cut_links.remove(&(4, 3));
        let wait = 0.5 + simulation.uniform() * 3.0;
        simulation.run(wait);
        simulation.heal();
        let is_complete = simulation.run_until(40.0, |simulation| {
            simulation.all_agree() && simulation.all_see_health(&ClusterHealth::Complete)
        });
        assert!(is_complete, "seed {seed}: {}", simulation.describe());
    }
}

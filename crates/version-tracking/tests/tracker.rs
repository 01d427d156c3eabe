//! Version trackers in a simulated cluster, and a single tracker with given messages.

#[path = "support/simulation.rs"]
mod simulation;

use postproxy_version_tracking::{
    AuditLog, Event, Message, Output, Settings, Source, VersionKind, VersionRecord, VersionTracker,
};
use simulation::{Simulation, version};
use std::collections::BTreeSet;

/// Under faults, an older version never replaces a newer one, no node adopts a version of another
/// generation, a node that is behind catches up from any node with a newer version, and the audit
/// logs are valid.
#[test]
fn a_node_behind_catches_up_despite_faults() {
    let mut caught_up = 0;
    for seed in 0..60 {
        let mut simulation = Simulation::new(3 + seed as usize % 10, seed);
        let count = simulation.nodes.len() as u64;
        // Node 0 polls another discovery.
        simulation.nodes[0].generation = 2;
        simulation.restart(0);
        for _ in 0..8 {
            for _ in 0..simulation.random_below(400) {
                simulation.step();
            }
            let n = 1 + simulation.random_below(count - 1) as usize;
            match simulation.random_below(7) {
                // Node 1 is left out, so that generation 1 keeps a node with a working discovery.
                0 if n > 1 => simulation.nodes[n].discovery_stuck = true,
                1 => {
                    simulation.nodes[n].stopped_until_ms =
                        simulation.now_ms + simulation.random_below(5000)
                }
                2 => simulation.restart(n),
                3 => simulation.nodes[n].partitioned = !simulation.nodes[n].partitioned,
                4 => simulation.loss_percent = simulation.random_below(40),
                5 => simulation.change(2),
                _ => simulation.change(1),
            }
        }
        simulation
            .nodes
            .iter_mut()
            .for_each(|node| (node.partitioned, node.stopped_until_ms) = (false, 0));
        // Nodes that were stopped poll their discovery again.
        for n in 0..simulation.nodes.len() {
            let (generation, stuck) = (
                simulation.nodes[n].generation,
                simulation.nodes[n].discovery_stuck,
            );
            if !stuck {
                simulation.adopt(
                    n,
                    version(generation, simulation.lists[&generation].number),
                    Source::Own,
                );
            }
        }
        simulation.loss_percent = 20;
        for _ in 0..6000 {
            simulation.step();
        }
        assert!(
            simulation.all_caught_up(),
            "seed {seed}: {:?}",
            (0..simulation.nodes.len())
                .map(|n| simulation.number(n))
                .collect::<Vec<_>>()
        );
        assert_eq!(simulation.fork_count, 0, "seed {seed}");
        for node in &simulation.nodes {
            let entries: Vec<_> = node.tracker.audit_log().entries().cloned().collect();
            assert_eq!(AuditLog::verify(&entries), Ok(()), "seed {seed}");
        }
        caught_up += simulation.caught_up_count;
    }
    assert!(caught_up > 30, "{caught_up}");
}

/// Measures how long a node with a stuck discovery acts on an old list after the others have the
/// new one, and how many messages each node sends. Prints a table with `--nocapture`.
#[test]
fn a_node_behind_catches_up_within_two_seconds_at_any_cluster_size_with_few_messages() {
    let mut steady = Vec::new();
    for (count, runs) in [(3, 300), (10, 200), (30, 100), (100, 30), (300, 10)] {
        for loss in [0, 10] {
            let (mut times, mut sent_count) = (Vec::new(), 0);
            for seed in 0..runs {
                let mut simulation = Simulation::new(count, 1000 + seed);
                (
                    simulation.loss_percent,
                    simulation.nodes[count - 1].discovery_stuck,
                ) = (loss, true);
                (0..600).for_each(|_| simulation.step());
                let before = simulation.sent_count;
                (0..400).for_each(|_| simulation.step());
                sent_count += simulation.sent_count - before;
                simulation.change(1);
                let changed = simulation.now_ms;
                while simulation.number(count - 1) < 2 && simulation.now_ms < changed + 20_000 {
                    simulation.step();
                }
                times.push(simulation.now_ms - changed);
            }
            times.sort_unstable();
            let at = |share: usize| times[(times.len() * share / 100).min(times.len() - 1)];
            let each = sent_count as f64 / (2.0 * runs as f64 * count as f64);
            println!(
                "{count} nodes, {loss} % lost: p50 {} ms, p99 {} ms, max {} ms; {each:.2} messages/s per node",
                at(50),
                at(99),
                at(100)
            );
            assert!(at(99) < 2000, "{count} nodes, {loss} %: {times:?}");
            steady.push(each);
        }
    }
    assert!(
        steady.iter().all(|each| (2.0..3.5).contains(each)),
        "{steady:?}"
    );
}

/// A tracker with the peer `b`, and its outputs.
struct TrackerHarness {
    tracker: VersionTracker,
    outputs: Vec<Output>,
}

impl TrackerHarness {
    /// Returns a harness whose tracker acts on this version of the worker list.
    fn with_version(version: VersionRecord) -> Self {
        let settings = Settings {
            gossip_interval_ms: 400,
        };
        let mut harness = Self {
            tracker: VersionTracker::new(settings, 0, 1),
            outputs: Vec::new(),
        };
        harness.tracker.set_peers(BTreeSet::from(["b".to_owned()]));
        assert!(harness.adopt(1, version, Source::Own));
        harness
    }

    fn adopt(&mut self, now_ms: u64, version: VersionRecord, source: Source) -> bool {
        let kind = VersionKind::WorkerList;
        self.tracker
            .adopt(now_ms, kind, version, source, &mut self.outputs)
    }

    fn receive(&mut self, now_ms: u64, message: Message) {
        self.tracker
            .handle_message(now_ms, "b", message, &mut self.outputs);
    }
}

/// An older version never replaces a newer one of the same generation. Numbers of different
/// generations are not compared.
#[test]
fn numbers_are_compared_within_a_generation_only() {
    let mut harness = TrackerHarness::with_version(version(1, 5));
    assert!(
        !harness.adopt(1, version(1, 4), Source::Peer("b".into())),
        "an older version replaced a newer one"
    );
    assert!(
        harness.adopt(2, version(2, 1), Source::Own),
        "another discovery service numbers its lists independently"
    );
    assert!(harness.adopt(3, version(1, 5), Source::Own));
}

/// A fork is reported only once, although the peer repeats its version.
#[test]
fn a_fork_is_reported_once() {
    let mut harness = TrackerHarness::with_version(version(1, 5));
    let fork = VersionRecord {
        digest: 7,
        ..version(1, 5)
    };
    for _ in 0..3 {
        harness.receive(10, Message::Versions(vec![(VersionKind::WorkerList, fork)]));
    }
    let is_fork = |output: &&Output| matches!(output, Output::Event(Event::Fork { .. }));
    assert_eq!(harness.outputs.iter().filter(is_fork).count(), 1);
}

/// A message with too many versions, versions of another generation and a request for another
/// generation have no effect.
#[test]
fn oversized_messages_and_other_generations_are_ignored() {
    let mut harness = TrackerHarness::with_version(version(1, 5));
    harness.outputs.clear();
    let kind = VersionKind::WorkerList;
    harness.receive(11, Message::Versions(vec![(kind, version(1, 9)); 17]));
    harness.receive(11, Message::Versions(vec![(kind, version(3, 9))]));
    harness.receive(
        11,
        Message::Request {
            kind,
            generation: 3,
            newer_than: 0,
        },
    );
    assert_eq!(
        harness.outputs,
        [],
        "too many versions, and another generation"
    );
}

//! Version trackers of a simulated cluster in virtual time: lists that change, nodes whose discovery is stuck or another one, messages
//! that are lost and late, nodes that stop and restart, partitions.

use postproxy_version_tracking::{
    AuditEvent, AuditLog, Event, Message, Output, Settings, Source, VersionKind, VersionRecord,
    VersionTracker, digest,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// A simulated node.
struct Node {
    tracker: VersionTracker,
    /// The generation of the discovery that it polls.
    generation: u64,
    /// Its discovery only ever tells the first list.
    discovery_stuck: bool,
    /// It is stopped until this time.
    stopped_until_ms: u64,
    /// It is cut off from the others.
    partitioned: bool,
    incarnation: u64,
    /// The highest number that it has acted on in this incarnation.
    highest_number: u64,
}

/// What a node sends to another.
enum Payload {
    Message(Message),
    /// The whole content of this version.
    Content(VersionRecord),
}

/// A message under way.
struct InFlight {
    arrives_at_ms: u64,
    from: usize,
    to: usize,
    payload: Payload,
}

/// The list of one generation.
#[derive(Clone, Copy)]
struct List {
    number: u64,
}

/// A simulated cluster.
struct Simulation {
    now_ms: u64,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    in_flight: Vec<InFlight>,
    /// How many messages of a hundred are lost.
    loss_percent: u64,
    /// The list of each generation.
    lists: BTreeMap<u64, List>,
    sent_count: u64,
    fork_count: usize,
    caught_up_count: usize,
}

fn version(generation: u64, number: u64) -> VersionRecord {
    VersionRecord {
        generation,
        number,
        digest: digest([&generation.to_le_bytes()[..], &number.to_le_bytes()]),
    }
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        let node = |n: usize| Node {
            tracker: VersionTracker::new(
                Settings {
                    gossip_interval_ms: 400,
                },
                1000,
                seed << 16 | n as u64,
            ),
            generation: 1,
            discovery_stuck: false,
            stopped_until_ms: 0,
            partitioned: false,
            incarnation: 0,
            highest_number: 0,
        };
        let mut simulation = Self {
            now_ms: 1000,
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: (0..count).map(node).collect(),
            in_flight: Vec::new(),
            loss_percent: 0,
            lists: [(1, List { number: 1 }), (2, List { number: 1 })].into(),
            sent_count: 0,
            fork_count: 0,
            caught_up_count: 0,
        };
        (0..count).for_each(|n| simulation.restart(n));
        simulation
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn restart(&mut self, n: usize) {
        let others = (0..self.nodes.len())
            .filter(|other| *other != n)
            .map(|other| format!("{other}"))
            .collect();
        let (now, generation) = (self.now_ms, self.nodes[n].generation);
        let node = &mut self.nodes[n];
        node.incarnation += 1;
        node.tracker = VersionTracker::new(
            Settings {
                gossip_interval_ms: 400,
            },
            now,
            (n as u64) << 32 | node.incarnation,
        );
        node.tracker.set_peers(others);
        node.highest_number = 0;
        // A stuck discovery only tells its first list.
        let number = if node.discovery_stuck {
            1
        } else {
            self.lists[&generation].number
        };
        self.adopt(n, version(generation, number), Source::Own);
    }

    fn adopt(&mut self, n: usize, version: VersionRecord, source: Source) {
        let (now, mut out) = (self.now_ms, Vec::new());
        let node = &mut self.nodes[n];
        if node
            .tracker
            .adopt(now, VersionKind::WorkerList, version, source, &mut out)
        {
            assert!(
                version.number >= node.highest_number,
                "node {n}: {} after {}",
                version.number,
                node.highest_number
            );
            node.highest_number = version.number;
        }
        self.handle_outputs(n, out);
    }

    fn handle_outputs(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    self.sent_count += 1;
                    let to: usize = to.parse().expect("a node");
                    let lost = self.random_below(100) < self.loss_percent
                        || self.nodes[n].partitioned
                        || self.nodes[to].partitioned;
                    let at = self.now_ms
                        + 1
                        + self.random_below(5)
                        + if self.random_below(50) == 0 {
                            self.random_below(60_000)
                        } else {
                            0
                        };
                    if !lost {
                        self.in_flight.push(InFlight {
                            arrives_at_ms: at,
                            from: n,
                            to,
                            payload: Payload::Message(message),
                        });
                    }
                }
                Output::SendContent {
                    to,
                    kind: VersionKind::WorkerList,
                } => {
                    let current = self.nodes[n].tracker.versions()[&VersionKind::WorkerList];
                    let at = self.now_ms + 1 + self.random_below(20);
                    self.in_flight.push(InFlight {
                        arrives_at_ms: at,
                        from: n,
                        to: to.parse().expect("a node"),
                        payload: Payload::Content(current),
                    });
                }
                Output::SendContent { .. } => {}
                Output::Event(Event::Fork { .. }) => self.fork_count += 1,
                Output::Event(Event::CaughtUp { .. }) => self.caught_up_count += 1,
                Output::Event(Event::Behind { .. }) => {}
            }
        }
    }

    fn change(&mut self, generation: u64) {
        let now = self.now_ms;
        let list = self.lists.get_mut(&generation).expect("a list");
        list.number += 1;
        let number = list.number;
        for n in 0..self.nodes.len() {
            let node = &self.nodes[n];
            if node.generation == generation
                && !node.discovery_stuck
                && node.stopped_until_ms <= now
            {
                self.adopt(n, version(generation, number), Source::Own);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += 5;
        let now = self.now_ms;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.arrives_at_ms <= now);
        self.in_flight = rest;
        for InFlight {
            from, to, payload, ..
        } in due
        {
            if self.nodes[to].stopped_until_ms > now {
                continue;
            }
            match payload {
                Payload::Message(message) => {
                    let mut out = Vec::new();
                    self.nodes[to].tracker.handle_message(
                        now,
                        &format!("{from}"),
                        message,
                        &mut out,
                    );
                    self.handle_outputs(to, out);
                }
                // As in the node: content of another generation, or none newer, is dropped.
                Payload::Content(content) => {
                    let own = self.nodes[to].tracker.versions()[&VersionKind::WorkerList];
                    if content.generation == own.generation && content.number > own.number {
                        self.adopt(to, content, Source::Peer(format!("{from}")));
                    }
                }
            }
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].stopped_until_ms <= now {
                let mut out = Vec::new();
                self.nodes[n].tracker.handle_timer(now, &mut out);
                self.handle_outputs(n, out);
            }
        }
    }

    fn number(&self, n: usize) -> u64 {
        self.nodes[n].tracker.versions()[&VersionKind::WorkerList].number
    }

    fn all_caught_up(&self) -> bool {
        (0..self.nodes.len())
            .all(|n| self.number(n) == self.lists[&self.nodes[n].generation].number)
    }
}

/// An older version never replaces a newer one, none of another generation is adopted, a node that is behind catches up from any node that
/// has a newer version, and the audit logs chain.
#[test]
fn a_node_behind_catches_up_whatever_fails() {
    let mut caught_up = 0;
    for seed in 0..60 {
        let mut simulation = Simulation::new(3 + seed as usize % 10, seed);
        let count = simulation.nodes.len() as u64;
        // One polls another discovery.
        simulation.nodes[0].generation = 2;
        simulation.restart(0);
        for _ in 0..8 {
            for _ in 0..simulation.random_below(400) {
                simulation.step();
            }
            let n = 1 + simulation.random_below(count - 1) as usize;
            match simulation.random_below(7) {
                // At least one node of the generation has a working discovery.
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
        // A node that was stopped polls its own discovery again.
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

/// How long a node with a stuck discovery acts on an old list after the others have the new one, and how many messages a node sends; prints
/// a table with `--nocapture`.
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
                "{count} nodes, {loss} % lost: p50 {} ms, p99 {} ms, max {} ms; {each:.2} messages a second a node",
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

/// A fork is reported once, and a message with too many versions is dropped.
#[test]
fn a_fork_is_reported_once_and_oversized_messages_are_dropped() {
    let mut tracker = VersionTracker::new(
        Settings {
            gossip_interval_ms: 400,
        },
        0,
        1,
    );
    tracker.set_peers(BTreeSet::from(["b".to_owned()]));
    let mut out = Vec::new();
    assert!(tracker.adopt(
        1,
        VersionKind::WorkerList,
        version(1, 5),
        Source::Own,
        &mut out
    ));
    assert!(
        !tracker.adopt(
            1,
            VersionKind::WorkerList,
            version(1, 4),
            Source::Peer("b".into()),
            &mut out
        ),
        "older never replaces newer"
    );
    assert!(
        tracker.adopt(
            2,
            VersionKind::WorkerList,
            version(2, 1),
            Source::Own,
            &mut out
        ),
        "another discovery numbers its lists independently"
    );
    assert!(tracker.adopt(
        3,
        VersionKind::WorkerList,
        version(1, 5),
        Source::Own,
        &mut out
    ));
    let other = VersionRecord {
        digest: 7,
        ..version(1, 5)
    };
    for _ in 0..3 {
        tracker.handle_message(
            10,
            "b",
            Message::Versions(vec![(VersionKind::WorkerList, other)]),
            &mut out,
        );
    }
    let forks = out
        .iter()
        .filter(|output| matches!(output, Output::Event(Event::Fork { .. })))
        .count();
    assert_eq!(forks, 1);
    out.clear();
    tracker.handle_message(
        11,
        "b",
        Message::Versions(vec![(VersionKind::WorkerList, version(1, 9)); 17]),
        &mut out,
    );
    tracker.handle_message(
        11,
        "b",
        Message::Versions(vec![(VersionKind::WorkerList, version(3, 9))]),
        &mut out,
    );
    tracker.handle_message(
        11,
        "b",
        Message::Request {
            kind: VersionKind::WorkerList,
            generation: 3,
            newer_than: 0,
        },
        &mut out,
    );
    assert_eq!(out, [], "too many, another generation");
}

/// A log that is changed anywhere no longer chains, and its length is bounded.
#[test]
fn a_change_anywhere_in_the_log_is_detected_and_old_entries_are_compacted() {
    let mut log = AuditLog::new(5, 8);
    for n in 1..=40u64 {
        log.count_actions(n);
        log.record_adoption(5 + n, VersionKind::WorkerList, version(1, n), Source::Own);
        let entries: Vec<_> = log.entries().cloned().collect();
        assert!(
            entries.len() <= 8 && AuditLog::verify(&entries).is_ok(),
            "{n}"
        );
        let action_count: u64 = entries.iter().map(|entry| entry.action_count).sum();
        assert_eq!(
            action_count,
            (1..=n).sum::<u64>(),
            "a compacted entry still counts its actions"
        );
    }
    let entries: Vec<_> = log.entries().cloned().collect();
    assert!(
        matches!(entries[0].event, AuditEvent::Compacted(34)),
        "{:?}",
        entries[0]
    );
    // The content of the first entry is gone; its hash and all later entries can't be changed undetected.
    for at in 1..entries.len() {
        for change in 0..5 {
            let mut bad = entries.clone();
            match change {
                0 => bad[at].action_count += 1,
                1 => bad[at].at_ms ^= 1,
                2 => {
                    bad[at].event =
                        AuditEvent::Adopted(VersionKind::WorkerList, version(1, 99), Source::Own)
                }
                3 => bad[at].hash[31] ^= 1,
                _ => drop(bad.remove(at)),
            }
            let last = at + 1 == entries.len() && change == 4;
            assert!(last || AuditLog::verify(&bad).is_err(), "{at} {change}");
        }
    }
}

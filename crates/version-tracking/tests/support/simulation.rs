//! A simulated cluster in virtual time, for tests of version trackers. Its faults are nodes whose
//! discovery is stuck, messages that are lost or delayed, nodes that stop or restart, and
//! partitions. The worker lists change, and nodes may poll different discovery services.

use postproxy_version_tracking::{
    Event, Message, Output, Settings, Source, VersionKind, VersionRecord, VersionTracker, digest,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// A simulated node.
pub struct Node {
    pub tracker: VersionTracker,
    /// The generation of the discovery service that the node polls.
    pub generation: u64,
    /// Whether the discovery service only ever returns the first list.
    pub discovery_stuck: bool,
    /// The node is stopped until this time.
    pub stopped_until_ms: u64,
    /// Whether the node can't reach the others.
    pub partitioned: bool,
    pub incarnation: u64,
    /// The highest version number that the node has acted on in this incarnation.
    pub highest_number: u64,
}

/// What a node sends to another.
pub enum Payload {
    Message(Message),
    /// The complete content of this version.
    Content(VersionRecord),
}

/// A message in transit.
pub struct InFlight {
    pub arrives_at_ms: u64,
    pub from: usize,
    pub to: usize,
    pub payload: Payload,
}

/// The current list of one generation.
#[derive(Clone, Copy)]
pub struct List {
    pub number: u64,
}

/// A simulated cluster.
pub struct Simulation {
    pub now_ms: u64,
    pub rng: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub in_flight: Vec<InFlight>,
    /// Share of the messages that are lost, in percent.
    pub loss_percent: u64,
    /// The current list of each generation.
    pub lists: BTreeMap<u64, List>,
    pub sent_count: u64,
    pub fork_count: usize,
    pub caught_up_count: usize,
}

pub fn version(generation: u64, number: u64) -> VersionRecord {
    VersionRecord {
        generation,
        number,
        digest: digest([&generation.to_le_bytes()[..], &number.to_le_bytes()]),
    }
}

impl Simulation {
    pub fn new(count: usize, seed: u64) -> Self {
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

    pub fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    pub fn restart(&mut self, n: usize) {
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
        // A stuck discovery service only returns its first list.
        let number = if node.discovery_stuck {
            1
        } else {
            self.lists[&generation].number
        };
        self.adopt(n, version(generation, number), Source::Own);
    }

    pub fn adopt(&mut self, n: usize, version: VersionRecord, source: Source) {
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

    pub fn handle_outputs(&mut self, n: usize, outputs: Vec<Output>) {
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

    pub fn change(&mut self, generation: u64) {
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

    pub fn step(&mut self) {
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
                // As in the program, content is dropped unless it is newer and of the same
                // generation.
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

    pub fn number(&self, n: usize) -> u64 {
        self.nodes[n].tracker.versions()[&VersionKind::WorkerList].number
    }

    pub fn all_caught_up(&self) -> bool {
        (0..self.nodes.len())
            .all(|n| self.number(n) == self.lists[&self.nodes[n].generation].number)
    }
}

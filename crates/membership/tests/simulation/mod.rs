//! Simulation of a cluster: its members and the network between them, with simulated time and
//! seeded random numbers. It runs the same state machine as a node.

#![allow(dead_code)]

use postproxy_membership::{
    ClusterHealth, Membership, MembershipEvent, Output, Settings, SuspensionChange,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// Bytes of the headers of UDP and IPv4 together.
const UDP_AND_IP_HEADER_BYTES: u64 = 28;

/// Faults of the network.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share of datagrams lost.
    pub loss: f64,
    /// Share of datagrams delivered twice.
    pub duplication: f64,
    /// Longest delay beyond the shortest one of half a millisecond, in seconds.
    pub max_delay: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            max_delay: 0.002,
        }
    }
}

/// A simulated node.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    /// `None` while its process is dead.
    pub membership: Option<Membership>,
    /// Time until which the process is stopped.
    pub paused_until: f64,
    /// Speed of its clock relative to the simulation's.
    pub clock_rate: f64,
    /// Events with the time at which they occurred.
    pub events: Vec<(f64, MembershipEvent)>,
    /// Datagrams that wait for a stopped process.
    inbox: Vec<Vec<u8>>,
    /// Sequence number of the latest timer; earlier ones are ignored.
    timer_number: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent, with the headers of UDP and IP.
    pub bytes_sent: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Datagram(usize, Vec<u8>),
    StreamMessage(usize, Vec<u8>),
    Timer(usize, u64),
}

/// The simulated cluster.
pub struct Simulation {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Links on which all datagrams are lost: from the first node to the second.
    pub cut_links: BTreeSet<(usize, usize)>,
    by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    events_queued: u64,
    rng: Pcg64Mcg,
    pub settings: Settings,
    /// Number of datagrams that a stopped process can buffer; further ones are lost.
    pub inbox_capacity: usize,
    /// Messages sent over streams so far.
    pub stream_messages: u64,
}

/// Returns the address of node `n`.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7000))
}

impl Simulation {
    /// Starts this number of nodes at once, with the first three as seeds.
    pub fn new(count: usize, seed: u64, settings: Settings) -> Self {
        let mut simulation = Self::empty(seed, settings);
        for n in 0..count {
            simulation.add(&format!("n{n}"), address(n));
        }
        for n in 0..count {
            simulation.start(n);
        }
        simulation
    }

    /// Creates a simulation without nodes.
    pub fn empty(seed: u64, mut settings: Settings) -> Self {
        settings.cluster = "riga".into();
        if settings.seeds.is_empty() {
            settings.seeds = (0..3).map(address).collect();
        }
        Self {
            now: 1000.0,
            nodes: Vec::new(),
            faults: Faults::default(),
            cut_links: BTreeSet::new(),
            by_address: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events_queued: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            settings,
            inbox_capacity: 64,
            stream_messages: 0,
        }
    }

    /// Adds a node that isn't started. Returns its number.
    pub fn add(&mut self, name: &str, address: SocketAddr) -> usize {
        let n = self.nodes.len();
        let node = Node {
            name: name.to_owned(),
            address,
            membership: None,
            paused_until: 0.0,
            clock_rate: 1.0,
            events: Vec::new(),
            inbox: Vec::new(),
            timer_number: 0,
            datagrams_sent: 0,
            bytes_sent: 0,
        };
        self.nodes.push(node);
        self.by_address.insert(address, n);
        n
    }

    /// Starts a node's process; its clock shows the simulation's time.
    pub fn start(&mut self, n: usize) {
        self.start_at(n, (self.now * 1000.0) as u64);
    }

    /// Starts a node's process with a clock that shows this Unix time in milliseconds.
    pub fn start_at(&mut self, n: usize, clock_ms: u64) {
        let seed = self.rng.next_u64();
        let node = &mut self.nodes[n];
        let now = self.now * node.clock_rate;
        node.membership = Some(Membership::new(
            self.settings.clone(),
            &node.name,
            node.address,
            clock_ms,
            seed,
            now,
        ));
        node.paused_until = 0.0;
        node.inbox.clear();
        self.set_timer(n);
    }

    /// Ends a node's process without notice.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n].membership = None;
        self.nodes[n].timer_number += 1;
    }

    /// Has a node leave the cluster, and ends its process.
    pub fn leave(&mut self, n: usize) {
        let now = self.now * self.nodes[n].clock_rate;
        let mut out = Vec::new();
        if let Some(membership) = &mut self.nodes[n].membership {
            membership.leave(now, &mut out);
        }
        self.carry_out(n, out);
        self.kill(n);
    }

    /// Stops a node's process for this time.
    pub fn pause(&mut self, n: usize, seconds: f64) {
        self.nodes[n].paused_until = self.now + seconds;
    }

    /// Returns the membership of a live node.
    pub fn membership(&mut self, n: usize) -> &mut Membership {
        self.nodes[n].membership.as_mut().expect("a live node")
    }

    /// Cuts all links between two sets of nodes, in both directions.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for &a in one {
            for &b in other {
                self.cut_links.insert((a, b));
                self.cut_links.insert((b, a));
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Suspends or resumes a worker at a node.
    pub fn change_suspension(&mut self, n: usize, worker: &str, change: SuspensionChange) {
        let now = self.now * self.nodes[n].clock_rate;
        let mut out = Vec::new();
        self.membership(n)
            .change_suspension(now, worker, change, &mut out)
            .expect("there is room");
        self.carry_out(n, out);
    }

    /// Returns a random number from 0 inclusive to 1 exclusive.
    pub fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a random number below a limit.
    pub fn random_below(&mut self, below: usize) -> usize {
        (self.rng.next_u64() % below as u64) as usize
    }

    fn schedule(&mut self, at: f64, event: SimulationEvent) {
        self.events_queued += 1;
        self.queue.push(Reverse((
            (at * 1e6).ceil() as u64 + 1,
            self.events_queued,
            event,
        )));
    }

    /// Carries out what a call of a node's [`Membership`] returned.
    pub fn carry_out(&mut self, n: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Event(event) => {
                    let now = self.now;
                    self.nodes[n].events.push((now, event));
                }
                // Streams aren't subject to random loss, since real ones retransmit. A message is
                // lost only if the link is cut, or if the receiver is stopped or dead when it
                // arrives.
                Output::SendOverStream { to, message } => {
                    self.stream_messages += 1;
                    let Some(&to) = self.by_address.get(&to.address) else {
                        continue;
                    };
                    if !self.cut_links.contains(&(n, to)) {
                        let delay = 0.001 + self.uniform() * self.faults.max_delay;
                        self.schedule(
                            self.now + delay,
                            SimulationEvent::StreamMessage(to, message),
                        );
                    }
                }
                Output::SendDatagram { to, datagram } => {
                    let node = &mut self.nodes[n];
                    node.datagrams_sent += 1;
                    node.bytes_sent += datagram.len() as u64 + UDP_AND_IP_HEADER_BYTES;
                    let Some(&to) = self.by_address.get(&to) else {
                        continue;
                    };
                    let copies = if self.uniform() < self.faults.duplication {
                        2
                    } else {
                        1
                    };
                    for _ in 0..copies {
                        let lost =
                            self.uniform() < self.faults.loss || self.cut_links.contains(&(n, to));
                        let delay = 0.0005 + self.uniform() * self.faults.max_delay;
                        if !lost {
                            self.schedule(
                                self.now + delay,
                                SimulationEvent::Datagram(to, datagram.clone()),
                            );
                        }
                    }
                }
            }
        }
        self.set_timer(n);
    }

    /// Replaces the one timer of a node.
    fn set_timer(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.timer_number += 1;
        let number = node.timer_number;
        let paused_until = node.paused_until;
        let clock_rate = node.clock_rate;
        if let Some(at) = node.membership.as_ref().and_then(Membership::next_timeout) {
            self.schedule(
                (at / clock_rate).max(paused_until).max(self.now),
                SimulationEvent::Timer(n, number),
            );
        }
    }

    /// Runs the simulation for this number of seconds.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        self.run_until_time(until, |_| false);
        self.now = until;
    }

    /// Runs the simulation until a condition holds, for this number of seconds at most. Returns
    /// whether it held.
    pub fn run_until(&mut self, seconds: f64, holds: impl Fn(&Simulation) -> bool) -> bool {
        let until = self.now + seconds;
        holds(self) || self.run_until_time(until, holds)
    }

    fn run_until_time(&mut self, until: f64, holds: impl Fn(&Simulation) -> bool) -> bool {
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at as f64 / 1e6 > until {
                return false;
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                return false;
            };
            self.now = self.now.max(at as f64 / 1e6);
            let Some((n, out)) = self.handle_event(event) else {
                continue;
            };
            let has_events = out.iter().any(|output| matches!(output, Output::Event(_)));
            self.carry_out(n, out);
            if has_events && holds(self) {
                return true;
            }
        }
        holds(self)
    }

    /// Handles an event. Returns the node that has handled it, and its output; `None` if no node
    /// has.
    fn handle_event(&mut self, event: SimulationEvent) -> Option<(usize, Vec<Output>)> {
        let mut out = Vec::new();
        match event {
            SimulationEvent::Timer(n, number) => {
                let node = &mut self.nodes[n];
                if number != node.timer_number {
                    return None;
                }
                let now = self.now * node.clock_rate;
                let buffered = std::mem::take(&mut node.inbox);
                let membership = node.membership.as_mut()?;
                // As in the event loop of a node, datagrams are handled before timers.
                for datagram in &buffered {
                    membership.handle_datagram(now, datagram, &mut out);
                }
                membership.handle_timeout(now, &mut out);
                Some((n, out))
            }
            SimulationEvent::StreamMessage(n, bytes) => {
                let node = &mut self.nodes[n];
                if self.now < node.paused_until {
                    return None;
                }
                let now = self.now * node.clock_rate;
                let membership = node.membership.as_mut()?;
                membership.handle_stream_message(now, &bytes, &mut out);
                Some((n, out))
            }
            SimulationEvent::Datagram(n, bytes) => {
                let node = &mut self.nodes[n];
                let now = self.now * node.clock_rate;
                let membership = node.membership.as_mut()?;
                if self.now < node.paused_until {
                    if node.inbox.len() < self.inbox_capacity {
                        node.inbox.push(bytes);
                    }
                    return None;
                }
                membership.handle_datagram(now, &bytes, &mut out);
                Some((n, out))
            }
        }
    }

    /// Returns the nodes whose processes are alive, with their numbers.
    pub fn live_nodes(&self) -> impl Iterator<Item = (usize, &Node, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(n, node)| Some((n, node, node.membership.as_ref()?)))
    }

    /// Returns whether the live nodes know each other as members, and no other node.
    pub fn all_agree(&self) -> bool {
        let names: BTreeSet<&str> = self
            .live_nodes()
            .map(|(_, node, _)| node.name.as_str())
            .collect();
        self.live_nodes().all(|(_, node, membership)| {
            let known: BTreeSet<&str> = known_members(membership)
                .chain([node.name.as_str()])
                .collect();
            membership.is_member() && known == names
        })
    }

    /// Describes what each live node knows, for the message of a failed assertion.
    pub fn describe(&self) -> String {
        let describe = |(_, node, membership): (usize, &Node, &Membership)| {
            format!(
                "{} {} {:?}\n",
                node.name,
                membership.is_member(),
                membership.view()
            )
        };
        self.live_nodes().map(describe).collect()
    }

    /// Returns whether all live nodes see this health of the cluster.
    pub fn all_see_health(&self, health: &ClusterHealth) -> bool {
        self.live_nodes()
            .all(|(_, _, membership)| membership.health() == health)
    }

    /// Returns how many matching events all nodes have reported since a time.
    pub fn count_events(&self, since: f64, matches: impl Fn(&MembershipEvent) -> bool) -> usize {
        let all = self.nodes.iter().flat_map(|node| &node.events);
        all.filter(|(at, event)| *at > since && matches(event))
            .count()
    }
}

/// Returns the names of the peers that a node knows as members.
pub fn known_members(membership: &Membership) -> impl Iterator<Item = &str> {
    use postproxy_membership::MemberState;
    membership
        .peers()
        .filter(|(_, state)| matches!(state, MemberState::Alive | MemberState::Suspect))
        .map(|(identity, _)| &*identity.name)
}

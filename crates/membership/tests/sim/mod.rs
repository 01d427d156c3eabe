//! Many members and the network between them, in told time from a seed: the same code as in a node.

#![allow(dead_code)]

use postproxy_membership::{ClusterHealth, Membership, MembershipEvent, Output, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// What the network does to a datagram.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share lost.
    pub loss: f64,
    /// Share sent twice.
    pub twice: f64,
    /// The longest way, in seconds; the shortest is half a millisecond.
    pub late: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            twice: 0.0,
            late: 0.002,
        }
    }
}

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub members: Option<Membership>,
    /// Until when the process is stopped.
    pub paused: f64,
    /// What its clock shows is the simulation's time by this.
    pub rate: f64,
    pub news: Vec<(f64, MembershipEvent)>,
    /// What waits for a process that is stopped.
    inbox: Vec<Vec<u8>>,
    wakes: u64,
    pub sent: u64,
    pub bytes: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrive(usize, Vec<u8>),
    GossipState(usize, Vec<u8>),
    Wake(usize, u64),
}

pub struct Sim {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Datagrams from the first to the second are lost.
    pub cut: BTreeSet<(usize, usize)>,
    by_address: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    count: u64,
    draws: Pcg64Mcg,
    pub settings: Settings,
    /// So many datagrams wait for a process that is stopped; what comes then is lost.
    pub inbox: usize,
    starts: u64,
    /// Words over streams so far.
    pub told: u64,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250 + 1) as u8], 7000))
}

impl Sim {
    /// So many nodes, all started at once, with the first three as seeds.
    pub fn new(count: usize, seed: u64, settings: Settings) -> Self {
        let mut sim = Self::empty(seed, settings);
        for n in 0..count {
            sim.add(&format!("n{n}"), address(n));
        }
        for n in 0..count {
            sim.start(n);
        }
        sim
    }

    pub fn empty(seed: u64, mut settings: Settings) -> Self {
        settings.cluster = "riga".into();
        if settings.seeds.is_empty() {
            settings.seeds = (0..3).map(address).collect();
        }
        Self {
            now: 1000.0,
            nodes: Vec::new(),
            faults: Faults::default(),
            cut: BTreeSet::new(),
            by_address: BTreeMap::new(),
            queue: BinaryHeap::new(),
            count: 0,
            draws: Pcg64Mcg::seed_from_u64(seed),
            settings,
            inbox: 64,
            starts: 0,
            told: 0,
        }
    }

    pub fn add(&mut self, name: &str, address: SocketAddr) -> usize {
        let n = self.nodes.len();
        let (news, inbox) = (Vec::new(), Vec::new());
        let name = name.to_owned();
        let node = Node {
            name,
            address,
            members: None,
            paused: 0.0,
            rate: 1.0,
            news,
            inbox,
            wakes: 0,
            sent: 0,
            bytes: 0,
        };
        self.nodes.push(node);
        self.by_address.insert(address, n);
        n
    }

    /// Starts a node in a new life; its clock shows the simulation's time.
    pub fn start(&mut self, n: usize) {
        self.start_at(n, (self.now * 1000.0) as u64);
    }

    /// The same with a clock that shows so many ms.
    pub fn start_at(&mut self, n: usize, clock: u64) {
        self.starts += 1;
        let seed = self.draws.next_u64();
        let node = &mut self.nodes[n];
        let now = self.now * node.rate;
        node.members = Some(Membership::new(
            self.settings.clone(),
            &node.name,
            node.address,
            clock,
            seed,
            now,
        ));
        node.paused = 0.0;
        node.inbox.clear();
        self.wake(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].members = None;
        self.nodes[n].wakes += 1;
    }

    pub fn leave(&mut self, n: usize) {
        let now = self.now * self.nodes[n].rate;
        let mut out = Vec::new();
        if let Some(members) = &mut self.nodes[n].members {
            members.leave(now, &mut out);
        }
        self.carry(n, out);
        self.kill(n);
    }

    pub fn pause(&mut self, n: usize, seconds: f64) {
        self.nodes[n].paused = self.now + seconds;
    }

    pub fn members(&mut self, n: usize) -> &mut Membership {
        self.nodes[n].members.as_mut().expect("it lives")
    }

    /// Cuts both ways between two sets.
    pub fn part(&mut self, a: &[usize], b: &[usize]) {
        for &x in a {
            for &y in b {
                self.cut.insert((x, y));
                self.cut.insert((y, x));
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn employ(&mut self, n: usize, worker: &str, again: bool) {
        let now = self.now * self.nodes[n].rate;
        let mut out = Vec::new();
        self.members(n)
            .employ(now, worker, again, &mut out)
            .expect("there is room");
        self.carry(n, out);
    }

    pub fn uniform(&mut self) -> f64 {
        (self.draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn draw(&mut self, below: usize) -> usize {
        (self.draws.next_u64() % below as u64) as usize
    }

    fn push(&mut self, at: f64, what: What) {
        self.count += 1;
        self.queue
            .push(Reverse(((at * 1e6).ceil() as u64 + 1, self.count, what)));
    }

    /// Does what a call to a node's machine has given.
    pub fn deliver(&mut self, n: usize, out: Vec<Output>) {
        self.carry(n, out);
    }

    fn carry(&mut self, n: usize, out: Vec<Output>) {
        for out in out {
            match out {
                Output::MembershipEvent(news) => {
                    let now = self.now;
                    self.nodes[n].news.push((now, news));
                }
                // A stream goes on after a cut, or is dropped with its node: both come to a way without loss here.
                Output::Tell(to, bytes) => {
                    self.told += 1;
                    let Some(&to) = self.by_address.get(&to.address) else {
                        continue;
                    };
                    if !self.cut.contains(&(n, to)) {
                        let way = 0.001 + self.uniform() * self.faults.late;
                        self.push(self.now + way, What::GossipState(to, bytes));
                    }
                }
                Output::Send(to, bytes) => {
                    let node = &mut self.nodes[n];
                    node.sent += 1;
                    node.bytes += bytes.len() as u64 + 28; // with the heads of UDP and IP
                    let Some(&to) = self.by_address.get(&to) else {
                        continue;
                    };
                    let times = if self.uniform() < self.faults.twice {
                        2
                    } else {
                        1
                    };
                    for _ in 0..times {
                        let lost = self.uniform() < self.faults.loss || self.cut.contains(&(n, to));
                        let way = 0.0005 + self.uniform() * self.faults.late;
                        if !lost {
                            self.push(self.now + way, What::Arrive(to, bytes.clone()));
                        }
                    }
                }
            }
        }
        self.wake(n);
    }

    /// Sets the one timer of a node anew.
    fn wake(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.wakes += 1;
        let (number, paused, rate) = (node.wakes, node.paused, node.rate);
        if let Some(at) = node.members.as_ref().and_then(Membership::next) {
            self.push((at / rate).max(paused).max(self.now), What::Wake(n, number));
        }
    }

    /// Goes on for so many seconds.
    pub fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        self.run_until(until, |_| false);
        self.now = until;
    }

    /// Goes on until a condition holds, for so many seconds at most; whether it does.
    pub fn until(&mut self, seconds: f64, holds: impl Fn(&Sim) -> bool) -> bool {
        let until = self.now + seconds;
        holds(self) || self.run_until(until, holds)
    }

    fn run_until(&mut self, until: f64, holds: impl Fn(&Sim) -> bool) -> bool {
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at as f64 / 1e6 > until {
                return false;
            }
            let Some(Reverse((at, _, what))) = self.queue.pop() else {
                return false;
            };
            self.now = self.now.max(at as f64 / 1e6);
            let mut out = Vec::new();
            let n = match what {
                What::Wake(n, number) => {
                    let node = &mut self.nodes[n];
                    if number != node.wakes {
                        continue;
                    }
                    let now = self.now * node.rate;
                    let waiting = std::mem::take(&mut node.inbox);
                    let Some(members) = &mut node.members else {
                        continue;
                    };
                    // As the loop does: what has come is read before timers are looked at.
                    waiting
                        .iter()
                        .for_each(|bytes| members.receive(now, bytes, &mut out));
                    members.due(now, &mut out);
                    n
                }
                What::GossipState(n, bytes) => {
                    let node = &mut self.nodes[n];
                    let now = self.now * node.rate;
                    let Some(members) = node.members.as_mut().filter(|_| self.now >= node.paused)
                    else {
                        continue;
                    };
                    members.told(now, &bytes, &mut out);
                    n
                }
                What::Arrive(n, bytes) => {
                    let node = &mut self.nodes[n];
                    let now = self.now * node.rate;
                    let Some(members) = &mut node.members else {
                        continue;
                    };
                    if self.now < node.paused {
                        if node.inbox.len() < self.inbox {
                            node.inbox.push(bytes);
                        }
                        continue;
                    }
                    members.receive(now, &bytes, &mut out);
                    n
                }
            };
            let news = out
                .iter()
                .any(|out| matches!(out, Output::MembershipEvent(_)));
            self.carry(n, out);
            if news && holds(self) {
                return true;
            }
        }
        holds(self)
    }

    pub fn living(&self) -> impl Iterator<Item = (usize, &Node, &Membership)> {
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(n, node)| Some((n, node, node.members.as_ref()?)))
    }

    /// Whether all that live know each other as members, and nobody else.
    pub fn agree(&self) -> bool {
        let names: BTreeSet<&str> = self
            .living()
            .map(|(_, node, _)| node.name.as_str())
            .collect();
        self.living().all(|(_, node, members)| {
            let known: BTreeSet<&str> = known(members).chain([node.name.as_str()]).collect();
            members.is_in() && known == names
        })
    }

    /// What each that lives takes for so, for a test's message.
    pub fn picture(&self) -> String {
        let of = |(_, node, m): (usize, &Node, &Membership)| {
            format!("{} {} {:?}\n", node.name, m.is_in(), m.known())
        };
        self.living().map(of).collect()
    }

    pub fn all_stand(&self, standing: &ClusterHealth) -> bool {
        self.living()
            .all(|(_, _, members)| members.standing() == standing)
    }

    /// How often one of these news came after a time, over all nodes.
    pub fn told(&self, since: f64, wanted: impl Fn(&MembershipEvent) -> bool) -> usize {
        let all = self.nodes.iter().flat_map(|node| &node.news);
        all.filter(|(at, news)| *at > since && wanted(news)).count()
    }
}

/// The names of those whom a node takes for members.
pub fn known(members: &Membership) -> impl Iterator<Item = &str> {
    use postproxy_membership::MemberState;
    members
        .others()
        .filter(|(_, life)| matches!(life, MemberState::Alive | MemberState::Suspect))
        .map(|(identity, _)| &*identity.name)
}

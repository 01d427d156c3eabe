//! Simulation of voters in virtual time, reproducible from a seed. Its faults are links that are
//! cut in one or both directions and lose messages, slow disks, crashes that lose writes which were
//! not durable yet, and pauses.

use postproxy_replicated_log::{Output, StateMachine, StorageChange, Voter};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A state machine that counts the entries and computes a checksum of their bytes in their order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checksum {
    pub count: u64,
    pub sum: u64,
}

impl StateMachine for Checksum {
    fn apply(&mut self, entry: &[u8]) {
        self.count += 1;
        self.sum = entry.iter().fold(self.sum, |sum, byte| {
            (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
    }
}

pub fn initial_voters(count: usize) -> BTreeMap<u64, String> {
    (1..=count as u64).map(|n| (n, format!("n{n}"))).collect()
}

pub type Store = BTreeMap<Vec<u8>, Vec<u8>>;

/// A write in progress.
pub struct PendingWrite {
    durable_at: u64,
    number: u64,
    changes: Vec<StorageChange>,
}

pub struct Node {
    pub voter: Option<Voter<Checksum>>,
    pub store: Store,
    writes: VecDeque<PendingWrite>,
    slow_disk: bool,
    paused_until: u64,
    inbox: Vec<Vec<u8>>,
}

/// The safeguards of the protocol that are disabled in a run.
#[derive(Clone, Copy, Default)]
pub struct DisabledSafeguards {
    /// Voters send messages before the writes that these depend on are durable.
    pub durability_gate: bool,
    /// A voter that has lost its store continues under its number.
    pub admission: bool,
}

/// Messages in transit, each with the time at which it arrives.
type Link = VecDeque<(u64, Vec<u8>)>;

/// A committed entry, and the state after it was applied.
pub struct CommittedEntry {
    pub entry: Vec<u8>,
    pub state: Checksum,
}

pub struct Simulation {
    pub now: u64,
    random: Pcg64Mcg,
    pub nodes: Vec<Node>,
    links: BTreeMap<(usize, usize), Link>,
    /// Links that deliver nothing, each in one direction.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The committed entries, by their numbers.
    pub committed: BTreeMap<u64, CommittedEntry>,
    /// The first contradiction between voters.
    pub violation: Option<String>,
    last_proposal: u64,
    pub rejected_proposals: u64,
    disabled: DisabledSafeguards,
}

impl Simulation {
    pub fn new(count: usize, seed: u64, disabled: DisabledSafeguards) -> Self {
        let node = || Node {
            voter: None,
            store: Store::new(),
            writes: VecDeque::new(),
            slow_disk: false,
            paused_until: 0,
            inbox: Vec::new(),
        };
        let mut sim = Self {
            now: 1000,
            random: Pcg64Mcg::seed_from_u64(seed),
            nodes: (0..count).map(|_| node()).collect(),
            links: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            violation: None,
            last_proposal: 0,
            rejected_proposals: 0,
            disabled,
        };
        (0..count).for_each(|n| sim.start(n));
        sim
    }

    pub fn random_below(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below.max(1)
    }

    pub fn start(&mut self, n: usize) {
        let store = self.nodes[n].store.clone();
        let initial_voters = initial_voters(self.nodes.len());
        let (voter, out) = Voter::new(n as u64 + 1, &initial_voters, store).expect("a valid log");
        self.nodes[n].voter = Some(voter);
        self.handle_outputs(n, out);
        self.reconnect_all(n);
    }

    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        node.voter = None;
        node.paused_until = 0;
        node.writes.clear();
        node.inbox.clear();
        self.reconnect_all(n);
    }

    /// Re-establishes all connections of a voter.
    fn reconnect_all(&mut self, n: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != n) {
            self.reconnect(n, other);
        }
    }

    pub fn reconnect(&mut self, a: usize, b: usize) {
        self.links.remove(&(a, b));
        self.links.remove(&(b, a));
        for (one, other) in [(a, b), (b, a)] {
            let mut out = Vec::new();
            if let Some(voter) = &mut self.nodes[one].voter {
                voter.peer_reconnected(other as u64 + 1, &mut out);
            }
            self.handle_outputs(one, out);
        }
    }

    /// Compares a voter's state with the state that the same number of committed entries leads to.
    fn check_state(&mut self, n: usize) {
        let Some(voter) = &self.nodes[n].voter else {
            return;
        };
        let state = voter.state();
        let number = voter.applied_entries();
        assert_eq!(state.count, number, "each entry is applied once");
        if let Some(reason) = voter.failure() {
            self.violation
                .get_or_insert(format!("voter {n} failed: {reason}"));
        }
        if let Some(known) = self.committed.get(&number)
            && known.state != *state
        {
            let known = &known.state;
            self.violation.get_or_insert(format!(
                "voter {n}, entry {number}: {state:?} and {known:?}"
            ));
        }
    }

    fn record_committed(&mut self, n: usize, number: u64, entry: Vec<u8>) {
        match self.committed.get(&number) {
            Some(known) if known.entry != entry => {
                self.violation
                    .get_or_insert(format!("voter {n}, entry {number}: two entries"));
            }
            Some(_) => {}
            None => {
                let previous = self.committed.get(&(number - 1));
                let mut state = previous
                    .map(|known| known.state.clone())
                    .unwrap_or_default();
                state.apply(&entry);
                self.committed
                    .insert(number, CommittedEntry { entry, state });
            }
        }
    }

    fn begin_write(&mut self, n: usize, number: u64, changes: Vec<StorageChange>) {
        let duration = if self.nodes[n].slow_disk {
            50 + self.random_below(2000)
        } else {
            1 + self.random_below(20)
        };
        let previous = self.nodes[n].writes.back();
        let durable_at = previous
            .map_or(0, |write| write.durable_at)
            .max(self.now + duration);
        self.nodes[n].writes.push_back(PendingWrite {
            durable_at,
            number,
            changes,
        });
        if self.disabled.durability_gate {
            let mut out = Vec::new();
            if let Some(voter) = &mut self.nodes[n].voter {
                voter.record_durable(number, &mut out);
            }
            self.handle_outputs(n, out);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Vec<u8>) {
        let arrives_at = self.now + 1 + self.random_below(10);
        let link = self.links.entry((from, to)).or_default();
        let arrives_at = link.back().map_or(0, |(at, _)| *at).max(arrives_at);
        link.push_back((arrives_at, message));
    }

    fn handle_outputs(&mut self, n: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write { number, changes } => self.begin_write(n, number, changes),
                Output::Send { to, message } => self.send(n, to as usize - 1, message),
                Output::Committed { number, entry } => {
                    self.record_committed(n, number, entry);
                    self.check_state(n);
                }
                Output::SnapshotInstalled { .. } => self.check_state(n),
                Output::VotersChanged => {}
            }
        }
    }

    /// Proposes a new entry at a node and returns it, if it was accepted.
    pub fn propose(&mut self, n: usize) -> Option<Vec<u8>> {
        self.last_proposal += 1;
        let entry = self.last_proposal.to_be_bytes().to_vec();
        let mut out = Vec::new();
        let voter = self.nodes[n].voter.as_mut()?;
        let proposed = voter.propose(entry.clone(), &mut out);
        self.handle_outputs(n, out);
        if proposed.is_err() {
            self.rejected_proposals += 1;
        }
        proposed.ok().map(|()| entry)
    }

    /// Advances the time by ten milliseconds.
    pub fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        for n in 0..self.nodes.len() {
            self.finish_writes(n);
        }
        for (link, queue) in &mut self.links {
            if self.cut_links.contains(link) {
                continue;
            }
            while let Some((_, message)) = queue.pop_front_if(|(at, _)| *at <= now) {
                self.nodes[link.1].inbox.push(message);
            }
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].paused_until <= now {
                self.run_node(n);
            }
        }
    }

    /// Finishes the writes that are due. The disk keeps writing while the process is paused.
    fn finish_writes(&mut self, n: usize) {
        let now = self.now;
        while let Some(PendingWrite {
            number, changes, ..
        }) = self.nodes[n]
            .writes
            .pop_front_if(|write| write.durable_at <= now)
        {
            for change in changes {
                match change.value {
                    Some(value) => self.nodes[n].store.insert(change.key, value),
                    None => self.nodes[n].store.remove(&change.key),
                };
            }
            let mut out = Vec::new();
            if let Some(voter) = &mut self.nodes[n].voter {
                voter.record_durable(number, &mut out);
            }
            self.handle_outputs(n, out);
        }
    }

    /// Has a node handle its messages, and a tick every 50 ms.
    fn run_node(&mut self, n: usize) {
        let inbox = std::mem::take(&mut self.nodes[n].inbox);
        let mut out = Vec::new();
        if let Some(voter) = &mut self.nodes[n].voter {
            for message in inbox {
                assert!(voter.receive(&message, &mut out), "a valid message");
            }
            if self.now.is_multiple_of(50) {
                voter.tick(&mut out);
            }
        }
        self.handle_outputs(n, out);
    }

    /// Runs for this many milliseconds, with proposals at random nodes.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.step();
            let n = self.random_below(self.nodes.len() as u64) as usize;
            if self.random_below(3) == 0 && self.nodes[n].paused_until <= self.now {
                self.propose(n);
            }
        }
    }

    pub fn inject_fault(&mut self) {
        let count = self.nodes.len() as u64;
        let (n, other) = (
            self.random_below(count) as usize,
            self.random_below(count) as usize,
        );
        match self.random_below(8) {
            0 | 1 => {
                self.kill(n);
                if self.disabled.admission {
                    self.nodes[n].store.clear();
                    self.start(n);
                }
            }
            2 => {
                if self.nodes[n].voter.is_none() {
                    self.start(n);
                }
            }
            3 => self.nodes[n].paused_until = self.now + self.random_below(4000),
            4 if n != other => {
                self.cut_links.insert((n, other));
                if self.random_below(2) == 0 {
                    self.cut_links.insert((other, n));
                }
            }
            5 => {
                // Some connections were closed meanwhile; the others deliver what was in transit.
                for (a, b) in std::mem::take(&mut self.cut_links) {
                    if self.random_below(2) == 0 {
                        self.reconnect(a, b);
                    }
                }
            }
            6 => self.nodes[n].slow_disk = !self.nodes[n].slow_disk,
            _ => self.reconnect(n, other.max(1) - usize::from(other == n && other > 0)),
        }
    }

    pub fn repair(&mut self) {
        let now = self.now;
        for n in 0..self.nodes.len() {
            self.nodes[n].slow_disk = false;
            self.nodes[n].paused_until = self.nodes[n].paused_until.min(now);
            if self.nodes[n].voter.is_none() {
                self.start(n);
            }
        }
        for (a, b) in std::mem::take(&mut self.cut_links) {
            self.reconnect(a, b);
        }
    }

    /// Returns whether all voters apply a newly proposed entry within this time. The proposal is
    /// repeated, since it may be lost.
    pub fn makes_progress(&mut self, timeout_ms: u64) -> bool {
        let until = self.now + timeout_ms;
        let n = self.random_below(self.nodes.len() as u64) as usize;
        let mut proposed: Vec<Vec<u8>> = Vec::new();
        while self.now < until {
            proposed.extend(self.propose(n));
            for _ in 0..30 {
                self.step();
            }
            let number = self
                .committed
                .iter()
                .find(|(_, committed)| proposed.contains(&committed.entry))
                .map(|(number, _)| *number);
            let applied = |node: &Node| node.voter.as_ref().map_or(0, Voter::applied_entries);
            if number.is_some_and(|number| self.nodes.iter().all(|node| applied(node) >= number)) {
                return true;
            }
        }
        false
    }

    /// Describes all voters, for the message of a failed assertion.
    pub fn describe(&self) -> String {
        let describe_node = |node: &Node| match &node.voter {
            Some(voter) => {
                format!(
                    "leader {:?}, {} applied, {} in memory",
                    voter.leader(),
                    voter.applied_entries(),
                    voter.entries_in_memory()
                )
            }
            None => "dead".to_owned(),
        };
        let nodes = self.nodes.iter().map(describe_node);
        nodes.collect::<Vec<_>>().join("; ")
    }
}

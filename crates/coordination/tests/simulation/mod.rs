//! Simulation of the coordinators of a cluster in virtual time, with random faults from a seed:
//! links that are cut in one or both directions and lose messages, slow disks, crashes that lose
//! what was not durable, stores that are emptied or replaced by an older copy, pauses between a
//! permit and its effect, clocks that deviate by up to 2 %, and membership changes. Some nodes vote
//! and others do not.

// Each test target uses only some of these items.
#![allow(dead_code)]

mod effects;
mod faults;

use postproxy_coordination::{
    Coordinator, Effect, Error, Event, Fence, LeaseTiming, NotVotingReason, Output, Settings,
    StorageChange, VoterAction,
};
use postproxy_fault_injection::Timeline;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const LEASES: [&str; 3] = ["audit", "bans", "relabel"];

pub type Store = BTreeMap<Vec<u8>, Vec<u8>>;

/// Messages in transit, each with its time of arrival.
pub type Link = VecDeque<(u64, Vec<u8>)>;

/// A write in progress.
pub struct PendingWrite {
    durable_at: u64,
    number: u64,
    changes: Vec<StorageChange>,
}

/// A message that a node has received and not handled yet.
pub struct Received {
    from: usize,
    message: Vec<u8>,
}

#[derive(Default)]
pub struct Node {
    /// `None` while the process is not running.
    pub coordinator: Option<Coordinator>,
    pub store: Store,
    /// The store as it was at some earlier time.
    pub backup: Option<Store>,
    pub writes: VecDeque<PendingWrite>,
    pub slow_disk: bool,
    pub paused_until: u64,
    pub clock_drift_per_mille: i64,
    pub inbox: Vec<Received>,
    /// Effects that were permitted before a pause and are sent after it.
    pub delayed_effects: Vec<Effect<usize>>,
    /// The results of calls and membership changes, by ticket.
    pub results: BTreeMap<u64, Result<(), Error>>,
    /// The latest value that the node has received with each lease.
    pub values: BTreeMap<String, u64>,
}

impl Node {
    pub fn is_voter(&self) -> bool {
        self.coordinator.as_ref().is_some_and(Coordinator::is_voter)
    }

    pub fn has_lost_promises(&self) -> bool {
        let status = self.coordinator.as_ref().map(|node| node.status(0));
        status.is_some_and(|status| status.not_voting_reason == Some(NotVotingReason::PromisesLost))
    }
}

/// The safeguards that are disabled.
#[derive(Clone, Copy, Default)]
pub struct DisabledSafeguards {
    /// Fences, which reject effects under stale tokens.
    pub fence: bool,
}

/// An effect on its way to a fence.
pub struct SentEffect {
    arrives_at: u64,
    fence: usize,
    effect: Effect<usize>,
}

/// An effect that a fence has admitted.
pub struct AdmittedEffect {
    pub token: u64,
    pub node: usize,
}

/// The cases that have occurred in a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Exercised {
    pub promises_lost: bool,
    pub voter_added: bool,
    pub voter_removed: bool,
    pub effect_rejected: bool,
}

pub struct Simulation {
    pub seed: u64,
    pub now: u64,
    random: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub initial_voters: BTreeSet<String>,
    links: BTreeMap<(usize, usize), Link>,
    /// Links that deliver nothing, each in one direction.
    pub cut_links: BTreeSet<(usize, usize)>,
    sent_effects: Vec<SentEffect>,
    fences: Vec<Fence>,
    /// The effects admitted by each fence for each lease.
    pub admitted: BTreeMap<(usize, String), Vec<AdmittedEffect>>,
    /// The lease and the owner of each token.
    pub token_owners: BTreeMap<u64, String>,
    last_incarnation: u64,
    last_ticket: u64,
    /// Disables random pauses of processes.
    pub without_pauses: bool,
    disabled: DisabledSafeguards,
    pub timeline: Timeline,
    pub exercised: Exercised,
}

impl Simulation {
    /// Starts this many initial voters, and this many other nodes, which do not vote.
    pub fn new(
        initial_voters: usize,
        others: usize,
        seed: u64,
        disabled: DisabledSafeguards,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut node = || Node {
            clock_drift_per_mille: (random.next_u64() % 41) as i64 - 20,
            ..Node::default()
        };
        let count = initial_voters + others;
        let nodes: Vec<Node> = (0..count).map(|_| node()).collect();
        let mut simulation = Self {
            seed,
            now: 100_000,
            random,
            nodes,
            initial_voters: (0..initial_voters).map(|n| format!("n{n}")).collect(),
            links: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            sent_effects: Vec::new(),
            fences: vec![Fence::default(); 2],
            admitted: BTreeMap::new(),
            token_owners: BTreeMap::new(),
            last_incarnation: seed << 20,
            last_ticket: 0,
            without_pauses: false,
            disabled,
            timeline: Timeline::new((0..count).map(|n| format!("n{n}"))),
            exercised: Exercised::default(),
        };
        (0..count).for_each(|n| simulation.start(n));
        simulation
    }

    /// Returns a random number below this one.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below.max(1)
    }

    /// Returns the time by the clock of a node, in milliseconds.
    pub fn clock(&self, n: usize) -> u64 {
        (self.now as i64 * (1000 + self.nodes[n].clock_drift_per_mille) / 1000) as u64
    }

    pub fn start(&mut self, n: usize) {
        self.last_incarnation += 1;
        let settings = Settings {
            node: format!("n{n}"),
            cluster: "test".into(),
            initial_voters: self.initial_voters.clone(),
            lease_timing: LeaseTiming::default(),
            wanted_leases: LEASES.iter().map(|lease| (*lease).to_owned()).collect(),
        };
        let mut out = Vec::new();
        let coordinator = Coordinator::new(
            settings,
            self.clock(n),
            self.last_incarnation,
            self.nodes[n].store.clone(),
            &mut out,
        );
        self.nodes[n].coordinator = Some(coordinator);
        self.timeline.set_state(self.now, n, "");
        self.carry_out(n, out);
        self.reconnect_all(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.timeline.set_state(self.now, n, "dead");
        let node = &mut self.nodes[n];
        node.coordinator = None;
        node.paused_until = 0;
        node.writes.clear();
        node.inbox.clear();
        node.delayed_effects.clear();
        self.reconnect_all(n);
    }

    /// Re-establishes all connections of a node.
    pub fn reconnect_all(&mut self, n: usize) {
        (0..self.nodes.len())
            .filter(|other| *other != n)
            .for_each(|other| self.reconnect(n, other));
    }

    pub fn reconnect(&mut self, a: usize, b: usize) {
        for (one, other) in [(a, b), (b, a)] {
            self.links.remove(&(one, other));
            let clock = self.clock(one);
            let mut out = Vec::new();
            if let Some(coordinator) = &mut self.nodes[one].coordinator {
                coordinator.peer_reconnected(clock, &format!("n{other}"), &mut out);
            }
            self.carry_out(one, out);
        }
    }

    /// Carries out the outputs of a node's coordinator.
    pub fn carry_out(&mut self, n: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let to: usize = to[1..].parse().expect("a node");
                    let arrives_at = self.now + 1 + self.draw(10);
                    let link = self.links.entry((n, to)).or_default();
                    let arrives_at = link.back().map_or(0, |(at, _)| *at).max(arrives_at);
                    link.push_back((arrives_at, message));
                }
                Output::Write { number, changes } => self.begin_write(n, number, changes),
                Output::Event(event) => self.record_event(n, event),
            }
        }
        self.check_token_owners(n);
    }

    fn begin_write(&mut self, n: usize, number: u64, changes: Vec<StorageChange>) {
        let duration = if self.nodes[n].slow_disk {
            50 + self.draw(2000)
        } else {
            1 + self.draw(20)
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
    }

    fn record_event(&mut self, n: usize, event: Event) {
        match event {
            Event::CallCompleted { ticket, result } => {
                self.nodes[n].results.insert(ticket, result.map(|_| ()));
            }
            Event::MembershipChangeCompleted { ticket, result } => {
                self.nodes[n].results.insert(ticket, result);
            }
            Event::LeaseLost { lease, token } if lease == "audit" => {
                self.timeline
                    .add_event(self.now, n, format!("gives up {token}"));
            }
            Event::LeaseAcquired { lease, value, .. } => {
                let value = value.try_into().map(u64::from_be_bytes).unwrap_or_default();
                let before = self.nodes[n].values.insert(lease.clone(), value);
                assert!(
                    before.is_none_or(|before| before <= value),
                    "seed {}: {lease} has an older value than before",
                    self.seed
                );
            }
            Event::VotingChanged {
                not_voting_reason: Some(NotVotingReason::PromisesLost),
            } => self.exercised.promises_lost = true,
            _ => {}
        }
    }

    /// Asserts that no token known to this node has had another owner at any node.
    fn check_token_owners(&mut self, n: usize) {
        let Some(coordinator) = &self.nodes[n].coordinator else {
            return;
        };
        for (name, lease) in coordinator.lease_table().leases() {
            if let Some(owner) = &lease.owner {
                let description = format!("{name} {}", owner.node);
                let known = self
                    .token_owners
                    .entry(owner.token)
                    .or_insert_with(|| description.clone());
                assert_eq!(
                    *known, description,
                    "seed {}: a token has two owners",
                    self.seed
                );
            }
        }
    }

    /// Runs one turn of a node's event loop.
    fn run_turn(&mut self, n: usize) {
        let clock = self.clock(n);
        let inbox = std::mem::take(&mut self.nodes[n].inbox);
        let delayed = std::mem::take(&mut self.nodes[n].delayed_effects);
        let pause = self.draw(400) == 0 && !self.without_pauses;
        let Some(coordinator) = &mut self.nodes[n].coordinator else {
            return;
        };
        let mut out = Vec::new();
        coordinator.run_turn(clock, &mut out);
        for Received { from, message } in inbox {
            assert!(
                coordinator.receive(clock, &format!("n{from}"), &message, &mut out),
                "a message of this cluster is valid"
            );
        }
        let permitted: Vec<Effect<usize>> = LEASES
            .iter()
            .filter_map(|lease| Some(Effect::new(&coordinator.permit(clock, lease)?, n)))
            .collect();
        self.carry_out(n, out);
        self.send_effects(delayed);
        if pause {
            self.nodes[n].delayed_effects = permitted;
            self.nodes[n].paused_until = self.now + self.draw(8000);
        } else {
            self.send_effects(permitted);
        }
    }

    /// Advances the time by 10 ms.
    pub fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        for n in 0..self.nodes.len() {
            self.finish_writes(n);
        }
        self.deliver_messages();
        self.deliver_effects();
        for n in 0..self.nodes.len() {
            if self.nodes[n].paused_until <= now {
                self.run_turn(n);
            }
        }
        self.record_timeline();
        for lease in LEASES {
            let owners = self.acting_owners(lease);
            assert!(
                owners.len() < 2,
                "seed {}: two owners of {lease} at once: {owners:?}",
                self.seed
            );
        }
    }

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
            let clock = self.clock(n);
            let mut out = Vec::new();
            if let Some(coordinator) = &mut self.nodes[n].coordinator {
                coordinator.record_durable(clock, number, &mut out);
            }
            self.carry_out(n, out);
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        for (&(from, to), link) in &mut self.links {
            if self.cut_links.contains(&(from, to)) {
                continue;
            }
            while let Some((_, message)) = link.pop_front_if(|(at, _)| *at <= now) {
                if self.nodes[to].coordinator.is_some() {
                    self.nodes[to].inbox.push(Received { from, message });
                }
            }
        }
    }

    /// Makes a call or a membership change at a node. Returns its result, or `None` if there is
    /// none within 8 s or the node is not running.
    pub fn call(
        &mut self,
        n: usize,
        action: impl FnOnce(&mut Coordinator, u64, u64, &mut Vec<Output>),
    ) -> Option<Result<(), Error>> {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let clock = self.clock(n);
        let mut out = Vec::new();
        let coordinator = self.nodes[n].coordinator.as_mut()?;
        action(coordinator, clock, ticket, &mut out);
        self.carry_out(n, out);
        for _ in 0..800 {
            if let Some(result) = self.nodes[n].results.remove(&ticket) {
                return Some(result);
            }
            self.step();
        }
        None
    }

    /// Makes a membership change at the first node that is running.
    pub fn change_membership(
        &mut self,
        action: VoterAction,
        name: &str,
    ) -> Option<Result<(), Error>> {
        let is_running = |n: &usize| {
            self.nodes[*n].coordinator.is_some() && self.nodes[*n].paused_until <= self.now
        };
        let n = (0..self.nodes.len()).find(is_running)?;
        let result = self.call(n, |coordinator, now, ticket, out| {
            coordinator.change_membership(now, ticket, action, name, out)
        });
        if result == Some(Ok(())) {
            match action {
                VoterAction::Add => self.exercised.voter_added = true,
                VoterAction::Remove => self.exercised.voter_removed = true,
            }
        }
        result
    }

    /// Describes all nodes, for the message of a failed assertion.
    pub fn describe(&self) -> String {
        let nodes = self.nodes.iter().enumerate();
        let descriptions = nodes.map(|(n, node)| match &node.coordinator {
            Some(coordinator) => {
                format!("{coordinator:?} {:?}", coordinator.status(self.clock(n)))
            }
            None => format!("n{n} is not running"),
        });
        descriptions.collect::<Vec<_>>().join("\n")
    }

    /// Runs until the condition holds; panics if it does not within this many milliseconds.
    pub fn wait_until(&mut self, timeout_ms: u64, name: &str, condition: impl Fn(&Self) -> bool) {
        let until = self.now + timeout_ms;
        while !condition(self) {
            assert!(
                self.now < until,
                "seed {}: {name}: {}",
                self.seed,
                self.describe()
            );
            self.step();
        }
    }
}

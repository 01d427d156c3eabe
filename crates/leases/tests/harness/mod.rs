//! Simulation of nodes that compete for leases, in virtual time and with random faults from a seed.
//! The lease tables, granters, holders and fences are the real ones. The log is simplified: it
//! commits commands in one order, with delays and changes of the leader. Clocks deviate by at most
//! 2 %.

mod assertions;

use postproxy_leases::{
    Command, Effect, Fence, LeaseClaim, LeaseGranter, LeaseHolder, LeaseTable, LeaseTiming,
    Operation, Response,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const LEASES: [&str; 3] = ["discovery", "bans", "takeover"];

/// The work that an owner does: a count that continues from the value stored with the lease.
#[derive(Clone, Debug)]
struct Work {
    node: usize,
    count: u64,
}

/// A command without a response so far.
struct PendingCommand {
    /// When it was first sent, by the node's clock.
    requested_at: u64,
    /// When it was last sent, by the node's clock.
    sent_at: u64,
    command: Command,
}

struct Node {
    name: String,
    /// By how many thousandths its clock is fast or slow.
    clock_drift_per_mille: i64,
    holder: LeaseHolder,
    incarnation: u64,
    sequence: u64,
    pending: Option<PendingCommand>,
    /// Effects that were permitted before the process was paused, to be sent when it resumes.
    delayed_effects: Vec<Effect<Work>>,
    counts: BTreeMap<String, u64>,
    paused_until: u64,
    dead: bool,
    cut_off: bool,
}

/// A voter: its table, its granter, and how much of the log it has applied.
struct Voter {
    table: LeaseTable,
    granter: LeaseGranter,
    applied: usize,
}

#[derive(Debug)]
enum Delivery {
    Command {
        caller: usize,
        command: Command,
    },
    Response {
        caller: usize,
        incarnation: u64,
        sequence: u64,
        response: Response,
    },
    Effect {
        fence: usize,
        effect: Effect<Work>,
    },
}

/// An effect that a fence has admitted.
struct AdmittedEffect {
    token: u64,
    node: usize,
}

pub struct Simulation {
    now: u64,
    random: Pcg64Mcg,
    nodes: Vec<Node>,
    voters: Vec<Voter>,
    /// The commands of the log, each with the time at which it is committed.
    log: Vec<(u64, Command)>,
    leader: usize,
    expiries: u64,
    /// Messages in transit, each with its time of arrival.
    in_transit: Vec<(u64, Delivery)>,
    fences: Vec<Fence>,
    /// The effects admitted by each fence for each lease.
    admitted: BTreeMap<(usize, String), Vec<AdmittedEffect>>,
    /// The percentage of messages that are lost.
    loss_percent: u64,
}

impl Simulation {
    pub fn new(count: usize, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let timing = LeaseTiming::default();
        let nodes = (0..count)
            .map(|n| Node {
                name: format!("n{n}"),
                clock_drift_per_mille: (random.next_u64() % 41) as i64 - 20,
                holder: LeaseHolder::new(timing),
                incarnation: 1,
                sequence: 0,
                pending: None,
                delayed_effects: Vec::new(),
                counts: BTreeMap::new(),
                paused_until: 0,
                dead: false,
                cut_off: false,
            })
            .collect();
        let voter = || Voter {
            table: LeaseTable::default(),
            granter: LeaseGranter::new(timing),
            applied: 0,
        };
        Self {
            now: 100_000,
            random,
            nodes,
            voters: (0..3).map(|_| voter()).collect(),
            log: Vec::new(),
            leader: 0,
            expiries: 0,
            in_transit: Vec::new(),
            fences: vec![Fence::default(); 2],
            admitted: BTreeMap::new(),
            loss_percent: 0,
        }
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below.max(1)
    }

    fn clock(&self, n: usize) -> u64 {
        (self.now as i64 * (1000 + self.nodes[n].clock_drift_per_mille) / 1000) as u64
    }

    fn send(&mut self, max_delay: u64, delivery: Delivery) {
        if self.draw(100) >= self.loss_percent {
            let at = self.now + 1 + self.draw(max_delay);
            self.in_transit.push((at, delivery));
        }
    }

    fn is_running(&self, n: usize) -> bool {
        !self.nodes[n].dead && self.now >= self.nodes[n].paused_until
    }

    /// Runs one turn of a node's event loop: it sends commands, then does work under the leases
    /// that it holds.
    fn run_turn(&mut self, n: usize) {
        let clock = self.clock(n);
        // Effects that were permitted before a pause are sent first; only the fences can reject
        // them.
        for effect in std::mem::take(&mut self.nodes[n].delayed_effects) {
            self.send_effect(2000, &effect);
        }
        self.nodes[n].holder.detect_pause(clock);
        if self.nodes[n].pending.is_some() {
            self.retry_command(n);
        } else if let Some(operation) = self.next_operation(n) {
            self.start_command(n, operation);
        }
        self.do_work(n);
    }

    fn send_effect(&mut self, max_delay: u64, effect: &Effect<Work>) {
        for fence in 0..self.fences.len() {
            let effect = effect.clone();
            self.send(max_delay, Delivery::Effect { fence, effect });
        }
    }

    fn send_command(&mut self, caller: usize, command: Command) {
        if !self.nodes[caller].cut_off {
            self.send(60, Delivery::Command { caller, command });
        }
    }

    fn retry_command(&mut self, n: usize) {
        let clock = self.clock(n);
        if let Some(pending) = &mut self.nodes[n].pending
            && clock > pending.sent_at + 300
        {
            pending.sent_at = clock;
            let command = pending.command.clone();
            self.send_command(n, command);
        }
    }

    fn next_operation(&self, n: usize) -> Option<Operation> {
        let clock = self.clock(n);
        let node = &self.nodes[n];
        let claims = node.holder.claims();
        if node.holder.renew_at().is_some_and(|at| at <= clock) {
            return Some(Operation::Renew { claims });
        }
        let missing = LEASES
            .iter()
            .find(|name| !claims.iter().any(|claim| claim.lease == **name));
        if let Some(name) = missing.filter(|_| clock.is_multiple_of(7)) {
            return Some(Operation::Acquire {
                lease: (*name).to_owned(),
            });
        }
        let LeaseClaim { lease, token } = claims
            .into_iter()
            .next()
            .filter(|_| clock.is_multiple_of(11))?;
        Some(if clock.is_multiple_of(5) {
            Operation::Release { lease, token }
        } else {
            let count = node.counts.get(&lease).copied().unwrap_or_default();
            let value = count.to_be_bytes().to_vec();
            Operation::Save {
                lease,
                token,
                value,
            }
        })
    }

    fn start_command(&mut self, n: usize, operation: Operation) {
        let clock = self.clock(n);
        let node = &mut self.nodes[n];
        node.sequence += 1;
        // A node stops acting before it requests the release.
        if let Operation::Release { lease, token } = &operation {
            node.holder.remove(lease, *token);
        }
        let command = Command {
            node: node.name.clone(),
            incarnation: node.incarnation,
            sequence: node.sequence,
            operation,
        };
        node.pending = Some(PendingCommand {
            requested_at: clock,
            sent_at: clock,
            command: command.clone(),
        });
        self.send_command(n, command);
    }

    fn do_work(&mut self, n: usize) {
        let clock = self.clock(n);
        let pause = self.draw(200) == 0;
        for name in LEASES {
            let Some(permit) = self.nodes[n].holder.permit(clock, name) else {
                continue;
            };
            let count = self.nodes[n].counts.entry(name.to_owned()).or_default();
            *count += 1;
            let work = Work {
                node: n,
                count: *count,
            };
            let effect = Effect::new(&permit, work);
            if pause && self.loss_percent > 0 {
                // Paused between the permit and the effect.
                self.nodes[n].delayed_effects.push(effect);
            } else {
                self.send_effect(50, &effect);
            }
        }
        if !self.nodes[n].delayed_effects.is_empty() {
            self.nodes[n].paused_until = self.now + 2000 + self.draw(6000);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Command { caller, command } => {
                if !self.nodes[caller].cut_off {
                    let at = self.now + 5 + self.draw(30);
                    let last = self.log.last().map_or(0, |(at, _)| *at);
                    self.log.push((at.max(last), command));
                }
            }
            Delivery::Response {
                caller,
                incarnation,
                sequence,
                response,
            } => {
                let pending = self.nodes[caller].pending.take_if(|pending| {
                    pending.command.incarnation == incarnation
                        && pending.command.sequence == sequence
                });
                if let Some(pending) = pending {
                    self.receive_response(caller, pending, response);
                }
            }
            Delivery::Effect { fence, effect } => {
                let lease = effect.lease().to_owned();
                let token = effect.token();
                if let Ok(work) = self.fences[fence].admit(effect) {
                    let admitted = self.admitted.entry((fence, lease)).or_default();
                    assert!(work.count > 0, "counts start from 1");
                    admitted.push(AdmittedEffect {
                        token,
                        node: work.node,
                    });
                }
            }
        }
    }

    fn receive_response(&mut self, n: usize, pending: PendingCommand, response: Response) {
        let node = &mut self.nodes[n];
        match (pending.command.operation, response) {
            (Operation::Acquire { lease }, Response::Granted { token, value }) => {
                let count = value.try_into().map_or(0, u64::from_be_bytes);
                node.counts.insert(lease.clone(), count);
                node.holder
                    .record_grant(pending.requested_at, &lease, token);
            }
            (Operation::Renew { claims }, Response::Renewed { renewed, lost }) => {
                for LeaseClaim { lease, token } in claims {
                    if lost.contains(&lease) {
                        node.holder.remove(&lease, token);
                    } else if renewed.iter().any(|renewed| renewed.lease == lease) {
                        node.holder
                            .record_grant(pending.requested_at, &lease, token);
                    }
                }
            }
            (Operation::Save { lease, token, .. }, Response::Rejected(_)) => {
                node.holder.remove(&lease, token);
            }
            _ => {}
        }
    }

    /// Advances the time by 10 ms.
    pub fn step(&mut self) {
        self.now += 10;
        self.deliver_due();
        for voter in 0..self.voters.len() {
            self.apply_committed(voter);
            self.propose_expiries(voter);
        }
        for n in 0..self.nodes.len() {
            if self.is_running(n) {
                self.run_turn(n);
            }
        }
        for name in LEASES {
            let may_act = |n: &usize| {
                self.is_running(*n) && self.nodes[*n].holder.permit(self.clock(*n), name).is_some()
            };
            let owners: Vec<usize> = (0..self.nodes.len()).filter(may_act).collect();
            assert!(owners.len() < 2, "two owners of {name} at once: {owners:?}");
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.in_transit.drain(..).partition(|(at, _)| *at <= now);
        self.in_transit = rest;
        for (at, delivery) in due {
            match &delivery {
                // A response to a paused process is delivered when it resumes.
                Delivery::Response { caller, .. } if !self.is_running(*caller) => {
                    self.in_transit.push((at + 10, delivery));
                }
                _ => self.deliver(delivery),
            }
        }
    }

    fn apply_committed(&mut self, v: usize) {
        let now = self.now;
        // The leader applies an entry 40 ms before the other voters.
        let lag = if v == self.leader { 0 } else { 40 };
        while let Some((at, command)) = self.log.get(self.voters[v].applied).cloned()
            && at + lag <= now
        {
            let voter = &mut self.voters[v];
            voter.applied += 1;
            let before = voter.table.latest_token();
            let response = voter.table.apply(&command);
            assert!(
                voter.table.latest_token() >= before,
                "the latest token never decreases"
            );
            voter.granter.record_applied(now, &voter.table);
            let caller = self
                .nodes
                .iter()
                .position(|node| node.name == command.node && !node.dead);
            if let Some(caller) = caller.filter(|n| v == self.leader && !self.nodes[*n].cut_off) {
                let response = Delivery::Response {
                    caller,
                    incarnation: command.incarnation,
                    sequence: command.sequence,
                    response,
                };
                self.send(60, response);
            }
        }
    }

    fn propose_expiries(&mut self, v: usize) {
        let leading = v == self.leader;
        self.voters[v].granter.set_leading(leading);
        if let Some(operation) = self.voters[v].granter.expire_due_leases(self.now) {
            self.expiries += 1;
            let command = Command {
                node: format!("v{v}"),
                incarnation: 1,
                sequence: self.expiries,
                operation,
            };
            let last = self.log.last().map_or(0, |(at, _)| *at);
            self.log.push((last.max(self.now + 10), command));
        }
    }

    pub fn inject_fault(&mut self) {
        let n = self.draw(self.nodes.len() as u64) as usize;
        match self.draw(6) {
            0 => self.nodes[n].paused_until = self.now + self.draw(8000),
            1 => {
                let node = &mut self.nodes[n];
                node.dead = true;
                node.pending = None;
                node.holder = LeaseHolder::new(LeaseTiming::default());
                node.delayed_effects.clear();
            }
            2 => self.nodes[n].restart(),
            3 => self.nodes[n].cut_off = !self.nodes[n].cut_off,
            4 => self.leader = self.draw(3) as usize,
            _ => self.loss_percent = [0, 5, 30][self.draw(3) as usize],
        }
    }

    /// Ends all faults.
    pub fn repair(&mut self) {
        self.loss_percent = 0;
        for node in &mut self.nodes {
            node.restart();
            node.cut_off = false;
            node.paused_until = node.paused_until.min(self.now);
        }
    }
}

impl Node {
    /// Starts a dead process again, in a new incarnation.
    fn restart(&mut self) {
        if std::mem::replace(&mut self.dead, false) {
            self.incarnation += 1;
            self.sequence = 0;
        }
    }
}

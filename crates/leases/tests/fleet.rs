//! Nodes that own duties, in told time from seeds: the real state at each voter, the real granters, holders and fences; the log
//! between them is one that decides in one order, late and with another leader now and then. Clocks run up to 2 % apart.

use postproxy_leases::{
    Command, Effect, Fence, LeaseGranter, LeaseHolder, LeaseTable, LeaseTiming, Operation, Response,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const DUTIES: [&str; 3] = ["discovery", "bans", "takeover"];

/// What an owner does: a count that goes on from the checkpoint.
type Work = (usize, u64);

struct Node {
    name: String,
    /// Thousandths by which its clock is fast or slow.
    rate: i64,
    holder: LeaseHolder,
    life: u64,
    number: u64,
    /// The call that waits for its answer: when it was first asked by its clock, when it was sent last, and it.
    open: Option<(u64, u64, Command)>,
    /// What it acts on next, from a check before its process was stopped.
    checked: Vec<Effect<Work>>,
    counts: BTreeMap<String, u64>,
    until: u64,
    dead: bool,
    cut: bool,
}

/// A voter: what it has applied, and its leases.
struct Voter {
    state: LeaseTable,
    granter: LeaseGranter,
    applied: usize,
}

#[derive(Debug)]
enum What {
    Operation(usize, Command),
    Response(usize, u64, u64, Response),
    Effect(usize, Effect<Work>),
}

/// Of each fence and duty, what was done: token, node, count.
type Done = BTreeMap<(usize, String), Vec<(u64, usize, u64)>>;

struct Sim {
    now: u64,
    draws: Pcg64Mcg,
    nodes: Vec<Node>,
    voters: Vec<Voter>,
    log: Vec<(u64, Command)>,
    leader: usize,
    expired: u64,
    on_the_way: Vec<(u64, What)>,
    fences: Vec<Fence>,
    done: Done,
    loss: u64,
}

impl Sim {
    fn new(count: usize, seed: u64) -> Self {
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        let times = LeaseTiming::default();
        let nodes = (0..count)
            .map(|n| Node {
                name: format!("n{n}"),
                rate: (draws.next_u64() % 41) as i64 - 20,
                holder: LeaseHolder::new(times),
                life: 1,
                number: 0,
                open: None,
                checked: Vec::new(),
                counts: BTreeMap::new(),
                until: 0,
                dead: false,
                cut: false,
            })
            .collect();
        let voter = || Voter {
            state: LeaseTable::default(),
            granter: LeaseGranter::new(times),
            applied: 0,
        };
        let (log, on_the_way, done) = Default::default();
        Self {
            now: 100_000,
            draws,
            nodes,
            voters: (0..3).map(|_| voter()).collect(),
            log,
            leader: 0,
            expired: 0,
            on_the_way,
            fences: vec![Fence::default(); 2],
            done,
            loss: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws.next_u64() % below.max(1)
    }

    fn clock(&self, n: usize) -> u64 {
        (self.now as i64 * (1000 + self.nodes[n].rate) / 1000) as u64
    }

    fn send(&mut self, most: u64, what: What) {
        if self.draw(100) >= self.loss {
            let at = self.now + 1 + self.draw(most);
            self.on_the_way.push((at, what));
        }
    }

    fn awake(&self, n: usize) -> bool {
        !self.nodes[n].dead && self.now >= self.nodes[n].until
    }

    /// A node's turn: what it owes, then work under the duties that it owns.
    fn turn(&mut self, n: usize) {
        let clock = self.clock(n);
        // What was checked before it was stopped leaves first: nothing may hold it back but the fences.
        let checked = std::mem::take(&mut self.nodes[n].checked);
        for effect in checked {
            for fence in 0..self.fences.len() {
                self.send(2000, What::Effect(fence, effect.clone()));
            }
        }
        let node = &mut self.nodes[n];
        node.holder.turn(clock);
        if let Some((_, sent, command)) = &mut node.open {
            if clock > *sent + 300 {
                *sent = clock;
                let command = command.clone();
                if !node.cut {
                    self.send(60, What::Operation(n, command));
                }
            }
        } else {
            let held = node.holder.all();
            let renew = node.holder.renew_at().is_some_and(|at| at <= clock);
            let free = DUTIES
                .iter()
                .find(|duty| !held.iter().any(|(name, _)| name == *duty));
            let call = match free {
                _ if renew => Some(Operation::Renew(held.clone())),
                Some(duty) if clock.is_multiple_of(7) => {
                    Some(Operation::Acquire((*duty).to_owned()))
                }
                _ => held
                    .first()
                    .filter(|_| clock.is_multiple_of(11))
                    .map(|(name, token)| {
                        let count = node.counts.get(name).copied().unwrap_or_default();
                        if clock.is_multiple_of(5) {
                            Operation::Release(name.clone(), *token)
                        } else {
                            Operation::Save(name.clone(), *token, count.to_be_bytes().to_vec())
                        }
                    }),
            };
            if let Some(call) = call {
                node.number += 1;
                // Who gives it up stops before it says so.
                if let Operation::Release(name, token) = &call {
                    node.holder.lost(name, *token);
                }
                let command = Command {
                    node: node.name.clone(),
                    life: node.life,
                    number: node.number,
                    call,
                };
                node.open = Some((clock, clock, command.clone()));
                if !node.cut {
                    self.send(60, What::Operation(n, command));
                }
            }
        }
        let stopped = self.draw(200) == 0;
        for duty in DUTIES {
            let Some(permit) = self.nodes[n].holder.may(clock, duty) else {
                continue;
            };
            let count = self.nodes[n].counts.entry(duty.to_owned()).or_default();
            *count += 1;
            let effect = Effect::new(&permit, (n, *count));
            if stopped && self.loss > 0 {
                // Stopped between its check and its effect.
                self.nodes[n].checked.push(effect);
            } else {
                (0..self.fences.len())
                    .for_each(|fence| self.send(50, What::Effect(fence, effect.clone())));
            }
        }
        if !self.nodes[n].checked.is_empty() {
            self.nodes[n].until = self.now + 2000 + self.draw(6000);
        }
    }

    fn take(&mut self, what: What) {
        match what {
            What::Operation(n, command) => {
                if !self.nodes[n].cut {
                    let at = self.now + 5 + self.draw(30);
                    let last = self.log.last().map_or(0, |(at, _)| *at);
                    self.log.push((at.max(last), command));
                }
            }
            What::Response(n, life, number, answer) => {
                let node = &mut self.nodes[n];
                let open = node
                    .open
                    .take_if(|(_, _, command)| (command.life, command.number) == (life, number));
                let Some((asked, _, command)) = open else {
                    return;
                };
                match (command.call, answer) {
                    (Operation::Acquire(duty), Response::Owns(token, value)) => {
                        let count = value.try_into().map_or(0, u64::from_be_bytes);
                        node.counts.insert(duty.clone(), count);
                        node.holder.granted(asked, &duty, token);
                    }
                    (Operation::Renew(all), Response::Renewed(renewed, lost)) => {
                        for (duty, token) in all {
                            if lost.contains(&duty) {
                                node.holder.lost(&duty, token);
                            } else if renewed.iter().any(|(name, _)| *name == duty) {
                                node.holder.granted(asked, &duty, token);
                            }
                        }
                    }
                    (Operation::Save(duty, token, _), Response::Refused(_)) => {
                        node.holder.lost(&duty, token)
                    }
                    _ => {}
                }
            }
            What::Effect(fence, effect) => {
                let (duty, token) = (effect.duty().to_owned(), effect.token());
                if let Ok((n, count)) = self.fences[fence].admit(effect) {
                    self.done
                        .entry((fence, duty))
                        .or_default()
                        .push((token, n, count));
                }
            }
        }
    }

    /// One millisecond and some.
    fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            self.on_the_way.drain(..).partition(|(at, _)| *at <= now);
        self.on_the_way = rest;
        for (at, what) in due {
            match &what {
                // What comes to a process that is stopped waits for it.
                What::Response(n, ..) if !self.awake(*n) => self.on_the_way.push((at + 10, what)),
                _ => self.take(what),
            }
        }
        for v in 0..self.voters.len() {
            // Voters apply as they hear of it; the leader first.
            let lag = if v == self.leader { 0 } else { 40 };
            while let Some((at, command)) = self.log.get(self.voters[v].applied).cloned()
                && at + lag <= now
            {
                let voter = &mut self.voters[v];
                voter.applied += 1;
                let before = voter.state.token();
                let answer = voter.state.apply(&command);
                assert!(voter.state.token() >= before, "tokens grow");
                voter.granter.applied(now, &voter.state);
                let n = self
                    .nodes
                    .iter()
                    .position(|node| node.name == command.node && !node.dead);
                if let Some(n) = n.filter(|n| v == self.leader && !self.nodes[*n].cut) {
                    self.send(60, What::Response(n, command.life, command.number, answer));
                }
            }
            let leads = v == self.leader;
            self.voters[v].granter.lead(leads);
            if let Some(call) = self.voters[v].granter.due(now) {
                self.expired += 1;
                let command = Command {
                    node: format!("v{v}"),
                    life: 1,
                    number: self.expired,
                    call,
                };
                let last = self.log.last().map_or(0, |(at, _)| *at);
                self.log.push((last.max(now + 10), command));
            }
        }
        for n in 0..self.nodes.len() {
            if self.awake(n) {
                self.turn(n);
            }
        }
        for duty in DUTIES {
            let may = |n: &usize| {
                self.awake(*n) && self.nodes[*n].holder.may(self.clock(*n), duty).is_some()
            };
            let owners: Vec<usize> = (0..self.nodes.len()).filter(may).collect();
            assert!(owners.len() < 2, "two owners of {duty} at once: {owners:?}");
        }
    }

    fn fault(&mut self) {
        let n = self.draw(self.nodes.len() as u64) as usize;
        match self.draw(6) {
            0 => self.nodes[n].until = self.now + self.draw(8000),
            1 => {
                let node = &mut self.nodes[n];
                (node.dead, node.open, node.holder) =
                    (true, None, LeaseHolder::new(LeaseTiming::default()));
                node.checked.clear();
            }
            2 => {
                let node = &mut self.nodes[n];
                if std::mem::replace(&mut node.dead, false) {
                    (node.life, node.number) = (node.life + 1, 0);
                }
            }
            3 => self.nodes[n].cut = !self.nodes[n].cut,
            4 => self.leader = self.draw(3) as usize,
            _ => self.loss = [0, 5, 30][self.draw(3) as usize],
        }
    }
}

/// Guards against two effects under one token of different owners, an effect of an old owner after a newer one's, tokens that
/// come again, a checkpoint that goes back, two that believe at once that they may, and a fleet that is not served again.
#[test]
fn whatever_fails_one_owner_at_a_time_does_the_work() {
    let range = std::env::var("POSTPROXY_RUNS").unwrap_or_else(|_| "0..150".into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    let (mut refused, mut owners, mut effects) = (0, 0, 0);
    for seed in from.parse::<u64>().expect("a seed")..to.parse().expect("a seed") {
        let mut sim = Sim::new(3 + seed as usize % 5, seed);
        for _ in 0..5 {
            for _ in 0..150 + sim.draw(500) {
                sim.step();
            }
            sim.fault();
        }
        sim.loss = 0;
        let now = sim.now;
        sim.nodes.iter_mut().for_each(|node| {
            if std::mem::replace(&mut node.dead, false) {
                (node.life, node.number) = (node.life + 1, 0);
            }
            (node.cut, node.until) = (false, node.until.min(now));
        });
        // A lease, its drift, and what a call takes.
        for _ in 0..600 {
            sim.step();
        }
        for duty in DUTIES {
            let served = (0..1000).any(|_| {
                sim.step();
                (0..sim.nodes.len()).any(|n| sim.nodes[n].holder.may(sim.clock(n), duty).is_some())
            });
            assert!(
                served,
                "seed {seed}: {duty} has no owner: {:?}",
                sim.voters[0].state.duty(duty)
            );
        }
        let mut whose: BTreeMap<u64, usize> = BTreeMap::new();
        for ((fence, duty), done) in &sim.done {
            assert!(
                done.windows(2).all(|two| two[0].0 <= two[1].0),
                "seed {seed}: {duty} at {fence}: an old owner's"
            );
            for (token, n, _) in done {
                assert_eq!(
                    whose.entry(*token).or_insert(*n),
                    n,
                    "seed {seed}: {duty}: token {token} of two"
                );
            }
            effects += done.len();
        }
        let mut saved: BTreeMap<&str, u64> = BTreeMap::new();
        let mut state = LeaseTable::default();
        for (_, command) in &sim.log {
            state.apply(command);
            for (name, duty) in state.duties() {
                let name = DUTIES
                    .iter()
                    .find(|known| **known == name)
                    .expect("a known one");
                let before = saved.entry(name).or_default();
                assert!(
                    duty.saved >= *before,
                    "seed {seed}: the checkpoint of {name} went back"
                );
                *before = duty.saved;
            }
        }
        let longest = sim
            .voters
            .iter()
            .max_by_key(|voter| voter.applied)
            .expect("a voter");
        assert_eq!(
            longest.state.token(),
            state.token(),
            "seed {seed}: voters come to the same"
        );
        owners += whose.len();
        refused += sim.fences.iter().map(Fence::refused).sum::<u64>();
    }
    println!("{effects} effects under {owners} tokens, {refused} refused");
    assert!(
        refused > 20 && owners > 500,
        "{refused} refused, {owners} owners: the faults did happen"
    );
}

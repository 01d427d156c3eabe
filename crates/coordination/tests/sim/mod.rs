#![allow(dead_code)]
//! The council of a fleet in told time from seeds: founders and nodes that do not vote, links that are cut in one or both
//! directions and lose what was on the way, disks that take their time, deaths that lose what was not durable, stores that are
//! lost or set back, stops between check and effect, clocks up to 2 % apart, voters removed and added by calls.

use postproxy_coordination::{
    Coordinator, Effect, Error, Event, Fence, LeaseTiming, NotVotingReason, Output, Settings,
    StorageChange,
};
use postproxy_fault_injection::Timeline;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const DUTIES: [&str; 3] = ["audit", "bans", "relabel"];

pub type Kept = BTreeMap<Vec<u8>, Vec<u8>>;
/// What is on its way, each with when it is there.
pub type Way = VecDeque<(u64, Vec<u8>)>;

#[derive(Default)]
pub struct Node {
    pub council: Option<Coordinator>,
    pub kept: Kept,
    /// The store as it was at some earlier time.
    pub old: Option<Kept>,
    pub writes: VecDeque<(u64, u64, Vec<StorageChange>)>,
    pub slow: bool,
    pub stopped: u64,
    pub rate: i64,
    pub inbox: Vec<(usize, Vec<u8>)>,
    /// Checked before a stop, and done after it.
    pub checked: Vec<Effect<usize>>,
    /// What calls have come to, by ticket.
    pub answers: BTreeMap<u64, Result<(), Error>>,
    pub values: BTreeMap<String, u64>,
}

#[derive(Clone, Copy, Default)]
pub struct Without {
    pub fence: bool,
}

pub struct Sim {
    pub seed: u64,
    pub now: u64,
    pub draws: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub founders: BTreeSet<String>,
    pub links: BTreeMap<(usize, usize), Way>,
    pub cut: BTreeSet<(usize, usize)>,
    pub effects: Vec<(u64, usize, Effect<usize>)>,
    pub fences: Vec<Fence>,
    pub done: BTreeMap<(usize, String), Vec<(u64, usize)>>,
    pub owners: BTreeMap<u64, String>,
    pub lives: u64,
    pub tickets: u64,
    pub quiet: bool,
    pub without: Without,
    /// What has happened, to be drawn.
    pub timeline: Timeline,
    /// Whether each of these was seen: a lost voter, a seat given, a seat taken, an old owner's effect refused.
    pub seen: [bool; 4],
}

impl Sim {
    pub fn new(founders: usize, others: usize, seed: u64, without: Without) -> Self {
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        let mut node = || Node {
            rate: (draws.next_u64() % 41) as i64 - 20,
            ..Node::default()
        };
        let nodes: Vec<Node> = (0..founders + others).map(|_| node()).collect();
        let mut sim = Self {
            seed,
            now: 100_000,
            draws,
            nodes,
            founders: (0..founders).map(|n| format!("n{n}")).collect(),
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            effects: Vec::new(),
            fences: vec![Fence::default(); 2],
            done: BTreeMap::new(),
            owners: BTreeMap::new(),
            lives: seed << 20,
            tickets: 0,
            quiet: false,
            without,
            timeline: Timeline::new((0..founders + others).map(|n| format!("n{n}"))),
            seen: [false; 4],
        };
        (0..sim.nodes.len()).for_each(|n| sim.start(n));
        sim
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.draws.next_u64() % below.max(1)
    }

    pub fn clock(&self, n: usize) -> u64 {
        (self.now as i64 * (1000 + self.nodes[n].rate) / 1000) as u64
    }

    pub fn start(&mut self, n: usize) {
        self.lives += 1;
        let settings = Settings {
            name: format!("n{n}"),
            cluster: "test".into(),
            founders: self.founders.clone(),
            times: LeaseTiming::default(),
            duties: DUTIES.iter().map(|duty| (*duty).to_owned()).collect(),
        };
        let mut out = Vec::new();
        let council = Coordinator::new(
            settings,
            self.clock(n),
            self.lives,
            self.nodes[n].kept.clone(),
            &mut out,
        );
        self.nodes[n].council = Some(council);
        self.timeline.set_state(self.now, n, "");
        self.carry(n, out);
        self.renew(n);
    }

    pub fn kill(&mut self, n: usize) {
        self.timeline.set_state(self.now, n, "dead");
        let node = &mut self.nodes[n];
        (node.council, node.stopped) = (None, 0);
        node.writes.clear();
        node.inbox.clear();
        node.checked.clear();
        self.renew(n);
    }

    pub fn renew(&mut self, n: usize) {
        (0..self.nodes.len())
            .filter(|other| *other != n)
            .for_each(|other| self.reconnect(n, other));
    }

    pub fn reconnect(&mut self, a: usize, b: usize) {
        for (one, other) in [(a, b), (b, a)] {
            self.links.remove(&(one, other));
            let (mut out, clock) = (Vec::new(), self.clock(one));
            if let Some(council) = &mut self.nodes[one].council {
                council.reconnected(clock, &format!("n{other}"), &mut out);
            }
            self.carry(one, out);
        }
    }

    pub fn carry(&mut self, n: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Send(to, bytes) => {
                    let to: usize = to[1..].parse().expect("a node");
                    let at = self.now + 1 + self.draw(10);
                    let link = self.links.entry((n, to)).or_default();
                    let at = link.back().map_or(0, |(at, _)| *at).max(at);
                    link.push_back((at, bytes));
                }
                Output::Write(number, changes) => {
                    let took = if self.nodes[n].slow {
                        50 + self.draw(2000)
                    } else {
                        1 + self.draw(20)
                    };
                    let at = self.nodes[n]
                        .writes
                        .back()
                        .map_or(0, |(at, ..)| *at)
                        .max(self.now + took);
                    self.nodes[n].writes.push_back((at, number, changes));
                }
                Output::Event(Event::Answered(ticket, came)) => {
                    self.nodes[n].answers.insert(ticket, came.map(|_| ()));
                }
                Output::Event(Event::Seated(ticket, came)) => {
                    self.nodes[n].answers.insert(ticket, came);
                }
                Output::Event(Event::Lost(duty, token)) if duty == "audit" => {
                    self.timeline
                        .add_event(self.now, n, format!("gives up {token}"));
                }
                Output::Event(Event::Gained(duty, _, value)) => {
                    let value = value.try_into().map(u64::from_be_bytes).unwrap_or_default();
                    let before = self.nodes[n].values.insert(duty.clone(), value);
                    assert!(
                        before.is_none_or(|before| before <= value),
                        "seed {}: {duty} went back",
                        self.seed
                    );
                }
                Output::Event(Event::Votes(Some(NotVotingReason::Lost))) => self.seen[0] = true,
                Output::Event(_) => {}
            }
        }
        let Some(council) = &self.nodes[n].council else {
            return;
        };
        for (name, duty) in council.state().duties() {
            if let Some((owner, token)) = &duty.owner {
                let known = self
                    .owners
                    .entry(*token)
                    .or_insert_with(|| format!("{name} {owner}"));
                assert_eq!(
                    *known,
                    format!("{name} {owner}"),
                    "seed {}: a token of two",
                    self.seed
                );
            }
        }
    }

    pub fn turn(&mut self, n: usize) {
        let (clock, mut out) = (self.clock(n), Vec::new());
        let (inbox, checked) = (
            std::mem::take(&mut self.nodes[n].inbox),
            std::mem::take(&mut self.nodes[n].checked),
        );
        let stop = self.draw(400) == 0 && !self.quiet;
        let Some(council) = &mut self.nodes[n].council else {
            return;
        };
        council.turn(clock, &mut out);
        for (from, bytes) in inbox {
            assert!(
                council.receive(clock, &format!("n{from}"), &bytes, &mut out),
                "a word of ours"
            );
        }
        let may: Vec<Effect<usize>> = DUTIES
            .iter()
            .filter_map(|duty| Some(Effect::new(&council.may(clock, duty)?, n)))
            .collect();
        self.carry(n, out);
        for effect in checked
            .into_iter()
            .chain(if stop { Vec::new() } else { may.clone() })
        {
            for fence in 0..self.fences.len() {
                let at = self.now + 1 + self.draw(200);
                self.effects.push((at, fence, effect.clone()));
            }
        }
        if stop {
            self.nodes[n].checked = may;
            self.nodes[n].stopped = self.now + self.draw(8000);
        }
    }

    pub fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        for n in 0..self.nodes.len() {
            while let Some((_, number, changes)) =
                self.nodes[n].writes.pop_front_if(|(at, ..)| *at <= now)
            {
                for change in changes {
                    match change.value {
                        Some(value) => self.nodes[n].kept.insert(change.key, value),
                        None => self.nodes[n].kept.remove(&change.key),
                    };
                }
                let (mut out, clock) = (Vec::new(), self.clock(n));
                if let Some(council) = &mut self.nodes[n].council {
                    council.durable(clock, number, &mut out);
                }
                self.carry(n, out);
            }
        }
        for (&(from, to), link) in self
            .links
            .iter_mut()
            .filter(|(link, _)| !self.cut.contains(link))
        {
            while let Some((_, bytes)) = link.pop_front_if(|(at, _)| *at <= now) {
                if self.nodes[to].council.is_some() {
                    self.nodes[to].inbox.push((from, bytes));
                }
            }
        }
        let (due, rest): (Vec<_>, Vec<_>) = self.effects.drain(..).partition(|(at, ..)| *at <= now);
        self.effects = rest;
        for (_, fence, effect) in due {
            let (duty, token) = (effect.duty().to_owned(), effect.token());
            let owner = if self.without.fence {
                // As if it were another fence each time.
                Fence::default().admit(effect)
            } else {
                self.fences[fence].admit(effect)
            };
            match owner {
                Ok(n) => self.done.entry((fence, duty)).or_default().push((token, n)),
                Err(_) => self.seen[3] = true,
            }
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].stopped <= now {
                self.turn(n);
            }
        }
        for n in (0..self.nodes.len()).filter(|n| self.nodes[*n].stopped <= now) {
            if let Some(council) = &self.nodes[n].council {
                let permit = council.may(self.clock(n), "audit");
                let state =
                    permit.map_or(String::new(), |permit| format!("owner {}", permit.token()));
                self.timeline.set_state(now, n, state);
            }
        }
        for duty in DUTIES {
            let owners = self.owners_of(duty);
            assert!(
                owners.len() < 2,
                "seed {}: two owners of {duty} at once: {owners:?}",
                self.seed
            );
        }
    }

    pub fn owners_of(&self, duty: &str) -> Vec<usize> {
        let may = |n: &usize| {
            let council = self.nodes[*n]
                .council
                .as_ref()
                .filter(|_| self.nodes[*n].stopped <= self.now);
            council.is_some_and(|council| council.may(self.clock(*n), duty).is_some())
        };
        (0..self.nodes.len()).filter(may).collect()
    }

    /// A call at a node's door, and what it comes to within 8 s.
    pub fn asks(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Coordinator, u64, u64, &mut Vec<Output>),
    ) -> Option<Result<(), Error>> {
        self.tickets += 1;
        let (ticket, clock, mut out) = (self.tickets, self.clock(n), Vec::new());
        act(self.nodes[n].council.as_mut()?, clock, ticket, &mut out);
        self.carry(n, out);
        for _ in 0..800 {
            if let Some(came) = self.nodes[n].answers.remove(&ticket) {
                return Some(came);
            }
            self.step();
        }
        None
    }

    pub fn seats(&mut self, add: bool, name: &str) -> Option<Result<(), Error>> {
        let n = (0..self.nodes.len())
            .find(|n| self.nodes[*n].council.is_some() && self.nodes[*n].stopped <= self.now)?;
        let came = self.asks(n, |council, now, ticket, out| {
            council.seating(now, ticket, add, name, out)
        });
        if came == Some(Ok(())) {
            self.seen[if add { 1 } else { 2 }] = true;
        }
        came
    }

    pub fn fault(&mut self) {
        let count = self.nodes.len() as u64;
        let (n, other) = (self.draw(count) as usize, self.draw(count) as usize);
        match self.draw(10) {
            0 => self.kill(n),
            1 if self.nodes[n].council.is_none() => self.start(n),
            2 => self.nodes[n].stopped = self.now + self.draw(9000),
            3 | 4 if n != other => {
                self.cut.insert((n, other));
                if self.draw(2) == 0 {
                    self.cut.insert((other, n));
                }
            }
            5 => {
                for (a, b) in std::mem::take(&mut self.cut) {
                    self.reconnect(a, b);
                }
            }
            6 => self.nodes[n].slow = !self.nodes[n].slow,
            // One voter loses its store, or gets an older one, while all others vote and are there to say so.
            7 => {
                self.mend();
                (0..800).for_each(|_| self.step());
                if self.all_vote() {
                    self.kill(n);
                    let old = self.nodes[n].old.clone().unwrap_or_default();
                    self.nodes[n].kept = if self.draw(2) == 0 { Kept::new() } else { old };
                    self.start(n);
                    (0..800).for_each(|_| self.step());
                }
                self.quiet = false;
            }
            8 => {
                let add = self.draw(2) == 0;
                self.seats(add, &format!("n{n}"));
            }
            _ => self.nodes[n].old = Some(self.nodes[n].kept.clone()),
        }
    }

    /// Whether all seats vote and all nodes are there and in touch: one store more lost is one at a time.
    pub fn all_vote(&self) -> bool {
        let there = |node: &Node| node.council.is_some() && node.stopped <= self.now;
        let votes = |node: &Node| node.council.as_ref().is_some_and(Coordinator::votes);
        let seats = self
            .nodes
            .iter()
            .filter_map(|node| node.council.as_ref().filter(|c| c.votes()))
            .map(|c| c.seats().len());
        let voting = self.nodes.iter().filter(|node| votes(node)).count();
        // Of two, one that is lost is the majority.
        self.nodes.iter().all(there)
            && self.cut.is_empty()
            && voting >= 3
            && seats.max() == Some(voting)
    }

    pub fn mend(&mut self) {
        self.quiet = true;
        let now = self.now;
        for n in 0..self.nodes.len() {
            (self.nodes[n].slow, self.nodes[n].stopped) = (false, self.nodes[n].stopped.min(now));
            if self.nodes[n].council.is_none() {
                self.start(n);
            }
        }
        for (a, b) in std::mem::take(&mut self.cut) {
            self.reconnect(a, b);
        }
    }

    pub fn picture(&self) -> String {
        let all = self
            .nodes
            .iter()
            .enumerate()
            .map(|(n, node)| match &node.council {
                Some(council) => format!("{council:?} {:?}", council.view(self.clock(n))),
                None => format!("n{n} is dead"),
            });
        all.collect::<Vec<_>>().join("\n")
    }

    /// Waits for this at most so long.
    pub fn waits(&mut self, ms: u64, what: &str, so: impl Fn(&Self) -> bool) {
        let until = self.now + ms;
        while !so(self) {
            assert!(
                self.now < until,
                "seed {}: {what}: {}",
                self.seed,
                self.picture()
            );
            self.step();
        }
    }
}

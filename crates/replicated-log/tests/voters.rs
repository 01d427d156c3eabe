//! Voters in told time from seeds: links that are cut in one or both directions and lose what was on the way, disks that take
//! their time, deaths that lose what was not durable yet, stops. Each place of the log must hold one word, for ever.

use postproxy_replicated_log::{Output, ProposalRejected, StateMachine, Voter};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How many words, and a sum of them and their order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Sum(u64, u64);

impl StateMachine for Sum {
    fn apply(&mut self, word: &[u8]) {
        self.0 += 1;
        self.1 = word.iter().fold(self.1, |sum, byte| {
            (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
    }
}

fn founders(count: usize) -> BTreeMap<u64, String> {
    (1..=count as u64).map(|n| (n, format!("n{n}"))).collect()
}

type Kept = BTreeMap<Vec<u8>, Vec<u8>>;

struct Node {
    voter: Option<Voter<Sum>>,
    kept: Kept,
    /// Writes on their way to the disk: when they are durable.
    writes: VecDeque<(u64, u64, Vec<postproxy_replicated_log::StorageChange>)>,
    slow: bool,
    stopped: u64,
    inbox: Vec<(usize, Vec<u8>)>,
}

/// What is taken out of the protocol.
#[derive(Clone, Copy, Default)]
struct Without {
    /// A voter speaks before what it rests on is durable.
    gate: bool,
    /// A voter that lost its store votes on under its number.
    store: bool,
}

/// What is on its way, each with when it is there.
type Link = VecDeque<(u64, Vec<u8>)>;

struct Sim {
    now: u64,
    draws: Pcg64Mcg,
    nodes: Vec<Node>,
    links: BTreeMap<(usize, usize), Link>,
    cut: BTreeSet<(usize, usize)>,
    /// By place, what was decided there, and what all up to it comes to.
    log: BTreeMap<u64, (Vec<u8>, Sum)>,
    /// The first place of which two things were told.
    broken: Option<String>,
    next: u64,
    refused: u64,
    without: Without,
}

impl Sim {
    fn new(count: usize, seed: u64, without: Without) -> Self {
        let node = || Node {
            voter: None,
            kept: Kept::new(),
            writes: VecDeque::new(),
            slow: false,
            stopped: 0,
            inbox: Vec::new(),
        };
        let (links, cut, log) = Default::default();
        let mut sim = Self {
            now: 1000,
            draws: Pcg64Mcg::seed_from_u64(seed),
            nodes: (0..count).map(|_| node()).collect(),
            links,
            cut,
            log,
            broken: None,
            next: 0,
            refused: 0,
            without,
        };
        (0..count).for_each(|n| sim.start(n));
        sim
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws.next_u64() % below.max(1)
    }

    fn start(&mut self, n: usize) {
        let kept = self.nodes[n].kept.clone();
        let (voter, out) = Voter::new(n as u64 + 1, &founders(self.nodes.len()), kept)
            .expect("what it kept is sound");
        self.nodes[n].voter = Some(voter);
        self.carry(n, out);
        self.renew(n);
    }

    fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.voter, node.stopped) = (None, 0);
        node.writes.clear();
        node.inbox.clear();
        self.renew(n);
    }

    /// All connections of a voter are new.
    fn renew(&mut self, n: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != n) {
            self.reconnect(n, other);
        }
    }

    fn reconnect(&mut self, a: usize, b: usize) {
        self.links.remove(&(a, b));
        self.links.remove(&(b, a));
        for (one, other) in [(a, b), (b, a)] {
            let mut out = Vec::new();
            if let Some(voter) = &mut self.nodes[one].voter {
                voter.reconnected(other as u64 + 1, &mut out);
            }
            self.carry(one, out);
        }
    }

    /// What was told to have come to this by that place must be what others were told.
    fn check(&mut self, n: usize, place: u64, state: Sum) {
        if let Some(why) = self.nodes[n].voter.as_ref().and_then(Voter::ended) {
            self.broken.get_or_insert(format!("voter {n} ended: {why}"));
        }
        if place > 0
            && let Some((_, known)) = self.log.get(&place)
            && *known != state
        {
            self.broken
                .get_or_insert(format!("voter {n}, place {place}: {state:?} and {known:?}"));
        }
    }

    fn carry(&mut self, n: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Write(number, changes) => {
                    let took = if self.nodes[n].slow {
                        50 + self.draw(2000)
                    } else {
                        1 + self.draw(20)
                    };
                    let at = self.nodes[n]
                        .writes
                        .back()
                        .map_or(0, |(at, _, _)| *at)
                        .max(self.now + took);
                    self.nodes[n].writes.push_back((at, number, changes));
                    if self.without.gate {
                        let mut out = Vec::new();
                        if let Some(voter) = &mut self.nodes[n].voter {
                            voter.durable(number, &mut out);
                        }
                        self.carry(n, out);
                    }
                }
                Output::Send(to, bytes) => {
                    let link = (n, to as usize - 1);
                    let at = self.now + 1 + self.draw(10);
                    let at = self
                        .links
                        .get(&link)
                        .and_then(|queue| queue.back())
                        .map_or(0, |(at, _)| *at)
                        .max(at);
                    self.links.entry(link).or_default().push_back((at, bytes));
                }
                Output::Decided(place, word) => {
                    let state = self.nodes[n]
                        .voter
                        .as_ref()
                        .map(|voter| voter.state().clone())
                        .unwrap_or_default();
                    match self.log.get(&place) {
                        Some((known, _)) if *known != word => {
                            self.broken
                                .get_or_insert(format!("voter {n}, place {place}: two words"));
                        }
                        Some(_) => {}
                        None => {
                            let mut sum = self
                                .log
                                .get(&(place - 1))
                                .map(|(_, sum)| sum.clone())
                                .unwrap_or_default();
                            sum.apply(&word);
                            self.log.insert(place, (word, sum));
                        }
                    }
                    let told = self.nodes[n].voter.as_ref().map_or(0, Voter::told);
                    self.check(n, told, state);
                }
                Output::Seats => {}
                Output::Skipped(_) => {
                    let state = self.nodes[n]
                        .voter
                        .as_ref()
                        .map(|voter| voter.state().clone())
                        .unwrap_or_default();
                    let told = self.nodes[n].voter.as_ref().map_or(0, Voter::told);
                    assert_eq!(state.0, told, "as many words as places");
                    self.check(n, told, state);
                }
            }
        }
    }

    fn propose(&mut self, n: usize) -> Option<Vec<u8>> {
        self.next += 1;
        let word = self.next.to_be_bytes().to_vec();
        let mut out = Vec::new();
        let said = self.nodes[n]
            .voter
            .as_mut()?
            .propose(word.clone(), &mut out);
        self.carry(n, out);
        match said {
            Ok(()) => Some(word),
            Err(_) => {
                self.refused += 1;
                None
            }
        }
    }

    /// Ten milliseconds.
    fn step(&mut self) {
        self.now += 10;
        let now = self.now;
        for n in 0..self.nodes.len() {
            // The disk goes on whether the process is stopped or not.
            while let Some((_, number, changes)) =
                self.nodes[n].writes.pop_front_if(|(at, _, _)| *at <= now)
            {
                for change in changes {
                    match change.value {
                        Some(value) => self.nodes[n].kept.insert(change.key, value),
                        None => self.nodes[n].kept.remove(&change.key),
                    };
                }
                let mut out = Vec::new();
                if let Some(voter) = &mut self.nodes[n].voter {
                    voter.durable(number, &mut out);
                }
                self.carry(n, out);
            }
        }
        let links: Vec<(usize, usize)> = self.links.keys().copied().collect();
        for (from, to) in links
            .into_iter()
            .filter(|link| !self.cut.contains(link))
            .collect::<Vec<_>>()
        {
            while let Some((_, bytes)) = self
                .links
                .get_mut(&(from, to))
                .and_then(|queue| queue.pop_front_if(|(at, _)| *at <= now))
            {
                self.nodes[to].inbox.push((from, bytes));
            }
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].stopped > now {
                continue;
            }
            let inbox = std::mem::take(&mut self.nodes[n].inbox);
            let mut out = Vec::new();
            if let Some(voter) = &mut self.nodes[n].voter {
                for (_, bytes) in inbox {
                    assert!(voter.receive(&bytes, &mut out), "a sound message");
                }
                if now.is_multiple_of(50) {
                    voter.tick(&mut out);
                }
            }
            self.carry(n, out);
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.step();
            let n = self.draw(self.nodes.len() as u64) as usize;
            if self.draw(3) == 0 && self.nodes[n].stopped <= self.now {
                self.propose(n);
            }
        }
    }

    fn fault(&mut self) {
        let count = self.nodes.len() as u64;
        let (n, other) = (self.draw(count) as usize, self.draw(count) as usize);
        match self.draw(8) {
            0 | 1 => {
                self.kill(n);
                if self.without.store {
                    self.nodes[n].kept.clear();
                    self.start(n);
                }
            }
            2 => {
                if self.nodes[n].voter.is_none() {
                    self.start(n);
                }
            }
            3 => self.nodes[n].stopped = self.now + self.draw(4000),
            4 if n != other => {
                self.cut.insert((n, other));
                if self.draw(2) == 0 {
                    self.cut.insert((other, n));
                }
            }
            5 => {
                let cut = std::mem::take(&mut self.cut);
                // Some connections were given up meanwhile, others go on with what was on the way.
                for (a, b) in cut {
                    if self.draw(2) == 0 {
                        self.reconnect(a, b);
                    }
                }
            }
            6 => self.nodes[n].slow = !self.nodes[n].slow,
            _ => self.reconnect(n, other.max(1) - usize::from(other == n && other > 0)),
        }
    }

    fn mend(&mut self) {
        let now = self.now;
        for n in 0..self.nodes.len() {
            (self.nodes[n].slow, self.nodes[n].stopped) = (false, self.nodes[n].stopped.min(now));
            if self.nodes[n].voter.is_none() {
                self.start(n);
            }
        }
        for (a, b) in std::mem::take(&mut self.cut) {
            self.reconnect(a, b);
        }
    }

    /// Whether a word that is put to the log now is told by all in time; one that got lost is put again.
    fn serves(&mut self, ms: u64) -> bool {
        let until = self.now + ms;
        let n = self.draw(self.nodes.len() as u64) as usize;
        let mut words: Vec<Vec<u8>> = Vec::new();
        while self.now < until {
            words.extend(self.propose(n));
            for _ in 0..30 {
                self.step();
            }
            let place = self
                .log
                .iter()
                .find(|(_, (word, _))| words.contains(word))
                .map(|(place, _)| *place);
            let told = |node: &Node| node.voter.as_ref().map_or(0, Voter::told);
            if place.is_some_and(|place| self.nodes.iter().all(|node| told(node) >= place)) {
                return true;
            }
        }
        false
    }

    fn picture(&self) -> String {
        let node = |node: &Node| match &node.voter {
            Some(voter) => {
                format!(
                    "{:?}, {} told, {} in memory",
                    voter.leader(),
                    voter.told(),
                    voter.length()
                )
            }
            None => "dead".to_owned(),
        };
        self.nodes.iter().map(node).collect::<Vec<_>>().join("; ")
    }
}

fn runs() -> std::ops::Range<u64> {
    let range = std::env::var("POSTPROXY_RUNS").unwrap_or_else(|_| "0..60".into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Guards against two words at one place, a state that is not its words', a word that was told and is gone after deaths, a
/// log that grows without end, and a set of voters that does not go on once all is well.
#[test]
fn each_place_holds_one_word_whatever_fails() {
    let (mut words, mut refused, mut longest, mut count) = (0, 0, 0, 0);
    // The last one left a voter behind for ever, before it tried to lead by itself.
    for seed in runs().chain([8508]) {
        count += 1;
        let mut sim = Sim::new([3, 5, 7][seed as usize % 3], seed, Without::default());
        assert!(
            sim.serves(10_000),
            "seed {seed}: from the start: {}",
            sim.picture()
        );
        for _ in 0..8 {
            let ms = 300 + sim.draw(3000);
            sim.run(ms);
            sim.fault();
            assert_eq!(sim.broken, None, "seed {seed}");
        }
        sim.mend();
        assert!(
            sim.serves(20_000),
            "seed {seed}: after the last fault: {}",
            sim.picture()
        );
        // All die at once; what was told is there.
        (0..sim.nodes.len()).for_each(|n| sim.kill(n));
        (0..sim.nodes.len()).rev().for_each(|n| sim.start(n));
        assert!(
            sim.serves(20_000),
            "seed {seed}: after all died: {}",
            sim.picture()
        );
        assert_eq!(sim.broken, None, "seed {seed}");
        words += sim.log.len();
        refused += sim.refused;
        longest = longest.max(
            sim.nodes
                .iter()
                .filter_map(|n| n.voter.as_ref())
                .map(Voter::length)
                .max()
                .unwrap_or(0),
        );
    }
    println!("{words} words decided, {refused} not taken, at most {longest} in memory");
    assert!(words > 100 * count, "{words}");
}

/// Guards against guards that guard nothing: a voter that speaks before its disk has, or that votes on without what it had
/// kept, breaks a promise in some run.
#[test]
fn each_guard_taken_out_is_missed() {
    let found = |without: Without| {
        (0..400).find(|seed| {
            let mut sim = Sim::new(3, *seed, without);
            for _ in 0..20 {
                let ms = 100 + sim.draw(1500);
                sim.run(ms);
                sim.fault();
                // One that ends by itself has been caught by another guard.
                if sim
                    .broken
                    .as_ref()
                    .is_some_and(|broken| !broken.contains("ended"))
                {
                    return true;
                }
            }
            false
        })
    };
    let gate = found(Without {
        gate: true,
        ..Without::default()
    });
    let store = found(Without {
        store: true,
        ..Without::default()
    });
    println!("without the gate: seed {gate:?}; with a lost store: seed {store:?}");
    assert!(gate.is_some() && store.is_some());
}

/// Guards against a log that grows for ever where words go on, and a voter that comes late and needs what was folded.
#[test]
fn the_log_is_folded_and_who_was_away_gets_what_it_came_to() {
    let mut sim = Sim::new(3, 5, Without::default());
    assert!(sim.serves(10_000));
    sim.kill(2);
    let mut proposed = 0;
    while proposed < 3000 {
        for n in 0..2 {
            proposed += usize::from(sim.propose(n).is_some());
        }
        sim.step();
    }
    sim.run(2000);
    assert!(sim.log.len() > 2900, "{}", sim.log.len());
    let length = sim.nodes[0].voter.as_ref().map_or(0, Voter::length);
    assert!(length < 1200, "{length} in memory");
    let kept: usize = sim.nodes[0]
        .kept
        .iter()
        .map(|(key, value)| key.len() + value.len())
        .sum();
    assert!(kept < 40_000, "{kept} bytes kept");
    sim.start(2);
    assert!(sim.serves(20_000), "{}", sim.picture());
    assert_eq!(sim.broken, None);
}

/// Guards against a star whose middle fails, a line, and one that hears and is not heard, in which nothing goes on although a
/// majority could.
#[test]
fn voters_that_hear_each_other_in_part_go_on() {
    let cases: [(&str, &[(usize, usize)]); 4] = [
        // 0 - 1 - 2
        ("a line", &[(0, 2), (2, 0)]),
        // All hear 0 alone.
        (
            "a star of five",
            &[
                (1, 2),
                (1, 3),
                (1, 4),
                (2, 3),
                (2, 4),
                (3, 4),
                (2, 1),
                (3, 1),
                (4, 1),
                (3, 2),
                (4, 2),
                (4, 3),
            ],
        ),
        ("one that is not heard", &[(0, 1), (0, 2)]),
        ("one that does not hear", &[(1, 0), (2, 0)]),
    ];
    for (name, cut) in cases {
        for seed in 0..6 {
            let count = if name.contains("five") { 5 } else { 3 };
            let mut sim = Sim::new(count, seed, Without::default());
            assert!(sim.serves(10_000), "{name}");
            sim.run(1000);
            sim.cut.extend(cut.iter().copied());
            sim.run(5000);
            let before = sim.log.len();
            sim.run(10_000);
            assert!(
                sim.log.len() > before + 20,
                "{name}, seed {seed}: {} of {before}: {}",
                sim.log.len(),
                sim.picture()
            );
            sim.mend();
            assert!(sim.serves(20_000), "{name}, seed {seed}: {}", sim.picture());
            assert_eq!(sim.broken, None, "{name}, seed {seed}");
        }
    }
}

/// Guards against damage that is gone by, and what is no message or too long and is taken in.
#[test]
fn what_is_damaged_or_no_word_of_ours_is_refused() {
    let mut sim = Sim::new(3, 9, Without::default());
    assert!(sim.serves(10_000));
    let kept = sim.nodes[0].kept.clone();
    let open = |kept: Kept| {
        Voter::<Sum>::new(1, &founders(3), kept)
            .err()
            .map(|damage| damage.to_string())
    };
    assert_eq!(open(kept.clone()), None);
    let (first, _) = kept
        .iter()
        .find(|(key, _)| key.starts_with(b"a/l/"))
        .expect("a word");
    let mut gap = kept.clone();
    gap.remove(first);
    if kept.keys().filter(|key| key.starts_with(b"a/l/")).count() > 1 {
        assert!(open(gap).expect("a gap").contains("is missing"));
    }
    for key in ["a/hard", "a/folded", "a/x", "a/l/short"] {
        let mut bad = kept.clone();
        bad.insert(key.into(), vec![0xff]);
        assert!(open(bad).is_some(), "{key}");
    }
    for (me, count) in [(4, 3), (0, 3), (1, 8)] {
        assert!(
            Voter::<Sum>::new(me, &founders(count), Kept::new()).is_err(),
            "{me} of {count}"
        );
    }
    let mut out = Vec::new();
    let voter = sim.nodes[0].voter.as_mut().expect("it lives");
    assert_eq!(
        voter.propose(
            vec![0; postproxy_replicated_log::MAX_ENTRY_BYTES + 1],
            &mut out
        ),
        Err(ProposalRejected::Long)
    );
    for n in 0..2000u32 {
        let bytes: Vec<u8> = (0..n % 40)
            .map(|at| (n.wrapping_mul(2_654_435_761) >> (at % 24)) as u8)
            .collect();
        voter.receive(&bytes, &mut out);
    }
    assert!(sim.serves(20_000), "{}", sim.picture());
    assert_eq!(sim.broken, None);
}

//! Desks of a fleet in told time from seeds: lists that change, nodes whose discovery is stuck, silent or another one, words that are
//! lost and late, nodes that stop and start anew, cuts.

use postproxy_version_tracking::{
    AuditEvent, AuditLog, Event, Kind, Message, Output, Settings, Source, VersionRecord,
    VersionTracker, digest,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

struct Node {
    desk: VersionTracker,
    /// Whose discovery it asks, and whether that tells it anything.
    generation: u64,
    stuck: bool,
    stopped: u64,
    cut: bool,
    lives: u64,
    /// The highest number that it has acted on in this life.
    highest: u64,
}

struct Sim {
    now: u64,
    draws: Pcg64Mcg,
    nodes: Vec<Node>,
    words: Vec<(u64, usize, usize, Result<Message, VersionRecord>)>,
    loss: u64,
    /// The number of each generation's list, and when it came to be.
    lists: BTreeMap<u64, (u64, u64)>,
    said: u64,
    forks: usize,
    brought_up: usize,
}

fn stand(generation: u64, number: u64) -> VersionRecord {
    VersionRecord {
        generation,
        number,
        digest: digest([&generation.to_le_bytes()[..], &number.to_le_bytes()]),
    }
}

impl Sim {
    fn new(count: usize, seed: u64) -> Self {
        let node = |n: usize| Node {
            desk: VersionTracker::new(Settings { beat_ms: 400 }, 1000, seed << 16 | n as u64),
            generation: 1,
            stuck: false,
            stopped: 0,
            cut: false,
            lives: 0,
            highest: 0,
        };
        let mut sim = Self {
            now: 1000,
            draws: Pcg64Mcg::seed_from_u64(seed),
            nodes: (0..count).map(node).collect(),
            words: Vec::new(),
            loss: 0,
            lists: [(1, (1, 1000)), (2, (1, 1000))].into(),
            said: 0,
            forks: 0,
            brought_up: 0,
        };
        (0..count).for_each(|n| sim.begin(n));
        sim
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws.next_u64() % below.max(1)
    }

    fn begin(&mut self, n: usize) {
        let others = (0..self.nodes.len())
            .filter(|other| *other != n)
            .map(|other| format!("{other}"))
            .collect();
        let (now, generation) = (self.now, self.nodes[n].generation);
        let node = &mut self.nodes[n];
        node.lives += 1;
        node.desk = VersionTracker::new(
            Settings { beat_ms: 400 },
            now,
            (n as u64) << 32 | node.lives,
        );
        node.desk.peers(others);
        node.highest = 0;
        // A stuck discovery tells its first list alone.
        let number = if node.stuck {
            1
        } else {
            self.lists[&generation].0
        };
        self.adopt(n, stand(generation, number), Source::Own);
    }

    fn adopt(&mut self, n: usize, stand: VersionRecord, source: Source) {
        let (now, mut out) = (self.now, Vec::new());
        let node = &mut self.nodes[n];
        if node.desk.adopt(now, Kind::List, stand, source, &mut out) {
            assert!(
                stand.number >= node.highest,
                "node {n}: {} after {}",
                stand.number,
                node.highest
            );
            node.highest = stand.number;
        }
        self.carry(n, out);
    }

    fn carry(&mut self, n: usize, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Say(to, word) => {
                    self.said += 1;
                    let to: usize = to.parse().expect("a node");
                    let lost =
                        self.draw(100) < self.loss || self.nodes[n].cut || self.nodes[to].cut;
                    let at = self.now
                        + 1
                        + self.draw(5)
                        + if self.draw(50) == 0 {
                            self.draw(60_000)
                        } else {
                            0
                        };
                    if !lost {
                        self.words.push((at, n, to, Ok(word)));
                    }
                }
                Output::Give(to, Kind::List) => {
                    let held = self.nodes[n].desk.heads()[&Kind::List];
                    let at = self.now + 1 + self.draw(20);
                    self.words
                        .push((at, n, to.parse().expect("a node"), Err(held)));
                }
                Output::Give(..) => {}
                Output::Event(Event::Fork(..)) => self.forks += 1,
                Output::Event(Event::BroughtUp(..)) => self.brought_up += 1,
                Output::Event(Event::Behind(..)) => {}
            }
        }
    }

    fn change(&mut self, generation: u64) {
        let now = self.now;
        let list = self.lists.get_mut(&generation).expect("a list");
        *list = (list.0 + 1, now);
        let number = list.0;
        for n in 0..self.nodes.len() {
            let node = &self.nodes[n];
            if node.generation == generation && !node.stuck && node.stopped <= now {
                self.adopt(n, stand(generation, number), Source::Own);
            }
        }
    }

    fn step(&mut self) {
        self.now += 5;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.words)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.words = rest;
        for (_, from, to, word) in due {
            if self.nodes[to].stopped > now {
                continue;
            }
            match word {
                Ok(word) => {
                    let mut out = Vec::new();
                    self.nodes[to]
                        .desk
                        .heard(now, &format!("{from}"), word, &mut out);
                    self.carry(to, out);
                }
                // As the node does: of another generation, or not newer, nothing is taken.
                Err(held) => {
                    let own = self.nodes[to].desk.heads()[&Kind::List];
                    if held.generation == own.generation && held.number > own.number {
                        self.adopt(to, held, Source::Peer(format!("{from}")));
                    }
                }
            }
        }
        for n in 0..self.nodes.len() {
            if self.nodes[n].stopped <= now {
                let mut out = Vec::new();
                self.nodes[n].desk.due(now, &mut out);
                self.carry(n, out);
            }
        }
    }

    fn number(&self, n: usize) -> u64 {
        self.nodes[n].desk.heads()[&Kind::List].number
    }

    fn all_up(&self) -> bool {
        (0..self.nodes.len()).all(|n| self.number(n) == self.lists[&self.nodes[n].generation].0)
    }
}

/// *Nothing older ever replaces newer*, *of another generation nothing is taken*, and *who is behind is brought up by any node that has
/// what is newer*; trails hold together.
#[test]
fn who_is_behind_is_brought_up_whatever_fails() {
    let mut brought_up = 0;
    for seed in 0..60 {
        let mut sim = Sim::new(3 + seed as usize % 10, seed);
        let count = sim.nodes.len() as u64;
        // One asks another discovery.
        sim.nodes[0].generation = 2;
        sim.begin(0);
        for _ in 0..8 {
            for _ in 0..sim.draw(400) {
                sim.step();
            }
            let n = 1 + sim.draw(count - 1) as usize;
            match sim.draw(7) {
                // At least one of the generation hears its discovery.
                0 if n > 1 => sim.nodes[n].stuck = true,
                1 => sim.nodes[n].stopped = sim.now + sim.draw(5000),
                2 => sim.begin(n),
                3 => sim.nodes[n].cut = !sim.nodes[n].cut,
                4 => sim.loss = sim.draw(40),
                5 => sim.change(2),
                _ => sim.change(1),
            }
        }
        sim.nodes
            .iter_mut()
            .for_each(|node| (node.cut, node.stopped) = (false, 0));
        // Who was stopped asks its own discovery anew.
        for n in 0..sim.nodes.len() {
            let (generation, stuck) = (sim.nodes[n].generation, sim.nodes[n].stuck);
            if !stuck {
                sim.adopt(n, stand(generation, sim.lists[&generation].0), Source::Own);
            }
        }
        sim.loss = 20;
        for _ in 0..6000 {
            sim.step();
        }
        assert!(
            sim.all_up(),
            "seed {seed}: {:?}",
            (0..sim.nodes.len())
                .map(|n| sim.number(n))
                .collect::<Vec<_>>()
        );
        assert_eq!(sim.forks, 0, "seed {seed}");
        for node in &sim.nodes {
            let records: Vec<_> = node.desk.trail().records().0.cloned().collect();
            assert_eq!(AuditLog::check(&records), Ok(()), "seed {seed}");
        }
        brought_up += sim.brought_up;
    }
    assert!(brought_up > 30, "{brought_up}");
}

/// How long one that is stuck acts on an old list after the others have the new one, and what a node says; a table with `--nocapture`.
#[test]
fn a_straggler_is_up_within_two_seconds_at_any_size_and_a_node_says_no_more() {
    let mut steady = Vec::new();
    for (count, runs) in [(3, 300), (10, 200), (30, 100), (100, 30), (300, 10)] {
        for loss in [0, 10] {
            let (mut times, mut said) = (Vec::new(), 0);
            for seed in 0..runs {
                let mut sim = Sim::new(count, 1000 + seed);
                (sim.loss, sim.nodes[count - 1].stuck) = (loss, true);
                (0..600).for_each(|_| sim.step());
                let before = sim.said;
                (0..400).for_each(|_| sim.step());
                said += sim.said - before;
                sim.change(1);
                let changed = sim.now;
                while sim.number(count - 1) < 2 && sim.now < changed + 20_000 {
                    sim.step();
                }
                times.push(sim.now - changed);
            }
            times.sort_unstable();
            let at = |share: usize| times[(times.len() * share / 100).min(times.len() - 1)];
            let each = said as f64 / (2.0 * runs as f64 * count as f64);
            println!(
                "{count} nodes, {loss} % lost: p50 {} ms, p99 {} ms, max {} ms; {each:.2} words a second a node",
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

/// Guards against a fork that nobody names or that is named for ever, and a flood of kinds.
#[test]
fn one_number_with_two_meanings_is_named_once() {
    let mut desk = VersionTracker::new(Settings { beat_ms: 400 }, 0, 1);
    desk.peers(BTreeSet::from(["b".to_owned()]));
    let mut out = Vec::new();
    assert!(desk.adopt(1, Kind::List, stand(1, 5), Source::Own, &mut out));
    assert!(
        !desk.adopt(
            1,
            Kind::List,
            stand(1, 4),
            Source::Peer("b".into()),
            &mut out
        ),
        "older never replaces newer"
    );
    assert!(
        desk.adopt(2, Kind::List, stand(2, 1), Source::Own, &mut out),
        "another discovery counts anew"
    );
    assert!(desk.adopt(3, Kind::List, stand(1, 5), Source::Own, &mut out));
    let other = VersionRecord {
        digest: 7,
        ..stand(1, 5)
    };
    for _ in 0..3 {
        desk.heard(10, "b", Message::Heads(vec![(Kind::List, other)]), &mut out);
    }
    let forks = out
        .iter()
        .filter(|one| matches!(one, Output::Event(Event::Fork(..))))
        .count();
    assert_eq!(forks, 1);
    out.clear();
    desk.heard(
        11,
        "b",
        Message::Heads(vec![(Kind::List, stand(1, 9)); 17]),
        &mut out,
    );
    desk.heard(
        11,
        "b",
        Message::Heads(vec![(Kind::List, stand(3, 9))]),
        &mut out,
    );
    desk.heard(11, "b", Message::Want(Kind::List, 3, 0), &mut out);
    assert_eq!(out, [], "too many, another generation");
}

/// Guards against a trail that is changed anywhere and still holds together, and one that grows without end.
#[test]
fn a_trail_changed_anywhere_is_seen_and_old_records_are_folded() {
    let mut trail = AuditLog::new(5, 8);
    for n in 1..=40u64 {
        trail.act(n);
        trail.adopted(5 + n, Kind::List, stand(1, n), Source::Own);
        let records: Vec<_> = trail.records().0.cloned().collect();
        assert!(
            records.len() <= 8 && AuditLog::check(&records).is_ok(),
            "{n}"
        );
        let acts: u64 = records.iter().map(|record| record.acts).sum();
        assert_eq!(
            acts,
            (1..=n).sum::<u64>(),
            "what is folded still counts its acts"
        );
    }
    let records: Vec<_> = trail.records().0.cloned().collect();
    assert!(
        matches!(records[0].what, AuditEvent::Folded(34)),
        "{:?}",
        records[0]
    );
    // The first one's own text is gone; its hash, and all after it, can't be changed unseen.
    for at in 1..records.len() {
        for what in 0..5 {
            let mut bad = records.clone();
            match what {
                0 => bad[at].acts += 1,
                1 => bad[at].at_ms ^= 1,
                2 => bad[at].what = AuditEvent::Adopted(Kind::List, stand(1, 99), Source::Own),
                3 => bad[at].hash[31] ^= 1,
                _ => drop(bad.remove(at)),
            }
            let last = at + 1 == records.len() && what == 4;
            assert!(last || AuditLog::check(&bad).is_err(), "{at} {what}");
        }
    }
}

//! Voters that come back with all, less or nothing of what they had kept: who may vote, and that nobody else does.

use postproxy_replicated_log::StorageChange;
use postproxy_replicated_log::admission::{
    Admission, AdmissionEffect, AdmissionMessage, AdmissionVerdict,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

type Kept = BTreeMap<Vec<u8>, Vec<u8>>;

#[derive(Default)]
struct Node {
    admission: Option<Admission>,
    kept: Kept,
    /// Writes on their way, with when they are durable.
    writes: Vec<(u64, u64, Vec<StorageChange>)>,
    /// The store as it was at some earlier time.
    old: Option<Kept>,
    /// What it has today is less than it once had kept.
    less: bool,
    voted: bool,
}

struct Sim {
    now: u64,
    draws: Pcg64Mcg,
    nodes: Vec<Node>,
    words: Vec<(u64, usize, usize, AdmissionMessage)>,
    lives: u64,
}

impl Sim {
    fn new(count: usize, seed: u64) -> Self {
        let nodes = (0..count).map(|_| Node::default()).collect();
        let mut sim = Self {
            now: 0,
            draws: Pcg64Mcg::seed_from_u64(seed),
            nodes,
            words: Vec::new(),
            lives: 0,
        };
        (0..count).for_each(|n| sim.start(n));
        sim
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws.next_u64() % below.max(1)
    }

    fn start(&mut self, n: usize) {
        self.lives += 1;
        let voters: Vec<u64> = (1..=self.nodes.len() as u64).collect();
        let kept = self.nodes[n].kept.clone();
        self.nodes[n].admission = Some(Admission::new(
            n as u64 + 1,
            self.lives,
            &voters,
            (0, 0),
            kept,
        ));
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].admission = None;
        self.nodes[n].writes.clear();
    }

    fn carry(&mut self, n: usize, out: Vec<AdmissionEffect>) {
        for act in out {
            match act {
                AdmissionEffect::Write(number, changes) => {
                    let at = self.nodes[n]
                        .writes
                        .last()
                        .map_or(0, |(at, ..)| *at)
                        .max(self.now + 1 + self.draw(4));
                    self.nodes[n].writes.push((at, number, changes));
                }
                AdmissionEffect::AdmissionMessage(to, say) => {
                    // Lost, late and out of order.
                    if self.draw(10) > 0 {
                        let at = self.now + 1 + self.draw(8);
                        self.words.push((at, n, to as usize - 1, say));
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self.words.drain(..).partition(|(at, ..)| *at <= now);
        self.words = rest;
        for (_, from, to, say) in due {
            let mut out = Vec::new();
            if let Some(admission) = &mut self.nodes[to].admission {
                admission.receive(from as u64 + 1, say, &mut out);
            }
            self.carry(to, out);
        }
        for n in 0..self.nodes.len() {
            let mut out = Vec::new();
            let node = &mut self.nodes[n];
            let (due, rest): (Vec<_>, Vec<_>) =
                node.writes.drain(..).partition(|(at, ..)| *at <= now);
            node.writes = rest;
            for (_, number, changes) in due {
                for change in changes {
                    node.kept
                        .insert(change.key, change.value.expect("nothing is removed"));
                }
                if let Some(admission) = &mut node.admission {
                    admission.durable(number, &mut out);
                }
            }
            if let Some(admission) = &mut node.admission {
                if now.is_multiple_of(5) {
                    admission.tick(&mut out);
                }
                if admission.verdict() == AdmissionVerdict::Vote {
                    assert!(!node.less, "voter {n} votes with less than it had kept");
                    node.voted = true;
                }
            }
            self.carry(n, out);
        }
    }

    fn run(&mut self, steps: u64) {
        (0..steps).for_each(|_| self.step());
    }

    fn verdicts(&self) -> Vec<Option<AdmissionVerdict>> {
        self.nodes
            .iter()
            .map(|node| node.admission.as_ref().map(Admission::verdict))
            .collect()
    }
}

/// Guards against a voter that votes with an empty or an older store, one that has all and may not, and a first start of all
/// that does not come about. One store is lost a run, while the others are there; any may die and come back before.
#[test]
fn who_has_less_than_it_had_kept_does_not_vote_and_who_has_all_does() {
    let (mut lost, mut older) = (0, 0);
    for seed in 0..2000 {
        let mut sim = Sim::new([3, 5, 7][seed as usize % 3], seed);
        sim.run(200);
        assert!(
            sim.verdicts()
                .iter()
                .all(|v| *v == Some(AdmissionVerdict::Vote)),
            "seed {seed}: born: {:?}",
            sim.verdicts()
        );
        for _ in 0..sim.draw(8) {
            let n = sim.draw(sim.nodes.len() as u64) as usize;
            if sim.draw(3) == 0 {
                let kept = sim.nodes[n].kept.clone();
                sim.nodes[n].old = Some(kept);
            }
            sim.kill(n);
            let wait = sim.draw(40);
            sim.run(wait);
            sim.start(n);
            let wait = 10 + sim.draw(60);
            sim.run(wait);
        }
        sim.run(200);
        assert!(
            sim.verdicts()
                .iter()
                .all(|v| *v == Some(AdmissionVerdict::Vote)),
            "seed {seed}: back: {:?}",
            sim.verdicts()
        );
        // One comes back with less. All others are there.
        let n = sim.draw(sim.nodes.len() as u64) as usize;
        sim.kill(n);
        let kept = sim.nodes[n].kept.clone();
        let node = &mut sim.nodes[n];
        match node.old.take().filter(|old| *old != kept) {
            Some(old) => {
                older += 1;
                node.kept = old;
            }
            None => {
                lost += 1;
                node.kept.clear();
            }
        }
        node.less = true;
        sim.start(n);
        sim.run(300);
        assert_eq!(
            sim.nodes[n].admission.as_ref().map(Admission::verdict),
            Some(AdmissionVerdict::Lost),
            "seed {seed}"
        );
        // The others die and come back, all at once, without it: they are not held up by it.
        for other in (0..sim.nodes.len()).filter(|other| *other != n) {
            sim.kill(other);
            sim.start(other);
        }
        sim.run(300);
        let votes = sim
            .verdicts()
            .iter()
            .filter(|v| **v == Some(AdmissionVerdict::Vote))
            .count();
        assert_eq!(
            votes,
            sim.nodes.len() - 1,
            "seed {seed}: {:?}",
            sim.verdicts()
        );
    }
    assert!(lost > 100 && older > 100, "{lost} lost, {older} older");
}

/// Guards against a start that is told before it is kept, an answer before what it says is, and words of strangers.
#[test]
fn nothing_is_said_before_it_is_kept() {
    let kept = [(b"s/start".to_vec(), 4u64.to_be_bytes().to_vec())];
    let (mut admission, mut out) = (Admission::new(1, 77, &[1, 2, 3], (0, 0), kept), Vec::new());
    admission.tick(&mut out);
    let key = b"s/start".to_vec();
    let write = StorageChange {
        key,
        value: Some(5u64.to_be_bytes().to_vec()),
    };
    assert_eq!(out, [AdmissionEffect::Write(1, vec![write])]);
    out.clear();
    admission.tick(&mut out);
    admission.receive(9, AdmissionMessage::Seen(5), &mut out);
    admission.receive(2, AdmissionMessage::Seen(5), &mut out);
    assert_eq!(
        (&out[..], admission.verdict()),
        (&[][..], AdmissionVerdict::Wait),
        "it has not started"
    );
    admission.receive(3, AdmissionMessage::Started(8, 1, (0, 0)), &mut out);
    assert!(matches!(out[..], [AdmissionEffect::Write(2, _)]), "{out:?}");
    out.clear();
    admission.receive(3, AdmissionMessage::Started(8, 1, (0, 0)), &mut out);
    assert_eq!(out, [], "again, while it is not kept");
    admission.durable(1, &mut out);
    assert_eq!(
        out,
        [
            AdmissionEffect::AdmissionMessage(2, AdmissionMessage::Started(5, 77, (0, 0))),
            AdmissionEffect::AdmissionMessage(3, AdmissionMessage::Started(5, 77, (0, 0)))
        ]
    );
    out.clear();
    admission.durable(2, &mut out);
    assert_eq!(
        out,
        [
            AdmissionEffect::AdmissionMessage(3, AdmissionMessage::Seen(8)),
            AdmissionEffect::AdmissionMessage(3, AdmissionMessage::Seen(8))
        ]
    );
    out.clear();
    admission.receive(3, AdmissionMessage::Started(8, 2, (0, 0)), &mut out);
    admission.receive(3, AdmissionMessage::Started(7, 1, (0, 0)), &mut out);
    assert_eq!(
        out,
        [
            AdmissionEffect::AdmissionMessage(3, AdmissionMessage::Old(8)),
            AdmissionEffect::AdmissionMessage(3, AdmissionMessage::Old(7))
        ],
        "another process, or an older start"
    );
    admission.receive(2, AdmissionMessage::Seen(4), &mut out);
    assert_eq!(
        admission.verdict(),
        AdmissionVerdict::Wait,
        "of an earlier start"
    );
    admission.receive(2, AdmissionMessage::Seen(5), &mut out);
    assert_eq!(
        admission.verdict(),
        AdmissionVerdict::Wait,
        "enough, and the third may know more"
    );
    admission.receive(3, AdmissionMessage::Seen(5), &mut out);
    assert_eq!(admission.verdict(), AdmissionVerdict::Vote);
    admission.receive(3, AdmissionMessage::Old(5), &mut out);
    assert_eq!(
        admission.verdict(),
        AdmissionVerdict::Lost,
        "better late than never"
    );
}

/// Guards against three voters without a majority for ever, once one has died for good and another was started anew.
#[test]
fn who_is_silent_is_not_waited_for_without_an_end() {
    for seed in 0..200 {
        let mut sim = Sim::new(3, seed);
        sim.run(200);
        sim.kill(2);
        sim.kill(1);
        sim.run(20);
        sim.start(1);
        sim.run(100);
        assert_eq!(
            sim.verdicts()[1],
            Some(AdmissionVerdict::Wait),
            "seed {seed}: it waits"
        );
        sim.run(400);
        assert_eq!(
            sim.verdicts()[1],
            Some(AdmissionVerdict::Vote),
            "seed {seed}"
        );
        // With one store lost and one voter away there is no majority: it must not make one.
        sim.kill(1);
        sim.nodes[1].kept.clear();
        sim.nodes[1].less = true;
        sim.start(1);
        sim.run(600);
        assert_ne!(
            sim.verdicts()[1],
            Some(AdmissionVerdict::Vote),
            "seed {seed}"
        );
    }
}

/// Guards against a voter with an empty store that takes itself for a new one because those who knew of it are away.
#[test]
fn who_has_nothing_needs_the_word_of_all() {
    for seed in 0..200 {
        let mut sim = Sim::new(5, seed);
        sim.run(200);
        // Never told of by the two that are away now, as if they had been since before its first start.
        for n in [3, 4] {
            sim.kill(n);
            sim.nodes[n]
                .kept
                .retain(|key, _| *key != [&b"s/known/"[..], &1u64.to_be_bytes()].concat());
        }
        sim.kill(0);
        sim.start(0);
        sim.run(400);
        assert_eq!(
            sim.verdicts()[0],
            Some(AdmissionVerdict::Vote),
            "seed {seed}"
        );
        (0..3).for_each(|n| sim.kill(n));
        sim.run(20); // what was on the way is gone
        sim.start(3);
        sim.start(4);
        sim.nodes[0].kept.clear();
        sim.nodes[0].less = true;
        sim.start(0);
        sim.run(600);
        assert_eq!(
            sim.verdicts()[0],
            Some(AdmissionVerdict::Wait),
            "seed {seed}: it asks on"
        );
        sim.start(1);
        sim.run(100);
        assert_eq!(
            sim.verdicts()[0],
            Some(AdmissionVerdict::Lost),
            "seed {seed}"
        );
    }
}

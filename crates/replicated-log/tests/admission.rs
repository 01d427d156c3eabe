//! Admission of voters that restart with all, some or none of what they had stored: only those with
//! everything may vote.

use postproxy_replicated_log::admission::{
    Admission, AdmissionEffect, AdmissionMessage, AdmissionVerdict,
};
use postproxy_replicated_log::{LogEnd, StorageChange};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

type Store = BTreeMap<Vec<u8>, Vec<u8>>;

/// A write in progress.
struct PendingWrite {
    durable_at: u64,
    number: u64,
    changes: Vec<StorageChange>,
}

/// A message in transit.
struct Transmission {
    arrives_at: u64,
    from: usize,
    to: usize,
    message: AdmissionMessage,
}

#[derive(Default)]
struct Node {
    admission: Option<Admission>,
    store: Store,
    writes: Vec<PendingWrite>,
    /// The store as it was at some earlier time.
    backup: Option<Store>,
    /// Whether the store lacks something that was durable.
    has_lost_data: bool,
}

struct Simulation {
    now: u64,
    random: Pcg64Mcg,
    nodes: Vec<Node>,
    in_transit: Vec<Transmission>,
    incarnations: u64,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        let nodes = (0..count).map(|_| Node::default()).collect();
        let mut sim = Self {
            now: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            nodes,
            in_transit: Vec::new(),
            incarnations: 0,
        };
        (0..count).for_each(|n| sim.start(n));
        sim
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below.max(1)
    }

    fn start(&mut self, n: usize) {
        self.incarnations += 1;
        let voters: Vec<u64> = (1..=self.nodes.len() as u64).collect();
        let store = self.nodes[n].store.clone();
        self.nodes[n].admission = Some(Admission::new(
            n as u64 + 1,
            self.incarnations,
            &voters,
            LogEnd::default(),
            store,
        ));
    }

    fn kill(&mut self, n: usize) {
        self.nodes[n].admission = None;
        self.nodes[n].writes.clear();
    }

    fn handle_effects(&mut self, n: usize, out: Vec<AdmissionEffect>) {
        for effect in out {
            match effect {
                AdmissionEffect::Write { number, changes } => {
                    let duration = 1 + self.random_below(4);
                    let previous = self.nodes[n].writes.last();
                    let durable_at = previous
                        .map_or(0, |write| write.durable_at)
                        .max(self.now + duration);
                    self.nodes[n].writes.push(PendingWrite {
                        durable_at,
                        number,
                        changes,
                    });
                }
                AdmissionEffect::Send { to, message } => {
                    // Messages are lost, delayed and reordered.
                    if self.random_below(10) > 0 {
                        let arrives_at = self.now + 1 + self.random_below(8);
                        self.in_transit.push(Transmission {
                            arrives_at,
                            from: n,
                            to: to as usize - 1,
                            message,
                        });
                    }
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self
            .in_transit
            .drain(..)
            .partition(|transmission| transmission.arrives_at <= now);
        self.in_transit = rest;
        for Transmission {
            from, to, message, ..
        } in due
        {
            let mut out = Vec::new();
            if let Some(admission) = &mut self.nodes[to].admission {
                admission.receive(from as u64 + 1, message, &mut out);
            }
            self.handle_effects(to, out);
        }
        for n in 0..self.nodes.len() {
            let mut out = Vec::new();
            let node = &mut self.nodes[n];
            let (due, rest): (Vec<_>, Vec<_>) = node
                .writes
                .drain(..)
                .partition(|write| write.durable_at <= now);
            node.writes = rest;
            for PendingWrite {
                number, changes, ..
            } in due
            {
                for change in changes {
                    node.store
                        .insert(change.key, change.value.expect("nothing is removed"));
                }
                if let Some(admission) = &mut node.admission {
                    admission.record_durable(number, &mut out);
                }
            }
            if let Some(admission) = &mut node.admission {
                if now.is_multiple_of(5) {
                    admission.tick(&mut out);
                }
                if admission.verdict() == AdmissionVerdict::Admitted {
                    assert!(
                        !node.has_lost_data,
                        "voter {n} was admitted with a store that has lost data"
                    );
                }
            }
            self.handle_effects(n, out);
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

/// A voter with an empty or an older store is not admitted; all are admitted at their first start
/// and whenever they restart with everything that they had stored. In each run voters are killed
/// and restarted at random, and then one of them loses data while the others are running.
#[test]
fn only_voters_with_everything_they_stored_are_admitted() {
    let mut lost = 0;
    let mut older = 0;
    for seed in 0..2000 {
        let mut sim = Simulation::new([3, 5, 7][seed as usize % 3], seed);
        sim.run(200);
        assert!(
            sim.verdicts()
                .iter()
                .all(|v| *v == Some(AdmissionVerdict::Admitted)),
            "seed {seed}: at the first start: {:?}",
            sim.verdicts()
        );
        for _ in 0..sim.random_below(8) {
            let n = sim.random_below(sim.nodes.len() as u64) as usize;
            if sim.random_below(3) == 0 {
                let store = sim.nodes[n].store.clone();
                sim.nodes[n].backup = Some(store);
            }
            sim.kill(n);
            let wait = sim.random_below(40);
            sim.run(wait);
            sim.start(n);
            let wait = 10 + sim.random_below(60);
            sim.run(wait);
        }
        sim.run(200);
        assert!(
            sim.verdicts()
                .iter()
                .all(|v| *v == Some(AdmissionVerdict::Admitted)),
            "seed {seed}: after restarts: {:?}",
            sim.verdicts()
        );
        // One voter restarts with an older or an empty store while all others are running.
        let n = sim.random_below(sim.nodes.len() as u64) as usize;
        sim.kill(n);
        let store = sim.nodes[n].store.clone();
        let node = &mut sim.nodes[n];
        match node.backup.take().filter(|backup| *backup != store) {
            Some(backup) => {
                older += 1;
                node.store = backup;
            }
            None => {
                lost += 1;
                node.store.clear();
            }
        }
        node.has_lost_data = true;
        sim.start(n);
        sim.run(300);
        assert_eq!(
            sim.nodes[n].admission.as_ref().map(Admission::verdict),
            Some(AdmissionVerdict::PromisesLost),
            "seed {seed}"
        );
        // All others restart at once; they are admitted without that voter.
        for other in (0..sim.nodes.len()).filter(|other| *other != n) {
            sim.kill(other);
            sim.start(other);
        }
        sim.run(300);
        let admitted = sim
            .verdicts()
            .iter()
            .filter(|v| **v == Some(AdmissionVerdict::Admitted))
            .count();
        assert_eq!(
            admitted,
            sim.nodes.len() - 1,
            "seed {seed}: {:?}",
            sim.verdicts()
        );
    }
    assert!(lost > 100 && older > 100, "{lost} lost, {older} older");
}

fn announcement(start: u64, incarnation: u64) -> AdmissionMessage {
    AdmissionMessage::StartAnnounced {
        start,
        incarnation,
        log_end: LogEnd::default(),
    }
}

fn send(to: u64, message: AdmissionMessage) -> AdmissionEffect {
    AdmissionEffect::Send { to, message }
}

/// Returns voter 1 of three, in incarnation 77, with start 4 stored.
fn restarted_voter() -> Admission {
    let stored = [(b"s/start".to_vec(), 4u64.to_be_bytes().to_vec())];
    Admission::new(1, 77, &[1, 2, 3], LogEnd::default(), stored)
}

/// A voter announces its start, and confirms another voter's, only after the start is durable.
/// Messages from a sender that is not a voter are ignored.
#[test]
fn nothing_is_announced_or_confirmed_before_it_is_durable() {
    let mut admission = restarted_voter();
    let mut out = Vec::new();
    admission.tick(&mut out);
    let change = StorageChange {
        key: b"s/start".to_vec(),
        value: Some(5u64.to_be_bytes().to_vec()),
    };
    let write = AdmissionEffect::Write {
        number: 1,
        changes: vec![change],
    };
    assert_eq!(out, [write]);
    out.clear();
    admission.tick(&mut out);
    admission.receive(9, AdmissionMessage::StartConfirmed(5), &mut out);
    admission.receive(2, AdmissionMessage::StartConfirmed(5), &mut out);
    assert_eq!(
        (&out[..], admission.verdict()),
        (&[][..], AdmissionVerdict::Pending),
        "its start is not durable yet"
    );
    admission.receive(3, announcement(8, 1), &mut out);
    assert!(
        matches!(out[..], [AdmissionEffect::Write { number: 2, .. }]),
        "{out:?}"
    );
    out.clear();
    admission.receive(3, announcement(8, 1), &mut out);
    assert_eq!(out, [], "announced again before the write is durable");
    admission.record_durable(1, &mut out);
    assert_eq!(
        out,
        [send(2, announcement(5, 77)), send(3, announcement(5, 77))]
    );
    out.clear();
    admission.record_durable(2, &mut out);
    let confirmation = send(3, AdmissionMessage::StartConfirmed(8));
    assert_eq!(out, [confirmation.clone(), confirmation]);
    out.clear();
    admission.receive(3, announcement(8, 2), &mut out);
    admission.receive(3, announcement(7, 1), &mut out);
    assert_eq!(
        out,
        [
            send(3, AdmissionMessage::StartOutdated(8)),
            send(3, AdmissionMessage::StartOutdated(7))
        ],
        "the same start of another process, and an older start"
    );
}

/// Within the grace period a voter is admitted only once all others have confirmed its start. An
/// admitted voter that then learns that its start is outdated must no longer vote.
#[test]
fn a_voter_is_admitted_once_all_have_confirmed_its_start() {
    let mut admission = restarted_voter();
    let mut out = Vec::new();
    admission.tick(&mut out);
    admission.receive(2, AdmissionMessage::StartConfirmed(5), &mut out);
    admission.record_durable(1, &mut out);
    admission.receive(9, AdmissionMessage::StartConfirmed(5), &mut out);
    admission.receive(2, AdmissionMessage::StartConfirmed(4), &mut out);
    assert_eq!(
        admission.verdict(),
        AdmissionVerdict::Pending,
        "confirmations before the start, from a non-voter and of an earlier start don't count"
    );
    admission.receive(2, AdmissionMessage::StartConfirmed(5), &mut out);
    assert_eq!(
        admission.verdict(),
        AdmissionVerdict::Pending,
        "a majority is not enough yet, since the third voter may know of a later start"
    );
    admission.receive(3, AdmissionMessage::StartConfirmed(5), &mut out);
    assert_eq!(admission.verdict(), AdmissionVerdict::Admitted);
    admission.receive(3, AdmissionMessage::StartOutdated(5), &mut out);
    assert_eq!(
        admission.verdict(),
        AdmissionVerdict::PromisesLost,
        "the start turned out to be outdated after the admission"
    );
}

/// After the grace period a majority of confirmations is enough: three voters keep a majority after
/// one of them has failed permanently and another has been restarted.
#[test]
fn silent_voters_are_waited_for_only_during_the_grace_period() {
    for seed in 0..200 {
        let mut sim = Simulation::new(3, seed);
        sim.run(200);
        sim.kill(2);
        sim.kill(1);
        sim.run(20);
        sim.start(1);
        sim.run(100);
        assert_eq!(
            sim.verdicts()[1],
            Some(AdmissionVerdict::Pending),
            "seed {seed}: the grace period is not over"
        );
        sim.run(400);
        assert_eq!(
            sim.verdicts()[1],
            Some(AdmissionVerdict::Admitted),
            "seed {seed}"
        );
        // With one store lost and one voter down there is no majority of confirmations.
        sim.kill(1);
        sim.nodes[1].store.clear();
        sim.nodes[1].has_lost_data = true;
        sim.start(1);
        sim.run(600);
        assert_ne!(
            sim.verdicts()[1],
            Some(AdmissionVerdict::Admitted),
            "seed {seed}"
        );
    }
}

/// A voter that has lost its store must not be admitted as a new one while the voters that know of
/// its start are down.
#[test]
fn a_voter_with_an_empty_store_needs_the_answers_of_all() {
    for seed in 0..200 {
        let mut sim = Simulation::new(5, seed);
        sim.run(200);
        // Two voters know of no start of it, as if they had been down since before its first one.
        for n in [3, 4] {
            sim.kill(n);
            sim.nodes[n]
                .store
                .retain(|key, _| *key != [&b"s/known/"[..], &1u64.to_be_bytes()].concat());
        }
        sim.kill(0);
        sim.start(0);
        sim.run(400);
        assert_eq!(
            sim.verdicts()[0],
            Some(AdmissionVerdict::Admitted),
            "seed {seed}"
        );
        (0..3).for_each(|n| sim.kill(n));
        // All messages in transit have arrived after that.
        sim.run(20);
        sim.start(3);
        sim.start(4);
        sim.nodes[0].store.clear();
        sim.nodes[0].has_lost_data = true;
        sim.start(0);
        sim.run(600);
        assert_eq!(
            sim.verdicts()[0],
            Some(AdmissionVerdict::Pending),
            "seed {seed}: it still waits for the other voters' answers"
        );
        sim.start(1);
        sim.run(100);
        assert_eq!(
            sim.verdicts()[0],
            Some(AdmissionVerdict::PromisesLost),
            "seed {seed}"
        );
    }
}

//! The auditor over fleets in told time from seeds: nodes that lag, flap, stop and come back, versions that nobody can adopt, owners that
//! change.

use postproxy_version_tracking::{
    Auditor, AuditorEvent, Kind, Limits, State, VersionDecisions, VersionLine, VersionRecord,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

const LINE: VersionLine = (Kind::List, 1);

fn stand(number: u64) -> VersionRecord {
    VersionRecord {
        generation: 1,
        number,
        digest: number,
    }
}

struct Fleet {
    now: u64,
    auditor: Auditor,
    numbers: Vec<u64>,
    verdicts: Vec<AuditorEvent>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut auditor = Auditor::new(Limits::default(), VersionDecisions::default());
        auditor.members(members(count));
        Self {
            now: 1000,
            auditor,
            numbers: vec![1; count],
            verdicts: Vec::new(),
        }
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now += 100;
            for (n, number) in self.numbers.iter().enumerate() {
                self.auditor
                    .heard(self.now, &format!("n{n}"), Kind::List, stand(*number));
            }
            self.verdicts.extend(self.auditor.turn(self.now));
        }
    }

    fn state(&self, n: usize) -> Option<State> {
        self.auditor.state(&format!("n{n}"), Kind::List)
    }
}

fn members(count: usize) -> BTreeSet<String> {
    (0..count).map(|n| format!("n{n}")).collect()
}

/// *Told, then shut out after the grace, then let back once it has caught up*; who falters again waits twice as long.
#[test]
fn a_straggler_is_shut_out_after_its_grace_and_let_back() {
    let mut fleet = Fleet::new(5);
    fleet.run(500);
    fleet.numbers = vec![2, 2, 2, 2, 1];
    fleet.run(1900);
    assert_eq!(
        fleet.state(4),
        Some(State::Current),
        "a version counts once a majority has held it for a while"
    );
    fleet.run(400);
    assert_eq!(fleet.state(4), Some(State::Behind));
    assert!(
        fleet.auditor.ruling().out.is_empty(),
        "not before its grace is over"
    );
    fleet.run(3000);
    assert_eq!(fleet.state(4), Some(State::Excluded));
    assert_eq!(fleet.auditor.ruling().floors.get(&LINE), Some(&2));
    let waits = |fleet: &mut Fleet| {
        fleet.numbers[4] = *fleet.numbers.iter().max().expect("a number");
        let start = fleet.now;
        while fleet.state(4) != Some(State::Current) {
            fleet.run(100);
            assert!(fleet.now < start + 60_000);
        }
        fleet.now - start
    };
    let first = waits(&mut fleet);
    assert!(fleet.auditor.ruling().out.is_empty());
    fleet.numbers = vec![3, 3, 3, 3, 2];
    fleet.run(6000);
    assert_eq!(fleet.state(4), Some(State::Excluded));
    let second = waits(&mut fleet);
    assert!(
        first < 1300 && second > first + 900,
        "{first} ms, then {second} ms"
    );
    // The next owner goes on from what was ruled.
    fleet.numbers = vec![4, 4, 4, 4, 3];
    fleet.run(6000);
    let mut next = Auditor::new(Limits::default(), fleet.auditor.ruling().clone());
    next.members(members(5));
    next.heard(fleet.now, "n4", Kind::List, stand(3));
    assert_eq!(next.state("n4", Kind::List), Some(State::Excluded));
}

/// *If shutting out would leave no majority, or most can't adopt a version, it is the version that is at fault*: nobody is shut out until an
/// operator says so.
#[test]
fn half_a_fleet_behind_is_the_versions_fault() {
    for (numbers, newest) in [(vec![2, 2, 2, 1, 1, 1], 2), (vec![2, 1, 1, 1, 1, 1], 2)] {
        let mut fleet = Fleet::new(6);
        fleet.run(500);
        fleet.numbers = numbers.clone();
        fleet.run(30_000);
        assert!(fleet.auditor.ruling().out.is_empty(), "{numbers:?}");
        let held = fleet
            .verdicts
            .iter()
            .filter(|v| matches!(v, AuditorEvent::Held(LINE, number, _) if *number == newest));
        assert_eq!(
            held.count(),
            1,
            "named once: {numbers:?}: {:?}",
            fleet.verdicts
        );
    }
    // Two of five are shut out; a third would leave no majority.
    let mut fleet = Fleet::new(5);
    fleet.run(500);
    fleet.numbers = vec![2, 2, 2, 1, 1];
    fleet.run(10_000);
    assert_eq!(fleet.auditor.ruling().out.len(), 2);
    fleet.numbers = vec![3, 3, 2, 3, 1];
    fleet.run(4000);
    fleet.numbers = vec![3, 3, 2, 1, 1];
    fleet.run(30_000);
    assert!(
        fleet.auditor.ruling().out.len() <= 2,
        "{:?}",
        fleet.auditor.ruling()
    );
    assert!(fleet.auditor.release(LINE) || fleet.auditor.ruling().held.is_empty());
}

/// Over random lags, restarts of the owner and new versions: never half of the members out, floors only grow, nobody is out who was never
/// behind for its grace, and all are back after the last lag.
#[test]
fn never_half_a_fleet_out_and_all_are_back_in_the_end() {
    let mut outs = 0;
    for seed in 0..300u64 {
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = |below: u64| draws.next_u64() % below;
        let count = 3 + seed as usize % 10;
        let mut fleet = Fleet::new(count);
        let (mut newest, mut lags) = (1, vec![0; count]);
        let mut floor = 0;
        for _ in 0..60 {
            match draw(6) {
                0 => newest += 1,
                1 => lags[draw(count as u64) as usize] = fleet.now + draw(15_000),
                2 => {
                    // Another owner.
                    fleet.auditor = Auditor::new(Limits::default(), fleet.auditor.ruling().clone());
                    fleet.auditor.members(members(count));
                }
                _ => {}
            }
            for (number, lag) in fleet.numbers.iter_mut().zip(&lags) {
                if *lag <= fleet.now {
                    *number = newest;
                }
            }
            let ms = 100 * draw(20);
            fleet.run(ms);
            let ruling = fleet.auditor.ruling();
            assert!(ruling.out.len() * 2 < count, "seed {seed}: {ruling:?}");
            let now = ruling.floors.get(&LINE).copied().unwrap_or(0);
            assert!(now >= floor, "seed {seed}: the floor fell");
            floor = now;
        }
        let early = fleet.verdicts.windows(2).any(|two| matches!(&two[0], AuditorEvent::Changed(_, _, State::Current, _)
            if matches!(&two[1], AuditorEvent::Changed(node, _, State::Excluded, _) if matches!(&two[0], AuditorEvent::Changed(of, ..) if of == node))));
        assert!(!early, "seed {seed}: out without having been behind");
        outs += fleet
            .verdicts
            .iter()
            .filter(|v| matches!(v, AuditorEvent::Changed(_, _, State::Excluded, _)))
            .count();
        fleet.numbers = vec![newest; count];
        fleet.run(40_000);
        assert!(
            fleet.auditor.ruling().out.is_empty(),
            "seed {seed}: {:?}",
            fleet.auditor.ruling()
        );
        assert!(
            (0..count).all(|n| fleet.state(n) == Some(State::Current)),
            "seed {seed}"
        );
    }
    assert!(outs > 100, "{outs}");
}

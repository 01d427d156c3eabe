//! The auditor in simulated clusters and virtual time: nodes that lag and catch up, versions that
//! most nodes can't adopt, and changes of the lease holder.

use postproxy_version_tracking::{
    Auditor, AuditorEvent, AuditorTiming, NodeState, VersionDecisions, VersionKind, VersionLine,
    VersionRecord,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

const LINE: VersionLine = VersionLine {
    kind: VersionKind::WorkerList,
    generation: 1,
};

fn version(number: u64) -> VersionRecord {
    VersionRecord {
        generation: 1,
        number,
        digest: number,
    }
}

/// An auditor, and the version number of each node.
struct Cluster {
    now_ms: u64,
    auditor: Auditor,
    numbers: Vec<u64>,
    events: Vec<AuditorEvent>,
}

impl Cluster {
    fn new(count: usize) -> Self {
        let mut auditor = Auditor::new(AuditorTiming::default(), VersionDecisions::default());
        auditor.set_members(members(count));
        Self {
            now_ms: 1000,
            auditor,
            numbers: vec![1; count],
            events: Vec::new(),
        }
    }

    /// Advances the time; the nodes report their versions and the auditor decides every 100 ms.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.now_ms += 100;
            for (n, number) in self.numbers.iter().enumerate() {
                self.auditor.record_version(
                    self.now_ms,
                    &format!("n{n}"),
                    VersionKind::WorkerList,
                    version(*number),
                );
            }
            self.events.extend(self.auditor.decide(self.now_ms));
        }
    }

    fn state(&self, n: usize) -> Option<NodeState> {
        self.auditor
            .state(&format!("n{n}"), VersionKind::WorkerList)
    }
}

/// Returns the node that the event reports in this state, if it is such an event.
fn node_in_state(event: &AuditorEvent, wanted: NodeState) -> Option<&str> {
    match event {
        AuditorEvent::StateChanged { node, state, .. } if *state == wanted => Some(node),
        _ => None,
    }
}

fn members(count: usize) -> BTreeSet<String> {
    (0..count).map(|n| format!("n{n}")).collect()
}

/// A node that is behind is excluded after the grace period, and readmitted after it has caught up.
/// The wait before the readmission doubles the second time.
#[test]
fn a_node_behind_is_excluded_after_the_grace_period_and_readmitted() {
    let mut cluster = Cluster::new(5);
    cluster.run(500);
    cluster.numbers = vec![2, 2, 2, 2, 1];
    cluster.run(1900);
    assert_eq!(
        cluster.state(4),
        Some(NodeState::Current),
        "a node is behind only after a majority has had the version for a while"
    );
    cluster.run(400);
    assert_eq!(cluster.state(4), Some(NodeState::Behind));
    assert!(
        cluster.auditor.decisions().excluded.is_empty(),
        "excluded before the grace period is over"
    );
    cluster.run(3000);
    assert_eq!(cluster.state(4), Some(NodeState::Excluded));
    assert_eq!(cluster.auditor.decisions().floors.get(&LINE), Some(&2));
    let readmission_ms = |cluster: &mut Cluster| {
        cluster.numbers[4] = *cluster.numbers.iter().max().expect("a number");
        let start = cluster.now_ms;
        while cluster.state(4) != Some(NodeState::Current) {
            cluster.run(100);
            assert!(cluster.now_ms < start + 60_000);
        }
        cluster.now_ms - start
    };
    let first = readmission_ms(&mut cluster);
    assert!(cluster.auditor.decisions().excluded.is_empty());
    cluster.numbers = vec![3, 3, 3, 3, 2];
    cluster.run(6000);
    assert_eq!(cluster.state(4), Some(NodeState::Excluded));
    let second = readmission_ms(&mut cluster);
    assert!(
        first < 1300 && second > first + 900,
        "{first} ms, then {second} ms"
    );
    // The next holder of the lease continues from the decisions.
    cluster.numbers = vec![4, 4, 4, 4, 3];
    cluster.run(6000);
    let mut next = Auditor::new(
        AuditorTiming::default(),
        cluster.auditor.decisions().clone(),
    );
    next.set_members(members(5));
    next.record_version(cluster.now_ms, "n4", VersionKind::WorkerList, version(3));
    assert_eq!(
        next.state("n4", VersionKind::WorkerList),
        Some(NodeState::Excluded)
    );
}

/// If an exclusion would leave no majority, or most nodes don't adopt a version, the version counts
/// as faulty, and no node is excluded until an operator clears the fault.
#[test]
fn a_version_that_half_the_nodes_lack_is_faulty() {
    for (numbers, newest) in [(vec![2, 2, 2, 1, 1, 1], 2), (vec![2, 1, 1, 1, 1, 1], 2)] {
        let mut cluster = Cluster::new(6);
        cluster.run(500);
        cluster.numbers = numbers.clone();
        cluster.run(30_000);
        assert!(
            cluster.auditor.decisions().excluded.is_empty(),
            "{numbers:?}"
        );
        let faults = cluster
            .events
            .iter()
            .filter(|v| matches!(v, AuditorEvent::VersionFaulty { line: LINE, number, .. } if *number == newest));
        assert_eq!(
            faults.count(),
            1,
            "not reported exactly once: {numbers:?}: {:?}",
            cluster.events
        );
    }
    // Two of five nodes are excluded; excluding a third one would leave no majority.
    let mut cluster = Cluster::new(5);
    cluster.run(500);
    cluster.numbers = vec![2, 2, 2, 1, 1];
    cluster.run(10_000);
    assert_eq!(cluster.auditor.decisions().excluded.len(), 2);
    cluster.numbers = vec![3, 3, 2, 3, 1];
    cluster.run(4000);
    cluster.numbers = vec![3, 3, 2, 1, 1];
    cluster.run(30_000);
    assert!(
        cluster.auditor.decisions().excluded.len() <= 2,
        "{:?}",
        cluster.auditor.decisions()
    );
    assert!(cluster.auditor.clear_fault(LINE) || cluster.auditor.decisions().faulty.is_empty());
}

/// With random lags, lease holders and versions, fewer than half of the members are excluded,
/// floors never fall, a node is excluded only after it was found to be behind, and all nodes are
/// readmitted after the last lag.
#[test]
fn fewer_than_half_the_nodes_are_excluded_and_all_are_readmitted() {
    let mut exclusions = 0;
    for seed in 0..300u64 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut random_below = |below: u64| rng.next_u64() % below;
        let count = 3 + seed as usize % 10;
        let mut cluster = Cluster::new(count);
        let (mut newest, mut lags) = (1, vec![0; count]);
        let mut floor = 0;
        for _ in 0..60 {
            match random_below(6) {
                0 => newest += 1,
                1 => {
                    lags[random_below(count as u64) as usize] =
                        cluster.now_ms + random_below(15_000)
                }
                2 => {
                    // Another node holds the lease.
                    cluster.auditor = Auditor::new(
                        AuditorTiming::default(),
                        cluster.auditor.decisions().clone(),
                    );
                    cluster.auditor.set_members(members(count));
                }
                _ => {}
            }
            for (number, lag) in cluster.numbers.iter_mut().zip(&lags) {
                if *lag <= cluster.now_ms {
                    *number = newest;
                }
            }
            let ms = 100 * random_below(20);
            cluster.run(ms);
            let decisions = cluster.auditor.decisions();
            assert!(
                decisions.excluded.len() * 2 < count,
                "seed {seed}: {decisions:?}"
            );
            let now = decisions.floors.get(&LINE).copied().unwrap_or(0);
            assert!(now >= floor, "seed {seed}: the floor fell");
            floor = now;
        }
        let early = cluster.events.windows(2).any(|pair| {
            let first_node = node_in_state(&pair[0], NodeState::Current);
            let second_node = node_in_state(&pair[1], NodeState::Excluded);
            first_node.is_some() && first_node == second_node
        });
        assert!(!early, "seed {seed}: excluded without having been behind");
        exclusions += cluster
            .events
            .iter()
            .filter(|v| node_in_state(v, NodeState::Excluded).is_some())
            .count();
        cluster.numbers = vec![newest; count];
        cluster.run(40_000);
        assert!(
            cluster.auditor.decisions().excluded.is_empty(),
            "seed {seed}: {:?}",
            cluster.auditor.decisions()
        );
        assert!(
            (0..count).all(|n| cluster.state(n) == Some(NodeState::Current)),
            "seed {seed}"
        );
    }
    assert!(exclusions > 100, "{exclusions}");
}

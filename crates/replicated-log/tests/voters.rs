//! Safety and progress of simulated voters under faults: once an entry is committed under a number,
//! no voter ever commits another one under it.

mod simulation;

use postproxy_replicated_log::{MAX_ENTRY_BYTES, ProposalRejected, Voter};
use simulation::{Checksum, DisabledSafeguards, Simulation, Store, initial_voters};

/// Returns the seeds to run with: those of `POSTPROXY_RUNS`, in the form `FROM..TO`, or 0 to 59.
fn seeds() -> std::ops::Range<u64> {
    let range = std::env::var("POSTPROXY_RUNS").unwrap_or_else(|_| "0..60".into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// All voters commit the same entries and reach the same state, committed entries survive crashes,
/// the log is compacted, and the voters make progress again after the last fault.
#[test]
fn voters_agree_on_every_entry_despite_faults() {
    let mut entries = 0;
    let mut rejected = 0;
    let mut longest = 0;
    let mut count = 0;
    // Seed 8508 is a regression test: a voter never caught up with the others.
    for seed in seeds().chain([8508]) {
        count += 1;
        let mut sim = Simulation::new(
            [3, 5, 7][seed as usize % 3],
            seed,
            DisabledSafeguards::default(),
        );
        assert!(
            sim.makes_progress(10_000),
            "seed {seed}: from the start: {}",
            sim.describe()
        );
        for _ in 0..8 {
            let ms = 300 + sim.random_below(3000);
            sim.run(ms);
            sim.inject_fault();
            assert_eq!(sim.violation, None, "seed {seed}");
        }
        sim.repair();
        assert!(
            sim.makes_progress(20_000),
            "seed {seed}: after the last fault: {}",
            sim.describe()
        );
        // All voters fail at once; the committed entries must survive.
        (0..sim.nodes.len()).for_each(|n| sim.kill(n));
        (0..sim.nodes.len()).rev().for_each(|n| sim.start(n));
        assert!(
            sim.makes_progress(20_000),
            "seed {seed}: after all failed: {}",
            sim.describe()
        );
        assert_eq!(sim.violation, None, "seed {seed}");
        entries += sim.committed.len();
        rejected += sim.rejected_proposals;
        longest = longest.max(
            sim.nodes
                .iter()
                .filter_map(|n| n.voter.as_ref())
                .map(Voter::entries_in_memory)
                .max()
                .unwrap_or(0),
        );
    }
    println!(
        "{entries} entries committed, {rejected} proposals rejected, at most {longest} entries in memory"
    );
    assert!(entries > 100 * count, "{entries}");
}

/// Checks the simulation itself: it finds a violation if voters send messages before their writes
/// are durable, or continue with an empty store.
#[test]
fn removing_any_safeguard_is_detected() {
    let failing_seed = |disabled: DisabledSafeguards| {
        (0..400).find(|seed| {
            let mut sim = Simulation::new(3, *seed, disabled);
            for _ in 0..20 {
                let ms = 100 + sim.random_below(1500);
                sim.run(ms);
                sim.inject_fault();
                // A voter that stops voting by itself was stopped by another safeguard.
                if sim
                    .violation
                    .as_ref()
                    .is_some_and(|violation| !violation.contains("failed"))
                {
                    return true;
                }
            }
            false
        })
    };
    let gate = failing_seed(DisabledSafeguards {
        durability_gate: true,
        ..DisabledSafeguards::default()
    });
    let admission = failing_seed(DisabledSafeguards {
        admission: true,
        ..DisabledSafeguards::default()
    });
    println!("without the durability gate: seed {gate:?}; without admission: seed {admission:?}");
    assert!(gate.is_some() && admission.is_some());
}

/// The log stays short in memory and in the store, and a voter that was down gets a snapshot.
#[test]
fn the_log_is_compacted_and_a_late_voter_gets_a_snapshot() {
    let mut sim = Simulation::new(3, 5, DisabledSafeguards::default());
    assert!(sim.makes_progress(10_000));
    sim.kill(2);
    let mut proposed = 0;
    while proposed < 3000 {
        for n in 0..2 {
            proposed += usize::from(sim.propose(n).is_some());
        }
        sim.step();
    }
    sim.run(2000);
    assert!(sim.committed.len() > 2900, "{}", sim.committed.len());
    let length = sim.nodes[0]
        .voter
        .as_ref()
        .map_or(0, Voter::entries_in_memory);
    assert!(length < 1200, "{length} in memory");
    let stored_bytes: usize = sim.nodes[0]
        .store
        .iter()
        .map(|(key, value)| key.len() + value.len())
        .sum();
    assert!(stored_bytes < 40_000, "{stored_bytes} bytes stored");
    sim.start(2);
    assert!(sim.makes_progress(20_000), "{}", sim.describe());
    assert_eq!(sim.violation, None);
}

/// Voters that are not all connected, or in one direction only, make progress as long as one of
/// them is connected to a majority in both directions.
#[test]
fn partially_connected_voters_make_progress() {
    let cases: [(&str, &[(usize, usize)]); 4] = [
        // 0 - 1 - 2
        ("a line", &[(0, 2), (2, 0)]),
        // All are connected to 0 only.
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
        ("one that sends nothing", &[(0, 1), (0, 2)]),
        ("one that receives nothing", &[(1, 0), (2, 0)]),
    ];
    for (name, cut_links) in cases {
        for seed in 0..6 {
            let count = if name.contains("five") { 5 } else { 3 };
            let mut sim = Simulation::new(count, seed, DisabledSafeguards::default());
            assert!(sim.makes_progress(10_000), "{name}");
            sim.run(1000);
            sim.cut_links.extend(cut_links.iter().copied());
            sim.run(5000);
            let before = sim.committed.len();
            sim.run(10_000);
            assert!(
                sim.committed.len() > before + 20,
                "{name}, seed {seed}: {} of {before}: {}",
                sim.committed.len(),
                sim.describe()
            );
            sim.repair();
            assert!(
                sim.makes_progress(20_000),
                "{name}, seed {seed}: {}",
                sim.describe()
            );
            assert_eq!(sim.violation, None, "{name}, seed {seed}");
        }
    }
}

/// A corrupt log is not restored, a proposal that is too long is rejected, and arbitrary bytes
/// received as messages do no harm.
#[test]
fn corrupt_logs_long_entries_and_invalid_messages_are_rejected() {
    let mut sim = Simulation::new(3, 9, DisabledSafeguards::default());
    assert!(sim.makes_progress(10_000));
    let store = sim.nodes[0].store.clone();
    let restore_error = |store: Store| {
        Voter::<Checksum>::new(1, &initial_voters(3), store)
            .err()
            .map(|corrupt| corrupt.to_string())
    };
    assert_eq!(restore_error(store.clone()), None);
    let (first, _) = store
        .iter()
        .find(|(key, _)| key.starts_with(b"a/l/"))
        .expect("an entry");
    let mut gap = store.clone();
    gap.remove(first);
    if store.keys().filter(|key| key.starts_with(b"a/l/")).count() > 1 {
        assert!(restore_error(gap).expect("a gap").contains("is missing"));
    }
    for key in ["a/hard", "a/folded", "a/x", "a/l/short"] {
        let mut corrupt = store.clone();
        corrupt.insert(key.into(), vec![0xff]);
        assert!(restore_error(corrupt).is_some(), "{key}");
    }
    for (id, count) in [(4, 3), (0, 3), (1, 8)] {
        assert!(
            Voter::<Checksum>::new(id, &initial_voters(count), Store::new()).is_err(),
            "{id} of {count}"
        );
    }
    let mut out = Vec::new();
    let voter = sim.nodes[0].voter.as_mut().expect("a running voter");
    assert_eq!(
        voter.propose(vec![0; MAX_ENTRY_BYTES + 1], &mut out),
        Err(ProposalRejected::TooLong)
    );
    for n in 0..2000u32 {
        let bytes: Vec<u8> = (0..n % 40)
            .map(|at| (n.wrapping_mul(2_654_435_761) >> (at % 24)) as u8)
            .collect();
        voter.receive(&bytes, &mut out);
    }
    assert!(sim.makes_progress(20_000), "{}", sim.describe());
    assert_eq!(sim.violation, None);
}

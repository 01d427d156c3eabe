//! The engine on a simulated disk: cuts at every byte, crashes after every operation, a model of what was
//! acknowledged.

use postproxy_store::sim::{Faults, SimDisk};
use postproxy_store::{Change, Disk, Engine, OpenError, Options, Recovery, Rejected};
use std::collections::{BTreeMap, BTreeSet};

const SMALL: Options = Options {
    segment_bytes: 2048,
    max_bytes: 0,
    max_space_ratio: 1.7,
};

type Model = BTreeMap<Vec<u8>, Vec<u8>>;

fn open(disks: &[SimDisk]) -> Result<(Engine<SimDisk>, Recovery), OpenError> {
    Engine::open(disks.to_vec(), SMALL, "a test", 77, 1_000)
}

fn sound(disks: &[SimDisk]) -> (Engine<SimDisk>, Recovery) {
    open(disks).expect("a store")
}

fn content(engine: &mut Engine<SimDisk>) -> Model {
    let mut model = Model::new();
    engine
        .scan(|key, value| {
            assert!(
                model.insert(key.into(), value.into()).is_none(),
                "a key twice"
            )
        })
        .expect("read");
    assert_eq!(model.len(), engine.statistics().live_keys);
    for (key, value) in &model {
        assert_eq!(engine.get(key).expect("a read").as_ref(), Some(value));
    }
    model
}

fn put<'a>(key: &'a [u8], value: &'a [u8]) -> Change<'a> {
    Change::Put {
        key,
        value,
        expires_at_ms: 0,
    }
}

/// Small random numbers, the same every time.
struct Random(u64);

impl Random {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % n
    }
}

/// What a run did: per batch, its changes; and the states a recovery may come to.
struct Run {
    /// The state after each batch, the first one empty.
    states: Vec<Model>,
    /// So many batches are acknowledged.
    acknowledged: usize,
}

/// A mixed run of puts, overwrites and deletes with cleaning in between, until it is over or the disk fails.
fn run(engine: &mut Engine<SimDisk>, start: Model, seed: u64, batches: usize) -> Run {
    let mut random = Random(seed);
    let mut run = Run {
        states: vec![start],
        acknowledged: 0,
    };
    for _ in 0..batches {
        let mut next = run.states.last().expect("a state").clone();
        let mut changes = Vec::new();
        for _ in 0..=random.below(3) {
            let key = format!("job-{}", random.below(12)).into_bytes();
            let value = vec![random.below(256) as u8; random.below(300)];
            changes.push((key, (random.below(4) > 0).then_some(value)));
        }
        let batch: Vec<Change<'_>> = changes
            .iter()
            .map(|(key, value)| {
                value
                    .as_ref()
                    .map_or(Change::Delete { key }, |value| put(key, value))
            })
            .collect();
        for (key, value) in &changes {
            match value {
                Some(value) => next.insert(key.clone(), value.clone()),
                None => next.remove(key),
            };
        }
        engine.append(&batch).expect("it is taken");
        run.states.push(next);
        if random.below(3) == 0 {
            if engine.commit().is_err() {
                return run;
            }
            run.acknowledged = run.states.len() - 1;
        }
        if engine.needs_cleaning() && random.below(2) == 0 && engine.clean().is_err() {
            return run;
        }
    }
    if engine.commit().is_ok() {
        run.acknowledged = run.states.len() - 1;
    }
    run
}

/// Guards against a store that forgets, or brings back, anything over an ordinary end and start.
#[test]
fn what_is_acknowledged_is_there_after_a_start() {
    let disks = [SimDisk::new(Faults::default(), 1)];
    let (mut engine, first) = sound(&disks);
    assert_eq!(first, Recovery::default());
    let done = run(&mut engine, Model::new(), 5, 400);
    let stat = engine.statistics();
    assert!(
        stat.copied_bytes > 0 && stat.segments > 1,
        "it was cleaned: {stat:?}"
    );
    drop(engine);
    let (mut engine, recovery) = sound(&disks);
    assert_eq!(content(&mut engine), done.states[done.acknowledged]);
    assert_eq!(
        (
            recovery.torn_bytes,
            recovery.lost.len(),
            recovery.repaired.len()
        ),
        (0, 0, 0)
    );
}

/// Cuts, empties, removes or overwrites one file and opens the store.
fn each_damage(disk: &SimDisk, mut check: impl FnMut(&str, usize, SimDisk)) {
    for name in disk.list().expect("names") {
        let whole = disk.content(&name);
        for size in 0..whole.len() {
            let cut = disk.after_crash();
            cut.set_content(&name, Some(whole[..size].to_vec()));
            check(&name, size, cut);
        }
        let gone = disk.after_crash();
        gone.set_content(&name, None);
        check(&name, usize::MAX, gone);
        let other = disk.after_crash();
        other.set_content(&name, Some(whole.iter().map(|byte| byte ^ 0x5a).collect()));
        check(&name, usize::MAX, other);
    }
}

/// A store of jobs that were begun and completed: `begun` first, `done` in its place later.
fn jobs(disks: &[SimDisk], count: usize) -> Model {
    let (mut engine, _) = sound(disks);
    for step in 0..2 * count {
        let (job, value) = (
            step / 2,
            if step % 2 == 0 {
                "begun"
            } else {
                "done, and its result"
            },
        );
        engine
            .append(&[put(format!("job-{job}").as_bytes(), value.as_bytes())])
            .expect("it is taken");
        engine.commit().expect("it is durable");
    }
    content(&mut engine)
}

/// Guards against a start that fails, or that invents something, after any file was cut at any byte (also inside
/// a length field), emptied, removed or overwritten; against losing more than the records behind the cut, or
/// saying nothing of it.
#[test]
fn a_file_cut_at_any_byte_loses_only_what_was_behind_the_cut() {
    let disk = SimDisk::new(Faults::default(), 3);
    let whole = jobs(std::slice::from_ref(&disk), 40);
    assert!(
        disk.list().expect("names").len() > 2,
        "more than one segment"
    );
    let mut cuts = 0;
    each_damage(&disk, |name, size, cut| {
        let (mut engine, recovery) = sound(&[cut]);
        let found = content(&mut engine);
        let missing = whole
            .iter()
            .filter(|(key, value)| found.get(*key) != Some(value))
            .count();
        assert!(
            found.keys().all(|key| whole.contains_key(key)),
            "{name} {size}: something new"
        );
        let last = disk
            .list()
            .expect("names")
            .last()
            .is_some_and(|last| last == name);
        assert!(
            missing == 0 || last || !recovery.lost.is_empty(),
            "{name} {size}: {missing} lost without a word"
        );
        cuts += 1;
    });
    assert!(cuts > 4000, "{cuts} cuts");
}

/// Guards against losing anything at all where every file has a copy, whichever single file is cut, emptied,
/// removed or overwritten; and against a copy that is not made whole again.
#[test]
fn with_a_mirror_no_single_file_matters() {
    let (left, right) = (
        SimDisk::new(Faults::default(), 3),
        SimDisk::new(Faults::default(), 4),
    );
    let whole = jobs(&[left.clone(), right.clone()], 40);
    for side in 0..2 {
        let (damaged, kept) = if side == 0 {
            (&left, &right)
        } else {
            (&right, &left)
        };
        each_damage(damaged, |name, size, cut| {
            let other = kept.after_crash();
            let disks = if side == 0 {
                [cut.clone(), other.clone()]
            } else {
                [other.clone(), cut.clone()]
            };
            let (mut engine, recovery) = sound(&disks);
            assert_eq!(content(&mut engine), whole, "{name} {size}");
            // Zeros that were written ahead need no copy.
            let counts = |disk: &SimDisk| {
                let mut bytes = disk.content(name);
                bytes.truncate(
                    bytes
                        .iter()
                        .rposition(|byte| *byte != 0)
                        .map_or(0, |last| last + 1),
                );
                bytes
            };
            assert!(
                counts(&cut) == counts(&other),
                "{name} {size}: the copies differ"
            );
            let repaired = usize::from(size == usize::MAX || size < counts(&other).len());
            assert_eq!(
                (recovery.lost.len(), recovery.repaired.len()),
                (0, repaired),
                "{name} {size}"
            );
        });
    }
}

/// Guards against a record lost by a flipped bit in front of it or behind it, and against one that is read
/// though it was changed.
#[test]
fn a_flipped_bit_costs_one_frame_at_most() {
    let disk = SimDisk::new(Faults::default(), 3);
    let whole = jobs(std::slice::from_ref(&disk), 12);
    for name in disk.list().expect("names") {
        let bytes = disk.content(&name);
        for bit in (0..bytes.len() * 8).step_by(3) {
            let flipped = disk.after_crash();
            let mut bytes = bytes.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            flipped.set_content(&name, Some(bytes));
            let (mut engine, _) = sound(&[flipped]);
            let found = content(&mut engine);
            let wrong = whole
                .iter()
                .filter(|(key, value)| found.get(*key) != Some(value))
                .count();
            assert!(
                wrong <= 1 && found.keys().all(|k| whole.contains_key(k)),
                "{name} bit {bit}: {wrong} wrong"
            );
        }
    }
}

/// Guards against a torn write whose later part alone reached the disk: the whole records behind the hole were
/// never acknowledged and do not come back, not even at the start after the next.
#[test]
fn whole_records_behind_a_torn_write_stay_away() {
    let disk = SimDisk::new(Faults::default(), 3);
    let (mut engine, _) = sound(std::slice::from_ref(&disk));
    engine.append(&[put(b"kept", b"1")]).expect("taken");
    engine.commit().expect("durable");
    for n in 0..3u8 {
        engine.append(&[put(&[b'u', n], &[n; 600])]).expect("taken");
    }
    engine.commit().expect("durable");
    drop(engine);
    let name = disk.list().expect("names").remove(0);
    let mut bytes = disk.content(&name);
    bytes[64 + 24 + 20 + 30] ^= 1; // inside the first of the three
    disk.set_content(&name, Some(bytes));
    for _ in 0..3 {
        let (mut engine, recovery) = sound(std::slice::from_ref(&disk));
        assert_eq!(
            content(&mut engine).into_keys().collect::<Vec<_>>(),
            [b"kept".to_vec()]
        );
        assert_eq!(recovery.lost, []);
        engine.append(&[put(b"kept", b"1")]).expect("taken");
        engine.commit().expect("durable");
    }
}

/// A crash after each operation of a run in turn, then a start, a further run from there, and a crash in that.
fn crash_everywhere(copies: usize, seed: u64) {
    let fresh = |faults: &Faults| -> Vec<SimDisk> {
        (0..copies as u64)
            .map(|n| SimDisk::new(faults.clone(), seed + 100 * n))
            .collect()
    };
    let disks = fresh(&Faults::default());
    run(&mut sound(&disks).0, Model::new(), seed, 120);
    let operations = disks[0].operations();
    assert!(operations > 120, "{operations} operations");
    for at in 0..operations {
        let disks = fresh(&Faults {
            crash_at: Some(at),
            ..Faults::default()
        });
        let done = match open(&disks) {
            Ok((mut engine, _)) => run(&mut engine, Model::new(), seed, 120),
            Err(_) => Run {
                states: vec![Model::new()],
                acknowledged: 0,
            },
        };
        let mut disks: Vec<SimDisk> = disks.iter().map(SimDisk::after_crash).collect();
        // A death during the recovery itself, five times in a row.
        for death in 0..5 {
            disks
                .iter()
                .for_each(|d| d.set_faults(|f| f.crash_at = Some(death)));
            let _ = open(&disks);
            disks = disks.iter().map(SimDisk::after_crash).collect();
        }
        let (mut engine, recovery) = sound(&disks);
        let found = content(&mut engine);
        let may_be = &done.states[done.acknowledged..];
        assert!(
            may_be.contains(&found),
            "after {at} operations: neither acknowledged nor asked for"
        );
        assert_eq!(recovery.lost, [], "after {at} operations");
        // And on from there.
        let further = run(&mut engine, found, seed + at, 20);
        assert_eq!(further.acknowledged, 20, "after {at} operations it goes on");
        drop(engine);
        let (mut engine, _) = sound(&disks);
        assert_eq!(content(&mut engine), further.states[20]);
    }
}

/// Guards against a crash at any operation (of an append, a commit, a new segment, or any step of cleaning)
/// that loses what was acknowledged, brings back what was deleted, or counts half a batch.
#[test]
fn a_crash_after_any_operation_keeps_what_was_acknowledged() {
    for seed in [11, 12] {
        crash_everywhere(1, seed);
    }
}

/// The same with a mirror, whose two folders crash at different places.
#[test]
fn a_crash_after_any_operation_with_a_mirror() {
    crash_everywhere(2, 13);
}

/// Guards against a failed sync that is taken for a good one later, of a file or of the folder: all that is
/// acknowledged afterwards, and all that was before, is there after a crash.
#[test]
fn a_failed_sync_is_never_trusted() {
    for failing in 0..40u64 {
        let faults = [
            Faults {
                failing_syncs: vec![failing],
                ..Faults::default()
            },
            Faults {
                failing_folder_syncs: vec![failing],
                ..Faults::default()
            },
            Faults {
                failing_syncs: vec![failing, failing + 1, failing + 2],
                ..Faults::default()
            },
        ];
        for faults in faults {
            let disk = SimDisk::new(faults, failing);
            let (mut engine, _) = sound(std::slice::from_ref(&disk));
            let mut model = Model::new();
            for step in 0..120u32 {
                let (key, value) = (
                    format!("k{}", step % 9).into_bytes(),
                    step.to_be_bytes().repeat(9),
                );
                engine.append(&[put(&key, &value)]).expect("taken");
                // What is refused is as if it had not been asked for.
                if engine.commit().is_ok() {
                    model.insert(key, value);
                }
                if engine.needs_cleaning() {
                    let _ = engine.clean();
                }
            }
            assert_eq!(content(&mut engine), model);
            drop(engine);
            let (mut engine, recovery) = sound(&[disk.after_crash()]);
            assert_eq!(content(&mut engine), model, "sync {failing}");
            assert_eq!(recovery.lost, []);
        }
    }
}

/// Guards against a full disk that costs more than the records which did not fit: half of one was written.
#[test]
fn a_full_disk_refuses_and_comes_back() {
    let disk = SimDisk::new(
        Faults {
            capacity: Some(3000),
            ..Faults::default()
        },
        1,
    );
    let (mut engine, _) = sound(std::slice::from_ref(&disk));
    let (mut model, mut refused) = (Model::new(), 0);
    for n in 0..40u8 {
        let (key, value) = (vec![n], vec![n; 150]);
        engine.append(&[put(&key, &value)]).expect("taken");
        match engine.commit() {
            Ok(_) => _ = model.insert(key, value),
            Err(_) => refused += 1,
        }
    }
    assert!(
        model.len() > 10 && refused > 10,
        "{} taken, {refused} refused",
        model.len()
    );
    assert_eq!(content(&mut engine), model);
    assert!(engine.probe().is_err(), "it is full still");
    disk.set_faults(|faults| faults.capacity = None);
    engine.probe().expect("it takes writes again");
    engine.append(&[put(b"more", b"m")]).expect("taken");
    engine.commit().expect("durable");
    model.insert(b"more".to_vec(), b"m".to_vec());
    drop(engine);
    let (mut engine, recovery) = sound(&[disk.after_crash()]);
    assert_eq!(content(&mut engine), model);
    assert_eq!(recovery.lost, []);
}

/// Guards against files that grow without end under steady overwriting, and against a limit that is passed.
#[test]
fn overwriting_takes_a_bounded_space() {
    let disk = SimDisk::new(Faults::default(), 1);
    let options = Options {
        segment_bytes: 4096,
        max_bytes: 400_000,
        max_space_ratio: 1.7,
    };
    let open = || {
        Engine::open(vec![disk.clone()], options, "a test", 7, 1_000)
            .expect("a store")
            .0
    };
    let mut engine = open();
    let (mut random, mut most) = (Random(4), 0f64);
    for step in 0..20_000 {
        let key = format!("key-{}", random.below(500));
        engine
            .append(&[put(key.as_bytes(), &[7; 200])])
            .expect("there is room");
        if step % 8 == 0 {
            engine.commit().expect("durable");
            while engine.needs_cleaning() {
                engine.clean().expect("cleaned");
                engine.commit().expect("durable");
            }
        }
        let stat = engine.statistics();
        if step > 5000 {
            most = most.max(stat.file_bytes as f64 / stat.live_bytes as f64);
        }
    }
    assert!(most <= 2.0, "{most} times what is live");
    let stat = engine.statistics();
    assert_eq!(stat.live_keys, 500);
    engine.compact().expect("compacted");
    assert!(
        engine.statistics().file_bytes
            <= stat.live_bytes + 500 + 150 * engine.statistics().segments as u64,
        "{:?}",
        engine.statistics()
    );
    for n in 0.. {
        match engine.append(&[put(format!("more-{n}").as_bytes(), &[7; 2000])]) {
            Ok(_) => _ = engine.commit().expect("durable"),
            Err(error) => {
                assert_eq!(error, Rejected::Full);
                break;
            }
        }
    }
    assert!(engine.statistics().file_bytes <= options.max_bytes);
    engine
        .append(&[Change::Delete { key: b"more-0" }])
        .expect("deletes make room");
    assert!(open_refuses(&disk), "it is locked");
}

fn open_refuses(disk: &SimDisk) -> bool {
    matches!(open(std::slice::from_ref(disk)), Err(OpenError::Io(..)))
}

/// Guards against an expired record that stays for ever, comes back, or leaves early because the clock was set
/// back between two starts.
#[test]
fn expired_records_leave() {
    let disk = SimDisk::new(Faults::default(), 1);
    let at = |now| {
        Engine::open(vec![disk.clone()], SMALL, "a test", 7, now)
            .expect("a store")
            .0
    };
    let mut engine = at(1_000);
    engine
        .append(&[Change::Put {
            key: b"old",
            value: b"first",
            expires_at_ms: 0,
        }])
        .expect("taken");
    engine
        .append(&[Change::Put {
            key: b"old",
            value: b"second",
            expires_at_ms: 5_000,
        }])
        .expect("taken");
    engine.append(&[put(b"kept", b"k")]).expect("taken");
    engine.commit().expect("durable");
    drop(engine);
    let mut engine = at(200); // set back
    assert_eq!(
        engine.get(b"old").expect("a read").as_deref(),
        Some(&b"second"[..])
    );
    engine.set_time(5_000);
    engine.compact().expect("compacted");
    assert!(!engine.has(b"old") && engine.has(b"kept"));
    drop(engine);
    let mut engine = at(200);
    assert_eq!(
        content(&mut engine).into_keys().collect::<Vec<_>>(),
        [b"kept".to_vec()]
    );
}

/// Guards against overwriting files of a newer format, or of another store.
#[test]
fn files_that_are_not_understood_are_left_alone() {
    let disk = SimDisk::new(Faults::default(), 1);
    jobs(std::slice::from_ref(&disk), 3);
    let names: BTreeSet<String> = disk.list().expect("names").into_iter().collect();
    let name = names.first().expect("a file");
    let mut bytes = disk.content(name);
    bytes[8] = 9;
    let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes[..12]), &bytes[16..64]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    disk.set_content(name, Some(bytes.clone()));
    match open(std::slice::from_ref(&disk)) {
        Err(error @ OpenError::Version { version: 9, .. }) => {
            assert!(error.to_string().contains("version 9"), "{error}");
        }
        Err(error) => panic!("{error}"),
        Ok(_) => panic!("it was opened"),
    }
    assert_eq!(disk.content(name), bytes);
    assert_eq!(
        disk.list()
            .expect("names")
            .into_iter()
            .collect::<BTreeSet<_>>(),
        names
    );
    let other = SimDisk::new(Faults::default(), 2);
    let mut engine = Engine::open(vec![other.clone()], SMALL, "a test", 78, 0)
        .expect("a store")
        .0;
    engine.append(&[put(b"a", b"b")]).expect("taken");
    engine.commit().expect("durable");
    drop(engine);
    let mixed = [other, SimDisk::new(Faults::default(), 3)];
    jobs(&mixed[1..], 1);
    assert!(matches!(open(&mixed), Err(OpenError::Mixed(_))));
}

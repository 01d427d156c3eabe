//! The engine on a simulated disk: files truncated at every byte, and crashes at every operation.
//! The recovered records are compared with a model of what was acknowledged.

use postproxy_store::sim::{Faults, SimDisk};
use postproxy_store::{AppendError, Change, Disk, Engine, OpenError, Options, Recovery};
use std::collections::{BTreeMap, BTreeSet};

/// Options with segments that are full after a few records.
const SMALL_SEGMENTS: Options = Options {
    segment_bytes: 2048,
    max_bytes: 0,
    max_space_ratio: 1.7,
};

/// The values of all keys.
type Records = BTreeMap<Vec<u8>, Vec<u8>>;

fn open(disks: &[SimDisk]) -> Result<(Engine<SimDisk>, Recovery), OpenError> {
    Engine::open(disks.to_vec(), SMALL_SEGMENTS, "a test", 77, 1_000)
}

fn open_store(disks: &[SimDisk]) -> (Engine<SimDisk>, Recovery) {
    open(disks).expect("open the store")
}

/// Returns all records as read by a scan, and checks that single reads agree.
fn read_all(engine: &mut Engine<SimDisk>) -> Records {
    let mut model = Records::new();
    engine
        .scan(|key, value| {
            assert!(
                model.insert(key.into(), value.into()).is_none(),
                "the scan returned a key twice"
            )
        })
        .expect("scan");
    assert_eq!(model.len(), engine.statistics().live_keys);
    for (key, value) in &model {
        assert_eq!(engine.get(key).expect("read").as_ref(), Some(value));
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

/// A small deterministic random number generator.
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

/// The states that recovery may restore after a run.
struct Run {
    /// The state after each batch, the first one empty.
    states: Vec<Records>,
    /// The number of batches that have been acknowledged.
    acknowledged: usize,
}

/// Runs puts, overwrites, deletes and compaction until all batches are done or the disk fails.
fn run(engine: &mut Engine<SimDisk>, start: Records, seed: u64, batches: usize) -> Run {
    let mut random = Random(seed);
    let mut run = Run {
        states: vec![start],
        acknowledged: 0,
    };
    for _ in 0..batches {
        let mut next = run.states.last().expect("at least one state").clone();
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
        engine.append(&batch).expect("append");
        run.states.push(next);
        if random.below(3) == 0 {
            if engine.commit().is_err() {
                return run;
            }
            run.acknowledged = run.states.len() - 1;
        }
        if engine.needs_compaction() && random.below(2) == 0 && engine.compact_step().is_err() {
            return run;
        }
    }
    if engine.commit().is_ok() {
        run.acknowledged = run.states.len() - 1;
    }
    run
}

/// Guards against losing records, or bringing back deleted ones, over an ordinary restart.
#[test]
fn acknowledged_records_survive_a_restart() {
    let disks = [SimDisk::new(Faults::default(), 1)];
    let (mut engine, first) = open_store(&disks);
    assert_eq!(first, Recovery::default());
    let done = run(&mut engine, Records::new(), 5, 400);
    let stat = engine.statistics();
    assert!(
        stat.copied_bytes > 0 && stat.segments > 1,
        "the run must include compaction: {stat:?}"
    );
    drop(engine);
    let (mut engine, recovery) = open_store(&disks);
    assert_eq!(read_all(&mut engine), done.states[done.acknowledged]);
    assert_eq!(
        (
            recovery.torn_bytes,
            recovery.lost.len(),
            recovery.repaired.len()
        ),
        (0, 0, 0)
    );
}

/// Calls `check` with a copy of the disk for each way to truncate, remove or overwrite one file:
/// the name of the file, its new size, and the disk. The size is `usize::MAX` if the file was
/// removed or overwritten.
fn each_damage(disk: &SimDisk, mut check: impl FnMut(&str, usize, SimDisk)) {
    for name in disk.list().expect("list the files") {
        let original = disk.content(&name);
        for size in 0..original.len() {
            let truncated = disk.after_crash();
            truncated.set_content(&name, Some(original[..size].to_vec()));
            check(&name, size, truncated);
        }
        let removed = disk.after_crash();
        removed.set_content(&name, None);
        check(&name, usize::MAX, removed);
        let overwritten = disk.after_crash();
        overwritten.set_content(
            &name,
            Some(original.iter().map(|byte| byte ^ 0x5a).collect()),
        );
        check(&name, usize::MAX, overwritten);
    }
}

/// Fills a store with records that are each overwritten once, and returns them.
fn write_records(disks: &[SimDisk], count: usize) -> Records {
    let (mut engine, _) = open_store(disks);
    for step in 0..2 * count {
        let record = step / 2;
        let value = if step % 2 == 0 {
            "first"
        } else {
            "second, longer value"
        };
        engine
            .append(&[put(format!("job-{record}").as_bytes(), value.as_bytes())])
            .expect("append");
        engine.commit().expect("commit");
    }
    read_all(&mut engine)
}

/// Guards against a failing start, invented records or an unreported loss after any one file was
/// truncated at any byte (also inside a length field), removed or overwritten. A loss in the last
/// segment may go unreported, since it looks like a torn write.
#[test]
fn loss_from_damage_of_any_single_file_is_reported() {
    let disk = SimDisk::new(Faults::default(), 3);
    let original = write_records(std::slice::from_ref(&disk), 40);
    assert!(
        disk.list().expect("list the files").len() > 2,
        "more than one segment"
    );
    let mut cases = 0;
    each_damage(&disk, |name, size, damaged_disk| {
        let (mut engine, recovery) = open_store(&[damaged_disk]);
        let found = read_all(&mut engine);
        let missing = original
            .iter()
            .filter(|(key, value)| found.get(*key) != Some(value))
            .count();
        assert!(
            found.keys().all(|key| original.contains_key(key)),
            "{name} {size}: a key that was never written"
        );
        let last = disk
            .list()
            .expect("list the files")
            .last()
            .is_some_and(|last| last == name);
        assert!(
            missing == 0 || last || !recovery.lost.is_empty(),
            "{name} {size}: {missing} lost without a report"
        );
        cases += 1;
    });
    assert!(cases > 4000, "{cases} cases");
}

/// Guards against any loss in a store with a mirror, whichever single file is truncated, removed or
/// overwritten, and against a copy that is not repaired.
#[test]
fn mirror_survives_damage_of_any_single_file() {
    let left = SimDisk::new(Faults::default(), 3);
    let right = SimDisk::new(Faults::default(), 4);
    let original = write_records(&[left.clone(), right.clone()], 40);
    for side in 0..2 {
        let (damaged, intact) = if side == 0 {
            (&left, &right)
        } else {
            (&right, &left)
        };
        each_damage(damaged, |name, size, damaged_disk| {
            let other = intact.after_crash();
            let disks = if side == 0 {
                [damaged_disk.clone(), other.clone()]
            } else {
                [other.clone(), damaged_disk.clone()]
            };
            let (mut engine, recovery) = open_store(&disks);
            assert_eq!(read_all(&mut engine), original, "{name} {size}");
            // The preallocated zeros need not be equal.
            let without_zeros = |disk: &SimDisk| {
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
                without_zeros(&damaged_disk) == without_zeros(&other),
                "{name} {size}: the copies differ"
            );
            let repaired = usize::from(size == usize::MAX || size < without_zeros(&other).len());
            assert_eq!(
                (recovery.lost.len(), recovery.repaired.len()),
                (0, repaired),
                "{name} {size}"
            );
        });
    }
}

/// Guards against a flipped bit that costs records outside its frame, or whose damaged record is
/// returned by a read.
#[test]
fn flipped_bit_costs_at_most_one_frame() {
    let disk = SimDisk::new(Faults::default(), 3);
    let original = write_records(std::slice::from_ref(&disk), 12);
    for name in disk.list().expect("list the files") {
        let bytes = disk.content(&name);
        for bit in (0..bytes.len() * 8).step_by(3) {
            let flipped = disk.after_crash();
            let mut bytes = bytes.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            flipped.set_content(&name, Some(bytes));
            let (mut engine, _) = open_store(&[flipped]);
            let found = read_all(&mut engine);
            let wrong = original
                .iter()
                .filter(|(key, value)| found.get(*key) != Some(value))
                .count();
            assert!(
                wrong <= 1 && found.keys().all(|k| original.contains_key(k)),
                "{name} bit {bit}: {wrong} wrong"
            );
        }
    }
}

/// Guards against recovering unacknowledged records after a torn write of which only the later part
/// reached the disk: the intact frames after the gap must not reappear at this start or a later
/// one.
#[test]
fn records_after_a_torn_write_do_not_reappear() {
    let disk = SimDisk::new(Faults::default(), 3);
    let (mut engine, _) = open_store(std::slice::from_ref(&disk));
    engine.append(&[put(b"kept", b"1")]).expect("append");
    engine.commit().expect("commit");
    for n in 0..3u8 {
        engine
            .append(&[put(&[b'u', n], &[n; 600])])
            .expect("append");
    }
    engine.commit().expect("commit");
    drop(engine);
    let name = disk.list().expect("list the files").remove(0);
    let mut bytes = disk.content(&name);
    bytes[64 + 24 + 20 + 30] ^= 1; // damages the first of the three frames
    disk.set_content(&name, Some(bytes));
    for _ in 0..3 {
        let (mut engine, recovery) = open_store(std::slice::from_ref(&disk));
        assert_eq!(
            read_all(&mut engine).into_keys().collect::<Vec<_>>(),
            [b"kept".to_vec()]
        );
        assert_eq!(recovery.lost, []);
        engine.append(&[put(b"kept", b"1")]).expect("append");
        engine.commit().expect("commit");
    }
}

/// For each operation of a run, crashes at that operation and then during recovery, and checks the
/// recovered state and that another run on it succeeds.
fn crash_everywhere(copies: usize, seed: u64) {
    let fresh = |faults: &Faults| -> Vec<SimDisk> {
        (0..copies as u64)
            .map(|n| SimDisk::new(faults.clone(), seed + 100 * n))
            .collect()
    };
    let disks = fresh(&Faults::default());
    run(&mut open_store(&disks).0, Records::new(), seed, 120);
    let operations = disks[0].operations();
    assert!(operations > 120, "{operations} operations");
    for at in 0..operations {
        let disks = fresh(&Faults {
            crash_at: Some(at),
            ..Faults::default()
        });
        let done = match open(&disks) {
            Ok((mut engine, _)) => run(&mut engine, Records::new(), seed, 120),
            Err(_) => Run {
                states: vec![Records::new()],
                acknowledged: 0,
            },
        };
        let mut disks: Vec<SimDisk> = disks.iter().map(SimDisk::after_crash).collect();
        // Five consecutive crashes during recovery.
        for operation in 0..5 {
            disks
                .iter()
                .for_each(|d| d.set_faults(|f| f.crash_at = Some(operation)));
            let _ = open(&disks);
            disks = disks.iter().map(SimDisk::after_crash).collect();
        }
        let (mut engine, recovery) = open_store(&disks);
        let found = read_all(&mut engine);
        let allowed_states = &done.states[done.acknowledged..];
        assert!(
            allowed_states.contains(&found),
            "after {at} operations: not the acknowledged or a later state"
        );
        assert_eq!(recovery.lost, [], "after {at} operations");
        // The store remains usable.
        let further = run(&mut engine, found, seed + at, 20);
        assert_eq!(
            further.acknowledged, 20,
            "after {at} operations: a commit failed"
        );
        drop(engine);
        let (mut engine, _) = open_store(&disks);
        assert_eq!(read_all(&mut engine), further.states[20]);
    }
}

/// Guards against a crash at any operation (of a commit, of beginning a segment, or of a step of
/// compaction) that loses acknowledged records, brings back deleted ones, or applies half a batch.
#[test]
fn acknowledged_records_survive_a_crash_at_any_operation() {
    for seed in [11, 12] {
        crash_everywhere(1, seed);
    }
}

/// The same with a mirror, whose two disks crash at different points of the run.
#[test]
fn acknowledged_records_survive_a_crash_at_any_operation_with_a_mirror() {
    crash_everywhere(2, 13);
}

/// Guards against treating data as durable after a failed sync of a file or of the folder: all
/// records that were acknowledged before and after the failure must survive a crash.
#[test]
fn acknowledged_records_survive_failed_syncs() {
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
            let (mut engine, _) = open_store(std::slice::from_ref(&disk));
            let mut model = Records::new();
            for step in 0..120u32 {
                let key = format!("k{}", step % 9).into_bytes();
                let value = step.to_be_bytes().repeat(9);
                engine.append(&[put(&key, &value)]).expect("append");
                // A failed commit has no effect.
                if engine.commit().is_ok() {
                    model.insert(key, value);
                }
                if engine.needs_compaction() {
                    let _ = engine.compact_step();
                }
            }
            assert_eq!(read_all(&mut engine), model);
            drop(engine);
            let (mut engine, recovery) = open_store(&[disk.after_crash()]);
            assert_eq!(read_all(&mut engine), model, "sync {failing}");
            assert_eq!(recovery.lost, []);
        }
    }
}

/// Guards against a full disk that costs more than the records that did not fit, although a part of
/// them was written.
#[test]
fn full_disk_rejects_commits_until_it_has_room() {
    let disk = SimDisk::new(
        Faults {
            capacity: Some(3000),
            ..Faults::default()
        },
        1,
    );
    let (mut engine, _) = open_store(std::slice::from_ref(&disk));
    let mut model = Records::new();
    let mut rejected = 0;
    for n in 0..40u8 {
        let key = vec![n];
        let value = vec![n; 150];
        engine.append(&[put(&key, &value)]).expect("append");
        match engine.commit() {
            Ok(_) => _ = model.insert(key, value),
            Err(_) => rejected += 1,
        }
    }
    assert!(
        model.len() > 10 && rejected > 10,
        "{} accepted, {rejected} rejected",
        model.len()
    );
    assert_eq!(read_all(&mut engine), model);
    assert!(engine.probe().is_err(), "the disk is still full");
    disk.set_faults(|faults| faults.capacity = None);
    engine.probe().expect("probe");
    engine.append(&[put(b"more", b"m")]).expect("append");
    engine.commit().expect("commit");
    model.insert(b"more".to_vec(), b"m".to_vec());
    drop(engine);
    let (mut engine, recovery) = open_store(&[disk.after_crash()]);
    assert_eq!(read_all(&mut engine), model);
    assert_eq!(recovery.lost, []);
}

/// Guards against files that grow without bound under steady overwriting, and against exceeding the
/// size limit.
#[test]
fn overwriting_uses_bounded_space() {
    let disk = SimDisk::new(Faults::default(), 1);
    let options = Options {
        segment_bytes: 4096,
        max_bytes: 400_000,
        max_space_ratio: 1.7,
    };
    let open = || {
        Engine::open(vec![disk.clone()], options, "a test", 7, 1_000)
            .expect("open the store")
            .0
    };
    let mut engine = open();
    let mut random = Random(4);
    let mut max_ratio = 0f64;
    for step in 0..20_000 {
        let key = format!("key-{}", random.below(500));
        engine
            .append(&[put(key.as_bytes(), &[7; 200])])
            .expect("append");
        if step % 8 == 0 {
            engine.commit().expect("commit");
            while engine.needs_compaction() {
                engine.compact_step().expect("compact");
                engine.commit().expect("commit");
            }
        }
        let stat = engine.statistics();
        if step > 5000 {
            max_ratio = max_ratio.max(stat.file_bytes as f64 / stat.live_bytes as f64);
        }
    }
    assert!(
        max_ratio <= 2.0,
        "the files take {max_ratio} times the live bytes"
    );
    let stat = engine.statistics();
    assert_eq!(stat.live_keys, 500);
    engine.compact().expect("compact");
    assert!(
        engine.statistics().file_bytes
            <= stat.live_bytes + 500 + 150 * engine.statistics().segments as u64,
        "{:?}",
        engine.statistics()
    );
    for n in 0.. {
        match engine.append(&[put(format!("more-{n}").as_bytes(), &[7; 2000])]) {
            Ok(_) => _ = engine.commit().expect("commit"),
            Err(error) => {
                assert_eq!(error, AppendError::Full);
                break;
            }
        }
    }
    assert!(engine.statistics().file_bytes <= options.max_bytes);
    engine
        .append(&[Change::Delete { key: b"more-0" }])
        .expect("append a delete to a full store");
    assert!(open_fails_with_io_error(&disk), "the store is locked");
}

fn open_fails_with_io_error(disk: &SimDisk) -> bool {
    matches!(open(std::slice::from_ref(disk)), Err(OpenError::Io(..)))
}

/// Guards against an expired record that is never removed, that reappears, or that is removed early
/// because the clock was set back between two starts.
#[test]
fn expired_records_are_removed() {
    let disk = SimDisk::new(Faults::default(), 1);
    let at = |now| {
        Engine::open(vec![disk.clone()], SMALL_SEGMENTS, "a test", 7, now)
            .expect("open the store")
            .0
    };
    let mut engine = at(1_000);
    engine
        .append(&[Change::Put {
            key: b"old",
            value: b"first",
            expires_at_ms: 0,
        }])
        .expect("append");
    engine
        .append(&[Change::Put {
            key: b"old",
            value: b"second",
            expires_at_ms: 5_000,
        }])
        .expect("append");
    engine.append(&[put(b"kept", b"k")]).expect("append");
    engine.commit().expect("commit");
    drop(engine);
    let mut engine = at(200); // the clock was set back
    assert_eq!(
        engine.get(b"old").expect("read").as_deref(),
        Some(&b"second"[..])
    );
    engine.set_time(5_000);
    engine.compact().expect("compact");
    assert!(!engine.contains_key(b"old") && engine.contains_key(b"kept"));
    drop(engine);
    let mut engine = at(200);
    assert_eq!(
        read_all(&mut engine).into_keys().collect::<Vec<_>>(),
        [b"kept".to_vec()]
    );
}

/// Guards against overwriting files of a newer format version or of another store.
#[test]
fn files_of_other_formats_and_stores_are_left_alone() {
    let disk = SimDisk::new(Faults::default(), 1);
    write_records(std::slice::from_ref(&disk), 3);
    let names: BTreeSet<String> = disk.list().expect("list the files").into_iter().collect();
    let name = names.first().expect("at least one file");
    let mut bytes = disk.content(name);
    bytes[8] = 9;
    let sum = crc32c::crc32c_append(crc32c::crc32c(&bytes[..12]), &bytes[16..64]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    disk.set_content(name, Some(bytes.clone()));
    match open(std::slice::from_ref(&disk)) {
        Err(error @ OpenError::UnsupportedVersion { version: 9, .. }) => {
            assert!(error.to_string().contains("version 9"), "{error}");
        }
        Err(error) => panic!("{error}"),
        Ok(_) => panic!("the store was opened"),
    }
    assert_eq!(disk.content(name), bytes);
    assert_eq!(
        disk.list()
            .expect("list the files")
            .into_iter()
            .collect::<BTreeSet<_>>(),
        names
    );
    let other = SimDisk::new(Faults::default(), 2);
    let mut engine = Engine::open(vec![other.clone()], SMALL_SEGMENTS, "a test", 78, 0)
        .expect("open the store")
        .0;
    engine.append(&[put(b"a", b"b")]).expect("append");
    engine.commit().expect("commit");
    drop(engine);
    let mixed = [other, SimDisk::new(Faults::default(), 3)];
    write_records(&mixed[1..], 1);
    assert!(matches!(open(&mixed), Err(OpenError::StoreMismatch(_))));
}

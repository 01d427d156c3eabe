//! Pins the keys and values that the ledger stores. A data directory of an older version of the program must be readable,
//! so these bytes must not change with a rename. The literals were written by the version before the renames.

use postproxy_idempotency::{
    Attempt, AttemptOutcome, Limits, Record, RequestIdentity, RequestLog, Stage, Write, job_id,
    job_key, result_key,
};

/// Returns the bytes as lower-case hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the bytes that the hexadecimal digits stand for.
fn unhex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte =
        |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("digits"), 16).expect("a byte");
    pairs.map(byte).collect()
}

/// Asserts that the record is stored as this literal, and read from it.
#[track_caller]
fn pin(record: Record, literal: &str) {
    let bytes = record.encode();
    assert_eq!(hex(&bytes), literal, "{record:?}");
    assert_eq!(Record::decode(&unhex(literal)), Some(record));
}

/// A record in this stage, with these attempts.
fn record(stage: Stage, attempts: Vec<Attempt>) -> Record {
    let digest = std::array::from_fn(|at| at as u8);
    let (class, key) = ("day-plan".to_owned(), Some("k-1".to_owned()));
    Record {
        class,
        key,
        digest,
        stage,
        attempts,
        deadline: 1_700_000_012_000,
        until: 1_700_003_600_000,
    }
}

#[test]
fn records_keep_their_bytes_in_every_stage() {
    let out = || {
        vec![Attempt {
            worker: "w-1".into(),
            fate: AttemptOutcome::Out,
        }]
    };
    pin(
        record(Stage::Open, out()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f000103772d3100e0ad96ffbc3180adf180bd31",
    );
    pin(
        record(Stage::Served(true), out()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f01010103772d3100e0ad96ffbc3180adf180bd31",
    );
    pin(
        record(Stage::Served(false), out()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f01000103772d3100e0ad96ffbc3180adf180bd31",
    );
    pin(
        record(Stage::Failed, out()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f020103772d3100e0ad96ffbc3180adf180bd31",
    );
}

#[test]
fn attempts_keep_their_bytes_with_every_outcome() {
    let attempt = |worker: &str, fate| Attempt {
        worker: worker.into(),
        fate,
    };
    let attempts = vec![
        attempt("w-1", AttemptOutcome::Out),
        attempt("w-2", AttemptOutcome::NeverRan),
        attempt("w-3", AttemptOutcome::MayHaveRun),
    ];
    pin(
        record(Stage::Open, attempts),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f000303772d310003772d320103772d3302e0ad96ffbc3180adf180bd31",
    );
    pin(
        record(Stage::Open, Vec::new()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f0000e0ad96ffbc3180adf180bd31",
    );
}

#[test]
fn empty_record_keeps_its_bytes() {
    let (class, attempts) = (String::new(), Vec::new());
    let (stage, digest) = (Stage::Failed, [0; 32]);
    let record = Record {
        class,
        key: None,
        digest,
        stage,
        attempts,
        deadline: 0,
        until: 0,
    };
    pin(
        record,
        "010000000000000000000000000000000000000000000000000000000000000000000002000000",
    );
}

#[test]
fn records_of_other_versions_and_cut_records_are_not_read() {
    let sound = record(Stage::Open, Vec::new()).encode();
    assert_eq!(sound[0], 1, "the version");
    for version in [0, 2, 255] {
        let mut other = sound.clone();
        other[0] = version;
        assert_eq!(Record::decode(&other), None);
    }
    assert!((0..sound.len()).all(|size| Record::decode(&sound[..size]).is_none()));
}

#[test]
fn keys_keep_their_bytes() {
    assert_eq!(job_key("a-1"), b"j/a-1");
    assert_eq!(result_key("a-1"), b"r/a-1");
    assert_eq!(job_id(b"j/a-1"), Some("a-1"));
    assert_eq!(job_id(b"r/a-1"), None);
    assert_eq!(job_id(b"j/\xff"), None);
}

/// The writes as text: the key, the value, and when it expires.
fn shown(writes: &[Write]) -> Vec<String> {
    let shown = |write: &Write| match write {
        Write::Put { key, value, until } => {
            format!(
                "put {} {} {until}",
                String::from_utf8_lossy(key),
                hex(value)
            )
        }
        Write::Delete { key } => format!("delete {}", String::from_utf8_lossy(key)),
    };
    writes.iter().map(shown).collect()
}

/// The writes of a job that fails at one worker and is served by another, and of one that never runs.
#[test]
fn writes_of_a_job_keep_their_bytes() {
    let mut ledger = RequestLog::new(Limits::default());
    let asked = RequestIdentity {
        id: "a",
        key: Some("k"),
        class: "c",
        digest: [7; 32],
    };
    let mut writes = ledger.intend(100.0, &asked, "w-1", 112.0);
    writes.extend(ledger.ended(101.0, "a", 0, true));
    writes.extend(ledger.intend(102.0, &asked, "w-2", 112.0));
    writes.extend(ledger.served(103.0, "a", b"result"));
    let other = RequestIdentity {
        id: "b",
        key: None,
        ..asked
    };
    writes.extend(ledger.intend(104.0, &other, "w-3", 112.0));
    writes.extend(ledger.ended(105.0, "b", 0, false));
    writes.extend(ledger.over(106.0, "b"));
    let expected: &[&str] = &[
        "put j/a 01016301016b0707070707070707070707070707070707070707070707070707070707070707000103772d310080eb06a0eae101 3700000",
        "put j/a 01016301016b0707070707070707070707070707070707070707070707070707070707070707000103772d310280eb0688f2e101 3701000",
        "put j/a 01016301016b0707070707070707070707070707070707070707070707070707070707070707000203772d310203772d320080eb06f0f9e101 3702000",
        "put j/a 01016301016b070707070707070707070707070707070707070707070707070707070707070701010203772d310203772d320080eb06d881e201 3703000",
        "put r/a 726573756c74 3703000",
        "put j/b 010163000707070707070707070707070707070707070707070707070707070707070707000103772d330080eb06c089e201 3704000",
        "put j/b 010163000707070707070707070707070707070707070707070707070707070707070707000103772d330180eb06a891e201 3705000",
        "delete j/b",
    ];
    assert_eq!(shown(&writes), expected);
}

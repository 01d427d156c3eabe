//! Pins the keys and values that the request log stores. The data directory of an older version of
//! the program must stay readable, so these bytes must not change within a version of the format.
//! The literals were recorded with an earlier version of the program.

use postproxy_idempotency::{
    Attempt, AttemptFailure, AttemptOutcome, Limits, RequestIdentity, RequestLog, RequestRecord,
    Stage, Write, request_id, request_key, result_key,
};

/// Decodes hexadecimal digits.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the record is encoded as this literal, and that the literal is decoded as the
/// record.
#[track_caller]
fn assert_encoding(record: RequestRecord, literal: &str) {
    let bytes = record.encode();
    assert_eq!(hex::encode(&bytes), literal, "{record:?}");
    assert_eq!(RequestRecord::decode(&decode_hex(literal)), Some(record));
}

/// Returns a record in this stage, with these attempts.
fn record(stage: Stage, attempts: Vec<Attempt>) -> RequestRecord {
    let digest = std::array::from_fn(|at| at as u8);
    let (class, key) = ("day-plan".to_owned(), Some("k-1".to_owned()));
    RequestRecord {
        class,
        idempotency_key: key,
        digest,
        stage,
        attempts,
        deadline_ms: 1_700_000_012_000,
        expires_at_ms: 1_700_003_600_000,
    }
}

#[test]
fn records_keep_their_bytes_in_every_stage() {
    let attempts = || {
        vec![Attempt {
            worker: "w-1".into(),
            outcome: AttemptOutcome::InFlight,
        }]
    };
    assert_encoding(
        record(Stage::Pending, attempts()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f000103772d3100e0ad96ffbc3180adf180bd31",
    );
    assert_encoding(
        record(
            Stage::Served {
                result_stored: true,
            },
            attempts(),
        ),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f01010103772d3100e0ad96ffbc3180adf180bd31",
    );
    assert_encoding(
        record(
            Stage::Served {
                result_stored: false,
            },
            attempts(),
        ),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f01000103772d3100e0ad96ffbc3180adf180bd31",
    );
    assert_encoding(
        record(Stage::Failed, attempts()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f020103772d3100e0ad96ffbc3180adf180bd31",
    );
}

#[test]
fn attempts_keep_their_bytes_with_every_outcome() {
    let attempt = |worker: &str, outcome| Attempt {
        worker: worker.into(),
        outcome,
    };
    let attempts = vec![
        attempt("w-1", AttemptOutcome::InFlight),
        attempt("w-2", AttemptOutcome::NeverRan),
        attempt("w-3", AttemptOutcome::MayHaveRun),
    ];
    assert_encoding(
        record(Stage::Pending, attempts),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f000303772d310003772d320103772d3302e0ad96ffbc3180adf180bd31",
    );
    assert_encoding(
        record(Stage::Pending, Vec::new()),
        "01086461792d706c616e01036b2d31000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f0000e0ad96ffbc3180adf180bd31",
    );
}

#[test]
fn empty_record_keeps_its_bytes() {
    let (class, attempts) = (String::new(), Vec::new());
    let (stage, digest) = (Stage::Failed, [0; 32]);
    let record = RequestRecord {
        class,
        idempotency_key: None,
        digest,
        stage,
        attempts,
        deadline_ms: 0,
        expires_at_ms: 0,
    };
    assert_encoding(
        record,
        "010000000000000000000000000000000000000000000000000000000000000000000002000000",
    );
}

#[test]
fn records_of_other_versions_and_truncated_records_are_rejected() {
    let valid = record(Stage::Pending, Vec::new()).encode();
    assert_eq!(valid[0], 1, "the version");
    for version in [0, 2, 255] {
        let mut other = valid.clone();
        other[0] = version;
        assert_eq!(RequestRecord::decode(&other), None);
    }
    assert!((0..valid.len()).all(|size| RequestRecord::decode(&valid[..size]).is_none()));
}

#[test]
fn keys_keep_their_bytes() {
    assert_eq!(request_key("a-1"), b"j/a-1");
    assert_eq!(result_key("a-1"), b"r/a-1");
    assert_eq!(request_id(b"j/a-1"), Some("a-1"));
    assert_eq!(request_id(b"r/a-1"), None);
    assert_eq!(request_id(b"j/\xff"), None);
}

/// Formats each write as a line with the key, the value, and when the value expires.
fn format_writes(writes: &[Write]) -> Vec<String> {
    let format_write = |write: &Write| match write {
        Write::Put {
            key,
            value,
            expires_at_ms,
        } => {
            format!(
                "put {} {} {expires_at_ms}",
                String::from_utf8_lossy(key),
                hex::encode(value)
            )
        }
        Write::Delete { key } => format!("delete {}", String::from_utf8_lossy(key)),
    };
    writes.iter().map(format_write).collect()
}

/// Covers a request that fails at one worker and is served by another, and one that never runs.
#[test]
fn writes_of_a_request_keep_their_bytes() {
    let mut log = RequestLog::new(Limits::default());
    let identity = RequestIdentity {
        id: "a",
        idempotency_key: Some("k"),
        class: "c",
        digest: [7; 32],
    };
    let mut writes = log.record_attempt_intent(100.0, &identity, "w-1", 112.0);
    writes.extend(log.record_attempt_ended(101.0, "a", 0, AttemptFailure::MayHaveRun));
    writes.extend(log.record_attempt_intent(102.0, &identity, "w-2", 112.0));
    writes.extend(log.record_served(103.0, "a", b"result"));
    let other = RequestIdentity {
        id: "b",
        idempotency_key: None,
        ..identity
    };
    writes.extend(log.record_attempt_intent(104.0, &other, "w-3", 112.0));
    writes.extend(log.record_attempt_ended(105.0, "b", 0, AttemptFailure::NeverRan));
    writes.extend(log.record_finished(106.0, "b"));
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
    assert_eq!(format_writes(&writes), expected);
}

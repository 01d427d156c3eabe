//! Pins the bytes of messages between version trackers, and the bytes, JSON and hashes of audit log
//! entries. The nodes of a fleet may run different versions of the program, so a rename must not
//! change any of these. The literals were written by a version before the identifiers were renamed.

use postproxy_version_tracking::{
    AuditEntry, AuditEvent, AuditLog, MAX_VERSIONS_PER_MESSAGE, Message, NodeState, Source,
    VersionDecisions, VersionKind, VersionLine, VersionRecord, digest,
};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

/// Returns the bytes that the hexadecimal digits stand for.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the value is encoded as this literal, and decoded from it.
#[track_caller]
fn assert_encoding<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: T, literal: &str) {
    let bytes = postcard::to_stdvec(&value).expect("an encoded value");
    assert_eq!(hex::encode(&bytes), literal, "{value:?}");
    assert_eq!(
        postcard::from_bytes::<T>(&decode_hex(literal)).expect("a value"),
        value
    );
}

/// Asserts that the value has this JSON, and is read from it.
#[track_caller]
fn assert_json<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: T, json: &str) {
    assert_eq!(serde_json::to_string(&value).expect("JSON"), json);
    assert_eq!(serde_json::from_str::<T>(json).expect("a value"), value);
}

const VERSION: VersionRecord = VersionRecord {
    generation: 300,
    number: 2,
    digest: u64::MAX,
};

#[test]
fn messages_keep_their_bytes() {
    assert_encoding(
        Message::Versions(vec![
            (VersionKind::WorkerList, VERSION),
            (
                VersionKind::Program,
                VersionRecord {
                    number: 3,
                    ..VERSION
                },
            ),
        ]),
        "000200ac0202ffffffffffffffffff0101ac0203ffffffffffffffffff01",
    );
    assert_encoding(Message::Versions(Vec::new()), "0000");
    assert_encoding(
        Message::Request {
            kind: VersionKind::WorkerList,
            generation: 4,
            newer_than: 5,
        },
        "01000405",
    );
    assert_encoding(
        Message::Request {
            kind: VersionKind::Program,
            generation: 4,
            newer_than: 5,
        },
        "01010405",
    );
    assert_eq!(MAX_VERSIONS_PER_MESSAGE, 16);
}

#[test]
fn version_digest_is_unchanged() {
    assert_eq!(
        format!("{:016x}", digest([&b"ab"[..], &b"c"[..]])),
        "43ee655579de01ca"
    );
    assert_eq!(
        format!("{:016x}", digest([&b""[..]; 0])),
        "e3b0c44298fc1c14"
    );
}

#[test]
fn entries_keep_their_bytes() {
    let hash = std::array::from_fn(|at| at as u8);
    let entry = |event| AuditEntry {
        view: 300,
        at_ms: 1_700_000_000_000,
        event,
        action_count: 7,
        hash,
    };
    assert_encoding(
        entry(AuditEvent::Started),
        "ac0280d095ffbc310007000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
    );
    assert_encoding(
        entry(AuditEvent::Adopted(
            VersionKind::WorkerList,
            VERSION,
            Source::Own,
        )),
        "ac0280d095ffbc310100ac0202ffffffffffffffffff010007000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
    );
    assert_encoding(
        entry(AuditEvent::Adopted(
            VersionKind::Program,
            VERSION,
            Source::Peer("n-2".into()),
        )),
        "ac0280d095ffbc310101ac0202ffffffffffffffffff0101036e2d3207000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
    );
    assert_encoding(
        entry(AuditEvent::Compacted(8)),
        "ac0280d095ffbc31020807000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
    );
}

#[test]
fn hashes_of_entries_are_unchanged() {
    let mut log = AuditLog::new(1000, 3);
    log.count_actions(2);
    log.record_adoption(2000, VersionKind::WorkerList, VERSION, Source::Own);
    log.record_adoption(
        3000,
        VersionKind::Program,
        VERSION,
        Source::Peer("n-2".into()),
    );
    assert_eq!(
        hex::encode(log.head_hash()),
        "de2d855c83ef907a262c4381cc6f189f689e1ea8fde426d9d54f4d15672160c8"
    );
    log.record_adoption(
        4000,
        VersionKind::WorkerList,
        VersionRecord {
            number: 3,
            ..VERSION
        },
        Source::Own,
    );
    assert_eq!(
        hex::encode(log.head_hash()),
        "9396ccc54918bccb9984eea1060bce571ee05e1509b93df2e2e3572a59c694f9"
    );
    // The two oldest entries have been merged.
    let entries: Vec<AuditEntry> = log.entries().cloned().collect();
    assert_eq!(entries[0].event, AuditEvent::Compacted(2));
    assert_eq!(
        hex::encode(entries[0].hash),
        "f73c319b206de8ba7ecefc174dc3122a132e77bc7aa357ae79708b280e450f5a"
    );
    assert_eq!(AuditLog::verify(&entries), Ok(()));
}

#[test]
fn entries_keep_their_json() {
    assert_json(VersionKind::WorkerList, r#""list""#);
    assert_json(VersionKind::Program, r#""program""#);
    assert_json(
        VERSION,
        r#"{"generation":300,"number":2,"digest":18446744073709551615}"#,
    );
    assert_json(AuditEvent::Started, r#""began""#);
    assert_json(
        AuditEvent::Adopted(VersionKind::WorkerList, VERSION, Source::Own),
        r#"{"adopted":["list",{"generation":300,"number":2,"digest":18446744073709551615},"own"]}"#,
    );
    assert_json(AuditEvent::Compacted(8), r#"{"folded":8}"#);
    assert_json(Source::Peer("n-2".into()), r#"{"peer":"n-2"}"#);
    let entry = AuditEntry {
        view: 1,
        at_ms: 2,
        event: AuditEvent::Started,
        action_count: 3,
        hash: [0; 32],
    };
    let zeros = ["0"; 32].join(",");
    assert_json(
        entry,
        &format!(r#"{{"view":1,"at_ms":2,"what":"began","acts":3,"hash":[{zeros}]}}"#),
    );
}

#[test]
fn states_keep_their_bytes_and_json() {
    assert_encoding(NodeState::Current, "00");
    assert_encoding(NodeState::Behind, "01");
    assert_encoding(NodeState::Excluded, "02");
    assert_encoding(NodeState::CatchingUp, "03");
    assert_json(NodeState::Current, r#""current""#);
    assert_json(NodeState::Behind, r#""behind""#);
    assert_json(NodeState::Excluded, r#""out""#);
    assert_json(NodeState::CatchingUp, r#""catchingup""#);
}

/// The decisions are the value of the lease `audit`, which is stored in the replicated log.
#[test]
fn decisions_keep_their_bytes() {
    let line = VersionLine {
        kind: VersionKind::WorkerList,
        generation: 300,
    };
    let decisions = VersionDecisions {
        floors: BTreeMap::from([(line, 2)]),
        excluded: BTreeMap::from([("n-1".to_owned(), BTreeSet::from([line]))]),
        exclusion_counts: BTreeMap::from([("n-2".to_owned(), 3)]),
        faulty: BTreeMap::from([(
            VersionLine {
                kind: VersionKind::Program,
                generation: 4,
            },
            5,
        )]),
    };
    assert_encoding(
        decisions,
        "0100ac020201036e2d310100ac0201036e2d320301010405",
    );
    assert_encoding(VersionDecisions::default(), "00000000");
}

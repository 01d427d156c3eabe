//! Pins the JSON of this crate's types in the answers to `GET /v1/fleet/audit` and
//! `GET /v1/fleet/versions`.
//!
//! Keys and values are derived from names of fields and variants in Rust, so that a rename could
//! change them unnoticed. The literals below do not follow a rename: keep the name on the wire with
//! `#[serde(rename)]` instead of changing it here.

use postproxy_version_tracking::{
    AuditEntry, AuditEvent, NodeState, REMEDIES, Source, VersionKind, VersionRecord,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Asserts that the value is serialized to this text, and deserialized from it.
#[track_caller]
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("JSON"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("a value"), value);
}

const VERSION: VersionRecord = VersionRecord {
    generation: 5,
    number: 41,
    digest: 9,
};

#[test]
fn each_kind_of_version_has_this_json_and_this_name() {
    assert_json(&VersionKind::WorkerList, r#""list""#);
    assert_json(&VersionKind::Program, r#""program""#);
    assert_eq!(
        [
            VersionKind::WorkerList.as_str(),
            VersionKind::Program.as_str()
        ],
        ["list", "program"]
    );
}

#[test]
fn a_version_has_this_json() {
    assert_json(&VERSION, r#"{"generation":5,"number":41,"digest":9}"#);
}

#[test]
fn each_source_of_a_version_has_this_json() {
    assert_json(&Source::Own, r#""own""#);
    assert_json(&Source::Peer("n1".into()), r#"{"peer":"n1"}"#);
}

#[test]
fn each_event_of_the_audit_log_has_this_json() {
    assert_json(&AuditEvent::Started, r#""began""#);
    assert_json(
        &AuditEvent::Adopted(VersionKind::WorkerList, VERSION, Source::Own),
        r#"{"adopted":["list",{"generation":5,"number":41,"digest":9},"own"]}"#,
    );
    assert_json(
        &AuditEvent::Adopted(VersionKind::Program, VERSION, Source::Peer("n1".into())),
        r#"{"adopted":["program",{"generation":5,"number":41,"digest":9},{"peer":"n1"}]}"#,
    );
    assert_json(&AuditEvent::Compacted(3), r#"{"folded":3}"#);
}

#[test]
fn an_entry_of_the_audit_log_has_this_json() {
    let mut hash = [0; 32];
    (hash[0], hash[31]) = (1, 255);
    let entry = AuditEntry {
        view: 2,
        at_ms: 1_000_000,
        event: AuditEvent::Started,
        action_count: 4,
        hash,
    };
    assert_json(
        &entry,
        r#"{"view":2,"at_ms":1000000,"what":"began","acts":4,"hash":[1,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,255]}"#,
    );
}

#[test]
fn each_state_of_a_node_has_this_json() {
    assert_json(&NodeState::Current, r#""current""#);
    assert_json(&NodeState::Behind, r#""behind""#);
    assert_json(&NodeState::Excluded, r#""out""#);
    assert_json(&NodeState::CatchingUp, r#""catchingup""#);
}

#[test]
fn the_error_codes_and_remedies_are_these() {
    assert_eq!(
        REMEDIES,
        [(
            "audit.fork",
            "find out which of the two versions its source published; stop whatever publishes the other",
        )]
    );
}

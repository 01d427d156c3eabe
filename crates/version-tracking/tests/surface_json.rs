//! Pins what `GET /v1/fleet/audit` and `GET /v1/fleet/versions` have of this crate in their JSON bodies.
//!
//! The keys and variant names are those of Rust types, so that renaming a field or a variant would change them unseen: the text
//! below is literal and does not follow a rename. Keep the name on the wire with `#[serde(rename)]` instead of changing it here.

use postproxy_version_tracking::{
    AuditEntry, AuditEvent, Kind, REMEDIES, Source, State, VersionRecord,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// The value is written as this text, and this text is read as the value.
fn pinned<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("JSON"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("a value"), value);
}

const STAND: VersionRecord = VersionRecord {
    generation: 5,
    number: 41,
    digest: 9,
};

#[test]
fn each_kind_of_version_has_this_json_and_this_word() {
    pinned(&Kind::List, r#""list""#);
    pinned(&Kind::Program, r#""program""#);
    assert_eq!(
        [Kind::List.word(), Kind::Program.word()],
        ["list", "program"]
    );
}

#[test]
fn a_version_has_this_json() {
    pinned(&STAND, r#"{"generation":5,"number":41,"digest":9}"#);
}

#[test]
fn each_source_of_a_version_has_this_json() {
    pinned(&Source::Own, r#""own""#);
    pinned(&Source::Peer("n1".into()), r#"{"peer":"n1"}"#);
}

#[test]
fn each_event_of_the_trail_has_this_json() {
    pinned(&AuditEvent::Began, r#""began""#);
    pinned(
        &AuditEvent::Adopted(Kind::List, STAND, Source::Own),
        r#"{"adopted":["list",{"generation":5,"number":41,"digest":9},"own"]}"#,
    );
    pinned(
        &AuditEvent::Adopted(Kind::Program, STAND, Source::Peer("n1".into())),
        r#"{"adopted":["program",{"generation":5,"number":41,"digest":9},{"peer":"n1"}]}"#,
    );
    pinned(&AuditEvent::Folded(3), r#"{"folded":3}"#);
}

#[test]
fn a_record_of_the_trail_has_this_json() {
    let mut hash = [0; 32];
    (hash[0], hash[31]) = (1, 255);
    let record = AuditEntry {
        view: 2,
        at_ms: 1_000_000,
        what: AuditEvent::Began,
        acts: 4,
        hash,
    };
    pinned(
        &record,
        r#"{"view":2,"at_ms":1000000,"what":"began","acts":4,"hash":[1,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,0,255]}"#,
    );
}

#[test]
fn each_state_of_a_node_has_this_json() {
    pinned(&State::Current, r#""current""#);
    pinned(&State::Behind, r#""behind""#);
    pinned(&State::Excluded, r#""out""#);
    pinned(&State::CatchingUp, r#""catchingup""#);
}

#[test]
fn the_error_codes_and_remedies_are_these() {
    assert_eq!(
        REMEDIES,
        [(
            "audit.fork",
            "see which of the two the source of this version holds; end whatever else speaks in its name",
        )]
    );
}

//! Pins the JSON bodies of `GET /v1/fleet/owners` and of rejected calls of the management API.
//!
//! The keys and variant names come from Rust types, so renaming a field or a variant would change
//! them unnoticed. The texts below are literals and do not follow a rename. After a rename, keep
//! the name on the wire with `#[serde(rename)]` instead of changing it here.

use postproxy_coordination::{
    Error, LeaseStatus, NotVotingReason, Rejection, ReplicaStatus, Status,
};
use postproxy_diagnostics::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Asserts that the value is serialized as this text, and this text deserialized as the value.
fn pinned<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("JSON"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("a value"), value);
}

fn owned_lease() -> LeaseStatus {
    LeaseStatus {
        lease: "bans".into(),
        owner: Some("n0".into()),
        token: Some(7),
        next_owner: Some("n1".into()),
        value_bytes: 12,
        remaining_ms: Some(2500),
    }
}

const OWNED: &str =
    r#"{"duty":"bans","owner":"n0","token":7,"next":"n1","value_bytes":12,"left_ms":2500}"#;

fn free_lease() -> LeaseStatus {
    LeaseStatus {
        lease: "bans".into(),
        owner: None,
        token: None,
        next_owner: None,
        value_bytes: 0,
        remaining_ms: None,
    }
}

const FREE: &str =
    r#"{"duty":"bans","owner":null,"token":null,"next":null,"value_bytes":0,"left_ms":null}"#;

#[test]
fn a_lease_with_an_owner_has_this_json() {
    pinned(&owned_lease(), OWNED);
}

#[test]
fn a_lease_without_an_owner_has_this_json() {
    pinned(&free_lease(), FREE);
}

#[test]
fn a_voter_has_this_json() {
    let voter = |recently_heard, promises_lost| ReplicaStatus {
        voter_id: 3,
        node: "n2".into(),
        recently_heard,
        promises_lost,
    };
    pinned(
        &voter(Some(true), true),
        r#"{"seat":3,"node":"n2","heard":true,"lost":true}"#,
    );
    pinned(
        &voter(Some(false), false),
        r#"{"seat":3,"node":"n2","heard":false,"lost":false}"#,
    );
    pinned(
        &voter(None, false),
        r#"{"seat":3,"node":"n2","heard":null,"lost":false}"#,
    );
}

#[test]
fn each_reason_for_not_voting_has_this_json() {
    pinned(&NotVotingReason::NotAVoter, r#""NoSeat""#);
    pinned(&NotVotingReason::AwaitingAdmission, r#""Waits""#);
    pinned(&NotVotingReason::PromisesLost, r#""Lost""#);
    pinned(&NotVotingReason::Removed, r#""Removed""#);
    pinned(
        &NotVotingReason::LogDamaged("entry 3 is gone".into()),
        r#"{"Damaged":"entry 3 is gone"}"#,
    );
}

#[test]
fn a_full_status_has_this_json() {
    let status = Status {
        node: "n0".into(),
        is_voter: false,
        not_voting_reason: Some(NotVotingReason::LogDamaged("entry 3 is gone".into())),
        leader: Some("n1".into()),
        applied_index: 41,
        voters: vec![ReplicaStatus {
            voter_id: 1,
            node: "n0".into(),
            recently_heard: Some(true),
            promises_lost: false,
        }],
        leases: vec![owned_lease(), free_lease()],
        latest_token: 9,
    };
    let text = [
        r#"{"node":"n0","votes":false,"why":{"Damaged":"entry 3 is gone"},"leader":"n1","place":41,"#,
        r#""voters":[{"seat":1,"node":"n0","heard":true,"lost":false}],"duties":["#,
        OWNED,
        ",",
        FREE,
        r#"],"token":9}"#,
    ]
    .concat();
    pinned(&status, &text);
}

#[test]
fn an_empty_status_has_this_json() {
    let status = Status {
        node: "n0".into(),
        is_voter: true,
        not_voting_reason: None,
        leader: None,
        applied_index: 0,
        voters: Vec::new(),
        leases: Vec::new(),
        latest_token: 0,
    };
    pinned(
        &status,
        r#"{"node":"n0","votes":true,"why":null,"leader":null,"place":0,"voters":[],"duties":[],"token":0}"#,
    );
}

#[track_caller]
fn rejected(error: &Error, text: &str) {
    assert_eq!(
        serde_json::to_string(&error.error_body()).expect("JSON"),
        text
    );
}

#[test]
fn calls_that_were_not_committed_have_these_error_bodies() {
    let remedy = "retry, the call may have been committed meanwhile; if the error persists, start the silent voters or repair \
                  the network between the voters, and remove a voter that will not return";
    let body = |silent: &str| {
        format!(
            r#"{{"error":"duties","code":"duties.no_majority","what":"not committed in time; silent voters: {silent}","remedy":"{remedy}"}}"#
        )
    };
    rejected(
        &Error::NoMajority(vec!["n1".into(), "n2".into()]),
        &body("n1, n2"),
    );
    rejected(&Error::NoMajority(Vec::new()), &body("none"));
    rejected(
        &Error::Busy,
        r#"{"error":"duties","code":"duties.busy","what":"too many calls are queued","remedy":"wait a second and retry"}"#,
    );
    rejected(
        &Error::NoVoters,
        r#"{"error":"duties","code":"duties.no_voters","what":"no voter is known","remedy":"list the voters in the section fleet of every node's settings, and start them"}"#,
    );
    rejected(
        &Error::NotLeader("n1".into()),
        r#"{"error":"voters","code":"voters.elsewhere","what":"n1 is the leader","remedy":"retry: the leader has just changed"}"#,
    );
}

#[test]
fn calls_on_leases_that_are_rejected_have_these_error_bodies() {
    rejected(
        &Error::Rejected(Rejection::OwnedByOther {
            owner: "n1".into(),
            token: 7,
        }),
        r#"{"error":"duties","code":"duties.owned","what":"n1 owns the lease under token 7","remedy":"release the lease, or transfer it to another node"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::StaleToken(Some(7))),
        r#"{"error":"duties","code":"duties.stale","what":"the token is stale: the lease is owned under token 7 now","remedy":"no action needed: the lease has another owner or none, and the previous owner has stopped"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::StaleToken(None)),
        r#"{"error":"duties","code":"duties.stale","what":"the token is stale: the lease has no owner now","remedy":"no action needed: the lease has another owner or none, and the previous owner has stopped"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::UnknownLease),
        r#"{"error":"duties","code":"duties.unknown","what":"no lease of that name is known","remedy":"see GET /v1/fleet/owners for the leases that exist"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::Malformed),
        r#"{"error":"duties","code":"duties.malformed","what":"a name must have 1 to 64 bytes, a value at most 65536","remedy":"give a name of 1 to 64 bytes"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::TooManyLeases),
        r#"{"error":"duties","code":"duties.full","what":"the lease table is full","remedy":"at most 4096 leases can exist: stop whatever creates leases under new names"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::SupersededCommand),
        r#"{"error":"duties","code":"duties.old","what":"superseded by a later call of the same client","remedy":"no action needed: a later call of the same node has been answered"}"#,
    );
}

#[test]
fn calls_on_voters_that_are_rejected_have_these_error_bodies() {
    rejected(
        &Error::WouldLoseMajority { live: 1, total: 3 },
        r#"{"error":"voters","code":"voters.would_stop","what":"only 1 of 3 voters would be alive, which is no majority","remedy":"start the voters that are down first, or remove a dead voter instead of a live one"}"#,
    );
    rejected(
        &Error::VoterCount,
        r#"{"error":"voters","code":"voters.count","what":"the number of voters must be two to seven","remedy":"remove a voter before adding another one; at least two voters must remain"}"#,
    );
    rejected(
        &Error::UnknownNode,
        r#"{"error":"voters","code":"voters.nobody","what":"no node of that name is known","remedy":"see GET /v1/fleet/members for the names; only a node listed there can become a voter"}"#,
    );
    rejected(
        &Error::InvalidName,
        r#"{"error":"voters","code":"voters.name","what":"a name must have 1 to 64 bytes","remedy":"give a name of 1 to 64 bytes"}"#,
    );
}

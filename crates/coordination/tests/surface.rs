//! Pins what `GET /v1/fleet/owners` and the rejected calls of the management API have in their JSON bodies.
//!
//! The keys and variant names are those of Rust types, so that renaming a field or a variant would change them unseen: the text
//! below is literal and does not follow a rename. Keep the name on the wire with `#[serde(rename)]` instead of changing it here.

use postproxy_coordination::{
    Error, LeaseStatus, NotVotingReason, Rejection, ReplicaStatus, Status,
};
use postproxy_diagnostics::Diagnostic;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// The value is written as this text, and this text is read as the value.
fn pinned<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("JSON"), text);
    assert_eq!(&serde_json::from_str::<T>(text).expect("a value"), value);
}

fn owned() -> LeaseStatus {
    LeaseStatus {
        duty: "bans".into(),
        owner: Some("n0".into()),
        token: Some(7),
        next: Some("n1".into()),
        value_bytes: 12,
        left_ms: Some(2500),
    }
}

const OWNED: &str =
    r#"{"duty":"bans","owner":"n0","token":7,"next":"n1","value_bytes":12,"left_ms":2500}"#;

fn free() -> LeaseStatus {
    LeaseStatus {
        duty: "bans".into(),
        owner: None,
        token: None,
        next: None,
        value_bytes: 0,
        left_ms: None,
    }
}

const FREE: &str =
    r#"{"duty":"bans","owner":null,"token":null,"next":null,"value_bytes":0,"left_ms":null}"#;

#[test]
fn a_duty_with_an_owner_has_this_json() {
    pinned(&owned(), OWNED);
}

#[test]
fn a_duty_without_an_owner_has_this_json() {
    pinned(&free(), FREE);
}

#[test]
fn a_voter_has_this_json() {
    let voter = |heard, lost| ReplicaStatus {
        seat: 3,
        node: "n2".into(),
        heard,
        lost,
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
    pinned(&NotVotingReason::NoSeat, r#""NoSeat""#);
    pinned(&NotVotingReason::Waits, r#""Waits""#);
    pinned(&NotVotingReason::Lost, r#""Lost""#);
    pinned(&NotVotingReason::Removed, r#""Removed""#);
    pinned(
        &NotVotingReason::Damaged("entry 3 is gone".into()),
        r#"{"Damaged":"entry 3 is gone"}"#,
    );
}

#[test]
fn a_full_view_has_this_json() {
    let view = Status {
        node: "n0".into(),
        votes: false,
        why: Some(NotVotingReason::Damaged("entry 3 is gone".into())),
        leader: Some("n1".into()),
        place: 41,
        voters: vec![ReplicaStatus {
            seat: 1,
            node: "n0".into(),
            heard: Some(true),
            lost: false,
        }],
        duties: vec![owned(), free()],
        token: 9,
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
    pinned(&view, &text);
}

#[test]
fn an_empty_view_has_this_json() {
    let (voters, duties) = (Vec::new(), Vec::new());
    let view = Status {
        node: "n0".into(),
        votes: true,
        why: None,
        leader: None,
        place: 0,
        voters,
        duties,
        token: 0,
    };
    pinned(
        &view,
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
fn calls_that_were_not_decided_have_these_error_bodies() {
    let remedy = "ask again, it may be decided by now; if it stays so, start the voters that are not heard or mend the network \
                  between them, and remove one that will not come back";
    let body = |heard: &str| {
        format!(
            r#"{{"error":"duties","code":"duties.no_majority","what":"not decided in time; voters not heard: {heard}","remedy":"{remedy}"}}"#
        )
    };
    rejected(
        &Error::NoMajority(vec!["n1".into(), "n2".into()]),
        &body("n1, n2"),
    );
    rejected(&Error::NoMajority(Vec::new()), &body("none"));
    rejected(
        &Error::Busy,
        r#"{"error":"duties","code":"duties.busy","what":"too many calls wait","remedy":"wait a second and ask again"}"#,
    );
    rejected(
        &Error::NoVoters,
        r#"{"error":"duties","code":"duties.no_voters","what":"no node votes","remedy":"name voters in the section fleet of every node, and start them"}"#,
    );
    rejected(
        &Error::Elsewhere("n1".into()),
        r#"{"error":"voters","code":"voters.elsewhere","what":"n1 leads","remedy":"ask again: who leads has just changed"}"#,
    );
}

#[test]
fn calls_on_duties_that_are_rejected_have_these_error_bodies() {
    rejected(
        &Error::Rejected(Rejection::Owned("n1".into(), 7)),
        r#"{"error":"duties","code":"duties.owned","what":"n1 owns it under token 7","remedy":"ask its owner to release it, or hand it on"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::StaleToken(Some(7))),
        r#"{"error":"duties","code":"duties.stale","what":"the token is over: it is 7 now","remedy":"nothing: another owner has it, and the old one has stopped"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::StaleToken(None)),
        r#"{"error":"duties","code":"duties.stale","what":"the token is over: nobody owns it now","remedy":"nothing: another owner has it, and the old one has stopped"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::Unknown),
        r#"{"error":"duties","code":"duties.unknown","what":"nobody knows this duty","remedy":"see GET /v1/fleet/owners for the duties that there are"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::Malformed),
        r#"{"error":"duties","code":"duties.malformed","what":"a name must have 1 to 64 bytes, a value at most 65536","remedy":"give a name of 1 to 64 bytes"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::Full),
        r#"{"error":"duties","code":"duties.full","what":"no more duties can be remembered","remedy":"no more than 4096 duties can be known: end parts that make them"}"#,
    );
    rejected(
        &Error::Rejected(Rejection::Old),
        r#"{"error":"duties","code":"duties.old","what":"a later call of this client has been answered","remedy":"nothing: a later call of the same node has been answered"}"#,
    );
}

#[test]
fn calls_on_voters_that_are_rejected_have_these_error_bodies() {
    rejected(
        &Error::WouldStop { living: 1, of: 3 },
        r#"{"error":"voters","code":"voters.would_stop","what":"it would leave 1 living voters of 3","remedy":"start voters that are down first, or remove a dead one instead of a living one"}"#,
    );
    rejected(
        &Error::Count,
        r#"{"error":"voters","code":"voters.count","what":"two to seven nodes vote","remedy":"remove a seat before another is added; two voters are the least"}"#,
    );
    rejected(
        &Error::Nobody,
        r#"{"error":"voters","code":"voters.nobody","what":"no node of that name is known","remedy":"see GET /v1/fleet/members for the names; the node must be there to get a seat"}"#,
    );
    rejected(
        &Error::Name,
        r#"{"error":"voters","code":"voters.name","what":"a name must have 1 to 64 bytes","remedy":"give a name of 1 to 64 bytes"}"#,
    );
}

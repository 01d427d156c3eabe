//! Pins errors as operators and scripts see them: every code with its remedy, the status and body
//! that the management API returns for each error, the messages of the error types, and the output
//! of the drill program. All texts are literals, so renaming an identifier can't change them
//! unnoticed.

use postproxy::decision::interface::SettingsError;
use postproxy::net::cluster::coordination::error_response;
use postproxy::net::messages::Answer;
use postproxy::operator_config::OperatorConfigError;
use postproxy::simulator_protocol::DecodeError;
use postproxy_coordination::{Error, Rejection};
use postproxy_diagnostics::{Diagnostic, ErrorBody};
use std::io::Write;
use std::process::{Command, Stdio};

#[test]
fn codes_of_the_audit_have_their_remedies() {
    let expected = [(
        "audit.fork",
        "find out which of the two versions its source published; stop whatever publishes the other",
    )];
    assert_eq!(postproxy_version_tracking::REMEDIES, expected);
}

#[test]
fn codes_of_coordination_have_their_remedies() {
    let expected = [
        (
            "duties.no_majority",
            "retry, the call may have been committed meanwhile; if the error persists, start the silent voters or repair the network between the voters, and remove a voter that will not return",
        ),
        ("duties.busy", "wait a second and retry"),
        (
            "duties.no_voters",
            "list the voters in the section fleet of every node's settings, and start them",
        ),
        (
            "duties.owned",
            "release the lease, or transfer it to another node",
        ),
        (
            "duties.stale",
            "no action needed: the lease has another owner or none, and the previous owner has stopped",
        ),
        (
            "duties.unknown",
            "see GET /v1/fleet/owners for the leases that exist",
        ),
        ("duties.malformed", "give a name of 1 to 64 bytes"),
        (
            "duties.full",
            "at most 4096 leases can exist: stop whatever creates leases under new names",
        ),
        (
            "duties.old",
            "no action needed: a later call of the same node has been answered",
        ),
        (
            "voters.would_stop",
            "start the voters that are down first, or remove a dead voter instead of a live one",
        ),
        (
            "voters.count",
            "remove a voter before adding another one; at least two voters must remain",
        ),
        (
            "voters.nobody",
            "see GET /v1/fleet/members for the names; only a node listed there can become a voter",
        ),
        ("voters.name", "give a name of 1 to 64 bytes"),
        ("voters.elsewhere", "retry: the leader has just changed"),
    ];
    assert_eq!(postproxy_coordination::REMEDIES, expected);
}

#[test]
fn codes_of_settings_have_their_remedies() {
    let expected = [
        (
            "settings.malformed",
            "correct the value of the named key, then start the node or signal it to reload its settings",
        ),
        (
            "settings.word",
            "set the named key to one of the listed values, then start the node or signal it to reload its settings",
        ),
        (
            "settings.range",
            "set the named key to a valid value, then start the node or signal it to reload its settings",
        ),
    ];
    assert_eq!(postproxy::decision::interface::REMEDIES, expected);
}

/// Asserts the status and the body that the management API returns for this error.
fn assert_rejection(error: Error, status: u16, body: &str) {
    let response = error_response(&error);
    assert_eq!(
        (response.status, response.body),
        (status, format!("{body}\n"))
    );
}

#[test]
fn calls_that_are_not_decided_are_shown_with_status_503() {
    assert_rejection(
        Error::NoMajority(vec!["n1".into(), "n2".into()]),
        503,
        r#"{"error":"duties","code":"duties.no_majority","what":"not committed in time; silent voters: n1, n2","remedy":"retry, the call may have been committed meanwhile; if the error persists, start the silent voters or repair the network between the voters, and remove a voter that will not return"}"#,
    );
    assert_rejection(
        Error::NoMajority(vec![]),
        503,
        r#"{"error":"duties","code":"duties.no_majority","what":"not committed in time; silent voters: none","remedy":"retry, the call may have been committed meanwhile; if the error persists, start the silent voters or repair the network between the voters, and remove a voter that will not return"}"#,
    );
    assert_rejection(
        Error::Busy,
        503,
        r#"{"error":"duties","code":"duties.busy","what":"too many calls are queued","remedy":"wait a second and retry"}"#,
    );
    assert_rejection(
        Error::NoVoters,
        503,
        r#"{"error":"duties","code":"duties.no_voters","what":"no voter is known","remedy":"list the voters in the section fleet of every node's settings, and start them"}"#,
    );
    assert_rejection(
        Error::NotLeader("n2".into()),
        503,
        r#"{"error":"voters","code":"voters.elsewhere","what":"n2 is the leader","remedy":"retry: the leader has just changed"}"#,
    );
}

#[test]
fn calls_that_the_state_forbids_are_shown_with_status_409() {
    assert_rejection(
        Error::Rejected(Rejection::OwnedByOther {
            owner: "n1".into(),
            token: 7,
        }),
        409,
        r#"{"error":"duties","code":"duties.owned","what":"n1 owns the lease under token 7","remedy":"release the lease, or transfer it to another node"}"#,
    );
    assert_rejection(
        Error::Rejected(Rejection::StaleToken(Some(8))),
        409,
        r#"{"error":"duties","code":"duties.stale","what":"the token is stale: the lease is owned under token 8 now","remedy":"no action needed: the lease has another owner or none, and the previous owner has stopped"}"#,
    );
    assert_rejection(
        Error::Rejected(Rejection::StaleToken(None)),
        409,
        r#"{"error":"duties","code":"duties.stale","what":"the token is stale: the lease has no owner now","remedy":"no action needed: the lease has another owner or none, and the previous owner has stopped"}"#,
    );
    assert_rejection(
        Error::Rejected(Rejection::Malformed),
        409,
        r#"{"error":"duties","code":"duties.malformed","what":"a name must have 1 to 64 bytes, a value at most 65536","remedy":"give a name of 1 to 64 bytes"}"#,
    );
    assert_rejection(
        Error::Rejected(Rejection::TooManyLeases),
        409,
        r#"{"error":"duties","code":"duties.full","what":"the lease table is full","remedy":"at most 4096 leases can exist: stop whatever creates leases under new names"}"#,
    );
    assert_rejection(
        Error::Rejected(Rejection::SupersededCommand),
        409,
        r#"{"error":"duties","code":"duties.old","what":"superseded by a later call of the same client","remedy":"no action needed: a later call of the same node has been answered"}"#,
    );
}

#[test]
fn changes_of_the_voters_that_are_not_possible_are_shown_with_status_409() {
    assert_rejection(
        Error::WouldLoseMajority { live: 1, total: 3 },
        409,
        r#"{"error":"voters","code":"voters.would_stop","what":"only 1 of 3 voters would be alive, which is no majority","remedy":"start the voters that are down first, or remove a dead voter instead of a live one"}"#,
    );
    assert_rejection(
        Error::VoterCount,
        409,
        r#"{"error":"voters","code":"voters.count","what":"the number of voters must be two to seven","remedy":"remove a voter before adding another one; at least two voters must remain"}"#,
    );
}

#[test]
fn calls_for_what_is_not_there_are_shown_with_status_404() {
    assert_rejection(
        Error::Rejected(Rejection::UnknownLease),
        404,
        r#"{"error":"duties","code":"duties.unknown","what":"no lease of that name is known","remedy":"see GET /v1/fleet/owners for the leases that exist"}"#,
    );
    assert_rejection(
        Error::UnknownNode,
        404,
        r#"{"error":"voters","code":"voters.nobody","what":"no node of that name is known","remedy":"see GET /v1/fleet/members for the names; only a node listed there can become a voter"}"#,
    );
}

#[test]
fn a_name_that_is_none_is_shown_with_status_400() {
    assert_rejection(
        Error::InvalidName,
        400,
        r#"{"error":"voters","code":"voters.name","what":"a name must have 1 to 64 bytes","remedy":"give a name of 1 to 64 bytes"}"#,
    );
}

#[test]
fn settings_errors_are_shown_with_code_and_remedy() {
    let shown = |error: SettingsError| {
        let ErrorBody {
            error,
            code,
            what,
            remedy,
        } = error.error_body();
        [error, code, what, remedy]
    };
    let word = SettingsError::UnknownKeyword {
        path: "report.via".into(),
        found: "x\"".into(),
        want: "a, b",
    };
    let expected = [
        "settings",
        "settings.word",
        r#"settings.report.via must be one of a, b, but is "x\"""#,
        "set the named key to one of the listed values, then start the node or signal it to reload its settings",
    ];
    assert_eq!(shown(word), expected);
    let expected = [
        "settings",
        "settings.range",
        "settings.tick must be above 0",
        "set the named key to a valid value, then start the node or signal it to reload its settings",
    ];
    assert_eq!(
        shown(SettingsError::Range {
            key: "tick",
            want: "above 0"
        }),
        expected
    );
    let malformed = postproxy::decision::interface::Settings::from_json("[").expect_err("no JSON");
    let expected = [
        "settings",
        "settings.malformed",
        "settings: EOF while parsing a list at line 1 column 1",
        "correct the value of the named key, then start the node or signal it to reload its settings",
    ];
    assert_eq!(shown(malformed), expected);
}

#[test]
fn problems_of_the_operator_file_begin_with_their_place() {
    let problem = OperatorConfigError {
        path: "store.folder".into(),
        message: "must not be empty".into(),
    };
    assert_eq!(problem.to_string(), "store.folder: must not be empty");
}

#[test]
fn answers_have_their_words_in_logs() {
    let words = [
        Answer::Served(vec![]),
        Answer::RejectedWithRetryAfter(1.0),
        Answer::Failed,
        Answer::DuplicateRequestId,
    ]
    .map(|answer| answer.as_str());
    assert_eq!(words, ["served", "unavailable", "failed", "held"]);
}

#[test]
fn errors_of_the_batch_protocol_have_their_messages() {
    let cases = [
        (
            DecodeError::Io(std::io::Error::other("gone")),
            "reading a batch: gone",
        ),
        (DecodeError::Truncated, "input ended within a batch"),
        (
            DecodeError::RecordTooShort(3),
            "record with code 3 is shorter than its fields",
        ),
        (
            DecodeError::RecordTooLong(4),
            "record with code 4 is longer than its fields",
        ),
        (DecodeError::UnknownCode(99), "unknown record code 99"),
        (
            DecodeError::InvalidValue {
                field: "outcome",
                value: 77,
            },
            "field outcome has the invalid value 77",
        ),
        (
            DecodeError::CountMismatch,
            "a batch's count or size does not match its records",
        ),
        (
            DecodeError::InvalidClock,
            "a batch's clock is not a finite number",
        ),
    ];
    for (error, expected) in cases {
        assert_eq!(error.to_string(), expected);
    }
}

/// Runs the drill program with this input; returns its exit status and standard error.
fn drill(input: &[u8]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy-drill"));
    command
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the program starts");
    child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(input)
        .expect("the input is written");
    let output = child.wait_with_output().expect("the program ends");
    (
        output.status.code(),
        String::from_utf8(output.stderr).expect("text"),
    )
}

#[test]
fn the_drill_program_prints_its_error_and_exits_with_status_1() {
    assert_eq!(drill(b""), (Some(0), String::new()));
    let truncated = (
        Some(1),
        "postproxy-drill: input ended within a batch\n".to_owned(),
    );
    assert_eq!(drill(b"\x01\0\0"), truncated);
    let count = (
        Some(1),
        "postproxy-drill: a batch's count or size does not match its records\n".to_owned(),
    );
    assert_eq!(drill(&[0; 20]), count);
}

//! Pins the messages and codes of this crate's errors, and the body in which an error is shown with
//! its remedy. Operators and scripts read them, so they must not change when a name in the code
//! changes.

use postproxy_coordination::{Error, Rejection};
use postproxy_diagnostics::{Diagnostic, ErrorBody};

#[test]
fn every_error_has_its_message_and_code() {
    let cases = [
        (
            Error::NoMajority(vec!["n1".into(), "n2".into()]),
            "not committed in time; silent voters: n1, n2",
            "duties.no_majority",
        ),
        (
            Error::NoMajority(vec![]),
            "not committed in time; silent voters: none",
            "duties.no_majority",
        ),
        (Error::Busy, "too many calls are queued", "duties.busy"),
        (Error::NoVoters, "no voter is known", "duties.no_voters"),
        (
            Error::Rejected(Rejection::OwnedByOther {
                owner: "n1".into(),
                token: 7,
            }),
            "n1 owns the lease under token 7",
            "duties.owned",
        ),
        (
            Error::Rejected(Rejection::StaleToken(Some(8))),
            "the token is stale: the lease is owned under token 8 now",
            "duties.stale",
        ),
        (
            Error::Rejected(Rejection::UnknownLease),
            "no lease of that name is known",
            "duties.unknown",
        ),
        (
            Error::Rejected(Rejection::Malformed),
            "a name must have 1 to 64 bytes, a value at most 65536",
            "duties.malformed",
        ),
        (
            Error::Rejected(Rejection::TooManyLeases),
            "the lease table is full",
            "duties.full",
        ),
        (
            Error::Rejected(Rejection::SupersededCommand),
            "superseded by a later call of the same client",
            "duties.old",
        ),
        (
            Error::WouldLoseMajority { live: 1, total: 3 },
            "only 1 of 3 voters would be alive, which is no majority",
            "voters.would_stop",
        ),
        (
            Error::VoterCount,
            "the number of voters must be two to seven",
            "voters.count",
        ),
        (
            Error::UnknownNode,
            "no node of that name is known",
            "voters.nobody",
        ),
        (
            Error::InvalidName,
            "a name must have 1 to 64 bytes",
            "voters.name",
        ),
        (
            Error::NotLeader("n2".into()),
            "n2 is the leader",
            "voters.elsewhere",
        ),
    ];
    for (error, message, code) in cases {
        assert_eq!((error.to_string().as_str(), error.code()), (message, code));
    }
}

#[test]
fn an_error_is_shown_with_its_subject_code_message_and_remedy() {
    let expected = ErrorBody {
        error: "duties".into(),
        code: "duties.busy".into(),
        what: "too many calls are queued".into(),
        remedy: "wait a second and retry".into(),
    };
    assert_eq!(Error::Busy.error_body(), expected);
}

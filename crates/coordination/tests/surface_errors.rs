//! Pins the messages, codes and remedies of this crate's errors, and the form in which one is
//! shown. They are read by operators and scripts and must not change with a name in the code.

use postproxy_coordination::{Error, Rejection};
use postproxy_diagnostics::{Diagnostic, ErrorBody};

#[test]
fn every_error_has_its_message_and_code() {
    let cases = [
        (
            Error::NoMajority(vec!["n1".into(), "n2".into()]),
            "not decided in time; voters not heard: n1, n2",
            "duties.no_majority",
        ),
        (
            Error::NoMajority(vec![]),
            "not decided in time; voters not heard: none",
            "duties.no_majority",
        ),
        (Error::Busy, "too many calls wait", "duties.busy"),
        (Error::NoVoters, "no node votes", "duties.no_voters"),
        (
            Error::Rejected(Rejection::OwnedByOther {
                owner: "n1".into(),
                token: 7,
            }),
            "n1 owns it under token 7",
            "duties.owned",
        ),
        (
            Error::Rejected(Rejection::StaleToken(Some(8))),
            "the token is over: it is 8 now",
            "duties.stale",
        ),
        (
            Error::Rejected(Rejection::UnknownLease),
            "nobody knows this duty",
            "duties.unknown",
        ),
        (
            Error::Rejected(Rejection::Malformed),
            "a name must have 1 to 64 bytes, a value at most 65536",
            "duties.malformed",
        ),
        (
            Error::Rejected(Rejection::TooManyLeases),
            "no more duties can be remembered",
            "duties.full",
        ),
        (
            Error::Rejected(Rejection::SupersededCommand),
            "a later call of this client has been answered",
            "duties.old",
        ),
        (
            Error::WouldLoseMajority { living: 1, of: 3 },
            "it would leave 1 living voters of 3",
            "voters.would_stop",
        ),
        (Error::VoterCount, "two to seven nodes vote", "voters.count"),
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
            "n2 leads",
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
        what: "too many calls wait".into(),
        remedy: "wait a second and ask again".into(),
    };
    assert_eq!(Error::Busy.error_body(), expected);
}

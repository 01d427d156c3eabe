//! Pins the messages of this crate's errors, which the management API and the log show. They must
//! not change with a name in the code.

use postproxy_leases::{Rejection, StaleToken};

#[test]
fn every_rejection_has_its_message() {
    let cases = [
        (
            Rejection::OwnedByOther {
                owner: "n1".into(),
                token: 7,
            },
            "n1 owns it under token 7",
        ),
        (
            Rejection::StaleToken(Some(8)),
            "the token is over: it is 8 now",
        ),
        (
            Rejection::StaleToken(None),
            "the token is over: nobody owns it now",
        ),
        (Rejection::UnknownLease, "nobody knows this duty"),
        (
            Rejection::Malformed,
            "a name must have 1 to 64 bytes, a value at most 65536",
        ),
        (Rejection::TooManyLeases, "no more duties can be remembered"),
        (
            Rejection::SupersededCommand,
            "a later call of this client has been answered",
        ),
    ];
    for (rejection, message) in cases {
        assert_eq!(rejection.to_string(), message);
    }
}

#[test]
fn a_stale_token_is_named_with_the_highest_one() {
    let stale = StaleToken {
        lease: "bans".into(),
        token: 3,
        highest_seen: 5,
    };
    assert_eq!(
        stale.to_string(),
        "token 3 of 'bans' is over: 5 has been seen"
    );
}

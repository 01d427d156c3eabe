//! Pins the messages of this crate's errors, which the management API and the log show. They must
//! not change when a name in the code changes.

use postproxy_leases::{Rejection, StaleToken};

#[test]
fn every_rejection_has_its_message() {
    let cases = [
        (
            Rejection::OwnedByOther {
                owner: "n1".into(),
                token: 7,
            },
            "n1 owns the lease under token 7",
        ),
        (
            Rejection::StaleToken(Some(8)),
            "the token is stale: the lease is owned under token 8 now",
        ),
        (
            Rejection::StaleToken(None),
            "the token is stale: the lease has no owner now",
        ),
        (Rejection::UnknownLease, "no lease of that name is known"),
        (
            Rejection::Malformed,
            "a name must have 1 to 64 bytes, a value at most 65536",
        ),
        (Rejection::TooManyLeases, "the lease table is full"),
        (
            Rejection::SupersededCommand,
            "superseded by a later call of the same client",
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
        "token 3 of lease 'bans' is stale: token 5 has been seen"
    );
}

//! Pins the messages of this crate's errors, which the management API and the log show. They must not change with a
//! name in the code.

use postproxy_leases::{Rejection, StaleToken};

#[test]
fn every_refusal_has_its_message() {
    let cases = [
        (Rejection::Owned("n1".into(), 7), "n1 owns it under token 7"),
        (
            Rejection::StaleToken(Some(8)),
            "the token is over: it is 8 now",
        ),
        (
            Rejection::StaleToken(None),
            "the token is over: nobody owns it now",
        ),
        (Rejection::Unknown, "nobody knows this duty"),
        (
            Rejection::Malformed,
            "a name must have 1 to 64 bytes, a value at most 65536",
        ),
        (Rejection::Full, "no more duties can be remembered"),
        (
            Rejection::Old,
            "a later call of this client has been answered",
        ),
    ];
    for (refusal, message) in cases {
        assert_eq!(refusal.to_string(), message);
    }
}

#[test]
fn a_stale_token_is_named_with_the_highest_one() {
    let stale = StaleToken {
        duty: "bans".into(),
        token: 3,
        seen: 5,
    };
    assert_eq!(
        stale.to_string(),
        "token 3 of 'bans' is over: 5 has been seen"
    );
}

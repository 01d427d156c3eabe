//! Pins the messages of this crate's errors, which the log shows. They must not change with a name in the code.

use postproxy_agreement::{Damage, Refused};

#[test]
fn every_reason_not_to_propose_has_its_message() {
    let cases = [
        (Refused::Long, "it is too long"),
        (Refused::Busy, "too much waits for the disk or to be decided"),
        (Refused::Leaderless, "no voter leads"),
        (Refused::Elsewhere(3), "voter 3 leads"),
        (Refused::Changing, "another change of the voters is not decided yet"),
        (Refused::Count, "two to seven nodes vote"),
        (Refused::Ended, "the log of this process is at its end"),
    ];
    for (refused, message) in cases {
        assert_eq!(refused.to_string(), message);
    }
}

#[test]
fn a_damaged_log_says_what_is_wrong() {
    assert_eq!(Damage("a gap at 7".into()).to_string(), "the log of the voters: a gap at 7");
}

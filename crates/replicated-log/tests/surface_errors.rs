//! Pins the texts of this crate's errors. Each text is written out here as a literal, so that a
//! rename in the code can't change it unnoticed.

use postproxy_replicated_log::{CorruptLog, ProposalRejected};

#[test]
fn every_rejection_of_a_proposal_has_its_message() {
    let cases = [
        (
            ProposalRejected::TooLong,
            "the entry is longer than 262144 bytes",
        ),
        (
            ProposalRejected::Busy,
            "too many entries are waiting to be stored or committed",
        ),
        (ProposalRejected::NoLeader, "no leader is known"),
        (ProposalRejected::NotLeader(3), "voter 3 is the leader"),
        (
            ProposalRejected::ChangePending,
            "another change of the voters is in progress",
        ),
        (ProposalRejected::VoterCount, "there must be 2 to 7 voters"),
        (
            ProposalRejected::VoterFailed,
            "this process has stopped voting after a failure",
        ),
    ];
    for (rejected, message) in cases {
        assert_eq!(rejected.to_string(), message);
    }
}

#[test]
fn corrupt_log_error_contains_the_reason() {
    assert_eq!(
        CorruptLog("a gap at 7".into()).to_string(),
        "the log of this voter can't be restored: a gap at 7"
    );
}

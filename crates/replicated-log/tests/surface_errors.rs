//! Pins the messages of this crate's errors, which the log shows. They must not change with a name
//! in the code.

use postproxy_replicated_log::{CorruptLog, ProposalRejected};

#[test]
fn every_rejection_of_a_proposal_has_its_message() {
    let cases = [
        (ProposalRejected::TooLong, "it is too long"),
        (
            ProposalRejected::Busy,
            "too much waits for the disk or to be decided",
        ),
        (ProposalRejected::NoLeader, "no voter leads"),
        (ProposalRejected::NotLeader(3), "voter 3 leads"),
        (
            ProposalRejected::ChangePending,
            "another change of the voters is not decided yet",
        ),
        (ProposalRejected::VoterCount, "two to seven nodes vote"),
        (
            ProposalRejected::VoterFailed,
            "the log of this process is at its end",
        ),
    ];
    for (rejected, message) in cases {
        assert_eq!(rejected.to_string(), message);
    }
}

#[test]
fn a_damaged_log_says_what_is_wrong() {
    assert_eq!(
        CorruptLog("a gap at 7".into()).to_string(),
        "the log of the voters: a gap at 7"
    );
}

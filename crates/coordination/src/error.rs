//! The errors of calls and membership changes, with what an operator can do.

use postproxy_leases::Rejection;
use serde::{Deserialize, Serialize};

/// Why a node does not vote.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotVotingReason {
    /// It is not a voter.
    #[default]
    #[serde(rename = "NoSeat")]
    NotAVoter,
    /// It has started and waits until the other voters have confirmed that it has kept its
    /// promises.
    #[serde(rename = "Waits")]
    AwaitingAdmission,
    /// It has lost its promises: its store is empty or an older one.
    #[serde(rename = "Lost")]
    PromisesLost,
    /// It was removed from the voters.
    Removed,
    /// Its log is inconsistent or can't be read. Carries the reason.
    #[serde(rename = "Damaged")]
    LogDamaged(String),
}

/// Why a call or a membership change has failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Error {
    /// Nothing was committed in time. Carries the names of the voters that are silent.
    #[error("not decided in time; voters not heard: {}", name_list(.0))]
    NoMajority(Vec<String>),
    /// Too many calls are queued.
    #[error("too many calls wait")]
    Busy,
    /// No voter is known.
    #[error("no node votes")]
    NoVoters,
    /// The lease table has rejected the operation.
    #[error("{0}")]
    Rejected(Rejection),
    /// The membership change would leave less than a majority of live voters.
    #[error("it would leave {living} living voters of {of}")]
    WouldLoseMajority {
        /// The number of live voters after the change.
        living: usize,
        /// The number of all voters after the change.
        of: usize,
    },
    /// The number of voters would be outside two to seven.
    #[error("two to seven nodes vote")]
    VoterCount,
    /// No node of this name is known.
    #[error("no node of that name is known")]
    UnknownNode,
    /// The name of a node is empty or too long.
    #[error("a name must have 1 to 64 bytes")]
    InvalidName,
    /// The named node leads; the call is repeated there.
    #[error("{0} leads")]
    NotLeader(String),
}

fn name_list(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}

postproxy_diagnostics::diagnostics! {
    Error, REMEDIES:
    Self::NoMajority(_) => "duties.no_majority",
        "ask again, it may be decided by now; if it stays so, start the voters that are not heard or mend the network between them, and remove one that will not come back";
    Self::Busy => "duties.busy",
        "wait a second and ask again";
    Self::NoVoters => "duties.no_voters",
        "name voters in the section fleet of every node, and start them";
    Self::Rejected(Rejection::OwnedByOther { .. }) => "duties.owned",
        "ask its owner to release it, or hand it on";
    Self::Rejected(Rejection::StaleToken(_)) => "duties.stale",
        "nothing: another owner has it, and the old one has stopped";
    Self::Rejected(Rejection::UnknownLease) => "duties.unknown",
        "see GET /v1/fleet/owners for the duties that there are";
    Self::Rejected(Rejection::Malformed) => "duties.malformed",
        "give a name of 1 to 64 bytes";
    Self::Rejected(Rejection::TooManyLeases) => "duties.full",
        "no more than 4096 duties can be known: end parts that make them";
    Self::Rejected(Rejection::SupersededCommand) => "duties.old",
        "nothing: a later call of the same node has been answered";
    Self::WouldLoseMajority { .. } => "voters.would_stop",
        "start voters that are down first, or remove a dead one instead of a living one";
    Self::VoterCount => "voters.count",
        "remove a seat before another is added; two voters are the least";
    Self::UnknownNode => "voters.nobody",
        "see GET /v1/fleet/members for the names; the node must be there to get a seat";
    Self::InvalidName => "voters.name",
        "give a name of 1 to 64 bytes";
    Self::NotLeader(_) => "voters.elsewhere",
        "ask again: who leads has just changed";
}

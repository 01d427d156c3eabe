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
    /// It has started and waits until the other voters have confirmed that it has not lost its
    /// promises.
    #[serde(rename = "Waits")]
    AwaitingAdmission,
    /// It has lost its promises: its store is empty or outdated and lacks votes or log entries that
    /// it has confirmed to other voters.
    #[serde(rename = "Lost")]
    PromisesLost,
    /// It was removed from the voters.
    Removed,
    /// Its log is inconsistent or cannot be read. Carries the reason.
    #[serde(rename = "Damaged")]
    LogDamaged(String),
}

/// Why a call or a membership change has failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Error {
    /// The call or the membership change was not committed before its deadline; it may still be
    /// committed later. Carries the names of the voters from which nothing has been received
    /// lately.
    #[error("not committed in time; silent voters: {}", name_list(.0))]
    NoMajority(Vec<String>),
    /// Too many calls are queued.
    #[error("too many calls are queued")]
    Busy,
    /// No voter is known.
    #[error("no voter is known")]
    NoVoters,
    /// The lease table has rejected the operation.
    #[error("{0}")]
    Rejected(Rejection),
    /// After the membership change, the live voters would be no majority of all voters.
    #[error("only {live} of {total} voters would be alive, which is no majority")]
    WouldLoseMajority {
        /// The number of live voters after the change.
        live: usize,
        /// The number of all voters after the change.
        total: usize,
    },
    /// The number of voters would be outside two to seven.
    #[error("the number of voters must be two to seven")]
    VoterCount,
    /// No node of this name is known.
    #[error("no node of that name is known")]
    UnknownNode,
    /// The name of a node is empty or too long.
    #[error("a name must have 1 to 64 bytes")]
    InvalidName,
    /// The named node is the leader; the request is sent again to it.
    #[error("{0} is the leader")]
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
        "retry, the call may have been committed meanwhile; if the error persists, start the silent voters or repair the network between the voters, and remove a voter that will not return";
    Self::Busy => "duties.busy",
        "wait a second and retry";
    Self::NoVoters => "duties.no_voters",
        "list the voters in the section fleet of every node's settings, and start them";
    Self::Rejected(Rejection::OwnedByOther { .. }) => "duties.owned",
        "release the lease, or transfer it to another node";
    Self::Rejected(Rejection::StaleToken(_)) => "duties.stale",
        "no action needed: the lease has another owner or none, and the previous owner has stopped";
    Self::Rejected(Rejection::UnknownLease) => "duties.unknown",
        "see GET /v1/fleet/owners for the leases that exist";
    Self::Rejected(Rejection::Malformed) => "duties.malformed",
        "give a name of 1 to 64 bytes";
    Self::Rejected(Rejection::TooManyLeases) => "duties.full",
        "at most 4096 leases can exist: stop whatever creates leases under new names";
    Self::Rejected(Rejection::SupersededCommand) => "duties.old",
        "no action needed: a later call of the same node has been answered";
    Self::WouldLoseMajority { .. } => "voters.would_stop",
        "start the voters that are down first, or remove a dead voter instead of a live one";
    Self::VoterCount => "voters.count",
        "remove a voter before adding another one; at least two voters must remain";
    Self::UnknownNode => "voters.nobody",
        "see GET /v1/fleet/members for the names; only a node listed there can become a voter";
    Self::InvalidName => "voters.name",
        "give a name of 1 to 64 bytes";
    Self::NotLeader(_) => "voters.elsewhere",
        "retry: the leader has just changed";
}

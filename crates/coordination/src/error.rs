//! What can go wrong with a call, and what an operator can do.

use postproxy_leases::Rejection;
use serde::{Deserialize, Serialize};

/// Why a node does not vote although it has, or had, a seat.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum NotVotingReason {
    /// It has none.
    #[default]
    NoSeat,
    /// It waits for the word of the other voters on what it had promised.
    Waits,
    /// It has lost what it had promised: an empty or an older store.
    Lost,
    /// Its seat was taken away.
    Removed,
    /// Its log contradicts itself, or can't be read.
    Damaged(String),
}

/// Why a call came to nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub enum Error {
    /// Nothing was decided in time.
    #[error("not decided in time; voters not heard: {}", named(.0))]
    NoMajority(Vec<String>),
    /// Too many calls wait already.
    #[error("too many calls wait")]
    Busy,
    /// No voter is known.
    #[error("no node votes")]
    NoVoters,
    /// The state of duties forbids it.
    #[error("{0}")]
    Rejected(Rejection),
    /// A change of the voters would leave no majority of those that live.
    #[error("it would leave {living} living voters of {of}")]
    WouldStop {
        /// Living voters after it.
        living: usize,
        /// All voters after it.
        of: usize,
    },
    /// Seven seats are the most, two the least.
    #[error("two to seven nodes vote")]
    Count,
    /// Nobody has that name.
    #[error("no node of that name is known")]
    Nobody,
    /// The name is empty or too long.
    #[error("a name must have 1 to 64 bytes")]
    Name,
    /// Another node leads; the caller is sent there by itself.
    #[error("{0} leads")]
    Elsewhere(String),
}

fn named(names: &[String]) -> String {
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
    Self::Rejected(Rejection::Owned(..)) => "duties.owned",
        "ask its owner to release it, or hand it on";
    Self::Rejected(Rejection::StaleToken(_)) => "duties.stale",
        "nothing: another owner has it, and the old one has stopped";
    Self::Rejected(Rejection::Unknown) => "duties.unknown",
        "see GET /v1/fleet/owners for the duties that there are";
    Self::Rejected(Rejection::Malformed) => "duties.malformed",
        "give a name of 1 to 64 bytes";
    Self::Rejected(Rejection::Full) => "duties.full",
        "no more than 4096 duties can be known: end parts that make them";
    Self::Rejected(Rejection::Old) => "duties.old",
        "nothing: a later call of the same node has been answered";
    Self::WouldStop { .. } => "voters.would_stop",
        "start voters that are down first, or remove a dead one instead of a living one";
    Self::Count => "voters.count",
        "remove a seat before another is added; two voters are the least";
    Self::Nobody => "voters.nobody",
        "see GET /v1/fleet/members for the names; the node must be there to get a seat";
    Self::Name => "voters.name",
        "give a name of 1 to 64 bytes";
    Self::Elsewhere(_) => "voters.elsewhere",
        "ask again: who leads has just changed";
}

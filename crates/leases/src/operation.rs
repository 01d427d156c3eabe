//! The commands that nodes propose to the replicated log, and their responses.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A number that increases with each grant, across all leases, and is never reused. A later owner
/// of a lease has a higher token.
pub type FencingToken = u64;

/// Maximum length of the name of a lease or a node, in bytes. Names are part of every command of
/// the log.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum size of the value stored with a lease, in bytes, so that a command fits into one entry
/// of the log.
pub const MAX_VALUE_BYTES: usize = 64 << 10;

/// The owner of a lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LeaseOwner {
    /// The name of the node.
    pub node: String,
    /// The token under which it owns the lease.
    pub token: FencingToken,
}

/// A lease that a node holds, as far as the node knows.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LeaseClaim {
    /// The name of the lease.
    pub lease: String,
    /// The token under which the node holds it.
    pub token: FencingToken,
}

/// A lease that has expired by the clock of the leader of the log.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ExpiredLease {
    /// The name of the lease.
    pub lease: String,
    /// The token of its owner.
    pub token: FencingToken,
    /// The number of renewals that the leader had seen; the lease does not expire if it has been
    /// renewed since.
    pub renewals: u64,
}

/// A lease that has been renewed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RenewedLease {
    /// The name of the lease.
    pub lease: String,
    /// The node to which an operator wants the lease transferred, if any; the present owner is to
    /// transfer it.
    pub next_owner: Option<String>,
}

/// An operation on leases.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Operation {
    /// Acquire the lease if no other node owns it.
    Acquire {
        /// The name of the lease.
        lease: String,
    },
    /// Renew these leases.
    Renew {
        /// The leases with the tokens of the caller.
        claims: Vec<LeaseClaim>,
    },
    /// Give up the lease.
    Release {
        /// The name of the lease.
        lease: String,
        /// The token of its owner.
        token: FencingToken,
    },
    /// Transfer the lease to another node: immediately if the owner's token is given or the lease
    /// has no owner, otherwise as soon as the owner gives it up or loses it.
    Transfer {
        /// The name of the lease.
        lease: String,
        /// The token of its owner, if the owner itself makes the call.
        token: Option<FencingToken>,
        /// The name of the node to which it is transferred.
        to: String,
    },
    /// Store a value with the lease.
    Save {
        /// The name of the lease.
        lease: String,
        /// The token of its owner.
        token: FencingToken,
        /// The value, at most [`MAX_VALUE_BYTES`] long.
        value: Vec<u8>,
    },
    /// End the ownership of leases that have expired. The leader of the log proposes it.
    Expire {
        /// The leases that have expired.
        leases: Vec<ExpiredLease>,
    },
}

/// An operation with its caller. A client numbers its operations from 1 and makes one at a time; a
/// retry has the number of its first attempt.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Command {
    /// The name of the node that makes the call.
    pub node: String,
    /// The incarnation of its process. Sequence numbers start again with each incarnation.
    pub incarnation: u64,
    /// The sequence number of the call.
    pub sequence: u64,
    /// The operation.
    pub operation: Operation,
}

/// Why an operation has been rejected.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Rejection {
    /// Another node owns the lease.
    OwnedByOther {
        /// The name of the owner.
        owner: String,
        /// The token of the owner.
        token: FencingToken,
    },
    /// The token is not that of the present owner. Carries the token of the present owner, if there
    /// is one.
    StaleToken(Option<FencingToken>),
    /// There is no lease of this name.
    UnknownLease,
    /// A name is empty or too long, or the value is too long.
    Malformed,
    /// The table already holds [`crate::MAX_LEASES`] leases.
    TooManyLeases,
    /// The same client has made a later call.
    SupersededCommand,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnedByOther { owner, token } => {
                write!(f, "{owner} owns the lease under token {token}")
            }
            Self::StaleToken(Some(token)) => write!(
                f,
                "the token is stale: the lease is owned under token {token} now"
            ),
            Self::StaleToken(None) => write!(f, "the token is stale: the lease has no owner now"),
            Self::UnknownLease => write!(f, "no lease of that name is known"),
            Self::Malformed => write!(
                f,
                "a name must have 1 to {MAX_NAME_BYTES} bytes, a value at most {MAX_VALUE_BYTES}"
            ),
            Self::TooManyLeases => write!(f, "the lease table is full"),
            Self::SupersededCommand => write!(f, "superseded by a later call of the same client"),
        }
    }
}

impl std::error::Error for Rejection {}

/// The result of an operation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Response {
    /// The caller owns the lease.
    Granted {
        /// The token of the caller.
        token: FencingToken,
        /// The value stored with the lease.
        value: Vec<u8>,
    },
    /// The result of a renewal.
    Renewed {
        /// The leases that have been renewed.
        renewed: Vec<RenewedLease>,
        /// The names of the leases that the caller no longer owns.
        lost: Vec<String>,
    },
    /// The operation has been carried out.
    Completed,
    /// The operation has been rejected and has changed nothing.
    Rejected(Rejection),
}

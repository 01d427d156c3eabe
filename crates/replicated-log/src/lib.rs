//! One order of words among voters, and what comes of it. The log is that of `raft`; this wraps it so that nothing is said to
//! anybody, and nothing is taken for decided, before what it rests on is durable.
//!
//! [`Voter`] has no socket, disk or clock: it is told messages, ticks and which writes are durable, and says what to send,
//! what to write, and what has been decided. The design note is `docs/design/duties.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
mod durability_gate;
mod storage;
mod voter;

pub use storage::{CorruptLog, StorageChange, stored};
pub use voter::{
    MAX_ENTRY_BYTES, MAX_VOTERS, MembershipChange, Output, ProposalRejected, Voter, promise,
};

use serde::{Deserialize, Serialize};
use std::fmt::Debug;

/// What the words of the log come to: the same at every voter, whatever else is so there.
pub trait StateMachine:
    Clone + Debug + Default + PartialEq + Serialize + for<'a> Deserialize<'a>
{
    /// The next word.
    fn apply(&mut self, word: &[u8]);
}

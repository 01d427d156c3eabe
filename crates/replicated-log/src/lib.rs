//! A replicated log: all voters agree on one order of entries and apply them to the same state
//! machine. The `raft` library provides the consensus algorithm. This crate wraps it so that a
//! message that makes a promise is sent, and an entry counts as committed, only after the writes
//! that it depends on are durable.
//!
//! [`Voter`] does no I/O and has no clock. It receives messages, ticks and the numbers of durable
//! writes, and returns what to send, what to write and what has been committed. The design is
//! described in `docs/design/duties.md`.

pub mod admission;
mod durability_gate;
mod message;
mod proposal;
mod ready;
mod storage;
mod voter;

pub use message::{MessagePromise, message_promise};
pub use proposal::{MAX_ENTRY_BYTES, MembershipChange, ProposalRejected};
pub use storage::{CorruptLog, LogEnd, StorageChange, stored_log_end};
pub use voter::{MAX_VOTERS, Output, Voter};

use serde::{Deserialize, Serialize};
use std::fmt::Debug;

/// A deterministic state machine: applying the same entries in the same order leads to the same
/// state at every voter.
pub trait StateMachine:
    Clone + Debug + Default + PartialEq + Serialize + for<'a> Deserialize<'a>
{
    /// Applies the next entry of the log.
    fn apply(&mut self, entry: &[u8]);
}

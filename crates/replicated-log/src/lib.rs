//! A replicated log: all voters agree on one order of entries and apply them to the same state
//! machine. Consensus is that of the `raft` library; this crate wraps it so that no message that
//! makes a promise is sent, and no entry counts as committed, before the writes that it rests on
//! are durable.
//!
//! [`Voter`] has no socket, disk or clock. It receives messages, ticks and the numbers of durable
//! writes, and returns what to send, what to write and what has been committed. The design note is
//! `docs/design/duties.md`.

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

/// A deterministic state machine: the same entries in the same order lead to the same state at
/// every voter.
pub trait StateMachine:
    Clone + Debug + Default + PartialEq + Serialize + for<'a> Deserialize<'a>
{
    /// Applies the next entry of the log.
    fn apply(&mut self, entry: &[u8]);
}

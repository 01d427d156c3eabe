//! A node's part in what the fleet decides together: its seat among the voters, if it has one; the duties that it stands for or
//! owns; its calls to the log, and others' that it passes on.
//!
//! [`Coordinator`] has no socket, disk or clock: it is told words, the time and which writes are durable, and says what to send,
//! what to write and what is new. The same code runs in the node and in simulation. The design note is `docs/design/duties.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod coordinator;
mod error;
mod message;
mod replica;
#[cfg(test)]
mod tests;

pub use coordinator::{
    Coordinator, Event, LeaseStatus, MAX_QUEUED_CALLS, Output, ReplicaStatus, Settings, Status,
};
pub use error::{Error, NotVotingReason, REMEDIES};
pub use message::{PREFIX, founding};
pub use postproxy_leases::{
    Effect, Fence, FencingToken, Lease, LeasePermit, LeaseTable, LeaseTiming, Operation, Rejection,
    Response, StaleToken,
};
pub use postproxy_replicated_log::StorageChange;

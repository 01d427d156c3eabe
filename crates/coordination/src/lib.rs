//! A node's part in the coordination service of its cluster: its replica of the log, if it is a
//! voter; the leases that it acquires and holds; its calls to the log, and the calls of other nodes
//! that it proposes for them.
//!
//! [`Coordinator`] has no socket, disk or clock. It receives messages, the time and the numbers of
//! durable writes, and returns what to send, what to write and what has changed. The same code runs
//! in the node and in simulation. The design note is `docs/design/duties.md`.

mod calls;
mod coordinator;
mod error;
mod followers;
mod lease_acquisition;
mod membership_changes;
mod message;
mod replica;
mod state_machine;
mod status;
#[cfg(test)]
mod tests;
mod timing;
mod voters;

pub use calls::MAX_QUEUED_CALLS;
pub use coordinator::{Coordinator, Event, Output, Settings};
pub use error::{Error, NotVotingReason, REMEDIES};
pub use membership_changes::VoterAction;
pub use message::{MESSAGE_PREFIX, cluster_id};
pub use postproxy_leases::{
    Effect, Fence, FencingToken, Lease, LeaseOwner, LeasePermit, LeaseTable, LeaseTiming,
    Operation, Rejection, Response, StaleToken,
};
pub use postproxy_replicated_log::StorageChange;
pub use status::{LeaseStatus, ReplicaStatus, Status};

//! Which nodes of a fleet are there, which have failed, what is out of use for all, and how things stand.
//!
//! [`Membership`] is a machine: it is told datagrams and the time, and says what to send, what is new and when to be
//! called again. It has no socket and no clock, so that the same code runs in a node, in simulation and under a
//! checker. What it says is an opinion: nothing that must be safe may rest on it.
//! The design note is `docs/design/members.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cluster_health;
mod identity;
mod local_clock;
mod membership;
pub mod packet;
pub mod reachability;
mod suspended_workers;

pub use cluster_health::ClusterHealth;
pub use identity::{Identity, MAX_NAME_BYTES};
pub use local_clock::LocalClock;
pub use membership::{MemberState, Membership, MembershipEvent, Output, Rejection, Settings};
pub use suspended_workers::{SuspendedWorkers, Suspension};

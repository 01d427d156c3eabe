//! Cluster membership by gossip (SWIM): which nodes are members, which have failed or left, which
//! workers are suspended for the whole cluster, and the health of the cluster as this node sees it.
//!
//! [`Membership`] is a state machine without I/O: it receives datagrams and the time, and returns
//! what to send, what has changed and when to call it next. It has no socket and no clock, so the
//! same code runs in a node, in a simulation and under a model checker. What it reports is the view
//! of one node: two nodes may disagree, so no safety property may depend on it. The design is
//! described in `docs/design/members.md`.

pub mod cluster_health;
mod events;
mod fnv;
mod identity;
mod local_clock;
mod membership;
pub mod packet;
pub mod reachability;
mod settings;
mod suspended_workers;

pub use cluster_health::{ClusterHealth, UnreachablePair};
pub use events::{ForgetError, MemberState, MembershipEvent, Output};
pub use identity::{Identity, MAX_NAME_BYTES};
pub use local_clock::LocalClock;
pub use membership::{LocalHealth, MemberRank, Membership, SuspensionChange};
pub use settings::Settings;
pub use suspended_workers::{SuspendedWorkers, Suspension, WorkerSuspension};

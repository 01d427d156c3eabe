//! Configuration version tracking: which node acts on which version of the worker list and of the
//! program, and how a node that is behind catches up.
//!
//! - [`VersionTracker`] runs on each node. It holds the versions that the node acts on, keeps the
//!   node's [`AuditLog`], gossips the versions to other nodes and requests newer ones.
//! - [`Auditor`] runs on the node that holds the lease `audit`. It decides which nodes are behind,
//!   excluded and readmitted.
//!
//! Both are state machines without I/O and without a clock. The design is described in
//! `docs/design/audit.md`.

/// Error codes in log lines, each with its remedy for the operator.
pub const REMEDIES: &[(&str, &str)] = &[(
    "audit.fork",
    "find out which of the two versions its source published; stop whatever publishes the other",
)];

mod audit_log;
mod auditor;
mod decisions;
mod message;
mod tracker;
mod version;

pub use audit_log::{AuditEntry, AuditEvent, AuditLog, BrokenChain, Source};
pub use auditor::{Auditor, AuditorTiming};
pub use decisions::{AuditorEvent, NodeState, VersionDecisions};
pub use message::{Event, MAX_VERSIONS_PER_MESSAGE, Message, Output};
pub use tracker::{Lag, PeerVersions, Settings, VersionTracker};
pub use version::{Digest, VersionKind, VersionLine, VersionRecord, digest};

//! Which node acts on which version of what, and how one that is behind is brought up.
//!
//! [`VersionTracker`] is a node's own: the versions that it holds, its trail of them, what it says to others and hears. [`Auditor`] is the
//! owner's of the duty `audit`: who is behind, shut out, let back. They have no socket and no clock. The design note is `docs/design/audit.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Codes that the log names, each with what an operator can do.
pub const REMEDIES: &[(&str, &str)] = &[(
    "audit.fork",
    "see which of the two the source of this version holds; end whatever else speaks in its name",
)];

mod audit_log;
mod auditor;
mod tracker;
mod version;

pub use audit_log::{AuditEntry, AuditEvent, AuditLog, BrokenChain, Source};
pub use auditor::{Auditor, AuditorEvent, Limits, State, VersionDecisions, VersionLine};
pub use tracker::{Event, Known, MOST_HEADS, Message, Output, Settings, VersionTracker};
pub use version::{Digest, Kind, VersionRecord, digest};

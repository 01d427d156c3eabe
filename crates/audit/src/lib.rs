//! Which node acts on which version of what, and how one that is behind is brought up.
//!
//! [`Desk`] is a node's own: the versions that it holds, its trail of them, what it says to others and hears. [`Auditor`] is the
//! owner's of the duty `audit`: who is behind, shut out, let back. They have no socket and no clock. The design note is `docs/design/audit.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// Codes that the log names, each with what an operator can do.
pub const REMEDIES: &[(&str, &str)] = &[(
    "audit.fork",
    "see which of the two the source of this version holds; end whatever else speaks in its name",
)];

mod auditor;
mod desk;
mod trail;
mod version;

pub use auditor::{Auditor, Limits, Line, Ruling, State, Verdict};
pub use desk::{Desk, Event, Known, MOST_HEADS, Out, Settings, Word};
pub use trail::{Broken, Record, Source, Trail, What};
pub use version::{Digest, Kind, Stand, digest};

//! The messages, outputs and events of a version tracker.

use crate::audit_log::Source;
use crate::version::{VersionKind, VersionRecord};
use serde::{Deserialize, Serialize};

/// Maximum number of versions in a message; a message with more is dropped.
pub const MAX_VERSIONS_PER_MESSAGE: usize = 16;

/// A message from one node to another, small enough for a datagram. Postcard encodes variants and
/// fields by their order, which therefore must not change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The versions that the sender acts on.
    Versions(Vec<(VersionKind, VersionRecord)>),
    /// The sender requests the content of a newer version than its own.
    Request {
        /// What it is a version of.
        kind: VersionKind,
        /// The generation that the newer version must have.
        generation: u64,
        /// The number of the version that the sender acts on; 0 if it has none of this generation.
        newer_than: u64,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this message. It may be lost.
    Send {
        /// The receiving node's name.
        to: String,
        /// The message.
        message: Message,
    },
    /// Send the complete content of the version that this node acts on.
    SendContent {
        /// The receiving node's name.
        to: String,
        /// What the content is of.
        kind: VersionKind,
    },
    /// Report this event.
    Event(Event),
}

/// An event that an operator should know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer acts on a newer version than this node.
    Behind {
        /// What the versions are of.
        kind: VersionKind,
        /// The peer's name.
        peer: String,
        /// The peer's version.
        version: VersionRecord,
    },
    /// This node was behind and has caught up.
    CaughtUp {
        /// What the version is of.
        kind: VersionKind,
        /// Where the version came from.
        source: Source,
        /// The version that this node acts on now.
        version: VersionRecord,
    },
    /// A version of this node and one of a peer have the same generation and number, but different
    /// digests.
    Fork {
        /// What the versions are of.
        kind: VersionKind,
        /// The peer's name.
        peer: String,
        /// This node's version.
        own: VersionRecord,
        /// The peer's version.
        theirs: VersionRecord,
    },
}

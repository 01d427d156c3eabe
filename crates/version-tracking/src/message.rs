//! What a version tracker sends and reports.

use crate::audit_log::Source;
use crate::version::{VersionKind, VersionRecord};
use serde::{Deserialize, Serialize};

/// The most versions that a message may carry; one with more is dropped.
pub const MAX_VERSIONS_PER_MESSAGE: usize = 16;

/// A message from one node to another; small enough for a datagram. Postcard writes the fields by
/// their order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The versions that the sender acts on.
    Versions(Vec<(VersionKind, VersionRecord)>),
    /// The sender requests the content of a newer version.
    Request {
        /// Of what.
        kind: VersionKind,
        /// The generation that it has to be of.
        generation: u64,
        /// The number that the sender acts on; 0 if it has none of this generation.
        newer_than: u64,
    },
}

/// What the node has to do for its tracker.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this message; it may get lost.
    Send {
        /// The receiving node's name.
        to: String,
        /// The message.
        message: Message,
    },
    /// Send the whole content that this node acts on.
    SendContent {
        /// The receiving node's name.
        to: String,
        /// The content of what.
        kind: VersionKind,
    },
    /// Report this event.
    Event(Event),
}

/// What an operator should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A peer acts on a newer version than this node.
    Behind {
        /// Of what.
        kind: VersionKind,
        /// The peer's name.
        peer: String,
        /// The peer's version.
        version: VersionRecord,
    },
    /// This node was behind and isn't any more.
    CaughtUp {
        /// Of what.
        kind: VersionKind,
        /// Where the version came from.
        source: Source,
        /// The version that this node acts on now.
        version: VersionRecord,
    },
    /// One version number means one thing at this node and another at a peer.
    Fork {
        /// Of what.
        kind: VersionKind,
        /// The peer's name.
        peer: String,
        /// This node's version.
        own: VersionRecord,
        /// The peer's version.
        theirs: VersionRecord,
    },
}

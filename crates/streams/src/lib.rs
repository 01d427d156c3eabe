//! Reliable ordered messages between nodes. A node connects to each node that it has messages for.
//! The receiver acknowledges on the same connection; to send messages of its own it makes another
//! connection.
//!
//! Within one session between two processes, messages are delivered in order and at most once, and
//! every queued message is delivered provided that reconnecting keeps succeeding until then. A
//! session ends when either process ends or when [`Streams::forget`] is called for the other node;
//! messages still queued are then dropped. [`Effect::PeerRestarted`] reports that the other node's
//! process was restarted, so that the caller can send again what still matters. Connections are
//! neither authenticated nor encrypted.
//!
//! [`Streams`] does no I/O and reads no clock: its caller reports the events of connections and
//! carries out the returned effects.

mod codec;
mod error;
mod incoming;
mod outgoing;
mod streams;

pub use codec::{FrameReader, MAX_MESSAGE_BYTES, PREAMBLE, Packet, encode_frame};
pub use error::ConnectionError;
pub use incoming::MAX_INCOMING_CONNECTIONS;
pub use outgoing::{MAX_OUTGOING_CONNECTIONS, MAX_QUEUED_BYTES, QueueFull, QueueLength};
pub use streams::{Effect, Streams};

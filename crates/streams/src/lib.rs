//! Reliable ordered messages between nodes. A node connects to each node that it has messages for;
//! the other one acknowledges on the same connection, and sends its own messages on a connection
//! that it makes itself.
//!
//! Guaranteed between two processes and within one session: each message is delivered at most once
//! and in order, and it is delivered if connections can be made again and again until it is. A
//! session ends, and with it what is queued, when either process ends or the owner gives the other
//! node up; the owner is notified and sends again what still matters. Not guaranteed: who the other
//! side is. Nothing here signs or encrypts.
//!
//! [`Streams`] has no socket and no clock: it is notified of what happens on connections, and
//! returns what to do.

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

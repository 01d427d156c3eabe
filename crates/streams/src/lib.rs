//! Words between nodes that must arrive. A node dials whom it has something to say to; the other acknowledges on the same
//! connection and says what it has to say on one of its own.
//!
//! What is promised, between two lives of nodes and within one session: each word arrives at most once and in order, and
//! does arrive if connections can be made again and again until it has. A session ends, and with it what was
//! queued, when either life ends or the owner gives the other node up; the owner is told and says again what still counts.
//! What is not promised: who the other side is. Nothing here signs or encrypts.
//!
//! [`Streams`] has no socket and no clock: it is told what happens on connections, and says what is to be done.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod streams;

pub use codec::{DecodeError, GREETING, MOST_WORD, Packet, Reader, frame};
pub use streams::{Effect, MOST_IN, MOST_OUT, MOST_QUEUED, QueueFull, Streams};

//! Which nodes of a fleet are there, which have failed, what is out of use for all, and how things stand.
//!
//! [`Members`] is a machine: it is told datagrams and the time, and says what to send, what is new and when to be
//! called again. It has no socket and no clock, so that the same code runs in a node, in simulation and under a
//! checker. What it says is an opinion: nothing that must be safe may rest on it.
//! The design note is `docs/design/members.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bans;
pub mod hearing;
mod identity;
mod members;
pub mod packet;
pub mod standing;
mod time;

pub use bans::{Bans, Mark};
pub use identity::{Identity, MOST_NAME};
pub use members::{Life, Members, News, Out, Refused, Settings};
pub use standing::Standing;
pub use time::OwnTime;

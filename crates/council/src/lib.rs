//! A node's part in what the fleet decides together: its seat among the voters, if it has one; the duties that it stands for or
//! owns; its calls to the log, and others' that it passes on.
//!
//! [`Council`] has no socket, disk or clock: it is told words, the time and which writes are durable, and says what to send,
//! what to write and what is new. The same code runs in the node and in simulation. The design note is `docs/design/duties.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod council;
mod error;
mod seat;
mod talk;
#[cfg(test)]
mod tests;

pub use council::{Council, Event, MOST_CALLS, Out, Owned, Settings, Shown, View};
pub use error::{Error, REMEDIES, Why};
pub use postproxy_agreement::Change;
pub use postproxy_duties::{Answer, Call, Duty, Effect, Fence, Permit, Refusal, Stale, State, Times, Token};
pub use talk::{PREFIX, founding};

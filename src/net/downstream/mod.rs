//! The downstream side: the listener for clients' requests and workers' callbacks. This module
//! makes no decision on a request and opens no connections.
//!
//! - [`clients`] owns all connections and is called by the event loop.
//! - `accept` accepts connections and evicts some if there are too many.
//! - `session` speaks HTTP on one connection: requests, responses, timeouts.
//! - [`routing`] routes a request by path and method; `submission` and [`callback`] parse it.
//! - `response` turns final answers into HTTP responses.
//! - [`migration`] hands connections over to sibling processes and adopts theirs.

mod accept;
pub mod callback;
pub mod clients;
pub mod migration;
mod response;
pub mod routing;
mod session;
mod submission;

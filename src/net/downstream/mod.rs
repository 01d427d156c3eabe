//! The downstream side: the listener for clients and for the workers' call-backs. Nothing here
//! decides on a request, and nothing here opens a connection.
//!
//! - [`clients`] owns all connections and is called by the event loop.
//! - `accept` accepts connections and closes some if there are too many.
//! - `session` runs the dialogue on one connection: requests, responses, timeouts.
//! - [`routing`] finds out what a request asks for; `submission` and [`callback`] parse it.
//! - `response` turns final answers into HTTP responses.
//! - [`migration`] passes connections on to, and takes them over from, sibling processes.

mod accept;
pub mod callback;
pub mod clients;
pub mod migration;
mod response;
pub mod routing;
mod session;
mod submission;

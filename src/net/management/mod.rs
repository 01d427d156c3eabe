//! The management API: a separate listener for operators' requests to a running node, with one
//! request per connection. This module parses requests and writes responses; the node carries out
//! the requests.

mod request;
mod response;
mod server;
#[cfg(test)]
mod tests;

pub use request::ManagementRequest;
pub use server::{MAX_SESSIONS, ManagementServer, ReceivedRequest};

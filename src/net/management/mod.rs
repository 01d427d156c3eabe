//! The management API: a listener of its own for operators' requests to a running node, one request
//! a connection. It parses requests and writes responses; what a request does is decided elsewhere.

mod request;
mod response;
mod server;
#[cfg(test)]
mod tests;

pub use request::ManagementRequest;
pub use server::{MAX_SESSIONS, ManagementServer, ReceivedRequest};

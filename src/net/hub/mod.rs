//! What is decided about jobs and about the node's own life. No sockets, no disk and no clock: all is told.

pub mod keeping;
pub mod lifecycle;
pub mod transaction;

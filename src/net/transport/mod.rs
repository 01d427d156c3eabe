//! What all owners of sockets share: the event loop's poller, timers and clock, buffered
//! connections, and HTTP messages. This module has no knowledge of workers, their requests or other
//! nodes.

pub mod connection;
pub mod http;
pub mod reactor;
pub mod timer_wheel;

//! What all owners of sockets share: the event loop's poller, timers and clock, a connection's
//! buffers, HTTP messages. Nothing here knows requests to workers, workers or other nodes.

pub mod connection;
pub mod http;
pub mod reactor;
pub mod timer_wheel;

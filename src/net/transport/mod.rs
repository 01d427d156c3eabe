//! What every owner of sockets stands on: the loop's poller, timers and clock, a stream's buffers, HTTP's messages.
//! Nothing here knows a job, a worker or another node.

pub mod connection;
pub mod http;
pub mod reactor;
pub mod timer_wheel;

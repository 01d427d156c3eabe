//! The real node: sockets, timers and HTTP round the decision module.
//!
//! [`Node`] runs one loop. User agents' requests become transactions in the hub ([`transaction`]), which
//! asks the [`crate::Dispatcher`] and has proxy passes started; news of the farm come from a watch.

pub mod config;
pub mod connection;
pub mod event_loop;
pub mod farm;
pub mod http;
pub mod proxy_pass;
pub mod transaction;
pub mod user_agent;
pub mod wheel;

pub use config::Config;
pub use event_loop::Node;

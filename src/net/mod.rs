//! The node itself: sockets, timers and HTTP around the decision module.
//!
//! [`Node`] runs a single event loop. The request manager ([`requests::manager`]) keeps the state
//! of clients' requests: it consults the [`crate::Dispatcher`] and has attempts started. Changes of
//! the worker list arrive through a watch on discovery.
//!
//! A node runs in the thread that calls [`Node::run`], until a byte arrives on the stream that was
//! passed to [`Node::new`]:
//!
//! ```
//! use postproxy::net::{Config, Node};
//! use std::io::Write;
//! use std::os::unix::net::UnixStream;
//!
//! let text = r#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:8500", "seed": "1f",
//!                "settings": {"services": [{"name": "render", "effect": "pure"}]}}"#;
//! let (mut stop, signal) = UnixStream::pair()?;
//! let mut node = Node::new(Config::from_json(text, |_| None)?, signal)?;
//! println!("listening on {}", node.address());
//! stop.write_all(b"x")?;
//! node.run()?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod cluster;
pub mod config;
pub mod downstream;
pub mod handover;
pub mod lifecycle;
pub mod management;
pub mod messages;
pub mod node;
pub mod requests;
pub mod store_adapter;
pub mod transport;
pub mod upstream;

pub use config::Config;
pub use node::Node;

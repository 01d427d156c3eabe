//! Membership in a cluster of nodes, coordination, version tracking and the connections to peers.
//! These modules do the I/O; the protocols are state machines in the libraries under `crates/`.

pub mod coordination;
pub mod peer_connections;
pub mod service;
pub mod versions;

//! Other nodes of the cluster: membership, coordination, version tracking and the connections to
//! peers. These modules move messages; the decisions are made by the libraries under `crates/`.

pub mod coordination;
pub mod peer_connections;
pub mod service;
pub mod versions;

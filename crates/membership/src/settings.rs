//! Settings of a member.

use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Settings of a member. All times are in seconds of the node's [`crate::LocalClock`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Addresses that a joining node contacts. Some may be wrong, or the node's own.
    pub seeds: Vec<SocketAddr>,
    /// Names of the nodes that vote in the coordination service.
    pub voters: BTreeSet<String>,
    /// Time between two probes of members.
    pub probe_interval: f64,
    /// Time that a probed member has to answer before other members are asked to probe it as well.
    pub probe_timeout: f64,
    /// Time that a suspect has to refute the suspicion before it is declared failed.
    pub suspicion_timeout: f64,
    /// Time between two rounds of gossip, while there are updates to disseminate.
    pub gossip_interval: f64,
    /// Time between two heartbeats to monitored peers. A peer from which none is received for 3.5
    /// intervals counts as unreachable.
    pub heartbeat_interval: f64,
    /// Time between two attempts to contact failed nodes, so that those that are back are found.
    pub failed_node_probe_interval: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: String::new(),
            seeds: Vec::new(),
            voters: BTreeSet::new(),
            probe_interval: 0.25,
            probe_timeout: 0.1,
            suspicion_timeout: 1.1,
            gossip_interval: 0.1,
            heartbeat_interval: 0.5,
            failed_node_probe_interval: 1.0,
        }
    }
}

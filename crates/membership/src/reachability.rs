//! Direct reachability: which peers this node monitors by their heartbeats, and from which of them
//! it receives none.

use crate::fnv::Fnv;
use std::collections::{BTreeMap, BTreeSet};

/// Largest cluster in which each node monitors every other. In a larger one the number of
/// heartbeats would grow with the square of the number of nodes.
pub const MAX_FULL_MESH_NODES: usize = 16;
/// Number of neighbours on either side, in the order of [`sort_by_hash`], that a node of a larger
/// cluster monitors.
const NEIGHBOURS_PER_SIDE: usize = 2;
/// Maximum number of unreachable peers in one reachability report, so that the report fits a
/// datagram.
pub const MAX_REPORTED_PEERS: usize = 32;

/// Returns the names in the order of their hashes, each once. All nodes that know the same names
/// get the same order.
pub fn sort_by_hash(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut sorted: Vec<String> = names.collect();
    sorted.sort_by_cached_key(|name| (Fnv::hash_name(name), name.clone()));
    sorted.dedup();
    sorted
}

/// Returns the peers that `node` monitors; the same peers monitor it. `sorted` are all members in
/// the order of [`sort_by_hash`]; a node that isn't among them monitors no peers. Voters
/// monitor each other in a cluster of any size.
pub fn monitored_peers<'a>(
    sorted: &'a [String],
    voters: &BTreeSet<String>,
    node: &str,
) -> Vec<&'a String> {
    let key = (Fnv::hash_name(node), node);
    let Ok(position) = sorted.binary_search_by_key(&key, |name| (Fnv::hash_name(name), name))
    else {
        return Vec::new();
    };
    let count = sorted.len();
    if count <= MAX_FULL_MESH_NODES {
        return sorted.iter().filter(|name| *name != node).collect();
    }
    let mut monitored: BTreeSet<&String> = BTreeSet::new();
    for distance in 1..=NEIGHBOURS_PER_SIDE {
        monitored.insert(&sorted[(position + distance) % count]);
        monitored.insert(&sorted[(position + count - distance) % count]);
    }
    if voters.contains(node) {
        monitored.extend(sorted.iter().filter(|name| voters.contains(*name)));
    }
    monitored.into_iter().filter(|name| *name != node).collect()
}

/// The latest heartbeat of one peer.
#[derive(Debug)]
struct LastHeartbeat {
    process_nonce: u64,
    /// Highest sequence number received from this process.
    sequence: u64,
    /// Local time of the heartbeat, or of the start of monitoring if none has been received, in
    /// seconds.
    received_at: f64,
}

/// The latest heartbeats of the monitored peers, and which of these peers are unreachable.
#[derive(Debug, Default)]
pub struct Reachability {
    heartbeats: BTreeMap<String, LastHeartbeat>,
    unreachable: BTreeSet<String>,
}

impl Reachability {
    /// Replaces the set of monitored peers. The timeout of a new one starts at `now`, in seconds.
    pub fn set_monitored(&mut self, now: f64, names: &[String]) {
        self.heartbeats.retain(|name, _| names.contains(name));
        self.unreachable.retain(|name| names.contains(name));
        for name in names {
            self.heartbeats
                .entry(name.clone())
                .or_insert(LastHeartbeat {
                    process_nonce: 0,
                    sequence: 0,
                    received_at: now,
                });
        }
    }

    /// Records a heartbeat of a monitored peer. One that the network delivered late or repeatedly
    /// is ignored.
    pub fn record_heartbeat(&mut self, now: f64, name: &str, process_nonce: u64, sequence: u64) {
        if let Some(last) = self.heartbeats.get_mut(name)
            && (last.process_nonce != process_nonce || sequence > last.sequence)
        {
            *last = LastHeartbeat {
                process_nonce,
                sequence,
                received_at: now,
            };
        }
    }

    /// Determines the unreachable peers: those monitored ones whose latest heartbeat is older than
    /// `timeout` seconds.
    pub fn update_unreachable(&mut self, now: f64, timeout: f64) {
        self.unreachable = self
            .heartbeats
            .iter()
            .filter(|(_, last)| now - last.received_at > timeout)
            .map(|(name, _)| name.clone())
            .collect();
    }

    /// Returns the names of the monitored peers that are unreachable, in order.
    pub fn unreachable(&self) -> impl Iterator<Item = &String> {
        self.unreachable.iter()
    }
}

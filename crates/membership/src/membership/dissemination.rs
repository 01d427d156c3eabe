//! What the SWIM library's gossip carries in addition to its own updates: reachability reports and
//! notices of nodes that left. The state that gossip and synchronisation update is here as well.

use super::Membership;
use crate::identity::Identity;
use crate::reachability::MAX_REPORTED_PEERS;
use crate::suspended_workers::{SuspendedWorkers, Suspension};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::rc::Rc;

/// A message that is passed on from node to node.
///
/// The encoding follows the order of the variants and of their fields, which must not change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum GossipMessage {
    /// The peers that a node monitors and receives no heartbeats from.
    ReachabilityReport {
        name: String,
        process_nonce: u64,
        /// Increases with each report of a process.
        sequence: u32,
        unreachable: Vec<String>,
    },
    /// A process of a node has left the cluster.
    Left { name: String, process_nonce: u64 },
}

/// What a gossip message is about. A newer message replaces an older one with the same key.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum GossipKey {
    ReachabilityReport { name: String },
    Left { name: String, process_nonce: u64 },
}

impl foca::Invalidates for GossipKey {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

/// The latest reachability report of a node.
#[derive(Debug)]
pub(super) struct ReachabilityReport {
    pub(super) process_nonce: u64,
    sequence: u32,
    pub(super) unreachable: BTreeSet<String>,
    /// Local time at which it was received, in seconds.
    pub(super) received_at: f64,
}

/// What this node has learned about nodes and workers by gossip and synchronisation.
#[derive(Debug, Default)]
pub(super) struct GossipState {
    /// Local time in seconds.
    pub(super) local_time: f64,
    /// By node.
    pub(super) reports: BTreeMap<String, ReachabilityReport>,
    /// By node, the nonce of the process that has left.
    pub(super) left: BTreeMap<String, u64>,
    /// By node that operators declared permanently gone, the highest such incarnation. Entries are
    /// never removed, so that all nodes converge.
    pub(super) forgotten: BTreeMap<String, u64>,
    pub(super) suspended_workers: SuspendedWorkers,
    /// Workers that were suspended or resumed since the last call ended.
    pub(super) changed_workers: Vec<String>,
    /// Whether anything was received that the cluster's health depends on.
    pub(super) health_may_have_changed: bool,
}

impl GossipState {
    /// Records a message. Returns its key if it is new, so that the library passes it on.
    fn record(&mut self, message: GossipMessage) -> Option<GossipKey> {
        match message {
            GossipMessage::ReachabilityReport {
                name,
                process_nonce,
                sequence,
                unreachable,
            } => {
                let is_old = self.reports.get(&name).is_some_and(|known| {
                    known.process_nonce == process_nonce && known.sequence >= sequence
                });
                if is_old || unreachable.len() > MAX_REPORTED_PEERS {
                    return None;
                }
                self.health_may_have_changed = true;
                let report = ReachabilityReport {
                    process_nonce,
                    sequence,
                    unreachable: unreachable.into_iter().collect(),
                    received_at: self.local_time,
                };
                self.reports.insert(name.clone(), report);
                Some(GossipKey::ReachabilityReport { name })
            }
            GossipMessage::Left {
                name,
                process_nonce,
            } => {
                let previous = self.left.insert(name.clone(), process_nonce);
                let is_new = previous != Some(process_nonce);
                self.health_may_have_changed |= is_new;
                is_new.then_some(GossipKey::Left {
                    name,
                    process_nonce,
                })
            }
        }
    }

    /// Merges a suspension of a worker.
    pub(super) fn merge_suspension(&mut self, worker: &str, suspension: Suspension) {
        if self.suspended_workers.merge(worker, suspension) {
            self.changed_workers.push(worker.to_owned());
        }
    }
}

/// Receives gossip from the SWIM library.
pub(super) struct GossipHandler(Rc<RefCell<GossipState>>);

impl GossipHandler {
    pub(super) fn new(state: Rc<RefCell<GossipState>>) -> Self {
        Self(state)
    }
}

impl foca::BroadcastHandler<Identity> for GossipHandler {
    type Key = GossipKey;
    type Error = Infallible;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Identity>,
    ) -> Result<Option<GossipKey>, Infallible> {
        // A malformed message is ignored without an error, as an error would drop the rest of the
        // packet.
        let message = postcard::from_bytes(data).ok();
        Ok(message.and_then(|message| self.0.borrow_mut().record(message)))
    }
}

impl Membership {
    /// Disseminates a message through the SWIM library's gossip.
    pub(super) fn disseminate(&mut self, message: &GossipMessage) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            let _ = self.swim.add_broadcast(&bytes);
        }
    }
}

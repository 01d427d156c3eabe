//! Nodes that are gone for good: leaving the cluster, and forgetting failed nodes on an operator's
//! request.

use super::dissemination::GossipMessage;
use super::{JoinState, Membership};
use crate::events::{ForgetError, MemberState, Output};
use crate::identity::{Identity, MAX_NAME_BYTES};
use crate::packet::{ForgottenNode, Message};

/// Maximum number of members that a leaving node notifies directly.
const MAX_NOTIFIED_OF_LEAVING: usize = 16;
/// Maximum number of forgotten nodes.
const MAX_FORGOTTEN_NODES: usize = 1024;

impl Membership {
    /// Leaves the cluster and clears the timers. Messages that arrive afterwards are ignored.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.advance_clock(now);
        if self.is_member() {
            self.disseminate(&GossipMessage::Left {
                name: self.local_identity.name.to_string(),
                process_nonce: self.local_identity.process_nonce,
            });
            let _ = self.swim.leave_cluster(&mut self.swim_runtime);
            let receivers = self.live_addresses();
            for to in receivers.into_iter().take(MAX_NOTIFIED_OF_LEAVING) {
                self.send(to, &Message::Leaving, out);
            }
        }
        self.join_state = JoinState::Left;
        self.timers.clear();
        self.process_swim_output(out);
    }

    /// Handles a notice that a node leaves: disseminates it to the nodes that the leaving one
    /// hasn't notified itself.
    pub(super) fn handle_leaving(&mut self, from: &Identity) {
        self.disseminate(&GossipMessage::Left {
            name: from.name.to_string(),
            process_nonce: from.process_nonce,
        });
    }

    /// Declares a failed node permanently gone, on an operator's request: it no longer counts as a
    /// node of the cluster. If it comes back, it may join like any other node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node isn't known, hasn't failed, or too many nodes are forgotten
    /// already.
    pub fn forget(
        &mut self,
        now: f64,
        name: &str,
        out: &mut Vec<Output>,
    ) -> Result<(), ForgetError> {
        self.advance_clock(now);
        let node = self.nodes.get(name).ok_or(ForgetError::UnknownNode)?;
        match node.state {
            MemberState::Alive | MemberState::Suspect => return Err(ForgetError::StillAlive),
            MemberState::Left => return Ok(()),
            MemberState::Failed => {}
        }
        let forgotten = ForgottenNode {
            name: name.to_owned(),
            up_to_incarnation: node.identity.incarnation,
        };
        self.merge_forgotten(vec![forgotten.clone()], out);
        if !self.gossip.borrow().forgotten.contains_key(name) {
            return Err(ForgetError::TooMany);
        }
        let message = Message::Forgotten(vec![forgotten]);
        for peer in self.live_addresses() {
            self.send(peer, &message, out);
        }
        self.complete_call(out);
        Ok(())
    }

    /// Merges forgotten nodes. Those that have failed count as nodes that left from then on. Those
    /// that are invalid or beyond the limit are ignored.
    pub(super) fn merge_forgotten(&mut self, nodes: Vec<ForgottenNode>, out: &mut Vec<Output>) {
        for ForgottenNode {
            name,
            up_to_incarnation,
        } in nodes
        {
            let mut gossip = self.gossip.borrow_mut();
            let has_room = gossip.forgotten.len() < MAX_FORGOTTEN_NODES
                || gossip.forgotten.contains_key(&name);
            if !has_room || name.is_empty() || name.len() > MAX_NAME_BYTES {
                continue;
            }
            let known = gossip.forgotten.entry(name.clone()).or_default();
            *known = up_to_incarnation.max(*known);
            drop(gossip);
            let failed = self
                .nodes
                .get(&name)
                .filter(|node| node.state == MemberState::Failed);
            if let Some(process_nonce) = failed.map(|node| node.identity.process_nonce) {
                self.decide_failed_or_left(&name, process_nonce, out);
            }
        }
    }

    /// Returns all forgotten nodes.
    pub(super) fn forgotten_nodes(&self) -> Vec<ForgottenNode> {
        let gossip = self.gossip.borrow();
        let forgotten = gossip.forgotten.iter();
        forgotten
            .map(|(name, incarnation)| ForgottenNode {
                name: name.clone(),
                up_to_incarnation: *incarnation,
            })
            .collect()
    }
}

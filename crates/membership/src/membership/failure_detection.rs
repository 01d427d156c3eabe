//! Suspects and nodes that are down: notifying suspects so that live ones can refute in time, and
//! telling apart nodes that failed from nodes that left.

use super::{Membership, Timer};
use crate::events::{MemberState, MembershipEvent, Output};
use crate::identity::Identity;
use crate::packet::Message;
use foca::State;

/// Time that a notice that a node left has to arrive after the SWIM library has reported the node
/// as down, in seconds.
const LEFT_NOTICE_GRACE_SECONDS: f64 = 0.1;
/// Maximum number of suspects that are notified at a time. The notice is repeated, since one that
/// reaches a stopped process may be lost, and a suspicion stops being gossiped before it ends.
const MAX_SUSPECTS_NOTIFIED: usize = 8;

impl Membership {
    /// Sends suspects a notice, so that those that are alive can refute the suspicion in time.
    pub(super) fn notify_suspects(&self, out: &mut Vec<Output>) {
        let suspects = self
            .swim
            .iter_members()
            .filter(|member| member.state() == State::Suspect);
        for member in suspects.take(MAX_SUSPECTS_NOTIFIED) {
            let notice = Message::Suspicion {
                process_nonce: member.id().process_nonce,
                swim_incarnation: member.incarnation(),
            };
            self.send(member.id().address, &notice, out);
        }
    }

    /// Handles a notice that this node is suspected: the SWIM library refutes it.
    pub(super) fn handle_suspicion(&mut self, process_nonce: u64, swim_incarnation: u16) {
        if process_nonce == self.local_identity.process_nonce && self.is_member() {
            let suspicion = foca::Member::new(
                self.local_identity.clone(),
                swim_incarnation,
                State::Suspect,
            );
            let _ = self
                .swim
                .apply_many(std::iter::once(suspicion), true, &mut self.swim_runtime);
        }
    }

    /// Handles a report of the SWIM library that a node is down.
    pub(super) fn handle_member_down(
        &mut self,
        local_time: f64,
        identity: Identity,
        out: &mut Vec<Output>,
    ) {
        let process_nonce = identity.process_nonce;
        let name = identity.name.to_string();
        let has_left = self.gossip.borrow().left.get(&name) == Some(&process_nonce);
        // Until it is known whether it failed or left, it counts as a suspect.
        self.set_node(identity, MemberState::Suspect);
        if has_left {
            self.decide_failed_or_left(&name, process_nonce, out);
        } else {
            let decide_at = local_time + LEFT_NOTICE_GRACE_SECONDS;
            self.set_timer(
                decide_at,
                Timer::DecideFailedOrLeft {
                    name,
                    process_nonce,
                },
            );
        }
    }

    /// Reports that a node has failed or left, unless it is a member again or another process has
    /// replaced it.
    pub(super) fn decide_failed_or_left(
        &mut self,
        name: &str,
        process_nonce: u64,
        out: &mut Vec<Output>,
    ) {
        let mut gossip = self.gossip.borrow_mut();
        let has_left = gossip.left.get(name) == Some(&process_nonce);
        let forgotten_up_to = gossip.forgotten.get(name).copied();
        let Some(node) = self
            .nodes
            .get_mut(name)
            .filter(|node| node.identity.process_nonce == process_nonce)
        else {
            return;
        };
        if node.state == MemberState::Alive {
            return;
        }
        let is_forgotten = forgotten_up_to.is_some_and(|up_to| node.identity.incarnation <= up_to);
        let event = if has_left || is_forgotten {
            node.state = MemberState::Left;
            MembershipEvent::Left(node.identity.clone())
        } else {
            node.state = MemberState::Failed;
            MembershipEvent::Failed(node.identity.clone())
        };
        out.push(Output::Event(event));
        gossip.health_may_have_changed = true;
    }
}

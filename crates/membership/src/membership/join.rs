//! Joining the cluster: asking which identity holds the node's name, resolving name conflicts,
//! becoming a member and learning of the other members.

use super::{Membership, Timer};
use crate::events::{MembershipEvent, Output};
use crate::identity::Identity;
use crate::packet::Message;
use std::net::SocketAddr;

/// Time that a joining node waits for a seed to answer which identity holds its name, in seconds.
const NAME_QUERY_TIMEOUT_SECONDS: f64 = 0.5;
/// Time that the holder of the name has to answer a liveness challenge, in seconds.
const CHALLENGE_TIMEOUT_SECONDS: f64 = 1.0;
/// Time between two steps of joining, in seconds.
const JOIN_STEP_SECONDS: f64 = 0.1;
/// Time after which a member that knows no other one contacts the seeds again, in seconds.
const SEED_CONTACT_INTERVAL_SECONDS: f64 = 1.0;
/// Time after which a node with a name conflict checks whether its name is free, in seconds.
const NAME_CONFLICT_RECHECK_SECONDS: f64 = 5.0;
/// Maximum number of known nodes to which a new member announces itself directly.
const MAX_ANNOUNCED: usize = 16;
/// Time between two requests for lists of members, in seconds.
const LIST_REQUEST_INTERVAL_SECONDS: f64 = 0.1;
/// Maximum number of requests for lists of members.
const MAX_LIST_REQUESTS: u32 = 20;
/// Number of times that the first request is repeated in any case, as the first answers may still
/// be on their way.
const MIN_REPEATED_LIST_REQUESTS: u32 = 3;
/// Number of members that are asked for their lists at a time, as one answer holds no more members
/// than fit a datagram.
const LIST_REQUEST_FANOUT: usize = 4;

/// Progress of this node in joining the cluster.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum JoinState {
    /// It asks the seeds which identity holds its name, and waits for an answer until this local
    /// time.
    QueryingName { until: f64 },
    /// Another process may hold the name; it has until this local time to answer the challenge.
    ChallengingHolder {
        challenge: u64,
        holder: Identity,
        until: f64,
    },
    /// It is a member, perhaps the only one.
    Member,
    /// Another process holds the name; whether it still does is checked at this local time.
    NameConflict {
        address: SocketAddr,
        recheck_at: f64,
    },
    /// It has left the cluster.
    Left,
}

impl JoinState {
    /// Returns the state at the start of the process.
    pub(super) fn initial() -> Self {
        Self::QueryingName {
            until: NAME_QUERY_TIMEOUT_SECONDS,
        }
    }
}

impl Membership {
    /// Takes the next step of joining, and contacts the seeds while no other member is known.
    pub(super) fn continue_joining(&mut self, local_time: f64, out: &mut Vec<Output>) {
        let next_step = match self.join_state.clone() {
            JoinState::Left => return,
            JoinState::QueryingName { until } if local_time >= until => {
                self.become_member(local_time, None, out);
                SEED_CONTACT_INTERVAL_SECONDS
            }
            JoinState::QueryingName { .. } => JOIN_STEP_SECONDS,
            JoinState::ChallengingHolder { holder, until, .. } if local_time >= until => {
                self.become_member(local_time, Some(holder.incarnation), out);
                SEED_CONTACT_INTERVAL_SECONDS
            }
            JoinState::ChallengingHolder {
                challenge, holder, ..
            } => {
                let message = Message::LivenessChallenge(challenge);
                self.send(holder.address, &message, out);
                JOIN_STEP_SECONDS
            }
            JoinState::NameConflict {
                address,
                recheck_at,
            } => {
                if local_time >= recheck_at {
                    self.recheck_name(local_time, address);
                }
                JOIN_STEP_SECONDS
            }
            JoinState::Member => SEED_CONTACT_INTERVAL_SECONDS,
        };
        let is_alone = !self.is_member() || self.live_peers().next().is_none();
        if is_alone && !matches!(self.join_state, JoinState::NameConflict { .. }) {
            self.contact_seeds(out);
        }
        self.set_timer(local_time + next_step, Timer::Join);
    }

    /// Begins to check whether the process that holds this node's name is still alive.
    fn recheck_name(&mut self, local_time: f64, address: SocketAddr) {
        let challenge = self.random_number();
        let holder = Identity {
            address,
            ..self.local_identity.clone()
        };
        self.join_state = JoinState::ChallengingHolder {
            challenge,
            holder,
            until: local_time + CHALLENGE_TIMEOUT_SECONDS,
        };
    }

    fn contact_seeds(&self, out: &mut Vec<Output>) {
        for seed in &self.settings.seeds {
            if *seed != self.local_identity.address {
                self.send(*seed, &Message::NameQuery, out);
            }
        }
    }

    /// Becomes a member with an incarnation above `previous_incarnation`, if there is one.
    pub(super) fn become_member(
        &mut self,
        local_time: f64,
        previous_incarnation: Option<u64>,
        out: &mut Vec<Output>,
    ) {
        let current = self.local_identity.incarnation;
        let incarnation =
            previous_incarnation.map_or(current, |previous| current.max(previous + 1));
        if incarnation != current {
            self.local_identity.incarnation = incarnation;
            let _ = self
                .swim
                .change_identity(self.local_identity.clone(), &mut self.swim_runtime);
        }
        self.join_state = JoinState::Member;
        self.gossip.borrow_mut().health_may_have_changed = true;
        let known: Vec<Identity> = self
            .nodes
            .values()
            .map(|node| node.identity.clone())
            .take(MAX_ANNOUNCED)
            .collect();
        for peer in known {
            let _ = self.swim.announce(peer, &mut self.swim_runtime);
        }
        self.contact_seeds(out);
        self.send_heartbeats(local_time, out);
        self.timers
            .retain(|_, timer| !matches!(timer, Timer::RequestMemberLists { .. }));
        self.set_timer(
            local_time + LIST_REQUEST_INTERVAL_SECONDS,
            Timer::RequestMemberLists {
                remaining: MAX_LIST_REQUESTS,
                known_before: 0,
            },
        );
    }

    /// Asks random members for their lists of members. It is repeated until the number of known
    /// members no longer grows.
    pub(super) fn request_member_lists(
        &mut self,
        local_time: f64,
        remaining: u32,
        known_before: usize,
    ) {
        let peers: Vec<Identity> = self.live_peers().cloned().collect();
        let first_requests = remaining + MIN_REPEATED_LIST_REQUESTS >= MAX_LIST_REQUESTS;
        let learned_nothing = !first_requests && peers.len() == known_before;
        if !self.is_member() || remaining == 0 || learned_nothing {
            return;
        }
        for _ in 0..LIST_REQUEST_FANOUT.min(peers.len()) {
            let index = self.random_number() % peers.len() as u64;
            let peer = peers[index as usize].clone();
            let _ = self.swim.announce(peer, &mut self.swim_runtime);
        }
        self.set_timer(
            local_time + LIST_REQUEST_INTERVAL_SECONDS,
            Timer::RequestMemberLists {
                remaining: remaining - 1,
                known_before: peers.len(),
            },
        );
    }

    /// Handles a message of another process with this node's name: an earlier process of this node
    /// whose message is late, or one that claims the name at the same time.
    pub(super) fn handle_message_of_same_name(
        &mut self,
        local_time: f64,
        from: &Identity,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            // The other process may join with this name unless this one answers.
            Message::LivenessChallenge(number)
                if self.is_member() || self.local_identity.supersedes(from) =>
            {
                self.send(from.address, &Message::LivenessResponse(*number), out);
            }
            Message::LivenessResponse(number) => {
                if let JoinState::ChallengingHolder { challenge, .. } = &self.join_state
                    && challenge == number
                {
                    self.join_state = JoinState::NameConflict {
                        address: from.address,
                        recheck_at: local_time + NAME_CONFLICT_RECHECK_SECONDS,
                    };
                    out.push(Output::Event(MembershipEvent::NameConflict {
                        address: from.address,
                    }));
                }
            }
            // The other process acts as a member with this name, which it holds if its identity
            // takes precedence.
            Message::Swim(_) | Message::Heartbeat { .. }
                if from.supersedes(&self.local_identity) =>
            {
                self.handle_other_holder(local_time, from.clone(), out);
            }
            _ => {}
        }
    }

    /// Handles the answer of a node to [`Message::NameQuery`].
    pub(super) fn handle_name_holder(
        &mut self,
        local_time: f64,
        from: &Identity,
        holder: Option<Identity>,
        out: &mut Vec<Output>,
    ) {
        match (&self.join_state, holder) {
            (JoinState::QueryingName { .. }, None) => {
                self.become_member(local_time, None, out);
                let _ = self.swim.announce(from.clone(), &mut self.swim_runtime);
            }
            (JoinState::QueryingName { .. } | JoinState::Member, Some(holder)) => {
                let is_other_process = holder.name == self.local_identity.name
                    && holder.process_nonce != self.local_identity.process_nonce;
                let takes_precedence = holder.supersedes(&self.local_identity) || !self.is_member();
                if is_other_process && takes_precedence {
                    self.handle_other_holder(local_time, holder, out);
                }
            }
            (JoinState::Member, None) => {
                let _ = self.swim.announce(from.clone(), &mut self.swim_runtime);
            }
            _ => {}
        }
    }

    /// Handles a message which shows that another identity holds this node's name: an earlier
    /// process of this node, or another process that may be alive.
    fn handle_other_holder(&mut self, local_time: f64, holder: Identity, out: &mut Vec<Output>) {
        if holder.address == self.local_identity.address {
            // Two processes can't have the same address, so this was an earlier process of this
            // node.
            return self.become_member(local_time, Some(holder.incarnation), out);
        }
        let is_resolving = matches!(
            self.join_state,
            JoinState::ChallengingHolder { .. } | JoinState::NameConflict { .. }
        );
        if !is_resolving {
            let challenge = self.random_number();
            self.send(holder.address, &Message::LivenessChallenge(challenge), out);
            self.join_state = JoinState::ChallengingHolder {
                challenge,
                holder,
                until: local_time + CHALLENGE_TIMEOUT_SECONDS,
            };
            self.schedule_join_step(local_time);
        }
    }

    /// Schedules the next step of joining soon, in place of the step that was scheduled.
    fn schedule_join_step(&mut self, local_time: f64) {
        self.timers.retain(|_, timer| *timer != Timer::Join);
        self.set_timer(local_time + JOIN_STEP_SECONDS, Timer::Join);
    }
}

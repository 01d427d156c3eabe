//! The SWIM library (`foca`): its configuration, its packets and its output.

use super::{JoinState, Membership, Timer};
use crate::events::{MemberState, MembershipEvent, Output};
use crate::identity::Identity;
use crate::packet::{DecodeError, MAX_CONTENT_BYTES, Message};
use crate::settings::Settings;
use foca::{OwnedNotification, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Number of members that are asked to probe one that didn't answer.
const INDIRECT_PROBES: usize = 3;
/// Time for which the library remembers that an identity is down.
const REMEMBER_DOWN: Duration = Duration::from_secs(7 * 86_400);
/// Time between two requests to a random member for its list of members, in seconds.
const ANNOUNCE_INTERVAL_SECONDS: f64 = 10.0;
/// Number of members that a round of gossip is sent to.
const GOSSIP_FANOUT: usize = 3;
/// Number of failed nodes that are contacted at a time, as they may be back.
const FAILED_NODES_PER_PROBE: usize = 2;
/// Shortest duration in the library's configuration, in seconds; the library doesn't accept 0.
const MIN_DURATION_SECONDS: f64 = 0.001;

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(MIN_DURATION_SECONDS))
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

/// Returns how often a node passes on an update: often enough to reach all nodes with high
/// probability, plus a margin.
fn max_transmissions(cluster_size: usize) -> NonZeroU8 {
    let rounds = (cluster_size.max(1) as f64).log2().ceil() as u8;
    NonZeroU8::new(4 + 2 * rounds).unwrap_or(NonZeroU8::MIN)
}

/// Returns the library's configuration for a cluster of this size.
pub(super) fn config(settings: &Settings, cluster_size: usize) -> foca::Config {
    let periodic = |interval_seconds, num_members| {
        Some(PeriodicParams {
            frequency: duration(interval_seconds),
            num_members: non_zero(num_members),
        })
    };
    foca::Config {
        probe_period: duration(settings.probe_interval),
        probe_rtt: duration(settings.probe_timeout),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: max_transmissions(cluster_size),
        suspect_to_down_after: duration(settings.suspicion_timeout),
        remove_down_after: Some(REMEMBER_DOWN),
        max_packet_size: non_zero(MAX_CONTENT_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_INTERVAL_SECONDS, 1),
        periodic_announce_to_down_members: periodic(
            settings.failed_node_probe_interval,
            FAILED_NODES_PER_PROBE,
        ),
        periodic_gossip: periodic(settings.gossip_interval, GOSSIP_FANOUT),
    }
}

impl Membership {
    /// Handles a packet of the library, if this node is a member.
    pub(super) fn handle_swim_packet(&mut self, packet: &[u8]) {
        if !self.is_member() {
            return;
        }
        // The library rejects packets that are meant for an earlier incarnation of this node, and
        // malformed ones.
        if self
            .swim
            .handle_data(packet, &mut self.swim_runtime)
            .is_err()
        {
            self.count_dropped(DecodeError::Malformed);
        }
    }

    /// Processes the library's output: sends packets, sets timers and handles notifications.
    pub(super) fn process_swim_output(&mut self, out: &mut Vec<Output>) {
        let local_time = self.clock.local_time();
        loop {
            while let Some((to, packet)) = self.swim_runtime.to_send() {
                self.send(to.address, &Message::Swim(packet.to_vec()), out);
            }
            while let Some((after, timer)) = self.swim_runtime.to_schedule() {
                self.set_timer(local_time + after.as_secs_f64(), Timer::Swim(timer));
            }
            let Some(notification) = self.swim_runtime.to_notify() else {
                return;
            };
            self.handle_swim_notification(local_time, notification, out);
        }
    }

    fn handle_swim_notification(
        &mut self,
        local_time: f64,
        notification: OwnedNotification<Identity>,
        out: &mut Vec<Output>,
    ) {
        match notification {
            OwnedNotification::MemberUp(identity) => {
                self.gossip.borrow_mut().left.remove(&*identity.name);
                self.set_node(identity.clone(), MemberState::Alive);
                out.push(Output::Event(MembershipEvent::Joined(identity)));
            }
            OwnedNotification::Rename(_, identity) if self.is_other_identity(&identity) => {
                self.set_node(identity.clone(), MemberState::Alive);
                out.push(Output::Event(MembershipEvent::IdentityChanged(identity)));
            }
            OwnedNotification::MemberDown(identity) => {
                self.handle_member_down(local_time, identity, out);
            }
            OwnedNotification::Defunct if self.join_state == JoinState::Member => {
                // Other nodes have declared this incarnation failed: this node joins again with the
                // next one.
                let failed_incarnation = self.local_identity.incarnation;
                self.become_member(local_time, Some(failed_incarnation), out);
                out.push(Output::Event(MembershipEvent::Rejoined {
                    incarnation: self.local_identity.incarnation,
                }));
            }
            _ => {}
        }
    }

    /// Returns whether the node of this name is known by another identity.
    fn is_other_identity(&self, identity: &Identity) -> bool {
        self.nodes
            .get(&*identity.name)
            .is_some_and(|node| node.identity != *identity)
    }
}

//! Heartbeats between peers that monitor each other, and the reports on unreachable peers.

use super::dissemination::GossipMessage;
use super::{Membership, Timer};
use crate::events::Output;
use crate::packet::Message;
use crate::reachability::{self, MAX_REPORTED_PEERS};

/// A peer is unreachable after this number of heartbeat intervals without a heartbeat: three may be
/// missed, and the next may be late by half an interval.
const UNREACHABLE_AFTER_INTERVALS: f64 = 3.5;
/// Time between two repetitions of a reachability report, in seconds. They inform nodes that have
/// joined since.
pub(super) const REPORT_INTERVAL_SECONDS: f64 = 5.0;
/// Time after which a report that wasn't repeated expires, in seconds, as this node may have been
/// cut off when the report was withdrawn. Three repetitions may be missed.
const REPORT_EXPIRY_SECONDS: f64 = 3.0 * REPORT_INTERVAL_SECONDS + 1.0;

impl Membership {
    /// Sends heartbeats to the monitored peers, and a reachability report if the unreachable peers
    /// have changed.
    pub(super) fn send_heartbeats(&mut self, local_time: f64, out: &mut Vec<Output>) {
        self.timers.retain(|_, timer| *timer != Timer::Heartbeat);
        let next = local_time + self.settings.heartbeat_interval;
        self.set_timer(next, Timer::Heartbeat);
        if !self.is_member() {
            return;
        }
        let sorted = self.sorted_members();
        let name = &self.local_identity.name;
        let monitored: Vec<String> =
            reachability::monitored_peers(&sorted, &self.settings.voters, name)
                .into_iter()
                .cloned()
                .collect();
        let heartbeat = self.next_heartbeat();
        for name in &monitored {
            if let Some(node) = self.nodes.get(name) {
                self.send(node.identity.address, &heartbeat, out);
            }
        }
        self.reachability.set_monitored(local_time, &monitored);
        let timeout = UNREACHABLE_AFTER_INTERVALS * self.settings.heartbeat_interval;
        self.reachability.update_unreachable(local_time, timeout);
        let reported = self.reported_unreachable.iter();
        if !self.reachability.unreachable().eq(reported) {
            self.report_unreachable();
        }
    }

    /// Returns a heartbeat with the next sequence number.
    pub(super) fn next_heartbeat(&mut self) -> Message {
        self.heartbeat_sequence += 1;
        Message::Heartbeat {
            sequence: self.heartbeat_sequence,
            digest: self.sync_digest(),
        }
    }

    /// Disseminates which monitored peers are unreachable.
    fn report_unreachable(&mut self) {
        self.report_sequence += 1;
        self.reported_unreachable = self.reachability.unreachable().cloned().collect();
        let report = GossipMessage::ReachabilityReport {
            name: self.local_identity.name.to_string(),
            process_nonce: self.local_identity.process_nonce,
            sequence: self.report_sequence,
            unreachable: self
                .reachability
                .unreachable()
                .take(MAX_REPORTED_PEERS)
                .cloned()
                .collect(),
        };
        self.disseminate(&report);
    }

    /// Repeats this node's report if any peer is unreachable, and clears the expired reports of
    /// other nodes.
    pub(super) fn repeat_report(&mut self, local_time: f64) {
        if self.reachability.unreachable().next().is_some() {
            self.report_unreachable();
        }
        let mut gossip = self.gossip.borrow_mut();
        let mut any_expired = false;
        for report in gossip.reports.values_mut() {
            if local_time - report.received_at > REPORT_EXPIRY_SECONDS {
                any_expired |= !report.unreachable.is_empty();
                report.unreachable.clear();
            }
        }
        gossip.health_may_have_changed |= any_expired;
        drop(gossip);
        self.set_timer(local_time + REPORT_INTERVAL_SECONDS, Timer::RepeatReport);
    }
}

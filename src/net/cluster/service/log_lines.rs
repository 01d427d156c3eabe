//! The log lines of the cluster.

use postproxy_membership::MembershipEvent;
use std::collections::BTreeMap;

/// Shortest time between two log lines on dropped datagrams and connections, in seconds.
const DROP_LOG_INTERVAL_SECONDS: f64 = 60.0;

/// Logs a change of the membership.
pub(super) fn log_membership_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::Joined(id) => {
            tracing::info!(name = &*id.name, address = %id.address, id.incarnation, "peer joined");
        }
        MembershipEvent::IdentityChanged(id) => {
            tracing::info!(name = &*id.name, address = %id.address, id.incarnation, "peer identity changed");
        }
        MembershipEvent::Failed(id) => {
            tracing::warn!(name = &*id.name, address = %id.address, "peer failed");
        }
        MembershipEvent::Left(id) => tracing::info!(name = &*id.name, "peer left"),
        MembershipEvent::Rejoined { incarnation } => {
            tracing::warn!(
                incarnation,
                "rejoined the cluster after peers had declared this node failed"
            );
        }
        MembershipEvent::NameConflict { address } => {
            tracing::error!(
                at = %address,
                "name conflict: another process has this node's name, so this one isn't a member"
            );
        }
        MembershipEvent::HealthChanged(health) => {
            tracing::info!(%health, reasons = health.reasons().join("; "), "cluster health changed");
        }
        MembershipEvent::WorkerChanged { .. }
        | MembershipEvent::SuspensionRecorded { .. }
        | MembershipEvent::ApplicationMessage { .. } => {}
    }
}

/// Logs at intervals that datagrams or connections were dropped.
pub(super) struct DropLog {
    /// Number dropped at the latest log line.
    logged: u64,
    /// Time before which nothing is logged.
    next_at: f64,
}

impl DropLog {
    pub(super) fn new(now: f64) -> Self {
        Self {
            logged: 0,
            next_at: now,
        }
    }

    /// Returns whether enough time has passed since the latest log line.
    pub(super) fn is_due(&self, now: f64) -> bool {
        now >= self.next_at
    }

    /// Logs the numbers dropped since the start, if there are new ones.
    pub(super) fn log(&mut self, now: f64, dropped: &BTreeMap<String, u64>) {
        let total: u64 = dropped.values().sum();
        if total <= self.logged {
            return;
        }
        let by_reason: Vec<String> = dropped
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        tracing::warn!(
            since_start = by_reason.join(", "),
            "datagrams or connections dropped"
        );
        self.logged = total;
        self.next_at = now + DROP_LOG_INTERVAL_SECONDS;
    }
}

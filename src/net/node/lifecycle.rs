//! Starts, drains and ends the node.

use super::Node;
use crate::net::handover::Handover;
use crate::net::lifecycle::Stage;
use crate::net::messages::ManagementReply;
use crate::net::transport::reactor::Timer;
use postproxy_handover::{Message, StateUpdate};

/// How long new connections are still accepted after the stop signal, in seconds: the front may not
/// yet know that this node ends.
const ACCEPT_WINDOW_SECONDS: f64 = 0.6;
/// How often the node checks during its shutdown whether all has been answered, in seconds.
const SHUTDOWN_CHECK_SECONDS: f64 = 0.02;
/// Consecutive checks without work before the node ends: a client whose request crossed the end of
/// its connection sends it again on a new one.
const QUIET_CHECKS_BEFORE_END: u32 = 10;
/// How often idle connections are checked during a drain, in seconds.
const DRAIN_CHECK_SECONDS: f64 = 0.05;

impl Node {
    /// Begins to serve once an older process has sent its snapshot and discovery has answered: with
    /// a list from before its start the node would send to workers that have left since. Deferred
    /// management requests are carried out as soon as the snapshot is complete.
    pub(super) fn start_serving_when_ready(&mut self) {
        let ready = self.lifecycle.stage() == Stage::Starting
            && !self.is_waiting_for_snapshot()
            && self.worker_list.is_initialized();
        if ready {
            self.lifecycle.start();
            if let Some(handover) = &mut self.handover {
                handover.accept_successors(&mut self.reactor);
                tracing::info!("serving");
            }
            self.clients.set_accepting(&self.reactor, true);
            self.apply_readiness();
        }
        if !self.is_waiting_for_snapshot() {
            self.handle_deferred_requests();
        }
    }

    /// Whether an older process has still to send a part of its snapshot.
    pub(super) fn is_waiting_for_snapshot(&self) -> bool {
        self.handover
            .as_ref()
            .is_some_and(Handover::is_waiting_for_snapshot)
    }

    /// Tells the clients' side whether the node wants new connections and ends them after an
    /// answer.
    pub(super) fn apply_readiness(&mut self) {
        self.clients.set_readiness(
            self.lifecycle.wants_connections(),
            self.lifecycle.closes_after_answer(),
        );
    }

    /// Drains the node, or continues a drain that a sibling process began `seconds_ago`.
    pub(super) fn drain(&mut self, link: Option<usize>, seconds_ago: f64) {
        if !self.lifecycle.is_draining() {
            tracing::info!("draining");
            self.reactor
                .set_timer(self.reactor.now + DRAIN_CHECK_SECONDS, Timer::Drain);
            let update = StateUpdate::DrainChanged {
                draining: true,
                seconds_ago: seconds_ago as f32,
            };
            self.broadcast_to_siblings(link, &Message::StateUpdate(update));
        }
        self.lifecycle.drain(self.reactor.now - seconds_ago);
        self.apply_readiness();
    }

    /// Ends a drain, and returns the reply to whoever asked for it.
    pub(super) fn activate(&mut self) -> ManagementReply {
        if self.lifecycle.is_draining() {
            let update = StateUpdate::DrainChanged {
                draining: false,
                seconds_ago: 0.0,
            };
            self.broadcast_to_siblings(None, &Message::StateUpdate(update));
        }
        let accepted = self.lifecycle.activate();
        tracing::info!(accepted, "activated");
        self.apply_readiness();
        if accepted {
            ManagementReply::Done
        } else {
            ManagementReply::NotNow
        }
    }

    /// Closes connections that have been idle for longer than the drain allows.
    pub(super) fn check_drain(&mut self) {
        let now = self.reactor.now;
        if let Some(max_idle) = self.lifecycle.max_idle_time(now) {
            self.clients
                .close_idle_connections(&mut self.reactor, max_idle);
        }
        if self.lifecycle.is_draining() && self.lifecycle.is_serving() {
            self.reactor
                .set_timer(now + DRAIN_CHECK_SECONDS, Timer::Drain);
        }
    }

    /// Begins the shutdown: by a handover, if another process of this node can take over.
    pub(super) fn stop(&mut self) {
        self.stop_signal.consume(&self.reactor);
        // A node that has not begun to serve holds no request, and what waits at the listener is
        // another process's.
        self.finished |= self.lifecycle.stage() == Stage::Starting;
        if self.lifecycle.stop() {
            self.apply_readiness();
            self.begin_handover();
            let delay = if self.lifecycle.stage() == Stage::HandingOver {
                SHUTDOWN_CHECK_SECONDS
            } else {
                ACCEPT_WINDOW_SECONDS
            };
            self.reactor
                .set_timer(self.reactor.now + delay, Timer::Shutdown);
        }
    }

    /// Checks whether the node can end.
    pub(super) fn check_shutdown(&mut self) {
        if self.lifecycle.stage() == Stage::HandingOver {
            self.finished = self.is_handover_complete();
        } else {
            let answered = self.clients.close_for_shutdown(&mut self.reactor)
                && self.requests.pending_count() == 0;
            let quiet = answered && !self.has_predecessor();
            self.quiet_checks = if quiet { self.quiet_checks + 1 } else { 0 };
            self.finished = self.quiet_checks >= QUIET_CHECKS_BEFORE_END;
        }
        self.reactor
            .set_timer(self.reactor.now + SHUTDOWN_CHECK_SECONDS, Timer::Shutdown);
    }
}

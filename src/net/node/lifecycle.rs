//! Start of service, drain and shutdown of the node.

use super::Node;
use crate::net::handover::Handover;
use crate::net::lifecycle::Stage;
use crate::net::messages::ManagementReply;
use crate::net::transport::reactor::Timer;
use postproxy_handover::{Message, StateUpdate};

/// Time after the stop signal during which a node without a successor still accepts new
/// connections, in seconds: clients may not have learned yet that the node shuts down.
const ACCEPT_WINDOW_SECONDS: f64 = 0.6;
/// Interval at which the node checks during its shutdown whether all requests have been answered,
/// in seconds.
const SHUTDOWN_CHECK_SECONDS: f64 = 0.02;
/// Consecutive shutdown checks without pending work before the node exits: a client whose request
/// was in transit when the node closed the connection sends it again on a new one.
const QUIET_CHECKS_BEFORE_END: u32 = 10;
/// Interval at which idle connections are checked during a drain, in seconds.
const DRAIN_CHECK_SECONDS: f64 = 0.05;

impl Node {
    /// Starts to serve once an older process has sent its whole snapshot and discovery has
    /// answered: by a list from before its start, the node would send requests to workers that have
    /// left since. Deferred management requests are handled as soon as the snapshot is complete.
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

    /// Whether an older process has not sent its whole snapshot yet.
    pub(super) fn is_waiting_for_snapshot(&self) -> bool {
        self.handover
            .as_ref()
            .is_some_and(Handover::is_waiting_for_snapshot)
    }

    /// Applies the stage of the lifecycle to the client connections: whether the readiness check
    /// succeeds, and whether a connection is closed after a response.
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

    /// Ends a drain, and returns the reply to the caller who requested that.
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
            ManagementReply::Unavailable
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

    /// Handles the stop signal: starts the shutdown, by a handover if a newer process of this node
    /// is linked.
    pub(super) fn stop(&mut self) {
        self.stop_signal.consume(&self.reactor);
        // A process that has not started to serve holds no request, and connections that wait at
        // the listener are left to another process. It exits at once.
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

    /// Checks whether the process can exit.
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

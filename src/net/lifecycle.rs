//! The node's lifecycle: whether it serves, wants new connections, and keeps its existing ones. A
//! state machine without I/O; callers pass the time, in seconds.

/// For this long after the start of a drain, in seconds, idle connections are kept open: the load
/// balancer in front may still send new connections and requests.
const DRAIN_GRACE_SECONDS: f64 = 0.5;
/// Time after the start of a drain, in seconds, by which all idle connections are closed. A request
/// that arrived on one later would still be in flight when the operators check the node.
const DRAIN_END_SECONDS: f64 = 1.8;
/// Idle time in seconds above which connections are closed at the end of the grace period. They are
/// closed first because they are the least likely to be used at that moment.
const INITIAL_MAX_IDLE_SECONDS: f64 = 2.0;

/// Stage of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The node can't serve requests yet.
    Starting,
    /// The node serves requests.
    Serving,
    /// The node serves requests, but wants no new connections.
    Draining,
    /// Another process of this node is taking over: this one answers its requests in flight, passes
    /// its connections on, and exits.
    HandingOver,
    /// The node answers its requests in flight and exits.
    Stopping,
}

/// The state of a node's lifecycle.
#[derive(Debug, Default)]
pub struct Lifecycle {
    started: bool,
    /// When the drain began, if the node is drained.
    draining_since: Option<f64>,
    stopped: bool,
    handing_over: bool,
}

impl Lifecycle {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        if self.stopped {
            if self.handing_over {
                Stage::HandingOver
            } else {
                Stage::Stopping
            }
        } else if !self.started {
            Stage::Starting
        } else if self.is_draining() {
            Stage::Draining
        } else {
            Stage::Serving
        }
    }

    /// Records that the node can serve requests from now on.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// Records the stop signal, and returns whether it is the first one. A stop can't be undone.
    pub fn stop(&mut self) -> bool {
        !std::mem::replace(&mut self.stopped, true)
    }

    /// Sets whether another process of this node takes over from this stopped one. If that process
    /// exits, this one resumes serving its connections until it exits itself.
    pub fn set_handing_over(&mut self, handing_over: bool) {
        self.handing_over = handing_over;
    }

    /// Drains the node. This is possible in every stage: a starting node then starts in the drained
    /// state, and a stopping node is being emptied already. Draining a node again changes nothing.
    pub fn drain(&mut self, now: f64) {
        self.draining_since.get_or_insert(now);
    }

    /// Ends the drain, if there is one, and returns whether that was possible. It is not possible
    /// while the node stops without a handover.
    pub fn activate(&mut self) -> bool {
        let possible = !self.stopped || self.handing_over;
        if possible {
            self.draining_since = None;
        }
        possible
    }

    /// Whether the node is drained, in any stage.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Returns when the drain began.
    pub fn draining_since(&self) -> Option<f64> {
        self.draining_since
    }

    /// Whether this process serves requests.
    pub fn is_serving(&self) -> bool {
        matches!(self.stage(), Stage::Serving | Stage::Draining)
    }

    /// Whether the node wants new connections. During a handover, the other process accepts them.
    pub fn wants_connections(&self) -> bool {
        match self.stage() {
            Stage::Serving => true,
            Stage::HandingOver => !self.is_draining(),
            _ => false,
        }
    }

    /// Whether a connection closes after its answer.
    pub fn closes_after_answer(&self) -> bool {
        matches!(self.stage(), Stage::Draining | Stage::Stopping)
    }

    /// Returns how long client connections may currently be idle during a drain, in seconds, or
    /// `None` if the usual limit applies. The time falls linearly to 0.
    pub fn max_idle_time(&self, now: f64) -> Option<f64> {
        let since = self.draining_since.filter(|_| !self.stopped)?;
        if now - since < DRAIN_GRACE_SECONDS {
            return None;
        }
        let left = (since + DRAIN_END_SECONDS - now).max(0.0);
        Some(INITIAL_MAX_IDLE_SECONDS * left / (DRAIN_END_SECONDS - DRAIN_GRACE_SECONDS))
    }
}

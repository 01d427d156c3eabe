//! The node's lifecycle: whether it serves, wants new connections, and keeps those it has. A state
//! machine without I/O; callers pass the time, in seconds.

/// For this long after a drain begins, in seconds, idle connections are left alone: the front may
/// still send new connections and requests.
const DRAIN_GRACE_SECONDS: f64 = 0.5;
/// All idle connections are closed by this long after a drain begins, in seconds: a request that
/// came on one later would still be in flight when the operators check the node.
const DRAIN_END_SECONDS: f64 = 1.8;
/// When closing begins, connections that have been idle for longer than this go first, in seconds:
/// they are the least likely to be used at that moment.
const INITIAL_MAX_IDLE_SECONDS: f64 = 2.0;

/// A stage of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The node can't serve yet.
    Starting,
    /// The node serves.
    Serving,
    /// The node serves, and wants no new connections.
    Draining,
    /// Another process of this node serves: this one answers its requests in flight, passes its
    /// connections on, and ends.
    HandingOver,
    /// The node answers its requests in flight, and ends.
    Stopping,
}

/// The state of one node's lifecycle.
#[derive(Debug, Default)]
pub struct Lifecycle {
    started: bool,
    /// When the drain began, if the node drains.
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

    /// Records that the node can serve from now on.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// Records the stop signal, and returns whether it is the first. A stop can't be undone.
    pub fn stop(&mut self) -> bool {
        !std::mem::replace(&mut self.stopped, true)
    }

    /// Sets whether another process of this node takes over from this stopped one. If that process
    /// ends, this one serves its connections again until it ends.
    pub fn set_handing_over(&mut self, handing_over: bool) {
        self.handing_over = handing_over;
    }

    /// Drains the node. Possible in every stage: a node that starts begins drained, one that stops
    /// is being emptied already. A drain of a draining node changes nothing.
    pub fn drain(&mut self, now: f64) {
        self.draining_since.get_or_insert(now);
    }

    /// Ends the drain, if there is one, and returns whether that was possible: not on a node that
    /// stops without a handover.
    pub fn activate(&mut self) -> bool {
        let possible = !self.stopped || self.handing_over;
        if possible {
            self.draining_since = None;
        }
        possible
    }

    /// Whether the node is drained, in whatever stage.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Returns when the drain began.
    pub fn draining_since(&self) -> Option<f64> {
        self.draining_since
    }

    /// Whether this process can serve.
    pub fn is_serving(&self) -> bool {
        matches!(self.stage(), Stage::Serving | Stage::Draining)
    }

    /// Whether the node wants new connections; during a handover, the other process does.
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

    /// Returns how long clients' connections may be idle now, in seconds, during a drain; `None` if
    /// the usual limit applies. The time falls to 0 over the drain.
    pub fn max_idle_time(&self, now: f64) -> Option<f64> {
        let since = self.draining_since.filter(|_| !self.stopped)?;
        if now - since < DRAIN_GRACE_SECONDS {
            return None;
        }
        let left = (since + DRAIN_END_SECONDS - now).max(0.0);
        Some(INITIAL_MAX_IDLE_SECONDS * left / (DRAIN_END_SECONDS - DRAIN_GRACE_SECONDS))
    }
}

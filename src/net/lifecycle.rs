//! The node's life: whether it serves, wants new clients, and keeps their connections. No I/O; it is told the
//! time, in seconds.

/// For so long after a drain begins the front may still send new connections, and what is idle is left alone.
const WINDOW: f64 = 0.5;
/// By then after it begins all idle connections are closed: a job that comes on one later would still be here when
/// the operators look.
const EMPTY: f64 = 1.8;
/// When closing begins, connections idle for longer go first: they are the least likely to be used just now.
const IDLE_FIRST: f64 = 2.0;

/// Where a node is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It can't serve yet.
    Starting,
    /// It serves.
    Serving,
    /// It serves, and wants no new clients.
    Draining,
    /// Another process of this node serves: it answers what it holds, gives its connections over, and ends.
    HandingOver,
    /// It answers what it holds, and ends.
    Stopping,
}

/// One node's life.
#[derive(Debug, Default)]
pub struct Lifecycle {
    started: bool,
    drained: Option<f64>,
    stopped: bool,
    handing: bool,
}

impl Lifecycle {
    /// Where it is.
    pub fn stage(&self) -> Stage {
        match (self.stopped, self.started, self.drained) {
            (true, ..) if self.handing => Stage::HandingOver,
            (true, ..) => Stage::Stopping,
            (_, false, _) => Stage::Starting,
            (.., Some(_)) => Stage::Draining,
            _ => Stage::Serving,
        }
    }

    /// It can serve from now on.
    pub fn start(&mut self) {
        self.started = true;
    }

    /// It was told to stop; whether for the first time. There is no way back.
    pub fn stop(&mut self) -> bool {
        !std::mem::replace(&mut self.stopped, true)
    }

    /// Whether another process of this node takes over from one that was told to stop. If that ends, this one is
    /// on its own again.
    pub fn set_handing_over(&mut self, handing: bool) {
        self.handing = handing;
    }

    /// An operator drains the node. Always heeded: a node that starts begins drained, one that stops is being
    /// emptied already. A second call changes nothing.
    pub fn drain(&mut self, now: f64) {
        self.drained.get_or_insert(now);
    }

    /// An operator ends the drain; whether that could be done: not on a node that ends. Without a drain there is
    /// nothing to do.
    pub fn activate(&mut self) -> bool {
        let can = !self.stopped || self.handing;
        if can {
            self.drained = None;
        }
        can
    }

    /// Whether an operator has drained it.
    pub fn is_draining(&self) -> bool {
        self.drained.is_some()
    }

    /// Since when.
    pub fn draining_since(&self) -> Option<f64> {
        self.drained
    }

    /// Whether this process can serve.
    pub fn is_serving(&self) -> bool {
        matches!(self.stage(), Stage::Serving | Stage::Draining)
    }

    /// Whether the node wants new clients; while it is handed over, the other process does.
    pub fn wants_connections(&self) -> bool {
        match self.stage() {
            Stage::Serving => true,
            Stage::HandingOver => self.drained.is_none(),
            _ => false,
        }
    }

    /// Whether answers end their connections.
    pub fn closes_after_answer(&self) -> bool {
        matches!(self.stage(), Stage::Draining | Stage::Stopping)
    }

    /// In a drain, how long clients' connections may lie idle now; `None` where as long as usual.
    pub fn max_idle_time(&self, now: f64) -> Option<f64> {
        let since = self.drained.filter(|_| !self.stopped)?;
        let left = (since + EMPTY - now).max(0.0);
        (now - since >= WINDOW).then_some(IDLE_FIRST * left / (EMPTY - WINDOW))
    }
}

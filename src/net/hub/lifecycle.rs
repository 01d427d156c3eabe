//! The node's life: whether it serves, wants new user agents, and keeps their connections. No I/O; it is told the
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
    /// It serves, and wants no new user agents.
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
    pub fn hand_over(&mut self, handing: bool) {
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
    pub fn drained(&self) -> bool {
        self.drained.is_some()
    }

    /// Since when.
    pub fn drained_at(&self) -> Option<f64> {
        self.drained
    }

    /// Whether this process can serve.
    pub fn serves(&self) -> bool {
        matches!(self.stage(), Stage::Serving | Stage::Draining)
    }

    /// Whether the node wants new user agents; while it is handed over, the other process does.
    pub fn wants(&self) -> bool {
        match self.stage() {
            Stage::Serving => true,
            Stage::HandingOver => self.drained.is_none(),
            _ => false,
        }
    }

    /// Whether answers end their connections.
    pub fn closes(&self) -> bool {
        matches!(self.stage(), Stage::Draining | Stage::Stopping)
    }

    /// In a drain, how long user agents' connections may lie idle now; `None` where as long as usual.
    pub fn idle(&self, now: f64) -> Option<f64> {
        let since = self.drained.filter(|_| !self.stopped)?;
        let left = (since + EMPTY - now).max(0.0);
        (now - since >= WINDOW).then_some(IDLE_FIRST * left / (EMPTY - WINDOW))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    /// Guards against idle connections that go at once, when the front still sends and requests still cross, or
    /// that are left when the operators look, 4 s after the call, with a job from the last 2 s on them.
    #[test]
    fn a_drain_lets_idle_connections_go_over_time() {
        let mut life = Lifecycle::default();
        life.start();
        assert_eq!(life.idle(10.0), None);
        life.drain(10.0);
        let at = |after: f64| life.idle(10.0 + after);
        assert!(at(0.0).is_none() && at(0.49).is_none());
        assert!(at(0.51).is_some_and(|idle| idle > 1.5));
        assert!(at(1.2) < at(0.9) && at(1.7) > Some(0.0));
        assert!((19..100).all(|tenth| at(f64::from(tenth) / 10.0) == Some(0.0)));
        assert!(life.activate() && life.idle(11.0).is_none() && life.wants() && !life.closes());
    }

    /// Guards against a stage that contradicts what was told, whatever the order: a model of four facts against
    /// random calls. Calls twice, a drain in a stop, an activate without a drain have their answers here.
    #[test]
    fn every_order_of_calls_has_its_answers() {
        let random = |calls: Vec<u8>| {
            let (mut life, mut model) = (Lifecycle::default(), (false, false, false, false));
            for (call, now) in calls.into_iter().zip(0u32..) {
                match call % 5 {
                    0 => {
                        life.start();
                        model.0 = true;
                    }
                    1 => {
                        life.drain(now.into());
                        model.1 = true;
                    }
                    2 => {
                        let can = !model.2 || model.3;
                        if life.activate() != can {
                            return false;
                        }
                        model.1 &= !can;
                    }
                    3 => {
                        life.hand_over(now % 2 == 0);
                        model.3 = now % 2 == 0;
                    }
                    _ => {
                        if life.stop() == model.2 {
                            return false;
                        }
                        model.2 = true;
                    }
                }
                let (started, drained, stopped, handing) = model;
                let serves = started && !stopped;
                let held = life.serves() == serves
                    && life.wants() == ((serves || stopped && handing) && !drained)
                    && life.closes() == (stopped && !handing || !stopped && started && drained)
                    && life.drained() == drained;
                if !held {
                    return false;
                }
            }
            true
        };
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(40, 13))
            .tests(500)
            .quickcheck(random as fn(Vec<u8>) -> bool);
    }
}

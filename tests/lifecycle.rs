//! Tests of the node's lifecycle with simulated calls and times.

use postproxy::net::lifecycle::Lifecycle;
use quickcheck::{Gen, QuickCheck};

/// Guards against closing idle connections as soon as a drain begins, while the load balancer in
/// front still sends requests and some are in transit. Also guards against keeping them open for so
/// long that a request that arrived on one within the last 2 s is in flight when the operators
/// check the node, 4 s after the call.
#[test]
fn a_drain_closes_idle_connections_over_time() {
    let mut lifecycle = Lifecycle::default();
    lifecycle.start();
    assert_eq!(lifecycle.max_idle_time(10.0), None);
    lifecycle.drain(10.0);
    let max_idle_after = |seconds: f64| lifecycle.max_idle_time(10.0 + seconds);
    assert!(max_idle_after(0.0).is_none() && max_idle_after(0.49).is_none());
    assert!(max_idle_after(0.51).is_some_and(|idle| idle > 1.5));
    assert!(max_idle_after(1.2) < max_idle_after(0.9) && max_idle_after(1.7) > Some(0.0));
    assert!((19..100).all(|tenth| max_idle_after(f64::from(tenth) / 10.0) == Some(0.0)));
    assert!(
        lifecycle.activate()
            && lifecycle.max_idle_time(11.0).is_none()
            && lifecycle.wants_connections()
            && !lifecycle.closes_after_answer()
    );
}

/// Model of a lifecycle: the effects of the calls that it has received.
#[derive(Clone, Copy, Default)]
struct Model {
    started: bool,
    drained: bool,
    stopped: bool,
    handing_over: bool,
}

impl Model {
    /// Whether the lifecycle is in the state that the model predicts.
    fn agrees_with(self, lifecycle: &Lifecycle) -> bool {
        let serves = self.started && !self.stopped;
        let wants_connections = (serves || self.stopped && self.handing_over) && !self.drained;
        let closes_after_answer =
            self.stopped && !self.handing_over || !self.stopped && self.started && self.drained;
        lifecycle.is_serving() == serves
            && lifecycle.wants_connections() == wants_connections
            && lifecycle.closes_after_answer() == closes_after_answer
            && lifecycle.is_draining() == self.drained
    }
}

/// Guards against a stage that contradicts the calls, for any order of calls. Compares the
/// lifecycle with a model of four flags under random calls. These include repeated calls, a drain
/// during a stop and an activation without a drain.
#[test]
fn every_order_of_calls_agrees_with_the_model() {
    let agrees = |calls: Vec<u8>| {
        let mut lifecycle = Lifecycle::default();
        let mut model = Model::default();
        for (call, now) in calls.into_iter().zip(0u32..) {
            match call % 5 {
                0 => {
                    lifecycle.start();
                    model.started = true;
                }
                1 => {
                    lifecycle.drain(now.into());
                    model.drained = true;
                }
                2 => {
                    let possible = !model.stopped || model.handing_over;
                    if lifecycle.activate() != possible {
                        return false;
                    }
                    model.drained &= !possible;
                }
                3 => {
                    lifecycle.set_handing_over(now % 2 == 0);
                    model.handing_over = now % 2 == 0;
                }
                _ => {
                    if lifecycle.stop() == model.stopped {
                        return false;
                    }
                    model.stopped = true;
                }
            }
            if !model.agrees_with(&lifecycle) {
                return false;
            }
        }
        true
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 13))
        .tests(500)
        .quickcheck(agrees as fn(Vec<u8>) -> bool);
}

//! A node's life, with told calls and times.

use postproxy::net::lifecycle::Lifecycle;
use quickcheck::{Gen, QuickCheck};

/// Guards against idle connections that go at once, when the front still sends and requests still cross, or
/// that are left when the operators look, 4 s after the call, with a job from the last 2 s on them.
#[test]
fn a_drain_lets_idle_connections_go_over_time() {
    let mut life = Lifecycle::default();
    life.start();
    assert_eq!(life.max_idle_time(10.0), None);
    life.drain(10.0);
    let at = |after: f64| life.max_idle_time(10.0 + after);
    assert!(at(0.0).is_none() && at(0.49).is_none());
    assert!(at(0.51).is_some_and(|idle| idle > 1.5));
    assert!(at(1.2) < at(0.9) && at(1.7) > Some(0.0));
    assert!((19..100).all(|tenth| at(f64::from(tenth) / 10.0) == Some(0.0)));
    assert!(
        life.activate()
            && life.max_idle_time(11.0).is_none()
            && life.wants_connections()
            && !life.closes_after_answer()
    );
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
                    life.set_handing_over(now % 2 == 0);
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
            let held = life.is_serving() == serves
                && life.wants_connections() == ((serves || stopped && handing) && !drained)
                && life.closes_after_answer()
                    == (stopped && !handing || !stopped && started && drained)
                && life.is_draining() == drained;
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

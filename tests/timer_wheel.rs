//! The timer wheel, with times that the test passes in.

use postproxy::net::transport::timer_wheel::TimerWheel;
use quickcheck::{Gen, QuickCheck};

/// Guards against a timer that expires early, late, twice, never, or out of order, including timers
/// that are further ahead than one turn of the wheel.
#[test]
fn timers_expire_once_in_order_and_on_time() {
    fn holds(steps: Vec<(u16, u8)>) -> bool {
        let mut now = 1000.0;
        let mut wheel = TimerWheel::new(0.002, now);
        let mut open: Vec<(f64, usize)> = Vec::new();
        for (number, (ahead, pass)) in steps.into_iter().enumerate() {
            let at = now + f64::from(ahead) * 0.001;
            wheel.insert(at, (at, number));
            open.push((at, number));
            let next = wheel.next();
            if !next.is_some_and(|next| open.iter().all(|(at, _)| next <= at.max(now) + 0.0041)) {
                return false;
            }
            now += f64::from(pass) * 0.03;
            let mut last = 0.0;
            for (at, number) in wheel.advance(now) {
                let was_open = open
                    .iter()
                    .position(|&(_, other)| other == number)
                    .map(|i| open.remove(i))
                    .is_some();
                if !was_open || at > now + 1e-9 || at + 0.004 < last {
                    return false;
                }
                last = at;
            }
            if open.iter().any(|(at, _)| at + 0.0041 < now) {
                return false;
            }
        }
        wheel.advance(now + 100.0).len() == open.len() && wheel.next().is_none()
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(400);
    check.quickcheck(holds as fn(Vec<(u16, u8)>) -> bool);
}

/// Guards against a time that is not a number, or out of range, stopping the wheel or the program.
#[test]
fn invalid_times_are_accepted() {
    let mut wheel = TimerWheel::new(0.002, 5.0);
    for at in [f64::NAN, f64::NEG_INFINITY, -1.0, f64::INFINITY, 1e300] {
        wheel.insert(at, ());
    }
    assert_eq!(wheel.advance(5.01).len(), 3);
    assert_eq!(wheel.advance(500.0).len(), 0);
}

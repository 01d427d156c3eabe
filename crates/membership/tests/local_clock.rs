//! The local clock: a pause of the process isn't counted, and the clock runs slower after it.

use postproxy_membership::LocalClock;

#[test]
fn pause_does_not_count_and_slows_the_clock_down() {
    let mut clock = LocalClock::new(0.0);
    assert!(
        (clock.advance(1.0, Some(1.0)) - 1.0).abs() < 1e-9,
        "all time counts for a call that is on time"
    );
    let before = clock.local_time();
    let after = clock.advance(61.0, Some(before + 0.1));
    assert!(
        after - before < 0.2,
        "a pause of a minute: {}",
        after - before
    );
    assert!(clock.skipped_seconds() > 59.0 && clock.slowdown() > 7.0);
    // A call before its deadline isn't late.
    let local_time = clock.local_time();
    let slowdown = clock.slowdown();
    clock.advance(61.05, Some(local_time + 10.0));
    assert!(clock.slowdown() < slowdown);
    // It recovers with calls that are on time.
    for n in 0..400 {
        let deadline = clock.local_time() + 0.01;
        let now = clock
            .wall_time_at(deadline)
            .max(61.05 + f64::from(n) * 1e-6);
        clock.advance(now, Some(deadline));
    }
    assert!(clock.slowdown() < 8.0);
    let before = clock.local_time();
    clock.advance(0.0, None);
    assert!(
        (clock.local_time() - before).abs() < 1e-9,
        "a wall clock that is set back doesn't move the local one"
    );
}

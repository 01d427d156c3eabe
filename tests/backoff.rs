//! The waits between retries of an operation that keeps failing.

use postproxy::net::upstream::backoff::{Backoff, ClusterPosition};

/// Guards against nodes that know each other but retry at the same time.
#[test]
fn cluster_positions_spread_the_waits() {
    let second = |at| {
        let mut waits = Backoff::new(0.1, 5.0, 7);
        waits.set_cluster_position(ClusterPosition {
            index: at,
            node_count: 10,
        });
        waits.next_wait();
        waits.next_wait()
    };
    let waits: Vec<f64> = (0..10).map(second).collect();
    assert!(
        waits
            .windows(2)
            .all(|pair| (pair[1] - pair[0] - 0.01).abs() < 1e-9),
        "{waits:?}"
    );
    let mut alone = Backoff::new(0.1, 5.0, 7);
    alone.set_cluster_position(ClusterPosition {
        index: 0,
        node_count: 1,
    });
    let mut plain = Backoff::new(0.1, 5.0, 7);
    for _ in 0..9 {
        assert_eq!(
            alone.next_wait().to_bits(),
            plain.next_wait().to_bits(),
            "a node that knows no other waits as before"
        );
    }
}

/// Guards against a long first wait, steps that do not grow or grow without end, and nodes that
/// retry together.
#[test]
fn waits_grow_to_their_limit_and_differ_by_seed() {
    let waits = |seed| {
        let mut backoff = Backoff::new(0.1, 2.0, seed);
        (0..40).map(|_| backoff.next_wait()).collect::<Vec<f64>>()
    };
    let one = waits(1);
    let other = waits(2);
    assert_eq!(one[0], 0.1);
    for (step, wait) in one.iter().enumerate().skip(1) {
        let full = (0.1 * 2f64.powi(step as i32)).min(2.0);
        assert!((full / 2.0..=full).contains(wait), "step {step}: {wait}");
    }
    assert!(one.iter().zip(&other).skip(1).all(|(a, b)| a != b));
    let mut backoff = Backoff::new(0.1, 2.0, 1);
    backoff.next_wait();
    backoff.next_wait();
    backoff.reset();
    assert_eq!(backoff.next_wait(), 0.1);
}

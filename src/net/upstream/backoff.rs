//! Exponential backoff with jitter: growing waits between attempts at something that keeps failing.
//! It holds no clock and returns durations.

use crate::decision::random::Random;

/// The exponent at which the wait stops doubling, so that `2^step` stays finite; every maximum is
/// reached long before.
const MAX_DOUBLINGS: i32 = 30;

/// This node's position among the nodes of its cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterPosition {
    /// This node's index, counted from 0.
    pub index: usize,
    /// The number of nodes, this one included.
    pub node_count: usize,
}

/// The waits between attempts, in seconds.
#[derive(Debug)]
pub struct Backoff {
    first_seconds: f64,
    max_seconds: f64,
    /// The number of waits since the last reset, which is the exponent of the next one.
    step: i32,
    rng: Random,
    /// This node's position among others that may fail at the same moment, if it is known.
    position: Option<ClusterPosition>,
}

impl Backoff {
    /// Creates waits that begin at `first_seconds` and double up to `max_seconds`; `seed` sets the
    /// jitter.
    pub fn new(first_seconds: f64, max_seconds: f64, seed: u64) -> Self {
        Self {
            first_seconds,
            max_seconds,
            step: 0,
            rng: Random::new(seed),
            position: None,
        }
    }

    /// Spreads waits by this position instead of at random, so that no two nodes that know each
    /// other retry together. A node that knows no other keeps its random jitter.
    pub fn set_cluster_position(&mut self, position: ClusterPosition) {
        self.position = (position.node_count > 1).then_some(position);
    }

    /// Returns the next wait in seconds. After the first it lies in the upper half of its step, so
    /// that many nodes that failed together don't retry together.
    pub fn next_wait(&mut self) -> f64 {
        let full = (self.first_seconds * 2f64.powi(self.step)).min(self.max_seconds);
        self.step = (self.step + 1).min(MAX_DOUBLINGS);
        // Drawn even where the position decides, so that the sequence of draws doesn't depend on
        // it.
        let random = self.rng.uniform();
        let spread = self.position.map_or(random, |position| {
            position.index as f64 / position.node_count as f64
        });
        if self.step == 1 {
            full
        } else {
            full * (0.5 + 0.5 * spread)
        }
    }

    /// Begins again with the first wait, after a success.
    pub fn reset(&mut self) {
        self.step = 0;
    }
}

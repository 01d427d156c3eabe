//! Exponential backoff with jitter: growing waits between retries of an operation that keeps
//! failing. It has no clock and returns durations.

use crate::decision::random::Random;

/// The exponent at which the wait stops doubling, so that `2^step` stays finite; the maximum wait
/// is reached long before.
const MAX_DOUBLINGS: i32 = 30;

/// This node's position among the nodes of its cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterPosition {
    /// This node's index, counted from 0.
    pub index: usize,
    /// The number of nodes, this one included.
    pub node_count: usize,
}

/// The waits between retries, in seconds.
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
    /// Creates waits that start at `first_seconds` and double up to `max_seconds`; `seed` sets the
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

    /// Spreads the waits by this position instead of at random, so that nodes that know each other
    /// don't retry together. A node that knows no other keeps its random jitter.
    pub fn set_cluster_position(&mut self, position: ClusterPosition) {
        self.position = (position.node_count > 1).then_some(position);
    }

    /// Returns the next wait in seconds. Each wait after the first is jittered between half and all
    /// of its full length, so that nodes that failed together don't retry together.
    pub fn next_wait(&mut self) -> f64 {
        let full = (self.first_seconds * 2f64.powi(self.step)).min(self.max_seconds);
        self.step = (self.step + 1).min(MAX_DOUBLINGS);
        // Drawn even if the position is used instead, so that the sequence of random numbers
        // doesn't depend on it.
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

    /// Starts over with the first wait, after a success.
    pub fn reset(&mut self) {
        self.step = 0;
    }
}

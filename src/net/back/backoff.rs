//! Growing, jittered waits between attempts at something that keeps failing. No clock: it gives lengths.

use crate::random::Random;

/// The waits, in seconds.
#[derive(Debug)]
pub struct Backoff {
    first: f64,
    most: f64,
    step: i32,
    rng: Random,
}

impl Backoff {
    /// Waits that begin at `first` and double up to `most`; the jitter follows from the seed.
    pub fn new(first: f64, most: f64, seed: u64) -> Self {
        Self { first, most, step: 0, rng: Random::new(seed) }
    }

    /// The next wait, somewhere in the upper half of its step: many that failed together do not come together.
    pub fn wait(&mut self) -> f64 {
        let whole = (self.first * 2f64.powi(self.step)).min(self.most);
        self.step = (self.step + 1).min(30);
        if self.step == 1 { whole } else { whole * (0.5 + 0.5 * self.rng.uniform()) }
    }

    /// It has worked: the next wait is a first one.
    pub fn reset(&mut self) {
        self.step = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a first wait that is long, steps that do not grow or grow without end, and nodes that
    /// call in step with each other.
    #[test]
    fn waits_grow_to_their_limit_and_differ_by_seed() {
        let waits = |seed| {
            let mut backoff = Backoff::new(0.1, 2.0, seed);
            (0..40).map(|_| backoff.wait()).collect::<Vec<f64>>()
        };
        let (one, other) = (waits(1), waits(2));
        assert_eq!(one[0], 0.1);
        for (step, wait) in one.iter().enumerate().skip(1) {
            let whole = (0.1 * 2f64.powi(step as i32)).min(2.0);
            assert!((whole / 2.0..=whole).contains(wait), "step {step}: {wait}");
        }
        assert!(one.iter().zip(&other).skip(1).all(|(a, b)| a != b));
        let mut backoff = Backoff::new(0.1, 2.0, 1);
        backoff.wait();
        backoff.wait();
        backoff.reset();
        assert_eq!(backoff.wait(), 0.1);
    }
}

//! Growing, jittered waits between attempts at something that keeps failing. No clock: it gives lengths.

use crate::random::Random;

/// The waits, in seconds.
#[derive(Debug)]
pub struct Backoff {
    first: f64,
    most: f64,
    step: i32,
    rng: Random,
    /// This node's place among others that may be in the same need, and their number, where known.
    place: Option<(usize, usize)>,
}

impl Backoff {
    /// Waits that begin at `first` and double up to `most`; the jitter follows from the seed.
    pub fn new(first: f64, most: f64, seed: u64) -> Self {
        Self { first, most, step: 0, rng: Random::new(seed), place: None }
    }

    /// From now on waits are spread by places instead of by chance: no two that know each other come together.
    pub fn place(&mut self, at: usize, of: usize) {
        self.place = (of > 1).then_some((at, of));
    }

    /// The next wait, somewhere in the upper half of its step: many that failed together do not come together.
    pub fn wait(&mut self) -> f64 {
        let whole = (self.first * 2f64.powi(self.step)).min(self.most);
        self.step = (self.step + 1).min(30);
        let chance = self.rng.uniform();
        let spread = self.place.map_or(chance, |(at, of)| at as f64 / of as f64);
        if self.step == 1 { whole } else { whole * (0.5 + 0.5 * spread) }
    }

    /// It has worked: the next wait is a first one.
    pub fn reset(&mut self) {
        self.step = 0;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against nodes that know each other and come at one moment all the same.
    #[test]
    fn nodes_that_know_each_other_come_one_after_another() {
        let second = |at| {
            let mut waits = Backoff::new(0.1, 5.0, 7);
            waits.place(at, 10);
            waits.wait();
            waits.wait()
        };
        let waits: Vec<f64> = (0..10).map(second).collect();
        assert!(waits.windows(2).all(|pair| (pair[1] - pair[0] - 0.01).abs() < 1e-9), "{waits:?}");
        let mut alone = Backoff::new(0.1, 5.0, 7);
        alone.place(0, 1);
        let mut plain = Backoff::new(0.1, 5.0, 7);
        for _ in 0..9 {
            assert_eq!(
                alone.wait().to_bits(),
                plain.wait().to_bits(),
                "one that knows nobody waits as before"
            );
        }
    }

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

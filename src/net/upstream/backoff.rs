//! Growing, jittered waits between attempts at something that keeps failing. No clock: it gives lengths.

use crate::decision::random::Random;

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
        Self {
            first,
            most,
            step: 0,
            rng: Random::new(seed),
            place: None,
        }
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
        if self.step == 1 {
            whole
        } else {
            whole * (0.5 + 0.5 * spread)
        }
    }

    /// It has worked: the next wait is a first one.
    pub fn reset(&mut self) {
        self.step = 0;
    }
}

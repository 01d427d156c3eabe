//! Seeded random numbers that are the same on every machine.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The random number generator of a dispatcher.
#[derive(Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// Returns a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a random number in the range from 0 up to but excluding 1.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws an index with a probability in proportion to its tickets; `None` if the slice is
    /// empty.
    pub fn lottery(&mut self, tickets: &[f64]) -> Option<usize> {
        let mut at = self.uniform() * tickets.iter().sum::<f64>();
        for (i, ticket) in tickets.iter().enumerate() {
            at -= ticket;
            if at < 0.0 {
                return Some(i);
            }
        }
        tickets.len().checked_sub(1)
    }
}

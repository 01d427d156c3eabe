//! Random numbers from a seed, the same on every machine.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A dispatcher's random numbers.
#[derive(Debug)]
pub struct Random(Pcg64Mcg);

impl Random {
    /// Numbers that follow from the seed.
    pub fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number of at least 0 and under 1.
    pub fn uniform(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws an index with chances in proportion to the tickets; `None` if there are none.
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

//! What may be told only once the writes before it are durable.

use std::collections::VecDeque;

/// Counts writes, and holds back what rests on them.
#[derive(Debug)]
pub struct DurabilityGate<T> {
    written: u64,
    durable: u64,
    held: VecDeque<(u64, T)>,
}

impl<T> Default for DurabilityGate<T> {
    fn default() -> Self {
        Self {
            written: 0,
            durable: 0,
            held: VecDeque::new(),
        }
    }
}

impl<T> DurabilityGate<T> {
    /// The number of another write.
    pub fn write(&mut self) -> u64 {
        self.written += 1;
        self.written
    }

    /// Holds this back until all writes so far are durable.
    pub fn hold(&mut self, what: T) {
        self.held.push_back((self.written, what));
    }

    /// All writes up to this one are durable.
    pub fn durable(&mut self, number: u64) {
        self.durable = self.durable.max(number);
    }

    /// The next that may be told.
    pub fn free(&mut self) -> Option<T> {
        self.held
            .pop_front_if(|(after, _)| *after <= self.durable)
            .map(|(_, what)| what)
    }

    /// How much is held back.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}

//! Holds messages back until the writes before them are durable.

use std::collections::VecDeque;

/// Numbers writes, and holds items back until all writes that began before them are durable.
#[derive(Debug)]
pub struct DurabilityGate<T> {
    last_write: u64,
    last_durable: u64,
    /// The items held back, each with the number of the write that it waits for.
    pending: VecDeque<(u64, T)>,
}

impl<T> Default for DurabilityGate<T> {
    fn default() -> Self {
        Self {
            last_write: 0,
            last_durable: 0,
            pending: VecDeque::new(),
        }
    }
}

impl<T> DurabilityGate<T> {
    /// Begins a write and returns its number; the first one is 1.
    pub fn begin_write(&mut self) -> u64 {
        self.last_write += 1;
        self.last_write
    }

    /// Holds an item back until all writes that have begun so far are durable.
    pub fn hold(&mut self, item: T) {
        self.pending.push_back((self.last_write, item));
    }

    /// Records that all writes up to this number are durable.
    pub fn record_durable(&mut self, number: u64) {
        self.last_durable = self.last_durable.max(number);
    }

    /// Removes and returns the oldest held-back item, if its writes are durable.
    pub fn pop_released(&mut self) -> Option<T> {
        self.pending
            .pop_front_if(|(write, _)| *write <= self.last_durable)
            .map(|(_, item)| item)
    }

    /// Returns how many items are held back.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }
}

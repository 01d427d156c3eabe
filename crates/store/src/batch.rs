//! Changes that count all or none, owned.

use crate::frame::{self, Change};

/// Changes that count all or none. They are kept as they will be written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    content: Vec<u8>,
}

impl Batch {
    /// No changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a put; `until` is when it expires, in milliseconds of Unix time, 0 for never.
    #[must_use]
    pub fn put(mut self, key: &[u8], value: &[u8], until: u64) -> Self {
        Change::Put { key, value, until }.encode(&mut self.content);
        self
    }

    /// Adds a delete.
    #[must_use]
    pub fn delete(mut self, key: &[u8]) -> Self {
        Change::Delete { key }.encode(&mut self.content);
        self
    }

    /// How many bytes it takes.
    pub fn size(&self) -> usize {
        self.content.len()
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// Its changes.
    pub fn changes(&self) -> impl Iterator<Item = Change<'_>> {
        frame::changes(&self.content).map(|(_, change)| change)
    }
}

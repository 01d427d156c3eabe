//! An owned batch of changes that are applied atomically.

use crate::frame::{self, Change};

/// Changes that are applied atomically, in the encoding in which they are written to the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    content: Vec<u8>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a put that expires at `expires_at_ms`, in milliseconds of Unix time; 0 if it never
    /// expires.
    #[must_use]
    pub fn put(mut self, key: &[u8], value: &[u8], expires_at_ms: u64) -> Self {
        let change = Change::Put {
            key,
            value,
            expires_at_ms,
        };
        change.encode(&mut self.content);
        self
    }

    /// Adds a delete.
    #[must_use]
    pub fn delete(mut self, key: &[u8]) -> Self {
        Change::Delete { key }.encode(&mut self.content);
        self
    }

    /// The encoded size in bytes.
    pub fn size(&self) -> usize {
        self.content.len()
    }

    /// Whether the batch has no changes.
    pub fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    /// The changes, in the order in which they were added.
    pub fn changes(&self) -> impl Iterator<Item = Change<'_>> {
        frame::changes(&self.content).map(|(_, change)| change)
    }
}

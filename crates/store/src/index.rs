//! The in-memory index: the location of the newest value of each key. No I/O.

use hashbrown::HashMap;

/// Approximate overhead of the allocator for each key.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;

/// The location of a put in the log. Its fields have 32 bits to save memory, since the index holds
/// one location for each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The number of the segment. 32 bits are enough: a store writes far fewer segments over its
    /// lifetime.
    pub segment: u32,
    /// Offset of its frame in the segment's file.
    pub frame: u32,
    /// Offset of the put in the frame's content.
    pub change: u32,
    /// Bytes of the file that are attributed to the put: its encoded size and, for the first change
    /// of a frame, the frame's header.
    pub bytes: u32,
}

/// An update of the index.
#[derive(Clone, Debug)]
pub struct IndexUpdate {
    /// The key.
    pub key: Box<[u8]>,
    /// The new location of its value; `None` if the key is removed.
    pub location: Option<RecordLocation>,
}

/// The locations of all live records by key.
#[derive(Debug, Default)]
pub struct Index {
    locations: HashMap<Box<[u8]>, RecordLocation>,
    live_bytes: u64,
}

impl Index {
    /// The number of keys that have a value.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no key has a value.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Total of [`RecordLocation::bytes`] over all keys.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Returns the location of a key's value.
    pub fn get(&self, key: &[u8]) -> Option<RecordLocation> {
        self.locations.get(key).copied()
    }

    /// Sets the location of a key and returns the previous one, whose record is no longer live.
    pub fn put(&mut self, key: Box<[u8]>, location: RecordLocation) -> Option<RecordLocation> {
        self.live_bytes += u64::from(location.bytes);
        let previous = self.locations.insert(key, location);
        self.live_bytes -= previous.map_or(0, |previous| u64::from(previous.bytes));
        previous
    }

    /// Removes a key and returns the location that it had.
    pub fn remove(&mut self, key: &[u8]) -> Option<RecordLocation> {
        let previous = self.locations.remove(key);
        self.live_bytes -= previous.map_or(0, |previous| u64::from(previous.bytes));
        previous
    }

    /// All keys with their locations, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], RecordLocation)> {
        self.locations.iter().map(|(key, at)| (&**key, *at))
    }

    /// Memory that the index uses in addition to the bytes of the keys: the allocated hash table,
    /// and the approximate overhead of the allocator for each key.
    pub fn overhead_bytes(&self) -> usize {
        self.locations.allocation_size() + self.locations.len() * ALLOCATION_OVERHEAD_BYTES
    }
}

//! The index in memory: where the newest value of each key is. No I/O.

use hashbrown::HashMap;

/// What an allocator adds to the bytes of each key, roughly.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;

/// Where a put is. Four numbers of 32 bits, since the index holds one for each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The number of the segment. A store reaches its end long before these numbers do.
    pub segment: u32,
    /// Where in the file its frame begins.
    pub frame: u32,
    /// Where in the frame's content it begins.
    pub change: u32,
    /// The bytes that are accounted to it.
    pub bytes: u32,
}

/// A change of the index.
#[derive(Clone, Debug)]
pub struct IndexUpdate {
    /// The key.
    pub key: Box<[u8]>,
    /// Where its value is from now on; `None` if it has none.
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

    /// Bytes on the disk that are accounted to the newest values.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Returns where the value of a key is.
    pub fn get(&self, key: &[u8]) -> Option<RecordLocation> {
        self.locations.get(key).copied()
    }

    /// Sets the location of a key and returns the previous one, which no longer counts.
    pub fn put(&mut self, key: Box<[u8]>, location: RecordLocation) -> Option<RecordLocation> {
        self.live_bytes += u64::from(location.bytes);
        let previous = self.locations.insert(key, location);
        self.live_bytes -= previous.map_or(0, |previous| u64::from(previous.bytes));
        previous
    }

    /// Removes a key and returns its location.
    pub fn remove(&mut self, key: &[u8]) -> Option<RecordLocation> {
        let previous = self.locations.remove(key);
        self.live_bytes -= previous.map_or(0, |previous| u64::from(previous.bytes));
        previous
    }

    /// All keys with their locations, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], RecordLocation)> {
        self.locations.iter().map(|(key, at)| (&**key, *at))
    }

    /// Memory that the index takes beside the keys themselves, in bytes: its table at its present
    /// size, and what an allocator adds to each key.
    pub fn overhead_bytes(&self) -> usize {
        self.locations.allocation_size() + self.locations.len() * ALLOCATION_OVERHEAD_BYTES
    }
}

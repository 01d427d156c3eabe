//! The index in memory: where the newest value of each key is. No I/O.

use hashbrown::HashMap;

/// Where a put is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The segment's number; a store ends long before its segments' numbers no longer fit.
    pub segment: u32,
    /// Where in the file its frame begins.
    pub frame: u32,
    /// Where in the frame's content it begins.
    pub change: u32,
    /// How many bytes it accounts for.
    pub bytes: u32,
}

/// What becomes of a key.
#[derive(Clone, Debug)]
pub struct Update {
    /// The key.
    pub key: Box<[u8]>,
    /// Where its value is now; `None` for nowhere.
    pub place: Option<Place>,
}

/// Keys and places.
#[derive(Debug, Default)]
pub struct Index {
    places: HashMap<Box<[u8]>, Place>,
    live: u64,
}

impl Index {
    /// How many keys have a value.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none has.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Bytes that the newest values account for.
    pub fn live(&self) -> u64 {
        self.live
    }

    /// Where the value of a key is.
    pub fn get(&self, key: &[u8]) -> Option<Place> {
        self.places.get(key).copied()
    }

    /// Sets a key's place; the one that it had no longer counts, and is returned.
    pub fn put(&mut self, key: Box<[u8]>, place: Place) -> Option<Place> {
        self.live += u64::from(place.bytes);
        let old = self.places.insert(key, place);
        self.live -= old.map_or(0, |old| u64::from(old.bytes));
        old
    }

    /// Takes a key out; the place that it had.
    pub fn remove(&mut self, key: &[u8]) -> Option<Place> {
        let old = self.places.remove(key);
        self.live -= old.map_or(0, |old| u64::from(old.bytes));
        old
    }

    /// All keys with their places, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], Place)> {
        self.places.iter().map(|(key, place)| (&**key, *place))
    }

    /// Bytes of memory that the index takes, beside the keys themselves: its table at its present size, and
    /// what an allocator adds to each key.
    pub fn overhead(&self) -> usize {
        const ALLOCATION: usize = 16;
        self.places.allocation_size() + self.places.len() * ALLOCATION
    }
}

//! What the engine is given and what it reports: options, errors, recovery report, statistics.

use crate::frame;
use std::fmt;
use std::io;

/// How a store is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The size at which a segment is closed and a new one begun, in bytes.
    pub segment_bytes: u64,
    /// Limit on the bytes of all files, one copy; 0 for none. Puts beyond it are rejected.
    pub max_bytes: u64,
    /// Space amplification from which on the oldest segments are cleaned: bytes of files over live
    /// bytes.
    pub max_space_ratio: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
            max_bytes: 0,
            max_space_ratio: 1.7,
        }
    }
}

/// Why a store can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// An error of the disk, with the file or folder it concerns.
    Io(String, io::Error),
    /// A file has a format version that this program doesn't know.
    Version {
        /// The file.
        file: String,
        /// Its version.
        version: u32,
    },
    /// This file belongs to another store than the files before it.
    Mixed(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Version { file, version } => {
                write!(
                    f,
                    "{file}: format version {version}; this program knows version {}",
                    frame::FORMAT_VERSION
                )
            }
            Self::Mixed(file) => write!(
                f,
                "{file}: belongs to another store than the files beside it"
            ),
        }
    }
}

impl std::error::Error for OpenError {}

/// Why a batch is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The batch is empty, or a key or the whole batch is too long.
    TooLong,
    /// The files have reached their limit.
    Full,
}

/// What a recovery found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The number of segments that count.
    pub segments: usize,
    /// The number of keys that have a value.
    pub live_keys: usize,
    /// Bytes of all files, one copy.
    pub file_bytes: u64,
    /// Bytes behind the last intact frame, none of which had been acknowledged.
    pub torn_bytes: u64,
    /// Frames that had been acknowledged and are gone.
    pub lost: Vec<LostFrames>,
    /// Files that were restored from their copies.
    pub repaired: Vec<String>,
}

/// A range of frames that are gone though they had been acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFrames {
    /// The segment that held them.
    pub segment: u64,
    /// The first sequence number of the range.
    pub first_seq: u64,
    /// The last sequence number of the range.
    pub last_seq: u64,
}

/// Figures of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statistics {
    /// The number of keys that have a value.
    pub live_keys: usize,
    /// Bytes on the disk that these account for.
    pub live_bytes: u64,
    /// Bytes of all files, one copy.
    pub file_bytes: u64,
    /// The number of segments.
    pub segments: usize,
    /// Memory of the index beside its keys, in bytes.
    pub index_bytes: usize,
    /// The last sequence number that is durable.
    pub durable_seq: u64,
    /// Bytes that cleaning has copied since the start.
    pub copied_bytes: u64,
}

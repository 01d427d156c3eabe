//! Types of the engine's interface: options, errors, recovery report, statistics.

use crate::frame;
use std::fmt;
use std::io;

/// Options of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The size from which a segment is sealed and a new one begun, in bytes.
    pub segment_bytes: u64,
    /// Limit on the total size of the segments in bytes, not counting the mirror; 0 for none. Puts
    /// that would exceed it are rejected.
    pub max_bytes: u64,
    /// Space amplification (file bytes divided by live bytes) above which the oldest segments are
    /// compacted. An excess of up to one segment is always allowed.
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
    /// An I/O error, with the file or folder that it concerns.
    Io(String, io::Error),
    /// A file has a format version that this program doesn't support.
    UnsupportedVersion {
        /// The file.
        file: String,
        /// Its format version.
        version: u32,
    },
    /// This file belongs to a different store than the files that were read before it.
    StoreMismatch(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::UnsupportedVersion { file, version } => {
                write!(
                    f,
                    "{file}: format version {version} is not supported; this program supports version {}",
                    frame::FORMAT_VERSION
                )
            }
            Self::StoreMismatch(file) => write!(
                f,
                "{file}: belongs to a different store than the other files"
            ),
        }
    }
}

impl std::error::Error for OpenError {}

/// Why a batch is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The batch is empty, or a key or the whole batch is too long.
    InvalidSize,
    /// The batch would bring the files over [`Options::max_bytes`].
    Full,
}

/// The report of a recovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// The number of segments, without those that were obsolete.
    pub segments: usize,
    /// The number of keys that have a value.
    pub live_keys: usize,
    /// Total size of the segments in bytes, not counting the mirror.
    pub file_bytes: u64,
    /// Bytes after the last intact frame, none of which had been acknowledged.
    pub torn_bytes: u64,
    /// Acknowledged frames that are lost.
    pub lost: Vec<LostFrames>,
    /// Files that were restored from their copies.
    pub repaired: Vec<String>,
}

/// A range of acknowledged frames that are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostFrames {
    /// The segment that they were in.
    pub segment: u64,
    /// The first sequence number of the range.
    pub first_seq: u64,
    /// The last sequence number of the range.
    pub last_seq: u64,
}

/// Statistics of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statistics {
    /// The number of keys that have a value.
    pub live_keys: usize,
    /// Bytes of the files that these keys use.
    pub live_bytes: u64,
    /// Total size of the segments in bytes, not counting the mirror.
    pub file_bytes: u64,
    /// The number of segments.
    pub segments: usize,
    /// Memory of the index in addition to its keys, in bytes.
    pub index_bytes: usize,
    /// The sequence number of the last durable frame.
    pub durable_seq: u64,
    /// Bytes that compaction has copied since the store was opened.
    pub copied_bytes: u64,
}

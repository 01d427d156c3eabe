//! The single-threaded engine of the store: append, commit, read, compaction and recovery. It
//! accesses files only through [`Disk`], and blocks on nothing but the disk.
//!
//! # Crash model
//!
//! A frame is acknowledged when an [`Engine::commit`] after its append returns without error.
//! Segments are written in order, and each is synced before the next one begins; all frames before
//! an acknowledged one are therefore acknowledged too. After a crash, any subset of the writes that
//! were not synced may be on the disk. Recovery has to distinguish a torn write at the end of the
//! last segment, which was never acknowledged, from damage to acknowledged frames. Each frame
//! records which frames were durable when it was made: an intact frame after a gap shows that the
//! missing ones had been acknowledged.

mod compaction;
mod read;
mod recovery;
mod segment;
mod types;
mod write;

pub use types::{AppendError, LostFrames, OpenError, Options, Recovery, Statistics};

use crate::disk::Disk;
use crate::frame::{Change, FRAME_HEADER_BYTES};
use crate::index::{Index, IndexUpdate, RecordLocation};
use compaction::CompactionRun;
use segment::{ChangePosition, Segment};
use std::collections::BTreeMap;

/// A store in one folder, or in two folders that mirror each other.
pub struct Engine<D: Disk> {
    disks: Vec<D>,
    _locks: Vec<D::Lock>,
    options: Options,
    store_id: u64,
    index: Index,
    segments: BTreeMap<u64, Segment<D::File>>,
    /// The segment that is appended to; `None` before the first commit, and after one is sealed or
    /// a write to it has failed.
    active: Option<u64>,
    /// The number of the next new segment.
    next_segment: u64,
    /// Whether the folders have to be synced before the next frame is acknowledged.
    folder_changed: bool,
    /// Encoded frames that have not been written yet.
    buffer: Vec<u8>,
    /// Index updates of the buffered frames, applied when they are durable.
    buffered_updates: Vec<IndexUpdate>,
    /// The sequence number of the last frame.
    last_seq: u64,
    /// The sequence number of the last durable frame.
    durable_seq: u64,
    compaction: Option<CompactionRun>,
    copied_bytes: u64,
    /// The current time as last set by the caller, in milliseconds of Unix time.
    now_ms: u64,
    /// The oldest segment that is not obsolete, according to the headers and frames read during
    /// recovery.
    oldest_segment: u64,
    /// Segments in which, since the store was opened, a part could not be read from any copy.
    damaged: Vec<u64>,
}

impl<D: Disk> Engine<D> {
    /// Opens the store in these folders, which mirror each other, and creates it if it doesn't
    /// exist. `holder` identifies this process to others that find the folder locked,
    /// `new_store_id` is the id of the store if it is created, and `now_ms` is the current time in
    /// milliseconds of Unix time.
    ///
    /// # Errors
    ///
    /// If a folder is locked, can't be read or written, or has files of another format version or
    /// of another store. Files of another format version or store are left unchanged.
    pub fn open(
        disks: Vec<D>,
        options: Options,
        holder: &str,
        new_store_id: u64,
        now_ms: u64,
    ) -> Result<(Self, Recovery), OpenError> {
        let mut locks = Vec::new();
        for disk in &disks {
            let lock = disk.lock(holder);
            locks.push(lock.map_err(|error| OpenError::Io(disk.name(), error))?);
        }
        let mut engine = Self {
            disks,
            _locks: locks,
            options,
            store_id: new_store_id,
            index: Index::default(),
            segments: BTreeMap::new(),
            active: None,
            next_segment: 1,
            folder_changed: false,
            buffer: Vec::new(),
            buffered_updates: Vec::new(),
            last_seq: 0,
            durable_seq: 0,
            compaction: None,
            copied_bytes: 0,
            now_ms,
            oldest_segment: 0,
            damaged: Vec::new(),
        };
        let recovery = engine.recover()?;
        Ok((engine, recovery))
    }

    /// Sets the current time, by which records expire, in milliseconds of Unix time.
    pub fn set_time(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
    }

    /// Returns statistics of the store.
    pub fn statistics(&self) -> Statistics {
        Statistics {
            live_keys: self.index.len(),
            live_bytes: self.index.live_bytes(),
            file_bytes: self.file_bytes(),
            segments: self.segments.len(),
            index_bytes: self.index.overhead_bytes(),
            durable_seq: self.durable_seq,
            copied_bytes: self.copied_bytes,
        }
    }

    /// Returns the segments in which, since the store was opened, a part could not be read from any
    /// copy.
    pub fn damaged_segments(&self) -> &[u64] {
        &self.damaged
    }

    /// Total size of the segments in bytes, not counting the mirror.
    fn file_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.size).sum()
    }

    /// The oldest existing segment.
    fn first_segment(&self) -> Option<u64> {
        self.segments.keys().next().copied()
    }

    fn record_damage(&mut self, segment: u64) {
        if !self.damaged.contains(&segment) {
            self.damaged.push(segment);
        }
    }

    /// Returns the index update for a change at this position. `overhead_bytes` are attributed to
    /// the record in addition to its own bytes. A put that has expired is treated as a delete.
    fn index_update(
        &self,
        position: ChangePosition,
        change: &Change<'_>,
        overhead_bytes: usize,
    ) -> IndexUpdate {
        let location = RecordLocation {
            segment: position.segment as u32,
            frame: position.frame as u32,
            change: position.change as u32,
            bytes: (change.size() + overhead_bytes) as u32,
        };
        let is_live = match change {
            Change::Put { expires_at_ms, .. } => {
                *expires_at_ms == 0 || *expires_at_ms > self.now_ms
            }
            _ => false,
        };
        IndexUpdate {
            key: change.key().into(),
            location: is_live.then_some(location),
        }
    }

    /// Applies an update to the index and to the live bytes of the segments.
    fn apply_update(&mut self, update: IndexUpdate) {
        let previous = match update.location {
            Some(location) => {
                if let Some(segment) = self.segments.get_mut(&location.segment.into()) {
                    segment.live_bytes += u64::from(location.bytes);
                }
                self.index.put(update.key, location)
            }
            None => self.index.remove(&update.key),
        };
        if let Some(previous) = previous
            && let Some(segment) = self.segments.get_mut(&previous.segment.into())
        {
            segment.live_bytes -= u64::from(previous.bytes);
        }
    }

    /// Whether the put at this position holds the newest value of its key.
    fn is_live(&self, position: ChangePosition, key: &[u8]) -> bool {
        self.index.get(key).is_some_and(|location| {
            let newest = ChangePosition {
                segment: location.segment.into(),
                frame: location.frame as usize,
                change: location.change as usize,
            };
            newest == position
        })
    }
}

/// Bytes that are attributed to the first change of a frame for the frame's header.
const FRAME_OVERHEAD_BYTES: usize = FRAME_HEADER_BYTES;

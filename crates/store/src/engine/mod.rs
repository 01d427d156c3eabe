//! The engine: the store of one thread. It appends, commits, reads, cleans and recovers, and
//! reaches files only through [`Disk`]. Nothing here waits for anything but the disk.
//!
//! # Crash model
//!
//! A frame is acknowledged when [`Engine::commit`] has returned without error after it was
//! appended. Segments are written in order and synced before the next one begins; an acknowledged
//! frame thus has only acknowledged frames before it. After a crash any part of what was not synced
//! may be there, in any order. Recovery tells the torn end of the last segment, of which nothing
//! was acknowledged, from damage inside what was: an intact frame behind the hole that was made
//! when the missing ones were durable already.

mod compaction;
mod read;
mod recovery;
mod segment;
mod types;
mod write;

pub use types::{LostFrames, OpenError, Options, Recovery, Rejected, Statistics};

use crate::disk::Disk;
use crate::frame::{Change, FRAME_HEADER_BYTES};
use crate::index::{Index, IndexUpdate, RecordLocation};
use compaction::CleaningRun;
use segment::{ChangePosition, Segment};
use std::collections::BTreeMap;

/// A store on one folder, or on two of the same content.
pub struct Engine<D: Disk> {
    disks: Vec<D>,
    _locks: Vec<D::Lock>,
    options: Options,
    store_id: u64,
    index: Index,
    segments: BTreeMap<u64, Segment<D::File>>,
    /// The segment that is written; `None` until there is one that can be trusted.
    active: Option<u64>,
    /// The number of the next new segment.
    next_segment: u64,
    /// The folder has to be synced before anything is acknowledged.
    folder_changed: bool,
    /// Frames that are not written yet.
    buffer: Vec<u8>,
    /// What these change in the index.
    buffered_updates: Vec<IndexUpdate>,
    /// The sequence number of the last frame.
    last_seq: u64,
    /// The sequence number of the last durable frame.
    durable_seq: u64,
    cleaning: Option<CleaningRun>,
    copied_bytes: u64,
    /// The time that was last set, in milliseconds of Unix time.
    now_ms: u64,
    /// The oldest segment that counts according to the frames read at the start.
    oldest_segment: u64,
    /// Segments of which a part could not be read in any copy since the start.
    damaged: Vec<u64>,
}

impl<D: Disk> Engine<D> {
    /// Opens the store in these folders, which hold the same files, and creates it if it isn't
    /// there. `holder` names this process to others that find the folder locked, `new_store_id` is
    /// the number of a store that is created, and `now_ms` is the time in milliseconds of Unix
    /// time.
    ///
    /// # Errors
    ///
    /// If a folder is locked or can't be read or written, or holds files of another format or
    /// store. Nothing is written in that case.
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
            cleaning: None,
            copied_bytes: 0,
            now_ms,
            oldest_segment: 0,
            damaged: Vec::new(),
        };
        let recovery = engine.recover()?;
        Ok((engine, recovery))
    }

    /// Sets the time by which records expire, in milliseconds of Unix time.
    pub fn set_time(&mut self, now_ms: u64) {
        self.now_ms = now_ms;
    }

    /// Returns the figures of the store.
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

    /// Returns the segments of which a part could not be read in any copy since the start.
    pub fn damaged_segments(&self) -> &[u64] {
        &self.damaged
    }

    /// Bytes of all files, one copy.
    fn file_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.size).sum()
    }

    /// The oldest segment that there is.
    fn first_segment(&self) -> Option<u64> {
        self.segments.keys().next().copied()
    }

    fn record_damage(&mut self, segment: u64) {
        if !self.damaged.contains(&segment) {
            self.damaged.push(segment);
        }
    }

    /// What a change at this position makes of its key. `overhead_bytes` are accounted to it beside
    /// its own bytes. A put that has expired counts as a delete.
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

    /// Applies an update to the index, and to the live bytes of the segments.
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

    /// Whether the put at this position is the newest value of its key.
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

/// Bytes that are accounted to the first change of a frame for the frame itself.
const FRAME_OVERHEAD_BYTES: usize = FRAME_HEADER_BYTES;

//! The write path: batches are buffered as frames; a commit writes them to the active segment and
//! syncs it.

use super::segment::{ChangePosition, Segment, file_name, remove_if_exists};
use super::{AppendError, Engine, FRAME_OVERHEAD_BYTES};
use crate::disk::{Disk, File};
use crate::frame::{self, Change, FRAME_HEADER_BYTES, HEADER_BYTES, Header};
use std::io;

/// Space is preallocated with zeros after the frames, so that not every sync has to make a new file
/// size durable too: this many times the bytes of the commit, within the bounds below.
const PREALLOCATION_FACTOR: u64 = 2;
/// Minimum to preallocate, in bytes.
const MIN_PREALLOCATED_BYTES: u64 = 32 << 10;
/// Maximum to preallocate, in bytes.
const MAX_PREALLOCATED_BYTES: u64 = 256 << 10;

/// The position at which a commit was written.
struct CommitPosition {
    segment: u64,
    offset: u64,
}

impl<D: Disk> Engine<D> {
    /// Buffers a batch, whose changes are applied atomically, and returns the sequence number of
    /// its frame. The next [`Engine::commit`] acknowledges it if it succeeds, and otherwise drops
    /// it.
    ///
    /// # Errors
    ///
    /// If the batch is empty or too long, or would bring the files over their size limit.
    pub fn append(&mut self, batch: &[Change<'_>]) -> Result<u64, AppendError> {
        let content: usize = batch.iter().map(Change::size).sum();
        let key_too_long = |change: &Change<'_>| change.key().len() > frame::MAX_KEY_BYTES;
        if batch.is_empty() || content > frame::MAX_CONTENT_BYTES || batch.iter().any(key_too_long)
        {
            return Err(AppendError::InvalidSize);
        }
        // A batch of deletes only is always accepted: it makes room.
        let has_put = batch
            .iter()
            .any(|change| matches!(change, Change::Put { .. }));
        let limit = self.append_limit();
        let size_after =
            self.file_bytes() + (self.buffer.len() + FRAME_HEADER_BYTES + content) as u64;
        if has_put && limit > 0 && size_after > limit {
            return Err(AppendError::Full);
        }
        Ok(self.buffer_frame(batch))
    }

    /// The total size of the segments up to which puts are accepted, 0 for no limit. It is below
    /// `max_bytes`, to leave room for the copies that compaction writes.
    fn append_limit(&self) -> u64 {
        self.options
            .max_bytes
            .saturating_sub(2 * self.options.segment_bytes)
            .max(self.options.max_bytes / 2)
    }

    /// Adds a frame to the buffer and returns its sequence number. Its segment and offset are known
    /// only when the buffer is written: until then, the buffered index updates have segment 0 and
    /// offsets relative to the start of the buffer.
    pub(super) fn buffer_frame(&mut self, batch: &[Change<'_>]) -> u64 {
        self.last_seq += 1;
        let mut position = ChangePosition {
            segment: 0,
            frame: self.buffer.len(),
            change: 0,
        };
        let encode_changes = |out: &mut Vec<u8>| batch.iter().for_each(|change| change.encode(out));
        frame::encode(
            0,
            self.last_seq,
            self.durable_seq,
            &mut self.buffer,
            encode_changes,
        );
        let mut overhead_bytes = FRAME_OVERHEAD_BYTES;
        for change in batch {
            if !matches!(change, Change::OldestSegment { .. }) {
                let update = self.index_update(position, change, overhead_bytes);
                self.buffered_updates.push(update);
            }
            position.change += change.size();
            overhead_bytes = 0;
        }
        self.last_seq
    }

    /// Makes all appended batches durable, and returns the last durable sequence number. If the
    /// active segment can't be written, the batches are written to a new one.
    ///
    /// # Errors
    ///
    /// If that fails too; all batches appended since the last commit are then dropped.
    pub fn commit(&mut self) -> io::Result<u64> {
        if self.buffer.is_empty() {
            return Ok(self.durable_seq);
        }
        let written = match self.write_to_active() {
            Some(written) => Ok(written),
            None => self.begin_segment().and_then(|number| {
                self.write_buffer(number)
                    .inspect_err(|_| self.abandon(number))
            }),
        };
        match written {
            Ok(written) => {
                self.acknowledge_buffer(&written);
                Ok(self.durable_seq)
            }
            Err(error) => {
                self.discard_buffer();
                Err(error)
            }
        }
    }

    /// Writes the buffer to the active segment. Returns `None` if there is none, if it is full, or
    /// if it can't be written; in the latter two cases it is no longer active.
    fn write_to_active(&mut self) -> Option<CommitPosition> {
        let active = self.active?;
        let is_full = self
            .segments
            .get(&active)
            .is_none_or(|segment| segment.size >= self.options.segment_bytes);
        if is_full {
            self.seal(active);
            return None;
        }
        let written = self.write_buffer(active);
        written.inspect_err(|_| self.abandon(active)).ok()
    }

    /// Records that the buffered frames are durable, and applies their updates to the index.
    fn acknowledge_buffer(&mut self, written: &CommitPosition) {
        self.durable_seq = self.last_seq;
        if let Some(segment) = self.segments.get_mut(&written.segment) {
            segment.size += self.buffer.len() as u64;
        }
        for mut update in std::mem::take(&mut self.buffered_updates) {
            if let Some(location) = &mut update.location {
                location.segment = written.segment as u32;
                location.frame += written.offset as u32;
            }
            self.apply_update(update);
        }
        self.buffer.clear();
    }

    /// Drops all frames that were buffered since the last commit, including copies by compaction,
    /// which then begins anew.
    fn discard_buffer(&mut self) {
        self.buffer.clear();
        self.buffered_updates.clear();
        self.last_seq = self.durable_seq;
        self.compaction = None;
    }

    /// Writes the buffer to the end of a segment and syncs it.
    fn write_buffer(&mut self, number: u64) -> io::Result<CommitPosition> {
        frame::update_checksums(number, &mut self.buffer);
        let Some(segment) = self.segments.get_mut(&number) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let offset = segment.size;
        let commit_bytes = self.buffer.len() as u64;
        if offset + commit_bytes > segment.allocated {
            let room = self
                .options
                .segment_bytes
                .saturating_sub(offset + commit_bytes);
            let preallocated = (commit_bytes * PREALLOCATION_FACTOR)
                .clamp(MIN_PREALLOCATED_BYTES, MAX_PREALLOCATED_BYTES)
                .min(room);
            self.buffer
                .resize(self.buffer.len() + preallocated as usize, 0);
            segment.allocated = offset + commit_bytes + preallocated;
        }
        let mut written = segment
            .open_files()
            .try_for_each(|file| file.write_at(offset, &self.buffer));
        self.buffer.truncate(commit_bytes as usize);
        if written
            .as_ref()
            .is_err_and(|error| error.kind() == io::ErrorKind::StorageFull)
        {
            // There may be enough room without the preallocation.
            segment.allocated = offset + commit_bytes;
            written = segment
                .open_files()
                .try_for_each(|file| file.write_at(offset, &self.buffer));
        }
        written?;
        for file in segment.open_files() {
            file.sync()?;
        }
        if self.folder_changed {
            self.sync_folders()?;
            self.folder_changed = false;
        }
        Ok(CommitPosition {
            segment: number,
            offset,
        })
    }

    fn sync_folders(&self) -> io::Result<()> {
        self.disks.iter().try_for_each(D::sync_folder)
    }

    /// Seals the active segment: nothing more is written to it.
    pub(super) fn seal(&mut self, number: u64) {
        self.active = None;
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.allocated = segment.size;
            for file in segment.open_files() {
                // An error is ignored, since zeros after the last frame do no harm.
                let _ = file.truncate(segment.size);
            }
        }
    }

    /// Begins a new segment, makes it the active one, and returns its number.
    fn begin_segment(&mut self) -> io::Result<u64> {
        let number = self.next_segment;
        if u32::try_from(number).is_err() {
            return Err(io::Error::other("segment numbers exhausted"));
        }
        let previous = self.segments.get(&(number - 1));
        let header = Header {
            store_id: self.store_id,
            segment: number,
            oldest_segment: self.first_segment().unwrap_or(number),
            previous_segment_bytes: previous.map_or(0, |segment| segment.size),
            first_seq: self.durable_seq + 1,
        };
        let name = file_name(number);
        let mut files = Vec::new();
        self.folder_changed = true;
        for disk in &self.disks {
            // An earlier attempt to begin this segment may have failed and left a file; nothing in
            // it was ever acknowledged.
            remove_if_exists(disk, &name)?;
            let file = disk.create(&name)?;
            file.write_at(0, &header.encode())?;
            files.push(Some(file));
        }
        self.segments
            .insert(number, Segment::new(HEADER_BYTES as u64, files));
        self.next_segment = number + 1;
        self.active = Some(number);
        Ok(number)
    }

    /// Stops writing to a segment after a write or sync has failed. Its acknowledged frames remain
    /// readable, but after a failed sync it is unknown which pages are on the disk: its live
    /// records are copied to another segment once the disk accepts writes again.
    fn abandon(&mut self, number: u64) {
        self.active = None;
        let Some(segment) = self.segments.get_mut(&number) else {
            return;
        };
        if segment.size == HEADER_BYTES as u64 {
            // Nothing in it was ever acknowledged: its number is reused.
            self.segments.remove(&number);
            for disk in &self.disks {
                let _ = disk.remove(&file_name(number));
            }
            self.next_segment = number;
            return;
        }
        segment.needs_rewrite = true;
        for file in segment.open_files() {
            // Prevents recovery from finding the frames that were not acknowledged. Best effort,
            // since the disk has failed.
            let _ = file.truncate(segment.size);
        }
    }

    /// Checks whether the disk accepts writes again after a failure, by beginning a new segment.
    ///
    /// # Errors
    ///
    /// If it does not.
    pub fn probe(&mut self) -> io::Result<()> {
        if self.active.is_some() || !self.buffer.is_empty() {
            return Ok(());
        }
        let number = self.begin_segment()?;
        let segment = self
            .segments
            .get_mut(&number)
            .ok_or(io::ErrorKind::NotFound)?;
        // Room for the header alone would not be enough for the next commit.
        let zeros = vec![0; MIN_PREALLOCATED_BYTES as usize];
        let written = segment
            .open_files()
            .try_for_each(|file| file.write_at(segment.size, &zeros));
        segment.allocated = segment.size + MIN_PREALLOCATED_BYTES;
        let written = written.and_then(|()| self.write_buffer(number));
        if let Err(error) = written {
            self.abandon(number);
            return Err(error);
        }
        Ok(())
    }

    /// Removes the files of a segment durably. Deletes in later segments may be dropped only when
    /// the records that they delete can't reappear after a crash.
    pub(super) fn remove_files(&self, number: u64) -> io::Result<()> {
        for disk in &self.disks {
            remove_if_exists(disk, &file_name(number))?;
        }
        self.sync_folders()
    }
}

//! The write path: batches are buffered as frames, and a commit writes and syncs them in the active
//! segment.

use super::segment::{ChangePosition, Segment, file_name, remove_if_exists};
use super::{Engine, FRAME_OVERHEAD_BYTES, Rejected};
use crate::disk::{Disk, File};
use crate::frame::{self, Change, FRAME_HEADER_BYTES, HEADER_BYTES, Header};
use std::io;

/// Zeros are written ahead of the frames, so that not every sync has to make a new file size
/// durable too: this many times the bytes of a commit, within the bounds below.
const WRITE_AHEAD_FACTOR: u64 = 2;
/// Fewest zeros that are written ahead, in bytes.
const MIN_WRITE_AHEAD_BYTES: u64 = 32 << 10;
/// Most zeros that are written ahead, in bytes.
const MAX_WRITE_AHEAD_BYTES: u64 = 256 << 10;

/// Where a commit was written.
struct CommitPosition {
    segment: u64,
    offset: u64,
}

impl<D: Disk> Engine<D> {
    /// Buffers a batch, which counts as a whole or not at all, and returns the sequence number of
    /// its frame. It is acknowledged with the next [`Engine::commit`] that succeeds.
    ///
    /// # Errors
    ///
    /// If it is too long, or would bring the files over their limit.
    pub fn append(&mut self, batch: &[Change<'_>]) -> Result<u64, Rejected> {
        let content: usize = batch.iter().map(Change::size).sum();
        let key_too_long = |change: &Change<'_>| change.key().len() > frame::MAX_KEY_BYTES;
        if batch.is_empty() || content > frame::MAX_CONTENT_BYTES || batch.iter().any(key_too_long)
        {
            return Err(Rejected::TooLong);
        }
        // Deletes are always accepted: they make room.
        let has_put = batch
            .iter()
            .any(|change| matches!(change, Change::Put { .. }));
        let limit = self.append_limit();
        let size_after =
            self.file_bytes() + (self.buffer.len() + FRAME_HEADER_BYTES + content) as u64;
        if has_put && limit > 0 && size_after > limit {
            return Err(Rejected::Full);
        }
        Ok(self.buffer_frame(batch))
    }

    /// The bytes of files up to which puts are accepted: room is left to clean a segment. 0 for no
    /// limit.
    fn append_limit(&self) -> u64 {
        self.options
            .max_bytes
            .saturating_sub(2 * self.options.segment_bytes)
            .max(self.options.max_bytes / 2)
    }

    /// Adds a frame to the buffer and returns its sequence number. Segment and offset are known
    /// only when the buffer is written: until then the updates of the index stand for a segment
    /// that begins with the buffer.
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

    /// Makes all that was appended durable, and returns the last durable sequence number. If the
    /// active segment can't be written, all is written to a new one.
    ///
    /// # Errors
    ///
    /// If that fails too: then nothing that was appended since the last commit counts.
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

    /// Writes the buffer to the active segment. `None` if there is none, if it is full, or if it
    /// can't be written; it is not active any more then.
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

    /// Records that the buffer is durable, and applies its updates to the index.
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

    /// Drops what was appended since the last commit, copies of cleaning included.
    fn discard_buffer(&mut self) {
        self.buffer.clear();
        self.buffered_updates.clear();
        self.last_seq = self.durable_seq;
        self.cleaning = None;
    }

    /// Writes the buffer at the end of a segment and syncs it.
    fn write_buffer(&mut self, number: u64) -> io::Result<CommitPosition> {
        frame::readdress(number, &mut self.buffer);
        let Some(segment) = self.segments.get_mut(&number) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let offset = segment.size;
        let commit_bytes = self.buffer.len() as u64;
        if offset + commit_bytes > segment.reserved {
            let room = self
                .options
                .segment_bytes
                .saturating_sub(offset + commit_bytes);
            let ahead = (commit_bytes * WRITE_AHEAD_FACTOR)
                .clamp(MIN_WRITE_AHEAD_BYTES, MAX_WRITE_AHEAD_BYTES)
                .min(room);
            self.buffer.resize(self.buffer.len() + ahead as usize, 0);
            segment.reserved = offset + commit_bytes + ahead;
        }
        let mut written = segment
            .open_files()
            .try_for_each(|file| file.write_at(offset, &self.buffer));
        self.buffer.truncate(commit_bytes as usize);
        if written
            .as_ref()
            .is_err_and(|error| error.kind() == io::ErrorKind::StorageFull)
        {
            // There may be room without the zeros.
            segment.reserved = offset + commit_bytes;
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

    /// Closes the active segment; nothing more is written to it.
    pub(super) fn seal(&mut self, number: u64) {
        self.active = None;
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.reserved = segment.size;
            for file in segment.open_files() {
                // The zeros do no harm if they stay.
                let _ = file.truncate(segment.size);
            }
        }
    }

    /// Begins a new segment, which is the active one from then on, and returns its number.
    fn begin_segment(&mut self) -> io::Result<u64> {
        let number = self.next_segment;
        if u32::try_from(number).is_err() {
            return Err(io::Error::other("no numbers are left for segments"));
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
            // A failed start of a segment may have left a file of this name; nothing in it was ever
            // acknowledged.
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

    /// Gives up the active segment after a write or sync of it failed. Nothing that was
    /// acknowledged is lost with it, but its pages are not trusted: what is live in it is written
    /// anew once the disk takes writes again.
    fn abandon(&mut self, number: u64) {
        self.active = None;
        let Some(segment) = self.segments.get_mut(&number) else {
            return;
        };
        if segment.size == HEADER_BYTES as u64 {
            // Nothing in it was ever acknowledged: its number is used again.
            self.segments.remove(&number);
            for disk in &self.disks {
                let _ = disk.remove(&file_name(number));
            }
            self.next_segment = number;
            return;
        }
        segment.distrusted = true;
        for file in segment.open_files() {
            // If the disk still does that, what was not acknowledged is not found again after a
            // crash either.
            let _ = file.truncate(segment.size);
        }
    }

    /// Checks whether the disk takes writes again after a failure.
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
        // Room for a header alone would not be enough to go on.
        let zeros = vec![0; MIN_WRITE_AHEAD_BYTES as usize];
        let written = segment
            .open_files()
            .try_for_each(|file| file.write_at(segment.size, &zeros));
        segment.reserved = segment.size + MIN_WRITE_AHEAD_BYTES;
        let written = written.and_then(|()| self.write_buffer(number));
        if let Err(error) = written {
            self.abandon(number);
            return Err(error);
        }
        Ok(())
    }

    /// Removes the files of a segment durably: an older delete may be dropped only when what it
    /// deletes is gone for sure.
    pub(super) fn remove_files(&self, number: u64) -> io::Result<()> {
        for disk in &self.disks {
            remove_if_exists(disk, &file_name(number))?;
        }
        self.sync_folders()
    }
}

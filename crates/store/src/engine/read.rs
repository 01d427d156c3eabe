//! The read path: single values and scans. Each frame is taken from a copy in which it is intact.

use super::Engine;
use super::segment::{file_name, frames, is_intact, read_file};
use crate::disk::{Disk, File};
use crate::frame::{self, Change, FRAME_HEADER_BYTES, Frame};
use std::io;

/// The result of reading one frame from the copies of its segment.
struct FrameRead {
    /// The encoded frame, from the first copy in which it is intact.
    intact: Option<Vec<u8>>,
    /// The copies that were read and in which the frame is not intact.
    bad_copies: Vec<usize>,
    /// The error to report if no copy is intact.
    error: io::Error,
}

impl<D: Disk> Engine<D> {
    /// Whether a key has an acknowledged value.
    pub fn contains_key(&self, key: &[u8]) -> bool {
        self.index.get(key).is_some()
    }

    /// Returns the acknowledged value of a key. If the first copy is damaged, the value is read
    /// from the mirror and the copy is repaired.
    ///
    /// # Errors
    ///
    /// An I/O error; `InvalidData` if the value is intact in no copy.
    pub fn get(&mut self, key: &[u8]) -> io::Result<Option<Vec<u8>>> {
        let Some(location) = self.index.get(key) else {
            return Ok(None);
        };
        let number = u64::from(location.segment);
        let offset = u64::from(location.frame);
        let read = self.read_frame_of_any_copy(number, offset);
        let Some(frame) = read.intact else {
            self.record_damage(number);
            return Err(read.error);
        };
        for copy in read.bad_copies {
            // A failed repair is not an error, since another copy has the value; the next read
            // tries again.
            let _ = self.rewrite_frame(number, copy, offset, &frame);
        }
        let content = &frame[FRAME_HEADER_BYTES + location.change as usize..];
        match Change::decode(content) {
            Some((
                Change::Put {
                    key: found, value, ..
                },
                _,
            )) if found == key => Ok(Some(value.to_vec())),
            _ => Err(read.error),
        }
    }

    fn read_frame_of_any_copy(&mut self, number: u64, offset: u64) -> FrameRead {
        let mut read = FrameRead {
            intact: None,
            bad_copies: Vec::new(),
            error: io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{}: record damaged in all copies", file_name(number)),
            ),
        };
        for copy in 0..self.disks.len() {
            match self.read_frame(number, copy, offset) {
                Ok(Some(frame)) => {
                    read.intact.get_or_insert(frame);
                }
                Ok(None) => read.bad_copies.push(copy),
                Err(error) => {
                    read.bad_copies.push(copy);
                    read.error = error;
                }
            }
            // The mirror is read only if the first copy is bad.
            if read.bad_copies.is_empty() {
                break;
            }
        }
        read
    }

    /// Returns the encoded frame, or `None` if it is not intact in this copy.
    fn read_frame(&mut self, number: u64, copy: usize, offset: u64) -> io::Result<Option<Vec<u8>>> {
        let file = self.open_file(number, copy)?;
        let mut bytes = vec![0; FRAME_HEADER_BYTES];
        if file.read_at(offset, &mut bytes)? < FRAME_HEADER_BYTES {
            return Ok(None);
        }
        let size = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
        if size > frame::MAX_CONTENT_BYTES {
            return Ok(None);
        }
        bytes.resize(FRAME_HEADER_BYTES + size, 0);
        let content_offset = offset + FRAME_HEADER_BYTES as u64;
        if file.read_at(content_offset, &mut bytes[FRAME_HEADER_BYTES..])? < size {
            return Ok(None);
        }
        Ok(Frame::decode(number, &bytes, 0).is_some().then_some(bytes))
    }

    fn rewrite_frame(
        &mut self,
        number: u64,
        copy: usize,
        offset: u64,
        frame: &[u8],
    ) -> io::Result<()> {
        let file = self.open_file(number, copy)?;
        file.write_at(offset, frame)?;
        file.sync()
    }

    /// Returns the file of a segment in one folder, and opens it if it is not open.
    fn open_file(&mut self, number: u64, copy: usize) -> io::Result<&D::File> {
        let segment = self
            .segments
            .get_mut(&number)
            .ok_or(io::ErrorKind::NotFound)?;
        let slot = &mut segment.files[copy];
        if slot.is_none() {
            *slot = Some(self.disks[copy].open(&file_name(number))?);
        }
        slot.as_ref().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Calls `visit` with the key and the value of every live record, in log order.
    ///
    /// # Errors
    ///
    /// An I/O error. A damaged record is not an error: it is skipped, and its segment is added to
    /// [`Engine::damaged_segments`].
    pub fn scan(&mut self, mut visit: impl FnMut(&[u8], &[u8])) -> io::Result<()> {
        let numbers: Vec<u64> = self.segments.keys().copied().collect();
        for number in numbers {
            let live_bytes = self.segments.get(&number).map_or(0, |s| s.live_bytes);
            if live_bytes == 0 {
                continue;
            }
            let image = self.read_image(number)?;
            for (position, change) in frames(number, &image).flat_map(|f| f.changes(number)) {
                if let Change::Put { key, value, .. } = change
                    && self.is_live(position, key)
                {
                    visit(key, value);
                }
            }
        }
        Ok(())
    }

    /// Returns the content of a segment, each frame from a copy in which it is intact.
    pub(super) fn read_image(&mut self, number: u64) -> io::Result<Vec<u8>> {
        let size = self
            .segments
            .get(&number)
            .map_or(0, |segment| segment.size as usize);
        let mut image = Vec::new();
        for (copy, disk) in self.disks.iter().enumerate() {
            let read = read_file(disk, &file_name(number))?;
            if copy == 0 {
                image = read;
                image.resize(size, 0);
                if is_intact(number, &image) {
                    break;
                }
                continue;
            }
            for located in frames(number, &read) {
                let range = located.offset..located.end();
                if range.end <= size {
                    image[range.clone()].copy_from_slice(&read[range]);
                }
            }
        }
        if !is_intact(number, &image) {
            self.record_damage(number);
        }
        Ok(image)
    }
}

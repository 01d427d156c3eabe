//! Segments: in-memory state, file names, reading and replacing of whole files, and iteration over
//! frames.

use crate::disk::{Disk, File};
use crate::frame::{self, Change, Frame, HEADER_BYTES};
use std::io;

/// The size of the blocks in which a file is read after reading it as a whole has failed, in bytes:
/// the usual page size.
const RETRY_BLOCK_BYTES: usize = 4096;

/// The state of a segment.
pub(super) struct Segment<F> {
    /// Offset of the end of the last acknowledged frame.
    pub(super) size: u64,
    /// Bytes of the segment that belong to live records.
    pub(super) live_bytes: u64,
    /// The file in each folder; `None` if it is not open.
    pub(super) files: Vec<Option<F>>,
    /// Size of the file in bytes, with the zeros that are preallocated after `size`.
    pub(super) allocated: u64,
    /// A write or sync has failed: the live records have to be copied to another segment.
    pub(super) needs_rewrite: bool,
}

impl<F> Segment<F> {
    /// A segment of `size` bytes without live records.
    pub(super) fn new(size: u64, files: Vec<Option<F>>) -> Self {
        Self {
            size,
            live_bytes: 0,
            files,
            allocated: size,
            needs_rewrite: false,
        }
    }

    pub(super) fn open_files(&self) -> impl Iterator<Item = &F> {
        self.files.iter().flatten()
    }
}

/// The file name of a segment.
pub(super) fn file_name(segment: u64) -> String {
    format!("{segment:016x}.seg")
}

/// The number of the segment with this file name; `None` for other files.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    let digits = name
        .strip_suffix(".seg")
        .filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|number| u32::try_from(*number).is_ok())
}

/// The name under which a replacement of this file is written.
pub(super) fn temporary_name(name: &str) -> String {
    format!("{name}.tmp")
}

/// Whether this is the name of an unfinished replacement of a segment's file.
pub(super) fn is_temporary_name(name: &str) -> bool {
    name.ends_with(".seg.tmp")
}

/// Removes a file if it exists.
pub(super) fn remove_if_exists<D: Disk>(disk: &D, name: &str) -> io::Result<()> {
    match disk.remove(name) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Replaces a file atomically: the new content is durable before it is renamed to `name`.
pub(super) fn replace_file<D: Disk>(disk: &D, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = temporary_name(name);
    let _ = disk.remove(&temporary);
    let file = disk.create(&temporary)?;
    file.write_at(0, bytes)?;
    file.sync()?;
    disk.rename(&temporary, name)?;
    disk.sync_folder()
}

/// Returns the whole content of a file, empty if it doesn't exist. Blocks that can't be read are
/// zero.
pub(super) fn read_file<D: Disk>(disk: &D, name: &str) -> io::Result<Vec<u8>> {
    let file = match disk.open(name) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let mut bytes = vec![0; usize::try_from(file.size()?).map_err(io::Error::other)?];
    match file.read_at(0, &mut bytes) {
        Ok(size) => bytes.truncate(size),
        // One bad sector fails the whole read. Read block by block to lose only the bad blocks.
        Err(_) => read_blocks(&file, &mut bytes),
    }
    Ok(bytes)
}

/// Reads a file block by block. Blocks that can't be read are zero.
fn read_blocks<F: File>(file: &F, bytes: &mut [u8]) {
    for (number, block) in bytes.chunks_mut(RETRY_BLOCK_BYTES).enumerate() {
        if file
            .read_at((number * RETRY_BLOCK_BYTES) as u64, block)
            .is_err()
        {
            block.fill(0);
        }
    }
}

/// An intact frame and its offset in the segment's file.
pub(super) struct LocatedFrame<'a> {
    pub(super) offset: usize,
    pub(super) frame: Frame<'a>,
}

impl<'a> LocatedFrame<'a> {
    /// The offset of the end of the frame.
    pub(super) fn end(&self) -> usize {
        self.offset + self.frame.size()
    }

    /// The changes of the frame with their positions.
    pub(super) fn changes(
        &self,
        segment: u64,
    ) -> impl Iterator<Item = (ChangePosition, Change<'a>)> + use<'a> {
        let offset = self.offset;
        frame::changes(self.frame.content).map(move |(change, content)| {
            let position = ChangePosition {
                segment,
                frame: offset,
                change,
            };
            (position, content)
        })
    }
}

/// The position of a change in the log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct ChangePosition {
    pub(super) segment: u64,
    /// Offset of the frame in the segment's file.
    pub(super) frame: usize,
    /// Offset of the change in the frame's content.
    pub(super) change: usize,
}

/// Returns the first intact frame that begins at `from` or later, skipping damaged bytes.
pub(super) fn find_frame(segment: u64, image: &[u8], from: usize) -> Option<LocatedFrame<'_>> {
    (from..image.len()).find_map(|offset| {
        Some(LocatedFrame {
            offset,
            frame: Frame::decode(segment, image, offset)?,
        })
    })
}

/// Returns all intact frames in the content of a segment's file.
pub(super) fn frames(segment: u64, image: &[u8]) -> impl Iterator<Item = LocatedFrame<'_>> {
    let mut position = HEADER_BYTES;
    std::iter::from_fn(move || {
        let found = find_frame(segment, image, position)?;
        position = found.end();
        Some(found)
    })
}

/// Whether the content of a segment's file consists of intact frames without gaps.
pub(super) fn is_intact(segment: u64, image: &[u8]) -> bool {
    let mut position = HEADER_BYTES;
    while let Some(frame) = Frame::decode(segment, image, position) {
        position += frame.size();
    }
    position == image.len()
}

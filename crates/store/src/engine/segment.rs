//! Segments: their state in memory, their file names, and reading and replacing whole files.

use crate::disk::{Disk, File};
use crate::frame::{self, Change, Frame, HEADER_BYTES};
use std::io;

/// The block in which a file is read where reading it whole fails, in bytes: the usual size of a
/// page.
const RETRY_BLOCK_BYTES: usize = 4096;

/// A segment as the engine knows it.
pub(super) struct Segment<F> {
    /// Bytes that count.
    pub(super) size: u64,
    /// Bytes of these that are live.
    pub(super) live_bytes: u64,
    /// One file for each folder; `None` where it is not open.
    pub(super) files: Vec<Option<F>>,
    /// Bytes of the file that have been written, with zeros behind those that count.
    pub(super) reserved: u64,
    /// A write or sync of it failed: what is live in it has to be written anew.
    pub(super) distrusted: bool,
}

impl<F> Segment<F> {
    /// A segment of `size` bytes without live records.
    pub(super) fn new(size: u64, files: Vec<Option<F>>) -> Self {
        Self {
            size,
            live_bytes: 0,
            files,
            reserved: size,
            distrusted: false,
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

/// The segment that a file name stands for, if it is one.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    let digits = name
        .strip_suffix(".seg")
        .filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|number| u32::try_from(*number).is_ok())
}

/// The name of the file that is to replace this one.
pub(super) fn temporary_name(name: &str) -> String {
    format!("{name}.tmp")
}

/// Whether this is the name of a file that was to replace a segment.
pub(super) fn is_temporary_name(name: &str) -> bool {
    name.ends_with(".seg.tmp")
}

/// Removes a file; one that is not there counts as removed.
pub(super) fn remove_if_exists<D: Disk>(disk: &D, name: &str) -> io::Result<()> {
    match disk.remove(name) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Replaces a file with a new one that is durable before it takes the name.
pub(super) fn replace_file<D: Disk>(disk: &D, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = temporary_name(name);
    let _ = disk.remove(&temporary);
    let file = disk.create(&temporary)?;
    file.write_at(0, bytes)?;
    file.sync()?;
    disk.rename(&temporary, name)?;
    disk.sync_folder()
}

/// Returns the whole content of a file; what can't be read is left out or zero.
pub(super) fn read_file<D: Disk>(disk: &D, name: &str) -> io::Result<Vec<u8>> {
    let file = match disk.open(name) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let mut bytes = vec![0; usize::try_from(file.size()?).map_err(io::Error::other)?];
    match file.read_at(0, &mut bytes) {
        Ok(size) => bytes.truncate(size),
        // One bad sector fails the whole read; block by block, only the bad blocks are lost.
        Err(_) => read_blocks(&file, &mut bytes),
    }
    Ok(bytes)
}

/// Reads block by block; a block that can't be read is zero.
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

/// An intact frame and where it begins in its segment.
pub(super) struct LocatedFrame<'a> {
    pub(super) offset: usize,
    pub(super) frame: Frame<'a>,
}

impl<'a> LocatedFrame<'a> {
    /// Where the next frame begins.
    pub(super) fn end(&self) -> usize {
        self.offset + self.frame.size()
    }

    /// Its changes, each with its position.
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

/// Where a change is.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct ChangePosition {
    pub(super) segment: u64,
    /// Where its frame begins in the segment.
    pub(super) frame: usize,
    /// Where it begins in the frame's content.
    pub(super) change: usize,
}

/// Returns the next intact frame that begins at `from` or later; damaged bytes are passed over.
pub(super) fn find_frame(segment: u64, image: &[u8], from: usize) -> Option<LocatedFrame<'_>> {
    (from..image.len()).find_map(|offset| {
        Some(LocatedFrame {
            offset,
            frame: Frame::decode(segment, image, offset)?,
        })
    })
}

/// Returns all intact frames of a segment's bytes.
pub(super) fn frames(segment: u64, image: &[u8]) -> impl Iterator<Item = LocatedFrame<'_>> {
    let mut position = HEADER_BYTES;
    std::iter::from_fn(move || {
        let found = find_frame(segment, image, position)?;
        position = found.end();
        Some(found)
    })
}

/// Whether a segment's bytes consist of intact frames without a gap.
pub(super) fn is_intact(segment: u64, image: &[u8]) -> bool {
    let mut position = HEADER_BYTES;
    while let Some(frame) = Frame::decode(segment, image, position) {
        position += frame.size();
    }
    position == image.len()
}

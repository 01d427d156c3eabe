//! Recovery: when the store is opened, reads all segments, rebuilds the index, repairs damaged
//! copies, and reports lost frames.

use super::segment::{
    Segment, file_name, frames, is_temporary_name, read_file, replace_file, segment_number,
};
use super::{Engine, FRAME_OVERHEAD_BYTES, LostFrames, OpenError, Recovery};
use crate::disk::{Disk, File};
use crate::frame::{Change, Frame, HEADER_BYTES, Header, HeaderError};
use std::collections::BTreeMap;
use std::io;

/// The files found when the store is opened.
#[derive(Default)]
struct FileListing {
    /// The segments of which any folder has a file, in ascending order.
    segments: Vec<u64>,
    /// Files left by interrupted repairs, with the index of their folder.
    temporary: Vec<(usize, String)>,
}

/// The content of all copies of one segment.
struct SegmentCopies {
    images: Vec<Vec<u8>>,
    /// The header, from the first copy in which it is intact.
    header: Option<Header>,
}

impl SegmentCopies {
    /// Returns the frame at this offset from the first copy in which it is intact, and the index of
    /// that copy.
    fn frame_at(&self, segment: u64, offset: usize) -> Option<(usize, Frame<'_>)> {
        self.images
            .iter()
            .enumerate()
            .find_map(|(copy, image)| Some((copy, Frame::decode(segment, image, offset)?)))
    }

    fn longest(&self) -> usize {
        self.images.iter().map(Vec::len).max().unwrap_or(0)
    }

    /// The number of bytes from `intact_end` to the last byte that is not zero, in the copy where
    /// it is greatest.
    fn torn_bytes(&self, intact_end: usize) -> u64 {
        let tails = self
            .images
            .iter()
            .filter_map(|image| image.get(intact_end..));
        let last = tails.filter_map(|tail| tail.iter().rposition(|byte| *byte != 0));
        last.max().map_or(0, |last| last as u64 + 1)
    }
}

impl<D: Disk> Engine<D> {
    /// Loads the store from its folders. Nothing is written before all headers are known to be of
    /// this format version and of the same store.
    pub(super) fn recover(&mut self) -> Result<Recovery, OpenError> {
        let mut report = Recovery::default();
        let listing = self.list_files()?;
        let headers = self.read_headers(&listing.segments)?;
        for (copy, name) in listing.temporary {
            // Left by an interrupted repair; the file that it was to replace is unchanged.
            let _ = self.disks[copy].remove(&name);
        }
        let known = headers.values().flatten();
        let oldest = known.clone().map(|header| header.oldest_segment).max();
        let oldest = oldest.unwrap_or(0);
        if let Some(header) = known.clone().next() {
            self.store_id = header.store_id;
        }
        if let Some(last) = listing.segments.last() {
            self.next_segment = last + 1;
        }
        // Segments that are obsolete according to a newer header, but were not removed.
        for &number in listing.segments.iter().filter(|n| **n < oldest) {
            self.remove_obsolete_files(number)?;
        }
        self.oldest_segment = oldest;
        let first = listing
            .segments
            .iter()
            .copied()
            .find(|number| *number >= oldest)
            .unwrap_or(self.next_segment);
        let from = if oldest > 0 { oldest.min(first) } else { first };
        for number in from..self.next_segment {
            let next_header = headers.get(&(number + 1)).copied().flatten();
            self.recover_segment(number, next_header, &mut report)?;
        }
        self.remove_obsolete_segments(&mut report)?;
        self.durable_seq = self.last_seq;
        report.segments = self.segments.len();
        report.live_keys = self.index.len();
        report.file_bytes = self.file_bytes();
        Ok(report)
    }

    fn list_files(&self) -> Result<FileListing, OpenError> {
        let mut listing = FileListing::default();
        for (copy, disk) in self.disks.iter().enumerate() {
            let names = disk.list();
            for name in names.map_err(|error| OpenError::Io(disk.name(), error))? {
                listing.segments.extend(segment_number(&name));
                if is_temporary_name(&name) {
                    listing.temporary.push((copy, name));
                }
            }
        }
        listing.segments.sort_unstable();
        listing.segments.dedup();
        Ok(listing)
    }

    /// Returns the headers of all segments, each from the first copy in which it is intact.
    fn read_headers(&self, numbers: &[u64]) -> Result<BTreeMap<u64, Option<Header>>, OpenError> {
        let mut headers = BTreeMap::new();
        let mut store_id = None;
        for &number in numbers {
            let mut found = None;
            for disk in &self.disks {
                let Some(header) = read_header(disk, number)? else {
                    continue;
                };
                if *store_id.get_or_insert(header.store_id) != header.store_id {
                    return Err(OpenError::StoreMismatch(full_name(disk, number)));
                }
                found.get_or_insert(header);
            }
            headers.insert(number, found);
        }
        Ok(headers)
    }

    /// Recovers one segment, taking each frame from a copy in which it is intact. `next_header` is
    /// the header of the next segment.
    fn recover_segment(
        &mut self,
        number: u64,
        next_header: Option<Header>,
        report: &mut Recovery,
    ) -> Result<(), OpenError> {
        let copies = self.read_copies(number)?;
        if let Some(header) = copies.header {
            // Frames that earlier segments should have had. Not checked for the first segment,
            // before which segments may have been removed by compaction.
            if header.first_seq > self.last_seq + 1 && !self.segments.is_empty() {
                report.lost.push(LostFrames {
                    segment: number - 1,
                    first_seq: self.last_seq + 1,
                    last_seq: header.first_seq - 1,
                });
            }
            self.last_seq = self.last_seq.max(header.first_seq.saturating_sub(1));
        }
        let mut bytes = self.assemble_segment(number, &copies, next_header, report);
        let header = copies.header.unwrap_or_else(|| self.missing_header(number));
        bytes[..HEADER_BYTES].copy_from_slice(&header.encode());
        let nothing_left = copies.header.is_none() && bytes.len() == HEADER_BYTES;
        let files = self.disks.iter().map(|_| None).collect();
        self.segments
            .insert(number, Segment::new(bytes.len() as u64, files));
        self.load_records(number, &bytes);
        // With a mirror, both copies are made equal again. A single copy is left as it was found.
        if self.disks.len() > 1 && !nothing_left {
            self.repair_copies(number, &copies, &bytes, report)?;
        }
        Ok(())
    }

    fn read_copies(&self, number: u64) -> Result<SegmentCopies, OpenError> {
        let mut copies = SegmentCopies {
            images: Vec::new(),
            header: None,
        };
        for disk in &self.disks {
            let image = read_file(disk, &file_name(number))
                .map_err(|error| OpenError::Io(full_name(disk, number), error))?;
            let header = Header::decode(&image).ok().filter(|h| h.segment == number);
            copies.header = copies.header.or(header);
            copies.images.push(image);
        }
        Ok(copies)
    }

    /// Returns a substitute for a segment's header that is missing or damaged in all copies.
    fn missing_header(&self, number: u64) -> Header {
        let previous = self.segments.get(&(number - 1));
        Header {
            store_id: self.store_id,
            segment: number,
            oldest_segment: 0,
            previous_segment_bytes: previous.map_or(0, |segment| segment.size),
            first_seq: self.last_seq + 1,
        }
    }

    /// Adds the records of a segment to the index.
    fn load_records(&mut self, number: u64, bytes: &[u8]) {
        for located in frames(number, bytes) {
            let mut overhead_bytes = FRAME_OVERHEAD_BYTES;
            for (position, change) in located.changes(number) {
                if let Change::OldestSegment { segment } = change {
                    self.oldest_segment = self.oldest_segment.max(segment);
                    continue;
                }
                let update = self.index_update(position, &change, overhead_bytes);
                overhead_bytes = 0;
                self.apply_update(update);
            }
            self.last_seq = self.last_seq.max(located.frame.seq);
        }
    }

    /// Replaces each copy that does not begin with the recovered content.
    fn repair_copies(
        &self,
        number: u64,
        copies: &SegmentCopies,
        bytes: &[u8],
        report: &mut Recovery,
    ) -> Result<(), OpenError> {
        for (disk, image) in self.disks.iter().zip(&copies.images) {
            if !image.starts_with(bytes) {
                replace_file(disk, &file_name(number), bytes)
                    .map_err(|error| OpenError::Io(full_name(disk, number), error))?;
                report.repaired.push(full_name(disk, number));
            }
        }
        Ok(())
    }

    /// Returns the content of a segment up to the end of its last valid frame, each frame from a
    /// copy in which it is intact. Frames after one that is damaged in all copies are valid only if
    /// the damaged one is known to have been durable: from the header of the next segment, or from
    /// the durable sequence number in a later frame.
    fn assemble_segment(
        &self,
        number: u64,
        copies: &SegmentCopies,
        next_header: Option<Header>,
        report: &mut Recovery,
    ) -> Vec<u8> {
        let longest = copies.longest();
        let expected_size = next_header
            .map(|header| usize::try_from(header.previous_segment_bytes).unwrap_or(usize::MAX));
        let end = expected_size.unwrap_or(longest).min(longest);
        let mut bytes = vec![0; end.max(HEADER_BYTES)];
        let mut offset = HEADER_BYTES;
        let mut intact_end = HEADER_BYTES;
        let mut last_seq = self.last_seq;
        while offset < end {
            let next = copies
                .frame_at(number, offset)
                .filter(|(_, frame)| frame.seq > last_seq && offset + frame.size() <= end);
            if let Some((copy, frame)) = next {
                if frame.seq > last_seq + 1 {
                    // The frames in a damaged range that was skipped.
                    report.lost.push(LostFrames {
                        segment: number,
                        first_seq: last_seq + 1,
                        last_seq: frame.seq - 1,
                    });
                }
                let range = offset..offset + frame.size();
                bytes[range.clone()].copy_from_slice(&copies.images[copy][range]);
                last_seq = frame.seq;
                offset += frame.size();
                intact_end = offset;
                continue;
            }
            let resume_at = (offset + 1..end).find(|&offset| {
                copies.frame_at(number, offset).is_some_and(|(_, frame)| {
                    frame.seq > last_seq
                        && (expected_size.is_some() || frame.durable_seq > last_seq)
                })
            });
            match resume_at {
                Some(resume_at) => offset = resume_at,
                None => break,
            }
        }
        match next_header {
            // Frames that the segment had according to the header of the next one.
            Some(header) if header.first_seq > last_seq + 1 => {
                report.lost.push(LostFrames {
                    segment: number,
                    first_seq: last_seq + 1,
                    last_seq: header.first_seq - 1,
                });
            }
            Some(_) => {}
            None => report.torn_bytes += copies.torn_bytes(intact_end),
        }
        bytes.truncate(intact_end);
        bytes
    }

    /// Removes the segments that compaction had made obsolete, and their frames from the report of
    /// lost ones.
    fn remove_obsolete_segments(&mut self, report: &mut Recovery) -> Result<(), OpenError> {
        let oldest = self.oldest_segment;
        report.lost.retain(|lost| lost.segment >= oldest);
        let obsolete: Vec<u64> = self.segments.range(..oldest).map(|(n, _)| *n).collect();
        for number in obsolete {
            self.remove_obsolete_files(number)?;
            self.segments.remove(&number);
        }
        Ok(())
    }

    fn remove_obsolete_files(&self, number: u64) -> Result<(), OpenError> {
        self.remove_files(number)
            .map_err(|error| OpenError::Io(file_name(number), error))
    }
}

/// The name of a segment's file with its folder, for log lines and error messages.
fn full_name<D: Disk>(disk: &D, number: u64) -> String {
    format!("{}/{}", disk.name(), file_name(number))
}

/// Reads the header of a segment in this folder; `None` if it is missing or damaged.
fn read_header<D: Disk>(disk: &D, number: u64) -> Result<Option<Header>, OpenError> {
    let mut bytes = [0; HEADER_BYTES];
    let size = match disk.open(&file_name(number)) {
        Ok(file) => file.read_at(0, &mut bytes).unwrap_or(0),
        Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
        Err(error) => return Err(OpenError::Io(full_name(disk, number), error)),
    };
    match Header::decode(&bytes[..size]) {
        Ok(header) => Ok((header.segment == number).then_some(header)),
        Err(HeaderError::Damaged) => Ok(None),
        Err(HeaderError::UnsupportedVersion(version)) => Err(OpenError::UnsupportedVersion {
            file: full_name(disk, number),
            version,
        }),
    }
}

//! Recovery: reads all segments at the start, rebuilds the index, repairs copies, and reports what
//! is lost.

use super::segment::{
    Segment, file_name, frames, is_temporary_name, read_file, replace_file, segment_number,
};
use super::{Engine, FRAME_OVERHEAD_BYTES, LostFrames, OpenError, Recovery};
use crate::disk::{Disk, File};
use crate::frame::{Change, Frame, HEADER_BYTES, Header, HeaderError};
use std::collections::BTreeMap;
use std::io;

/// The files that a start found.
#[derive(Default)]
struct FileListing {
    /// The segments in any folder, in order.
    segments: Vec<u64>,
    /// Files of repairs that did not end, with the index of their folder.
    temporary: Vec<(usize, String)>,
}

/// The bytes of one segment, in all its copies.
struct SegmentCopies {
    images: Vec<Vec<u8>>,
    /// The header, from the first copy that holds it intact.
    header: Option<Header>,
}

impl SegmentCopies {
    /// The frame at this offset, from the first copy that holds it intact, and that copy's index.
    fn frame_at(&self, segment: u64, offset: usize) -> Option<(usize, Frame<'_>)> {
        self.images
            .iter()
            .enumerate()
            .find_map(|(copy, image)| Some((copy, Frame::decode(segment, image, offset)?)))
    }

    fn longest(&self) -> usize {
        self.images.iter().map(Vec::len).max().unwrap_or(0)
    }

    /// Bytes behind `intact_end` up to the last that is not zero, of the copy that has most of
    /// them.
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
    /// Reads what the folders hold. Nothing is written before all headers are known to be of this
    /// format and store.
    pub(super) fn recover(&mut self) -> Result<Recovery, OpenError> {
        let mut report = Recovery::default();
        let listing = self.list_files()?;
        let headers = self.read_headers(&listing.segments)?;
        for (copy, name) in listing.temporary {
            // A repair that did not end; the file that it was to replace is still there.
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
        // Segments that a newer header no longer counts were to be removed.
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
        self.remove_cleaned_segments(&mut report)?;
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

    /// The headers of all segments, each from the first copy that holds it intact.
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
                    return Err(OpenError::Mixed(full_name(disk, number)));
                }
                found.get_or_insert(header);
            }
            headers.insert(number, found);
        }
        Ok(headers)
    }

    /// Recovers one segment: its frames in their order, from whichever copy holds them intact.
    /// `next_header` is the header of the segment behind it.
    fn recover_segment(
        &mut self,
        number: u64,
        next_header: Option<Header>,
        report: &mut Recovery,
    ) -> Result<(), OpenError> {
        let copies = self.read_copies(number)?;
        if let Some(header) = copies.header {
            // Frames that the segments before should have held; the very first ones may have been
            // cleaned away.
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
        // With copies, all of them are made equal again. A single one is left as it was found.
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

    /// The header that a segment without an intact one gets.
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

    /// Enters the records of a segment into the index.
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

    /// Replaces each copy that does not begin with these bytes.
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

    /// Returns the bytes of a segment up to the end of its last frame that counts, each frame from
    /// a copy that has it intact. Where a frame is damaged in all copies, those behind it still
    /// count if they are known to have been durable: if the next segment says so, or a frame behind
    /// them does.
    fn assemble_segment(
        &self,
        number: u64,
        copies: &SegmentCopies,
        next_header: Option<Header>,
        report: &mut Recovery,
    ) -> Vec<u8> {
        let longest = copies.longest();
        let counted = next_header
            .map(|header| usize::try_from(header.previous_segment_bytes).unwrap_or(usize::MAX));
        let end = counted.unwrap_or(longest).min(longest);
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
                    // Only a hole that was passed over leads here.
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
            let behind_hole = (offset + 1..end).find(|&offset| {
                copies.frame_at(number, offset).is_some_and(|(_, frame)| {
                    frame.seq > last_seq && (counted.is_some() || frame.durable_seq > last_seq)
                })
            });
            match behind_hole {
                Some(behind_hole) => offset = behind_hole,
                None => break,
            }
        }
        match next_header {
            // Frames that the next segment says were there.
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

    /// Removes the segments that had been cleaned away, and what the report says is lost of them.
    fn remove_cleaned_segments(&mut self, report: &mut Recovery) -> Result<(), OpenError> {
        let oldest = self.oldest_segment;
        report.lost.retain(|lost| lost.segment >= oldest);
        let cleaned: Vec<u64> = self.segments.range(..oldest).map(|(n, _)| *n).collect();
        for number in cleaned {
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

/// The name of a segment's file in this folder, for messages.
fn full_name<D: Disk>(disk: &D, number: u64) -> String {
    format!("{}/{}", disk.name(), file_name(number))
}

/// The header of a segment in this folder; `None` if it is not there or damaged.
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
        Err(HeaderError::Version(version)) => Err(OpenError::Version {
            file: full_name(disk, number),
            version,
        }),
    }
}

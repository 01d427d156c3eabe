//! The engine: one thread's view of the store. It appends, commits, reads, cleans and recovers; what it does
//! to files goes through [`Disk`]. Nothing here waits for anything but the disk.
//!
//! # Crash model
//!
//! A frame counts as acknowledged when [`Engine::commit`] has returned well after it was appended. Segments are
//! written in order and synced before the next one begins; a frame that is acknowledged thus has only
//! acknowledged frames before it. After a crash any part of what was not synced may be there, in any order.
//! Recovery tells the torn end of the last segment, which nobody was promised, from damage inside what was
//! acknowledged: a whole frame behind the hole that was made when the missing ones were durable already.

use crate::disk::{Disk, File};
use crate::frame::{self, Change, FRAME, Frame, HEADER, Header, Unread};
use crate::index::{Index, Place, Update};
use std::collections::BTreeMap;
use std::fmt;
use std::io;

/// How a store is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A segment of this many bytes is followed by a new one.
    pub segment: u64,
    /// Files may come to this many bytes; 0 for no limit. Puts beyond it are refused.
    pub most: u64,
    /// Where files come to more than this multiple of what is live, the oldest segments are cleaned.
    pub slack: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            segment: 16 << 20,
            most: 0,
            slack: 1.7,
        }
    }
}

/// Why a store can't be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The disk's.
    Io(String, io::Error),
    /// A file of a format that this program doesn't know.
    Version {
        /// The file.
        file: String,
        /// Its version.
        version: u32,
    },
    /// The files belong to different stores.
    Mixed(String),
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(what, error) => write!(f, "{what}: {error}"),
            Self::Version { file, version } => {
                write!(
                    f,
                    "{file}: format version {version}; this program knows version {}",
                    frame::VERSION
                )
            }
            Self::Mixed(file) => write!(
                f,
                "{file}: belongs to another store than the files beside it"
            ),
        }
    }
}

impl std::error::Error for OpenError {}

/// Why a batch is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// A key or the whole batch is too long.
    TooLong,
    /// The files have come to their limit.
    Full,
}

/// What a recovery found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Segments that count.
    pub segments: usize,
    /// Keys that have a value.
    pub live: usize,
    /// Bytes of files.
    pub bytes: u64,
    /// Bytes behind the last sound frame that nobody was promised.
    pub torn: u64,
    /// Frames, or files, that were written and are gone: `from` to `to` by sequence number.
    pub lost: Vec<Lost>,
    /// Files that were made whole from their copies.
    pub repaired: Vec<String>,
}

/// Frames that are gone though they were acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The segment that held them.
    pub segment: u64,
    /// The first sequence number.
    pub from: u64,
    /// The last one.
    pub to: u64,
}

/// Figures of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Stat {
    /// Keys that have a value.
    pub live: usize,
    /// Bytes that they account for on the disk.
    pub live_bytes: u64,
    /// Bytes of all files, one copy.
    pub bytes: u64,
    /// Segments.
    pub segments: usize,
    /// Bytes of memory of the index beside its keys.
    pub index_bytes: usize,
    /// The last sequence number that is durable.
    pub durable: u64,
    /// Bytes that cleaning has copied.
    pub copied: u64,
}

struct Segment<F> {
    /// Bytes that count.
    size: u64,
    /// Bytes of it that are live.
    live: u64,
    /// One for each folder; `None` where it is not open.
    files: Vec<Option<F>>,
    /// Bytes of the file that are written already, with zeros behind those that count.
    reserved: u64,
    /// A sync of it failed: what is live in it is to be written anew.
    distrusted: bool,
}

/// The segment that is being cleaned.
struct Victim {
    segment: u64,
    image: Vec<u8>,
    at: usize,
    /// All is copied; the segment can go when this frame is durable.
    copied: Option<u64>,
}

/// Bytes that one step of cleaning looks at, at most.
const STEP: usize = 256 << 10;
/// Zeros are written ahead of the frames, so that a sync need not make a new size of the file durable too: so
/// many times the bytes of a group, within these bounds.
const AHEAD: u64 = 2;
const LEAST_AHEAD: u64 = 32 << 10;
const MOST_AHEAD: u64 = 256 << 10;
/// So many small segments are put up with, beside what the size of the store asks for.
const SPARE_SEGMENTS: u64 = 16;

/// A store on one or two folders of the same content.
pub struct Engine<D: Disk> {
    disks: Vec<D>,
    _locks: Vec<D::Lock>,
    options: Options,
    store: u64,
    index: Index,
    segments: BTreeMap<u64, Segment<D::File>>,
    /// The segment that is written; `None` until there is one that can be trusted.
    head: Option<u64>,
    /// Bytes of the segment before the next head that count.
    next_segment: u64,
    /// The folder has to be synced before anything is acknowledged.
    folder_changed: bool,
    /// Frames that are not written yet, and what they change.
    buffer: Vec<u8>,
    updates: Vec<Update>,
    seq: u64,
    durable: u64,
    victim: Option<Victim>,
    copied: u64,
    /// Time in milliseconds of Unix time, as it was told last.
    now: u64,
    /// The oldest segment that counts, as the frames have it.
    oldest: u64,
    /// Damage met while running: a segment that could not be read in any copy.
    damaged: Vec<u64>,
}

fn file_name(segment: u64) -> String {
    format!("{segment:016x}.seg")
}

fn segment_number(name: &str) -> Option<u64> {
    let digits = name
        .strip_suffix(".seg")
        .filter(|digits| digits.len() == 16)?;
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|n| u32::try_from(*n).is_ok())
}

fn remove_if_there<D: Disk>(disk: &D, name: &str) -> io::Result<()> {
    match disk.remove(name) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// The whole content of a file; what can't be read counts as not there.
fn read_file<D: Disk>(disk: &D, name: &str) -> io::Result<Vec<u8>> {
    let file = match disk.open(name) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let mut bytes = vec![0; usize::try_from(file.size()?).map_err(io::Error::other)?];
    match file.read_at(0, &mut bytes) {
        Ok(size) => bytes.truncate(size),
        // A bad sector makes the rest unreadable: block by block, what can be had is had.
        Err(_) => {
            const BLOCK: usize = 4096;
            for (n, block) in bytes.chunks_mut(BLOCK).enumerate() {
                if file.read_at((n * BLOCK) as u64, block).is_err() {
                    block.fill(0);
                }
            }
        }
    }
    Ok(bytes)
}

/// One segment as it was found, in all its copies.
struct Found {
    images: Vec<Vec<u8>>,
    header: Option<Header>,
}

impl Found {
    fn frame(&self, segment: u64, at: usize) -> Option<(usize, Frame<'_>)> {
        let frames = self.images.iter().enumerate();
        frames
            .filter_map(|(copy, image)| Some((copy, Frame::decode(segment, image, at)?)))
            .next()
    }

    fn longest(&self) -> usize {
        self.images.iter().map(Vec::len).max().unwrap_or(0)
    }
}

impl<D: Disk> Engine<D> {
    /// Opens the store in these folders, which hold the same; makes it if it isn't there. `holder` is what
    /// others are told who find it locked, `fresh` a number drawn for a new store, `now` the time in
    /// milliseconds of Unix time.
    ///
    /// # Errors
    ///
    /// If a folder is locked or can't be read or written, or holds files of another format or store. Nothing
    /// is written in that case.
    pub fn open(
        disks: Vec<D>,
        options: Options,
        holder: &str,
        fresh: u64,
        now: u64,
    ) -> Result<(Self, Recovery), OpenError> {
        let mut locks = Vec::new();
        for disk in &disks {
            locks.push(
                disk.lock(holder)
                    .map_err(|error| OpenError::Io(disk.name(), error))?,
            );
        }
        let mut engine = Self {
            disks,
            _locks: locks,
            options,
            store: fresh,
            index: Index::default(),
            segments: BTreeMap::new(),
            head: None,
            next_segment: 1,
            folder_changed: false,
            buffer: Vec::new(),
            updates: Vec::new(),
            seq: 0,
            durable: 0,
            victim: None,
            copied: 0,
            now,
            oldest: 0,
            damaged: Vec::new(),
        };
        let recovery = engine.recover()?;
        Ok((engine, recovery))
    }

    fn recover(&mut self) -> Result<Recovery, OpenError> {
        let mut report = Recovery::default();
        let mut numbers = Vec::new();
        let mut remnants = Vec::new();
        for (copy, disk) in self.disks.iter().enumerate() {
            for name in disk
                .list()
                .map_err(|error| OpenError::Io(disk.name(), error))?
            {
                numbers.extend(segment_number(&name));
                if name.ends_with(".seg.tmp") {
                    remnants.push((copy, name));
                }
            }
        }
        numbers.sort_unstable();
        numbers.dedup();
        let headers = self.headers(&numbers)?;
        for (copy, name) in remnants {
            // A repair that did not end; the file that it was to replace is still there.
            let _ = self.disks[copy].remove(&name);
        }
        let known = headers.values().copied().flatten();
        let oldest = known.clone().map(|header| header.oldest).max().unwrap_or(0);
        if let Some(header) = known.clone().next() {
            self.store = header.store;
        }
        if let Some(last) = numbers.last() {
            self.next_segment = last + 1;
        }
        // What a newer header no longer counts was to be removed.
        for &number in numbers.iter().filter(|n| **n < oldest) {
            self.remove_files(number)
                .map_err(|error| OpenError::Io(file_name(number), error))?;
        }
        self.oldest = oldest;
        let first = numbers
            .iter()
            .copied()
            .find(|n| *n >= oldest)
            .unwrap_or(self.next_segment);
        let from = if oldest > 0 { oldest.min(first) } else { first };
        for number in from..self.next_segment {
            let after = headers.get(&(number + 1)).copied().flatten();
            self.recover_segment(number, after, &mut report)?;
        }
        // What was cleaned away is not missing; a removal that did not end is ended.
        let oldest = self.oldest;
        report.lost.retain(|lost| lost.segment >= oldest);
        let old: Vec<u64> = self
            .segments
            .range(..oldest)
            .map(|(number, _)| *number)
            .collect();
        for number in old {
            self.remove_files(number)
                .map_err(|error| OpenError::Io(file_name(number), error))?;
            self.segments.remove(&number);
        }
        self.durable = self.seq;
        report.segments = self.segments.len();
        report.live = self.index.len();
        report.bytes = self.bytes();
        Ok(report)
    }

    /// The headers of all segments, each from the first copy that has it whole.
    fn headers(&self, numbers: &[u64]) -> Result<BTreeMap<u64, Option<Header>>, OpenError> {
        let mut headers = BTreeMap::new();
        let mut store = None;
        for &number in numbers {
            let name = file_name(number);
            let mut found = None;
            for disk in &self.disks {
                let fault = |error| OpenError::Io(format!("{}/{name}", disk.name()), error);
                let mut bytes = [0; HEADER];
                let size = match disk.open(&name) {
                    Ok(file) => file.read_at(0, &mut bytes).unwrap_or(0),
                    Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
                    Err(error) => return Err(fault(error)),
                };
                let file = || format!("{}/{name}", disk.name());
                match Header::decode(&bytes[..size]) {
                    Ok(header) if header.segment == number => {
                        if *store.get_or_insert(header.store) != header.store {
                            return Err(OpenError::Mixed(file()));
                        }
                        found.get_or_insert(header);
                    }
                    Ok(_) | Err(Unread::Damaged) => {}
                    Err(Unread::Version(version)) => {
                        return Err(OpenError::Version {
                            file: file(),
                            version,
                        });
                    }
                }
            }
            headers.insert(number, found);
        }
        Ok(headers)
    }

    /// Takes in one segment: its frames in their order, from whichever copy has them whole.
    fn recover_segment(
        &mut self,
        number: u64,
        after: Option<Header>,
        report: &mut Recovery,
    ) -> Result<(), OpenError> {
        let name = file_name(number);
        let mut found = Found {
            images: Vec::new(),
            header: None,
        };
        for disk in &self.disks {
            let image = read_file(disk, &name)
                .map_err(|error| OpenError::Io(format!("{}/{name}", disk.name()), error))?;
            let header = Header::decode(&image).ok().filter(|h| h.segment == number);
            found.header = found.header.or(header);
            found.images.push(image);
        }
        if let Some(header) = found.header {
            // Frames that the segments before should have held; the very first ones may have been cleaned away.
            if header.first > self.seq + 1 && !self.segments.is_empty() {
                report.lost.push(Lost {
                    segment: number - 1,
                    from: self.seq + 1,
                    to: header.first - 1,
                });
            }
            self.seq = self.seq.max(header.first.saturating_sub(1));
        }
        let mut bytes = self.sound_frames(number, &found, after, report);
        let header = found.header.unwrap_or(Header {
            store: self.store,
            segment: number,
            oldest: 0,
            before: self.segments.get(&(number - 1)).map_or(0, |s| s.size),
            first: self.seq + 1,
        });
        bytes[..HEADER].copy_from_slice(&header.encode());
        let size = bytes.len() as u64;
        let files = self.disks.iter().map(|_| None).collect();
        let lost_all = found.header.is_none() && bytes.len() == HEADER;
        let segment = Segment {
            size,
            live: 0,
            files,
            reserved: size,
            distrusted: false,
        };
        self.segments.insert(number, segment);
        let mut at = HEADER;
        while at < bytes.len() {
            let Some(frame) = Frame::decode(number, &bytes, at) else {
                at += 1;
                continue;
            };
            let mut extra = FRAME;
            for (change, op) in frame::changes(frame.content) {
                if let Change::Mark { oldest } = op {
                    self.oldest = self.oldest.max(oldest);
                    continue;
                }
                let updated = Self::update(number, at, change, &op, extra, self.now);
                extra = 0;
                Self::apply(&mut self.index, &mut self.segments, updated);
            }
            self.seq = self.seq.max(frame.seq);
            at += frame.size();
        }
        // With copies, all of them hold the same again. A single one is left as it was found.
        if self.disks.len() > 1 && !lost_all {
            for (copy, image) in found.images.iter().enumerate() {
                if !image.starts_with(&bytes) {
                    let disk = &self.disks[copy];
                    let fault = |error| OpenError::Io(format!("{}/{name}", disk.name()), error);
                    Self::replace(disk, &name, &bytes).map_err(fault)?;
                    report.repaired.push(format!("{}/{name}", disk.name()));
                }
            }
        }
        Ok(())
    }

    /// Finds the frames that count, and gives the segment's bytes up to the end of the last. Where a frame is damaged in all copies, those behind it still count if it
    /// is known to have been durable: if the next segment says so, or a frame behind it does.
    fn sound_frames(
        &self,
        number: u64,
        found: &Found,
        after: Option<Header>,
        report: &mut Recovery,
    ) -> Vec<u8> {
        let most = found.longest();
        let limit = after.map(|header| usize::try_from(header.before).unwrap_or(usize::MAX));
        let end = limit.unwrap_or(most).min(most);
        let mut bytes = vec![0; end.max(HEADER)];
        let (mut at, mut last, mut sound) = (HEADER, self.seq, HEADER);
        while at < end {
            let next = found
                .frame(number, at)
                .filter(|(_, frame)| frame.seq > last && at + frame.size() <= end);
            if let Some((copy, frame)) = next {
                if frame.seq > last + 1 {
                    // Only a hole that was passed over leads here.
                    report.lost.push(Lost {
                        segment: number,
                        from: last + 1,
                        to: frame.seq - 1,
                    });
                }
                let size = frame.size();
                bytes[at..at + size].copy_from_slice(&found.images[copy][at..at + size]);
                (last, at) = (frame.seq, at + size);
                sound = at;
                continue;
            }
            let behind = (at + 1..end).find_map(|at| {
                let (_, frame) = found.frame(number, at)?;
                let counts = frame.seq > last && (limit.is_some() || frame.durable > last);
                counts.then_some(at)
            });
            match behind {
                Some(behind) => at = behind,
                None => break,
            }
        }
        match after {
            // What the next segment says was there and is not.
            Some(header) if header.first > last + 1 => {
                report.lost.push(Lost {
                    segment: number,
                    from: last + 1,
                    to: header.first - 1,
                });
            }
            Some(_) => {}
            None => {
                let tails = found.images.iter().filter_map(|image| image.get(sound..));
                let torn = tails.filter_map(|tail| tail.iter().rposition(|byte| *byte != 0));
                report.torn += torn.max().map_or(0, |last| last as u64 + 1);
            }
        }
        bytes.truncate(sound);
        bytes
    }

    /// Puts a whole new file in the place of one.
    fn replace(disk: &D, name: &str, bytes: &[u8]) -> io::Result<()> {
        let new = format!("{name}.tmp");
        let _ = disk.remove(&new);
        let file = disk.create(&new)?;
        file.write_at(0, bytes)?;
        file.sync()?;
        disk.rename(&new, name)?;
        disk.sync_folder()
    }

    fn update(
        segment: u64,
        at: usize,
        change: usize,
        op: &Change<'_>,
        extra: usize,
        now: u64,
    ) -> Update {
        let bytes = (op.size() + extra) as u32;
        let place = Place {
            segment: segment as u32,
            frame: at as u32,
            change: change as u32,
            bytes,
        };
        let place = match op {
            Change::Put { until, .. } if *until == 0 || *until > now => Some(place),
            // What has expired counts as deleted.
            _ => None,
        };
        Update {
            key: op.key().into(),
            place,
        }
    }

    fn apply(index: &mut Index, segments: &mut BTreeMap<u64, Segment<D::File>>, update: Update) {
        let old = match update.place {
            Some(place) => {
                if let Some(segment) = segments.get_mut(&place.segment.into()) {
                    segment.live += u64::from(place.bytes);
                }
                index.put(update.key, place)
            }
            None => index.remove(&update.key),
        };
        if let Some(old) = old
            && let Some(segment) = segments.get_mut(&old.segment.into())
        {
            segment.live -= u64::from(old.bytes);
        }
    }

    /// Tells the time, in milliseconds of Unix time.
    pub fn tell(&mut self, now: u64) {
        self.now = now;
    }

    /// Bytes of all files, one copy.
    fn bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.size).sum()
    }

    /// Figures.
    pub fn stat(&self) -> Stat {
        Stat {
            live: self.index.len(),
            live_bytes: self.index.live(),
            bytes: self.bytes(),
            segments: self.segments.len(),
            index_bytes: self.index.overhead(),
            durable: self.durable,
            copied: self.copied,
        }
    }

    /// Segments of which a part could not be read in any copy, since the start.
    pub fn damaged(&self) -> &[u64] {
        &self.damaged
    }

    /// Whether a key has a value that is acknowledged.
    pub fn has(&self, key: &[u8]) -> bool {
        self.index.get(key).is_some()
    }

    /// Takes a batch, which will count all or none; the sequence number of its frame. It is acknowledged with
    /// the next [`Engine::commit`] that goes well.
    ///
    /// # Errors
    ///
    /// If it is too long, or would bring the files over their limit.
    pub fn append(&mut self, batch: &[Change<'_>]) -> Result<u64, Rejected> {
        let content: usize = batch.iter().map(Change::size).sum();
        if batch.is_empty()
            || content > frame::MOST_CONTENT
            || batch.iter().any(|c| c.key().len() > frame::MOST_KEY)
        {
            return Err(Rejected::TooLong);
        }
        let puts = batch
            .iter()
            .any(|change| matches!(change, Change::Put { .. }));
        // Room to clean a segment into is kept, and deletes are taken always: they are what makes room.
        let most = self
            .options
            .most
            .saturating_sub(2 * self.options.segment)
            .max(self.options.most / 2);
        let coming = self.bytes() + (self.buffer.len() + FRAME + content) as u64;
        if puts && most > 0 && coming > most {
            return Err(Rejected::Full);
        }
        Ok(self.push(batch))
    }

    /// Adds a frame to the buffer. Places are those in a file that begins with the buffer; they are moved
    /// when it is written.
    fn push(&mut self, batch: &[Change<'_>]) -> u64 {
        self.seq += 1;
        let at = self.buffer.len();
        // The segment is known only when it is written.
        frame::encode(0, self.seq, self.durable, &mut self.buffer, |out| {
            batch.iter().for_each(|change| change.encode(out));
        });
        let (mut change, mut extra) = (0, FRAME);
        for op in batch {
            if !matches!(op, Change::Mark { .. }) {
                self.updates
                    .push(Self::update(0, at, change, op, extra, self.now));
            }
            change += op.size();
            extra = 0;
        }
        self.seq
    }

    /// Makes all that was appended durable; the last sequence number that is. Where that fails on the segment
    /// that is written, all is written anew in another one.
    ///
    /// # Errors
    ///
    /// If that fails too: then nothing of what was appended since the last commit counts.
    pub fn commit(&mut self) -> io::Result<u64> {
        if self.buffer.is_empty() {
            return Ok(self.durable);
        }
        let mut written = Err(io::ErrorKind::NotFound.into());
        if let Some(head) = self.head {
            let full = self
                .segments
                .get(&head)
                .is_none_or(|s| s.size >= self.options.segment);
            if full {
                self.seal(head);
            } else {
                written = self.write(head);
                if written.is_err() {
                    self.abandon(head);
                }
            }
        }
        if written.is_err() {
            written = self
                .roll()
                .and_then(|head| self.write(head).inspect_err(|_| self.abandon(head)));
        }
        match written {
            Ok((head, at)) => {
                self.durable = self.seq;
                let size = self.buffer.len() as u64;
                if let Some(segment) = self.segments.get_mut(&head) {
                    segment.size += size;
                }
                for mut update in std::mem::take(&mut self.updates) {
                    if let Some(place) = &mut update.place {
                        (place.segment, place.frame) = (head as u32, place.frame + at as u32);
                    }
                    Self::apply(&mut self.index, &mut self.segments, update);
                }
                self.buffer.clear();
                Ok(self.durable)
            }
            Err(error) => {
                self.buffer.clear();
                self.updates.clear();
                self.seq = self.durable;
                // What cleaning had copied is gone with it.
                self.victim = None;
                Err(error)
            }
        }
    }

    /// Writes the buffer at the end of a segment and syncs it.
    fn write(&mut self, head: u64) -> io::Result<(u64, u64)> {
        frame::readdress(head, &mut self.buffer);
        let Some(segment) = self.segments.get_mut(&head) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let at = segment.size;
        let group = self.buffer.len() as u64;
        if at + group > segment.reserved {
            let room = self.options.segment.saturating_sub(at + group);
            let ahead = (group * AHEAD).clamp(LEAST_AHEAD, MOST_AHEAD).min(room);
            self.buffer.resize(self.buffer.len() + ahead as usize, 0);
            segment.reserved = at + group + ahead;
        }
        let mut written = segment
            .files
            .iter()
            .flatten()
            .try_for_each(|file| file.write_at(at, &self.buffer));
        self.buffer.truncate(group as usize);
        if written
            .as_ref()
            .is_err_and(|error| error.kind() == io::ErrorKind::StorageFull)
        {
            // There may be room without the zeros.
            segment.reserved = at + group;
            written = segment
                .files
                .iter()
                .flatten()
                .try_for_each(|file| file.write_at(at, &self.buffer));
        }
        written?;
        for file in segment.files.iter().flatten() {
            file.sync()?;
        }
        if self.folder_changed {
            for disk in &self.disks {
                disk.sync_folder()?;
            }
            self.folder_changed = false;
        }
        Ok((head, at))
    }

    /// Writes no more to a segment.
    fn seal(&mut self, head: u64) {
        self.head = None;
        if let Some(segment) = self.segments.get_mut(&head) {
            segment.reserved = segment.size;
            for file in segment.files.iter().flatten() {
                // The zeros do no harm if they stay.
                let _ = file.truncate(segment.size);
            }
        }
    }

    /// Begins a new segment.
    fn roll(&mut self) -> io::Result<u64> {
        let number = self.next_segment;
        if u32::try_from(number).is_err() {
            return Err(io::Error::other("no numbers are left for segments"));
        }
        let before = self
            .segments
            .get(&(number - 1))
            .map_or(0, |segment| segment.size);
        let oldest = self.segments.keys().next().copied().unwrap_or(number);
        let header = Header {
            store: self.store,
            segment: number,
            oldest,
            before,
            first: self.durable + 1,
        };
        let name = file_name(number);
        let mut files = Vec::new();
        self.folder_changed = true;
        for disk in &self.disks {
            // A try that failed may have left one of this name; nothing in it was ever acknowledged.
            remove_if_there(disk, &name)?;
            let file = disk.create(&name)?;
            file.write_at(0, &header.encode())?;
            files.push(Some(file));
        }
        let size = HEADER as u64;
        let segment = Segment {
            size,
            live: 0,
            files,
            reserved: size,
            distrusted: false,
        };
        self.segments.insert(number, segment);
        self.next_segment = number + 1;
        self.head = Some(number);
        Ok(number)
    }

    /// Writes no more to a segment after a write or a sync of it failed. Nothing that was acknowledged is lost
    /// with it, but its pages are not trusted: what is live in it is written anew when there is a disk again.
    fn abandon(&mut self, head: u64) {
        self.head = None;
        let Some(segment) = self.segments.get_mut(&head) else {
            return;
        };
        if segment.size == HEADER as u64 {
            // Nothing in it was ever acknowledged: its number is used again.
            self.segments.remove(&head);
            for disk in &self.disks {
                let _ = disk.remove(&file_name(head));
            }
            self.next_segment = head;
            return;
        }
        segment.distrusted = true;
        for file in segment.files.iter().flatten() {
            // If the disk still takes it, what was refused is not found again after a crash either.
            let _ = file.truncate(segment.size);
        }
    }

    /// Whether the disk takes writes again, after it did not.
    ///
    /// # Errors
    ///
    /// If it does not.
    pub fn probe(&mut self) -> io::Result<()> {
        if self.head.is_none() && self.buffer.is_empty() {
            let head = self.roll()?;
            let segment = self
                .segments
                .get_mut(&head)
                .ok_or(io::ErrorKind::NotFound)?;
            // Room for a header alone would be no room.
            let ahead = vec![0; LEAST_AHEAD as usize];
            let tried = segment
                .files
                .iter()
                .flatten()
                .try_for_each(|file| file.write_at(segment.size, &ahead));
            segment.reserved = segment.size + LEAST_AHEAD;
            let tried = tried.and_then(|()| self.write(head));
            if let Err(error) = tried {
                self.abandon(head);
                return Err(error);
            }
        }
        Ok(())
    }

    fn remove_files(&mut self, number: u64) -> io::Result<()> {
        for disk in &self.disks {
            remove_if_there(disk, &file_name(number))?;
        }
        // Its absence must be durable before an older delete that it would undo is dropped.
        for disk in &self.disks {
            disk.sync_folder()?;
        }
        Ok(())
    }

    /// The acknowledged value of a key.
    ///
    /// # Errors
    ///
    /// The disk's, and `InvalidData` where no copy has it whole.
    pub fn get(&mut self, key: &[u8]) -> io::Result<Option<Vec<u8>>> {
        let Some(place) = self.index.get(key) else {
            return Ok(None);
        };
        let number = u64::from(place.segment);
        let mut sound = None;
        let mut bad = Vec::new();
        let mut failed = io::Error::new(
            io::ErrorKind::InvalidData,
            format!("{}: damaged", file_name(number)),
        );
        for copy in 0..self.disks.len() {
            match self.read_frame(number, copy, place.frame.into()) {
                Ok(Some(frame)) => {
                    sound.get_or_insert(frame);
                }
                Ok(None) => bad.push(copy),
                Err(error) => {
                    bad.push(copy);
                    failed = error;
                }
            }
            // A second copy is looked at only for the first one's sake.
            if bad.is_empty() {
                break;
            }
        }
        let Some(frame) = sound else {
            self.note_damage(number);
            return Err(failed);
        };
        for copy in bad {
            let file = self.file(number, copy);
            // It has been read soundly elsewhere; a repair that fails is tried with the next read.
            let _ = file.and_then(|file| {
                file.write_at(place.frame.into(), &frame)
                    .and_then(|()| file.sync())
            });
        }
        let content = &frame[FRAME + place.change as usize..];
        match Change::decode(content) {
            Some((
                Change::Put {
                    key: found, value, ..
                },
                _,
            )) if found == key => Ok(Some(value.to_vec())),
            _ => Err(failed),
        }
    }

    fn file(&mut self, number: u64, copy: usize) -> io::Result<&D::File> {
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

    /// One frame's bytes, if they are whole in this copy.
    fn read_frame(&mut self, number: u64, copy: usize, at: u64) -> io::Result<Option<Vec<u8>>> {
        let file = self.file(number, copy)?;
        let mut frame = vec![0; FRAME];
        if file.read_at(at, &mut frame)? < FRAME {
            return Ok(None);
        }
        let size = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
        if size > frame::MOST_CONTENT {
            return Ok(None);
        }
        frame.resize(FRAME + size, 0);
        if file.read_at(at + FRAME as u64, &mut frame[FRAME..])? < size {
            return Ok(None);
        }
        Ok(Frame::decode(number, &frame, 0).is_some().then_some(frame))
    }

    /// Shows every live record, in the order in which they were written.
    ///
    /// # Errors
    ///
    /// The disk's. A record that is damaged is passed over and its segment noted in [`Engine::damaged`].
    pub fn scan(&mut self, mut show: impl FnMut(&[u8], &[u8])) -> io::Result<()> {
        let numbers: Vec<u64> = self.segments.keys().copied().collect();
        for number in numbers {
            if self
                .segments
                .get(&number)
                .is_none_or(|segment| segment.live == 0)
            {
                continue;
            }
            let image = self.image(number)?;
            let mut at = HEADER;
            while let Some(frame) = self.next_frame(number, &image, &mut at) {
                for (change, op) in frame::changes(frame.1.content) {
                    if let Change::Put { key, value, .. } = op
                        && self.is_live(number, frame.0, change, key)
                    {
                        show(key, value);
                    }
                }
            }
        }
        Ok(())
    }

    fn is_live(&self, number: u64, frame: usize, change: usize, key: &[u8]) -> bool {
        self.index.get(key).is_some_and(|place| {
            (
                u64::from(place.segment),
                place.frame as usize,
                place.change as usize,
            ) == (number, frame, change)
        })
    }

    /// The next sound frame from `at` on, with where it begins; what is damaged is passed over.
    fn next_frame<'a>(
        &self,
        number: u64,
        image: &'a [u8],
        at: &mut usize,
    ) -> Option<(usize, Frame<'a>)> {
        let (begins, frame) =
            (*at..image.len()).find_map(|at| Some((at, Frame::decode(number, image, at)?)))?;
        *at = begins + frame.size();
        Some((begins, frame))
    }

    /// A segment's bytes, each frame from a copy that has it whole.
    fn image(&mut self, number: u64) -> io::Result<Vec<u8>> {
        let size = self
            .segments
            .get(&number)
            .map_or(0, |segment| segment.size as usize);
        let mut image = Vec::new();
        for copy in 0..self.disks.len() {
            let read = read_file(&self.disks[copy], &file_name(number))?;
            if copy == 0 {
                image = read;
                image.resize(size, 0);
                if self.whole(number, &image) {
                    break;
                }
                continue;
            }
            let mut at = HEADER;
            while let Some((begins, frame)) = self.next_frame(number, &read, &mut at) {
                let end = begins + frame.size();
                if end <= size {
                    image[begins..end].copy_from_slice(&read[begins..end]);
                }
            }
        }
        if !self.whole(number, &image) {
            self.note_damage(number);
        }
        Ok(image)
    }

    fn note_damage(&mut self, number: u64) {
        if !self.damaged.contains(&number) {
            self.damaged.push(number);
        }
    }

    fn whole(&self, number: u64, image: &[u8]) -> bool {
        let mut at = HEADER;
        while let Some(frame) = Frame::decode(number, image, at) {
            at += frame.size();
        }
        at == image.len()
    }

    /// The segment that ought to be cleaned next.
    fn next_victim(&self, at_any_rate: bool) -> Option<u64> {
        let (&first, segment) = self.segments.iter().next()?;
        if let Some((&number, _)) = self
            .segments
            .iter()
            .find(|(n, s)| s.distrusted && Some(**n) != self.head)
        {
            return Some(number);
        }
        if Some(first) == self.head {
            return None;
        }
        let (bytes, live) = (self.bytes(), self.index.live());
        let wanted = (live as f64 * self.options.slack) as u64 + self.options.segment;
        let many = 2 * bytes / self.options.segment + SPARE_SEGMENTS;
        let worth = segment.live == 0 || bytes > wanted || self.segments.len() as u64 > many;
        (worth || (at_any_rate && bytes > live)).then_some(first)
    }

    /// Whether cleaning is due, or under way.
    pub fn wants_cleaning(&self) -> bool {
        self.victim.is_some() || self.next_victim(false).is_some()
    }

    /// Does a bounded piece of cleaning: copies what is live in the oldest segment to the head, or, once that
    /// is durable, removes the segment. Copies become durable with the next [`Engine::commit`].
    ///
    /// # Errors
    ///
    /// The disk's: the segment stays, and cleaning begins anew.
    pub fn clean(&mut self) -> io::Result<()> {
        self.clean_some(false)
    }

    fn clean_some(&mut self, at_any_rate: bool) -> io::Result<()> {
        let Some(mut victim) = self.victim.take() else {
            if let Some(segment) = self.next_victim(at_any_rate) {
                let image = self.image(segment)?;
                self.victim = Some(Victim {
                    segment,
                    image,
                    at: HEADER,
                    copied: None,
                });
            }
            return Ok(());
        };
        if let Some(seq) = victim.copied {
            if seq <= self.durable {
                return self.drop_victim(victim.segment);
            }
            self.victim = Some(victim);
            return Ok(());
        }
        let oldest = self.segments.keys().next() == Some(&victim.segment);
        let until = victim.at + STEP;
        let image = std::mem::take(&mut victim.image);
        while victim.at < until {
            let mut at = victim.at;
            let Some((begins, frame)) = self.next_frame(victim.segment, &image, &mut at) else {
                // Durable before the file goes: a start must be able to tell a file that was removed from one
                // that is missing.
                let mark = Change::Mark {
                    oldest: victim.segment + 1,
                };
                victim.copied = Some(if oldest { self.push(&[mark]) } else { self.seq });
                break;
            };
            victim.at = at;
            for (change, op) in frame::changes(frame.content) {
                let copied = match op {
                    Change::Put { key, until, .. }
                        if self.is_live(victim.segment, begins, change, key) =>
                    {
                        if until != 0 && until <= self.now {
                            // It leaves here. Older values of its key, if there are any, must not come back.
                            let gone = Update {
                                key: key.into(),
                                place: None,
                            };
                            Self::apply(&mut self.index, &mut self.segments, gone);
                            (!oldest).then_some(Change::Delete { key })
                        } else {
                            Some(op)
                        }
                    }
                    // A delete is needed as long as an older segment may hold what it deletes.
                    Change::Delete { key } if !oldest && !self.has(key) => Some(op),
                    _ => None,
                };
                // A newer change that waits in the buffer goes before the copy.
                if let Some(op) =
                    copied.filter(|op| !self.updates.iter().any(|u| *u.key == *op.key()))
                {
                    self.copied += op.size() as u64;
                    self.push(&[op]);
                }
            }
        }
        victim.image = image;
        self.victim = Some(victim);
        Ok(())
    }

    fn drop_victim(&mut self, number: u64) -> io::Result<()> {
        let oldest = self.segments.keys().next() == Some(&number);
        if !oldest {
            // It has to stay in its place, or the ones before and behind would seem to miss it. All that was
            // live in it is elsewhere, so that it goes without more work when it is the oldest.
            if let Some(segment) = self.segments.get_mut(&number) {
                segment.distrusted = false;
            }
            return Ok(());
        }
        // While a file can't be read in any copy, nothing of it is thrown away.
        if self.damaged.contains(&number) && self.segments.get(&number).is_some_and(|s| s.live > 0)
        {
            return Ok(());
        }
        self.remove_files(number)?;
        self.segments.remove(&number);
        Ok(())
    }

    /// Cleans until every file but the last holds nothing that is not live, whatever the slack.
    ///
    /// # Errors
    ///
    /// The disk's.
    pub fn compact(&mut self) -> io::Result<()> {
        let last = self.next_segment;
        if self.index.live() < self.bytes() {
            // All that is there is older than what is written from now on.
            if let Some(head) = self.head {
                self.seal(head);
            }
        }
        while self.victim.is_some()
            || self
                .next_victim(true)
                .is_some_and(|victim| victim < last && !self.damaged.contains(&victim))
        {
            self.clean_some(true)?;
            if !self.buffer.is_empty() {
                self.commit()?;
            }
        }
        Ok(())
    }
}

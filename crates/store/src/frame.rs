//! The file format: a header, then frames. No I/O.
//!
//! All numbers are little-endian. A file begins with a header of [`HEADER_BYTES`] bytes:
//!
//! | at | size | what |
//! | --- | --- | --- |
//! | 0 | 8 | `PPXSTORE` |
//! | 8 | 4 | version of the format |
//! | 12 | 4 | CRC32C of the other 60 bytes |
//! | 16 | 8 | the number of the store, drawn when it was created |
//! | 24 | 8 | the number of the segment |
//! | 32 | 8 | the oldest segment that counts |
//! | 40 | 8 | how many bytes of the segment before this one count |
//! | 48 | 8 | the first sequence number that this segment may hold |
//! | 56 | 8 | 0 |
//!
//! A frame is a batch of changes that take effect together or not at all, behind
//! [`FRAME_HEADER_BYTES`] bytes:
//!
//! | at | size | what |
//! | --- | --- | --- |
//! | 0 | 4 | length of the content behind these 24 bytes |
//! | 4 | 4 | CRC32C of the segment's number, bytes 0 to 4, bytes 8 to 24 and the content |
//! | 8 | 8 | sequence number; each frame has the next one |
//! | 16 | 4 | how many sequence numbers the last durable frame was behind when this one was made |
//! | 20 | 1 | kind: 1, a batch |
//! | 21 | 1 | version of the kind: 1 |
//! | 22 | 2 | 0 |
//!
//! A change is a put: `1`, length of the key (2), length of the value (4), expiry (8, milliseconds
//! of Unix time, 0 for never), key, value; or a delete: `2`, length of the key (2), key; or a mark
//! of the oldest segment: `3`, the oldest segment that counts from here on (8).

/// Size of a file's header, in bytes.
pub const HEADER_BYTES: usize = 64;
/// Size of what precedes a frame's content, in bytes.
pub const FRAME_HEADER_BYTES: usize = 24;
/// Longest content of a frame, in bytes: a damaged length must not cost more memory than that.
pub const MAX_CONTENT_BYTES: usize = 16 << 20;
/// Longest key, in bytes: well below what its length field of 16 bits can hold.
pub const MAX_KEY_BYTES: usize = 1024;
/// The format version that this program writes and reads.
pub const FORMAT_VERSION: u32 = 1;

/// First bytes of a file.
const MAGIC: &[u8; 8] = b"PPXSTORE";
/// Kind of a frame that holds a batch.
const BATCH_KIND: u8 = 1;
/// Version of that kind.
const BATCH_VERSION: u8 = 1;
/// First byte of a put.
const PUT_TAG: u8 = 1;
/// First byte of a delete.
const DELETE_TAG: u8 = 2;
/// First byte of a mark of the oldest segment.
const OLDEST_SEGMENT_TAG: u8 = 3;
/// Bytes of a put in front of key and value.
const PUT_HEADER_BYTES: usize = 15;
/// Bytes of a delete in front of the key.
const DELETE_HEADER_BYTES: usize = 3;
/// Bytes of a mark of the oldest segment.
const OLDEST_SEGMENT_BYTES: usize = 9;

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap_or_default())
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap_or_default())
}

/// A file's header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The number of the store.
    pub store_id: u64,
    /// The number of the segment.
    pub segment: u64,
    /// Segments before this one no longer count.
    pub oldest_segment: u64,
    /// How many bytes of the segment before this one count.
    pub previous_segment_bytes: u64,
    /// The first sequence number that this segment may hold.
    pub first_seq: u64,
}

/// Why bytes can't be decoded as a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// They are damaged or cut short.
    Damaged,
    /// They are intact, and of a version that this program doesn't know.
    Version(u32),
}

impl Header {
    /// Encodes the header.
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..8].copy_from_slice(MAGIC);
        bytes[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        for (at, number) in [
            (16, self.store_id),
            (24, self.segment),
            (32, self.oldest_segment),
            (40, self.previous_segment_bytes),
            (48, self.first_seq),
        ] {
            bytes[at..at + 8].copy_from_slice(&number.to_le_bytes());
        }
        let checksum = Self::checksum(&bytes);
        bytes[12..16].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    fn checksum(bytes: &[u8]) -> u32 {
        crc32c::crc32c_append(crc32c::crc32c(&bytes[..12]), &bytes[16..HEADER_BYTES])
    }

    /// Decodes the header at the start of a file.
    ///
    /// # Errors
    ///
    /// If it is damaged, or intact and of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeaderError> {
        if bytes.len() < HEADER_BYTES
            || &bytes[..8] != MAGIC
            || u32_at(bytes, 12) != Self::checksum(bytes)
        {
            return Err(HeaderError::Damaged);
        }
        match u32_at(bytes, 8) {
            FORMAT_VERSION => {}
            version => return Err(HeaderError::Version(version)),
        }
        Ok(Self {
            store_id: u64_at(bytes, 16),
            segment: u64_at(bytes, 24),
            oldest_segment: u64_at(bytes, 32),
            previous_segment_bytes: u64_at(bytes, 40),
            first_seq: u64_at(bytes, 48),
        })
    }
}

/// One change of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// The key has this value from now on.
    Put {
        /// The key.
        key: &'a [u8],
        /// Its value.
        value: &'a [u8],
        /// When it expires, in milliseconds of Unix time; 0 for never.
        expires_at_ms: u64,
    },
    /// The key has no value from now on.
    Delete {
        /// The key.
        key: &'a [u8],
    },
    /// Segments before this one no longer count. Written by the store itself; it has no key.
    OldestSegment {
        /// The oldest segment that counts.
        segment: u64,
    },
}

impl<'a> Change<'a> {
    /// The key; empty for a mark of the oldest segment.
    pub fn key(&self) -> &'a [u8] {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
            Self::OldestSegment { .. } => b"",
        }
    }

    /// The encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Self::Put { key, value, .. } => PUT_HEADER_BYTES + key.len() + value.len(),
            Self::Delete { key } => DELETE_HEADER_BYTES + key.len(),
            Self::OldestSegment { .. } => OLDEST_SEGMENT_BYTES,
        }
    }

    /// Appends the encoded change.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Self::Put {
                key,
                value,
                expires_at_ms,
            } => {
                out.push(PUT_TAG);
                out.extend((key.len() as u16).to_le_bytes());
                out.extend((value.len() as u32).to_le_bytes());
                out.extend(expires_at_ms.to_le_bytes());
                out.extend(*key);
                out.extend(*value);
            }
            Self::Delete { key } => {
                out.push(DELETE_TAG);
                out.extend((key.len() as u16).to_le_bytes());
                out.extend(*key);
            }
            Self::OldestSegment { segment } => {
                out.push(OLDEST_SEGMENT_TAG);
                out.extend(segment.to_le_bytes());
            }
        }
    }

    /// Decodes the change at the start of the bytes, and returns it with its size. `None` if there
    /// is none.
    pub fn decode(bytes: &'a [u8]) -> Option<(Self, usize)> {
        let change = match *bytes.first()? {
            PUT_TAG => Self::decode_put(bytes)?,
            DELETE_TAG => {
                let size = DELETE_HEADER_BYTES + key_size(bytes)?;
                let key = bytes.get(DELETE_HEADER_BYTES..size)?;
                Self::Delete { key }
            }
            OLDEST_SEGMENT_TAG => Self::OldestSegment {
                segment: u64_at(bytes.get(..OLDEST_SEGMENT_BYTES)?, 1),
            },
            _ => return None,
        };
        Some((change, change.size()))
    }

    fn decode_put(bytes: &'a [u8]) -> Option<Self> {
        let header = bytes.get(..PUT_HEADER_BYTES)?;
        let key_size = key_size(bytes)?;
        let value_size = u32_at(header, 3) as usize;
        let size = PUT_HEADER_BYTES
            .checked_add(key_size)?
            .checked_add(value_size)?;
        let (key, value) = bytes.get(PUT_HEADER_BYTES..size)?.split_at(key_size);
        Some(Self::Put {
            key,
            value,
            expires_at_ms: u64_at(header, 7),
        })
    }
}

/// The length of the key of an encoded put or delete.
fn key_size(bytes: &[u8]) -> Option<usize> {
    let size = bytes.get(1..3)?.try_into().ok()?;
    Some(u16::from_le_bytes(size).into())
}

/// Returns the changes in a frame's content, each with its offset.
pub fn changes(content: &[u8]) -> impl Iterator<Item = (usize, Change<'_>)> {
    let mut offset = 0;
    std::iter::from_fn(move || {
        let (change, size) = Change::decode(&content[offset..])?;
        let begin = offset;
        offset += size;
        Some((begin, change))
    })
}

/// An intact frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Its sequence number.
    pub seq: u64,
    /// The sequence number of the last frame that was durable when this one was made.
    pub durable_seq: u64,
    /// Its encoded changes.
    pub content: &'a [u8],
}

fn frame_checksum(segment: u64, frame: &[u8]) -> u32 {
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&segment.to_le_bytes()), &frame[..4]);
    crc32c::crc32c_append(checksum, &frame[8..])
}

impl<'a> Frame<'a> {
    /// The encoded size in bytes.
    pub fn size(&self) -> usize {
        FRAME_HEADER_BYTES + self.content.len()
    }

    /// Decodes the frame that begins at `offset` of a segment's file; `None` if there is none.
    pub fn decode(segment: u64, file: &'a [u8], offset: usize) -> Option<Self> {
        let header = file.get(offset..offset.checked_add(FRAME_HEADER_BYTES)?)?;
        let size = u32_at(header, 0) as usize;
        let is_known =
            header[20] == BATCH_KIND && header[21] == BATCH_VERSION && header[22..24] == [0, 0];
        if !is_known || size == 0 || size > MAX_CONTENT_BYTES {
            return None;
        }
        let frame = file.get(offset..offset + FRAME_HEADER_BYTES + size)?;
        if u32_at(header, 4) != frame_checksum(segment, frame) {
            return None;
        }
        let seq = u64_at(header, 8);
        let durable_seq = seq.saturating_sub(u32_at(header, 16).into());
        Some(Self {
            seq,
            durable_seq,
            content: &frame[FRAME_HEADER_BYTES..],
        })
    }
}

/// Appends an encoded frame whose content is written by `write_content`.
pub fn encode(
    segment: u64,
    seq: u64,
    durable_seq: u64,
    out: &mut Vec<u8>,
    write_content: impl FnOnce(&mut Vec<u8>),
) {
    let begin = out.len();
    out.extend([0; FRAME_HEADER_BYTES]);
    write_content(out);
    let size = (out.len() - begin - FRAME_HEADER_BYTES) as u32;
    let lag = u32::try_from(seq - durable_seq).unwrap_or(u32::MAX);
    let frame = &mut out[begin..];
    frame[..4].copy_from_slice(&size.to_le_bytes());
    frame[8..16].copy_from_slice(&seq.to_le_bytes());
    frame[16..20].copy_from_slice(&lag.to_le_bytes());
    frame[20] = BATCH_KIND;
    frame[21] = BATCH_VERSION;
    let checksum = frame_checksum(segment, frame);
    frame[4..8].copy_from_slice(&checksum.to_le_bytes());
}

/// Gives the frames of a buffer, which were encoded for another segment, the checksums for this
/// one.
pub fn readdress(segment: u64, frames: &mut [u8]) {
    let mut offset = 0;
    while offset + FRAME_HEADER_BYTES <= frames.len() {
        let end = offset + FRAME_HEADER_BYTES + u32_at(frames, offset) as usize;
        let Some(frame) = frames.get_mut(offset..end) else {
            return;
        };
        let checksum = frame_checksum(segment, frame);
        frame[4..8].copy_from_slice(&checksum.to_le_bytes());
        offset = end;
    }
}

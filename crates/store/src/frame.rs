//! The file format: a header followed by frames. No I/O.
//!
//! All numbers are little-endian. A file begins with a header of [`HEADER_BYTES`] bytes:
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 8 | `PPXSTORE` |
//! | 8 | 4 | format version |
//! | 12 | 4 | CRC32C of the other 60 bytes |
//! | 16 | 8 | id of the store, chosen when it was created |
//! | 24 | 8 | number of the segment |
//! | 32 | 8 | number of the oldest segment that is not obsolete |
//! | 40 | 8 | size of the previous segment up to the end of its last acknowledged frame |
//! | 48 | 8 | lowest sequence number that may occur in this segment |
//! | 56 | 8 | 0 |
//!
//! A frame is a batch of changes that are applied atomically. It begins with a header of
//! [`FRAME_HEADER_BYTES`] bytes:
//!
//! | offset | size | field |
//! | --- | --- | --- |
//! | 0 | 4 | length of the content that follows these 24 bytes |
//! | 4 | 4 | CRC32C of the segment's number, bytes 0 to 4, bytes 8 to 24 and the content |
//! | 8 | 8 | sequence number, one higher than that of the previous frame |
//! | 16 | 4 | sequence number minus that of the last durable frame when this one was made |
//! | 20 | 1 | kind: 1, a batch |
//! | 21 | 1 | version of the kind: 1 |
//! | 22 | 2 | 0 |
//!
//! The content is a sequence of changes of three types, with the sizes of the fields in brackets:
//!
//! - a put: `1`, length of the key (2), length of the value (4), expiry (8, milliseconds of Unix
//!   time, 0 for never), key, value
//! - a delete: `2`, length of the key (2), key
//! - a mark of the oldest segment: `3`, number of the oldest segment that is not obsolete (8)

/// Size of a file's header, in bytes.
pub const HEADER_BYTES: usize = 64;
/// Size of a frame's header, in bytes.
pub const FRAME_HEADER_BYTES: usize = 24;
/// Maximum size of a frame's content, in bytes. Limits the memory that a damaged length can cost.
pub const MAX_CONTENT_BYTES: usize = 16 << 20;
/// Maximum length of a key, in bytes, well below the limit of its 16-bit length field.
pub const MAX_KEY_BYTES: usize = 1024;
/// The format version that this program writes and reads.
pub const FORMAT_VERSION: u32 = 1;

/// The bytes at the start of every file.
const MAGIC: &[u8; 8] = b"PPXSTORE";
/// Kind of a frame that holds a batch.
const BATCH_KIND: u8 = 1;
/// Version of the batch kind.
const BATCH_VERSION: u8 = 1;
/// First byte of a put.
const PUT_TAG: u8 = 1;
/// First byte of a delete.
const DELETE_TAG: u8 = 2;
/// First byte of a mark of the oldest segment.
const OLDEST_SEGMENT_TAG: u8 = 3;
/// Size of a put without key and value, in bytes.
const PUT_HEADER_BYTES: usize = 15;
/// Size of a delete without the key, in bytes.
const DELETE_HEADER_BYTES: usize = 3;
/// Size of a mark of the oldest segment, in bytes.
const OLDEST_SEGMENT_BYTES: usize = 9;

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(bytes[offset..offset + 4].try_into().unwrap_or_default())
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(bytes[offset..offset + 8].try_into().unwrap_or_default())
}

/// A file's header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The id of the store.
    pub store_id: u64,
    /// The number of the segment.
    pub segment: u64,
    /// Segments before this one are obsolete.
    pub oldest_segment: u64,
    /// Size of the previous segment up to the end of its last acknowledged frame.
    pub previous_segment_bytes: u64,
    /// The lowest sequence number that may occur in this segment.
    pub first_seq: u64,
}

/// Why bytes can't be decoded as a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderError {
    /// They are damaged or incomplete.
    Damaged,
    /// They are intact, but of a format version that this program doesn't support.
    UnsupportedVersion(u32),
}

impl Header {
    /// Encodes the header.
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..8].copy_from_slice(MAGIC);
        bytes[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
        for (offset, number) in [
            (16, self.store_id),
            (24, self.segment),
            (32, self.oldest_segment),
            (40, self.previous_segment_bytes),
            (48, self.first_seq),
        ] {
            bytes[offset..offset + 8].copy_from_slice(&number.to_le_bytes());
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
    /// If it is damaged, or intact but of another format version.
    pub fn decode(bytes: &[u8]) -> Result<Self, HeaderError> {
        if bytes.len() < HEADER_BYTES
            || &bytes[..8] != MAGIC
            || u32_at(bytes, 12) != Self::checksum(bytes)
        {
            return Err(HeaderError::Damaged);
        }
        match u32_at(bytes, 8) {
            FORMAT_VERSION => {}
            version => return Err(HeaderError::UnsupportedVersion(version)),
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
    /// Sets the value of a key.
    Put {
        /// The key.
        key: &'a [u8],
        /// Its value.
        value: &'a [u8],
        /// When the value expires, in milliseconds of Unix time; 0 if never.
        expires_at_ms: u64,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: &'a [u8],
    },
    /// Marks the segments before this one as obsolete. Written by the store itself; it has no key.
    OldestSegment {
        /// The oldest segment that is not obsolete.
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

    /// Decodes the change at the start of the bytes, and returns it with its encoded size. `None`
    /// if there is no valid change.
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

/// Returns the changes in a frame's content with their offsets.
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

    /// Decodes the frame at `offset` in a segment's file; `None` if there is no intact frame.
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

/// Encodes a frame at the end of `out`; `write_content` appends its content.
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

/// Updates the checksums of encoded frames, which cover the number of the segment, for the segment
/// to which they are written.
pub fn update_checksums(segment: u64, frames: &mut [u8]) {
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

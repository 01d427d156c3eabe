//! What the files hold: a header, then frames. No I/O.
//!
//! All numbers are little-endian. A file begins with a header of [`HEADER`] bytes:
//!
//! | at | size | what |
//! | --- | --- | --- |
//! | 0 | 8 | `PPXSTORE` |
//! | 8 | 4 | version of the format |
//! | 12 | 4 | CRC32C of the other 60 bytes |
//! | 16 | 8 | the store's own number, drawn when it was made |
//! | 24 | 8 | the segment's number |
//! | 32 | 8 | the oldest segment that counts |
//! | 40 | 8 | how many bytes of the segment before this one count |
//! | 48 | 8 | the first sequence number that this segment may hold |
//! | 56 | 8 | 0 |
//!
//! A frame is a batch of changes that count all or none, behind [`FRAME`] bytes:
//!
//! | at | size | what |
//! | --- | --- | --- |
//! | 0 | 4 | length of what follows the 24 bytes |
//! | 4 | 4 | CRC32C of the segment's number, bytes 0 to 4, bytes 8 to 24 and what follows |
//! | 8 | 8 | sequence number; each frame has the next one |
//! | 16 | 4 | how far the last durable frame was behind when this one was made |
//! | 20 | 1 | kind: 1, a batch |
//! | 21 | 1 | version of the kind: 1 |
//! | 22 | 2 | 0 |
//!
//! A change is a put: `1`, length of the key (2), length of the value (4), when it expires (8, milliseconds of
//! Unix time, 0 for never), key, value; or a delete: `2`, length of the key (2), key; or a mark: `3`, the oldest
//! segment that counts from here on (8).

/// Bytes of a file's header.
pub const HEADER: usize = 64;
/// Bytes in front of a frame's content.
pub const FRAME: usize = 24;
/// The longest content of a frame.
pub const MOST_CONTENT: usize = 16 << 20;
/// The longest key.
pub const MOST_KEY: usize = 1024;
/// The version that this program writes.
pub const VERSION: u32 = 1;

const MAGIC: &[u8; 8] = b"PPXSTORE";
const BATCH: u8 = 1;
const BATCH_VERSION: u8 = 1;
const PUT: u8 = 1;
const DELETE: u8 = 2;
const MARK: u8 = 3;
const PUT_HEAD: usize = 15;
const DELETE_HEAD: usize = 3;
const MARK_SIZE: usize = 9;

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(bytes[at..at + 4].try_into().unwrap_or_default())
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(bytes[at..at + 8].try_into().unwrap_or_default())
}

/// A file's header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The store's own number.
    pub store: u64,
    /// The segment's number.
    pub segment: u64,
    /// Segments before this one no longer count.
    pub oldest: u64,
    /// How many bytes of the segment before this one count.
    pub before: u64,
    /// The first sequence number that this segment may hold.
    pub first: u64,
}

/// Why bytes are no header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// They are damaged, or cut.
    Damaged,
    /// They are whole, and of a version that this program does not know.
    Version(u32),
}

impl Header {
    /// Its bytes.
    pub fn encode(&self) -> [u8; HEADER] {
        let mut bytes = [0; HEADER];
        bytes[..8].copy_from_slice(MAGIC);
        bytes[8..12].copy_from_slice(&VERSION.to_le_bytes());
        for (at, number) in [
            (16, self.store),
            (24, self.segment),
            (32, self.oldest),
            (40, self.before),
            (48, self.first),
        ] {
            bytes[at..at + 8].copy_from_slice(&number.to_le_bytes());
        }
        let sum = Self::sum(&bytes);
        bytes[12..16].copy_from_slice(&sum.to_le_bytes());
        bytes
    }

    fn sum(bytes: &[u8]) -> u32 {
        crc32c::crc32c_append(crc32c::crc32c(&bytes[..12]), &bytes[16..HEADER])
    }

    /// Reads it from the start of a file.
    ///
    /// # Errors
    ///
    /// If it is damaged, or whole and of another version.
    pub fn decode(bytes: &[u8]) -> Result<Self, Unread> {
        if bytes.len() < HEADER || &bytes[..8] != MAGIC || u32_at(bytes, 12) != Self::sum(bytes) {
            return Err(Unread::Damaged);
        }
        match u32_at(bytes, 8) {
            VERSION => {}
            version => return Err(Unread::Version(version)),
        }
        Ok(Self {
            store: u64_at(bytes, 16),
            segment: u64_at(bytes, 24),
            oldest: u64_at(bytes, 32),
            before: u64_at(bytes, 40),
            first: u64_at(bytes, 48),
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
        until: u64,
    },
    /// The key has no value from now on.
    Delete {
        /// The key.
        key: &'a [u8],
    },
    /// Older segments no longer count. The store's own; it has no key.
    Mark {
        /// The oldest one that does.
        oldest: u64,
    },
}

impl<'a> Change<'a> {
    /// The key.
    pub fn key(&self) -> &'a [u8] {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
            Self::Mark { .. } => b"",
        }
    }

    /// How many bytes it takes.
    pub fn size(&self) -> usize {
        match self {
            Self::Put { key, value, .. } => PUT_HEAD + key.len() + value.len(),
            Self::Delete { key } => DELETE_HEAD + key.len(),
            Self::Mark { .. } => MARK_SIZE,
        }
    }

    /// Adds its bytes.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Self::Put { key, value, until } => {
                out.push(PUT);
                out.extend((key.len() as u16).to_le_bytes());
                out.extend((value.len() as u32).to_le_bytes());
                out.extend(until.to_le_bytes());
                out.extend(*key);
                out.extend(*value);
            }
            Self::Delete { key } => {
                out.push(DELETE);
                out.extend((key.len() as u16).to_le_bytes());
                out.extend(*key);
            }
            Self::Mark { oldest } => {
                out.push(MARK);
                out.extend(oldest.to_le_bytes());
            }
        }
    }

    /// Reads one from the start of the bytes, and how many it took. `None` where there is none.
    pub fn decode(bytes: &'a [u8]) -> Option<(Self, usize)> {
        let key_size = || Some(u16::from_le_bytes(bytes.get(1..3)?.try_into().ok()?) as usize);
        match *bytes.first()? {
            PUT => {
                let head = bytes.get(..PUT_HEAD)?;
                let (key, value) = (key_size()?, u32_at(head, 3) as usize);
                let rest = bytes.get(PUT_HEAD..PUT_HEAD.checked_add(key)?.checked_add(value)?)?;
                let (key, value) = rest.split_at(key);
                let size = PUT_HEAD + rest.len();
                Some((
                    Self::Put {
                        key,
                        value,
                        until: u64_at(head, 7),
                    },
                    size,
                ))
            }
            DELETE => {
                let size = DELETE_HEAD + key_size()?;
                Some((
                    Self::Delete {
                        key: bytes.get(DELETE_HEAD..size)?,
                    },
                    size,
                ))
            }
            MARK => Some((
                Self::Mark {
                    oldest: u64_at(bytes.get(..MARK_SIZE)?, 1),
                },
                MARK_SIZE,
            )),
            _ => None,
        }
    }
}

/// The changes of a frame's content, each with where it begins.
pub fn changes(content: &[u8]) -> impl Iterator<Item = (usize, Change<'_>)> {
    let mut at = 0;
    std::iter::from_fn(move || {
        let (change, size) = Change::decode(&content[at..])?;
        let begins = at;
        at += size;
        Some((begins, change))
    })
}

/// A whole frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Its sequence number.
    pub seq: u64,
    /// The last frame that was durable when this one was made.
    pub durable: u64,
    /// Its changes.
    pub content: &'a [u8],
}

fn sum(segment: u64, frame: &[u8]) -> u32 {
    let sum = crc32c::crc32c_append(crc32c::crc32c(&segment.to_le_bytes()), &frame[..4]);
    crc32c::crc32c_append(sum, &frame[8..])
}

impl<'a> Frame<'a> {
    /// How many bytes it takes.
    pub fn size(&self) -> usize {
        FRAME + self.content.len()
    }

    /// Reads the frame that begins at `at`; `None` where there is no whole and sound one.
    pub fn decode(segment: u64, file: &'a [u8], at: usize) -> Option<Self> {
        let head = file.get(at..at.checked_add(FRAME)?)?;
        let size = u32_at(head, 0) as usize;
        let known = head[20] == BATCH && head[21] == BATCH_VERSION && head[22..24] == [0, 0];
        if !known || size == 0 || size > MOST_CONTENT {
            return None;
        }
        let frame = file.get(at..at + FRAME + size)?;
        if u32_at(head, 4) != sum(segment, frame) {
            return None;
        }
        let seq = u64_at(head, 8);
        let durable = seq.saturating_sub(u32_at(head, 16).into());
        Some(Self {
            seq,
            durable,
            content: &frame[FRAME..],
        })
    }
}

/// Adds the bytes of a frame whose content `fill` writes.
pub fn encode(
    segment: u64,
    seq: u64,
    durable: u64,
    out: &mut Vec<u8>,
    fill: impl FnOnce(&mut Vec<u8>),
) {
    let at = out.len();
    out.extend([0; FRAME]);
    fill(out);
    let size = (out.len() - at - FRAME) as u32;
    let lag = u32::try_from(seq - durable).unwrap_or(u32::MAX);
    let frame = &mut out[at..];
    frame[..4].copy_from_slice(&size.to_le_bytes());
    frame[8..16].copy_from_slice(&seq.to_le_bytes());
    frame[16..20].copy_from_slice(&lag.to_le_bytes());
    frame[20] = BATCH;
    frame[21] = BATCH_VERSION;
    let sum = sum(segment, frame);
    frame[4..8].copy_from_slice(&sum.to_le_bytes());
}

/// Makes the frames of a buffer, written for another segment, frames of this one.
pub fn readdress(segment: u64, frames: &mut [u8]) {
    let mut at = 0;
    while at + FRAME <= frames.len() {
        let end = at + FRAME + u32_at(frames, at) as usize;
        let Some(frame) = frames.get_mut(at..end) else {
            return;
        };
        let sum = sum(segment, frame);
        frame[4..8].copy_from_slice(&sum.to_le_bytes());
        at = end;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn frame(segment: u64, seq: u64, changes: &[Change<'_>]) -> Vec<u8> {
        let mut out = Vec::new();
        encode(segment, seq, seq - 1, &mut out, |out| {
            changes.iter().for_each(|c| c.encode(out))
        });
        out
    }

    /// Guards against a header that is taken though a bit of it is wrong, or a version that is passed over.
    #[test]
    fn a_header_is_whole_or_none() {
        let header = Header {
            store: 9,
            segment: 3,
            oldest: 1,
            before: 800,
            first: 17,
        };
        let bytes = header.encode();
        assert_eq!(Header::decode(&bytes), Ok(header));
        for bit in 0..HEADER * 8 {
            let mut bytes = bytes;
            bytes[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(Header::decode(&bytes), Err(Unread::Damaged), "bit {bit}");
        }
        assert!((0..HEADER).all(|size| Header::decode(&bytes[..size]) == Err(Unread::Damaged)));
        let mut newer = bytes;
        newer[8] = 2;
        let sum = Header::sum(&newer);
        newer[12..16].copy_from_slice(&sum.to_le_bytes());
        assert_eq!(Header::decode(&newer), Err(Unread::Version(2)));
    }

    /// Guards against a frame that is taken though it is cut, changed in any bit, or of another segment.
    #[test]
    fn a_frame_is_whole_or_none() {
        let puts = [
            Change::Put {
                key: b"a",
                value: b"first",
                until: 7,
            },
            Change::Delete { key: b"bc" },
            Change::Put {
                key: b"",
                value: b"",
                until: 0,
            },
        ];
        let bytes = frame(5, 40, &puts);
        let read = Frame::decode(5, &bytes, 0).expect("a frame");
        assert_eq!((read.seq, read.durable, read.size()), (40, 39, bytes.len()));
        let all: Vec<Change<'_>> = changes(read.content).map(|(_, change)| change).collect();
        assert_eq!(all, puts);
        assert_eq!(Frame::decode(6, &bytes, 0), None);
        for bit in 0..bytes.len() * 8 {
            let mut bytes = bytes.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            assert_eq!(Frame::decode(5, &bytes, 0), None, "bit {bit}");
        }
        assert!((0..bytes.len()).all(|size| Frame::decode(5, &bytes[..size], 0).is_none()));
        let mut moved = [bytes.clone(), frame(5, 41, &puts)].concat();
        readdress(6, &mut moved);
        assert!(
            Frame::decode(6, &moved, 0).is_some()
                && Frame::decode(6, &moved, bytes.len()).is_some()
        );
    }
}

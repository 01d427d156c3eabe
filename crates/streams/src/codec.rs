//! Packets as bytes: a greeting with the version, then frames of a length, a checksum and a body.

use serde::{Deserialize, Serialize};

/// What every connection begins with, on either side; the last two bytes are the version.
pub const GREETING: &[u8; 8] = b"ppfl\r\n\x00\x01";
/// The longest word, in bytes.
pub const MOST_WORD: usize = 1 << 20;
/// What a frame may hold beside the word.
const BESIDE: usize = 256;
const HEAD: usize = 8;
/// The longest name of a node.
const MOST_NAME: usize = 64;

/// What goes over a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Packet {
    /// From who dials, first.
    Hello {
        /// The fleet's number.
        cluster: u32,
        /// The name of who dials.
        from: String,
        /// Its life.
        life: u64,
        /// Its session with this node: it grows within a life.
        session: u64,
        /// Who is meant.
        to: String,
    },
    /// The answer: the life of who answers, and the last word of this session that it has.
    Welcome {
        /// The life of who answers.
        life: u64,
        /// The last word that it has.
        got: u64,
    },
    /// A word, by its number in the session.
    Word(u64, Vec<u8>),
    /// All up to this one have arrived.
    Got(u64),
}

/// Why a connection's bytes can't be gone by.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DecodeError {
    /// It is no stream of this program's.
    Foreign,
    /// It speaks another version.
    Version,
    /// Another cluster's, or meant for another node.
    Other,
    /// A frame that claims to be longer than any may be.
    Long,
    /// Damaged on the way.
    Damaged,
    /// Whole, but not to be understood, or not to be said now.
    Unknown,
    /// It fell silent in a greeting or a frame.
    Stalled,
    /// Too many are there.
    Crowded,
}

impl DecodeError {
    /// As logs and the door name it.
    pub fn word(self) -> &'static str {
        match self {
            Self::Foreign => "stream: foreign",
            Self::Version => "stream: another version",
            Self::Other => "stream: for another node",
            Self::Long => "stream: too long",
            Self::Damaged => "stream: damaged",
            Self::Unknown => "stream: not understood",
            Self::Stalled => "stream: stalled",
            Self::Crowded => "stream: too many",
        }
    }
}

/// A packet as a frame.
pub fn frame(packet: &Packet) -> Vec<u8> {
    // Names, numbers and bytes: writing them to memory fails at nothing but its end.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_be_bytes());
    bytes.extend(body);
    bytes
}

/// Takes packets off bytes that come in any pieces. It holds what has come, never what is only claimed.
#[derive(Debug, Default)]
pub struct Reader {
    greeted: bool,
    bytes: Vec<u8>,
    taken: usize,
}

impl Reader {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.taken);
        self.taken = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes that wait for the rest of their packet.
    pub fn held(&self) -> usize {
        self.bytes.len() - self.taken
    }

    /// The next packet, if it is whole.
    ///
    /// # Errors
    ///
    /// Why the connection is to be dropped.
    pub fn packet(&mut self) -> Result<Option<Packet>, DecodeError> {
        if !self.greeted {
            let rest = &self.bytes[self.taken..];
            let size = rest.len().min(GREETING.len());
            let words = size.min(GREETING.len() - 2);
            if rest[..words] != GREETING[..words] {
                return Err(DecodeError::Foreign);
            }
            if size < GREETING.len() {
                return Ok(None);
            }
            if rest[..size] != *GREETING {
                return Err(DecodeError::Version);
            }
            self.greeted = true;
            self.taken += size;
        }
        let rest = &self.bytes[self.taken..];
        let Some((head, rest)) = rest.split_at_checked(HEAD) else {
            return Ok(None);
        };
        let number =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let size = number(0) as usize;
        if size > MOST_WORD + BESIDE {
            return Err(DecodeError::Long);
        }
        let Some(body) = rest.get(..size) else {
            return Ok(None);
        };
        if crc32fast::hash(body) != number(4) {
            return Err(DecodeError::Damaged);
        }
        let (packet, left) = postcard::take_from_bytes(body).map_err(|_| DecodeError::Unknown)?;
        let sound = match &packet {
            Packet::Hello { from, to, .. } => from.len() <= MOST_NAME && to.len() <= MOST_NAME,
            Packet::Word(_, word) => word.len() <= MOST_WORD,
            _ => true,
        };
        if !left.is_empty() || !sound {
            return Err(DecodeError::Unknown);
        }
        self.taken += HEAD + size;
        Ok(Some(packet))
    }
}

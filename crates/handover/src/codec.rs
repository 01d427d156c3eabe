//! Messages as bytes: a greeting, then frames of a length and a body.

use crate::Message;
use std::fmt;

/// What every link begins with, before the version.
pub const GREETING_MAGIC: &[u8; 6] = b"ppho\r\n";
/// The version of what follows. Another version is another language: nothing is read of it.
pub const VERSION: u16 = 1;
/// The longest body of a frame: a list of many thousand workers.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a peer's bytes can't be gone by.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum DecodeError {
    /// It does not speak this language at all.
    Foreign,
    /// It speaks another version.
    Version(u16),
    /// A frame is longer than any may be.
    Long(u32),
    /// A frame holds no message.
    Malformed,
    /// A message that can't come now.
    OutOfTurn,
    /// It is of another node.
    OtherNode(String),
    /// It took too long.
    Stalled,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Foreign => write!(f, "it speaks another language"),
            Self::Version(version) => write!(f, "it speaks version {version}, this is {VERSION}"),
            Self::Long(size) => write!(f, "a message of {size} bytes is too long"),
            Self::Malformed => write!(f, "a message that can't be read"),
            Self::OutOfTurn => write!(f, "a message that can't come now"),
            Self::OtherNode(name) => write!(f, "it is {name}"),
            Self::Stalled => write!(f, "it took too long"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// What each side sends first.
pub fn greeting() -> Vec<u8> {
    let mut bytes = GREETING_MAGIC.to_vec();
    bytes.extend(VERSION.to_be_bytes());
    bytes
}

/// A message as a frame.
pub fn frame(message: &Message) -> Vec<u8> {
    // Messages hold strings, numbers and bytes, which can't fail; an empty frame would be malformed.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Takes messages off bytes that come in any pieces.
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

    /// The next message, if it is whole.
    pub fn next(&mut self) -> Result<Option<Message>, DecodeError> {
        let rest = &self.bytes[self.taken..];
        if !self.greeted {
            let size = rest.len().min(GREETING_MAGIC.len());
            if rest[..size] != GREETING_MAGIC[..size] {
                return Err(DecodeError::Foreign);
            }
            let Some(version) = rest.get(GREETING_MAGIC.len()..GREETING_MAGIC.len() + 2) else {
                return Ok(None);
            };
            let version = u16::from_be_bytes([version[0], version[1]]);
            if version != VERSION {
                return Err(DecodeError::Version(version));
            }
            (self.greeted, self.taken) = (true, self.taken + GREETING_MAGIC.len() + 2);
            return self.next();
        }
        let Some(size) = rest.get(..4) else {
            return Ok(None);
        };
        let size = u32::from_be_bytes([size[0], size[1], size[2], size[3]]);
        if size as usize > MAX_FRAME_BYTES {
            return Err(DecodeError::Long(size));
        }
        let Some(body) = rest.get(4..4 + size as usize) else {
            return Ok(None);
        };
        let (message, left) =
            postcard::take_from_bytes(body).map_err(|_| DecodeError::Malformed)?;
        if !left.is_empty() {
            return Err(DecodeError::Malformed);
        }
        self.taken += 4 + size as usize;
        Ok(Some(message))
    }
}

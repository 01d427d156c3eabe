//! Messages as bytes: a greeting, then frames of a length and a body.

use crate::Message;
use std::fmt;

/// The bytes with which every link begins, before the version.
pub const GREETING_MAGIC: &[u8; 6] = b"ppho\r\n";
/// The protocol version. Bytes of another version are not read.
pub const VERSION: u16 = 1;
/// The longest body of a frame, in bytes: a list of many thousand workers fits.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Bytes of the greeting: the magic and the version.
const GREETING_BYTES: usize = GREETING_MAGIC.len() + size_of::<u16>();
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Why the other side's bytes are rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum DecodeError {
    /// The bytes do not begin with the greeting.
    UnknownProtocol,
    /// The other side speaks this other version.
    UnsupportedVersion(u16),
    /// A frame claims this body length, which is over [`MAX_FRAME_BYTES`].
    FrameTooLong(u32),
    /// A frame holds no message.
    Malformed,
    /// A message that is not allowed in the link's state.
    UnexpectedMessage,
    /// The other side is a process of another node, with this name and address.
    OtherNode(String),
    /// The other side has taken too long.
    TimedOut,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownProtocol => write!(f, "it speaks another language"),
            Self::UnsupportedVersion(version) => {
                write!(f, "it speaks version {version}, this is {VERSION}")
            }
            Self::FrameTooLong(size) => write!(f, "a message of {size} bytes is too long"),
            Self::Malformed => write!(f, "a message that can't be read"),
            Self::UnexpectedMessage => write!(f, "a message that can't come now"),
            Self::OtherNode(name) => write!(f, "it is {name}"),
            Self::TimedOut => write!(f, "it took too long"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Returns the bytes that each side sends first.
pub fn greeting() -> Vec<u8> {
    let mut bytes = GREETING_MAGIC.to_vec();
    bytes.extend(VERSION.to_be_bytes());
    bytes
}

/// Encodes a message as a frame.
pub fn frame(message: &Message) -> Vec<u8> {
    // Messages hold only strings, numbers and bytes, whose encoding can't fail; an empty frame
    // would be malformed.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes messages from bytes that arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct Reader {
    greeted: bool,
    buffer: Vec<u8>,
    /// Bytes of the buffer that are decoded.
    consumed: usize,
}

impl Reader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message; `None` if it is not yet complete.
    ///
    /// # Errors
    ///
    /// If the bytes hold no message of this protocol.
    pub fn next(&mut self) -> Result<Option<Message>, DecodeError> {
        if !self.greeted {
            self.greeted = self.read_greeting()?;
            if !self.greeted {
                return Ok(None);
            }
        }
        let rest = &self.buffer[self.consumed..];
        let Some(size) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*size);
        if size as usize > MAX_FRAME_BYTES {
            return Err(DecodeError::FrameTooLong(size));
        }
        let end = LENGTH_BYTES + size as usize;
        let Some(body) = rest.get(LENGTH_BYTES..end) else {
            return Ok(None);
        };
        let (message, left) =
            postcard::take_from_bytes(body).map_err(|_| DecodeError::Malformed)?;
        if !left.is_empty() {
            return Err(DecodeError::Malformed);
        }
        self.consumed += end;
        Ok(Some(message))
    }

    /// Reads the greeting; `false` if it is not yet complete.
    fn read_greeting(&mut self) -> Result<bool, DecodeError> {
        let rest = &self.buffer[self.consumed..];
        let size = rest.len().min(GREETING_MAGIC.len());
        if rest[..size] != GREETING_MAGIC[..size] {
            return Err(DecodeError::UnknownProtocol);
        }
        let Some(version) = rest.get(GREETING_MAGIC.len()..GREETING_BYTES) else {
            return Ok(false);
        };
        let version = u16::from_be_bytes([version[0], version[1]]);
        if version != VERSION {
            return Err(DecodeError::UnsupportedVersion(version));
        }
        self.consumed += GREETING_BYTES;
        Ok(true)
    }
}

//! The wire format of a link: a greeting, then frames, each of which is a length and a body.

use crate::Message;
use std::fmt;

/// The first bytes that each side sends on a link; the protocol version follows them.
pub const GREETING_MAGIC: &[u8; 6] = b"ppho\r\n";
/// The protocol version. A link to a process that uses another version is closed.
pub const VERSION: u16 = 1;
/// Maximum length of a frame's body, in bytes. A list of many thousand workers fits.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Length of the greeting, in bytes: the magic and the version.
const GREETING_BYTES: usize = GREETING_MAGIC.len() + size_of::<u16>();
/// Size of the length field of a frame, in bytes.
const LENGTH_BYTES: usize = size_of::<u32>();

/// Why a link has to be closed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum LinkError {
    /// The received bytes do not begin with the greeting.
    UnknownProtocol,
    /// The other side uses this other protocol version.
    UnsupportedVersion(u16),
    /// A frame's length field has this value, which is over [`MAX_FRAME_BYTES`].
    FrameTooLong(u32),
    /// The body of a frame can't be decoded as a message.
    Malformed,
    /// A message is not allowed in the link's state.
    UnexpectedMessage,
    /// The other side is a process of another node, whose name and address the text holds.
    OtherNode(String),
    /// A hello, a snapshot or the result of a callback has not arrived in time.
    TimedOut,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownProtocol => {
                write!(f, "the other process does not use the handover protocol")
            }
            Self::UnsupportedVersion(version) => {
                write!(
                    f,
                    "the other process uses version {version} of the handover protocol, this one \
                     version {VERSION}"
                )
            }
            Self::FrameTooLong(size) => write!(
                f,
                "message of {size} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            ),
            Self::Malformed => write!(f, "malformed message received"),
            Self::UnexpectedMessage => write!(
                f,
                "message received that the state of the link does not allow"
            ),
            Self::OtherNode(name) => write!(f, "the other process belongs to another node: {name}"),
            Self::TimedOut => write!(f, "timed out waiting for the other process"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Returns the greeting, which each side sends first.
pub fn greeting() -> Vec<u8> {
    let mut bytes = GREETING_MAGIC.to_vec();
    bytes.extend(VERSION.to_be_bytes());
    bytes
}

/// Encodes a message as a frame.
pub fn frame(message: &Message) -> Vec<u8> {
    // A message holds only strings, numbers and bytes, so encoding it can't fail. The other side
    // would reject an empty frame as malformed.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes messages from a stream of bytes that arrives in pieces of any size.
#[derive(Debug, Default)]
pub struct Decoder {
    greeting_decoded: bool,
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that have been decoded.
    consumed: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// If the bytes are not valid in this protocol.
    pub fn next_message(&mut self) -> Result<Option<Message>, LinkError> {
        if !self.greeting_decoded {
            self.greeting_decoded = self.decode_greeting()?;
            if !self.greeting_decoded {
                return Ok(None);
            }
        }
        let rest = &self.buffer[self.consumed..];
        let Some(size) = rest.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let size = u32::from_be_bytes(*size);
        if size as usize > MAX_FRAME_BYTES {
            return Err(LinkError::FrameTooLong(size));
        }
        let end = LENGTH_BYTES + size as usize;
        let Some(body) = rest.get(LENGTH_BYTES..end) else {
            return Ok(None);
        };
        let (message, left) = postcard::take_from_bytes(body).map_err(|_| LinkError::Malformed)?;
        if !left.is_empty() {
            return Err(LinkError::Malformed);
        }
        self.consumed += end;
        Ok(Some(message))
    }

    /// Decodes the greeting; returns `false` if it is incomplete.
    fn decode_greeting(&mut self) -> Result<bool, LinkError> {
        let rest = &self.buffer[self.consumed..];
        let size = rest.len().min(GREETING_MAGIC.len());
        if rest[..size] != GREETING_MAGIC[..size] {
            return Err(LinkError::UnknownProtocol);
        }
        let Some(version) = rest.get(GREETING_MAGIC.len()..GREETING_BYTES) else {
            return Ok(false);
        };
        let version = u16::from_be_bytes([version[0], version[1]]);
        if version != VERSION {
            return Err(LinkError::UnsupportedVersion(version));
        }
        self.consumed += GREETING_BYTES;
        Ok(true)
    }
}

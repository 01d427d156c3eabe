//! The wire format: a preamble with the protocol version, then frames that consist of a length, a
//! checksum and a packet.

use crate::error::ConnectionError;
use serde::{Deserialize, Serialize};

/// The first bytes in each direction of a connection. The last two are the protocol version.
pub const PREAMBLE: &[u8; 8] = b"ppfl\r\n\x00\x01";
/// Size of the version at the end of the preamble, in bytes.
const VERSION_BYTES: usize = 2;
/// Maximum length of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum size of a packet in bytes, not counting its message.
const MAX_PACKET_OVERHEAD_BYTES: usize = 256;
/// Size of a frame's header in bytes: length and checksum, 4 bytes each, big-endian.
const FRAME_HEADER_BYTES: usize = 8;
/// Maximum length of a node's name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The content of a frame, in postcard encoding.
///
/// The order of the variants and of their fields is part of the wire format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Packet {
    /// The first packet from the connecting node.
    Greeting {
        /// Number of the connecting node's cluster.
        cluster: u32,
        /// Name of the connecting node.
        from: String,
        /// Nonce of its process.
        process_nonce: u64,
        /// Number of the session; a later session of the same process has a higher number.
        session: u64,
        /// Name of the node to which the connection is addressed.
        to: String,
    },
    /// The answer to a greeting, sent by the accepting node.
    GreetingAccepted {
        /// Nonce of the accepting node's process.
        process_nonce: u64,
        /// Sequence number of the last message that it has received in this session, 0 for none.
        last_received: u64,
    },
    /// A message.
    Data {
        /// Sequence number in the session, starting at 1.
        sequence: u64,
        /// The message.
        message: Vec<u8>,
    },
    /// All messages up to this sequence number have been received.
    Acknowledgement {
        /// Sequence number of the last message received.
        sequence: u64,
    },
}

impl Packet {
    fn is_within_limits(&self) -> bool {
        match self {
            Self::Greeting { from, to, .. } => {
                from.len() <= MAX_NAME_BYTES && to.len() <= MAX_NAME_BYTES
            }
            Self::Data { message, .. } => message.len() <= MAX_MESSAGE_BYTES,
            Self::GreetingAccepted { .. } | Self::Acknowledgement { .. } => true,
        }
    }
}

/// Encodes a packet as a frame.
pub fn encode_frame(packet: &Packet) -> Vec<u8> {
    // Serializing these types to memory can't fail.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(crc32fast::hash(&body).to_be_bytes());
    frame.extend(body);
    frame
}

/// Encodes the preamble followed by the first packet of a connection.
pub(crate) fn encode_opening(packet: &Packet) -> Vec<u8> {
    [&PREAMBLE[..], &encode_frame(packet)].concat()
}

/// Decodes packets from received bytes, which may be split anywhere. It allocates memory for bytes
/// that were received, never for a length that a frame claims.
#[derive(Debug, Default)]
pub struct FrameReader {
    preamble_read: bool,
    bytes: Vec<u8>,
    /// Number of bytes at the start that have been decoded.
    consumed: usize,
}

impl FrameReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the number of received bytes that have not been decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Returns the next packet, or `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// The reason for which the connection must be dropped.
    pub fn next_packet(&mut self) -> Result<Option<Packet>, ConnectionError> {
        if !self.preamble_read {
            self.preamble_read = self.read_preamble()?;
            if !self.preamble_read {
                return Ok(None);
            }
        }
        let rest = &self.bytes[self.consumed..];
        let Some((header, rest)) = rest.split_at_checked(FRAME_HEADER_BYTES) else {
            return Ok(None);
        };
        let number = |at: usize| {
            u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
        };
        let length = number(0) as usize;
        let checksum = number(4);
        if length > MAX_MESSAGE_BYTES + MAX_PACKET_OVERHEAD_BYTES {
            return Err(ConnectionError::TooLong);
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        if crc32fast::hash(body) != checksum {
            return Err(ConnectionError::ChecksumMismatch);
        }
        let (packet, rest): (Packet, _) =
            postcard::take_from_bytes(body).map_err(|_| ConnectionError::Malformed)?;
        if !rest.is_empty() || !packet.is_within_limits() {
            return Err(ConnectionError::Malformed);
        }
        self.consumed += FRAME_HEADER_BYTES + length;
        Ok(Some(packet))
    }

    /// Reads the preamble and returns whether it is complete. A preamble of another protocol is
    /// rejected at its first wrong byte.
    fn read_preamble(&mut self) -> Result<bool, ConnectionError> {
        let rest = &self.bytes[self.consumed..];
        let available = rest.len().min(PREAMBLE.len());
        let magic = available.min(PREAMBLE.len() - VERSION_BYTES);
        if rest[..magic] != PREAMBLE[..magic] {
            return Err(ConnectionError::UnknownProtocol);
        }
        if available < PREAMBLE.len() {
            return Ok(false);
        }
        if rest[..available] != *PREAMBLE {
            return Err(ConnectionError::VersionMismatch);
        }
        self.consumed += available;
        Ok(true)
    }
}

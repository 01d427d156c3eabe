//! The bytes on a connection: a preamble with the version, then frames of a length, a checksum and
//! a packet.

use crate::error::ConnectionError;
use serde::{Deserialize, Serialize};

/// First bytes of each connection in either direction. The last two are the version.
pub const PREAMBLE: &[u8; 8] = b"ppfl\r\n\x00\x01";
/// Bytes of the version at the end of the preamble.
const VERSION_BYTES: usize = 2;
/// Longest message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Bytes of a packet beside its message, at most.
const MAX_PACKET_OVERHEAD_BYTES: usize = 256;
/// Bytes of a frame before its packet: length and checksum, 4 bytes each, big-endian.
const FRAME_HEADER_BYTES: usize = 8;
/// Longest name of a node in bytes.
const MAX_NAME_BYTES: usize = 64;

/// What a frame carries, in postcard encoding.
///
/// The order of the variants and of their fields is that of the encoding.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Packet {
    /// First packet of the connecting node.
    Greeting {
        /// Number of the cluster.
        cluster: u32,
        /// Name of the connecting node.
        from: String,
        /// Nonce of its process.
        process_nonce: u64,
        /// Number of its session with this node; it grows within a process.
        session: u64,
        /// Name of the node that is meant.
        to: String,
    },
    /// Answer to a greeting.
    GreetingAccepted {
        /// Nonce of the answering node's process.
        process_nonce: u64,
        /// Sequence number of the last message of this session that it has received, 0 for none.
        last_received: u64,
    },
    /// A message.
    Data {
        /// Sequence number in the session, from 1.
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
    // Encoding to memory can't fail for these types.
    let body = postcard::to_stdvec(packet).unwrap_or_default();
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(crc32fast::hash(&body).to_be_bytes());
    frame.extend(body);
    frame
}

/// Encodes the preamble with the first packet of a connection.
pub(crate) fn encode_opening(packet: &Packet) -> Vec<u8> {
    [&PREAMBLE[..], &encode_frame(packet)].concat()
}

/// Decodes packets from bytes that come in pieces of any size. It allocates for bytes that have
/// come, never for those that a length claims.
#[derive(Debug, Default)]
pub struct FrameReader {
    preamble_read: bool,
    bytes: Vec<u8>,
    /// Number of bytes at the start that are decoded.
    consumed: usize,
}

impl FrameReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the number of bytes that wait for the rest of their packet.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Returns the next packet, or `None` if it isn't complete yet.
    ///
    /// # Errors
    ///
    /// Returns why the connection is to be dropped.
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
            return Err(ConnectionError::Damaged);
        }
        let (packet, rest): (Packet, _) =
            postcard::take_from_bytes(body).map_err(|_| ConnectionError::Malformed)?;
        if !rest.is_empty() || !packet.is_within_limits() {
            return Err(ConnectionError::Malformed);
        }
        self.consumed += FRAME_HEADER_BYTES + length;
        Ok(Some(packet))
    }

    /// Reads the preamble. Returns whether it is complete. A wrong one is rejected at its first
    /// wrong byte.
    fn read_preamble(&mut self) -> Result<bool, ConnectionError> {
        let rest = &self.bytes[self.consumed..];
        let available = rest.len().min(PREAMBLE.len());
        let magic = available.min(PREAMBLE.len() - VERSION_BYTES);
        if rest[..magic] != PREAMBLE[..magic] {
            return Err(ConnectionError::Foreign);
        }
        if available < PREAMBLE.len() {
            return Ok(false);
        }
        if rest[..available] != *PREAMBLE {
            return Err(ConnectionError::Version);
        }
        self.consumed += available;
        Ok(true)
    }
}

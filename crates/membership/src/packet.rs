//! The datagrams between members: an envelope that is checked before its content is decoded.
//!
//! Layout: the magic `PM` (2 bytes), version (1 byte), cluster number (4 bytes, little-endian),
//! CRC-32 of what follows (4 bytes, little-endian), then the sender's [`Identity`] and the
//! [`Message`] in postcard encoding.

use crate::identity::{Identity, MAX_NAME_BYTES};
use crate::suspended_workers::WorkerSuspension;
use serde::{Deserialize, Serialize};

/// Maximum length of a datagram, in bytes. It fits the smallest MTU of common networks, so that
/// datagrams aren't fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Version of the protocol.
pub const VERSION: u8 = 1;
/// First bytes of each datagram.
const MAGIC: [u8; 2] = *b"PM";
/// Length of the envelope: magic, version, cluster number and checksum, in bytes.
const ENVELOPE_BYTES: usize = 11;
/// Offset of the cluster number in the envelope.
const CLUSTER_OFFSET: usize = 3;
/// Offset of the checksum in the envelope.
const CHECKSUM_OFFSET: usize = 7;
/// Upper bound on the bytes of an encoded sender without its name, and of the message's framing.
const MAX_SENDER_OVERHEAD_BYTES: usize = 48;
/// Bytes that are left for the content of a message after the envelope and a sender of maximum
/// length.
pub const MAX_CONTENT_BYTES: usize =
    MAX_DATAGRAM_BYTES - ENVELOPE_BYTES - MAX_NAME_BYTES - MAX_SENDER_OVERHEAD_BYTES;

/// Returns the number that identifies the cluster of this name in the envelope.
pub fn cluster_number(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// A node that an operator declared permanently gone.
///
/// The encoding follows the order of the fields, which must not change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForgottenNode {
    /// Name of the node.
    pub name: String,
    /// Highest incarnation that is forgotten; a later one may join like any other node.
    pub up_to_incarnation: u64,
}

/// A message from one node to another.
///
/// The encoding follows the order of the variants and of their fields, which must not change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A packet of the SWIM library.
    Swim(Vec<u8>),
    /// Shows that the sender reaches the receiver directly, and lets the receiver compare digests.
    Heartbeat {
        /// Increases with each heartbeat of a process, so that one that is delivered late or
        /// repeatedly is recognised.
        sequence: u64,
        /// Digest of the suspensions and forgotten nodes that the sender knows.
        digest: u64,
    },
    /// Asks which identity holds the sender's name. The answer also shows the receiver's identity.
    NameQuery,
    /// The identity that holds the receiver's name, as far as the sender knows; `None` if it knows
    /// none.
    NameHolder(Option<Identity>),
    /// Asks a process to show that it is alive, by an answer with the same number.
    LivenessChallenge(u64),
    /// Answers a challenge with its number.
    LivenessResponse(u64),
    /// The sender suspects the receiver, which should refute the suspicion if it is alive.
    Suspicion {
        /// The process that is suspected.
        process_nonce: u64,
        /// The incarnation number that the SWIM library has for it.
        swim_incarnation: u16,
    },
    /// The sender leaves the cluster.
    Leaving,
    /// Suspensions that the sender knows.
    Suspensions {
        /// Some or all of them.
        suspensions: Vec<WorkerSuspension>,
        /// Whether the receiver should send all its records in return.
        reply_wanted: bool,
    },
    /// The sender has recorded suspensions of this ticket.
    SuspensionAcknowledged(u64),
    /// Asks the receiver to record suspensions and to acknowledge the ticket.
    RecordSuspensions {
        /// Ticket to acknowledge.
        ticket: u64,
        /// The suspensions to record.
        suspensions: Vec<WorkerSuspension>,
    },
    /// Nodes that operators declared permanently gone.
    Forgotten(Vec<ForgottenNode>),
    /// A message of another part of the program.
    Application(Vec<u8>),
}

/// Why a datagram or stream message is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DecodeError {
    /// It does not start with the envelope of this program.
    Foreign,
    /// It is of another version of the protocol.
    Version,
    /// It is of another cluster.
    Cluster,
    /// Its checksum is wrong, or it is longer than a datagram may be.
    Damaged,
    /// Its content can't be decoded, or is invalid.
    Malformed,
}

impl DecodeError {
    /// Returns the name of the error in logs and in the management API. Programs compare it as
    /// text, so it must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Version => "another version",
            Self::Cluster => "another cluster",
            Self::Damaged => "damaged",
            Self::Malformed => "not understood",
        }
    }
}

/// Encodes a message as a datagram, or as a message for a stream.
pub fn encode(cluster: u32, from: &Identity, message: &Message) -> Vec<u8> {
    let mut envelope = Vec::from(MAGIC);
    envelope.push(VERSION);
    envelope.extend(cluster.to_le_bytes());
    envelope.extend([0; 4]);
    // Encoding to memory can't fail for these types.
    let mut bytes = postcard::to_extend(&(from, message), envelope).unwrap_or_default();
    if bytes.len() > ENVELOPE_BYTES {
        let checksum = crc32fast::hash(&bytes[ENVELOPE_BYTES..]).to_le_bytes();
        bytes[CHECKSUM_OFFSET..ENVELOPE_BYTES].copy_from_slice(&checksum);
    }
    bytes
}

/// Decodes a datagram into its sender and message.
///
/// # Errors
///
/// Returns why the datagram is to be dropped.
pub fn decode(cluster: u32, bytes: &[u8]) -> Result<(Identity, Message), DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        Err(DecodeError::Damaged)
    } else {
        decode_stream_message(cluster, bytes)
    }
}

/// Decodes a message from a stream: the layout is that of a datagram, but it may be longer.
///
/// # Errors
///
/// Returns why the message is to be dropped.
pub fn decode_stream_message(
    cluster: u32,
    bytes: &[u8],
) -> Result<(Identity, Message), DecodeError> {
    if bytes.len() < ENVELOPE_BYTES || bytes[..MAGIC.len()] != MAGIC {
        return Err(DecodeError::Foreign);
    }
    if bytes[MAGIC.len()] != VERSION {
        return Err(DecodeError::Version);
    }
    if bytes[CLUSTER_OFFSET..CHECKSUM_OFFSET] != cluster.to_le_bytes() {
        return Err(DecodeError::Cluster);
    }
    let content = &bytes[ENVELOPE_BYTES..];
    if bytes[CHECKSUM_OFFSET..ENVELOPE_BYTES] != crc32fast::hash(content).to_le_bytes() {
        return Err(DecodeError::Damaged);
    }
    let ((from, message), rest): ((Identity, Message), _) =
        postcard::take_from_bytes(content).map_err(|_| DecodeError::Malformed)?;
    if !rest.is_empty() || !(1..=MAX_NAME_BYTES).contains(&from.name.len()) {
        return Err(DecodeError::Malformed);
    }
    Ok((from, message))
}

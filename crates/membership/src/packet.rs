//! Datagrams: an envelope that is checked before anything in it is believed.
//!
//! `P M`, version, cluster (4 bytes), checksum of what follows (4 bytes), then the sender and the message by postcard.

use crate::identity::{Identity, MAX_NAME_BYTES};
use crate::suspended_workers::Suspension;
use serde::{Deserialize, Serialize};

/// The longest datagram, in bytes.
pub const MOST: usize = 1400;
/// The version that this program speaks.
pub const VERSION: u8 = 1;
const HEAD: usize = 11;
/// What is left for the message inside after the envelope and the longest sender.
pub const MOST_INSIDE: usize = MOST - HEAD - MAX_NAME_BYTES - 48;

/// A cluster's number in the envelope.
pub fn cluster(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

/// What one node says to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The library's own.
    Swim(Vec<u8>),
    /// Heard directly; numbered, so that an old one counts for nothing. With the digest of the bans held.
    Hello(u64, u64),
    /// Who has this name, and is it you?
    Ask,
    /// Who has the asker's name; nobody known.
    Record(Option<Identity>),
    /// Say this number, if you live.
    Sign(u64),
    /// It does.
    Signed(u64),
    /// The sender suspects this life, as of this number of the library's: it is to say that it lives.
    Suspected(u64, u16),
    /// The sender leaves in good order.
    Leaves,
    /// Some of what is known of workers out of use; whether all that the other has is wanted back.
    SuspendedWorkers(Vec<(String, Suspension)>, bool),
    /// The bans of this ticket hold at the sender.
    Held(u64),
    /// Hold these bans and say so under this ticket.
    Hold(u64, Vec<(String, Suspension)>),
    /// Nodes that operators have said will not come back, each up to this incarnation.
    Gone(Vec<(String, u64)>),
    /// A word of another part of the program.
    Part(Vec<u8>),
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DecodeError {
    /// It is no datagram of this program's.
    Foreign,
    /// Another version's.
    Version,
    /// Another cluster's.
    Cluster,
    /// Damaged on the way, or cut.
    Damaged,
    /// Whole, but not to be understood.
    Unknown,
}

impl DecodeError {
    /// As logs and the door name it.
    pub fn word(self) -> &'static str {
        match self {
            Self::Foreign => "foreign",
            Self::Version => "another version",
            Self::Cluster => "another cluster",
            Self::Damaged => "damaged",
            Self::Unknown => "not understood",
        }
    }
}

/// Words a datagram.
pub fn encode(cluster: u32, from: &Identity, message: &Message) -> Vec<u8> {
    let mut bytes = vec![b'P', b'M', VERSION];
    bytes.extend(cluster.to_le_bytes());
    bytes.extend([0; 4]);
    // Writing to memory fails at nothing but its end.
    let bytes = postcard::to_extend(&(from, message), bytes);
    let mut bytes = bytes.unwrap_or_default();
    if bytes.len() > HEAD {
        let sum = crc32fast::hash(&bytes[HEAD..]).to_le_bytes();
        bytes[7..HEAD].copy_from_slice(&sum);
    }
    bytes
}

/// Reads a datagram.
///
/// # Errors
///
/// Why it is to be dropped.
pub fn decode(cluster: u32, bytes: &[u8]) -> Result<(Identity, Message), DecodeError> {
    if bytes.len() > MOST {
        Err(DecodeError::Damaged)
    } else {
        decode_word(cluster, bytes)
    }
}

/// Reads the same of a stream, where it may be longer.
///
/// # Errors
///
/// Why it is to be dropped.
pub fn decode_word(cluster: u32, bytes: &[u8]) -> Result<(Identity, Message), DecodeError> {
    if bytes.len() < HEAD || bytes[..2] != *b"PM" {
        return Err(DecodeError::Foreign);
    }
    if bytes[2] != VERSION {
        return Err(DecodeError::Version);
    }
    if bytes[3..7] != cluster.to_le_bytes() {
        return Err(DecodeError::Cluster);
    }
    let rest = &bytes[HEAD..];
    if bytes[7..HEAD] != crc32fast::hash(rest).to_le_bytes() {
        return Err(DecodeError::Damaged);
    }
    let (read, left): ((Identity, Message), _) =
        postcard::take_from_bytes(rest).map_err(|_| DecodeError::Unknown)?;
    let sound = left.is_empty() && (1..=MAX_NAME_BYTES).contains(&read.0.name.len());
    if sound {
        Ok(read)
    } else {
        Err(DecodeError::Unknown)
    }
}

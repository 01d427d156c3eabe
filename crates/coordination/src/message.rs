//! What nodes say to each other about what they decide.

use crate::error::Error;
use postproxy_leases::{Command, LeaseTable, Response};
use postproxy_replicated_log::admission::AdmissionMessage;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Words begin with this, the last byte being the version: others over the same stream begin otherwise.
pub const PREFIX: [u8; 3] = *b"PC\x01";

/// What one node says to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// From a seat to a seat, on who may vote.
    Admission(u64, u64, AdmissionMessage),
    /// From voter to voter, in this life of the sender's: the log's own.
    Log(u64, Vec<u8>),
    /// Who votes, as of this place of the log.
    Seats(u64, BTreeMap<u64, String>),
    /// The sender's seat has lost its promises.
    Lost(u64),
    /// A call to the log.
    Operation(Command),
    /// What the receiver's call of this life and number came to.
    Came(u64, u64, Response),
    /// A node gets a seat, or loses it: the sender's ticket.
    MembershipChange(u64, bool, String),
    /// What became of that.
    Seated(u64, Result<(), Error>),
    /// A node without a vote asks for what is decided, and has this.
    Follow(u64),
    /// It is this.
    Decided(Box<FollowerSnapshot>),
}

/// What has been decided, for nodes that do not vote.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FollowerSnapshot {
    /// As of this place of the log.
    pub place: u64,
    /// Who leads, if the teller knows.
    pub leader: Option<String>,
    /// Who votes.
    pub seats: BTreeMap<u64, String>,
    /// Who owns what.
    pub state: LeaseTable,
}

/// A number that tells one set of founders from another: voters of two sets are two fleets, whose words must not meet.
pub fn founding(cluster: &str, founders: &BTreeSet<String>) -> u64 {
    let bytes = std::iter::once(cluster).chain(founders.iter().map(String::as_str));
    let bytes = bytes.flat_map(|name| name.bytes().chain([0]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A word of this founding.
pub fn encode(founding: u64, talk: &Message) -> Vec<u8> {
    // Writing to memory fails at nothing but its end.
    postcard::to_extend(&(founding, talk), PREFIX.to_vec()).unwrap_or_default()
}

/// Reads a word; `None` if it is another founding's, or none.
pub fn decode(founding: u64, bytes: &[u8]) -> Option<Message> {
    let rest = bytes.strip_prefix(&PREFIX)?;
    let ((of, talk), left) = postcard::take_from_bytes::<(u64, Message)>(rest).ok()?;
    (of == founding && left.is_empty()).then_some(talk)
}

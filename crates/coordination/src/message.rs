//! The messages of the coordination service between nodes, and their encoding.

use crate::error::Error;
use postproxy_leases::{Command, LeaseTable, Response};
use postproxy_replicated_log::admission::AdmissionMessage;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The first bytes of every message. The last of them is the version; messages of other protocols
/// on the same stream begin with other bytes.
pub const MESSAGE_PREFIX: [u8; 3] = *b"PC\x01";

/// A message from one node to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// A message of the admission protocol, from one voter to another.
    Admission {
        /// The voter ID of the sender.
        from: u64,
        /// The voter ID of the receiver.
        to: u64,
        /// The message.
        message: AdmissionMessage,
    },
    /// A message of the replicated log, from one voter to another.
    Log {
        /// The incarnation of the sender's process.
        incarnation: u64,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Announces the voters.
    VotersAnnounced {
        /// The index of the log as of which these are the voters.
        applied_index: u64,
        /// The voters.
        voters: BTreeMap<u64, String>,
    },
    /// The sender has lost the promises that it made under this voter ID.
    PromisesLost {
        /// The voter ID of the sender.
        voter: u64,
    },
    /// A call of the sender, which the receiver is to propose to the log.
    Call(Command),
    /// The result of a call of the receiver.
    CallCompleted {
        /// The incarnation of the receiver's process that made the call.
        incarnation: u64,
        /// The sequence number of the call.
        sequence: u64,
        /// The result.
        response: Response,
    },
    /// Asks the leader for a change of the voters.
    MembershipChangeRequested {
        /// The ticket that the sender has given the change.
        ticket: u64,
        /// Whether the node is to become a voter, or to be removed.
        add: bool,
        /// The name of the node.
        node: String,
    },
    /// The result of a membership change that the receiver has asked for.
    MembershipChangeCompleted {
        /// The ticket that the receiver has given the change.
        ticket: u64,
        /// The result.
        result: Result<(), Error>,
    },
    /// A node that does not vote asks for the committed state.
    FollowerSnapshotRequested {
        /// The index of the state that it has.
        applied_index: u64,
    },
    /// The committed state, for a node that does not vote.
    FollowerSnapshot(Box<FollowerSnapshot>),
}

/// The committed state, as nodes that do not vote have it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FollowerSnapshot {
    /// The index of the log at which this was the state.
    pub applied_index: u64,
    /// The leader, if the sender knows it.
    pub leader: Option<String>,
    /// The voters.
    pub voters: BTreeMap<u64, String>,
    /// The leases.
    pub leases: LeaseTable,
}

/// Returns an FNV-1a hash of the cluster's name and its initial voters. Messages with another hash
/// must be ignored, because the logs of two clusters have nothing in common.
pub fn cluster_id(cluster: &str, initial_voters: &BTreeSet<String>) -> u64 {
    let names = std::iter::once(cluster).chain(initial_voters.iter().map(String::as_str));
    let bytes = names.flat_map(|name| name.bytes().chain([0]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Encodes a message for nodes of this cluster.
pub fn encode(cluster_id: u64, message: &Message) -> Vec<u8> {
    // Encoding to memory fails only when memory is exhausted.
    postcard::to_extend(&(cluster_id, message), MESSAGE_PREFIX.to_vec()).unwrap_or_default()
}

/// Decodes a message. Returns `None` if it is invalid or of another cluster.
pub fn decode(cluster_id: u64, bytes: &[u8]) -> Option<Message> {
    let encoded = bytes.strip_prefix(&MESSAGE_PREFIX)?;
    let ((sender_cluster_id, message), rest) =
        postcard::take_from_bytes::<(u64, Message)>(encoded).ok()?;
    (sender_cluster_id == cluster_id && rest.is_empty()).then_some(message)
}

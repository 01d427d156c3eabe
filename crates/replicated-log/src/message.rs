//! Checks on the messages between voters, which are those of the `raft` library.

use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};

/// What a message of the log promises for its sender.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessagePromise {
    /// The number of the voter that promises; 0 if the message promises nothing for its sender.
    pub voter: u64,
    /// The term that the sender has reached; 0 if the message contains none.
    pub term: u64,
    /// The index up to which the sender has stored the log; 0 if the message contains none.
    pub index: u64,
}

/// Returns what an encoded message promises for its sender. A message that can't be read promises
/// nothing, and neither does a proposal, which other voters forward.
pub fn message_promise(bytes: &[u8]) -> MessagePromise {
    let Ok(message) = Message::parse_from_bytes(bytes) else {
        return MessagePromise::default();
    };
    let mut promise = MessagePromise {
        voter: message.from,
        term: message.term,
        index: 0,
    };
    match message.get_msg_type() {
        MessageType::MsgPropose => return MessagePromise::default(),
        // Their term is one that the sender may reach later.
        MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse => promise.term = 0,
        MessageType::MsgAppendResponse if !message.reject => promise.index = message.index,
        _ => {}
    }
    promise
}

/// Returns whether a voter could have sent this message. The library ends the process at some
/// messages that no voter sends.
pub fn is_valid(message: &Message) -> bool {
    let entries = message.get_entries();
    match message.get_msg_type() {
        MessageType::MsgAppend => entries
            .iter()
            .zip(message.index + 1..)
            .all(|(entry, index)| entry.index == index && entry.term <= message.term),
        MessageType::MsgPropose => !entries.is_empty(),
        MessageType::MsgSnapshot => !message.get_snapshot().is_empty(),
        MessageType::MsgAppendResponse
        | MessageType::MsgRequestVote
        | MessageType::MsgRequestVoteResponse
        | MessageType::MsgRequestPreVote
        | MessageType::MsgRequestPreVoteResponse
        | MessageType::MsgHeartbeat
        | MessageType::MsgHeartbeatResponse
        | MessageType::MsgTransferLeader
        | MessageType::MsgTimeoutNow => true,
        _ => false,
    }
}

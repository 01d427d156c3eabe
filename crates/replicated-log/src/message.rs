//! Checks of the messages between voters, which are messages of the `raft` library.

use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};

/// What a message of the log promises on behalf of its sender.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MessagePromise {
    /// The number of the voter that makes the promise; 0 if the message contains no promise.
    pub voter: u64,
    /// The term that the sender has reached; 0 if the message contains none.
    pub term: u64,
    /// The index up to which the sender has stored the log; 0 if the message contains none.
    pub index: u64,
}

/// Returns what an encoded message promises on behalf of its sender. A message that can't be
/// decoded promises nothing. Neither does a proposal, since another voter than the one that it
/// names may have forwarded it.
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
        // They contain the term of a possible election, which the sender has not reached.
        MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse => promise.term = 0,
        MessageType::MsgAppendResponse if !message.reject => promise.index = message.index,
        _ => {}
    }
    promise
}

/// Returns whether a voter could have sent this message. The library panics on some messages that
/// no voter sends.
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

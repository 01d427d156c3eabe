//! The reasons for dropping a connection.

/// The reason for which a connection is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ConnectionError {
    /// The peer uses another protocol.
    UnknownProtocol,
    /// The peer uses another version of the protocol.
    VersionMismatch,
    /// The greeting is from another cluster, addressed to another node, or has an invalid sender.
    WrongReceiver,
    /// The length in a frame's header exceeds the limit.
    TooLong,
    /// The checksum of a frame is wrong.
    ChecksumMismatch,
    /// A packet can't be decoded, or is not allowed in this state.
    Malformed,
    /// Connecting and the greeting, the rest of a packet, or an acknowledgement took too long.
    Stalled,
    /// A limit on connections or buffered bytes is exceeded.
    LimitExceeded,
}

impl ConnectionError {
    /// Returns the text for the error in logs and in the management API. Programs compare it, so it
    /// must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownProtocol => "stream: foreign",
            Self::VersionMismatch => "stream: another version",
            Self::WrongReceiver => "stream: for another node",
            Self::TooLong => "stream: too long",
            Self::ChecksumMismatch => "stream: damaged",
            Self::Malformed => "stream: not understood",
            Self::Stalled => "stream: stalled",
            Self::LimitExceeded => "stream: too many",
        }
    }
}

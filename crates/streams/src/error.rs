//! Why a connection is dropped.

/// Why a connection is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ConnectionError {
    /// The other side doesn't speak this protocol.
    Foreign,
    /// The other side speaks another version of the protocol.
    Version,
    /// The other side is of another cluster, or means another node.
    WrongReceiver,
    /// A frame claims to be longer than the limit.
    TooLong,
    /// A frame's checksum is wrong.
    Damaged,
    /// A packet can't be decoded, or isn't allowed in this state.
    Malformed,
    /// The other side fell silent in a greeting or a frame, or doesn't acknowledge.
    Stalled,
    /// A limit on connections or buffered bytes is reached.
    TooMany,
}

impl ConnectionError {
    /// Returns the text by which logs and the management API name the error. Programs compare it:
    /// it must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Foreign => "stream: foreign",
            Self::Version => "stream: another version",
            Self::WrongReceiver => "stream: for another node",
            Self::TooLong => "stream: too long",
            Self::Damaged => "stream: damaged",
            Self::Malformed => "stream: not understood",
            Self::Stalled => "stream: stalled",
            Self::TooMany => "stream: too many",
        }
    }
}

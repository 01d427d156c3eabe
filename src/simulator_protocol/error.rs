//! Errors of decoding a batch.

use std::fmt;
use std::io;

/// A batch that can't be decoded.
#[derive(Debug)]
#[non_exhaustive]
pub enum DecodeError {
    /// Reading the input failed.
    Io(io::Error),
    /// The input ended within a batch.
    Truncated,
    /// A record of this code ends before its fields do.
    RecordTooShort(u8),
    /// A record of this code has bytes after its fields.
    RecordTooLong(u8),
    /// No record has this code.
    UnknownCode(u8),
    /// A field has a value that the protocol does not define.
    InvalidValue {
        /// The field.
        field: &'static str,
        /// The value.
        value: u32,
    },
    /// The records don't fill the batch, or their number differs from the one that it states.
    CountMismatch,
    /// The clock is not a finite number.
    InvalidClock,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "reading a batch: {error}"),
            Self::Truncated => write!(f, "input ended within a batch"),
            Self::RecordTooShort(code) => {
                write!(f, "record of code {code} is shorter than its fields")
            }
            Self::RecordTooLong(code) => {
                write!(f, "record of code {code} is longer than its fields")
            }
            Self::UnknownCode(code) => write!(f, "unknown event code {code}"),
            Self::InvalidValue { field, value } => write!(f, "field {field} can't be {value}"),
            Self::CountMismatch => {
                write!(f, "a batch's count or size does not fit its records")
            }
            Self::InvalidClock => write!(f, "a batch's clock is not a finite number"),
        }
    }
}

impl std::error::Error for DecodeError {}

impl From<io::Error> for DecodeError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

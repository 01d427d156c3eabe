//! Errors in decoding a batch.

use std::fmt;
use std::io;

/// An error in reading or decoding a batch.
#[derive(Debug)]
#[non_exhaustive]
pub enum DecodeError {
    /// Reading the input failed.
    Io(io::Error),
    /// The input ended within a batch.
    Truncated,
    /// A record with this code is shorter than its fields.
    RecordTooShort(u8),
    /// A record with this code has bytes after its last field.
    RecordTooLong(u8),
    /// The code isn't that of any record.
    UnknownCode(u8),
    /// A field has a value that the protocol does not define.
    InvalidValue {
        /// The field.
        field: &'static str,
        /// The value.
        value: u32,
    },
    /// The stated size has no room for the record count, or the number of records differs from the
    /// stated one.
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
                write!(f, "record with code {code} is shorter than its fields")
            }
            Self::RecordTooLong(code) => {
                write!(f, "record with code {code} is longer than its fields")
            }
            Self::UnknownCode(code) => write!(f, "unknown record code {code}"),
            Self::InvalidValue { field, value } => {
                write!(f, "field {field} has the invalid value {value}")
            }
            Self::CountMismatch => {
                write!(f, "a batch's count or size does not match its records")
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

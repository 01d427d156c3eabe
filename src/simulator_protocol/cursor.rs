//! Reads fields from the bytes of a record.

use super::error::DecodeError;

/// The bytes of a record that have not been read yet.
pub(super) struct Cursor<'a> {
    pub(super) remaining: &'a [u8],
    /// Code of the record, for errors.
    pub(super) code: u8,
}

impl<'a> Cursor<'a> {
    /// Returns the next `length` bytes.
    pub(super) fn read_bytes(&mut self, length: usize) -> Result<&'a [u8], DecodeError> {
        let (bytes, remaining) = self
            .remaining
            .split_at_checked(length)
            .ok_or(DecodeError::RecordTooShort(self.code))?;
        self.remaining = remaining;
        Ok(bytes)
    }

    pub(super) fn read_array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let (bytes, remaining) = self
            .remaining
            .split_first_chunk()
            .ok_or(DecodeError::RecordTooShort(self.code))?;
        self.remaining = remaining;
        Ok(*bytes)
    }

    pub(super) fn read_u8(&mut self) -> Result<u8, DecodeError> {
        self.read_array().map(u8::from_le_bytes)
    }

    pub(super) fn read_u16(&mut self) -> Result<u16, DecodeError> {
        self.read_array().map(u16::from_le_bytes)
    }

    pub(super) fn read_u32(&mut self) -> Result<u32, DecodeError> {
        self.read_array().map(u32::from_le_bytes)
    }

    pub(super) fn read_u64(&mut self) -> Result<u64, DecodeError> {
        self.read_array().map(u64::from_le_bytes)
    }

    pub(super) fn read_f32(&mut self) -> Result<f32, DecodeError> {
        self.read_array().map(f32::from_le_bytes)
    }

    pub(super) fn read_f64(&mut self) -> Result<f64, DecodeError> {
        self.read_array().map(f64::from_le_bytes)
    }
}

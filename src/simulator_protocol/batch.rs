//! Reads the frames of batches.

use super::cursor::Cursor;
use super::error::DecodeError;
use super::records::{InstanceRecord, decode_record};
use std::io::Read;

/// Size of a batch's header: batch number, clock, size and number of the records.
const HEADER_BYTES: u64 = 20;

/// Size of the header's record count, which is included in the stated size of a batch.
const COUNT_BYTES: u64 = 4;

/// A batch of records with the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Number of the batch, repeated in the reply.
    pub number: u32,
    /// Time of the records, in seconds.
    pub now: f64,
    /// The records, in their order.
    pub records: Vec<InstanceRecord>,
}

/// Reads the next batch; `None` at the end of the input.
///
/// # Errors
///
/// If the input can't be read, ends within a batch, or has a batch that can't be decoded.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, DecodeError> {
    let mut header = Vec::new();
    input.by_ref().take(HEADER_BYTES).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    if (header.len() as u64) < HEADER_BYTES {
        return Err(DecodeError::Truncated);
    }
    let mut header = Cursor {
        remaining: &header,
        code: 0,
    };
    let number = header.read_u32()?;
    let now = header.read_f64()?;
    let size = u64::from(header.read_u32()?);
    let count = header.read_u32()?;
    let body_bytes = size
        .checked_sub(COUNT_BYTES)
        .ok_or(DecodeError::CountMismatch)?;
    // `take` grows the buffer only by the bytes that arrive, so a forged size allocates nothing.
    let mut body = Vec::new();
    if input.by_ref().take(body_bytes).read_to_end(&mut body)? as u64 != body_bytes {
        return Err(DecodeError::Truncated);
    }
    if !now.is_finite() {
        return Err(DecodeError::InvalidClock);
    }
    let records = decode_records(&body)?;
    if records.len() != count as usize {
        return Err(DecodeError::CountMismatch);
    }
    Ok(Some(Batch {
        number,
        now,
        records,
    }))
}

fn decode_records(body: &[u8]) -> Result<Vec<InstanceRecord>, DecodeError> {
    let mut records = Vec::new();
    let mut cursor = Cursor {
        remaining: body,
        code: 0,
    };
    while !cursor.remaining.is_empty() {
        cursor.code = cursor.read_u8()?;
        let length = cursor.read_u32()? as usize;
        let mut fields = Cursor {
            remaining: cursor.read_bytes(length)?,
            code: cursor.code,
        };
        records.push(decode_record(&mut fields)?);
        if !fields.remaining.is_empty() {
            return Err(DecodeError::RecordTooLong(fields.code));
        }
    }
    Ok(records)
}

//! Decodes the records of a batch.

use super::InstanceId;
use super::cursor::Cursor;
use super::error::DecodeError;
use crate::decision::affinity;
use crate::decision::interface::{
    Entry, Event, Health, ListKind, NewRequest, Outcome, ProgressNote, WorkerId,
};

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Starts a dispatcher with this seed and these settings.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Settings as JSON text.
        settings: Vec<u8>,
    },
    /// Stops a dispatcher.
    Stop,
    /// An event for a running dispatcher.
    Event(Event),
}

/// A record and the dispatcher that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceRecord {
    /// Number of the dispatcher.
    pub instance: InstanceId,
    /// The record.
    pub record: Record,
}

/// Codes of the records.
mod code {
    pub const START: u8 = 16;
    pub const WORKER_LIST: u8 = 17;
    pub const REQUEST: u8 = 18;
    pub const ATTEMPT_STREAMING: u8 = 19;
    pub const ATTEMPT_ENDED: u8 = 20;
    pub const CLIENT_DISCONNECTED: u8 = 21;
    pub const TIMER_EXPIRED: u8 = 22;
    pub const PROBE_ENDED: u8 = 23;
    pub const PEER_MESSAGE: u8 = 24;
    pub const STOP: u8 = 25;
    pub const ATTEMPT_PROGRESS: u8 = 26;
}

/// Size of an entry of a worker list.
const ENTRY_BYTES: usize = 24;

/// Flag of a request that states its expected work.
const HAS_EXPECTED_WORK: u8 = 1;

/// Flag of a request that is a retry of an earlier one.
const IS_RETRY: u8 = 2;

/// Decodes the fields of a record. The caller checks that no bytes remain.
pub(super) fn decode_record(fields: &mut Cursor<'_>) -> Result<InstanceRecord, DecodeError> {
    if !(code::START..=code::ATTEMPT_PROGRESS).contains(&fields.code) {
        return Err(DecodeError::UnknownCode(fields.code));
    }
    let instance = fields.read_u32()?;
    let record = match fields.code {
        code::START => decode_start(fields)?,
        code::STOP => Record::Stop,
        _ => Record::Event(decode_event(fields)?),
    };
    Ok(InstanceRecord { instance, record })
}

fn decode_event(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    match fields.code {
        code::WORKER_LIST => decode_worker_list(fields),
        code::REQUEST => decode_request(fields),
        code::ATTEMPT_STREAMING => decode_attempt_streaming(fields),
        code::ATTEMPT_ENDED => decode_attempt_ended(fields),
        code::CLIENT_DISCONNECTED => Ok(Event::ClientDisconnected {
            request: fields.read_u64()?,
        }),
        code::TIMER_EXPIRED => Ok(Event::TimerExpired {
            token: fields.read_u64()?,
        }),
        code::PROBE_ENDED => decode_probe_ended(fields),
        code::PEER_MESSAGE => decode_peer_message(fields),
        code::ATTEMPT_PROGRESS => decode_attempt_progress(fields),
        unknown => Err(DecodeError::UnknownCode(unknown)),
    }
}

fn decode_start(fields: &mut Cursor<'_>) -> Result<Record, DecodeError> {
    let seed = fields.read_u64()?;
    let length = fields.read_u32()? as usize;
    let settings = fields.read_bytes(length)?.to_vec();
    Ok(Record::Start { seed, settings })
}

fn decode_worker_list(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    // The number of the list, which the dispatcher does not use.
    fields.read_u32()?;
    let kind = match fields.read_u8()? {
        0 => ListKind::Delta,
        1 => ListKind::Full,
        2 => ListKind::Cached,
        3 => ListKind::Failed,
        other => {
            return Err(DecodeError::InvalidValue {
                field: "how",
                value: other.into(),
            });
        }
    };
    let count = fields.read_u32()? as usize;
    // Checked before any entry is decoded, so that a forged count allocates no memory.
    if count.checked_mul(ENTRY_BYTES) != Some(fields.remaining.len()) {
        return Err(if fields.remaining.len() / ENTRY_BYTES < count {
            DecodeError::RecordTooShort(fields.code)
        } else {
            DecodeError::RecordTooLong(fields.code)
        });
    }
    let entries = (0..count)
        .map(|_| decode_entry(fields))
        .collect::<Result<_, _>>()?;
    Ok(Event::WorkerListReceived { kind, entries })
}

fn decode_request(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    let id = fields.read_u64()?;
    let class = fields.read_u8()?;
    let tenant = fields.read_u16()?;
    let affinity_key = fields.read_u64()?;
    let time_limit = fields.read_f64()?;
    let expected_work = fields.read_f64()?;
    let slots = fields.read_f32()?;
    let memory = fields.read_f32()?;
    let flags = fields.read_u8()?;
    Ok(Event::RequestReceived(NewRequest {
        id,
        class,
        tenant,
        affinity_key,
        time_limit,
        expected_work: (flags & HAS_EXPECTED_WORK != 0).then_some(expected_work),
        slots: slots.into(),
        memory: memory.into(),
        is_marked_retry: flags & IS_RETRY != 0,
        without_key: false,
    }))
}

fn decode_attempt_streaming(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    let request = fields.read_u64()?;
    let attempt = fields.read_u16()?;
    // The worker and a time, which the dispatcher does not use.
    decode_worker(fields)?;
    fields.read_f64()?;
    Ok(Event::AttemptStreaming { request, attempt })
}

fn decode_attempt_ended(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    let request = fields.read_u64()?;
    let attempt = fields.read_u16()?;
    let worker = decode_worker(fields)?;
    let outcome = outcome_of_code(fields.read_u16()?);
    let elapsed = fields.read_f64()?;
    let answered = fields.read_u8()? != 0;
    // A byte that the dispatcher does not use.
    fields.read_u8()?;
    let report = decode_report(fields)?;
    Ok(Event::AttemptEnded {
        request,
        attempt,
        worker,
        outcome,
        elapsed,
        answered,
        report,
    })
}

fn decode_probe_ended(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    let worker = decode_worker(fields)?;
    let outcome = outcome_of_code(fields.read_u16()?);
    let elapsed = fields.read_f64()?;
    let report = decode_report(fields)?;
    Ok(Event::ProbeEnded {
        worker,
        outcome,
        elapsed,
        report,
    })
}

fn decode_peer_message(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    // A number and the message, which the dispatcher does not use.
    fields.read_u16()?;
    let length = fields.read_u16()? as usize;
    fields.read_bytes(length)?;
    Ok(Event::PeerMessage)
}

fn decode_attempt_progress(fields: &mut Cursor<'_>) -> Result<Event, DecodeError> {
    let request = fields.read_u64()?;
    let attempt = fields.read_u16()?;
    // The worker, which the attempt number already identifies.
    decode_worker(fields)?;
    let topic = fields.read_u8()?;
    let value = fields.read_f32()?;
    let note = match topic {
        1 => ProgressNote::Started,
        2 => ProgressNote::Progress(value.into()),
        _ => ProgressNote::Unknown,
    };
    Ok(Event::AttemptProgress {
        request,
        attempt,
        note,
    })
}

fn outcome_of_code(code: u16) -> Outcome {
    match code {
        200 => Outcome::Succeeded,
        502 => Outcome::Error,
        429 => Outcome::Rejected,
        408 => Outcome::Timeout,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::CancelledLocally,
        other => Outcome::Unknown(other),
    }
}

fn decode_worker(fields: &mut Cursor<'_>) -> Result<WorkerId, DecodeError> {
    Ok(WorkerId {
        address: fields.read_array()?,
        port: fields.read_u16()?,
    })
}

fn decode_report(fields: &mut Cursor<'_>) -> Result<Vec<f32>, DecodeError> {
    let count = fields.read_u8()?;
    (0..count).map(|_| fields.read_f32()).collect()
}

fn decode_entry(fields: &mut Cursor<'_>) -> Result<Entry, DecodeError> {
    let worker = decode_worker(fields)?;
    let zone = fields.read_u8()?;
    let kind = fields.read_u16()?;
    let cell = fields.read_u16()?;
    let health = match fields.read_u8()? {
        0 => Health::Removed,
        1 => Health::Ready,
        2 => Health::Draining,
        other => {
            return Err(DecodeError::InvalidValue {
                field: "health",
                value: other.into(),
            });
        }
    };
    let name = [&worker.address[..], &worker.port.to_be_bytes()].concat();
    Ok(Entry {
        worker,
        identity: affinity::hash_name(&name),
        zone,
        kind,
        cell,
        health,
        size: fields.read_f32()?.into(),
        started: fields.read_f64()?,
    })
}

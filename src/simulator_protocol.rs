//! Frames of the bench's wire: decoding of batches, encoding of replies.
//!
//! Little-endian, without padding. A batch is a 20-byte header and records; a record is a code, the size of
//! its fields and the fields. No length is trusted before the bytes behind it are there.

use crate::decision::affinity;
use crate::decision::interface::{
    Action, Entry, Event, Health, ListKind, NewRequest, Outcome, ProgressNote, RequestId, WorkerId,
};
use std::fmt;
use std::io::{self, Read};

/// Number of a dispatcher on the wire.
pub type Instance = u32;

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A dispatcher starts with this seed and these settings (JSON).
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Settings as JSON text.
        settings: Vec<u8>,
    },
    /// A dispatcher was killed.
    Stop,
    /// Something that a running dispatcher is told.
    Event(Event),
}

/// A batch of records that happen at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Number to be repeated in the reply.
    pub number: u32,
    /// Clock.
    pub now: f64,
    /// Records with the dispatcher that each is for.
    pub records: Vec<(Instance, Record)>,
}

/// A frame that can't be read.
#[derive(Debug)]
#[non_exhaustive]
pub enum WireError {
    /// Reading failed.
    Io(io::Error),
    /// Input ended within a frame.
    Truncated,
    /// A record of this code ends before its fields do.
    Short(u8),
    /// A record of this code goes on behind its fields.
    Long(u8),
    /// No event has this code.
    UnknownCode(u8),
    /// A field holds a value that the wire does not define.
    Value {
        /// The field.
        field: &'static str,
        /// The value.
        value: u32,
    },
    /// The records don't fill the batch, or there are fewer than it says.
    Count,
    /// The clock is not a finite number.
    Clock,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "reading a batch: {error}"),
            Self::Truncated => write!(f, "input ended within a batch"),
            Self::Short(code) => write!(f, "record of code {code} is shorter than its fields"),
            Self::Long(code) => write!(f, "record of code {code} is longer than its fields"),
            Self::UnknownCode(code) => write!(f, "unknown event code {code}"),
            Self::Value { field, value } => write!(f, "field {field} can't be {value}"),
            Self::Count => write!(f, "a batch's count or size does not fit its records"),
            Self::Clock => write!(f, "a batch's clock is not a finite number"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

const HEADER: usize = 20;
const ENTRY: usize = 24;

/// Reads the next batch; `None` at the end of input.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut frame = Vec::new();
    if input.by_ref().take(HEADER as u64).read_to_end(&mut frame)? == 0 {
        return Ok(None);
    }
    let &[n0, n1, n2, n3, .., l0, l1, l2, l3, _, _, _, _] = frame.as_slice() else {
        return Err(WireError::Truncated);
    };
    if frame.len() < HEADER {
        return Err(WireError::Truncated);
    }
    let (number, size) = (
        u32::from_le_bytes([n0, n1, n2, n3]),
        u32::from_le_bytes([l0, l1, l2, l3]),
    );
    let body = u64::from(size).checked_sub(4).ok_or(WireError::Count)?;
    // `take` grows the buffer by what really arrives, so a hostile size costs nothing.
    if input.by_ref().take(body).read_to_end(&mut frame)? as u64 != body {
        return Err(WireError::Truncated);
    }
    let mut cursor = Cursor {
        rest: &frame[4..],
        code: 0,
    };
    let now = cursor.f64()?;
    cursor.take(4)?;
    let count = cursor.u32()?;
    if !now.is_finite() {
        return Err(WireError::Clock);
    }
    let mut records = Vec::new();
    while !cursor.rest.is_empty() {
        cursor.code = cursor.u8().map_err(|_| WireError::Count)?;
        let length = cursor.u32()? as usize;
        let mut fields = Cursor {
            rest: cursor.take(length)?,
            code: cursor.code,
        };
        records.push(record(&mut fields)?);
        if !fields.rest.is_empty() {
            return Err(WireError::Long(fields.code));
        }
    }
    if records.len() != count as usize {
        return Err(WireError::Count);
    }
    Ok(Some(Batch {
        number,
        now,
        records,
    }))
}

fn record(c: &mut Cursor<'_>) -> Result<(Instance, Record), WireError> {
    if !(16..=26).contains(&c.code) {
        return Err(WireError::UnknownCode(c.code));
    }
    let instance = c.u32()?;
    let event = match c.code {
        16 => {
            let seed = c.u64()?;
            let length = c.u32()? as usize;
            return Ok((
                instance,
                Record::Start {
                    seed,
                    settings: c.take(length)?.to_vec(),
                },
            ));
        }
        25 => return Ok((instance, Record::Stop)),
        17 => {
            c.u32()?;
            let kind = match c.u8()? {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => {
                    return Err(WireError::Value {
                        field: "how",
                        value: other.into(),
                    });
                }
            };
            let count = c.u32()? as usize;
            if count.checked_mul(ENTRY) != Some(c.rest.len()) {
                return Err(if c.rest.len() / ENTRY < count {
                    WireError::Short(17)
                } else {
                    WireError::Long(17)
                });
            }
            let entries = (0..count).map(|_| c.entry()).collect::<Result<_, _>>()?;
            Event::WorkerListReceived { kind, entries }
        }
        18 => {
            let (request, class, tenant, key) = (c.u64()?, c.u8()?, c.u16()?, c.u64()?);
            let (budget, hint, slots, memory) = (c.f64()?, c.f64()?, c.f32()?, c.f32()?);
            let marks = c.u8()?;
            Event::RequestReceived(NewRequest {
                id: request,
                class,
                tenant,
                subject: key,
                time_limit: budget,
                expected_work: (marks & 1 != 0).then_some(hint),
                slots: slots.into(),
                memory: memory.into(),
                is_marked_retry: marks & 2 != 0,
                without_key: false,
            })
        }
        19 => {
            let (request, attempt) = (c.u64()?, c.u16()?);
            c.worker()?;
            c.f64()?;
            Event::AttemptStreaming { request, attempt }
        }
        20 => {
            let (request, attempt, worker, code) = (c.u64()?, c.u16()?, c.worker()?, c.u16()?);
            let (elapsed, closed) = (c.f64()?, c.u8()? != 0);
            c.u8()?;
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome: outcome(code),
                elapsed,
                answered: closed,
                report: c.report()?,
            }
        }
        21 => Event::ClientDisconnected { request: c.u64()? },
        22 => Event::TimerExpired { token: c.u64()? },
        23 => {
            let (worker, code, elapsed) = (c.worker()?, c.u16()?, c.f64()?);
            Event::ProbeEnded {
                worker,
                outcome: outcome(code),
                elapsed,
                report: c.report()?,
            }
        }
        24 => {
            c.u16()?;
            let length = c.u16()? as usize;
            c.take(length)?;
            Event::PeerMessage
        }
        _ => {
            let (request, attempt) = (c.u64()?, c.u16()?);
            c.worker()?;
            let (topic, value) = (c.u8()?, c.f32()?);
            let note = match topic {
                1 => ProgressNote::Started,
                2 => ProgressNote::Progress(value.into()),
                _ => ProgressNote::Unknown,
            };
            Event::AttemptProgress {
                request,
                attempt,
                note,
            }
        }
    };
    Ok((instance, Record::Event(event)))
}

fn outcome(code: u16) -> Outcome {
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

struct Cursor<'a> {
    rest: &'a [u8],
    code: u8,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, length: usize) -> Result<&'a [u8], WireError> {
        let (head, rest) = self
            .rest
            .split_at_checked(length)
            .ok_or(WireError::Short(self.code))?;
        self.rest = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let (head, rest) = self
            .rest
            .split_first_chunk()
            .ok_or(WireError::Short(self.code))?;
        self.rest = rest;
        Ok(*head)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        self.array().map(u8::from_le_bytes)
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Result<u32, WireError> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        self.array().map(u64::from_le_bytes)
    }

    fn f32(&mut self) -> Result<f32, WireError> {
        self.array().map(f32::from_le_bytes)
    }

    fn f64(&mut self) -> Result<f64, WireError> {
        self.array().map(f64::from_le_bytes)
    }

    fn worker(&mut self) -> Result<WorkerId, WireError> {
        Ok(WorkerId {
            address: self.array()?,
            port: self.u16()?,
        })
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    fn entry(&mut self) -> Result<Entry, WireError> {
        let (worker, zone, kind, cell) = (self.worker()?, self.u8()?, self.u16()?, self.u16()?);
        let health = match self.u8()? {
            0 => Health::Removed,
            1 => Health::Ready,
            2 => Health::Draining,
            other => {
                return Err(WireError::Value {
                    field: "health",
                    value: other.into(),
                });
            }
        };
        let identity =
            affinity::number_of(&[&worker.address[..], &worker.port.to_be_bytes()].concat());
        Ok(Entry {
            worker,
            identity,
            zone,
            kind,
            cell,
            health,
            size: self.f32()?.into(),
            started: self.f64()?,
        })
    }
}

/// A reply under construction.
#[derive(Debug)]
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// An empty reply to the batch of this number.
    pub fn new(number: u32) -> Self {
        let mut bytes = number.to_le_bytes().to_vec();
        bytes.extend([0; 4]);
        Self { bytes }
    }

    /// Adds an action of a dispatcher.
    pub fn push(&mut self, instance: Instance, action: &Action) {
        let start = self.bytes.len();
        self.bytes.extend([0; 5]);
        self.bytes.extend(instance.to_le_bytes());
        let code = match *action {
            Action::WatchDiscovery => {
                self.bytes.push(1);
                16
            }
            Action::Probe { worker } => {
                self.worker(worker);
                19
            }
            Action::Fail { request } => {
                self.request(request);
                20
            }
            Action::Timer { at, token } => {
                self.bytes.extend(at.to_le_bytes());
                self.bytes.extend(token.to_le_bytes());
                21
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.request(request);
                self.bytes.extend(retry_after.to_le_bytes());
                22
            }
            Action::Send {
                request,
                worker,
                timeout,
            } => {
                self.request(request);
                self.worker(worker);
                self.bytes.extend(timeout.to_le_bytes());
                24
            }
            Action::Cancel { request, attempt } => {
                self.request(request);
                self.bytes.extend(attempt.to_le_bytes());
                26
            }
        };
        let size = (self.bytes.len() - start - 5) as u32;
        self.bytes[start] = code;
        self.bytes[start + 1..start + 5].copy_from_slice(&size.to_le_bytes());
    }

    fn request(&mut self, request: RequestId) {
        self.bytes.extend(request.to_le_bytes());
    }

    fn worker(&mut self, worker: WorkerId) {
        self.bytes.extend(worker.address);
        self.bytes.extend(worker.port.to_le_bytes());
    }

    /// The finished frame.
    pub fn into_bytes(mut self) -> Vec<u8> {
        let size = (self.bytes.len() - 8) as u32;
        self.bytes[4..8].copy_from_slice(&size.to_le_bytes());
        self.bytes
    }
}

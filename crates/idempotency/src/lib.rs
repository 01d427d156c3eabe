//! The request log of a node: records of requests that outlive the process, so that a request that
//! may have run isn't run twice.
//!
//! A [`RequestLog`] is a state machine without I/O and without a clock. The node reports the
//! progress of each request whose class is logged; the log returns [`Write`]s, and those of one
//! call have to be written together. After a restart the log is loaded from the stored records. It
//! then determines what a client that repeats a request gets ([`Lookup`]), and how a worker's
//! callback resolves a request of an earlier process ([`Resolution`]).
//!
//! Guarantees, regardless of the point at which a process crashes:
//!
//! - A request of which an attempt may have run isn't started again under its id or its idempotency
//!   key until its record expires.
//! - A request that was served remains served once the record that says so is durable.
//! - A request of which no attempt was ever sent has no record.
//!
//! | module | content |
//! | --- | --- |
//! | `record` | the stored form of a request and its attempts |
//! | `keys` | the store keys of records and results |
//! | `limits` | retention times and maximum sizes |
//! | `lookup` | the identity of a submitted request, and what its client gets |
//! | `callback` | late callbacks, and how they resolve requests |
//! | `request_log` | the log itself |

mod callback;
mod keys;
mod limits;
mod lookup;
mod record;
mod request_log;

pub use callback::{Completion, LateCallback, Resolution};
pub use keys::{request_id, request_key, result_key};
pub use limits::Limits;
pub use lookup::{Lookup, RequestIdentity};
pub use record::{Attempt, AttemptOutcome, RequestRecord, Stage};
pub use request_log::{AttemptFailure, RequestLog, Write};

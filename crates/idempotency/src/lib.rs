//! The request log of a node: what it remembers of requests beyond the life of its process, so that
//! a request that may have run isn't run twice.
//!
//! A [`RequestLog`] is a state machine without I/O and without a clock. The node reports what
//! becomes of each request whose class is logged; the log answers with [`Write`]s, and those of one
//! answer are to be written together. After a restart the log is loaded from the stored records. It
//! then answers two questions: what a client that repeats a request gets ([`Lookup`]), and what a
//! worker's call-back on a request of an earlier process settles ([`Resolution`]).
//!
//! Guarantees, whenever any process dies:
//!
//! - A request of which an attempt may have run isn't started again under its id or its idempotency
//!   key until its
//!   record expires.
//! - A request that was served stays served once the record that says so is durable.
//! - A request of which no attempt was ever sent has no record.
//!
//! | module | what it owns |
//! | --- | --- |
//! | `record` | the stored form of a request and its attempts |
//! | `keys` | the keys of the store under which records and results lie |
//! | `limits` | retention times and maximum sizes |
//! | `lookup` | identity of a submitted request, and what its client gets |
//! | `callback` | late call-backs and what they settle |
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

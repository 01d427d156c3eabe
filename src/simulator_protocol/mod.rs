//! The binary protocol between a simulator and the decision module: batches of events come in, and
//! each is answered by a reply with the actions of the dispatchers.
//!
//! Integers and floats are little-endian and not padded. A batch is a 20-byte header and records; a
//! record is a code, the size of its fields and the fields. A reply has the same form with an
//! 8-byte header. A stated length is trusted only after that many bytes have arrived.
//!
//! - `batch` reads the frames of batches, `records` decodes their records with `cursor`;
//! - `reply` encodes replies; `error` has the errors of decoding.

mod batch;
mod cursor;
mod error;
mod records;
mod reply;

pub use batch::{Batch, read_batch};
pub use error::DecodeError;
pub use records::{InstanceRecord, Record};
pub use reply::Reply;

/// Number of a dispatcher in the protocol.
pub type InstanceId = u32;

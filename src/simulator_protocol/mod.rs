//! The binary protocol between a simulator and the decision module: the simulator sends batches of
//! events and receives, for each batch, a reply with the dispatchers' actions.
//!
//! Integers and floats are little-endian and not padded. A batch is a 20-byte header and records; a
//! record is a code, the size of its fields and the fields. A reply has the same form with an
//! 8-byte header. No memory is allocated for a stated length before that many bytes have arrived.
//!
//! - `batch` reads the frames of batches; `records` decodes their records with `cursor`;
//! - `reply` encodes replies; `error` defines the decoding errors.

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

//! An embedded key-value store.
//!
//! Records are kept in an append-only log that is divided into segments; each frame of the log has
//! a checksum. An index in memory maps keys to their places in the log. Compaction copies live
//! records to the end of the log and then removes the oldest segment. Every file can have a mirror
//! in a second folder. [`Engine`] does all of this on the caller's thread, through the [`Disk`]
//! trait. [`Store`] runs an engine on a thread of its own behind queues, for an event loop that
//! must not block on the disk.

pub mod batch;
pub mod disk;
pub mod engine;
pub mod frame;
pub mod index;
pub mod sim;
pub mod writer;

pub use batch::Batch;
pub use disk::{Disk, File, OsDisk, OsFile};
pub use engine::{AppendError, Engine, LostFrames, OpenError, Options, Recovery, Statistics};
pub use frame::Change;
pub use writer::{Event, QueueFull, Store, Ticket, WriterOptions};

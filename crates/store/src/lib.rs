//! A small embedded store of records with keys.
//!
//! An append-only log in segments, each frame of it with a checksum; an index in memory; cleaning
//! that copies live records to the end of the log and then removes the oldest segment; an optional
//! mirror of every file. [`Engine`] does all of it in one thread, through the [`Disk`] trait;
//! [`Store`] puts it on a thread of its own behind queues, for an event loop that must not wait for
//! the disk.

pub mod batch;
pub mod disk;
pub mod engine;
pub mod frame;
pub mod index;
pub mod sim;
pub mod writer;

pub use batch::Batch;
pub use disk::{Disk, File, OsDisk, OsFile};
pub use engine::{Engine, LostFrames, OpenError, Options, Recovery, Rejected, Statistics};
pub use frame::Change;
pub use writer::{Event, QueueFull, Store, Ticket, WriterOptions};

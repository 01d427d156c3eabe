//! A small embedded store of records with keys.
//!
//! An append-only log in segments, each frame of it checked; an index in memory; cleaning that copies what is
//! live to the end and then removes the oldest segment; an optional second copy of every file. [`Engine`] does
//! all of it in one thread, through a narrow [`Disk`]; [`Store`] puts it behind queues, so that a loop that must
//! not wait for the disk can use it.
#![forbid(unsafe_code)]

pub mod batch;
pub mod disk;
pub mod engine;
pub mod frame;
pub mod index;
pub mod sim;
pub mod writer;

pub use batch::Batch;
pub use disk::{Disk, File, OsDisk, OsFile};
pub use engine::{Engine, Lost, OpenError, Options, Recovery, Rejected, Stat};
pub use frame::Change;
pub use writer::{Busy, Event, Store, Ticket, Work};

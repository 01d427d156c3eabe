//! A worker's entry in the worker list.

use serde::{Deserialize, Serialize};

/// Address of a worker. It carries no meaning beyond identity.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
)]
pub struct WorkerId {
    /// Four bytes of address.
    pub address: [u8; 4],
    /// Port.
    pub port: u16,
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// The zone of a worker of which none is told: it is in no zone with any other.
pub const NO_ZONE: u8 = u8::MAX;
/// The cell of a worker of which none is told: it is in no cell with any other.
pub const NO_CELL: u16 = u16::MAX;

/// A worker's entry in the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: u8,
    /// Its machine kind.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// What the list says of it.
    pub health: Health,
    /// What it is called at every dispatcher alike, as a number.
    pub identity: u64,
    /// A figure of its size, for comparison with other workers.
    pub size: f64,
    /// Time of its latest start; 0 for long ago.
    pub started: f64,
}

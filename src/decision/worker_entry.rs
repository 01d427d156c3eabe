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

/// State of a worker in the worker list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes the requests that it has; no new ones may be sent.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// The zone of a worker whose zone is unknown: it shares no zone with any other worker.
pub const NO_ZONE: u8 = u8::MAX;
/// The cell of a worker whose cell is unknown: it shares no cell with any other worker.
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
    /// Its state.
    pub health: Health,
    /// Number that identifies it, the same at every dispatcher.
    pub identity: u64,
    /// Its size, for comparison with other workers.
    pub size: f64,
    /// When it last started, in seconds; 0 for long ago.
    pub started: f64,
}

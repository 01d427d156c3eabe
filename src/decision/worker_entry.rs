//! A worker's entry in the worker list.

use serde::{Deserialize, Serialize};

/// Address of a worker. It is only used to identify the worker.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
)]
pub struct WorkerId {
    /// IPv4 address.
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

/// The zone of a worker whose zone is unknown. Such a worker shares its zone with no other worker.
pub const NO_ZONE: u8 = u8::MAX;
/// The cell of a worker whose cell is unknown. Such a worker shares its cell with no other worker.
pub const NO_CELL: u16 = u16::MAX;

/// A worker's entry in the worker list.
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
    /// Hash that identifies it for affinity, the same at every dispatcher.
    pub identity: u64,
    /// Its size, for comparison with other workers.
    pub size: f64,
    /// When it last started, in seconds; 0 if it started long ago.
    pub started: f64,
}

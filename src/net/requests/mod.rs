//! The request core: requests in flight, their attempts, and the decisions on them.
//!
//! It has no socket, disk or clock: events come in with the current time, and commands go out.
//! [`manager`] holds the state and dispatches the events; each other module handles the events of
//! one concern.

mod admission;
mod answers;
mod attempts;
mod callbacks;
mod coalescing;
pub mod durability;
mod in_flight;
pub mod manager;
mod migration;
mod probes;
mod record_writes;
mod siblings;
mod worker_table;
mod workers;

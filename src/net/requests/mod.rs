//! The request core: requests in flight, their attempts and the decisions on them. It has no socket, disk or
//! clock; events come in with the current time, and commands go out.

mod callbacks;
mod coalescing;
pub mod durability;
mod in_flight;
pub mod manager;
mod migration;
mod workers;

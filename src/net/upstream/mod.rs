//! Connections to workers and to discovery. This module sends the attempts, probes and cancels that
//! the request manager requests, and reports how they end; it does not select workers.

pub mod attempts;
pub mod backoff;
pub mod exchange;
pub mod pool;
pub mod watch;
pub mod worker_list;

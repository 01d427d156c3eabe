//! Upstream: the connections to workers and to discovery. This module sends the attempts, probes
//! and cancels that the request manager orders and reports how they end; no worker is selected
//! here.

pub mod attempts;
pub mod backoff;
pub mod exchange;
pub mod pool;
pub mod watch;
pub mod worker_list;

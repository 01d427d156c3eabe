//! Stand-ins for the services around a node, for trials and tests: discovery, workers, and an HTTP
//! client.
//!
//! They run in threads of this process on loopback, and implement the parts of their protocols that
//! a node uses.

mod discovery;
mod http_client;
mod http_server;
mod worker;

pub use discovery::Discovery;
pub use http_client::send_request;
pub use worker::Worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex, even if a thread has panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

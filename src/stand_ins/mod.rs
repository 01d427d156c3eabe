//! Simplified peers of a node for trials and tests: discovery, workers, and an HTTP client.
//!
//! They run in threads of this process on loopback, and speak the platform's protocol as far as a
//! node sees it.

mod discovery;
mod http_client;
mod http_server;
mod worker;

pub use discovery::Discovery;
pub use http_client::send_request;
pub use worker::Worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex, also after a thread has panicked with the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

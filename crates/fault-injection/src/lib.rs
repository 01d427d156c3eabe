//! Fault injection for tests; not part of the node.
//!
//! - [`FaultyNetwork`]: proxies between nodes that lose, duplicate, delay, reset and partition the
//!   traffic, separately for each direction.
//! - [`Process`]: a process of the program that can be paused, resumed and killed.
//! - [`Schedule`]: a random sequence of faults that can be saved as text and run again.
//! - [`History`]: the steps and observations of a test, printed when it fails; [`check`] finds
//!   violations of the guarantees in it.
//! - [`Timeline`]: a drawing of the events at several nodes.

pub mod check;
mod failure_reports;
mod history;
mod network;
mod process;
mod schedule;
mod timeline;

pub use check::{LogPosition, Violation};
pub use history::{Event, History, HistoryEntry};
pub use network::{FaultyNetwork, LinkFaults, loopback_addresses};
pub use process::Process;
pub use schedule::{Schedule, Step};
pub use timeline::{MAX_WIDTH, Timeline};

use std::time::{Duration, Instant};

/// Interval between two evaluations of the condition of [`wait_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the condition holds; returns whether it did within the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if condition() {
            return true;
        }
        if start.elapsed() > timeout {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

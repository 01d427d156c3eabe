//! Fault injection for tests and trials; no part of the node.
//!
//! - [`FaultyNetwork`]: proxies between nodes that lose, delay, cut and partition their traffic in
//!   each direction.
//! - [`Process`]: a process of the program, to be paused, resumed and killed.
//! - [`Schedule`]: a random sequence of faults that can be written down and run again.
//! - [`History`]: what was done and seen, for the message of a test that fails; [`check`] finds
//!   violations in it.
//! - [`Timeline`]: a drawing of what happened at several nodes.

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

/// How often [`wait_until`] evaluates its condition.
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

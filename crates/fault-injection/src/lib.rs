//! For tests and trials, no part of the node: starts processes of the program on loopback addresses of their own, leads
//! what they say to each other through relays that can fail in each direction by itself, and stops, wakes and kills them.
//!
//! [`Net`] is the network, [`Process`] a process, [`Schedule`] what is done to
//! them, [`History`] what was done and seen, for the message of a test that fails.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
mod history;
mod net;
mod process;
mod schedule;
mod timeline;

pub use check::Violation;
pub use history::{Event, History};
pub use net::{Link, Net, addresses};
pub use process::Process;
pub use schedule::{Schedule, Step};
pub use timeline::{Timeline, WIDEST};

use std::time::{Duration, Instant};

/// Waits for a condition; whether it came to hold within the time.
pub fn wait(most: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    loop {
        if holds() {
            return true;
        }
        if start.elapsed() > most {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

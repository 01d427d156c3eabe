//! What was done to a fleet and seen of it, in its order.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A record that all parts of a test write to.
#[derive(Clone, Debug)]
pub struct History {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Default for History {
    fn default() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }
}

impl History {
    /// Notes what happens now.
    pub fn note(&self, what: impl Into<String>) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push((at, what.into()));
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, what) in self.lines.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            writeln!(f, "{at:8.3} {what}")?;
        }
        Ok(())
    }
}

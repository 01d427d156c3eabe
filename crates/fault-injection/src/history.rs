//! What was done to a fleet and seen of it, in its order.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// One entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Something was done, or came to hold.
    Note(String),
    /// A client asks a node under this id.
    Asked(String, usize),
    /// It has an answer of this status, and whether that is one that a worker made or a node may give; or none, where the
    /// connection ended.
    Answered(String, Option<u16>, bool),
    /// A worker runs the job of this key, for the so-manieth time over all.
    Ran(String, u32),
}

/// A record that all parts of a test write to.
#[derive(Clone, Debug)]
pub struct History {
    start: Instant,
    /// Unix time at its start, in seconds: logs have their own times.
    unix: f64,
    events: Arc<Mutex<Vec<(f64, Event)>>>,
}

impl Default for History {
    fn default() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64();
        Self {
            start: Instant::now(),
            unix,
            events: Arc::default(),
        }
    }
}

impl History {
    /// A history of these, each with its time in seconds, that began at this Unix time.
    pub fn of(unix: f64, events: Vec<(f64, Event)>) -> Self {
        Self {
            start: Instant::now(),
            unix,
            events: Arc::new(Mutex::new(events)),
        }
    }

    fn events(&self) -> MutexGuard<'_, Vec<(f64, Event)>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds what happens now.
    pub fn add(&self, event: Event) {
        // Within the lock, so that the order is that of the times.
        let mut events = self.events();
        events.push((self.start.elapsed().as_secs_f64(), event));
    }

    /// Notes what is done now, or seen to hold.
    pub fn note(&self, what: impl Into<String>) {
        self.add(Event::Note(what.into()));
    }

    /// All so far, each with its time in seconds from the start.
    pub fn all(&self) -> Vec<(f64, Event)> {
        self.events().clone()
    }

    /// Where a Unix time lies in it, in seconds from its start.
    pub fn at(&self, unix: f64) -> f64 {
        unix - self.unix
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, event) in self.events().iter() {
            match event {
                Event::Note(what) => writeln!(f, "{at:8.3} {what}")?,
                Event::Asked(id, node) => writeln!(f, "{at:8.3}   {id} asked at n{node}")?,
                Event::Answered(id, Some(status), true) => {
                    writeln!(f, "{at:8.3}   {id} answered {status}")?
                }
                Event::Answered(id, Some(status), false) => {
                    writeln!(
                        f,
                        "{at:8.3}   {id} answered {status}, with what no worker made"
                    )?;
                }
                Event::Answered(id, None, _) => writeln!(f, "{at:8.3}   {id} broken off")?,
                Event::Ran(key, times) => writeln!(f, "{at:8.3}   {key} run, {times} in all")?,
            }
        }
        Ok(())
    }
}

//! The history of a test: the steps taken against a cluster and the observations, ordered by time.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// An event of a history.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A step was taken, or a condition was observed. The checks parse the text as a
    /// [`crate::Step`] if it is one.
    Note(String),
    /// A client sent a request to a node.
    RequestSent {
        /// The request's id.
        id: String,
        /// The index of the node.
        node: usize,
    },
    /// A client received the response to its request, or the connection closed without one.
    ResponseReceived {
        /// The request's id.
        id: String,
        /// The status of the response; `None` if the connection closed without one.
        status: Option<u16>,
        /// Whether the response can come from a worker or from the node itself.
        plausible: bool,
    },
    /// Workers ran a request.
    RequestRun {
        /// The request's idempotency key, or else its id.
        key: String,
        /// Number of runs at all workers.
        run_count: u32,
    },
}

/// An event with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// When it happened, in seconds from the history's start.
    pub at_seconds: f64,
    /// What happened.
    pub event: Event,
}

impl HistoryEntry {
    /// Returns an entry for an event at this time.
    pub fn new(at_seconds: f64, event: Event) -> Self {
        Self { at_seconds, event }
    }
}

/// A history, shared by the threads of a test.
#[derive(Clone, Debug)]
pub struct History {
    start: Instant,
    /// Unix time of the start, in seconds, to which the timestamps in logs are compared.
    start_unix_seconds: f64,
    entries: Arc<Mutex<Vec<HistoryEntry>>>,
}

impl Default for History {
    fn default() -> Self {
        let start_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix_seconds: start_unix.as_secs_f64(),
            entries: Arc::default(),
        }
    }
}

impl History {
    /// Returns a history with these entries that began at this Unix time, in seconds.
    pub fn with_entries(start_unix_seconds: f64, entries: Vec<HistoryEntry>) -> Self {
        Self {
            start: Instant::now(),
            start_unix_seconds,
            entries: Arc::new(Mutex::new(entries)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<HistoryEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        let mut entries = self.lock();
        // The time is taken while the lock is held, so that the entries are ordered by time.
        let at_seconds = self.start.elapsed().as_secs_f64();
        entries.push(HistoryEntry { at_seconds, event });
    }

    /// Records a step that is taken now, or a condition that is observed.
    pub fn note(&self, text: impl Into<String>) {
        self.record(Event::Note(text.into()));
    }

    /// Returns all entries so far.
    pub fn entries(&self) -> Vec<HistoryEntry> {
        self.lock().clone()
    }

    /// Converts a Unix time, in seconds, to seconds from the history's start.
    pub fn seconds_since_start(&self, unix_seconds: f64) -> f64 {
        unix_seconds - self.start_unix_seconds
    }
}

impl fmt::Display for HistoryEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:8.3} ", self.at_seconds)?;
        match &self.event {
            Event::Note(text) => write!(f, "{text}"),
            Event::RequestSent { id, node } => write!(f, "  {id} sent to n{node}"),
            Event::ResponseReceived {
                id,
                status: Some(status),
                plausible: true,
            } => write!(f, "  {id} answered {status}"),
            Event::ResponseReceived {
                id,
                status: Some(status),
                plausible: false,
            } => write!(f, "  {id} answered {status}, with an implausible body"),
            Event::ResponseReceived {
                id, status: None, ..
            } => write!(f, "  {id} not answered: connection closed"),
            Event::RequestRun { key, run_count } => {
                write!(f, "  {key} run {run_count} times in total")
            }
        }
    }
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lock()
            .iter()
            .try_for_each(|entry| writeln!(f, "{entry}"))
    }
}

//! Retention times and maximum sizes of the request log.

use std::collections::HashMap;

/// Default of [`Limits::retention_seconds`]: an hour covers the retries of any client.
const DEFAULT_RETENTION_SECONDS: f64 = 3600.0;
/// Default of [`Limits::max_result_bytes`].
const DEFAULT_MAX_RESULT_BYTES: usize = 64 << 10;
/// Default of [`Limits::max_requests`].
const DEFAULT_MAX_REQUESTS: usize = 1_000_000;
/// How long a record is kept beyond its client's deadline at least, in milliseconds.
const MIN_RETENTION_AFTER_DEADLINE_MS: u64 = 1000;

/// Limits of what a request log keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How long a record is kept after its last change, in seconds, for classes that have no time
    /// of their own.
    pub retention_seconds: f64,
    /// The retention times of classes that have their own, in seconds, by the class's name.
    pub retention_seconds_by_class: HashMap<String, f64>,
    /// The longest result that is stored, in bytes; a longer one is dropped and its request counts
    /// as served without it.
    pub max_result_bytes: usize,
    /// How many requests are kept at most.
    pub max_requests: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention_seconds: DEFAULT_RETENTION_SECONDS,
            retention_seconds_by_class: HashMap::new(),
            max_result_bytes: DEFAULT_MAX_RESULT_BYTES,
            max_requests: DEFAULT_MAX_REQUESTS,
        }
    }
}

impl Limits {
    /// Returns when a record that changes at `now` (seconds of Unix time) expires, in milliseconds
    /// of Unix time.
    ///
    /// A record outlives its client's deadline in any case.
    pub(crate) fn expires_at_ms(&self, class: &str, now: f64, deadline_ms: u64) -> u64 {
        let retention_seconds = self
            .retention_seconds_by_class
            .get(class)
            .unwrap_or(&self.retention_seconds);
        seconds_to_ms(now + retention_seconds).max(deadline_ms + MIN_RETENTION_AFTER_DEADLINE_MS)
    }
}

/// Returns the time in whole milliseconds; a negative time is 0.
pub(crate) fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0).max(0.0) as u64
}

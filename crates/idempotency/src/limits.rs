//! Retention times and maximum sizes of the request log.

use std::collections::HashMap;

/// Default of [`Limits::retention_seconds`]: an hour covers the retries of any client.
const DEFAULT_RETENTION_SECONDS: f64 = 3600.0;
/// Default of [`Limits::max_result_bytes`].
const DEFAULT_MAX_RESULT_BYTES: usize = 64 << 10;
/// Default of [`Limits::max_requests`].
const DEFAULT_MAX_REQUESTS: usize = 1_000_000;
/// Minimum time for which a record is kept after its client's deadline, in milliseconds.
const MIN_RETENTION_AFTER_DEADLINE_MS: u64 = 1000;

/// Limits on what a request log keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How long a record is kept after its last change, in seconds, for classes that are not in
    /// `retention_seconds_by_class`.
    pub retention_seconds: f64,
    /// Retention times that apply to single classes instead, in seconds, by the name of the class.
    pub retention_seconds_by_class: HashMap<String, f64>,
    /// Maximum size of a stored result, in bytes. A larger one isn't stored, and its request is
    /// recorded as served without a stored result.
    pub max_result_bytes: usize,
    /// Maximum number of requests in the log.
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
    /// of Unix time. That is after the client's deadline, however short the retention time is.
    pub(crate) fn expires_at_ms(&self, class: &str, now: f64, deadline_ms: u64) -> u64 {
        let retention_seconds = self
            .retention_seconds_by_class
            .get(class)
            .unwrap_or(&self.retention_seconds);
        seconds_to_ms(now + retention_seconds).max(deadline_ms + MIN_RETENTION_AFTER_DEADLINE_MS)
    }
}

/// Converts seconds to whole milliseconds, rounded down; negative times become 0.
pub(crate) fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0).max(0.0) as u64
}

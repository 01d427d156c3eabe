//! The state of the calls to discovery.

/// The state of the calls to discovery.
#[derive(Default)]
pub struct DiscoveryCalls {
    /// When discovery is called next. Timers that expire earlier are outdated.
    pub next_call_at: f64,
    /// Number of consecutive failed calls, up to a maximum.
    pub failed_calls: i32,
    /// Whether changes of the list are being received.
    pub watching: bool,
}

//! The durations that leases go by.

/// The timing of leases; it must be the same at all nodes of a cluster.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTiming {
    /// How long a lease runs after its grant or renewal, in milliseconds.
    pub lease_ms: u64,
    /// By how much a machine's clock may run faster or slower than true time, in thousandths.
    pub drift_per_mille: u64,
    /// Two turns of the event loop that are further apart than this, in milliseconds, mean that the
    /// process was paused.
    pub pause_threshold_ms: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease_ms: 3000,
            drift_per_mille: 20,
            pause_threshold_ms: 500,
        }
    }
}

impl LeaseTiming {
    /// Returns for how many milliseconds, by its own clock, a holder may rely on its lease.
    pub fn holder_duration_ms(&self) -> u64 {
        self.lease_ms * (1000 - self.drift_per_mille.min(999)) / 1000
    }

    /// Returns how many milliseconds, by its own clock, the granter waits before it expires a
    /// lease. By then even the slowest permitted clock of a holder has measured the whole lease.
    pub fn granter_duration_ms(&self) -> u64 {
        (self.lease_ms * (1000 + self.drift_per_mille)).div_ceil(1000)
    }
}

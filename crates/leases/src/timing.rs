//! Durations of leases, with their allowance for clock drift.

/// The timing of leases; it must be the same at all nodes of a cluster.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTiming {
    /// How long a lease is valid after its grant or renewal, in milliseconds.
    pub lease_ms: u64,
    /// Maximum deviation of a machine's clock rate from true time, in thousandths.
    pub drift_per_mille: u64,
    /// If two turns of the event loop are further apart than this, in milliseconds, the process
    /// counts as paused in between.
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
    /// Returns for how many milliseconds after its request, by its own clock, a holder may rely on
    /// its lease.
    pub fn holder_duration_ms(&self) -> u64 {
        self.lease_ms * (1000 - self.drift_per_mille.min(999)) / 1000
    }

    /// Returns how many milliseconds, by its own clock, the granter waits before it expires a
    /// lease. By then the lease has ended even by the slowest permitted clock of a holder.
    pub fn granter_duration_ms(&self) -> u64 {
        (self.lease_ms * (1000 + self.drift_per_mille)).div_ceil(1000)
    }
}

//! Intervals and timeouts of the coordinator, in milliseconds.

/// Interval between two ticks of the replicated log; the log counts its timeouts in ticks.
pub const TICK_INTERVAL_MS: u64 = 50;

/// A call without a response is sent again after this time. It is longer than a commit takes
/// without faults.
pub const CALL_RETRY_INTERVAL_MS: u64 = 400;

/// A call of this node fails after this time; it may still have been committed. Several leader
/// elections fit into this time.
pub const CALL_TIMEOUT_MS: u64 = 5000;

/// A renewal is abandoned after this time, and the next one covers the leases that the node holds
/// by then. It is also the minimum time between two requests for the same lease.
pub const RENEWAL_TIMEOUT_MS: u64 = 1000;

/// A voter that has sent nothing for this time does not count as alive.
pub const LIVENESS_TIMEOUT_MS: u64 = 2000;

/// Interval at which a node that is not a voter asks for the committed state.
pub const FOLLOWER_SNAPSHOT_INTERVAL_MS: u64 = 500;

/// Interval at which the leader announces the voters to silent ones, and a voter that has lost its
/// promises reports that to the others.
pub const REMINDER_INTERVAL_MS: u64 = 1000;

/// A node requests a free lease after a random delay below this one, so that nodes rarely request
/// it at the same time.
pub const MAX_ACQUIRE_DELAY_MS: u64 = 150;

//! Intervals and timeouts of the coordinator, in milliseconds.

/// Interval between two ticks of the replicated log; the log counts its timeouts in ticks.
pub const TICK_INTERVAL_MS: u64 = 50;

/// A call without a response is sent again after this time. It is longer than a commit takes when
/// all is well.
pub const CALL_RETRY_INTERVAL_MS: u64 = 400;

/// A call of this node is given up after this time, with an unknown result. An election of a leader
/// fits into it several times.
pub const CALL_TIMEOUT_MS: u64 = 5000;

/// A renewal or an acquisition is given up after this time: the next one is made for the leases
/// that the node wants then.
pub const RENEWAL_TIMEOUT_MS: u64 = 1000;

/// A voter that has sent nothing for this time does not count as alive.
pub const LIVENESS_TIMEOUT_MS: u64 = 2000;

/// Interval at which a node that is not a voter asks for the committed state.
pub const FOLLOW_INTERVAL_MS: u64 = 500;

/// Interval at which the leader announces the voters to silent ones, and a voter that has lost its
/// promises says so.
pub const REMINDER_INTERVAL_MS: u64 = 1000;

/// Nodes that want a free lease ask for it after a random time below this one, so that they seldom
/// ask at once.
pub const MAX_ACQUIRE_DELAY_MS: u64 = 150;

//! Budgets of probes, hedged requests and retries.

use super::event_times::EventTimes;
use super::parameters::MAX_SAVED_BUDGET;

/// The remaining budgets of a dispatcher, and the events that are counted for them.
#[derive(Default)]
pub struct Budgets {
    /// Number of hedged requests that may be sent.
    pub hedges: f64,
    /// Number of probes that may be sent.
    pub probes: f64,
    /// When requests were admitted.
    pub admitted: EventTimes,
    /// When attempts beyond a request's first were sent.
    pub retries: EventTimes,
    /// When a draw for a slow-start permit was made, regardless of its result.
    pub permit_draws: EventTimes,
}

impl Budgets {
    /// Returns the budgets of a new dispatcher.
    pub fn new() -> Self {
        Self {
            probes: MAX_SAVED_BUDGET,
            ..Self::default()
        }
    }
}

/// Returns how many probes or hedged requests are allowed per request: `max`, or fewer if their
/// cost at this price would exceed `cost_share`.
pub fn affordable(max: f64, cost_share: f64, price: f64) -> f64 {
    if price > 0.0 {
        max.min(cost_share / price)
    } else {
        max
    }
}

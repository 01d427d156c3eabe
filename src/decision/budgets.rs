//! Budgets of probes, hedged requests and retries.

use super::event_times::EventTimes;
use super::parameters::MAX_SAVED_BUDGET;

/// What this dispatcher may still spend, and the events that its budgets count.
#[derive(Default)]
pub struct Budgets {
    /// Hedged requests that may be sent.
    pub hedges: f64,
    /// Probes that may be sent.
    pub probes: f64,
    /// When requests were admitted.
    pub admitted: EventTimes,
    /// When attempts beyond a request's first were sent.
    pub retries: EventTimes,
    /// When a pass to a worker in slow start was drawn for.
    pub pass_draws: EventTimes,
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

/// Returns how many probes or hedged requests one request may cost: `max`, or what `spending` buys
/// at this price.
pub fn affordable(max: f64, spending: f64, price: f64) -> f64 {
    if price > 0.0 {
        max.min(spending / price)
    } else {
        max
    }
}

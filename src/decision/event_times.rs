//! The latest times of one kind of event, for budgets that count within a window.

use std::collections::VecDeque;

/// The latest times of an event, in ascending order.
#[derive(Default)]
pub struct EventTimes(VecDeque<f64>);

impl EventTimes {
    /// Number of times that are stored. Fewer admitted requests only make a retry budget smaller;
    /// retries stay far below this number.
    const MAX_TIMES: usize = 65536;

    /// Records an event at `now`.
    pub fn push(&mut self, now: f64) {
        self.0.push_back(now);
        self.drop_oldest();
    }

    /// Adds the times of a sibling process, in any order.
    pub fn merge(&mut self, times: &[f64]) {
        let finite = times.iter().copied().filter(|at| at.is_finite());
        self.0.extend(finite);
        self.0.make_contiguous().sort_by(f64::total_cmp);
        self.drop_oldest();
    }

    /// Returns the latest times that are not before `since`, latest first, at most `max` of them.
    pub fn latest(&self, max: usize, since: f64) -> Vec<f64> {
        self.0
            .iter()
            .rev()
            .take(max)
            .take_while(|time| **time >= since)
            .copied()
            .collect()
    }

    /// Returns the mean number of events in a window of this length, over the last `windows`
    /// windows or, if the first event is more recent, over the time since then.
    pub fn mean_per_window(&self, now: f64, window: f64, windows: f64) -> f64 {
        let age = self.0.front().map_or(0.0, |first| now - first);
        let span = (windows * window).min(age).max(window);
        self.count_since(now - span) as f64 * window / span
    }

    /// Returns the number of events that are not before `since`.
    pub fn count_since(&self, since: f64) -> usize {
        self.0.len() - self.0.partition_point(|&time| time < since)
    }

    fn drop_oldest(&mut self) {
        let surplus = self.0.len().saturating_sub(Self::MAX_TIMES);
        self.0.drain(..surplus);
    }
}

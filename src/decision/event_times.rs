//! The latest times of one kind of event, for budgets that count events within a window.

use std::collections::VecDeque;

/// The latest times of an event, in ascending order.
#[derive(Default)]
pub struct EventTimes(VecDeque<f64>);

impl EventTimes {
    /// Maximum number of times that are kept. Dropping admitted requests only makes the retry
    /// budget smaller, and the number of retries stays far below this limit.
    const MAX_TIMES: usize = 65536;

    /// Records an event at `now`.
    pub fn push(&mut self, now: f64) {
        self.0.push_back(now);
        self.drop_oldest();
    }

    /// Adds the times recorded by a sibling process, which may be in any order.
    pub fn merge(&mut self, times: &[f64]) {
        let finite = times.iter().copied().filter(|at| at.is_finite());
        self.0.extend(finite);
        self.0.make_contiguous().sort_by(f64::total_cmp);
        self.drop_oldest();
    }

    /// Returns at most `max` of the times at or after `since`, latest first.
    pub fn latest(&self, max: usize, since: f64) -> Vec<f64> {
        self.0
            .iter()
            .rev()
            .take(max)
            .take_while(|time| **time >= since)
            .copied()
            .collect()
    }

    /// Returns the mean number of events per window of this length. The mean is over the last
    /// `windows` windows, or over the time since the first event if that is shorter.
    pub fn mean_per_window(&self, now: f64, window: f64, windows: f64) -> f64 {
        let age = self.0.front().map_or(0.0, |first| now - first);
        let span = (windows * window).min(age).max(window);
        self.count_since(now - span) as f64 * window / span
    }

    /// Returns the number of events at or after `since`.
    pub fn count_since(&self, since: f64) -> usize {
        self.0.len() - self.0.partition_point(|&time| time < since)
    }

    fn drop_oldest(&mut self) {
        let surplus = self.0.len().saturating_sub(Self::MAX_TIMES);
        self.0.drain(..surplus);
    }
}

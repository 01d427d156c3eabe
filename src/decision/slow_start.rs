//! Slow start: limits the traffic to workers that have started or been resumed recently.
//!
//! The empty queue of such a worker would win almost every lottery, so all dispatchers together
//! would overload it. An attempt may therefore go there only with a slow-start permit. Permits are
//! drawn at random, with a probability in proportion to the worker's current share of the total
//! capacity.

use super::dispatcher::Dispatcher;
use super::parameters::{
    MAX_BURST, SLOW_START_BUDGET_SHARE, SLOW_START_TRAFFIC_SHARE, TRAFFIC_IMBALANCE,
    USUAL_TRAFFIC_WINDOWS,
};
use super::workers::{Worker, WorkerIndex};

impl Dispatcher {
    /// Returns the minimum share of its capacity that a worker has now. The share rises linearly
    /// during the warm-up time.
    pub(super) fn warm_share(&self, worker: &Worker) -> f64 {
        let progress = (self.now - worker.started()).max(0.0)
            / self.settings.warm_up_time.max(self.settings.tick);
        let is_warming_up = worker.started() > 0.0 && progress < 1.0;
        if is_warming_up {
            self.settings.initial_capacity_share
                + (1.0 - self.settings.initial_capacity_share) * progress
        } else {
            1.0
        }
    }

    /// Returns the work that all dispatchers together may send to a worker in slow start in one
    /// window, in seconds.
    fn slow_start_budget(&self, worker: &Worker) -> f64 {
        self.settings.overload_multiple
            * self.warm_share(worker)
            * self.slots(worker).max(1.0)
            * self.settings.overload_window
    }

    /// Returns this dispatcher's part of the slow-start budget, with an allowance for random
    /// variation, which is large for a part of few requests.
    pub(super) fn own_slow_start_budget(&self, worker: &Worker) -> f64 {
        let dispatchers = f64::from(self.settings.dispatcher_count.max(1));
        let run_time = self.estimates.mean_run_time;
        let part = SLOW_START_BUDGET_SHARE * self.slow_start_budget(worker) * TRAFFIC_IMBALANCE
            / dispatchers;
        let with_variation = part + 2.0 * (part * run_time).sqrt() + run_time;
        with_variation.min(SLOW_START_BUDGET_SHARE * self.slow_start_budget(worker))
    }

    /// Draws whether the next attempt gets a slow-start permit, and for which worker. In a burst
    /// the number of permits is limited to [`MAX_BURST`] times that of the usual traffic.
    pub(super) fn draw_slow_start_permit(&mut self) -> Option<WorkerIndex> {
        if let Some(worker) = self.workers.resumed_worker_due_request(self.now) {
            return Some(worker);
        }
        let window = self.settings.overload_window;
        self.budgets.permit_draws.push(self.now);
        let draws = self.budgets.permit_draws.count_since(self.now - window) as f64;
        let usual = self
            .budgets
            .admitted
            .mean_per_window(self.now, window, USUAL_TRAFFIC_WINDOWS);
        let likely_maximum = usual + 2.0 * usual.sqrt() + 1.0;
        let burst = (draws / (MAX_BURST * likely_maximum)).max(1.0);
        let range = SLOW_START_TRAFFIC_SHARE * self.settings.overload_multiple;
        let mut drawn = self.random.uniform() * burst * self.workers.total_size / range;
        self.workers.started.iter().copied().find(|&index| {
            let worker = &self.workers.all[index];
            let warm_share = self.warm_share(worker);
            if warm_share < 1.0 {
                drawn -= warm_share * worker.size(self.settings.sizes_are_comparable);
            }
            drawn < 0.0
        })
    }
}

//! Outlier ejection: what the end of an attempt says of its worker.

use super::dispatcher::Dispatcher;
use super::interface::{Outcome, WorkerId};
use super::parameters::{EJECTION_TIME, MAX_EJECTION_TIME, MAX_FAILURES};
use super::workers::{AttemptKey, LoadReport, OwnAttempt, WorkerIndex};

impl Dispatcher {
    /// Ejects a worker from the draws for a while, or until it reports progress: silence is not
    /// death.
    pub(super) fn eject(&mut self, index: WorkerIndex) {
        let backoff = 2f64.powi(self.workers.all[index].failures);
        let run_times = (EJECTION_TIME * backoff).min(MAX_EJECTION_TIME);
        let until = self.jittered(self.estimates.mean_run_time * run_times);
        let worker = &mut self.workers.all[index];
        if worker.ejected_until <= self.now {
            worker.ejected_until = until;
            worker.failures = (worker.failures + 1).min(MAX_FAILURES);
        }
    }

    /// Records the end of an attempt on its worker, also when the request has ended before.
    pub(super) fn record_attempt_end(
        &mut self,
        key: AttemptKey,
        id: WorkerId,
        outcome: Outcome,
        figures: &[f32],
    ) {
        let Some(&index) = self.workers.index.get(&id) else {
            return;
        };
        let Some(own) = self.workers.all[index].remove_own_attempt(key, self.now) else {
            return;
        };
        let ended_slots = if outcome == Outcome::Succeeded {
            own.slots
        } else {
            0.0
        };
        match outcome {
            Outcome::Succeeded => {
                let worker = &mut self.workers.all[index];
                worker.failures = 0;
                worker.ejected_until = 0.0;
            }
            Outcome::Error => self.handle_worker_error(index, own),
            Outcome::Reset if self.may_be_preempted(key) => {}
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => self.eject(index),
            Outcome::Rejected => self.record_full(index),
            Outcome::Cancelled | Outcome::CancelledLocally | Outcome::Unknown(_) => {}
        }
        self.record_figures(index, figures, ended_slots);
    }

    /// A worker that fails quickly empties its queue, so the failed job weighs on as if it ran.
    fn handle_worker_error(&mut self, index: WorkerIndex, own: OwnAttempt) {
        let until = own.sent + own.work.max(self.estimates.mean_run_time);
        self.workers.all[index].own.push(OwnAttempt {
            until: Some(until),
            ..own
        });
        self.eject(index);
    }

    /// Returns whether workers may kill the attempt's job for one of a higher priority, which is
    /// not their fault.
    fn may_be_preempted(&self, key: AttemptKey) -> bool {
        let request = self.requests.get(&key.0);
        request.is_some_and(|request| self.settings.may_preempt(request.class))
    }

    /// Records that a worker has rejected an attempt as full: its load is twice its slots or more.
    fn record_full(&mut self, index: WorkerIndex) {
        let worker = &self.workers.all[index];
        let last_load = worker.report.map_or(0.0, |report| report.load);
        let report = LoadReport {
            load: last_load.max(2.0 * self.slots(worker).max(1.0)),
            memory: 0.0,
            at: self.now,
        };
        self.record_report(index, report);
    }
}

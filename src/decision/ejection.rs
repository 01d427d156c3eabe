//! Outlier ejection: how the outcomes of attempts affect the state of their workers.

use super::dispatcher::Dispatcher;
use super::interface::{Outcome, WorkerId};
use super::parameters::{EJECTION_TIME, MAX_COUNTED_FAILURES, MAX_EJECTION_TIME};
use super::workers::{AttemptKey, LoadReport, OwnAttempt, WorkerIndex};

impl Dispatcher {
    /// Excludes a worker from selection for some time, or until it reports progress, since a worker
    /// may be silent without having failed.
    pub(super) fn eject(&mut self, index: WorkerIndex) {
        let backoff = 2f64.powi(self.workers.all[index].failures);
        let run_times = (EJECTION_TIME * backoff).min(MAX_EJECTION_TIME);
        let until = self.jittered(self.estimates.mean_run_time * run_times);
        let worker = &mut self.workers.all[index];
        if worker.ejected_until <= self.now {
            worker.ejected_until = until;
            worker.failures = (worker.failures + 1).min(MAX_COUNTED_FAILURES);
        }
    }

    /// Records the end of an attempt for its worker, even if the request has already ended.
    pub(super) fn record_attempt_end(
        &mut self,
        key: AttemptKey,
        id: WorkerId,
        outcome: Outcome,
        report: &[f32],
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
        self.record_report_values(index, report, ended_slots);
    }

    /// Ejects a worker that answered with an error. The failed job counts towards the worker's load
    /// for as long as it would have run; otherwise a worker that fails quickly would appear idle
    /// and attract requests.
    fn handle_worker_error(&mut self, index: WorkerIndex, own: OwnAttempt) {
        let until = own.sent + own.work.max(self.estimates.mean_run_time);
        self.workers.all[index].own.push(OwnAttempt {
            until: Some(until),
            ..own
        });
        self.eject(index);
    }

    /// Returns whether a worker may stop the attempt's job in favour of one with a higher priority,
    /// which is not a fault of the worker.
    fn may_be_preempted(&self, key: AttemptKey) -> bool {
        let request = self.requests.get(&key.0);
        request.is_some_and(|request| self.settings.may_preempt(request.class))
    }

    /// Records that a worker rejected an attempt because it is full. Its load is assumed to be at
    /// least twice its number of slots.
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

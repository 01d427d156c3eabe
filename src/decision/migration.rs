//! Migration of requests between two processes of the node, and handling of the sibling process's
//! events.

use super::dispatcher::{Dispatcher, TimerKind};
use super::interface::{Action, MigratedRequest, RequestId, SiblingEvent};
use super::parameters::MAX_SIBLING_WINDOW_SECONDS;
use super::request::Request;
use super::workers::{OwnAttempt, WorkerIndex};

/// Recent admissions and retries, for the budgets of a sibling process.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetHistory {
    /// When requests were admitted, latest first.
    pub admitted: Vec<f64>,
    /// When retries were sent, latest first.
    pub retries: Vec<f64>,
}

impl Dispatcher {
    /// Removes a request that will continue in a sibling process, and returns its record. Its
    /// attempts are not cancelled.
    pub fn release(&mut self, id: RequestId) -> Option<MigratedRequest> {
        let request = self.requests.remove(&id)?;
        for worker in &mut self.workers.all {
            worker.own.retain(|own| own.key.0 != id);
        }
        let worker_id = |index: WorkerIndex| self.workers.all[index].entry.worker;
        let workers = request
            .attempts
            .iter()
            .map(|attempt| worker_id(attempt.worker))
            .collect();
        let request = Request {
            candidates: Vec::new(),
            probed: Vec::new(),
            probe_rounds: 0,
            slow_start_permit: None,
            permit_drawn_for: 0,
            review_at: 0.0,
            ..request
        };
        Some(MigratedRequest { request, workers })
    }

    /// Continues a request of a sibling process as if this dispatcher had sent its attempts.
    /// Invalid records are ignored.
    pub(super) fn continue_migrated_request(&mut self, id: RequestId, migrated: &MigratedRequest) {
        let Some(request) = self.adopt_request(id, migrated) else {
            return;
        };
        self.actions.push(Action::Timer {
            at: request.deadline,
            token: TimerKind::Deadline.token(id),
        });
        self.requests.insert(id, request);
        self.review_request(id);
    }

    fn adopt_request(&mut self, id: RequestId, migrated: &MigratedRequest) -> Option<Request> {
        let mut request = migrated.request.clone();
        let is_known_class = request.class < self.settings.classes.len();
        let has_all_workers = request.attempts.len() == migrated.workers.len();
        if !has_valid_numbers(&request) || !is_known_class || !has_all_workers {
            return None;
        }
        let attempts = request.attempts.iter_mut().zip(0..);
        for ((attempt, number), worker) in attempts.zip(&migrated.workers) {
            attempt.worker = self.workers.index_or_add_removed(*worker);
            if attempt.is_in_flight() {
                self.workers.all[attempt.worker].own.push(OwnAttempt {
                    key: (id, number),
                    slots: request.slots,
                    work: request.work,
                    sent: attempt.sent,
                    until: None,
                });
            }
        }
        Some(request)
    }

    /// Returns the latest events that count towards the retry budget, at most `max` of each kind,
    /// so that a sibling process can count them as well.
    pub fn budget_history(&self, max: usize) -> BudgetHistory {
        let window = self
            .settings
            .retry_budget
            .map_or(0.0, |budget| budget.window + self.settings.tick);
        let since = self.now - window;
        BudgetHistory {
            admitted: self.budgets.admitted.latest(max, since),
            retries: self.budgets.retries.latest(max, since),
        }
    }

    /// Handles an event of a sibling process. Its attempts count towards the load of the workers
    /// like this dispatcher's own, and both share the budgets.
    pub(super) fn handle_sibling_event(&mut self, event: &SiblingEvent) {
        match event {
            SiblingEvent::BudgetHistory { admitted, retries } => {
                self.budgets.admitted.merge(admitted);
                self.budgets.retries.merge(retries);
            }
            SiblingEvent::AttemptSent {
                request,
                attempt,
                worker,
                slots,
                work,
                sent,
            } => {
                let Some(&index) = self.workers.index.get(worker) else {
                    return;
                };
                let work = work.unwrap_or(self.estimates.mean_run_time);
                let worker = &mut self.workers.all[index];
                worker.own.push(OwnAttempt {
                    key: (*request, *attempt),
                    slots: *slots,
                    work,
                    sent: *sent,
                    until: None,
                });
                worker.record_sent_work(*sent, work, MAX_SIBLING_WINDOW_SECONDS);
            }
            SiblingEvent::AttemptEnded {
                request,
                attempt,
                worker,
            } => {
                if let Some(&index) = self.workers.index.get(worker) {
                    let key = (*request, *attempt);
                    self.workers.all[index].own.retain(|own| own.key != key);
                }
            }
        }
    }
}

/// Returns whether all numbers of a migrated request are finite and not negative.
fn has_valid_numbers(request: &Request) -> bool {
    let numbers = [
        request.slots,
        request.memory,
        request.work,
        request.min_run_time,
        request.first_submitted,
        request.deadline,
    ];
    numbers
        .iter()
        .all(|number| number.is_finite() && *number >= 0.0)
}

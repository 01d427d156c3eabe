//! Attempts: sending them, reviewing silent ones, hedging requests, and handling the outcomes.

use super::dispatcher::{Dispatcher, TimerKind};
use super::estimates::smooth;
use super::interface::{Action, Effect, Outcome, ProgressNote, ReportSource, RequestId};
use super::parameters::{
    HEDGE_DELAY, MAX_RUN_TIME_FACTOR, MAX_SILENT_INTERVALS, REJECTED_ACCEPTANCE, SMOOTHING,
};
use super::request::{Attempt, AttemptState, Request};
use super::workers::{Acceptance, OwnAttempt, WorkerIndex};

/// Maximum number of attempts of one request in flight at a time.
const MAX_IN_FLIGHT: usize = 2;

impl Dispatcher {
    /// Sends an attempt of a request to a worker, if every rule permits it.
    pub(super) fn send_attempt(&mut self, id: RequestId, index: WorkerIndex) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !self.may_send(request, index) {
            return;
        }
        let capacity_reported = self.has_free_capacity(&self.workers.all[index], request);
        let silence_limit = self.silence_limit(request, JobPhase::Waiting);
        if request.in_flight() > 0 {
            self.budgets.hedges -= 1.0;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let number = request.attempts.len() as u16;
        let worker = &mut self.workers.all[index];
        worker.request_due_at = None;
        worker.own.push(OwnAttempt {
            key: (id, number),
            slots: request.slots,
            work: request.work,
            sent: self.now,
            until: None,
        });
        worker.record_sent_work(self.now, request.work, self.settings.overload_window);
        if number > 0 {
            self.budgets.retries.push(self.now);
        }
        let attempt = Attempt::new(index, &worker.entry, self.now, capacity_reported);
        request.attempts.push(attempt);
        request.probe_rounds = 0;
        self.actions.push(Action::Send {
            request: id,
            worker: worker.entry.worker,
            timeout: 0.0,
        });
        self.schedule_review(silence_limit, id);
    }

    /// Schedules a review of a request after a delay, unless an earlier review is already
    /// scheduled.
    pub(super) fn schedule_review(&mut self, delay: f64, id: RequestId) {
        let mut at = self.jittered(delay);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.in_flight() == 0 {
            let earliest = self.now + self.settings.tick;
            at = at.min(self.last_useful_send(request)).max(earliest);
        }
        let is_earlier = request.review_at <= self.now || at < request.review_at;
        if !is_earlier {
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.review_at = at;
            let token = TimerKind::Review.token(id);
            self.actions.push(Action::Timer { at, token });
        }
    }

    /// Reviews a request that is waiting for probes, for a worker, or for the outcome of an
    /// attempt.
    pub(super) fn review_request(&mut self, id: RequestId) {
        let soon = self.now + self.settings.tick / 2.0;
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if soon < request.review_at || request.streaming {
            return;
        }
        request.review_at = 0.0;
        if !request.probed.is_empty() && soon < request.probes_until {
            let wait = request.probes_until - now;
            return self.schedule_review(wait, id);
        }
        request.probed.clear();
        match request.attempts.iter().rposition(Attempt::is_in_flight) {
            Some(last) => self.review_attempt(id, last),
            None => self.place_request(id),
        }
    }

    /// Reviews the last attempt in flight. A request whose attempt is silent is hedged if that is
    /// permitted, and the worker is ejected if the attempt appears to hang.
    fn review_attempt(&mut self, id: RequestId, last: usize) {
        let request = &self.requests[&id];
        let attempt = &request.attempts[last];
        let silent_for = self.now - attempt.last_progress;
        let index = attempt.worker;
        let phase = JobPhase::of(attempt);
        let silence_limit = self.silence_limit(request, phase);
        let hangs = silent_for >= self.silence_limit(request, JobPhase::Running);
        if silent_for < silence_limit {
            return self.schedule_review(silence_limit - silent_for, id);
        }
        if hangs {
            self.eject(index);
            self.record_refuted_report(id, last);
        }
        if self.may_hedge(id) {
            self.place_request(id);
        }
        self.schedule_review(silence_limit, id);
    }

    /// Records that a report of free capacity was wrong, because the job that was sent owing to it
    /// hangs.
    fn record_refuted_report(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let was_reported = std::mem::take(&mut request.attempts[attempt].capacity_reported);
        if was_reported {
            self.estimates.report_accuracy -= SMOOTHING * self.estimates.report_accuracy;
        }
    }

    /// Returns whether a silent request may be hedged, according to its class and the hedge budget.
    /// The hedge budget does not apply if the settings have a retry budget, or if hedged requests
    /// are the only means to find free capacity.
    fn may_hedge(&self, id: RequestId) -> bool {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let is_permitted = class.effect_of(request.without_key) != Effect::NotIdempotent
            && request.in_flight() < MAX_IN_FLIGHT;
        let only_hedges_find_capacity = self.can_cancel_waiting_jobs()
            && !self.settings.probes_allowed
            && self.settings.report_source != ReportSource::None;
        let is_unlimited = self.settings.retry_budget.is_some() || only_hedges_find_capacity;
        is_permitted && (is_unlimited || self.budgets.hedges >= 1.0)
    }

    /// Returns whether jobs that wait at a worker can be recognised, because workers report starts,
    /// and can be cancelled.
    fn can_cancel_waiting_jobs(&self) -> bool {
        self.settings.reports_start && self.settings.cancel_allowed
    }

    /// Returns how long an attempt may be silent before the request is hedged, in seconds. With
    /// [`JobPhase::Running`] it is the time after which the attempt is considered hung.
    fn silence_limit(&self, request: &Request, phase: JobPhase) -> f64 {
        if phase == JobPhase::Waiting && self.can_cancel_waiting_jobs() {
            let objective = self.time_to_objective(request) + self.now - request.first_submitted;
            return HEDGE_DELAY * objective;
        }
        if self.settings.progress_interval > 0.0 {
            return MAX_SILENT_INTERVALS * self.settings.progress_interval;
        }
        let class = &self.settings.classes[request.class];
        2.0 * (class.latency_objective + (class.objective_stretch + 1.0) * request.work)
    }

    /// Handles a progress report of an attempt in flight and ends the ejection of its worker. When
    /// the job starts, the other attempts of the request that have not started are cancelled.
    pub(super) fn handle_progress(&mut self, id: RequestId, attempt: u16, note: ProgressNote) {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(|request| request.attempts.get_mut(attempt as usize));
        let Some(attempt) = attempt else {
            return;
        };
        attempt.last_progress = self.now;
        let worker = &mut self.workers.all[attempt.worker];
        worker.ejected_until = worker.ejected_until.min(self.now);
        if attempt.started.is_none() && note != ProgressNote::Unknown {
            attempt.started = Some(self.now);
            self.cancel_attempts(id, |attempt| attempt.started.is_none());
        }
    }

    /// Handles the end of an attempt for its request. `answered` indicates that the client has
    /// received the final answer.
    pub(super) fn handle_outcome(
        &mut self,
        id: RequestId,
        attempt: u16,
        outcome: Outcome,
        answered: bool,
    ) {
        if !self.requests.contains_key(&id) {
            return;
        }
        self.record_outcome(id, attempt as usize, outcome);
        let request = &self.requests[&id];
        if answered {
            self.forget_request(id);
        } else if request.in_flight() == 0 && request.probed.is_empty() {
            self.place_request(id);
        }
    }

    /// Records the outcome of an attempt in flight in the request and in the estimates.
    fn record_outcome(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(attempt) else {
            return;
        };
        if !attempt.is_in_flight() {
            return;
        }
        let never_ran = outcome.proves_never_ran(self.settings.rejected_may_have_run);
        attempt.state = if never_ran {
            AttemptState::NeverRan
        } else {
            AttemptState::MayHaveRun
        };
        let attempt = attempt.clone();
        if outcome == Outcome::Succeeded {
            self.record_run_time(id, &attempt);
        }
        let refutes_report = attempt.capacity_reported && outcome == Outcome::Rejected;
        if outcome == Outcome::Succeeded || refutes_report {
            self.record_acceptance(id, &attempt, outcome);
        }
        if attempt.capacity_reported && outcome == Outcome::Succeeded {
            self.record_report_accuracy(id, &attempt);
        }
    }

    /// Records the run time of a job. Time far beyond its expected work is attributed to waiting;
    /// counted as run time, it would lengthen the estimates and delay later reviews.
    fn record_run_time(&mut self, id: RequestId, attempt: &Attempt) {
        let request = &self.requests[&id];
        let started = if self.settings.reports_start {
            attempt.started.unwrap_or(attempt.sent)
        } else {
            attempt.sent
        };
        let run_time = (self.now - started)
            .max(self.settings.tick)
            .min(MAX_RUN_TIME_FACTOR * request.work);
        let estimates = &mut self.estimates;
        smooth(&mut estimates.run_time_by_class[request.class], run_time);
        smooth(&mut estimates.mean_run_time, run_time);
    }

    /// Records whether a worker accepted an attempt of this class.
    fn record_acceptance(&mut self, id: RequestId, attempt: &Attempt, outcome: Outcome) {
        let class = self.requests[&id].class;
        let share = if outcome == Outcome::Succeeded {
            1.0
        } else {
            REJECTED_ACCEPTANCE
        };
        smooth(&mut self.estimates.acceptance_by_class[class], share);
        let acceptance = Acceptance {
            share,
            at: self.now,
        };
        let worker = &mut self.workers.all[attempt.worker];
        worker.acceptance.insert(class, acceptance);
    }

    /// Records whether a report of free capacity was accurate, which it was if the job met its
    /// latency objective. Delayed reports show capacity that is already in use again; if too few
    /// reports are accurate, they are ignored.
    fn record_report_accuracy(&mut self, id: RequestId, attempt: &Attempt) {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let is_accurate = self.now - attempt.sent
            <= class.latency_objective + class.objective_stretch * request.work;
        smooth(
            &mut self.estimates.report_accuracy,
            f64::from(u8::from(is_accurate)),
        );
    }

    /// Cancels the attempts in flight that satisfy the condition, if the settings allow cancelling.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, which: impl Fn(&Attempt) -> bool) {
        if !self.settings.cancel_allowed {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        for attempt in request.cancel_attempts(which) {
            self.actions.push(Action::Cancel {
                request: id,
                attempt,
            });
        }
    }
}

/// State of a job at its worker, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobPhase {
    /// The worker has not reported its start.
    Waiting,
    /// The worker has reported its start.
    Running,
}

impl JobPhase {
    fn of(attempt: &Attempt) -> Self {
        match attempt.started {
            Some(_) => Self::Running,
            None => Self::Waiting,
        }
    }
}

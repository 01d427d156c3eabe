//! Admission of requests, deferral of requests in the dispatcher, and final answers.

use super::budgets::affordable;
use super::dispatcher::{Dispatcher, MAX_REQUEST_ID, TimerKind};
use super::estimates::smooth;
use super::figures::{finite_non_negative, finite_positive};
use super::interface::{Action, Effect, NewRequest, RequestId};
use super::parameters::{
    ANSWER_LEAD_TICKS, DEFER_INTERVAL, HEDGE_COST_SHARE, HEDGES_PER_REQUEST, LATE_DEFER_FACTOR,
    MAX_SAVED_BUDGET, MIN_RUN_TIME_SHARE, PROBE_COST_SHARE, PROBES_PER_REQUEST,
    SHORT_TIME_LIMIT_SHARE,
};
use super::request::Request;

impl Dispatcher {
    /// Admits a request and places it. A request of an unknown class is answered as failed.
    pub(super) fn admit_request(&mut self, new: &NewRequest) {
        let id = new.id;
        if self.requests.contains_key(&id) || id >= MAX_REQUEST_ID {
            return;
        }
        let class_index = new.class as usize;
        let Some(class) = self.settings.classes.get(class_index) else {
            return self.actions.push(Action::Fail { request: id });
        };
        let time_limit = finite_positive(new.time_limit)
            .unwrap_or(0.0)
            .min(class.deadline);
        let first_submitted = self.estimate_first_submission(new, time_limit);
        let hint = new.expected_work.and_then(finite_positive);
        let expected_work = self.estimates.run_time_by_class[class_index];
        let lead = (ANSWER_LEAD_TICKS * self.settings.tick).min(time_limit / 2.0);
        let deadline = self.now + time_limit - lead;
        let has_affinity_key = new.affinity_key != 0 && self.settings.fetch_price > 0.0;
        let request = Request {
            class: class_index,
            affinity_key: has_affinity_key.then_some(new.affinity_key),
            without_key: new.without_key,
            slots: finite_positive(new.slots).unwrap_or(1.0),
            memory: finite_non_negative(new.memory).unwrap_or(0.0),
            work: hint.unwrap_or(expected_work),
            min_run_time: MIN_RUN_TIME_SHARE * hint.unwrap_or(0.0),
            first_submitted,
            deadline,
            ..Request::default()
        };
        self.requests.insert(id, request);
        self.replenish_budgets();
        let token = TimerKind::Deadline.token(id);
        self.actions.push(Action::Timer {
            at: deadline,
            token,
        });
        self.place_request(id);
    }

    /// Estimates when the client first submitted a request, from the time until the client gives
    /// up.
    ///
    /// A retry by the client has less time left than its first request. A first request may have a
    /// short time limit as well and must then not be treated as late from the beginning. Where
    /// clients mark their retries, the two cases can be told apart.
    fn estimate_first_submission(&mut self, new: &NewRequest, time_limit: f64) -> f64 {
        let class = new.class as usize;
        let longest = &mut self.estimates.longest_time_limit_by_class[class];
        *longest = longest.max(time_limit);
        let spent = *longest - time_limit;
        let short_share = &mut self.estimates.short_time_limit_share_by_class[class];
        let is_marked_first = self.settings.clients_mark_retries && !new.is_marked_retry;
        if is_marked_first {
            let is_short = spent > SHORT_TIME_LIMIT_SHARE * time_limit;
            smooth(short_share, f64::from(u8::from(is_short)));
        }
        if is_marked_first || *short_share > SHORT_TIME_LIMIT_SHARE {
            self.now
        } else {
            self.now - spent
        }
    }

    /// Adds one admitted request's share to the budgets of probes and hedged requests.
    fn replenish_budgets(&mut self) {
        let probes = affordable(
            PROBES_PER_REQUEST,
            PROBE_COST_SHARE,
            self.settings.probe_price,
        );
        let hedges = affordable(
            HEDGES_PER_REQUEST,
            HEDGE_COST_SHARE,
            self.settings.waste_price,
        );
        let budgets = &mut self.budgets;
        budgets.admitted.push(self.now);
        budgets.hedges = (budgets.hedges + hedges).min(MAX_SAVED_BUDGET);
        let max_probes = MAX_SAVED_BUDGET * probes.max(1.0);
        budgets.probes = (budgets.probes + probes).min(max_probes);
    }

    /// Returns the time until the latency objective is missed, in seconds. Only half of the
    /// allowance for the job's work is counted; the other half is reserved for slow workers and
    /// inaccurate hints.
    pub(super) fn time_to_objective(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.class];
        let extra = 0.5 * (class.objective_stretch - 1.0).max(0.0) * request.work;
        request.first_submitted + class.latency_objective + extra - self.now
    }

    /// Returns the latest time at which another attempt is permitted and can still be of use. After
    /// this time a request without an attempt in flight gets its final answer immediately, since
    /// waiting for the deadline would keep the client from retrying.
    pub(super) fn last_useful_send(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.class];
        let objective = request.first_submitted
            + class.latency_objective
            + class.objective_stretch * request.work;
        let answer_due = if class.late_weight > 0.0 {
            request.deadline
        } else {
            objective.min(request.deadline)
        };
        let end = answer_due - request.min_run_time;
        if request.attempts.len() >= self.settings.max_attempts as usize {
            return f64::NEG_INFINITY;
        }
        match class.effect_of(request.without_key) {
            Effect::Idempotent => end,
            Effect::NotIdempotent if request.may_have_run() => f64::NEG_INFINITY,
            Effect::NotIdempotent => end,
            Effect::IdempotentByKey => request
                .attempts
                .iter()
                .filter(|attempt| attempt.may_have_run())
                .map(|attempt| self.window_end(class, attempt))
                .fold(end, f64::min),
        }
    }

    /// Returns the longest queue that a request may join, as the expected wait for a slot in
    /// seconds.
    ///
    /// A request does not join a queue in which it would miss its objective; otherwise, under
    /// overload, all requests would wait and all would be late. The lower the weight of a request
    /// per unit of work, the shorter the queue. For a late request the late weight is squared: once
    /// for the value of the late answer, and once for the requests that it delays. If a rejection
    /// by a full worker would rule out any further attempt, a late request joins no queue.
    pub(super) fn queue_limit(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.class];
        let is_last_attempt = self.settings.rejected_may_have_run
            && class.effect_of(request.without_key) == Effect::NotIdempotent;
        let late_limit = if is_last_attempt {
            0.0
        } else {
            class.late_weight.powi(2) * (request.deadline - self.now)
        };
        self.time_to_objective(request).max(late_limit) * self.relative_weight(request)
    }

    /// Returns the weight of a request per unit of work, relative to the class with the highest
    /// weight per unit of work.
    fn relative_weight(&self, request: &Request) -> f64 {
        let work = |class: usize| {
            if self.settings.weight_by_work {
                1.0
            } else {
                self.estimates.run_time_by_class[class]
            }
        };
        let weight = |class: usize| self.settings.classes[class].priority_weight / work(class);
        let highest = (0..self.settings.classes.len())
            .map(weight)
            .fold(0.0, f64::max);
        if highest > 0.0 {
            weight(request.class) / highest
        } else {
            1.0
        }
    }

    /// Keeps a request waiting in the dispatcher and schedules the next search for free capacity.
    pub(super) fn defer_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.probe_rounds = 0;
        let request = &self.requests[&id];
        let interval = DEFER_INTERVAL * self.settings.classes[request.class].latency_objective;
        let is_in_time = self.time_to_objective(request) > 0.0;
        let is_hedge = request.in_flight() > 0;
        let delay = if is_in_time && !is_hedge {
            interval
        } else {
            LATE_DEFER_FACTOR * interval
        };
        self.schedule_review(delay, id);
    }

    /// Gives the final answer if the request's deadline has been reached.
    pub(super) fn answer_if_deadline_reached(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.streaming && self.is_deadline_reached(request) {
            self.give_final_answer(id);
        }
    }

    /// Gives the final answer if no attempt is in flight, or if the deadline has been reached.
    pub(super) fn answer_if_nothing_in_flight(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_due = request.in_flight() == 0 || self.is_deadline_reached(request);
        if !request.streaming && is_due {
            self.give_final_answer(id);
        }
    }

    fn is_deadline_reached(&self, request: &Request) -> bool {
        self.now + self.settings.tick >= request.deadline
    }

    /// Rejects a request if the client may safely retry it, and fails it otherwise.
    fn give_final_answer(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let is_safe_to_retry =
            !request.may_have_run() || class.can_resend_anywhere(request.without_key);
        let answer = if is_safe_to_retry {
            let retry_after = self.settings.max_retry_after.min(class.latency_objective);
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        };
        self.actions.push(answer);
        self.forget_request(id);
    }

    /// Removes a request that no longer needs an answer, and cancels its attempts in flight.
    pub(super) fn forget_request(&mut self, id: RequestId) {
        self.cancel_attempts(id, |_| true);
        self.requests.remove(&id);
    }
}

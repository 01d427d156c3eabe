//! The rules that every attempt must satisfy, regardless of the preferences of the selection.

use super::dispatcher::Dispatcher;
use super::interface::{Class, Effect, RetryBudget};
use super::parameters::USABLE_DEDUP_SHARE;
use super::request::{Attempt, Request};
use super::workers::{Worker, WorkerIndex};

impl Dispatcher {
    /// Returns whether every rule permits an attempt of this request at this worker. Every attempt
    /// is checked here before it is sent.
    pub(super) fn may_send(&self, request: &Request, index: WorkerIndex) -> bool {
        let worker = &self.workers.all[index];
        let class = &self.settings.classes[request.class];
        self.may_attempt_again(request)
            && self.workers.is_usable(&worker.entry)
            && self.may_resend_to(request, index)
            && class.admits(&worker.entry)
            && self.is_within_retry_budget(request)
            && self.is_within_slow_start_budget(request, index)
    }

    /// No attempt is sent after the final answer is due or while an answer is being streamed, and
    /// none beyond the maximum number of attempts.
    fn may_attempt_again(&self, request: &Request) -> bool {
        self.now < request.deadline
            && request.attempts.len() < self.settings.max_attempts as usize
            && !request.streaming
    }

    /// A request that may have run is sent again only as its class allows, and never to the same
    /// worker. A second attempt in flight is a hedged request, which the settings must allow.
    fn may_resend_to(&self, request: &Request, index: WorkerIndex) -> bool {
        if request.in_flight() > 0 && !self.settings.hedging_allowed {
            return false;
        }
        if request.may_have_run_at(index) {
            return false;
        }
        let class = &self.settings.classes[request.class];
        match class.effect_of(request.without_key) {
            Effect::Idempotent => true,
            Effect::NotIdempotent => !request.may_have_run(),
            Effect::IdempotentByKey => request
                .attempts
                .iter()
                .filter(|attempt| attempt.may_have_run())
                .all(|attempt| self.is_duplicate_dropped(class, attempt, &self.workers.all[index])),
        }
    }

    /// Returns whether this worker would recognise a duplicate of the attempt by its idempotency
    /// key.
    fn is_duplicate_dropped(&self, class: &Class, attempt: &Attempt, worker: &Worker) -> bool {
        let cell = (worker.entry.zone, worker.entry.cell);
        class.deduplicates_between(attempt.cell, cell) && self.now < self.window_end(class, attempt)
    }

    /// Returns until when a request with an idempotency key may be sent again. The duplicate must
    /// arrive at the worker within the window, and a new connection may delay it by the connection
    /// timeout.
    pub(super) fn window_end(&self, class: &Class, attempt: &Attempt) -> f64 {
        attempt.sent + USABLE_DEDUP_SHARE * class.dedup_window - self.settings.dial_timeout
    }

    /// Compares the retries within the window, including this one, with the requests admitted in
    /// it. First attempts are not limited.
    fn is_within_retry_budget(&self, request: &Request) -> bool {
        let within = |budget: RetryBudget| {
            let since = self.now - budget.window;
            let tick = self.settings.tick;
            let admitted = self.budgets.admitted.count_since(since + tick);
            let retries = self.budgets.retries.count_since(since - tick) + 1;
            retries as f64 <= budget.min_retries + budget.ratio * admitted as f64
        };
        request.attempts.is_empty() || self.settings.retry_budget.is_none_or(within)
    }

    /// An attempt is sent to a worker in slow start only with a permit, and only if its work fits
    /// into this dispatcher's part of the worker's budget for one window.
    fn is_within_slow_start_budget(&self, request: &Request, index: WorkerIndex) -> bool {
        let worker = &self.workers.all[index];
        if self.warm_share(worker) >= 1.0 {
            return true;
        }
        let sent = worker.work_sent_after(self.now - self.settings.overload_window) + request.work;
        request.slow_start_permit == Some(index) && sent <= self.own_slow_start_budget(worker)
    }
}

//! Worker lists, suspended workers, and the schedule of calls to discovery.

use super::dispatcher::{Dispatcher, TimerKind};
use super::interface::{Action, Entry, ListKind, RequestId, WorkerId};
use super::parameters::{
    CACHED_LIST_CHECK, FAILED_CALL_RETRY, MAX_FAILED_CALLS, RESUMED_WORKER_REQUESTS,
    RESUMED_WORKER_SPREAD_SECONDS, SILENT_CALL_RETRY,
};
use super::request::Request;

impl Dispatcher {
    /// Handles a worker list, or the failure of a call to discovery.
    pub(super) fn handle_worker_list(&mut self, kind: ListKind, entries: &[Entry]) {
        match kind {
            ListKind::Failed => return self.handle_failed_call(),
            // All dispatchers may start at the same time, so the delay of their first calls is
            // random.
            ListKind::Cached => {
                let spread = self.random.uniform();
                self.schedule_discovery_call(
                    spread * CACHED_LIST_CHECK * self.settings.max_poll_interval,
                );
            }
            ListKind::FromPeer => {}
            ListKind::Delta | ListKind::Full => {
                self.discovery.failed_calls = 0;
                self.discovery.watching = true;
            }
        }
        self.workers.apply_list(kind, entries);
        self.workers.refresh_usable(&self.settings);
    }

    fn handle_failed_call(&mut self) {
        self.discovery.failed_calls = (self.discovery.failed_calls + 1).min(MAX_FAILED_CALLS);
        self.discovery.watching = false;
        let backoff = 2f64.powi(self.discovery.failed_calls);
        self.schedule_discovery_call(self.settings.max_poll_interval * FAILED_CALL_RETRY * backoff);
    }

    /// Schedules the next call to discovery. It replaces the one scheduled before; otherwise each
    /// failed call would double the number of timers.
    fn schedule_discovery_call(&mut self, delay: f64) {
        let at = self.jittered(delay);
        self.discovery.next_call_at = at;
        let token = TimerKind::Discovery.token(0);
        self.actions.push(Action::Timer { at, token });
    }

    /// Calls discovery unless changes of the list are already being received or the timer is
    /// outdated.
    pub(super) fn call_discovery_if_due(&mut self) {
        let is_due = self.now + self.settings.tick >= self.discovery.next_call_at;
        if is_due && !self.discovery.watching && self.settings.discovery_on_request {
            self.actions.push(Action::WatchDiscovery);
            // Repeats the call if there is no response at all.
            self.schedule_discovery_call(SILENT_CALL_RETRY * self.settings.max_poll_interval);
        }
    }

    /// Suspends a worker on an operator's behalf.
    pub(super) fn suspend_worker(&mut self, id: WorkerId) {
        let started = self.listed_start(id);
        self.workers.suspended.entry(id).or_insert(started);
        self.handle_changed_suspensions();
    }

    /// Resumes a suspended worker. It has most likely been restarted, so it goes through slow start
    /// and its earlier state is discarded. It is also sent a request soon: each dispatcher decides
    /// at random whether to send one, so that on average one of them does.
    pub(super) fn resume_worker(&mut self, id: WorkerId) {
        if let Some(start_at_suspension) = self.workers.suspended.remove(&id) {
            let dispatchers = f64::from(self.settings.dispatcher_count.max(1));
            let sends_request = self.random.uniform() * dispatchers < RESUMED_WORKER_REQUESTS;
            let due_at = self.now + self.random.uniform() * RESUMED_WORKER_SPREAD_SECONDS;
            let request_due_at = sends_request.then_some(due_at);
            let resumed_at = if self.listed_start(id) > start_at_suspension {
                0.0
            } else {
                self.now
            };
            if let Some(&index) = self.workers.index.get(&id) {
                self.workers
                    .reset_resumed(index, resumed_at, request_due_at);
            }
        }
        self.handle_changed_suspensions();
    }

    fn listed_start(&self, id: WorkerId) -> f64 {
        let index = self.workers.index.get(&id);
        index.map_or(0.0, |&index| self.workers.all[index].entry.started)
    }

    /// Recomputes the usable workers, and answers waiting requests for which every worker is
    /// suspended.
    fn handle_changed_suspensions(&mut self) {
        self.workers.refresh_usable(&self.settings);
        let without_worker = |(&id, request): (&RequestId, &Request)| {
            (request.in_flight() == 0 && self.all_workers_suspended(request.class)).then_some(id)
        };
        let ids: Vec<RequestId> = self.requests.iter().filter_map(without_worker).collect();
        for id in ids {
            self.answer_if_nothing_in_flight(id);
        }
    }

    /// Returns whether no worker is usable for a class, and at least one that could serve it is
    /// suspended.
    pub(super) fn all_workers_suspended(&self, class: usize) -> bool {
        let ready = &self.workers.ready_by_class[class];
        self.workers
            .all_suspended(&self.settings.classes[class], ready)
    }
}

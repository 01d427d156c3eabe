//! Worker selection: the candidates of an attempt, and the lottery among them.

use super::dispatcher::Dispatcher;
use super::interface::{Class, DedupScope, Effect, RequestId};
use super::parameters::{
    ACCEPTANCE_POWER, AFFINITY_PROBE_SAMPLE_SIZE, CANDIDATE_POOL_SIZE, EXPLORATION_RATE,
    FRESH_REPORT_AGE, LESS_PREFERRED_FACTOR, MAX_PREFERRED_BEFORE_SLOW_START, MAX_PROBE_ROUNDS,
    MIN_REPORT_ACCURACY, MIN_SHARE_NOT_EJECTED, OWN_ZONE_EXCESS_LOAD, PROBE_SAMPLE_SIZE,
    REPORT_LIFETIME,
};
use super::request::Request;
use super::workers::{Worker, WorkerIndex};

impl Dispatcher {
    /// Sends the next attempt of a request to a worker drawn by lottery, probes a few workers
    /// first, or defers the request. If no further attempt can be of use, the request gets its
    /// final answer.
    pub(super) fn place_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_attempt_useful = self.now < self.last_useful_send(request);
        if !is_attempt_useful || self.all_workers_suspended(request.class) {
            return self.answer_if_nothing_in_flight(id);
        }
        self.update_candidates(id);
        let request = &self.requests[&id];
        let mut eligible = self.eligible_candidates(request);
        if let Some(worker) = self.worker_with_slow_start_permit(request, &eligible) {
            return self.send_attempt(id, worker);
        }
        self.exclude_ejected(request, &mut eligible);
        let with_capacity = self.candidates_with_capacity(id, &eligible);
        let request = &self.requests[&id];
        let own_zone_only = self.prefers_own_zone(request);
        let mut in_zone = eligible.clone();
        retain_if_any(&mut in_zone, |&index| {
            self.is_zone_allowed(own_zone_only, index)
        });
        if self.needs_probes(request, with_capacity.len()) && !in_zone.is_empty() {
            let count = probe_sample_size(request);
            return self.probe_candidates(id, &in_zone, count);
        }
        let mut first_choice = with_capacity;
        if request.affinity_key.is_some() {
            first_choice.extend(self.unreported_without_queue(&eligible));
        }
        retain_if_any(&mut first_choice, |&index| {
            self.is_zone_allowed(own_zone_only, index)
        });
        if let [worker] = self.draw(id, &first_choice, 1)[..] {
            return self.send_attempt(id, worker);
        }
        let is_hedge = self.requests[&id].in_flight() > 0;
        if is_hedge && self.settings.probes_allowed {
            // A hedged request does not join another queue.
            return;
        }
        self.join_queue_or_defer(id, eligible, &in_zone);
    }

    /// Sends the request to a worker whose expected wait is within its queue limit, or defers it.
    fn join_queue_or_defer(
        &mut self,
        id: RequestId,
        mut eligible: Vec<WorkerIndex>,
        in_zone: &[WorkerIndex],
    ) {
        let limit = self.queue_limit(&self.requests[&id]);
        eligible.retain(|&index| self.expected_wait(&self.workers.all[index]) <= limit);
        let fresh_since = self.run_times_ago(FRESH_REPORT_AGE);
        let uses_any_report = !self.trusts_reports() || !self.settings.probes_allowed;
        retain_if_any(&mut eligible, |&index| {
            uses_any_report || self.workers.all[index].reported_since(fresh_since)
        });
        retain_if_any(&mut eligible, |index| in_zone.contains(index));
        if let [worker] = self.draw(id, &eligible, 1)[..] {
            return self.send_attempt(id, worker);
        }
        self.defer_request(id);
    }

    /// Draws up to `count` of the candidates by lottery. A candidate's tickets are
    /// size / (load + correction + 1), multiplied by a power of its acceptance rate and reduced for
    /// each candidate that ranks above it for the request's affinity key.
    pub(super) fn draw(
        &mut self,
        id: RequestId,
        candidates: &[WorkerIndex],
        count: usize,
    ) -> Vec<WorkerIndex> {
        let Some(request) = self.requests.get(&id) else {
            return Vec::new();
        };
        let preferred_before = self.preferred_before(request, candidates);
        let mut tickets: Vec<f64> = candidates
            .iter()
            .zip(preferred_before)
            .map(|(&index, ranked_above)| {
                let tickets = self.tickets(&self.workers.all[index], request.class);
                LESS_PREFERRED_FACTOR.powi(ranked_above) * tickets
            })
            .collect();
        let mut drawn = Vec::new();
        for _ in 0..count.min(candidates.len()) {
            if let Some(at) = self.random.lottery(&tickets) {
                tickets[at] = 0.0;
                drawn.push(candidates[at]);
            }
        }
        drawn
    }

    fn tickets(&self, worker: &Worker, class: usize) -> f64 {
        let acceptance = self.acceptance(worker, class).powi(ACCEPTANCE_POWER);
        acceptance * worker.size(self.settings.sizes_are_comparable) / (self.load(worker) + 1.0)
    }

    /// Returns for each candidate how many of the others rank above it for the request's affinity
    /// key. The ranking is the same at all dispatchers. If workers were drawn by load alone, every
    /// worker would fetch the data of every key, and would soon evict it from its cache again.
    fn preferred_before(&self, request: &Request, candidates: &[WorkerIndex]) -> Vec<i32> {
        match request.affinity_key {
            Some(affinity_key) => self.workers.preferred_before(affinity_key, candidates),
            None => vec![0; candidates.len()],
        }
    }

    /// Draws the slow-start permit of the next attempt unless it has been drawn already, and its
    /// candidates unless those of an earlier probe round are used again.
    fn update_candidates(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let class = request.class;
        let affinity_key = request.affinity_key;
        let draws_candidates = request.probe_rounds == 0 && self.required_cell(request).is_none();
        let permit_is_current = request.permit_drawn_for > request.attempts.len();
        let permit = if permit_is_current {
            request.slow_start_permit
        } else {
            self.draw_slow_start_permit()
        };
        let drawn = draws_candidates.then(|| self.draw_candidates(class, affinity_key, permit));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.slow_start_permit = permit;
        request.permit_drawn_for = request.attempts.len() + 1;
        if let Some(drawn) = drawn {
            request.candidates = drawn;
        }
    }

    /// Returns the candidates of a class for one draw. In a large fleet these are a random sample,
    /// or the workers that rank highest for the affinity key, together with the latest reporters
    /// and the worker of the slow-start permit.
    fn draw_candidates(
        &mut self,
        class: usize,
        affinity_key: Option<u64>,
        permit: Option<WorkerIndex>,
    ) -> Vec<WorkerIndex> {
        let ready = &self.workers.ready_by_class[class];
        if ready.len() <= 2 * CANDIDATE_POOL_SIZE {
            return ready.clone();
        }
        let random = &mut self.random;
        let mut draw_one = |_| ready[(random.uniform() * ready.len() as f64) as usize];
        let mut candidates: Vec<WorkerIndex> = match affinity_key {
            Some(affinity_key) => {
                self.workers
                    .most_preferred(affinity_key, ready, CANDIDATE_POOL_SIZE)
            }
            None => (0..CANDIDATE_POOL_SIZE).map(&mut draw_one).collect(),
        };
        candidates.extend(&self.workers.last_reporters);
        candidates.extend(permit);
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    /// Returns the zone and cell in which a request must stay: those of the first attempt that may
    /// have run, if only the workers of one cell drop duplicates of the request.
    fn required_cell(&self, request: &Request) -> Option<(u8, u16)> {
        let class = &self.settings.classes[request.class];
        let is_bound_to_cell = matches!(
            class,
            Class {
                effect: Effect::IdempotentByKey,
                dedup_scope: DedupScope::Cell,
                ..
            }
        );
        let mut attempts = request.attempts.iter();
        let first = attempts.find(|attempt| is_bound_to_cell && attempt.may_have_run());
        first.map(|attempt| attempt.cell)
    }

    /// Returns the candidates to which every rule permits an attempt. Workers that already received
    /// an attempt of this request and workers with too few slots are left out if others remain.
    fn eligible_candidates(&self, request: &Request) -> Vec<WorkerIndex> {
        let candidates = match self.required_cell(request) {
            Some(cell) => self.workers.by_cell.get(&cell),
            None => Some(&request.candidates),
        };
        let candidates = candidates.map_or(&[][..], Vec::as_slice);
        let mut eligible: Vec<WorkerIndex> = candidates
            .iter()
            .copied()
            .filter(|&index| self.may_send(request, index))
            .collect();
        retain_if_any(&mut eligible, |index| {
            !request.attempts.iter().any(|a| a.worker == *index)
        });
        retain_if_any(&mut eligible, |&index| {
            let slots = self.slots(&self.workers.all[index]);
            slots == 0.0 || slots >= request.slots
        });
        eligible
    }

    /// Returns the worker for which the request has a slow-start permit, if it has no queue and few
    /// candidates rank above it for the affinity key. The permit replaces the lottery; if the
    /// worker had to win the lottery as well, it would stay idle.
    fn worker_with_slow_start_permit(
        &self,
        request: &Request,
        eligible: &[WorkerIndex],
    ) -> Option<WorkerIndex> {
        let index = request.slow_start_permit?;
        let position = eligible.iter().position(|eligible| *eligible == index)?;
        let preferred_before = self.preferred_before(request, eligible);
        let worker = &self.workers.all[index];
        let is_preferred = preferred_before[position] <= MAX_PREFERRED_BEFORE_SLOW_START;
        let is_idle = worker.request_due_at.is_some() || self.expected_wait(worker) <= 0.0;
        (is_preferred && is_idle).then_some(index)
    }

    /// Removes ejected workers, unless so many are ejected that the workers are unlikely to be the
    /// cause. For a request that may have run they are always removed, if others remain.
    fn exclude_ejected(&self, request: &Request, eligible: &mut Vec<WorkerIndex>) {
        let is_not_ejected = |index: &WorkerIndex| !self.workers.all[*index].is_ejected(self.now);
        let remaining = eligible
            .iter()
            .filter(|index| is_not_ejected(index))
            .count();
        let min_remaining = MIN_SHARE_NOT_EJECTED * eligible.len() as f64;
        if request.may_have_run() || remaining as f64 >= min_remaining {
            retain_if_any(eligible, is_not_ejected);
        }
    }

    /// Returns whether reports of free capacity have been accurate enough to be used.
    fn trusts_reports(&self) -> bool {
        self.estimates.report_accuracy >= MIN_REPORT_ACCURACY
    }

    /// Returns the eligible workers that are known to have free capacity. Without this preference,
    /// many dispatchers with old reports would queue requests at full workers while others are
    /// idle.
    ///
    /// For a small random share of the requests it returns workers without a recent report instead.
    /// A worker that is sent no requests does not report, and would never be chosen otherwise.
    fn candidates_with_capacity(
        &mut self,
        id: RequestId,
        eligible: &[WorkerIndex],
    ) -> Vec<WorkerIndex> {
        let request = &self.requests[&id];
        let trusts_reports = self.trusts_reports();
        let has_capacity = |index: &WorkerIndex| {
            let worker = &self.workers.all[*index];
            trusts_reports
                && self.acceptance(worker, request.class) >= MIN_REPORT_ACCURACY
                && self.has_free_capacity(worker, request)
        };
        let with_capacity: Vec<WorkerIndex> =
            eligible.iter().copied().filter(has_capacity).collect();
        let since = self.run_times_ago(REPORT_LIFETIME);
        let workers = &self.workers.all;
        let is_unexplored = |index: &WorkerIndex| {
            workers[*index].own.is_empty() && !workers[*index].reported_since(since)
        };
        let may_explore = !with_capacity.is_empty() && eligible.iter().any(is_unexplored);
        if may_explore && self.random.uniform() < EXPLORATION_RATE {
            return eligible.iter().copied().filter(is_unexplored).collect();
        }
        with_capacity
    }

    /// Returns whether the request stays in this dispatcher's zone: crossing zones has a price, and
    /// the own zone is not much more loaded than the others.
    ///
    /// It does not stay if this dispatcher sends too few requests to receive reports from all
    /// workers. It would then never learn the load of other zones and would not leave a full zone.
    fn prefers_own_zone(&self, request: &Request) -> bool {
        let own_zone_load = self.estimates.load_by_zone.get(&self.settings.zone);
        let own_zone_load = own_zone_load.copied().unwrap_or(0.0);
        self.settings.cross_zone_price > 0.0
            && request.affinity_key.is_none()
            && request.probe_rounds == 0
            && own_zone_load <= self.estimates.mean_load + OWN_ZONE_EXCESS_LOAD
            && self.reports_cover_all_workers(request.class)
    }

    fn is_zone_allowed(&self, own_zone_only: bool, index: WorkerIndex) -> bool {
        !own_zone_only || self.workers.all[index].entry.zone == self.settings.zone
    }

    /// Returns whether workers are probed before one is drawn, given the number of workers that are
    /// known to have free capacity.
    fn needs_probes(&self, request: &Request, with_capacity: usize) -> bool {
        let wanted = if request.probe_rounds == 0 {
            probe_sample_size(request)
        } else {
            usize::from(self.trusts_reports() && request.probe_rounds < MAX_PROBE_ROUNDS)
        };
        self.settings.probes_allowed && self.budgets.probes >= 1.0 && with_capacity < wanted
    }

    /// Returns the eligible workers without a recent report that are not expected to have a queue.
    /// Without them, requests with an affinity key would move away from their preferred worker
    /// whenever it has not reported recently.
    fn unreported_without_queue(&self, eligible: &[WorkerIndex]) -> Vec<WorkerIndex> {
        let since = self.run_times_ago(REPORT_LIFETIME);
        let has_no_queue = |index: &WorkerIndex| {
            let worker = &self.workers.all[*index];
            !worker.reported_since(since) && self.expected_wait(worker) <= 0.0
        };
        eligible.iter().copied().filter(has_no_queue).collect()
    }
}

fn probe_sample_size(request: &Request) -> usize {
    match request.affinity_key {
        Some(_) => AFFINITY_PROBE_SAMPLE_SIZE,
        None => PROBE_SAMPLE_SIZE,
    }
}

/// Retains the workers that satisfy the condition; if none does, retains all of them.
fn retain_if_any(workers: &mut Vec<WorkerIndex>, condition: impl Fn(&WorkerIndex) -> bool) {
    if workers.iter().any(&condition) {
        workers.retain(condition);
    }
}

//! Worker selection: the candidates of an attempt, and the lottery among them.

use super::dispatcher::Dispatcher;
use super::interface::{Class, DedupScope, Effect, RequestId};
use super::parameters::{
    ACCEPTANCE_POWER, CANDIDATE_POOL_SIZE, EXPLORATION_RATE, FRESH_REPORT_AGE,
    LESS_PREFERRED_FACTOR, MAX_PREFERRED_BEFORE_SLOW_START, MAX_PROBE_ROUNDS,
    MIN_SHARE_NOT_EJECTED, MIN_TRUST, OWN_ZONE_EXCESS_LOAD, PROBE_SAMPLE_SIZE, REPORT_LIFETIME,
    SUBJECT_PROBE_SAMPLE_SIZE,
};
use super::request::Request;
use super::workers::{Worker, WorkerIndex};

impl Dispatcher {
    /// Sends the next attempt of a request to a worker drawn by lottery, after probing a few
    /// workers where that helps, or defers the request. A request that no attempt can help any more
    /// gets its final answer.
    pub(super) fn place_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let may_help = self.now < self.last_useful_send(request);
        if !may_help || self.all_workers_suspended(request.class) {
            return self.answer_if_nothing_in_flight(id);
        }
        self.update_candidates(id);
        let request = &self.requests[&id];
        let mut eligible = self.eligible_candidates(request);
        if let Some(worker) = self.worker_with_slow_start_pass(request, &eligible) {
            return self.send_attempt(id, worker);
        }
        self.exclude_ejected(request, &mut eligible);
        let with_capacity = self.candidates_with_capacity(id, &eligible);
        let request = &self.requests[&id];
        let own_zone_only = self.prefers_own_zone(request);
        let mut nearby = eligible.clone();
        retain_if_any(&mut nearby, |&index| self.is_near(own_zone_only, index));
        if self.needs_probes(request, with_capacity.len()) && !nearby.is_empty() {
            let count = probe_sample_size(request);
            return self.probe_candidates(id, &nearby, count);
        }
        let mut first_choice = with_capacity;
        if request.subject.is_some() {
            first_choice.extend(self.silent_without_queue(&eligible));
        }
        retain_if_any(&mut first_choice, |&index| {
            self.is_near(own_zone_only, index)
        });
        if let [worker] = self.draw(id, &first_choice, 1)[..] {
            return self.send_attempt(id, worker);
        }
        let is_hedge = self.requests[&id].in_flight() > 0;
        if is_hedge && self.settings.probes_allowed {
            // A hedged request does not wait behind another queue.
            return;
        }
        self.join_queue_or_defer(id, eligible, &nearby);
    }

    /// Sends the request to a worker whose queue it may join, or defers it.
    fn join_queue_or_defer(
        &mut self,
        id: RequestId,
        mut eligible: Vec<WorkerIndex>,
        nearby: &[WorkerIndex],
    ) {
        let limit = self.queue_limit(&self.requests[&id]);
        eligible.retain(|&index| self.expected_wait(&self.workers.all[index]) <= limit);
        let fresh_since = self.run_times_ago(FRESH_REPORT_AGE);
        let uses_any_report = !self.trusts_reports() || !self.settings.probes_allowed;
        retain_if_any(&mut eligible, |&index| {
            uses_any_report || self.workers.all[index].reported_since(fresh_since)
        });
        retain_if_any(&mut eligible, |index| nearby.contains(index));
        if let [worker] = self.draw(id, &eligible, 1)[..] {
            return self.send_attempt(id, worker);
        }
        self.defer_request(id);
    }

    /// Draws up to `count` of the candidates, with tickets of 1 / (load + correction + 1) for each
    /// unit of size. Two factors weigh the tickets: the worker's acceptance rate, and how many
    /// workers the subject prefers to it.
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
            .map(|(&index, preferred)| {
                let tickets = self.tickets(&self.workers.all[index], request.class);
                LESS_PREFERRED_FACTOR.powi(preferred) * tickets
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
        acceptance * worker.size(self.settings.sizes_compare) / (self.load(worker) + 1.0)
    }

    /// Returns for each candidate how many of the others the request's subject prefers to it, the
    /// same at all dispatchers. Drawn by load alone, each subject would be fetched by every worker,
    /// and each would keep it only for a short time.
    fn preferred_before(&self, request: &Request, candidates: &[WorkerIndex]) -> Vec<i32> {
        match request.subject {
            Some(subject) => self.workers.preferred_before(subject, candidates),
            None => vec![0; candidates.len()],
        }
    }

    /// Draws the pass of the next attempt, and its candidates where they are not those of an
    /// earlier round.
    fn update_candidates(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        let class = request.class;
        let subject = request.subject;
        let draws_candidates = request.probe_rounds == 0 && self.required_cell(request).is_none();
        let pass_is_current = request.pass_drawn_for > request.attempts.len();
        let pass = if pass_is_current {
            request.slow_start_pass
        } else {
            self.draw_slow_start_pass()
        };
        let drawn = draws_candidates.then(|| self.draw_candidates(class, subject, pass));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.slow_start_pass = pass;
        request.pass_drawn_for = request.attempts.len() + 1;
        if let Some(drawn) = drawn {
            request.candidates = drawn;
        }
    }

    /// Returns the workers of a class that a draw is over. In a large fleet these are some at
    /// random, or those that the subject prefers, with the last reporters and the worker of the
    /// pass.
    fn draw_candidates(
        &mut self,
        class: usize,
        subject: Option<u64>,
        pass: Option<WorkerIndex>,
    ) -> Vec<WorkerIndex> {
        let ready = &self.workers.ready_by_class[class];
        if ready.len() <= 2 * CANDIDATE_POOL_SIZE {
            return ready.clone();
        }
        let random = &mut self.random;
        let mut draw_one = |_| ready[(random.uniform() * ready.len() as f64) as usize];
        let mut candidates: Vec<WorkerIndex> = match subject {
            Some(subject) => self
                .workers
                .most_preferred(subject, ready, CANDIDATE_POOL_SIZE),
            None => (0..CANDIDATE_POOL_SIZE).map(&mut draw_one).collect(),
        };
        candidates.extend(&self.workers.last_reporters);
        candidates.extend(pass);
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    /// Returns the zone and cell that a request must stay in: where an attempt may have run, if
    /// only the workers of that cell drop its repeats.
    fn required_cell(&self, request: &Request) -> Option<(u8, u16)> {
        let class = &self.settings.classes[request.class];
        let is_bound = matches!(
            class,
            Class {
                effect: Effect::IdempotentByKey,
                dedup_scope: DedupScope::Cell,
                ..
            }
        );
        let mut attempts = request.attempts.iter();
        let first = attempts.find(|attempt| is_bound && attempt.may_have_run());
        first.map(|attempt| attempt.cell)
    }

    /// Returns the candidates at which an attempt keeps all rules; if possible without those that
    /// had one before, and without those that have too few slots.
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

    /// Returns the worker in slow start for which the request has a pass, if it has no queue and
    /// the subject prefers few workers to it. The pass replaces the draw: a worker in slow start
    /// that had to be drawn as well would stay idle.
    fn worker_with_slow_start_pass(
        &self,
        request: &Request,
        eligible: &[WorkerIndex],
    ) -> Option<WorkerIndex> {
        let index = request.slow_start_pass?;
        let position = eligible.iter().position(|eligible| *eligible == index)?;
        let preferred_before = self.preferred_before(request, eligible);
        let worker = &self.workers.all[index];
        let is_preferred = preferred_before[position] <= MAX_PREFERRED_BEFORE_SLOW_START;
        let is_idle = worker.request_due_at.is_some() || self.expected_wait(worker) <= 0.0;
        (is_preferred && is_idle).then_some(index)
    }

    /// Removes ejected workers, unless so many are ejected that the cause is not the workers. A
    /// request that may have run avoids them in any case.
    fn exclude_ejected(&self, request: &Request, eligible: &mut Vec<WorkerIndex>) {
        let is_well = |index: &WorkerIndex| !self.workers.all[*index].is_ejected(self.now);
        let well = eligible.iter().filter(|index| is_well(index)).count();
        let min_well = MIN_SHARE_NOT_EJECTED * eligible.len() as f64;
        if request.may_have_run() || well as f64 >= min_well {
            retain_if_any(eligible, is_well);
        }
    }

    /// Returns whether reports of free capacity are believed.
    fn trusts_reports(&self) -> bool {
        self.estimates.trust >= MIN_TRUST
    }

    /// Returns the eligible workers that are known to have free capacity. Otherwise many
    /// dispatchers with old reports would queue requests behind full workers while others idle. At
    /// times it returns the workers without a report instead: one that was never sent anything
    /// never reports, and would never be drawn.
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
                && self.acceptance(worker, request.class) >= MIN_TRUST
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

    /// Returns whether the request stays in this dispatcher's zone, where crossing zones has a
    /// price and the own zone is not much more loaded. With little traffic a dispatcher would never
    /// get reports from the other zones, and all whose zone is full would stay in it; so the
    /// answers must report on all workers.
    fn prefers_own_zone(&self, request: &Request) -> bool {
        let own_zone_load = self.estimates.load_by_zone.get(&self.settings.zone);
        let own_zone_load = own_zone_load.copied().unwrap_or(0.0);
        self.settings.cross_zone_price > 0.0
            && request.subject.is_none()
            && request.probe_rounds == 0
            && own_zone_load <= self.estimates.mean_load + OWN_ZONE_EXCESS_LOAD
            && self.hears_all_workers(request.class)
    }

    fn is_near(&self, own_zone_only: bool, index: WorkerIndex) -> bool {
        !own_zone_only || self.workers.all[index].entry.zone == self.settings.zone
    }

    /// Returns whether workers are probed before the draw, given how many are known to have free
    /// capacity.
    fn needs_probes(&self, request: &Request, with_capacity: usize) -> bool {
        let wanted = if request.probe_rounds == 0 {
            probe_sample_size(request)
        } else {
            usize::from(self.trusts_reports() && request.probe_rounds < MAX_PROBE_ROUNDS)
        };
        self.settings.probes_allowed && self.budgets.probes >= 1.0 && with_capacity < wanted
    }

    /// Returns the eligible workers without a recent report that have no queue as far as is known.
    /// Without them a subject whose worker has not reported would move to any worker that has.
    fn silent_without_queue(&self, eligible: &[WorkerIndex]) -> Vec<WorkerIndex> {
        let since = self.run_times_ago(REPORT_LIFETIME);
        let is_silent = |index: &WorkerIndex| {
            let worker = &self.workers.all[*index];
            !worker.reported_since(since) && self.expected_wait(worker) <= 0.0
        };
        eligible.iter().copied().filter(is_silent).collect()
    }
}

fn probe_sample_size(request: &Request) -> usize {
    match request.subject {
        Some(_) => SUBJECT_PROBE_SAMPLE_SIZE,
        None => PROBE_SAMPLE_SIZE,
    }
}

/// Keeps the workers that pass the test, if any do.
fn retain_if_any(workers: &mut Vec<WorkerIndex>, passes: impl Fn(&WorkerIndex) -> bool) {
    if workers.iter().any(&passes) {
        workers.retain(passes);
    }
}

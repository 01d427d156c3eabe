//! The simulation loop: clients, workers, the worker list, an operator and a sibling process around
//! one dispatcher. All times are multiples of 1/1024 s, so they are represented exactly as numbers
//! and as text.

use super::decider::Decider;
use super::random::Generator;
use super::scenario::{ReportField, Scenario};
use postproxy::{
    Action, Entry, Event, Health, ListKind, NewRequest, Outcome, ProgressNote, SiblingEvent,
    WorkerId,
};
use std::collections::{BTreeMap, VecDeque};

const TICKS_PER_SECOND: f64 = 1024.0;
/// Start time of the simulation, in seconds.
const START_TIME: f64 = 1000.0;
/// Number of memory units of a worker.
const WORKER_MEMORY: f64 = 16.0;
/// Duration of a burst and of the interval until the next one, in seconds.
const BURST_DURATION: f64 = 3.0;
/// Maximum duration of a run, in seconds. All requests must have been answered by then.
const MAX_RUN_TIME: f64 = 90.0;
/// Maximum number of lines in the log of a run, far more than any scenario needs.
const MAX_LINES: usize = 400_000;
/// The first id for requests of the sibling process.
const FIRST_SIBLING_ID: u64 = 1 << 50;

fn ticks(seconds: f64) -> u64 {
    (seconds * TICKS_PER_SECOND).ceil().max(0.0) as u64
}

fn seconds(ticks: u64) -> f64 {
    ticks as f64 / TICKS_PER_SECOND
}

type AttemptKey = (u64, u16);

/// A scheduled occurrence.
enum Pending {
    Request,
    Retry(Box<NewRequest>),
    Timer(u64),
    AttemptReaches(AttemptKey),
    AttemptEnds(AttemptKey, Outcome),
    Progress(AttemptKey, u32),
    CancelReaches(AttemptKey),
    ProbeEnds(usize, u64, Outcome),
    ClientDisconnects(u64),
    ListChange,
    WorkerRestored(usize),
    DiscoveryAnswer,
    Operator,
    Resume(usize),
    SiblingAttemptEnds(u64, usize),
}

struct WorkerModel {
    entry: Entry,
    slots: usize,
    speed: f64,
    /// Whether it answers every attempt with an error.
    failing: bool,
    running: Vec<AttemptKey>,
    waiting: VecDeque<AttemptKey>,
}

struct AttemptModel {
    worker: usize,
    sent: u64,
    work: f64,
    hangs: bool,
}

struct ClientRequest {
    class: u8,
    work: f64,
    deadline: f64,
    attempts: u16,
    /// The attempt whose answer is being streamed to the client.
    streaming: Option<u16>,
    answered: bool,
}

/// One run of a scenario.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    decider: Box<dyn Decider>,
    operator: bool,
    random: Generator,
    now: u64,
    scheduled: u64,
    pending: BTreeMap<(u64, u64), Pending>,
    workers: Vec<WorkerModel>,
    requests: BTreeMap<u64, ClientRequest>,
    attempts: BTreeMap<AttemptKey, AttemptModel>,
    next_request: u64,
    next_sibling: u64,
    log: Vec<String>,
}

impl<'a> Simulation<'a> {
    pub fn new(scenario: &'a Scenario, decider: Box<dyn Decider>, operator: bool) -> Self {
        let random = Generator::new(scenario.seed);
        let mut simulation = Self {
            scenario,
            decider,
            operator,
            random,
            now: ticks(START_TIME),
            scheduled: 0,
            pending: BTreeMap::new(),
            workers: Vec::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_request: 1,
            next_sibling: FIRST_SIBLING_ID,
            log: Vec::new(),
        };
        simulation.workers = (0..scenario.workers)
            .map(|n| simulation.new_worker(n))
            .collect();
        simulation
    }

    fn new_worker(&mut self, n: usize) -> WorkerModel {
        let entry = Entry {
            worker: WorkerId {
                address: [10, 0, (n / 250) as u8, (n % 250) as u8 + 1],
                port: 8080,
            },
            zone: (n % 3) as u8,
            kind: (n / 3 % 2) as u16,
            cell: (n / 3 % 4) as u16,
            health: Health::Ready,
            identity: (n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            size: 1.0 + (n % 3) as f64 * 0.5,
            started: 0.0,
        };
        let slots = self.scenario.slots + n % 2;
        let speed = 0.5 + self.random.below(6) as f64 * 0.25;
        WorkerModel {
            entry,
            slots,
            speed,
            failing: false,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Runs the simulation to its end and returns the lines of its log.
    pub fn run(mut self) -> Vec<String> {
        self.start();
        while let Some(((at, _), pending)) = self.pending.pop_first() {
            if self.is_over() || at > ticks(START_TIME + MAX_RUN_TIME) {
                break;
            }
            self.now = at;
            self.process(pending);
            assert!(
                self.log.len() < MAX_LINES,
                "{}: the log is too long",
                self.scenario.name
            );
        }
        let open = self.open_requests();
        assert!(
            open.is_empty(),
            "{}: unanswered requests: {open:?}",
            self.scenario.name
        );
        self.log
    }

    fn start(&mut self) {
        self.handle(&Event::WorkerListReceived {
            kind: ListKind::Failed,
            entries: Vec::new(),
        });
        self.send_list(ListKind::Cached);
        self.handle(&Event::PeerMessage);
        self.schedule_after(0.25, Pending::Request);
        self.schedule_after(1.0, Pending::ListChange);
        if self.operator {
            self.schedule_after(1.0, Pending::Operator);
        }
    }

    fn is_over(&self) -> bool {
        self.next_request > self.scenario.requests
            && self.requests.values().all(|request| request.answered)
    }

    fn open_requests(&self) -> Vec<u64> {
        let open = self.requests.iter().filter(|(_, model)| !model.answered);
        open.map(|(request, _)| *request).collect()
    }

    fn schedule_after(&mut self, after: f64, pending: Pending) {
        self.schedule_at(self.now + ticks(after).max(1), pending);
    }

    fn schedule_at(&mut self, at: u64, pending: Pending) {
        self.scheduled += 1;
        self.pending.insert((at, self.scheduled), pending);
    }

    fn handle(&mut self, event: &Event) {
        let actions = self.decider.handle(seconds(self.now), event, &mut self.log);
        actions.into_iter().for_each(|action| self.perform(action));
    }

    // ---- Actions of the dispatcher ----

    fn perform(&mut self, action: Action) {
        match action {
            Action::WatchDiscovery => self.schedule_after(0.03, Pending::DiscoveryAnswer),
            Action::Send {
                request, worker, ..
            } => self.send(request, worker),
            Action::Cancel { request, attempt } => self.cancel((request, attempt)),
            Action::Reject {
                request,
                retry_after,
            } => self.handle_rejection(request, retry_after),
            Action::Fail { request } => self.mark_answered(request),
            Action::Timer { at, token } => {
                self.schedule_at(ticks(at).max(self.now + 1), Pending::Timer(token));
            }
            Action::Probe { worker } => self.probe(worker),
        }
    }

    fn worker_number(&self, worker: WorkerId) -> usize {
        let found = self
            .workers
            .iter()
            .position(|model| model.entry.worker == worker);
        found.expect("a listed worker")
    }

    fn send(&mut self, request: u64, worker: WorkerId) {
        let worker = self.worker_number(worker);
        let model = self
            .requests
            .get_mut(&request)
            .expect("a submitted request");
        let (key, work) = ((request, model.attempts), model.work);
        model.attempts += 1;
        let hangs = self.random.chance(self.scenario.hangs);
        self.attempts.insert(
            key,
            AttemptModel {
                worker,
                sent: self.now,
                work,
                hangs,
            },
        );
        if self.random.chance(self.scenario.faults) {
            let (after, outcome) = self.draw_fault();
            return self.schedule_after(after, Pending::AttemptEnds(key, outcome));
        }
        self.schedule_after(0.002, Pending::AttemptReaches(key));
    }

    /// Draws a fault of an attempt. Returns the time until it is noticed, and the outcome.
    fn draw_fault(&mut self) -> (f64, Outcome) {
        match self.random.below(7) {
            0 => (0.1, Outcome::ConnectFailed),
            1 => (0.05, Outcome::Reset),
            2 => (0.5, Outcome::Timeout),
            3 => (0.03, Outcome::Error),
            4 => (0.02, Outcome::Rejected),
            5 => (0.01, Outcome::CancelledLocally),
            _ => (0.04, Outcome::Unknown(599)),
        }
    }

    fn cancel(&mut self, key: AttemptKey) {
        // One in eight cancellations is lost.
        if !self.random.chance(0.125) {
            self.schedule_after(0.003, Pending::CancelReaches(key));
        }
    }

    fn handle_rejection(&mut self, request: u64, retry_after: f64) {
        self.mark_answered(request);
        let (class, deadline) = {
            let model = &self.requests[&request];
            (model.class, model.deadline)
        };
        let left = deadline - seconds(self.now) - retry_after;
        if left > 0.25 && self.random.chance(0.3) {
            let retry = NewRequest {
                is_marked_retry: true,
                ..self.new_request(class, left)
            };
            self.schedule_after(retry_after + 0.05, Pending::Retry(Box::new(retry)));
        }
    }

    fn mark_answered(&mut self, request: u64) {
        self.requests
            .entry(request)
            .and_modify(|model| model.answered = true);
    }

    fn probe(&mut self, worker: WorkerId) {
        let worker = self.worker_number(worker);
        let (after, outcome) = match self.random.below(40) {
            0 => (0.25, Outcome::Timeout),
            1 => (0.01, Outcome::Rejected),
            2 => (0.01, Outcome::CancelledLocally),
            3..=6 => (0.3, Outcome::Succeeded),
            _ => (0.008, Outcome::Succeeded),
        };
        self.schedule_after(after, Pending::ProbeEnds(worker, self.now, outcome));
    }

    // ---- Scheduled occurrences ----

    fn process(&mut self, pending: Pending) {
        match pending {
            Pending::Request => self.generate_request(),
            Pending::Retry(mut request) => {
                request.id = self.next_id();
                self.submit(*request);
            }
            Pending::Timer(token) => self.handle(&Event::TimerExpired { token }),
            Pending::AttemptReaches(key) => self.reach_worker(key),
            Pending::AttemptEnds(key, outcome) => self.end_attempt(key, outcome),
            Pending::Progress(key, count) => self.report_progress(key, count),
            Pending::CancelReaches(key) => self.end_attempt(key, Outcome::Cancelled),
            Pending::ProbeEnds(worker, sent, outcome) => self.end_probe(worker, sent, outcome),
            Pending::ClientDisconnects(request) => self.disconnect_client(request),
            Pending::ListChange => self.change_list(),
            Pending::WorkerRestored(worker) => self.restore_worker(worker),
            Pending::DiscoveryAnswer => self.answer_discovery_call(),
            Pending::Operator => self.generate_operator_event(),
            Pending::Resume(worker) => self.change_suspension(worker, true),
            Pending::SiblingAttemptEnds(request, worker) => {
                self.end_sibling_attempt(request, worker)
            }
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request - 1
    }

    fn generate_request(&mut self) {
        if self.next_request > self.scenario.requests {
            return;
        }
        let class = self.random.below(3) as u8;
        let time_limit = self.draw_time_limit(class);
        let request = NewRequest {
            id: self.next_id(),
            ..self.new_request(class, time_limit)
        };
        self.submit(request);
        let is_burst = ((seconds(self.now) - START_TIME) / BURST_DURATION) as u64 % 2 == 1;
        let rate = self.scenario.rate * if is_burst { self.scenario.burst } else { 0.7 };
        let after = self.random.uniform() * 2.0 / rate;
        self.schedule_after(after, Pending::Request);
    }

    fn draw_time_limit(&mut self, class: u8) -> f64 {
        let longest = self.scenario.time_limits[class as usize];
        if self.random.chance(self.scenario.short_time_limits) {
            longest * 0.5
        } else {
            longest
        }
    }

    fn new_request(&mut self, class: u8, time_limit: f64) -> NewRequest {
        let keys = self.scenario.affinity_keys as usize;
        let hint = self
            .random
            .chance(0.3)
            .then(|| self.scenario.mean_work[class as usize] * 1.25);
        NewRequest {
            id: 0,
            class,
            tenant: self.random.below(3) as u16,
            affinity_key: if keys > 0 {
                1 + self.random.below(keys) as u64
            } else {
                0
            },
            time_limit,
            expected_work: hint,
            slots: if self.random.chance(0.1) { 2.0 } else { 1.0 },
            memory: self.random.below(4) as f64,
            is_marked_retry: false,
            without_key: self.operator && self.random.chance(self.scenario.without_key),
        }
    }

    fn submit(&mut self, new: NewRequest) {
        let (request, class) = (new.id, new.class);
        let work = self.scenario.mean_work[class as usize] * (0.5 + self.random.uniform());
        let deadline = seconds(self.now) + new.time_limit;
        let model = ClientRequest {
            class,
            work,
            deadline,
            attempts: 0,
            streaming: None,
            answered: false,
        };
        self.requests.insert(request, model);
        let event = Event::RequestReceived(new);
        self.handle(&event);
        if self.random.chance(0.02) {
            self.handle(&event); // a second request with the same id is ignored
        }
        if self.random.chance(0.03) {
            let after = self.random.uniform();
            self.schedule_after(after, Pending::ClientDisconnects(request));
        }
    }

    fn disconnect_client(&mut self, request: u64) {
        if !self.requests[&request].answered {
            self.mark_answered(request);
            self.handle(&Event::ClientDisconnected { request });
        }
    }

    // ---- Workers ----

    fn reach_worker(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let model = &mut self.workers[attempt.worker];
        if model.entry.health == Health::Removed {
            return self.schedule_after(0.1, Pending::AttemptEnds(key, Outcome::ConnectFailed));
        }
        if model.failing {
            return self.schedule_after(0.01, Pending::AttemptEnds(key, Outcome::Error));
        }
        if model.entry.health == Health::Draining || model.waiting.len() >= self.scenario.max_queue
        {
            return self.schedule_after(0.002, Pending::AttemptEnds(key, Outcome::Rejected));
        }
        let worker = attempt.worker;
        model.waiting.push_back(key);
        self.start_waiting(worker);
    }

    fn start_waiting(&mut self, worker: usize) {
        while self.workers[worker].running.len() < self.workers[worker].slots {
            let Some(key) = self.workers[worker].waiting.pop_front() else {
                return;
            };
            self.workers[worker].running.push(key);
            self.start_job(worker, key);
        }
    }

    fn start_job(&mut self, worker: usize, key: AttemptKey) {
        let attempt = &self.attempts[&key];
        let (hangs, class) = (attempt.hangs, self.requests[&key.0].class);
        let run_time = attempt.work / self.workers[worker].speed * if hangs { 30.0 } else { 1.0 };
        let outcome = if self.random.chance(0.02) {
            Outcome::Error
        } else {
            Outcome::Succeeded
        };
        self.schedule_after(run_time, Pending::AttemptEnds(key, outcome));
        if self.scenario.preempted_class == Some(class) && self.random.chance(0.1) {
            self.schedule_after(run_time * 0.5, Pending::AttemptEnds(key, Outcome::Reset));
        }
        if self.scenario.reports_start && !hangs {
            self.schedule_after(0.001, Pending::Progress(key, 0));
        } else if self.scenario.progress_interval > 0.0 && !hangs {
            self.schedule_after(self.scenario.progress_interval, Pending::Progress(key, 1));
        }
    }

    fn report_progress(&mut self, key: AttemptKey, count: u32) {
        if !self.attempts.contains_key(&key) {
            return;
        }
        let note = match count {
            0 => ProgressNote::Started,
            count if count % 3 == 0 => ProgressNote::Unknown,
            count => ProgressNote::Progress(f64::from(count.min(8)) / 8.0),
        };
        let (request, attempt) = key;
        self.handle(&Event::AttemptProgress {
            request,
            attempt,
            note,
        });
        let streams = self.scenario.streamed_class == Some(self.requests[&request].class);
        if streams && count == 0 && self.random.chance(0.5) {
            self.start_streaming(key);
        }
        if self.scenario.progress_interval > 0.0 {
            self.schedule_after(
                self.scenario.progress_interval,
                Pending::Progress(key, count + 1),
            );
        }
    }

    /// Starts to stream the answer of an attempt to the client, unless another attempt already
    /// does.
    fn start_streaming(&mut self, (request, attempt): AttemptKey) {
        let model = self
            .requests
            .get_mut(&request)
            .expect("a submitted request");
        if model.streaming.is_none() && !model.answered {
            model.streaming = Some(attempt);
            self.handle(&Event::AttemptStreaming { request, attempt });
        }
    }

    fn end_attempt(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        let worker = &mut self.workers[attempt.worker];
        let jobs_before = worker.running.len() + worker.waiting.len();
        worker.running.retain(|other| *other != key);
        worker.waiting.retain(|other| *other != key);
        let reached = worker.running.len() + worker.waiting.len() < jobs_before
            || outcome == Outcome::Rejected;
        let report = if reached && self.scenario.reports_in_answers {
            self.load_report(attempt.worker)
        } else {
            Vec::new()
        };
        let final_error = outcome == Outcome::Error && self.random.chance(0.3);
        let streamed = self.requests[&key.0].streaming == Some(key.1);
        if outcome == Outcome::Succeeded || final_error || streamed {
            self.mark_answered(key.0);
        }
        let event = Event::AttemptEnded {
            request: key.0,
            attempt: key.1,
            worker: self.workers[attempt.worker].entry.worker,
            outcome,
            elapsed: seconds(self.now - attempt.sent),
            answered: self.requests[&key.0].answered,
            report,
        };
        self.handle(&event);
        self.start_waiting(attempt.worker);
    }

    fn load_report(&mut self, worker: usize) -> Vec<f32> {
        if self.random.chance(0.03) {
            return vec![f32::NAN; self.scenario.report.len()];
        }
        let others = if self.scenario.max_other_jobs > 0 {
            self.random.below(self.scenario.max_other_jobs + 1)
        } else {
            0
        };
        let model = &self.workers[worker];
        let running = (model.running.len() + others).min(model.slots);
        let waiting = model.running.len() + others - running + model.waiting.len();
        let value = |field: &ReportField| match field {
            ReportField::Queue => waiting as f32,
            ReportField::InFlight => (running + waiting) as f32,
            ReportField::FreeSlots => (model.slots - running) as f32,
            ReportField::FreeMemory => (WORKER_MEMORY - 2.0 * running as f64) as f32,
            ReportField::ServiceMilliseconds => 125.0 + running as f32,
        };
        self.scenario.report.iter().map(value).collect()
    }

    fn end_probe(&mut self, worker: usize, sent: u64, outcome: Outcome) {
        let report = if outcome == Outcome::Succeeded {
            self.load_report(worker)
        } else {
            Vec::new()
        };
        let elapsed = seconds(self.now - sent);
        let outcome = if self.workers[worker].entry.health == Health::Removed {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        let worker = self.workers[worker].entry.worker;
        self.handle(&Event::ProbeEnded {
            worker,
            outcome,
            elapsed,
            report,
        });
    }

    // ---- The worker list ----

    fn send_list(&mut self, kind: ListKind) {
        let listed = self
            .workers
            .iter()
            .filter(|model| model.entry.health != Health::Removed);
        let entries = listed.map(|model| model.entry.clone()).collect();
        self.handle(&Event::WorkerListReceived { kind, entries });
    }

    fn send_entry(&mut self, worker: usize) {
        let kind = if self.operator && self.random.chance(0.3) {
            ListKind::FromPeer
        } else {
            ListKind::Delta
        };
        self.handle(&Event::WorkerListReceived {
            kind,
            entries: vec![self.workers[worker].entry.clone()],
        });
    }

    fn change_list(&mut self) {
        let after = self.random.uniform() * 2.0 * self.scenario.list_change_interval;
        self.schedule_after(after, Pending::ListChange);
        let worker = self.random.below(self.workers.len());
        if self.random.chance(self.scenario.restarts) {
            return self.restart(worker);
        }
        match self.random.below(8) {
            0 => self.send_list(ListKind::Full),
            1 => self.send_list(ListKind::Cached),
            2 => self.handle(&Event::WorkerListReceived {
                kind: ListKind::Failed,
                entries: Vec::new(),
            }),
            3 => self.resize(worker),
            4 => self.fail_for_a_while(worker),
            _ => self.drain(worker),
        }
    }

    fn resize(&mut self, worker: usize) {
        let size = [0.0, 0.5, 2.0, f64::NAN][self.random.below(4)];
        self.workers[worker].entry.size = size;
        self.send_entry(worker);
    }

    fn fail_for_a_while(&mut self, worker: usize) {
        self.workers[worker].failing = true;
        self.schedule_after(1.5, Pending::WorkerRestored(worker));
    }

    fn drain(&mut self, worker: usize) {
        if self.workers[worker].entry.health == Health::Ready {
            self.workers[worker].entry.health = Health::Draining;
            self.send_entry(worker);
            self.schedule_after(1.0, Pending::WorkerRestored(worker));
        }
    }

    /// Restarts a worker: its attempts are reset, and it returns to the list after a while.
    fn restart(&mut self, worker: usize) {
        let model = &mut self.workers[worker];
        model.entry.health = Health::Removed;
        model.waiting.clear();
        let running: Vec<AttemptKey> = std::mem::take(&mut model.running);
        let is_at_worker = |(key, attempt): (&AttemptKey, &AttemptModel)| {
            (attempt.worker == worker).then_some(*key)
        };
        let attempts: Vec<AttemptKey> = self.attempts.iter().filter_map(is_at_worker).collect();
        debug_assert!(running.iter().all(|key| attempts.contains(key)));
        attempts
            .into_iter()
            .for_each(|key| self.schedule_after(0.01, Pending::AttemptEnds(key, Outcome::Reset)));
        if self.random.chance(0.7) {
            self.send_entry(worker);
        }
        self.schedule_after(0.75, Pending::WorkerRestored(worker));
    }

    fn restore_worker(&mut self, worker: usize) {
        let now = seconds(self.now);
        let model = &mut self.workers[worker];
        model.failing = false;
        if model.entry.health == Health::Removed {
            model.entry.started = now - self.scenario.start_delay;
        }
        model.entry.health = Health::Ready;
        self.send_entry(worker);
    }

    fn answer_discovery_call(&mut self) {
        if self.random.chance(self.scenario.failed_calls) {
            self.handle(&Event::WorkerListReceived {
                kind: ListKind::Failed,
                entries: Vec::new(),
            });
        } else {
            self.send_list(ListKind::Full);
        }
    }

    // ---- The operator and the sibling process ----

    fn generate_operator_event(&mut self) {
        let after = self.random.uniform();
        self.schedule_after(after, Pending::Operator);
        let worker = self.random.below(self.workers.len());
        match self.random.below(10) {
            0 if self.scenario.handovers => self.hand_over(),
            0 => {}
            1 => {
                let count = 1 + self.random.below(5) as u32;
                self.handle(&Event::DispatcherCountChanged(count));
            }
            2 => (0..self.workers.len()).for_each(|worker| self.suspend(worker)),
            3..=5 => self.suspend(worker),
            _ => self.send_sibling_attempt(worker),
        }
    }

    fn suspend(&mut self, worker: usize) {
        self.change_suspension(worker, false);
        let after = 0.25 + self.random.uniform();
        self.schedule_after(after, Pending::Resume(worker));
    }

    fn change_suspension(&mut self, worker: usize, resume: bool) {
        let worker = self.workers[worker].entry.worker;
        self.handle(&Event::SuspensionChanged { worker, resume });
    }

    fn send_sibling_attempt(&mut self, worker: usize) {
        let request = self.next_sibling;
        self.next_sibling += 1;
        let work = self.random.chance(0.5).then_some(0.125);
        let sent = seconds(self.now) - 0.0625;
        let address = self.workers[worker].entry.worker;
        let event = SiblingEvent::AttemptSent {
            request,
            attempt: 0,
            worker: address,
            slots: 1.0,
            work,
            sent,
        };
        self.handle(&Event::SiblingEvent(event));
        self.schedule_after(0.5, Pending::SiblingAttemptEnds(request, worker));
    }

    fn end_sibling_attempt(&mut self, request: u64, worker: usize) {
        let worker = self.workers[worker].entry.worker;
        self.handle(&Event::SiblingEvent(SiblingEvent::AttemptEnded {
            request,
            attempt: 0,
            worker,
        }));
    }

    /// Hands over to another process, which receives the budget history and the open requests
    /// either before or after the worker list.
    fn hand_over(&mut self) {
        let open = self.open_requests();
        let list_first = self.random.chance(0.5);
        let events = self.decider.hand_over(seconds(self.now), &open);
        if list_first {
            self.send_list(ListKind::Cached);
        }
        events.iter().for_each(|event| self.handle(event));
        if !list_first {
            self.send_list(ListKind::Cached);
        }
    }
}

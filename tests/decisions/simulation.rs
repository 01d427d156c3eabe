//! The closed loop: clients, workers, the worker list, an operator and a sibling process around one
//! dispatcher. All times are whole ticks of 1/1024 s, so that they are exact as numbers and as
//! text.

use super::decider::Decider;
use super::random::Generator;
use super::scenario::{Figure, Scenario};
use postproxy::{
    Action, Entry, Event, Health, ListKind, NewRequest, Outcome, ProgressNote, SiblingEvent,
    WorkerId,
};
use std::collections::{BTreeMap, VecDeque};

const TICKS_A_SECOND: f64 = 1024.0;
/// The simulation starts at this time, in seconds.
const START: f64 = 1000.0;
/// Memory units of a worker.
const MEMORY: f64 = 16.0;
/// Length of a burst and of the quiet time after it, in seconds.
const BURST: f64 = 3.0;
/// A run is stopped after this time, in seconds; all its requests have to be answered by then.
const LONGEST_RUN: f64 = 90.0;
/// Lines of its log after which a run is given up: far more than any scenario needs.
const MAX_LINES: usize = 400_000;
/// Ids of a sibling's requests begin here.
const SIBLING_IDS: u64 = 1 << 50;

fn ticks(seconds: f64) -> u64 {
    (seconds * TICKS_A_SECOND).ceil().max(0.0) as u64
}

fn seconds(ticks: u64) -> f64 {
    ticks as f64 / TICKS_A_SECOND
}

type AttemptKey = (u64, u16);

/// Something that will happen.
enum Pending {
    Arrival,
    Retry(Box<NewRequest>),
    Timer(u64),
    AttemptReaches(AttemptKey),
    AttemptEnds(AttemptKey, Outcome),
    Progress(AttemptKey, u32),
    CancelReaches(AttemptKey),
    ProbeEnds(usize, u64, Outcome),
    ClientLeaves(u64),
    ListChange,
    WorkerBack(usize),
    Watched,
    Operator,
    Use(usize),
    SiblingEnds(u64, usize),
}

struct WorkerModel {
    entry: Entry,
    slots: usize,
    speed: f64,
    /// It fails all that it is sent.
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
    ends: f64,
    attempts: u16,
    /// The attempt whose answer goes to the client already.
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
    planned: u64,
    schedule: BTreeMap<(u64, u64), Pending>,
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
            now: ticks(START),
            planned: 0,
            schedule: BTreeMap::new(),
            workers: Vec::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_request: 1,
            next_sibling: SIBLING_IDS,
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

    /// Runs it to its end; the lines of its log.
    pub fn run(mut self) -> Vec<String> {
        self.start();
        while let Some(((at, _), pending)) = self.schedule.pop_first() {
            if self.is_over() || at > ticks(START + LONGEST_RUN) {
                break;
            }
            self.now = at;
            self.happen(pending);
            assert!(
                self.log.len() < MAX_LINES,
                "{}: the log has no end",
                self.scenario.name
            );
        }
        let open = self.open_requests();
        assert!(
            open.is_empty(),
            "{}: requests without an answer: {open:?}",
            self.scenario.name
        );
        self.log
    }

    fn start(&mut self) {
        self.tell(&Event::WorkerListReceived {
            kind: ListKind::Failed,
            entries: Vec::new(),
        });
        self.list(ListKind::Cached);
        self.tell(&Event::PeerMessage);
        self.plan(0.25, Pending::Arrival);
        self.plan(1.0, Pending::ListChange);
        if self.operator {
            self.plan(1.0, Pending::Operator);
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

    fn plan(&mut self, after: f64, pending: Pending) {
        self.plan_at(self.now + ticks(after).max(1), pending);
    }

    fn plan_at(&mut self, at: u64, pending: Pending) {
        self.planned += 1;
        self.schedule.insert((at, self.planned), pending);
    }

    fn tell(&mut self, event: &Event) {
        let actions = self.decider.handle(seconds(self.now), event, &mut self.log);
        actions.into_iter().for_each(|action| self.act(action));
    }

    // ---- Actions of the dispatcher ----

    fn act(&mut self, action: Action) {
        match action {
            Action::WatchDiscovery => self.plan(0.03, Pending::Watched),
            Action::Send {
                request, worker, ..
            } => self.send(request, worker),
            Action::Cancel { request, attempt } => self.cancel((request, attempt)),
            Action::Reject {
                request,
                retry_after,
            } => self.refused(request, retry_after),
            Action::Fail { request } => self.answered(request),
            Action::Timer { at, token } => {
                self.plan_at(ticks(at).max(self.now + 1), Pending::Timer(token));
            }
            Action::Probe { worker } => self.probe(worker),
        }
    }

    fn worker_number(&self, worker: WorkerId) -> usize {
        let found = self
            .workers
            .iter()
            .position(|model| model.entry.worker == worker);
        found.expect("a worker of the list")
    }

    fn send(&mut self, request: u64, worker: WorkerId) {
        let worker = self.worker_number(worker);
        let model = self
            .requests
            .get_mut(&request)
            .expect("a request that arrived");
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
            let (after, outcome) = self.fault();
            return self.plan(after, Pending::AttemptEnds(key, outcome));
        }
        self.plan(0.002, Pending::AttemptReaches(key));
    }

    /// A fault of an attempt, and how long it takes to show.
    fn fault(&mut self) -> (f64, Outcome) {
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
        // One of eight cancellations is lost.
        if !self.random.chance(0.125) {
            self.plan(0.003, Pending::CancelReaches(key));
        }
    }

    fn refused(&mut self, request: u64, retry_after: f64) {
        self.answered(request);
        let (class, ends) = {
            let model = &self.requests[&request];
            (model.class, model.ends)
        };
        let left = ends - seconds(self.now) - retry_after;
        if left > 0.25 && self.random.chance(0.3) {
            let retry = NewRequest {
                is_marked_retry: true,
                ..self.new_request(class, left)
            };
            self.plan(retry_after + 0.05, Pending::Retry(Box::new(retry)));
        }
    }

    fn answered(&mut self, request: u64) {
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
        self.plan(after, Pending::ProbeEnds(worker, self.now, outcome));
    }

    // ---- What happens ----

    fn happen(&mut self, pending: Pending) {
        match pending {
            Pending::Arrival => self.arrive(),
            Pending::Retry(mut request) => {
                request.id = self.next_id();
                self.submit(*request);
            }
            Pending::Timer(token) => self.tell(&Event::TimerExpired { token }),
            Pending::AttemptReaches(key) => self.reach(key),
            Pending::AttemptEnds(key, outcome) => self.end(key, outcome),
            Pending::Progress(key, count) => self.progress(key, count),
            Pending::CancelReaches(key) => self.end(key, Outcome::Cancelled),
            Pending::ProbeEnds(worker, sent, outcome) => self.probed(worker, sent, outcome),
            Pending::ClientLeaves(request) => self.client_leaves(request),
            Pending::ListChange => self.change_list(),
            Pending::WorkerBack(worker) => self.bring_back(worker),
            Pending::Watched => self.watched(),
            Pending::Operator => self.operate(),
            Pending::Use(worker) => self.use_worker(worker, true),
            Pending::SiblingEnds(request, worker) => self.sibling_ends(request, worker),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request - 1
    }

    fn arrive(&mut self) {
        if self.next_request > self.scenario.requests {
            return;
        }
        let class = self.random.below(3) as u8;
        let budget = self.budget(class);
        let request = NewRequest {
            id: self.next_id(),
            ..self.new_request(class, budget)
        };
        self.submit(request);
        let burst = ((seconds(self.now) - START) / BURST) as u64 % 2 == 1;
        let rate = self.scenario.rate * if burst { self.scenario.burst } else { 0.7 };
        let after = self.random.uniform() * 2.0 / rate;
        self.plan(after, Pending::Arrival);
    }

    fn budget(&mut self, class: u8) -> f64 {
        let most = self.scenario.budgets[class as usize];
        if self.random.chance(self.scenario.short_budgets) {
            most * 0.5
        } else {
            most
        }
    }

    fn new_request(&mut self, class: u8, budget: f64) -> NewRequest {
        let subjects = self.scenario.subjects as usize;
        let hint = self
            .random
            .chance(0.3)
            .then(|| self.scenario.works[class as usize] * 1.25);
        NewRequest {
            id: 0,
            class,
            tenant: self.random.below(3) as u16,
            affinity_key: if subjects > 0 {
                1 + self.random.below(subjects) as u64
            } else {
                0
            },
            time_limit: budget,
            expected_work: hint,
            slots: if self.random.chance(0.1) { 2.0 } else { 1.0 },
            memory: self.random.below(4) as f64,
            is_marked_retry: false,
            without_key: self.operator && self.random.chance(self.scenario.keyless),
        }
    }

    fn submit(&mut self, new: NewRequest) {
        let (request, class) = (new.id, new.class);
        let work = self.scenario.works[class as usize] * (0.5 + self.random.uniform());
        let ends = seconds(self.now) + new.time_limit;
        let model = ClientRequest {
            class,
            work,
            ends,
            attempts: 0,
            streaming: None,
            answered: false,
        };
        self.requests.insert(request, model);
        let event = Event::RequestReceived(new);
        self.tell(&event);
        if self.random.chance(0.02) {
            self.tell(&event); // the same id once more is ignored
        }
        if self.random.chance(0.03) {
            let after = self.random.uniform();
            self.plan(after, Pending::ClientLeaves(request));
        }
    }

    fn client_leaves(&mut self, request: u64) {
        if !self.requests[&request].answered {
            self.answered(request);
            self.tell(&Event::ClientDisconnected { request });
        }
    }

    // ---- Workers ----

    fn reach(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        let model = &mut self.workers[attempt.worker];
        if model.entry.health == Health::Removed {
            return self.plan(0.1, Pending::AttemptEnds(key, Outcome::ConnectFailed));
        }
        if model.failing {
            return self.plan(0.01, Pending::AttemptEnds(key, Outcome::Error));
        }
        if model.entry.health == Health::Draining || model.waiting.len() >= self.scenario.queue {
            return self.plan(0.002, Pending::AttemptEnds(key, Outcome::Rejected));
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
        let takes = attempt.work / self.workers[worker].speed * if hangs { 30.0 } else { 1.0 };
        let outcome = if self.random.chance(0.02) {
            Outcome::Error
        } else {
            Outcome::Succeeded
        };
        self.plan(takes, Pending::AttemptEnds(key, outcome));
        if self.scenario.pushed_out == Some(class) && self.random.chance(0.1) {
            self.plan(takes * 0.5, Pending::AttemptEnds(key, Outcome::Reset));
        }
        if self.scenario.tells_start && !hangs {
            self.plan(0.001, Pending::Progress(key, 0));
        } else if self.scenario.progress > 0.0 && !hangs {
            self.plan(self.scenario.progress, Pending::Progress(key, 1));
        }
    }

    fn progress(&mut self, key: AttemptKey, count: u32) {
        if !self.attempts.contains_key(&key) {
            return;
        }
        let note = match count {
            0 => ProgressNote::Started,
            count if count % 3 == 0 => ProgressNote::Unknown,
            count => ProgressNote::Progress(f64::from(count.min(8)) / 8.0),
        };
        let (request, attempt) = key;
        self.tell(&Event::AttemptProgress {
            request,
            attempt,
            note,
        });
        let streams = self.scenario.streams == Some(self.requests[&request].class);
        if streams && count == 0 && self.random.chance(0.5) {
            self.stream(key);
        }
        if self.scenario.progress > 0.0 {
            self.plan(self.scenario.progress, Pending::Progress(key, count + 1));
        }
    }

    /// The first bytes of an answer go to the client, unless those of another attempt have before.
    fn stream(&mut self, (request, attempt): AttemptKey) {
        let model = self
            .requests
            .get_mut(&request)
            .expect("a request that arrived");
        if model.streaming.is_none() && !model.answered {
            model.streaming = Some(attempt);
            self.tell(&Event::AttemptStreaming { request, attempt });
        }
    }

    fn end(&mut self, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        let worker = &mut self.workers[attempt.worker];
        let held = worker.running.len() + worker.waiting.len();
        worker.running.retain(|other| *other != key);
        worker.waiting.retain(|other| *other != key);
        let reached =
            worker.running.len() + worker.waiting.len() < held || outcome == Outcome::Rejected;
        let report = if reached && self.scenario.answers_report {
            self.report(attempt.worker)
        } else {
            Vec::new()
        };
        let final_error = outcome == Outcome::Error && self.random.chance(0.3);
        let streamed = self.requests[&key.0].streaming == Some(key.1);
        if outcome == Outcome::Succeeded || final_error || streamed {
            self.answered(key.0);
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
        self.tell(&event);
        self.start_waiting(attempt.worker);
    }

    fn report(&mut self, worker: usize) -> Vec<f32> {
        if self.random.chance(0.03) {
            return vec![f32::NAN; self.scenario.report.len()];
        }
        let others = if self.scenario.others > 0 {
            self.random.below(self.scenario.others + 1)
        } else {
            0
        };
        let model = &self.workers[worker];
        let running = (model.running.len() + others).min(model.slots);
        let waiting = model.running.len() + others - running + model.waiting.len();
        let figure = |figure: &Figure| match figure {
            Figure::Queue => waiting as f32,
            Figure::InFlight => (running + waiting) as f32,
            Figure::FreeSlots => (model.slots - running) as f32,
            Figure::FreeMemory => (MEMORY - 2.0 * running as f64) as f32,
            Figure::ServiceMilliseconds => 125.0 + running as f32,
        };
        self.scenario.report.iter().map(figure).collect()
    }

    fn probed(&mut self, worker: usize, sent: u64, outcome: Outcome) {
        let report = if outcome == Outcome::Succeeded {
            self.report(worker)
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
        self.tell(&Event::ProbeEnded {
            worker,
            outcome,
            elapsed,
            report,
        });
    }

    // ---- The worker list ----

    fn list(&mut self, kind: ListKind) {
        let listed = self
            .workers
            .iter()
            .filter(|model| model.entry.health != Health::Removed);
        let entries = listed.map(|model| model.entry.clone()).collect();
        self.tell(&Event::WorkerListReceived { kind, entries });
    }

    fn entry_changed(&mut self, worker: usize) {
        let kind = if self.operator && self.random.chance(0.3) {
            ListKind::FromPeer
        } else {
            ListKind::Delta
        };
        self.tell(&Event::WorkerListReceived {
            kind,
            entries: vec![self.workers[worker].entry.clone()],
        });
    }

    fn change_list(&mut self) {
        let after = self.random.uniform() * 2.0 * self.scenario.list_change;
        self.plan(after, Pending::ListChange);
        let worker = self.random.below(self.workers.len());
        if self.random.chance(self.scenario.restarts) {
            return self.restart(worker);
        }
        match self.random.below(8) {
            0 => self.list(ListKind::Full),
            1 => self.list(ListKind::Cached),
            2 => self.tell(&Event::WorkerListReceived {
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
        self.entry_changed(worker);
    }

    fn fail_for_a_while(&mut self, worker: usize) {
        self.workers[worker].failing = true;
        self.plan(1.5, Pending::WorkerBack(worker));
    }

    fn drain(&mut self, worker: usize) {
        if self.workers[worker].entry.health == Health::Ready {
            self.workers[worker].entry.health = Health::Draining;
            self.entry_changed(worker);
            self.plan(1.0, Pending::WorkerBack(worker));
        }
    }

    /// The worker dies with all that it has, and comes back after a while.
    fn restart(&mut self, worker: usize) {
        let model = &mut self.workers[worker];
        model.entry.health = Health::Removed;
        model.waiting.clear();
        let lost: Vec<AttemptKey> = std::mem::take(&mut model.running);
        let held = |(key, attempt): (&AttemptKey, &AttemptModel)| {
            (attempt.worker == worker).then_some(*key)
        };
        let lost_waiting: Vec<AttemptKey> = self.attempts.iter().filter_map(held).collect();
        debug_assert!(lost.iter().all(|key| lost_waiting.contains(key)));
        lost_waiting
            .into_iter()
            .for_each(|key| self.plan(0.01, Pending::AttemptEnds(key, Outcome::Reset)));
        if self.random.chance(0.7) {
            self.entry_changed(worker);
        }
        self.plan(0.75, Pending::WorkerBack(worker));
    }

    fn bring_back(&mut self, worker: usize) {
        let now = seconds(self.now);
        let model = &mut self.workers[worker];
        model.failing = false;
        if model.entry.health == Health::Removed {
            model.entry.started = now - self.scenario.start_delay;
        }
        model.entry.health = Health::Ready;
        self.entry_changed(worker);
    }

    fn watched(&mut self) {
        if self.random.chance(self.scenario.failed_watches) {
            self.tell(&Event::WorkerListReceived {
                kind: ListKind::Failed,
                entries: Vec::new(),
            });
        } else {
            self.list(ListKind::Full);
        }
    }

    // ---- The operator and the sibling process ----

    fn operate(&mut self) {
        let after = self.random.uniform();
        self.plan(after, Pending::Operator);
        let worker = self.random.below(self.workers.len());
        match self.random.below(10) {
            0 if self.scenario.handovers => self.hand_over(),
            0 => {}
            1 => {
                let count = 1 + self.random.below(5) as u32;
                self.tell(&Event::DispatcherCountChanged(count));
            }
            2 => (0..self.workers.len()).for_each(|worker| self.suspend(worker)),
            3..=5 => self.suspend(worker),
            _ => self.sibling_sends(worker),
        }
    }

    fn suspend(&mut self, worker: usize) {
        self.use_worker(worker, false);
        let after = 0.25 + self.random.uniform();
        self.plan(after, Pending::Use(worker));
    }

    fn use_worker(&mut self, worker: usize, again: bool) {
        let worker = self.workers[worker].entry.worker;
        self.tell(&Event::SuspensionChanged {
            worker,
            resume: again,
        });
    }

    fn sibling_sends(&mut self, worker: usize) {
        let request = self.next_sibling;
        self.next_sibling += 1;
        let work = self.random.chance(0.5).then_some(0.125);
        let sent = seconds(self.now) - 0.0625;
        let address = self.workers[worker].entry.worker;
        let news = SiblingEvent::AttemptSent {
            request,
            attempt: 0,
            worker: address,
            slots: 1.0,
            work,
            sent,
        };
        self.tell(&Event::SiblingEvent(news));
        self.plan(0.5, Pending::SiblingEnds(request, worker));
    }

    fn sibling_ends(&mut self, request: u64, worker: usize) {
        let worker = self.workers[worker].entry.worker;
        self.tell(&Event::SiblingEvent(SiblingEvent::AttemptEnded {
            request,
            attempt: 0,
            worker,
        }));
    }

    /// Another process takes over: it is told the past and each open request, before the list or
    /// after it.
    fn hand_over(&mut self) {
        let open = self.open_requests();
        let list_first = self.random.chance(0.5);
        let events = self.decider.hand_over(seconds(self.now), &open);
        if list_first {
            self.list(ListKind::Cached);
        }
        events.iter().for_each(|event| self.tell(event));
        if !list_first {
            self.list(ListKind::Cached);
        }
    }
}

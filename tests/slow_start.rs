//! Simulation of the attempts that all dispatchers together send to workers in slow start, with
//! queues at the workers, uneven traffic, restarts of dispatchers, and retries.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::{settings, worker_id};
use postproxy::decision::dispatcher::Dispatcher;
use postproxy::decision::interface::{
    Action, Entry, Event, ListKind, NewRequest, Outcome, Settings,
};
use postproxy::decision::random::Random;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// Number of slots of a worker.
const SLOTS: usize = 4;
/// Mean run time of a job, in seconds.
const MEAN_RUN_TIME: f64 = 0.5;
/// When workers restart, in seconds.
const RESTART_AT: f64 = 20.0;
/// When the simulation ends, in seconds.
const END: f64 = 36.0;
/// Duration of a burst, in seconds.
const BURST_DURATION: f64 = 6.0;
/// Time that a worker takes to reject a request, in seconds.
const REJECTION_TIME: f64 = 0.01;
/// A budget of fewer attempts than this has the larger tolerance.
const FEW_ATTEMPTS: f64 = 30.0;

/// Returns how far the number of attempts may exceed the budget owing to random variation.
fn tolerance(attempts: f64) -> f64 {
    if attempts < FEW_ATTEMPTS {
        3.0 * attempts.sqrt() + 3.0
    } else {
        2.0 * attempts.sqrt() + 2.0
    }
}

/// A simulated fleet and its traffic.
#[derive(Clone, Copy, Debug)]
struct Case {
    dispatchers: usize,
    workers: u16,
    /// Number of workers that restart at `RESTART_AT`.
    restarted: u16,
    /// Traffic as a share of the capacity of all workers.
    load: f64,
    /// Multiple of the traffic for `BURST_DURATION` seconds from `RESTART_AT`.
    burst: f64,
    /// Share of the dispatchers that restart while the workers warm up.
    restarts: f64,
    /// Share of the attempts that fail or are rejected.
    failing: f64,
    /// Whether failing attempts end after `REJECTION_TIME` instead of the run time of a job.
    fails_fast: bool,
    /// Whether the budget is small: one slot per worker, a short window and a low initial share.
    small_budget: bool,
    /// Number of affinity keys, whose data workers fetch at a price; 0 for none.
    affinity_keys: u64,
    /// Whether each dispatcher sends a request to the first worker right after its restart, which
    /// the check must detect.
    exceeds_budget: bool,
}

#[derive(Debug, PartialEq, PartialOrd)]
enum SimulationEvent {
    Arrival(usize),
    Timer(usize, u32, u64),
    /// An attempt ended: dispatcher, its incarnation, request and worker, attempt, and whether it
    /// failed.
    Done(usize, u32, u64, u16, bool),
    WorkersRestart,
    Restart(usize),
}

#[derive(Default)]
struct Worker {
    started: f64,
    running: usize,
    queue: VecDeque<(usize, u32, u64, u16)>,
    sends: Vec<f64>,
}

struct Simulation {
    case: Case,
    settings: Settings,
    rng: Random,
    now: f64,
    dispatchers: Vec<(Dispatcher, u32)>,
    workers: Vec<Worker>,
    attempts: BTreeMap<(usize, u32, u64), u16>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    next: u64,
}

impl Simulation {
    fn new(case: Case, seed: u64) -> Self {
        let settings = settings(|json| {
            json["balancers"] = case.dispatchers.into();
            json["services"][0]["late-value"] = 0.0.into();
            if case.affinity_keys > 0 {
                json["prices"] = serde_json::json!({"origin": 0.2});
            }
            if case.small_budget {
                json["rules"]["cold-from"] = 0.1.into();
                json["rules"]["fall-multiple"] = 2.0.into();
                json["rules"]["tip-after"] = 1.0.into();
            }
        });
        let simulation = Self {
            case,
            settings,
            rng: Random::new(seed),
            now: 0.0,
            dispatchers: Vec::new(),
            workers: (0..case.workers).map(|_| Worker::default()).collect(),
            attempts: BTreeMap::new(),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        };
        let mut simulation = simulation;
        for d in 0..case.dispatchers {
            simulation
                .dispatchers
                .push((simulation.dispatcher(seed * 1000 + d as u64), 0));
            simulation.list(d, ListKind::Full);
            simulation.schedule(0.0, SimulationEvent::Arrival(d));
        }
        simulation.schedule(RESTART_AT, SimulationEvent::WorkersRestart);
        for d in 0..(case.restarts * case.dispatchers as f64) as usize {
            let at = RESTART_AT + 6.0 * simulation.rng.uniform();
            simulation.schedule(at, SimulationEvent::Restart(d));
        }
        simulation
    }

    fn dispatcher(&self, seed: u64) -> Dispatcher {
        Dispatcher::new(self.settings.clone(), seed).expect("valid settings")
    }

    fn slots(&self) -> usize {
        if self.case.small_budget { 1 } else { SLOTS }
    }

    fn schedule(&mut self, at: f64, event: SimulationEvent) {
        self.next += 1;
        self.heap.push(Reverse(((at * 1e6) as u64, self.next)));
        self.events.insert(self.next, event);
    }

    fn list(&mut self, d: usize, kind: ListKind) {
        let entry = |(n, w): (u16, &Worker)| Entry {
            worker: worker_id(n),
            identity: 1000 + u64::from(n),
            cell: n / 4,
            size: 1.0,
            started: w.started,
            ..Entry::default()
        };
        let entries = (0..).zip(&self.workers).map(entry).collect();
        self.handle(d, &Event::WorkerListReceived { kind, entries });
    }

    fn capacity_share(&self, w: usize) -> f64 {
        let share =
            ((self.now - self.workers[w].started) / self.settings.warm_up_time).clamp(0.0, 1.0);
        let has_restarted = self.workers[w].started > 0.0;
        if has_restarted {
            self.settings.initial_capacity_share
                + (1.0 - self.settings.initial_capacity_share) * share
        } else {
            1.0
        }
    }

    fn handle(&mut self, d: usize, event: &Event) {
        let mut actions = Vec::new();
        self.dispatchers[d].0.handle(self.now, event, &mut actions);
        let incarnation = self.dispatchers[d].1;
        for action in actions {
            match action {
                Action::Timer { at, token } => self.schedule(
                    at.max(self.now + 0.004),
                    SimulationEvent::Timer(d, incarnation, token),
                ),
                Action::Send {
                    request,
                    worker: to,
                    ..
                } => {
                    let w = usize::from(to.address[3]) + 256 * usize::from(to.address[2]);
                    let number = self.attempts.entry((d, incarnation, request)).or_default();
                    let attempt = *number;
                    *number += 1;
                    let now = self.now;
                    self.workers[w].sends.push(now);
                    self.workers[w]
                        .queue
                        .push_back((d, incarnation, request, attempt));
                    self.start_queued(w);
                }
                _ => {}
            }
        }
    }

    fn start_queued(&mut self, w: usize) {
        let speed = self.capacity_share(w);
        while self.workers[w].running < self.slots()
            && let Some((d, incarnation, request, attempt)) = self.workers[w].queue.pop_front()
        {
            self.workers[w].running += 1;
            let failed = self.rng.uniform() < self.case.failing;
            let takes = if failed && self.case.fails_fast {
                REJECTION_TIME
            } else {
                -(1.0 - self.rng.uniform()).ln() * MEAN_RUN_TIME / speed
            };
            self.schedule(
                self.now + takes,
                SimulationEvent::Done(d, incarnation, request * 1024 + w as u64, attempt, failed),
            );
        }
    }

    fn apply(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival(dispatcher) => self.submit_request(dispatcher),
            SimulationEvent::Timer(dispatcher, incarnation, token) => {
                if incarnation == self.dispatchers[dispatcher].1 {
                    self.handle(dispatcher, &Event::TimerExpired { token });
                }
            }
            SimulationEvent::Done(dispatcher, incarnation, request, attempt, failed) => {
                self.end_attempt(dispatcher, incarnation, request, attempt, failed);
            }
            SimulationEvent::WorkersRestart => self.restart_workers(),
            SimulationEvent::Restart(dispatcher) => self.restart_dispatcher(dispatcher),
        }
    }

    fn submit_request(&mut self, dispatcher: usize) {
        let gap = -(1.0 - self.rng.uniform()).ln() / self.arrival_rate(dispatcher);
        self.schedule(self.now + gap, SimulationEvent::Arrival(dispatcher));
        self.next += 1;
        let id = self.next;
        let request = NewRequest {
            id,
            affinity_key: self.draw_affinity_key(),
            time_limit: 5.0,
            expected_work: Some(MEAN_RUN_TIME),
            slots: 1.0,
            ..NewRequest::default()
        };
        self.handle(dispatcher, &Event::RequestReceived(request));
    }

    /// Returns the number of requests per second at a dispatcher. Every fifth dispatcher has four
    /// times the traffic of each of the others.
    fn arrival_rate(&self, dispatcher: usize) -> f64 {
        let weight = |number: usize| if number.is_multiple_of(5) { 4.0 } else { 1.0 };
        let total =
            self.case.load * f64::from(self.case.workers) * self.slots() as f64 / MEAN_RUN_TIME;
        let weights: f64 = (0..self.case.dispatchers).map(weight).sum();
        let is_burst = (RESTART_AT..RESTART_AT + BURST_DURATION).contains(&self.now);
        let multiple = if is_burst { self.case.burst } else { 1.0 };
        total * multiple * weight(dispatcher) / weights
    }

    /// Draws an affinity key. The first one has about as many requests as all others together.
    fn draw_affinity_key(&mut self) -> u64 {
        let keys = self.case.affinity_keys;
        if keys == 0 {
            return 0;
        }
        if self.rng.uniform() < 0.5 {
            1
        } else {
            1 + self.next % keys
        }
    }

    fn end_attempt(
        &mut self,
        dispatcher: usize,
        incarnation: u32,
        request_and_worker: u64,
        attempt: u16,
        failed: bool,
    ) {
        let request = request_and_worker / 1024;
        let number = (request_and_worker % 1024) as usize;
        self.workers[number].running -= 1;
        let worker = &self.workers[number];
        let report = vec![
            worker.queue.len() as f32,
            (self.slots() - worker.running) as f32,
        ];
        if incarnation == self.dispatchers[dispatcher].1 {
            let outcome = match failed {
                true if self.rng.uniform() < 0.5 => Outcome::Rejected,
                true => Outcome::Error,
                false => Outcome::Succeeded,
            };
            let event = Event::AttemptEnded {
                request,
                attempt,
                worker: worker_id(number as u16),
                outcome,
                elapsed: 0.1,
                answered: outcome == Outcome::Succeeded,
                report,
            };
            self.handle(dispatcher, &event);
        }
        self.start_queued(number);
    }

    fn restart_workers(&mut self) {
        for worker in &mut self.workers[..usize::from(self.case.restarted)] {
            worker.started = self.now;
            worker.queue = VecDeque::new();
            worker.sends.clear();
        }
        (0..self.dispatchers.len()).for_each(|number| self.list(number, ListKind::Full));
        if self.case.exceeds_budget {
            let sends = std::iter::repeat_n(self.now, self.case.dispatchers);
            self.workers[0].sends.extend(sends);
        }
    }

    fn restart_dispatcher(&mut self, number: usize) {
        let incarnation = self.dispatchers[number].1 + 1;
        let seed = self.next + u64::from(incarnation) * 77;
        self.dispatchers[number] = (self.dispatcher(seed), incarnation);
        self.list(number, ListKind::Cached);
    }

    /// Runs the simulation. Returns, for the window with the most attempts relative to the limit,
    /// the ratio, the number of attempts and the limit.
    fn run_to_end(mut self) -> (f64, usize, f64) {
        while let Some(Reverse((at, number))) = self.heap.pop() {
            self.now = at as f64 / 1e6;
            if self.now > END {
                break;
            }
            let event = self.events.remove(&number).expect("it was set");
            self.apply(event);
        }
        let mut worst = (0.0, 0, 0.0);
        for w in 0..usize::from(self.case.restarted) {
            for (i, at) in self.workers[w].sends.iter().enumerate() {
                self.now = *at;
                // Attempts at a worker that has warmed up are not limited, and there are many if it
                // rejects most of them immediately.
                if self.case.fails_fast && self.capacity_share(w) >= 1.0 {
                    continue;
                }
                let budget =
                    self.settings.overload_multiple * self.capacity_share(w) * self.slots() as f64
                        / MEAN_RUN_TIME
                        * self.settings.overload_window;
                let limit = budget + tolerance(budget);
                let since = at - self.settings.overload_window;
                let sent = self.workers[w].sends[..=i]
                    .iter()
                    .filter(|s| **s > since)
                    .count();
                if sent as f64 / limit > worst.0 {
                    worst = (sent as f64 / limit, sent, limit);
                }
            }
        }
        worst
    }
}

/// Guards against limits that are adequate for one dispatcher but not for the sum of many: permits
/// that add up, a minimum budget per dispatcher, budgets that are reset when a dispatcher restarts,
/// and retries that are not counted.
#[test]
fn slow_start_budget_holds_for_the_sum_of_all_dispatchers() {
    let mut worst = 0.0f64;
    for dispatchers in [2, 20, 30, 300] {
        for (workers, restarted, small_budget) in [(12, 6, false), (40, 24, false), (24, 8, true)] {
            let burst = 1.0;
            for (load, restarts, failing) in [(0.6, 0.7, 0.1), (1.4, 0.5, 0.1)] {
                let case = Case {
                    dispatchers,
                    workers,
                    restarted,
                    load,
                    burst,
                    restarts,
                    failing,
                    fails_fast: false,
                    small_budget,
                    affinity_keys: 0,
                    exceeds_budget: false,
                };
                let (share, sent, limit) =
                    Simulation::new(case, 7 + dispatchers as u64).run_to_end();
                worst = worst.max(share);
                assert!(share <= 1.0, "{case:?}: {sent} attempts, limit {limit:.1}");
            }
        }
    }
    assert!(
        worst > 0.3,
        "workers in slow start received few attempts: {worst}"
    );
}

/// The budget holds for few and for many dispatchers, with a burst of traffic at the start of the
/// workers, and with workers that reject requests or fail immediately, so that hardly any attempts
/// are in flight at a time.
#[test]
fn slow_start_budget_holds_for_few_dispatchers_and_for_many() {
    let mut cases = Vec::new();
    for dispatchers in [2, 5, 20, 40] {
        for (load, burst, failing) in [(1.0, 1.0, 0.9), (0.9, 3.0, 0.1), (0.6, 1.5, 0.5)] {
            for small_budget in [false, true] {
                let (workers, restarted, restarts) = (12, 6, 0.0);
                cases.push(Case {
                    dispatchers,
                    workers,
                    restarted,
                    load,
                    burst,
                    restarts,
                    failing,
                    fails_fast: true,
                    small_budget,
                    affinity_keys: 0,
                    exceeds_budget: false,
                });
            }
        }
    }
    for case in cases {
        for seed in 1..=2 {
            let (share, sent, limit) = Simulation::new(case, seed).run_to_end();
            assert!(
                share <= 1.0,
                "{case:?}, seed {seed}: {sent} attempts, limit {limit:.1}"
            );
        }
    }
}

/// The budget holds for a worker that is preferred by at least half of all requests at every
/// dispatcher.
#[test]
fn slow_start_budget_holds_at_a_worker_that_many_requests_prefer() {
    let mut worst = 0.0f64;
    for dispatchers in [2, 5, 20, 40] {
        for affinity_keys in [1, 2, 12] {
            for (load, burst, failing) in [(0.6, 1.0, 0.1), (0.9, 3.0, 0.1)] {
                let case = Case {
                    dispatchers,
                    workers: 12,
                    restarted: 12,
                    load,
                    burst,
                    restarts: 0.3,
                    failing,
                    fails_fast: false,
                    small_budget: false,
                    affinity_keys,
                    exceeds_budget: false,
                };
                let (share, sent, limit) = Simulation::new(case, 3 + affinity_keys).run_to_end();
                worst = worst.max(share);
                assert!(share <= 1.0, "{case:?}: {sent} attempts, limit {limit:.1}");
            }
        }
    }
    assert!(
        worst > 0.2,
        "workers in slow start received few attempts: {worst}"
    );
}

/// The check fails if each of thirty dispatchers sends one request at the same time.
#[test]
fn check_detects_a_worker_in_slow_start_that_receives_too_much() {
    let (dispatchers, workers, restarted, load, small_budget) = (30, 24, 2, 0.9, true);
    let case = Case {
        dispatchers,
        workers,
        restarted,
        load,
        burst: 1.0,
        restarts: 0.0,
        failing: 0.0,
        fails_fast: false,
        small_budget,
        affinity_keys: 0,
        exceeds_budget: true,
    };
    let (share, sent, limit) = Simulation::new(case, 7).run_to_end();
    assert!(share > 1.0, "{sent} attempts, limit {limit:.1}");
}

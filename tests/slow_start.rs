//! What all dispatchers together send to workers that have just started: in told time, with workers that run what they get,
//! uneven traffic, restarts of dispatchers in the middle, and further attempts counted.

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

/// Slots of a worker, and mean running time of a job, in seconds.
const SLOTS: usize = 4;
const WORK: f64 = 0.5;
/// When workers start, and how long is looked on.
const START: f64 = 20.0;
const END: f64 = 36.0;
/// How long a burst lasts, in seconds.
const BURST: f64 = 6.0;
/// How long it takes a worker to turn a job away, in seconds.
const AT_ONCE: f64 = 0.01;
/// A budget of fewer calls than this has the wider slack for chance.
const FEW_CALLS: f64 = 30.0;

/// What chance may add to a worker's budget of so many calls.
fn slack(calls: f64) -> f64 {
    if calls < FEW_CALLS {
        3.0 * calls.sqrt() + 3.0
    } else {
        2.0 * calls.sqrt() + 2.0
    }
}

/// Who sends, and to whom.
#[derive(Clone, Copy, Debug)]
struct Case {
    dispatchers: usize,
    workers: u16,
    /// So many of the workers are replaced by cold ones at one moment.
    cold: u16,
    /// Traffic against what all workers can do warm.
    load: f64,
    /// Traffic rises to so many times as much for some seconds just when the workers start.
    burst: f64,
    /// Dispatchers that begin anew while the workers are cold, by shares.
    restarts: f64,
    /// Attempts that end in an error or are turned away.
    failing: f64,
    /// What does not end well ends at once: it is turned away, or breaks.
    at_once: bool,
    /// The budget is small: a slot a worker, a short window, cold at a tenth.
    small: bool,
    /// Jobs are about one of so many subjects, which workers hold at a price; 0 where they are about none.
    subjects: u64,
    /// Each dispatcher sends its first job to the worker that has just started: the check has to speak.
    greedy: bool,
}

#[derive(Debug, PartialEq, PartialOrd)]
enum What {
    Arrival(usize),
    Timer(usize, u32, u64),
    /// A job has ended, well or not.
    Done(usize, u32, u64, u16, bool),
    Cold,
    Restart(usize),
}

#[derive(Default)]
struct Worker {
    started: f64,
    running: usize,
    queue: VecDeque<(usize, u32, u64, u16)>,
    sends: Vec<f64>,
}

struct World {
    case: Case,
    set: Settings,
    rng: Random,
    now: f64,
    dispatchers: Vec<(Dispatcher, u32)>,
    workers: Vec<Worker>,
    attempts: BTreeMap<(usize, u32, u64), u16>,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, What>,
    next: u64,
}

impl World {
    fn new(case: Case, seed: u64) -> Self {
        let set = settings(|json| {
            json["balancers"] = case.dispatchers.into();
            json["services"][0]["late-value"] = 0.0.into();
            if case.subjects > 0 {
                json["prices"] = serde_json::json!({"origin": 0.2});
            }
            if case.small {
                json["rules"]["cold-from"] = 0.1.into();
                json["rules"]["fall-multiple"] = 2.0.into();
                json["rules"]["tip-after"] = 1.0.into();
            }
        });
        let world = Self {
            case,
            set,
            rng: Random::new(seed),
            now: 0.0,
            dispatchers: Vec::new(),
            workers: (0..case.workers).map(|_| Worker::default()).collect(),
            attempts: BTreeMap::new(),
            heap: BinaryHeap::new(),
            what: BTreeMap::new(),
            next: 0,
        };
        let mut world = world;
        for d in 0..case.dispatchers {
            world
                .dispatchers
                .push((world.dispatcher(seed * 1000 + d as u64), 0));
            world.list(d, ListKind::Full);
            world.at(0.0, What::Arrival(d));
        }
        world.at(START, What::Cold);
        for d in 0..(case.restarts * case.dispatchers as f64) as usize {
            let at = START + 6.0 * world.rng.uniform();
            world.at(at, What::Restart(d));
        }
        world
    }

    fn dispatcher(&self, seed: u64) -> Dispatcher {
        Dispatcher::new(self.set.clone(), seed).expect("sound settings")
    }

    fn slots(&self) -> usize {
        if self.case.small { 1 } else { SLOTS }
    }

    fn at(&mut self, at: f64, what: What) {
        self.next += 1;
        self.heap.push(Reverse(((at * 1e6) as u64, self.next)));
        self.what.insert(self.next, what);
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
        self.tell(d, &Event::WorkerListReceived { kind, entries });
    }

    fn warmth(&self, w: usize) -> f64 {
        let share = ((self.now - self.workers[w].started) / self.set.warm_up_time).clamp(0.0, 1.0);
        let cold = self.workers[w].started > 0.0;
        if cold {
            self.set.initial_capacity_share + (1.0 - self.set.initial_capacity_share) * share
        } else {
            1.0
        }
    }

    fn tell(&mut self, d: usize, event: &Event) {
        let mut actions = Vec::new();
        self.dispatchers[d].0.handle(self.now, event, &mut actions);
        let life = self.dispatchers[d].1;
        for action in actions {
            match action {
                Action::Timer { at, token } => {
                    self.at(at.max(self.now + 0.004), What::Timer(d, life, token))
                }
                Action::Send {
                    request,
                    worker: to,
                    ..
                } => {
                    let w = usize::from(to.address[3]) + 256 * usize::from(to.address[2]);
                    let number = self.attempts.entry((d, life, request)).or_default();
                    let attempt = *number;
                    *number += 1;
                    let now = self.now;
                    self.workers[w].sends.push(now);
                    self.workers[w].queue.push_back((d, life, request, attempt));
                    self.run(w);
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, w: usize) {
        let speed = self.warmth(w);
        while self.workers[w].running < self.slots()
            && let Some((d, life, request, attempt)) = self.workers[w].queue.pop_front()
        {
            self.workers[w].running += 1;
            let failed = self.rng.uniform() < self.case.failing;
            let takes = if failed && self.case.at_once {
                AT_ONCE
            } else {
                -(1.0 - self.rng.uniform()).ln() * WORK / speed
            };
            self.at(
                self.now + takes,
                What::Done(d, life, request * 1024 + w as u64, attempt, failed),
            );
        }
    }

    fn step(&mut self, what: What) {
        match what {
            What::Arrival(d) => {
                // One in five has as much as the other four.
                let all =
                    self.case.load * f64::from(self.case.workers) * self.slots() as f64 / WORK;
                let weight = if d % 5 == 0 { 4.0 } else { 1.0 };
                let sum: f64 = (0..self.case.dispatchers)
                    .map(|d| if d % 5 == 0 { 4.0 } else { 1.0 })
                    .sum();
                let bursts = (START..START + BURST).contains(&self.now);
                let times = if bursts { self.case.burst } else { 1.0 };
                let gap = -(1.0 - self.rng.uniform()).ln() / (all * times * weight / sum);
                self.at(self.now + gap, What::Arrival(d));
                self.next += 1;
                let (request, hint) = (self.next, Some(WORK));
                // The first subject has as much as all others.
                let of = self.case.subjects;
                let one = if of > 0 && self.rng.uniform() < 0.5 {
                    0
                } else {
                    self.next % of.max(1)
                };
                let key = if of > 0 { 1 + one } else { 0 };
                let new = NewRequest {
                    id: request,
                    subject: key,
                    time_limit: 5.0,
                    expected_work: hint,
                    slots: 1.0,
                    ..NewRequest::default()
                };
                self.tell(d, &Event::RequestReceived(new));
            }
            What::Timer(d, life, token) if life == self.dispatchers[d].1 => {
                self.tell(d, &Event::TimerExpired { token });
            }
            What::Done(d, life, request, attempt, failed) => {
                let (request, w) = (request / 1024, (request % 1024) as usize);
                self.workers[w].running -= 1;
                let held = &self.workers[w];
                let report = vec![
                    held.queue.len() as f32,
                    (self.slots() - held.running) as f32,
                ];
                if life == self.dispatchers[d].1 {
                    let outcome = match failed {
                        true if self.rng.uniform() < 0.5 => Outcome::Rejected,
                        true => Outcome::Error,
                        false => Outcome::Succeeded,
                    };
                    let (worker, closed) = (worker_id(w as u16), outcome == Outcome::Succeeded);
                    let event = Event::AttemptEnded {
                        request,
                        attempt,
                        worker,
                        outcome,
                        elapsed: 0.1,
                        answered: closed,
                        report,
                    };
                    self.tell(d, &event);
                }
                self.run(w);
            }
            What::Cold => {
                for w in 0..usize::from(self.case.cold) {
                    (self.workers[w].started, self.workers[w].queue) = (self.now, VecDeque::new());
                    self.workers[w].sends.clear();
                }
                (0..self.dispatchers.len()).for_each(|d| self.list(d, ListKind::Full));
                let each = if self.case.greedy {
                    self.case.dispatchers
                } else {
                    0
                };
                self.workers[0]
                    .sends
                    .extend(std::iter::repeat_n(self.now, each));
            }
            What::Restart(d) => {
                let life = self.dispatchers[d].1 + 1;
                self.dispatchers[d] = (self.dispatcher(self.next + u64::from(life) * 77), life);
                self.list(d, ListKind::Cached);
            }
            What::Timer(..) => {}
        }
    }

    /// The window in which a cold worker got most against what is allowed: how many, and how many may come.
    fn play(mut self) -> (f64, usize, f64) {
        while let Some(Reverse((at, number))) = self.heap.pop() {
            self.now = at as f64 / 1e6;
            if self.now > END {
                break;
            }
            let what = self.what.remove(&number).expect("it was set");
            self.step(what);
        }
        let mut worst = (0.0, 0, 0.0);
        for w in 0..usize::from(self.case.cold) {
            for (i, at) in self.workers[w].sends.iter().enumerate() {
                self.now = *at;
                // With workers that turn nearly all away at once, what a warm one gets is bound by nothing.
                if self.case.at_once && self.warmth(w) >= 1.0 {
                    continue;
                }
                let budget = self.set.overload_multiple * self.warmth(w) * self.slots() as f64
                    / WORK
                    * self.set.overload_window;
                let most = budget + slack(budget);
                let from = at - self.set.overload_window;
                let sent = self.workers[w].sends[..=i]
                    .iter()
                    .filter(|s| **s > from)
                    .count();
                if sent as f64 / most > worst.0 {
                    worst = (sent as f64 / most, sent, most);
                }
            }
        }
        worst
    }
}

/// Guards against what is harmless in one process and pushes a cold worker over in thirty: passes of each that add up, 'at
/// least one' for each, budgets that begin anew with a restart, and further attempts that nobody counts.
#[test]
fn slow_start_budget_holds_for_the_sum_of_all_dispatchers() {
    let mut worst = 0.0f64;
    for dispatchers in [2, 20, 30, 300] {
        for (workers, cold, small) in [(12, 6, false), (40, 24, false), (24, 8, true)] {
            let burst = 1.0;
            for (load, restarts, failing) in [(0.6, 0.7, 0.1), (1.4, 0.5, 0.1)] {
                let case = Case {
                    dispatchers,
                    workers,
                    cold,
                    load,
                    burst,
                    restarts,
                    failing,
                    at_once: false,
                    small,
                    subjects: 0,
                    greedy: false,
                };
                let (share, sent, most) = World::new(case, 7 + dispatchers as u64).play();
                worst = worst.max(share);
                assert!(
                    share <= 1.0,
                    "{case:?}: {sent} sends where {most:.1} may come"
                );
            }
        }
    }
    assert!(worst > 0.3, "cold workers were sent to: {worst}");
}

/// Guards against a budget that holds for a full fleet alone: few dispatchers or many, a burst in the moment in which workers start, and
/// workers that turn jobs away or break at once, so that hardly a job is out there at any moment.
#[test]
fn slow_start_budget_holds_for_few_dispatchers_and_for_many() {
    let mut cases = Vec::new();
    for dispatchers in [2, 5, 20, 40] {
        for (load, burst, failing) in [(1.0, 1.0, 0.9), (0.9, 3.0, 0.1), (0.6, 1.5, 0.5)] {
            for small in [false, true] {
                let (workers, cold, restarts) = (12, 6, 0.0);
                cases.push(Case {
                    dispatchers,
                    workers,
                    cold,
                    load,
                    burst,
                    restarts,
                    failing,
                    at_once: true,
                    small,
                    subjects: 0,
                    greedy: false,
                });
            }
        }
    }
    for case in cases {
        for seed in 1..=2 {
            let (share, sent, most) = World::new(case, seed).play();
            assert!(
                share <= 1.0,
                "{case:?}, seed {seed}: {sent} sends where {most:.1} may come"
            );
        }
    }
}

/// Guards against a cold worker that is the one which half of all jobs prefer: all dispatchers prefer the same one.
#[test]
fn slow_start_budget_holds_at_a_worker_that_all_subjects_prefer() {
    let mut worst = 0.0f64;
    for dispatchers in [2, 5, 20, 40] {
        for subjects in [1, 2, 12] {
            for (load, burst, failing) in [(0.6, 1.0, 0.1), (0.9, 3.0, 0.1)] {
                let case = Case {
                    dispatchers,
                    workers: 12,
                    cold: 12,
                    load,
                    burst,
                    restarts: 0.3,
                    failing,
                    at_once: false,
                    small: false,
                    subjects,
                    greedy: false,
                };
                let (share, sent, most) = World::new(case, 3 + subjects).play();
                worst = worst.max(share);
                assert!(
                    share <= 1.0,
                    "{case:?}: {sent} sends where {most:.1} may come"
                );
            }
        }
    }
    assert!(worst > 0.2, "cold workers were sent to: {worst}");
}

/// Guards against a check that sees nothing: one job of each of thirty is thirty.
#[test]
fn check_detects_a_worker_in_slow_start_that_receives_too_much() {
    let (dispatchers, workers, cold, load, small) = (30, 24, 2, 0.9, true);
    let case = Case {
        dispatchers,
        workers,
        cold,
        load,
        burst: 1.0,
        restarts: 0.0,
        failing: 0.0,
        at_once: false,
        small,
        subjects: 0,
        greedy: true,
    };
    let (share, sent, most) = World::new(case, 7).play();
    assert!(share > 1.0, "{sent} sends where {most:.1} may come");
}

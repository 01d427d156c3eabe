//! Tests of workers that operators have suspended, in the decision module: random worker lists,
//! load reports and suspensions, and how a resumed worker gets requests again. Seeds are fixed.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{Action, Dispatcher, Entry, Event, Health, ListKind, Outcome, WorkerId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

fn suspend(harness: &mut DispatcherHarness, n: u16) -> Vec<Action> {
    set_suspension(harness, n, false)
}

fn resume(harness: &mut DispatcherHarness, n: u16) -> Vec<Action> {
    set_suspension(harness, n, true)
}

fn set_suspension(harness: &mut DispatcherHarness, n: u16, resume: bool) -> Vec<Action> {
    harness.handle(Event::SuspensionChanged {
        worker: worker_id(n),
        resume,
    })
}

/// An attempt that has not ended.
struct OpenAttempt {
    request: u64,
    number: u16,
    worker: WorkerId,
}

/// A dispatcher with six workers under random events.
struct RandomRun {
    seed: u64,
    rng: Pcg64Mcg,
    harness: DispatcherHarness,
    /// Expiry times and tokens of the timers that are set.
    timers: Vec<(f64, u64)>,
    suspended: BTreeSet<WorkerId>,
    attempts: Vec<OpenAttempt>,
    next_request: u64,
    /// Requests that the dispatcher has neither rejected nor failed.
    unanswered: BTreeSet<u64>,
    /// Attempts sent so far.
    sent: usize,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            harness: DispatcherHarness::new(settings(|_| {}), 6),
            timers: Vec::new(),
            suspended: BTreeSet::new(),
            attempts: Vec::new(),
            next_request: 1,
            unanswered: BTreeSet::new(),
            sent: 0,
        }
    }

    fn random_below(&mut self, limit: u32) -> u32 {
        self.rng.next_u32() % limit
    }

    /// Passes a random event to the dispatcher.
    fn step(&mut self) {
        let kind = self.random_below(10);
        let n = self.random_below(6) as u16;
        let flip = self.random_below(2) == 0;
        let actions = match kind {
            0 | 1 => self.change_worker(n, flip || kind == 1 && self.suspended.len() > 3),
            2 => self.replace_list(n, flip),
            3 => self.update_entry(n, flip),
            4 | 5 if !self.attempts.is_empty() => self.end_attempt(),
            6 => {
                let until = self.harness.now + f64::from(self.random_below(100)) / 100.0;
                self.harness.run_until(until, &mut self.timers)
            }
            _ => {
                let request = self.next_request;
                self.next_request += 1;
                self.unanswered.insert(request);
                let class = self.random_below(3) as u8;
                self.harness.submit(request, class)
            }
        };
        self.check(&actions);
    }

    fn change_worker(&mut self, n: u16, resumes: bool) -> Vec<Action> {
        if resumes {
            self.suspended.remove(&worker_id(n));
            resume(&mut self.harness, n)
        } else {
            self.suspended.insert(worker_id(n));
            suspend(&mut self.harness, n)
        }
    }

    fn replace_list(&mut self, n: u16, full: bool) -> Vec<Action> {
        let kind = if full {
            ListKind::Full
        } else {
            ListKind::Cached
        };
        let entries = (0..6).filter(|m| full || *m != n).map(entry).collect();
        self.harness.receive_list(kind, entries)
    }

    fn update_entry(&mut self, n: u16, restarted: bool) -> Vec<Action> {
        let states = [Health::Ready, Health::Draining, Health::Removed];
        let health = states[self.random_below(3) as usize];
        let started = if restarted { self.harness.now } else { 0.0 };
        let entry = Entry {
            started,
            ..entry_with_health(n, health)
        };
        self.harness.receive_list(ListKind::Delta, vec![entry])
    }

    fn end_attempt(&mut self) -> Vec<Action> {
        let index = self.random_below(self.attempts.len() as u32) as usize;
        let attempt = self.attempts.swap_remove(index);
        let outcomes = [
            Outcome::Succeeded,
            Outcome::Rejected,
            Outcome::Reset,
            Outcome::CancelledLocally,
        ];
        let outcome = outcomes[self.random_below(4) as usize];
        let report = vec![self.random_below(9) as f32, self.random_below(5) as f32];
        self.harness.end_attempt_with_report(
            attempt.request,
            attempt.number,
            attempt.worker,
            outcome,
            report,
        )
    }

    /// Checks that nothing was sent to a suspended worker, and that each request is answered at
    /// most once.
    fn check(&mut self, actions: &[Action]) {
        let seed = self.seed;
        self.timers.extend(timers_set(actions));
        for worker in workers_sent_to(actions) {
            assert!(
                !self.suspended.contains(&worker),
                "seed {seed}: sent to {worker:?}, which is suspended"
            );
            self.sent += 1;
        }
        for action in actions {
            match action {
                Action::Send {
                    request, worker, ..
                } => {
                    let earlier = self.attempts.iter();
                    let number = earlier.filter(|a| a.request == *request).count() as u16;
                    self.attempts.push(OpenAttempt {
                        request: *request,
                        number,
                        worker: *worker,
                    });
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    assert!(
                        self.unanswered.remove(request),
                        "seed {seed}: a second answer to {request}"
                    );
                }
                _ => {}
            }
        }
    }
}

#[test]
fn nothing_is_sent_to_a_suspended_worker_in_any_order_of_events() {
    let mut sent = 0;
    for seed in 0..60 {
        let mut run = RandomRun::new(seed);
        for _ in 0..400 {
            run.step();
        }
        sent += run.sent;
    }
    assert!(sent > 2000, "only {sent} attempts were sent");
}

/// A request is not held until its deadline if operators have suspended all workers that could run
/// it.
#[test]
fn requests_are_rejected_at_once_if_all_workers_are_suspended() {
    let mut harness = DispatcherHarness::new(settings(|_| {}), 2);
    suspend(&mut harness, 0);
    suspend(&mut harness, 1);
    assert!(is_rejected(&harness.submit(1, 0)) && is_rejected(&harness.submit(2, 2)));
    resume(&mut harness, 0);
    assert_eq!(workers_sent_to(&harness.submit(3, 0)), [worker_id(0)]);
}

#[test]
fn held_request_is_rejected_at_once_when_the_last_worker_is_suspended() {
    let mut harness = DispatcherHarness::new(settings(|_| {}), 2);
    harness.receive_list(
        ListKind::Delta,
        vec![entry_with_health(1, Health::Draining)],
    );
    let actions = harness.submit(1, 0);
    assert_eq!(workers_sent_to(&actions), [worker_id(0)]);
    assert!(
        workers_sent_to(&harness.end_attempt(1, 0, worker_id(0), Outcome::Rejected)).len() <= 1
    );
    let actions = suspend(&mut harness, 0);
    let later = harness.end_attempt(1, 1, worker_id(0), Outcome::CancelledLocally);
    assert!(
        is_rejected(&actions) || is_rejected(&later),
        "{actions:?} {later:?}"
    );
}

/// How worker 3 became available.
#[derive(Clone, Copy)]
enum Arrival {
    /// It was suspended and resumed.
    Resumed,
    /// The worker list says that it has started.
    Started,
}

/// Returns the number of requests that worker 3 gets in the 5 s after it became available, from
/// this number of dispatchers, each of which receives one request per second.
fn requests_in_5_s(dispatchers: u16, seed: u64, arrival: Arrival) -> usize {
    let mut sent = 0;
    for n in 0..dispatchers {
        let settings = settings(|s| s["balancers"] = dispatchers.into());
        let dispatcher =
            Dispatcher::new(settings, seed * 1000 + u64::from(n)).expect("a dispatcher");
        let mut harness = DispatcherHarness {
            dispatcher,
            now: 100.0,
        };
        harness.receive_list(ListKind::Full, (0..8).map(entry).collect());
        match arrival {
            Arrival::Resumed => {
                suspend(&mut harness, 3);
                harness.now += 5.0;
                resume(&mut harness, 3);
                harness.receive_list(ListKind::Delta, vec![entry(3)]);
            }
            Arrival::Started => {
                harness.now += 5.0;
                let started = Entry {
                    started: harness.now,
                    ..entry(3)
                };
                harness.receive_list(ListKind::Delta, vec![started]);
            }
        }
        for request in 1..=5 {
            harness.now += 1.0;
            let to = workers_sent_to(&harness.submit(request, 2))[0];
            sent += usize::from(to == worker_id(3));
            harness.end_attempt(request, 0, to, Outcome::Succeeded);
        }
    }
    sent
}

/// A resumed worker must not stay idle because nothing is known of its load. It is treated as cold,
/// since it may have been restarted, and all dispatchers together send it about one request more
/// than a cold worker gets.
#[test]
fn resumed_worker_gets_about_one_extra_request_of_all_dispatchers() {
    let rounds = 40;
    let average = |arrival| {
        let total: usize = (0..rounds)
            .map(|seed| requests_in_5_s(12, seed, arrival))
            .sum();
        total as f64 / rounds as f64
    };
    let resumed = average(Arrival::Resumed);
    let started = average(Arrival::Started);
    assert!(
        (0.4..1.6).contains(&(resumed - started)),
        "{resumed} against {started}"
    );
}

#[test]
fn only_dispatcher_sends_to_a_resumed_worker_within_3_s() {
    for seed in 0..20 {
        let settings = settings(|s| s["balancers"] = 1.into());
        let dispatcher = Dispatcher::new(settings, seed).expect("a dispatcher");
        let mut harness = DispatcherHarness {
            dispatcher,
            now: 100.0,
        };
        harness.receive_list(ListKind::Full, (0..8).map(entry).collect());
        suspend(&mut harness, 3);
        resume(&mut harness, 3);
        let mut first_sent = None;
        for request in 1..60 {
            harness.now += 0.05;
            let to = workers_sent_to(&harness.submit(request, 2));
            if to.contains(&worker_id(3)) {
                first_sent = first_sent.or(Some(harness.now - 100.0));
            }
            harness.end_attempt(request, 0, to[0], Outcome::Succeeded);
        }
        assert!(first_sent.is_some(), "seed {seed}");
    }
}

/// Returns how many of 40 dispatchers send a request to a resumed worker in the period in which it
/// gets the extra request. `count` is the number of dispatchers that is reported to each of them;
/// `None` for no report.
fn dispatchers_that_send(count: Option<u32>) -> usize {
    let sends_to_resumed = |seed: u64| {
        let mut harness = DispatcherHarness::new(settings(|_| {}), 6);
        harness.dispatcher = Dispatcher::new(settings(|_| {}), seed).expect("valid settings");
        harness.receive_list(ListKind::Full, (0..6).map(entry).collect());
        if let Some(count) = count {
            harness.handle(Event::DispatcherCountChanged(count));
        }
        suspend(&mut harness, 0);
        resume(&mut harness, 0);
        (0..12u16).any(|n| {
            harness.now += 0.3;
            let request = u64::from(n) + 1;
            let to = workers_sent_to(&harness.submit(request, 0));
            for to in &to {
                harness.end_attempt(request, 0, *to, Outcome::Succeeded);
            }
            to.contains(&worker_id(0))
        })
    };
    (0..40).filter(|seed| sends_to_resumed(*seed)).count()
}

/// Each of four dispatchers sends the extra request to a resumed worker with a probability of one
/// in four, a single one always, one of a thousand hardly ever. The number in the settings applies
/// only while no other is known.
#[test]
fn extra_request_depends_on_the_known_number_of_dispatchers() {
    let one = dispatchers_that_send(Some(1));
    let four = dispatchers_that_send(Some(4));
    let thousand = dispatchers_that_send(Some(1000));
    assert_eq!(dispatchers_that_send(None), four, "the settings say four");
    assert!(
        one == 40 && one > four && four > thousand,
        "{one} {four} {thousand}"
    );
}

//! Checks the rules of the dispatcher over generated event sequences, with a checker that shares no
//! code with the decision module.
//!
//! Workers and their queues are not modelled. The generator draws legal events with a fixed seed.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{
    Action, Dispatcher, Entry, Event, Health, ListKind, NewRequest, Outcome, ProgressNote, WorkerId,
};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const DRAIN_GRACE_SECONDS: f64 = 0.5;
const ANSWER_SLACK_SECONDS: f64 = 0.016;
const DEDUP_WINDOW_SECONDS: f64 = 4.0;
// The retry budget: minimum, ratio to the admitted requests, and window in seconds.
const MIN_RETRIES: usize = 3;
const RETRY_RATIO: f64 = 0.25;
const RETRY_WINDOW_SECONDS: f64 = 2.0;

/// The optional rules that apply in a sequence.
#[derive(Clone, Copy)]
struct OptionalRules {
    placement: bool,
    retry_budget: bool,
    rejected_may_have_run: bool,
}

impl OptionalRules {
    fn of(seed: u64) -> Self {
        Self {
            placement: seed.is_multiple_of(2),
            retry_budget: (seed / 2).is_multiple_of(2),
            rejected_may_have_run: (seed / 4).is_multiple_of(2),
        }
    }
}

/// Returns the machine kind of worker `n`, one of two.
fn kind(n: u16) -> u16 {
    n % 2
}

/// Returns the zone of worker `n`, one of three.
fn zone(n: u16) -> u8 {
    (n / 4) as u8
}

fn with_placement(entry: Entry) -> Entry {
    let n = entry.worker.address[3].into();
    Entry {
        kind: kind(n),
        zone: zone(n),
        ..entry
    }
}

/// The subject of the checker: a dispatcher, or a wrapper that violates a rule on purpose.
trait Decider {
    fn handle(&mut self, now: f64, event: &Event, out: &mut Vec<Action>);
}

impl Decider for Dispatcher {
    fn handle(&mut self, now: f64, event: &Event, out: &mut Vec<Action>) {
        Dispatcher::handle(self, now, event, out);
    }
}

/// A violation of a rule.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Violation {
    NoAnswer,
    SecondAnswer,
    RetriesNonIdempotent,
    SendsToDraining,
    IgnoresPlacement,
    SendsTwice,
    TreatsRejectedAsNeverRan,
}

/// A dispatcher that violates one rule.
struct Violator {
    dispatcher: Dispatcher,
    violation: Violation,
    /// The worker that was last listed as draining.
    draining: Option<WorkerId>,
}

impl Violator {
    fn new(dispatcher: Dispatcher, violation: Violation) -> Self {
        Self {
            dispatcher,
            violation,
            draining: None,
        }
    }

    /// Returns the actions that replace an action in order to violate the rule.
    fn replace(&self, event: &Event, action: Action) -> Vec<Action> {
        match (action.clone(), self.violation) {
            (Action::Fail { .. } | Action::Reject { .. }, Violation::NoAnswer) => Vec::new(),
            (
                Action::Fail { request } | Action::Reject { request, .. },
                Violation::SecondAnswer,
            ) => {
                vec![Action::Fail { request }, action]
            }
            (Action::Fail { request }, Violation::RetriesNonIdempotent) => vec![Action::Send {
                request,
                worker: worker_id(1),
                timeout: 0.0,
            }],
            (
                Action::Send {
                    request,
                    worker,
                    timeout,
                },
                Violation::SendsToDraining,
            ) => vec![Action::Send {
                request,
                worker: self.draining.unwrap_or(worker),
                timeout,
            }],
            (
                Action::Send {
                    request, timeout, ..
                },
                Violation::IgnoresPlacement,
            ) => vec![Action::Send {
                request,
                worker: worker_id(2),
                timeout,
            }],
            (Action::Send { .. }, Violation::SendsTwice) => vec![action.clone(), action],
            (Action::Fail { request }, Violation::TreatsRejectedAsNeverRan)
                if is_rejected_attempt(event) =>
            {
                vec![Action::Reject {
                    request,
                    retry_after: 0.0,
                }]
            }
            _ => vec![action],
        }
    }
}

impl Decider for Violator {
    fn handle(&mut self, now: f64, event: &Event, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        if let Event::WorkerListReceived { entries, .. } = event {
            self.draining = entries
                .iter()
                .find(|entry| entry.health == Health::Draining)
                .map(|entry| entry.worker)
                .or(self.draining);
        }
        for action in actions {
            out.extend(self.replace(event, action));
        }
    }
}

fn is_rejected_attempt(event: &Event) -> bool {
    matches!(
        event,
        Event::AttemptEnded {
            outcome: Outcome::Rejected,
            ..
        }
    )
}

struct SentAttempt {
    to: WorkerId,
    at: f64,
    cell: u16,
    outcome: Option<Outcome>,
}

struct ObservedRequest {
    class: u8,
    deadline: f64,
    sent: Vec<SentAttempt>,
    is_answered: bool,
}

/// Records events and actions, and reports the first rule that is violated.
struct Checker {
    optional: OptionalRules,
    admitted: Vec<f64>,
    retries: Vec<f64>,
    sent_for: BTreeSet<u64>,
    requests: BTreeMap<u64, ObservedRequest>,
    unavailable_since: BTreeMap<WorkerId, f64>,
    started: BTreeMap<WorkerId, f64>,
    slow_start_work: BTreeMap<WorkerId, Vec<(f64, f64)>>,
}

impl Checker {
    fn new(optional: OptionalRules) -> Self {
        Self {
            optional,
            admitted: Vec::new(),
            retries: Vec::new(),
            sent_for: BTreeSet::new(),
            requests: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            started: BTreeMap::new(),
            slow_start_work: BTreeMap::new(),
        }
    }

    /// Returns the attempts without an outcome as tuples of request, attempt number and worker.
    fn attempts_in_flight(&self) -> Vec<(u64, u16, WorkerId)> {
        let of_request = |(&id, request): (&u64, &ObservedRequest)| {
            let sent = request.sent.iter().zip(0..);
            sent.filter(|(sent, _)| sent.outcome.is_none())
                .map(|(sent, number)| (id, number, sent.to))
                .collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(of_request).collect()
    }

    /// Records an event. In [`Event::AttemptEnded`], sets whether the request has been answered.
    fn observe_event(&mut self, now: f64, event: &mut Event) -> Result<(), String> {
        match event {
            Event::RequestReceived(_) => self.admitted.push(now),
            Event::WorkerListReceived { kind, entries } => {
                self.record_list(now, *kind, entries, WORKERS);
            }
            Event::AttemptEnded {
                request,
                outcome,
                answered,
                ..
            } => {
                let request = self.requests.get_mut(request).ok_or("an unknown request")?;
                request.is_answered |= *outcome == Outcome::Succeeded;
                *answered = request.is_answered;
            }
            _ => {}
        }
        Ok(())
    }

    fn record_list(&mut self, now: f64, kind: ListKind, entries: &[Entry], all: u16) {
        if kind == ListKind::Full {
            for n in (0..all).filter(|&n| entries.iter().all(|e| e.worker != worker_id(n))) {
                self.unavailable_since.entry(worker_id(n)).or_insert(now);
            }
        }
        for e in entries {
            self.started.insert(e.worker, e.started);
            if e.health == Health::Ready {
                self.unavailable_since.remove(&e.worker);
            } else {
                self.unavailable_since.entry(e.worker).or_insert(now);
            }
        }
    }

    fn check(&mut self, now: f64, action: &Action) -> Result<(), String> {
        match *action {
            Action::Send {
                request, worker, ..
            } => self.check_send(now, request, worker),
            Action::Reject { request, .. } => self.check_rejection(now, request),
            Action::Fail { request } => self.check_answer(now, request),
            Action::Cancel { request, attempt } => self.check_cancel(request, attempt),
            Action::WatchDiscovery | Action::Timer { .. } | Action::Probe { .. } => Ok(()),
        }
    }

    fn check_send(&mut self, now: f64, id: u64, worker: WorkerId) -> Result<(), String> {
        let request = self
            .requests
            .get(&id)
            .ok_or("an attempt for an unknown request")?;
        if request.is_answered {
            return Err("rule 1: an attempt after the answer".into());
        }
        if self
            .unavailable_since
            .get(&worker)
            .is_some_and(|at| now > at + DRAIN_GRACE_SECONDS)
        {
            return Err("rule 3: an attempt at an unavailable worker".into());
        }
        let number = u16::from(worker.address[3]);
        let violates_placement =
            request.class == 0 && kind(number) != 1 || request.class == 1 && zone(number) == 0;
        if self.optional.placement && violates_placement {
            return Err("rule 5: an attempt outside of the class's placement".into());
        }
        self.check_retry_budget(now, id)?;
        let cell = number / 4;
        self.check_effect(now, id, cell)?;
        let request = self.requests.get_mut(&id).ok_or("an unknown request")?;
        request.sent.push(SentAttempt {
            to: worker,
            at: now,
            cell,
            outcome: None,
        });
        self.check_slow_start(now, worker)
    }

    fn check_retry_budget(&mut self, now: f64, id: u64) -> Result<(), String> {
        if self.sent_for.insert(id) || !self.optional.retry_budget {
            return Ok(());
        }
        self.retries.push(now);
        let in_window = |times: &[f64]| {
            let recent = |at: &&f64| now - **at < RETRY_WINDOW_SECONDS;
            times.iter().filter(recent).count() as f64
        };
        let allowed = MIN_RETRIES as f64 + RETRY_RATIO * in_window(&self.admitted);
        if in_window(&self.retries) > allowed {
            return Err("rule 6: retry budget exceeded".into());
        }
        Ok(())
    }

    /// Checks that a request that may have run is sent again only as its class allows.
    fn check_effect(&self, now: f64, id: u64, cell: u16) -> Result<(), String> {
        let request = &self.requests[&id];
        let rejection_proves = !self.optional.rejected_may_have_run;
        let mut may_have_run = request
            .sent
            .iter()
            .filter(|sent| !proves_never_ran(sent.outcome, rejection_proves));
        if request.class == 2 && may_have_run.next().is_some() {
            let is_rejected = |sent: &SentAttempt| sent.outcome == Some(Outcome::Rejected);
            let rule_7 = if request.sent.iter().any(is_rejected) {
                ", rule 7"
            } else {
                ""
            };
            return Err(format!("rule 2: non-idempotent request sent again{rule_7}"));
        }
        let outside_scope =
            |sent: &SentAttempt| sent.cell != cell || now > sent.at + DEDUP_WINDOW_SECONDS;
        if request.class == 1 && may_have_run.any(outside_scope) {
            return Err(
                "rule 2: request with a key sent again outside of its cell or window".into(),
            );
        }
        Ok(())
    }

    /// Checks that this dispatcher alone stays within the slow-start budget of all dispatchers in
    /// every window.
    fn check_slow_start(&mut self, now: f64, worker: WorkerId) -> Result<(), String> {
        let age = now - self.started.get(&worker).copied().unwrap_or(0.0);
        if age >= 10.0 {
            return Ok(());
        }
        let sent = self.slow_start_work.entry(worker).or_default();
        sent.push((now, 0.25));
        let in_window: f64 = sent
            .iter()
            .filter(|(at, _)| now - at < 2.0)
            .map(|(_, work)| work)
            .sum();
        let capacity = 4.0 * (0.2 + 0.8 * age / 10.0);
        if in_window > 3.0 * capacity * 2.0 {
            return Err("rule 4: worker in slow start overloaded".into());
        }
        Ok(())
    }

    /// Checks a rejection. It is a final answer, and implies that the request has not run or may
    /// safely run again.
    fn check_rejection(&mut self, now: f64, id: u64) -> Result<(), String> {
        self.check_answer(now, id)?;
        let request = &self.requests[&id];
        let may_have_run = |rejection_proves| {
            let ran = |sent: &SentAttempt| !proves_never_ran(sent.outcome, rejection_proves);
            request.class != 0 && request.sent.iter().any(ran)
        };
        if may_have_run(true) {
            return Err("rule 2: rejected although it may have run".into());
        }
        if may_have_run(!self.optional.rejected_may_have_run) {
            return Err("rule 7: rejected although a rejected attempt may have run".into());
        }
        Ok(())
    }

    fn check_answer(&mut self, now: f64, id: u64) -> Result<(), String> {
        let request = self
            .requests
            .get_mut(&id)
            .ok_or("an answer for an unknown request")?;
        if request.is_answered {
            return Err("rule 1: a second answer".into());
        }
        if now > request.deadline + ANSWER_SLACK_SECONDS {
            return Err("rule 1: a late answer".into());
        }
        request.is_answered = true;
        Ok(())
    }

    fn check_cancel(&self, id: u64, attempt: u16) -> Result<(), String> {
        let request = self
            .requests
            .get(&id)
            .ok_or("a cancellation for an unknown request")?;
        if attempt as usize >= request.sent.len() {
            return Err("a cancellation of an attempt that was not sent".into());
        }
        Ok(())
    }

    fn check_overdue(&self, now: f64) -> Result<(), String> {
        let is_overdue = |request: &ObservedRequest| {
            !request.is_answered && now > request.deadline + ANSWER_SLACK_SECONDS
        };
        if self.requests.values().any(is_overdue) {
            Err("rule 1: no answer in time".into())
        } else {
            Ok(())
        }
    }
}

/// Returns whether the outcome proves that an attempt never ran, according to the description of
/// the protocol.
fn proves_never_ran(outcome: Option<Outcome>, rejection_proves: bool) -> bool {
    match outcome {
        Some(Outcome::ConnectFailed | Outcome::CancelledLocally) => true,
        Some(Outcome::Rejected) => rejection_proves,
        _ => false,
    }
}

/// Number of workers in a sequence.
const WORKERS: u16 = 12;

/// Generates legal events and keeps track of the time and the timers.
struct Generator {
    random: rand_pcg::Pcg32,
    now: f64,
    timers: Vec<(f64, u64)>,
    next_id: u64,
    queue: Vec<Event>,
}

impl Generator {
    fn new(seed: u64) -> Self {
        let mut generator = Self {
            random: rand_pcg::Pcg32::seed_from_u64(seed),
            now: 100.0,
            timers: Vec::new(),
            next_id: 0,
            queue: Vec::new(),
        };
        let kind = if generator.pick(2) == 0 {
            ListKind::Cached
        } else {
            ListKind::Full
        };
        generator.queue.push(Event::WorkerListReceived {
            kind,
            entries: (0..WORKERS)
                .map(|number| with_placement(entry(number)))
                .collect(),
        });
        generator
    }

    fn pick(&mut self, count: u64) -> u64 {
        self.random.next_u64() % count
    }

    /// Advances the time and queues the timers that expire and possibly one other event. If
    /// `is_draining`, no more requests are submitted.
    fn generate(&mut self, checker: &mut Checker, is_draining: bool) -> Result<(), String> {
        self.advance();
        let in_flight = checker.attempts_in_flight();
        let attempt = if in_flight.is_empty() {
            None
        } else {
            Some(in_flight[self.pick(in_flight.len() as u64) as usize])
        };
        match (self.pick(10), attempt) {
            (0..=3, _) if !is_draining => self.queue_request(checker),
            (4..=7, Some(attempt)) => self.queue_outcome(checker, attempt)?,
            (8, Some((request, attempt, _))) => {
                let note = if self.pick(2) == 0 {
                    ProgressNote::Started
                } else {
                    ProgressNote::Progress(0.5)
                };
                self.queue.push(Event::AttemptProgress {
                    request,
                    attempt,
                    note,
                });
            }
            (9, _) => self.queue_list(),
            _ => {}
        }
        Ok(())
    }

    /// Advances the clock, at most to the next timer, and queues the timers that expire.
    fn advance(&mut self) {
        self.timers.sort_by(|a, b| b.0.total_cmp(&a.0));
        let next_timer = self
            .timers
            .last()
            .map_or(f64::INFINITY, |timer| timer.0.max(self.now));
        self.now = next_timer.min(self.now + self.pick(100) as f64 / 1000.0);
        while let Some(&(_, token)) = self.timers.last().filter(|timer| timer.0 <= self.now) {
            self.timers.pop();
            self.queue.push(Event::TimerExpired { token });
        }
    }

    fn queue_request(&mut self, checker: &mut Checker) {
        let class = self.pick(3) as u8;
        let share = if self.pick(4) == 0 { 0.3 } else { 1.0 };
        let time_limit = [5.0, 10.0, 10.0][class as usize] * share;
        let id = self.next_id;
        self.next_id += 1;
        let request = ObservedRequest {
            class,
            deadline: self.now + time_limit,
            sent: Vec::new(),
            is_answered: false,
        };
        checker.requests.insert(id, request);
        self.queue.push(Event::RequestReceived(NewRequest {
            id,
            class,
            time_limit,
            expected_work: Some(0.25),
            slots: 1.0,
            ..Default::default()
        }));
    }

    fn queue_outcome(
        &mut self,
        checker: &mut Checker,
        (request, attempt, worker): (u64, u16, WorkerId),
    ) -> Result<(), String> {
        let outcomes = [
            Outcome::Succeeded,
            Outcome::Succeeded,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Timeout,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
            Outcome::Unknown(77),
        ];
        let outcome = outcomes[self.pick(9) as usize];
        let observed = checker
            .requests
            .get_mut(&request)
            .ok_or("an unknown request")?;
        observed.sent[attempt as usize].outcome = Some(outcome);
        let report = vec![self.pick(6) as f32, self.pick(5) as f32];
        self.queue.push(Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            elapsed: 0.1,
            answered: false,
            report,
        });
        Ok(())
    }

    fn queue_list(&mut self) {
        let number = self.pick(u64::from(WORKERS)) as u16;
        let health = [
            Health::Ready,
            Health::Ready,
            Health::Draining,
            Health::Removed,
        ][self.pick(4) as usize];
        let started = if self.pick(2) == 0 {
            self.now - 0.5
        } else {
            0.0
        };
        let mut entries = vec![with_placement(Entry {
            started,
            ..entry_with_health(number, health)
        })];
        let kind = if self.pick(5) == 0 {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        if kind == ListKind::Full {
            let others = (0..WORKERS).filter(|&other| other != number && self.pick(6) > 0);
            entries.extend(others.map(|other| with_placement(entry(other))));
        }
        self.queue.push(Event::WorkerListReceived { kind, entries });
    }
}

/// Runs one generated sequence. Returns the number of attempts, or the first rule that is violated.
fn run_sequence(seed: u64, decider: &mut dyn Decider) -> Result<usize, String> {
    let mut checker = Checker::new(OptionalRules::of(seed));
    let mut generator = Generator::new(seed);
    let mut sends = 0;
    let mut is_draining = false;
    for step in 0..3000 {
        if generator.queue.is_empty() {
            is_draining |= step > 2000;
            generator.generate(&mut checker, is_draining)?;
        }
        if generator.queue.is_empty() {
            continue;
        }
        let mut event = generator.queue.remove(0);
        let now = generator.now;
        checker.observe_event(now, &mut event)?;
        let mut actions = Vec::new();
        decider.handle(now, &event, &mut actions);
        for action in &actions {
            checker.check(now, action)?;
            sends += usize::from(matches!(action, Action::Send { .. }));
        }
        generator.timers.extend(timers_set(&actions));
        // Timers that expire at this time are handled before the check.
        if generator.queue.is_empty() && generator.timers.iter().all(|timer| timer.0 > now) {
            checker.check_overdue(now)?;
        }
    }
    Ok(sends)
}

fn dispatcher(seed: u64) -> Dispatcher {
    let set = settings(|s| {
        s["limits"]["may-probe"] = seed.is_multiple_of(3).into();
        s["extra"]["tells-start"] = seed.is_multiple_of(2).into();
        let optional = OptionalRules::of(seed);
        if optional.placement {
            s["services"][0]["allowed-on"] = serde_json::json!([1]);
            s["services"][1]["confined-to"] = serde_json::json!([1, 2]);
        }
        if optional.retry_budget {
            s["rules"]["spare-attempts"] = MIN_RETRIES.into();
            s["rules"]["repeat-ratio"] = RETRY_RATIO.into();
            s["rules"]["look-back"] = RETRY_WINDOW_SECONDS.into();
        }
        s["rules"]["may-shed-begun"] = optional.rejected_may_have_run.into();
        s["discovery"] = if seed.is_multiple_of(5) {
            "on_request"
        } else {
            "pushed"
        }
        .into();
    });
    Dispatcher::new(set, seed).expect("valid settings")
}

#[test]
fn rules_hold_over_generated_sequences() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut total = 0;
    TestRunner::new_with_rng(config, rng)
        .run(&proptest::num::u64::ANY, |seed| {
            run_sequence(seed, &mut dispatcher(seed))
                .map(drop)
                .map_err(proptest::test_runner::TestCaseError::fail)
        })
        .expect("no rule is violated");
    for seed in 0..20 {
        total += run_sequence(seed, &mut dispatcher(seed)).expect("no rule is violated");
    }
    assert!(
        total > 20 * 100,
        "the sequences have too few attempts: {total}"
    );
}

#[test]
fn checker_detects_each_violation() {
    for (violation, message) in [
        (Violation::NoAnswer, "no answer in time"),
        (Violation::SecondAnswer, "second answer"),
        (Violation::RetriesNonIdempotent, "rule 2"),
        (Violation::SendsToDraining, "rule 3"),
        (Violation::IgnoresPlacement, "rule 5"),
        (Violation::SendsTwice, "rule 6"),
        (Violation::TreatsRejectedAsNeverRan, "rule 7"),
    ] {
        let found = (0..20).filter_map(|seed| {
            run_sequence(seed, &mut Violator::new(dispatcher(seed), violation)).err()
        });
        let found: Vec<_> = found.collect();
        assert!(
            found.iter().any(|error| error.contains(message)),
            "{violation:?}: {found:?}"
        );
    }
}

#[test]
fn checker_detects_an_overloaded_worker_in_slow_start() {
    let mut checker = Checker::new(OptionalRules::of(7));
    checker.requests.insert(
        1,
        ObservedRequest {
            class: 0,
            deadline: 1e9,
            sent: Vec::new(),
            is_answered: false,
        },
    );
    checker.started.insert(worker_id(1), 100.0);
    let send = Action::Send {
        request: 1,
        worker: worker_id(1),
        timeout: 0.0,
    };
    let found = (0..40).find_map(|_| checker.check(100.5, &send).err());
    assert!(found.is_some_and(|error| error.contains("rule 4")));
}

//! Tests of the two dispatchers of a node during a hot restart: requests that migrate, and events
//! of the sibling process that a dispatcher takes into account. Seeds are fixed.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{Action, Dispatcher, Event, ListKind, Outcome, RequestId, SiblingEvent, WorkerId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn harness(workers: u16, change: impl FnOnce(&mut serde_json::Value)) -> DispatcherHarness {
    DispatcherHarness::new(settings(change), workers)
}

/// Index of the process that requests migrate from.
const OLDER: usize = 0;

/// Index of the process that requests migrate to.
const NEWER: usize = 1;

/// The observed state of a request, whichever process owns it.
#[derive(Default)]
struct Observed {
    class: u8,
    sent: u16,
    in_flight: Vec<(u16, WorkerId)>,
    may_have_run: bool,
    answers: u32,
}

/// Two processes of a node, of which the newer takes over requests from the older, with checks of
/// their actions.
struct HotRestart {
    seed: u64,
    random: Pcg64Mcg,
    harnesses: [DispatcherHarness; 2],
    timers: [Vec<(f64, u64)>; 2],
    requests: BTreeMap<RequestId, Observed>,
    owners: BTreeMap<RequestId, usize>,
    next_id: RequestId,
    now: f64,
    migrated: u32,
    sent_by_newer: u32,
}

impl HotRestart {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            random: Pcg64Mcg::seed_from_u64(seed),
            harnesses: [harness(6, |_| {}), harness(6, |_| {})],
            timers: [Vec::new(), Vec::new()],
            requests: BTreeMap::new(),
            owners: BTreeMap::new(),
            next_id: 1,
            now: 100.0,
            migrated: 0,
            sent_by_newer: 0,
        }
    }

    fn pick(&mut self, count: usize) -> usize {
        self.random.next_u32() as usize % count
    }

    /// Simulates a random event and checks the resulting actions.
    fn step(&mut self, step: u32) {
        let choice = self.pick(8);
        let wait = self.pick(60) as f64 / 100.0;
        let actions = match choice {
            // New requests reach the older process in the first half of the run.
            0..=2 if step < 130 => [self.submit_request(), Vec::new()],
            3 | 4 if step > 40 => [Vec::new(), self.migrate_request()],
            5 | 6 => self.end_attempt(),
            _ => self.advance(wait),
        };
        for (process, actions) in actions.iter().enumerate() {
            // `advance`, which choice 7 runs, has already collected its timers.
            if choice != 7 {
                self.timers[process].extend(timers_set(actions));
            }
            for action in actions {
                self.check_action(process, action);
            }
        }
    }

    fn submit_request(&mut self) -> Vec<Action> {
        let class = self.pick(3) as u8;
        let id = self.next_id;
        self.next_id += 1;
        self.requests.insert(
            id,
            Observed {
                class,
                ..Observed::default()
            },
        );
        self.owners.insert(id, OLDER);
        self.harnesses[OLDER].submit(id, class)
    }

    /// Migrates a random request of the older process, if there is one, to the newer process.
    fn migrate_request(&mut self) -> Vec<Action> {
        let owned_by_older: Vec<RequestId> = self
            .owners
            .iter()
            .filter(|(_, owner)| **owner == OLDER)
            .map(|(id, _)| *id)
            .collect();
        let chosen = self.pick(owned_by_older.len().max(1));
        let Some(&id) = owned_by_older.get(chosen) else {
            return Vec::new();
        };
        let Some(record) = self.harnesses[OLDER].dispatcher.release(id) else {
            return Vec::new();
        };
        assert_eq!(record.workers.len(), self.requests[&id].sent as usize);
        self.owners.insert(id, NEWER);
        self.migrated += 1;
        self.harnesses[NEWER].handle(Event::RequestMigrated {
            request: id,
            record: Box::new(record),
        })
    }

    /// Ends an attempt in flight, if there is one, with a random outcome.
    fn end_attempt(&mut self) -> [Vec<Action>; 2] {
        let mut actions: [Vec<Action>; 2] = Default::default();
        let with_attempts: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.in_flight.is_empty())
            .map(|(id, _)| *id)
            .collect();
        let chosen = self.pick(with_attempts.len().max(1));
        let Some(&id) = with_attempts.get(chosen) else {
            return actions;
        };
        let chosen = self.pick(self.requests[&id].in_flight.len());
        let outcome = [
            Outcome::Succeeded,
            Outcome::Rejected,
            Outcome::Reset,
            Outcome::Timeout,
        ][self.pick(4)];
        let request = self.requests.get_mut(&id).expect("a request of this test");
        let (attempt, worker) = request.in_flight.swap_remove(chosen);
        let answered = request.answers > 0 || outcome == Outcome::Succeeded;
        request.answers += u32::from(outcome == Outcome::Succeeded && request.answers == 0);
        request.may_have_run |= outcome != Outcome::Rejected;
        let owner = self.owners[&id];
        actions[owner] = self.harnesses[owner].handle(Event::AttemptEnded {
            request: id,
            attempt,
            worker,
            outcome,
            elapsed: 0.1,
            answered,
            report: Vec::new(),
        });
        actions
    }

    fn advance(&mut self, seconds: f64) -> [Vec<Action>; 2] {
        self.now += seconds;
        [OLDER, NEWER]
            .map(|process| self.harnesses[process].run_until(self.now, &mut self.timers[process]))
    }

    fn check_action(&mut self, process: usize, action: &Action) {
        match action {
            Action::Send {
                request, worker, ..
            } => self.check_send(process, *request, *worker),
            Action::Cancel { request, attempt } => self.check_cancel(process, *request, *attempt),
            Action::Reject { request, .. } | Action::Fail { request } => {
                let seed = self.seed;
                let observed = self.observed(*request);
                observed.answers += 1;
                let answers = observed.answers;
                assert_eq!(
                    (answers, self.owners[request]),
                    (1, process),
                    "seed {seed}: request {request}"
                );
            }
            _ => {}
        }
    }

    fn check_send(&mut self, process: usize, id: RequestId, worker: WorkerId) {
        let seed = self.seed;
        assert_eq!(
            self.owners[&id], process,
            "seed {seed}: sent by the process that released it"
        );
        let request = self.observed(id);
        assert!(
            request.class != 2 || !request.may_have_run && request.in_flight.is_empty(),
            "seed {seed}: request {id} may run twice"
        );
        assert!(request.sent < 4 && request.answers == 0, "seed {seed}");
        request.in_flight.push((request.sent, worker));
        request.sent += 1;
        self.sent_by_newer += u32::from(process == NEWER);
    }

    fn check_cancel(&mut self, process: usize, id: RequestId, attempt: u16) {
        let seed = self.seed;
        assert_eq!(
            self.owners[&id], process,
            "seed {seed}: cancelled by the process that released it"
        );
        let request = self.observed(id);
        request.in_flight.retain(|(number, _)| *number != attempt);
        request.may_have_run = true;
        let answered = request.answers > 0;
        let actions = self.harnesses[process].handle(Event::AttemptEnded {
            request: id,
            attempt,
            worker: WorkerId::default(),
            outcome: Outcome::Cancelled,
            elapsed: 0.1,
            answered,
            report: Vec::new(),
        });
        self.timers[process].extend(timers_set(&actions));
    }

    /// Advances past all deadlines and checks that each request has exactly one answer.
    fn finish(&mut self) {
        for process in [OLDER, NEWER] {
            let end = self.now + 30.0;
            for action in self.harnesses[process].run_until(end, &mut self.timers[process]) {
                if let Action::Reject { request, .. } | Action::Fail { request } = action {
                    self.observed(request).answers += 1;
                }
            }
        }
        for (id, request) in &self.requests {
            assert_eq!(
                request.answers, 1,
                "seed {}: request {id} of class {} at {}",
                self.seed, request.class, self.owners[id]
            );
        }
    }

    fn observed(&mut self, id: RequestId) -> &mut Observed {
        self.requests.get_mut(&id).expect("a request of this test")
    }
}

/// A request that migrates at any point gets exactly one answer, does not run twice if its class
/// forbids that, and does not exceed the maximum number of attempts.
#[test]
fn migrated_request_continues_where_it_was() {
    let mut migrated = 0;
    let mut sent_by_newer = 0;
    for seed in 0..120 {
        let mut restart = HotRestart::new(seed);
        (0..260).for_each(|step| restart.step(step));
        restart.finish();
        migrated += restart.migrated;
        sent_by_newer += restart.sent_by_newer;
    }
    assert!(
        migrated > 1000 && sent_by_newer > 200,
        "{migrated} migrated, {sent_by_newer} sent after that"
    );
}

/// Returns the event for an attempt of the sibling process at worker 0.
fn sibling_attempt(request: RequestId) -> Event {
    Event::SiblingEvent(SiblingEvent::AttemptSent {
        request,
        attempt: 0,
        worker: worker_id(0),
        slots: 1.0,
        work: Some(0.5),
        sent: 100.0,
    })
}

/// Submits 40 requests and returns how many went to each of the two workers.
fn count_by_worker(harness: &mut DispatcherHarness, first: RequestId) -> [u32; 2] {
    let mut counts = [0, 0];
    for request in first..first + 40 {
        let workers = workers_sent_to(&harness.submit(request, 2));
        counts[usize::from(workers[0] == worker_id(1))] += 1;
        harness.end_attempt(request, 0, workers[0], Outcome::Succeeded);
    }
    counts
}

/// Attempts of the sibling process count as load until they end, as the dispatcher's own attempts
/// do.
#[test]
fn attempts_of_the_sibling_process_count_until_they_end() {
    let mut harness = harness(2, |_| {});
    for request in 1000..1040 {
        harness.handle(sibling_attempt(request));
    }
    let counts = count_by_worker(&mut harness, 1);
    assert!(
        counts[1] > 30,
        "40 attempts of the sibling are at worker 0: {counts:?}"
    );
    for request in 1000..1040 {
        harness.handle(Event::SiblingEvent(SiblingEvent::AttemptEnded {
            request,
            attempt: 0,
            worker: worker_id(0),
        }));
    }
    let counts = count_by_worker(&mut harness, 101);
    assert!(
        counts[0] > 8,
        "the attempts of the sibling have ended: {counts:?}"
    );
}

/// Attempts of the sibling process can use up the budget of a worker in slow start.
#[test]
fn slow_start_budget_counts_attempts_of_the_sibling_process() {
    let mut harness = harness(2, |_| {});
    harness.receive_list(
        ListKind::Delta,
        vec![postproxy::Entry {
            started: 99.9,
            ..entry(0)
        }],
    );
    for request in 1000..1040 {
        harness.handle(sibling_attempt(request));
    }
    for request in 1..=60 {
        let workers = workers_sent_to(&harness.submit(request, 2));
        assert!(
            workers.iter().all(|worker| *worker == worker_id(1)),
            "the budget of the worker in slow start is used up"
        );
        if let Some(&worker) = workers.first() {
            harness.end_attempt(request, 0, worker, Outcome::Succeeded);
        }
    }
}

/// A retry of the sibling process uses up a budget of one retry in 10 s until that window has
/// passed.
#[test]
fn retry_budget_counts_retries_of_the_sibling_process() {
    for (seconds_ago, retries) in [(9.5, 0), (10.5, 1)] {
        let mut harness = harness(3, |settings| {
            settings["rules"]["spare-attempts"] = 1.into();
            settings["rules"]["look-back"] = 10.into();
        });
        harness.handle(Event::SiblingEvent(SiblingEvent::BudgetHistory {
            admitted: Vec::new(),
            retries: vec![100.0 - seconds_ago],
        }));
        let worker = workers_sent_to(&harness.submit(1, 2))[0];
        let actions = harness.end_attempt(1, 0, worker, Outcome::Rejected);
        assert_eq!(
            workers_sent_to(&actions).len(),
            retries,
            "{seconds_ago} s after"
        );
    }
}

#[test]
fn unknown_request_cannot_be_released() {
    let mut dispatcher = Dispatcher::new(settings(|_| {}), 1).expect("a dispatcher");
    assert!(dispatcher.release(7).is_none());
}

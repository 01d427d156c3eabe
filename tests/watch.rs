//! A change must be applied within 6 s after discovery has it and can be reached, regardless of how
//! calls fail. This is tested in simulated time, over every way in which a call can fail, with the
//! dispatcher that selects workers from the list.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::{worker_id, workers_sent_to};
use postproxy::decision::dispatcher::Dispatcher;
use postproxy::decision::interface::{
    Action, Entry, Event, Health, ListKind, NewRequest, Outcome, Settings,
};
use postproxy::decision::random::Random;
use postproxy::net::upstream::watch::{
    AnswerContent, Call, FULL_LIST_TIMEOUT_SECONDS, FirstCall, MAX_WATCH_SECONDS,
    SECOND_CALL_DELAY_SECONDS, Schedule, WATCH_GRACE_SECONDS,
};

/// The time within which a change has to be applied once discovery has it and can be reached, in
/// seconds.
const MAX_CHANGE_DELAY_SECONDS: f64 = 6.0;
/// What is added for draining workers, in seconds: what the settings allow, and 50 ms on sockets.
const TOLERANCE_SECONDS: f64 = 0.3;
/// Longest time that a healthy discovery takes to answer, in seconds.
const MAX_ANSWER_SECONDS: f64 = 0.9;
/// The number of workers.
const WORKERS: u16 = 12;

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    /// It fails at this time: refused, reset, cut short, or a 503.
    Fails(f64),
    /// It is never answered.
    Unanswered,
    /// It is answered at this time, with the state of that time.
    Answered(f64),
}

/// Discovery and the network to it: faulty up to some time, and healthy after that except for some
/// calls that are never answered.
struct Discovery {
    rng: Random,
    reachable_from: f64,
    /// Calls that are still left unanswered once it is healthy.
    unanswered: u32,
    /// The workers that leave, in order; the revision is the number of those that have left.
    departures: Vec<Departure>,
}

impl Discovery {
    fn revision(&self, now: f64) -> u64 {
        self.departures.iter().filter(|d| d.at <= now).count() as u64
    }

    fn call_outcome(&mut self, now: f64, since: Option<u64>, wait: Option<f64>) -> CallOutcome {
        let answer_delay = MAX_ANSWER_SECONDS * self.rng.uniform();
        let watch_seconds = wait.filter(|_| since == Some(self.revision(now)));
        let change = self
            .departures
            .iter()
            .map(|departure| departure.at)
            .find(|at| *at > now)
            .unwrap_or(f64::INFINITY);
        let answer = CallOutcome::Answered(watch_seconds.map_or(now + answer_delay, |wait| {
            change.min(now + wait) + WATCH_GRACE_SECONDS * 0.9 * self.rng.uniform()
        }));
        if now >= self.reachable_from {
            let unanswered = self.unanswered > 0 && self.rng.uniform() < 0.5;
            self.unanswered -= u32::from(unanswered);
            return if unanswered {
                CallOutcome::Unanswered
            } else {
                answer
            };
        }
        match (self.rng.uniform() * 7.0) as u32 {
            0 => CallOutcome::Fails(now + 0.001), // refused
            1 => CallOutcome::Fails(now + 4.0 * self.rng.uniform()), // reset, or cut short, at any time
            2 => CallOutcome::Fails(now + 2.0), // a 503 after its time in the queue
            3 | 4 => CallOutcome::Unanswered,
            // The answer is late: it arrives after other calls have been made.
            5 => CallOutcome::Answered(now + wait.unwrap_or(0.0) + 8.0 * self.rng.uniform()),
            _ => answer,
        }
    }
}

/// A worker that leaves.
#[derive(Clone, Copy)]
struct Departure {
    at: f64,
    worker: u16,
}

/// A call that waits for its outcome.
#[derive(Clone, Copy)]
struct OpenCall {
    call: Call,
    /// The revision since which it requests changes.
    since: Option<u64>,
    outcome: CallOutcome,
}

/// One run of the schedule against a discovery, with a dispatcher that receives the lists.
struct Scenario {
    seed: u64,
    discovery: Discovery,
    schedule: Schedule,
    dispatcher: Dispatcher,
    actions: Vec<Action>,
    /// When the address of discovery changes.
    address_changes: Vec<f64>,
    revision: Option<u64>,
    open_calls: Vec<OpenCall>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut rng = Random::new(seed);
        let reachable_from = 12.0 * rng.uniform();
        let mut departures: Vec<Departure> = (0..WORKERS / 2)
            .map(|worker| Departure {
                at: 30.0 * rng.uniform(),
                worker,
            })
            .collect();
        departures.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut address_changes: Vec<f64> = (0..2).map(|_| 30.0 * rng.uniform()).collect();
        address_changes.sort_by(f64::total_cmp);
        let unanswered = (rng.uniform() * 2.0) as u32;
        let nodes = [1, 5, 300][(seed % 3) as usize];
        let settings =
            r#"{"discovery": "on_request", "services": [{"name": "a", "effect": "pure"}]}"#;
        let settings = Settings::from_json(settings).expect("settings");
        Self {
            seed,
            discovery: Discovery {
                rng: Random::new(seed + 1),
                reachable_from,
                unanswered,
                departures,
            },
            schedule: Schedule::new(nodes, seed),
            dispatcher: Dispatcher::new(settings, seed).expect("sound"),
            actions: Vec::new(),
            address_changes,
            revision: Some(0),
            open_calls: Vec::new(),
        }
    }

    /// Gives the dispatcher the list of this revision.
    fn apply_list(&mut self, now: f64, kind: ListKind, revision: u64) {
        let departed = self.discovery.departures.iter().take(revision as usize);
        let departed: Vec<u16> = departed.map(|departure| departure.worker).collect();
        let entry = |n: u16| Entry {
            worker: worker_id(n),
            health: if departed.contains(&n) {
                Health::Draining
            } else {
                Health::Ready
            },
            size: 1.0,
            ..Entry::default()
        };
        let entries = (0..WORKERS).map(entry).collect();
        let list = Event::WorkerListReceived { kind, entries };
        self.dispatcher.handle(now, &list, &mut self.actions);
    }

    fn change_address_if_due(&mut self, now: f64) {
        if self.address_changes.first().is_some_and(|at| *at <= now) {
            self.address_changes.remove(0);
            self.revision = None;
            self.open_calls.clear();
            self.schedule.restart(now);
        }
    }

    /// Applies the outcomes of open calls that are due.
    fn apply_outcomes(&mut self, now: f64) -> Result<(), String> {
        for OpenCall {
            call,
            since,
            outcome,
        } in self.open_calls.clone()
        {
            if !self.schedule.is_open(call.id) {
                continue;
            }
            match outcome {
                CallOutcome::Fails(at) if at <= now => self.schedule.record_failure(now, call.id),
                CallOutcome::Answered(at) if at <= now => {
                    let revision = self.discovery.revision(now);
                    let content = if since == Some(revision) {
                        AnswerContent::Unchanged
                    } else {
                        AnswerContent::Changed
                    };
                    self.revision = Some(revision);
                    self.apply_list(now, ListKind::Full, revision);
                    self.schedule.record_answer(now, call.id, content);
                }
                _ => {}
            }
        }
        self.open_calls
            .retain(|open| self.schedule.is_open(open.call.id));
        if self.open_calls.len() > 2 {
            return Err(format!(
                "seed {}: {} calls are open at {now:.3}",
                self.seed,
                self.open_calls.len()
            ));
        }
        Ok(())
    }

    fn make_due_calls(&mut self, now: f64) {
        while let Some(call) = self.schedule.take_due_call(now, self.revision.is_some()) {
            let outcome = self
                .discovery
                .call_outcome(now, self.revision, call.wait_seconds);
            self.open_calls
                .retain(|open| call.supersedes != Some(open.call.id));
            self.open_calls.push(OpenCall {
                call,
                since: self.revision,
                outcome,
            });
        }
    }

    /// Has the dispatcher place one request. Returns the number of attempts at workers that leave
    /// at some time, or an error if one of these workers left more than `max_delay` seconds ago.
    fn place_request(&mut self, now: f64, request: u64, max_delay: f64) -> Result<u64, String> {
        let new = NewRequest {
            id: request,
            time_limit: 5.0,
            slots: 1.0,
            ..NewRequest::default()
        };
        self.dispatcher
            .handle(now, &Event::RequestReceived(new), &mut self.actions);
        let reachable_from = self.discovery.reachable_from;
        let mut checked = 0;
        for to in workers_sent_to(&self.actions) {
            let departures = &self.discovery.departures;
            let leaving = departures.iter().find(|d| worker_id(d.worker) == to);
            if let Some(Departure { at, worker }) =
                leaving.filter(|d| now > d.at.max(reachable_from) + max_delay + TOLERANCE_SECONDS)
            {
                return Err(format!(
                    "seed {}: at {now:.3} an attempt at {worker}, which left at {at:.3}; discovery healthy from {reachable_from:.3}",
                    self.seed
                ));
            }
            checked += u64::from(leaving.is_some());
        }
        self.cancel_request(now, request);
        Ok(checked)
    }

    fn cancel_request(&mut self, now: f64, request: u64) {
        let sent = workers_sent_to(&self.actions);
        self.dispatcher.handle(
            now,
            &Event::ClientDisconnected { request },
            &mut self.actions,
        );
        for (worker, attempt) in sent.into_iter().zip(0..) {
            let ended = Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome: Outcome::Cancelled,
                elapsed: 0.0,
                answered: false,
                report: Vec::new(),
            };
            self.dispatcher.handle(now, &ended, &mut self.actions);
        }
    }
}

/// Runs one seed: the schedule, discovery, and a dispatcher that is given a request every 50 ms.
/// Returns the number of attempts at workers that leave, or an error for the first attempt that is
/// made more than `max_delay` seconds after its worker left.
fn run_scenario(seed: u64, max_delay: f64) -> Result<u64, String> {
    let mut scenario = Scenario::new(seed);
    scenario.apply_list(0.0, ListKind::Cached, 0);
    scenario.schedule.start(0.0, FirstCall::Spread);
    let mut checked = 0;
    for tick in 0..8_000u64 {
        let now = tick as f64 * 0.005;
        scenario.change_address_if_due(now);
        scenario.apply_outcomes(now)?;
        scenario.make_due_calls(now);
        scenario.actions.clear();
        if tick.is_multiple_of(10) {
            checked += scenario.place_request(now, tick + 1, max_delay)?;
        }
    }
    Ok(checked)
}

/// Guards against waiting too long for an unanswered watch, against waits that grow beyond the
/// bound, and against a failed call that resets the timer of another. Calls are refused, reset, cut
/// short, never answered, answered late or with a 503, or superseded; there is an outage, the
/// address of discovery changes, and after all that a call may remain unanswered once more.
#[test]
fn change_is_applied_within_the_bound_whatever_happens_to_calls() {
    let checked: u64 = (0..200)
        .map(|seed| {
            run_scenario(seed, MAX_CHANGE_DELAY_SECONDS).unwrap_or_else(|error| panic!("{error}"))
        })
        .sum();
    assert!(
        checked > 2_000,
        "attempts at workers that leave were checked: {checked}"
    );
}

/// Guards against a check that detects nothing: with a bound that can't be met, it has to fail.
#[test]
fn check_detects_a_change_that_is_applied_late() {
    let broken = (0..40)
        .filter(|seed| run_scenario(*seed, 0.0).is_err())
        .count();
    assert!(broken > 20, "{broken} of 40");
}

/// Checks the sum on which the bound rests: a watch that is never answered, a second unanswered
/// call, and the answer to the third one.
#[test]
fn two_unanswered_calls_and_an_answer_fit_into_the_bound() {
    const {
        assert!(
            MAX_WATCH_SECONDS
                + WATCH_GRACE_SECONDS
                + SECOND_CALL_DELAY_SECONDS
                + MAX_ANSWER_SECONDS
                <= MAX_CHANGE_DELAY_SECONDS
        )
    }
    const {
        assert!(
            MAX_WATCH_SECONDS + WATCH_GRACE_SECONDS + 2.0 <= MAX_CHANGE_DELAY_SECONDS,
            "an answer within discovery's own limit"
        )
    }
    const {
        assert!(
            2.0 * FULL_LIST_TIMEOUT_SECONDS + MAX_ANSWER_SECONDS <= MAX_CHANGE_DELAY_SECONDS,
            "the full list"
        )
    }
}

/// Guards against nodes that call at the same time when they start; against a long delay, since a
/// node does not serve requests before its first call; and against a first call that waits for
/// changes, since the node would not learn for seconds that nothing has changed.
#[test]
fn first_calls_are_spread_and_do_not_wait() {
    let first = |nodes, spread| {
        let starts = (0..300).map(|seed| {
            let mut schedule = Schedule::new(nodes, seed);
            schedule.start(100.0, spread);
            let at = schedule.next_call_at().expect("a first call");
            let call = schedule.take_due_call(at, true).expect("it is due");
            assert_eq!(call.wait_seconds, None);
            schedule.record_answer(at, call.id, AnswerContent::Unchanged);
            assert!(
                schedule
                    .take_due_call(at, true)
                    .is_some_and(|call| call.wait_seconds.is_some()),
                "a watch follows"
            );
            at - 100.0
        });
        starts.fold((f64::INFINITY, 0.0f64), |(least, most), at| {
            (least.min(at), most.max(at))
        })
    };
    let (least, most) = first(300, FirstCall::Spread);
    assert!(
        least < 0.01 && (0.2..=0.25).contains(&most),
        "{least} to {most}"
    );
    assert!(
        first(5, FirstCall::Spread).1 < 0.006,
        "few nodes need little spread"
    );
    assert_eq!(
        first(300, FirstCall::Immediate),
        (0.0, 0.0),
        "there is no spread"
    );
}

/// Guards against calls of all nodes at the same time after they have lost discovery together, and
/// against waits that grow beyond the bound.
#[test]
fn failed_calls_are_retried_soon_and_spread() {
    let mut firsts = Vec::new();
    for seed in 0..300 {
        let mut schedule = Schedule::new(300, seed);
        schedule.restart(100.0);
        let mut now = 100.0;
        for step in 0..40 {
            let call = schedule.take_due_call(now, true).expect("it is due");
            schedule.record_failure(now, call.id);
            let next = schedule.next_call_at().expect("another call");
            assert!(
                next > now + 0.04 && next <= now + 2.61,
                "seed {seed}, step {step}: {}",
                next - now
            );
            if step == 0 {
                firsts.push(next - now);
            }
            now = next;
        }
    }
    for from in 0..10 {
        let from = 0.1 + f64::from(from) * 0.1;
        let together = firsts
            .iter()
            .filter(|at| (from..from + 0.1).contains(*at))
            .count();
        assert!(together <= 50, "{together} of 300 in a tenth of a second");
    }
}

/// Guards against calling discovery in a tight loop if it answers without waiting.
#[test]
fn immediate_answers_do_not_cause_a_call_loop() {
    let mut schedule = Schedule::new(1, 7);
    let mut now = 100.0;
    let mut calls = 0;
    schedule.restart(now);
    while now < 101.0 {
        if let Some(call) = schedule.take_due_call(now, true) {
            calls += 1;
            schedule.record_answer(now, call.id, AnswerContent::Unchanged);
        }
        now += 0.001;
    }
    assert!((5..=12).contains(&calls), "{calls} calls in a second");
    // After an answer with changes, the next watch follows at once.
    let call = std::iter::repeat_with(|| {
        now += 0.001;
        schedule.take_due_call(now, true)
    });
    let call = call.take(200).flatten().next().expect("the next call");
    schedule.record_answer(now, call.id, AnswerContent::Changed);
    assert!(schedule.take_due_call(now, true).is_some());
}

/// Guards against applying the answer to a superseded call.
#[test]
fn superseded_call_is_ignored() {
    let mut schedule = Schedule::new(1, 7);
    schedule.restart(100.0);
    let first = schedule.take_due_call(100.0, true).expect("a call");
    let second = schedule.take_due_call(104.0, true).expect("a second call");
    assert!(
        first.wait_seconds.is_some()
            && second.wait_seconds.is_none()
            && second.supersedes.is_none()
    );
    let third = schedule
        .take_due_call(104.0 + SECOND_CALL_DELAY_SECONDS, true)
        .expect("a call that replaces the first");
    assert_eq!(third.supersedes, Some(first.id));
    schedule.record_answer(105.2, first.id, AnswerContent::Changed);
    assert!(
        schedule.is_open(second.id) && schedule.is_open(third.id),
        "the answer to a superseded call changes nothing"
    );
    schedule.record_failure(105.2, second.id);
    assert!(
        schedule.is_open(third.id)
            && schedule
                .next_call_at()
                .is_some_and(|at| at <= 105.1 + SECOND_CALL_DELAY_SECONDS + 0.001)
    );
    schedule.record_answer(105.3, third.id, AnswerContent::Unchanged);
    assert!(
        !schedule.is_open(third.id)
            && schedule
                .take_due_call(105.3, true)
                .is_some_and(|call| call.wait_seconds.is_some())
    );
}

/// Guards against requesting the full list twice in parallel: it is large.
#[test]
fn full_list_is_requested_once_at_a_time() {
    let mut schedule = Schedule::new(1, 7);
    schedule.restart(100.0);
    let first = schedule.take_due_call(100.0, false).expect("a call");
    assert!(
        schedule
            .take_due_call(100.0 + SECOND_CALL_DELAY_SECONDS, false)
            .is_none()
    );
    let second = schedule
        .take_due_call(100.0 + FULL_LIST_TIMEOUT_SECONDS, false)
        .expect("another call");
    assert_eq!(
        (second.supersedes, second.wait_seconds),
        (Some(first.id), None)
    );
}

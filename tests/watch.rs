//! A change must be applied within 6 s after discovery had it and could be reached, whatever happens to calls: in simulated time, over
//! every way in which a call can fail, with the dispatcher that selects workers by the list.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::{sends, worker};
use postproxy::decision::dispatcher::Dispatcher;
use postproxy::decision::interface::{
    Entry, Event, Health, ListKind, NewRequest, Outcome, Settings,
};
use postproxy::decision::random::Random;
use postproxy::net::upstream::watch::{
    AnswerContent, Call, FULL_LIST_TIMEOUT_SECONDS, FirstCall, MAX_WATCH_SECONDS,
    SECOND_CALL_DELAY_SECONDS, Schedule, WATCH_GRACE_SECONDS,
};

/// The time within which a change has to be applied once discovery has it and can be reached, in seconds.
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

/// Discovery and the network to it: faulty up to some time, then healthy except for some calls that are never answered.
struct Discovery {
    rng: Random,
    reachable_from: f64,
    /// Calls that are still left unanswered once it is healthy.
    unanswered: u32,
    /// When workers leave, each with its number; the revision is the number of workers that have left.
    leaves: Vec<(f64, u16)>,
}

impl Discovery {
    fn left(&self, at: f64) -> u64 {
        self.leaves.iter().filter(|(left, _)| *left <= at).count() as u64
    }

    fn call_outcome(&mut self, now: f64, since: Option<u64>, wait: Option<f64>) -> CallOutcome {
        let answer_delay = MAX_ANSWER_SECONDS * self.rng.uniform();
        let watch_seconds = wait.filter(|_| since == Some(self.left(now)));
        let change = self
            .leaves
            .iter()
            .map(|(at, _)| *at)
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
            // Late: it comes after other calls have been made.
            5 => CallOutcome::Answered(now + wait.unwrap_or(0.0) + 8.0 * self.rng.uniform()),
            _ => answer,
        }
    }
}

/// Runs one seed: the schedule, discovery, and a dispatcher that is given a request every 50 ms. Returns the number of attempts at
/// workers that leave, or the first attempt that comes later than `max_delay` seconds after its worker left.
fn run_scenario(seed: u64, max_delay: f64) -> Result<u64, String> {
    let mut rng = Random::new(seed);
    let reachable_from = 12.0 * rng.uniform();
    let mut leaves: Vec<(f64, u16)> = (0..WORKERS / 2)
        .map(|n| (30.0 * rng.uniform(), n))
        .collect();
    leaves.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut address_changes: Vec<f64> = (0..2).map(|_| 30.0 * rng.uniform()).collect();
    address_changes.sort_by(f64::total_cmp);
    let unanswered = (rng.uniform() * 2.0) as u32;
    let mut discovery = Discovery {
        rng: Random::new(seed + 1),
        reachable_from,
        unanswered,
        leaves,
    };
    let nodes = [1, 5, 300][(seed % 3) as usize];
    let mut schedule = Schedule::new(nodes, seed);
    let settings = r#"{"discovery": "on_request", "services": [{"name": "a", "effect": "pure"}]}"#;
    let mut dispatcher =
        Dispatcher::new(Settings::from_json(settings).expect("settings"), seed).expect("sound");
    let entry = |n: u16, health| Entry {
        worker: worker(n),
        health,
        size: 1.0,
        ..Entry::default()
    };
    let mut actions = Vec::new();
    let list = |left: u64, leaves: &[(f64, u16)]| {
        let gone: Vec<u16> = leaves.iter().take(left as usize).map(|(_, n)| *n).collect();
        let health = |n| {
            if gone.contains(&n) {
                Health::Draining
            } else {
                Health::Ready
            }
        };
        (0..WORKERS)
            .map(|n| entry(n, health(n)))
            .collect::<Vec<Entry>>()
    };
    let entries = list(0, &discovery.leaves);
    dispatcher.handle(
        0.0,
        &Event::List {
            kind: ListKind::Cached,
            entries,
        },
        &mut actions,
    );
    let (mut revision, mut open_calls, mut checked) =
        (Some(0), Vec::<(Call, Option<u64>, CallOutcome)>::new(), 0);
    schedule.start(0.0, FirstCall::Spread);
    for tick in 0..8_000u64 {
        let now = tick as f64 * 0.005;
        if address_changes.first().is_some_and(|at| *at <= now) {
            address_changes.remove(0);
            (revision, open_calls) = (None, Vec::new());
            schedule.restart(now);
        }
        // Outcomes of calls in this turn.
        for (call, since, call_outcome) in open_calls.clone() {
            if !schedule.is_open(call.id) {
                continue;
            }
            match call_outcome {
                CallOutcome::Fails(at) if at <= now => schedule.record_failure(now, call.id),
                CallOutcome::Answered(at) if at <= now => {
                    let left = discovery.left(now);
                    let content = if since == Some(left) {
                        AnswerContent::Unchanged
                    } else {
                        AnswerContent::Changed
                    };
                    revision = Some(left);
                    let entries = list(left, &discovery.leaves);
                    dispatcher.handle(
                        now,
                        &Event::List {
                            kind: ListKind::Full,
                            entries,
                        },
                        &mut actions,
                    );
                    schedule.record_answer(now, call.id, content);
                }
                _ => {}
            }
        }
        open_calls.retain(|(call, ..)| schedule.is_open(call.id));
        if open_calls.len() > 2 {
            return Err(format!(
                "seed {seed}: {} calls are open at {now:.3}",
                open_calls.len()
            ));
        }
        while let Some(call) = schedule.take_due_call(now, revision.is_some()) {
            let call_outcome = discovery.call_outcome(now, revision, call.wait_seconds);
            open_calls.retain(|(other, ..)| call.supersedes != Some(other.id));
            open_calls.push((call, revision, call_outcome));
        }
        actions.clear();
        if tick.is_multiple_of(10) {
            let new = NewRequest {
                request: tick + 1,
                budget: 5.0,
                slots: 1.0,
                ..NewRequest::default()
            };
            dispatcher.handle(now, &Event::Request(new), &mut actions);
            for to in sends(&actions) {
                let leaving = discovery.leaves.iter().find(|(_, n)| worker(*n) == to);
                if let Some((at, n)) = leaving
                    .filter(|(at, _)| now > at.max(reachable_from) + max_delay + TOLERANCE_SECONDS)
                {
                    return Err(format!(
                        "seed {seed}: at {now:.3} an attempt at {n}, which left at {at:.3}; discovery healthy from {reachable_from:.3}"
                    ));
                }
                checked += u64::from(leaving.is_some());
            }
            let sent = sends(&actions);
            dispatcher.handle(now, &Event::ClientGone { request: tick + 1 }, &mut actions);
            for (worker, attempt) in sent.into_iter().zip(0..) {
                let (request, outcome, report) = (tick + 1, Outcome::Cancelled, Vec::new());
                let ended = Event::Outcome {
                    request,
                    attempt,
                    worker,
                    outcome,
                    elapsed: 0.0,
                    closed: false,
                    report,
                };
                dispatcher.handle(now, &ended, &mut actions);
            }
        }
    }
    Ok(checked)
}

/// Guards against an unanswered watch that is trusted for too long, against waits that grow beyond the bound, and against one timer
/// that another's failure resets: calls refused, reset, cut short, unanswered, answered late, a 503, superseded, an outage, a change
/// of address in between, and unanswered once more after all that.
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

/// Guards against a check that detects nothing: with a bound that no calls could keep, it fails.
#[test]
fn check_detects_a_change_that_is_applied_late() {
    let broken = (0..40)
        .filter(|seed| run_scenario(*seed, 0.0).is_err())
        .count();
    assert!(broken > 20, "{broken} of 40");
}

/// The sum that the schedule rests on: a watch that is unanswered from its first moment, one more unanswered call, and an answer.
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

/// Guards against nodes that call at the same moment at their start, against a long delay, since a node does not serve before its
/// first call, and against a first call that waits for changes: that nothing has changed would not be known for seconds.
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
                "then a watch"
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
        "without a spread"
    );
}

/// Guards against calls that come together after all nodes have lost discovery at one moment, and against waits that grow beyond the
/// bound.
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
            let next = schedule.next_call_at().expect("another");
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

/// Guards against a discovery that answers without waiting and is called in a loop.
#[test]
fn immediate_answers_do_not_cause_a_call_loop() {
    let mut schedule = Schedule::new(1, 7);
    let (mut now, mut calls) = (100.0, 0);
    schedule.restart(now);
    while now < 101.0 {
        if let Some(call) = schedule.take_due_call(now, true) {
            calls += 1;
            schedule.record_answer(now, call.id, AnswerContent::Unchanged);
        }
        now += 0.001;
    }
    assert!((5..=12).contains(&calls), "{calls} calls in a second");
    // After an answer with changes the watch goes on at once.
    let call = std::iter::repeat_with(|| {
        now += 0.001;
        schedule.take_due_call(now, true)
    });
    let call = call.take(200).flatten().next().expect("the next call");
    schedule.record_answer(now, call.id, AnswerContent::Changed);
    assert!(schedule.take_due_call(now, true).is_some());
}

/// Guards against an answer to a superseded call that counts.
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

/// Guards against two requests of the full list at a time: it is long.
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
        .expect("another");
    assert_eq!(
        (second.supersedes, second.wait_seconds),
        (Some(first.id), None)
    );
}

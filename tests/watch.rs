//! A change counts as told 6 s after discovery had it and could be reached, whatever calls came to: in told time, over
//! every way in which a call can fail, with the dispatcher that draws by what it has been told.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::{worker_id, workers_sent_to};
use postproxy::decision::dispatcher::Dispatcher;
use postproxy::decision::interface::{
    Entry, Event, Health, ListKind, NewRequest, Outcome, Settings,
};
use postproxy::decision::random::Random;
use postproxy::net::upstream::watch::{BESIDE, Call, LATE, PATIENCE, Schedule, WAIT};

/// From when discovery has a change and can be reached, it counts as told after so long, in seconds.
const TOLD: f64 = 6.0;
/// A drain's slack: what the settings allow, and 50 ms on sockets.
const SLACK: f64 = 0.3;
/// How long a sound discovery takes to answer.
const ANSWERS: f64 = 0.9;
const WORKERS: u16 = 12;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// It fails at this time: refused, reset, cut short, a 503.
    Fails(f64),
    /// Nothing ever comes.
    Silent,
    /// It is answered at this time with what is so then.
    Answered(f64),
}

/// Discovery, and the way to it: faulty up to some time, then sound but for some calls that fall silent.
struct Discovery {
    rng: Random,
    sound_from: f64,
    /// Calls that still fall silent once it is sound.
    silent: u32,
    /// When workers leave, each with its number; a revision is how many have left.
    leaves: Vec<(f64, u16)>,
}

impl Discovery {
    fn left(&self, at: f64) -> u64 {
        self.leaves.iter().filter(|(left, _)| *left <= at).count() as u64
    }

    fn end(&mut self, now: f64, since: Option<u64>, wait: Option<f64>) -> End {
        let takes = ANSWERS * self.rng.uniform();
        let waits = wait.filter(|_| since == Some(self.left(now)));
        let change = self
            .leaves
            .iter()
            .map(|(at, _)| *at)
            .find(|at| *at > now)
            .unwrap_or(f64::INFINITY);
        let sound = End::Answered(waits.map_or(now + takes, |wait| {
            change.min(now + wait) + LATE * 0.9 * self.rng.uniform()
        }));
        if now >= self.sound_from {
            // One that is open when its turn to fall silent has come stays so.
            let silent = self.silent > 0 && self.rng.uniform() < 0.5;
            self.silent -= u32::from(silent);
            return if silent { End::Silent } else { sound };
        }
        match (self.rng.uniform() * 7.0) as u32 {
            0 => End::Fails(now + 0.001),                    // refused
            1 => End::Fails(now + 4.0 * self.rng.uniform()), // reset, or cut short, at any time
            2 => End::Fails(now + 2.0),                      // a 503 after its time in the queue
            3 | 4 => End::Silent,
            // Late: it comes when others have been made.
            5 => End::Answered(now + wait.unwrap_or(0.0) + 8.0 * self.rng.uniform()),
            _ => sound,
        }
    }
}

/// Plays one seed: the schedule, discovery, and a dispatcher that places a job every 50 ms. The first wrong send, if any.
fn play(seed: u64, due_after: f64) -> Result<u64, String> {
    let mut rng = Random::new(seed);
    let sound_from = 12.0 * rng.uniform();
    let mut leaves: Vec<(f64, u16)> = (0..WORKERS / 2)
        .map(|n| (30.0 * rng.uniform(), n))
        .collect();
    leaves.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut moves: Vec<f64> = (0..2).map(|_| 30.0 * rng.uniform()).collect();
    moves.sort_by(f64::total_cmp);
    let silent = (rng.uniform() * 2.0) as u32;
    let mut discovery = Discovery {
        rng: Random::new(seed + 1),
        sound_from,
        silent,
        leaves,
    };
    let nodes = [1, 5, 300][(seed % 3) as usize];
    let mut schedule = Schedule::new(nodes, seed);
    let settings = r#"{"discovery": "on_request", "services": [{"name": "a", "effect": "pure"}]}"#;
    let mut dispatcher =
        Dispatcher::new(Settings::from_json(settings).expect("settings"), seed).expect("sound");
    let entry = |n: u16, health| Entry {
        worker: worker_id(n),
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
        &Event::WorkerListReceived {
            kind: ListKind::Cached,
            entries,
        },
        &mut actions,
    );
    let (mut revision, mut out, mut checked) = (Some(0), Vec::<(Call, Option<u64>, End)>::new(), 0);
    schedule.start(0.0, true);
    for tick in 0..8_000u64 {
        let now = tick as f64 * 0.005;
        if moves.first().is_some_and(|at| *at <= now) {
            moves.remove(0);
            (revision, out) = (None, Vec::new());
            schedule.moved(now);
        }
        // What comes in this turn.
        for (call, since, end) in out.clone() {
            if !schedule.is_out(call.id) {
                continue;
            }
            match end {
                End::Fails(at) if at <= now => schedule.failed(now, call.id),
                End::Answered(at) if at <= now => {
                    let left = discovery.left(now);
                    let news = since != Some(left);
                    revision = Some(left);
                    let entries = list(left, &discovery.leaves);
                    dispatcher.handle(
                        now,
                        &Event::WorkerListReceived {
                            kind: ListKind::Full,
                            entries,
                        },
                        &mut actions,
                    );
                    schedule.answered(now, call.id, news);
                }
                _ => {}
            }
        }
        out.retain(|(call, ..)| schedule.is_out(call.id));
        if out.len() > 2 {
            return Err(format!(
                "seed {seed}: {} calls are out at {now:.3}",
                out.len()
            ));
        }
        while let Some(call) = schedule.due(now, revision.is_some()) {
            let end = discovery.end(now, revision, call.wait);
            out.retain(|(other, ..)| call.ends != Some(other.id));
            out.push((call, revision, end));
        }
        actions.clear();
        if tick.is_multiple_of(10) {
            let new = NewRequest {
                id: tick + 1,
                time_limit: 5.0,
                slots: 1.0,
                ..NewRequest::default()
            };
            dispatcher.handle(now, &Event::RequestReceived(new), &mut actions);
            for to in workers_sent_to(&actions) {
                let leaving = discovery.leaves.iter().find(|(_, n)| worker_id(*n) == to);
                if let Some((at, n)) =
                    leaving.filter(|(at, _)| now > at.max(sound_from) + due_after + SLACK)
                {
                    return Err(format!(
                        "seed {seed}: at {now:.3} a job goes to {n}, which left at {at:.3}; sound from {sound_from:.3}"
                    ));
                }
                checked += u64::from(leaving.is_some());
            }
            let sent = workers_sent_to(&actions);
            dispatcher.handle(
                now,
                &Event::ClientDisconnected { request: tick + 1 },
                &mut actions,
            );
            for (worker, attempt) in sent.into_iter().zip(0..) {
                let (request, outcome, report) = (tick + 1, Outcome::Cancelled, Vec::new());
                let ended = Event::AttemptEnded {
                    request,
                    attempt,
                    worker,
                    outcome,
                    elapsed: 0.0,
                    answered: false,
                    report,
                };
                dispatcher.handle(now, &ended, &mut actions);
            }
        }
    }
    Ok(checked)
}

/// Guards against a watch that is believed for too long once it is silent, against waits that grow beyond the time, and against
/// one clock that another's failure sets back: refused, reset, cut short, silent, answered late, a 503, given up, an outage,
/// SIGHUP in between, and silent once more after all that.
#[test]
fn a_change_is_told_in_time_whatever_calls_came_to() {
    let checked: u64 = (0..200)
        .map(|seed| play(seed, TOLD).unwrap_or_else(|error| panic!("{error}")))
        .sum();
    assert!(
        checked > 2_000,
        "sends to workers that are to leave were looked at: {checked}"
    );
}

/// Guards against a check that sees nothing: with a deadline that no calls could keep, it speaks.
#[test]
fn the_check_sees_a_change_that_is_told_late() {
    let broken = (0..40).filter(|seed| play(*seed, 0.0).is_err()).count();
    assert!(broken > 20, "{broken} of 40");
}

/// The sum that the schedule rests on: a watch that falls silent as soon as it is open, one more call that is silent, and
/// an answer.
#[test]
fn two_silent_calls_and_an_answer_fit_into_the_time() {
    const { assert!(WAIT + LATE + BESIDE + ANSWERS <= TOLD) }
    const {
        assert!(
            WAIT + LATE + 2.0 <= TOLD,
            "an answer in discovery's own time"
        )
    }
    const { assert!(2.0 * PATIENCE + ANSWERS <= TOLD, "the whole list") }
}

/// Guards against a node that calls in step with the others at its start, against one that takes long, since it does not serve before,
/// and against a first call that waits for changes: that nothing has changed would not be known for seconds.
#[test]
fn first_calls_are_spread_a_little_and_do_not_wait() {
    let first = |nodes, spread| {
        let starts = (0..300).map(|seed| {
            let mut schedule = Schedule::new(nodes, seed);
            schedule.start(100.0, spread);
            let at = schedule.wakes().expect("a first call");
            let call = schedule.due(at, true).expect("it is due");
            assert_eq!(call.wait, None);
            schedule.answered(at, call.id, false);
            assert!(
                schedule
                    .due(at, true)
                    .is_some_and(|call| call.wait.is_some()),
                "then a watch"
            );
            at - 100.0
        });
        starts.fold((f64::INFINITY, 0.0f64), |(least, most), at| {
            (least.min(at), most.max(at))
        })
    };
    let (least, most) = first(300, true);
    assert!(
        least < 0.01 && (0.2..=0.25).contains(&most),
        "{least} to {most}"
    );
    assert!(first(5, true).1 < 0.006, "few need no time");
    assert_eq!(first(300, false), (0.0, 0.0), "where it is not wanted");
}

/// Guards against calls that come together after all nodes have lost discovery at one moment, and against waits that grow
/// beyond what the deadline leaves.
#[test]
fn failed_calls_are_made_again_apart_and_soon() {
    let mut firsts = Vec::new();
    for seed in 0..300 {
        let mut schedule = Schedule::new(300, seed);
        schedule.moved(100.0);
        let mut now = 100.0;
        for step in 0..40 {
            let call = schedule.due(now, true).expect("it is due");
            schedule.failed(now, call.id);
            let next = schedule.wakes().expect("another");
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

/// Guards against a discovery that does not wait and is called without end.
#[test]
fn one_that_answers_at_once_is_not_called_in_a_circle() {
    let mut schedule = Schedule::new(1, 7);
    let (mut now, mut calls) = (100.0, 0);
    schedule.moved(now);
    while now < 101.0 {
        if let Some(call) = schedule.due(now, true) {
            calls += 1;
            schedule.answered(now, call.id, false);
        }
        now += 0.001;
    }
    assert!((5..=12).contains(&calls), "{calls} calls in a second");
    // News are another thing: the watch has to go on at once.
    let call = std::iter::repeat_with(|| {
        now += 0.001;
        schedule.due(now, true)
    });
    let call = call.take(200).flatten().next().expect("the next call");
    schedule.answered(now, call.id, true);
    assert!(schedule.due(now, true).is_some());
}

/// Guards against an answer that comes to a call which was given up, and is believed.
#[test]
fn a_call_given_up_counts_no_more() {
    let mut schedule = Schedule::new(1, 7);
    schedule.moved(100.0);
    let first = schedule.due(100.0, true).expect("a call");
    let second = schedule.due(104.0, true).expect("one beside it");
    assert!(first.wait.is_some() && second.wait.is_none() && second.ends.is_none());
    let third = schedule
        .due(104.0 + BESIDE, true)
        .expect("one in its place");
    assert_eq!(third.ends, Some(first.id));
    schedule.answered(105.2, first.id, true);
    assert!(
        schedule.is_out(second.id) && schedule.is_out(third.id),
        "it is nobody's answer"
    );
    schedule.failed(105.2, second.id);
    assert!(
        schedule.is_out(third.id)
            && schedule
                .wakes()
                .is_some_and(|at| at <= 105.1 + BESIDE + 0.001)
    );
    schedule.answered(105.3, third.id, false);
    assert!(
        !schedule.is_out(third.id)
            && schedule
                .due(105.3, true)
                .is_some_and(|call| call.wait.is_some())
    );
}

/// Guards against one list asked for twice at a time: it is long.
#[test]
fn the_whole_list_is_asked_for_once_at_a_time() {
    let mut schedule = Schedule::new(1, 7);
    schedule.moved(100.0);
    let first = schedule.due(100.0, false).expect("a call");
    assert!(schedule.due(100.0 + BESIDE, false).is_none());
    let second = schedule.due(100.0 + PATIENCE, false).expect("another");
    assert_eq!((second.ends, second.wait), (Some(first.id), None));
}

//! Workers that operators take out of use, in the decision module: against random lists, reports and calls, and how
//! one comes back. Fixed seeds.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{Action, Dispatcher, Event, Health, ListKind, Outcome, WorkerId};
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeSet;

fn employ(harness: &mut DispatcherHarness, n: u16, again: bool) -> Vec<Action> {
    harness.handle(Event::SuspensionChanged {
        worker: worker_id(n),
        resume: again,
    })
}

/// Guards against anything new that goes to a worker out of use, whatever the list says of it meanwhile, and
/// against a request that is left without an answer when all are out.
#[test]
fn nothing_goes_to_a_worker_out_of_use_in_any_order_of_news() {
    let mut to_others = 0;
    for seed in 0..60 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut harness = DispatcherHarness::new(settings(|_| {}), 6);
        let (mut due, mut banned, mut out) = (Vec::new(), BTreeSet::<WorkerId>::new(), Vec::new());
        let (mut next, mut open) = (1, BTreeSet::new());
        for _ in 0..400 {
            let mut pick = |n: u32| rng.next_u32() % n;
            let (what, n, flip) = (pick(10), pick(6) as u16, pick(2) == 0);
            let actions = match what {
                0 | 1 => {
                    let again = flip || what == 1 && banned.len() > 3;
                    if again {
                        banned.remove(&worker_id(n))
                    } else {
                        banned.insert(worker_id(n))
                    };
                    employ(&mut harness, n, again)
                }
                2 => {
                    let kind = if flip {
                        ListKind::Full
                    } else {
                        ListKind::Cached
                    };
                    harness.receive_list(
                        kind,
                        (0..6).filter(|m| flip || *m != n).map(entry).collect(),
                    )
                }
                3 => {
                    let health =
                        [Health::Ready, Health::Draining, Health::Removed][pick(3) as usize];
                    let started = if flip { harness.now } else { 0.0 };
                    harness.receive_list(
                        ListKind::Delta,
                        vec![postproxy::Entry {
                            started,
                            ..entry_with_health(n, health)
                        }],
                    )
                }
                4 | 5 if !out.is_empty() => {
                    let (request, attempt, to) = out.swap_remove(pick(out.len() as u32) as usize);
                    let outcome = [
                        Outcome::Succeeded,
                        Outcome::Rejected,
                        Outcome::Reset,
                        Outcome::CancelledLocally,
                    ][pick(4) as usize];
                    harness.end_attempt_with_report(
                        request,
                        attempt,
                        to,
                        outcome,
                        vec![pick(9) as f32, pick(5) as f32],
                    )
                }
                6 => {
                    let until = harness.now + f64::from(pick(100)) / 100.0;
                    harness.run_until(until, &mut due)
                }
                _ => {
                    open.insert(next);
                    next += 1;
                    harness.submit(next - 1, pick(3) as u8)
                }
            };
            due.extend(timers_set(&actions));
            for to in workers_sent_to(&actions) {
                assert!(
                    !banned.contains(&to),
                    "seed {seed}: sent to {to:?}, which is out of use"
                );
                to_others += 1;
            }
            for action in &actions {
                match action {
                    Action::Send {
                        request, worker, ..
                    } => {
                        let attempt = out.iter().filter(|(r, ..)| r == request).count() as u16;
                        out.push((*request, attempt, *worker));
                    }
                    Action::Reject { request, .. } | Action::Fail { request } => {
                        assert!(
                            open.remove(request),
                            "seed {seed}: a second answer to {request}"
                        );
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(to_others > 2000, "{to_others} sends are too few to tell");
}

/// Guards against a job that is held to its deadline where operators have taken out all that could run it.
#[test]
fn with_all_workers_out_the_answer_comes_at_once() {
    let mut harness = DispatcherHarness::new(settings(|_| {}), 2);
    employ(&mut harness, 0, false);
    employ(&mut harness, 1, false);
    assert!(is_rejected(&harness.submit(1, 0)) && is_rejected(&harness.submit(2, 2)));
    employ(&mut harness, 0, true);
    assert_eq!(workers_sent_to(&harness.submit(3, 0)), [worker_id(0)]);
    // One that was held when the last goes out: told at once, too.
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
    let actions = employ(&mut harness, 0, false);
    let later = harness.end_attempt(1, 1, worker_id(0), Outcome::CancelledLocally);
    assert!(
        is_rejected(&actions) || is_rejected(&later),
        "{actions:?} {later:?}"
    );
}

/// How many jobs a fleet of so many dispatchers gives worker 3 in 5 s that came back into use, or that the list
/// says has started, with a job a second each.
fn given(fleet: u16, seed: u64, banned: bool) -> usize {
    let mut given = 0;
    for n in 0..fleet {
        let settings = settings(|s| s["balancers"] = fleet.into());
        let dispatcher =
            postproxy::Dispatcher::new(settings, seed * 1000 + u64::from(n)).expect("a dispatcher");
        let mut harness = DispatcherHarness {
            dispatcher,
            now: 100.0,
        };
        harness.receive_list(ListKind::Full, (0..8).map(entry).collect());
        if banned {
            employ(&mut harness, 3, false);
            harness.now += 5.0;
            employ(&mut harness, 3, true);
            harness.receive_list(ListKind::Delta, vec![entry(3)]);
        } else {
            harness.now += 5.0;
            harness.receive_list(
                ListKind::Delta,
                vec![postproxy::Entry {
                    started: harness.now,
                    ..entry(3)
                }],
            );
        }
        for request in 1..=5 {
            harness.now += 1.0;
            let to = workers_sent_to(&harness.submit(request, 2))[0];
            given += usize::from(to == worker_id(3));
            harness.end_attempt(request, 0, to, Outcome::Succeeded);
        }
    }
    given
}

/// Guards against a worker back in use that stays idle because nothing is known of it, and against one that all
/// dispatchers give a job at once, or that is taken for warm: it was restarted while it was out. All together owe
/// it about one job beside what any cold worker gets.
#[test]
fn a_worker_back_in_use_gets_work_soon_and_is_cold() {
    let rounds = 40;
    let sum = |banned| {
        (0..rounds)
            .map(|seed| given(12, seed, banned))
            .sum::<usize>() as f64
            / rounds as f64
    };
    let (back, cold) = (sum(true), sum(false));
    assert!((0.4..1.6).contains(&(back - cold)), "{back} against {cold}");
    for seed in 0..20 {
        let settings = settings(|s| s["balancers"] = 1.into());
        let dispatcher = postproxy::Dispatcher::new(settings, seed).expect("a dispatcher");
        let mut harness = DispatcherHarness {
            dispatcher,
            now: 100.0,
        };
        harness.receive_list(ListKind::Full, (0..8).map(entry).collect());
        employ(&mut harness, 3, false);
        employ(&mut harness, 3, true);
        let mut first = None;
        for request in 1..60 {
            harness.now += 0.05;
            let actions = harness.submit(request, 2);
            first = first.or(workers_sent_to(&actions)
                .contains(&worker_id(3))
                .then_some(harness.now - 100.0));
            harness.end_attempt(request, 0, workers_sent_to(&actions)[0], Outcome::Succeeded);
        }
        assert!(
            first.is_some(),
            "seed {seed}: the only dispatcher owes it a job within 3 s"
        );
    }
}

/// Guards against a share of what a worker back in use is owed that goes by the settings' guess where more is known:
/// each of four dispatchers owes it a job with one chance in four, a single one always, one of a thousand hardly ever.
#[test]
fn how_many_owe_a_worker_back_in_use_goes_by_how_many_are_known() {
    // How many of 40 dispatchers send there in the time in which what is owed is given.
    let owing = |count: Option<u32>| {
        let owes = |seed: u64| {
            let mut harness = DispatcherHarness::new(settings(|_| {}), 6);
            harness.dispatcher = Dispatcher::new(settings(|_| {}), seed).expect("sound settings");
            harness.receive_list(ListKind::Full, (0..6).map(entry).collect());
            if let Some(count) = count {
                harness.handle(Event::DispatcherCountChanged(count));
            }
            employ(&mut harness, 0, false);
            employ(&mut harness, 0, true);
            (0..12u16).any(|n| {
                harness.now += 0.3;
                let actions = harness.submit(u64::from(n) + 1, 0);
                let to = workers_sent_to(&actions);
                for to in &to {
                    harness.end_attempt(u64::from(n) + 1, 0, *to, Outcome::Succeeded);
                }
                to.contains(&worker_id(0))
            })
        };
        (0..40).filter(|seed| owes(*seed)).count()
    };
    let (one, four, many) = (owing(Some(1)), owing(Some(4)), owing(Some(1000)));
    assert_eq!(owing(None), four, "the settings say four");
    assert!(
        one == 40 && one > four && four > many,
        "{one} {four} {many}"
    );
}

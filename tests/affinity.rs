//! Affinity of subjects: where fetching the data of a subject has a price, requests of one subject
//! go to the same worker from every dispatcher.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{
    Action, Entry, Event, Health, ListKind, NewRequest, Outcome, RequestId, Settings, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Returns settings in which a fetch has this price, after `change`.
fn with_price(price: f64, change: impl FnOnce(&mut serde_json::Value)) -> Settings {
    settings(|s| {
        s["prices"] = serde_json::json!({"origin": price, "cross-zone": 0.025});
        change(s);
    })
}

/// Returns a dispatcher that lists its workers in an order of its own; their identities are the
/// same at every dispatcher.
fn dispatcher(settings: Settings, seed: u64, workers: u16) -> DispatcherHarness {
    let dispatcher = postproxy::Dispatcher::new(settings, seed).expect("sound settings");
    let mut harness = DispatcherHarness {
        dispatcher,
        now: 100.0,
    };
    let shift = (seed % u64::from(workers)) as u16;
    let order = (0..workers).map(|n| (n + shift) % workers);
    harness.receive_list(ListKind::Full, order.map(identified).collect());
    harness
}

/// Worker `n`, in one of two zones.
fn identified(n: u16) -> Entry {
    Entry {
        identity: 1000 + u64::from(n),
        zone: (n % 2) as u8,
        ..entry(n)
    }
}

/// Submits a request of this subject.
fn submit_subject(
    harness: &mut DispatcherHarness,
    request: RequestId,
    key: u64,
    slots: f64,
) -> Vec<Action> {
    let new = NewRequest {
        id: request,
        class: 0,
        affinity_key: key,
        time_limit: 5.0,
        expected_work: Some(0.25),
        slots,
        ..NewRequest::default()
    };
    harness.handle(Event::RequestReceived(new))
}

/// Submits requests of a subject one after another and returns how many each worker received.
fn count_by_worker(
    harness: &mut DispatcherHarness,
    from: RequestId,
    jobs: u64,
    key: u64,
) -> BTreeMap<WorkerId, u64> {
    let mut all = BTreeMap::new();
    for request in from..from + jobs {
        let to = workers_sent_to(&submit_subject(harness, request, key, 1.0));
        assert_eq!(to.len(), 1, "each is sent at once");
        *all.entry(to[0]).or_insert(0) += 1;
        harness.now += 0.05;
        // Every worker reports free capacity.
        harness.end_attempt_with_report(request, 0, to[0], Outcome::Succeeded, vec![0.0, 5.0]);
    }
    all
}

/// Returns the worker that received most requests, and how many.
fn busiest(all: &BTreeMap<WorkerId, u64>) -> (WorkerId, u64) {
    let (worker, jobs) = all.iter().max_by_key(|(_, jobs)| **jobs).expect("some");
    (*worker, *jobs)
}

/// Dispatchers that share no state, list the workers in another order and are in other zones send
/// each subject to the same worker, in a fleet that is searched whole and in one that is sampled.
#[test]
fn independent_dispatchers_prefer_the_same_worker_for_a_subject() {
    for workers in [8, 200] {
        let mut homes = BTreeSet::new();
        for key in 1..=24u64 {
            let home_of = |seed: u64| {
                let set = with_price(0.2, |s| s["zone"] = (seed % 2).into());
                let all = count_by_worker(&mut dispatcher(set, seed, workers), 0, 40, key);
                let (home, jobs) = busiest(&all);
                assert!(jobs >= 36, "subject {key} of {workers} workers: {all:?}");
                home
            };
            let home = home_of(3);
            assert_eq!(home_of(8), home, "subject {key} of {workers} workers");
            homes.insert(home);
        }
        assert!(
            homes.len() >= 6,
            "not all subjects at the same few: {homes:?}"
        );
    }
}

/// When a worker is removed, only its own subjects move, and none moves back and forth.
#[test]
fn removed_worker_moves_only_its_own_subjects() {
    let mut harness = dispatcher(with_price(0.2, |_| ()), 5, 8);
    let mut next = 0;
    let mut homes = |harness: &mut DispatcherHarness| -> Vec<WorkerId> {
        (1..=40)
            .map(|key| {
                next += 20;
                busiest(&count_by_worker(harness, next, 20, key)).0
            })
            .collect()
    };
    let before = homes(&mut harness);
    let gone = before[0];
    let entry = Entry {
        worker: gone,
        health: Health::Removed,
        ..Entry::default()
    };
    harness.receive_list(ListKind::Delta, vec![entry]);
    let after = homes(&mut harness);
    for (before, after) in before.iter().zip(&after) {
        assert!(
            *after != gone && (before == after || *before == gone),
            "{before:?} moved to {after:?}"
        );
    }
}

/// A request does not wait for its subject's worker while others are idle, and every dispatcher
/// prefers the same next worker.
#[test]
fn subject_of_a_full_worker_goes_to_the_next_preferred_one() {
    let next_of = |seed: u64| {
        let mut harness = dispatcher(with_price(0.2, |_| ()), seed, 8);
        let home = busiest(&count_by_worker(&mut harness, 0, 40, 77)).0;
        let mut all = BTreeMap::new();
        for request in 100..140 {
            // The subject's worker reports that no slot is free; the others have free capacity.
            for (n, request) in (0..8).zip(1000 * request..) {
                let to = worker_id(n);
                let figures = if to == home {
                    vec![9.0, 0.0]
                } else {
                    vec![0.0, 5.0]
                };
                harness.handle(Event::ProbeEnded {
                    worker: to,
                    outcome: Outcome::Succeeded,
                    elapsed: 0.01,
                    report: figures,
                });
                let _ = request;
            }
            let to = workers_sent_to(&submit_subject(&mut harness, request, 77, 1.0));
            *all.entry(to[0]).or_insert(0) += 1;
            harness.now += 0.05;
            harness.end_attempt_with_report(request, 0, to[0], Outcome::Succeeded, vec![0.0, 5.0]);
        }
        let (next, jobs) = busiest(&all);
        assert!(next != home && jobs >= 34, "{all:?}");
        next
    };
    assert_eq!(next_of(3), next_of(8));
}

/// Where a fetch has no price, the selections are the same whatever the subjects are.
#[test]
fn subjects_change_no_decision_where_a_fetch_has_no_price() {
    for price in [0.0, -0.0] {
        let actions = |subject: u64| {
            let mut harness = dispatcher(with_price(price, |_| ()), 11, 8);
            let play = |request| {
                let actions = submit_subject(&mut harness, request, subject, 1.0);
                harness.now += 0.05;
                harness.end_attempt_with_report(
                    request,
                    0,
                    workers_sent_to(&actions)[0],
                    Outcome::Succeeded,
                    vec![1.0, 3.0],
                );
                actions
            };
            (0..200).map(play).collect::<Vec<_>>()
        };
        assert_eq!(actions(0), actions(99));
    }
}

/// A worker in slow start receives requests of subjects that prefer it, or prefer at most two other
/// workers to it. It does not have to fetch what others have cached.
#[test]
fn worker_in_slow_start_receives_subjects_that_prefer_it() {
    const WORKERS: u16 = 12;
    const COLD: u16 = 4;
    const SUBJECTS: u64 = 120;
    let set = with_price(0.2, |s| s["balancers"] = 1.into());
    let (mut warm, mut harness) = (
        dispatcher(set.clone(), 5, WORKERS),
        dispatcher(set, 5, WORKERS),
    );
    let (mut own, mut others) = (0, 0);
    for key in 1..=SUBJECTS {
        let home = busiest(&count_by_worker(&mut warm, key * 100, 20, key)).0;
        // It has just restarted, so that its budget is unused.
        let started = harness.now;
        harness.receive_list(
            ListKind::Delta,
            vec![Entry {
                started,
                ..identified(COLD)
            }],
        );
        let all = count_by_worker(&mut harness, key * 100, 20, key);
        if all.contains_key(&worker_id(COLD)) {
            *(if home == worker_id(COLD) {
                &mut own
            } else {
                &mut others
            }) += 1;
        }
        harness.now += 5.0;
        warm.now = harness.now;
    }
    assert!(own > 0, "none of the subjects that prefer it");
    assert!(
        others < SUBJECTS / 6,
        "{others} of {SUBJECTS} subjects were fetched by it though they are held elsewhere"
    );
}

/// The more expensive probes are, the fewer are sent.
#[test]
fn fewer_probes_are_sent_at_a_higher_price() {
    let asked = |price: f64| {
        let set = with_price(0.0, |s| {
            s["prices"]["probe"] = price.into();
            s["limits"]["may-probe"] = true.into();
        });
        let mut harness = dispatcher(set, 5, 8);
        let mut count = 0;
        for request in 0..400 {
            let mut actions = submit_subject(&mut harness, request, 0, 1.0);
            // All are full: a waiting request probes again.
            let mut due = timers_set(&actions);
            for _ in 0..20 {
                count += workers_probed(&actions).len();
                let answer = |to| harness.end_probe(to, Outcome::Succeeded, vec![9.0, 0.0]);
                actions = workers_probed(&actions)
                    .into_iter()
                    .flat_map(answer)
                    .collect();
                due.extend(timers_set(&actions));
            }
            count += workers_probed(&harness.run_until(harness.now + 0.1, &mut due)).len();
            harness.handle(Event::ClientDisconnected { request });
        }
        count
    };
    let (cheap, dear, dearer) = (asked(0.001), asked(0.01), asked(0.1));
    // Probes may cost 0.0075 of all weight: 7.5 for each request, more than are needed, then 0.75
    // and 0.075; ten may be saved up, and the last sample may exceed the budget.
    assert!(cheap > 400, "{cheap} probes of 400 jobs at a thousandth");
    assert!(
        (200..=313).contains(&dear),
        "{dear} probes of 400 jobs at a hundredth"
    );
    assert!(
        (20..=40).contains(&dearer),
        "{dearer} probes of 400 jobs at a tenth"
    );
}

/// The more expensive wasted work is, the fewer hedges are sent.
#[test]
fn fewer_hedges_are_sent_where_waste_costs_more() {
    let copies = |price: f64| {
        let set = with_price(0.0, |s| {
            s["prices"]["waste"] = price.into();
            s["limits"]["may-probe"] = true.into();
            s["extra"]["tells-start"] = true.into();
            s["report"]["via"] = "none".into();
        });
        let mut harness = dispatcher(set, 5, 64);
        let mut count = 0;
        for request in 0..2000 {
            let mut actions = submit_subject(&mut harness, request, 0, 1.0);
            let mut due = timers_set(&actions);
            for to in workers_probed(&actions) {
                actions.extend(harness.end_probe(to, Outcome::Succeeded, vec![0.0, 4.0]));
            }
            due.extend(timers_set(&actions));
            let first = workers_sent_to(&actions);
            let copy = workers_sent_to(&harness.run_until(harness.now + 0.4, &mut due));
            count += copy.len() + first.len().saturating_sub(1);
            harness.handle(Event::ClientDisconnected { request });
            for (to, attempt) in first.into_iter().chain(copy).zip(0..) {
                harness.end_attempt(request, attempt, to, Outcome::Cancelled);
            }
        }
        count
    };
    let (cheap, dear) = (copies(0.05), copies(0.25));
    assert!(
        cheap > 60 && dear * 3 < cheap && dear > 0,
        "{cheap} copies at a twentieth, {dear} at a quarter"
    );
}

/// A worker that stops a job for one of a higher priority, as the settings allow, is not ejected. A
/// reset of a job that can't be preempted is a fault.
#[test]
fn preempted_attempt_does_not_eject_its_worker() {
    for (order, priorities, shut_out) in [
        ("priority", [0, 1, 1], false),
        ("priority", [1, 1, 0], true),
        ("fifo", [0, 1, 1], true),
    ] {
        let set = with_price(0.0, |s| {
            s["extra"]["queue-order"] = order.into();
            s["extra"]["class-priority"] = serde_json::json!(priorities);
        });
        let mut harness = dispatcher(set, 5, 8);
        let first = workers_sent_to(&submit_subject(&mut harness, 1, 0, 1.0))[0];
        let again = workers_sent_to(&harness.end_attempt(1, 0, first, Outcome::Reset));
        assert!(
            again.len() == 1 && again[0] != first,
            "it starts over elsewhere: {again:?}"
        );
        let drawn = (10..200).any(|request| {
            let to = workers_sent_to(&submit_subject(&mut harness, request, 0, 1.0));
            harness.handle(Event::ClientDisconnected { request });
            to.iter()
                .for_each(|to| drop(harness.end_attempt(request, 0, *to, Outcome::Cancelled)));
            to.contains(&first)
        });
        assert_eq!(!drawn, shut_out, "{order} {priorities:?}");
    }
}

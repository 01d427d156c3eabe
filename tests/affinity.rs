//! Affinity keys: if fetching the data of a key has a price, every dispatcher sends the requests of
//! one key to the same worker. Also the effects of the prices of probes and of wasted work, and
//! preemption.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{
    Action, Entry, Event, Health, ListKind, NewRequest, Outcome, RequestId, Settings, WorkerId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Returns settings in which a fetch has this price, modified by `change`.
fn settings_with_fetch_price(price: f64, change: impl FnOnce(&mut serde_json::Value)) -> Settings {
    settings(|s| {
        s["prices"] = serde_json::json!({"origin": price, "cross-zone": 0.025});
        change(s);
    })
}

/// Returns a dispatcher whose order of the workers depends on the seed. The identities of the
/// workers are the same at every dispatcher.
fn dispatcher(settings: Settings, seed: u64, workers: u16) -> DispatcherHarness {
    let dispatcher = postproxy::Dispatcher::new(settings, seed).expect("valid settings");
    let mut harness = DispatcherHarness {
        dispatcher,
        now: 100.0,
    };
    let shift = (seed % u64::from(workers)) as u16;
    let order = (0..workers).map(|n| (n + shift) % workers);
    harness.receive_list(ListKind::Full, order.map(entry_with_identity).collect());
    harness
}

/// Returns the entry of worker `n`, with an identity and in one of two zones.
fn entry_with_identity(n: u16) -> Entry {
    Entry {
        identity: 1000 + u64::from(n),
        zone: (n % 2) as u8,
        ..entry(n)
    }
}

/// Submits a request with this affinity key.
fn submit_with_key(
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

/// Submits requests with this affinity key one after another and returns how many each worker
/// received.
fn count_by_worker(
    harness: &mut DispatcherHarness,
    from: RequestId,
    jobs: u64,
    key: u64,
) -> BTreeMap<WorkerId, u64> {
    let mut all = BTreeMap::new();
    for request in from..from + jobs {
        let to = workers_sent_to(&submit_with_key(harness, request, key, 1.0));
        assert_eq!(to.len(), 1, "each request is sent immediately");
        *all.entry(to[0]).or_insert(0) += 1;
        harness.now += 0.05;
        // Every worker reports free capacity.
        harness.end_attempt_with_report(request, 0, to[0], Outcome::Succeeded, vec![0.0, 5.0]);
    }
    all
}

/// Returns the worker that received the most requests, and their number.
fn busiest(all: &BTreeMap<WorkerId, u64>) -> (WorkerId, u64) {
    let (worker, jobs) = all.iter().max_by_key(|(_, jobs)| **jobs).expect("some");
    (*worker, *jobs)
}

/// Dispatchers that share no state, receive the workers in a different order and are in different
/// zones send the requests of a key to the same worker. This holds for a small fleet, where all
/// workers are candidates, and for a large one, where they are sampled.
#[test]
fn independent_dispatchers_prefer_the_same_worker_for_a_key() {
    for workers in [8, 200] {
        let mut preferred_workers = BTreeSet::new();
        for key in 1..=24u64 {
            let preferred_by = |seed: u64| {
                let set = settings_with_fetch_price(0.2, |s| s["zone"] = (seed % 2).into());
                let all = count_by_worker(&mut dispatcher(set, seed, workers), 0, 40, key);
                let (preferred, jobs) = busiest(&all);
                assert!(jobs >= 36, "key {key}, {workers} workers: {all:?}");
                preferred
            };
            let preferred = preferred_by(3);
            assert_eq!(preferred_by(8), preferred, "key {key}, {workers} workers");
            preferred_workers.insert(preferred);
        }
        assert!(
            preferred_workers.len() >= 6,
            "the keys are spread over several workers: {preferred_workers:?}"
        );
    }
}

/// When a worker is removed, only the keys that prefer it move to other workers.
#[test]
fn removed_worker_moves_only_its_own_keys() {
    let mut harness = dispatcher(settings_with_fetch_price(0.2, |_| ()), 5, 8);
    let mut next = 0;
    let mut preferred_workers = |harness: &mut DispatcherHarness| -> Vec<WorkerId> {
        (1..=40)
            .map(|key| {
                next += 20;
                busiest(&count_by_worker(harness, next, 20, key)).0
            })
            .collect()
    };
    let before = preferred_workers(&mut harness);
    let removed = before[0];
    let entry = Entry {
        worker: removed,
        health: Health::Removed,
        ..Entry::default()
    };
    harness.receive_list(ListKind::Delta, vec![entry]);
    let after = preferred_workers(&mut harness);
    for (before, after) in before.iter().zip(&after) {
        assert!(
            *after != removed && (before == after || *before == removed),
            "{before:?} moved to {after:?}"
        );
    }
}

/// A request does not wait for its preferred worker while others are idle, and all dispatchers
/// agree on the next preferred worker.
#[test]
fn request_whose_preferred_worker_is_full_goes_to_the_next_preferred_one() {
    let next_of = |seed: u64| {
        let mut harness = dispatcher(settings_with_fetch_price(0.2, |_| ()), seed, 8);
        let preferred = busiest(&count_by_worker(&mut harness, 0, 40, 77)).0;
        let mut all = BTreeMap::new();
        for request in 100..140 {
            // The preferred worker reports that no slot is free; the others have free capacity.
            for n in 0..8 {
                let to = worker_id(n);
                let report = if to == preferred {
                    vec![9.0, 0.0]
                } else {
                    vec![0.0, 5.0]
                };
                harness.handle(Event::ProbeEnded {
                    worker: to,
                    outcome: Outcome::Succeeded,
                    elapsed: 0.01,
                    report,
                });
            }
            let to = workers_sent_to(&submit_with_key(&mut harness, request, 77, 1.0));
            *all.entry(to[0]).or_insert(0) += 1;
            harness.now += 0.05;
            harness.end_attempt_with_report(request, 0, to[0], Outcome::Succeeded, vec![0.0, 5.0]);
        }
        let (next, jobs) = busiest(&all);
        assert!(next != preferred && jobs >= 34, "{all:?}");
        next
    };
    assert_eq!(next_of(3), next_of(8));
}

/// If a fetch has no price, affinity keys do not affect the selection.
#[test]
fn affinity_keys_change_no_decision_where_a_fetch_has_no_price() {
    for price in [0.0, -0.0] {
        let actions = |key: u64| {
            let mut harness = dispatcher(settings_with_fetch_price(price, |_| ()), 11, 8);
            let submit_and_end = |request| {
                let actions = submit_with_key(&mut harness, request, key, 1.0);
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
            (0..200).map(submit_and_end).collect::<Vec<_>>()
        };
        assert_eq!(actions(0), actions(99));
    }
}

/// A worker in slow start receives only requests with keys for which at most two workers rank above
/// it, so that it does not have to fetch data that others have cached.
#[test]
fn worker_in_slow_start_receives_keys_that_prefer_it() {
    const WORKERS: u16 = 12;
    const RESTARTED: u16 = 4;
    const KEYS: u64 = 120;
    let set = settings_with_fetch_price(0.2, |s| s["balancers"] = 1.into());
    let (mut without_restart, mut harness) = (
        dispatcher(set.clone(), 5, WORKERS),
        dispatcher(set, 5, WORKERS),
    );
    let (mut own, mut others) = (0, 0);
    for key in 1..=KEYS {
        let preferred = busiest(&count_by_worker(&mut without_restart, key * 100, 20, key)).0;
        // The worker has just restarted, so its budget is unused.
        let started = harness.now;
        harness.receive_list(
            ListKind::Delta,
            vec![Entry {
                started,
                ..entry_with_identity(RESTARTED)
            }],
        );
        let all = count_by_worker(&mut harness, key * 100, 20, key);
        if all.contains_key(&worker_id(RESTARTED)) {
            *(if preferred == worker_id(RESTARTED) {
                &mut own
            } else {
                &mut others
            }) += 1;
        }
        harness.now += 5.0;
        without_restart.now = harness.now;
    }
    assert!(own > 0, "it received no key that prefers it");
    assert!(
        others < KEYS / 6,
        "it fetched {others} of {KEYS} keys that others have cached"
    );
}

/// The more expensive probes are, the fewer are sent.
#[test]
fn fewer_probes_are_sent_at_a_higher_price() {
    let count_probes = |price: f64| {
        let set = settings_with_fetch_price(0.0, |s| {
            s["prices"]["probe"] = price.into();
            s["limits"]["may-probe"] = true.into();
        });
        let mut harness = dispatcher(set, 5, 8);
        let mut count = 0;
        for request in 0..400 {
            let mut actions = submit_with_key(&mut harness, request, 0, 1.0);
            // All workers are full, and a deferred request probes again.
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
    let (low, medium, high) = (count_probes(0.001), count_probes(0.01), count_probes(0.1));
    // Probes may cost 0.0075 of the total weight. At these prices that is 7.5 probes per request,
    // which is more than needed, 0.75 and 0.075. Up to ten may be accumulated, and the last sample
    // may exceed the budget.
    assert!(low > 400, "{low} probes for 400 requests at 0.001");
    assert!(
        (200..=313).contains(&medium),
        "{medium} probes for 400 requests at 0.01"
    );
    assert!(
        (20..=40).contains(&high),
        "{high} probes for 400 requests at 0.1"
    );
}

/// The more expensive wasted work is, the fewer hedges are sent.
#[test]
fn fewer_hedges_are_sent_where_waste_costs_more() {
    let count_hedges = |price: f64| {
        let set = settings_with_fetch_price(0.0, |s| {
            s["prices"]["waste"] = price.into();
            s["limits"]["may-probe"] = true.into();
            s["extra"]["tells-start"] = true.into();
            s["report"]["via"] = "none".into();
        });
        let mut harness = dispatcher(set, 5, 64);
        let mut count = 0;
        for request in 0..2000 {
            let mut actions = submit_with_key(&mut harness, request, 0, 1.0);
            let mut due = timers_set(&actions);
            for to in workers_probed(&actions) {
                actions.extend(harness.end_probe(to, Outcome::Succeeded, vec![0.0, 4.0]));
            }
            due.extend(timers_set(&actions));
            let first = workers_sent_to(&actions);
            let hedged_to = workers_sent_to(&harness.run_until(harness.now + 0.4, &mut due));
            count += hedged_to.len() + first.len().saturating_sub(1);
            harness.handle(Event::ClientDisconnected { request });
            for (to, attempt) in first.into_iter().chain(hedged_to).zip(0..) {
                harness.end_attempt(request, attempt, to, Outcome::Cancelled);
            }
        }
        count
    };
    let (low, high) = (count_hedges(0.05), count_hedges(0.25));
    assert!(
        low > 60 && high * 3 < low && high > 0,
        "{low} hedges at 0.05, {high} at 0.25"
    );
}

/// A worker that stops a job in favour of one with a higher priority, as the settings allow, is not
/// ejected. If a job can't be preempted, a reset is a fault of the worker.
#[test]
fn preempted_attempt_does_not_eject_its_worker() {
    for (order, priorities, is_ejected) in [
        ("priority", [0, 1, 1], false),
        ("priority", [1, 1, 0], true),
        ("fifo", [0, 1, 1], true),
    ] {
        let set = settings_with_fetch_price(0.0, |s| {
            s["extra"]["queue-order"] = order.into();
            s["extra"]["class-priority"] = serde_json::json!(priorities);
        });
        let mut harness = dispatcher(set, 5, 8);
        let first = workers_sent_to(&submit_with_key(&mut harness, 1, 0, 1.0))[0];
        let again = workers_sent_to(&harness.end_attempt(1, 0, first, Outcome::Reset));
        assert!(
            again.len() == 1 && again[0] != first,
            "it is retried at another worker: {again:?}"
        );
        let drawn = (10..200).any(|request| {
            let to = workers_sent_to(&submit_with_key(&mut harness, request, 0, 1.0));
            harness.handle(Event::ClientDisconnected { request });
            to.iter()
                .for_each(|to| drop(harness.end_attempt(request, 0, *to, Outcome::Cancelled)));
            to.contains(&first)
        });
        assert_eq!(!drawn, is_ejected, "{order} {priorities:?}");
    }
}

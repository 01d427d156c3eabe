//! Two dispatchers of one node during a hot restart: requests that migrate, and events that count
//! for both. Seeds are fixed.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{Action, Dispatcher, Event, ListKind, Outcome, RequestId, SiblingEvent, WorkerId};
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

fn harness(workers: u16, change: impl FnOnce(&mut serde_json::Value)) -> DispatcherHarness {
    DispatcherHarness::new(settings(change), workers)
}

/// The state of a request, whichever dispatcher has it.
#[derive(Default)]
struct Observed {
    class: u8,
    sent: u16,
    out: Vec<(u16, WorkerId)>,
    may_have_run: bool,
    answers: u32,
}

/// A request that migrates, at any point, gets exactly one answer, does not run again against its
/// class, and does not exceed its attempts.
#[test]
fn migrated_request_continues_where_it_was() {
    let (mut moved, mut after) = (0, 0);
    for seed in 0..120 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let mut harnesses = [harness(6, |_| {}), harness(6, |_| {})];
        let mut due = [Vec::new(), Vec::new()];
        let (mut seen, mut owner) = (
            BTreeMap::<RequestId, Observed>::new(),
            BTreeMap::<RequestId, usize>::new(),
        );
        let mut next = 1;
        let mut now = 100.0;
        for step in 0..260 {
            let mut pick = |n: usize| rng.next_u32() as usize % n;
            let (what, wait) = (pick(8), pick(60) as f64 / 100.0);
            let mut done: [Vec<Action>; 2] = Default::default();
            match what {
                // New requests reach the older process, in the first half.
                0..=2 if step < 130 => {
                    let class = pick(3) as u8;
                    seen.insert(
                        next,
                        Observed {
                            class,
                            ..Observed::default()
                        },
                    );
                    owner.insert(next, 0);
                    done[0] = harnesses[0].submit(next, class);
                    next += 1;
                }
                // A request migrates to the newer process.
                3 | 4 if step > 40 => {
                    let here: Vec<RequestId> = owner
                        .iter()
                        .filter(|(_, at)| **at == 0)
                        .map(|(id, _)| *id)
                        .collect();
                    if let Some(&id) = here.get(pick(here.len().max(1)))
                        && let Some(carried) = harnesses[0].dispatcher.release(id)
                    {
                        assert_eq!(carried.workers.len(), seen[&id].sent as usize);
                        owner.insert(id, 1);
                        moved += 1;
                        let carried = Box::new(carried);
                        done[1] = harnesses[1].handle(Event::RequestMigrated {
                            request: id,
                            record: carried,
                        });
                    }
                }
                5 | 6 => {
                    let open: Vec<RequestId> = seen
                        .iter()
                        .filter(|(_, s)| !s.out.is_empty())
                        .map(|(id, _)| *id)
                        .collect();
                    if let Some(&id) = open.get(pick(open.len().max(1))) {
                        let s = seen.get_mut(&id).expect("it is there");
                        let (attempt, to) = s.out.swap_remove(pick(s.out.len()));
                        let outcomes = [
                            Outcome::Succeeded,
                            Outcome::Rejected,
                            Outcome::Reset,
                            Outcome::Timeout,
                        ];
                        let outcome = outcomes[pick(4)];
                        let closed = s.answers > 0 || outcome == Outcome::Succeeded;
                        s.answers += u32::from(outcome == Outcome::Succeeded && s.answers == 0);
                        s.may_have_run |= outcome != Outcome::Rejected;
                        let (at, report) = (owner[&id], Vec::new());
                        let event = Event::AttemptEnded {
                            request: id,
                            attempt,
                            worker: to,
                            outcome,
                            elapsed: 0.1,
                            answered: closed,
                            report,
                        };
                        done[at] = harnesses[at].handle(event);
                    }
                }
                _ => {
                    now += wait;
                    for at in 0..2 {
                        done[at] = harnesses[at].run_until(now, &mut due[at]);
                    }
                }
            }
            for at in 0..2 {
                due[at].extend(timers_set(&done[at]).into_iter().filter(|_| what != 7));
                for action in &done[at] {
                    match action {
                        Action::Send {
                            request, worker, ..
                        } => {
                            let s = seen.get_mut(request).expect("a request of this test");
                            assert_eq!(
                                owner[request], at,
                                "seed {seed}: sent by who has let it go"
                            );
                            assert!(
                                s.class != 2 || !s.may_have_run && s.out.is_empty(),
                                "seed {seed}: run twice"
                            );
                            assert!(s.sent < 4 && s.answers == 0, "seed {seed}");
                            s.out.push((s.sent, *worker));
                            s.sent += 1;
                            after += usize::from(at == 1);
                        }
                        Action::Cancel { request, attempt } => {
                            let s = seen.get_mut(request).expect("a request of this test");
                            assert_eq!(
                                owner[request], at,
                                "seed {seed}: called back by who has let it go"
                            );
                            s.out.retain(|(a, _)| a != attempt);
                            let worker = WorkerId::default();
                            let (elapsed, closed, report) = (0.1, s.answers > 0, Vec::new());
                            s.may_have_run = true;
                            let outcome = Outcome::Cancelled;
                            let (request, attempt) = (*request, *attempt);
                            let event = Event::AttemptEnded {
                                request,
                                attempt,
                                worker,
                                outcome,
                                elapsed,
                                answered: closed,
                                report,
                            };
                            let more = harnesses[at].handle(event);
                            due[at].extend(timers_set(&more));
                        }
                        Action::Reject { request, .. } | Action::Fail { request } => {
                            let s = seen.get_mut(request).expect("a request of this test");
                            s.answers += 1;
                            assert_eq!(
                                (s.answers, owner[request]),
                                (1, at),
                                "seed {seed}: request {request}"
                            );
                        }
                        _ => {}
                    }
                }
            }
        }
        // All deadlines pass.
        for at in 0..2 {
            for action in harnesses[at].run_until(now + 30.0, &mut due[at]) {
                if let Action::Reject { request, .. } | Action::Fail { request } = action {
                    seen.get_mut(&request)
                        .expect("a request of this test")
                        .answers += 1;
                }
            }
        }
        for (id, s) in &seen {
            assert_eq!(
                s.answers, 1,
                "seed {seed}: request {id} of class {} at {}",
                s.class, owner[id]
            );
        }
    }
    assert!(
        moved > 1000 && after > 200,
        "{moved} moved, {after} sent after that"
    );
}

/// Two processes of a node share one retry budget and one slow-start budget: the attempts of the
/// sibling process count like own ones until they end.
#[test]
fn attempts_and_retries_of_the_sibling_process_count() {
    let elsewhere =
        |harness: &mut DispatcherHarness, news| harness.handle(Event::SiblingEvent(news));
    let mut one = harness(2, |_| {});
    let sent = |request| SiblingEvent::AttemptSent {
        request,
        attempt: 0,
        worker: worker_id(0),
        slots: 1.0,
        work: Some(0.5),
        sent: 100.0,
    };
    for request in 1000..1040 {
        elsewhere(&mut one, sent(request));
    }
    let mut to = [0, 0];
    for request in 1..=40 {
        let all = workers_sent_to(&one.submit(request, 2));
        to[usize::from(all[0] == worker_id(1))] += 1;
        one.end_attempt(request, 0, all[0], Outcome::Succeeded);
    }
    assert!(
        to[1] > 30,
        "40 jobs of the other process are on worker 0: {to:?}"
    );
    for request in 1000..1040 {
        elsewhere(
            &mut one,
            SiblingEvent::AttemptEnded {
                request,
                attempt: 0,
                worker: worker_id(0),
            },
        );
    }
    let mut to = [0, 0];
    for request in 101..=140 {
        let all = workers_sent_to(&one.submit(request, 2));
        to[usize::from(all[0] == worker_id(1))] += 1;
        one.end_attempt(request, 0, all[0], Outcome::Succeeded);
    }
    assert!(to[0] > 8, "they have ended: {to:?}");
    // The sibling has used the whole budget of a worker in slow start.
    let mut two = harness(2, |_| {});
    two.receive_list(
        ListKind::Delta,
        vec![postproxy::Entry {
            started: 99.9,
            ..entry(0)
        }],
    );
    for request in 1000..1040 {
        elsewhere(&mut two, sent(request));
    }
    for request in 1..=60 {
        let all = workers_sent_to(&two.submit(request, 2));
        assert!(
            all.iter().all(|w| *w == worker_id(1)),
            "a cold worker has had its budget"
        );
        if let Some(&w) = all.first() {
            two.end_attempt(request, 0, w, Outcome::Succeeded);
        }
    }
    // The sibling has used a budget of one retry in 10 s, until the window has passed.
    for (ago, further) in [(9.5, 0), (10.5, 1)] {
        let mut three = harness(3, |s| {
            s["rules"]["spare-attempts"] = 1.into();
            s["rules"]["look-back"] = 10.into();
        });
        let (taken, last) = (Vec::new(), vec![100.0 - ago]);
        elsewhere(
            &mut three,
            SiblingEvent::BudgetHistory {
                admitted: taken,
                retries: last,
            },
        );
        let to = workers_sent_to(&three.submit(1, 2))[0];
        assert_eq!(
            workers_sent_to(&three.end_attempt(1, 0, to, Outcome::Rejected)).len(),
            further,
            "{ago} s after"
        );
    }
    let bad = Dispatcher::new(settings(|_| {}), 1)
        .expect("a dispatcher")
        .release(7);
    assert!(bad.is_none(), "what is not there can't go");
}

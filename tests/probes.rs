//! Answers to probes that come late, never, out of order, from before a worker's start, and all at once after a pause.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{Action, Entry, Event, Health, ListKind, Outcome, WorkerId};

/// Workers of the fleet, and slots of each.
const WORKERS: u16 = 3;
const SLOTS: f32 = 4.0;

/// Load comes by probes alone; jobs tell of starts and progress each second.
fn harness() -> DispatcherHarness {
    let set = settings(|s| {
        s["limits"]["may-probe"] = true.into();
        s["report"]["via"] = "probe".into();
        s["extra"]["tells-start"] = true.into();
    });
    DispatcherHarness::new(set, WORKERS)
}

/// The answer to a probe that was sent at that time, with so many free slots and so many jobs waiting.
fn answered(
    harness: &mut DispatcherHarness,
    to: WorkerId,
    sent: f64,
    free: f32,
    waiting: f32,
) -> Vec<Action> {
    let (outcome, elapsed) = (Outcome::Succeeded, harness.now - sent);
    harness.handle(Event::ProbeEnded {
        worker: to,
        outcome,
        elapsed,
        report: vec![waiting, free],
    })
}

/// Tells that all workers but this one are full, and this one empty, by probes that are sent now.
fn only_room_at(harness: &mut DispatcherHarness, to: WorkerId) {
    let sent = harness.now;
    for n in 0..WORKERS {
        // First that it has slots at all.
        answered(harness, worker_id(n), sent, SLOTS, 0.0);
        let (free, waiting) = if worker_id(n) == to {
            (SLOTS, 0.0)
        } else {
            (0.0, 40.0)
        };
        answered(harness, worker_id(n), sent, free, waiting);
    }
}

/// Guards against an old answer in the place of a newer one: it says that a worker is empty which has been full since.
#[test]
fn probe_answer_out_of_order_changes_nothing() {
    for late in [false, true] {
        let mut harness = harness();
        harness.now += 1.0;
        only_room_at(&mut harness, worker_id(1));
        // Sent before the others, and heard after them.
        let sent = harness.now - 0.3;
        if late {
            for _ in 0..20 {
                answered(&mut harness, worker_id(0), sent, SLOTS, 0.0);
                answered(&mut harness, worker_id(1), sent, 0.0, 40.0);
            }
        }
        let actions = harness.submit(1, 0);
        let mut to = workers_sent_to(&actions);
        for probe in workers_probed(&actions) {
            let (free, waiting) = if probe == worker_id(1) {
                (SLOTS, 0.0)
            } else {
                (0.0, 40.0)
            };
            let now = harness.now;
            to.extend(workers_sent_to(&answered(
                &mut harness,
                probe,
                now,
                free,
                waiting,
            )));
        }
        assert_eq!(to, [worker_id(1)], "late answers: {late}");
    }
}

/// Guards against figures of a process that is gone, and against a worker that is shut out since a probe of that process failed.
#[test]
fn probe_answer_from_before_a_restart_changes_nothing() {
    let mut harness = harness();
    harness.now += 1.0;
    only_room_at(&mut harness, worker_id(1));
    let before = harness.now;
    // All have started anew, long enough ago to be warm, and are told so now.
    harness.now += 60.0;
    let started = before + 1.0;
    let entries = (0..WORKERS)
        .map(|n| Entry {
            started,
            ..entry(n)
        })
        .collect();
    harness.receive_list(ListKind::Delta, entries);
    for n in 0..WORKERS {
        answered(&mut harness, worker_id(n), before, 0.0, 40.0);
        let failed = Event::ProbeEnded {
            worker: worker_id(n),
            outcome: Outcome::Timeout,
            elapsed: harness.now - before,
            report: Vec::new(),
        };
        harness.handle(failed);
    }
    let asked = workers_probed(&harness.submit(1, 0));
    assert!(
        !asked.is_empty(),
        "what is known of them is of before their start: they are asked"
    );
    let now = harness.now;
    let mut to = Vec::new();
    for probe in asked {
        to.extend(workers_sent_to(&answered(
            &mut harness,
            probe,
            now,
            SLOTS,
            0.0,
        )));
    }
    assert_eq!(
        to.len(),
        1,
        "nothing of before the start counts against any"
    );
}

/// Guards against a request that waits for answers that never come, and against one placed a second time by answers that come after all.
#[test]
fn lost_and_late_probe_answers_delay_a_request_only_briefly() {
    let mut harness = harness();
    let actions = harness.submit(1, 0);
    let asked = workers_probed(&actions);
    assert!(!asked.is_empty() && workers_sent_to(&actions).is_empty());
    let (mut due, sent) = (timers_set(&actions), harness.now);
    let soon = harness.now + 0.15;
    let mut actions = harness.run_until(soon, &mut due);
    let placed = workers_sent_to(&actions);
    assert_eq!(placed.len(), 1, "sent by what is known");
    for to in asked {
        actions = answered(&mut harness, to, sent, SLOTS, 0.0);
        assert_eq!(workers_sent_to(&actions), [], "one attempt is out");
    }
}

/// Guards against a worker that takes jobs and answers none, and is drawn again as soon as a probe is answered: that it lives is no sign
/// that it works.
#[test]
fn worker_that_answers_only_probes_stays_ejected() {
    let mut harness = harness();
    harness.now += 1.0;
    only_room_at(&mut harness, worker_id(0));
    let actions = harness.submit(1, 2);
    let mut due = timers_set(&actions);
    let mut to = workers_sent_to(&actions);
    for probe in workers_probed(&actions) {
        let (free, waiting) = if probe == worker_id(0) {
            (SLOTS, 0.0)
        } else {
            (0.0, 40.0)
        };
        let now = harness.now;
        to.extend(workers_sent_to(&answered(
            &mut harness,
            probe,
            now,
            free,
            waiting,
        )));
    }
    assert_eq!(to, [worker_id(0)]);
    harness.report_progress(1, 0, postproxy::ProgressNote::Started);
    // It says nothing more, while its probes go on: by them it is the emptiest of all.
    let until = harness.now + 2.5;
    harness.run_until(until, &mut due);
    let mut again = Vec::new();
    for request in 10..30 {
        let now = harness.now;
        for _ in 0..10 {
            (0..WORKERS).for_each(|n| drop(answered(&mut harness, worker_id(n), now, SLOTS, 0.0)));
        }
        let actions = harness.submit(request, 0);
        again.extend(workers_sent_to(&actions));
        for probe in workers_probed(&actions) {
            again.extend(workers_sent_to(&answered(
                &mut harness,
                probe,
                now,
                SLOTS,
                0.0,
            )));
        }
        harness.handle(Event::ClientDisconnected { request });
        harness.now += 0.01;
    }
    assert!(
        again.len() >= 5 && !again.contains(&worker_id(0)),
        "{again:?}"
    );
}

/// Guards against a process that was stopped for a while and takes all its workers for dead: each probe's time is up at once. With so many
/// shut out the cause is not the workers.
#[test]
fn probes_that_expire_at_once_eject_no_worker() {
    let mut harness = harness();
    let actions = harness.submit(1, 0);
    let (asked, sent) = (workers_probed(&actions), harness.now);
    let mut due = timers_set(&actions);
    harness.now += 3.0;
    for to in asked {
        let elapsed = harness.now - sent;
        harness.handle(Event::ProbeEnded {
            worker: to,
            outcome: Outcome::Timeout,
            elapsed,
            report: Vec::new(),
        });
    }
    let soon = harness.now + 0.5;
    harness.run_until(soon, &mut due);
    let actions = harness.submit(2, 0);
    let mut due = timers_set(&actions);
    let mut to = workers_sent_to(&actions);
    let soon = harness.now + 0.5;
    to.extend(workers_sent_to(&harness.run_until(soon, &mut due)));
    assert!(!to.is_empty(), "the next request is sent all the same");
}

/// Guards against a repeat at a worker whose rack is not told: 'no rack' is not a rack that two workers share; and against one where the
/// rack is gone.
#[test]
fn no_retry_goes_to_an_unknown_or_removed_cell() {
    use postproxy::decision::interface::{NO_CELL, NO_ZONE};
    let unknown = |n: u16| Entry {
        cell: NO_CELL,
        zone: NO_ZONE,
        ..entry(n)
    };
    for (scope, known) in [
        ("cell", true),
        ("cell", false),
        ("zone", true),
        ("zone", false),
    ] {
        let set = settings(|s| {
            s["services"][1]["dedup-scope"] = scope.into();
            s["services"][1]["memory-span"] = 9.0.into();
        });
        let mut harness = DispatcherHarness::new(set, 0);
        let entries = (0..4)
            .map(|n| if known { entry(n) } else { unknown(n) })
            .collect();
        harness.receive_list(ListKind::Full, entries);
        let actions = harness.submit(1, 1);
        let (first, mut due) = (workers_sent_to(&actions), timers_set(&actions));
        due.extend(timers_set(&harness.end_attempt(
            1,
            0,
            first[0],
            Outcome::Reset,
        )));
        let until = harness.now + 1.0;
        let again = !workers_sent_to(&harness.run_until(until, &mut due)).is_empty();
        let at_once = harness.dispatcher.budget_history(10).retries.len() == 1;
        assert_eq!(again || at_once, known, "{scope}, told: {known}");
    }
    // Its rack is gone between two attempts, and others are there.
    let mut harness = DispatcherHarness::new(
        settings(|s| s["services"][1]["memory-span"] = 9.0.into()),
        8,
    );
    let actions = harness.submit(1, 1);
    let (first, mut due) = (workers_sent_to(&actions)[0], timers_set(&actions));
    let cell = u16::from(first.address[3]) / 4;
    let gone = (0..8).filter(|n| n / 4 == cell && worker_id(*n) != first);
    harness.receive_list(
        ListKind::Delta,
        gone.map(|n| entry_with_health(n, Health::Removed))
            .collect(),
    );
    let mut actions = harness.end_attempt(1, 0, first, Outcome::Reset);
    due.extend(timers_set(&actions));
    let until = harness.now + 10.0;
    actions.extend(harness.run_until(until, &mut due));
    assert!(
        workers_sent_to(&actions).is_empty() && is_failed(&actions) && !is_rejected(&actions),
        "{actions:?}"
    );
}

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
    harness.event(Event::ProbeEnded {
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
        answered(harness, worker(n), sent, SLOTS, 0.0);
        let (free, waiting) = if worker(n) == to {
            (SLOTS, 0.0)
        } else {
            (0.0, 40.0)
        };
        answered(harness, worker(n), sent, free, waiting);
    }
}

/// Guards against an old answer in the place of a newer one: it says that a worker is empty which has been full since.
#[test]
fn an_answer_out_of_order_changes_nothing() {
    for late in [false, true] {
        let mut harness = harness();
        harness.now += 1.0;
        only_room_at(&mut harness, worker(1));
        // Sent before the others, and heard after them.
        let sent = harness.now - 0.3;
        if late {
            for _ in 0..20 {
                answered(&mut harness, worker(0), sent, SLOTS, 0.0);
                answered(&mut harness, worker(1), sent, 0.0, 40.0);
            }
        }
        let actions = harness.request(1, 0);
        let mut to = sends(&actions);
        for probe in probes(&actions) {
            let (free, waiting) = if probe == worker(1) {
                (SLOTS, 0.0)
            } else {
                (0.0, 40.0)
            };
            let now = harness.now;
            to.extend(sends(&answered(&mut harness, probe, now, free, waiting)));
        }
        assert_eq!(to, [worker(1)], "late answers: {late}");
    }
}

/// Guards against figures of a process that is gone, and against a worker that is shut out since a probe of that process failed.
#[test]
fn an_answer_from_before_a_start_changes_nothing() {
    let mut harness = harness();
    harness.now += 1.0;
    only_room_at(&mut harness, worker(1));
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
    harness.list(ListKind::Delta, entries);
    for n in 0..WORKERS {
        answered(&mut harness, worker(n), before, 0.0, 40.0);
        let failed = Event::ProbeEnded {
            worker: worker(n),
            outcome: Outcome::Timeout,
            elapsed: harness.now - before,
            report: Vec::new(),
        };
        harness.event(failed);
    }
    let asked = probes(&harness.request(1, 0));
    assert!(
        !asked.is_empty(),
        "what is known of them is of before their start: they are asked"
    );
    let now = harness.now;
    let mut to = Vec::new();
    for probe in asked {
        to.extend(sends(&answered(&mut harness, probe, now, SLOTS, 0.0)));
    }
    assert_eq!(
        to.len(),
        1,
        "nothing of before the start counts against any"
    );
}

/// Guards against a request that waits for answers that never come, and against one placed a second time by answers that come after all.
#[test]
fn lost_and_late_answers_hold_a_request_up_but_briefly() {
    let mut harness = harness();
    let actions = harness.request(1, 0);
    let asked = probes(&actions);
    assert!(!asked.is_empty() && sends(&actions).is_empty());
    let (mut due, sent) = (timers(&actions), harness.now);
    let soon = harness.now + 0.15;
    let mut actions = harness.run(soon, &mut due);
    let placed = sends(&actions);
    assert_eq!(placed.len(), 1, "sent by what is known");
    for to in asked {
        actions = answered(&mut harness, to, sent, SLOTS, 0.0);
        assert_eq!(sends(&actions), [], "one attempt is out");
    }
}

/// Guards against a worker that takes jobs and answers none, and is drawn again as soon as a probe is answered: that it lives is no sign
/// that it works.
#[test]
fn a_worker_that_answers_probes_alone_stays_out_of_the_draw() {
    let mut harness = harness();
    harness.now += 1.0;
    only_room_at(&mut harness, worker(0));
    let actions = harness.request(1, 2);
    let mut due = timers(&actions);
    let mut to = sends(&actions);
    for probe in probes(&actions) {
        let (free, waiting) = if probe == worker(0) {
            (SLOTS, 0.0)
        } else {
            (0.0, 40.0)
        };
        let now = harness.now;
        to.extend(sends(&answered(&mut harness, probe, now, free, waiting)));
    }
    assert_eq!(to, [worker(0)]);
    harness.note(1, 0, postproxy::ProgressNote::Started);
    // It says nothing more, while its probes go on: by them it is the emptiest of all.
    let until = harness.now + 2.5;
    harness.run(until, &mut due);
    let mut again = Vec::new();
    for request in 10..30 {
        let now = harness.now;
        for _ in 0..10 {
            (0..WORKERS).for_each(|n| drop(answered(&mut harness, worker(n), now, SLOTS, 0.0)));
        }
        let actions = harness.request(request, 0);
        again.extend(sends(&actions));
        for probe in probes(&actions) {
            again.extend(sends(&answered(&mut harness, probe, now, SLOTS, 0.0)));
        }
        harness.event(Event::ClientDisconnected { request });
        harness.now += 0.01;
    }
    assert!(again.len() >= 5 && !again.contains(&worker(0)), "{again:?}");
}

/// Guards against a process that was stopped for a while and takes all its workers for dead: each probe's time is up at once. With so many
/// shut out the cause is not the workers.
#[test]
fn probes_that_are_all_due_at_once_shut_nobody_out() {
    let mut harness = harness();
    let actions = harness.request(1, 0);
    let (asked, sent) = (probes(&actions), harness.now);
    let mut due = timers(&actions);
    harness.now += 3.0;
    for to in asked {
        let elapsed = harness.now - sent;
        harness.event(Event::ProbeEnded {
            worker: to,
            outcome: Outcome::Timeout,
            elapsed,
            report: Vec::new(),
        });
    }
    let soon = harness.now + 0.5;
    harness.run(soon, &mut due);
    let actions = harness.request(2, 0);
    let mut due = timers(&actions);
    let mut to = sends(&actions);
    let soon = harness.now + 0.5;
    to.extend(sends(&harness.run(soon, &mut due)));
    assert!(!to.is_empty(), "the next request is sent all the same");
}

/// Guards against a repeat at a worker whose rack is not told: 'no rack' is not a rack that two workers share; and against one where the
/// rack is gone.
#[test]
fn a_rack_that_is_unknown_or_gone_takes_no_repeat() {
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
        harness.list(ListKind::Full, entries);
        let actions = harness.request(1, 1);
        let (first, mut due) = (sends(&actions), timers(&actions));
        due.extend(timers(&harness.outcome(1, 0, first[0], Outcome::Reset)));
        let until = harness.now + 1.0;
        let again = !sends(&harness.run(until, &mut due)).is_empty();
        let at_once = harness.dispatcher.budget_history(10).retries.len() == 1;
        assert_eq!(again || at_once, known, "{scope}, told: {known}");
    }
    // Its rack is gone between two attempts, and others are there.
    let mut harness = DispatcherHarness::new(
        settings(|s| s["services"][1]["memory-span"] = 9.0.into()),
        8,
    );
    let actions = harness.request(1, 1);
    let (first, mut due) = (sends(&actions)[0], timers(&actions));
    let cell = u16::from(first.address[3]) / 4;
    let gone = (0..8).filter(|n| n / 4 == cell && worker(*n) != first);
    harness.list(
        ListKind::Delta,
        gone.map(|n| with_health(n, Health::Removed)).collect(),
    );
    let mut actions = harness.outcome(1, 0, first, Outcome::Reset);
    due.extend(timers(&actions));
    let until = harness.now + 10.0;
    actions.extend(harness.run(until, &mut due));
    assert!(
        sends(&actions).is_empty() && failed(&actions) && !refused(&actions),
        "{actions:?}"
    );
}

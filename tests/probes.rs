//! Probe answers that are late, lost, out of order or from before a worker's restart, probes that
//! all expire at once after a pause, and deduplication scopes that are unknown or removed.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;

use dispatcher_harness::*;
use postproxy::{Action, Entry, Event, Health, ListKind, Outcome, WorkerId};

/// Number of workers.
const WORKERS: u16 = 3;
/// Number of slots of each worker.
const SLOTS: f32 = 4.0;

/// Returns a dispatcher that receives load reports from probes only. Workers report starts and
/// progress.
fn harness() -> DispatcherHarness {
    let set = settings(|s| {
        s["limits"]["may-probe"] = true.into();
        s["report"]["via"] = "probe".into();
        s["extra"]["tells-start"] = true.into();
    });
    DispatcherHarness::new(set, WORKERS)
}

/// Handles the answer to a probe that was sent at `sent`.
fn answer_probe(
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

/// Reports, through probes, that this worker is idle and all others are full.
fn report_free_capacity_only_at(harness: &mut DispatcherHarness, to: WorkerId) {
    let sent = harness.now;
    for n in 0..WORKERS {
        // The first report shows the number of slots.
        answer_probe(harness, worker_id(n), sent, SLOTS, 0.0);
        let (free, waiting) = if worker_id(n) == to {
            (SLOTS, 0.0)
        } else {
            (0.0, 40.0)
        };
        answer_probe(harness, worker_id(n), sent, free, waiting);
    }
}

/// An old answer that shows a worker as idle does not replace a newer one that shows it as full.
#[test]
fn probe_answer_out_of_order_changes_nothing() {
    for late in [false, true] {
        let mut harness = harness();
        harness.now += 1.0;
        report_free_capacity_only_at(&mut harness, worker_id(1));
        // These probes were sent before the others and are answered after them.
        let sent = harness.now - 0.3;
        if late {
            for _ in 0..20 {
                answer_probe(&mut harness, worker_id(0), sent, SLOTS, 0.0);
                answer_probe(&mut harness, worker_id(1), sent, 0.0, 40.0);
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
            to.extend(workers_sent_to(&answer_probe(
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

/// A probe answer of a worker's previous process is ignored, and a failed probe of that process
/// does not eject the worker.
#[test]
fn probe_answer_from_before_a_restart_changes_nothing() {
    let mut harness = harness();
    harness.now += 1.0;
    report_free_capacity_only_at(&mut harness, worker_id(1));
    let before = harness.now;
    // All workers restarted long enough ago to have warmed up, but the list reports it only now.
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
        answer_probe(&mut harness, worker_id(n), before, 0.0, 40.0);
        let failed = Event::ProbeEnded {
            worker: worker_id(n),
            outcome: Outcome::Timeout,
            elapsed: harness.now - before,
            report: Vec::new(),
        };
        harness.handle(failed);
    }
    let probed = workers_probed(&harness.submit(1, 0));
    assert!(
        !probed.is_empty(),
        "workers are probed again, since their reports are from before their start"
    );
    let now = harness.now;
    let mut to = Vec::new();
    for probe in probed {
        to.extend(workers_sent_to(&answer_probe(
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
        "no answer from before the start counts against a worker"
    );
}

/// A request does not wait for lost probe answers, and is not sent a second time when late answers
/// arrive.
#[test]
fn lost_and_late_probe_answers_delay_a_request_only_briefly() {
    let mut harness = harness();
    let actions = harness.submit(1, 0);
    let probed = workers_probed(&actions);
    assert!(!probed.is_empty() && workers_sent_to(&actions).is_empty());
    let (mut due, sent) = (timers_set(&actions), harness.now);
    let soon = harness.now + 0.15;
    let mut actions = harness.run_until(soon, &mut due);
    let placed = workers_sent_to(&actions);
    assert_eq!(placed.len(), 1, "sent without the answers");
    for to in probed {
        actions = answer_probe(&mut harness, to, sent, SLOTS, 0.0);
        assert_eq!(
            workers_sent_to(&actions),
            [],
            "an attempt is already in flight"
        );
    }
}

/// A worker that answers probes but no requests stays ejected, since an answered probe does not
/// prove that it serves requests.
#[test]
fn worker_that_answers_only_probes_stays_ejected() {
    let mut harness = harness();
    harness.now += 1.0;
    report_free_capacity_only_at(&mut harness, worker_id(0));
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
        to.extend(workers_sent_to(&answer_probe(
            &mut harness,
            probe,
            now,
            free,
            waiting,
        )));
    }
    assert_eq!(to, [worker_id(0)]);
    harness.report_progress(1, 0, postproxy::ProgressNote::Started);
    // It never answers the request, while its probe answers show it as the least loaded worker.
    let until = harness.now + 2.5;
    harness.run_until(until, &mut due);
    let mut again = Vec::new();
    for request in 10..30 {
        let now = harness.now;
        for _ in 0..10 {
            (0..WORKERS)
                .for_each(|n| drop(answer_probe(&mut harness, worker_id(n), now, SLOTS, 0.0)));
        }
        let actions = harness.submit(request, 0);
        again.extend(workers_sent_to(&actions));
        for probe in workers_probed(&actions) {
            again.extend(workers_sent_to(&answer_probe(
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

/// After a pause of the process all its probes expire at once. When so many workers are ejected at
/// once, they are not the cause, and requests are still sent.
#[test]
fn probes_that_expire_at_once_do_not_stop_requests() {
    let mut harness = harness();
    let actions = harness.submit(1, 0);
    let (probed, sent) = (workers_probed(&actions), harness.now);
    let mut due = timers_set(&actions);
    harness.now += 3.0;
    for to in probed {
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
    assert!(!to.is_empty(), "the next request is sent nevertheless");
}

/// A retry that must stay in a cell or zone is not sent to a worker whose cell or zone is unknown,
/// or outside of a cell whose other workers were removed.
#[test]
fn retry_leaves_no_cell_that_is_unknown_or_removed() {
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
        let retried_immediately = harness.dispatcher.budget_history(10).retries.len() == 1;
        assert_eq!(
            again || retried_immediately,
            known,
            "{scope}, known: {known}"
        );
    }
    // The other workers of the cell are removed after the first attempt, and those of the other
    // cell remain.
    let mut harness = DispatcherHarness::new(
        settings(|s| s["services"][1]["memory-span"] = 9.0.into()),
        8,
    );
    let actions = harness.submit(1, 1);
    let (first, mut due) = (workers_sent_to(&actions)[0], timers_set(&actions));
    let cell = u16::from(first.address[3]) / 4;
    let removed = (0..8).filter(|n| n / 4 == cell && worker_id(*n) != first);
    harness.receive_list(
        ListKind::Delta,
        removed
            .map(|n| entry_with_health(n, Health::Removed))
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

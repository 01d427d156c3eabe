//! A worker is sent a further attempt of a request only once the earlier one there has ended, and was not given up.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;
#[path = "support/node_harness.rs"]
mod node_harness;

use dispatcher_harness::*;
use node_harness::Peer;
use postproxy::{Action, Health, ListKind, Outcome, ProgressNote, RequestId};
use std::time::Duration;

/// Takes all workers but one out of the list, and lets the request be looked at for so long.
fn alone(
    harness: &mut DispatcherHarness,
    stays: u16,
    due: &mut Vec<(f64, u64)>,
    until: f64,
) -> Vec<Action> {
    let others = (0..8)
        .filter(|n| *n != stays)
        .map(|n| entry_with_health(n, Health::Draining))
        .collect();
    harness.receive_list(ListKind::Delta, others);
    // Requests bring the budget for copies.
    (1000..1040).for_each(|id| drop(harness.submit(id, 2)));
    harness.run_until(until, due)
}

/// Those of these actions that send an attempt of this request.
fn sends_of(actions: &[Action], wanted: RequestId) -> usize {
    let is_wanted = |a: &&Action| matches!(a, Action::Send { request, .. } if *request == wanted);
    actions.iter().filter(is_wanted).count()
}

/// Guards against a second copy at the worker that has been silent, where no other is left.
#[test]
fn a_silent_attempt_is_not_copied_to_its_own_worker() {
    for class in [0, 1] {
        for tells_start in [true, false] {
            let settings = settings(|json| json["extra"]["tells-start"] = tells_start.into());
            let mut harness = DispatcherHarness::new(settings, 8);
            let actions = harness.submit(1, class);
            let (to, mut due) = (workers_sent_to(&actions), timers_set(&actions));
            let stays = u16::from(to[0].address[3]);
            let all = alone(&mut harness, stays, &mut due, 103.9);
            assert_eq!(
                sends_of(&all, 1),
                0,
                "class {class}, starts told: {tells_start}"
            );
        }
    }
}

/// Guards against a send to a worker to which a cancel of the same request is on its way: it may arrive behind the new attempt and end
/// that one, or miss the old one.
#[test]
fn a_worker_whose_attempt_was_cancelled_gets_no_other_one() {
    let mut harness =
        DispatcherHarness::new(settings(|s| s["extra"]["tells-start"] = true.into()), 8);
    let actions = harness.submit(1, 0);
    let (first, mut due) = (workers_sent_to(&actions), timers_set(&actions));
    let copy = workers_sent_to(&harness.run_until(100.3, &mut due));
    assert_eq!(
        harness.report_progress(1, 1, ProgressNote::Started),
        [Action::Cancel {
            request: 1,
            attempt: 0
        }]
    );
    harness.end_attempt(1, 0, first[0], Outcome::Cancelled);
    // Only the worker of the cancelled attempt is left when the other one fails.
    let stays = u16::from(first[0].address[3]);
    let others = (0..8)
        .filter(|n| *n != stays)
        .map(|n| entry_with_health(n, Health::Draining))
        .collect();
    harness.receive_list(ListKind::Delta, others);
    let mut all = harness.end_attempt(1, 1, copy[0], Outcome::Reset);
    due.extend(timers_set(&all));
    all.extend(harness.run_until(102.0, &mut due));
    assert_eq!(sends_of(&all, 1), 0);
}

/// Guards against an end that is taken for a proof in one place and not in another: of each end, whether the only worker may be sent the
/// request again, and whether the request counts as having perhaps run.
#[test]
fn only_an_end_that_proves_that_nothing_ran_lets_the_worker_have_it_again() {
    let ends = [
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
        (Outcome::Unknown(7), false),
        (Outcome::ConnectFailed, true),
        (Outcome::CancelledLocally, true),
        (Outcome::Rejected, true),
    ];
    for (end, never_ran) in ends {
        assert_eq!(end.proves_never_ran(false), never_ran, "{end:?}");
        assert!(
            !end.proves_never_ran(true) || end != Outcome::Rejected,
            "unless the settings say so"
        );
        for class in 0..3 {
            let mut harness = DispatcherHarness::new(settings(|_| ()), 1);
            let actions = harness.submit(1, class);
            let (to, mut due) = (workers_sent_to(&actions), timers_set(&actions));
            let mut all = harness.end_attempt(1, 0, to[0], end);
            due.extend(timers_set(&all));
            all.extend(harness.run_until(103.0, &mut due));
            assert_eq!(sends_of(&all, 1) > 0, never_ran, "class {class}, {end:?}");
        }
    }
}

/// Guards against the same in a whole node, on real connections: the worker has read the request whole, and its connection is reset
/// before the 202. It runs there, so that the only worker is sent nothing more of it, whatever its class allows.
#[test]
fn a_request_whose_connection_broke_is_not_sent_to_that_worker_again() {
    for (effect, status) in [("pure", 503), ("token", 502)] {
        let harness = node_harness::NodeHarness::with(1, 256, &[], |settings| {
            settings["services"][0]["effect"] = effect.into();
            settings["services"][0]["dedup-scope"] = "cell".into();
            settings["services"][0]["memory-span"] = 10.0.into();
        });
        let mut client = Peer::to(harness.node);
        client.write(
            "POST /render/a HTTP/1.1\r\nX-Request-Id: one\r\nX-Deadline: 1.0\r\nIdempotency-Key: k\r\n\
             Content-Length: 0\r\n\r\n",
        );
        let mut worker = Peer::accept(&harness.workers[0]);
        assert_eq!(worker.request().headers.get("x-request-id"), Some("one"));
        socket2::SockRef::from(&worker.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a setting");
        drop(worker);
        assert_eq!(client.response().status, status, "{effect}");
        harness.workers[0].set_nonblocking(true).expect("a setting");
        assert!(
            harness.workers[0].accept().is_err(),
            "{effect}: a second attempt at the worker"
        );
        drop(client);
        harness.stop();
    }
}

/// Guards against a repeat that no worker can know: the class is keyed, every worker drops repeats, and this request came without a key.
/// On real connections: the first worker breaks off, and a second one is there.
#[test]
fn a_request_of_a_keyed_class_without_a_key_is_not_sent_again() {
    for key in [true, false] {
        let harness = node_harness::NodeHarness::with(2, 256, &[], |settings| {
            settings["services"][0]["effect"] = "token".into();
            settings["services"][0]["dedup-scope"] = "all".into();
            settings["services"][0]["memory-span"] = 10.0.into();
        });
        let mut client = Peer::to(harness.node);
        let header = if key { "Idempotency-Key: k\r\n" } else { "" };
        client.write(&format!(
            "POST /render/a HTTP/1.1\r\nX-Request-Id: one\r\nX-Deadline: 2.0\r\n{header}Content-Length: 0\r\n\r\n"
        ));
        // The one that has it first is whichever the lottery drew.
        harness
            .workers
            .iter()
            .for_each(|worker| worker.set_nonblocking(true).expect("a setting"));
        let accept = || loop {
            if let Some((stream, _)) = harness
                .workers
                .iter()
                .find_map(|worker| worker.accept().ok())
            {
                stream.set_nonblocking(false).expect("a setting");
                return Peer::new(stream);
            }
            std::thread::yield_now();
        };
        let mut worker = accept();
        worker.request();
        socket2::SockRef::from(&worker.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a setting");
        drop(worker);
        if key {
            let mut second = accept();
            assert_eq!(second.request().headers.get("x-request-id"), Some("one"));
            second.write(node_harness::ACCEPTED);
            let done = |n| harness.call("one", n, r#""state":"done","result":"r""#);
            assert_eq!((done(0), done(1)), (200, 200));
            assert_eq!(client.response().status, 200);
        } else {
            assert_eq!(
                client.response().status,
                502,
                "failed: it may have run, and must not run twice"
            );
            assert!(
                harness
                    .workers
                    .iter()
                    .all(|worker| worker.accept().is_err()),
                "a second attempt"
            );
        }
        drop(client);
        harness.stop();
    }
}

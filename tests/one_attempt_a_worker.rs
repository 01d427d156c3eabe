//! A worker is sent another attempt of a request only if the earlier attempt there has ended, was
//! not cancelled, and can't have run.

#[path = "support/dispatcher_harness.rs"]
mod dispatcher_harness;
#[path = "support/node_harness.rs"]
mod node_harness;

use dispatcher_harness::*;
use node_harness::TestSocket;
use postproxy::{Action, Health, ListKind, Outcome, ProgressNote, RequestId, WorkerId};
use std::net::TcpListener;
use std::time::Duration;

/// Number of listed workers in the tests that need more than one.
const WORKERS: u16 = 8;
/// Classes of [`settings`]: requests that are safe to repeat, those with an idempotency key, and
/// those that must not run twice.
const SAFE: u8 = 0;
const KEYED: u8 = 1;
const UNSAFE: u8 = 2;
/// The request whose attempts are counted.
const REQUEST: RequestId = 1;

/// Returns the number of the worker with this id.
fn worker_number(worker: WorkerId) -> u16 {
    u16::from(worker.address[3])
}

/// Marks all workers but one as draining.
fn drain_others(harness: &mut DispatcherHarness, remaining: u16) {
    let others = (0..WORKERS)
        .filter(|n| *n != remaining)
        .map(|n| entry_with_health(n, Health::Draining))
        .collect();
    harness.receive_list(ListKind::Delta, others);
}

/// Returns how many of these actions send an attempt of the request.
fn count_sends(actions: &[Action]) -> usize {
    let is_send =
        |action: &&Action| matches!(action, Action::Send { request, .. } if *request == REQUEST);
    actions.iter().filter(is_send).count()
}

/// Guards against a hedged request to the worker that has not responded, if no other worker is
/// left.
#[test]
fn does_not_hedge_at_the_worker_of_a_silent_attempt() {
    for class in [SAFE, KEYED] {
        for reports_start in [true, false] {
            let settings = settings(|json| json["extra"]["tells-start"] = reports_start.into());
            let mut harness = DispatcherHarness::new(settings, WORKERS);
            let actions = harness.submit(REQUEST, class);
            let mut timers = timers_set(&actions);
            drain_others(&mut harness, worker_number(workers_sent_to(&actions)[0]));
            // Each of these requests adds to the budget for hedged requests.
            (1000..1040).for_each(|id| drop(harness.submit(id, UNSAFE)));
            let actions = harness.run_until(103.9, &mut timers);
            assert_eq!(
                count_sends(&actions),
                0,
                "class {class}, starts reported: {reports_start}"
            );
        }
    }
}

/// Guards against a new attempt at a worker to which a cancel of the same request is on its way:
/// the cancel may arrive after the new attempt and end it, or miss the old one.
#[test]
fn does_not_retry_at_the_worker_of_a_cancelled_attempt() {
    let settings = settings(|json| json["extra"]["tells-start"] = true.into());
    let mut harness = DispatcherHarness::new(settings, WORKERS);
    let actions = harness.submit(REQUEST, SAFE);
    let first = workers_sent_to(&actions)[0];
    let mut timers = timers_set(&actions);
    let hedge = workers_sent_to(&harness.run_until(100.3, &mut timers))[0];
    assert_eq!(
        harness.report_progress(REQUEST, 1, ProgressNote::Started),
        [Action::Cancel {
            request: REQUEST,
            attempt: 0
        }]
    );
    harness.end_attempt(REQUEST, 0, first, Outcome::Cancelled);
    // Only the worker of the cancelled attempt is left when the other attempt fails.
    drain_others(&mut harness, worker_number(first));
    let mut actions = harness.end_attempt(REQUEST, 1, hedge, Outcome::Reset);
    timers.extend(dispatcher_harness::timers_set(&actions));
    actions.extend(harness.run_until(102.0, &mut timers));
    assert_eq!(count_sends(&actions), 0);
}

/// Guards against treating an outcome as proof that nothing ran in one place but not in another:
/// checks for each outcome whether the only worker may be sent the request again, and whether the
/// request counts as one that may have run.
#[test]
fn retries_at_the_same_worker_only_if_nothing_ran() {
    let outcomes = [
        (Outcome::Error, false),
        (Outcome::Timeout, false),
        (Outcome::Reset, false),
        (Outcome::Cancelled, false),
        (Outcome::Unknown(7), false),
        (Outcome::ConnectFailed, true),
        (Outcome::CancelledLocally, true),
        (Outcome::Rejected, true),
    ];
    for (outcome, never_ran) in outcomes {
        assert_eq!(outcome.proves_never_ran(false), never_ran, "{outcome:?}");
        assert!(
            !outcome.proves_never_ran(true) || outcome != Outcome::Rejected,
            "unless the settings say that a rejected request may have run"
        );
        for class in [SAFE, KEYED, UNSAFE] {
            let mut harness = DispatcherHarness::new(settings(|_| ()), 1);
            let actions = harness.submit(REQUEST, class);
            let mut timers = timers_set(&actions);
            let mut actions =
                harness.end_attempt(REQUEST, 0, workers_sent_to(&actions)[0], outcome);
            timers.extend(dispatcher_harness::timers_set(&actions));
            actions.extend(harness.run_until(103.0, &mut timers));
            assert_eq!(
                count_sends(&actions) > 0,
                never_ran,
                "class {class}, {outcome:?}"
            );
        }
    }
}

/// Closes a worker's connection with a reset.
fn reset_connection(worker: TestSocket) {
    socket2::SockRef::from(&worker.stream)
        .set_linger(Some(Duration::ZERO))
        .expect("a socket option");
    drop(worker);
}

/// Waits until the node connects to one of the workers, and returns that connection.
fn accept_any(workers: &[TcpListener]) -> TestSocket {
    loop {
        if let Some((stream, _)) = workers.iter().find_map(|worker| worker.accept().ok()) {
            stream.set_nonblocking(false).expect("a socket option");
            return TestSocket::new(stream);
        }
        std::thread::yield_now();
    }
}

/// Guards against a retry at the same worker in a whole node, on real connections: the worker has
/// read the complete request, and its connection is reset before the 202. The request may run
/// there, so the only worker is sent no second attempt, for any effect of the request's class.
#[test]
fn does_not_retry_at_a_worker_that_reset_the_connection() {
    for (effect, status) in [("pure", 503), ("token", 502)] {
        let harness = node_harness::NodeHarness::with_settings(1, 256, &[], |settings| {
            settings["services"][0]["effect"] = effect.into();
            settings["services"][0]["dedup-scope"] = "cell".into();
            settings["services"][0]["memory-span"] = 10.0.into();
        });
        let mut client = TestSocket::connect(harness.node);
        client.write(
            "POST /render/a HTTP/1.1\r\nX-Request-Id: one\r\nX-Deadline: 1.0\r\nIdempotency-Key: k\r\n\
             Content-Length: 0\r\n\r\n",
        );
        let mut worker = TestSocket::accept(&harness.workers[0]);
        assert_eq!(
            worker.read_request().headers.get("x-request-id"),
            Some("one")
        );
        reset_connection(worker);
        assert_eq!(client.read_response().status, status, "{effect}");
        harness.workers[0]
            .set_nonblocking(true)
            .expect("a socket option");
        assert!(
            harness.workers[0].accept().is_err(),
            "{effect}: a second attempt at the worker"
        );
        drop(client);
        harness.stop();
    }
}

/// Guards against a retry that no worker can recognise as a duplicate: the class is keyed and all
/// workers drop duplicates, but this request came without a key. The connections are real; the
/// first worker resets its connection, and a second worker is available.
#[test]
fn does_not_retry_a_keyed_request_without_a_key() {
    for has_key in [true, false] {
        let harness = node_harness::NodeHarness::with_settings(2, 256, &[], |settings| {
            settings["services"][0]["effect"] = "token".into();
            settings["services"][0]["dedup-scope"] = "all".into();
            settings["services"][0]["memory-span"] = 10.0.into();
        });
        let mut client = TestSocket::connect(harness.node);
        let header = if has_key {
            "Idempotency-Key: k\r\n"
        } else {
            ""
        };
        client.write(&format!(
            "POST /render/a HTTP/1.1\r\nX-Request-Id: one\r\nX-Deadline: 2.0\r\n{header}Content-Length: 0\r\n\r\n"
        ));
        // Either worker may be selected first.
        harness
            .workers
            .iter()
            .for_each(|worker| worker.set_nonblocking(true).expect("a socket option"));
        let mut worker = accept_any(&harness.workers);
        worker.read_request();
        reset_connection(worker);
        if has_key {
            let mut second = accept_any(&harness.workers);
            assert_eq!(
                second.read_request().headers.get("x-request-id"),
                Some("one")
            );
            second.write(node_harness::ACCEPTED);
            let call_back = |n| harness.post_callback("one", n, r#""state":"done","result":"r""#);
            assert_eq!((call_back(0), call_back(1)), (200, 200));
            assert_eq!(client.read_response().status, 200);
        } else {
            assert_eq!(
                client.read_response().status,
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

//! A node that is stopped while requests are in each of their states. The tests use real
//! connections, and wait until the node has handled the signal, so that the order of events is
//! forced.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{ACCEPTED, NodeHarness, TestSocket, send_worker_list, worker_entry_json};
use std::io::Write as _;
use std::time::{Duration, Instant};

/// Signals a stop, and waits until the node has handled it.
fn stop_node(harness: &mut NodeHarness) {
    harness.stop.write_all(b"x").expect("a signal");
    while TestSocket::connect(harness.node).request_status("GET /-/ready HTTP/1.1\r\n\r\n") != 500 {
    }
}

/// Posts the worker's callback with a result, and checks that the client gets this result and that
/// its connection is closed after it.
fn complete_and_check(harness: &NodeHarness, id: &str, client: &mut TestSocket) {
    assert_eq!(
        harness.post_callback(id, 0, r#""state":"done","result":"r""#),
        200
    );
    let answer = client.read_response();
    assert_eq!(
        (answer.status, answer.body.as_slice(), answer.keep_alive),
        (200, &b"r"[..], false),
        "{id}"
    );
    assert!(
        client.is_closed(),
        "{id}: nothing is sent after the response"
    );
}

/// Guards against a request that is dropped, answered without a worker's result, or sent twice
/// because the signal arrived while the request was half read, waited for a worker, was sent and
/// not accepted yet, or was accepted. The function is long because it is one scenario of many
/// steps.
#[test]
fn a_request_in_any_state_gets_exactly_one_answer() {
    let mut harness = NodeHarness::new(1, 256);
    // The first poll of discovery is answered: otherwise it would time out after 2.2 s, and the
    // first request would be sent only then.
    let mut discovery = TestSocket::accept(&harness.discovery);
    discovery.read_request();
    send_worker_list(
        &mut discovery,
        r#"{"revision":41,"complete":false,"members":[]}"#,
    );
    discovery.read_request();
    let at = harness.workers[0].local_addr().expect("an address");
    let mut accepted = TestSocket::connect(harness.node);
    let mut sent = TestSocket::connect(harness.node);
    accepted.submit_request("accepted");
    let mut first = TestSocket::accept(&harness.workers[0]);
    first.read_request();
    first.write(ACCEPTED);
    harness.wait_for_two_turns();
    sent.submit_request("sent");
    first.read_request();
    // No worker is in service any more: the next request waits.
    send_worker_list(
        &mut discovery,
        &format!(
            r#"{{"revision":42,"complete":true,"members":[{}]}}"#,
            worker_entry_json(0, at, "terminating")
        ),
    );
    discovery.read_request();
    let mut waits = TestSocket::connect(harness.node);
    waits.submit_request("waits");
    let mut half = TestSocket::connect(harness.node);
    half.write("POST /render/a HTTP/1.1\r\nX-Request-Id: half\r\nX-Dead");
    harness.wait_for_two_turns();
    stop_node(&mut harness);
    half.write("line: 5.0\r\nContent-Length: 0\r\n\r\n");
    harness.wait_for_two_turns();
    first.write(ACCEPTED);
    harness.wait_for_two_turns();
    complete_and_check(&harness, "accepted", &mut accepted);
    complete_and_check(&harness, "sent", &mut sent);
    send_worker_list(
        &mut discovery,
        &format!(
            r#"{{"revision":43,"complete":true,"members":[{}]}}"#,
            worker_entry_json(0, at, "in_service")
        ),
    );
    // Both waiting requests are sent now, each once, and one of them on the pooled connection.
    let mut second = TestSocket::accept(&harness.workers[0]);
    let mut ids: Vec<String> = [&mut first, &mut second]
        .map(|worker| {
            let id = worker
                .read_request()
                .headers
                .get("x-request-id")
                .expect("an id")
                .to_owned();
            worker.write(ACCEPTED);
            id
        })
        .into();
    ids.sort();
    assert_eq!(ids, ["half", "waits"]);
    harness.wait_for_two_turns();
    complete_and_check(&harness, "waits", &mut waits);
    complete_and_check(&harness, "half", &mut half);
    harness.thread.join().expect("the node ends in good order");
    harness.workers[0].set_nonblocking(true).expect("a setting");
    assert!(
        harness.workers[0].accept().is_err(),
        "nothing is sent twice"
    );
}

/// Guards against a node that does not exit, or does not answer its client, because a worker hangs:
/// the worker has read or accepted the request, and sends no callback.
#[test]
fn a_hanging_worker_delays_the_end_no_longer_than_the_deadline() {
    let mut harness = NodeHarness::new(1, 256);
    let text = |id: &str| {
        format!(
            "POST /render HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline: 1.0\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let mut accepted = TestSocket::connect(harness.node);
    let mut sent = TestSocket::connect(harness.node);
    accepted.write(&text("accepted"));
    let mut worker = TestSocket::accept(&harness.workers[0]);
    worker.read_request();
    worker.write(ACCEPTED);
    harness.wait_for_two_turns();
    sent.write(&text("sent"));
    worker.read_request();
    let start = Instant::now();
    stop_node(&mut harness);
    for client in [&mut accepted, &mut sent] {
        let answer = client.read_response();
        assert!(
            [502, 503].contains(&answer.status) && !answer.keep_alive,
            "{}",
            answer.status
        );
        assert!(client.is_closed());
    }
    harness.thread.join().expect("the node ends in good order");
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against requests that are lost, sent twice or left unanswered because clients continue to
/// send on open connections during the shutdown: each request that the node has read is answered
/// once, and then its connection is closed in good order.
#[test]
fn clients_that_keep_sending_get_each_request_answered_before_the_close() {
    let mut harness = NodeHarness::new(1, 256);
    let mut clients: Vec<TestSocket> = (0..8).map(|_| TestSocket::connect(harness.node)).collect();
    for client in &mut clients {
        assert_eq!(client.request_status("GET /-/ready HTTP/1.1\r\n\r\n"), 200);
    }
    stop_node(&mut harness);
    // Two requests at once on each idle connection: both are read, so that both are answered; the
    // connection is closed after the last response.
    for (number, client) in clients.iter_mut().enumerate() {
        client.stream.set_nodelay(true).expect("a setting");
        client.submit_request(&format!("first-{number}"));
        client.submit_request(&format!("second-{number}"));
    }
    harness.wait_for_two_turns();
    let mut ids = Vec::new();
    for _ in 0..16 {
        let mut worker = TestSocket::accept(&harness.workers[0]);
        let id = worker
            .read_request()
            .headers
            .get("x-request-id")
            .expect("an id")
            .to_owned();
        worker.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(
            harness.post_callback(&id, 0, r#""state":"done","result":"r""#),
            200
        );
        ids.push(id);
    }
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 16, "each once");
    for client in &mut clients {
        for keeps in [true, false] {
            let answer = client.read_response();
            assert_eq!((answer.status, answer.keep_alive), (200, keeps));
        }
        assert!(client.is_closed());
    }
    harness.thread.join().expect("the node ends in good order");
    harness.workers[0].set_nonblocking(true).expect("a setting");
    assert!(harness.workers[0].accept().is_err());
}

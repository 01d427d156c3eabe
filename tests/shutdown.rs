//! A node that is told to stop while a request is in each of its states. Real connections; the bad order is made each time: the node
//! has taken in the signal before the test goes on.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{ACCEPTED, NodeHarness, TestSocket, send_worker_list, worker_entry_json};
use std::io::Write as _;
use std::time::{Duration, Instant};

/// Signals, and waits until the node has seen it.
fn stop(harness: &mut NodeHarness) {
    harness.stop.write_all(b"x").expect("a signal");
    while TestSocket::connect(harness.node).request_status("GET /-/ready HTTP/1.1\r\n\r\n") != 500 {
    }
}

/// Has the worker's job done, and its client hear of it on a connection that ends then.
fn served(harness: &NodeHarness, id: &str, client: &mut TestSocket) {
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
    assert!(client.is_closed(), "{id}: nothing more is said");
}

/// Guards against a request that is dropped, answered with what no worker made, or sent twice, since the signal came while it was
/// half read, waited for a worker, was sent and not accepted, or accepted.
#[test]
fn a_request_in_any_state_has_its_one_answer() {
    let mut harness = NodeHarness::new(1, 256);
    // The first call of the start is answered: one that is not is given up after 2.2 s, which is when the first request would be sent.
    let mut discovery = TestSocket::accept(&harness.discovery);
    discovery.read_request();
    send_worker_list(
        &mut discovery,
        r#"{"revision":41,"complete":false,"members":[]}"#,
    );
    discovery.read_request();
    let at = harness.workers[0].local_addr().expect("an address");
    let (mut accepted, mut sent) = (
        TestSocket::connect(harness.node),
        TestSocket::connect(harness.node),
    );
    accepted.submit_request("accepted");
    let mut first = TestSocket::accept(&harness.workers[0]);
    first.read_request();
    first.write(ACCEPTED);
    harness.wait_for_two_turns();
    sent.submit_request("sent");
    first.read_request();
    // No worker is in service any more: the next one waits.
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
    let (mut half, head) = (
        TestSocket::connect(harness.node),
        "POST /render/a HTTP/1.1\r\nX-Request-Id: half\r\nX-Dead",
    );
    half.write(head);
    harness.wait_for_two_turns();
    stop(&mut harness);
    half.write("line: 5.0\r\nContent-Length: 0\r\n\r\n");
    harness.wait_for_two_turns();
    first.write(ACCEPTED);
    harness.wait_for_two_turns();
    served(&harness, "accepted", &mut accepted);
    served(&harness, "sent", &mut sent);
    send_worker_list(
        &mut discovery,
        &format!(
            r#"{{"revision":43,"complete":true,"members":[{}]}}"#,
            worker_entry_json(0, at, "in_service")
        ),
    );
    // Both that have waited are sent now, once each, one of them on the pooled connection.
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
    served(&harness, "waits", &mut waits);
    served(&harness, "half", &mut half);
    harness.thread.join().expect("the node ends in good order");
    harness.workers[0].set_nonblocking(true).expect("a setting");
    assert!(
        harness.workers[0].accept().is_err(),
        "nothing is sent twice"
    );
}

/// Guards against a node that does not end, or lets its client go unheard, since a worker hangs just then: with the job read or
/// accepted, and no word after that.
#[test]
fn a_worker_that_hangs_keeps_the_node_no_longer_than_its_job() {
    let mut harness = NodeHarness::new(1, 256);
    let text = |id: &str| {
        format!(
            "POST /render HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Deadline: 1.0\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let (mut accepted, mut sent) = (
        TestSocket::connect(harness.node),
        TestSocket::connect(harness.node),
    );
    accepted.write(&text("accepted"));
    let mut worker = TestSocket::accept(&harness.workers[0]);
    worker.read_request();
    worker.write(ACCEPTED);
    harness.wait_for_two_turns();
    sent.write(&text("sent"));
    worker.read_request();
    let start = Instant::now();
    stop(&mut harness);
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

/// Guards against a request that reaches a worker though its connection was closed before it was read: clients that go on sending
/// on every open connection have one answer for each request that the node has taken, and an orderly end.
#[test]
fn clients_that_go_on_sending_have_an_answer_or_an_end() {
    let mut harness = NodeHarness::new(1, 256);
    let mut clients: Vec<TestSocket> = (0..8).map(|_| TestSocket::connect(harness.node)).collect();
    for client in &mut clients {
        assert_eq!(client.request_status("GET /-/ready HTTP/1.1\r\n\r\n"), 200);
    }
    stop(&mut harness);
    // Two requests at once, on connections that rest: both are read, so that both are owed an answer; the last one ends the connection.
    for (n, client) in clients.iter_mut().enumerate() {
        client.stream.set_nodelay(true).expect("a setting");
        client.submit_request(&format!("first-{n}"));
        client.submit_request(&format!("behind-{n}"));
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

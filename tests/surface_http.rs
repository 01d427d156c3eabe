//! Compares the messages that the node sends over HTTP to clients, workers and discovery, byte for
//! byte with literal text, and checks the fields that it reads from them.
//!
//! The test plays the three roles on real loopback sockets and compares complete messages: request
//! lines, header fields with their order and case, status lines, bodies. The literals must not
//! follow the rename of a Rust item: if a test fails after a rename, fix the code, not the literal.
//! Ports and times vary, and are masked before the comparison.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{ACCEPTED, NodeHarness, TestSocket, send_worker_list};
use postproxy::decision::interface::{Entry, Health, Settings};
use postproxy::net::downstream::callback;
use postproxy::net::downstream::routing::{Readiness, Route, route};
use postproxy::net::messages::{CallbackState, ListedWorker, Payload, Submission, WorkerCallback};
use postproxy::net::transport::http;
use postproxy::net::upstream::worker_list::DiscoveryList;
use std::io::Write as _;
use std::net::TcpListener;

/// Reads the next complete message on a connection.
fn read_message(peer: &mut TestSocket) -> String {
    loop {
        let text = String::from_utf8(peer.input.clone()).expect("text");
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let field = head
                .lines()
                .find_map(|line| line.strip_prefix("Content-Length: "));
            let size: usize = field.map_or(0, |size| size.parse().expect("a size"));
            if rest.len() >= size {
                let message = text[..head.len() + 4 + size].to_owned();
                peer.input.drain(..message.len());
                return message;
            }
        }
        assert!(peer.read_more(), "the connection ended after {text:?}");
    }
}

/// Sends these bytes on a new connection and returns the first message of the response.
fn exchange(harness: &NodeHarness, request: &str) -> String {
    let mut client = TestSocket::connect(harness.node);
    client.write(request);
    read_message(&mut client)
}

/// Masks the port of this listener and the number in a header field of a message.
fn mask(text: &str, listener: &TcpListener, field: &str) -> String {
    let host = format!("Host: {}\r\n", listener.local_addr().expect("an address"));
    let text = text.replace(&host, "Host: 127.0.0.1:PORT\r\n");
    mask_field(&text, field)
}

/// Masks the number in a header field of a message; it must have three decimals.
fn mask_field(text: &str, field: &str) -> String {
    let start = format!("\r\n{field}: ");
    let Some((before, rest)) = text.split_once(&start) else {
        return text.to_owned();
    };
    let (value, after) = rest.split_once("\r\n").expect("a line ends");
    let (integer, decimals) = value.split_once('.').expect("decimals");
    assert!(
        integer.parse::<u32>().is_ok() && decimals.len() == 3,
        "{value}"
    );
    assert!(decimals.parse::<u32>().is_ok(), "{value}");
    format!("{before}{start}SECONDS\r\n{after}")
}

/// Submits a request as a client and returns what the worker receives.
fn forward(request: &str) -> String {
    let harness = NodeHarness::new(1, 256);
    let mut client = TestSocket::connect(harness.node);
    client.write(request);
    let text = read_message(&mut TestSocket::accept(&harness.workers[0]));
    let text = mask(&text, &harness.workers[0], "X-Deadline");
    drop(client);
    harness.stop();
    text
}

#[test]
fn a_forwarded_request_reaches_the_worker_with_these_bytes() {
    let request = "POST /render/a?b=c HTTP/1.1\r\nhost: x\r\nx-request-id: one\r\nidempotency-key: k 1\r\n\
                   x-deadline: 5\r\nX-Tenant: t\r\nX-Cost-Hint: 1000\r\nX-Extras: slots=1,memory=2\r\nX-Retry: 1\r\n\
                   Cookie: k=ff\r\nX-Other: y\r\ncontent-length: 4\r\n\r\nbody";
    assert_eq!(
        forward(&request.replace("k 1", "k-1")),
        "POST /render/a?b=c HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\nX-Request-Id: one\r\nX-Deadline: SECONDS\r\n\
         Idempotency-Key: k-1\r\nContent-Length: 4\r\n\r\nbody"
    );
}

#[test]
fn a_forwarded_request_without_key_and_body_reaches_the_worker_with_these_bytes() {
    assert_eq!(
        forward("POST /render HTTP/1.1\r\nX-Request-Id: one\r\n\r\n"),
        "POST /render HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\nX-Request-Id: one\r\nX-Deadline: SECONDS\r\n\
         Content-Length: 0\r\n\r\n"
    );
}

#[test]
fn a_forwarded_request_that_came_in_chunks_reaches_the_worker_with_these_bytes() {
    assert_eq!(
        forward(
            "POST /render HTTP/1.1\r\nX-Request-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n\
             2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
        ),
        "POST /render HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\nX-Request-Id: one\r\nX-Deadline: SECONDS\r\n\
         Content-Length: 4\r\n\r\nbody"
    );
}

#[test]
fn a_cancelled_request_reaches_the_worker_with_these_bytes() {
    let harness = NodeHarness::new(1, 256);
    let mut client = TestSocket::connect(harness.node);
    client.submit_request("one");
    let mut worker = TestSocket::accept(&harness.workers[0]);
    read_message(&mut worker);
    worker.write(ACCEPTED);
    // Once the callback is acknowledged, the node has read the worker's 202.
    assert_eq!(
        harness.post_callback("one", 0, r#""state":"running","share":0.5"#),
        200
    );
    drop(client);
    assert_eq!(
        mask(&read_message(&mut worker), &harness.workers[0], "-"),
        "DELETE /jobs/one HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"
    );
    harness.stop();
}

#[test]
fn a_load_probe_reaches_the_worker_with_these_bytes() {
    let harness = NodeHarness::with_settings(1, 256, &[], |settings| {
        settings["limits"]["may-probe"] = true.into();
        settings["report"]["via"] = "probe".into();
    });
    let mut client = TestSocket::connect(harness.node);
    client.submit_request("one");
    assert_eq!(
        mask(
            &read_message(&mut TestSocket::accept(&harness.workers[0])),
            &harness.workers[0],
            "-"
        ),
        "GET /-/load HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"
    );
    drop(client);
    harness.stop();
}

#[test]
fn the_requests_to_discovery_have_these_bytes() {
    let harness = NodeHarness::new(1, 256);
    let mut discovery = TestSocket::accept(&harness.discovery);
    let next = |peer: &mut TestSocket| mask(&read_message(peer), &harness.discovery, "-");
    assert_eq!(
        next(&mut discovery),
        "GET /api/targets?since=41&timeout_ms=1 HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n",
        "the first request does not wait"
    );
    send_worker_list(
        &mut discovery,
        r#"{"revision":42,"complete":false,"members":[]}"#,
    );
    let watch = next(&mut discovery);
    let (before, rest) = watch.split_once("timeout_ms=").expect("a watch");
    let (wait, after) = rest.split_once(' ').expect("a target ends");
    assert!(
        (2600..=3400).contains(&wait.parse::<u32>().expect("a number")),
        "{wait}"
    );
    assert_eq!(before, "GET /api/targets?since=42&");
    assert_eq!(after, "HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n");
    harness.stop();
}

#[test]
fn the_request_for_the_complete_worker_list_has_these_bytes() {
    let harness = NodeHarness::new(0, 256);
    assert_eq!(
        mask(
            &read_message(&mut TestSocket::accept(&harness.discovery)),
            &harness.discovery,
            "-"
        ),
        "GET /api/targets HTTP/1.1\r\nHost: 127.0.0.1:PORT\r\n\r\n"
    );
    harness.stop();
}

#[test]
fn a_result_and_the_acknowledgement_of_its_callback_have_these_bytes() {
    let mut harness = NodeHarness::new(1, 256);
    let mut client = TestSocket::connect(harness.node);
    client.submit_request("one");
    let mut worker = TestSocket::accept(&harness.workers[0]);
    read_message(&mut worker);
    worker.write(ACCEPTED);
    let body = r#"{"id":"one","from":"s-0","state":"done","result":"r"}"#;
    let callback = format!(
        "POST /v1/job-events HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(
        exchange(&harness, &callback),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(
        read_message(&mut client),
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nr"
    );
    // While the node shuts down, it closes each connection after its response.
    client.submit_request("two");
    read_message(&mut worker);
    worker.write(ACCEPTED);
    harness.stop.write_all(b"x").expect("a signal");
    while exchange(&harness, READY).starts_with("HTTP/1.1 200") {}
    assert_eq!(
        exchange(
            &harness,
            &callback.replace(r#""id":"one""#, r#""id":"two""#)
        ),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    assert_eq!(
        read_message(&mut client),
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nr"
    );
    harness.thread.join().expect("the node shuts down cleanly");
}

const READY: &str = "GET /-/ready HTTP/1.1\r\n\r\n";

#[test]
fn the_readiness_check_answers_with_these_bytes() {
    let mut harness = NodeHarness::new(1, 256);
    let mut discovery = TestSocket::accept(&harness.discovery);
    read_message(&mut discovery);
    send_worker_list(
        &mut discovery,
        r#"{"revision":42,"complete":false,"members":[]}"#,
    );
    read_message(&mut discovery);
    assert_eq!(
        exchange(&harness, READY),
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n"
    );
    assert_eq!(
        exchange(&harness, &READY.replace("GET", "HEAD")),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(
        exchange(
            &harness,
            &READY.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
        ),
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nConnection: close\r\n\r\nready\n"
    );
    assert_eq!(
        exchange(&harness, &READY.replace("GET", "DELETE")),
        "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 13\r\nAllow: GET, HEAD\r\nConnection: close\r\n\r\nwrong method\n"
    );
    // A request in flight keeps the node running after the signal to stop.
    let mut client = TestSocket::connect(harness.node);
    client.submit_request("one");
    read_message(&mut TestSocket::accept(&harness.workers[0]));
    harness.stop.write_all(b"x").expect("a signal");
    let mut not_ready = exchange(&harness, READY);
    while not_ready.starts_with("HTTP/1.1 200") {
        not_ready = exchange(&harness, READY);
    }
    assert_eq!(
        not_ready,
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 10\r\nConnection: close\r\n\r\nnot ready\n"
    );
    drop(client);
    harness.thread.join().expect("the node shuts down cleanly");
}

#[test]
fn a_rejected_request_is_answered_with_these_bytes() {
    let rejected = |advice: bool| {
        let harness = NodeHarness::with_settings(1, 256, &[], |settings| {
            settings["limits"]["retry-after"] = advice.into();
            settings["limits"]["max-retry-after"] = 2.0.into();
        });
        let mut discovery = TestSocket::accept(&harness.discovery);
        read_message(&mut discovery);
        send_worker_list(
            &mut discovery,
            r#"{"revision":42,"complete":true,"members":[]}"#,
        );
        read_message(&mut discovery);
        let request = "POST /render HTTP/1.1\r\nX-Request-Id: one\r\nX-Deadline: 0.3\r\n\r\n";
        let text = exchange(&harness, request);
        harness.stop();
        mask_field(&text, "Retry-After")
    };
    assert_eq!(
        rejected(true),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 12\r\nRetry-After: SECONDS\r\n\r\nunavailable\n"
    );
    assert_eq!(
        rejected(false),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 12\r\n\r\nunavailable\n"
    );
}

#[test]
fn a_failed_request_and_a_duplicate_are_answered_with_these_bytes() {
    let harness = NodeHarness::with_settings(1, 256, &[], |settings| {
        settings["services"][0]["effect"] = "side_effect".into()
    });
    let mut client = TestSocket::connect(harness.node);
    client.submit_request("one");
    let mut worker = TestSocket::accept(&harness.workers[0]);
    read_message(&mut worker);
    worker.write(ACCEPTED);
    let mut second = TestSocket::connect(harness.node);
    second.submit_request("one");
    assert_eq!(
        read_message(&mut second),
        "HTTP/1.1 409 Conflict\r\nContent-Length: 13\r\nConnection: close\r\n\r\nheld already\n"
    );
    assert_eq!(harness.post_callback("one", 0, r#""state":"lost""#), 200);
    assert_eq!(
        read_message(&mut client),
        "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 7\r\n\r\nfailed\n"
    );
    harness.stop();
}

#[test]
fn bad_requests_are_answered_with_these_bytes() {
    let harness = NodeHarness::new(1, 256);
    let bad =
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 12\r\nConnection: close\r\n\r\nbad request\n";
    assert_eq!(exchange(&harness, "what is this\r\n\r\n"), bad);
    assert_eq!(
        exchange(
            &harness,
            "POST /render HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        ),
        bad
    );
    assert_eq!(
        exchange(
            &harness,
            "POST /v1/job-events HTTP/1.1\r\nContent-Length: 4\r\n\r\nnone"
        ),
        bad
    );
    assert_eq!(
        exchange(
            &harness,
            "POST /nowhere HTTP/1.1\r\nX-Request-Id: a\r\n\r\n"
        ),
        "HTTP/1.1 404 Not Found\r\nContent-Length: 13\r\nConnection: close\r\n\r\nunknown path\n"
    );
    let only_post = "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 13\r\nAllow: POST\r\nConnection: close\r\n\r\nwrong method\n";
    assert_eq!(
        exchange(&harness, "GET /render HTTP/1.1\r\n\r\n"),
        only_post
    );
    assert_eq!(
        exchange(&harness, "GET /v1/job-events HTTP/1.1\r\n\r\n"),
        only_post
    );
    assert_eq!(
        exchange(
            &harness,
            "POST /render HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"
        ),
        "HTTP/1.1 413 Content Too Large\r\nContent-Length: 12\r\nConnection: close\r\n\r\nbad request\n"
    );
    assert_eq!(
        exchange(
            &harness,
            &format!(
                "GET /-/ready HTTP/1.1\r\nX-Long: {}",
                "x".repeat(http::MAX_HEAD_BYTES)
            )
        ),
        "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 12\r\nConnection: close\r\n\r\nbad request\n"
    );
    harness.stop();
}

#[test]
fn an_incomplete_request_is_answered_with_these_bytes() {
    let harness = NodeHarness::new(1, 256);
    assert_eq!(
        exchange(&harness, "POST /render HTTP/1.1\r\nX-Requ"),
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 9\r\nConnection: close\r\n\r\ntoo slow\n"
    );
    harness.stop();
}

#[test]
fn expect_100_continue_is_answered_with_these_bytes() {
    let harness = NodeHarness::new(1, 256);
    let head = "POST /render HTTP/1.1\r\nX-Request-Id: one\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n";
    assert_eq!(exchange(&harness, head), "HTTP/1.1 100 Continue\r\n\r\n");
    harness.stop();
}

fn settings() -> Settings {
    let text = r#"{"dcs":["riga"],"machine-types":["m1","m2"],"services":[{"name":"render"},{"name":"commit"}]}"#;
    Settings::from_json(text).expect("settings")
}

#[test]
fn a_submission_is_read_from_these_header_fields() {
    let text = "POST /commit/a?b=c HTTP/1.1\r\nX-Request-Id: one\r\nIdempotency-Key: k-1\r\nX-Deadline: 5\r\nX-Tenant: t\r\n\
                X-Cost-Hint: 1500000\r\nX-Extras: slots=2, memory=3\r\nX-Retry: 1\r\nCookie: a=b; k=ff\r\n\
                Content-Length: 4\r\n\r\nbody";
    let Ok(http::ParseStatus::Complete {
        message: request, ..
    }) = http::read_request(text.as_bytes())
    else {
        panic!("a request")
    };
    let payload = Payload {
        id: "one".into(),
        method: "POST".into(),
        target: "/commit/a?b=c".into(),
        idempotency_key: Some("k-1".into()),
        body: b"body".to_vec(),
    };
    let submission = Submission {
        payload,
        class: 1,
        tenant: Some("t".into()),
        affinity_key: 255,
        time_limit: Some(5.0),
        expected_work: Some(1.5),
        slots: Some(2.0),
        memory: Some(3.0),
        is_marked_retry: true,
    };
    assert_eq!(
        route(request, &settings(), Readiness::Ready),
        Route::Submission(Box::new(submission))
    );
}

/// Checks the JSON keys with which a callback is parsed, and forwarded to a sibling process.
#[test]
fn a_callback_has_this_json() {
    let with_state = |state| WorkerCallback {
        id: "one".into(),
        from: "s-0".into(),
        state,
        load: vec![("queue".into(), 3.0)],
    };
    let assert_json = |state: CallbackState, text: &str| {
        let original = with_state(state);
        assert_eq!(
            String::from_utf8(callback::encode(&original)).expect("text"),
            text
        );
        assert_eq!(callback::parse(text.as_bytes()), Some(original));
    };
    assert_json(
        CallbackState::Started,
        r#"{"from":"s-0","id":"one","load":{"queue":3.0},"state":"started"}"#,
    );
    assert_json(
        CallbackState::Running(0.5),
        r#"{"from":"s-0","id":"one","load":{"queue":3.0},"share":0.5,"state":"running"}"#,
    );
    assert_json(
        CallbackState::Done(b"r".to_vec()),
        r#"{"from":"s-0","id":"one","load":{"queue":3.0},"result":"r","state":"done"}"#,
    );
    assert_json(
        CallbackState::Failed,
        r#"{"from":"s-0","id":"one","load":{"queue":3.0},"state":"failed"}"#,
    );
    assert_json(
        CallbackState::Returned,
        r#"{"from":"s-0","id":"one","load":{"queue":3.0},"state":"returned"}"#,
    );
    assert_json(
        CallbackState::Lost,
        r#"{"from":"s-0","id":"one","load":{"queue":3.0},"state":"lost"}"#,
    );
    assert_json(
        CallbackState::Unknown,
        r#"{"from":"s-0","id":"one","load":{"queue":3.0},"state":"unknown"}"#,
    );
    let minimal = WorkerCallback {
        load: Vec::new(),
        ..with_state(CallbackState::Running(0.0))
    };
    assert_eq!(
        callback::parse(br#"{"id":"one","from":"s-0","state":"running"}"#),
        Some(minimal)
    );
}

#[test]
fn a_member_of_the_discovery_list_is_read_from_these_fields() {
    let text = |phase: &str| {
        format!(
            r#"{{"revision":41,"complete":true,"members":[{{"id":"s-0","host_port":"10.0.0.4:80","locality":"riga",
            "flavor":"m2","cell":3,"phase":"{phase}","size":1.5,"up_since_ms":2500}}]}}"#
        )
    };
    for (phase, health) in [
        ("in_service", Health::Ready),
        ("terminated", Health::Removed),
        ("leaving", Health::Draining),
    ] {
        let list = DiscoveryList::from_json(text(phase).as_bytes()).expect("a list");
        assert_eq!((list.revision, list.complete), (41, true));
        let identity = 0x817cdb195c3fc0d7;
        let entry = Entry {
            identity,
            zone: 0,
            kind: 1,
            cell: 3,
            health,
            size: 1.5,
            started: 2.5,
            ..Entry::default()
        };
        let address = "10.0.0.4:80".parse().expect("an address");
        assert_eq!(
            list.into_workers(&settings()),
            [ListedWorker {
                id: "s-0".into(),
                address,
                entry
            }]
        );
    }
}

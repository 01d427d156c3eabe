//! The connections that clients and workers open to a node: timeouts, eviction at the connection
//! limit, and the parsing of requests and callbacks.

#[path = "support/clients_harness.rs"]
mod clients_harness;

use clients_harness::{ClientsHarness, TestClient, render_settings};
use postproxy::decision::interface::Settings;
use postproxy::net::downstream::callback;
use postproxy::net::downstream::routing::{BAD_REQUEST, FixedResponse, Readiness, Route, route};
use postproxy::net::messages::{Answer, CallbackState, Input, Payload, Submission, WorkerCallback};
use postproxy::net::transport::http::{self, ParseStatus, Request};
use std::io::{Read as _, Write as _};
use std::net::Shutdown;
use std::ops::Range;

const READINESS_CHECK: &str = "GET /-/ready HTTP/1.1\r\n\r\n";
const CALLBACK: &str = "POST /v1/job-events HTTP/1.1\r\nContent-Length: 40\r\n\r\n\
                        {\"id\":\"a\",\"from\":\"s-1\",\"state\":\"asleep\"}";

/// Guards against a client that occupies a connection by sending nothing, or a request that never
/// ends: it must get a close or an error within 3 s of connecting, and further bytes must not
/// extend this time. A client that has made a request keeps its connection, and its next request
/// has the same time limit.
#[test]
fn closes_connections_whose_request_does_not_arrive_in_time() {
    let mut harness = ClientsHarness::new(8);
    let mut silent = harness.connect();
    let mut incomplete = harness.connect();
    let mut persistent = harness.connect();
    harness.send(&mut incomplete, "POST /render HTTP/1.1\r\nX-Requ");
    harness.send(&mut persistent, READINESS_CHECK);
    harness.advance_to(1001.9);
    assert!(harness.is_open(&silent) && harness.is_open(&incomplete));
    harness.send(&mut incomplete, "est-Id: a");
    harness.advance_to(1002.5);
    assert_eq!(silent.read_to_end(), "");
    assert!(incomplete.read_to_end().starts_with("HTTP/1.1 408 "));
    harness.advance_to(1060.0);
    assert!(harness.is_open(&persistent));
    // The time limit includes the body, though that is moved out of the input buffer as it arrives.
    harness.send(
        &mut persistent,
        "POST /render HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 9\r\n\r\nbody",
    );
    harness.advance_to(1061.9);
    assert!(harness.is_open(&persistent));
    harness.advance_to(1062.5);
    assert!(persistent.read_to_end().contains("HTTP/1.1 408 "));
    harness.advance_to(1070.0);
    assert!(harness.clients.connection_count() == 0);
}

/// Guards against a lost response: if a connection were evicted while its client is still sending,
/// it would be reset, and the client could not read the response. A connection is exempt from
/// eviction for a short time after its last response.
#[test]
fn a_connection_is_not_evicted_right_after_its_last_response() {
    let mut harness = ClientsHarness::new(1);
    let mut answered = harness.connect();
    harness.send(
        &mut answered,
        "POST /render HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n",
    );
    let _new = harness.connect();
    let _waiting = harness.connect();
    let more_of_the_body = [b'x'; 4096];
    answered
        .stream
        .write_all(&more_of_the_body)
        .expect("bytes are written");
    assert_eq!(harness.clients.connection_count(), 2);
    harness.advance_to(1000.04);
    answered
        .stream
        .write_all(&more_of_the_body)
        .expect("bytes are written");
    // The client, which has sent more, can read its response up to the end of the connection.
    assert!(answered.read_to_end().starts_with("HTTP/1.1 413 "));
    // After that the connection is evicted, though the client goes on sending.
    let before: Vec<usize> = harness.clients.connection_keys().collect();
    harness.advance_to(1000.11);
    assert!(
        !harness.has_connection(&answered)
            && harness
                .clients
                .connection_keys()
                .any(|key| !before.contains(&key))
    );
}

/// Guards against a `Retry-After` of 0 s where the settings allow no advice: clients would retry at
/// once.
#[test]
fn retry_after_is_sent_only_if_there_is_advice() {
    for (retry_after, expected_field) in [(0.25, Some("Retry-After: 0.250\r\n")), (0.0, None)] {
        let mut harness = ClientsHarness::new(8);
        let mut client = harness.connect();
        let fields = "X-Request-Id: a\r\nConnection: close\r\n";
        harness.send(
            &mut client,
            &format!("POST /render HTTP/1.1\r\n{fields}\r\n"),
        );
        harness.clients.send_answer(
            &mut harness.reactor,
            client.key as u64,
            &Answer::RejectedWithRetryAfter(retry_after),
        );
        let text = client.read_to_end();
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert_eq!(
            text.contains("Retry-After"),
            expected_field.is_some(),
            "{text}"
        );
        assert!(
            expected_field.is_none_or(|field| text.contains(field)),
            "{text}"
        );
    }
}

/// Guards against an acknowledgement of a callback before the request manager has handled the
/// callback, and against a missing one if the worker closes its sending side after the callback.
#[test]
fn a_callback_is_acknowledged_only_by_the_request_manager() {
    let mut harness = ClientsHarness::new(4);
    let mut worker = harness.connect();
    worker
        .stream
        .write_all(CALLBACK.as_bytes())
        .expect("bytes are written");
    worker
        .stream
        .shutdown(Shutdown::Write)
        .expect("the sending side is closed");
    for _ in 0..3 {
        harness.read_from(&worker);
    }
    let received = harness.reactor.queue.pop_front();
    let id = worker.key as u64;
    assert!(matches!(received, Some(Input::CallbackReceived { client, .. }) if client == id));
    assert!(harness.reactor.queue.is_empty() && harness.has_connection(&worker));
    worker.stream.set_nonblocking(true).expect("a setting");
    assert!(
        worker.stream.read(&mut [0; 9]).is_err(),
        "nothing has been sent yet"
    );
    worker.stream.set_nonblocking(false).expect("a setting");
    harness
        .clients
        .acknowledge_callback(&mut harness.reactor, id);
    assert!(worker.read_to_end().starts_with("HTTP/1.1 200 "));
}

/// Guards against many silent connections that keep out clients: silent and idle connections are
/// evicted before those that were used for a request or a callback. A new connection is exempt,
/// since its request is still in transit.
#[test]
fn silent_and_idle_connections_are_evicted_before_used_ones() {
    let mut harness = ClientsHarness::new(4);
    let mut used = harness.connect();
    let mut idle = harness.connect();
    let silent = harness.connect();
    assert_eq!(
        CALLBACK.split_once("\r\n\r\n").map(|(_, body)| body.len()),
        Some(40)
    );
    harness.send(&mut used, CALLBACK);
    harness.reactor.now = 1000.2;
    harness.send(&mut idle, READINESS_CHECK);
    harness.reactor.now = 1000.5;
    let young = harness.connect();
    let mut first = harness.connect();
    assert!(
        !harness.is_open(&silent) && harness.is_open(&idle),
        "of the unused connections, the one that has waited longest is evicted first"
    );
    let second = harness.connect();
    assert!(!harness.is_open(&idle) && harness.is_open(&used) && harness.is_open(&young));
    let third = harness.connect();
    assert!(!harness.is_open(&used) && harness.is_open(&young) && harness.is_open(&first));
    let mut late = harness.connect();
    let are_open = [&young, &first, &second, &third].map(|client| harness.is_open(client));
    assert_eq!(are_open, [true; 4]);
    // `late` is accepted once the exemption of another connection has ended, without further
    // events.
    harness.advance_to(1000.6);
    assert!(!harness.is_open(&young) && harness.is_open(&first));
    harness.send(&mut late, CALLBACK);
    assert!(harness.clients.used_before(late.key));
    // A connection that has had its last response and is not closed by its client is evicted first
    // of all, after the short time that the client has to read the response.
    harness.send(&mut first, "no request\r\n\r\n");
    assert!(harness.has_connection(&first) && !harness.is_open(&first));
    harness.advance_to(1000.66);
    let _last: TestClient = harness.connect();
    assert!(!harness.has_connection(&first) && harness.is_open(&second) && harness.is_open(&late));
}

/// Guards against forwarding a request that a worker can't parse, or that may be parsed in more
/// than one way. A worker closes the connection on that, which also fails the other requests on it.
#[test]
fn a_request_that_can_not_be_forwarded_is_rejected() {
    let id = "X-Request-Id: a\r\n";
    let cases = [
        ("/render", format!("{id}X-Request-Id: b\r\n")),
        (
            "/render",
            format!("{id}Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        ),
        ("/render", format!("{id}X-Deadline: 1\r\nX-Deadline: 2\r\n")),
        ("/render", format!("{id}Idempotency-Key: k\u{e9}y\r\n")),
        ("/render", format!("{id}Idempotency-Key: a\tb\r\n")),
        ("/render", "X-Request-Id: \u{e9}\r\n".to_owned()),
        ("/render/a#part", id.to_owned()),
        ("/render/\u{e9}", id.to_owned()),
    ];
    for (target, fields) in cases {
        let text = format!("POST {target} HTTP/1.1\r\n{fields}\r\n");
        let routed = match http::read_request(text.as_bytes()) {
            Ok(ParseStatus::Complete { message, .. }) => {
                route(message, &render_settings(), Readiness::Ready)
            }
            Ok(_) => panic!("{text:?} is complete"),
            Err(error) => Route::Respond(FixedResponse {
                status: error.status(),
                fields: &[],
                body: "bad request\n",
            }),
        };
        assert_eq!(routed, Route::Respond(BAD_REQUEST), "{text:?}");
    }
}

fn parse_request(text: &str) -> Request {
    match http::read_request(text.as_bytes()) {
        Ok(ParseStatus::Complete { message, .. }) => message,
        other => panic!("no request: {other:?}"),
    }
}

/// The body of a pipelined request: its request id, repeated.
fn pipelined_body(id: &str) -> String {
    format!("{id};").repeat(600)
}

/// A request with [`pipelined_body`].
fn pipelined_request(id: &str) -> String {
    let body = pipelined_body(id);
    let length = body.len();
    format!("POST /render HTTP/1.1\r\nX-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Sends pipelined requests with these numbers. The node reads them in pieces that end within
/// requests.
fn send_pipelined(harness: &mut ClientsHarness, client: &mut TestClient, numbers: Range<usize>) {
    let requests: String = numbers
        .map(|number| pipelined_request(&format!("job-{number:03}")))
        .collect();
    for piece in requests.as_bytes().chunks(1000) {
        // The node may have closed the connection.
        let _ = client.stream.write_all(piece);
        harness.read_from(client);
    }
}

/// Answers requests until at most `max_answers` have been answered or none waits; returns the
/// number of answers. Each request must have the body that its client sent.
fn answer_pipelined(harness: &mut ClientsHarness, max_answers: usize) -> usize {
    for answered in 0..max_answers {
        let Some(input) = harness.reactor.queue.pop_front() else {
            return answered;
        };
        let Input::RequestReceived { client, submission } = input else {
            panic!("unexpected input: {input:?}");
        };
        let payload = submission.payload;
        assert!(
            payload.body == pipelined_body(&payload.id).as_bytes(),
            "the body of {} is not the one that was sent",
            payload.id
        );
        let answer = Answer::Served(b"result".into());
        harness
            .clients
            .send_answer(&mut harness.reactor, client, &answer);
    }
    max_answers
}

/// Guards against a request that is forwarded with a body that no client sent: of a client that
/// pipelines more than the input buffer holds, input is discarded, and what arrives later must not
/// complete the request before the gap.
#[test]
fn a_request_cut_by_discarded_input_is_not_completed_by_later_bytes() {
    let mut harness = ClientsHarness::new(8);
    let mut client = harness.connect();
    send_pipelined(&mut harness, &mut client, 0..16);
    let mut answered = answer_pipelined(&mut harness, 4);
    assert_eq!(answered, 4);
    assert!(harness.is_open(&client), "more requests are buffered");
    send_pipelined(&mut harness, &mut client, 16..32);
    answered += answer_pipelined(&mut harness, usize::MAX);
    assert!((5..16).contains(&answered), "{answered} requests answered");
    assert!(!harness.is_open(&client), "nothing complete is buffered");
    let responses = client.read_to_end();
    assert_eq!(responses.matches("HTTP/1.1 ").count(), answered);
    assert_eq!(responses.matches("HTTP/1.1 200 ").count(), answered);
}

/// Guards against the same after a hot restart: the newer process would not know that input is
/// missing. Such a connection is served to its end by the process that discarded its input.
#[test]
fn a_connection_with_discarded_input_does_not_migrate() {
    let mut harness = ClientsHarness::new(8);
    let mut complete = harness.connect();
    let mut cut = harness.connect();
    send_pipelined(&mut harness, &mut complete, 0..4);
    send_pipelined(&mut harness, &mut cut, 4..20);
    let can_migrate =
        [&complete, &cut].map(|client| harness.clients.can_migrate(client.key as u64));
    assert_eq!(can_migrate, [true, false]);
    let cut_id = cut.key as u64;
    let released = harness
        .clients
        .release_waiting_connection(&harness.reactor, cut_id);
    assert!(released.is_none() && harness.clients.awaits_answer(cut_id));
    let complete_id = complete.key as u64;
    let released = harness
        .clients
        .release_waiting_connection(&harness.reactor, complete_id);
    let released = released.expect("its input is complete");
    assert_eq!(released.input.len(), 3 * pipelined_request("job-000").len());
}

/// Guards against header fields that are lost, or assigned to the wrong field of the submission.
#[test]
fn a_submission_has_all_fields_of_its_request() {
    let settings = r#"{"services": [{"name": "reroute"}, {"name": "day-plan"}]}"#;
    let settings = Settings::from_json(settings).expect("valid settings");
    let request = parse_request(
        "POST /day-plan/x?y=z HTTP/1.1\r\nX-Request-Id: 9b1f\r\nX-Tenant: acme\r\nX-Deadline: 0.480\r\n\
         Cookie: a=b; k=7f3a9c21e0b4d655\r\nIdempotency-Key: 5c0f\r\nX-Retry: 1\r\nX-Cost-Hint: 250000\r\n\
         X-Extras: slots=2,memory=0.5\r\nContent-Length: 2\r\n\r\nhi",
    );
    let payload = Payload {
        id: "9b1f".into(),
        method: "POST".into(),
        target: "/day-plan/x?y=z".into(),
        idempotency_key: Some("5c0f".into()),
        body: b"hi".to_vec(),
    };
    let submission = Submission {
        payload,
        class: 1,
        tenant: Some("acme".into()),
        affinity_key: 0x7f3a_9c21_e0b4_d655,
        time_limit: Some(0.48),
        expected_work: Some(0.25),
        slots: Some(2.0),
        memory: Some(0.5),
        is_marked_retry: true,
    };
    assert_eq!(
        route(request, &settings, Readiness::Ready),
        Route::Submission(Box::new(submission))
    );
    let minimal =
        parse_request("POST /reroute HTTP/1.1\r\nX-Request-Id: a\r\nX-Cost-Hint: much\r\n\r\n");
    let Route::Submission(minimal) = route(minimal, &settings, Readiness::Ready) else {
        panic!("no submission")
    };
    assert_eq!(
        (
            minimal.affinity_key,
            minimal.time_limit,
            minimal.expected_work,
            minimal.slots,
            minimal.is_marked_retry
        ),
        (0, None, None, None, false)
    );
}

/// Guards against a callback that is parsed incorrectly, or that changes when it is forwarded to a
/// sibling process.
#[test]
fn a_callback_has_all_that_the_worker_sent_and_survives_encoding() {
    let text = r#"{"id":"9b1f","from":"s-1","state":"running","share":0.4,"load":{"queue":2,"x0":1.5,"odd":"x"}}"#;
    let parsed = callback::parse(text.as_bytes()).expect("a callback");
    assert_eq!(
        (parsed.id.as_str(), parsed.from.as_str(), parsed.state),
        ("9b1f", "s-1", CallbackState::Running(0.4))
    );
    assert_eq!(
        parsed.load,
        [("queue".to_owned(), 2.0), ("x0".to_owned(), 1.5)]
    );
    let state_of = |text: &str| callback::parse(text.as_bytes()).map(|callback| callback.state);
    assert_eq!(
        state_of(r#"{"id":"a","from":"b","state":"done","result":"r"}"#),
        Some(CallbackState::Done(b"r".into()))
    );
    assert_eq!(
        state_of(r#"{"id":"a","from":"b","state":"asleep"}"#),
        Some(CallbackState::Unknown)
    );
    assert_eq!(state_of(r#"{"id":"a","state":"done"}"#), None);
    let states = [
        CallbackState::Started,
        CallbackState::Running(0.25),
        CallbackState::Done("\u{161}\n\"r\"".into()),
        CallbackState::Failed,
        CallbackState::Returned,
        CallbackState::Lost,
        CallbackState::Unknown,
    ];
    for state in states {
        let sent = WorkerCallback {
            id: "9b1f".into(),
            from: "s-1".into(),
            state,
            load: vec![("queue".to_owned(), 2.0), ("x0".to_owned(), 1.5)],
        };
        assert_eq!(callback::parse(&callback::encode(&sent)), Some(sent));
    }
}

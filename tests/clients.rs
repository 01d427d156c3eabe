//! The connections that clients and workers open, on loopback, with a time that is told.

use postproxy::decision::interface::Settings;
use postproxy::net::downstream::callback;
use postproxy::net::downstream::clients::Clients;
use postproxy::net::downstream::routing::{BAD_REQUEST, FixedResponse, Readiness, Route, route};
use postproxy::net::messages::{Answer, Input, JobCall, JobState, Payload, Submission};
use postproxy::net::transport::http::{self, ParseStatus, Request};
use postproxy::net::transport::reactor::{Reactor, Timer};
use std::io::{Read as _, Write as _};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Clients on loopback whose time is told.
struct Bed {
    reactor: Reactor,
    clients: Clients,
}

impl Bed {
    fn new(most: usize) -> Self {
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a setting");
        let settings =
            Settings::from_json(r#"{"services": [{"name": "render"}]}"#).expect("settings");
        let clients = Clients::new(&mut reactor, listener, settings, most).expect("they listen");
        Self { reactor, clients }
    }

    /// A peer and the key of its connection, which is there at once: loopback does not wait.
    fn connect(&mut self) -> (TcpStream, usize) {
        let address = self.clients.address().expect("an address");
        let peer = TcpStream::connect(address).expect("a connection");
        peer.set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time limit");
        self.clients.accept(&mut self.reactor);
        (
            peer,
            self.clients.connection_keys().max().unwrap_or_default(),
        )
    }

    /// Sends, and has it read.
    fn send(&mut self, (peer, key): &mut (TcpStream, usize), text: &str) {
        peer.write_all(text.as_bytes()).expect("it is written");
        self.clients
            .handle_ready(&mut self.reactor, *key, true, false);
        // In place of the hub.
        if let Some(Input::CallbackReceived { client, .. }) = self.reactor.queue.pop_front() {
            self.clients.acknowledge_callback(&mut self.reactor, client);
        }
    }

    /// Lets the time come.
    fn at(&mut self, now: f64) {
        self.reactor.now = now;
        for due in self.reactor.expired_timers() {
            match due {
                Timer::Client(key, round) => {
                    self.clients.handle_timer(&mut self.reactor, key, round)
                }
                Timer::Accept => self.clients.resume_accepting(&mut self.reactor),
                _ => {}
            }
        }
    }

    fn holds(&self, (_, key): &(TcpStream, usize)) -> bool {
        self.clients.is_open(*key)
    }
}

/// What has come up to the connection's end.
fn rest((peer, _): &mut (TcpStream, usize)) -> String {
    let mut text = String::new();
    peer.read_to_string(&mut text).expect("its end");
    text
}

const READY: &str = "GET /-/ready HTTP/1.1\r\n\r\n";
const CALL: &str = "POST /v1/job-events HTTP/1.1\r\nContent-Length: 40\r\n\r\n\
                    {\"id\":\"a\",\"from\":\"s-1\",\"state\":\"asleep\"}";

/// Guards against a peer that holds a connection by silence, or by a request that never ends: it is owed a
/// close or an error within 3 s of connecting, and no byte in between gives it more time. Who has asked
/// keeps the connection, and has as much time for its next request.
#[test]
fn silence_and_half_a_request_have_their_time() {
    let mut bed = Bed::new(8);
    let (mut silent, mut half, mut kept) = (bed.connect(), bed.connect(), bed.connect());
    bed.send(&mut half, "POST /render HTTP/1.1\r\nX-Requ");
    bed.send(&mut kept, READY);
    bed.at(1001.9);
    assert!(bed.holds(&silent) && bed.holds(&half));
    bed.send(&mut half, "est-Id: a");
    bed.at(1002.5);
    assert_eq!(rest(&mut silent), "");
    assert!(rest(&mut half).starts_with("HTTP/1.1 408 "));
    bed.at(1060.0);
    assert!(bed.holds(&kept));
    // The body counts too, though it is taken off the input as it comes.
    bed.send(
        &mut kept,
        "POST /render HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 9\r\n\r\nbody",
    );
    bed.at(1061.9);
    assert!(bed.holds(&kept));
    bed.at(1062.5);
    assert!(rest(&mut kept).contains("HTTP/1.1 408 "));
    bed.at(1070.0);
    assert!(bed.clients.connection_count() == 0);
}

/// Guards against an answer that its client can't read, since the connection was reset over what the client was still sending: a new
/// one had come, for which there was no room. One that has just had its answer keeps its place for a moment.
#[test]
fn who_has_just_been_answered_does_not_give_way_at_once() {
    let mut bed = Bed::new(1);
    let mut answered = bed.connect();
    bed.send(
        &mut answered,
        "POST /render HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n",
    );
    let _young = bed.connect();
    let _waits = bed.connect();
    answered.0.write_all(&[b'x'; 4096]).expect("it is written");
    assert_eq!(bed.clients.connection_count(), 2);
    bed.at(1000.04);
    answered.0.write_all(&[b'x'; 4096]).expect("it is written");
    // It goes on sending, and reads its answer up to the connection's orderly end.
    assert!(rest(&mut answered).starts_with("HTTP/1.1 413 "));
    // Its place is free after that, though it sends on.
    let before: Vec<usize> = bed.clients.connection_keys().collect();
    bed.at(1000.11);
    assert!(
        bed.clients.connection_keys().all(|key| key != answered.1)
            && bed
                .clients
                .connection_keys()
                .any(|key| !before.contains(&key))
    );
}

/// Guards against advice to come back at once where the settings allow none.
#[test]
fn an_unavailable_answer_says_when_to_come_back_or_nothing() {
    for (after, field) in [(0.25, Some("Retry-After: 0.250\r\n")), (0.0, None)] {
        let mut bed = Bed::new(8);
        let mut peer = bed.connect();
        let fields = "X-Request-Id: a\r\nConnection: close\r\n";
        bed.send(&mut peer, &format!("POST /render HTTP/1.1\r\n{fields}\r\n"));
        bed.clients
            .send_answer(&mut bed.reactor, peer.1 as u64, &Answer::Unavailable(after));
        let text = rest(&mut peer);
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert_eq!(text.contains("Retry-After"), field.is_some(), "{text}");
        assert!(field.is_none_or(|field| text.contains(field)), "{text}");
    }
}

/// Guards against a worker that is told that its call-back was taken before the hub says so, and against one
/// that is told nothing because it closed its side after the call.
#[test]
fn a_call_back_is_acknowledged_by_the_hub() {
    let mut bed = Bed::new(4);
    let (mut peer, key) = bed.connect();
    peer.write_all(CALL.as_bytes()).expect("it is written");
    peer.shutdown(std::net::Shutdown::Write)
        .expect("it is closed");
    for _ in 0..3 {
        bed.clients.handle_ready(&mut bed.reactor, key, true, false);
    }
    assert!(
        matches!(bed.reactor.queue.pop_front(), Some(Input::CallbackReceived { client, .. }) if client == key as u64)
    );
    assert!(bed.reactor.queue.is_empty() && bed.clients.connection_keys().any(|key| key == key));
    peer.set_nonblocking(true).expect("a setting");
    assert!(peer.read(&mut [0; 9]).is_err(), "nothing is told yet");
    peer.set_nonblocking(false).expect("a setting");
    bed.clients
        .acknowledge_callback(&mut bed.reactor, key as u64);
    assert!(rest(&mut (peer, key)).starts_with("HTTP/1.1 200 "));
}

/// Guards against a crowd that takes all places: the silent give way before those who have brought a job or
/// a call-back, and none that is new does, since its request is on its way.
#[test]
fn the_silent_and_the_idle_give_way_before_the_useful() {
    let mut bed = Bed::new(4);
    let (mut useful, mut idle, silent) = (bed.connect(), bed.connect(), bed.connect());
    assert_eq!(
        CALL.split_once("\r\n\r\n").map(|(_, body)| body.len()),
        Some(40)
    );
    bed.send(&mut useful, CALL);
    bed.reactor.now = 1000.2;
    bed.send(&mut idle, READY);
    bed.reactor.now = 1000.5;
    let young = bed.connect();
    let first = bed.connect();
    assert!(
        !bed.holds(&silent) && bed.holds(&idle),
        "what has waited longest of the useless goes first"
    );
    let second = bed.connect();
    assert!(!bed.holds(&idle) && bed.holds(&useful) && bed.holds(&young));
    let third = bed.connect();
    assert!(!bed.holds(&useful) && bed.holds(&young) && bed.holds(&first));
    let mut late = bed.connect();
    assert!(bed.holds(&young) && bed.holds(&first) && bed.holds(&second) && bed.holds(&third));
    // It waits until one is no longer new; then accepting goes on by itself.
    bed.at(1000.6);
    assert!(!bed.holds(&young) && bed.holds(&first));
    bed.send(&mut late, CALL);
    assert!(bed.clients.is_useful(late.1));
    // Who has its last answer and does not end is first of all, once it has had a moment to read it.
    let mut first = first;
    bed.send(&mut first, "no request\r\n\r\n");
    assert!(bed.clients.connection_keys().any(|key| key == first.1) && !bed.holds(&first));
    bed.at(1000.66);
    let _last = bed.connect();
    assert!(
        !bed.clients.connection_keys().any(|key| key == first.1)
            && bed.holds(&second)
            && bed.holds(&late)
    );
}

/// Guards against passing on what a worker can't read, or what each reader could read in its own way: it
/// closes on that, whatever else waits on the connection.
#[test]
fn what_can_not_be_passed_on_is_malformed() {
    let settings =
        Settings::from_json(r#"{"services": [{"name": "render"}]}"#).expect("sound settings");
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
        let wanted = match http::read_request(text.as_bytes()) {
            Ok(ParseStatus::Complete {
                message: request, ..
            }) => route(request, &settings, Readiness::Ready),
            Ok(_) => panic!("{text:?} is whole"),
            Err(flaw) => Route::Respond(FixedResponse {
                status: flaw.status(),
                fields: &[],
                body: "bad request\n",
            }),
        };
        assert_eq!(wanted, Route::Respond(BAD_REQUEST), "{text:?}");
    }
}

fn read(text: &str) -> Request {
    match http::read_request(text.as_bytes()) {
        Ok(ParseStatus::Complete {
            message: request, ..
        }) => request,
        other => panic!("no request: {other:?}"),
    }
}

/// Guards against a job's figures getting lost or taken for others on their way to the module.
#[test]
fn a_submission_holds_what_the_request_says() {
    let settings = r#"{"services": [{"name": "reroute"}, {"name": "day-plan"}]}"#;
    let settings = Settings::from_json(settings).expect("sound settings");
    let request = read(
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
        key: 0x7f3a_9c21_e0b4_d655,
        budget: Some(0.48),
        hint: Some(0.25),
        slots: Some(2.0),
        memory: Some(0.5),
        repeat: true,
    };
    assert_eq!(
        route(request, &settings, Readiness::Ready),
        Route::Submission(Box::new(submission))
    );
    let bare = read("POST /reroute HTTP/1.1\r\nX-Request-Id: a\r\nX-Cost-Hint: much\r\n\r\n");
    let Route::Submission(bare) = route(bare, &settings, Readiness::Ready) else {
        panic!("no transaction")
    };
    assert_eq!(
        (bare.key, bare.budget, bare.hint, bare.slots, bare.repeat),
        (0, None, None, None, false)
    );
}

/// Guards against a call-back that is misread; an unknown state changes nothing.
#[test]
fn a_call_back_holds_what_the_worker_says() {
    let load = r#"{"id":"9b1f","from":"s-1","state":"running","share":0.4,"load":{"queue":2,"x0":1.5,"odd":"x"}}"#;
    let read = callback::parse(load.as_bytes()).expect("a call-back");
    assert_eq!(
        (read.id.as_str(), read.from.as_str(), read.state),
        ("9b1f", "s-1", JobState::Running(0.4))
    );
    assert_eq!(
        read.load,
        [("queue".to_owned(), 2.0), ("x0".to_owned(), 1.5)]
    );
    let state = |text: &str| callback::parse(text.as_bytes()).map(|call| call.state);
    assert_eq!(
        state(r#"{"id":"a","from":"b","state":"done","result":"r"}"#),
        Some(JobState::Done(b"r".into()))
    );
    assert_eq!(
        state(r#"{"id":"a","from":"b","state":"asleep"}"#),
        Some(JobState::Unknown)
    );
    assert_eq!(state(r#"{"id":"a","state":"done"}"#), None);
    // Through another process it stays the same.
    let states = [
        JobState::Started,
        JobState::Running(0.25),
        JobState::Done("\u{161}\n\"r\"".into()),
        JobState::Failed,
        JobState::Returned,
        JobState::Lost,
        JobState::Unknown,
    ];
    for state in states {
        let load = vec![("queue".to_owned(), 2.0), ("x0".to_owned(), 1.5)];
        let told = JobCall {
            id: "9b1f".into(),
            from: "s-1".into(),
            state,
            load,
        };
        assert_eq!(callback::parse(&callback::encode(&told)), Some(told));
    }
}

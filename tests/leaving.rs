//! A client that closes its connection has gone: no attempt, first or further, begins for it after that. Real connections,
//! and the bad order made each time: the test goes on when the node has shown that it has taken in what came before.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{ACCEPTED, LIMIT, NodeHarness, Peer, list, member, port};
use postproxy::decision::interface::Settings;
use postproxy::net::downstream::clients::Clients;
use postproxy::net::downstream::migration::ReleasedWaitingConnection;
use postproxy::net::messages::{AttemptEnd, Input, Payload};
use postproxy::net::transport::reactor::{Owner, Reactor, Timer, owner};
use postproxy::net::upstream::attempts::Attempts;
use std::io::Write as _;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Leaves {
    Fin,
    Rst,
    /// With so much behind its request that nobody reads.
    FinBehind(usize),
    RstBehind(usize),
}

const WAYS: [Leaves; 6] = [
    Leaves::Fin,
    Leaves::Rst,
    Leaves::FinBehind(200),
    // More than a node reads ahead, and more than it would drop of a connection that closes.
    Leaves::FinBehind(64 << 10),
    Leaves::FinBehind(1 << 20),
    Leaves::RstBehind(64 << 10),
];

impl Leaves {
    /// What follows a request that nobody waits for.
    fn behind(self) -> usize {
        match self {
            Leaves::FinBehind(size) | Leaves::RstBehind(size) => size,
            _ => 0,
        }
    }

    fn sends_behind(self, client: &mut Peer) {
        let whole = vec![b'x'; self.behind()];
        // A node may end the connection for it; then it has gone, too.
        let _ = client.stream.write_all(&whole);
    }

    fn goes(self, client: Peer) {
        if matches!(self, Leaves::Rst | Leaves::RstBehind(_)) {
            socket2::SockRef::from(&client.stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a setting");
        }
        drop(client);
    }
}

/// Guards against a further attempt for nobody: the client leaves while its job runs, and then the job is lost. That the node
/// has seen it go is shown by the cancel.
#[test]
fn no_further_attempt_begins_for_a_client_that_has_left() {
    for way in WAYS {
        let harness = NodeHarness::new(2, 256);
        let mut client = Peer::to(harness.node);
        client.submit("one");
        let (mut worker, from) = first(&harness);
        assert_eq!(worker.request().headers.get("x-request-id"), Some("one"));
        worker.write(ACCEPTED);
        harness.settled();
        way.sends_behind(&mut client);
        way.goes(client);
        let left = Instant::now();
        let cancel = worker.request();
        assert!(
            left.elapsed() < Duration::from_secs(3),
            "{way:?}: not because it left, but at its deadline, 5 s"
        );
        assert_eq!(
            (cancel.method.as_str(), cancel.target.as_str()),
            ("DELETE", "/jobs/one"),
            "{way:?}"
        );
        worker.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(harness.call("one", from, r#""state":"lost""#), 200);
        // Whatever it led to has been done when another job comes through.
        let mut other = Peer::to(harness.node);
        other.submit("two");
        let (mut worker, from) = on(&harness, worker, from);
        assert_eq!(
            worker.request().headers.get("x-request-id"),
            Some("two"),
            "{way:?}"
        );
        worker.write(ACCEPTED);
        assert_eq!(
            harness.call("two", from, r#""state":"done","result":"r""#),
            200
        );
        assert_eq!(other.response().status, 200);
        drop(other);
        for listener in &harness.workers {
            listener.set_nonblocking(true).expect("a setting");
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).expect("a setting");
                let text = Peer::new(stream).stream.peek(&mut [0; 9]);
                assert!(text.is_err(), "{way:?}: another attempt was made");
            }
        }
        harness.stop();
    }
}

/// Guards against a client's end that is noticed late: what begins for nobody counts 0.1 s after it. Nine in ten, since the machine may
/// be busy.
#[test]
fn a_client_that_leaves_is_noticed_within_a_tenth_of_a_second() {
    let harness = NodeHarness::new(1, 256);
    let (mut at, mut took) = (None, Vec::new());
    for n in 0..30 {
        let (id, way) = (format!("job-{n}"), WAYS[n % WAYS.len()]);
        let mut client = Peer::to(harness.node);
        client.submit(&id);
        let (mut worker, from) = match at.take() {
            Some((worker, from)) => on(&harness, worker, from),
            None => first(&harness),
        };
        assert_eq!(
            worker.request().headers.get("x-request-id"),
            Some(id.as_str())
        );
        worker.write(ACCEPTED);
        harness.settled();
        way.sends_behind(&mut client);
        way.goes(client);
        let left = Instant::now();
        assert_eq!(worker.request().target, format!("/jobs/{id}"));
        took.push((left.elapsed(), way));
        worker.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(harness.call(&id, from, r#""state":"lost""#), 200);
        at = Some((worker, from));
    }
    took.sort_by_key(|(time, _)| *time);
    assert!(took[26].0 < Duration::from_millis(100), "{took:?}");
    drop(at);
    harness.stop();
}

/// The first connection that is made to any worker, and whose.
fn first(harness: &NodeHarness) -> (Peer, usize) {
    let start = Instant::now();
    for (n, listener) in harness.workers.iter().enumerate().cycle() {
        assert!(start.elapsed() < LIMIT, "no attempt came");
        listener.set_nonblocking(true).expect("a setting");
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("a setting");
            harness
                .workers
                .iter()
                .for_each(|w| w.set_nonblocking(false).expect("a setting"));
            return (Peer::new(stream), n);
        }
    }
    unreachable!("the circle has no end")
}

/// The connection on which the next attempt comes: this one, or a new one.
fn on(harness: &NodeHarness, peer: Peer, from: usize) -> (Peer, usize) {
    let start = Instant::now();
    peer.stream.set_nonblocking(true).expect("a setting");
    loop {
        assert!(start.elapsed() < LIMIT, "no attempt came");
        if peer.stream.peek(&mut [0; 1]).is_ok_and(|size| size > 0) {
            peer.stream.set_nonblocking(false).expect("a setting");
            return (peer, from);
        }
        for (n, listener) in harness.workers.iter().enumerate() {
            listener.set_nonblocking(true).expect("a setting");
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(false).expect("a setting");
                return (Peer::new(stream), n);
            }
        }
    }
}

/// Guards against a first attempt for nobody: the job is held, since no worker is in service, its client leaves, and then a
/// worker comes. In a burst, among others who stay.
#[test]
fn no_first_attempt_begins_for_clients_that_have_left() {
    let harness = NodeHarness::new(0, 1024);
    let mut discovery = Peer::accept(&harness.discovery);
    discovery.request();
    let mut clients: Vec<(Peer, Leaves)> = (0..60)
        .map(|n| {
            let mut client = Peer::to(harness.node);
            client.submit(&format!(
                "{}-{n}",
                if n % 10 == 0 { "stays" } else { "leaves" }
            ));
            (client, WAYS[n % WAYS.len()])
        })
        .collect();
    harness.settled();
    let (stay, leave): (Vec<_>, Vec<_>) = clients
        .drain(..)
        .enumerate()
        .partition(|(n, _)| n % 10 == 0);
    for (_, (mut client, way)) in leave {
        way.sends_behind(&mut client);
        way.goes(client);
    }
    // Each of these is read after what the others had sent before; and a large rest takes some turns.
    for _ in 0..100 {
        harness.settled();
    }
    let worker = port();
    let member = member(0, worker.local_addr().expect("an address"), "in_service");
    list(
        &mut discovery,
        &format!(r#"{{"revision":50,"complete":true,"members":[{member}]}}"#),
    );
    for _ in 0..stay.len() {
        let mut attempt = Peer::accept(&worker);
        let request = attempt.request();
        let id = request
            .headers
            .get("x-request-id")
            .expect("an id")
            .to_owned();
        assert!(id.starts_with("stays-"), "{id} is sent on for nobody");
        // Each comes on a connection of its own.
        attempt.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(harness.call(&id, 0, r#""state":"done","result":"r""#), 200);
    }
    for (_, (mut client, _)) in stay {
        assert_eq!(client.response().status, 200);
    }
    harness.stop();
}

/// Guards against an attempt that begins because it was being dialled for when the client left: the connection comes up after
/// that, and carries nothing. Whether it has come up is for the test to say: until it says so, the socket is not looked at.
#[test]
fn a_dial_for_a_client_that_has_left_carries_nothing() {
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let worker = port();
    let mut attempts = Attempts::new(8, 0.25, 60.0);
    let at = worker.local_addr().expect("an address");
    let until = reactor.now + 5.0;
    attempts.start_attempt(&mut reactor, 1, at, &Rc::new(Payload::default()), until);
    attempts.withdraw_attempt(&mut reactor, 1);
    let mut dialled = Peer::accept(&worker);
    let mut events = Vec::new();
    reactor.wait(&mut events, f64::MAX).expect("a poller");
    events
        .iter()
        .for_each(|e| attempts.handle_ready(&mut reactor, e.key, e.readable, e.writable));
    assert!(
        !dialled.more() && attempts.connection_count() == 0,
        "nothing was written"
    );
    assert!(matches!(
        reactor.queue.pop_front(),
        Some(Input::ExchangeEnded {
            attempt: 1,
            end: AttemptEnd::NoRoom,
            ..
        })
    ));
    assert!(reactor.queue.is_empty());
}

/// The listener's side when it has accepted the connection of a client that sent a request and left this way before.
fn accepted_behind_the_end(way: Leaves) -> (Reactor, Clients) {
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a setting");
    let settings = Settings::from_json(r#"{"services": [{"name": "render"}]}"#).expect("settings");
    let mut clients = Clients::new(&mut reactor, listener, settings, 8).expect("they listen");
    let mut client = Peer::to(at);
    client.submit("gone");
    way.sends_behind(&mut client);
    way.goes(client);
    clients.accept(&mut reactor);
    (reactor, clients)
}

/// Guards against a job that is begun and cancelled in one turn, since its client's end was read with it: it was gone before the
/// node had read a byte.
#[test]
fn a_job_that_is_read_with_its_clients_end_is_never_told() {
    for way in [
        Leaves::Fin,
        Leaves::Rst,
        Leaves::FinBehind(64 << 10),
        Leaves::RstBehind(64 << 10),
    ] {
        let (mut reactor, mut clients) = accepted_behind_the_end(way);
        // What did not fit into one read comes with the next ones; nothing of the queue has been taken meanwhile.
        reactor.set_timer(1000.0, Timer::Accept);
        let (start, mut events) = (Instant::now(), Vec::new());
        while clients.connection_count() > 0 {
            assert!(start.elapsed() < LIMIT, "{way:?}: its end is not seen");
            reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in events
                .iter()
                .filter(|event| owner(event.key) == Owner::Client)
            {
                clients.handle_ready(&mut reactor, event.key, event.readable, event.writable);
            }
        }
        let told: Vec<&Input> = reactor.queue.iter().collect();
        assert!(told.is_empty(), "{way:?}: {} pieces of news", told.len());
    }
}

/// Guards against an attempt that begins one turn before the client's end is seen: the client closed before the node read a byte, and all
/// that it sent, more than is read ahead, is there.
#[test]
fn an_end_behind_more_than_is_read_ahead_is_seen_in_the_same_turn() {
    for way in [
        Leaves::Fin,
        Leaves::FinBehind(200),
        Leaves::FinBehind(40 << 10),
        Leaves::RstBehind(40 << 10),
    ] {
        let (reactor, _agents) = accepted_behind_the_end(way);
        assert!(
            reactor.queue.is_empty(),
            "{way:?}: the hub is told of a job that nobody waits for"
        );
    }
}

/// Guards against a hand-over that takes a client for one who waits, though its end was on the way with its connection.
#[test]
fn a_connection_taken_over_behind_its_clients_end_waits_for_nothing() {
    for (way, waits) in [
        (None, true),
        (Some(Leaves::Fin), false),
        (Some(Leaves::RstBehind(64 << 10)), false),
    ] {
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let settings =
            Settings::from_json(r#"{"services": [{"name": "render"}]}"#).expect("settings");
        let other = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut clients = Clients::new(&mut reactor, other, settings, 8).expect("they listen");
        let mut client = Some(Peer::to(at));
        let (stream, _) = listener.accept().expect("a connection");
        if let Some(way) = way {
            let mut client = client.take().expect("a client");
            way.sends_behind(&mut client);
            way.goes(client);
        }
        let released = ReleasedWaitingConnection {
            stream,
            input: Vec::new(),
            close_after_response: false,
        };
        let client = clients
            .adopt_waiting_connection(&mut reactor, released)
            .expect("it is taken in");
        let (start, mut events) = (Instant::now(), Vec::new());
        reactor.set_timer(1000.0, Timer::Accept);
        // What does not fit into the first read comes with the next ones.
        while clients.awaits_answer(client) != waits {
            assert!(
                start.elapsed() < LIMIT && way != Some(Leaves::Fin),
                "{way:?}"
            );
            reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in events
                .iter()
                .filter(|event| owner(event.key) == Owner::Client)
            {
                clients.handle_ready(&mut reactor, event.key, event.readable, event.writable);
            }
        }
    }
}

//! No attempt, first or further, begins for a client that has closed its connection. Real
//! connections, and the unfavourable order made each time: the test goes on when the node has shown
//! that it has handled what came before.

#[path = "support/clients_harness.rs"]
mod clients_harness;
#[path = "support/node_harness.rs"]
mod node_harness;

use clients_harness::ClientsHarness;
use node_harness::{
    ACCEPTED, EMPTY_OK, NodeHarness, TEST_TIMEOUT, TestSocket, bind_listener, send_worker_list,
    worker_entry_json,
};
use postproxy::net::downstream::migration::ReleasedWaitingConnection;
use postproxy::net::messages::{AttemptEnd, Input, Payload};
use postproxy::net::transport::reactor::Reactor;
use postproxy::net::upstream::attempts::Attempts;
use std::io::Write as _;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    /// In good order.
    Fin,
    /// With a reset.
    Reset,
    /// In good order, with this number of bytes behind its request that nobody waits for.
    FinBehind(usize),
    /// With a reset, with this number of bytes behind its request.
    ResetBehind(usize),
}

const ALL_DISCONNECTS: [Disconnect; 6] = [
    Disconnect::Fin,
    Disconnect::Reset,
    Disconnect::FinBehind(200),
    // More than a node buffers, and more than it would discard of a connection that closes.
    Disconnect::FinBehind(64 << 10),
    Disconnect::FinBehind(1 << 20),
    Disconnect::ResetBehind(64 << 10),
];

impl Disconnect {
    /// Sends what comes behind the request, then disconnects.
    fn disconnect(self, mut client: TestSocket) {
        let (Disconnect::FinBehind(size) | Disconnect::ResetBehind(size)) = self else {
            return self.close(client);
        };
        // A node may close the connection because of it; then the client has gone as well.
        let _ = client.stream.write_all(&vec![b'x'; size]);
        self.close(client);
    }

    fn close(self, client: TestSocket) {
        if matches!(self, Disconnect::Reset | Disconnect::ResetBehind(_)) {
            socket2::SockRef::from(&client.stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a setting");
        }
        drop(client);
    }
}

/// A connection that the node has made to a worker.
struct WorkerConnection {
    socket: TestSocket,
    worker: usize,
}

impl WorkerConnection {
    /// Reads a request and accepts it; returns its id.
    fn accept_request(&mut self) -> String {
        let request = self.socket.read_request();
        self.socket.write(ACCEPTED);
        request
            .headers
            .get("x-request-id")
            .expect("an id")
            .to_owned()
    }
}

/// Accepts a connection to any worker if there is one; the listeners don't block after this.
fn accept_any(harness: &NodeHarness) -> Option<WorkerConnection> {
    for (worker, listener) in harness.workers.iter().enumerate() {
        listener.set_nonblocking(true).expect("a setting");
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("a setting");
            let socket = TestSocket::new(stream);
            return Some(WorkerConnection { socket, worker });
        }
    }
    None
}

/// Waits for the first connection to any worker.
fn first_connection(harness: &NodeHarness) -> WorkerConnection {
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < TEST_TIMEOUT, "no attempt came");
        if let Some(connection) = accept_any(harness) {
            return connection;
        }
    }
}

/// Waits for the connection on which the next attempt comes: this one, or a new one.
fn next_connection(harness: &NodeHarness, connection: WorkerConnection) -> WorkerConnection {
    let start = Instant::now();
    let stream = &connection.socket.stream;
    stream.set_nonblocking(true).expect("a setting");
    loop {
        assert!(start.elapsed() < TEST_TIMEOUT, "no attempt came");
        if stream.peek(&mut [0; 1]).is_ok_and(|size| size > 0) {
            stream.set_nonblocking(false).expect("a setting");
            return connection;
        }
        if let Some(connection) = accept_any(harness) {
            return connection;
        }
    }
}

/// Guards against a retry for nobody: the client disconnects while its request runs, and then the
/// worker loses it. The cancel shows that the node has seen the client's end.
#[test]
fn no_retry_begins_for_a_client_that_has_disconnected() {
    for disconnect in ALL_DISCONNECTS {
        let harness = NodeHarness::new(2, 256);
        let mut client = harness.connect();
        client.submit_request("one");
        let mut connection = first_connection(&harness);
        assert_eq!(connection.accept_request(), "one");
        harness.wait_for_two_turns();
        disconnect.disconnect(client);
        let disconnected = Instant::now();
        let cancel = connection.socket.read_request();
        assert!(
            disconnected.elapsed() < Duration::from_secs(3),
            "{disconnect:?}: cancelled not for the client's end, but at the deadline, after 5 s"
        );
        assert_eq!(
            (cancel.method.as_str(), cancel.target.as_str()),
            ("DELETE", "/jobs/one"),
            "{disconnect:?}"
        );
        connection.socket.write(EMPTY_OK);
        assert_eq!(
            harness.post_callback("one", connection.worker, r#""state":"lost""#),
            200
        );
        // Whatever that led to has been done when another request comes through.
        let mut other = harness.connect();
        other.submit_request("two");
        let mut connection = next_connection(&harness, connection);
        assert_eq!(connection.accept_request(), "two", "{disconnect:?}");
        assert_eq!(harness.report_done("two", connection.worker), 200);
        assert_eq!(other.read_response().status, 200);
        drop(other);
        for listener in &harness.workers {
            listener.set_nonblocking(true).expect("a setting");
            if let Ok((stream, _)) = listener.accept() {
                stream.set_nonblocking(true).expect("a setting");
                let peeked = stream.peek(&mut [0; 9]);
                assert!(peeked.is_err(), "{disconnect:?}: another attempt was made");
            }
        }
        harness.stop();
    }
}

/// Guards against a client's end that is noticed late: an attempt for nobody counts 0.1 s after it.
/// Nine in ten must be in time, since the machine may be busy.
#[test]
fn a_clients_end_is_noticed_within_a_tenth_of_a_second() {
    let harness = NodeHarness::new(1, 256);
    let mut last_connection: Option<WorkerConnection> = None;
    let mut delays = Vec::new();
    for n in 0..30 {
        let id = format!("job-{n}");
        let disconnect = ALL_DISCONNECTS[n % ALL_DISCONNECTS.len()];
        let mut client = harness.connect();
        client.submit_request(&id);
        let mut connection = match last_connection.take() {
            Some(connection) => next_connection(&harness, connection),
            None => first_connection(&harness),
        };
        assert_eq!(connection.accept_request(), id);
        harness.wait_for_two_turns();
        disconnect.disconnect(client);
        let disconnected = Instant::now();
        assert_eq!(
            connection.socket.read_request().target,
            format!("/jobs/{id}")
        );
        delays.push((disconnected.elapsed(), disconnect));
        connection.socket.write(EMPTY_OK);
        assert_eq!(
            harness.post_callback(&id, connection.worker, r#""state":"lost""#),
            200
        );
        last_connection = Some(connection);
    }
    delays.sort_by_key(|(delay, _)| *delay);
    assert!(delays[26].0 < Duration::from_millis(100), "{delays:?}");
    drop(last_connection);
    harness.stop();
}

/// Guards against a first attempt for nobody: requests wait_until, since no worker is in service,
/// most of their clients disconnect, and then a worker is added. In a burst, among others who stay.
#[test]
fn no_first_attempt_begins_for_clients_that_have_disconnected() {
    let harness = NodeHarness::new(0, 1024);
    let mut discovery = TestSocket::accept(&harness.discovery);
    discovery.read_request();
    let mut clients: Vec<TestSocket> = (0..60)
        .map(|n| {
            let mut client = harness.connect();
            let name = if n % 10 == 0 { "stays" } else { "leaves" };
            client.submit_request(&format!("{name}-{n}"));
            client
        })
        .collect();
    harness.wait_for_two_turns();
    let (staying, leaving): (Vec<_>, Vec<_>) = clients
        .drain(..)
        .enumerate()
        .partition(|(n, _)| n % 10 == 0);
    for (n, client) in leaving {
        ALL_DISCONNECTS[n % ALL_DISCONNECTS.len()].disconnect(client);
    }
    // Each of these is read after what the others had sent before; and a large rest takes some
    // turns.
    for _ in 0..100 {
        harness.wait_for_two_turns();
    }
    let worker = bind_listener();
    let address = worker.local_addr().expect("an address");
    let entry = worker_entry_json(0, address, "in_service");
    send_worker_list(
        &mut discovery,
        &format!(r#"{{"revision":50,"complete":true,"members":[{entry}]}}"#),
    );
    for _ in 0..staying.len() {
        let mut attempt = TestSocket::accept(&worker);
        let request = attempt.read_request();
        let id = request
            .headers
            .get("x-request-id")
            .expect("an id")
            .to_owned();
        assert!(id.starts_with("stays-"), "{id} is forwarded for nobody");
        // Each comes on a connection of its own.
        attempt.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(harness.report_done(&id, 0), 200);
    }
    for (_, mut client) in staying {
        assert_eq!(client.read_response().status, 200);
    }
    harness.stop();
}

/// Guards against an attempt that begins because its connection was being established when the
/// client disconnected: the connection comes up after that, and carries nothing. It is not looked
/// at before the test polls.
#[test]
fn a_connection_dialled_for_a_disconnected_client_carries_nothing() {
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let worker = bind_listener();
    let mut attempts = Attempts::new(8, 0.25, 60.0);
    let address = worker.local_addr().expect("an address");
    let deadline = reactor.now + 5.0;
    let payload = Rc::new(Payload::default());
    attempts.start_attempt(&mut reactor, 1, address, &payload, deadline);
    attempts.withdraw_attempt(&mut reactor, 1);
    let mut dialled = TestSocket::accept(&worker);
    let mut events = Vec::new();
    reactor.wait(&mut events, f64::MAX).expect("a poller");
    for event in events {
        attempts.handle_ready(&mut reactor, event.key, event.readable, event.writable);
    }
    assert!(
        !dialled.read_more() && attempts.connection_count() == 0,
        "nothing was written"
    );
    assert!(matches!(
        reactor.queue.pop_front(),
        Some(Input::ExchangeEnded {
            attempt: 1,
            end: AttemptEnd::LocalCapacityExhausted,
            ..
        })
    ));
    assert!(reactor.queue.is_empty());
}

/// A node's side that has accepted the connection of a client which had sent a request and
/// disconnected before.
fn accepted_after_disconnect(disconnect: Disconnect) -> ClientsHarness {
    let mut harness = ClientsHarness::new(8);
    let mut client = TestSocket::connect(harness.address());
    client.submit_request("gone");
    disconnect.disconnect(client);
    harness.accept();
    harness
}

/// Guards against a request that is begun and cancelled in one turn, since its client's end was
/// read with it: the client had gone before the node read a byte.
#[test]
fn a_request_read_with_its_clients_end_is_never_passed_on() {
    for disconnect in [
        Disconnect::Fin,
        Disconnect::Reset,
        Disconnect::FinBehind(64 << 10),
        Disconnect::ResetBehind(64 << 10),
    ] {
        let mut harness = accepted_after_disconnect(disconnect);
        // What did not fit into one read comes with the next ones; nothing of the queue has been
        // taken meanwhile.
        let start = Instant::now();
        while harness.clients.connection_count() > 0 {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{disconnect:?}: the client's end is not seen"
            );
            harness.poll();
        }
        let events = &harness.reactor.queue;
        assert!(events.is_empty(), "{disconnect:?}: {events:?}");
    }
}

/// Guards against an attempt that begins one turn before the client's end is seen: the client
/// closed before the node read a byte, and all that it sent, more than the node buffers, is there.
#[test]
fn a_clients_end_behind_a_full_buffer_is_seen_in_the_same_turn() {
    for disconnect in [
        Disconnect::Fin,
        Disconnect::FinBehind(200),
        Disconnect::FinBehind(40 << 10),
        Disconnect::ResetBehind(40 << 10),
    ] {
        let harness = accepted_after_disconnect(disconnect);
        assert!(
            harness.reactor.queue.is_empty(),
            "{disconnect:?}: a request that nobody waits for was passed on"
        );
    }
}

/// Guards against a hot restart that takes a client for one that waits, though its end was on the
/// way with its connection.
#[test]
fn an_adopted_connection_whose_client_has_disconnected_awaits_nothing() {
    for (disconnect, awaits_answer) in [
        (None, true),
        (Some(Disconnect::Fin), false),
        (Some(Disconnect::ResetBehind(64 << 10)), false),
    ] {
        let mut harness = ClientsHarness::new(8);
        let other_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = other_listener.local_addr().expect("an address");
        let mut client = Some(TestSocket::connect(address));
        let (stream, _) = other_listener.accept().expect("a connection");
        if let Some(disconnect) = disconnect {
            disconnect.disconnect(client.take().expect("a client"));
        }
        let released = ReleasedWaitingConnection {
            stream,
            input: Vec::new(),
            close_after_response: false,
        };
        let adopted = harness
            .clients
            .adopt_waiting_connection(&mut harness.reactor, released)
            .expect("it is adopted");
        let start = Instant::now();
        // What does not fit into the first read comes with the next ones.
        while harness.clients.awaits_answer(adopted) != awaits_answer {
            assert!(
                start.elapsed() < TEST_TIMEOUT && disconnect != Some(Disconnect::Fin),
                "{disconnect:?}"
            );
            harness.poll();
        }
    }
}

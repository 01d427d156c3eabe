//! No attempt, first or retry, begins for a client that has closed its connection. The tests use
//! real connections and force the unfavourable order of events: each continues only after the node
//! has shown that it has handled the events before.

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
    /// Closes the connection in good order.
    Fin,
    /// Resets the connection.
    Reset,
    /// Sends this number of bytes that are no request after its request, then closes the connection
    /// in good order.
    FinAfterBytes(usize),
    /// Sends this number of bytes that are no request after its request, then resets the
    /// connection.
    ResetAfterBytes(usize),
}

const ALL_DISCONNECTS: [Disconnect; 6] = [
    Disconnect::Fin,
    Disconnect::Reset,
    Disconnect::FinAfterBytes(200),
    // More than a node buffers, and more than it would discard of a connection that closes.
    Disconnect::FinAfterBytes(64 << 10),
    Disconnect::FinAfterBytes(1 << 20),
    Disconnect::ResetAfterBytes(64 << 10),
];

impl Disconnect {
    /// Sends the bytes that follow the request, then disconnects.
    fn disconnect(self, mut client: TestSocket) {
        let (Disconnect::FinAfterBytes(size) | Disconnect::ResetAfterBytes(size)) = self else {
            return self.close(client);
        };
        // The node may close the connection because of these bytes; the client is disconnected then
        // as well.
        let _ = client.stream.write_all(&vec![b'x'; size]);
        self.close(client);
    }

    fn close(self, client: TestSocket) {
        if matches!(self, Disconnect::Reset | Disconnect::ResetAfterBytes(_)) {
            socket2::SockRef::from(&client.stream)
                .set_linger(Some(Duration::ZERO))
                .expect("a setting");
        }
        drop(client);
    }
}

/// A connection from the node to a worker.
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

/// Accepts a connection to any worker if there is one. Sets the listeners to non-blocking mode.
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

/// Waits for the connection on which the next attempt arrives: this one or a new one.
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

/// Guards against a retry for a disconnected client: the client disconnects while its request runs,
/// and then the worker loses it. The cancellation shows that the node has seen the disconnect.
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
            "{disconnect:?}: cancelled not at the disconnect, but at the deadline, after 5 s"
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
        // Once another request has been forwarded, the node has handled the callback.
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

/// Guards against a disconnect that is noticed late: an attempt counts as made for a disconnected
/// client from 0.1 s after the disconnect. Nine in ten disconnects must be noticed in time, since
/// the machine may be busy.
#[test]
fn a_disconnect_is_noticed_within_a_tenth_of_a_second() {
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

/// Guards against a first attempt for a disconnected client: requests wait, since no worker is in
/// service, most of their clients disconnect in a burst, and then a worker is added. The requests
/// of the remaining clients are served.
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
    // Each of these requests is read after the bytes that the clients have sent before; reading
    // those takes several turns.
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
        assert!(
            id.starts_with("stays-"),
            "{id} is forwarded for a disconnected client"
        );
        // The connection is closed, so that the next request arrives on a new one.
        attempt.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(harness.report_done(&id, 0), 200);
    }
    for (_, mut client) in staying {
        assert_eq!(client.read_response().status, 200);
    }
    harness.stop();
}

/// Guards against an attempt that is sent although its client has disconnected while its connection
/// was being established: the connection is established after that, and nothing may be written to
/// it. The node doesn't see that it is established before the test polls.
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

/// Returns a harness that has accepted the connection of a client which had sent a request and
/// disconnected before.
fn accepted_after_disconnect(disconnect: Disconnect) -> ClientsHarness {
    let mut harness = ClientsHarness::new(8);
    let mut client = TestSocket::connect(harness.address());
    client.submit_request("gone");
    disconnect.disconnect(client);
    harness.accept();
    harness
}

/// Guards against a request that is begun and cancelled in one turn because the disconnect was read
/// together with it: the client had disconnected before the node read a byte.
#[test]
fn a_request_read_together_with_its_disconnect_is_never_passed_on() {
    for disconnect in [
        Disconnect::Fin,
        Disconnect::Reset,
        Disconnect::FinAfterBytes(64 << 10),
        Disconnect::ResetAfterBytes(64 << 10),
    ] {
        let mut harness = accepted_after_disconnect(disconnect);
        // Bytes that did not fit into one read arrive with the next ones. Nothing takes inputs from
        // the queue meanwhile.
        let start = Instant::now();
        while harness.clients.connection_count() > 0 {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "{disconnect:?}: the disconnect is not seen"
            );
            harness.poll();
        }
        let events = &harness.reactor.queue;
        assert!(events.is_empty(), "{disconnect:?}: {events:?}");
    }
}

/// Guards against an attempt that begins one turn before the disconnect is seen: the client
/// disconnected before the node read a byte, and all bytes that it sent, more than the node
/// buffers, have arrived.
#[test]
fn a_disconnect_behind_a_full_buffer_is_seen_in_the_same_turn() {
    for disconnect in [
        Disconnect::Fin,
        Disconnect::FinAfterBytes(200),
        Disconnect::FinAfterBytes(40 << 10),
        Disconnect::ResetAfterBytes(40 << 10),
    ] {
        let harness = accepted_after_disconnect(disconnect);
        assert!(
            harness.reactor.queue.is_empty(),
            "{disconnect:?}: a request of a disconnected client was passed on"
        );
    }
}

/// Guards against a handover after which a client counts as waiting although it had disconnected
/// before its connection was adopted.
#[test]
fn an_adopted_connection_whose_client_has_disconnected_awaits_nothing() {
    for (disconnect, awaits_answer) in [
        (None, true),
        (Some(Disconnect::Fin), false),
        (Some(Disconnect::ResetAfterBytes(64 << 10)), false),
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
        // Bytes that don't fit into the first read arrive with the next ones.
        while harness.clients.awaits_answer(adopted) != awaits_answer {
            assert!(
                start.elapsed() < TEST_TIMEOUT && disconnect != Some(Disconnect::Fin),
                "{disconnect:?}"
            );
            harness.poll();
        }
    }
}

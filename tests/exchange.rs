//! One request on a connection to a worker: whether it may have run follows from the bytes that
//! were written, in every order in which the events of one turn can occur.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{TestSocket, bind_listener};
use postproxy::decision::random::Random;
use postproxy::net::messages::{AttemptEnd, Input, Payload};
use postproxy::net::transport::connection::{Connection, State, Stream};
use postproxy::net::transport::reactor::Reactor;
use postproxy::net::upstream::exchange::{Exchange, ExchangeKind, OutgoingRequest};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const ATTEMPT: u64 = 1;
const NOT_RUN: &[u8] = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const ACCEPTED: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

fn payload(body: usize) -> Rc<Payload> {
    let id = "one".to_owned();
    let method = "POST".to_owned();
    let target = "/render".to_owned();
    Rc::new(Payload {
        id,
        method,
        target,
        idempotency_key: None,
        body: vec![b'x'; body],
    })
}

/// What an exchange has reported.
#[derive(Debug, Default, PartialEq)]
struct Reports {
    /// The request was reported as written, before any end.
    written: bool,
    ends: Vec<AttemptEnd>,
}

/// Returns what has been reported since the last call.
fn drain_reports(reactor: &mut Reactor) -> Reports {
    let mut reports = Reports::default();
    for input in reactor.queue.drain(..) {
        match input {
            Input::AttemptWritten { attempt: ATTEMPT } => {
                reports.written |= reports.ends.is_empty();
            }
            Input::ExchangeEnded {
                attempt: ATTEMPT,
                end,
                ..
            } => reports.ends.push(end),
            other => panic!("{other:?}"),
        }
    }
    reports
}

/// A real connection on which the test runs a hook right after each write.
struct InterruptedStream<F: FnMut()> {
    stream: TcpStream,
    /// The next write finds the send buffer full.
    send_buffer_full: bool,
    after_write: F,
}

impl<F: FnMut()> Read for InterruptedStream<F> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        self.stream.read(out)
    }
}

impl<F: FnMut()> Write for InterruptedStream<F> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.send_buffer_full) {
            return Err(ErrorKind::WouldBlock.into());
        }
        let size = self.stream.write(bytes)?;
        (self.after_write)();
        Ok(size)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<F: FnMut()> Stream for InterruptedStream<F> {
    fn shutdown_write(&mut self) {}

    fn connected(&mut self) -> io::Result<()> {
        self.stream.connected()
    }
}

/// Guards against reporting a request as never sent although its worker has read it completely: its
/// last byte is written and the reset is read in one turn.
#[test]
fn reset_in_the_turn_of_the_last_byte_counts_as_written() {
    let listener = bind_listener();
    let stream =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    stream.set_nonblocking(true).expect("a socket option");
    // A read would consume the reset, so a second handle is polled for its arrival.
    let poller = polling::Poller::new().expect("a poller");
    let watched = stream.try_clone().expect("a second handle");
    poller
        .add(&watched, polling::Event::readable(1))
        .expect("the handle is registered");
    let mut worker = Some(TestSocket::accept(&listener));
    let after_write = move || {
        let _ = &watched;
        // The worker has read the complete request and may have run it; then its process dies.
        let Some(mut peer) = worker.take() else {
            return;
        };
        assert_eq!(peer.read_request().headers.get("x-request-id"), Some("one"));
        socket2::SockRef::from(&peer.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket option");
        drop(peer);
        let mut events = Vec::new();
        let mut event_count = 0;
        while event_count == 0 {
            event_count = poller
                .wait(&mut events, Some(node_harness::TEST_TIMEOUT))
                .expect("the poller waits");
        }
    };
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let mut exchange = Exchange::new(listener.local_addr().expect("an address"));
    let mut connection = Connection::dialing(
        InterruptedStream {
            stream,
            send_buffer_full: true,
            after_write,
        },
        1 << 16,
    );
    exchange.start(
        ExchangeKind::Attempt(ATTEMPT),
        OutgoingRequest::Attempt {
            payload: payload(10),
            deadline: 1005.0,
        },
        &mut connection,
        &mut reactor,
    );
    exchange.handle_ready(true, false, &mut connection, &mut reactor);
    assert_eq!((connection.state(), connection.written()), (State::Open, 0));
    exchange.handle_ready(true, true, &mut connection, &mut reactor);
    assert_eq!(connection.state(), State::Ended);
    assert_eq!(
        drain_reports(&mut reactor),
        Reports {
            written: true,
            ends: vec![AttemptEnd::Reset]
        }
    );
}

/// Guards against a deadline field that states more time than the client has left, if the
/// connection took long to establish or was established after the client's deadline.
#[test]
fn deadline_field_holds_the_time_left_when_the_request_is_written() {
    for (dial_seconds, left) in [
        (0.0, Some(0.9)),
        (0.24, Some(0.66)),
        (0.85, Some(0.05)),
        (0.95, None),
    ] {
        let listener = bind_listener();
        let at = listener.local_addr().expect("an address");
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let mut exchange = Exchange::new(at);
        let stream = TcpStream::connect(at).expect("a connection");
        stream.set_nonblocking(true).expect("a socket option");
        let mut connection = Connection::dialing(stream, 1 << 16);
        let outgoing = OutgoingRequest::Attempt {
            payload: payload(10),
            deadline: 1000.9,
        };
        exchange.start(
            ExchangeKind::Attempt(ATTEMPT),
            outgoing,
            &mut connection,
            &mut reactor,
        );
        reactor.now = 1000.0 + dial_seconds;
        exchange.handle_ready(false, true, &mut connection, &mut reactor);
        let mut worker = TestSocket::accept(&listener);
        let Some(left) = left else {
            drop(connection);
            assert!(
                worker.is_closed(),
                "nothing was written for a client whose deadline has passed"
            );
            assert_eq!(
                drain_reports(&mut reactor),
                Reports {
                    written: false,
                    ends: vec![AttemptEnd::LocalCapacityExhausted]
                }
            );
            continue;
        };
        let request = worker.read_request();
        let deadline: f64 = request
            .headers
            .get("x-deadline")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!(
            (deadline - left).abs() < 0.002,
            "{deadline} after {dial_seconds} s"
        );
    }
}

/// The state of the connection in the property test: what the worker has sent, how much it
/// receives, and how the connection fails.
#[derive(Default)]
struct WireState {
    /// Bytes that the worker has sent and the node has not read.
    arrived: Vec<u8>,
    /// Number of bytes that the node may still write.
    writable_bytes: usize,
    written: usize,
    /// Whether the worker has closed its side.
    peer_closed: bool,
    /// Whether the connection has been reset.
    reset: bool,
    /// Whether the connection is refused.
    refused: bool,
}

struct ScriptedStream(Rc<RefCell<WireState>>);

impl Read for ScriptedStream {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.arrived.len().min(out.len());
        match size {
            0 if wire.reset => Err(ErrorKind::ConnectionReset.into()),
            0 if wire.peer_closed => Ok(0),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                out[..size].copy_from_slice(&wire.arrived[..size]);
                wire.arrived.drain(..size);
                Ok(size)
            }
        }
    }
}

impl Write for ScriptedStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.writable_bytes.min(bytes.len());
        match size {
            // The first read or write that can make no progress reports a reset; a write may still
            // succeed as long as `writable_bytes` is not 0.
            0 if wire.reset => Err(ErrorKind::BrokenPipe.into()),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                wire.writable_bytes -= size;
                wire.written += size;
                Ok(size)
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Stream for ScriptedStream {
    fn shutdown_write(&mut self) {}

    fn connected(&mut self) -> io::Result<()> {
        if self.0.borrow().refused {
            Err(ErrorKind::ConnectionRefused.into())
        } else {
            Ok(())
        }
    }
}

/// The result of one scenario.
struct ScenarioResult {
    /// The ends that have been reported.
    ends: Vec<AttemptEnd>,
    /// Whether the request was reported as written before any end.
    written_reported: bool,
    /// Whether the complete request was written.
    fully_written: bool,
    /// Whether the connection had carried another request.
    reused: bool,
    /// Whether a response was sent before the request had been written completely.
    answered_before_written: bool,
}

/// Performs random actions of the worker between two turns, sometimes several at once; returns
/// whether the worker responded.
fn act_as_worker(wire: &RefCell<WireState>, rng: &mut Random) -> bool {
    let mut answered = false;
    for _ in 0..=(2.0 * rng.uniform()) as usize {
        let mut wire = wire.borrow_mut();
        match (rng.uniform() * 9.0) as u32 {
            0..=3 => wire.writable_bytes += (200.0 * rng.uniform()) as usize,
            4 => {
                let answer = if rng.uniform() < 0.7 {
                    NOT_RUN
                } else {
                    ACCEPTED
                };
                wire.arrived.extend_from_slice(answer);
                answered = true;
            }
            5 if rng.uniform() < 0.3 => wire.peer_closed = true,
            6 if rng.uniform() < 0.3 => wire.reset = true,
            _ => {}
        }
    }
    answered
}

/// Carries one request on the connection before the scenario, so that it is reused.
fn carry_first_request(
    exchange: &mut Exchange,
    connection: &mut Connection<ScriptedStream>,
    wire: &RefCell<WireState>,
    reactor: &mut Reactor,
) {
    let first = OutgoingRequest::Attempt {
        payload: payload(0),
        deadline: 1009.0,
    };
    exchange.start(ExchangeKind::Attempt(7), first, connection, reactor);
    wire.borrow_mut().writable_bytes = 1 << 20;
    wire.borrow_mut().refused = false;
    exchange.handle_ready(false, true, connection, reactor);
    wire.borrow_mut().arrived.extend_from_slice(ACCEPTED);
    exchange.handle_ready(true, false, connection, reactor);
    assert_eq!(exchange.kind(), ExchangeKind::Idle);
    reactor.queue.clear();
}

/// Runs the random scenario of this seed.
fn run_scenario(seed: u64) -> ScenarioResult {
    let mut rng = Random::new(seed);
    let at: SocketAddr = ([127, 0, 0, 1], 9).into();
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let wire = Rc::new(RefCell::new(WireState {
        refused: seed.is_multiple_of(29),
        ..WireState::default()
    }));
    let mut exchange = Exchange::new(at);
    let mut connection = Connection::dialing(ScriptedStream(wire.clone()), 1 << 16);
    let reused = rng.uniform() < 0.5;
    if reused {
        carry_first_request(&mut exchange, &mut connection, &wire, &mut reactor);
    }
    let refused = wire.borrow().refused;
    *wire.borrow_mut() = WireState {
        refused,
        ..WireState::default()
    };
    let outgoing = OutgoingRequest::Attempt {
        payload: payload(200),
        deadline: 1000.0 + 2.0 * rng.uniform(),
    };
    exchange.start(
        ExchangeKind::Attempt(ATTEMPT),
        outgoing,
        &mut connection,
        &mut reactor,
    );
    let mut ends = Vec::new();
    let mut written_reported = false;
    let mut answered_before_written = false;
    let mut size = 0;
    for _ in 0..40 {
        let answered = act_as_worker(&wire, &mut rng);
        let before = exchange.is_request_written(&connection);
        answered_before_written |= answered && !before && ends.is_empty();
        reactor.now += 0.05 * rng.uniform();
        let readable = rng.uniform() < 0.7;
        let writable = rng.uniform() < 0.7;
        match (rng.uniform() * 24.0) as u32 {
            0 => exchange.handle_timeout(&mut connection, &mut reactor),
            1 if exchange.kind() == ExchangeKind::Attempt(ATTEMPT) => {
                exchange.withdraw(&mut connection, &mut reactor);
            }
            _ => exchange.handle_ready(readable, writable, &mut connection, &mut reactor),
        }
        size = size.max(connection.queued());
        let reports = drain_reports(&mut reactor);
        written_reported |= reports.written;
        ends.extend(reports.ends);
        if !ends.is_empty() && connection.state() == State::Ended {
            break;
        }
    }
    let fully_written = size > 0 && exchange.is_request_written(&connection);
    ScenarioResult {
        ends,
        written_reported,
        fully_written,
        reused,
        answered_before_written,
    }
}

/// Checks the rules for all ends, over random orders of events: a request ends at most once; an end
/// proves that nothing ran only if the worker doesn't have the complete request or the response
/// certainly belongs to it; the report that the request was written precedes its end.
#[test]
fn end_proves_not_run_only_if_the_written_bytes_do() {
    let mut seen = std::collections::BTreeMap::<String, u32>::new();
    for seed in 0..20_000 {
        let ScenarioResult {
            ends,
            written_reported,
            fully_written,
            reused,
            answered_before_written,
        } = run_scenario(seed);
        assert!(ends.len() <= 1, "seed {seed}: {ends:?}");
        let Some(end) = ends.first() else { continue };
        *seen
            .entry(format!("{end:?}, complete: {fully_written}"))
            .or_default() += 1;
        match end {
            AttemptEnd::NeverSent | AttemptEnd::LocalCapacityExhausted => {
                assert!(!fully_written, "seed {seed}: {end:?}")
            }
            AttemptEnd::RejectedUnstarted if fully_written => {
                assert!(!reused && !answered_before_written, "seed {seed}")
            }
            AttemptEnd::Reset | AttemptEnd::Accepted | AttemptEnd::RejectedAmbiguous => {
                assert!(fully_written && written_reported, "seed {seed}: {end:?}");
            }
            AttemptEnd::RejectedUnstarted | AttemptEnd::Error => {}
        }
        assert_eq!(written_reported, fully_written, "seed {seed}: {end:?}");
    }
    for end in [
        "Reset, complete: true",
        "NeverSent, complete: false",
        "LocalCapacityExhausted, complete: false",
        "RejectedUnstarted, complete: true",
    ] {
        assert!(
            seen.get(end).is_some_and(|count| *count > 50),
            "{end} was hardly seen: {seen:?}"
        );
    }
    assert!(
        seen.contains_key("RejectedAmbiguous, complete: true")
            && seen.contains_key("Accepted, complete: true"),
        "{seen:?}"
    );
}

//! One request on a connection to a worker: whether it may have run is read from the bytes that were written, in every order in which
//! the events of one turn can come.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{TestSocket, bind_listener};
use postproxy::decision::random::Random;
use postproxy::net::messages::{AttemptEnd, Input, Payload};
use postproxy::net::transport::connection::{Connection, State, Stream};
use postproxy::net::transport::reactor::Reactor;
use postproxy::net::upstream::exchange::{Carries, Exchange, Outgoing};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const ATTEMPT: u64 = 1;
const NOT_RUN: &[u8] = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
const ACCEPTED: &[u8] = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

fn payload(body: usize) -> Rc<Payload> {
    let (id, method, target) = ("one".to_owned(), "POST".to_owned(), "/render".to_owned());
    Rc::new(Payload {
        id,
        method,
        target,
        idempotency_key: None,
        body: vec![b'x'; body],
    })
}

/// The ends that the hub is told of, and whether it was told before that the request is written whole.
fn told(reactor: &mut Reactor) -> (bool, Vec<AttemptEnd>) {
    let (mut written, mut ends) = (false, Vec::new());
    for input in reactor.queue.drain(..) {
        match input {
            Input::AttemptWritten { attempt: ATTEMPT } => written |= ends.is_empty(),
            Input::ExchangeEnded {
                attempt: ATTEMPT,
                end,
                ..
            } => ends.push(end),
            other => panic!("{other:?}"),
        }
    }
    (written, ends)
}

/// A real connection on which the test does something right after a write, before the next call.
struct Interrupted<F: FnMut()> {
    stream: TcpStream,
    /// The first write finds no room.
    full: bool,
    after_write: F,
}

impl<F: FnMut()> Read for Interrupted<F> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        self.stream.read(out)
    }
}

impl<F: FnMut()> Write for Interrupted<F> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if std::mem::take(&mut self.full) {
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

impl<F: FnMut()> Stream for Interrupted<F> {
    fn finish(&mut self) {}

    fn connected(&mut self) -> io::Result<()> {
        self.stream.connected()
    }
}

/// Guards against a request that its worker has read whole and that is told as never sent: its last byte is written and its reset read in
/// one turn, in which nothing else comes.
#[test]
fn a_reset_in_the_turn_of_the_last_byte_proves_nothing() {
    let listener = bind_listener();
    let stream =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    stream.set_nonblocking(true).expect("a setting");
    // A read would take the reset away: that it has come is seen from outside.
    let poller = polling::Poller::new().expect("a poller");
    let watched = stream.try_clone().expect("a second handle");
    poller
        .add(&watched, polling::Event::readable(1))
        .expect("it is watched");
    let mut worker = Some(TestSocket::accept(&listener));
    let after_write = move || {
        let _ = &watched;
        // The worker has read the whole request, and its process dies: it has perhaps run it.
        let Some(mut peer) = worker.take() else {
            return;
        };
        assert_eq!(peer.read_request().headers.get("x-request-id"), Some("one"));
        socket2::SockRef::from(&peer.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a setting");
        drop(peer);
        let (mut events, mut come) = (Vec::new(), 0);
        while come == 0 {
            come = poller
                .wait(&mut events, Some(node_harness::TEST_TIMEOUT))
                .expect("it is waited");
        }
    };
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let mut exchange = Exchange::new(listener.local_addr().expect("an address"));
    let mut connection = Connection::dialing(
        Interrupted {
            stream,
            full: true,
            after_write,
        },
        1 << 16,
    );
    exchange.begin(
        Carries::Attempt(ATTEMPT),
        Outgoing::Attempt(payload(10), 1005.0),
        &mut connection,
        &mut reactor,
    );
    exchange.ready(true, false, &mut connection, &mut reactor);
    assert_eq!((connection.state(), connection.written()), (State::Open, 0));
    exchange.ready(true, true, &mut connection, &mut reactor);
    assert_eq!(connection.state(), State::Ended);
    assert_eq!(told(&mut reactor), (true, vec![AttemptEnd::Reset]));
}

/// Guards against a worker that is told more than its client has left: the connection took long to make, or came up when the client's
/// time was over.
#[test]
fn a_worker_is_told_what_is_left_when_the_request_is_written() {
    for (takes, left) in [
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
        stream.set_nonblocking(true).expect("a setting");
        let mut connection = Connection::dialing(stream, 1 << 16);
        let outgoing = Outgoing::Attempt(payload(10), 1000.9);
        exchange.begin(
            Carries::Attempt(ATTEMPT),
            outgoing,
            &mut connection,
            &mut reactor,
        );
        reactor.now = 1000.0 + takes;
        exchange.ready(false, true, &mut connection, &mut reactor);
        let mut worker = TestSocket::accept(&listener);
        let Some(left) = left else {
            drop(connection);
            assert!(
                worker.is_closed(),
                "nothing was written for a client whose time is over"
            );
            assert_eq!(told(&mut reactor), (false, vec![AttemptEnd::NoRoom]));
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
            "{deadline} after {takes} s"
        );
    }
}

/// The wire of the property test: what the worker's side has sent, how much it takes, and how it is.
#[derive(Default)]
struct Wire {
    arrived: Vec<u8>,
    room: usize,
    wrote: usize,
    over: bool,
    broken: bool,
    refused: bool,
}

struct Scripted(Rc<RefCell<Wire>>);

impl Read for Scripted {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.arrived.len().min(out.len());
        match size {
            0 if wire.broken => Err(ErrorKind::ConnectionReset.into()),
            0 if wire.over => Ok(0),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                out[..size].copy_from_slice(&wire.arrived[..size]);
                wire.arrived.drain(..size);
                Ok(size)
            }
        }
    }
}

impl Write for Scripted {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.room.min(bytes.len());
        match size {
            // A reset is first seen by whichever call comes first; a write that has room may still succeed.
            0 if wire.broken => Err(ErrorKind::BrokenPipe.into()),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                wire.room -= size;
                wire.wrote += size;
                Ok(size)
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Stream for Scripted {
    fn finish(&mut self) {}

    fn connected(&mut self) -> io::Result<()> {
        if self.0.borrow().refused {
            Err(ErrorKind::ConnectionRefused.into())
        } else {
            Ok(())
        }
    }
}

/// What is known of one play: the end told, whether the worker's side had the whole request, and whether an answer came that it
/// can have given to it.
struct Play {
    ends: Vec<AttemptEnd>,
    told_written: bool,
    whole: bool,
    used: bool,
    answered_early: bool,
}

fn play(seed: u64) -> Play {
    let mut rng = Random::new(seed);
    let at: SocketAddr = ([127, 0, 0, 1], 9).into();
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let wire = Rc::new(RefCell::new(Wire {
        refused: seed.is_multiple_of(29),
        ..Wire::default()
    }));
    let mut exchange = Exchange::new(at);
    let mut connection = Connection::dialing(Scripted(wire.clone()), 1 << 16);
    let used = rng.uniform() < 0.5;
    if used {
        let cancel = Outgoing::Attempt(payload(0), 1009.0);
        exchange.begin(Carries::Attempt(7), cancel, &mut connection, &mut reactor);
        wire.borrow_mut().room = 1 << 20;
        wire.borrow_mut().refused = false;
        exchange.ready(false, true, &mut connection, &mut reactor);
        wire.borrow_mut().arrived.extend_from_slice(ACCEPTED);
        exchange.ready(true, false, &mut connection, &mut reactor);
        assert_eq!(exchange.carries(), Carries::Nothing);
        reactor.queue.clear();
    }
    let refused = wire.borrow().refused;
    *wire.borrow_mut() = Wire {
        refused,
        ..Wire::default()
    };
    let outgoing = Outgoing::Attempt(payload(200), 1000.0 + 2.0 * rng.uniform());
    exchange.begin(
        Carries::Attempt(ATTEMPT),
        outgoing,
        &mut connection,
        &mut reactor,
    );
    let (mut ends, mut told_written, mut answered_early, mut size) = (Vec::new(), false, false, 0);
    for _ in 0..40 {
        // What the worker's side does between two turns, several things at once at times.
        let mut answers = false;
        for _ in 0..=(2.0 * rng.uniform()) as usize {
            let mut wire = wire.borrow_mut();
            match (rng.uniform() * 9.0) as u32 {
                0..=3 => wire.room += (200.0 * rng.uniform()) as usize,
                4 => {
                    let answer = if rng.uniform() < 0.7 {
                        NOT_RUN
                    } else {
                        ACCEPTED
                    };
                    wire.arrived.extend_from_slice(answer);
                    answers = true;
                }
                5 if rng.uniform() < 0.3 => wire.over = true,
                6 if rng.uniform() < 0.3 => wire.broken = true,
                _ => {}
            }
        }
        let before = exchange.is_whole(&connection);
        answered_early |= answers && !before && ends.is_empty();
        reactor.now += 0.05 * rng.uniform();
        let (readable, writable) = (rng.uniform() < 0.7, rng.uniform() < 0.7);
        match (rng.uniform() * 24.0) as u32 {
            0 => exchange.time_out(&mut connection, &mut reactor),
            1 if exchange.carries() == Carries::Attempt(ATTEMPT) => {
                exchange.withdraw(&mut connection, &mut reactor);
            }
            _ => exchange.ready(readable, writable, &mut connection, &mut reactor),
        }
        size = size.max(connection.queued());
        let (written, more) = told(&mut reactor);
        told_written |= written;
        ends.extend(more);
        if !ends.is_empty() && connection.state() == State::Ended {
            break;
        }
    }
    let whole = size > 0 && exchange.is_whole(&connection);
    Play {
        ends,
        told_written,
        whole,
        used,
        answered_early,
    }
}

/// The table of all ends, over all orders: one end a request; one that proves that nothing ran only where the worker's side has not the
/// whole request, or where the answer is certainly its own; and that it was written is told before the end.
#[test]
fn an_end_proves_that_nothing_ran_only_where_the_bytes_do() {
    let mut seen = std::collections::BTreeMap::<String, u32>::new();
    for seed in 0..20_000 {
        let Play {
            ends,
            told_written,
            whole,
            used,
            answered_early,
        } = play(seed);
        assert!(ends.len() <= 1, "seed {seed}: {ends:?}");
        let Some(end) = ends.first() else { continue };
        *seen.entry(format!("{end:?}, whole {whole}")).or_default() += 1;
        match end {
            AttemptEnd::NeverSent | AttemptEnd::NoRoom => assert!(!whole, "seed {seed}: {end:?}"),
            AttemptEnd::NotRun if whole => assert!(!used && !answered_early, "seed {seed}"),
            AttemptEnd::Reset | AttemptEnd::Accepted | AttemptEnd::TurnedAway => {
                assert!(whole && told_written, "seed {seed}: {end:?}");
            }
            AttemptEnd::NotRun | AttemptEnd::Error => {}
        }
        assert_eq!(told_written, whole, "seed {seed}: {end:?}");
    }
    for end in [
        "Reset, whole true",
        "NeverSent, whole false",
        "NoRoom, whole false",
        "NotRun, whole true",
    ] {
        assert!(
            seen.get(end).is_some_and(|count| *count > 50),
            "{end} hardly came: {seen:?}"
        );
    }
    assert!(
        seen.contains_key("TurnedAway, whole true") && seen.contains_key("Accepted, whole true"),
        "{seen:?}"
    );
}

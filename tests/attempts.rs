//! One attempt's life on connections to workers: the bad orders, made each time on real connections, in a time that is told.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{ACCEPTED, TEST_TIMEOUT, TestSocket, bind_listener};
use postproxy::net::messages::{AttemptEnd, AttemptId, Input, Payload};
use postproxy::net::transport::reactor::{Reactor, Timer};
use postproxy::net::upstream::attempts::Attempts;
use std::io::Write as _;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Instant;

const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

struct World {
    reactor: Reactor,
    attempts: Attempts,
    worker: TcpListener,
}

impl World {
    fn new() -> Self {
        Self::with(8, 60.0)
    }

    /// With so many connections at most, to workers that close what has been idle for so long.
    fn with(most: usize, idle: f64) -> Self {
        let reactor = Reactor::new(1000.0).expect("a reactor");
        Self {
            reactor,
            attempts: Attempts::new(most, 0.25, idle),
            worker: bind_listener(),
        }
    }

    /// Starts attempts at one time, each of which a worker takes on a connection of its own; these are idle then.
    fn taken(&mut self, attempts: &[AttemptId]) -> Vec<TestSocket> {
        attempts.iter().for_each(|attempt| self.start(*attempt));
        let mut peers: Vec<TestSocket> = attempts
            .iter()
            .map(|_| TestSocket::accept(&self.worker))
            .collect();
        for peer in &mut peers {
            self.reaches(peer);
            peer.read_request();
            peer.write(ACCEPTED);
            assert_eq!(self.end().1, AttemptEnd::Accepted);
        }
        peers
    }

    /// Starts an attempt at this time; whether it goes out on a connection of its own.
    fn dials(&mut self, at: f64, attempt: AttemptId) -> bool {
        self.reactor.now = at;
        self.worker.set_nonblocking(true).expect("a setting");
        self.start(attempt);
        let came = self.worker.accept().is_ok();
        self.worker.set_nonblocking(false).expect("a setting");
        came
    }

    fn start(&mut self, attempt: AttemptId) {
        let at = self.worker.local_addr().expect("an address");
        let (id, method, target) = (
            format!("job-{attempt}"),
            "POST".to_owned(),
            "/render".to_owned(),
        );
        let payload = Payload {
            id,
            method,
            target,
            ..Payload::default()
        };
        let until = self.reactor.now + 5.0;
        self.attempts
            .start_attempt(&mut self.reactor, attempt, at, &Rc::new(payload), until);
    }

    /// Lets sockets be read until this is found.
    fn until<T>(&mut self, mut found: impl FnMut(&mut Self) -> Option<T>) -> T {
        let (start, mut events) = (Instant::now(), Vec::new());
        loop {
            if let Some(found) = found(self) {
                return found;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "it never came");
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in &events {
                self.attempts.handle_ready(
                    &mut self.reactor,
                    event.key,
                    event.readable,
                    event.writable,
                );
            }
        }
    }

    /// Lets sockets be read and written until something has come to this peer: a request is written once its connection is known
    /// to be made.
    fn reaches(&mut self, peer: &TestSocket) {
        peer.stream.set_nonblocking(true).expect("a setting");
        self.until(|_| {
            peer.stream
                .peek(&mut [0])
                .is_ok_and(|size| size > 0)
                .then_some(())
        });
        peer.stream.set_nonblocking(false).expect("a setting");
    }

    /// The key of the first connection of which the system has something to tell.
    fn key(&mut self) -> usize {
        let mut events = Vec::new();
        while events.is_empty() {
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
        }
        events[0].key
    }

    /// The first end of an attempt that the hub is told of.
    fn end(&mut self) -> (AttemptId, AttemptEnd) {
        self.until(|world| {
            std::iter::from_fn(|| world.reactor.queue.pop_front()).find_map(|input| match input {
                Input::ExchangeEnded { attempt, end, .. } => Some((attempt, end)),
                _ => None,
            })
        })
    }
}

/// Guards against a worker's second answer, some milliseconds after its first, that is taken for the next attempt's: a second 'not
/// run' would have a job that runs sent elsewhere, too.
#[test]
fn a_second_answer_is_not_the_next_attempts() {
    let mut world = World::new();
    world.start(1);
    let mut first = TestSocket::accept(&world.worker);
    world.reaches(&first);
    assert_eq!(
        first.read_request().headers.get("x-request-id"),
        Some("job-1")
    );
    first.write(NOT_RUN);
    assert_eq!(world.end(), (1, AttemptEnd::NotRun));
    world.reactor.now = 1000.01;
    world.start(2);
    // It comes when the next attempt has been written, wherever that is; nobody may be there to read it.
    let mut second = TestSocket::accept(&world.worker);
    world.reaches(&second);
    let _ = first.stream.write_all(NOT_RUN.as_bytes());
    second.write(ACCEPTED);
    assert_eq!(world.end(), (2, AttemptEnd::Accepted));
    assert_eq!(world.attempts.connection_count(), 1);
    assert!(first.is_closed(), "one request came there, and no other");
}

/// Guards against the same of a cancel: its second answer would end the next attempt, which runs, in an error.
#[test]
fn a_cancels_second_answer_is_not_the_next_attempts() {
    let mut world = World::new();
    let mut peer = world.taken(&[1]).remove(0);
    let at = world.worker.local_addr().expect("an address");
    world
        .attempts
        .cancel_attempt(&mut world.reactor, 1, at, "job-1", true);
    world.reaches(&peer);
    assert_eq!(peer.read_request().method, "DELETE");
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    world.until(|world| (world.attempts.connection_count() == 0).then_some(()));
    assert!(
        peer.is_closed(),
        "nothing follows on the cancel's connection, however late"
    );
    assert!(world.dials(1060.0, 2));
}

/// Guards against a second answer that comes later than any rest: a connection on which a worker has answered anything but that it takes
/// the job carries nothing more. One on which it was taken is used again at once.
#[test]
fn a_connection_carries_more_only_behind_a_job_that_was_taken() {
    let turned_away = [
        NOT_RUN,
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    ];
    for answer in turned_away {
        let mut world = World::new();
        world.start(1);
        let mut peer = TestSocket::accept(&world.worker);
        world.reaches(&peer);
        peer.read_request();
        peer.write(answer);
        world.end();
        world.until(|world| (world.attempts.connection_count() == 0).then_some(()));
        assert!(peer.is_closed(), "{answer}");
        assert!(world.dials(1060.0, 2), "{answer}");
    }
    let mut world = World::new();
    let mut peer = world.taken(&[1]).remove(0);
    for attempt in [2, 3] {
        world.start(attempt);
        world.reaches(&peer);
        peer.read_request();
        peer.write(ACCEPTED);
        assert_eq!(world.end(), (attempt, AttemptEnd::Accepted));
    }
    assert_eq!(world.attempts.connection_count(), 1);
}

/// Guards against a worker's second answer behind a 202, however late: 'not run' on a connection that has carried another request may be
/// that one's, and so proves nothing. On a connection of its own it does.
#[test]
fn not_run_on_a_used_connection_proves_nothing() {
    let mut world = World::new();
    let mut peer = world.taken(&[1]).remove(0);
    world.reactor.now = 1010.0;
    world.start(2);
    world.reaches(&peer);
    peer.write(NOT_RUN);
    assert_eq!(world.end(), (2, AttemptEnd::TurnedAway));
    assert!(
        peer.read_request().headers.get("x-request-id") == Some("job-2"),
        "it was read, and may run"
    );
    let mut world = World::new();
    world.start(1);
    let mut peer = TestSocket::accept(&world.worker);
    world.reaches(&peer);
    peer.read_request();
    peer.write(NOT_RUN);
    assert_eq!(world.end(), (1, AttemptEnd::NotRun));
}

/// Guards against an answer that is there before the worker can have read the request, and is taken for its own: it proves nothing, also
/// on a new connection.
#[test]
fn an_answer_that_came_before_the_request_proves_nothing() {
    let mut world = World::new();
    world.start(1);
    let mut peer = TestSocket::accept(&world.worker);
    peer.write(NOT_RUN);
    // Both flags in one event: the request is written, and the answer read, in one turn.
    let key = world.key();
    world
        .attempts
        .handle_ready(&mut world.reactor, key, true, true);
    assert_eq!(world.end(), (1, AttemptEnd::TurnedAway));
    assert_eq!(
        peer.read_request().headers.get("x-request-id"),
        Some("job-1")
    );
}

/// Guards against an answer of a worker that can't be read and is taken for one, or is read for ever: the attempt ends once, as one
/// that may have run, and its connection ends whatever is still on its way.
#[test]
fn an_answer_that_can_not_be_read_ends_its_attempt_and_its_connection() {
    let spoilt = [
        ("no HTTP", "what is this\r\n\r\n", ""),
        ("bytes that are no text", "\u{1}\u{2}\u{3}\r\n\r\n", ""),
        (
            "no status",
            "HTTP/1.1 many Accepted\r\nContent-Length: 0\r\n\r\n",
            "",
        ),
        (
            "a length below 0",
            "HTTP/1.1 202 Accepted\r\nContent-Length: -1\r\n\r\n",
            "",
        ),
        (
            "two lengths",
            "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n",
            "",
        ),
        (
            "'not run' of no length",
            "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: all\r\n\r\n",
            "",
        ),
        (
            "chunks of no size",
            "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nlong\r\n",
            "",
        ),
        (
            "a head without end",
            "HTTP/1.1 202 Accepted\r\n",
            "X-More: of the same\r\n",
        ),
        (
            "a line without end",
            "HTTP/1.1 202 Accepted\r\nX-Line: ",
            "of the same ",
        ),
        (
            "a body without end",
            "HTTP/1.1 202 Accepted\r\nContent-Length: 99999999999\r\n\r\n",
            "of the same ",
        ),
        (
            "chunks without end",
            "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n",
            "4\r\nmore\r\n",
        ),
        (
            "answers ahead without end",
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 102 Processing\r\n\r\n",
        ),
    ];
    for (what, begins, goes_on) in spoilt {
        let mut world = World::new();
        world.start(1);
        let mut peer = TestSocket::accept(&world.worker);
        let worker = std::thread::spawn(move || {
            peer.read_request();
            // More than any answer may hold; what the node does not take in ends its connection.
            let more = if goes_on.is_empty() {
                "x".repeat(1 << 20)
            } else {
                goes_on.repeat((16 << 20) / goes_on.len())
            };
            let sent = peer
                .stream
                .write_all(begins.as_bytes())
                .and_then(|()| peer.stream.write_all(more.as_bytes()));
            sent.is_err() || peer.is_closed()
        });
        let (attempt, end) = world.end();
        assert_eq!(attempt, 1, "{what}");
        assert!(
            matches!(end, AttemptEnd::Error | AttemptEnd::Reset),
            "{what}: {end:?}"
        );
        world.until(|world| (world.attempts.connection_count() == 0).then_some(()));
        assert!(
            worker.join().expect("the worker's part"),
            "{what}: its connection goes on"
        );
        let again = world
            .reactor
            .queue
            .iter()
            .any(|input| matches!(input, Input::ExchangeEnded { .. }));
        assert!(!again, "{what}: a second end");
    }
}

/// Guards against a second attempt of what a worker may have run, or none of what it can't have: a pooled connection breaks under a
/// request that is written whole, in part, or not at all, whether the worker resets it or ends it.
#[test]
fn a_request_that_was_not_written_whole_has_never_run() {
    for (resets, whole) in [(true, true), (false, true), (true, false), (false, false)] {
        let mut world = World::new();
        // What is not read stays with the node: a worker takes little at a time, and a body is larger than all buffers between.
        socket2::SockRef::from(&world.worker)
            .set_recv_buffer_size(1 << 10)
            .expect("a setting");
        let peer = world.taken(&[1]).remove(0);
        world.reactor.now = 1000.1;
        let at = world.worker.local_addr().expect("an address");
        let body = vec![b'x'; if whole { 10 } else { 16 << 20 }];
        let payload = Payload {
            id: "two".into(),
            method: "POST".into(),
            target: "/render".into(),
            body,
            ..Payload::default()
        };
        world
            .attempts
            .start_attempt(&mut world.reactor, 2, at, &Rc::new(payload), 1005.1);
        world.reaches(&peer);
        let written = world
            .reactor
            .queue
            .iter()
            .any(|input| matches!(input, Input::AttemptWritten { attempt: 2 }));
        assert_eq!(written, whole);
        if resets {
            socket2::SockRef::from(&peer.stream)
                .set_linger(Some(std::time::Duration::ZERO))
                .expect("a setting");
        }
        drop(peer);
        let expected = if whole {
            AttemptEnd::Reset
        } else {
            AttemptEnd::NeverSent
        };
        assert_eq!(
            world.end(),
            (2, expected),
            "reset: {resets}, whole: {whole}"
        );
        assert_eq!(world.attempts.connection_count(), 0);
    }
}

/// Guards against a load report that is misread, or in which a broken figure becomes a 0.
#[test]
fn a_load_report_is_read_by_name() {
    let mut world = World::new();
    world.start(1);
    let mut peer = TestSocket::accept(&world.worker);
    peer.write("HTTP/1.1 202 Accepted\r\nX-Load: TEXT inflight=7, queue=2, util=0.61, x0=what\r\nContent-Length: 0\r\n\r\n");
    let load = world.until(|world| {
        std::iter::from_fn(|| world.reactor.queue.pop_front()).find_map(|input| match input {
            Input::ExchangeEnded {
                attempt: 1,
                end: AttemptEnd::Accepted,
                load,
            } => Some(load),
            _ => None,
        })
    });
    let names: Vec<_> = load
        .iter()
        .map(|(name, value)| (name.as_str(), *value))
        .collect();
    assert_eq!(names, [("inflight", 7.0), ("queue", 2.0), ("util", 0.61)]);
}

/// Guards against writing one request after the other to idle connections that break at once: the first one that does tells how long
/// others may have lain idle, for a while.
#[test]
fn a_connection_that_broke_when_used_again_tells_of_the_others() {
    let mut world = World::new();
    let mut peers = world.taken(&[1, 2]);
    assert!(!world.dials(1000.8, 3), "an idle one is used again");
    drop(peers.pop()); // the one that was used last; its request is unread, so that it is reset
    assert_eq!(world.end(), (3, AttemptEnd::Reset));
    assert!(
        world.dials(1000.8, 4),
        "0.8 s are too long now: a new connection"
    );
    assert_eq!(
        world.attempts.connection_count(),
        1,
        "and the other idle one is gone"
    );
    // Half of that is learned, and it doubles every 5 s, up to what would count without it: 48 s.
    for (after, may, may_not) in [(0.0, 0.39, 0.5), (5.0, 0.79, 1.0), (100.0, 47.0, 48.5)] {
        for (rests, dials) in [(may, false), (may_not, true)] {
            let mut world = World::new();
            let mut peers = world.taken(&[1, 2]);
            assert!(!world.dials(1000.8, 3));
            drop(peers.pop());
            assert_eq!(world.end(), (3, AttemptEnd::Reset));
            world.reactor.now = 1000.8 + after;
            let _peers = world.taken(&[5]);
            assert_eq!(
                world.dials(1000.8 + after + rests, 6),
                dials,
                "{after} s later, after {rests} s"
            );
        }
    }
}

/// Guards against a shortage of this node's being told as a worker's fault.
#[test]
fn without_a_place_for_a_connection_the_worker_is_not_to_blame() {
    let mut world = World::with(0, 5.0);
    world.start(7);
    assert!(matches!(
        world.reactor.queue.pop_front(),
        Some(Input::ExchangeEnded {
            attempt: 7,
            end: AttemptEnd::NoRoom,
            ..
        })
    ));
}

/// Guards against writing to the idle connections of a worker that has left something without an answer: if it has vanished, a new
/// connection is not made and so proves that nothing ran.
#[test]
fn the_idle_connections_of_a_silent_worker_are_not_used() {
    let mut world = World::new();
    let mut peers = world.taken(&[1, 2]);
    assert!(
        !world.dials(1001.0, 3) && !world.dials(1001.0, 4),
        "a worker that answers keeps its connections"
    );
    assert_eq!(world.attempts.connection_count(), 2);
    peers[0].write(ACCEPTED);
    world.end();
    assert!(world.dials(1001.3, 5), "a new connection");
    assert_eq!(world.attempts.connection_count(), 2, "the idle one is gone");
}

/// Guards against keeping a connection until its worker may be closing it.
#[test]
fn idle_connections_are_given_up_well_before_their_workers_do() {
    // Not told: not for long.
    for (idle, most) in [(0.5, 0.45), (5.0, 4.5), (60.0, 54.0), (0.0, 1.0)] {
        let mut world = World::with(8, idle);
        let _peers = world.taken(&[1]);
        assert!(world.dials(1000.001 + most, 2), "{idle} s");
    }
}

/// What the hub is told of the probe 1 on a connection on which a worker answers this, and its report.
fn probed(
    world: &mut World,
    answer: Option<&str>,
) -> (AttemptEnd, Vec<(String, f64)>, Option<TestSocket>) {
    let at = world.worker.local_addr().expect("an address");
    world.attempts.start_probe(&mut world.reactor, 1, at, 0.4);
    let mut peer = TestSocket::accept(&world.worker);
    world.reaches(&peer);
    let request = peer.read_request();
    assert_eq!(
        (request.method.as_str(), request.target.as_str()),
        ("GET", "/-/load")
    );
    let peer = answer.map(|answer| {
        peer.write(answer);
        peer
    });
    let (end, load) = world.until(|world| {
        std::iter::from_fn(|| world.reactor.queue.pop_front()).find_map(|input| match input {
            Input::ExchangeEnded {
                attempt: 1,
                end,
                load,
            } => Some((end, load)),
            Input::AttemptWritten { .. } => panic!("a probe is no attempt that has begun"),
            _ => None,
        })
    });
    (end, load, peer)
}

/// Guards against a probe whose report is lost or misread, against one that breaks, is spoilt, or is turned away and counts as a
/// report, and against a handshake for each.
#[test]
fn a_probe_brings_the_load_or_what_became_of_it() {
    let text = |status: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let mut world = World::new();
    let (end, load, _peer) = probed(
        &mut world,
        Some(&text("200 OK", "TEXT x0=3, inflight=2, queue=what\n")),
    );
    let names: Vec<_> = load
        .iter()
        .map(|(name, value)| (name.as_str(), *value))
        .collect();
    assert_eq!(
        (end, names),
        (AttemptEnd::Accepted, vec![("x0", 3.0), ("inflight", 2.0)])
    );
    assert!(
        !world.dials(1000.0, 2),
        "the connection is used again at once"
    );
    for (answer, end) in [
        (Some(text("503 Busy", "TEXT x0=3")), AttemptEnd::Error),
        (Some(text("404 Not Found", "")), AttemptEnd::Error),
        (Some("no HTTP\r\n\r\n".into()), AttemptEnd::Reset),
        (None, AttemptEnd::Reset),
    ] {
        let told = probed(&mut World::new(), answer.as_deref());
        assert_eq!(told.0, end, "{answer:?}");
    }
}

/// Guards against a worker that takes what it is sent and answers nothing: that shows when the probe's time is over, its late answer
/// changes nothing, and a worker that can't be reached is told as such.
#[test]
fn a_probe_that_is_not_answered_in_time_is_over() {
    let mut world = World::new();
    let at = world.worker.local_addr().expect("an address");
    world.attempts.start_probe(&mut world.reactor, 1, at, 0.4);
    let mut peer = TestSocket::accept(&world.worker);
    world.reaches(&peer);
    for (now, ended) in [(1000.39, false), (1000.42, true)] {
        world.reactor.now = now;
        for due in world.reactor.expired_timers() {
            if let Timer::Attempt(key, round) = due {
                world
                    .attempts
                    .handle_attempt_timer(&mut world.reactor, key, round);
            }
        }
        assert_eq!(world.attempts.connection_count() == 0, ended, "at {now}");
    }
    assert_eq!(world.end(), (1, AttemptEnd::Reset));
    // Whatever it still says, nobody reads it.
    let _ = peer
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT x0=3");
    drop(std::mem::replace(&mut world.worker, bind_listener()));
    world.attempts.start_probe(&mut world.reactor, 2, at, 0.4);
    assert_eq!(world.end(), (2, AttemptEnd::NeverSent));
    assert!(world.reactor.queue.is_empty());
    let mut world = World::with(0, 5.0);
    world.attempts.start_probe(&mut world.reactor, 3, at, 0.4);
    assert!(matches!(
        world.reactor.queue.pop_front(),
        Some(Input::ExchangeEnded {
            attempt: 3,
            end: AttemptEnd::NoRoom,
            ..
        })
    ));
}

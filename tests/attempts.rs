//! Attempts at workers over real connections, with simulated time and unfavourable orders of events
//! on a connection.

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

/// The attempts under test, and a listener that acts as a worker.
struct AttemptsHarness {
    reactor: Reactor,
    attempts: Attempts,
    worker: TcpListener,
}

impl AttemptsHarness {
    fn new() -> Self {
        Self::with_limits(8, 60.0)
    }

    /// Creates a harness with this limit on connections, and workers that close a connection after
    /// it has been idle for `idle_timeout` seconds.
    fn with_limits(max_connections: usize, idle_timeout: f64) -> Self {
        let reactor = Reactor::new(1000.0).expect("a reactor");
        Self {
            reactor,
            attempts: Attempts::new(max_connections, 0.25, idle_timeout),
            worker: bind_listener(),
        }
    }

    /// Starts these attempts at the same time and has the worker accept each on a connection of its
    /// own; the connections are idle afterwards.
    fn run_accepted_attempts(&mut self, attempts: &[AttemptId]) -> Vec<TestSocket> {
        attempts.iter().for_each(|attempt| self.start(*attempt));
        let mut peers: Vec<TestSocket> = attempts
            .iter()
            .map(|_| TestSocket::accept(&self.worker))
            .collect();
        for peer in &mut peers {
            self.run_until_received(peer);
            peer.read_request();
            peer.write(ACCEPTED);
            assert_eq!(self.next_end().1, AttemptEnd::Accepted);
        }
        peers
    }

    /// Starts an attempt at this time; returns whether it opens a connection.
    fn opens_connection(&mut self, at: f64, attempt: AttemptId) -> bool {
        self.reactor.now = at;
        self.worker.set_nonblocking(true).expect("a socket option");
        self.start(attempt);
        let opened = self.worker.accept().is_ok();
        self.worker.set_nonblocking(false).expect("a socket option");
        opened
    }

    fn start(&mut self, attempt: AttemptId) {
        let at = self.worker.local_addr().expect("an address");
        let payload = Payload {
            id: format!("job-{attempt}"),
            method: "POST".to_owned(),
            target: "/render".to_owned(),
            ..Payload::default()
        };
        let deadline = self.reactor.now + 5.0;
        self.attempts
            .start_attempt(&mut self.reactor, attempt, at, &Rc::new(payload), deadline);
    }

    /// Serves ready connections until `find` returns something.
    fn run_until<T>(&mut self, mut find: impl FnMut(&mut Self) -> Option<T>) -> T {
        let start = Instant::now();
        let mut events = Vec::new();
        loop {
            if let Some(found) = find(self) {
                return found;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "nothing was found in time");
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

    /// Serves ready connections until the peer has received something: a request is not written
    /// before its connection is known to be established.
    fn run_until_received(&mut self, peer: &TestSocket) {
        peer.stream.set_nonblocking(true).expect("a socket option");
        self.run_until(|_| {
            peer.stream
                .peek(&mut [0])
                .is_ok_and(|size| size > 0)
                .then_some(())
        });
        peer.stream.set_nonblocking(false).expect("a socket option");
    }

    /// Returns the key of the first connection that becomes ready.
    fn first_ready_key(&mut self) -> usize {
        let mut events = Vec::new();
        while events.is_empty() {
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
        }
        events[0].key
    }

    /// Returns the next end of an attempt that is reported.
    fn next_end(&mut self) -> (AttemptId, AttemptEnd) {
        self.run_until(|harness| {
            std::iter::from_fn(|| harness.reactor.queue.pop_front()).find_map(|input| match input {
                Input::ExchangeEnded { attempt, end, .. } => Some((attempt, end)),
                _ => None,
            })
        })
    }
}

/// Guards against taking a second response of a worker, some milliseconds after its first, for the
/// response to the next attempt: because of a second 'not run', a running request would be retried
/// on another worker.
#[test]
fn second_response_is_not_taken_for_the_next_attempt() {
    let mut harness = AttemptsHarness::new();
    harness.start(1);
    let mut first = TestSocket::accept(&harness.worker);
    harness.run_until_received(&first);
    assert_eq!(
        first.read_request().headers.get("x-request-id"),
        Some("job-1")
    );
    first.write(NOT_RUN);
    assert_eq!(harness.next_end(), (1, AttemptEnd::RejectedUnstarted));
    harness.reactor.now = 1000.01;
    harness.start(2);
    // The second response arrives after the next attempt has been written, on whichever connection;
    // it may never be read.
    let mut second = TestSocket::accept(&harness.worker);
    harness.run_until_received(&second);
    let _ = first.stream.write_all(NOT_RUN.as_bytes());
    second.write(ACCEPTED);
    assert_eq!(harness.next_end(), (2, AttemptEnd::Accepted));
    assert_eq!(harness.attempts.connection_count(), 1);
    assert!(
        first.is_closed(),
        "that connection carried one request only"
    );
}

/// Guards against the same after a cancel: a second response to the cancel would end the next
/// attempt in an error although it runs.
#[test]
fn second_response_to_a_cancel_is_not_taken_for_the_next_attempt() {
    let mut harness = AttemptsHarness::new();
    let mut peer = harness.run_accepted_attempts(&[1]).remove(0);
    let at = harness.worker.local_addr().expect("an address");
    harness
        .attempts
        .cancel_attempt(&mut harness.reactor, 1, at, "job-1", true);
    harness.run_until_received(&peer);
    assert_eq!(peer.read_request().method, "DELETE");
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    harness.run_until(|harness| (harness.attempts.connection_count() == 0).then_some(()));
    assert!(
        peer.is_closed(),
        "the connection of the cancel carries nothing more, however late"
    );
    assert!(harness.opens_connection(1060.0, 2));
}

/// Guards against a second response that arrives later than any limit on idle time: a connection on
/// which a worker has responded with anything but 202 is not reused. After an accepted attempt, the
/// connection is reused at once.
#[test]
fn connection_is_reused_only_after_an_accepted_attempt() {
    let rejections = [
        NOT_RUN,
        "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    ];
    for answer in rejections {
        let mut harness = AttemptsHarness::new();
        harness.start(1);
        let mut peer = TestSocket::accept(&harness.worker);
        harness.run_until_received(&peer);
        peer.read_request();
        peer.write(answer);
        harness.next_end();
        harness.run_until(|harness| (harness.attempts.connection_count() == 0).then_some(()));
        assert!(peer.is_closed(), "{answer}");
        assert!(harness.opens_connection(1060.0, 2), "{answer}");
    }
    let mut harness = AttemptsHarness::new();
    let mut peer = harness.run_accepted_attempts(&[1]).remove(0);
    for attempt in [2, 3] {
        harness.start(attempt);
        harness.run_until_received(&peer);
        peer.read_request();
        peer.write(ACCEPTED);
        assert_eq!(harness.next_end(), (attempt, AttemptEnd::Accepted));
    }
    assert_eq!(harness.attempts.connection_count(), 1);
}

/// Guards against a late second response after a 202: 'not run' on a connection that has carried
/// another request may be a response to that request, and so proves nothing. On a new connection it
/// proves that the attempt has not run.
#[test]
fn not_run_on_a_reused_connection_proves_nothing() {
    let mut harness = AttemptsHarness::new();
    let mut peer = harness.run_accepted_attempts(&[1]).remove(0);
    harness.reactor.now = 1010.0;
    harness.start(2);
    harness.run_until_received(&peer);
    peer.write(NOT_RUN);
    assert_eq!(harness.next_end(), (2, AttemptEnd::RejectedAmbiguous));
    assert!(
        peer.read_request().headers.get("x-request-id") == Some("job-2"),
        "the worker has read it, and may run it"
    );
    let mut harness = AttemptsHarness::new();
    harness.start(1);
    let mut peer = TestSocket::accept(&harness.worker);
    harness.run_until_received(&peer);
    peer.read_request();
    peer.write(NOT_RUN);
    assert_eq!(harness.next_end(), (1, AttemptEnd::RejectedUnstarted));
}

/// Guards against a response that arrived before the worker can have read the request and is still
/// accepted as proof: it proves nothing, not even on a new connection.
#[test]
fn response_received_before_the_request_was_written_proves_nothing() {
    let mut harness = AttemptsHarness::new();
    harness.start(1);
    let mut peer = TestSocket::accept(&harness.worker);
    peer.write(NOT_RUN);
    // Readable and writable in one event: the request is written and the response read in one turn.
    let key = harness.first_ready_key();
    harness
        .attempts
        .handle_ready(&mut harness.reactor, key, true, true);
    assert_eq!(harness.next_end(), (1, AttemptEnd::RejectedAmbiguous));
    assert_eq!(
        peer.read_request().headers.get("x-request-id"),
        Some("job-1")
    );
}

/// A response that can't be parsed, or that never ends.
struct MalformedResponse {
    name: &'static str,
    beginning: &'static str,
    /// Repeated endlessly after the beginning; if it is empty, other bytes follow.
    continuation: &'static str,
}

const MALFORMED_RESPONSES: [MalformedResponse; 12] = [
    MalformedResponse {
        name: "no HTTP",
        beginning: "what is this\r\n\r\n",
        continuation: "",
    },
    MalformedResponse {
        name: "bytes that are not text",
        beginning: "\u{1}\u{2}\u{3}\r\n\r\n",
        continuation: "",
    },
    MalformedResponse {
        name: "no status",
        beginning: "HTTP/1.1 many Accepted\r\nContent-Length: 0\r\n\r\n",
        continuation: "",
    },
    MalformedResponse {
        name: "a negative length",
        beginning: "HTTP/1.1 202 Accepted\r\nContent-Length: -1\r\n\r\n",
        continuation: "",
    },
    MalformedResponse {
        name: "two lengths",
        beginning: "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n",
        continuation: "",
    },
    MalformedResponse {
        name: "'not run' with an invalid length",
        beginning: "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: all\r\n\r\n",
        continuation: "",
    },
    MalformedResponse {
        name: "a chunk without a size",
        beginning: "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nlong\r\n",
        continuation: "",
    },
    MalformedResponse {
        name: "a head without end",
        beginning: "HTTP/1.1 202 Accepted\r\n",
        continuation: "X-More: of the same\r\n",
    },
    MalformedResponse {
        name: "a line without end",
        beginning: "HTTP/1.1 202 Accepted\r\nX-Line: ",
        continuation: "of the same ",
    },
    MalformedResponse {
        name: "a body without end",
        beginning: "HTTP/1.1 202 Accepted\r\nContent-Length: 99999999999\r\n\r\n",
        continuation: "of the same ",
    },
    MalformedResponse {
        name: "chunks without end",
        beginning: "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n",
        continuation: "4\r\nmore\r\n",
    },
    MalformedResponse {
        name: "interim responses without end",
        beginning: "HTTP/1.1 100 Continue\r\n\r\n",
        continuation: "HTTP/1.1 102 Processing\r\n\r\n",
    },
];

/// Guards against accepting a malformed response or reading it forever: the attempt ends once, as
/// one that may have run, and its connection is closed regardless of further bytes.
#[test]
fn malformed_response_ends_the_attempt_and_closes_the_connection() {
    for MalformedResponse {
        name,
        beginning,
        continuation,
    } in MALFORMED_RESPONSES
    {
        let mut harness = AttemptsHarness::new();
        harness.start(1);
        let mut peer = TestSocket::accept(&harness.worker);
        let worker = std::thread::spawn(move || {
            peer.read_request();
            // This is more than any response may contain; the connection ends when the node stops
            // reading.
            let more = if continuation.is_empty() {
                "x".repeat(1 << 20)
            } else {
                continuation.repeat((16 << 20) / continuation.len())
            };
            let sent = peer
                .stream
                .write_all(beginning.as_bytes())
                .and_then(|()| peer.stream.write_all(more.as_bytes()));
            sent.is_err() || peer.is_closed()
        });
        let (attempt, end) = harness.next_end();
        assert_eq!(attempt, 1, "{name}");
        assert!(
            matches!(end, AttemptEnd::Error | AttemptEnd::Reset),
            "{name}: {end:?}"
        );
        harness.run_until(|harness| (harness.attempts.connection_count() == 0).then_some(()));
        assert!(
            worker.join().expect("the worker's thread"),
            "{name}: its connection stays open"
        );
        let again = harness
            .reactor
            .queue
            .iter()
            .any(|input| matches!(input, Input::ExchangeEnded { .. }));
        assert!(!again, "{name}: a second end");
    }
}

/// Guards against retrying a request that a worker may have run, and against not retrying one that
/// it can't have run: the worker resets or closes a pooled connection to which the request has been
/// written completely or in part.
#[test]
fn partly_written_request_is_reported_as_never_sent() {
    for (resets, fully_written) in [(true, true), (false, true), (true, false), (false, false)] {
        let mut harness = AttemptsHarness::new();
        // The worker's receive buffer is small and the large body exceeds all buffers in between,
        // so that it is not written completely.
        socket2::SockRef::from(&harness.worker)
            .set_recv_buffer_size(1 << 10)
            .expect("a socket option");
        let peer = harness.run_accepted_attempts(&[1]).remove(0);
        harness.reactor.now = 1000.1;
        let at = harness.worker.local_addr().expect("an address");
        let body = vec![b'x'; if fully_written { 10 } else { 16 << 20 }];
        let payload = Payload {
            id: "two".into(),
            method: "POST".into(),
            target: "/render".into(),
            body,
            ..Payload::default()
        };
        harness
            .attempts
            .start_attempt(&mut harness.reactor, 2, at, &Rc::new(payload), 1005.1);
        harness.run_until_received(&peer);
        let written = harness
            .reactor
            .queue
            .iter()
            .any(|input| matches!(input, Input::AttemptWritten { attempt: 2 }));
        assert_eq!(written, fully_written);
        if resets {
            socket2::SockRef::from(&peer.stream)
                .set_linger(Some(std::time::Duration::ZERO))
                .expect("a socket option");
        }
        drop(peer);
        let expected = if fully_written {
            AttemptEnd::Reset
        } else {
            AttemptEnd::NeverSent
        };
        assert_eq!(
            harness.next_end(),
            (2, expected),
            "reset: {resets}, fully written: {fully_written}"
        );
        assert_eq!(harness.attempts.connection_count(), 0);
    }
}

/// Guards against misreading a load report, and against taking an invalid value for 0.
#[test]
fn load_report_is_parsed_by_name() {
    let mut harness = AttemptsHarness::new();
    harness.start(1);
    let mut peer = TestSocket::accept(&harness.worker);
    peer.write("HTTP/1.1 202 Accepted\r\nX-Load: TEXT inflight=7, queue=2, util=0.61, x0=what\r\nContent-Length: 0\r\n\r\n");
    let load = harness.run_until(|harness| {
        std::iter::from_fn(|| harness.reactor.queue.pop_front()).find_map(|input| match input {
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

/// Guards against losing one request after another to idle connections that break when they are
/// reused: the first one that breaks limits, for a while, how long others may have been idle.
#[test]
fn broken_reused_connection_limits_the_idle_time_of_others() {
    let mut harness = AttemptsHarness::new();
    let mut peers = harness.run_accepted_attempts(&[1, 2]);
    assert!(
        !harness.opens_connection(1000.8, 3),
        "an idle one is reused"
    );
    drop(peers.pop()); // the one used last; its request is unread, so that the connection is reset
    assert_eq!(harness.next_end(), (3, AttemptEnd::Reset));
    assert!(
        harness.opens_connection(1000.8, 4),
        "after 0.8 s of idle time a new connection is opened now"
    );
    assert_eq!(
        harness.attempts.connection_count(),
        1,
        "and the other idle one is closed"
    );
    // The learned limit is half of that and doubles every 5 s, up to the regular 48 s.
    for (after, reusable, too_long) in [(0.0, 0.39, 0.5), (5.0, 0.79, 1.0), (100.0, 47.0, 48.5)] {
        for (idle, opens_connection) in [(reusable, false), (too_long, true)] {
            let mut harness = AttemptsHarness::new();
            let mut peers = harness.run_accepted_attempts(&[1, 2]);
            assert!(!harness.opens_connection(1000.8, 3));
            drop(peers.pop());
            assert_eq!(harness.next_end(), (3, AttemptEnd::Reset));
            harness.reactor.now = 1000.8 + after;
            let _peers = harness.run_accepted_attempts(&[5]);
            assert_eq!(
                harness.opens_connection(1000.8 + after + idle, 6),
                opens_connection,
                "{after} s later, after {idle} s"
            );
        }
    }
}

/// Guards against counting a lack of resources on this node as a failure of the worker.
#[test]
fn connection_limit_does_not_count_against_the_worker() {
    let mut harness = AttemptsHarness::with_limits(0, 5.0);
    harness.start(7);
    assert!(matches!(
        harness.reactor.queue.pop_front(),
        Some(Input::ExchangeEnded {
            attempt: 7,
            end: AttemptEnd::LocalCapacityExhausted,
            ..
        })
    ));
}

/// Guards against writing to the idle connections of a worker that has left a request unanswered:
/// if the worker has become unreachable, a new connection can't be established, which proves that
/// nothing ran.
#[test]
fn idle_connections_to_an_unresponsive_worker_are_not_reused() {
    let mut harness = AttemptsHarness::new();
    let mut peers = harness.run_accepted_attempts(&[1, 2]);
    assert!(
        !harness.opens_connection(1001.0, 3) && !harness.opens_connection(1001.0, 4),
        "the connections of a worker that answers are reused"
    );
    assert_eq!(harness.attempts.connection_count(), 2);
    peers[0].write(ACCEPTED);
    harness.next_end();
    assert!(harness.opens_connection(1001.3, 5), "a new connection");
    assert_eq!(
        harness.attempts.connection_count(),
        2,
        "the idle one is closed"
    );
}

/// Guards against reusing an idle connection that its worker may be closing.
#[test]
fn idle_connections_are_closed_before_the_workers_timeout() {
    // A timeout of 0 is unknown: connections are kept for 1 s.
    for (idle, max_idle) in [(0.5, 0.45), (5.0, 4.5), (60.0, 54.0), (0.0, 1.0)] {
        let mut harness = AttemptsHarness::with_limits(8, idle);
        let _peers = harness.run_accepted_attempts(&[1]);
        assert!(harness.opens_connection(1000.001 + max_idle, 2), "{idle} s");
    }
}

/// Starts probe 1, has the worker send this answer or close the connection, and returns the end,
/// the load report and the worker's side of the connection.
fn probe_result(
    harness: &mut AttemptsHarness,
    answer: Option<&str>,
) -> (AttemptEnd, Vec<(String, f64)>, Option<TestSocket>) {
    let at = harness.worker.local_addr().expect("an address");
    harness
        .attempts
        .start_probe(&mut harness.reactor, 1, at, 0.4);
    let mut peer = TestSocket::accept(&harness.worker);
    harness.run_until_received(&peer);
    let request = peer.read_request();
    assert_eq!(
        (request.method.as_str(), request.target.as_str()),
        ("GET", "/-/load")
    );
    let peer = answer.map(|answer| {
        peer.write(answer);
        peer
    });
    let (end, load) = harness.run_until(|harness| {
        std::iter::from_fn(|| harness.reactor.queue.pop_front()).find_map(|input| match input {
            Input::ExchangeEnded {
                attempt: 1,
                end,
                load,
            } => Some((end, load)),
            Input::AttemptWritten { .. } => panic!("a probe is reported as a written attempt"),
            _ => None,
        })
    });
    (end, load, peer)
}

/// Guards against losing or misreading the report of a probe, against counting a failed, malformed
/// or rejected probe as a report, and against opening a new connection for each request.
#[test]
fn probe_reports_the_load_or_the_failure() {
    let text = |status: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let mut harness = AttemptsHarness::new();
    let (end, load, _peer) = probe_result(
        &mut harness,
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
        !harness.opens_connection(1000.0, 2),
        "the connection is reused at once"
    );
    for (answer, end) in [
        (Some(text("503 Busy", "TEXT x0=3")), AttemptEnd::Error),
        (Some(text("404 Not Found", "")), AttemptEnd::Error),
        (Some("no HTTP\r\n\r\n".into()), AttemptEnd::Reset),
        (None, AttemptEnd::Reset),
    ] {
        let (reported, ..) = probe_result(&mut AttemptsHarness::new(), answer.as_deref());
        assert_eq!(reported, end, "{answer:?}");
    }
}

/// Guards against not detecting a worker that receives requests and never responds: the probe times
/// out, its late response changes nothing, and a worker that can't be reached is reported as such.
#[test]
fn probe_without_a_response_times_out() {
    let mut harness = AttemptsHarness::new();
    let at = harness.worker.local_addr().expect("an address");
    harness
        .attempts
        .start_probe(&mut harness.reactor, 1, at, 0.4);
    let mut peer = TestSocket::accept(&harness.worker);
    harness.run_until_received(&peer);
    for (now, ended) in [(1000.39, false), (1000.42, true)] {
        harness.reactor.now = now;
        for due in harness.reactor.expired_timers() {
            if let Timer::Attempt { key, round } = due {
                harness
                    .attempts
                    .handle_attempt_timer(&mut harness.reactor, key, round);
            }
        }
        assert_eq!(harness.attempts.connection_count() == 0, ended, "at {now}");
    }
    assert_eq!(harness.next_end(), (1, AttemptEnd::Reset));
    // Its late response is not read.
    let _ = peer
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nTEXT x0=3");
    drop(std::mem::replace(&mut harness.worker, bind_listener()));
    harness
        .attempts
        .start_probe(&mut harness.reactor, 2, at, 0.4);
    assert_eq!(harness.next_end(), (2, AttemptEnd::NeverSent));
    assert!(harness.reactor.queue.is_empty());
    let mut harness = AttemptsHarness::with_limits(0, 5.0);
    harness
        .attempts
        .start_probe(&mut harness.reactor, 3, at, 0.4);
    assert!(matches!(
        harness.reactor.queue.pop_front(),
        Some(Input::ExchangeEnded {
            attempt: 3,
            end: AttemptEnd::LocalCapacityExhausted,
            ..
        })
    ));
}

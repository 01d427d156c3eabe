//! One attempt's life on connections to workers: the bad orders, made each time on real connections, in a time that is told.

mod bed;

use bed::{ACCEPTED, Peer, port};
use postproxy::net::back::proxy_pass::ProxyPasses;
use postproxy::net::ground::reactor::Reactor;
use postproxy::net::words::{Input, PassEnd, PassId, Payload};
use std::io::Write as _;
use std::net::TcpListener;

const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

struct World {
    reactor: Reactor,
    passes: ProxyPasses,
    worker: TcpListener,
}

impl World {
    fn new() -> Self {
        let reactor = Reactor::new(1000.0).expect("a reactor");
        Self { reactor, passes: ProxyPasses::new(8, 0.25, 60.0), worker: port() }
    }

    fn start(&mut self, pass: PassId) {
        let at = self.worker.local_addr().expect("an address");
        let (id, method, target) = (format!("job-{pass}"), "POST".to_owned(), "/render".to_owned());
        let payload = Payload { id, method, target, ..Payload::default() };
        self.passes.start(&mut self.reactor, pass, at, &payload, 5.0);
    }

    /// Lets sockets be read until this is found.
    fn until<T>(&mut self, found: impl Fn(&mut Self) -> Option<T>) -> T {
        let mut events = Vec::new();
        loop {
            if let Some(found) = found(self) {
                return found;
            }
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in &events {
                self.passes.ready(&mut self.reactor, event.key, event.readable, event.writable);
            }
        }
    }

    /// The first end of a pass that the hub is told of.
    fn end(&mut self) -> (PassId, PassEnd) {
        self.until(|world| {
            std::iter::from_fn(|| world.reactor.queue.pop_front()).find_map(|input| match input {
                Input::Pass(pass, end, _) => Some((pass, end)),
                _ => None,
            })
        })
    }
}

/// Guards against a worker's second answer, some milliseconds after its first, that is taken for the next pass's: a second 'not
/// run' would have a job that runs sent elsewhere, too.
#[test]
fn a_second_answer_is_not_the_next_passs() {
    let mut world = World::new();
    world.start(1);
    let mut first = Peer::accept(&world.worker);
    first.write(NOT_RUN);
    assert_eq!(world.end(), (1, PassEnd::NotRun));
    world.reactor.now = 1000.01;
    world.start(2);
    // It comes when the next pass has been written, wherever that is.
    first.write(NOT_RUN);
    let mut second = Peer::accept(&world.worker);
    world.until(|world| (world.passes.count() == 1).then_some(()));
    second.write(ACCEPTED);
    assert_eq!(world.end(), (2, PassEnd::Accepted));
    assert!(first.request().body.is_empty() && first.ended(), "one request came there, and no other");
}

/// Guards against a handshake for each pass to a worker that turns some away: a connection that has rested is used again; and
/// one on which a job was taken, at once.
#[test]
fn a_connection_that_has_rested_is_used_again() {
    let mut world = World::new();
    world.start(1);
    let mut peer = Peer::accept(&world.worker);
    peer.write(NOT_RUN);
    assert_eq!(world.end(), (1, PassEnd::NotRun));
    world.reactor.now = 1000.06;
    for pass in [2, 3] {
        world.start(pass);
        peer.write(ACCEPTED);
        assert_eq!(world.end(), (pass, PassEnd::Accepted));
    }
    assert_eq!(world.passes.count(), 1);
}

/// Guards against an answer of a worker that can't be read and is taken for one, or is read for ever: the attempt ends once, as one
/// that may have run, and its connection ends whatever is still on its way.
#[test]
fn an_answer_that_can_not_be_read_ends_its_attempt_and_its_connection() {
    let spoilt = [
        ("no HTTP", "what is this\r\n\r\n", ""),
        ("bytes that are no text", "\u{1}\u{2}\u{3}\r\n\r\n", ""),
        ("no status", "HTTP/1.1 many Accepted\r\nContent-Length: 0\r\n\r\n", ""),
        ("a length below 0", "HTTP/1.1 202 Accepted\r\nContent-Length: -1\r\n\r\n", ""),
        ("two lengths", "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nContent-Length: 7\r\n\r\n", ""),
        ("'not run' of no length", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: all\r\n\r\n", ""),
        ("chunks of no size", "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\nlong\r\n", ""),
        ("a head without end", "HTTP/1.1 202 Accepted\r\n", "X-More: of the same\r\n"),
        ("a line without end", "HTTP/1.1 202 Accepted\r\nX-Line: ", "of the same "),
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
        ("answers ahead without end", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"),
    ];
    for (what, begins, goes_on) in spoilt {
        let mut world = World::new();
        world.start(1);
        let mut peer = Peer::accept(&world.worker);
        let worker = std::thread::spawn(move || {
            peer.request();
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
            sent.is_err() || peer.ended()
        });
        let (pass, end) = world.end();
        assert_eq!(pass, 1, "{what}");
        assert!(matches!(end, PassEnd::Error | PassEnd::Reset), "{what}: {end:?}");
        world.until(|world| (world.passes.count() == 0).then_some(()));
        assert!(worker.join().expect("the worker's part"), "{what}: its connection goes on");
        let again = world.reactor.queue.iter().any(|input| matches!(input, Input::Pass(..)));
        assert!(!again, "{what}: a second end");
    }
}

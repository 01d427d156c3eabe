//! One attempt's life on connections to workers: the bad orders, made each time on real connections, in a time that is told.

mod bed;

use bed::{ACCEPTED, Peer, port};
use postproxy::net::back::proxy_pass::ProxyPasses;
use postproxy::net::ground::reactor::Reactor;
use postproxy::net::words::{Input, PassEnd, PassId, Payload};
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

    /// Lets sockets be read until the hub is told of the end of a pass.
    fn end(&mut self) -> (PassId, PassEnd) {
        let mut events = Vec::new();
        loop {
            while let Some(input) = self.reactor.queue.pop_front() {
                if let Input::Pass(pass, end, _) = input {
                    return (pass, end);
                }
            }
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in &events {
                self.passes.ready(&mut self.reactor, event.key, event.readable, event.writable);
            }
        }
    }

    /// Lets sockets be read until there are so many connections.
    fn until(&mut self, count: usize) {
        let mut events = Vec::new();
        while self.passes.count() != count {
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in &events {
                self.passes.ready(&mut self.reactor, event.key, event.readable, event.writable);
            }
        }
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
    world.until(1);
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

//! The worker list and the calls to discovery, over real connections to a stand-in for discovery
//! and with simulated time.

use postproxy::decision::interface::{Health, ListKind, Settings};
use postproxy::net::messages::Input;
use postproxy::net::transport::reactor::{Reactor, SocketOwner, Timer, owner};
use postproxy::net::upstream::worker_list::{DiscoveryList, WorkerList, WorkerListSnapshot};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Longest time that a test waits for a socket.
const SOCKET_TIMEOUT: Duration = Duration::from_secs(20);
/// A worker in service, as discovery describes it.
const MEMBER: &str = r#"{"id":"a","host_port":"10.0.0.1:80","phase":"in_service"}"#;

/// The list under test, and a listener that acts as discovery.
struct WorkerListHarness {
    reactor: Reactor,
    list: WorkerList,
    listener: TcpListener,
}

/// A call as discovery sees it.
struct Call {
    peer: TcpStream,
    target: String,
}

impl Call {
    /// Reads the next call on the same connection.
    fn read_next(&mut self) {
        let mut text = String::new();
        let mut byte = [0];
        while !text.ends_with("\r\n\r\n") {
            assert_eq!(
                self.peer.read(&mut byte).expect("a call"),
                1,
                "the connection ended: {text}"
            );
            text.push(byte[0] as char);
        }
        self.target = text.split_whitespace().nth(1).expect("a target").to_owned();
    }

    fn answer(&mut self, revision: u64, complete: bool, members: &str) {
        let body =
            format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
        write!(
            self.peer,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("it is written");
    }

    /// How long discovery is to wait for changes, in milliseconds; `None` for a call for the full
    /// list.
    fn wait_ms(&self) -> Option<u64> {
        self.target.split("timeout_ms=").nth(1)?.parse().ok()
    }

    /// Whether the node has closed the connection.
    fn is_closed(&mut self) -> bool {
        !matches!(self.peer.read(&mut [0; 9]), Ok(1..))
    }
}

impl WorkerListHarness {
    fn new(known: Option<u64>, seed: u64) -> Self {
        Self::with_discovery_mode(known, seed, "on_request")
    }

    fn with_discovery_mode(known: Option<u64>, seed: u64, mode: &str) -> Self {
        let reactor = Reactor::new(1000.0).expect("a reactor");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let settings =
            Settings::from_json(&format!(r#"{{"discovery": "{mode}"}}"#)).expect("sound settings");
        let list = WorkerList::new(
            listener.local_addr().expect("an address"),
            settings,
            known,
            seed,
        );
        let mut harness = Self {
            reactor,
            list,
            listener,
        };
        harness.list.start(&mut harness.reactor);
        harness
    }

    /// Serves ready connections until `done`.
    fn run_until(&mut self, mut done: impl FnMut(&mut Self) -> bool) {
        let start = Instant::now();
        let mut events = Vec::new();
        while !done(self) {
            assert!(start.elapsed() < SOCKET_TIMEOUT, "nothing happened in time");
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in &events {
                assert_eq!(owner(event.key), SocketOwner::Discovery);
                self.list.handle_ready(
                    &mut self.reactor,
                    event.key,
                    event.readable,
                    event.writable,
                );
            }
        }
    }

    /// Advances the time, and handles the timers that expire.
    fn advance_to(&mut self, now: f64) {
        while self.reactor.now < now {
            self.reactor.now = (self.reactor.now + 0.002).min(now);
            for due in self.reactor.expired_timers() {
                match due {
                    Timer::Discovery => self.list.handle_timer(&mut self.reactor),
                    Timer::DiscoveryConnect { call } => {
                        self.list.handle_dial_timer(&mut self.reactor, call)
                    }
                    _ => {}
                }
            }
        }
    }

    /// Returns the next call that opens a connection and the time at which it was made, if there is
    /// one until `by`.
    fn next_call(&mut self, by: f64) -> Option<(f64, Call)> {
        self.listener
            .set_nonblocking(true)
            .expect("a socket option");
        while self.reactor.now <= by {
            if let Ok((peer, _)) = self.listener.accept() {
                peer.set_nonblocking(false).expect("a socket option");
                peer.set_read_timeout(Some(SOCKET_TIMEOUT))
                    .expect("a time limit");
                let at = self.reactor.now;
                let mut call = Call {
                    peer,
                    target: String::new(),
                };
                // The request is not written before the connection is known to be established.
                let mut peek = [0];
                call.peer.set_nonblocking(true).expect("a socket option");
                self.run_until(|_| call.peer.peek(&mut peek).is_ok_and(|size| size == 1));
                call.peer.set_nonblocking(false).expect("a socket option");
                call.read_next();
                return Some((at, call));
            }
            self.advance_to(self.reactor.now + 0.01);
        }
        None
    }

    /// Waits for the next list that is reported, and returns its kind.
    fn next_list_kind(&mut self) -> ListKind {
        self.run_until(|harness| !harness.reactor.queue.is_empty());
        match self.reactor.queue.pop_front() {
            Some(Input::WorkerListReceived { kind, .. }) => kind,
            _ => panic!("no list"),
        }
    }
}

/// Guards against a node without a list that delays its first call, gives up if discovery is not
/// running yet, or goes on requesting the full list after it has one.
#[test]
fn node_without_a_list_calls_until_it_has_one() {
    let mut harness = WorkerListHarness::new(None, 7);
    let at = harness.listener.local_addr().expect("an address");
    let (_, first) = harness.next_call(1000.0).expect("a call at once");
    assert_eq!(first.target, "/api/targets");
    // Nothing listens there from now on.
    harness.listener = TcpListener::bind("127.0.0.1:0").expect("another port");
    drop(first);
    let mut waits = Vec::new();
    let mut last = 1000.0;
    for _ in 0..4 {
        // A refused connection is reported by the poller.
        let before = harness.list.call_count();
        let start = Instant::now();
        while harness.list.call_count() == before {
            assert!(start.elapsed() < SOCKET_TIMEOUT);
            let mut events = Vec::new();
            harness
                .reactor
                .wait(&mut events, f64::MAX)
                .expect("a poller");
            events.iter().for_each(|e| {
                harness
                    .list
                    .handle_ready(&mut harness.reactor, e.key, e.readable, e.writable)
            });
            let now = harness.reactor.now;
            if events.is_empty() && harness.list.open_call_count() == 0 {
                harness.advance_to(now + 0.002);
            }
        }
        waits.push(harness.reactor.now - last);
        last = harness.reactor.now;
    }
    assert!((0.1..0.11).contains(&waits[0]), "{waits:?}");
    assert!(
        waits[1] < 0.21 && waits[2] < 0.41 && waits[3] < 0.81,
        "{waits:?}"
    );
    assert!(harness.reactor.queue.is_empty(), "no list is reported");
    harness.run_until(|harness| harness.list.open_call_count() == 0);
    harness.listener = TcpListener::bind(at).expect("the port again");
    let (_, mut call) = harness
        .next_call(harness.reactor.now + 2.0)
        .expect("another call");
    call.answer(1, true, MEMBER);
    assert_eq!(harness.next_list_kind(), ListKind::Full);
    call.read_next();
    assert!(
        call.target.starts_with("/api/targets?since=1&"),
        "a watch; the full list is not requested again"
    );
}

/// Guards against waiting for pushed lists without calling discovery, although they can only arrive
/// as answers to calls, and against a start after which earlier changes stay unknown.
#[test]
fn pushed_lists_are_watched_at_once() {
    for mode in ["pushed", "some other word"] {
        let mut harness = WorkerListHarness::with_discovery_mode(Some(5), 1023, mode);
        let (at, mut call) = harness.next_call(1000.0).expect("a call");
        assert_eq!(
            (at, call.target.starts_with("/api/targets?since=5&")),
            (1000.0, true)
        );
        call.answer(6, false, MEMBER);
        assert_eq!(harness.next_list_kind(), ListKind::Delta);
        call.read_next();
        assert!(
            call.target.starts_with("/api/targets?since=6&"),
            "the watch goes on"
        );
    }
}

/// Guards against waiting for an unanswered watch beyond the 6 s within which a missed change must
/// be applied, against waiting as long for each further unanswered call, against open calls that
/// accumulate, and against reporting a list without an answer.
#[test]
fn unanswered_watch_gets_a_second_call_and_is_then_superseded() {
    for seed in [0, 7, 1023] {
        let mut harness = WorkerListHarness::new(Some(5), seed);
        let (_, mut watch) = harness.next_call(1001.0).expect("a watch");
        watch.answer(5, true, MEMBER);
        assert_eq!(harness.next_list_kind(), ListKind::Full);
        watch.read_next();
        let opened = harness.reactor.now;
        let wait = watch.wait_ms().expect("it waits");
        assert!((2600..=3400).contains(&wait), "{wait}");
        let (at, mut second) = harness.next_call(opened + 10.0).expect("another");
        let waited = at - opened;
        assert!(
            (waited - (wait as f64 / 1000.0 + 0.5)).abs() < 0.03,
            "seed {seed}: after {waited} s"
        );
        assert_eq!(second.wait_ms(), Some(1), "it does not wait");
        let (at, third) = harness.next_call(opened + 10.0).expect("a third");
        assert!(
            (at - opened - waited - 1.1).abs() < 0.03 && at - opened < 5.05,
            "seed {seed}: {}",
            at - opened
        );
        assert!(watch.is_closed(), "two calls are open at most");
        assert!(harness.reactor.queue.is_empty(), "no list is reported");
        second.answer(6, false, "");
        assert_eq!(harness.next_list_kind(), ListKind::Delta);
        let mut third = third;
        assert!(third.is_closed(), "the first answer counts");
        second.read_next();
        assert!(
            second.target.contains("since=6&") && second.wait_ms() > Some(2000),
            "the watch goes on there"
        );
    }
}

/// Guards against replacing a newer list by an older one, in which a leaving worker is still in
/// service, and against comparing revisions with earlier ones after discovery has restarted its
/// numbering.
#[test]
fn older_list_does_not_replace_a_newer_one() {
    let mut harness = WorkerListHarness::new(Some(5), 7);
    let (_, mut call) = harness.next_call(1001.0).expect("a watch");
    call.answer(8, true, &MEMBER.replace("in_service", "terminating"));
    assert_eq!(harness.next_list_kind(), ListKind::Full);
    call.read_next();
    for (revision, complete) in [(7, true), (7, false)] {
        let before = harness.list.call_count();
        call.answer(revision, complete, MEMBER);
        harness.run_until(|harness| harness.list.call_count() > before);
        call.read_next();
        assert_eq!(call.target, "/api/targets", "the full list is requested");
        assert!(
            harness.reactor.queue.is_empty(),
            "and no list is reported before it is there"
        );
        let (last, text) = if complete {
            (9, "terminating")
        } else {
            (2, "in_service")
        };
        call.answer(last, true, &MEMBER.replace("in_service", text));
        assert_eq!(harness.next_list_kind(), ListKind::Full);
        call.read_next();
        assert!(call.target.contains(&format!("since={last}&")));
    }
}

/// Guards against a watch that is not renewed after an invalid answer: refused, cut short,
/// malformed, late, or endless.
#[test]
fn invalid_answers_are_retried_soon() {
    let malformed: [&[u8]; 7] = [
        b"",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\":9,",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":9}",
        b"HTTP/1.1 200 O",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    ];
    for text in malformed {
        let mut harness = WorkerListHarness::new(Some(5), 7);
        let (at, mut call) = harness.next_call(1001.0).expect("a watch");
        call.peer.write_all(text).expect("it is written");
        drop(call);
        let before = harness.list.call_count();
        harness.run_until(|harness| harness.list.open_call_count() == 0);
        let (again, call) = harness.next_call(at + 5.0).expect("another");
        assert!(
            harness.list.call_count() > before && again - at < 0.2,
            "{text:?}: after {} s",
            again - at
        );
        assert!(call.target.starts_with("/api/targets?since=5&"));
        assert!(harness.reactor.queue.is_empty());
    }
    // An answer that arrives byte by byte doesn't extend its call's timeout.
    let mut harness = WorkerListHarness::new(Some(5), 7);
    let (at, mut call) = harness.next_call(1001.0).expect("a watch");
    let mut left = b"HTTP/1.1 200 OK\r\nX-Endless: "
        .iter()
        .chain(std::iter::repeat(&b'x'));
    let mut second = None;
    while second.is_none() && harness.reactor.now < at + 9.0 {
        call.peer
            .write_all(&[*left.next().expect("another byte")])
            .expect("it is written");
        second = harness.next_call(harness.reactor.now + 0.05);
    }
    assert!(
        second.is_some_and(|(second, _)| second - at < 4.0),
        "a second call beside one that never ends"
    );
}

/// Guards against reading an endless answer forever, and against keeping its call open until the
/// timeout although the answer can't become a list any more: the call is retried soon, on another
/// connection.
#[test]
fn endless_answer_ends_its_call() {
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(1 << 20));
    let endless = [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
            "of the same ",
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            chunk.as_str(),
        ),
        ("HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n"),
        ("HTTP/1.1 200 OK\r\nX-Line: ", "of the same "),
        ("no HTTP\r\n\r\n", "of the same "),
    ];
    for (beginning, continuation) in endless {
        let mut harness = WorkerListHarness::new(Some(5), 7);
        let (at, call) = harness.next_call(1001.0).expect("a watch");
        let mut peer = call.peer;
        let text = beginning.to_owned() + &continuation.repeat((16 << 20) / continuation.len());
        let writer = std::thread::spawn(move || {
            peer.write_all(text.as_bytes()).is_err() || !matches!(peer.read(&mut [0]), Ok(1..))
        });
        harness.run_until(|harness| harness.list.open_call_count() == 0);
        assert!(
            writer.join().expect("discovery's thread"),
            "{beginning:?}: its connection stays open"
        );
        let (again, call) = harness.next_call(at + 5.0).expect("another");
        assert!(
            again - at < 0.2 && call.target.starts_with("/api/targets?since=5&"),
            "{beginning:?}: after {} s",
            again - at
        );
        assert!(harness.reactor.queue.is_empty());
    }
}

/// Guards against starting with an older list than the stored one, or with one whose revisions
/// can't be compared; and against a snapshot that misses changes or contains terminated workers.
#[test]
fn newer_list_is_used_at_the_start() {
    let member = |id: &str, phase: &str| {
        format!(r#"{{"id":"{id}","host_port":"10.0.0.1:80","phase":"{phase}","cell":2}}"#)
    };
    let list = |revision: u64, complete: bool, members: &[String]| {
        let members = members.join(",");
        let text =
            format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
        DiscoveryList::from_json(text.as_bytes()).expect("a list")
    };
    let mut harness = WorkerListHarness::new(Some(5), 7);
    let at = harness.listener.local_addr().expect("an address");
    harness
        .list
        .retain_list(Some(&list(5, true, &[member("a", "in_service")])));
    assert!(harness.list.take_changed_snapshot().is_none());
    let changes = [
        member("a", "terminated"),
        member("b", "in_service"),
        member("c", "terminating"),
    ];
    let (_, mut call) = harness.next_call(1001.0).expect("a watch");
    call.answer(8, false, &changes.join(","));
    assert_eq!(harness.next_list_kind(), ListKind::Delta);
    let snapshot = harness
        .list
        .take_changed_snapshot()
        .expect("it has changed");
    assert!(
        harness.list.take_changed_snapshot().is_none(),
        "it was taken"
    );
    let start = |known: Option<DiscoveryList>, discovery: SocketAddr| {
        let list = WorkerListSnapshot::from_json(&snapshot)
            .expect("a list")
            .select_initial_list(known, discovery)
            .expect("a list");
        let settings = Settings::from_json("{}").expect("sound settings");
        let revision = list.revision;
        (
            revision,
            list.into_workers(&settings)
                .iter()
                .map(|m| m.id.clone())
                .collect::<Vec<_>>()
                .join(","),
        )
    };
    assert_eq!(
        start(Some(list(7, true, &[member("x", "in_service")])), at),
        (8, "b,c".into())
    );
    assert_eq!(
        start(Some(list(9, true, &[member("x", "in_service")])), at),
        (9, "x".into())
    );
    let moved = ([127, 0, 0, 1], 2).into();
    assert_eq!(
        start(Some(list(7, true, &[member("x", "in_service")])), moved),
        (7, "x".into())
    );
    assert_eq!(start(None, moved), (8, "b,c".into()));
    assert_eq!(
        start(Some(list(9, true, &[])), at),
        (8, "b,c".into()),
        "a list without workers does not count"
    );
}

/// Guards against an affinity that differs between nodes: the same worker may have different
/// addresses at different nodes, but it has the same id.
#[test]
fn worker_has_the_same_identity_at_every_node() {
    let identities = |addresses: [&str; 2]| {
        let member = |id: &str, at: &str| {
            format!(r#"{{"id": "{id}", "host_port": "{at}", "phase": "in_service"}}"#)
        };
        let members = [member("s-1", addresses[0]), member("s-2", addresses[1])].join(",");
        let text = format!(r#"{{"revision": 3, "complete": true, "members": [{members}]}}"#);
        let settings = Settings::from_json("{}").expect("sound settings");
        let members = DiscoveryList::from_json(text.as_bytes())
            .expect("a list")
            .into_workers(&settings);
        members
            .into_iter()
            .map(|member| member.entry.identity)
            .collect::<Vec<_>>()
    };
    let here = identities(["10.0.0.1:80", "10.0.0.2:80"]);
    assert_eq!(here, identities(["10.9.0.2:81", "10.9.0.1:82"]));
    assert_ne!(here[0], here[1]);
}

/// Guards against losing a start time in the conversion (0 stays 0), against resolving names to
/// wrong numbers, and against an invalid entry that invalidates the others or is sent requests.
#[test]
fn zones_and_kinds_are_resolved_by_name() {
    let settings = r#"{"dcs": ["riga", "liepaja"], "machine-types": ["std-4", "eco-4"]}"#;
    let settings = Settings::from_json(settings).expect("sound settings");
    let text = br#"{"revision": 3, "complete": true, "members": [
        {"id": "a", "host_port": "10.0.0.1:80", "locality": "liepaja", "flavor": "eco-4", "cell": 7, "phase": "in_service", "size": 1.5, "up_since_ms": 0},
        {"id": "b", "host_port": "nowhere", "phase": "in_service"},
        {"id": "c", "host_port": "10.0.0.3:80", "locality": "mars", "phase": "terminating", "up_since_ms": 1764586800250},
        {"id": "d", "host_port": "10.0.0.4:80", "phase": "new-word", "more": [1]},
        {"id": "e", "host_port": "10.0.0.5:80", "phase": "terminated"}]}"#;
    let members = DiscoveryList::from_json(text)
        .expect("a list")
        .into_workers(&settings);
    let ids: Vec<&str> = members.iter().map(|m| m.id.as_str()).collect();
    assert_eq!(ids, ["a", "c", "d", "e"]);
    let entry = |n: usize| &members[n].entry;
    assert_eq!(
        (entry(0).zone, entry(0).kind, entry(0).cell, entry(0).size),
        (1, 1, 7, 1.5)
    );
    assert_eq!(
        (entry(0).started, entry(1).started),
        (0.0, 1_764_586_800.25)
    );
    assert_eq!((entry(1).zone, entry(1).kind), (u8::MAX, u16::MAX));
    let health: Vec<Health> = members.iter().map(|m| m.entry.health).collect();
    assert_eq!(
        health,
        [
            Health::Ready,
            Health::Draining,
            Health::Draining,
            Health::Removed
        ]
    );
}

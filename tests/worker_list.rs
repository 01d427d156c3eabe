//! The list of workers and the calls for it: real connections to a stand-in for discovery that does what the test says,
//! and a time that is told.

use postproxy::decision::interface::{Health, ListKind, Settings};
use postproxy::net::messages::Input;
use postproxy::net::transport::reactor::{Owner, Reactor, Timer, owner};
use postproxy::net::upstream::worker_list::{Kept, List, WorkerList};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(20);
const MEMBER: &str = r#"{"id":"a","host_port":"10.0.0.1:80","phase":"in_service"}"#;

/// A list's owner, whose time is told.
struct Bed {
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
    /// Takes the next call on the same connection.
    fn next(&mut self) {
        let (mut text, mut byte) = (String::new(), [0]);
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

    /// How long it waits, in milliseconds; `None` for the whole list.
    fn wait(&self) -> Option<u64> {
        self.target.split("timeout_ms=").nth(1)?.parse().ok()
    }

    fn given_up(&mut self) -> bool {
        !matches!(self.peer.read(&mut [0; 9]), Ok(1..))
    }
}

impl Bed {
    fn new(known: Option<u64>, seed: u64) -> Self {
        Self::with(known, seed, "on_request")
    }

    fn with(known: Option<u64>, seed: u64, how: &str) -> Self {
        let reactor = Reactor::new(1000.0).expect("a reactor");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let settings =
            Settings::from_json(&format!(r#"{{"discovery": "{how}"}}"#)).expect("sound settings");
        let list = WorkerList::new(
            listener.local_addr().expect("an address"),
            settings,
            known,
            seed,
        );
        let mut bed = Self {
            reactor,
            list,
            listener,
        };
        bed.list.start(&mut bed.reactor);
        bed
    }

    /// Lets what has come on sockets be read, until `done`.
    fn until(&mut self, mut done: impl FnMut(&mut Self) -> bool) {
        let (start, mut events) = (Instant::now(), Vec::new());
        while !done(self) {
            assert!(start.elapsed() < LIMIT, "it never came");
            self.reactor.wait(&mut events, f64::MAX).expect("a poller");
            for event in &events {
                assert_eq!(owner(event.key), Owner::Discovery);
                self.list.handle_ready(
                    &mut self.reactor,
                    event.key,
                    event.readable,
                    event.writable,
                );
            }
        }
    }

    /// Lets the time come.
    fn at(&mut self, now: f64) {
        while self.reactor.now < now {
            self.reactor.now = (self.reactor.now + 0.002).min(now);
            for due in self.reactor.expired_timers() {
                match due {
                    Timer::Discovery => self.list.handle_timer(&mut self.reactor),
                    Timer::DiscoveryDial(call) => {
                        self.list.handle_dial_timer(&mut self.reactor, call)
                    }
                    _ => {}
                }
            }
        }
    }

    /// The next call, on a connection of its own, if there is one by this time; and when.
    fn call(&mut self, by: f64) -> Option<(f64, Call)> {
        self.listener.set_nonblocking(true).expect("a setting");
        while self.reactor.now <= by {
            if let Ok((peer, _)) = self.listener.accept() {
                peer.set_nonblocking(false).expect("a setting");
                peer.set_read_timeout(Some(LIMIT)).expect("a time limit");
                let at = self.reactor.now;
                let mut call = Call {
                    peer,
                    target: String::new(),
                };
                // It is written once the connection is known to be made.
                let mut peek = [0];
                call.peer.set_nonblocking(true).expect("a setting");
                self.until(|_| call.peer.peek(&mut peek).is_ok_and(|size| size == 1));
                call.peer.set_nonblocking(false).expect("a setting");
                call.next();
                return Some((at, call));
            }
            self.at(self.reactor.now + 0.01);
        }
        None
    }

    /// Has an answer read, and tells what kind of list the hub is told.
    fn told(&mut self) -> ListKind {
        self.until(|bed| !bed.reactor.queue.is_empty());
        match self.reactor.queue.pop_front() {
            Some(Input::WorkerListReceived { kind, .. }) => kind,
            _ => panic!("no list"),
        }
    }
}

/// Guards against a node without a worker that waits for its turn to ask, gives up when discovery is not up yet, or goes on
/// asking for the whole list after it has been told one.
#[test]
fn a_node_without_a_list_asks_until_it_has_one() {
    let mut bed = Bed::new(None, 7);
    let at = bed.listener.local_addr().expect("an address");
    let (_, first) = bed.call(1000.0).expect("a call at once");
    assert_eq!(first.target, "/api/targets");
    // Nobody listens there from now on.
    bed.listener = TcpListener::bind("127.0.0.1:0").expect("another port");
    drop(first);
    let (mut waits, mut last) = (Vec::new(), 1000.0);
    for _ in 0..4 {
        // A refused connection is told by the poller.
        let before = bed.list.call_count();
        let start = Instant::now();
        while bed.list.call_count() == before {
            assert!(start.elapsed() < LIMIT);
            let mut events = Vec::new();
            bed.reactor.wait(&mut events, f64::MAX).expect("a poller");
            events.iter().for_each(|e| {
                bed.list
                    .handle_ready(&mut bed.reactor, e.key, e.readable, e.writable)
            });
            let now = bed.reactor.now;
            if events.is_empty() && bed.list.open_call_count() == 0 {
                bed.at(now + 0.002);
            }
        }
        waits.push(bed.reactor.now - last);
        last = bed.reactor.now;
    }
    assert!((0.1..0.11).contains(&waits[0]), "{waits:?}");
    assert!(
        waits[1] < 0.21 && waits[2] < 0.41 && waits[3] < 0.81,
        "{waits:?}"
    );
    assert!(
        bed.reactor.queue.is_empty(),
        "the hub has nothing to do with it"
    );
    bed.until(|bed| bed.list.open_call_count() == 0);
    bed.listener = TcpListener::bind(at).expect("the port again");
    let (_, mut call) = bed.call(bed.reactor.now + 2.0).expect("it is asked again");
    call.answer(1, true, MEMBER);
    assert_eq!(bed.told(), ListKind::Full);
    call.next();
    assert!(
        call.target.starts_with("/api/targets?since=1&"),
        "a watch, and no whole list any more"
    );
}

/// Guards against a list that is pushed and is never asked for, since the node waits for what can only come as an answer; and
/// against a start at which what has changed meanwhile stays unknown.
#[test]
fn what_is_pushed_is_called_for_at_once() {
    for how in ["pushed", "some other word"] {
        let mut bed = Bed::with(Some(5), 1023, how);
        let (at, mut call) = bed.call(1000.0).expect("a call");
        assert_eq!(
            (at, call.target.starts_with("/api/targets?since=5&")),
            (1000.0, true)
        );
        call.answer(6, false, MEMBER);
        assert_eq!(bed.told(), ListKind::Delta);
        call.next();
        assert!(
            call.target.starts_with("/api/targets?since=6&"),
            "and the watch goes on"
        );
    }
}

/// Guards against a watch that has fallen silent and is believed until after what it missed counts as told, 6 s after discovery
/// had it; against one silent call after the other, each believed for as long; against calls that add up; and against
/// silence that is told as something to decide on.
#[test]
fn a_silent_watch_has_another_call_beside_it_and_then_in_its_place() {
    for seed in [0, 7, 1023] {
        let mut bed = Bed::new(Some(5), seed);
        let (_, mut watch) = bed.call(1001.0).expect("a watch");
        watch.answer(5, true, MEMBER);
        assert_eq!(bed.told(), ListKind::Full);
        watch.next();
        let (opened, wait) = (bed.reactor.now, watch.wait().expect("it waits"));
        assert!((2600..=3400).contains(&wait), "{wait}");
        let (at, mut beside) = bed.call(opened + 10.0).expect("another");
        let silent = at - opened;
        assert!(
            (silent - (wait as f64 / 1000.0 + 0.5)).abs() < 0.03,
            "seed {seed}: after {silent} s"
        );
        assert_eq!(beside.wait(), Some(1), "it does not wait");
        let (at, third) = bed.call(opened + 10.0).expect("a third");
        assert!(
            (at - opened - silent - 1.1).abs() < 0.03 && at - opened < 5.05,
            "seed {seed}: {}",
            at - opened
        );
        assert!(watch.given_up(), "two are out at most");
        assert!(
            bed.reactor.queue.is_empty(),
            "the hub has nothing to do with it"
        );
        beside.answer(6, false, "");
        assert_eq!(bed.told(), ListKind::Delta);
        let mut third = third;
        assert!(third.given_up(), "the first answer counts");
        beside.next();
        assert!(
            beside.target.contains("since=6&") && beside.wait() > Some(2000),
            "the watch goes on there"
        );
    }
}

/// Guards against an older list that takes the place of a newer one, in which a worker that leaves is in service; against
/// one clock of versions that runs on when discovery has begun anew.
#[test]
fn an_older_list_does_not_take_the_place_of_a_newer_one() {
    let mut bed = Bed::new(Some(5), 7);
    let (_, mut call) = bed.call(1001.0).expect("a watch");
    call.answer(8, true, &MEMBER.replace("in_service", "terminating"));
    assert_eq!(bed.told(), ListKind::Full);
    call.next();
    for (revision, complete) in [(7, true), (7, false)] {
        let before = bed.list.call_count();
        call.answer(revision, complete, MEMBER);
        bed.until(|bed| bed.list.call_count() > before);
        call.next();
        assert_eq!(call.target, "/api/targets", "the whole list is asked for");
        assert!(
            bed.reactor.queue.is_empty(),
            "and nothing is told before it is there"
        );
        let (last, text) = if complete {
            (9, "terminating")
        } else {
            (2, "in_service")
        };
        call.answer(last, true, &MEMBER.replace("in_service", text));
        assert_eq!(bed.told(), ListKind::Full);
        call.next();
        assert!(call.target.contains(&format!("since={last}&")));
    }
}

/// Guards against a wait that is not renewed after an answer that is none: refused, cut short, spoilt, none in time, and one
/// that never ends.
#[test]
fn answers_that_are_none_have_the_call_made_again_soon() {
    let spoilt: [&[u8]; 7] = [
        b"",
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"revision\":9,",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":9}",
        b"HTTP/1.1 200 O",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    ];
    for text in spoilt {
        let mut bed = Bed::new(Some(5), 7);
        let (at, mut call) = bed.call(1001.0).expect("a watch");
        call.peer.write_all(text).expect("it is written");
        drop(call);
        let before = bed.list.call_count();
        bed.until(|bed| bed.list.open_call_count() == 0);
        let (again, call) = bed.call(at + 5.0).expect("another");
        assert!(
            bed.list.call_count() > before && again - at < 0.2,
            "{text:?}: after {} s",
            again - at
        );
        assert!(call.target.starts_with("/api/targets?since=5&"));
        assert!(bed.reactor.queue.is_empty());
    }
    // One that trickles is silent: no byte gives it more time.
    let mut bed = Bed::new(Some(5), 7);
    let (at, mut call) = bed.call(1001.0).expect("a watch");
    let mut left = b"HTTP/1.1 200 OK\r\nX-Endless: "
        .iter()
        .chain(std::iter::repeat(&b'x'));
    let mut second = None;
    while second.is_none() && bed.reactor.now < at + 9.0 {
        call.peer
            .write_all(&[*left.next().expect("another byte")])
            .expect("it is written");
        second = bed.call(bed.reactor.now + 0.05);
    }
    assert!(
        second.is_some_and(|(second, _)| second - at < 4.0),
        "beside one that never ends"
    );
}

/// Guards against an answer of discovery that never ends and is read for ever, or is held until its call has had its time though it
/// can't become a list any more: the call is made again soon, on another connection.
#[test]
fn an_answer_without_end_ends_its_call() {
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
    for (begins, goes_on) in endless {
        let mut bed = Bed::new(Some(5), 7);
        let (at, call) = bed.call(1001.0).expect("a watch");
        let (mut peer, text) = (
            call.peer,
            begins.to_owned() + &goes_on.repeat((16 << 20) / goes_on.len()),
        );
        let writer = std::thread::spawn(move || {
            peer.write_all(text.as_bytes()).is_err() || !matches!(peer.read(&mut [0]), Ok(1..))
        });
        bed.until(|bed| bed.list.open_call_count() == 0);
        assert!(
            writer.join().expect("discovery's part"),
            "{begins:?}: its connection goes on"
        );
        let (again, call) = bed.call(at + 5.0).expect("another");
        assert!(
            again - at < 0.2 && call.target.starts_with("/api/targets?since=5&"),
            "{begins:?}: after {} s",
            again - at
        );
        assert!(bed.reactor.queue.is_empty());
    }
}

/// Guards against a start with an older list than the one that was held, or with one whose versions mean nothing here;
/// against a kept list that misses changes, or holds what has gone.
#[test]
fn the_newer_list_counts_at_a_start() {
    let member = |id: &str, phase: &str| {
        format!(r#"{{"id":"{id}","host_port":"10.0.0.1:80","phase":"{phase}","cell":2}}"#)
    };
    let list = |revision: u64, complete: bool, members: &[String]| {
        let members = members.join(",");
        let text =
            format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
        List::from_json(text.as_bytes()).expect("a list")
    };
    let mut bed = Bed::new(Some(5), 7);
    let at = bed.listener.local_addr().expect("an address");
    bed.list
        .retain_list(Some(&list(5, true, &[member("a", "in_service")])));
    assert!(bed.list.take_changed_snapshot().is_none());
    let changes = [
        member("a", "terminated"),
        member("b", "in_service"),
        member("c", "terminating"),
    ];
    let (_, mut call) = bed.call(1001.0).expect("a watch");
    call.answer(8, false, &changes.join(","));
    assert_eq!(bed.told(), ListKind::Delta);
    let kept = bed.list.take_changed_snapshot().expect("it has changed");
    assert!(bed.list.take_changed_snapshot().is_none(), "it was taken");
    let start = |known: Option<List>, discovery: SocketAddr| {
        let list = Kept::from_json(&kept)
            .expect("a list")
            .or(known, discovery)
            .expect("a list");
        let settings = Settings::from_json("{}").expect("sound settings");
        let revision = list.revision;
        (
            revision,
            list.members(&settings)
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
        "one without a worker is none"
    );
}

/// Guards against workers that each node prefers for subjects of its own: their addresses differ from node to node, their ids do not.
#[test]
fn a_worker_has_the_same_identity_at_every_node() {
    let identities = |addresses: [&str; 2]| {
        let member = |id: &str, at: &str| {
            format!(r#"{{"id": "{id}", "host_port": "{at}", "phase": "in_service"}}"#)
        };
        let members = [member("s-1", addresses[0]), member("s-2", addresses[1])].join(",");
        let text = format!(r#"{{"revision": 3, "complete": true, "members": [{members}]}}"#);
        let settings = Settings::from_json("{}").expect("sound settings");
        let members = List::from_json(text.as_bytes())
            .expect("a list")
            .members(&settings);
        members
            .into_iter()
            .map(|member| member.entry.identity)
            .collect::<Vec<_>>()
    };
    let here = identities(["10.0.0.1:80", "10.0.0.2:80"]);
    assert_eq!(here, identities(["10.9.0.2:81", "10.9.0.1:82"]));
    assert_ne!(here[0], here[1]);
}

/// Guards against a start that is lost in the change of clocks (0 stays 0), names joined to wrong numbers, and an entry that
/// can't be read taking the others with it or being sent to.
#[test]
fn members_are_joined_by_name() {
    let settings = r#"{"dcs": ["riga", "liepaja"], "machine-types": ["std-4", "eco-4"]}"#;
    let settings = Settings::from_json(settings).expect("sound settings");
    let text = br#"{"revision": 3, "complete": true, "members": [
        {"id": "a", "host_port": "10.0.0.1:80", "locality": "liepaja", "flavor": "eco-4", "cell": 7, "phase": "in_service", "size": 1.5, "up_since_ms": 0},
        {"id": "b", "host_port": "nowhere", "phase": "in_service"},
        {"id": "c", "host_port": "10.0.0.3:80", "locality": "mars", "phase": "terminating", "up_since_ms": 1764586800250},
        {"id": "d", "host_port": "10.0.0.4:80", "phase": "new-word", "more": [1]},
        {"id": "e", "host_port": "10.0.0.5:80", "phase": "terminated"}]}"#;
    let members = List::from_json(text).expect("a list").members(&settings);
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

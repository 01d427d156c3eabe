//! A handover to a process that has no descriptor left. The test is alone in its process, because
//! the limit on descriptors applies to the whole process.

use postproxy::net::handover::{Event, Handover};
use postproxy::net::transport::reactor::{Reactor, SocketOwner, Timer, owner};
use postproxy_handover::{LinkEvent, Message, frame, greeting};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::io::{IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long the test waits for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs one turn of the loop, and returns the handover's events by the readiness event that led to
/// them.
fn run_turn(reactor: &mut Reactor, handover: &mut Handover) -> Vec<Vec<Event>> {
    let mut ready = Vec::new();
    // A timer that is due keeps the reactor from waiting.
    reactor.set_timer(reactor.now, Timer::ClientAccept);
    reactor.wait(&mut ready, f64::MAX).expect("a poller");
    ready
        .iter()
        .filter(|event| owner(event.key) == SocketOwner::Handover)
        .map(|event| handover.handle_ready(reactor, event.key, event.readable))
        .collect()
}

fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(start.elapsed() < EVENT_TIMEOUT, "not seen: {what}");
        std::thread::yield_now();
    }
}

/// Sends bytes with the node's end of a connection.
fn send_with_connection(link: &UnixStream, bytes: &[u8], connection: TcpStream) {
    let passed = [connection.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    assert!(control.push(SendAncillaryMessage::ScmRights(&passed)));
    let sent = sendmsg(
        link,
        &[IoSlice::new(bytes)],
        &mut control,
        SendFlags::empty(),
    )
    .expect("it is sent");
    assert_eq!(sent, bytes.len());
}

/// Both ends of a connection.
struct Connection {
    client: TcpStream,
    node: TcpStream,
}

fn connect(listener: &TcpListener) -> Connection {
    let client =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let node = listener.accept().expect("it is accepted").0;
    Connection { client, node }
}

fn request_frame(request: &str) -> Vec<u8> {
    frame(&Message::Request {
        request: request.into(),
        input: Vec::new(),
        close_after_answer: false,
    })
}

/// What an older process sends up to the end of its snapshot and its shutdown.
fn handover_messages() -> Vec<u8> {
    let hello = Message::Hello {
        name: "n0".into(),
        listen: "127.0.0.1:1".into(),
    };
    [
        greeting(),
        frame(&hello),
        frame(&Message::SnapshotComplete),
        frame(&Message::ShuttingDown),
    ]
    .concat()
}

/// Guards against a request that is answered to another's client: there was no room for the
/// descriptor that came with one message, the rest of the message came only later, and it was
/// matched with the next message's descriptor. The function is long because it is one scenario,
/// step after step.
#[test]
fn a_lost_descriptor_leaves_the_others_with_their_requests() {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("lost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let handover_socket =
        UnixListener::bind(folder.join("postproxy-n0.handover")).expect("a handover socket");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let mut handover = Handover::start(&mut reactor, &folder, "n0", "127.0.0.1:1");
    let (mut link, _) = handover_socket
        .accept()
        .expect("the newer process connects");
    link.write_all(&handover_messages()).expect("it is written");
    wait_for("the older process's messages", || {
        let events = run_turn(&mut reactor, &mut handover);
        let is_shutdown = |event: &Event| {
            matches!(
                event,
                Event::Received {
                    event: LinkEvent::ShuttingDown,
                    ..
                }
            )
        };
        events.iter().flatten().any(is_shutdown).then_some(())
    });
    let mut first = connect(&listener);
    let mut second = connect(&listener);
    first.client.set_nonblocking(true).expect("a setting");
    let first_frame = request_frame("a");
    let second_frame = request_frame("b");
    let usual_limit = getrlimit(Resource::Nofile);
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: Some(3),
            ..usual_limit
        },
    )
    .expect("a lower limit");
    send_with_connection(&link, &first_frame[..5], first.node);
    // The node's end was closed with the lost descriptor, which shows that its first bytes have
    // been read.
    wait_for("the first connection's end", || {
        assert!(
            run_turn(&mut reactor, &mut handover)
                .iter()
                .all(Vec::is_empty),
            "a part of a message is none"
        );
        first.client.read(&mut [0; 1]).ok()
    });
    setrlimit(Resource::Nofile, usual_limit).expect("the usual limit");
    link.write_all(&first_frame[5..]).expect("it is written");
    send_with_connection(&link, &second_frame, second.node);
    let events = wait_for("both requests", || {
        let events = run_turn(&mut reactor, &mut handover);
        events.into_iter().find(|events| !events.is_empty())
    });
    let [
        Event::Received {
            event: LinkEvent::Request { request: one, .. },
            descriptor: lost,
            ..
        },
        Event::Received {
            event: LinkEvent::Request { request: other, .. },
            descriptor: Some(passed),
            ..
        },
    ] = &events[..]
    else {
        panic!("both come in one read: {events:?}");
    };
    assert_eq!((&one[..], &other[..]), (&b"a"[..], &b"b"[..]));
    assert!(lost.is_none(), "the first request's client has gone");
    TcpStream::from(passed.try_clone().expect("a descriptor"))
        .write_all(b"yours")
        .expect("it is written");
    let mut answer = [0; 5];
    second
        .client
        .set_read_timeout(Some(EVENT_TIMEOUT))
        .expect("a time limit");
    second.client.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"yours");
    let _ = std::fs::remove_dir_all(&folder);
}

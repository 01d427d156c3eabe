//! A handover to a process that has no free file descriptor. The test is alone in its process,
//! because the limit on descriptors applies to the whole process.

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

/// Time limit for each awaited event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs one turn of the event loop, and returns the handover events of each readiness event.
fn run_turn(reactor: &mut Reactor, handover: &mut Handover) -> Vec<Vec<Event>> {
    let mut ready = Vec::new();
    // A timer that is due keeps the reactor from blocking.
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
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::yield_now();
    }
}

/// Sends bytes over the link, and with them the descriptor of the node's end of a connection.
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

/// Both ends of a client's connection.
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

/// The messages of an older process up to its shutdown, after which it passes its connections.
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

/// Guards against a request that is answered to the wrong client. The process has no free
/// descriptor for the one that comes with the first bytes of a message; when the rest of that
/// message arrives, it must not be matched with the descriptor of the next message.
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
    // The lost descriptor was the last one of the node's end, so the client sees the end of the
    // connection once the first bytes of the message have been read.
    wait_for("the first connection's end", || {
        assert!(
            run_turn(&mut reactor, &mut handover)
                .iter()
                .all(Vec::is_empty),
            "an incomplete message causes no event"
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
        panic!("not the two requests in one read: {events:?}");
    };
    assert_eq!((&one[..], &other[..]), (&b"a"[..], &b"b"[..]));
    assert!(lost.is_none(), "the first request has lost its connection");
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

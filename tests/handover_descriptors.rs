//! A hand-over to a process that has no descriptor left, alone in its process: the limit on descriptors holds for all of it.

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

const LIMIT: Duration = Duration::from_secs(20);

/// One turn of the loop: what came of the link in it, by event of its socket.
fn turn(reactor: &mut Reactor, handover: &mut Handover) -> Vec<Vec<Event>> {
    let mut events = Vec::new();
    // The loop is asked, and does not wait.
    reactor.set_timer(reactor.now, Timer::ClientAccept);
    reactor.wait(&mut events, f64::MAX).expect("a poller");
    let of_link = events
        .iter()
        .filter(|event| owner(event.key) == SocketOwner::Handover);
    of_link
        .map(|event| (event.key, event.readable))
        .map(|(key, read)| handover.handle_ready(reactor, key, read))
        .collect()
}

fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(start.elapsed() < LIMIT, "not seen: {what}");
        std::thread::yield_now();
    }
}

/// Sends bytes with the node's end of a connection.
fn pass(link: &UnixStream, bytes: &[u8], connection: TcpStream) {
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

/// A client's end and the node's.
fn connection(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let client =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    (client, listener.accept().expect("it comes").0)
}

fn job(name: &str) -> Vec<u8> {
    frame(&Message::Request {
        request: name.into(),
        input: Vec::new(),
        close_after_answer: false,
    })
}

/// Guards against a job that is answered to another's client: the descriptor that came with one message found no place here, the
/// message came whole only later, and the next message's descriptor was taken for its own.
#[test]
fn a_connection_that_finds_no_place_leaves_the_others_with_their_jobs() {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("lost-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let meeting =
        UnixListener::bind(folder.join("postproxy-n0.handover")).expect("a meeting place");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut reactor = Reactor::new(1000.0).expect("a reactor");
    let mut handover = Handover::start(&mut reactor, &folder, "n0", "127.0.0.1:1");
    let (mut link, _) = meeting.accept().expect("the newer process calls");
    let hello = Message::Hello {
        name: "n0".into(),
        listen: "127.0.0.1:1".into(),
    };
    let words = [
        greeting(),
        frame(&hello),
        frame(&Message::SnapshotComplete),
        frame(&Message::ShuttingDown),
    ]
    .concat();
    link.write_all(&words).expect("it is written");
    until("the older process's words", || {
        let came = turn(&mut reactor, &mut handover);
        let leaves = |event: &Event| {
            matches!(
                event,
                Event::Received {
                    event: LinkEvent::ShuttingDown,
                    ..
                }
            )
        };
        came.iter().flatten().any(leaves).then_some(())
    });
    let ((mut first, firsts), (mut second, seconds)) =
        (connection(&listener), connection(&listener));
    first.set_nonblocking(true).expect("a setting");
    let (a, b) = (job("a"), job("b"));
    let usual = getrlimit(Resource::Nofile);
    setrlimit(
        Resource::Nofile,
        Rlimit {
            current: Some(3),
            ..usual
        },
    )
    .expect("a lower limit");
    pass(&link, &a[..5], firsts);
    // The node's end of it went with the descriptor, which shows that its first bytes have been read.
    until("the first connection's end", || {
        assert!(
            turn(&mut reactor, &mut handover).iter().all(Vec::is_empty),
            "a part of a message is none"
        );
        first.read(&mut [0; 1]).ok()
    });
    setrlimit(Resource::Nofile, usual).expect("the usual limit");
    link.write_all(&a[5..]).expect("it is written");
    pass(&link, &b, seconds);
    let came = until("both jobs", || {
        let came = turn(&mut reactor, &mut handover);
        came.into_iter().find(|events| !events.is_empty())
    });
    let [
        Event::Received {
            event: LinkEvent::Request { request: one, .. },
            descriptor: lost,
            ..
        },
        Event::Received {
            event: LinkEvent::Request { request: other, .. },
            descriptor: Some(kept),
            ..
        },
    ] = &came[..]
    else {
        panic!("both come in one read: {came:?}");
    };
    assert_eq!((&one[..], &other[..]), (&b"a"[..], &b"b"[..]));
    assert!(lost.is_none(), "the first job's client has gone");
    TcpStream::from(kept.try_clone().expect("a descriptor"))
        .write_all(b"yours")
        .expect("it is written");
    let mut answer = [0; 5];
    second.set_read_timeout(Some(LIMIT)).expect("a time limit");
    second.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"yours");
    let _ = std::fs::remove_dir_all(&folder);
}

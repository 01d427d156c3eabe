//! Events that reach a newer process while it takes over, before the older one's snapshot is
//! complete. The test plays the older process, so that it controls the order of events.

use postproxy::net::transport::http::Response;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::{Process, loopback_addresses};
use postproxy_handover::{Link, LinkEvent, Message, Role, StateUpdate, frame, greeting};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for each awaited event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of attempts at a scenario. An attempt is void if the test is so slow that the
/// snapshot is not complete within 1 s, after which the newer process serves without it.
const MAX_STARTS: usize = 20;

/// The test's side of the link, which plays the older process.
struct OlderProcess {
    stream: UnixStream,
    link: Link,
    events: Vec<LinkEvent>,
}

impl OlderProcess {
    fn send(&mut self, messages: &[Message]) {
        let bytes: Vec<u8> = messages.iter().flat_map(frame).collect();
        self.stream.write_all(&bytes).expect("the link is open");
    }

    /// Completes the snapshot.
    fn complete_snapshot(&mut self) {
        self.send(&[Message::SnapshotComplete]);
        self.link.complete_snapshot();
    }

    /// Waits for an event for which `wanted` returns a value, and returns that value; `None` if the
    /// newer process has closed the link.
    fn wait_for<T>(&mut self, wanted: impl Fn(&LinkEvent) -> Option<T>) -> Option<T> {
        loop {
            if let Some(found) = self.events.iter().find_map(&wanted) {
                return Some(found);
            }
            let mut bytes = [0; 4096];
            let size = self
                .stream
                .read(&mut bytes)
                .expect("bytes from the newer process within the time limit");
            if size == 0 {
                return None;
            }
            self.link
                .receive(&bytes[..size], &mut self.events)
                .expect("valid messages");
        }
    }
}

/// A newer process, the older one that the test plays, workers and discovery.
struct HandoverHarness {
    listener: Socket,
    address: SocketAddr,
    management: SocketAddr,
    older: OlderProcess,
    process: Process,
    folder: PathBuf,
    workers: Vec<Worker>,
    _discovery: Discovery,
}

impl Drop for HandoverHarness {
    fn drop(&mut self) {
        self.process.kill();
        self.workers.iter().for_each(Worker::stop);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl HandoverHarness {
    /// Starts the program, and returns when it has connected to the older process and sent its
    /// hello. It has received nothing yet.
    fn new(name: &str) -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        listener.listen(1024).expect("it listens");
        listener.set_cloexec(false).expect("it is inherited");
        let address = listener
            .local_addr()
            .ok()
            .and_then(|a| a.as_socket())
            .expect("an address");
        let workers = vec![Worker::start("s-0", Duration::ZERO).expect("a worker")];
        workers[0].report_to(address);
        let discovery = Discovery::start(&workers).expect("discovery");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("handover-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../examples/config.json")).expect("the example");
        config["listen"] = address.to_string().into();
        config["discovery"] = discovery.address.to_string().into();
        config["known"] = serde_json::Value::Null;
        std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
        let handover_socket =
            UnixListener::bind(folder.join("postproxy-n0.handover")).expect("a handover socket");
        let management = SocketAddr::new(loopback_addresses(1)[0], 8081);
        let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
        command
            .args(["serve", "--log-levels", "error"])
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("RELAY_MGMT", management.to_string())
            .env("RELAY_SOCKET_FD", listener.as_raw_fd().to_string())
            .env("TMPDIR", &folder);
        let process = Process::spawn(&mut command).expect("the program starts");
        let (stream, _) = handover_socket.accept().expect("it connects");
        stream
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time limit");
        let link = Link::new(Role::Older, "n0", &address.to_string(), 0.0);
        let mut older = OlderProcess {
            stream,
            link,
            events: Vec::new(),
        };
        older
            .wait_for(|event| matches!(event, LinkEvent::HelloReceived).then_some(()))
            .expect("the newer process sends its hello");
        Self {
            listener,
            address,
            management,
            older,
            process,
            folder,
            workers,
            _discovery: discovery,
        }
    }

    /// Sends the older process's greeting and hello.
    fn send_hello(&mut self) {
        let hello = frame(&self.older.link.hello());
        self.older
            .stream
            .write_all(&[greeting(), hello].concat())
            .expect("the link is open");
    }

    /// Sends a management request, and returns its connection once the process has read the
    /// request. The answer may follow later.
    fn begin_management_request(&self, path: &str) -> TcpStream {
        let mut call = TcpStream::connect(self.management).expect("the management API listens");
        call.set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time limit");
        write!(call, "POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").expect("it is written");
        // Connections are read in the order in which they were opened, so the answer to this
        // request shows that the other one has been read.
        assert_eq!(
            send_request(self.management, "GET", "/v1/readyz", &[], b"")
                .expect("an answer")
                .status,
            503
        );
        call
    }

    /// Waits until the process has sent this update to the older one; `None` if it has closed the
    /// link before.
    fn wait_for_update(&mut self, update: &StateUpdate) -> Option<()> {
        self.older.wait_for(|event| {
            matches!(event, LinkEvent::StateUpdate(sent) if sent == update).then_some(())
        })
    }
}

fn read_answer(mut call: TcpStream) -> String {
    let mut answer = String::new();
    call.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Repeats a scenario, each time with a new process, until the process has waited for the whole
/// snapshot. The scenario returns `None` if it has closed the link instead.
fn run_until_synchronized(
    name: &str,
    mut scenario: impl FnMut(&mut HandoverHarness) -> Option<()>,
) {
    for number in 0..MAX_STARTS {
        let mut harness = HandoverHarness::new(&format!("{name}-{number}"));
        if scenario(&mut harness).is_some() {
            return;
        }
    }
    panic!("the newer process closed the link in each of {MAX_STARTS} starts");
}

fn suspension_changed(worker: &str, resume: bool) -> StateUpdate {
    StateUpdate::WorkerSuspensionChanged {
        worker: worker.into(),
        resume,
    }
}

/// Guards against a management request that is confirmed and then lost, because the newer process
/// received it before the older one's hello, or before its snapshot was complete.
#[test]
fn management_requests_before_the_end_of_the_snapshot_override_it() {
    let drain_changed = |draining, seconds_ago| StateUpdate::DrainChanged {
        draining,
        seconds_ago,
    };
    for hello_first in [false, true] {
        for (name, path, snapshot, expected) in [
            // According to its snapshot, the older process has suspended the worker; the request to
            // resume it must override that, also in the older process.
            (
                "resume",
                "/v1/route-workers/s-0/resume",
                suspension_changed("s-0", false),
                suspension_changed("s-0", true),
            ),
            // The older process still sends requests to the worker, so it must be told that the
            // worker is suspended.
            (
                "suspend",
                "/v1/route-workers/s-0/suspend",
                suspension_changed("s-0", true),
                suspension_changed("s-0", false),
            ),
            // The older process is draining, and the request ends that.
            (
                "activate",
                "/v1/node/activate",
                drain_changed(true, 1.0),
                drain_changed(false, 0.0),
            ),
        ] {
            run_until_synchronized(name, |harness| {
                if hello_first {
                    harness.send_hello();
                }
                let call = harness.begin_management_request(path);
                if !hello_first {
                    harness.send_hello();
                }
                harness
                    .older
                    .send(&[Message::StateUpdate(snapshot.clone())]);
                harness.older.complete_snapshot();
                harness.wait_for_update(&expected)?;
                assert!(read_answer(call).starts_with("HTTP/1.1 200 "));
                Some(())
            });
        }
    }
}

/// Guards against a newer process that admits requests before it knows which ones the older process
/// has in flight.
#[test]
fn requests_wait_until_the_snapshot_is_complete() {
    run_until_synchronized("request", |harness| {
        harness.send_hello();
        let mut client = TcpStream::connect(harness.address).expect("a connection");
        client
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time limit");
        write!(client, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            .expect("it is written");
        // Two more turns of its event loop later, it has still not accepted the connection.
        for _ in 0..2 {
            assert_eq!(
                send_request(harness.management, "GET", "/v1/readyz", &[], b"")
                    .expect("an answer")
                    .status,
                503
            );
        }
        // The newer process shares the listener and would block in its next accept if the listener
        // were set back to blocking, so it stays non-blocking.
        harness.listener.set_nonblocking(true).expect("a setting");
        // This fails if the newer process has stopped waiting for the snapshot and has accepted the
        // connection; in that case the link is closed, and the attempt is void.
        let accepted = harness.listener.accept().ok().map(|(stream, _)| stream);
        harness.older.complete_snapshot();
        harness.wait_for_callback_result()?;
        assert!(accepted.is_some(), "the newer process accepted it");
        // Now the newer process accepts connections.
        let answer = send_request(
            harness.address,
            "GET",
            "/-/ready",
            &[("Connection", "close")],
            b"",
        )
        .expect("an answer");
        assert_eq!(answer.status, 200);
        Some(())
    });
}

impl HandoverHarness {
    /// Waits until the newer process has handled all messages: sends a callback, whose result
    /// follows after them. `None` if the process has closed the link before.
    fn wait_for_callback_result(&mut self) -> Option<()> {
        let body = br#"{"id": "nobody's", "from": "s-0", "state": "done", "result": "x"}"#;
        let call = self.older.link.forward_callback(0.0, 77, body.to_vec());
        self.older.send(&[call]);
        self.older
            .wait_for(|event| matches!(event, LinkEvent::CallbackResult { .. }).then_some(()))
    }
}

/// Guards against a callback that is acknowledged before any process has handled it: the newer
/// process has just begun to serve, and receives a callback about a request of the older one.
#[test]
fn callbacks_on_the_older_processs_requests_are_acknowledged_only_on_its_result() {
    run_until_synchronized("call", |harness| {
        harness.send_hello();
        harness
            .older
            .send(&[Message::StateUpdate(StateUpdate::RequestAdmitted {
                id: "held".into(),
                is_new: false,
            })]);
        harness.older.complete_snapshot();
        let at = harness.address;
        let body = br#"{"id": "held", "from": "s-0", "state": "done", "result": "x"}"#;
        let call = thread::spawn(move || -> Response {
            send_request(
                at,
                "POST",
                "/v1/job-events",
                &[("Connection", "close")],
                body,
            )
            .expect("an answer")
        });
        let number = harness.older.wait_for(|event| match event {
            LinkEvent::Callback { number, body } if body.windows(4).any(|four| four == b"held") => {
                Some(*number)
            }
            _ => None,
        })?;
        let start = Instant::now();
        // Meanwhile other requests are answered, but the callback is not acknowledged.
        for _ in 0..5 {
            assert_eq!(
                send_request(harness.management, "GET", "/v1/readyz", &[], b"")
                    .expect("an answer")
                    .status,
                200
            );
            assert!(
                !call.is_finished() || start.elapsed() > EVENT_TIMEOUT,
                "acknowledged without a result"
            );
        }
        harness.older.send(&[Message::CallbackResult {
            number,
            known: true,
        }]);
        assert_eq!(call.join().expect("an answer").status, 200);
        Some(())
    });
}

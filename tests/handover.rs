//! What reaches a process that takes over between the older one's greeting and the end of its
//! snapshot. The test plays the older process, so that each order of events is forced.

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

/// How long the test waits for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Starts that are tried: the newer process serves alone if the older one's snapshot is not
/// complete within 1 s.
const MAX_STARTS: usize = 20;

/// The older process, as far as the newer one can tell.
struct OlderProcess {
    stream: UnixStream,
    link: Link,
    events: Vec<LinkEvent>,
}

impl OlderProcess {
    fn send(&mut self, messages: &[Message]) {
        let bytes: Vec<u8> = messages.iter().flat_map(frame).collect();
        self.stream.write_all(&bytes).expect("the link holds");
    }

    /// Completes the snapshot.
    fn complete_snapshot(&mut self) {
        self.send(&[Message::SnapshotComplete]);
        self.link.complete_snapshot();
    }

    /// Waits for an event that `wanted` accepts; `None` if the newer process has closed the link.
    fn wait_for<T>(&mut self, wanted: impl Fn(&LinkEvent) -> Option<T>) -> Option<T> {
        loop {
            if let Some(found) = self.events.iter().find_map(&wanted) {
                return Some(found);
            }
            let mut bytes = [0; 4096];
            let size = self
                .stream
                .read(&mut bytes)
                .expect("the newer process sends it in time");
            if size == 0 {
                return None;
            }
            self.link
                .receive(&bytes[..size], &mut self.events)
                .expect("valid messages");
        }
    }
}

/// The newer process with the older one, workers and discovery.
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
    /// Starts the real program, which has connected to the older process and greeted it, and has
    /// received nothing yet.
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
            .join(format!("hand-{name}-{}", std::process::id()));
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
            .expect("it greets");
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

    /// Greets the newer process.
    fn greet(&mut self) {
        let hello = frame(&self.older.link.hello());
        self.older
            .stream
            .write_all(&[greeting(), hello].concat())
            .expect("the link holds");
    }

    /// Sends a management request, and returns once the process has read it; the answer comes
    /// later.
    fn begin_management_request(&self, path: &str) -> TcpStream {
        let mut call = TcpStream::connect(self.management).expect("the management API listens");
        call.set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time limit");
        write!(call, "POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").expect("it is written");
        // Connections are read in the order in which they come.
        assert_eq!(
            send_request(self.management, "GET", "/v1/readyz", &[], b"")
                .expect("an answer")
                .status,
            503
        );
        call
    }

    /// Waits until the process has sent the older one this update; `None` if it has closed the link
    /// before.
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

/// Repeats a start until the newer process has waited for the older one's whole snapshot.
fn run_until_joined(name: &str, mut scenario: impl FnMut(&mut HandoverHarness) -> Option<()>) {
    for number in 0..MAX_STARTS {
        let mut harness = HandoverHarness::new(&format!("{name}-{number}"));
        if scenario(&mut harness).is_some() {
            return;
        }
    }
    panic!("in {MAX_STARTS} starts the newer process never waited");
}

fn suspension_changed(worker: &str, resume: bool) -> StateUpdate {
    StateUpdate::WorkerSuspensionChanged {
        worker: worker.into(),
        resume,
    }
}

/// Guards against a management request that is confirmed and lost: it came to the process that
/// takes over before the older one had greeted, or before its snapshot was complete.
#[test]
fn management_requests_before_the_end_of_the_snapshot_override_it() {
    let drain_changed = |draining, seconds_ago| StateUpdate::DrainChanged {
        draining,
        seconds_ago,
    };
    for greeted in [false, true] {
        for (name, path, snapshot, expected) in [
            // The older process has suspended the worker, and does not know yet that it is to be
            // resumed.
            (
                "resume",
                "/v1/route-workers/s-0/resume",
                suspension_changed("s-0", false),
                suspension_changed("s-0", true),
            ),
            // The older process, which still sends to the worker, must learn that it is suspended.
            (
                "suspend",
                "/v1/route-workers/s-0/suspend",
                suspension_changed("s-0", true),
                suspension_changed("s-0", false),
            ),
            // The older process drains, and the drain is ended.
            (
                "activate",
                "/v1/node/activate",
                drain_changed(true, 1.0),
                drain_changed(false, 0.0),
            ),
        ] {
            run_until_joined(name, |harness| {
                if greeted {
                    harness.greet();
                }
                let call = harness.begin_management_request(path);
                if !greeted {
                    harness.greet();
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

/// Guards against a request that is admitted by a process that does not know the older one's
/// requests yet.
#[test]
fn requests_wait_until_the_snapshot_is_complete() {
    run_until_joined("request", |harness| {
        harness.greet();
        let mut client = TcpStream::connect(harness.address).expect("a connection");
        client
            .set_read_timeout(Some(EVENT_TIMEOUT))
            .expect("a time limit");
        write!(client, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            .expect("it is written");
        // Two turns of its loop later the connection is still the older process's to accept.
        for _ in 0..2 {
            assert_eq!(
                send_request(harness.management, "GET", "/v1/readyz", &[], b"")
                    .expect("an answer")
                    .status,
                503
            );
        }
        // The listener is shared: it stays non-blocking, for the process would block at its next
        // accept otherwise.
        harness.listener.set_nonblocking(true).expect("a setting");
        // The newer process may have given up waiting already, and have accepted it.
        let accepted = harness.listener.accept().ok().map(|(stream, _)| stream);
        harness.older.complete_snapshot();
        harness.wait_for_callback_result()?;
        assert!(accepted.is_some(), "the newer process accepted it");
        // From now on the newer process accepts.
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
    /// Waits until the newer process has handled all messages: it answers a call-back after them.
    /// `None` if it has closed the link before.
    fn wait_for_callback_result(&mut self) -> Option<()> {
        let body = br#"{"id": "nobody's", "from": "s-0", "state": "done", "result": "x"}"#;
        let call = self.older.link.forward_callback(0.0, 77, body.to_vec());
        self.older.send(&[call]);
        self.older
            .wait_for(|event| matches!(event, LinkEvent::CallbackResult { .. }).then_some(()))
    }
}

/// Guards against a call-back that is acknowledged although no process has handled it: it came to
/// the newer process, as soon as that serves, on a request of the older one.
#[test]
fn callbacks_on_the_older_processs_requests_are_acknowledged_only_on_its_result() {
    run_until_joined("call", |harness| {
        harness.greet();
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
        // Other requests are answered meanwhile, the call-back is not acknowledged.
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

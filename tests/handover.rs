//! What comes to a process that takes over between the older one's greeting and its last word. The older process is played by the
//! test, so that each order is forced.

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

const LIMIT: Duration = Duration::from_secs(20);
/// So often a start is tried: the newer process serves alone where the older one has not told all in 1 s.
const TRIES: usize = 20;

/// The older process, as far as the newer one can tell.
struct Older {
    stream: UnixStream,
    link: Link,
    came: Vec<LinkEvent>,
}

impl Older {
    fn say(&mut self, messages: &[Message]) {
        let bytes: Vec<u8> = messages.iter().flat_map(frame).collect();
        self.stream.write_all(&bytes).expect("the link holds");
    }

    /// Says that all has been told.
    fn told(&mut self) {
        self.say(&[Message::Told]);
        self.link.told();
    }

    /// Waits for news of this kind; `None` if the newer process has ended the link.
    fn until<T>(&mut self, wanted: impl Fn(&LinkEvent) -> Option<T>) -> Option<T> {
        loop {
            if let Some(found) = self.came.iter().find_map(&wanted) {
                return Some(found);
            }
            let mut bytes = [0; 4096];
            let size = self
                .stream
                .read(&mut bytes)
                .expect("the newer process says it in time");
            if size == 0 {
                return None;
            }
            self.link
                .receive(&bytes[..size], &mut self.came)
                .expect("words that can be read");
        }
    }
}

struct Bed {
    listener: Socket,
    address: SocketAddr,
    door: SocketAddr,
    older: Older,
    process: Process,
    folder: PathBuf,
    workers: Vec<Worker>,
    _discovery: Discovery,
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.process.kill();
        self.workers.iter().for_each(Worker::stop);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Bed {
    /// The real program, which has called the older process and greeted it, and has heard nothing yet.
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
        let meeting =
            UnixListener::bind(folder.join("postproxy-n0.handover")).expect("a meeting place");
        let door = SocketAddr::new(loopback_addresses(1)[0], 8081);
        let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
        command
            .args(["serve", "--log-levels", "error"])
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("RELAY_MGMT", door.to_string())
            .env("RELAY_SOCKET_FD", listener.as_raw_fd().to_string())
            .env("TMPDIR", &folder);
        let process = Process::spawn(&mut command).expect("the program starts");
        let (stream, _) = meeting.accept().expect("it calls");
        stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
        let link = Link::new(Role::Older, "n0", &address.to_string(), 0.0);
        let mut older = Older {
            stream,
            link,
            came: Vec::new(),
        };
        older
            .until(|news| matches!(news, LinkEvent::Greeted).then_some(()))
            .expect("it greets");
        Self {
            listener,
            address,
            door,
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

    /// Calls at the door, and goes on once the process has read the call; what is answered comes later.
    fn calls(&self, path: &str) -> TcpStream {
        let mut call = TcpStream::connect(self.door).expect("the door is open");
        call.set_read_timeout(Some(LIMIT)).expect("a time limit");
        write!(call, "POST {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").expect("it is written");
        // Whoever comes later is read later.
        assert_eq!(
            send_request(self.door, "GET", "/v1/readyz", &[], b"")
                .expect("an answer")
                .status,
            503
        );
        call
    }

    /// Whether the process has told the older one this within its time to hear all.
    fn hears(&mut self, tale: &StateUpdate) -> Option<()> {
        self.older.until(|news| {
            matches!(news, LinkEvent::StateUpdate(told) if told == tale).then_some(())
        })
    }
}

fn answered(mut call: TcpStream) -> String {
    let mut answer = String::new();
    call.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Plays a start until the newer process has waited for the older one's last word.
fn play(name: &str, mut start: impl FnMut(&mut Bed) -> Option<()>) {
    for n in 0..TRIES {
        let mut bed = Bed::new(&format!("{name}-{n}"));
        if start(&mut bed).is_some() {
            return;
        }
    }
    panic!("in {TRIES} starts the newer process never waited");
}

fn tale(worker: &str, again: bool) -> StateUpdate {
    StateUpdate::Use {
        worker: worker.into(),
        again,
    }
}

/// Guards against an operator's word that is answered with a yes and lost: it was given to the process that takes over before
/// that had greeted, or had been told what was so before.
#[test]
fn an_operators_word_before_the_older_process_has_told_all_is_the_last_one() {
    let drained = |on, ago| StateUpdate::Drain { on, ago };
    for greeted in [false, true] {
        for (name, path, before, word) in [
            // The older process has it out of use, and does not know yet that it is wanted again.
            (
                "resume",
                "/v1/route-workers/s-0/resume",
                tale("s-0", false),
                tale("s-0", true),
            ),
            // It is to go out of use, which the older process, which goes on sending, has to know.
            (
                "suspend",
                "/v1/route-workers/s-0/suspend",
                tale("s-0", true),
                tale("s-0", false),
            ),
            // A drain of the older process that has been ended.
            (
                "activate",
                "/v1/node/activate",
                drained(true, 1.0),
                drained(false, 0.0),
            ),
        ] {
            play(name, |bed| {
                if greeted {
                    bed.greet();
                }
                let call = bed.calls(path);
                if !greeted {
                    bed.greet();
                }
                bed.older.say(&[Message::StateUpdate(before.clone())]);
                bed.older.told();
                bed.hears(&word)?;
                assert!(answered(call).starts_with("HTTP/1.1 200 "));
                Some(())
            });
        }
    }
}

/// Guards against a request that is taken by a process that does not know yet what the older one holds.
#[test]
fn requests_wait_for_the_older_process_until_it_has_told_all() {
    play("request", |bed| {
        bed.greet();
        let mut client = TcpStream::connect(bed.address).expect("a connection");
        client.set_read_timeout(Some(LIMIT)).expect("a time limit");
        write!(client, "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            .expect("it is written");
        // Two turns of its loop later it is still the older process's to take.
        for _ in 0..2 {
            assert_eq!(
                send_request(bed.door, "GET", "/v1/readyz", &[], b"")
                    .expect("an answer")
                    .status,
                503
            );
        }
        // The setting is the listener's, and so the process's, too: taken back, its next look would wait there.
        bed.listener.set_nonblocking(true).expect("a setting");
        let taken = bed.listener.accept();
        // Unless the newer process had waited for too long already.
        let taken = taken.ok().map(|(stream, _)| stream);
        bed.older.told();
        bed.hears_alive()?;
        assert!(taken.is_some(), "the newer process took it");
        // From now on it is the newer one's.
        let answer = send_request(
            bed.address,
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

impl Bed {
    /// Whether the newer process has heard the last word: it answers a call-back after it.
    fn hears_alive(&mut self) -> Option<()> {
        let body = br#"{"id": "nobody's", "from": "s-0", "state": "done", "result": "x"}"#;
        let call = self.older.link.call(0.0, 77, body.to_vec());
        self.older.say(&[call]);
        self.older
            .until(|news| matches!(news, LinkEvent::Called(..)).then_some(()))
    }
}

/// Guards against a call-back that is acknowledged though nobody has taken it: of a job that the older process holds, it came to the
/// newer one, as soon as that serves.
#[test]
fn a_call_back_on_the_older_processs_job_is_acknowledged_on_its_word_alone() {
    play("call", |bed| {
        bed.greet();
        bed.older.say(&[Message::StateUpdate(StateUpdate::Taken {
            id: "held".into(),
            counts: false,
        })]);
        bed.older.told();
        let at = bed.address;
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
        let number = bed.older.until(|news| match news {
            LinkEvent::Call(number, body) if body.windows(4).any(|four| four == b"held") => {
                Some(*number)
            }
            _ => None,
        })?;
        let start = Instant::now();
        // Other calls are answered meanwhile, this one is not.
        for _ in 0..5 {
            assert_eq!(
                send_request(bed.door, "GET", "/v1/readyz", &[], b"")
                    .expect("an answer")
                    .status,
                200
            );
            assert!(
                !call.is_finished() || start.elapsed() > LIMIT,
                "acknowledged without a word"
            );
        }
        bed.older.say(&[Message::Called {
            number,
            known: true,
        }]);
        assert_eq!(call.join().expect("an answer").status, 200);
        Some(())
    });
}

//! The real program as operators run it, under load from stand-in clients and workers: workers taken out of use, the
//! node drained, its process replaced while it serves, on a listener that all processes inherit.

use postproxy::net::transport::http::{self, ParseStatus};
use postproxy::stand_ins::{Discovery, Worker, ask};
use postproxy_fault_injection::addresses;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(20);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One process of the node, and its door.
struct Process {
    it: postproxy_fault_injection::Process,
    door: SocketAddr,
}

impl Process {
    fn post(&self, path: &str) -> u16 {
        let asked = Instant::now();
        let status = ask(self.door, "POST", path, &[], b"")
            .expect("an answer")
            .status;
        assert!(
            asked.elapsed() < ms(1000),
            "{path} took {:?}",
            asked.elapsed()
        );
        status
    }

    /// Waits for its end; how long that took, and whether it ended well.
    fn end(&mut self) -> (Duration, bool) {
        let start = Instant::now();
        let mut ended = None;
        let end = || {
            ended = self.it.ended();
            ended.is_some()
        };
        assert!(
            postproxy_fault_injection::wait(LIMIT, end),
            "it does not end"
        );
        (start.elapsed(), ended == Some(true))
    }
}

struct Bed {
    listener: Socket,
    address: SocketAddr,
    folder: PathBuf,
    workers: Vec<Worker>,
    _discovery: Discovery,
}

impl Bed {
    fn new(name: &str) -> Self {
        Self::with(name, &[15, 55, 95, 135])
    }

    /// Workers whose jobs take so many milliseconds each.
    fn with(name: &str, times: &[u64]) -> Self {
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
        let worker = |(n, time): (usize, &u64)| {
            Worker::start(&format!("s-{n}"), ms(*time)).expect("a worker")
        };
        let workers: Vec<Worker> = times.iter().enumerate().map(worker).collect();
        workers.iter().for_each(|worker| worker.reports_to(address));
        let discovery = Discovery::start(&workers).expect("discovery");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("ops-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("tmp")).expect("a folder");
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../examples/config.json")).expect("the example");
        config["listen"] = address.to_string().into();
        config["discovery"] = discovery.address.to_string().into();
        config["known"] = serde_json::Value::Null;
        std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
        Self {
            listener,
            address,
            folder,
            workers,
            _discovery: discovery,
        }
    }

    fn command(&self) -> (Command, SocketAddr) {
        let door = SocketAddr::new(addresses(1)[0], 8081);
        let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
        command
            .args(["serve", "--log-levels", "error"])
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("RELAY_MGMT", door.to_string())
            .env("RELAY_SOCKET_FD", self.listener.as_raw_fd().to_string())
            .env("TMPDIR", self.folder.join("tmp"));
        (command, door)
    }

    /// Starts a process and waits for its yes.
    fn start(&self) -> Process {
        self.start_with(|_| {}).0
    }

    fn start_with(&self, change: impl FnOnce(&mut Command)) -> (Process, Duration) {
        let (mut command, door) = self.command();
        change(&mut command);
        let start = Instant::now();
        let process = Process {
            it: postproxy_fault_injection::Process::of(&mut command).expect("the program starts"),
            door,
        };
        while !ask(door, "GET", "/v1/readyz", &[], b"").is_ok_and(|a| a.status == 200) {
            assert!(start.elapsed() < ms(6000), "its yes is late");
            sleep(ms(2));
        }
        (process, start.elapsed())
    }

    fn ready(&self) -> u16 {
        ask(
            self.address,
            "GET",
            "/-/ready",
            &[("Connection", "close")],
            b"",
        )
        .expect("an answer")
        .status
    }

    fn runs(&self) -> HashMap<String, u32> {
        let mut runs = HashMap::new();
        let all = self.workers.iter().flat_map(Worker::runs);
        all.for_each(|(job, times)| *runs.entry(job).or_default() += times);
        runs
    }

    fn run_by(&self, worker: usize) -> u32 {
        self.workers[worker].runs().values().sum()
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.workers.iter().for_each(Worker::stop);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    /// A connection that ended in place of an answer, or was refused.
    unheard: AtomicU64,
    /// How often a client has asked again for each job, after such an end.
    again: Mutex<HashMap<String, u32>>,
}

/// Clients that keep their connections, each with one job after another.
struct Load {
    over: Arc<AtomicBool>,
    counts: Arc<Counts>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(node: SocketAddr, clients: u64) -> Self {
        let (over, counts) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Counts::default()),
        );
        let threads = (0..clients)
            .map(|number| {
                let (over, counts) = (over.clone(), counts.clone());
                thread::spawn(move || client(number, node, &over, &counts))
            })
            .collect();
        Self {
            over,
            counts,
            threads,
        }
    }

    fn served(&self) -> u64 {
        self.counts.served.load(Ordering::SeqCst)
    }

    /// Waits until so many more jobs have been served.
    fn more(&self, jobs: u64) {
        let (before, start) = (self.served(), Instant::now());
        while self.served() < before + jobs {
            assert!(start.elapsed() < LIMIT, "nothing is served any more");
            sleep(ms(2));
        }
    }

    /// How many were served, refused, and not heard.
    fn end(self) -> (u64, u64, u64) {
        self.over.store(true, Ordering::SeqCst);
        self.threads
            .into_iter()
            .for_each(|thread| thread.join().expect("a client without a complaint"));
        let get = |what: &AtomicU64| what.load(Ordering::SeqCst);
        (
            get(&self.counts.served),
            get(&self.counts.refused),
            get(&self.counts.unheard),
        )
    }
}

fn answered(stream: &mut TcpStream) -> Option<http::Response> {
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        let size = stream.read(&mut bytes).ok().filter(|size| *size > 0)?;
        input.extend(&bytes[..size]);
        if let ParseStatus::Complete {
            message: response, ..
        } = http::read_response(&input, false, http::MAX_BODY_BYTES).ok()?
        {
            return Some(response);
        }
    }
}

fn client(number: u64, node: SocketAddr, over: &AtomicBool, counts: &Counts) {
    let mut kept: Option<TcpStream> = None;
    for job in 0.. {
        let (key, body) = (
            format!("key-{number}-{job}"),
            format!("work {number} {job}"),
        );
        let path = if job % 2 == 0 {
            "/day-plan/x"
        } else {
            "/reroute/x"
        };
        for attempt in 0.. {
            if over.load(Ordering::SeqCst) {
                return;
            }
            let mut stream = kept
                .take()
                .unwrap_or_else(|| TcpStream::connect(node).expect("a connection"));
            stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
            let head = format!(
                "POST {path} HTTP/1.1\r\nX-Request-Id: id-{number}-{job}-{attempt}\r\nIdempotency-Key: {key}\r\n\
                 X-Deadline: 6\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            // In two pieces, so that processes change in the midst of requests, too.
            let sent = stream.write_all(head.as_bytes()).and_then(|()| {
                if job % 3 == 0 {
                    sleep(ms(1));
                }
                stream.write_all(body.as_bytes())
            });
            match sent.ok().and_then(|()| answered(&mut stream)) {
                Some(answer) if answer.status == 200 => {
                    assert_eq!(
                        answer.body,
                        body.to_uppercase().as_bytes(),
                        "an answer that no worker made"
                    );
                    counts.served.fetch_add(1, Ordering::SeqCst);
                    kept = answer.keep_alive.then_some(stream);
                    sleep(ms(number % 4 * 3));
                    break;
                }
                Some(answer) if answer.status == 503 => {
                    counts.refused.fetch_add(1, Ordering::SeqCst);
                    sleep(ms(20));
                }
                Some(answer) => panic!("{key}: {}", answer.status),
                None => {
                    counts.unheard.fetch_add(1, Ordering::SeqCst);
                    *counts
                        .again
                        .lock()
                        .expect("a lock")
                        .entry(key.clone())
                        .or_default() += 1;
                    sleep(ms(5));
                }
            }
        }
    }
}

/// Guards against a job that is lost, turned back unheard or run twice when the process is replaced, against a
/// call-back that meets the wrong process, and against a replacement that takes long. Ten in a row, under load.
#[test]
fn ten_replacements_under_load_lose_nothing() {
    let bed = Bed::new("replace");
    let mut process = bed.start();
    let load = Load::start(bed.address, 8);
    load.more(40);
    let mut slowest = Duration::ZERO;
    for _ in 0..10 {
        let (next, yes) = bed.start_with(|_| {});
        slowest = slowest.max(yes);
        process.it.end();
        let (ended, well) = process.end();
        assert!(
            well && ended < ms(3700),
            "the old process ended after {ended:?}, well: {well}"
        );
        process = next;
        load.more(40);
    }
    // Two in quick succession, the second before the first one's predecessor has ended.
    let second = bed.start();
    process.it.end();
    let third = bed.start();
    second.it.end();
    load.more(40);
    let mut ended = [process, second];
    assert!(ended.iter_mut().all(|process| process.end().1));
    load.more(40);
    let (served, refused, unheard) = load.end();
    let runs = bed.runs();
    let twice: Vec<_> = runs.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "run twice: {twice:?}");
    println!(
        "12 replacements: {served} served, {refused} refused, {unheard} unheard, slowest yes {slowest:?}"
    );
    assert_eq!((unheard, refused), (0, 0), "of {served}");
    assert!(slowest < ms(3000), "{slowest:?}");
    drop(third);
}

/// Guards against a job that dies with the process that took it: held jobs move with their clients, also through two
/// replacements, and what their workers call back finds them. So the old process ends long before its jobs do.
#[test]
fn held_jobs_outlive_the_process_that_took_them() {
    let bed = Bed::with("long", &[2500]);
    let mut first = bed.start();
    let clients: Vec<JoinHandle<Option<u16>>> = (0..12)
        .map(|n| {
            let at = bed.address;
            thread::spawn(move || {
                let id = format!("long-{n}");
                let fields = [
                    ("X-Request-Id", id.as_str()),
                    ("Idempotency-Key", &id),
                    ("X-Deadline", "6"),
                ];
                let path = if n % 2 == 0 {
                    "/day-plan/x"
                } else {
                    "/reroute/x"
                };
                let answer = ask(at, "POST", path, &fields, b"long").ok()?;
                assert!(answer.status != 200 || answer.body == b"LONG");
                Some(answer.status)
            })
        })
        .collect();
    // One that gives up: the process that has its job by then calls it back.
    let mut leaves = TcpStream::connect(bed.address).expect("a connection");
    write!(
        leaves,
        "POST /reroute/x HTTP/1.1\r\nX-Request-Id: gone\r\nIdempotency-Key: gone\r\n"
    )
    .and_then(|()| write!(leaves, "Content-Length: 1\r\n\r\ng"))
    .expect("it is written");
    let start = Instant::now();
    while bed.runs().len() < 13 {
        assert!(start.elapsed() < LIMIT, "they do not arrive");
        sleep(ms(5));
    }
    let mut second = bed.start();
    first.it.end();
    let (ended, well) = first.end();
    assert!(
        well && ended < ms(1500),
        "{ended:?}: it waited for its jobs"
    );
    // What is held elsewhere is held here.
    let again = [("X-Request-Id", "long-3"), ("Idempotency-Key", "other")];
    assert_eq!(
        ask(bed.address, "POST", "/reroute/x", &again, b"x")
            .expect("an answer")
            .status,
        409
    );
    let mut third = bed.start();
    second.it.end();
    let (ended, well) = second.end();
    assert!(
        well && ended < ms(1500),
        "{ended:?}: it waited for its jobs"
    );
    drop(leaves);
    let answers: Vec<Option<u16>> = clients
        .into_iter()
        .map(|c| c.join().expect("no complaint"))
        .collect();
    assert!(
        answers.iter().all(|status| *status == Some(200)),
        "{answers:?}"
    );
    let runs = bed.runs();
    assert!(
        runs.len() == 13 && runs.values().all(|times| *times == 1),
        "{runs:?}"
    );
    let called = start.elapsed();
    while bed.workers[0].acknowledged().len() < 13 {
        assert!(
            start.elapsed() < called + LIMIT,
            "a call-back is not answered"
        );
        sleep(ms(5));
    }
    third.it.end();
    assert!(third.end().1);
}

/// Guards against anything new that goes to a worker out of use, also through another process and over a
/// replacement, and against one back in use that stays idle.
#[test]
fn a_worker_out_of_use_stays_out_over_a_replacement() {
    let bed = Bed::new("suspend");
    let mut process = bed.start();
    let load = Load::start(bed.address, 6);
    load.more(60);
    // The first six may all go to others, which are then known to have room: one job in twenty goes to one not heard of.
    assert!(
        postproxy_fault_injection::wait(LIMIT, || bed.run_by(0) > 0),
        "it is never drawn"
    );
    assert_eq!(process.post("/v1/route-workers/nobody/suspend"), 404);
    assert_eq!(process.post("/v1/route-workers/s-0/suspend"), 200);
    assert_eq!(
        process.post("/v1/route-workers/s%2D0/suspend"),
        200,
        "twice"
    );
    sleep(ms(50));
    let before = bed.run_by(0);
    load.more(60);
    let mut next = bed.start();
    assert_eq!(next.post("/v1/route-workers/s-1/suspend"), 200);
    sleep(ms(50));
    let other = bed.run_by(1);
    load.more(30);
    process.it.end();
    assert!(process.end().1);
    load.more(60);
    assert_eq!(
        (bed.run_by(0), bed.run_by(1)),
        (before, other),
        "what was out got work"
    );
    assert_eq!(next.post("/v1/route-workers/s-0/resume"), 200);
    let start = Instant::now();
    while bed.run_by(0) == before {
        assert!(start.elapsed() < ms(5000), "back in use, and idle");
        sleep(ms(5));
    }
    assert_eq!(bed.run_by(1), other);
    let (served, refused, unheard) = load.end();
    println!(
        "{served} served, {refused} refused, {unheard} unheard; used again after {:?}",
        start.elapsed()
    );
    assert_eq!((refused, unheard), (0, 0));
    next.it.end();
    assert!(next.end().1);
}

/// Guards against a drained node that still says yes or keeps a client's connection, against one that does not come
/// back, and against a drain that ends with a replacement.
#[test]
fn a_drained_node_sends_its_clients_away_and_comes_back() {
    let bed = Bed::new("drain");
    let mut process = bed.start();
    assert_eq!(
        (bed.ready(), process.post("/v1/node/activate")),
        (200, 200),
        "without a drain, nothing to do"
    );
    let mut kept: Vec<TcpStream> = (0..6)
        .map(|n| {
            let mut stream = TcpStream::connect(bed.address).expect("a connection");
            stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
            write!(
                stream,
                "POST /reroute/x HTTP/1.1\r\nX-Request-Id: k-{n}\r\nIdempotency-Key: k-{n}\r\n"
            )
            .and_then(|()| write!(stream, "Content-Length: 1\r\n\r\nk"))
            .expect("it is written");
            assert_eq!(
                answered(&mut stream).map(|a| (a.status, a.keep_alive)),
                Some((200, true))
            );
            stream
        })
        .collect();
    assert_eq!(process.post("/v1/node/drain"), 200);
    let start = Instant::now();
    assert_eq!(bed.ready(), 500);
    assert_eq!(process.post("/v1/node/drain"), 200, "twice");
    // New clients are served, and sent away.
    let job = [("X-Request-Id", "new"), ("Idempotency-Key", "new")];
    let answer = ask(bed.address, "POST", "/reroute/x", &job, b"n").expect("an answer");
    assert_eq!((answer.status, answer.keep_alive), (200, false));
    let (mut next, _) = bed.start_with(|_| {});
    process.it.end();
    assert_eq!(bed.ready(), 500, "the drain holds over the replacement");
    for stream in &mut kept {
        assert_eq!(stream.read(&mut [0; 64]).expect("its end"), 0);
    }
    assert!(
        start.elapsed() < ms(3500),
        "closed after {:?}",
        start.elapsed()
    );
    assert!(process.end().1);
    assert_eq!(next.post("/v1/node/activate"), 200);
    assert_eq!(bed.ready(), 200);
    next.it.end();
    assert!(next.end().1);
}

/// Guards against a start that fails or takes long because of what stands where processes meet: nothing, a file, the
/// socket of one that is gone, a folder that is none, a peer that says nothing, speaks another language, or stalls.
#[test]
fn a_process_serves_whatever_stands_where_processes_meet() {
    let bed = Bed::new("meet");
    let at = bed.folder.join("tmp").join("postproxy-n0.handover");
    let serves = |what: &str, most: u64, change: &dyn Fn(&mut Command)| {
        let (process, yes) = bed.start_with(|command| change(command));
        assert!(yes < ms(most), "{what}: {yes:?}");
        let id = format!("m-{}", what.replace(' ', "-"));
        let job = [
            ("X-Request-Id", id.as_str()),
            ("Idempotency-Key", &id),
            ("Connection", "close"),
        ];
        assert_eq!(
            ask(bed.address, "POST", "/reroute/x", &job, b"m")
                .expect("an answer")
                .status,
            200,
            "{what}"
        );
        drop(process);
    };
    serves("nothing", 1000, &|_| {});
    serves("the socket of one that was killed", 1000, &|_| {});
    std::fs::remove_file(&at).expect("it was left");
    std::fs::write(&at, b"a file").expect("a file");
    serves("a file", 1000, &|_| {});
    serves("no folder", 1000, &|command| {
        command
            .env("TMPDIR", "/dev/null/none")
            .stderr(Stdio::null());
    });
    serves("none named", 1000, &|command| {
        command.env_remove("TMPDIR").stderr(Stdio::null());
    });
    let long = bed.folder.join("l".repeat(120));
    std::fs::create_dir_all(&long).expect("a folder");
    serves("a long path", 1000, &|command| {
        command.env("TMPDIR", &long);
    });
    assert!(long.join("postproxy-n0.handover").exists());
    for words in [
        &b""[..],
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        b"ppho\r\n\xff\xff",
        b"ppho\r\n\x00\x01\xff\xff\xff\xff",
    ] {
        let _ = std::fs::remove_file(&at);
        let peer = UnixListener::bind(&at).expect("a socket");
        let held = thread::spawn(move || {
            let (mut stream, _) = peer.accept().expect("a link");
            stream.write_all(words).expect("it is written");
            sleep(ms(2500));
        });
        serves("another peer", 2500, &|command| {
            command.stderr(Stdio::null());
        });
        held.join().expect("it ends");
    }
    // One that is stopped in its tracks, and one that is killed while the next takes over.
    let (mut first, _) = bed.start_with(|_| {});
    first.it.pause();
    let (second, yes) = bed.start_with(|command| {
        command.stderr(Stdio::null());
    });
    assert!(yes < ms(2500), "{yes:?}");
    assert_eq!(second.post("/v1/route-workers/s-0/suspend"), 200);
    drop(first);
    let (third, _) = bed.start_with(|_| {});
    drop(second);
    assert_eq!(bed.ready(), 200);
    assert_eq!(third.post("/v1/route-workers/s-0/resume"), 200);
}

/// Guards against serving on what is no listener of the node, and against a message that does not name it.
#[test]
fn what_is_no_listener_of_the_node_ends_the_start() {
    let bed = Bed::new("fd");
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    other
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a port");
    other.set_cloexec(false).expect("it is inherited");
    let refused = |number: String, word: &str| {
        let (mut command, _) = bed.command();
        let output = command
            .env("RELAY_SOCKET_FD", &number)
            .output()
            .expect("the program starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{number}: {text}");
        assert!(
            text.contains("RELAY_SOCKET_FD") && text.contains(word) && text.lines().count() == 1,
            "{text}"
        );
    };
    refused("x".into(), "above 2");
    refused("1".into(), "above 2");
    refused("900".into(), "not open");
    refused(other.as_raw_fd().to_string(), "does not listen");
    other.listen(1).expect("it listens");
    refused(other.as_raw_fd().to_string(), "listens at 127.0.0.1:");
    let (mut command, _) = bed.command();
    let output = command
        .env("RELAY_MGMT", bed.address.to_string())
        .output()
        .expect("the program starts");
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("RELAY_MGMT"),
        "{output:?}"
    );
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address").to_string();
    let (mut command, _) = bed.command();
    let output = command
        .env("RELAY_MGMT", &at)
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(1));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains(&at),
        "an address in use: {output:?}"
    );
    let (mut command, _) = bed.command();
    let output = command
        .env("RELAY_MGMT", "here")
        .output()
        .expect("the program starts");
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("RELAY_MGMT: 'here'"),
        "{output:?}"
    );
}

/// Guards against a signal that comes at the wrong moment: to stop before the yes, in a drain, to reload in each; and
/// against an old process that is killed while it hands over, under load: what it held may fail, nothing runs twice,
/// and the new one serves.
#[test]
fn signals_at_any_moment_end_or_change_what_they_should() {
    let bed = Bed::new("signals");
    let serves = |id: &str| {
        let job = [
            ("X-Request-Id", id),
            ("Idempotency-Key", id),
            ("Connection", "close"),
        ];
        ask(bed.address, "POST", "/reroute/x", &job, b"s")
            .expect("an answer")
            .status
    };
    let mut first = bed.start();
    first.it.pause();
    let (mut command, door) = bed.command();
    let mut early = Process {
        it: postproxy_fault_injection::Process::of(command.stderr(Stdio::null()))
            .expect("the program starts"),
        door,
    };
    let start = Instant::now();
    while ask(door, "GET", "/v1/readyz", &[], b"").is_err() {
        assert!(start.elapsed() < LIMIT, "its door does not open");
        sleep(ms(2));
    }
    let answer = ask(door, "GET", "/v1/readyz", &[], b"").expect("an answer");
    assert_eq!(answer.status, 503, "it waits for the older one");
    early.it.reload();
    early.it.end();
    let (ended, well) = early.end();
    assert!(well && ended < ms(800), "{ended:?}");
    first.it.wake();
    assert_eq!(serves("after"), 200, "the older one goes on");
    // In a drain: a reload changes nothing of it, a stop ends it.
    assert_eq!(first.post("/v1/node/drain"), 200);
    first.it.reload();
    assert_eq!((serves("drained"), bed.ready()), (200, 500));
    let (mut second, _) = bed.start_with(|_| {});
    second.it.reload();
    let mut first = first;
    first.it.reload();
    first.it.end();
    first.it.reload();
    assert!(first.end().1);
    assert_eq!((serves("over"), bed.ready()), (200, 500));
    second.it.end();
    assert!(second.end().1, "drained, and nobody takes over");
    // Killed while it hands over.
    let mut process = bed.start();
    let load = Load::start(bed.address, 8);
    for _ in 0..6 {
        load.more(30);
        let next = bed.start();
        process.it.end();
        process.it.kill();
        process.end();
        process = next;
    }
    load.more(60);
    let counts = load.counts.clone();
    let (served, refused, unheard) = load.end();
    let (runs, again) = (bed.runs(), counts.again.lock().expect("a lock").clone());
    let asked = |job: &String| 1 + again.get(job).copied().unwrap_or(0);
    let more: Vec<_> = runs
        .iter()
        .filter(|(job, times)| **times > asked(job))
        .collect();
    assert!(more.is_empty(), "run more often than asked for: {more:?}");
    println!("6 kills in a handover: {served} served, {refused} refused, {unheard} unheard");
    assert!(
        served > 240 && unheard <= 6 * 8,
        "{served} served, {unheard} unheard"
    );
}

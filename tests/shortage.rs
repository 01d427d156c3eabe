//! The real program where something is short: descriptors, discovery, time at a start.

use postproxy::net::transport::http;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::loopback_addresses;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The longest that is waited for what must come.
const MOST: Duration = Duration::from_secs(30);
/// From when discovery can be reached again, what it has counts as told; a drain has its grace beside it.
const TOLD: Duration = Duration::from_millis(6000 + 300);
/// By when nine in ten restarted processes are ready.
const READY: Duration = Duration::from_secs(10);

/// A program that does not outlive its test.
struct Running {
    child: Child,
    at: SocketAddr,
    folder: PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address at which nobody listens, and which nobody else is given.
fn free() -> SocketAddr {
    SocketAddr::new(loopback_addresses(1)[0], 8080)
}

fn member(name: &str, at: SocketAddr) -> serde_json::Value {
    serde_json::json!({"id": name, "host_port": at.to_string(), "locality": "riga", "flavor": "std-4", "cell": 1,
        "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

impl Running {
    /// Starts the program at its limit of descriptors, with this list.
    fn start(
        name: &str,
        discovery: SocketAddr,
        known: &[serde_json::Value],
        sockets: usize,
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("postproxy-shortage-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let at = free();
        let config = serde_json::json!({
            "name": name, "listen": at.to_string(), "discovery": discovery.to_string(), "seed": "7",
            "limits": {"sockets": sockets},
            "known": {"revision": 1, "complete": true, "members": known},
            "settings": {"balancers": 30, "tick": 0.002, "discovery": "on_request", "dcs": ["riga"],
                "machine-types": ["std-4"],
                "services": [{"name": "reroute", "effect": "pure", "aim": 1.0, "late-value": 1.0, "deadline": 6.0}],
                "limits": {"cancel": true, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3}}
        });
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).expect("it is written");
        let child = Command::new("sh")
            .args([
                "-c",
                &format!("ulimit -n {sockets}; exec \"$0\""),
                env!("CARGO_BIN_EXE_postproxy"),
            ])
            .env("RELAY_CONFIG", &path)
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(folder.join("log")).expect("a log"))
            .spawn()
            .expect("the program starts");
        Self { child, at, folder }
    }

    fn ready(&self) -> bool {
        send_request(self.at, "GET", "/-/ready", &[("Connection", "close")], b"")
            .is_ok_and(|answer| answer.status == 200)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Processor time used so far, in ticks of the system: a hundred a second.
    fn used(&self) -> u64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("it runs");
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        fields[11].parse::<u64>().expect("a number") + fields[12].parse::<u64>().expect("a number")
    }

    /// The most memory it has held so far, in kB.
    fn most_memory(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a figure");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("it runs")
            .count()
    }
}

/// Waits for a condition; how long it took.
fn until(what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < MOST, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}

/// Connections that lie idle, and are opened anew when they are closed, as clients do that wait for better times.
fn crowd(at: SocketAddr, crowd: &mut Vec<TcpStream>, size: usize) {
    crowd.retain_mut(|stream| {
        let _ = stream.set_nonblocking(true);
        !matches!(stream.read(&mut [0; 512]), Ok(0))
            && stream.take_error().is_ok_and(|error| error.is_none())
    });
    while crowd.len() < size {
        let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else {
            return;
        };
        // Every other one has asked for something and rests, and the rest says nothing.
        if crowd.len().is_multiple_of(2) {
            let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        crowd.push(stream);
    }
}

fn job(at: SocketAddr, id: &str) -> Option<http::Response> {
    let fields = [
        ("X-Request-Id", id),
        ("X-Deadline", "5"),
        ("Connection", "close"),
    ];
    send_request(at, "POST", "/reroute/x", &fields, b"work").ok()
}

/// Guards against a node that can't dial discovery or a worker because idle clients hold all its descriptors, that does not
/// answer whether it is ready, or that spins on a listener from which it can accept nothing. While discovery is down clients
/// come and stay; then it is back, and what it has is told in time.
#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    let discovery = free();
    let time = Duration::from_millis(5);
    let workers: Vec<Worker> = ["old", "new"]
        .iter()
        .map(|name| Worker::start(name, time).expect("a worker"))
        .collect();
    let known = [
        member("old", workers[0].address),
        member("new", workers[1].address),
    ];
    let running = Running::start("idle", discovery, &known, 64);
    until("it is ready", || running.ready());
    workers
        .iter()
        .for_each(|worker| worker.report_to(running.at));
    let mut idle = Vec::new();
    for n in 0..5 {
        crowd(running.at, &mut idle, 200);
        assert!(until("ready", || running.ready()) < Duration::from_secs(3));
        let answer = job(running.at, &format!("before-{n}")).expect("an answer");
        assert_eq!(answer.status, 200, "a worker is dialled: {}", running.log());
    }
    assert!(running.descriptors() <= 64);
    crowd(running.at, &mut idle, 200);
    let (before, start) = (running.used(), Instant::now());
    std::thread::sleep(Duration::from_secs(1));
    let used = (running.used() - before) as f64 / 100.0 / start.elapsed().as_secs_f64();
    assert!(used < 0.3, "{used:.2} of a core while nothing is asked for");
    let held = running.descriptors();
    assert!(
        held >= 36,
        "the clients fill what there is for them: {held}"
    );
    // It is back, and one worker leaves. What is told by then is told, however the clients come and go meanwhile.
    let back = Discovery::start_at(discovery, &workers).expect("discovery");
    back.drain("old");
    let (start, mut n) = (Instant::now(), 0);
    while start.elapsed() < TOLD {
        n += 1;
        crowd(running.at, &mut idle, 200);
        job(running.at, &format!("after-{n}"));
    }
    let old = workers[0].runs().len();
    assert!(
        old > 0 && n > 20,
        "it was sent to before, and the node went on: {old}, {n}"
    );
    for n in 0..10 {
        assert_eq!(
            job(running.at, &format!("last-{n}")).map(|answer| answer.status),
            Some(200)
        );
    }
    assert_eq!(
        workers[0].runs().len(),
        old,
        "nothing goes to the one that leaves: {}",
        running.log()
    );
}

/// Guards against a flood that takes the others' places, memory or descriptors: clients that send much at once and go, with an end or a
/// reset, come back at once, and say nothing, half a request, or what can't be read. Beside them others work as before.
#[test]
fn who_sends_much_and_goes_leaves_the_others_served() {
    let worker = Worker::start("s-0", Duration::from_millis(5)).expect("a worker");
    let running = Running::start("flood", free(), &[member("s-0", worker.address)], 128);
    until("it is ready", || running.ready());
    worker.report_to(running.at);
    let (at, over) = (running.at, std::sync::atomic::AtomicBool::new(false));
    let going = || !over.load(std::sync::atomic::Ordering::SeqCst);
    let much = vec![b'x'; 300 << 10];
    let texts: [&[u8]; 5] = [
        b"",
        b"POST /reroute/x HTTP/1.1\r\nX-Requ",
        b"no request\r\n\r\n",
        b"POST /reroute/x HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 99999999\r\n\r\n",
        b"GET /-/ready HTTP/1.1\r\n\r\n",
    ];
    std::thread::scope(|scope| {
        for flooder in 0..6usize {
            let (going, much) = (&going, &much);
            scope.spawn(move || {
                for n in flooder.. {
                    if !going() {
                        return;
                    }
                    let burst: Vec<TcpStream> = (0..8)
                        .filter_map(|_| {
                            TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()
                        })
                        .collect();
                    for (mut stream, k) in burst.into_iter().zip(0..) {
                        let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
                        let _ = stream
                            .write_all(texts[(n + k) % texts.len()])
                            .and_then(|()| stream.write_all(much));
                        if k % 2 == 0 {
                            let _ =
                                socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        }
                    }
                }
            });
        }
        let others: Vec<_> = (0..4)
            .map(|client| {
                scope.spawn(move || {
                    let answers = (0..50).map(|n| {
                        job(at, &format!("other-{client}-{n}")).map(|answer| answer.status)
                    });
                    answers.filter(|status| *status == Some(200)).count()
                })
            })
            .collect();
        let served: Vec<usize> = others
            .into_iter()
            .map(|other| other.join().expect("a client"))
            .collect();
        let (descriptors, most) = (running.descriptors(), running.most_memory());
        over.store(true, std::sync::atomic::Ordering::SeqCst);
        assert!(
            served.iter().all(|served| *served == 50),
            "{served:?} of 50 each"
        );
        assert!(
            descriptors <= 128 && most < 64 << 10,
            "{descriptors} descriptors, {most} kB"
        );
    });
    // What was opened for it is closed again.
    until("the flood's connections end", || running.descriptors() < 40);
}

/// What discovery is like when processes start.
#[derive(Clone, Copy, Debug)]
enum Is {
    Down,
    /// It accepts nothing: what is sent there stays unread.
    Silent,
    /// It answers after 1.9 s.
    Slow,
    /// It has too many callers.
    Crowded,
}

fn discovery(is: Is) -> (SocketAddr, Option<TcpListener>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    match is {
        // Where nobody else can come to listen.
        Is::Down => (free(), None),
        Is::Silent => (at, Some(listener)),
        Is::Slow | Is::Crowded => {
            let kept = listener.try_clone().expect("a listener");
            std::thread::spawn(move || {
                for mut stream in listener.incoming().flatten() {
                    std::thread::spawn(move || {
                        while matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
                            let text = match is {
                                Is::Crowded => {
                                    "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_owned()
                                }
                                _ => {
                                    std::thread::sleep(Duration::from_millis(1900));
                                    let body = r#"{"revision":2,"complete":false,"members":[]}"#;
                                    format!(
                                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                                        body.len()
                                    )
                                }
                            };
                            if stream.write_all(text.as_bytes()).is_err() {
                                return;
                            }
                        }
                    });
                }
            });
            (at, Some(kept))
        }
    }
}

/// Guards against a start that waits for a discovery which is down, silent, slow or crowded, with a list that is old or none at
/// all, while clients fill the descriptors; against one that is ready and can't serve.
#[test]
fn restarted_processes_are_ready_whatever_discovery_is_like() {
    let worker = Worker::start("old", Duration::from_millis(5)).expect("a worker");
    let gone = free();
    let mut times = Vec::new();
    for is in [Is::Down, Is::Silent, Is::Slow, Is::Crowded] {
        let (at, _kept) = discovery(is);
        // One that is gone long since and one that is there; and nobody.
        for known in [
            vec![member("gone", gone), member("old", worker.address)],
            Vec::new(),
        ] {
            let name = format!("{is:?}-{}", known.len());
            let start = Instant::now();
            let running = Running::start(&name, at, &known, 64);
            let mut idle = Vec::new();
            until(&name, || {
                crowd(running.at, &mut idle, 100);
                running.ready()
            });
            times.push((start.elapsed(), name));
            worker.report_to(running.at);
            if known.len() == 2 {
                let served = |n: u32| {
                    job(running.at, &format!("{is:?}-{n}")).is_some_and(|a| a.status == 200)
                };
                assert!((0..3).all(served), "{is:?}: {}", running.log());
            }
        }
    }
    let late: Vec<_> = times.iter().filter(|(time, _)| *time > READY).collect();
    assert!(
        late.len() * 10 <= times.len(),
        "{late:?} of {}",
        times.len()
    );
}

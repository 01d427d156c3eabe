//! The real program with a shortage of descriptors, without discovery, and under floods of
//! connections.

use postproxy::net::transport::http;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::loopback_addresses;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Maximum time that the tests wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// How long after discovery is reachable again the node may still use its old list: 6 s to poll it,
/// and a grace period of 300 ms for a drain.
const LIST_UPDATE_TIMEOUT: Duration = Duration::from_millis(6000 + 300);
/// Time within which nine in ten restarted processes must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A running program, which is killed when it is dropped.
struct RunningNode {
    child: Child,
    at: SocketAddr,
    folder: PathBuf,
}

impl Drop for RunningNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns an address on which no process listens and which no other test uses.
fn unused_address() -> SocketAddr {
    SocketAddr::new(loopback_addresses(1)[0], 8080)
}

fn member(name: &str, at: SocketAddr) -> serde_json::Value {
    serde_json::json!({"id": name, "host_port": at.to_string(), "locality": "riga", "flavor": "std-4", "cell": 1,
        "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

impl RunningNode {
    /// Starts the program with a limit on descriptors and a cached worker list.
    fn start(
        name: &str,
        discovery: SocketAddr,
        known: &[serde_json::Value],
        sockets: usize,
    ) -> Self {
        let folder =
            std::env::temp_dir().join(format!("postproxy-shortage-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let at = unused_address();
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

    fn is_ready(&self) -> bool {
        send_request(self.at, "GET", "/-/ready", &[("Connection", "close")], b"")
            .is_ok_and(|answer| answer.status == 200)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Returns the CPU time used so far, in clock ticks of 10 ms.
    fn processor_ticks(&self) -> u64 {
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

    /// Returns the peak memory use of the program, in kB.
    fn peak_memory_kb(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a VmHWM line");
        line.trim()
            .trim_end_matches(" kB")
            .parse()
            .expect("a number")
    }

    fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("it runs")
            .count()
    }
}

/// Waits for a condition and returns how long that took.
fn wait_until(what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}

/// Opens idle connections until there are `size`. Closed ones are replaced.
fn refill_idle_connections(at: SocketAddr, idle: &mut Vec<TcpStream>, size: usize) {
    idle.retain_mut(|stream| {
        let _ = stream.set_nonblocking(true);
        !matches!(stream.read(&mut [0; 512]), Ok(0))
            && stream.take_error().is_ok_and(|error| error.is_none())
    });
    while idle.len() < size {
        let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else {
            return;
        };
        // Every other connection sends one request; the rest send nothing.
        if idle.len().is_multiple_of(2) {
            let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        idle.push(stream);
    }
}

fn submit(at: SocketAddr, id: &str) -> Option<http::Response> {
    let fields = [
        ("X-Request-Id", id),
        ("X-Deadline", "5"),
        ("Connection", "close"),
    ];
    send_request(at, "POST", "/reroute/x", &fields, b"work").ok()
}

/// Guards against a node that can't connect to discovery or to a worker because idle clients hold
/// all its descriptors, that does not answer readiness checks, or that busy-waits on a listener
/// from which it can't accept. Clients connect and stay idle while discovery is down. Once it is
/// back, its list must take effect in time.
#[test]
fn idle_clients_may_fill_the_descriptors_while_discovery_is_down() {
    let discovery = unused_address();
    let time = Duration::from_millis(5);
    let workers: Vec<Worker> = ["old", "new"]
        .iter()
        .map(|name| Worker::start(name, time).expect("a worker"))
        .collect();
    let known = [
        member("old", workers[0].address),
        member("new", workers[1].address),
    ];
    let running = RunningNode::start("idle", discovery, &known, 64);
    wait_until("it is ready", || running.is_ready());
    workers
        .iter()
        .for_each(|worker| worker.report_to(running.at));
    let mut idle = Vec::new();
    for n in 0..5 {
        refill_idle_connections(running.at, &mut idle, 200);
        assert!(wait_until("ready", || running.is_ready()) < Duration::from_secs(3));
        let answer = submit(running.at, &format!("before-{n}")).expect("an answer");
        assert_eq!(
            answer.status,
            200,
            "the node connects to a worker: {}",
            running.log()
        );
    }
    assert!(running.descriptor_count() <= 64);
    refill_idle_connections(running.at, &mut idle, 200);
    let ticks_before = running.processor_ticks();
    let start = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    let used =
        (running.processor_ticks() - ticks_before) as f64 / 100.0 / start.elapsed().as_secs_f64();
    assert!(used < 0.3, "{used:.2} of a core without any requests");
    let descriptors = running.descriptor_count();
    assert!(
        descriptors >= 36,
        "idle clients use up their share of the descriptors: {descriptors}"
    );
    // Discovery is back, and one worker drains. The node must learn this in time while clients
    // connect and disconnect.
    let back = Discovery::start_at(discovery, &workers).expect("discovery");
    back.drain("old");
    let start = Instant::now();
    let mut n = 0;
    while start.elapsed() < LIST_UPDATE_TIMEOUT {
        n += 1;
        refill_idle_connections(running.at, &mut idle, 200);
        submit(running.at, &format!("after-{n}"));
    }
    let old = workers[0].runs().len();
    assert!(
        old > 0 && n > 20,
        "the old worker received requests and the node continued to serve: {old}, {n}"
    );
    for n in 0..10 {
        assert_eq!(
            submit(running.at, &format!("last-{n}")).map(|answer| answer.status),
            Some(200)
        );
    }
    assert_eq!(
        workers[0].runs().len(),
        old,
        "no request is sent to the draining worker: {}",
        running.log()
    );
}

/// Guards against a flood that uses up the connections, memory or descriptors of other clients. The
/// flooding clients send nothing, partial requests or invalid bytes followed by much data,
/// disconnect with a close or a reset, and reconnect immediately. The other clients must be served
/// meanwhile.
#[test]
fn a_flood_of_connections_leaves_the_other_clients_served() {
    let worker = Worker::start("s-0", Duration::from_millis(5)).expect("a worker");
    let running = RunningNode::start(
        "flood",
        unused_address(),
        &[member("s-0", worker.address)],
        128,
    );
    wait_until("it is ready", || running.is_ready());
    worker.report_to(running.at);
    let at = running.at;
    let is_over = std::sync::atomic::AtomicBool::new(false);
    let is_running = || !is_over.load(std::sync::atomic::Ordering::SeqCst);
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
            let (is_running, much) = (&is_running, &much);
            scope.spawn(move || {
                for n in flooder.. {
                    if !is_running() {
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
                        submit(at, &format!("other-{client}-{n}")).map(|answer| answer.status)
                    });
                    answers.filter(|status| *status == Some(200)).count()
                })
            })
            .collect();
        let served: Vec<usize> = others
            .into_iter()
            .map(|other| other.join().expect("a client"))
            .collect();
        let descriptors = running.descriptor_count();
        let peak_memory_kb = running.peak_memory_kb();
        is_over.store(true, std::sync::atomic::Ordering::SeqCst);
        assert!(
            served.iter().all(|served| *served == 50),
            "{served:?} of 50 each"
        );
        assert!(
            descriptors <= 128 && peak_memory_kb < 64 << 10,
            "{descriptors} descriptors, {peak_memory_kb} kB"
        );
    });
    // The descriptors of the flood must be closed.
    wait_until("the flood's connections end", || {
        running.descriptor_count() < 40
    });
}

/// The behaviour of discovery while processes start.
#[derive(Clone, Copy, Debug)]
enum DiscoveryBehaviour {
    Down,
    /// It accepts no connections, so requests stay unread.
    Silent,
    /// It answers after 1.9 s.
    Slow,
    /// It rejects all calls with status 503.
    Overloaded,
}

fn start_discovery(behaviour: DiscoveryBehaviour) -> (SocketAddr, Option<TcpListener>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    match behaviour {
        // No other program can listen on this address.
        DiscoveryBehaviour::Down => (unused_address(), None),
        DiscoveryBehaviour::Silent => (at, Some(listener)),
        DiscoveryBehaviour::Slow | DiscoveryBehaviour::Overloaded => {
            let second = listener.try_clone().expect("a listener");
            std::thread::spawn(move || {
                for mut stream in listener.incoming().flatten() {
                    std::thread::spawn(move || {
                        while matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
                            let text = match behaviour {
                                DiscoveryBehaviour::Overloaded => {
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
            (at, Some(second))
        }
    }
}

/// Guards against a node that does not become ready while discovery is down, silent, slow or
/// overloaded, with an old worker list or none, while clients use up the descriptors. Also guards
/// against a node that is ready but can't serve requests.
#[test]
fn restarted_processes_become_ready_whatever_discovery_does() {
    let worker = Worker::start("old", Duration::from_millis(5)).expect("a worker");
    let unreachable = unused_address();
    let mut times = Vec::new();
    for behaviour in [
        DiscoveryBehaviour::Down,
        DiscoveryBehaviour::Silent,
        DiscoveryBehaviour::Slow,
        DiscoveryBehaviour::Overloaded,
    ] {
        let (at, _listener) = start_discovery(behaviour);
        // One list has an unreachable and a running worker, the other is empty.
        for known in [
            vec![member("gone", unreachable), member("old", worker.address)],
            Vec::new(),
        ] {
            let name = format!("{behaviour:?}-{}", known.len());
            let start = Instant::now();
            let running = RunningNode::start(&name, at, &known, 64);
            let mut idle = Vec::new();
            wait_until(&name, || {
                refill_idle_connections(running.at, &mut idle, 100);
                running.is_ready()
            });
            times.push((start.elapsed(), name));
            worker.report_to(running.at);
            if known.len() == 2 {
                let served = |n: u32| {
                    submit(running.at, &format!("{behaviour:?}-{n}"))
                        .is_some_and(|a| a.status == 200)
                };
                assert!((0..3).all(served), "{behaviour:?}: {}", running.log());
            }
        }
    }
    let late: Vec<_> = times
        .iter()
        .filter(|(time, _)| *time > READY_TIMEOUT)
        .collect();
    assert!(
        late.len() * 10 <= times.len(),
        "{late:?} of {}",
        times.len()
    );
}

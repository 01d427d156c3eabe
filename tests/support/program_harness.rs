//! The real program as operators run it: several processes of one node that share an inherited
//! listener, with stand-in workers and discovery, and clients that put load on it.
#![allow(dead_code)]

use crate::node_harness::{TEST_TIMEOUT, TestSocket};
use postproxy::net::transport::http::Response;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::{Process, loopback_addresses, wait_until};
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Service times of the default workers, in milliseconds.
const DEFAULT_SERVICE_TIMES_MS: [u64; 4] = [15, 55, 95, 135];
/// Timeout for a started process to become ready.
const START_TIMEOUT: Duration = Duration::from_millis(6000);
/// Maximum duration of a management request.
const MANAGEMENT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// One process of the node, and the address of its management API.
pub struct NodeProcess {
    process: Process,
    management: SocketAddr,
}

/// How a process ended.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEnd {
    pub after: Duration,
    pub successful: bool,
}

impl NodeProcess {
    /// Starts a process, without waiting until it is ready.
    pub fn spawn(mut command: NodeCommand) -> Self {
        Self {
            process: Process::spawn(&mut command.command).expect("the program starts"),
            management: command.management,
        }
    }

    /// Returns the status code of the readiness check at its management API; `None` if it can't be
    /// reached.
    pub fn readiness(&self) -> Option<u16> {
        let response = send_request(self.management, "GET", "/v1/readyz", &[], b"");
        response.ok().map(|response| response.status)
    }

    /// Signals the process to stop.
    pub fn signal_stop(&self) {
        self.process.terminate();
    }

    /// Signals the process to reload its configuration.
    pub fn signal_reload(&self) {
        self.process.reload();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Pauses the process.
    pub fn pause(&mut self) {
        self.process.pause();
    }

    /// Resumes the process after a pause.
    pub fn resume(&mut self) {
        self.process.resume();
    }

    /// Posts a management request; returns the status code of the response.
    pub fn post(&self, path: &str) -> u16 {
        let start = Instant::now();
        let status = send_request(self.management, "POST", path, &[], b"")
            .expect("a response")
            .status;
        assert!(
            start.elapsed() < MANAGEMENT_TIMEOUT,
            "{path} took {:?}",
            start.elapsed()
        );
        status
    }

    /// Waits for the process to exit.
    pub fn wait_for_end(&mut self) -> ProcessEnd {
        let start = Instant::now();
        let mut successful = None;
        let has_ended = || {
            successful = self.process.exit_success();
            successful.is_some()
        };
        assert!(
            wait_until(TEST_TIMEOUT, has_ended),
            "the process does not exit"
        );
        ProcessEnd {
            after: start.elapsed(),
            successful: successful == Some(true),
        }
    }
}

/// A process that is ready, and how long it took to become ready.
pub struct StartedProcess {
    pub process: NodeProcess,
    pub ready_after: Duration,
}

/// The command of a process, and the address of its management API.
pub struct NodeCommand {
    pub command: Command,
    pub management: SocketAddr,
}

/// A node's shared listener, which its processes inherit, and its workers and discovery.
pub struct ProgramHarness {
    listener: Socket,
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub workers: Vec<Worker>,
    _discovery: Discovery,
}

impl ProgramHarness {
    /// Sets up a node with the default workers; the name is part of its folder's name.
    pub fn new(name: &str) -> Self {
        Self::with_service_times(name, &DEFAULT_SERVICE_TIMES_MS)
    }

    /// Sets up a node with one worker for each of these service times, in milliseconds.
    pub fn with_service_times(name: &str, service_times_ms: &[u64]) -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        listener.listen(1024).expect("the listener listens");
        listener
            .set_cloexec(false)
            .expect("the listener is inheritable");
        let address = listener
            .local_addr()
            .ok()
            .and_then(|address| address.as_socket())
            .expect("an address");
        let workers: Vec<Worker> = service_times_ms
            .iter()
            .enumerate()
            .map(|(n, service_time_ms)| {
                let service_time = Duration::from_millis(*service_time_ms);
                Worker::start(&format!("s-{n}"), service_time).expect("a worker")
            })
            .collect();
        workers.iter().for_each(|worker| worker.report_to(address));
        let discovery = Discovery::start(&workers).expect("discovery");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("ops-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("tmp")).expect("a folder");
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../../examples/config.json"))
                .expect("a valid example");
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

    /// Returns the command of another process of the node, with its own management address.
    pub fn command(&self) -> NodeCommand {
        let management = SocketAddr::new(loopback_addresses(1)[0], 8081);
        let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
        command
            .args(["serve", "--log-levels", "error"])
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .env("RELAY_MGMT", management.to_string())
            .env("RELAY_SOCKET_FD", self.listener.as_raw_fd().to_string())
            .env("TMPDIR", self.folder.join("tmp"));
        NodeCommand {
            command,
            management,
        }
    }

    /// Starts a process and waits until it is ready.
    pub fn start(&self) -> NodeProcess {
        self.start_with(|_| {}).process
    }

    /// Starts a process with a changed command and waits until it is ready.
    pub fn start_with(&self, change: impl FnOnce(&mut Command)) -> StartedProcess {
        let mut command = self.command();
        change(&mut command.command);
        let start = Instant::now();
        let process = NodeProcess::spawn(command);
        while process.readiness() != Some(200) {
            assert!(
                start.elapsed() < START_TIMEOUT,
                "the process is not ready in time"
            );
            sleep(POLL_INTERVAL);
        }
        StartedProcess {
            process,
            ready_after: start.elapsed(),
        }
    }

    /// Returns the status code of the readiness check at the clients' address.
    pub fn readiness(&self) -> u16 {
        let fields = [("Connection", "close")];
        send_request(self.address, "GET", "/-/ready", &fields, b"")
            .expect("a response")
            .status
    }

    /// Submits a request with this id, which is also its idempotency key, and these additional
    /// header fields.
    pub fn submit(&self, id: &str, fields: &[(&str, &str)]) -> Response {
        let mut all_fields = vec![("X-Request-Id", id), ("Idempotency-Key", id)];
        all_fields.extend(fields);
        send_request(self.address, "POST", "/reroute/x", &all_fields, b"x").expect("a response")
    }

    /// Returns the number of runs of each request at all workers, by idempotency key.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for (key, runs) in self.workers.iter().flat_map(Worker::runs) {
            *counts.entry(key).or_default() += runs;
        }
        counts
    }

    /// Returns the number of runs at a worker.
    pub fn runs_of_worker(&self, worker: usize) -> u32 {
        self.workers[worker].runs().values().sum()
    }
}

impl Drop for ProgramHarness {
    fn drop(&mut self) {
        self.workers.iter().for_each(Worker::stop);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The counters that the clients of a load share.
#[derive(Default)]
struct LoadCounters {
    served: AtomicU64,
    rejected: AtomicU64,
    /// Requests whose connection closed without a response or was refused.
    unanswered: AtomicU64,
    /// Number of retries after that, by idempotency key.
    retries: Mutex<HashMap<String, u32>>,
}

/// The outcome of a load.
#[derive(Debug)]
pub struct LoadResult {
    pub served: u64,
    pub rejected: u64,
    /// Requests whose connection closed without a response or was refused.
    pub unanswered: u64,
    /// Number of retries after that, by idempotency key.
    pub retries: HashMap<String, u32>,
}

/// Clients that keep their connections open and each send one request after another.
pub struct ClientLoad {
    stop: Arc<AtomicBool>,
    counters: Arc<LoadCounters>,
    threads: Vec<JoinHandle<()>>,
}

impl ClientLoad {
    pub fn start(node: SocketAddr, clients: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let counters = Arc::new(LoadCounters::default());
        let threads = (0..clients)
            .map(|number| {
                let client = LoadClient {
                    number,
                    node,
                    stop: stop.clone(),
                    counters: counters.clone(),
                };
                thread::spawn(move || client.run())
            })
            .collect();
        Self {
            stop,
            counters,
            threads,
        }
    }

    fn served(&self) -> u64 {
        self.counters.served.load(Ordering::SeqCst)
    }

    /// Waits until this number of further requests have been served.
    pub fn wait_for_served(&self, requests: u64) {
        let before = self.served();
        let start = Instant::now();
        while self.served() < before + requests {
            assert!(
                start.elapsed() < TEST_TIMEOUT,
                "no more requests are served"
            );
            sleep(POLL_INTERVAL);
        }
    }

    /// Stops the clients, and returns the outcome.
    pub fn finish(self) -> LoadResult {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("the client did not panic");
        }
        let counters = &self.counters;
        LoadResult {
            served: counters.served.load(Ordering::SeqCst),
            rejected: counters.rejected.load(Ordering::SeqCst),
            unanswered: counters.unanswered.load(Ordering::SeqCst),
            retries: counters.retries.lock().expect("a lock").clone(),
        }
    }
}

/// One client of a load.
struct LoadClient {
    number: u64,
    node: SocketAddr,
    stop: Arc<AtomicBool>,
    counters: Arc<LoadCounters>,
}

impl LoadClient {
    fn run(&self) {
        let mut connection = None;
        for request in 0.. {
            if !self.run_request(request, &mut connection) {
                return;
            }
        }
    }

    /// Retries a request until it is served; returns `false` if the load was stopped before.
    fn run_request(&self, request: u64, connection: &mut Option<TestSocket>) -> bool {
        let key = format!("key-{}-{request}", self.number);
        let body = format!("work {} {request}", self.number);
        for attempt in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return false;
            }
            let mut socket = connection
                .take()
                .unwrap_or_else(|| TestSocket::connect(self.node));
            match self.try_request(&mut socket, request, attempt, &key, &body) {
                Some(response) if response.status == 200 => {
                    assert_eq!(
                        response.body,
                        body.to_uppercase().as_bytes(),
                        "the response is not that of a worker"
                    );
                    self.counters.served.fetch_add(1, Ordering::SeqCst);
                    *connection = response.keep_alive.then_some(socket);
                    sleep(Duration::from_millis(self.number % 4 * 3));
                    return true;
                }
                Some(response) if response.status == 503 => {
                    self.counters.rejected.fetch_add(1, Ordering::SeqCst);
                    sleep(Duration::from_millis(20));
                }
                Some(response) => panic!("{key}: {}", response.status),
                None => {
                    self.counters.unanswered.fetch_add(1, Ordering::SeqCst);
                    let mut retries = self.counters.retries.lock().expect("a lock");
                    *retries.entry(key.clone()).or_default() += 1;
                    drop(retries);
                    sleep(Duration::from_millis(5));
                }
            }
        }
        unreachable!("the loop over attempts is endless")
    }

    /// Sends a request in two pieces, so that handovers between processes also happen within
    /// requests; `None` if the connection closes without a response.
    fn try_request(
        &self,
        socket: &mut TestSocket,
        request: u64,
        attempt: u64,
        key: &str,
        body: &str,
    ) -> Option<Response> {
        let path = if request.is_multiple_of(2) {
            "/day-plan/x"
        } else {
            "/reroute/x"
        };
        let number = self.number;
        let head = format!(
            "POST {path} HTTP/1.1\r\nX-Request-Id: id-{number}-{request}-{attempt}\r\nIdempotency-Key: {key}\r\n\
             X-Deadline: 6\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        socket.stream.write_all(head.as_bytes()).ok()?;
        if request.is_multiple_of(3) {
            sleep(Duration::from_millis(1));
        }
        socket.stream.write_all(body.as_bytes()).ok()?;
        socket.try_read_response()
    }
}

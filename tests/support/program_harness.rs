//! The real program as operators run it: processes of one node on a listener that all of them
//! inherit, with stand-in workers and discovery, and clients that load it.
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

/// How long the jobs of the usual workers take, in milliseconds.
const USUAL_JOB_TIMES_MS: [u64; 4] = [15, 55, 95, 135];
/// How long a process may take until it is ready.
const START_TIMEOUT: Duration = Duration::from_millis(6000);
/// How long a management request may take.
const MANAGEMENT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Pause between two looks at something that is awaited.
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

    /// The status code of its readiness check at the management API; `None` if it can't be reached.
    pub fn readiness(&self) -> Option<u16> {
        let answer = send_request(self.management, "GET", "/v1/readyz", &[], b"");
        answer.ok().map(|answer| answer.status)
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

    /// Stops the execution of the process.
    pub fn pause(&mut self) {
        self.process.pause();
    }

    /// Continues the execution of the process.
    pub fn resume(&mut self) {
        self.process.resume();
    }

    /// Posts a management request; returns the status code of the response.
    pub fn post(&self, path: &str) -> u16 {
        let start = Instant::now();
        let status = send_request(self.management, "POST", path, &[], b"")
            .expect("an answer")
            .status;
        assert!(
            start.elapsed() < MANAGEMENT_TIMEOUT,
            "{path} took {:?}",
            start.elapsed()
        );
        status
    }

    /// Waits for the end of the process.
    pub fn wait_for_end(&mut self) -> ProcessEnd {
        let start = Instant::now();
        let mut successful = None;
        let has_ended = || {
            successful = self.process.exit_success();
            successful.is_some()
        };
        assert!(wait_until(TEST_TIMEOUT, has_ended), "it does not end");
        ProcessEnd {
            after: start.elapsed(),
            successful: successful == Some(true),
        }
    }
}

/// A process that is ready, and how long that took.
pub struct StartedProcess {
    pub process: NodeProcess,
    pub ready_after: Duration,
}

/// The command of a process, and the address of its management API.
pub struct NodeCommand {
    pub command: Command,
    pub management: SocketAddr,
}

/// The listener that all processes of the node inherit, its workers and its discovery.
pub struct ProgramHarness {
    listener: Socket,
    pub address: SocketAddr,
    pub folder: PathBuf,
    pub workers: Vec<Worker>,
    _discovery: Discovery,
}

impl ProgramHarness {
    /// A node with the usual workers; the name is that of its folder.
    pub fn new(name: &str) -> Self {
        Self::with_job_times(name, &USUAL_JOB_TIMES_MS)
    }

    /// A node with one worker for each of these job times, in milliseconds.
    pub fn with_job_times(name: &str, job_times_ms: &[u64]) -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .expect("a port");
        listener.listen(1024).expect("it listens");
        listener.set_cloexec(false).expect("it is inherited");
        let address = listener
            .local_addr()
            .ok()
            .and_then(|address| address.as_socket())
            .expect("an address");
        let workers: Vec<Worker> = job_times_ms
            .iter()
            .enumerate()
            .map(|(n, job_time_ms)| {
                let job_time = Duration::from_millis(*job_time_ms);
                Worker::start(&format!("s-{n}"), job_time).expect("a worker")
            })
            .collect();
        workers.iter().for_each(|worker| worker.report_to(address));
        let discovery = Discovery::start(&workers).expect("discovery");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("ops-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("tmp")).expect("a folder");
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../../examples/config.json")).expect("the example");
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

    /// The command of a further process, with a management address of its own.
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
            assert!(start.elapsed() < START_TIMEOUT, "it is ready too late");
            sleep(POLL_INTERVAL);
        }
        StartedProcess {
            process,
            ready_after: start.elapsed(),
        }
    }

    /// The status code of the readiness check at the clients' address.
    pub fn readiness(&self) -> u16 {
        let fields = [("Connection", "close")];
        send_request(self.address, "GET", "/-/ready", &fields, b"")
            .expect("an answer")
            .status
    }

    /// Submits a request of this id, which is its idempotency key as well, with these further
    /// header fields.
    pub fn submit(&self, id: &str, fields: &[(&str, &str)]) -> Response {
        let mut all_fields = vec![("X-Request-Id", id), ("Idempotency-Key", id)];
        all_fields.extend(fields);
        send_request(self.address, "POST", "/reroute/x", &all_fields, b"x").expect("an answer")
    }

    /// How often each job has been run, by all workers.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for (job, times) in self.workers.iter().flat_map(Worker::runs) {
            *counts.entry(job).or_default() += times;
        }
        counts
    }

    /// How many jobs a worker has run.
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

/// What the clients of a load have counted.
#[derive(Default)]
struct LoadCounters {
    served: AtomicU64,
    rejected: AtomicU64,
    /// Requests whose connection ended in place of a response, or was refused.
    unanswered: AtomicU64,
    /// How often a client has retried each job after that.
    retries: Mutex<HashMap<String, u32>>,
}

/// What has become of the requests of a load.
#[derive(Debug)]
pub struct LoadResult {
    pub served: u64,
    pub rejected: u64,
    /// Requests whose connection ended in place of a response, or was refused.
    pub unanswered: u64,
    /// How often a client has retried each job after that.
    pub retries: HashMap<String, u32>,
}

/// Clients that keep their connections open, each with one request after another.
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
            assert!(start.elapsed() < TEST_TIMEOUT, "nothing is served any more");
            sleep(POLL_INTERVAL);
        }
    }

    /// Ends the load.
    pub fn finish(self) -> LoadResult {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a client without an error");
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
        for job in 0.. {
            if !self.run_job(job, &mut connection) {
                return;
            }
        }
    }

    /// Tries a job until it is served; returns whether it was, and not the end of the load.
    fn run_job(&self, job: u64, connection: &mut Option<TestSocket>) -> bool {
        let key = format!("key-{}-{job}", self.number);
        let body = format!("work {} {job}", self.number);
        for attempt in 0.. {
            if self.stop.load(Ordering::SeqCst) {
                return false;
            }
            let mut socket = connection
                .take()
                .unwrap_or_else(|| TestSocket::connect(self.node));
            match self.try_job(&mut socket, job, attempt, &key, &body) {
                Some(response) if response.status == 200 => {
                    assert_eq!(
                        response.body,
                        body.to_uppercase().as_bytes(),
                        "a response that no worker made"
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
        unreachable!("the attempts have no end")
    }

    /// Sends a job in two pieces, so that processes change in the midst of requests as well; `None`
    /// if the connection ends before the response.
    fn try_job(
        &self,
        socket: &mut TestSocket,
        job: u64,
        attempt: u64,
        key: &str,
        body: &str,
    ) -> Option<Response> {
        let path = if job.is_multiple_of(2) {
            "/day-plan/x"
        } else {
            "/reroute/x"
        };
        let number = self.number;
        let head = format!(
            "POST {path} HTTP/1.1\r\nX-Request-Id: id-{number}-{job}-{attempt}\r\nIdempotency-Key: {key}\r\n\
             X-Deadline: 6\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        socket.stream.write_all(head.as_bytes()).ok()?;
        if job.is_multiple_of(3) {
            sleep(Duration::from_millis(1));
        }
        socket.stream.write_all(body.as_bytes()).ok()?;
        socket.try_read_response()
    }
}

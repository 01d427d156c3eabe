//! The program with a store, killed repeatedly while it serves requests that must not run twice.

use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::{Process, loopback_addresses, wait_until};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Number of times that the node is killed, unless the environment variable `POSTPROXY_KILLS` sets
/// another one.
const DEFAULT_KILLS: u32 = 20;
/// Number of clients that submit requests at the same time.
const CLIENTS: u64 = 8;
/// Number of workers; each takes longer for a request than the one before.
const WORKERS: u64 = 4;
/// Time that the node may take from its start until it is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time that a client waits after a rejection before it retries.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that a client waits after a broken connection before it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Time that the clients continue to submit requests after the last kill.
const LAST_RUN: Duration = Duration::from_millis(300);

/// The program under test, as a process of its own.
struct NodeProcess {
    process: Option<Process>,
    folder: PathBuf,
    address: SocketAddr,
}

impl NodeProcess {
    fn start(&mut self) {
        let file = |name: &str| self.folder.join(name).display().to_string();
        let process = Process::start(
            env!("CARGO_BIN_EXE_postproxy").as_ref(),
            &[
                "serve",
                "--log-levels",
                "error",
                "--operator",
                &file("operator.json"),
            ],
            &[("RELAY_CONFIG", &file("config.json"))],
            &self.folder.join("log"),
        );
        self.process = Some(process.expect("the program starts"));
        let is_ready = || send_request(self.address, "GET", "/-/ready", &[], b"").is_ok();
        assert!(wait_until(START_TIMEOUT, is_ready), "the node is not ready");
    }

    fn kill(&mut self) {
        self.process = None;
    }
}

/// Writes the configuration of a node with a store in this folder.
fn write_config(folder: &Path, address: SocketAddr, discovery: SocketAddr) {
    let mut config: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).expect("the example");
    config["listen"] = address.to_string().into();
    config["discovery"] = discovery.to_string().into();
    config["known"] = serde_json::Value::Null;
    let operator = serde_json::json!({"store": {"folder": folder.join("store"), "segment_mb": 1}});
    std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
    std::fs::write(folder.join("operator.json"), operator.to_string()).expect("a file");
}

/// Numbers of the clients' requests by their outcome.
#[derive(Default)]
struct Counts {
    served: AtomicU64,
    failed: AtomicU64,
    rejected: AtomicU64,
    connection_broken: AtomicU64,
}

fn increment(count: &AtomicU64) {
    count.fetch_add(1, Ordering::SeqCst);
}

fn read(count: &AtomicU64) -> u64 {
    count.load(Ordering::SeqCst)
}

fn headers<'a>(id: &'a str, key: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("X-Request-Id", id),
        ("Idempotency-Key", key),
        ("X-Deadline", "4"),
        ("Connection", "close"),
    ]
}

/// Runs one client: one request after another, each retried under its key until it has a final
/// answer.
fn run_client(number: u64, node: SocketAddr, stop: &AtomicBool, counts: &Counts) {
    for job in 0.. {
        let key = format!("key-{number}-{job}");
        let body = format!("work {number} {job}");
        for attempt in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("id-{number}-{job}-{attempt}");
            let fields = headers(&id, &key);
            match send_request(node, "POST", "/day-plan/x", &fields, body.as_bytes()) {
                Ok(answer) if answer.status == 200 => {
                    assert_eq!(
                        answer.body,
                        body.to_uppercase().as_bytes(),
                        "a response that no worker has produced"
                    );
                    increment(&counts.served);
                    break;
                }
                Ok(answer) if answer.status == 502 => {
                    increment(&counts.failed);
                    break;
                }
                Ok(answer) if answer.status == 503 => {
                    increment(&counts.rejected);
                    thread::sleep(RETRY_DELAY);
                }
                Ok(answer) => panic!("{key}: {}", answer.status),
                // The node was killed: retried with the same key on a new connection.
                Err(_) => {
                    increment(&counts.connection_broken);
                    thread::sleep(RECONNECT_DELAY);
                }
            }
        }
    }
}

/// Kills the node this number of times, each after a pseudo-random delay, and starts it again.
fn kill_repeatedly(node: &mut NodeProcess, kills: u32) {
    let mut random = 7u64;
    for _ in 0..kills {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        thread::sleep(Duration::from_millis(60 + (random >> 33) % 240));
        node.kill();
        node.start();
    }
}

/// Returns the number of runs of each request over all workers.
fn total_runs(workers: &[Worker]) -> HashMap<String, u32> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for (key, times) in workers.iter().flat_map(Worker::runs) {
        *runs.entry(key).or_default() += times;
    }
    runs
}

/// Submits each request again whose result was acknowledged to a worker, and asserts that it is
/// answered with that result. Returns the number of these requests.
fn check_acknowledged_results(workers: &[Worker], node: SocketAddr) -> u64 {
    let mut checked = 0;
    for (key, result) in workers.iter().flat_map(Worker::acknowledged) {
        let id = format!("again-{key}");
        let body = result.to_lowercase();
        let fields = headers(&id, &key);
        let answer =
            send_request(node, "POST", "/day-plan/x", &fields, body.as_bytes()).expect("an answer");
        assert_eq!(
            (answer.status, answer.body),
            (200, result.into_bytes()),
            "{key}: acknowledged and lost"
        );
        checked += 1;
    }
    checked
}

/// Guards against a second run of a request that must not run twice, the loss of a result that was
/// acknowledged to its worker, and a response that no worker has produced, whenever the node is
/// killed.
#[test]
fn killed_node_runs_nothing_twice_and_loses_no_acknowledged_result() {
    let kills = std::env::var("POSTPROXY_KILLS")
        .ok()
        .and_then(|kills| kills.parse().ok())
        .unwrap_or(DEFAULT_KILLS);
    let workers: Vec<Worker> = (0..WORKERS)
        .map(|n| {
            Worker::start(&format!("s-{n}"), Duration::from_millis(10 + 15 * n)).expect("a worker")
        })
        .collect();
    let discovery = Discovery::start(&workers).expect("discovery");
    let address = SocketAddr::new(loopback_addresses(1)[0], 8080);
    workers.iter().for_each(|worker| worker.report_to(address));
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("kill-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    write_config(&folder, address, discovery.address);
    let mut node = NodeProcess {
        process: None,
        folder: folder.clone(),
        address,
    };
    node.start();
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let stop = stop.clone();
            let counts = counts.clone();
            thread::spawn(move || run_client(number, address, &stop, &counts))
        })
        .collect();
    kill_repeatedly(&mut node, kills);
    thread::sleep(LAST_RUN);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client without a failed assertion");
    }
    // After a last kill, all results that were acknowledged must still be there.
    node.kill();
    node.start();
    let runs = total_runs(&workers);
    let run_twice: Vec<_> = runs.iter().filter(|(_, times)| **times > 1).collect();
    assert!(run_twice.is_empty(), "run twice: {run_twice:?}");
    let checked = check_acknowledged_results(&workers, address);
    let served = read(&counts.served);
    let connections_broken = read(&counts.connection_broken);
    println!(
        "{kills} kills: {} requests run, {served} served, {} failed, {} rejected, \
         {connections_broken} connections broken, {checked} results kept",
        runs.len(),
        read(&counts.failed),
        read(&counts.rejected),
    );
    assert!(served > 50 && connections_broken > 5 && checked > 50);
    workers.iter().for_each(Worker::stop);
    drop(node);
    std::fs::remove_dir_all(&folder).expect("the folder was there");
}

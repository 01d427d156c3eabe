//! Throughput, latency and longest event loop iteration of a whole node.
//!
//!     cargo bench --bench node
//!     cargo bench --bench node -- fleet
//!     cargo bench --bench node -- mass 30
//!
//! - Without arguments: without a store, with a store, and with a store whose syncs take half a
//!   second.
//! - `fleet`: pairs of measurements of a node alone and as one of three in a cluster, without a
//!   store, and the ratio of each pair.
//! - `mass`: that many processes of the program are started at once, with the section `fleet` and
//!   without. Measures their calls to a discovery service that returns no list for 5 s.
//!
//! The clients run in a closed loop, and stand-in workers respond at once. Except in a mass start,
//! everything runs in this process, so results are comparable only with each other.

use hdrhistogram::Histogram;
use postproxy::net::{Config, Node};
use postproxy::operator_config::{FleetSection, OperatorConfig, StoreSection};
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::Process;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Concurrent clients, each with one request at a time.
const CLIENTS: usize = 16;
/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);
/// Number of pairs of measurements with and without a cluster.
const CLUSTER_ROUNDS: usize = 16;
/// Rounds of measurements with and without a store.
const STORE_ROUNDS: usize = 2;
/// Rounds of mass starts with and without a cluster.
const MASS_START_ROUNDS: usize = 3;
/// How long discovery returns no list in a mass start.
const NO_LIST_TIME: Duration = Duration::from_secs(5);
/// Duration of a mass start.
const MASS_START_TIME: Duration = Duration::from_secs(12);
/// Length of the windows in which calls are counted, in seconds.
const BURST_WINDOW_SECONDS: f64 = 0.1;

fn example_config() -> serde_json::Value {
    let mut json: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).expect("a valid example");
    json["known"] = serde_json::Value::Null;
    json
}

fn node_config(discovery: SocketAddr, store: Option<StoreSection>) -> Config {
    let mut json = example_config();
    json["listen"] = "127.0.0.1:0".into();
    json["discovery"] = discovery.to_string().into();
    let mut config = Config::from_json(&json.to_string(), |_| None).expect("a configuration");
    config.store = store;
    config
}

/// Returns the sections `fleet` of three nodes of one cluster.
fn cluster_of_three() -> Vec<FleetSection> {
    // Each node has its own address, because a port that is free for datagrams at a shared address
    // may be in use for streams.
    let seeds: Vec<String> = postproxy_fault_injection::loopback_addresses(3)
        .into_iter()
        .map(|ip| format!("{ip}:7946"))
        .collect();
    let section = |listen: &String| {
        let fleet = serde_json::json!({"cluster": "bench", "listen": listen, "seeds": seeds, "voters": ["n0"]});
        let text = serde_json::json!({"fleet": fleet}).to_string();
        OperatorConfig::from_json(&text)
            .expect("a section")
            .fleet
            .expect("the section fleet")
    };
    seeds.iter().map(section).collect()
}

/// A node that runs in its own thread.
struct RunningNode {
    address: SocketAddr,
    stop: UnixStream,
    /// Returns the duration of the longest event loop iteration, in seconds.
    thread: thread::JoinHandle<f64>,
}

impl RunningNode {
    fn start(config: Config) -> Self {
        let (stop, signal) = UnixStream::pair().expect("a socket pair");
        let (address_sender, address) = mpsc::channel();
        let thread = thread::spawn(move || {
            let mut node = Node::new(config, signal).expect("a node");
            address_sender
                .send(node.address())
                .expect("a receiver of the address");
            node.run().expect("the node stops without an error");
            node.longest_turn()
        });
        Self {
            address: address.recv().expect("an address"),
            stop,
            thread,
        }
    }

    /// Stops the node, and returns the duration of its longest event loop iteration, in seconds.
    fn stop(mut self) -> f64 {
        self.stop
            .write_all(b"x")
            .expect("the stop signal is written");
        self.thread.join().expect("the node did not panic")
    }
}

/// Outcomes of requests.
struct ClientResults {
    served: u64,
    not_served: u64,
    /// Latencies of the served requests, in microseconds.
    latency: Histogram<u64>,
}

impl ClientResults {
    fn new() -> Self {
        Self {
            served: 0,
            not_served: 0,
            latency: Histogram::new(3).expect("a histogram"),
        }
    }

    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.not_served += other.not_served;
        self.latency.add(other.latency).expect("the same range");
    }
}

/// Sends requests one after another until `end`.
fn run_client(client: usize, node: SocketAddr, end: Instant) -> ClientResults {
    let mut results = ClientResults::new();
    for request in 0.. {
        let start = Instant::now();
        if start >= end {
            break;
        }
        let id = format!("id-{client}-{request}");
        let fields = [
            ("X-Request-Id", id.as_str()),
            ("X-Deadline", "10"),
            ("Connection", "close"),
        ];
        match send_request(node, "POST", "/day-plan/x", &fields, b"work") {
            Ok(response) if response.status == 200 => {
                results.served += 1;
                let micros = start.elapsed().as_micros() as u64;
                results.latency.record(micros).expect("in range");
            }
            _ => results.not_served += 1,
        }
    }
    results
}

/// Measures one node, alone or in a cluster, prints a row of the table, and returns the number of
/// served requests per second.
fn measure(name: &str, store: Option<StoreSection>, cluster: Vec<FleetSection>) -> f64 {
    let workers: Vec<Worker> = (0..4)
        .map(|number| Worker::start(&format!("s-{number}"), Duration::ZERO).expect("a worker"))
        .collect();
    let discovery = Discovery::start(&workers).expect("discovery");
    let mut config = node_config(discovery.address, store);
    let mut sections = cluster.into_iter();
    config.fleet = sections.next();
    let node = RunningNode::start(config);
    let others: Vec<_> = (1..)
        .zip(sections)
        .map(|(number, section)| {
            let mut config = node_config(discovery.address, None);
            config.fleet = Some(section);
            config.name = format!("n{number}");
            RunningNode::start(config)
        })
        .collect();
    let address = node.address;
    workers.iter().for_each(|worker| worker.report_to(address));
    thread::sleep(Duration::from_millis(200));

    let start = Instant::now();
    let end = start + MEASUREMENT_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || run_client(client, address, end)))
        .collect();
    let mut results = ClientResults::new();
    for client in clients {
        results.add(client.join().expect("a client"));
    }
    let rate = results.served as f64 / start.elapsed().as_secs_f64();
    let longest_iteration = node.stop();
    for other in others {
        other.stop();
    }
    workers.iter().for_each(Worker::stop);
    let latency_ms = |quantile| results.latency.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "| {name} | {rate:.0} | {} | {:.2} | {:.2} | {:.2} |",
        results.not_served,
        latency_ms(0.5),
        latency_ms(0.99),
        longest_iteration * 1e3
    );
    rate
}

/// A discovery service that returns no list at first, and reports the time of each call, in seconds
/// since its start.
struct SilentDiscovery {
    address: SocketAddr,
    calls: mpsc::Receiver<f64>,
}

impl SilentDiscovery {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (call_times, calls) = mpsc::channel();
        let start = Instant::now();
        thread::spawn(move || {
            while let Ok((mut stream, _)) = listener.accept() {
                let now = start.elapsed();
                // The receiver is gone: the measurement is over.
                if call_times.send(now.as_secs_f64()).is_err() {
                    return;
                }
                if now > NO_LIST_TIME {
                    let list = r#"{"revision": 1, "complete": true, "targets": []}"#;
                    let response = format!(
                        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                        list.len()
                    );
                    let _ = stream.write_all(response.as_bytes());
                }
            }
        });
        Self { address, calls }
    }
}

/// Starts one process of a mass start.
fn start_process(
    number: usize,
    ip: IpAddr,
    seeds: Option<&[String]>,
    discovery: SocketAddr,
    folder: &Path,
) -> Process {
    let mut json = example_config();
    json["listen"] = format!("{ip}:8080").into();
    json["name"] = format!("n{number:02}").into();
    json["seed"] = format!("{number:x}").into();
    json["discovery"] = discovery.to_string().into();
    let operator_json = match seeds {
        Some(seeds) => {
            let section = serde_json::json!({"cluster": "bench", "listen": format!("{ip}:7946"),
                "seeds": seeds, "voters": ["n00", "n01", "n02"]});
            serde_json::json!({"fleet": section})
        }
        None => serde_json::json!({}),
    };
    let config = folder.join(format!("{number}.json"));
    let operator = folder.join(format!("{number}.op.json"));
    std::fs::write(&config, json.to_string()).expect("the file is written");
    std::fs::write(&operator, operator_json.to_string()).expect("the file is written");
    Process::start(
        env!("CARGO_BIN_EXE_postproxy").as_ref(),
        &["serve", "--operator", &operator.display().to_string()],
        &[("RELAY_CONFIG", &config.display().to_string())],
        &folder.join("log"),
    )
    .expect("the program starts")
}

/// Returns the maximum number of calls in a window of a tenth of a second between the two times.
fn busiest_window(calls: &[f64], from: f64, to: f64) -> usize {
    let within: Vec<f64> = calls
        .iter()
        .copied()
        .filter(|at| (from..to).contains(at))
        .collect();
    let calls_from = |at: f64| {
        let window = at..at + BURST_WINDOW_SECONDS;
        within.iter().filter(|other| window.contains(other)).count()
    };
    within.iter().map(|at| calls_from(*at)).max().unwrap_or(0)
}

/// Starts this many processes at once and prints a row about their calls to discovery: the total in
/// the 5 s without a list, and the maximum in a tenth of a second during the first second, during
/// the rest of the 5 s, and after discovery has returned a list.
fn measure_mass_start(count: usize, cluster: bool) {
    let addresses = postproxy_fault_injection::loopback_addresses(count as u8);
    let discovery = SilentDiscovery::start();
    let folder =
        std::env::temp_dir().join(format!("postproxy-mass-{}-{cluster}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let seeds: Vec<String> = addresses
        .iter()
        .take(3)
        .map(|ip| format!("{ip}:7946"))
        .collect();
    let seeds = cluster.then_some(&seeds[..]);
    let processes: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(number, ip)| start_process(number, *ip, seeds, discovery.address, &folder))
        .collect();
    thread::sleep(MASS_START_TIME);
    drop(processes);
    let calls: Vec<f64> = discovery.calls.try_iter().collect();
    let first = calls.first().copied().unwrap_or(0.0);
    let no_list = NO_LIST_TIME.as_secs_f64();
    println!(
        "| {count} | {} | {} | {} | {} | {} |",
        if cluster { "on" } else { "off" },
        calls.iter().filter(|at| **at < no_list).count(),
        busiest_window(&calls, first, first + 1.0),
        busiest_window(&calls, first + 1.0, no_list),
        busiest_window(&calls, no_list, MASS_START_TIME.as_secs_f64()),
    );
    let _ = std::fs::remove_dir_all(&folder);
}

fn compare_mass_starts(count: usize) {
    println!(
        "| processes | fleet | calls in 5 s without a list | most calls in 0.1 s, first second | until a list | after a list |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for _ in 0..MASS_START_ROUNDS {
        measure_mass_start(count, false);
        measure_mass_start(count, true);
    }
}

fn compare_with_cluster() {
    println!("| fleet | requests/s | not served | p50 ms | p99 ms | longest loop iteration ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let without = || measure("off", None, Vec::new());
    let with = || measure("one of three", None, cluster_of_three());
    let mut ratios: Vec<f64> = Vec::new();
    for round in 0..CLUSTER_ROUNDS {
        // The order alternates, so that effects of the order cancel out.
        if round % 2 == 0 {
            let off = without();
            let on = with();
            ratios.push(on / off);
        } else {
            let on = with();
            let off = without();
            ratios.push(on / off);
        }
    }
    ratios.sort_by(f64::total_cmp);
    let quantile = |share: f64| ratios[(share * (ratios.len() - 1) as f64).round() as usize];
    println!(
        "ratio of requests/s with to without a cluster: median {:.3}, quartiles {:.3} and {:.3}",
        quantile(0.5),
        quantile(0.25),
        quantile(0.75)
    );
}

fn compare_with_store() {
    println!("| store | requests/s | not served | p50 ms | p99 ms | longest loop iteration ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for round in 0..STORE_ROUNDS {
        let section = |name: &str| {
            let folder = format!(
                "{}/node-{}-{round}-{name}",
                env!("CARGO_TARGET_TMPDIR"),
                std::process::id()
            );
            let mut section = StoreSection::of(&folder, None);
            section.patience_ms = 5000;
            section
        };
        let on = section("on");
        let mut slow = section("slow");
        slow.sync_delay_ms = 500;
        let folders = [on.folder.clone(), slow.folder.clone()];
        measure("off", None, Vec::new());
        measure("on", Some(on), Vec::new());
        measure("on, 500 ms per sync", Some(slow), Vec::new());
        for folder in &folders {
            std::fs::remove_dir_all(folder).expect("the store's folder is removed");
        }
    }
}

fn main() {
    let mut arguments = std::env::args().skip_while(|word| word != "mass").skip(1);
    if let Some(count) = arguments.next().and_then(|count| count.parse().ok()) {
        compare_mass_starts(count);
    } else if std::env::args().any(|argument| argument == "fleet") {
        compare_with_cluster();
    } else {
        compare_with_store();
    }
}

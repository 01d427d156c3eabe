//! `postproxy try`: runs discovery, workers and a node in one process on free ports of loopback,
//! and sends requests of two classes through them.

use super::{Failure, fleet_trial};
use clap::Args;
use hdrhistogram::Histogram;
use postproxy::net::{Config, Node};
use postproxy::stand_ins::{Discovery, Worker, send_request};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The arguments of `try`.
#[derive(Args, Debug)]
pub struct TrialArgs {
    /// Number of requests of each class
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    jobs: u32,
    /// Number of concurrent clients
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=256))]
    clients: u32,
    /// Run a cluster of this many nodes, each in its own process; kill and pause some under load
    #[arg(long, value_name = "NODES", value_parser = clap::value_parser!(u8).range(3..=9))]
    fleet: Option<u8>,
}

/// The classes of the trial's requests.
const CLASSES: [&str; 2] = ["reroute", "day-plan"];
/// Service time of each worker, in milliseconds.
const SERVICE_TIMES_MS: [u64; 4] = [20, 30, 40, 60];

/// The outcome of a request.
struct Outcome {
    /// The index of its class.
    class: usize,
    id: String,
    /// The status of the response, or why there was none.
    status: Result<u16, String>,
    latency: Duration,
}

impl Outcome {
    fn has_status(&self, status: u16) -> bool {
        self.status == Ok(status)
    }

    /// Returns the outcome as printed in the request's line.
    fn label(&self) -> &str {
        match &self.status {
            Ok(200) => "served",
            Ok(503) => "refused",
            Ok(_) => "failed",
            Err(error) => error,
        }
    }
}

/// Returns the configuration of the trial's node, which listens on loopback only.
fn node_config(discovery: SocketAddr) -> Result<Config, String> {
    let text = serde_json::json!({
        "name": "try", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "settings": {
            "balancers": 1, "tick": 0.002, "discovery": "on_request", "dcs": ["riga"],
            "machine-types": ["std-4"],
            "services": [
                {"name": "reroute", "effect": "token", "dedup-scope": "cell", "memory-span": 10.0, "aim": 0.25,
                 "deadline": 6.0, "importance": 3.0},
                {"name": "day-plan", "effect": "side_effect", "aim": 0.5, "deadline": 12.0, "importance": 8.0}],
            "limits": {"cancel": true, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3,
                "max-retry-after": 2.0, "retry-after": true, "second-copies": true},
            "report": {"fields": ["backlog", "x0"], "via": "answers"},
            "extra": {"report-x0": "free slots"}
        }
    });
    Config::from_json(&text.to_string(), |_| None)
}

/// Runs the trial.
///
/// # Errors
///
/// If there are no free ports or the node can't be started; if a request was neither served nor
/// rejected, or was run twice.
pub fn run(args: &TrialArgs) -> Result<(), Failure> {
    if let Some(node_count) = args.fleet {
        return fleet_trial::run(usize::from(node_count));
    }
    let workers = SERVICE_TIMES_MS
        .iter()
        .enumerate()
        .map(|(n, ms)| Worker::start(&format!("s-{n}"), Duration::from_millis(*ms)))
        .collect::<Result<Vec<Worker>, _>>()?;
    let discovery = Discovery::start(&workers)?;
    let mut node = RunningNode::start(discovery.address)?;
    workers
        .iter()
        .for_each(|worker| worker.report_to(node.address));
    println!(
        "discovery at {}, a node at {}, workers:",
        discovery.address, node.address
    );
    for (worker, ms) in workers.iter().zip(SERVICE_TIMES_MS) {
        println!(
            "  {} at {}, {ms} ms per request",
            worker.name, worker.address
        );
    }
    let start = Instant::now();
    let outcomes = send_requests(args, node.address);
    let duration = start.elapsed();
    node.stop()?;
    workers.iter().for_each(Worker::stop);
    report(&outcomes, &workers, duration)
}

/// A node that runs in its own thread.
struct RunningNode {
    address: SocketAddr,
    /// A byte on this stream stops the node.
    stop: UnixStream,
    thread: Option<JoinHandle<Result<(), String>>>,
}

impl RunningNode {
    fn start(discovery: SocketAddr) -> Result<Self, Failure> {
        let (stop, stop_receiver) = UnixStream::pair()?;
        let (address_sender, address_receiver) = mpsc::channel();
        let config = node_config(discovery)?;
        let thread = thread::spawn(move || {
            let mut node = Node::new(config, stop_receiver).map_err(|error| error.to_string())?;
            let _ = address_sender.send(node.address());
            node.run().map_err(|error| error.to_string())
        });
        match address_receiver.recv() {
            Ok(address) => Ok(Self {
                address,
                stop,
                thread: Some(thread),
            }),
            // The node failed to start: the thread's result has the error.
            Err(_) => Err(join(thread).err().unwrap_or_default().into()),
        }
    }

    fn stop(&mut self) -> Result<(), Failure> {
        self.stop.write_all(b"x")?;
        if let Some(thread) = self.thread.take() {
            join(thread)?;
        }
        Ok(())
    }
}

fn join(thread: JoinHandle<Result<(), String>>) -> Result<(), String> {
    thread.join().map_err(|_| "the node panicked")?
}

/// Sends all requests from concurrent clients, and prints a line for each.
fn send_requests(args: &TrialArgs, node: SocketAddr) -> Vec<Outcome> {
    let (outcome_sender, outcomes) = mpsc::channel();
    let requests: Vec<(usize, u32)> = (0..args.jobs)
        .flat_map(|number| (0..CLASSES.len()).map(move |class| (class, number)))
        .collect();
    let client_count = args.clients as usize;
    for client in 0..client_count {
        let own_requests: Vec<_> = requests
            .iter()
            .copied()
            .skip(client)
            .step_by(client_count)
            .collect();
        let outcome_sender = outcome_sender.clone();
        thread::spawn(move || {
            for (class, number) in own_requests {
                let _ = outcome_sender.send(send(node, class, number));
            }
        });
    }
    drop(outcome_sender);
    outcomes
        .into_iter()
        .inspect(|outcome| {
            println!(
                "{:>7.1} ms  {:<14} {}",
                outcome.latency.as_secs_f64() * 1e3,
                outcome.id,
                outcome.label()
            );
        })
        .collect()
}

/// Sends one request and waits for its outcome.
fn send(node: SocketAddr, class: usize, number: u32) -> Outcome {
    let id = format!("{}-{number}", CLASSES[class]);
    let target = format!("/{}", CLASSES[class]);
    let fields = [
        ("X-Request-Id", id.as_str()),
        ("Idempotency-Key", id.as_str()),
        ("X-Deadline", "5"),
        ("Connection", "close"),
    ];
    let start = Instant::now();
    let response = send_request(node, "POST", &target, &fields, b"riga to liepaja");
    let latency = start.elapsed();
    Outcome {
        class,
        status: response
            .map(|response| response.status)
            .map_err(|error| error.to_string()),
        id,
        latency,
    }
}

/// Prints the table of classes; fails if a request was neither served nor rejected, or was run
/// twice.
fn report(outcomes: &[Outcome], workers: &[Worker], duration: Duration) -> Result<(), Failure> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for (id, count) in workers.iter().flat_map(Worker::runs) {
        *runs.entry(id).or_default() += count;
    }
    println!();
    println!("class     sent  served  refused  failed  runs/served  p50 ms  p99 ms");
    let mut failed = 0;
    for class in 0..CLASSES.len() {
        failed += report_class(class, outcomes, &runs)?;
    }
    println!("total time: {:.1} s", duration.as_secs_f64());
    let is_run_twice = |(id, count): &(&String, &u32)| id.starts_with("day-plan") && **count > 1;
    if let Some((id, count)) = runs.iter().find(is_run_twice) {
        return Err(format!("{id} was run {count} times").into());
    }
    if failed > 0 {
        return Err(format!("{failed} requests failed").into());
    }
    Ok(())
}

/// Prints a class's line of the table; returns how many of its requests were neither served nor
/// rejected.
fn report_class(
    class: usize,
    outcomes: &[Outcome],
    runs: &HashMap<String, u32>,
) -> Result<usize, Failure> {
    let outcomes: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.class == class)
        .collect();
    let count = |status| {
        outcomes
            .iter()
            .filter(|outcome| outcome.has_status(status))
            .count()
    };
    let served = count(200);
    let rejected = count(503);
    let failed = outcomes.len() - served - rejected;
    let run_count: u32 = outcomes
        .iter()
        .filter_map(|outcome| runs.get(&outcome.id))
        .sum();
    let runs_per_served_request = f64::from(run_count) / served.max(1) as f64;
    let mut latency = Histogram::<u64>::new(3)?;
    for outcome in outcomes.iter().filter(|outcome| outcome.has_status(200)) {
        latency.record(outcome.latency.as_micros() as u64)?;
    }
    let quantile_ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{:<9} {:>4}  {served:>6}  {rejected:>7}  {failed:>6}  {runs_per_served_request:>11.2}  {:>6.1}  {:>6.1}",
        CLASSES[class],
        outcomes.len(),
        quantile_ms(0.5),
        quantile_ms(0.99)
    );
    Ok(failed)
}

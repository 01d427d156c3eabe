//! `postproxy try`: discovery, workers and a node in one process on free ports of loopback, and jobs of two
//! classes sent through them.

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
use std::thread;
use std::time::{Duration, Instant};

/// What `try` takes.
#[derive(Args, Debug)]
pub struct Trial {
    /// How many jobs of each class
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    jobs: u32,
    /// How many clients at once
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=256))]
    clients: u32,
    /// So many nodes, as processes that know each other: some are killed and stopped while jobs run
    #[arg(long, value_name = "NODES", value_parser = clap::value_parser!(u8).range(3..=9))]
    fleet: Option<u8>,
}

const CLASSES: [&str; 2] = ["reroute", "day-plan"];
/// How long a job takes at each of the workers, in milliseconds.
const WORKERS: [u64; 4] = [20, 30, 40, 60];

/// What became of a job.
struct Done {
    class: usize,
    id: String,
    status: Result<u16, String>,
    took: Duration,
}

/// A configuration for loopback alone.
fn config(discovery: SocketAddr) -> Result<Config, String> {
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
/// If there are no ports, or the node can't be started; if a job was neither served nor refused, or was run
/// twice.
pub fn run(trial: &Trial) -> Result<(), Failure> {
    if let Some(nodes) = trial.fleet {
        return fleet_trial::run(usize::from(nodes));
    }
    let workers: Result<Vec<Worker>, _> = (0..)
        .zip(WORKERS)
        .map(|(n, ms)| Worker::start(&format!("s-{n}"), Duration::from_millis(ms)))
        .collect();
    let workers = workers?;
    let discovery = Discovery::start(&workers)?;
    let (mut stop, signal) = UnixStream::pair()?;
    let (tell, told) = mpsc::channel();
    let config = config(discovery.address)?;
    let node = thread::spawn(move || {
        let mut node = Node::new(config, signal).map_err(|error| error.to_string())?;
        let _ = tell.send(node.address());
        node.run().map_err(|error| error.to_string())
    });
    let Ok(address) = told.recv() else {
        return Err(node
            .join()
            .map_err(|_| "the node panicked")?
            .err()
            .unwrap_or_default()
            .into());
    };
    workers.iter().for_each(|worker| worker.report_to(address));
    println!(
        "discovery at {}, a node at {address}, workers:",
        discovery.address
    );
    for (worker, ms) in workers.iter().zip(WORKERS) {
        println!("  {} at {}, {ms} ms a job", worker.name, worker.address);
    }
    // The first answer tells that the list is there: until then every job is refused.
    let start = Instant::now();
    let done = submit(trial, address);
    let took = start.elapsed();
    stop.write_all(b"x")?;
    node.join().map_err(|_| "the node panicked")??;
    workers.iter().for_each(Worker::stop);
    report(&done, &workers, took)
}

/// Sends all jobs and prints a line for each.
fn submit(trial: &Trial, address: SocketAddr) -> Vec<Done> {
    let (tell, told) = mpsc::channel();
    let jobs: Vec<(usize, u32)> = (0..trial.jobs).flat_map(|n| [(0, n), (1, n)]).collect();
    for client in 0..trial.clients as usize {
        let own: Vec<_> = jobs
            .iter()
            .copied()
            .skip(client)
            .step_by(trial.clients as usize)
            .collect();
        let tell = tell.clone();
        thread::spawn(move || {
            for (class, n) in own {
                let id = format!("{}-{n}", CLASSES[class]);
                let target = format!("/{}", CLASSES[class]);
                let fields = [
                    ("X-Request-Id", id.as_str()),
                    ("Idempotency-Key", id.as_str()),
                    ("X-Deadline", "5"),
                    ("Connection", "close"),
                ];
                let began = Instant::now();
                let answer = send_request(address, "POST", &target, &fields, b"riga to liepaja");
                let status = answer.map(|a| a.status).map_err(|error| error.to_string());
                let _ = tell.send(Done {
                    class,
                    id,
                    status,
                    took: began.elapsed(),
                });
            }
        });
    }
    drop(tell);
    told.into_iter()
        .inspect(|done| {
            let word = match &done.status {
                Ok(200) => "served",
                Ok(503) => "refused",
                Ok(_) => "failed",
                Err(error) => error,
            };
            println!(
                "{:>7.1} ms  {:<14} {word}",
                done.took.as_secs_f64() * 1e3,
                done.id
            );
        })
        .collect()
}

fn report(done: &[Done], workers: &[Worker], took: Duration) -> Result<(), Failure> {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for worker in workers {
        worker
            .runs()
            .into_iter()
            .for_each(|(job, times)| *runs.entry(job).or_default() += times);
    }
    println!();
    println!("class     jobs  served  refused  failed  runs a job  p50 ms  p99 ms");
    let mut unanswered = 0;
    for (class, name) in CLASSES.iter().enumerate() {
        let of: Vec<&Done> = done.iter().filter(|done| done.class == class).collect();
        let count = |wanted: u16| of.iter().filter(|done| done.status == Ok(wanted)).count();
        let (served, refused) = (count(200), count(503));
        let failed = of.len() - served - refused;
        unanswered += failed;
        let times: u32 = of.iter().filter_map(|done| runs.get(&done.id)).sum();
        let mut latency = Histogram::<u64>::new(3)?;
        for job in of.iter().filter(|done| done.status == Ok(200)) {
            latency.record(job.took.as_micros() as u64)?;
        }
        let at = |q| latency.value_at_quantile(q) as f64 / 1e3;
        let (all, runs) = (of.len(), f64::from(times) / served.max(1) as f64);
        println!(
            "{name:<9} {all:>4}  {served:>6}  {refused:>7}  {failed:>6}  {runs:>10.2}  {:>6.1}  {:>6.1}",
            at(0.5),
            at(0.99)
        );
    }
    println!("{:.1} s in all", took.as_secs_f64());
    let plans = |(job, times): &(&String, &u32)| job.starts_with("day-plan") && **times > 1;
    if let Some((job, times)) = runs.iter().find(plans) {
        return Err(format!("{job} was run {times} times").into());
    }
    if unanswered > 0 {
        return Err(format!("{unanswered} jobs failed").into());
    }
    Ok(())
}

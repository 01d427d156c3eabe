//! A whole node with and without a store: jobs a second, their time, and the longest turn of the loop, also on a
//! disk whose syncs take half a second.
//!
//!     cargo bench --bench node
//!     cargo bench --bench node -- fleet
//!
//! With `fleet`, without a store: the node alone, and as one of three that know each other, in turn.
//!
//! Clients in closed loop, stand-in workers that are done at once; all of it in this process, so that the
//! figures compare only with each other.

use hdrhistogram::Histogram;
use postproxy::net::{Config, Node};
use postproxy::operator::{FleetSection, Operator, StoreSection};
use postproxy::standin::{Discovery, Worker, ask};
use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 16;
const TIME: Duration = Duration::from_secs(4);

fn config(discovery: SocketAddr, store: Option<StoreSection>) -> Config {
    let mut json: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).expect("the example");
    json["listen"] = "127.0.0.1:0".into();
    json["discovery"] = discovery.to_string().into();
    json["known"] = serde_json::Value::Null;
    let mut config = Config::from_json(&json.to_string(), |_| None).expect("a configuration");
    config.store = store;
    config
}

/// Sections of three nodes that know each other.
fn fleet() -> Vec<FleetSection> {
    let free = || std::net::UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("a port");
    let seeds: Vec<String> = (0..3).map(|_| free().to_string()).collect();
    let section = |at: &String| {
        let fleet = serde_json::json!({"cluster": "bench", "listen": at, "seeds": seeds, "voters": ["n0"]});
        let text = serde_json::json!({"fleet": fleet}).to_string();
        Operator::from_json(&text).expect("a section").fleet.expect("it is there")
    };
    seeds.iter().map(section).collect()
}

/// Runs a node until it is told to stop; where it is, and the stream to tell it.
fn start(config: Config) -> (SocketAddr, UnixStream, thread::JoinHandle<f64>) {
    let (stop, signal) = UnixStream::pair().expect("a pair");
    let (tell, told) = mpsc::channel();
    let node = thread::spawn(move || {
        let mut node = Node::new(config, signal).expect("a node");
        tell.send(node.address()).expect("it is waited for");
        node.run().expect("it runs");
        node.longest_turn()
    });
    (told.recv().expect("an address"), stop, node)
}

fn client(number: usize, node: SocketAddr, end: Instant) -> (u64, u64, Histogram<u64>) {
    let (mut served, mut other, mut latency) = (0, 0, Histogram::new(3).expect("a histogram"));
    for job in 0.. {
        let began = Instant::now();
        if began >= end {
            break;
        }
        let id = format!("id-{number}-{job}");
        let fields = [("X-Request-Id", id.as_str()), ("X-Deadline", "10"), ("Connection", "close")];
        match ask(node, "POST", "/day-plan/x", &fields, b"work") {
            Ok(answer) if answer.status == 200 => {
                served += 1;
                latency.record(began.elapsed().as_micros() as u64).expect("in range");
            }
            _ => other += 1,
        }
    }
    (served, other, latency)
}

fn line(name: &str, store: Option<StoreSection>, fleet: Vec<FleetSection>) {
    let workers: Vec<Worker> =
        (0..4).map(|n| Worker::start(&format!("s-{n}"), Duration::ZERO).expect("a worker")).collect();
    let discovery = Discovery::start(&workers).expect("discovery");
    let mut config_of = config(discovery.address, store);
    let mut fleet = fleet.into_iter();
    config_of.fleet = fleet.next();
    let (address, mut stop, node) = start(config_of);
    let others: Vec<_> = (1..)
        .zip(fleet)
        .map(|(n, section)| {
            let mut config = config(discovery.address, None);
            (config.fleet, config.name) = (Some(section), format!("n{n}"));
            start(config)
        })
        .collect();
    workers.iter().for_each(|worker| worker.reports_to(address));
    thread::sleep(Duration::from_millis(200));
    let (start, end) = (Instant::now(), Instant::now() + TIME);
    let clients: Vec<_> = (0..CLIENTS).map(|n| thread::spawn(move || client(n, address, end))).collect();
    let (mut served, mut other, mut latency) = (0, 0, Histogram::<u64>::new(3).expect("a histogram"));
    for client in clients {
        let (own, others, times) = client.join().expect("a client");
        (served, other) = (served + own, other + others);
        latency.add(times).expect("the same range");
    }
    let rate = served as f64 / start.elapsed().as_secs_f64();
    stop.write_all(b"x").expect("a signal");
    let turn = node.join().expect("it ends well");
    for (_, mut stop, node) in others {
        stop.write_all(b"x").expect("a signal");
        node.join().expect("it ends well");
    }
    workers.iter().for_each(Worker::stop);
    let at = |q| latency.value_at_quantile(q) as f64 / 1e3;
    println!("| {name} | {rate:.0} | {other} | {:.2} | {:.2} | {:.2} |", at(0.5), at(0.99), turn * 1e3);
}

fn main() {
    if std::env::args().any(|word| word == "fleet") {
        println!("| fleet | jobs/s | not served | p50 ms | p99 ms | longest turn of the loop ms |");
        println!("| --- | --- | --- | --- | --- | --- |");
        for _ in 0..5 {
            line("off", None, Vec::new());
            line("one of three", None, fleet());
        }
        return;
    }
    println!("| store | jobs/s | not served | p50 ms | p99 ms | longest turn of the loop ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for round in 0..2 {
        let folder = |name: &str| {
            let folder =
                format!("{}/node-{}-{round}-{name}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
            let mut section = StoreSection::of(&folder, None);
            section.patience_ms = 5000;
            section
        };
        let (on, mut slow) = (folder("on"), folder("slow"));
        slow.sync_delay_ms = 500;
        let folders = [on.folder.clone(), slow.folder.clone()];
        line("off", None, Vec::new());
        line("on", Some(on), Vec::new());
        line("on, 500 ms a sync", Some(slow), Vec::new());
        folders.iter().for_each(|folder| std::fs::remove_dir_all(folder).expect("it was there"));
    }
}

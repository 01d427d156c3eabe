//! A whole node with and without a store: jobs a second, their time, and the longest turn of the loop, also on a
//! disk whose syncs take half a second.
//!
//!     cargo bench --bench node
//!     cargo bench --bench node -- fleet
//!
//!     cargo bench --bench node -- mass 30
//!
//! With `fleet`, without a store: the node alone, and as one of three that know each other, in turn, and the ratio of each
//! pair. With `mass`: so many processes of the program started at once, with the section `fleet` and without, and their
//! calls at a discovery that gives nobody a list for 5 s.
//!
//! Clients in closed loop, stand-in workers that are done at once; all of it in this process, so that the
//! figures compare only with each other.

use hdrhistogram::Histogram;
use postproxy::net::{Config, Node};
use postproxy::operator_config::{FleetSection, OperatorConfig, StoreSection};
use postproxy::stand_ins::{Discovery, Worker, send_request};
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
    // Addresses of their own: a port that is free for datagrams may be taken for streams.
    let seeds: Vec<String> = postproxy_fault_injection::loopback_addresses(3)
        .into_iter()
        .map(|ip| format!("{ip}:7946"))
        .collect();
    let section = |at: &String| {
        let fleet =
            serde_json::json!({"cluster": "bench", "listen": at, "seeds": seeds, "voters": ["n0"]});
        let text = serde_json::json!({"fleet": fleet}).to_string();
        OperatorConfig::from_json(&text)
            .expect("a section")
            .fleet
            .expect("it is there")
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
        let fields = [
            ("X-Request-Id", id.as_str()),
            ("X-Deadline", "10"),
            ("Connection", "close"),
        ];
        match send_request(node, "POST", "/day-plan/x", &fields, b"work") {
            Ok(answer) if answer.status == 200 => {
                served += 1;
                latency
                    .record(began.elapsed().as_micros() as u64)
                    .expect("in range");
            }
            _ => other += 1,
        }
    }
    (served, other, latency)
}

fn line(name: &str, store: Option<StoreSection>, fleet: Vec<FleetSection>) -> f64 {
    let workers: Vec<Worker> = (0..4)
        .map(|n| Worker::start(&format!("s-{n}"), Duration::ZERO).expect("a worker"))
        .collect();
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
    workers.iter().for_each(|worker| worker.report_to(address));
    thread::sleep(Duration::from_millis(200));
    let (start, end) = (Instant::now(), Instant::now() + TIME);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| thread::spawn(move || client(n, address, end)))
        .collect();
    let (mut served, mut other, mut latency) =
        (0, 0, Histogram::<u64>::new(3).expect("a histogram"));
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
    println!(
        "| {name} | {rate:.0} | {other} | {:.2} | {:.2} | {:.2} |",
        at(0.5),
        at(0.99),
        turn * 1e3
    );
    rate
}

/// Calls at discovery of so many processes that start at once: all in 5 s without a list, the most in a tenth of a second
/// from the second second on, and the same in the first second after there is a list.
fn mass(count: usize, fleet: bool) {
    let own = postproxy_fault_injection::loopback_addresses(count as u8);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = listener.local_addr().expect("an address");
    let (tell, calls) = mpsc::channel();
    let start = Instant::now();
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let now = start.elapsed();
            // The one whom this is told has all that it wants.
            if tell.send(now.as_secs_f64()).is_err() {
                return;
            }
            if now > Duration::from_secs(5) {
                let list = r#"{"revision": 1, "complete": true, "targets": []}"#;
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
                    list.len()
                );
                let _ = stream.write_all(answer.as_bytes());
            }
        }
    });
    let folder =
        std::env::temp_dir().join(format!("postproxy-mass-{}-{fleet}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let seeds: Vec<String> = own.iter().take(3).map(|ip| format!("{ip}:7946")).collect();
    let nodes: Vec<_> = own
        .iter()
        .enumerate()
        .map(|(n, ip)| {
            let mut json: serde_json::Value =
                serde_json::from_str(include_str!("../examples/config.json")).expect("the example");
            json["listen"] = format!("{ip}:8080").into();
            (json["name"], json["seed"]) = (format!("n{n:02}").into(), format!("{n:x}").into());
            json["discovery"] = discovery.to_string().into();
            json["known"] = serde_json::Value::Null;
            let (config, operator) = (folder.join(format!("{n}.json")), folder.join(format!("{n}.op.json")));
            std::fs::write(&config, json.to_string()).expect("it is written");
            let section = serde_json::json!({"cluster": "bench", "listen": format!("{ip}:7946"), "seeds": seeds,
                "voters": ["n00", "n01", "n02"]});
            let text = if fleet { serde_json::json!({"fleet": section}) } else { serde_json::json!({}) };
            std::fs::write(&operator, text.to_string()).expect("it is written");
            let (config, operator) = (config.display().to_string(), operator.display().to_string());
            postproxy_fault_injection::Process::start(
                env!("CARGO_BIN_EXE_postproxy").as_ref(),
                &["serve", "--operator", &operator],
                &[("RELAY_CONFIG", &config)],
                &folder.join("log"),
            )
            .expect("it starts")
        })
        .collect();
    thread::sleep(Duration::from_secs(12));
    drop(nodes);
    let calls: Vec<f64> = calls.try_iter().collect();
    let busiest = |from: f64, to: f64| {
        let within: Vec<f64> = calls
            .iter()
            .copied()
            .filter(|at| (from..to).contains(at))
            .collect();
        within
            .iter()
            .map(|at| {
                within
                    .iter()
                    .filter(|other| (*at..*at + 0.1).contains(*other))
                    .count()
            })
            .max()
            .unwrap_or(0)
    };
    let first = calls.first().copied().unwrap_or(0.0);
    let before = calls.iter().filter(|at| **at < 5.0).count();
    println!(
        "| {count} | {} | {before} | {} | {} | {} |",
        if fleet { "on" } else { "off" },
        busiest(first, first + 1.0),
        busiest(first + 1.0, 5.0),
        busiest(5.0, 12.0),
    );
    let _ = std::fs::remove_dir_all(&folder);
}

fn main() {
    let mut words = std::env::args().skip_while(|word| word != "mass").skip(1);
    if let Some(count) = words.next().and_then(|count| count.parse().ok()) {
        println!(
            "| processes | fleet | calls in 5 s without a list | busiest 0.1 s of the first second | of the next | after |"
        );
        println!("| --- | --- | --- | --- | --- | --- |");
        for _ in 0..3 {
            mass(count, false);
            mass(count, true);
        }
        return;
    }
    if std::env::args().any(|word| word == "fleet") {
        println!("| fleet | jobs/s | not served | p50 ms | p99 ms | longest turn of the loop ms |");
        println!("| --- | --- | --- | --- | --- | --- |");
        let mut ratios: Vec<f64> = Vec::new();
        for round in 0..16 {
            // Each goes first as often as the other.
            let (off, on) = if round % 2 == 0 {
                let off = line("off", None, Vec::new());
                (off, line("one of three", None, fleet()))
            } else {
                let on = line("one of three", None, fleet());
                (line("off", None, Vec::new()), on)
            };
            ratios.push(on / off);
        }
        ratios.sort_by(f64::total_cmp);
        let at = |share: f64| ratios[(share * (ratios.len() - 1) as f64).round() as usize];
        println!(
            "jobs/s with / without, of pairs: median {:.3}, quarters {:.3} to {:.3}",
            at(0.5),
            at(0.25),
            at(0.75)
        );
        return;
    }
    println!("| store | jobs/s | not served | p50 ms | p99 ms | longest turn of the loop ms |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for round in 0..2 {
        let folder = |name: &str| {
            let folder = format!(
                "{}/node-{}-{round}-{name}",
                env!("CARGO_TARGET_TMPDIR"),
                std::process::id()
            );
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
        folders
            .iter()
            .for_each(|folder| std::fs::remove_dir_all(folder).expect("it was there"));
    }
}

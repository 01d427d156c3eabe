//! The real program with a store, killed again and again under jobs that must not run twice.

use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::{Process, loopback_addresses, wait_until};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// How often the node is killed; `POSTPROXY_KILLS` may ask for more.
const KILLS: u32 = 20;
const CLIENTS: u64 = 8;

struct Node {
    process: Option<Process>,
    folder: PathBuf,
    address: SocketAddr,
}

impl Node {
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
        let ready = || send_request(self.address, "GET", "/-/ready", &[], b"").is_ok();
        assert!(
            wait_until(Duration::from_secs(20), ready),
            "it is not ready"
        );
    }

    fn kill(&mut self) {
        self.process = None;
    }
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    failed: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
}

fn fields<'a>(id: &'a str, key: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("X-Request-Id", id),
        ("Idempotency-Key", key),
        ("X-Deadline", "4"),
        ("Connection", "close"),
    ]
}

/// One client: a job after another, each asked for again under its key until it has a final answer.
fn client(number: u64, node: SocketAddr, over: &AtomicBool, counts: &Counts) {
    let count = |what: &AtomicU64| what.fetch_add(1, Ordering::SeqCst);
    for job in 0.. {
        let (key, body) = (
            format!("key-{number}-{job}"),
            format!("work {number} {job}"),
        );
        for attempt in 0.. {
            if over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("id-{number}-{job}-{attempt}");
            match send_request(
                node,
                "POST",
                "/day-plan/x",
                &fields(&id, &key),
                body.as_bytes(),
            ) {
                Ok(answer) if answer.status == 200 => {
                    assert_eq!(
                        answer.body,
                        body.to_uppercase().as_bytes(),
                        "an answer that no worker made"
                    );
                    count(&counts.served);
                    break;
                }
                Ok(answer) if answer.status == 502 => {
                    count(&counts.failed);
                    break;
                }
                Ok(answer) if answer.status == 503 => {
                    count(&counts.refused);
                    thread::sleep(Duration::from_millis(20));
                }
                Ok(answer) => panic!("{key}: {}", answer.status),
                // It died: asked again with the same key, on a new connection.
                Err(_) => {
                    count(&counts.broken);
                    thread::sleep(Duration::from_millis(5));
                }
            }
        }
    }
}

/// Guards against a second run of a job that must not run twice, a result that was acknowledged to its worker
/// and is gone, and an answer that no worker made, whenever the node dies.
#[test]
fn killed_at_any_moment_it_runs_nothing_twice_and_loses_no_result() {
    let kills = std::env::var("POSTPROXY_KILLS")
        .ok()
        .and_then(|kills| kills.parse().ok())
        .unwrap_or(KILLS);
    let workers: Vec<Worker> = (0..4)
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
    let mut config: serde_json::Value =
        serde_json::from_str(include_str!("../examples/config.json")).expect("the example");
    config["listen"] = address.to_string().into();
    config["discovery"] = discovery.address.to_string().into();
    config["known"] = serde_json::Value::Null;
    let operator = serde_json::json!({"store": {"folder": folder.join("store"), "segment_mb": 1}});
    let mut node = Node {
        process: None,
        folder: folder.clone(),
        address,
    };
    std::fs::write(folder.join("config.json"), config.to_string()).expect("a file");
    std::fs::write(folder.join("operator.json"), operator.to_string()).expect("a file");
    node.start();
    let (over, counts) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Counts::default()),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (over, counts) = (over.clone(), counts.clone());
            thread::spawn(move || client(number, address, &over, &counts))
        })
        .collect();
    let mut random = 7u64;
    for _ in 0..kills {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        thread::sleep(Duration::from_millis(60 + (random >> 33) % 240));
        node.kill();
        node.start();
    }
    thread::sleep(Duration::from_millis(300));
    over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client without a complaint");
    }
    // A last death, and then all that was acknowledged is asked for again.
    node.kill();
    node.start();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for worker in &workers {
        worker
            .runs()
            .into_iter()
            .for_each(|(job, times)| *runs.entry(job).or_default() += times);
    }
    let twice: Vec<_> = runs.iter().filter(|(_, times)| **times > 1).collect();
    assert!(twice.is_empty(), "run twice: {twice:?}");
    let mut checked = 0;
    for (job, result) in workers.iter().flat_map(Worker::acknowledged) {
        let id = format!("again-{job}");
        let body = result.to_lowercase();
        let answer = send_request(
            address,
            "POST",
            "/day-plan/x",
            &fields(&id, &job),
            body.as_bytes(),
        )
        .expect("an answer");
        assert_eq!(
            (answer.status, answer.body),
            (200, result.into_bytes()),
            "{job}: acknowledged and lost"
        );
        checked += 1;
    }
    let get = |what: &AtomicU64| what.load(Ordering::SeqCst);
    println!(
        "{kills} kills: {} jobs run, {} served, {} failed, {} refused, {} broken off, {checked} results kept",
        runs.len(),
        get(&counts.served),
        get(&counts.failed),
        get(&counts.refused),
        get(&counts.broken)
    );
    assert!(get(&counts.served) > 50 && get(&counts.broken) > 5 && checked > 50);
    workers.iter().for_each(Worker::stop);
    drop(node);
    std::fs::remove_dir_all(&folder).expect("it was there");
}

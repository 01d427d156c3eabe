//! `postproxy try --fleet N`: discovery, workers and N nodes that know each other, each a process; while jobs run, one is
//! killed, one is stopped, a worker is taken out of use, and in the end all leave.

use super::{Failure, fleet};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::{Discovery, Worker, ask};
use rustix::process::{Pid, Signal, kill_process};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a step may take.
const MOST: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_secs(4);

struct Node {
    name: String,
    client: SocketAddr,
    door: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Node {
    fn start(&mut self) -> Result<(), Failure> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["serve", "--log-levels", "error", "--operator"])
            .arg(self.folder.join("operator.json"));
        command
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .stdout(Stdio::null());
        self.child = Some(command.spawn()?);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        // It is ours until it is waited for, so its number is no other's.
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    fn picture(&self) -> Option<ClusterStatus> {
        let answer = ask(self.door, "GET", "/v1/fleet/members", &[], b"").ok()?;
        serde_json::from_slice(&answer.body).ok()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A folder that goes with the trial.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    elsewhere: AtomicU64,
    over: AtomicBool,
}

/// A node's own address of the loopback network, so that its ports are its own: one that is only looked for and let go
/// can be another's before the node is there, and datagrams and streams need the same one.
fn own(n: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::from([127, 128 + (process >> 8) as u8 % 64, process as u8, n])
}

fn set_up(folder: &Path, count: usize, discovery: SocketAddr) -> Result<Vec<Node>, Failure> {
    let last = u8::try_from(count)
        .ok()
        .filter(|n| *n < 255)
        .ok_or("a trial has 254 nodes at most")?;
    let peers: Vec<SocketAddr> = (1..=last).map(|n| SocketAddr::new(own(n), 7946)).collect();
    let seeds: Vec<String> = peers.iter().take(3).map(ToString::to_string).collect();
    let voters: Vec<String> = (1..=if count < 5 { 3 } else { 5 })
        .map(|n| format!("node-{n}"))
        .collect();
    let node = |(at, n): (&SocketAddr, usize)| {
        let name = format!("node-{n}");
        let (client, door) = (
            SocketAddr::new(at.ip(), 8080),
            SocketAddr::new(at.ip(), 8081),
        );
        let mine = folder.join(&name);
        std::fs::create_dir_all(&mine)?;
        let config = serde_json::json!({
            "name": name, "listen": client.to_string(), "mgmt": door.to_string(),
            "discovery": discovery.to_string(), "seed": "7",
            "settings": {"balancers": count, "tick": 0.002, "discovery": "on_request", "dcs": ["riga"],
                "machine-types": ["std-4"], "services": [{"name": "reroute", "effect": "pure", "deadline": 6.0}],
                "limits": {"cancel": true, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3}}
        });
        let operator = serde_json::json!({"fleet": {"cluster": "try", "listen": at.to_string(), "seeds": seeds,
            "voters": voters}});
        std::fs::write(mine.join("config.json"), config.to_string())?;
        std::fs::write(mine.join("operator.json"), operator.to_string())?;
        Ok(Node {
            name,
            client,
            door,
            folder: mine,
            child: None,
        })
    };
    peers.iter().zip(1..).map(node).collect()
}

/// Waits until all of these see what is asked for, and says how long it took.
fn until(
    what: &str,
    nodes: &[&Node],
    holds: impl Fn(&ClusterStatus) -> bool,
) -> Result<(), Failure> {
    let start = Instant::now();
    while !nodes
        .iter()
        .all(|node| node.picture().is_some_and(|picture| holds(&picture)))
    {
        if start.elapsed() > MOST {
            let seen: String = nodes
                .iter()
                .filter_map(|n| Some(fleet::table(&n.picture()?)))
                .collect();
            return Err(format!("not within {MOST:?}: {what}\n{seen}").into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    println!("  {:>5.2} s  {what}", start.elapsed().as_secs_f64());
    Ok(())
}

fn whole(nodes: &[Node]) -> Result<(), Failure> {
    let all: Vec<&Node> = nodes.iter().collect();
    let up = |picture: &ClusterStatus| {
        picture
            .members
            .iter()
            .filter(|m| ["here", "alive"].contains(&&*m.state))
            .count()
    };
    until("all know all, and hear them", &all, |p| {
        p.health == "whole" && up(p) == nodes.len()
    })
}

fn state(picture: &ClusterStatus, name: &str) -> String {
    let node = picture.members.iter().find(|node| node.name == name);
    node.map(|node| node.state.clone()).unwrap_or_default()
}

/// Sends jobs, one after another, each to the next node; where nobody answers, to the one after that.
fn client(first: usize, nodes: &[SocketAddr], counts: &Counts) {
    let mut at = first;
    for n in 0u64.. {
        if counts.over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("job-{first}-{n}");
        let fields = [
            ("X-Request-Id", id.as_str()),
            ("X-Deadline", "5"),
            ("Connection", "close"),
        ];
        let mut answer = None;
        for _ in 0..nodes.len() {
            at = (at + 1) % nodes.len();
            match ask(nodes[at], "POST", "/reroute", &fields, b"riga to liepaja") {
                Ok(done) => {
                    answer = Some(done.status);
                    break;
                }
                Err(_) => {
                    counts.elsewhere.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
        let count = match answer {
            Some(200) => &counts.served,
            Some(503) => &counts.refused,
            _ => &counts.failed,
        };
        count.fetch_add(1, Ordering::SeqCst);
    }
}

/// Runs the trial.
///
/// # Errors
///
/// If a node can't be started, or a step does not come to what it should.
pub fn run(count: usize) -> Result<(), Failure> {
    let workers: Result<Vec<Worker>, _> = (0..4)
        .map(|n| Worker::start(&format!("s-{n}"), Duration::from_millis(20)))
        .collect();
    let workers = workers?;
    let discovery = Discovery::start(&workers)?;
    let folder = Folder(std::env::temp_dir().join(format!("postproxy-try-{}", std::process::id())));
    let mut nodes = set_up(&folder.0, count, discovery.address)?;
    let clients: Vec<SocketAddr> = nodes.iter().map(|node| node.client).collect();
    workers
        .iter()
        .for_each(|worker| worker.reports_to_all(&clients));
    println!(
        "{count} nodes, each a process; they know each other by {} seeds",
        count.min(3)
    );
    for node in &mut nodes {
        node.start()?;
    }
    whole(&nodes)?;
    let counts = Arc::new(Counts::default());
    let senders: Vec<_> = (0..count)
        .map(|n| (n, clients.clone(), counts.clone()))
        .map(|(n, clients, counts)| thread::spawn(move || client(n, &clients, &counts)))
        .collect();
    let result = steps(&mut nodes);
    counts.over.store(true, Ordering::SeqCst);
    for sender in senders {
        sender.join().map_err(|_| "a client panicked")?;
    }
    workers.iter().for_each(Worker::stop);
    result?;
    println!("all leave");
    leave(&mut nodes)?;
    let of = |count: &AtomicU64| count.load(Ordering::SeqCst);
    println!(
        "jobs: {} served, {} refused, {} failed; {} tries found nobody and went to another node",
        of(&counts.served),
        of(&counts.refused),
        of(&counts.failed),
        of(&counts.elsewhere)
    );
    if of(&counts.served) == 0 {
        Err("no job was served".into())
    } else {
        Ok(())
    }
}

fn steps(nodes: &mut [Node]) -> Result<(), Failure> {
    let last = nodes.len() - 1;
    let name = nodes[last].name.clone();
    println!("s-1 is taken out of use at node-1");
    let answer = ask(
        nodes[0].door,
        "POST",
        "/v1/route-workers/s-1/suspend",
        &[],
        b"",
    )?;
    println!(
        "  the door says: {}",
        String::from_utf8_lossy(&answer.body).trim_end()
    );
    let all: Vec<&Node> = nodes.iter().collect();
    until("it is out of use at all", &all, |p| {
        p.suspended_workers == ["s-1"]
    })?;
    println!("{name} is killed");
    nodes[last].signal(Signal::KILL);
    nodes[last]
        .child
        .take()
        .map(|mut child| child.wait())
        .transpose()?;
    let rest: Vec<&Node> = nodes[..last].iter().collect();
    until("the others know", &rest, |p| {
        state(p, &name) == "failed" && p.health != "whole"
    })?;
    nodes[0]
        .picture()
        .iter()
        .for_each(|picture| print!("{}", indented(&fleet::table(picture))));
    println!("{name} is started again");
    nodes[last].start()?;
    whole(nodes)?;
    let all: Vec<&Node> = nodes.iter().collect();
    until("it knows what is out of use", &all[last..], |p| {
        p.suspended_workers == ["s-1"]
    })?;
    println!("node-2 is stopped for {} s, and wakes", PAUSE.as_secs());
    nodes[1].signal(Signal::STOP);
    thread::sleep(PAUSE);
    let given_up = nodes[0]
        .picture()
        .is_some_and(|picture| state(&picture, "node-2") == "failed");
    nodes[1].signal(Signal::CONT);
    println!(
        "  the others {} meanwhile",
        if given_up {
            "gave it up"
        } else {
            "waited for it"
        }
    );
    whole(nodes)?;
    let missed = nodes[1]
        .picture()
        .map_or(0.0, |picture| picture.skipped_seconds);
    println!("  it knows that it missed {missed:.1} s");
    println!("s-1 is used again, by a word at {name}");
    ask(
        nodes[last].door,
        "POST",
        "/v1/route-workers/s-1/resume",
        &[],
        b"",
    )?;
    let all: Vec<&Node> = nodes.iter().collect();
    until("it is in use at all", &all, |p| {
        p.suspended_workers.is_empty()
    })
}

/// Ends all, one after another, each told to.
fn leave(nodes: &mut [Node]) -> Result<(), Failure> {
    for n in (1..nodes.len()).rev() {
        nodes[n].signal(Signal::TERM);
        nodes[n]
            .child
            .take()
            .map(|mut child| child.wait())
            .transpose()?;
        let name = nodes[n].name.clone();
        until(
            &format!("node-1 knows that {name} has left"),
            &[&nodes[0]],
            |p| state(p, &name) == "left",
        )?;
    }
    nodes[0].signal(Signal::TERM);
    nodes[0]
        .child
        .take()
        .map(|mut child| child.wait())
        .transpose()?;
    Ok(())
}

fn indented(text: &str) -> String {
    text.lines().map(|line| format!("  | {line}\n")).collect()
}

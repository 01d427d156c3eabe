//! `postproxy try --fleet N`: runs discovery, workers and a cluster of N nodes, each a process.
//!
//! While clients send requests, a worker is suspended, a node is killed and started again, and
//! another is paused. In the end all nodes leave.

mod clients;
mod node;

use super::{Failure, fleet};
use clients::{Clients, RequestCounts};
use node::{Node, configure_nodes, member_state};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a step may take.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the state of the nodes is queried during a step.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// For how long a node is paused.
const PAUSE: Duration = Duration::from_secs(4);
/// The number of workers.
const WORKERS: u32 = 4;
/// How long a request takes at a worker.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// The worker that is suspended.
const SUSPENDED_WORKER: &str = "s-1";

/// A folder that is removed at the end of the trial.
struct TemporaryFolder(PathBuf);

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Waits until `condition` holds in the status of each of these nodes, and prints how long that
/// took.
fn wait_until(
    description: &str,
    nodes: &[&Node],
    condition: impl Fn(&ClusterStatus) -> bool,
) -> Result<(), Failure> {
    let start = Instant::now();
    let holds = |node: &&Node| node.status().is_some_and(|status| condition(&status));
    while !nodes.iter().all(holds) {
        if start.elapsed() > STEP_TIMEOUT {
            let tables: String = nodes
                .iter()
                .filter_map(|node| Some(fleet::table(&node.status()?)))
                .collect();
            return Err(format!("not within {STEP_TIMEOUT:?}: {description}\n{tables}").into());
        }
        thread::sleep(POLL_INTERVAL);
    }
    println!("  {:>5.2} s  {description}", start.elapsed().as_secs_f64());
    Ok(())
}

/// Waits until every node sees all others as alive and reaches them.
fn wait_until_healthy(nodes: &[Node]) -> Result<(), Failure> {
    let all: Vec<&Node> = nodes.iter().collect();
    let is_alive = |state: &str| ["here", "alive"].contains(&state);
    wait_until("all know all, and hear them", &all, |status| {
        let alive = status
            .members
            .iter()
            .filter(|member| is_alive(&member.state));
        status.health == "whole" && alive.count() == nodes.len()
    })
}

/// Runs the trial with this number of nodes.
///
/// # Errors
///
/// If a node can't be started, a step doesn't succeed in time, or no request was served.
pub fn run(node_count: usize) -> Result<(), Failure> {
    let workers = (0..WORKERS)
        .map(|number| Worker::start(&format!("s-{number}"), SERVICE_TIME))
        .collect::<Result<Vec<Worker>, _>>()?;
    let discovery = Discovery::start(&workers)?;
    let folder = std::env::temp_dir().join(format!("postproxy-try-{}", std::process::id()));
    let folder = TemporaryFolder(folder);
    let mut nodes = configure_nodes(&folder.0, node_count, discovery.address)?;
    let client_addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.client_address).collect();
    workers
        .iter()
        .for_each(|worker| worker.report_to_all(&client_addresses));
    println!(
        "{node_count} nodes, each a process; they know each other by {} seeds",
        node_count.min(3)
    );
    for node in &mut nodes {
        node.start()?;
    }
    wait_until_healthy(&nodes)?;
    let clients = Clients::start(&client_addresses);
    let result = run_steps(&mut nodes);
    let counts = clients.stop()?;
    workers.iter().for_each(Worker::stop);
    result?;
    println!("all leave");
    leave(&mut nodes)?;
    report(&counts)
}

fn run_steps(nodes: &mut [Node]) -> Result<(), Failure> {
    suspend_worker(nodes)?;
    kill_last_node(nodes)?;
    restart_last_node(nodes)?;
    pause_second_node(nodes)?;
    resume_worker(nodes)
}

/// Posts a call without a body to a node's management API, and returns the text of the response.
fn post(node: &Node, target: &str) -> Result<String, Failure> {
    let response = send_request(node.management_address, "POST", target, &[], b"")?;
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}

fn suspend_worker(nodes: &[Node]) -> Result<(), Failure> {
    println!("{SUSPENDED_WORKER} is taken out of use at node-1");
    let target = format!("/v1/route-workers/{SUSPENDED_WORKER}/suspend");
    let answer = post(&nodes[0], &target)?;
    println!("  the door says: {}", answer.trim_end());
    let all: Vec<&Node> = nodes.iter().collect();
    wait_until("it is out of use at all", &all, |status| {
        status.suspended_workers == [SUSPENDED_WORKER]
    })
}

fn resume_worker(nodes: &[Node]) -> Result<(), Failure> {
    let last = &nodes[nodes.len() - 1];
    println!(
        "{SUSPENDED_WORKER} is used again, by a word at {}",
        last.name
    );
    let target = format!("/v1/route-workers/{SUSPENDED_WORKER}/resume");
    post(last, &target)?;
    let all: Vec<&Node> = nodes.iter().collect();
    wait_until("it is in use at all", &all, |status| {
        status.suspended_workers.is_empty()
    })
}

fn kill_last_node(nodes: &mut [Node]) -> Result<(), Failure> {
    let last = nodes.len() - 1;
    let name = nodes[last].name.clone();
    println!("{name} is killed");
    nodes[last].end(Signal::KILL)?;
    let others: Vec<&Node> = nodes[..last].iter().collect();
    wait_until("the others know", &others, |status| {
        member_state(status, &name) == "failed" && status.health != "whole"
    })?;
    if let Some(status) = nodes[0].status() {
        print!("{}", indented(&fleet::table(&status)));
    }
    Ok(())
}

fn restart_last_node(nodes: &mut [Node]) -> Result<(), Failure> {
    let last = nodes.len() - 1;
    println!("{} is started again", nodes[last].name);
    nodes[last].start()?;
    wait_until_healthy(nodes)?;
    wait_until("it knows what is out of use", &[&nodes[last]], |status| {
        status.suspended_workers == [SUSPENDED_WORKER]
    })
}

fn pause_second_node(nodes: &[Node]) -> Result<(), Failure> {
    let paused = &nodes[1];
    println!("node-2 is stopped for {} s, and wakes", PAUSE.as_secs());
    paused.signal(Signal::STOP);
    thread::sleep(PAUSE);
    let others_gave_up = nodes[0].sees_failed(&paused.name);
    paused.signal(Signal::CONT);
    let reaction = if others_gave_up {
        "gave it up"
    } else {
        "waited for it"
    };
    println!("  the others {reaction} meanwhile");
    wait_until_healthy(nodes)?;
    let missed = paused.status().map_or(0.0, |status| status.skipped_seconds);
    println!("  it knows that it missed {missed:.1} s");
    Ok(())
}

/// Shuts all nodes down gracefully, one after another, the first one last.
fn leave(nodes: &mut [Node]) -> Result<(), Failure> {
    for index in (1..nodes.len()).rev() {
        nodes[index].end(Signal::TERM)?;
        let name = &nodes[index].name;
        wait_until(
            &format!("node-1 knows that {name} has left"),
            &[&nodes[0]],
            |status| member_state(status, name) == "left",
        )?;
    }
    nodes[0].end(Signal::TERM)
}

fn report(counts: &RequestCounts) -> Result<(), Failure> {
    let served = counts.served.load(Ordering::SeqCst);
    println!(
        "jobs: {served} served, {} refused, {} failed; {} tries found nobody and went to another node",
        counts.rejected.load(Ordering::SeqCst),
        counts.failed.load(Ordering::SeqCst),
        counts.unreachable.load(Ordering::SeqCst)
    );
    if served == 0 {
        return Err("no job was served".into());
    }
    Ok(())
}

fn indented(text: &str) -> String {
    text.lines().map(|line| format!("  | {line}\n")).collect()
}

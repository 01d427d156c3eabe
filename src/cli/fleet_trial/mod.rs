//! `postproxy try --fleet N`: runs discovery, workers and a cluster of N nodes, each in its own
//! process.
//!
//! While clients send requests, a worker is suspended, a node is killed and started again, and
//! another is paused. At the end all nodes shut down gracefully.

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

/// Timeout of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two queries of the nodes' status during a step.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a node is paused.
const PAUSE_DURATION: Duration = Duration::from_secs(4);
/// Number of workers.
const WORKER_COUNT: u32 = 4;
/// Service time of a worker.
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
            return Err(
                format!("timed out after {STEP_TIMEOUT:?}: {description}\n{tables}").into(),
            );
        }
        thread::sleep(POLL_INTERVAL);
    }
    println!("  {:>5.2} s  {description}", start.elapsed().as_secs_f64());
    Ok(())
}

/// Waits until every node sees all others as alive and hears from them directly.
fn wait_until_healthy(nodes: &[Node]) -> Result<(), Failure> {
    let all: Vec<&Node> = nodes.iter().collect();
    let is_alive = |state: &str| ["here", "alive"].contains(&state);
    wait_until("every node sees all others as alive", &all, |status| {
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
    let workers = (0..WORKER_COUNT)
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
        "{node_count} nodes, each in its own process; they join the cluster through {} seeds",
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
    println!("shutting down all nodes");
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

/// Sends a POST request without a body to a node's management API, and returns the response body.
fn post(node: &Node, target: &str) -> Result<String, Failure> {
    let response = send_request(node.management_address, "POST", target, &[], b"")?;
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}

fn suspend_worker(nodes: &[Node]) -> Result<(), Failure> {
    println!("suspending worker {SUSPENDED_WORKER} through node-1");
    let target = format!("/v1/route-workers/{SUSPENDED_WORKER}/suspend");
    let response = post(&nodes[0], &target)?;
    println!("  response: {}", response.trim_end());
    let all: Vec<&Node> = nodes.iter().collect();
    wait_until("all nodes have suspended it", &all, |status| {
        status.suspended_workers == [SUSPENDED_WORKER]
    })
}

fn resume_worker(nodes: &[Node]) -> Result<(), Failure> {
    let last = &nodes[nodes.len() - 1];
    println!("resuming worker {SUSPENDED_WORKER} through {}", last.name);
    let target = format!("/v1/route-workers/{SUSPENDED_WORKER}/resume");
    post(last, &target)?;
    let all: Vec<&Node> = nodes.iter().collect();
    wait_until("all nodes have resumed it", &all, |status| {
        status.suspended_workers.is_empty()
    })
}

fn kill_last_node(nodes: &mut [Node]) -> Result<(), Failure> {
    let last = nodes.len() - 1;
    let name = nodes[last].name.clone();
    println!("killing {name}");
    nodes[last].end(Signal::KILL)?;
    let others: Vec<&Node> = nodes[..last].iter().collect();
    wait_until("all other nodes see it as failed", &others, |status| {
        member_state(status, &name) == "failed" && status.health != "whole"
    })?;
    if let Some(status) = nodes[0].status() {
        print!("{}", indented(&fleet::table(&status)));
    }
    Ok(())
}

fn restart_last_node(nodes: &mut [Node]) -> Result<(), Failure> {
    let last = nodes.len() - 1;
    println!("restarting {}", nodes[last].name);
    nodes[last].start()?;
    wait_until_healthy(nodes)?;
    wait_until("it knows the suspended worker", &[&nodes[last]], |status| {
        status.suspended_workers == [SUSPENDED_WORKER]
    })
}

fn pause_second_node(nodes: &[Node]) -> Result<(), Failure> {
    let paused = &nodes[1];
    println!("pausing {} for {} s", paused.name, PAUSE_DURATION.as_secs());
    paused.signal(Signal::STOP);
    thread::sleep(PAUSE_DURATION);
    let is_seen_failed = nodes[0].sees_failed(&paused.name);
    paused.signal(Signal::CONT);
    let state = if is_seen_failed {
        "failed"
    } else {
        "not failed"
    };
    println!(
        "  {} saw it as {state} at the end of the pause",
        nodes[0].name
    );
    wait_until_healthy(nodes)?;
    let skipped = paused.status().map_or(0.0, |status| status.skipped_seconds);
    println!("  it reports that it did not run for {skipped:.1} s");
    Ok(())
}

/// Shuts all nodes down gracefully, one after another, the first one last.
fn leave(nodes: &mut [Node]) -> Result<(), Failure> {
    for index in (1..nodes.len()).rev() {
        nodes[index].end(Signal::TERM)?;
        let name = &nodes[index].name;
        wait_until(
            &format!("node-1 sees that {name} has left"),
            &[&nodes[0]],
            |status| member_state(status, name) == "left",
        )?;
    }
    nodes[0].end(Signal::TERM)
}

fn report(counts: &RequestCounts) -> Result<(), Failure> {
    let served = counts.served.load(Ordering::SeqCst);
    println!(
        "requests: {served} served, {} refused, {} failed; {} attempts at unreachable nodes went on to the next node",
        counts.rejected.load(Ordering::SeqCst),
        counts.failed.load(Ordering::SeqCst),
        counts.unreachable.load(Ordering::SeqCst)
    );
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(())
}

fn indented(text: &str) -> String {
    text.lines().map(|line| format!("  | {line}\n")).collect()
}

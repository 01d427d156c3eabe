//! The nodes of the cluster trial: their configuration and processes.

use super::Failure;
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::send_request;
use rustix::process::{Pid, Signal, kill_process};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The maximum number of nodes, which are numbered by the last byte of their addresses.
const MAX_NODES: u8 = 254;
/// The port at which a node's peers reach it.
const PEER_PORT: u16 = 7946;
/// The port at which clients reach a node.
const CLIENT_PORT: u16 = 8080;
/// The port of a node's management API.
const MANAGEMENT_PORT: u16 = 8081;

/// A node in its own process, which is killed on drop.
pub(super) struct Node {
    pub(super) name: String,
    pub(super) client_address: SocketAddr,
    pub(super) management_address: SocketAddr,
    folder: PathBuf,
    process: Option<Child>,
}

impl Node {
    /// Writes the configuration of a node into its own folder. Nodes are numbered from 1.
    fn configure(number: u8, trial: &TrialSetup<'_>) -> Result<Self, Failure> {
        let name = node_name(number);
        let ip = node_ip(number);
        let peer_address = SocketAddr::new(ip, PEER_PORT);
        let client_address = SocketAddr::new(ip, CLIENT_PORT);
        let management_address = SocketAddr::new(ip, MANAGEMENT_PORT);
        let folder = trial.folder.join(&name);
        std::fs::create_dir_all(&folder)?;
        let config = serde_json::json!({
            "name": name, "listen": client_address.to_string(), "mgmt": management_address.to_string(),
            "discovery": trial.discovery.to_string(), "seed": "7",
            "settings": {"balancers": trial.node_count, "tick": 0.002, "discovery": "on_request", "dcs": ["riga"],
                "machine-types": ["std-4"], "services": [{"name": "reroute", "effect": "pure", "deadline": 6.0}],
                "limits": {"cancel": true, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3}}
        });
        let operator_config = serde_json::json!({"fleet": {"cluster": "try", "listen": peer_address.to_string(),
            "seeds": trial.seeds, "voters": trial.voters}});
        std::fs::write(folder.join("config.json"), config.to_string())?;
        std::fs::write(folder.join("operator.json"), operator_config.to_string())?;
        Ok(Self {
            name,
            client_address,
            management_address,
            folder,
            process: None,
        })
    }

    pub(super) fn start(&mut self) -> Result<(), Failure> {
        let mut command = Command::new(std::env::current_exe()?);
        command
            .args(["serve", "--log-levels", "error", "--operator"])
            .arg(self.folder.join("operator.json"));
        command
            .env("RELAY_CONFIG", self.folder.join("config.json"))
            .stdout(Stdio::null());
        self.process = Some(command.spawn()?);
        Ok(())
    }

    pub(super) fn signal(&self, signal: Signal) {
        // The process is a child that hasn't been waited for, so its id can't have been reused.
        let pid = self
            .process
            .as_ref()
            .and_then(|process| i32::try_from(process.id()).ok())
            .and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends the signal and waits for the process to exit.
    pub(super) fn end(&mut self, signal: Signal) -> Result<(), Failure> {
        self.signal(signal);
        if let Some(mut process) = self.process.take() {
            process.wait()?;
        }
        Ok(())
    }

    /// Returns the cluster's status as this node sees it; `None` if it doesn't respond.
    pub(super) fn status(&self) -> Option<ClusterStatus> {
        let address = self.management_address;
        let response = send_request(address, "GET", "/v1/fleet/members", &[], b"").ok()?;
        serde_json::from_slice(&response.body).ok()
    }

    /// Whether this node sees the node with this name as failed.
    pub(super) fn sees_failed(&self, name: &str) -> bool {
        self.status()
            .is_some_and(|status| member_state(&status, name) == "failed")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// The configuration that all nodes of a trial share.
struct TrialSetup<'a> {
    folder: &'a Path,
    discovery: SocketAddr,
    node_count: usize,
    seeds: Vec<String>,
    voters: Vec<String>,
}

/// Returns the loopback address of the node with this number. It depends on the process id, so that
/// trials at the same time don't share addresses: all ports of the address are free, and the node
/// can use one port number for both datagrams and streams.
fn node_ip(number: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::from([127, 128 + (process >> 8) as u8 % 64, process as u8, number])
}

fn node_name(number: u8) -> String {
    format!("node-{number}")
}

pub(super) fn configure_nodes(
    folder: &Path,
    node_count: usize,
    discovery: SocketAddr,
) -> Result<Vec<Node>, Failure> {
    let last = u8::try_from(node_count)
        .ok()
        .filter(|last| *last <= MAX_NODES)
        .ok_or("a trial has at most 254 nodes")?;
    let seeds = (1..=last.min(3)).map(|number| SocketAddr::new(node_ip(number), PEER_PORT));
    let voter_count = if node_count < 5 { 3 } else { 5 };
    let setup = TrialSetup {
        folder,
        discovery,
        node_count,
        seeds: seeds.map(|address| address.to_string()).collect(),
        voters: (1..=voter_count).map(node_name).collect(),
    };
    (1..=last)
        .map(|number| Node::configure(number, &setup))
        .collect()
}

/// Returns the state of the member with this name; empty if there is none.
pub(super) fn member_state(status: &ClusterStatus, name: &str) -> String {
    let member = status.members.iter().find(|member| member.name == name);
    member
        .map(|member| member.state.clone())
        .unwrap_or_default()
}

//! A cluster of processes of the real program, connected through proxies that inject network
//! faults.
#![allow(dead_code)]

use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::check::NodeLog;
use postproxy_fault_injection::{
    Event, FaultyNetwork, History, Process, Step, loopback_addresses, wait_until,
};
use socket2::Socket;
use std::net::{IpAddr, SocketAddr};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// Longest time to wait for a condition; it usually holds much sooner.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

/// A node of the cluster.
pub struct Node {
    pub name: String,
    /// `None` while the node doesn't run.
    pub process: Option<Process>,
    /// Address of the listener for clients.
    pub client_address: SocketAddr,
    /// Address of the management API.
    pub management_address: SocketAddr,
    /// Folder of its configuration, log and store.
    pub folder: PathBuf,
    /// Listener for clients that the node's processes inherit, if there is one.
    pub listener: Option<Socket>,
}

/// What an operator does with a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerAction {
    Suspend,
    Resume,
}

impl WorkerAction {
    /// Returns the name of the action in the path of the management API.
    pub fn name(self) -> &'static str {
        match self {
            Self::Suspend => "suspend",
            Self::Resume => "resume",
        }
    }
}

/// A suspend or resume that a node has accepted.
pub struct AcceptedAction {
    /// Number of the worker.
    pub worker: usize,
    pub action: WorkerAction,
}

/// A cluster with its workers and a discovery service. Nodes reach each other through proxies only.
pub struct FleetHarness {
    pub nodes: Vec<Node>,
    /// The proxies between the nodes.
    pub net: FaultyNetwork,
    pub history: History,
    pub folder: PathBuf,
    pub workers: Vec<Worker>,
    pub accepted_actions: Vec<AcceptedAction>,
    /// The discovery service of all nodes that don't have one of their own.
    pub discovery: Discovery,
}

/// Creates a folder for the files of a cluster.
fn create_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "postproxy-nodes-{}-{}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::SeqCst)
    );
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn default_workers() -> Vec<String> {
    (0..3).map(|n| format!("w-{n}")).collect()
}

fn no_sections() -> serde_json::Value {
    serde_json::json!({})
}

impl Node {
    /// Creates node `n` at an address of its own, with an empty folder. It isn't started.
    fn new(folder: &Path, n: usize, ip: IpAddr) -> Self {
        let name = format!("n{n}");
        let folder = folder.join(&name);
        std::fs::create_dir_all(&folder).expect("a folder");
        Self {
            name,
            process: None,
            client_address: SocketAddr::new(ip, 8080),
            management_address: SocketAddr::new(ip, 8081),
            folder,
            listener: None,
        }
    }

    /// Returns the node's configuration.
    fn config(&self, count: usize, discovery: &str) -> serde_json::Value {
        serde_json::json!({
            "name": self.name,
            "listen": self.client_address.to_string(),
            "mgmt": self.management_address.to_string(),
            "discovery": discovery,
            "seed": "7",
            "settings": {
                "balancers": count,
                "tick": 0.002,
                "discovery": "on_request",
                "dcs": ["riga"],
                "machine-types": ["std-4"],
                "services": [{"name": "reroute", "effect": "pure", "deadline": 6.0}],
                "limits": {"cancel": true, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3},
            },
        })
    }

    /// Returns the node's operator's file, see [`FleetHarness::with_sections`].
    fn operator_file(
        &self,
        fleet_section: serde_json::Value,
        sections: &serde_json::Value,
        has_store: bool,
    ) -> serde_json::Value {
        let mut operator = serde_json::json!({"fleet": fleet_section});
        for (name, section) in sections.as_object().into_iter().flatten() {
            if !["voters", "discovery_of"].contains(&name.as_str()) {
                operator[name] = section.clone();
            }
        }
        if has_store {
            let store = self.folder.join("store").display().to_string();
            operator["store"] = serde_json::json!({"folder": store});
        }
        operator
    }

    fn write_json(&self, file: &str, value: &serde_json::Value) {
        std::fs::write(self.folder.join(file), value.to_string()).expect("it is written");
    }
}

impl FleetHarness {
    /// Starts a cluster without stores, with workers `w-0` to `w-2`.
    pub fn new(count: usize, seed: u64) -> Self {
        Self::with_sections(count, seed, false, &default_workers(), &no_sections())
    }

    /// Starts a cluster with stores, with workers `w-0` to `w-2`.
    pub fn with_stores(count: usize, seed: u64) -> Self {
        Self::with_workers(count, seed, &default_workers())
    }

    /// Starts a cluster with stores, with workers of these names.
    pub fn with_workers(count: usize, seed: u64, names: &[String]) -> Self {
        Self::with_sections(count, seed, true, names, &no_sections())
    }

    /// Starts a cluster with these sections of the operator's file. Two keys aren't sections:
    /// `voters` is the number of voters, if not all nodes are voters; `discovery_of` maps the
    /// numbers of nodes with a discovery service of their own to its address.
    pub fn with_sections(
        count: usize,
        seed: u64,
        has_store: bool,
        names: &[String],
        sections: &serde_json::Value,
    ) -> Self {
        let folder = create_folder();
        let start_worker =
            |name: &String| Worker::start(name, Duration::from_millis(20)).expect("a worker");
        let workers: Vec<Worker> = names.iter().map(start_worker).collect();
        let discovery = Discovery::start(&workers).expect("discovery");
        let ips = loopback_addresses(count as u8);
        let client_addresses: Vec<SocketAddr> =
            ips.iter().map(|ip| SocketAddr::new(*ip, 8080)).collect();
        for worker in &workers {
            worker.report_to_all(&client_addresses);
        }
        let cluster_addresses: Vec<SocketAddr> =
            ips.iter().map(|ip| SocketAddr::new(*ip, 7946)).collect();
        let net = FaultyNetwork::start(&cluster_addresses, seed).expect("proxies");
        let mut seeds: Vec<String> = (0..count.min(3))
            .map(|n| net.proxy_address(n).to_string())
            .collect();
        // A seed that never answers. Each of the first three nodes is also its own seed.
        seeds.insert(0, "127.0.0.1:9".into());
        let voter_count = sections["voters"]
            .as_u64()
            .map_or(count | 1, |voters| voters as usize);
        let voters: Vec<String> = (0..voter_count).map(|n| format!("n{n}")).collect();
        let mut nodes = Vec::new();
        for (n, ip) in ips.iter().enumerate() {
            let node = Node::new(&folder, n, *ip);
            let own_discovery = sections["discovery_of"][n.to_string()].as_str();
            let discovery =
                own_discovery.map_or_else(|| discovery.address.to_string(), str::to_owned);
            node.write_json("config.json", &node.config(count, &discovery));
            let fleet_section = serde_json::json!({
                "cluster": "riga",
                "listen": cluster_addresses[n].to_string(),
                "advertise": net.proxy_address(n).to_string(),
                "seeds": seeds,
                "voters": voters,
            });
            let operator = node.operator_file(fleet_section, sections, has_store);
            node.write_json("operator.json", &operator);
            nodes.push(node);
        }
        let mut fleet = Self {
            nodes,
            net,
            history: History::default(),
            folder,
            workers,
            accepted_actions: Vec::new(),
            discovery,
        };
        (0..count).for_each(|n| fleet.start(n));
        fleet.wait_until_complete();
        fleet
    }

    /// Starts a node's process and waits until it is ready.
    pub fn start(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        self.history.note(Step::Start(n).to_string());
        let config = node.folder.join("config.json").display().to_string();
        let operator = node.folder.join("operator.json").display().to_string();
        let folder = node.folder.display().to_string();
        let management_address = node.management_address;
        let management = management_address.to_string();
        let descriptor = node
            .listener
            .as_ref()
            .map(|listener| listener.as_raw_fd().to_string());
        let mut environment = vec![
            ("RELAY_CONFIG", config.as_str()),
            ("TMPDIR", &folder),
            ("RELAY_MGMT", &management),
        ];
        environment.extend(
            descriptor
                .as_ref()
                .map(|number| ("RELAY_SOCKET_FD", number.as_str())),
        );
        let process = Process::start(
            env!("CARGO_BIN_EXE_postproxy").as_ref(),
            &["serve", "--operator", &operator],
            &environment,
            &node.folder.join("log"),
        );
        node.process = Some(process.expect("the program starts"));
        let is_ready = || {
            send_request(management_address, "GET", "/v1/readyz", &[], b"")
                .is_ok_and(|answer| answer.status == 200)
        };
        assert!(
            wait_until(MAX_WAIT, is_ready),
            "n{n} is not ready: {}",
            self.describe()
        );
    }

    /// Starts a client that sends one request after another to the nodes in turn and records the
    /// responses, until `stop` is set.
    pub fn spawn_client(
        &self,
        number: usize,
        stop: &Arc<AtomicBool>,
    ) -> std::thread::JoinHandle<()> {
        let history = self.history.clone();
        let stop = stop.clone();
        let nodes: Vec<SocketAddr> = self.nodes.iter().map(|node| node.client_address).collect();
        std::thread::spawn(move || {
            for request in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let n = (number + request) % nodes.len();
                let id = format!("j-{number}-{request}");
                let body = format!("work {request}");
                let fields = [
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline", "5"),
                    ("Connection", "close"),
                ];
                history.record(Event::RequestSent {
                    id: id.clone(),
                    node: n,
                });
                let answer =
                    send_request(nodes[n], "POST", "/reroute/x", &fields, body.as_bytes()).ok();
                let is_valid = answer.as_ref().is_none_or(|answer| match answer.status {
                    200 => answer.body == body.to_uppercase().as_bytes(),
                    status => [429, 502, 503, 504].contains(&status),
                });
                let status = answer.map(|answer| answer.status);
                history.record(Event::ResponseReceived {
                    id,
                    status,
                    plausible: is_valid,
                });
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    }

    /// Returns the number, the path of the log and the log of each node.
    pub fn logs(&self) -> Vec<NodeLog> {
        let log = |(n, node): (usize, &Node)| {
            let path = node.folder.join("log");
            NodeLog {
                node: n,
                path: path.display().to_string(),
                text: std::fs::read_to_string(path).unwrap_or_default(),
            }
        };
        self.nodes.iter().enumerate().map(log).collect()
    }

    /// Returns the process of a running node.
    pub fn process(&mut self, n: usize) -> &mut Process {
        self.nodes[n].process.as_mut().expect("it was started")
    }

    /// Kills a node.
    pub fn kill(&mut self, n: usize) {
        self.history.note(Step::Kill(n).to_string());
        self.process(n).kill();
        self.nodes[n].process = None;
    }

    /// Pauses the processes of these nodes for this time.
    pub fn pause(&mut self, nodes: &[usize], time: Duration) {
        self.history.note(format!("pause {nodes:?} for {time:?}"));
        nodes.iter().for_each(|n| self.process(*n).pause());
        std::thread::sleep(time);
        nodes.iter().for_each(|n| self.process(*n).resume());
        self.history.note(format!("wake {nodes:?}"));
    }

    /// Returns the status of the cluster as a node sees it.
    pub fn status(&self, n: usize) -> Option<ClusterStatus> {
        let answer = send_request(
            self.nodes[n].management_address,
            "GET",
            "/v1/fleet/members",
            &[],
            b"",
        )
        .ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Returns what `postproxy fleet members` prints for a node.
    pub fn members_command_output(&self, n: usize) -> String {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_postproxy"))
            .args([
                "fleet",
                "members",
                "--mgmt",
                &self.nodes[n].management_address.to_string(),
            ])
            .output()
            .expect("it runs");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Returns the numbers of the running nodes.
    pub fn running_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].process.is_some())
            .collect()
    }

    /// Waits until a condition holds for the status of the cluster at each of these nodes. The text
    /// names the condition in the history and in a failure message.
    pub fn wait_until(
        &self,
        condition: &str,
        nodes: &[usize],
        holds: impl Fn(usize, &ClusterStatus) -> bool,
    ) {
        let holds_at = |n: usize| self.status(n).is_some_and(|status| holds(n, &status));
        let holds_at_all = || nodes.iter().all(|n| holds_at(*n));
        assert!(
            wait_until(MAX_WAIT, holds_at_all),
            "{condition}: {}",
            self.describe()
        );
        self.history.note(condition);
    }

    /// Waits until all running nodes see each other as members of a complete cluster.
    pub fn wait_until_complete(&self) {
        let running = self.running_nodes();
        let names: Vec<&str> = running
            .iter()
            .map(|n| self.nodes[*n].name.as_str())
            .collect();
        self.wait_until("complete", &running, |_, status| {
            let is_member = |name: &&str| {
                ["alive", "here"]
                    .iter()
                    .any(|state| has_state(status, name, state))
            };
            status.is_member && status.health == "whole" && names.iter().all(is_member)
        });
    }

    /// Waits until all running nodes have exactly these workers suspended.
    pub fn wait_until_suspended(&self, condition: &str, workers: &[&str]) {
        self.wait_until(condition, &self.running_nodes(), |_, status| {
            status.suspended_workers == workers
        });
    }

    /// Suspends a worker at a node. Returns the body of the response.
    pub fn suspend(&self, n: usize, worker: &str) -> String {
        self.change_worker(n, worker, WorkerAction::Suspend)
    }

    /// Resumes a worker at a node. Returns the body of the response.
    pub fn resume(&self, n: usize, worker: &str) -> String {
        self.change_worker(n, worker, WorkerAction::Resume)
    }

    fn change_worker(&self, n: usize, worker: &str, action: WorkerAction) -> String {
        let action = action.name();
        let path = format!("/v1/route-workers/{worker}/{action}");
        let answer = send_request(self.nodes[n].management_address, "POST", &path, &[], b"")
            .expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let status = answer.status;
        self.history
            .note(format!("{action} {worker} at n{n}: {status} {text}"));
        assert_eq!(status, 200);
        text
    }

    /// Returns the number of lines in a node's log that contain a text.
    pub fn count_log_lines(&self, n: usize, text: &str) -> usize {
        let log = std::fs::read_to_string(self.nodes[n].folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Returns the history, and the status and the log of each running node, for the message of a
    /// failed assertion.
    pub fn describe(&self) -> String {
        let describe_node = |n: &usize| {
            let log = std::fs::read_to_string(self.nodes[*n].folder.join("log"));
            let log = log.unwrap_or_default();
            format!("n{n}: {:?}\n{log}\n", self.status(*n))
        };
        let nodes: String = self.running_nodes().iter().map(describe_node).collect();
        format!(
            "\n{}\n{nodes}\nlogs are in {}",
            self.history,
            self.folder.display()
        )
    }
}

/// Returns whether the status has a member of this name in this state.
pub fn has_state(status: &ClusterStatus, name: &str, state: &str) -> bool {
    status
        .members
        .iter()
        .any(|member| member.name == name && member.state == state)
}

impl Drop for FleetHarness {
    fn drop(&mut self) {
        self.nodes.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

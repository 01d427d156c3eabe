//! A fleet of processes of the real program, with relays between them, for tests.
#![allow(dead_code)]

use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::check::NodeLog;
use postproxy_fault_injection::{
    Event, FaultyNetwork, History, Process, Step, loopback_addresses, wait_until,
};
use socket2::Socket;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

/// The longest that is waited for what must come; it comes much sooner.
pub const MOST: Duration = Duration::from_secs(60);

pub struct Node {
    pub name: String,
    pub process: Option<Process>,
    pub client: SocketAddr,
    pub door: SocketAddr,
    pub folder: PathBuf,
    /// The clients' listener, where it outlives the process.
    pub listener: Option<Socket>,
}

/// Nodes with one discovery and three workers; what the nodes say to each other goes through relays.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub net: FaultyNetwork,
    pub history: History,
    pub folder: PathBuf,
    pub workers: Vec<Worker>,
    /// Words on workers that a node has said yes to: the worker, and whether it is to be used again.
    pub words: Vec<(usize, bool)>,
    /// The discovery of all that have none of their own.
    pub discovery: Discovery,
}

fn folder() -> PathBuf {
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

impl Fleet {
    /// So many nodes with three seeds at most, all of them voters where they are odd.
    pub fn new(count: usize, seed: u64, stored: bool) -> Self {
        Self::with(
            count,
            seed,
            stored,
            &["w-0".into(), "w-1".into(), "w-2".into()],
        )
    }

    /// The same with workers of these names.
    pub fn with(count: usize, seed: u64, stored: bool, names: &[String]) -> Self {
        Self::with_sections(count, seed, stored, names, &serde_json::json!({}))
    }

    /// The same with these sections of the operators' file, too; only the first so many nodes vote where `voters` says so.
    pub fn with_sections(
        count: usize,
        seed: u64,
        stored: bool,
        names: &[String],
        sections: &serde_json::Value,
    ) -> Self {
        let folder = folder();
        let start =
            |name: &String| Worker::start(name, Duration::from_millis(20)).expect("a worker");
        let workers: Vec<Worker> = names.iter().map(start).collect();
        let discovery = Discovery::start(&workers).expect("discovery");
        let own = loopback_addresses(count as u8);
        let clients: Vec<SocketAddr> = own.iter().map(|ip| SocketAddr::new(*ip, 8080)).collect();
        workers
            .iter()
            .for_each(|worker| worker.report_to_all(&clients));
        let at: Vec<SocketAddr> = own.iter().map(|ip| SocketAddr::new(*ip, 7946)).collect();
        let net = FaultyNetwork::start(&at, seed).expect("relays");
        // A seed that never answers, and the node itself, among them.
        let mut seeds: Vec<String> = (0..count.min(3))
            .map(|n| net.proxy_address(n).to_string())
            .collect();
        seeds.insert(0, "127.0.0.1:9".into());
        let votes = sections["voters"]
            .as_u64()
            .map_or(count | 1, |votes| votes as usize);
        let voters: Vec<String> = (0..votes).map(|n| format!("n{n}")).collect();
        let nodes = (0..count).map(|n| {
            let name = format!("n{n}");
            let mine = folder.join(&name);
            std::fs::create_dir_all(&mine).expect("a folder");
            let (client, door) = (SocketAddr::new(own[n], 8080), SocketAddr::new(own[n], 8081));
            // Some nodes have a discovery of their own.
            let own_discovery = sections["discovery_of"][n.to_string()].as_str().map(str::to_owned);
            let config = serde_json::json!({
                "name": name, "listen": client.to_string(), "mgmt": door.to_string(),
                "discovery": own_discovery.unwrap_or(discovery.address.to_string()), "seed": "7",
                "settings": {"balancers": count, "tick": 0.002, "discovery": "on_request", "dcs": ["riga"],
                    "machine-types": ["std-4"], "services": [{"name": "reroute", "effect": "pure", "deadline": 6.0}],
                    "limits": {"cancel": true, "conn-idle": 5.0, "dial-timeout": 0.25, "max-attempts": 3}}
            });
            std::fs::write(mine.join("config.json"), config.to_string()).expect("it is written");
            let mut operator = serde_json::json!({"fleet": {"cluster": "riga", "listen": at[n].to_string(),
                "advertise": net.proxy_address(n).to_string(), "seeds": seeds, "voters": voters}});
            for (name, section) in sections.as_object().into_iter().flatten().filter(|(name, _)| !["voters", "discovery_of"].contains(&name.as_str())) {
                operator[name] = section.clone();
            }
            if stored {
                operator["store"] = serde_json::json!({"folder": mine.join("store").display().to_string()});
            }
            std::fs::write(mine.join("operator.json"), operator.to_string()).expect("it is written");
            Node { name, process: None, client, door, folder: mine, listener: None }
        });
        let nodes = nodes.collect();
        let mut fleet = Self {
            nodes,
            net,
            history: History::default(),
            folder,
            workers,
            words: Vec::new(),
            discovery,
        };
        (0..count).for_each(|n| fleet.start(n));
        fleet.whole();
        fleet
    }

    pub fn start(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        self.history.note(Step::Start(n).to_string());
        let (config, operator) = (
            node.folder.join("config.json"),
            node.folder.join("operator.json"),
        );
        let (config, operator) = (config.display().to_string(), operator.display().to_string());
        let (folder, door) = (node.folder.display().to_string(), node.door.to_string());
        let descriptor = node
            .listener
            .as_ref()
            .map(|listener| listener.as_raw_fd().to_string());
        let mut environment = vec![
            ("RELAY_CONFIG", config.as_str()),
            ("TMPDIR", &folder),
            ("RELAY_MGMT", &door),
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
        let door = node.door;
        let ready = || {
            send_request(door, "GET", "/v1/readyz", &[], b"")
                .is_ok_and(|answer| answer.status == 200)
        };
        assert!(
            wait_until(MOST, ready),
            "n{n} is not ready: {}",
            self.told()
        );
    }

    /// A client that sends a job after another to the nodes in turn, and notes what it is told, until it is over.
    pub fn client(&self, number: usize, over: &Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
        let (history, over) = (self.history.clone(), over.clone());
        let nodes: Vec<SocketAddr> = self.nodes.iter().map(|node| node.client).collect();
        std::thread::spawn(move || {
            for job in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let (n, id, body) = (
                    (number + job) % nodes.len(),
                    format!("j-{number}-{job}"),
                    format!("work {job}"),
                );
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
                let sound = answer.as_ref().is_none_or(|answer| match answer.status {
                    200 => answer.body == body.to_uppercase().as_bytes(),
                    status => [429, 502, 503, 504].contains(&status),
                });
                history.record(Event::ResponseReceived {
                    id,
                    status: answer.map(|answer| answer.status),
                    plausible: sound,
                });
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    }

    /// Each node's log, by its number.
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

    pub fn process(&mut self, n: usize) -> &mut Process {
        self.nodes[n].process.as_mut().expect("it was started")
    }

    pub fn kill(&mut self, n: usize) {
        self.history.note(Step::Kill(n).to_string());
        self.process(n).kill();
        self.nodes[n].process = None;
    }

    pub fn pause(&mut self, nodes: &[usize], time: Duration) {
        self.history.note(format!("pause {nodes:?} for {time:?}"));
        nodes.iter().for_each(|n| self.process(*n).pause());
        std::thread::sleep(time);
        nodes.iter().for_each(|n| self.process(*n).resume());
        self.history.note(format!("wake {nodes:?}"));
    }

    pub fn picture(&self, n: usize) -> Option<ClusterStatus> {
        let answer = send_request(self.nodes[n].door, "GET", "/v1/fleet/members", &[], b"").ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// What `postproxy fleet members` prints of a node.
    pub fn told_by_command(&self, n: usize) -> String {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_postproxy"))
            .args([
                "fleet",
                "members",
                "--mgmt",
                &self.nodes[n].door.to_string(),
            ])
            .output()
            .expect("it runs");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    pub fn living(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].process.is_some())
            .collect()
    }

    /// Waits until a condition holds for the picture that each of these nodes gives.
    pub fn until(
        &self,
        what: &str,
        nodes: &[usize],
        holds: impl Fn(usize, &ClusterStatus) -> bool,
    ) {
        let all = || {
            nodes
                .iter()
                .all(|n| self.picture(*n).is_some_and(|picture| holds(*n, &picture)))
        };
        assert!(wait_until(MOST, all), "{what}: {}", self.told());
        self.history.note(what);
    }

    pub fn whole(&self) {
        let living = self.living();
        let names: Vec<&str> = living
            .iter()
            .map(|n| self.nodes[*n].name.as_str())
            .collect();
        self.until("whole", &living, |_, picture| {
            let up = |name: &&str| {
                picture
                    .members
                    .iter()
                    .any(|m| m.name == **name && ["alive", "here"].contains(&m.state.as_str()))
            };
            picture.member && picture.standing == "whole" && names.iter().all(up)
        });
    }

    pub fn suspend(&self, n: usize, worker: &str, again: bool) -> String {
        let word = if again { "resume" } else { "suspend" };
        let answer = send_request(
            self.nodes[n].door,
            "POST",
            &format!("/v1/route-workers/{worker}/{word}"),
            &[],
            b"",
        );
        let answer = answer.expect("an answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        self.history
            .note(format!("{word} {worker} at n{n}: {} {text}", answer.status));
        assert_eq!(answer.status, 200);
        text
    }

    pub fn bans(&self, what: &str, wanted: &[&str]) {
        self.until(what, &self.living(), |_, picture| picture.bans == wanted);
    }

    /// How many lines of a node's log hold this.
    pub fn lines(&self, n: usize, word: &str) -> usize {
        let log = std::fs::read_to_string(self.nodes[n].folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(word)).count()
    }

    /// All that a reader needs who wants to know why.
    pub fn told(&self) -> String {
        let picture = |n: &usize| {
            format!("n{n}: {:?}\n{}\n", self.picture(*n), {
                std::fs::read_to_string(self.nodes[*n].folder.join("log")).unwrap_or_default()
            })
        };
        let pictures: String = self.living().iter().map(picture).collect();
        format!(
            "\n{}\n{pictures}\nlogs are in {}",
            self.history,
            self.folder.display()
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

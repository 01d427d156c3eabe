//! A node of the real program with a store, alone in its cluster, with a list of three workers at
//! fixed addresses.

use super::TemporaryFolder;
use super::jobs::Job;
use postproxy::stand_ins::send_request;
use postproxy_fault_injection::{Process, loopback_addresses, wait_until};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Longest time to wait for a condition; it usually holds much sooner.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// An address at which no discovery service listens.
pub const NO_DISCOVERY: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// Returns the address of a worker in the stored worker list.
pub fn worker_address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 44, 1, number + 1], 9001))
}

pub struct Node {
    pub clients: SocketAddr,
    pub management: SocketAddr,
    pub store: PathBuf,
    process: Process,
    _folder: TemporaryFolder,
}

impl Node {
    /// Starts the program with a store that `fill` has written to its folder.
    pub fn start(discovery: SocketAddr, fill: impl FnOnce(&std::path::Path)) -> Self {
        let folder = TemporaryFolder::new();
        let ip = loopback_addresses(1)[0];
        let (clients, management) = (SocketAddr::new(ip, 8080), SocketAddr::new(ip, 8081));
        let store = folder.path("store");
        fill(&store);
        let mut config: serde_json::Value =
            serde_json::from_str(include_str!("../../examples/config.json")).expect("the example");
        config["listen"] = clients.to_string().into();
        config["mgmt"] = management.to_string().into();
        config["discovery"] = discovery.to_string().into();
        config["known"] = serde_json::Value::Null;
        let operator = serde_json::json!({
            "store": {"folder": store, "segment_mb": 1},
            "fleet": {"cluster": "riga", "listen": SocketAddr::new(ip, 7946).to_string(), "voters": ["n0"]}
        });
        let (config_file, operator_file) =
            (folder.path("config.json"), folder.path("operator.json"));
        std::fs::write(&config_file, config.to_string()).expect("a file");
        std::fs::write(&operator_file, operator.to_string()).expect("a file");
        let process = Process::start(
            env!("CARGO_BIN_EXE_postproxy").as_ref(),
            &["serve", "--operator", &operator_file.display().to_string()],
            &[
                ("RELAY_CONFIG", &config_file.display().to_string()),
                ("TMPDIR", &folder.path("").display().to_string()),
            ],
            &folder.path("log"),
        );
        let node = Self {
            clients,
            management,
            store,
            process: process.expect("the program starts"),
            _folder: folder,
        };
        let ready = || {
            send_request(management, "GET", "/v1/readyz", &[], b"").is_ok_and(|a| a.status == 200)
        };
        assert!(
            wait_until(TEST_TIMEOUT, ready),
            "the node is not ready: {}",
            node.process.log_text()
        );
        node
    }

    /// Returns the suspended workers from the node's management API.
    pub fn suspended(&self) -> Vec<String> {
        let answer =
            send_request(self.management, "GET", "/v1/fleet/members", &[], b"").expect("an answer");
        let members: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
        let names = members["bans"].as_array().expect("a list");
        names
            .iter()
            .map(|name| name.as_str().expect("a name").to_owned())
            .collect()
    }

    /// Submits a job with this id and key; returns the status code and the body of the response.
    pub fn submit(&self, id: &str, key: Option<&str>, job: &Job, deadline: &str) -> (u16, String) {
        let mut fields = vec![
            ("X-Request-Id", id),
            ("X-Deadline", deadline),
            ("Connection", "close"),
        ];
        fields.extend(key.map(|key| ("Idempotency-Key", key)));
        let answer = send_request(
            self.clients,
            "POST",
            &job.target(),
            &fields,
            job.body.as_bytes(),
        );
        let answer = answer.expect("an answer");
        (answer.status, String::from_utf8(answer.body).expect("text"))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.kill();
    }
}

//! Several processes of the real program that form a cluster, with faults of processes and of the
//! network.

#[path = "../support/fleet_harness.rs"]
mod fleet_harness;

mod failures;
mod identity;
mod invalid_traffic;
mod partitions;
mod schedules;
mod suspensions;
mod trial;

use fleet_harness::{FleetHarness, MAX_WAIT};
use postproxy_fault_injection::wait_until;
use socket2::{Domain, Socket, Type};
use std::time::Duration;

/// Time within which a node stores a change of its state, with a margin: changes are saved every
/// second.
const STORE_INTERVAL: Duration = Duration::from_millis(2500);

impl FleetHarness {
    /// Changes a node's operator's file.
    fn change_operator_file(&self, n: usize, change: impl FnOnce(&mut serde_json::Value)) {
        let file = self.nodes[n].folder.join("operator.json");
        let text = std::fs::read_to_string(&file).expect("text");
        let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        change(&mut json);
        std::fs::write(&file, json.to_string()).expect("it is written");
    }

    /// Opens a listener for clients that the future processes of a node inherit; the node must not
    /// be running.
    fn open_inherited_listener(&mut self, n: usize) {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.set_reuse_address(true).expect("a setting");
        listener
            .bind(&self.nodes[n].client_address.into())
            .expect("its address");
        listener.listen(64).expect("it listens");
        listener.set_cloexec(false).expect("it is inherited");
        self.nodes[n].listener = Some(listener);
    }

    /// Signals a node's process to stop, and waits until it has shut down gracefully.
    fn shut_down(&mut self, n: usize) {
        self.process(n).terminate();
        assert!(
            wait_until(MAX_WAIT, || self.process(n).exit_success() == Some(true)),
            "the process ends in good order"
        );
        self.nodes[n].process = None;
    }

    /// Asserts that the log of a node has no line on a failed peer.
    fn assert_no_failure_logged(&self, n: usize) {
        let failures = self.count_log_lines(n, "peer failed");
        assert_eq!(failures, 0, "n{n}: {}", self.describe());
    }

    /// Sends a readiness check to a node. Returns the status code of the response.
    fn readiness_status(&self, n: usize, id: &str) -> Option<u16> {
        let fields = [("X-Request-Id", id), ("X-Deadline", "5")];
        let client_address = self.nodes[n].client_address;
        postproxy::stand_ins::send_request(client_address, "GET", "/-/ready", &fields, b"")
            .ok()
            .map(|answer| answer.status)
    }
}

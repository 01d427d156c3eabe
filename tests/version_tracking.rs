//! Version tracking with processes of the real program: a node whose discovery is stuck gets the
//! worker list from its peers.

#[path = "support/fleet_harness.rs"]
mod fleet_harness;

use fleet_harness::{FleetHarness, MAX_WAIT};
use postproxy::stand_ins::{Discovery, send_request};
use postproxy_fault_injection::{loopback_addresses, wait_until};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The index of the node whose discovery is stuck.
const STUCK_NODE: usize = 2;
/// The number of nodes.
const NODES: usize = 3;
/// The number of clients that send requests to the stuck node.
const CLIENTS: usize = 3;
/// The worker that is drained.
const DRAINED_WORKER: &str = "w-0";

/// The section `audit` of all nodes.
#[derive(Clone, Copy)]
enum AuditSection {
    /// There is none.
    Absent,
    /// All nodes give their discovery the same name.
    SameDiscovery,
    /// The discovery is known by its address, which differs at the stuck node.
    OtherDiscovery,
}

/// Starts nodes of which the last one polls a discovery service of its own, whose list never
/// changes.
fn start_cluster(seed: u64, audit: AuditSection) -> (FleetHarness, Discovery) {
    let workers = ["w-0", "w-1", "w-2"].map(str::to_owned);
    let stuck_address = SocketAddr::new(loopback_addresses(1)[0], 8500);
    let mut sections = serde_json::json!({"discovery_of": {"2": stuck_address.to_string()}});
    match audit {
        AuditSection::Absent => {}
        AuditSection::SameDiscovery => sections["audit"] = serde_json::json!({"discovery": "riga"}),
        AuditSection::OtherDiscovery => sections["audit"] = serde_json::json!({}),
    }
    let fleet = FleetHarness::with_sections(NODES, seed, false, &workers, &sections);
    // This discovery service needs the addresses of the workers, which the cluster starts, so it is
    // started after its node, which polls until it answers.
    let stuck_discovery = Discovery::start_at(stuck_address, &fleet.workers).expect("discovery");
    (fleet, stuck_discovery)
}

/// Returns the versions of all nodes from the management API of a node, its own first.
fn versions(fleet: &FleetHarness, node: usize) -> Option<serde_json::Value> {
    let management = fleet.nodes[node].management_address;
    let response = send_request(management, "GET", "/v1/fleet/versions", &[], b"").ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Returns the number of the worker list that a node uses.
fn worker_list_number(fleet: &FleetHarness, node: usize) -> Option<u64> {
    let nodes = versions(fleet, node)?;
    nodes[0]["versions"]
        .as_array()?
        .iter()
        .find(|version| version["kind"] == "list")?["number"]
        .as_u64()
}

/// Returns whether all nodes use the worker list with this number.
fn all_use(fleet: &FleetHarness, number: u64) -> bool {
    (0..NODES).all(|node| worker_list_number(fleet, node) == Some(number))
}

/// Starts a client that sends requests to this address until it is stopped.
fn start_client(number: usize, node: SocketAddr, stopped: &Arc<AtomicBool>) -> JoinHandle<()> {
    let stopped = stopped.clone();
    thread::spawn(move || {
        for request in 0.. {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("a-{number}-{request}");
            let fields = [
                ("X-Request-Id", id.as_str()),
                ("X-Deadline", "5"),
                ("Connection", "close"),
            ];
            let _ = send_request(node, "POST", "/reroute/x", &fields, b"work");
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// Drains a worker in the cluster's discovery while clients send requests to the stuck node, and
/// observes the worker for the time `observed`. Returns the time from the drain until the last
/// attempt at this worker; `None` if there was none.
fn last_attempt_after_drain(fleet: &FleetHarness, observed: Duration) -> Option<Duration> {
    let stopped = Arc::new(AtomicBool::new(false));
    let node = fleet.nodes[STUCK_NODE].client_address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| start_client(number, node, &stopped))
        .collect();
    let run_count = || fleet.workers[0].runs().len();
    assert!(
        wait_until(MAX_WAIT, || run_count() > 5),
        "the worker is used: {}",
        fleet.describe()
    );
    fleet.discovery.drain(DRAINED_WORKER);
    let start = Instant::now();
    let mut last_attempt = None;
    let mut last_run_count = run_count();
    while start.elapsed() < observed {
        let run_count = run_count();
        if run_count > last_run_count {
            last_attempt = Some(start.elapsed());
            last_run_count = run_count;
        }
        thread::sleep(Duration::from_millis(2));
    }
    stopped.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    fleet.history.note(format!(
        "the last attempt was made {last_attempt:?} after the drain"
    ));
    last_attempt
}

/// A node that is behind gets the newer list from a peer and uses it: no further attempt is made at
/// the drained worker.
#[test]
fn a_node_whose_discovery_is_stuck_catches_up_from_its_peers() {
    let (fleet, _stuck_discovery) = start_cluster(41, AuditSection::SameDiscovery);
    assert!(
        wait_until(MAX_WAIT, || all_use(&fleet, 1)),
        "not all nodes use list 1: {}",
        fleet.describe()
    );
    let last = last_attempt_after_drain(&fleet, Duration::from_secs(5));
    println!("the last attempt was made {last:?} after the drain");
    assert!(
        last.is_none_or(|last| last < Duration::from_secs(2)),
        "{last:?}: {}",
        fleet.describe()
    );
    assert!(
        wait_until(MAX_WAIT, || all_use(&fleet, 2)),
        "not all nodes use list 2: {}",
        fleet.describe()
    );
    assert!(
        fleet.count_log_lines(STUCK_NODE, "node caught up kind=\"list\" source=Peer") >= 1,
        "{}",
        fleet.describe()
    );
    check_audit_log(&fleet);
}

/// Checks that the audit log of the stuck node names the peer that sent the list, and counts the
/// actions under each view.
fn check_audit_log(fleet: &FleetHarness) {
    let management = fleet.nodes[STUCK_NODE].management_address;
    let response = send_request(management, "GET", "/v1/fleet/audit", &[], b"").expect("an answer");
    let log: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    let entries = log["records"].as_array().expect("records");
    let adopted = entries
        .iter()
        .rev()
        .find(|entry| entry["what"]["adopted"][0] == "list");
    let peer = adopted.and_then(|entry| entry["what"]["adopted"][2]["peer"].as_str());
    assert!(
        peer.is_some_and(|peer| peer.starts_with('n')),
        "the entry names the peer: {log}"
    );
    let earlier_actions: u64 = entries
        .iter()
        .filter_map(|entry| entry["acts"].as_u64())
        .sum();
    assert!(
        earlier_actions > 5 && log["acts"].as_u64() > Some(5),
        "actions under the earlier views and under the latest one: {log}"
    );
}

/// A node ignores lists from another discovery than its own, and continues to use the drained
/// worker; without the section `audit`, nodes send no lists to each other, with the same result.
#[test]
fn lists_of_another_discovery_are_ignored_and_without_the_audit_none_are_passed_on() {
    let (fleet, _stuck_discovery) = start_cluster(42, AuditSection::OtherDiscovery);
    assert!(
        wait_until(MAX_WAIT, || all_use(&fleet, 1)),
        "not all nodes use list 1: {}",
        fleet.describe()
    );
    let last = last_attempt_after_drain(&fleet, Duration::from_secs(4));
    assert!(
        last > Some(Duration::from_secs(3)),
        "lists of another discovery are ignored: {last:?}: {}",
        fleet.describe()
    );
    assert_eq!(
        (
            worker_list_number(&fleet, 1),
            worker_list_number(&fleet, STUCK_NODE)
        ),
        (Some(2), Some(1))
    );
    drop(fleet);
    let (fleet, _stuck_discovery) = start_cluster(43, AuditSection::Absent);
    let last = last_attempt_after_drain(&fleet, Duration::from_secs(4));
    assert!(
        last > Some(Duration::from_secs(3)),
        "{last:?}: {}",
        fleet.describe()
    );
    let management = fleet.nodes[0].management_address;
    let response =
        send_request(management, "GET", "/v1/fleet/versions", &[], b"").expect("an answer");
    assert_eq!(response.status, 404);
}

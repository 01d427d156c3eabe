//! Several processes of the real program, of which one has a discovery that is stuck: it is brought up by the others.

#[path = "support/fleet_harness.rs"]
mod fleet_harness;

use fleet_harness::{FleetHarness, MAX_WAIT};
use postproxy::stand_ins::{Discovery, ask};
use postproxy_fault_injection::{addresses, wait};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Three nodes whose last one asks a discovery of its own, which stays as it is; all name discovery alike, or that one does not.
fn fleet(seed: u64, alike: bool, audit: bool) -> (FleetHarness, Discovery) {
    let names = ["w-0".to_owned(), "w-1".to_owned(), "w-2".to_owned()];
    // It has to know the workers, which the fleet starts: so it comes up after its node, which asks until it is there.
    let stuck = std::net::SocketAddr::new(addresses(1)[0], 8500);
    let mut sections = serde_json::json!({"discovery_of": {"2": stuck.to_string()}});
    if audit {
        sections["audit"] = if alike {
            serde_json::json!({"discovery": "riga"})
        } else {
            serde_json::json!({})
        };
    }
    let fleet = FleetHarness::with_sections(3, seed, false, &names, &sections);
    let discovery = Discovery::start_at(stuck, &fleet.workers).expect("discovery");
    (fleet, discovery)
}

fn versions(fleet: &FleetHarness, n: usize) -> Option<serde_json::Value> {
    let answer = ask(
        fleet.nodes[n].management_address,
        "GET",
        "/v1/fleet/versions",
        &[],
        b"",
    )
    .ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn list(fleet: &FleetHarness, n: usize) -> Option<u64> {
    let all = versions(fleet, n)?;
    all[0]["versions"]
        .as_array()?
        .iter()
        .find(|v| v["kind"] == "list")?["number"]
        .as_u64()
}

/// Clients send at the last node all the time; how long after the drain the last job went to the drained worker.
fn last_send(fleet: &FleetHarness, drain: impl Fn(), time: Duration) -> Option<Duration> {
    let over = Arc::new(AtomicBool::new(false));
    let client = |number: usize| {
        let (over, at) = (over.clone(), fleet.nodes[2].client_address);
        std::thread::spawn(move || {
            for job in 0.. {
                if over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("a-{number}-{job}");
                let fields = [
                    ("X-Request-Id", id.as_str()),
                    ("X-Deadline", "5"),
                    ("Connection", "close"),
                ];
                let _ = ask(at, "POST", "/reroute/x", &fields, b"work");
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let clients: Vec<_> = (0..3).map(client).collect();
    let runs = || fleet.workers[0].runs().len();
    assert!(
        wait(MAX_WAIT, || runs() > 5),
        "the worker is used: {}",
        fleet.describe()
    );
    drain();
    let (start, mut last, mut before) = (Instant::now(), None, runs());
    while start.elapsed() < time {
        let now = runs();
        if now > before {
            (last, before) = (Some(start.elapsed()), now);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    over.store(true, Ordering::SeqCst);
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    fleet
        .history
        .note(format!("the last send came {last:?} after the drain"));
    last
}

/// *A node that is behind is told by any node that has what is newer, and acts on it.* Without the audit it sends to the drained
/// worker for ever: the same clients, the same drain.
#[test]
fn a_node_whose_discovery_is_stuck_is_brought_up_by_the_others() {
    let (fleet, _stuck) = fleet(41, true, true);
    assert!(
        wait(MAX_WAIT, || (0..3).all(|n| list(&fleet, n) == Some(1))),
        "{}",
        fleet.describe()
    );
    let last = last_send(
        &fleet,
        || fleet.discovery.drain("w-0"),
        Duration::from_secs(5),
    );
    println!("the last send came {last:?} after the drain");
    assert!(
        last.is_none_or(|last| last < Duration::from_secs(2)),
        "{last:?}: {}",
        fleet.describe()
    );
    assert!(
        wait(MAX_WAIT, || (0..3).all(|n| list(&fleet, n) == Some(2))),
        "all act on it: {}",
        fleet.describe()
    );
    assert!(
        fleet.count_log_lines(2, "this node is brought up kind=\"list\" source=Peer") >= 1,
        "{}",
        fleet.describe()
    );
    let answer = ask(
        fleet.nodes[2].management_address,
        "GET",
        "/v1/fleet/audit",
        &[],
        b"",
    )
    .expect("an answer");
    let trail: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let adopted = trail["records"]
        .as_array()
        .expect("records")
        .iter()
        .rev()
        .find(|r| r["what"]["adopted"][0] == "list");
    let peer = adopted.and_then(|r| r["what"]["adopted"][2]["peer"].as_str().map(str::to_owned));
    assert!(
        peer.is_some_and(|peer| peer.starts_with('n')),
        "from whom: {trail}"
    );
    let acts: u64 = trail["records"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|r| r["acts"].as_u64())
        .sum();
    assert!(
        acts > 5 && trail["acts"].as_u64() > Some(5),
        "acts under the view before, and since: {trail}"
    );
}

/// Guards against a list that is taken from a discovery which the node's own configuration does not name, and shows what the harm
/// is without the audit.
#[test]
fn of_another_discovery_nothing_is_taken_and_without_the_audit_nothing_is_told() {
    let (other, _stuck) = fleet(42, false, true);
    assert!(
        wait(MAX_WAIT, || (0..3).all(|n| list(&other, n) == Some(1))),
        "{}",
        other.describe()
    );
    let last = last_send(
        &other,
        || other.discovery.drain("w-0"),
        Duration::from_secs(4),
    );
    assert!(
        last > Some(Duration::from_secs(3)),
        "it has another discovery: {last:?}: {}",
        other.describe()
    );
    assert_eq!((list(&other, 1), list(&other, 2)), (Some(2), Some(1)));
    drop(other);
    let (without, _stuck) = fleet(43, true, false);
    let last = last_send(
        &without,
        || without.discovery.drain("w-0"),
        Duration::from_secs(4),
    );
    assert!(
        last > Some(Duration::from_secs(3)),
        "{last:?}: {}",
        without.describe()
    );
    assert_eq!(
        ask(
            without.nodes[0].management_address,
            "GET",
            "/v1/fleet/versions",
            &[],
            b""
        )
        .expect("an answer")
        .status,
        404
    );
}

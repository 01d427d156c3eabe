//! Workers that are suspended for the whole cluster, during partitions, restarts and disk faults.

use crate::STORE_INTERVAL;
use crate::fleet_harness::{FleetHarness, MAX_WAIT};
use postproxy::stand_ins::send_request;
use postproxy_fault_injection::{LinkFaults, wait_until};
use std::net::SocketAddr;
use std::time::Duration;

#[test]
fn suspensions_hold_over_partitions_and_restarts() {
    let mut fleet = FleetHarness::with_stores(3, 6);
    assert_eq!(fleet.suspend(0, "w-0"), "yes, at 3 of 3 nodes\n");
    fleet.wait_until_suspended("w-0 is suspended", &["w-0"]);
    fleet.net.partition(&[0], &[1, 2]);
    fleet.history.note("cut");
    // Whether or not the partition is detected yet, a change is recorded on its own side only.
    assert_eq!(fleet.resume(0, "w-0"), "yes, at 1 of 3 nodes\n");
    assert_eq!(fleet.suspend(1, "w-1"), "yes, at 2 of 3 nodes\n");
    fleet.suspend(0, "w-1");
    // The suspend of the other side counts more than this resume, which was made without knowledge
    // of it.
    fleet.resume(2, "w-1");
    fleet.net.heal();
    fleet.wait_until_complete();
    fleet.wait_until_suspended("they agree", &["w-1"]);
    fleet.suspend(2, "w-2");
    fleet.wait_until_suspended("two are suspended", &["w-1", "w-2"]);
    std::thread::sleep(STORE_INTERVAL);
    for n in 0..3 {
        fleet.kill(n);
    }
    for n in [2, 0, 1] {
        fleet.start(n);
    }
    fleet.wait_until_complete();
    fleet.wait_until_suspended("restored", &["w-1", "w-2"]);
    assert_eq!(fleet.resume(1, "w-1"), "yes, at 3 of 3 nodes\n");
    fleet.wait_until_suspended("w-1 is resumed", &["w-2"]);
}

/// The suspensions don't fit into a datagram, so they are sent over streams, which are reset or
/// slow. One node starts without a store.
#[test]
fn many_suspensions_are_synchronised_over_faulty_streams() {
    let names: Vec<String> = (0..40)
        .map(|n| format!("w-{n:03}-{}", "x".repeat(200)))
        .collect();
    let mut fleet = FleetHarness::with_workers(3, 11, &names);
    fleet.net.partition(&[0], &[1, 2]);
    fleet.history.note("cut");
    for (n, name) in names.iter().enumerate() {
        fleet.suspend(if n % 2 == 0 { 0 } else { 1 }, name);
    }
    fleet.net.heal();
    fleet.net.set_all_links(LinkFaults {
        reset_rate: 0.5,
        max_delay: Duration::from_millis(20),
        ..LinkFaults::default()
    });
    fleet.history.note("streams are reset");
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.wait_until_suspended("they agree although streams are reset", &all);
    fleet.net.set_all_links(LinkFaults {
        max_bytes_per_second: 8 << 10,
        ..LinkFaults::default()
    });
    fleet.history.note("streams are slow");
    fleet.kill(2);
    std::fs::remove_dir_all(fleet.nodes[2].folder.join("store")).expect("its store");
    fleet.start(2);
    fleet.wait_until_complete();
    fleet.wait_until_suspended("slow streams, and n2 restarted without a store", &all);
    fleet.net.heal();
}

/// A worker that was suspended at a node before the section `fleet` was configured there becomes
/// suspended for the cluster, unless the cluster has resumed it.
#[test]
fn earlier_local_suspension_is_adopted_by_the_cluster() {
    let mut fleet = FleetHarness::new(3, 14);
    fleet.kill(1);
    fleet.open_inherited_listener(1);
    let mut section = serde_json::Value::Null;
    fleet.change_operator_file(1, |json| section = json["fleet"].take());
    fleet.change_operator_file(1, |json| *json = serde_json::json!({}));
    fleet.start(1);
    assert_eq!(fleet.suspend(1, "w-1"), "yes\n");
    fleet.suspend(0, "w-2");
    fleet.resume(0, "w-2");
    // Suspended at this node, and resumed by the cluster: the cluster's record counts.
    assert_eq!(fleet.suspend(1, "w-2"), "yes\n");
    fleet.change_operator_file(1, |json| json["fleet"] = section);
    let first_management = fleet.nodes[1].management_address;
    let mut first = fleet.nodes[1].process.take().expect("it was started");
    fleet.nodes[1].management_address = SocketAddr::new(first_management.ip(), 8082);
    fleet.start(1);
    fleet.wait_until_complete();
    fleet.wait_until_suspended("known to all", &["w-1"]);
    first.terminate();
    assert!(
        wait_until(MAX_WAIT, || first.exit_success() == Some(true)),
        "the first process ends"
    );
    fleet.wait_until_suspended("unchanged after the handover", &["w-1"]);
}

/// A node that restarts with an older copy of its store, on a disk on which each sync takes 2 s,
/// rejoins the cluster and undoes no change.
#[test]
fn older_store_and_slow_disk_change_no_suspension() {
    let mut fleet = FleetHarness::with_stores(3, 15);
    fleet.suspend(0, "w-0");
    fleet.suspend(0, "w-1");
    fleet.wait_until_suspended("two are suspended", &["w-0", "w-1"]);
    std::thread::sleep(STORE_INTERVAL);
    fleet.shut_down(2);
    let store = fleet.nodes[2].folder.join("store");
    let older_store = fleet.nodes[2].folder.join("old");
    std::fs::create_dir_all(&older_store).expect("a folder");
    for entry in std::fs::read_dir(&store).expect("its store") {
        let path = entry.expect("a file").path();
        let copy = older_store.join(path.file_name().expect("a name"));
        std::fs::copy(&path, copy).expect("a copy");
    }
    fleet.start(2);
    fleet.wait_until_complete();
    fleet.resume(1, "w-1");
    fleet.suspend(1, "w-2");
    fleet.wait_until_suspended("the latest changes", &["w-0", "w-2"]);
    fleet.kill(2);
    std::fs::remove_dir_all(&store).expect("its store");
    std::fs::rename(&older_store, &store).expect("the older store");
    fleet.change_operator_file(2, |json| json["store"]["sync_delay_ms"] = 2000.into());
    fleet.history.note("n2 has its older store, on a slow disk");
    fleet.start(2);
    fleet.wait_until_complete();
    fleet.wait_until_suspended("the older store changes nothing", &["w-0", "w-2"]);
    assert_eq!(
        fleet.resume(2, "w-2"),
        "yes, at 3 of 3 nodes\n",
        "the caller doesn't wait for the disk"
    );
    fleet.wait_until_suspended("w-2 is resumed", &["w-0"]);
    for n in 0..2 {
        let failures = fleet.count_log_lines(n, "peer failed");
        assert!(failures <= 1, "the kill alone: {}", fleet.describe());
    }
}

/// A node whose disk is full, or whose syncs fail, stays a member and announces suspensions. When
/// the disk works again, the suspensions are stored.
#[test]
fn disk_faults_change_no_member_and_lose_no_suspension() {
    let mut fleet = FleetHarness::with_stores(3, 16);
    fleet.shut_down(1);
    let fault_file = fleet.nodes[1].folder.join("trouble");
    fleet.change_operator_file(1, |json| {
        json["store"]["trouble_file"] = fault_file.display().to_string().into();
    });
    fleet.start(1);
    fleet.wait_until_complete();
    for (n, (worker, fault)) in [("w-0", "sync"), ("w-1", "full")].into_iter().enumerate() {
        std::fs::write(&fault_file, fault).expect("it is written");
        fleet.history.note(format!("n1's disk: {fault}"));
        assert_eq!(fleet.suspend(1, worker), "yes, at 3 of 3 nodes\n");
        let fails = || fleet.count_log_lines(1, "store not writable") == n + 1;
        assert!(wait_until(MAX_WAIT, fails), "{}", fleet.describe());
        fleet.wait_until_complete();
        let client_address = fleet.nodes[1].client_address;
        let id = format!("j-{fault}");
        let fields = [("X-Request-Id", id.as_str()), ("X-Deadline", "5")];
        let answer = send_request(client_address, "POST", "/reroute/x", &fields, b"s");
        assert_eq!(
            answer.expect("an answer").status,
            200,
            "idempotent requests are served"
        );
        std::fs::remove_file(&fault_file).expect("it was there");
        let works = || fleet.count_log_lines(1, "store writable again") == n + 1;
        assert!(wait_until(MAX_WAIT, works), "{}", fleet.describe());
    }
    // Changes that could not be written are written again within the same interval.
    std::thread::sleep(STORE_INTERVAL);
    (0..3).for_each(|n| fleet.kill(n));
    // The node starts alone, so it can have the suspensions from its store only.
    fleet.start(1);
    fleet.wait_until("restored", &[1], |_, status| {
        status.suspended_workers == ["w-0", "w-1"]
    });
}

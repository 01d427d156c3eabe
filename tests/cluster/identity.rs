//! Processes of the same node: name conflicts, replacements and restarts at another address.

use crate::fleet_harness::{FleetHarness, MAX_WAIT, Node};
use postproxy_fault_injection::{loopback_addresses, wait_until};
use std::net::SocketAddr;

/// Adds a second process with the name of n2 and with addresses and a folder of its own. It isn't
/// started.
fn add_second_n2(fleet: &mut FleetHarness) {
    let ip = loopback_addresses(1)[0];
    let folder = fleet.folder.join("second-n2");
    std::fs::create_dir_all(&folder).expect("a folder");
    let client_address = SocketAddr::new(ip, 8080);
    let management_address = SocketAddr::new(ip, 8081);
    let cluster_address = SocketAddr::new(ip, 7946).to_string();
    let copy_changed = |file: &str, change: &dyn Fn(&mut serde_json::Value)| {
        let text = std::fs::read_to_string(fleet.nodes[2].folder.join(file)).expect("text");
        let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        change(&mut json);
        std::fs::write(folder.join(file), json.to_string()).expect("it is written");
    };
    copy_changed("config.json", &|json| {
        json["listen"] = client_address.to_string().into();
        json["mgmt"] = management_address.to_string().into();
    });
    copy_changed("operator.json", &|json| {
        json["fleet"]["listen"] = cluster_address.clone().into();
        json["fleet"]["advertise"] = cluster_address.clone().into();
    });
    fleet.nodes.push(Node {
        name: "n2".into(),
        process: None,
        client_address,
        management_address,
        folder,
        listener: None,
    });
}

#[test]
fn one_of_two_processes_with_the_same_name_serves_alone() {
    let mut fleet = FleetHarness::new(3, 7);
    add_second_n2(&mut fleet);
    fleet.start(3);
    let has_conflict = |n: usize| {
        fleet
            .status(n)
            .is_some_and(|status| status.name_conflict.is_some() && !status.is_member)
    };
    assert!(
        wait_until(MAX_WAIT, || has_conflict(2) != has_conflict(3)),
        "one of them isn't a member: {}",
        fleet.describe()
    );
    let (alone, member) = if has_conflict(2) { (2, 3) } else { (3, 2) };
    let serves = || fleet.readiness_status(alone, "j-1") == Some(200);
    assert!(
        wait_until(MAX_WAIT, serves),
        "it serves alone: {}",
        fleet.describe()
    );
    assert!(fleet.count_log_lines(alone, "another process has this node's name") >= 1);
    // When the member is killed, its name becomes free.
    fleet.kill(member);
    fleet.wait_until("it is a member", &[alone], |_, status| {
        status.is_member && status.health == "whole"
    });
}

/// Returns the numbers of log lines on peers that have failed and that have left, at n0 and n2.
fn departures_logged(fleet: &FleetHarness) -> [(usize, usize); 2] {
    [0, 2].map(|n| {
        (
            fleet.count_log_lines(n, "peer failed"),
            fleet.count_log_lines(n, "peer left"),
        )
    })
}

/// While one process takes over from another, exactly one of them is a member at any time. A
/// suspend at the process that isn't a member is announced by the other one.
#[test]
fn replacement_of_a_process_does_not_change_the_members() {
    let mut fleet = FleetHarness::new(3, 9);
    fleet.kill(1);
    fleet.open_inherited_listener(1);
    fleet.start(1);
    fleet.wait_until_complete();
    let before = departures_logged(&fleet);
    let first_incarnation = fleet.status(1).expect("a status").members[0].incarnation;
    let first_management = fleet.nodes[1].management_address;
    let mut first = fleet.nodes[1].process.take().expect("it was started");
    // The second process has a management API of its own; the cluster address is still in use by
    // the first one.
    fleet.nodes[1].management_address = SocketAddr::new(first_management.ip(), 8082);
    fleet.start(1);
    assert!(fleet.status(1).is_none(), "one member, not two");
    assert_eq!(fleet.suspend(1, "w-1"), "yes\n");
    fleet.wait_until("announced by the member", &[0, 2], |_, status| {
        status.suspended_workers == ["w-1"]
    });
    first.terminate();
    assert!(
        wait_until(MAX_WAIT, || first.exit_success() == Some(true)),
        "the first process ends"
    );
    fleet.wait_until_complete();
    fleet.wait_until_suspended("known to the second process, too", &["w-1"]);
    assert!(fleet.status(1).expect("a status").members[0].incarnation > first_incarnation);
    assert_eq!(
        before,
        departures_logged(&fleet),
        "no node failed or left: {}",
        fleet.describe()
    );
    assert_eq!(fleet.resume(1, "w-1"), "yes, at 3 of 3 nodes\n");
    fleet.wait_until_suspended("none is suspended", &[]);
}

#[test]
fn node_restarted_at_another_address_is_the_same_node() {
    let mut fleet = FleetHarness::new(3, 10);
    fleet.kill(2);
    let address = SocketAddr::new(loopback_addresses(1)[0], 7946).to_string();
    fleet.change_operator_file(2, |json| {
        json["fleet"]["listen"] = address.clone().into();
        json["fleet"]["advertise"] = address.clone().into();
    });
    fleet.start(2);
    fleet.wait_until_complete();
    fleet.wait_until("at its new address", &[0, 1], |_, status| {
        status
            .members
            .iter()
            .any(|member| member.name == "n2" && member.address.to_string() == address)
    });
}

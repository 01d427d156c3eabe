//! Nodes that are killed, paused, leave or are forgotten.

use crate::fleet_harness::{FleetHarness, has_state};
use postproxy::net::cluster::service::ClusterStatus;
use std::time::Duration;

#[test]
fn killed_node_is_seen_as_failed_and_a_leaving_one_as_left() {
    let mut fleet = FleetHarness::new(3, 1);
    fleet.kill(2);
    fleet.wait_until("n2 has failed", &[0, 1], |_, status| {
        status.health == "cut off with a majority" && has_state(status, "n2", "failed")
    });
    let table = fleet.members_command_output(0);
    assert!(
        table.contains("cut off with a majority") && table.contains("n2 is not reached"),
        "{table}"
    );
    fleet.start(2);
    fleet.wait_until_complete();
    fleet.shut_down(2);
    fleet.wait_until("n2 has left", &[0, 1], |_, status| {
        has_state(status, "n2", "left")
    });
    assert_eq!(
        fleet.count_log_lines(0, "peer failed"),
        1,
        "the kill alone: {}",
        fleet.describe()
    );
    assert!(
        fleet.count_log_lines(0, "peer left") >= 1,
        "{}",
        fleet.describe()
    );
}

/// Guards against a paused node that declares the others failed when it is resumed. It learns at
/// once that it was declared failed itself, and rejoins.
#[test]
fn paused_node_declares_no_node_failed_and_rejoins() {
    let mut fleet = FleetHarness::new(3, 2);
    for seconds in [1, 4, 20] {
        fleet.pause(&[1], Duration::from_secs(seconds));
        fleet.wait_until_complete();
    }
    fleet.assert_no_failure_logged(1);
    let rejoined = "rejoined the cluster after peers had declared this node failed";
    assert!(
        fleet.count_log_lines(1, rejoined) >= 1,
        "{}",
        fleet.describe()
    );
    for n in [0, 2] {
        assert_eq!(
            fleet.count_log_lines(n, "peer failed"),
            fleet.count_log_lines(n, "peer failed name=\"n1\""),
            "the others hear each other: {}",
            fleet.describe()
        );
    }
    let status = fleet.status(1).expect("a status");
    assert!(
        status.skipped_seconds > 20.0,
        "the node knows how long it was paused: {}",
        status.skipped_seconds
    );
}

/// Guards against failures declared after all nodes were paused together, as on a machine that was
/// suspended.
#[test]
fn cluster_that_was_paused_as_a_whole_is_unchanged() {
    let mut fleet = FleetHarness::new(3, 3);
    fleet.pause(&[0, 1, 2], Duration::from_secs(6));
    fleet.wait_until_complete();
    (0..3).for_each(|n| fleet.assert_no_failure_logged(n));
}

/// Two nodes reach each other only through the third. However long one of them is paused, no node
/// counts as failed once it is back; a killed one counts as failed.
#[test]
fn node_reached_through_another_is_paused_and_killed() {
    let mut fleet = FleetHarness::new(3, 17);
    fleet.net.partition(&[0], &[2]);
    fleet.history.note("cut 0 2");
    let is_one_pair_cut =
        |status: &ClusterStatus| status.health == "some pairs cut" && status.reasons.len() == 2;
    let all = [0, 1, 2];
    fleet.wait_until("one pair is cut", &all, |_, status| is_one_pair_cut(status));
    for seconds in [1, 4, 20] {
        fleet.pause(&[2], Duration::from_secs(seconds));
        fleet.wait_until("one pair is cut after the pause", &all, |_, status| {
            let none_failed = status.members.iter().all(|member| member.state != "failed");
            is_one_pair_cut(status) && none_failed
        });
        fleet.assert_no_failure_logged(2);
    }
    fleet.kill(2);
    fleet.wait_until("the failure is known at both", &[0, 1], |_, status| {
        status.health == "cut off with a majority" && has_state(status, "n2", "failed")
    });
    assert_eq!(
        fleet.count_log_lines(0, "peer failed name=\"n1\""),
        0,
        "{}",
        fleet.describe()
    );
    fleet.net.heal();
    fleet.start(2);
    fleet.wait_until_complete();
}

/// Returns whether `postproxy fleet forget` succeeds at n0, and its error output.
fn forget(fleet: &FleetHarness, name: &str) -> (bool, String) {
    let management = fleet.nodes[0].management_address.to_string();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_postproxy"))
        .args(["fleet", "forget", name, "--mgmt", &management])
        .output()
        .expect("it runs");
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), errors)
}

/// A live node can't be forgotten. A failed one counts as a node of the cluster until it is
/// forgotten.
#[test]
fn node_that_will_not_come_back_is_forgotten() {
    let mut fleet = FleetHarness::new(3, 13);
    let (succeeded, errors) = forget(&fleet, "n2");
    assert!(
        !succeeded && errors.contains("the node has not failed"),
        "{errors}"
    );
    let (succeeded, errors) = forget(&fleet, "nobody");
    assert!(
        !succeeded && errors.contains("no worker or node has this name"),
        "{errors}"
    );
    fleet.kill(2);
    fleet.wait_until("n2 has failed", &[0, 1], |_, status| {
        has_state(status, "n2", "failed")
    });
    assert_eq!(fleet.suspend(1, "w-0"), "yes, at 2 of 3 nodes\n");
    assert!(forget(&fleet, "n2").0);
    fleet.wait_until("n2 is forgotten", &[0, 1], |_, status| {
        has_state(status, "n2", "left")
    });
    assert_eq!(fleet.suspend(1, "w-1"), "yes, at 2 of 2 nodes\n");
    fleet.start(2);
    fleet.wait_until_complete();
    fleet.wait_until_suspended("known to the node that is back", &["w-0", "w-1"]);
}

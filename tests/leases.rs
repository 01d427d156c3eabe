//! Leases in clusters of processes of the real program, with faults of processes and of the
//! network.

#[path = "support/fleet_harness.rs"]
mod fleet_harness;

use fleet_harness::{FleetHarness, MAX_WAIT};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::send_request;
use postproxy_coordination::{LeaseStatus, NotVotingReason, Status};
use postproxy_diagnostics::ErrorBody;
use postproxy_fault_injection::{check::NodeLog, wait_until};
use std::collections::BTreeMap;
use std::time::Duration;

fn start_fleet(count: usize, voters: usize, seed: u64) -> FleetHarness {
    let sections = serde_json::json!({"duties": {}, "voters": voters});
    FleetHarness::with_sections(count, seed, true, &["w-0".into()], &sections)
}

fn node_status(fleet: &FleetHarness, n: usize) -> Option<Status> {
    let answer = send_request(
        fleet.nodes[n].management_address,
        "GET",
        "/v1/fleet/owners",
        &[],
        b"",
    )
    .ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn bans_lease(fleet: &FleetHarness, n: usize) -> Option<LeaseStatus> {
    node_status(fleet, n)?
        .leases
        .into_iter()
        .find(|lease| lease.lease == "bans")
}

/// Returns which of these nodes may act as the owner of the lease now, by their own status.
fn acting_owners(fleet: &FleetHarness, nodes: &[usize]) -> Vec<usize> {
    nodes
        .iter()
        .copied()
        .filter(|n| bans_lease(fleet, *n).is_some_and(|lease| lease.remaining_ms.is_some()))
        .collect()
}

/// Waits until exactly one of these nodes may act as the owner of the lease and names itself as its
/// owner, with a token above this one, and returns the node and the token. Whether a node may act
/// and with which token is read from one response: with two, a node whose lease expires in between
/// could be paired with the token of the next owner.
fn wait_for_owner(fleet: &FleetHarness, what: &str, nodes: &[usize], above: u64) -> (usize, u64) {
    let mut found = None;
    let is_owned = wait_until(MAX_WAIT, || {
        let leases = nodes
            .iter()
            .filter_map(|n| Some((*n, bans_lease(fleet, *n)?)));
        let acting: Vec<(usize, LeaseStatus)> = leases
            .filter(|(_, lease)| lease.remaining_ms.is_some())
            .collect();
        found = acting.first().and_then(|(n, lease)| {
            let owns = lease.owner.as_ref() == Some(&fleet.nodes[*n].name);
            Some((*n, lease.token.filter(|token| owns && *token > above)?))
        });
        acting.len() == 1 && found.is_some()
    });
    assert!(is_owned, "{what}: {}", fleet.describe());
    fleet.history.note(format!("{what}: {found:?}"));
    found.expect("it was found")
}

fn post(fleet: &FleetHarness, n: usize, path: &str) -> (u16, String) {
    let answer =
        send_request(fleet.nodes[n].management_address, "POST", path, &[], b"").expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    fleet
        .history
        .note(format!("{path} at n{n}: {} {text}", answer.status));
    (answer.status, text)
}

fn error_body(text: &str) -> ErrorBody {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// Returns each token that any of the logs names, with the nodes that have acquired the lease with
/// it.
fn logged_tokens(fleet: &FleetHarness) -> BTreeMap<u64, Vec<usize>> {
    let mut tokens = BTreeMap::<u64, Vec<usize>>::new();
    for NodeLog {
        node: n, text: log, ..
    } in fleet.logs()
    {
        for line in log
            .lines()
            .filter(|line| line.contains("lease acquired lease=\"bans\""))
        {
            let token = line
                .split("token=")
                .nth(1)
                .and_then(|rest| rest.split_whitespace().next()?.parse().ok());
            tokens.entry(token.expect("a token")).or_default().push(n);
        }
    }
    tokens
}

/// Tokens only grow, and each has one owner, while the owner is killed, paused and partitioned, and
/// after all nodes are killed and started in another order. Without a majority no lease has an
/// owner; once there is one again, the lease is acquired without an operator. One long scenario,
/// because each fault needs the owner that the one before has led to.
#[test]
fn a_lease_has_one_owner_over_kills_pauses_partitions_and_a_restart_of_all() {
    let mut fleet = start_fleet(4, 3, 31);
    let all = [0, 1, 2, 3];
    let (first, token) = wait_for_owner(&fleet, "an owner", &all, 0);
    fleet.kill(first);
    let rest: Vec<usize> = all.into_iter().filter(|n| *n != first).collect();
    let (second, token) = wait_for_owner(&fleet, "another after the kill", &rest, token);
    fleet.start(first);
    fleet.pause(&[second], Duration::from_secs(6));
    let (third, token) = wait_for_owner(&fleet, "another after the pause", &all, token);
    assert_ne!(third, second, "{}", fleet.describe());
    assert!(
        wait_until(MAX_WAIT, || fleet.count_log_lines(second, "pause detected")
            >= 1),
        "the pause is logged: {}",
        fleet.describe()
    );
    // A partitioned owner stops acting when its lease expires, and another node acquires the lease.
    let others: Vec<usize> = all.into_iter().filter(|n| *n != third).collect();
    fleet.net.partition(&[third], &others);
    fleet.history.note(format!("cut off n{third}"));
    let (_, token) = wait_for_owner(&fleet, "another after the cut", &others, token);
    assert!(
        acting_owners(&fleet, &[third]).is_empty(),
        "{}",
        fleet.describe()
    );
    fleet.net.heal();
    fleet.wait_until_complete();
    let voters: Vec<usize> = (0..3).collect();
    for n in [0, 1] {
        fleet.kill(n);
    }
    assert!(
        wait_until(MAX_WAIT, || acting_owners(&fleet, &[2, 3]).is_empty()),
        "without a majority: {}",
        fleet.describe()
    );
    let (status, text) = post(&fleet, 3, "/v1/fleet/owners/bans/hand/n3");
    let error = error_body(&text);
    assert_eq!(
        (status, error.code.as_str(), error.error.as_str()),
        (503, "duties.no_majority", "duties")
    );
    assert!(
        error.what.contains("n0, n1") && error.remedy.contains("start the silent voters"),
        "{error:?}"
    );
    for n in [2, 3] {
        fleet.kill(n);
    }
    for n in [3, 1, 2, 0] {
        fleet.start(n);
    }
    let (_, last) = wait_for_owner(&fleet, "an owner after all were killed", &all, token);
    assert!(
        voters
            .iter()
            .all(|n| wait_until(MAX_WAIT, || node_status(&fleet, *n)
                .is_some_and(|status| status.is_voter))),
        "{}",
        fleet.describe()
    );
    let tokens = logged_tokens(&fleet);
    assert!(
        tokens.values().all(|nodes| nodes.len() == 1),
        "a token of two owners: {tokens:?}"
    );
    assert!(
        tokens.contains_key(&last) && tokens.len() >= 5,
        "{tokens:?}"
    );
}

/// A voter that restarts with an empty store does not vote under its old number: its status shows
/// that, an operator adds it as a new voter, and it votes again. A membership change that would
/// leave no majority is rejected with an error code. One long scenario, because the later changes
/// need the voters that the earlier ones have added.
#[test]
fn a_voter_without_its_store_is_added_anew_and_no_change_loses_the_majority() {
    let mut fleet = start_fleet(4, 3, 32);
    wait_for_owner(&fleet, "an owner", &[0, 1, 2, 3], 0);
    fleet.kill(2);
    std::fs::remove_dir_all(fleet.nodes[2].folder.join("store")).expect("its store");
    fleet.start(2);
    let lost = || {
        node_status(&fleet, 2).is_some_and(|status| {
            status.not_voting_reason == Some(NotVotingReason::PromisesLost) && !status.is_voter
        })
    };
    assert!(
        wait_until(MAX_WAIT, lost),
        "it has lost its promises: {}",
        fleet.describe()
    );
    let known = || {
        node_status(&fleet, 0).is_some_and(|status| {
            status
                .voters
                .iter()
                .any(|voter| voter.node == "n2" && voter.promises_lost)
        })
    };
    assert!(
        wait_until(MAX_WAIT, known),
        "others know: {}",
        fleet.describe()
    );
    assert_eq!(
        post(&fleet, 3, "/v1/fleet/voters/n2/add").0,
        200,
        "{}",
        fleet.describe()
    );
    assert!(
        wait_until(MAX_WAIT, || node_status(&fleet, 2)
            .is_some_and(|status| status.is_voter)),
        "it votes again: {}",
        fleet.describe()
    );
    let voter = node_status(&fleet, 0)
        .and_then(|status| status.voters.into_iter().find(|voter| voter.node == "n2"));
    assert!(
        voter.is_some_and(|voter| voter.voter_id > 3 && !voter.promises_lost),
        "{}",
        fleet.describe()
    );
    // A node that does not vote becomes a voter and is removed again.
    assert_eq!(post(&fleet, 0, "/v1/fleet/voters/n3/add").0, 200);
    assert!(
        wait_until(MAX_WAIT, || node_status(&fleet, 3)
            .is_some_and(|status| status.is_voter)),
        "{}",
        fleet.describe()
    );
    let has_four_voters_and_a_leader = |status: &ClusterStatus| {
        let members = &status.members;
        members.iter().filter(|member| member.is_voter).count() == 4
            && members.iter().filter(|member| member.is_leader).count() == 1
    };
    fleet.wait_until("four voters, one leader", &[0, 1, 2, 3], |_, status| {
        has_four_voters_and_a_leader(status)
    });
    assert_eq!(post(&fleet, 1, "/v1/fleet/voters/n3/remove").0, 200);
    assert!(
        wait_until(MAX_WAIT, || node_status(&fleet, 3)
            .is_some_and(|status| !status.is_voter)),
        "{}",
        fleet.describe()
    );
    fleet.kill(1);
    let is_unheard = || {
        node_status(&fleet, 0).is_some_and(|status| {
            status
                .voters
                .iter()
                .any(|voter| voter.node == "n1" && voter.recently_heard == Some(false))
        })
    };
    assert!(wait_until(MAX_WAIT, is_unheard), "{}", fleet.describe());
    let (status, text) = post(&fleet, 0, "/v1/fleet/voters/n2/remove");
    assert_eq!(
        (status, error_body(&text).code.as_str()),
        (409, "voters.would_stop"),
        "{}",
        fleet.describe()
    );
    let (status, text) = post(&fleet, 0, "/v1/fleet/voters/n33/add");
    assert_eq!(
        (status, error_body(&text).code.as_str()),
        (404, "voters.nobody"),
        "{}",
        fleet.describe()
    );
    let (status, text) = post(&fleet, 0, "/v1/fleet/owners/nothing/release");
    assert_eq!(
        (status, error_body(&text).code.as_str()),
        (404, "duties.unknown")
    );
}

/// A lease can be transferred and released through the management API of any node, and does not
/// return to the node that was made to release it.
#[test]
fn a_lease_is_transferred_and_released_at_any_node() {
    let fleet = start_fleet(3, 3, 33);
    let (first, token) = wait_for_owner(&fleet, "an owner", &[0, 1, 2], 0);
    let to = (first + 1) % 3;
    let at = (first + 2) % 3;
    assert_eq!(
        post(&fleet, at, &format!("/v1/fleet/owners/bans/hand/n{to}")),
        (200, "yes\n".into())
    );
    let (second, token) = wait_for_owner(&fleet, "transferred", &[0, 1, 2], token);
    assert_eq!(second, to, "{}", fleet.describe());
    assert_eq!(post(&fleet, at, "/v1/fleet/owners/bans/release").0, 200);
    let (third, _) = wait_for_owner(&fleet, "released", &[0, 1, 2], token);
    assert_ne!(third, to, "{}", fleet.describe());
}

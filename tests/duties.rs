//! Several processes of the real program that decide together who owns what, and faults between and in them.

#[path = "support/fleet_harness.rs"]
mod fleet_harness;

use fleet_harness::{FleetHarness, MAX_WAIT};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::ask;
use postproxy_coordination::{LeaseStatus, Status};
use postproxy_diagnostics::ErrorBody;
use postproxy_fault_injection::wait;
use std::collections::BTreeMap;
use std::time::Duration;

fn fleet(count: usize, votes: usize, seed: u64) -> FleetHarness {
    let sections = serde_json::json!({"duties": {}, "voters": votes});
    FleetHarness::with_sections(count, seed, true, &["w-0".into()], &sections)
}

fn view(fleet: &FleetHarness, n: usize) -> Option<Status> {
    let answer = ask(
        fleet.nodes[n].management_address,
        "GET",
        "/v1/fleet/owners",
        &[],
        b"",
    )
    .ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn owned(fleet: &FleetHarness, n: usize) -> Option<LeaseStatus> {
    view(fleet, n)?
        .duties
        .into_iter()
        .find(|duty| duty.duty == "bans")
}

/// Which of these nodes may act for the duty now, by its own word.
fn acting(fleet: &FleetHarness, nodes: &[usize]) -> Vec<usize> {
    nodes
        .iter()
        .copied()
        .filter(|n| owned(fleet, *n).is_some_and(|duty| duty.left_ms.is_some()))
        .collect()
}

/// Waits until one of these nodes alone may act for the duty and knows itself as its owner, under a token above this one; who, and the
/// token. Whether a node may act and under which token is read from one answer of it. With two answers, a node that stops acting in
/// between could be taken for the holder of the next owner's token.
fn owner(fleet: &FleetHarness, what: &str, nodes: &[usize], above: u64) -> (usize, u64) {
    let mut found = None;
    let so = wait(MAX_WAIT, || {
        let duties = nodes.iter().filter_map(|n| Some((*n, owned(fleet, *n)?)));
        let acting: Vec<(usize, LeaseStatus)> =
            duties.filter(|(_, duty)| duty.left_ms.is_some()).collect();
        found = acting.first().and_then(|(n, duty)| {
            let owns = duty.owner.as_ref() == Some(&fleet.nodes[*n].name);
            Some((*n, duty.token.filter(|token| owns && *token > above)?))
        });
        acting.len() == 1 && found.is_some()
    });
    assert!(so, "{what}: {}", fleet.describe());
    fleet.history.note(format!("{what}: {found:?}"));
    found.expect("it was found")
}

fn post(fleet: &FleetHarness, n: usize, path: &str) -> (u16, String) {
    let answer = ask(fleet.nodes[n].management_address, "POST", path, &[], b"").expect("an answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    fleet
        .history
        .note(format!("{path} at n{n}: {} {text}", answer.status));
    (answer.status, text)
}

fn told(text: &str) -> ErrorBody {
    serde_json::from_str(text).unwrap_or_else(|error| panic!("{error}: {text}"))
}

/// Each token that any of the logs names, with the nodes that said to own the duty under it.
fn tokens(fleet: &FleetHarness) -> BTreeMap<u64, Vec<usize>> {
    let mut tokens = BTreeMap::<u64, Vec<usize>>::new();
    for (n, _, log) in fleet.logs() {
        for line in log
            .lines()
            .filter(|line| line.contains("this node owns a duty duty=\"bans\""))
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

/// *Tokens only grow, and each has one owner*: over a kill, a pause of the owner and of the leader, a cut, and the death of all at
/// once with a start in another order. *Nobody owns anything without a majority*, and all resumes without help.
#[test]
fn a_duty_has_one_owner_over_kills_pauses_cuts_and_the_death_of_all() {
    let mut fleet = fleet(4, 3, 31);
    let all = [0, 1, 2, 3];
    let (first, token) = owner(&fleet, "an owner", &all, 0);
    fleet.kill(first);
    let rest: Vec<usize> = all.into_iter().filter(|n| *n != first).collect();
    let (second, token) = owner(&fleet, "another after the kill", &rest, token);
    fleet.start(first);
    fleet.pause(&[second], Duration::from_secs(6));
    let (third, token) = owner(&fleet, "another after the pause", &all, token);
    assert_ne!(third, second, "{}", fleet.describe());
    assert!(
        wait(MAX_WAIT, || fleet
            .count_log_lines(second, "a pause: nothing is owned")
            >= 1),
        "it knows: {}",
        fleet.describe()
    );
    // Cut off with nobody: it stops at its lease's end, and the others go on.
    let others: Vec<usize> = all.into_iter().filter(|n| *n != third).collect();
    fleet.net.part(&[third], &others);
    fleet.history.note(format!("cut off n{third}"));
    let (_, token) = owner(&fleet, "another after the cut", &others, token);
    assert!(acting(&fleet, &[third]).is_empty(), "{}", fleet.describe());
    fleet.net.heal();
    fleet.wait_until_complete();
    let voters: Vec<usize> = (0..3).collect();
    for n in [0, 1] {
        fleet.kill(n);
    }
    assert!(
        wait(MAX_WAIT, || acting(&fleet, &[2, 3]).is_empty()),
        "without a majority: {}",
        fleet.describe()
    );
    let (status, text) = post(&fleet, 3, "/v1/fleet/owners/bans/hand/n3");
    let why = told(&text);
    assert_eq!(
        (status, why.code.as_str(), why.error.as_str()),
        (503, "duties.no_majority", "duties")
    );
    assert!(
        why.what.contains("n0, n1") && why.remedy.contains("start the voters"),
        "{why:?}"
    );
    for n in [2, 3] {
        fleet.kill(n);
    }
    for n in [3, 1, 2, 0] {
        fleet.start(n);
    }
    let (_, last) = owner(&fleet, "an owner after all died", &all, token);
    assert!(
        voters
            .iter()
            .all(|n| wait(MAX_WAIT, || view(&fleet, *n).is_some_and(|view| view.votes))),
        "{}",
        fleet.describe()
    );
    let tokens = tokens(&fleet);
    assert!(
        tokens.values().all(|nodes| nodes.len() == 1),
        "a token of two: {tokens:?}"
    );
    assert!(
        tokens.contains_key(&last) && tokens.len() >= 5,
        "{tokens:?}"
    );
}

/// *A voter that comes back with an empty store must not vote under its old number*: it says so, is added anew by a call, and votes.
/// Guards also against a call that would leave no majority, and an answer without a word on what to do.
#[test]
fn a_voter_without_its_store_is_added_anew_and_no_call_stops_the_voters() {
    let mut fleet = fleet(4, 3, 32);
    owner(&fleet, "an owner", &[0, 1, 2, 3], 0);
    fleet.kill(2);
    std::fs::remove_dir_all(fleet.nodes[2].folder.join("store")).expect("its store");
    fleet.start(2);
    let lost = || {
        view(&fleet, 2).is_some_and(|view| {
            view.why == Some(postproxy_coordination::NotVotingReason::Lost) && !view.votes
        })
    };
    assert!(
        wait(MAX_WAIT, lost),
        "it has lost its promises: {}",
        fleet.describe()
    );
    let known = || {
        view(&fleet, 0).is_some_and(|view| {
            view.voters
                .iter()
                .any(|seat| seat.node == "n2" && seat.lost)
        })
    };
    assert!(wait(MAX_WAIT, known), "others know: {}", fleet.describe());
    assert_eq!(
        post(&fleet, 3, "/v1/fleet/voters/n2/add").0,
        200,
        "{}",
        fleet.describe()
    );
    assert!(
        wait(MAX_WAIT, || view(&fleet, 2).is_some_and(|view| view.votes)),
        "it votes anew: {}",
        fleet.describe()
    );
    let seat =
        view(&fleet, 0).and_then(|view| view.voters.into_iter().find(|seat| seat.node == "n2"));
    assert!(
        seat.is_some_and(|seat| seat.seat > 3 && !seat.lost),
        "{}",
        fleet.describe()
    );
    // One that does not vote gets a seat and loses it again.
    assert_eq!(post(&fleet, 0, "/v1/fleet/voters/n3/add").0, 200);
    assert!(
        wait(MAX_WAIT, || view(&fleet, 3).is_some_and(|view| view.votes)),
        "{}",
        fleet.describe()
    );
    let shown = |p: &ClusterStatus| {
        p.members.iter().filter(|m| m.is_voter).count() == 4
            && p.members.iter().filter(|m| m.is_leader).count() == 1
    };
    fleet.wait_until("four vote, one leads", &[0, 1, 2, 3], |_, picture| {
        shown(picture)
    });
    assert_eq!(post(&fleet, 1, "/v1/fleet/voters/n3/remove").0, 200);
    assert!(
        wait(MAX_WAIT, || view(&fleet, 3).is_some_and(|view| !view.votes)),
        "{}",
        fleet.describe()
    );
    fleet.kill(1);
    let dead = || {
        view(&fleet, 0).is_some_and(|v| {
            v.voters
                .iter()
                .any(|seat| seat.node == "n1" && seat.heard == Some(false))
        })
    };
    assert!(wait(MAX_WAIT, dead), "{}", fleet.describe());
    let (status, text) = post(&fleet, 0, "/v1/fleet/voters/n2/remove");
    assert_eq!(
        (status, told(&text).code.as_str()),
        (409, "voters.would_stop"),
        "{}",
        fleet.describe()
    );
    let (status, text) = post(&fleet, 0, "/v1/fleet/voters/n33/add");
    assert_eq!(
        (status, told(&text).code.as_str()),
        (404, "voters.nobody"),
        "{}",
        fleet.describe()
    );
    let (status, text) = post(&fleet, 0, "/v1/fleet/owners/nothing/release");
    assert_eq!((status, told(&text).code.as_str()), (404, "duties.unknown"));
}

/// Guards against a duty that can't be handed on or released, and goes back to who was made to give it up.
#[test]
fn a_duty_is_handed_on_and_released_at_any_nodes_door() {
    let fleet = fleet(3, 3, 33);
    let (first, token) = owner(&fleet, "an owner", &[0, 1, 2], 0);
    let to = (first + 1) % 3;
    let at = (first + 2) % 3;
    assert_eq!(
        post(&fleet, at, &format!("/v1/fleet/owners/bans/hand/n{to}")),
        (200, "yes\n".into())
    );
    let (second, token) = owner(&fleet, "handed on", &[0, 1, 2], token);
    assert_eq!(second, to, "{}", fleet.describe());
    assert_eq!(post(&fleet, at, "/v1/fleet/owners/bans/release").0, 200);
    let (third, _) = owner(&fleet, "released", &[0, 1, 2], token);
    assert_ne!(third, to, "{}", fleet.describe());
}

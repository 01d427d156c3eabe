//! Data that an earlier version has written: each version reads it, shows it alike, and serves from
//! it. `WRITE_DATA_DIRECTORY=1` makes the fixtures anew, see
//! `tests/fixtures/data-directory/README.md`.

mod data_directory;
#[path = "support/fleet_harness.rs"]
mod fleet_harness;

use data_directory::jobs::Job;
use data_directory::node::{NO_DISCOVERY, Node, TEST_TIMEOUT, worker_address};
use data_directory::worker::{Workers, report_done};
use data_directory::{TemporaryFolder, copy_store, fixtures, jobs, store_command};
use fleet_harness::FleetHarness;
use postproxy::stand_ins::{Discovery, Worker, send_request};
use postproxy_fault_injection::wait_until;
use std::path::PathBuf;
use std::time::Duration;

/// The stores: one of a node that serves alone, three of nodes that vote.
const STORES: [&str; 4] = ["single", "voter-n0", "voter-n1", "voter-n2"];
/// The highest fencing token in the stores of the voters.
const STORED_TOKEN: u64 = 1;
/// A node looks for what is to be kept that often, at the longest.
const UNTIL_KEPT: Duration = Duration::from_secs(4);

fn store_fixture(name: &str) -> PathBuf {
    fixtures().join(name)
}

/// What `postproxy store ACTION` writes about a copy of a store, and what it is to write.
fn shown_and_expected(action: &str, name: &str) -> (String, String) {
    let folder = TemporaryFolder::new();
    copy_store(&store_fixture(name), &folder.path("store"));
    let shown = store_command(action, &folder.path("store"));
    let expected = std::fs::read_to_string(fixtures().join(format!("{name}.{action}.txt")));
    (shown, expected.expect("the expected text"))
}

fn assert_shown_as_expected(action: &str) {
    for name in STORES {
        let (shown, expected) = shown_and_expected(action, name);
        assert_eq!(shown, expected, "store {action} of {name}");
    }
}

#[test]
fn store_verify_reads_every_record_of_an_earlier_version() {
    assert_shown_as_expected("verify");
}

#[test]
fn store_dump_shows_the_records_of_an_earlier_version_alike() {
    assert_shown_as_expected("dump");
}

#[test]
fn store_stat_counts_the_records_of_an_earlier_version_alike() {
    assert_shown_as_expected("stat");
}

// ---- Serving from a copy ----

/// A node on a copy of the store, without discovery, and the workers of its kept list.
fn node_on_a_copy() -> (Node, Workers) {
    let workers = Workers::start();
    let node = Node::start(NO_DISCOVERY, |store| {
        copy_store(&store_fixture("single"), store)
    });
    workers.report_to(node.clients);
    (node, workers)
}

fn failed() -> (u16, String) {
    (502, "failed\n".to_owned())
}

fn served(body: &str) -> (u16, String) {
    (200, body.to_owned())
}

#[test]
fn answers_kept_by_an_earlier_version_are_given_again() {
    let (node, workers) = node_on_a_copy();
    let again = |job: &Job| {
        [
            node.submit(job.id, None, job, "5"),
            node.submit(&format!("new-{}", job.id), job.key, job, "5"),
        ]
    };
    assert_eq!(
        again(&jobs::SERVED),
        [served("SERVED PLAN"), served("SERVED PLAN")]
    );
    assert_eq!(
        again(&jobs::TOKEN_SERVED),
        [served("NEW ROUTE"), served("NEW ROUTE")]
    );
    assert_eq!(again(&jobs::SERVED_TOO_LONG), [failed(), failed()]);
    assert_eq!(again(&jobs::FAILED), [failed(), failed()]);
    let without_key = &jobs::WITHOUT_KEY;
    assert_eq!(
        node.submit(without_key.id, None, without_key, "5"),
        served("KEYLESS PLAN")
    );
    let other_body = Job {
        body: "another plan",
        ..jobs::SERVED
    };
    assert_eq!(
        node.submit("another", other_body.key, &other_body, "5").0,
        409
    );
    assert_eq!(workers.received(), []);
}

#[test]
fn jobs_in_doubt_since_an_earlier_version_are_not_sent_again() {
    let (node, workers) = node_on_a_copy();
    for job in [
        jobs::IN_DOUBT,
        jobs::IN_DOUBT_AT_SECOND,
        jobs::ATTEMPT_ENDED,
    ] {
        assert_eq!(
            node.submit(job.id, None, &job, "0.5"),
            failed(),
            "{} by its id",
            job.id
        );
        assert_eq!(
            node.submit("other-id", job.key, &job, "0.5"),
            failed(),
            "{} by its key",
            job.id
        );
    }
    assert_eq!(workers.received(), []);
    // The worker's report settles it; a report of a worker that did not have it does not.
    let (job, id) = (&jobs::IN_DOUBT_AT_SECOND, jobs::IN_DOUBT_AT_SECOND.id);
    report_done(node.clients, id, 1, "FROM THE WRONG WORKER").expect("an answer");
    assert_eq!(node.submit("other-id", job.key, job, "0.5"), failed());
    assert_eq!(
        report_done(node.clients, id, 0, "LATE PLAN").expect("an answer"),
        200
    );
    assert_eq!(
        node.submit("other-id", job.key, job, "5"),
        served("LATE PLAN")
    );
    assert_eq!(workers.received(), []);
}

#[test]
fn a_job_that_never_ran_in_an_earlier_version_runs() {
    let (node, workers) = node_on_a_copy();
    let job = &jobs::NEVER_RAN;
    assert_eq!(
        node.submit("other-id", job.key, job, "5"),
        served("UNSTARTED PLAN")
    );
    let received: Vec<String> = workers.received().into_iter().map(|(_, id)| id).collect();
    assert_eq!(received, ["other-id"]);
}

/// The workers that received at least one of forty jobs.
fn receivers(node: &Node, workers: &Workers, prefix: &str) -> Vec<u8> {
    let before = workers.received().len();
    let job = Job {
        id: "",
        key: None,
        class: "reroute",
        body: "route",
    };
    for number in 0..40 {
        assert_eq!(
            node.submit(&format!("{prefix}-{number}"), None, &job, "5"),
            served("ROUTE")
        );
    }
    let mut receivers: Vec<u8> = workers.received()[before..]
        .iter()
        .map(|(worker, _)| *worker)
        .collect();
    receivers.sort_unstable();
    receivers.dedup();
    receivers
}

#[test]
fn the_kept_list_and_suspended_workers_of_an_earlier_version_count() {
    let (node, workers) = node_on_a_copy();
    assert_eq!(node.suspended(), ["s-2"]);
    assert_eq!(receivers(&node, &workers, "first"), [0, 1]);
    let path = "/v1/route-workers/s-2/resume";
    assert_eq!(
        send_request(node.management, "POST", path, &[], b"")
            .expect("an answer")
            .status,
        200
    );
    assert!(wait_until(TEST_TIMEOUT, || node.suspended().is_empty()));
    // The worker is warming up: it gets its first job within a few seconds.
    let mut round = 0;
    let resumed = wait_until(TEST_TIMEOUT, || {
        round += 1;
        receivers(&node, &workers, &format!("round-{round}")).contains(&2)
    });
    assert!(resumed, "nothing went to s-2 after it was resumed");
}

#[test]
fn voters_go_on_from_the_stores_of_an_earlier_version() {
    let mut fleet = voters();
    (0..3).for_each(|n| fleet.kill(n));
    for n in 0..3 {
        copy_store(&store_fixture(&format!("voter-n{n}")), &store(&fleet, n));
    }
    (0..3).for_each(|n| fleet.start(n));
    fleet.wait_until_suspended("suspended", &["w-0", "w-2"]);
    // A new fleet's first token is the stored one again; the next owner on these stores gets a
    // higher one.
    let higher = wait_until(fleet_harness::MAX_WAIT, || {
        lease_token(&fleet).is_some_and(|token| token > STORED_TOKEN)
    });
    assert!(higher, "{:?}: {}", lease_token(&fleet), fleet.describe());
}

/// The fencing token of the lease on `bans`, as the first node tells it.
fn lease_token(fleet: &FleetHarness) -> Option<u64> {
    let answer = send_request(
        fleet.nodes[0].management_address,
        "GET",
        "/v1/fleet/owners",
        &[],
        b"",
    )
    .ok()?;
    let view: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    view["duties"]
        .as_array()?
        .iter()
        .find(|duty| duty["duty"] == "bans")?["token"]
        .as_u64()
}

// ---- Making the fixtures ----

#[test]
fn data_directories_are_made_anew_only_when_asked_for() {
    if std::env::var("WRITE_DATA_DIRECTORY").is_ok_and(|value| value == "1") {
        make_single();
        make_voters();
        for (name, action) in STORES
            .iter()
            .flat_map(|name| ["verify", "dump", "stat"].map(|a| (name, a)))
        {
            let folder = TemporaryFolder::new();
            copy_store(&store_fixture(name), &folder.path("store"));
            let text = store_command(action, &folder.path("store"));
            std::fs::write(fixtures().join(format!("{name}.{action}.txt")), text).expect("a file");
        }
        panic!("the data directories are made anew; run again without WRITE_DATA_DIRECTORY");
    }
    assert!(
        STORES.iter().all(|name| store_fixture(name).is_dir()),
        "a fixture is missing"
    );
}

/// A node takes in the list of workers and suspends one; the jobs are added to its store when it
/// has ended.
fn make_single() {
    let worker = |number: u8| {
        let mut worker = Worker::start(&format!("s-{number}"), Duration::ZERO).expect("a worker");
        worker.address = worker_address(number);
        worker
    };
    let workers: Vec<Worker> = (0..3).map(worker).collect();
    let discovery = Discovery::start(&workers).expect("discovery");
    let mut node = Node::start(discovery.address, |_| {});
    let path = "/v1/route-workers/s-2/suspend";
    assert_eq!(
        send_request(node.management, "POST", path, &[], b"")
            .expect("an answer")
            .status,
        200
    );
    std::thread::sleep(UNTIL_KEPT);
    node.kill();
    jobs::add_to_store(&node.store);
    copy_store(&node.store, &store_fixture("single"));
}

/// Three nodes elect a leader, one of them gets a lease, and two workers are suspended.
fn make_voters() {
    let mut fleet = voters();
    std::thread::sleep(UNTIL_KEPT);
    fleet.suspend(0, "w-0");
    fleet.suspend(1, "w-2");
    fleet.wait_until_suspended("suspended", &["w-0", "w-2"]);
    std::thread::sleep(UNTIL_KEPT);
    for n in 0..3 {
        fleet.kill(n);
        copy_store(&store(&fleet, n), &store_fixture(&format!("voter-n{n}")));
    }
}

fn voters() -> FleetHarness {
    let names = ["w-0".to_owned(), "w-1".to_owned(), "w-2".to_owned()];
    FleetHarness::with_sections(3, 31, true, &names, &serde_json::json!({"duties": {}}))
}

fn store(fleet: &FleetHarness, n: usize) -> PathBuf {
    fleet.nodes[n].folder.join("store")
}

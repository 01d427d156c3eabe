//! Stores that an earlier version has written: every later version must read them, print the same
//! about them, and serve requests from them. `WRITE_DATA_DIRECTORY=1` regenerates the fixtures, see
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

/// The stores: one of a node without voters, and three of voters.
const STORES: [&str; 4] = ["single", "voter-n0", "voter-n1", "voter-n2"];
/// The highest fencing token in the stores of the voters.
const STORED_TOKEN: u64 = 1;
/// Upper bound of the interval at which a node stores its changes.
const MAX_STORE_DELAY: Duration = Duration::from_secs(4);

fn store_fixture(name: &str) -> PathBuf {
    fixtures().join(name)
}

/// Returns the output of `postproxy store ACTION` for a copy of a store, and the expected output.
fn actual_and_expected(action: &str, name: &str) -> (String, String) {
    let folder = TemporaryFolder::new();
    copy_store(&store_fixture(name), &folder.path("store"));
    let actual = store_command(action, &folder.path("store"));
    let expected = std::fs::read_to_string(fixtures().join(format!("{name}.{action}.txt")));
    (actual, expected.expect("the expected text"))
}

fn assert_expected_output(action: &str) {
    for name in STORES {
        let (actual, expected) = actual_and_expected(action, name);
        assert_eq!(actual, expected, "store {action} of {name}");
    }
}

#[test]
fn store_verify_reads_every_record_of_an_earlier_version() {
    assert_expected_output("verify");
}

#[test]
fn store_dump_prints_the_records_of_an_earlier_version_unchanged() {
    assert_expected_output("dump");
}

#[test]
fn store_stat_counts_the_records_of_an_earlier_version_unchanged() {
    assert_expected_output("stat");
}

// ---- Serving from a copy ----

/// Starts a node on a copy of the store, without discovery, and the workers of the stored list.
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
fn responses_stored_by_an_earlier_version_are_sent_again() {
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
fn requests_in_doubt_since_an_earlier_version_are_not_sent_again() {
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
    // A callback of the request's worker resolves the doubt; one of another worker does not.
    let (job, id) = (&jobs::IN_DOUBT_AT_SECOND, jobs::IN_DOUBT_AT_SECOND.id);
    report_done(node.clients, id, 1, "FROM THE WRONG WORKER").expect("a response");
    assert_eq!(node.submit("other-id", job.key, job, "0.5"), failed());
    assert_eq!(
        report_done(node.clients, id, 0, "LATE PLAN").expect("a response"),
        200
    );
    assert_eq!(
        node.submit("other-id", job.key, job, "5"),
        served("LATE PLAN")
    );
    assert_eq!(workers.received(), []);
}

#[test]
fn a_request_that_never_ran_in_an_earlier_version_runs() {
    let (node, workers) = node_on_a_copy();
    let job = &jobs::NEVER_RAN;
    assert_eq!(
        node.submit("other-id", job.key, job, "5"),
        served("UNSTARTED PLAN")
    );
    let received: Vec<String> = workers.received().into_iter().map(|(_, id)| id).collect();
    assert_eq!(received, ["other-id"]);
}

/// Returns the workers that received at least one of forty requests.
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
fn the_stored_list_and_suspended_workers_of_an_earlier_version_are_in_effect() {
    let (node, workers) = node_on_a_copy();
    assert_eq!(node.suspended(), ["s-2"]);
    assert_eq!(receivers(&node, &workers, "first"), [0, 1]);
    let path = "/v1/route-workers/s-2/resume";
    assert_eq!(
        send_request(node.management, "POST", path, &[], b"")
            .expect("a response")
            .status,
        200
    );
    assert!(wait_until(TEST_TIMEOUT, || node.suspended().is_empty()));
    // The worker is in slow start, so it may receive its first request only after some seconds.
    let mut round = 0;
    let resumed = wait_until(TEST_TIMEOUT, || {
        round += 1;
        receivers(&node, &workers, &format!("round-{round}")).contains(&2)
    });
    assert!(resumed, "s-2 received no request after it was resumed");
}

#[test]
fn voters_continue_from_the_stores_of_an_earlier_version() {
    let mut fleet = voters();
    (0..3).for_each(|n| fleet.kill(n));
    for n in 0..3 {
        copy_store(&store_fixture(&format!("voter-n{n}")), &store(&fleet, n));
    }
    (0..3).for_each(|n| fleet.start(n));
    fleet.wait_until_suspended("suspended", &["w-0", "w-2"]);
    // A cluster without these stores would issue the stored token again; one that continues from
    // them issues a higher one.
    let higher = wait_until(fleet_harness::MAX_WAIT, || {
        lease_token(&fleet).is_some_and(|token| token > STORED_TOKEN)
    });
    assert!(higher, "{:?}: {}", lease_token(&fleet), fleet.describe());
}

/// Returns the fencing token of the lease on `bans` as the first node sees it.
fn lease_token(fleet: &FleetHarness) -> Option<u64> {
    let response = send_request(
        fleet.nodes[0].management_address,
        "GET",
        "/v1/fleet/owners",
        &[],
        b"",
    )
    .ok()?;
    let view: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
    view["duties"]
        .as_array()?
        .iter()
        .find(|duty| duty["duty"] == "bans")?["token"]
        .as_u64()
}

// ---- Generating the fixtures ----

#[test]
fn data_directories_are_regenerated_only_on_request() {
    if std::env::var("WRITE_DATA_DIRECTORY").is_ok_and(|value| value == "1") {
        generate_single();
        generate_voters();
        for (name, action) in STORES
            .iter()
            .flat_map(|name| ["verify", "dump", "stat"].map(|a| (name, a)))
        {
            let folder = TemporaryFolder::new();
            copy_store(&store_fixture(name), &folder.path("store"));
            let text = store_command(action, &folder.path("store"));
            std::fs::write(fixtures().join(format!("{name}.{action}.txt")), text).expect("a file");
        }
        panic!("the data directories are regenerated; run again without WRITE_DATA_DIRECTORY");
    }
    assert!(
        STORES.iter().all(|name| store_fixture(name).is_dir()),
        "a fixture is missing"
    );
}

/// Starts a node, which stores the worker list, suspends a worker, and adds the requests to the
/// node's store after it has been killed.
fn generate_single() {
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
            .expect("a response")
            .status,
        200
    );
    std::thread::sleep(MAX_STORE_DELAY);
    node.kill();
    jobs::add_to_store(&node.store);
    copy_store(&node.store, &store_fixture("single"));
}

/// Starts three nodes, which elect a leader and grant a lease, and suspends two workers.
fn generate_voters() {
    let mut fleet = voters();
    std::thread::sleep(MAX_STORE_DELAY);
    fleet.suspend(0, "w-0");
    fleet.suspend(1, "w-2");
    fleet.wait_until_suspended("suspended", &["w-0", "w-2"]);
    std::thread::sleep(MAX_STORE_DELAY);
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

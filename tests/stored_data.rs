//! Data that an earlier version has written: each version reads it, shows it alike, and serves from it.
//! `WRITE_DATA_DIRECTORY=1` makes the fixtures anew, see `tests/fixtures/data-directory/README.md`.

mod data_directory;
mod rig;

use data_directory::node::{LIMIT, NO_DISCOVERY, Node, worker_address};
use data_directory::{TemporaryFolder, copy_store, fixtures, jobs, store_command};
use postproxy::standin::{Discovery, Worker, ask};
use rig::Fleet;
use std::path::PathBuf;
use std::time::Duration;

/// The stores: one of a node that serves alone, three of nodes that vote.
const STORES: [&str; 4] = ["single", "voter-n0", "voter-n1", "voter-n2"];
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

// ---- Making the fixtures ----

#[test]
fn data_directories_are_made_anew_only_when_asked_for() {
    if std::env::var("WRITE_DATA_DIRECTORY").is_ok_and(|value| value == "1") {
        make_single();
        make_voters();
        for (name, action) in STORES.iter().flat_map(|name| ["verify", "dump", "stat"].map(|a| (name, a))) {
            let folder = TemporaryFolder::new();
            copy_store(&store_fixture(name), &folder.path("store"));
            let text = store_command(action, &folder.path("store"));
            std::fs::write(fixtures().join(format!("{name}.{action}.txt")), text).expect("a file");
        }
        panic!("the data directories are made anew; run again without WRITE_DATA_DIRECTORY");
    }
    assert!(STORES.iter().all(|name| store_fixture(name).is_dir()), "a fixture is missing");
}

/// A node takes in the list of workers and suspends one; the jobs are added to its store when it has ended.
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
    assert_eq!(ask(node.management, "POST", path, &[], b"").expect("an answer").status, 200);
    std::thread::sleep(UNTIL_KEPT);
    node.kill();
    jobs::add_to_store(&node.store);
    copy_store(&node.store, &store_fixture("single"));
}

/// Three nodes elect a leader, one of them gets a lease, and two workers are suspended.
fn make_voters() {
    let mut fleet = voters();
    std::thread::sleep(UNTIL_KEPT);
    fleet.suspend(0, "w-0", false);
    fleet.suspend(1, "w-2", false);
    fleet.bans("suspended", &["w-0", "w-2"]);
    std::thread::sleep(UNTIL_KEPT);
    for n in 0..3 {
        fleet.kill(n);
        copy_store(&store(&fleet, n), &store_fixture(&format!("voter-n{n}")));
    }
}

fn voters() -> Fleet {
    let names = ["w-0".to_owned(), "w-1".to_owned(), "w-2".to_owned()];
    Fleet::with_sections(3, 31, true, &names, &serde_json::json!({"duties": {}}))
}

fn store(fleet: &Fleet, n: usize) -> PathBuf {
    fleet.nodes[n].folder.join("store")
}

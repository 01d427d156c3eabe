//! Pins the keys and values that a node stores (the worker list, the suspended workers and the
//! records of the coordination service), and the worker list as nodes send it to each other. A node
//! reads what older versions have stored, and peers may run other versions, so renaming an
//! identifier must not change any of it. The literals were written by the version before the
//! renames.

use postproxy::Settings;
use postproxy::net::cluster::versions;
use postproxy::net::store_adapter::{StartedStore, StoreAdapter, open};
use postproxy::net::transport::reactor::Reactor;
use postproxy::net::upstream::worker_list::{DiscoveryList, WorkerList, WorkerListSnapshot};
use postproxy::operator_config::StoreSection;
use postproxy_coordination::StorageChange;
use postproxy_store::Change as Stored;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Returns the bytes that the hexadecimal digits stand for.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// The folder of a test, which is removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("postproxy-surface-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Self(folder)
    }

    /// Returns the section of a store in this folder.
    fn store(&self) -> StoreSection {
        let text = format!(r#"{{"folder": {:?}}}"#, self.0);
        serde_json::from_str(&text).expect("valid settings")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The worker list as it is stored.
const LIST: &str = concat!(
    r#"{"discovery":"127.0.0.1:8500","revision":7,"members":["#,
    r#"{"id":"w-1","host_port":"127.0.0.1:9001","locality":"here","flavor":"small","cell":2,"#,
    r#""phase":"in_service","size":3.5,"up_since_ms":1700000000000.0},"#,
    r#"{"id":"w-2","host_port":"127.0.0.1:9002","locality":"","flavor":"","cell":65535,"#,
    r#""phase":"terminated","size":0.0,"up_since_ms":0.0}]}"#,
);

/// The same list as discovery sends it, without the optional keys.
const DISCOVERED: &str = concat!(
    r#"{"revision":7,"complete":true,"members":["#,
    r#"{"id":"w-1","host_port":"127.0.0.1:9001","locality":"here","flavor":"small","cell":2,"#,
    r#""phase":"in_service","size":3.5,"up_since_ms":1700000000000},"#,
    r#"{"id":"w-2","host_port":"127.0.0.1:9002","phase":"terminated"}]}"#,
);

/// The same list as nodes send it to each other: its revision, its digest and its members.
const PEER_LIST: &str = "07aabdc4c99ba4cad2e0010203772d310e3132372e302e302e313a39303031046865726505736d616c6c020a696e5f736572766963650000000000000c4000008056febc784203772d320e3132372e302e302e313a393030320000ffff030a7465726d696e6174656400000000000000000000000000000000";

fn discovery() -> SocketAddr {
    "127.0.0.1:8500".parse().expect("an address")
}

fn settings() -> Settings {
    Settings::from_json(r#"{"services": [{"name": "render", "effect": "pure"}]}"#)
        .expect("valid settings")
}

/// Returns a node's worker list that retains the list above.
fn worker_list(text: &str, revision: u64) -> WorkerList {
    let list = DiscoveryList::from_json(text.as_bytes()).expect("a list");
    let mut workers = WorkerList::new(discovery(), settings(), Some(revision), 1);
    workers.retain_list(Some(&list));
    workers
}

#[test]
fn stored_worker_list_keeps_its_text() {
    let stored = worker_list(DISCOVERED, 7).snapshot().expect("a list");
    assert_eq!(String::from_utf8(stored).expect("text"), LIST);
    let read = WorkerListSnapshot::from_json(LIST.as_bytes()).expect("a stored list");
    let list = read
        .select_initial_list(None, discovery())
        .expect("a list with workers");
    assert_eq!((list.revision, list.complete), (7, true));
    let mut again = WorkerList::new(discovery(), settings(), Some(7), 1);
    again.retain_list(Some(&list));
    assert_eq!(again.snapshot().expect("a list"), LIST.as_bytes());
}

#[test]
fn worker_list_for_peers_keeps_its_bytes() {
    let workers = worker_list(DISCOVERED, 7);
    let (number, digest) = workers.version().expect("a version");
    assert_eq!(
        (number, format!("{digest:016x}")),
        (7, "e0a52921b9311eaa".to_owned())
    );
    assert_eq!(
        hex::encode(workers.encode_for_peer().expect("a list")),
        PEER_LIST
    );
}

#[test]
fn worker_list_of_a_peer_is_read() {
    let mut reactor = Reactor::new(0.0).expect("a poller");
    let mut workers = worker_list(DISCOVERED, 6);
    let (number, digest) = workers
        .apply_peer_list(&mut reactor, &decode_hex(PEER_LIST))
        .expect("a newer list");
    assert_eq!(
        (number, format!("{digest:016x}")),
        (7, "e0a52921b9311eaa".to_owned())
    );
    assert_eq!(reactor.queue.len(), 1, "the list is queued for the core");
}

#[test]
fn prefix_and_generation_of_worker_lists_for_peers_are_unchanged() {
    assert_eq!(versions::WORKER_LIST_PREFIX, [0x50, 0x41, 0x01]);
    assert_eq!(
        format!("{:016x}", versions::generation("127.0.0.1:8500")),
        "a797c7cee270e152"
    );
}

/// Returns all keys and values of a store.
fn content(section: &StoreSection) -> BTreeMap<String, String> {
    let (mut engine, _) = open(section, "a test").expect("a store");
    let mut content = BTreeMap::new();
    let show = |key: &[u8], value: &[u8]| {
        content.insert(
            String::from_utf8_lossy(key).into_owned(),
            hex::encode(value),
        );
    };
    engine.scan(show).expect("a healthy disk");
    content
}

#[test]
fn node_writes_its_keys() {
    let folder = Folder::new("writes");
    let mut reactor = Reactor::new(0.0).expect("a poller");
    let StartedStore { mut adapter, .. } =
        StoreAdapter::start(&mut reactor, &folder.store(), "n-1").expect("a store");
    adapter.save_worker_list(&[1, 2]);
    adapter.save_suspensions(&[3, 4]);
    let change = |key: &[u8], value: Option<Vec<u8>>| StorageChange {
        key: key.to_vec(),
        value,
    };
    let changes = [
        change(b"a/hard", Some(vec![5])),
        change(b"c/seat", Some(vec![6])),
        change(b"s/start", Some(vec![7])),
    ];
    assert!(adapter.write_coordination_records(&changes));
    assert!(adapter.write_coordination_records(&[change(b"s/start", None)]));
    // Waits for the pending writes.
    drop(adapter);
    let expected = [
        ("a/hard", "05"),
        ("c/seat", "06"),
        ("f/bans", "0304"),
        ("f/list", "0102"),
    ];
    let expected = expected.map(|(key, value)| (key.to_owned(), value.to_owned()));
    assert_eq!(content(&folder.store()), BTreeMap::from(expected));
}

/// The record of a served request, as pinned in `crates/idempotency`.
const RECORD: &str = "01016301016b070707070707070707070707070707070707070707070707070707070707070701010203772d310203772d320080eb06d881e201";

#[test]
fn node_reads_its_keys() {
    let folder = Folder::new("reads");
    let (mut engine, _) = open(&folder.store(), "a test").expect("a store");
    let record = decode_hex(RECORD);
    let put = |key, value| Stored::Put {
        key,
        value,
        expires_at_ms: 0,
    };
    let puts = [
        put(b"f/list", LIST.as_bytes()),
        put(b"f/bans", &[3, 4]),
        put(b"a/hard", &[5]),
        put(b"c/seat", &[6]),
        put(b"s/start", &[7]),
        put(b"j/a", &record),
        put(b"r/a", b"result"),
    ];
    engine.append(&puts).expect("room");
    engine.commit().expect("a healthy disk");
    drop(engine);
    let mut reactor = Reactor::new(0.0).expect("a poller");
    let StartedStore {
        adapter: _adapter,
        request_log,
        mut recovered,
    } = StoreAdapter::start(&mut reactor, &folder.store(), "n-1").expect("a store");
    assert_eq!(request_log.len(), 1);
    assert!(recovered.worker_list.is_some());
    assert_eq!(recovered.suspensions, [3, 4]);
    recovered.coordination_records.sort();
    let coordination_records = [(&b"a/hard"[..], 5), (b"c/seat", 6), (b"s/start", 7)];
    assert_eq!(
        recovered.coordination_records,
        coordination_records.map(|(key, value)| (key.to_vec(), vec![value]))
    );
}

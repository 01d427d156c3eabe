//! Compares the responses of the management API, as an operator's program receives them, byte for
//! byte with literal text, for each path.
//!
//! The responses come from complete nodes on loopback sockets. Status lines, header fields, bodies
//! and JSON keys are literals here, which must not follow the rename of a Rust item: if a test
//! fails after a rename, fix the code (for JSON keys with `#[serde(rename)]`), not the literal.
//! Ports, times and random numbers are masked before the comparison. The number and digest of the
//! version kind `program` depend on the package's version and change with a release.

use postproxy::net::cluster::coordination::error_response;
use postproxy::net::cluster::service::{ClusterStatus, MemberStatus};
use postproxy::net::cluster::versions::VersionService;
use postproxy::net::{Config, Node};
use postproxy::operator_config::{AuditSection, DutiesSection, FleetSection, StoreSection};
use postproxy_coordination::{Error, Rejection};
use postproxy_fault_injection::loopback_addresses;
use postproxy_version_tracking::{Message, Settings, Source, VersionKind, VersionRecord};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Far longer than any response in these tests takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A complete node whose worker list has one worker, `s-0`, which never gets a request.
struct TestNode {
    management: SocketAddr,
    stop: UnixStream,
    thread: JoinHandle<()>,
    /// Occupies the port of discovery; calls to it are never answered.
    _discovery: TcpListener,
}

impl TestNode {
    fn start(configure: impl FnOnce(&mut Config)) -> Self {
        let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","mgmt":"127.0.0.1:0","discovery":"{}","seed":"8c1f",
            "known":{{"revision":41,"complete":true,"members":[{{"id":"s-0","host_port":"127.0.0.1:9","locality":"riga",
                "flavor":"m2","cell":1,"phase":"in_service","size":1.0,"up_since_ms":0}}]}},
            "settings":{{"balancers":1,"discovery":"on_request","dcs":["riga"],"machine-types":["m2"],
                "services":[{{"name":"render","effect":"pure"}}]}}}}"#,
            discovery.local_addr().expect("an address")
        );
        let mut config = Config::from_json(&text, |_| None).expect("a configuration");
        configure(&mut config);
        let (stop, signal) = UnixStream::pair().expect("a pair");
        let (address_sender, address_receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let mut node = Node::new(config, signal).expect("a node");
            address_sender
                .send(node.management_address().expect("a management address"))
                .expect("the test waits for the address");
            node.run().expect("the node runs");
        });
        let management = address_receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("the node starts");
        Self {
            management,
            stop,
            thread,
            _discovery: discovery,
        }
    }

    /// Sends these bytes and returns the complete response.
    fn exchange(&self, request: &str) -> String {
        let mut stream = TcpStream::connect(self.management).expect("a connection");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time limit");
        stream
            .write_all(request.as_bytes())
            .expect("the request is written");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("a response and the end of the connection");
        response
    }

    fn request(&self, method: &str, path: &str) -> String {
        self.exchange(&format!("{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    fn get(&self, path: &str) -> String {
        self.request("GET", path)
    }

    fn post(&self, path: &str) -> String {
        self.request("POST", path)
    }

    /// Repeats a request until its response satisfies the condition; returns that response.
    fn request_until(&self, method: &str, path: &str, condition: impl Fn(&str) -> bool) -> String {
        let start = Instant::now();
        loop {
            let response = self.request(method, path);
            if condition(&response) {
                return response;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "{path}: {response}");
            sleep(Duration::from_millis(20));
        }
    }

    fn stop(mut self) {
        self.stop.write_all(b"x").expect("a signal");
        self.thread.join().expect("the node shuts down cleanly");
    }
}

/// The section `fleet` of a node without seeds.
fn fleet_section(voters: &[&str]) -> FleetSection {
    serde_json::from_value(
        serde_json::json!({"cluster": "riga", "listen": "127.0.0.1:0", "voters": voters}),
    )
    .expect("a section")
}

/// The section `store` of a node, with a folder that does not exist yet.
fn store_section(name: &str) -> StoreSection {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("surface-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    serde_json::from_value(serde_json::json!({"folder": folder})).expect("a section")
}

/// Replaces the value of each of these JSON keys by `VARIES`.
fn mask_values(text: &str, keys: &[&str]) -> String {
    let mut text = text.to_owned();
    for key in keys {
        let mark = format!("\"{key}\":");
        let parts: Vec<&str> = text.split(&mark).collect();
        let rest = |part: &&str| {
            let end = part.find([',', '}']).expect("a value ends");
            format!("VARIES{}", &part[end..])
        };
        let rest: Vec<String> = parts[1..].iter().map(rest).collect();
        let all: Vec<String> = std::iter::once(parts[0].to_owned()).chain(rest).collect();
        text = all.join(&mark);
    }
    text
}

/// Masks these values in a response, and the `Content-Length`, which depends on them.
fn mask_response(response: &str, keys: &[&str]) -> String {
    let (head, body) = response.split_once("\r\n\r\n").expect("a head");
    let size = format!("Content-Length: {}\r\n", body.len());
    assert!(head.contains(&size), "{head}");
    format!(
        "{}\r\n\r\n{}",
        head.replace(&size, "Content-Length: VARIES\r\n"),
        mask_values(body, keys)
    )
}

/// Masks the hashes in an audit log, which depend on its times.
fn mask_hashes(text: &str) -> String {
    let mut text = text.to_owned();
    for (start, end) in [("\"hash\":[", "]"), ("\"head\":\"", "\"")] {
        let parts: Vec<&str> = text.split(start).collect();
        let rest = |part: &&str| part[part.find(end).expect("a hash ends")..].to_owned();
        let rest: Vec<String> = parts[1..].iter().map(rest).collect();
        let all: Vec<String> = std::iter::once(parts[0].to_owned()).chain(rest).collect();
        text = all.join(&format!("{start}VARIES"));
    }
    text
}

const YES: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nyes\n";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 26\r\nConnection: close\r\n\r\nunavailable at the moment\n";
const NAME_NOT_FOUND: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 32\r\nConnection: close\r\n\r\nno worker or node has this name\n";
const STILL_ALIVE: &str = "HTTP/1.1 409 Conflict\r\nContent-Length: 24\r\nConnection: close\r\n\r\nthe node has not failed\n";
const CLUSTER_DISABLED: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 35\r\nConnection: close\r\n\r\nthis node is not part of a cluster\n";
const AUDIT_DISABLED: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 38\r\nConnection: close\r\n\r\nthe section audit is not enabled here\n";
const COORDINATION_DISABLED: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 39\r\nConnection: close\r\n\r\nthe section duties is not enabled here\n";
const UNKNOWN_PATH: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 36\r\nConnection: close\r\n\r\nnot a request of the management API\n";
const INVALID_NAME: &str = "HTTP/1.1 400 Bad Request\r\nContent-Length: 36\r\nConnection: close\r\n\r\nnot a request of the management API\n";
const BAD_REQUEST: &str =
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 12\r\nConnection: close\r\n\r\nbad request\n";
const ONLY_GET: &str = "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 36\r\nAllow: GET, HEAD\r\nConnection: close\r\n\r\nnot a request of the management API\n";
const ONLY_POST: &str = "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 36\r\nAllow: POST\r\nConnection: close\r\n\r\nnot a request of the management API\n";

/// A node with a cached list serves once discovery has answered, or has been silent for 2.2 s.
#[test]
fn the_readiness_check_answers_with_these_bytes_before_and_after_the_start() {
    let node = TestNode::start(|_| {});
    assert_eq!(node.get("/v1/readyz"), UNAVAILABLE);
    assert_eq!(
        node.request_until("GET", "/v1/readyz", |answer| answer != UNAVAILABLE),
        YES
    );
    assert_eq!(
        node.request("HEAD", "/v1/readyz"),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    node.stop();
}

#[test]
fn drain_and_activate_answer_with_these_bytes() {
    let node = TestNode::start(|_| {});
    assert_eq!(node.post("/v1/node/drain"), YES);
    assert_eq!(node.post("/v1/node/activate"), YES);
    node.stop();
}

#[test]
fn suspend_and_resume_of_a_known_and_an_unknown_worker_answer_with_these_bytes() {
    let node = TestNode::start(|_| {});
    assert_eq!(node.post("/v1/route-workers/s-0/suspend"), YES);
    assert_eq!(node.post("/v1/route-workers/s-0/resume"), YES);
    assert_eq!(node.post("/v1/route-workers/s-9/suspend"), NAME_NOT_FOUND);
    assert_eq!(node.post("/v1/route-workers/s-9/resume"), NAME_NOT_FOUND);
    node.stop();
}

#[test]
fn suspend_in_a_cluster_of_one_answers_with_these_bytes() {
    let node = TestNode::start(|config| config.fleet = Some(fleet_section(&[])));
    let applied =
        "HTTP/1.1 200 OK\r\nContent-Length: 21\r\nConnection: close\r\n\r\nyes, at 1 of 1 nodes\n";
    assert_eq!(node.post("/v1/route-workers/s-0/suspend"), applied);
    assert_eq!(node.post("/v1/route-workers/s-0/resume"), applied);
    node.stop();
}

#[test]
fn a_node_without_the_sections_says_so_with_these_bytes() {
    let node = TestNode::start(|_| {});
    assert_eq!(node.get("/v1/fleet/members"), CLUSTER_DISABLED);
    assert_eq!(node.post("/v1/fleet/members/n1/forget"), CLUSTER_DISABLED);
    assert_eq!(node.get("/v1/fleet/versions"), AUDIT_DISABLED);
    assert_eq!(node.get("/v1/fleet/audit"), AUDIT_DISABLED);
    assert_eq!(node.get("/v1/fleet/owners"), COORDINATION_DISABLED);
    assert_eq!(
        node.post("/v1/fleet/owners/bans/release"),
        COORDINATION_DISABLED
    );
    assert_eq!(
        node.post("/v1/fleet/owners/bans/hand/n1"),
        COORDINATION_DISABLED
    );
    assert_eq!(node.post("/v1/fleet/voters/n1/add"), COORDINATION_DISABLED);
    assert_eq!(
        node.post("/v1/fleet/voters/n1/remove"),
        COORDINATION_DISABLED
    );
    node.stop();
}

#[test]
fn requests_that_are_rejected_are_answered_with_these_bytes() {
    let node = TestNode::start(|_| {});
    assert_eq!(node.get("/v1/nothing"), UNKNOWN_PATH);
    assert_eq!(node.post("/v1/readyz"), ONLY_GET);
    assert_eq!(node.post("/v1/fleet/members"), ONLY_GET);
    assert_eq!(node.get("/v1/node/drain"), ONLY_POST);
    assert_eq!(node.get("/v1/route-workers/s-0/suspend"), ONLY_POST);
    assert_eq!(node.post("/v1/route-workers/%zz/suspend"), INVALID_NAME);
    assert_eq!(node.exchange("what is this\r\n\r\n"), BAD_REQUEST);
    assert_eq!(
        node.exchange("GET /v1/readyz HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
        "HTTP/1.1 413 Content Too Large\r\nContent-Length: 12\r\nConnection: close\r\n\r\nbad request\n"
    );
    let long = format!("GET /v1/readyz HTTP/1.1\r\nX: {}", "x".repeat(20_000));
    assert_eq!(
        node.exchange(&long),
        "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 12\r\nConnection: close\r\n\r\nbad request\n"
    );
    node.stop();
}

#[test]
fn the_members_of_a_cluster_of_one_are_shown_with_these_bytes() {
    let node = TestNode::start(|config| config.fleet = Some(fleet_section(&["n0"])));
    let answer = node.request_until("GET", "/v1/fleet/members", |answer| {
        answer.contains("\"member\":true")
    });
    assert_eq!(
        mask_response(&answer, &["address", "incarnation", "ill", "missed_s"]),
        "HTTP/1.1 200 OK\r\nContent-Length: VARIES\r\nConnection: close\r\n\r\n\
         {\"cluster\":\"riga\",\"node\":\"n0\",\"member\":true,\"namesake\":null,\"standing\":\"alone\",\"reasons\":[],\
         \"members\":[{\"name\":\"n0\",\"address\":VARIES,\"incarnation\":VARIES,\"state\":\"here\",\"voter\":true,\
         \"leads\":false}],\"unheard\":[],\"ill\":VARIES,\"missed_s\":VARIES,\"bans\":[],\"dropped\":{}}\n"
    );
    assert_eq!(node.post("/v1/fleet/members/n9/forget"), NAME_NOT_FOUND);
    node.stop();
}

#[test]
fn the_versions_and_the_audit_log_of_a_node_are_shown_with_these_bytes() {
    let node = TestNode::start(|config| {
        config.fleet = Some(fleet_section(&[]));
        config.audit = Some(AuditSection {
            discovery: Some("riga".into()),
            ..AuditSection::default()
        });
    });
    assert_eq!(
        node.get("/v1/fleet/versions"),
        "HTTP/1.1 200 OK\r\nContent-Length: 283\r\nConnection: close\r\n\r\n\
         [{\"node\":\"n0\",\"state\":\"current\",\"heard_ms\":0,\"behind_ms\":0,\"versions\":[\
         {\"kind\":\"list\",\"generation\":\"266c4e1a869f7830\",\"number\":41,\"digest\":\"8dc6b8b6817d9b78\",\"behind_by\":0},\
         {\"kind\":\"program\",\"generation\":\"0000000000000000\",\"number\":1000,\"digest\":\"ec9a9a2b720a9b06\",\"behind_by\":0}]}]\n"
    );
    let answer = node.get("/v1/fleet/audit");
    assert_eq!(
        mask_hashes(&mask_response(&answer, &["at_ms"])),
        "HTTP/1.1 200 OK\r\nContent-Length: VARIES\r\nConnection: close\r\n\r\n\
         {\"node\":\"n0\",\"view\":3,\"head\":\"VARIES\",\"acts\":0,\"records\":[\
         {\"view\":1,\"at_ms\":VARIES,\"what\":\"began\",\"acts\":0,\"hash\":[VARIES]},\
         {\"view\":2,\"at_ms\":VARIES,\"what\":{\"adopted\":[\"program\",{\"generation\":0,\"number\":1000,\"digest\":17049108850752002822},\"own\"]},\"acts\":0,\"hash\":[VARIES]},\
         {\"view\":3,\"at_ms\":VARIES,\"what\":{\"adopted\":[\"list\",{\"generation\":2768673746760726576,\"number\":41,\"digest\":10216055898732600184},\"own\"]},\"acts\":0,\"hash\":[VARIES]}]}\n"
    );
    node.stop();
}

/// Passes fixed times, and has values other than the default in the fields of both nodes.
#[test]
fn versions_and_audit_log_of_a_node_that_is_behind_have_this_json() {
    let mut audit = VersionService::new(
        Settings {
            gossip_interval_ms: 400,
        },
        "n0",
        1000.0,
        7,
    );
    audit.set_peers(["n1".to_owned()].into());
    let version = |number| VersionRecord {
        generation: 0xab,
        number,
        digest: 0xcd,
    };
    audit.adopt(
        1001.0,
        VersionKind::WorkerList,
        version(41),
        Source::Peer("n1".into()),
        3,
    );
    let message = Message::Versions(vec![(VersionKind::WorkerList, version(44))]);
    audit.handle_datagram(1002.0, "n1", &postcard::to_stdvec(&message).expect("bytes"));
    assert_eq!(
        audit.versions_json(1002.5),
        "[{\"node\":\"n0\",\"state\":\"behind\",\"heard_ms\":0,\"behind_ms\":500,\"versions\":[\
         {\"kind\":\"list\",\"generation\":\"00000000000000ab\",\"number\":41,\"digest\":\"00000000000000cd\",\"behind_by\":3},\
         {\"kind\":\"program\",\"generation\":\"0000000000000000\",\"number\":1000,\"digest\":\"ec9a9a2b720a9b06\",\"behind_by\":0}]},\
         {\"node\":\"n1\",\"state\":\"current\",\"heard_ms\":500,\"behind_ms\":0,\"versions\":[\
         {\"kind\":\"list\",\"generation\":\"00000000000000ab\",\"number\":44,\"digest\":\"00000000000000cd\",\"behind_by\":0}]}]\n"
    );
    assert_eq!(
        audit.audit_log_json(2),
        "{\"node\":\"n0\",\"view\":3,\"head\":\"b2b72c4e5bef79f9ff2c309b4ad7deec09c7199934b81524882ee69f096c819d\",\"acts\":2,\"records\":[\
         {\"view\":1,\"at_ms\":1000000,\"what\":\"began\",\"acts\":0,\"hash\":[57,111,95,104,27,27,234,3,192,81,76,54,35,161,136,18,15,132,82,68,96,158,14,192,90,11,131,207,57,228,16,169]},\
         {\"view\":2,\"at_ms\":1000000,\"what\":{\"adopted\":[\"program\",{\"generation\":0,\"number\":1000,\"digest\":17049108850752002822},\"own\"]},\"acts\":0,\"hash\":[75,166,32,209,125,56,74,157,191,208,26,177,244,184,193,58,7,171,221,204,75,200,11,179,7,138,129,26,112,194,100,136]},\
         {\"view\":3,\"at_ms\":1001000,\"what\":{\"adopted\":[\"list\",{\"generation\":171,\"number\":41,\"digest\":205},{\"peer\":\"n1\"}]},\"acts\":3,\"hash\":[178,183,44,78,91,239,121,249,255,44,48,155,74,215,222,236,9,199,25,153,52,184,21,36,136,46,230,159,9,108,129,157]}]}\n"
    );
}

/// Starts complete nodes that form a cluster, in which the first two are voters.
fn start_nodes<const COUNT: usize>(test: &str) -> [TestNode; COUNT] {
    let addresses: Vec<SocketAddr> = loopback_addresses(COUNT as u8)
        .into_iter()
        .map(|ip| SocketAddr::new(ip, 8090))
        .collect();
    std::array::from_fn(|n| {
        TestNode::start(|config| {
            config.name = format!("n{n}");
            config.store = Some(store_section(&format!("{test}-{n}")));
            config.fleet = Some(FleetSection {
                listen: addresses[n],
                seeds: addresses.clone(),
                ..fleet_section(&["n0", "n1"])
            });
            config.duties = Some(DutiesSection::default());
        })
    })
}

#[test]
fn a_voter_that_is_added_and_removed_is_shown_with_these_bytes() {
    let [first, second, third] = start_nodes("voters");
    third.request_until("GET", "/v1/fleet/owners", |answer| {
        answer.contains("\"owner\":\"n")
    });
    let answer = third.get("/v1/fleet/owners");
    assert_eq!(
        mask_response(&answer, &["leader", "place", "owner", "token", "left_ms"]),
        "HTTP/1.1 200 OK\r\nContent-Length: VARIES\r\nConnection: close\r\n\r\n\
         {\"node\":\"n2\",\"votes\":false,\"why\":null,\"leader\":VARIES,\"place\":VARIES,\"voters\":[\
         {\"seat\":1,\"node\":\"n0\",\"heard\":null,\"lost\":false},{\"seat\":2,\"node\":\"n1\",\"heard\":null,\"lost\":false}],\
         \"duties\":[{\"duty\":\"bans\",\"owner\":VARIES,\"token\":VARIES,\"next\":null,\"value_bytes\":0,\"left_ms\":VARIES}],\
         \"token\":VARIES}\n"
    );
    assert_eq!(
        first.request_until("POST", "/v1/fleet/voters/n2/add", |answer| !answer
            .contains("voters.nobody")),
        YES
    );
    // The voter is removed only once it has received the log. Removal before that is not covered
    // by this test.
    let has_log =
        |answer: &str| answer.contains("\"votes\":true") && !answer.contains("\"place\":0,");
    third.request_until("GET", "/v1/fleet/owners", has_log);
    assert_eq!(first.post("/v1/fleet/voters/n2/remove"), YES);
    let answer = third.request_until("GET", "/v1/fleet/owners", |answer| {
        answer.contains("\"votes\":false")
    });
    assert!(
        answer.contains("\"votes\":false,\"why\":\"Removed\","),
        "{answer}"
    );
    third.stop();
    first.stop();
    second.stop();
}

#[test]
fn a_request_without_a_majority_is_answered_with_these_bytes() {
    let [node, other] = start_nodes("majority");
    node.request_until("GET", "/v1/fleet/owners", |answer| {
        answer.contains("\"owner\":\"n")
    });
    other.stop();
    assert_eq!(
        node.request_until("POST", "/v1/fleet/owners/bans/hand/n0", |answer| !answer
            .ends_with("yes\n")),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 288\r\nConnection: close\r\n\r\n\
         {\"error\":\"duties\",\"code\":\"duties.no_majority\",\"what\":\"not committed in time; silent voters: n1\",\"remedy\":\"retry, the call may have been committed meanwhile; if the error persists, start the silent voters or repair the network between the voters, and remove a voter that will not return\"}\n"
    );
    node.stop();
}

#[test]
fn the_lease_owners_and_requests_about_leases_are_answered_with_these_bytes() {
    let [node, other] = start_nodes("owners");
    let path = "/v1/fleet/owners";
    let has_owner = |answer: &str| answer.contains("\"owner\":\"n");
    other.request_until("GET", path, has_owner);
    node.request_until("GET", path, has_owner);
    assert_eq!(node.post("/v1/fleet/owners/bans/hand/n0"), YES);
    let is_settled =
        |answer: &str| answer.contains("\"next\":null") && !answer.contains("\"left_ms\":null");
    let answer = node.request_until("GET", path, is_settled);
    assert_eq!(
        mask_response(&answer, &["leader", "place", "token", "left_ms"]),
        "HTTP/1.1 200 OK\r\nContent-Length: VARIES\r\nConnection: close\r\n\r\n\
         {\"node\":\"n0\",\"votes\":true,\"why\":null,\"leader\":VARIES,\"place\":VARIES,\"voters\":[\
         {\"seat\":1,\"node\":\"n0\",\"heard\":true,\"lost\":false},{\"seat\":2,\"node\":\"n1\",\"heard\":true,\"lost\":false}],\
         \"duties\":[{\"duty\":\"bans\",\"owner\":\"n0\",\"token\":VARIES,\"next\":null,\"value_bytes\":0,\"left_ms\":VARIES}],\
         \"token\":VARIES}\n"
    );
    assert_eq!(
        node.post("/v1/fleet/owners/nothing/release"),
        "HTTP/1.1 404 Not Found\r\nContent-Length: 145\r\nConnection: close\r\n\r\n\
         {\"error\":\"duties\",\"code\":\"duties.unknown\",\"what\":\"no lease of that name is known\",\"remedy\":\"see GET /v1/fleet/owners for the leases that exist\"}\n"
    );
    assert_eq!(
        node.post("/v1/fleet/voters/n9/add"),
        "HTTP/1.1 404 Not Found\r\nContent-Length: 177\r\nConnection: close\r\n\r\n\
         {\"error\":\"voters\",\"code\":\"voters.nobody\",\"what\":\"no node of that name is known\",\"remedy\":\"see GET /v1/fleet/members for the names; only a node listed there can become a voter\"}\n"
    );
    assert_eq!(
        node.post("/v1/fleet/voters/n1/remove"),
        "HTTP/1.1 409 Conflict\r\nContent-Length: 177\r\nConnection: close\r\n\r\n\
         {\"error\":\"voters\",\"code\":\"voters.count\",\"what\":\"the number of voters must be two to seven\",\"remedy\":\"remove a voter before adding another one; at least two voters must remain\"}\n"
    );
    assert_eq!(node.post("/v1/fleet/members/n1/forget"), STILL_ALIVE);
    assert_eq!(node.post("/v1/fleet/owners/bans/release"), YES);
    let answer = node.request_until("GET", "/v1/fleet/members", |answer| {
        answer.contains("\"leads\":true")
    });
    let keys = ["address", "incarnation", "leads", "ill", "missed_s"];
    assert_eq!(
        mask_response(&answer, &keys),
        "HTTP/1.1 200 OK\r\nContent-Length: VARIES\r\nConnection: close\r\n\r\n\
         {\"cluster\":\"riga\",\"node\":\"n0\",\"member\":true,\"namesake\":null,\"standing\":\"whole\",\"reasons\":[],\"members\":[\
         {\"name\":\"n0\",\"address\":VARIES,\"incarnation\":VARIES,\"state\":\"here\",\"voter\":true,\"leads\":VARIES},\
         {\"name\":\"n1\",\"address\":VARIES,\"incarnation\":VARIES,\"state\":\"alive\",\"voter\":true,\"leads\":VARIES}],\"unheard\":[],\"ill\":VARIES,\"missed_s\":VARIES,\"bans\":[],\"dropped\":{}}\n"
    );
    node.stop();
    other.stop();
}

/// Checks the status code of each error, and one body. The tests of `crates/coordination` check the
/// other bodies.
#[test]
fn each_rejected_request_has_this_status() {
    let status = |error: &Error| error_response(error).status;
    let would_lose_majority = Error::WouldLoseMajority { live: 1, total: 3 };
    for error in [
        Error::NoMajority(Vec::new()),
        Error::Busy,
        Error::NoVoters,
        Error::NotLeader("n1".into()),
    ] {
        assert_eq!(status(&error), 503, "{error}");
    }
    for error in [Error::UnknownNode, Error::Rejected(Rejection::UnknownLease)] {
        assert_eq!(status(&error), 404, "{error}");
    }
    assert_eq!(status(&Error::InvalidName), 400);
    let rejections = [
        Rejection::OwnedByOther {
            owner: "n1".into(),
            token: 7,
        },
        Rejection::StaleToken(None),
        Rejection::Malformed,
        Rejection::TooManyLeases,
        Rejection::SupersededCommand,
    ];
    for error in rejections
        .map(Error::Rejected)
        .into_iter()
        .chain([would_lose_majority, Error::VoterCount])
    {
        assert_eq!(status(&error), 409, "{error}");
    }
    let response = error_response(&Error::InvalidName);
    assert_eq!(
        (response.status, response.body),
        (
            400,
            "{\"error\":\"voters\",\"code\":\"voters.name\",\"what\":\"a name must have 1 to 64 bytes\",\
             \"remedy\":\"give a name of 1 to 64 bytes\"}\n"
                .to_owned()
        )
    );
}

fn member(state: &str, voter: bool, leads: bool) -> MemberStatus {
    let address = "10.0.0.4:8080".parse().expect("an address");
    MemberStatus {
        name: "n0".into(),
        address,
        incarnation: 12,
        state: state.into(),
        is_voter: voter,
        is_leader: leads,
    }
}

fn cluster_status() -> ClusterStatus {
    ClusterStatus {
        cluster: "riga".into(),
        node: "n0".into(),
        is_member: false,
        name_conflict: Some("10.0.0.9:8080".parse().expect("an address")),
        health: "some failed".into(),
        reasons: vec!["n1 has failed".into()],
        members: vec![member("here", true, true), member("left", false, false)],
        unreachable_peers: vec!["n2".into()],
        clock_slowdown: 0.5,
        skipped_seconds: 1.25,
        suspended_workers: vec!["s-1".into()],
        dropped: [("foreign".to_owned(), 3)].into(),
    }
}

/// Checks that the value is serialised to this text, and the text deserialised to the value.
fn assert_json(value: &ClusterStatus, text: &str) {
    assert_eq!(serde_json::to_string(value).expect("JSON"), text);
    assert_eq!(
        &serde_json::from_str::<ClusterStatus>(text).expect("a value"),
        value
    );
}

#[test]
fn a_cluster_status_with_every_field_has_this_json() {
    assert_json(
        &cluster_status(),
        "{\"cluster\":\"riga\",\"node\":\"n0\",\"member\":false,\"namesake\":\"10.0.0.9:8080\",\
         \"standing\":\"some failed\",\"reasons\":[\"n1 has failed\"],\"members\":[\
         {\"name\":\"n0\",\"address\":\"10.0.0.4:8080\",\"incarnation\":12,\"state\":\"here\",\"voter\":true,\"leads\":true},\
         {\"name\":\"n0\",\"address\":\"10.0.0.4:8080\",\"incarnation\":12,\"state\":\"left\",\"voter\":false,\"leads\":false}],\
         \"unheard\":[\"n2\"],\"ill\":0.5,\"missed_s\":1.25,\"bans\":[\"s-1\"],\"dropped\":{\"foreign\":3}}",
    );
}

#[test]
fn a_cluster_status_with_empty_fields_has_this_json() {
    assert_json(
        &ClusterStatus {
            name_conflict: None,
            reasons: Vec::new(),
            members: Vec::new(),
            unreachable_peers: Vec::new(),
            suspended_workers: Vec::new(),
            dropped: Default::default(),
            ..cluster_status()
        },
        "{\"cluster\":\"riga\",\"node\":\"n0\",\"member\":false,\"namesake\":null,\"standing\":\"some failed\",\
         \"reasons\":[],\"members\":[],\"unheard\":[],\"ill\":0.5,\"missed_s\":1.25,\"bans\":[],\"dropped\":{}}",
    );
}

#[test]
fn a_member_from_a_version_without_the_leader_is_read() {
    let text =
        r#"{"name":"n0","address":"10.0.0.4:8080","incarnation":12,"state":"here","voter":true}"#;
    assert_eq!(
        serde_json::from_str::<MemberStatus>(text).expect("a member"),
        member("here", true, false)
    );
}

//! Pins the command line as scripts and operators see it: help texts, exit statuses, messages on
//! standard error, and the output of `check`, `store` and `fleet`. Every expected text is a
//! literal, so renaming an identifier can't change what the program prints unnoticed.

use postproxy_idempotency::{
    Attempt, AttemptOutcome, RequestRecord, Stage, request_key, result_key,
};
use postproxy_store::{Change, Engine, Options, OsDisk};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::{PoisonError, RwLock};
use std::thread::{self, JoinHandle};

/// The outcome of one run of the program.
#[derive(Debug, PartialEq)]
struct Run {
    status: Option<i32>,
    stdout: String,
    stderr: String,
}

/// The working directory of one test, removed on drop. The program runs in it, so that its messages
/// contain relative paths only.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("surface-cli-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder is made");
        Self(folder)
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.0.join(file), text).expect("the file is written");
    }

    fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
        command.args(args).env_clear().current_dir(&self.0);
        command
    }

    fn run(&self, args: &[&str]) -> Run {
        outcome(&mut self.command(args))
    }

    fn assert_prints(&self, args: &[&str], stdout: &str) {
        assert_eq!(self.run(args), done(stdout), "{args:?}");
    }

    fn assert_fails(&self, args: &[&str], stderr: &str) {
        assert_eq!(self.run(args), failed(stderr), "{args:?}");
    }

    /// Asserts that `serve` with this configuration ends at once with this message.
    fn assert_serve_fails(&self, args: &[&str], config: &str, stderr: &str) {
        self.write("config.json", config);
        let mut command = self.command(&[&["serve"], args].concat());
        assert_eq!(
            outcome(command.env("RELAY_CONFIG", "config.json")),
            failed(stderr),
            "{args:?}"
        );
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Keeps other tests from starting a child process while a test writes a store: between fork and
/// exec the child would hold the inherited lock on the store's folder, and the test's next open of
/// the store would fail.
static SPAWN_LOCK: RwLock<()> = RwLock::new(());

fn outcome(command: &mut Command) -> Run {
    command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let guard = SPAWN_LOCK.read().unwrap_or_else(PoisonError::into_inner);
    let child = command.spawn().expect("the program starts");
    drop(guard);
    let output = child.wait_with_output().expect("the program ends");
    Run {
        status: output.status.code(),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

fn done(stdout: &str) -> Run {
    Run {
        status: Some(0),
        stdout: stdout.into(),
        stderr: String::new(),
    }
}

fn failed(stderr: &str) -> Run {
    Run {
        status: Some(1),
        stdout: String::new(),
        stderr: stderr.into(),
    }
}

fn assert_prints(args: &[&str], stdout: &str) {
    Folder::new(&format!("prints-{}", args.join("-"))).assert_prints(args, stdout);
}

/// Asserts that these arguments are wrong usage: exit status 2 and this message.
fn assert_wrong_usage(args: &[&str], stderr: &str) {
    let run = Folder::new(&format!("usage-{}", args.join("-"))).run(args);
    assert_eq!(
        run,
        Run {
            status: Some(2),
            stdout: String::new(),
            stderr: stderr.into()
        },
        "{args:?}"
    );
}

// The store.

/// 1 January 2100, in milliseconds of Unix time: no record expires before.
const EXPIRES: u64 = 4_102_444_800_000;

fn request_record(key: Option<&str>, stage: Stage, attempts: &[(&str, AttemptOutcome)]) -> Vec<u8> {
    let attempt = |(worker, outcome): &(&str, AttemptOutcome)| Attempt {
        worker: (*worker).into(),
        outcome: *outcome,
    };
    let record = RequestRecord {
        class: "day-plan".into(),
        idempotency_key: key.map(str::to_owned),
        digest: [0xab; 32],
        stage,
        attempts: attempts.iter().map(attempt).collect(),
        deadline_ms: 1_700_000_000_123,
        expires_at_ms: EXPIRES,
    };
    record.encode()
}

/// One record of each kind that a node keeps, in the order in which they are written.
fn records() -> Vec<(Vec<u8>, Vec<u8>)> {
    let all_outcomes = [
        ("s-1", AttemptOutcome::InFlight),
        ("s-2", AttemptOutcome::NeverRan),
        ("s-3", AttemptOutcome::MayHaveRun),
    ];
    let list = br#"{"discovery":"127.0.0.1:8500","revision":3,"members":[]}"#;
    vec![
        (
            request_key("job-open"),
            request_record(Some("key-1"), Stage::Pending, &all_outcomes),
        ),
        (
            request_key("job-kept"),
            request_record(
                None,
                Stage::Served {
                    result_stored: true,
                },
                &all_outcomes[2..],
            ),
        ),
        (
            request_key("job-too-long"),
            request_record(
                None,
                Stage::Served {
                    result_stored: false,
                },
                &all_outcomes[2..],
            ),
        ),
        (
            request_key("job-failed"),
            request_record(None, Stage::Failed, &[]),
        ),
        (result_key("job-kept"), b"via cesis".to_vec()),
        (b"j/unreadable".to_vec(), vec![9, b'x']),
        (b"f/list".to_vec(), list.to_vec()),
        (
            b"f/bans".to_vec(),
            vec![1, 3, b's', b'-', b'1', 1, 7, 1, 0, 0xff],
        ),
        (b"a/hard".to_vec(), vec![1, 2, 3]),
        (b"c/seat".to_vec(), vec![b'v', 0]),
        (b"s/start".to_vec(), vec![2]),
    ]
}

fn open_store(folder: &Folder, names: &[&str]) -> Engine<OsDisk> {
    let disk = |name: &&str| OsDisk::new(&folder.0.join(name)).expect("a folder");
    let disks = names.iter().map(disk).collect();
    Engine::open(disks, Options::default(), "process 1 (a test)", 7, 0)
        .expect("a store")
        .0
}

fn put(engine: &mut Engine<OsDisk>, key: &[u8], value: &[u8]) {
    engine
        .append(&[Change::Put {
            key,
            value,
            expires_at_ms: EXPIRES,
        }])
        .expect("room");
    engine.commit().expect("durable");
}

/// Writes records to a store and closes it.
fn write_store(folder: &Folder, names: &[&str], records: &[(Vec<u8>, Vec<u8>)]) {
    let _guard = SPAWN_LOCK.write().unwrap_or_else(PoisonError::into_inner);
    let mut engine = open_store(folder, names);
    records
        .iter()
        .for_each(|(key, value)| put(&mut engine, key, value));
}

fn fill_store(folder: &Folder, names: &[&str]) {
    write_store(folder, names, &records());
}

/// The only segment file of a store.
fn segment_file(folder: &Folder, name: &str) -> PathBuf {
    let files = fs::read_dir(folder.0.join(name))
        .expect("a folder")
        .flatten()
        .map(|file| file.path());
    files
        .into_iter()
        .find(|path| path.extension().is_some_and(|end| end == "seg"))
        .expect("a segment")
}

/// Flips a bit of a file, which damages the frame that contains it.
fn damage(file: &Path, at: usize) {
    let mut bytes = fs::read(file).expect("the file is read");
    bytes[at] ^= 1;
    fs::write(file, bytes).expect("the file is written");
}

#[test]
fn store_dump_prints_an_object_for_each_record() {
    let folder = Folder::new("dump");
    fill_store(&folder, &["data"]);
    let digest = "abababababababababababababababababababababababababababababababab";
    let expected = r#"{"attempts":[{"fate":"Out","worker":"s-1"},{"fate":"NeverRan","worker":"s-2"},{"fate":"MayHaveRun","worker":"s-3"}],"class":"day-plan","deadline_ms":1700000000123,"digest":"DIGEST","job":"job-open","key":"key-1","stage":"Open","until_ms":4102444800000}
{"attempts":[{"fate":"MayHaveRun","worker":"s-3"}],"class":"day-plan","deadline_ms":1700000000123,"digest":"DIGEST","job":"job-kept","key":null,"stage":"Served(true)","until_ms":4102444800000}
{"attempts":[{"fate":"MayHaveRun","worker":"s-3"}],"class":"day-plan","deadline_ms":1700000000123,"digest":"DIGEST","job":"job-too-long","key":null,"stage":"Served(false)","until_ms":4102444800000}
{"attempts":[],"class":"day-plan","deadline_ms":1700000000123,"digest":"DIGEST","job":"job-failed","key":null,"stage":"Failed","until_ms":4102444800000}
{"bytes":9,"key":"r/job-kept","value":"via cesis"}
{"bytes":2,"key":"j/unreadable","value":"\tx"}
{"bytes":56,"key":"f/list","value":"{\"discovery\":\"127.0.0.1:8500\",\"revision\":3,\"members\":[]}"}
{"bytes":10,"key":"f/bans","value":"\u0001\u0003s-1\u0001\u0007\u0001\u0000�"}
{"bytes":3,"key":"a/hard","value":"\u0001\u0002\u0003"}
{"bytes":2,"key":"c/seat","value":"v\u0000"}
{"bytes":1,"key":"s/start","value":"\u0002"}
"#;
    folder.assert_prints(
        &["store", "dump", "data"],
        &expected.replace("DIGEST", digest),
    );
}

#[test]
fn store_stat_prints_statistics() {
    let folder = Folder::new("stat");
    fill_store(&folder, &["data"]);
    folder.assert_prints(
        &["store", "stat", "data"],
        "\
records      11
live bytes   872
file bytes   936
segments     1
index bytes  720 excluding the keys
torn bytes   0
",
    );
}

#[test]
fn store_verify_counts_records() {
    let folder = Folder::new("verify");
    fill_store(&folder, &["data"]);
    folder.assert_prints(
        &["store", "verify", "data"],
        "11 records in 1 segments, 936 bytes\n",
    );
}

#[test]
fn store_verify_counts_torn_bytes() {
    let folder = Folder::new("torn");
    fill_store(&folder, &["data"]);
    let file = segment_file(&folder, "data");
    let mut bytes = fs::read(&file).expect("the file is read");
    bytes.extend([1; 5]);
    fs::write(&file, bytes).expect("the file is written");
    folder.assert_prints(
        &["store", "verify", "data"],
        "\
11 records in 1 segments, 936 bytes
32028 torn bytes after the last record, never acknowledged
",
    );
}

#[test]
fn store_verify_names_lost_records_and_fails() {
    let folder = Folder::new("lost");
    fill_store(&folder, &["data"]);
    damage(&segment_file(&folder, "data"), 70);
    let expected = Run {
        status: Some(1),
        stdout: "\
10 records in 1 segments, 936 bytes
segment 1: frames 1 to 1 are lost
segment 1: damaged
"
        .into(),
        stderr: "postproxy: data: acknowledged records are lost\n".into(),
    };
    assert_eq!(folder.run(&["store", "verify", "data"]), expected);
}

#[test]
fn store_verify_repairs_from_the_mirror() {
    let folder = Folder::new("mirror");
    fill_store(&folder, &["data", "copy"]);
    damage(&segment_file(&folder, "data"), 70);
    folder.assert_prints(
        &["store", "verify", "data", "--mirror", "copy"],
        "\
11 records in 1 segments, 936 bytes
data/0000000000000001.seg: repaired from its copy
",
    );
}

#[test]
fn store_compact_prints_sizes_before_and_after() {
    let folder = Folder::new("compact");
    let list = (b"f/list".to_vec(), vec![b'x'; 1000]);
    write_store(&folder, &["data"], &vec![list; 20]);
    folder.assert_prints(
        &["store", "compact", "data"],
        "20964 bytes before, 1142 after\n",
    );
}

#[test]
fn store_in_use_names_its_holder() {
    let folder = Folder::new("held");
    let _engine = open_store(&folder, &["data"]);
    let stderr = "postproxy: store: data: data is held by process 1 (a test)\n";
    for action in ["verify", "dump", "compact", "stat"] {
        folder.assert_fails(&["store", action, "data"], stderr);
    }
}

#[test]
fn a_missing_store_is_not_created() {
    let folder = Folder::new("absent");
    let stderr = "postproxy: data: No such file or directory (os error 2)\n";
    folder.assert_fails(&["store", "stat", "data"], stderr);
    assert!(!folder.0.join("data").exists());
}

#[test]
fn store_that_is_a_file_is_rejected() {
    let folder = Folder::new("file");
    folder.write("data", "");
    folder.assert_fails(
        &["store", "stat", "data"],
        "postproxy: data: not a folder\n",
    );
}

// The operator's file.

#[test]
fn check_reports_a_valid_file() {
    let folder = Folder::new("check-good");
    folder.write(
        "operator.json",
        r#"{"log": {"format": "json", "levels": "info"}}"#,
    );
    folder.write("config.json", include_str!("../examples/config.json"));
    folder.assert_prints(&["check", "operator.json"], "operator.json: valid\n");
    folder.assert_prints(
        &["check", "operator.json", "--config", "config.json"],
        "operator.json: valid\n",
    );
}

#[test]
fn check_names_the_place_in_a_bad_operator_file() {
    let folder = Folder::new("check-bad");
    folder.write("operator.json", "{\n  \"log\": {\"fromat\": \"json\"}\n}");
    let stderr = "postproxy: operator.json: log.fromat: unknown name 'fromat' at line 2 column 18; the nearest known name is 'format'\n";
    folder.assert_fails(&["check", "operator.json"], stderr);
}

#[test]
fn check_names_the_place_in_a_bad_configuration() {
    let folder = Folder::new("check-config");
    folder.write("operator.json", "{}");
    let config = include_str!("../examples/config.json")
        .replace("\"max-attempts\": 3", "\"max-attempts\": 0");
    folder.write("config.json", &config);
    let stderr = "postproxy: config.json: settings.limits.max-attempts must be at least 1 (settings.range: set the named key to a valid value, then start the node or signal it to reload its settings)\n";
    folder.assert_fails(
        &["check", "operator.json", "--config", "config.json"],
        stderr,
    );
}

#[test]
fn check_names_files_that_can_not_be_read() {
    let folder = Folder::new("check-absent");
    folder.write("operator.json", "{}");
    folder.assert_fails(
        &["check", "absent.json"],
        "postproxy: reading absent.json: No such file or directory (os error 2)\n",
    );
    folder.assert_fails(
        &["check", "operator.json", "--config", "absent.json"],
        "postproxy: reading absent.json: No such file or directory (os error 2)\n",
    );
}

// The fleet.

/// Responds to one request in place of a node's management API. The thread returns the head of the
/// request.
fn management_api(status: &'static str, body: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let respond = move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request");
            request.extend(byte);
        }
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        )
        .expect("the response is written");
        String::from_utf8(request).expect("text")
    };
    (address, thread::spawn(respond))
}

/// Runs a `fleet` command against a management API that gives this response; returns the run and
/// the request line.
fn fleet(name: &str, args: &[&str], status: &'static str, body: &'static str) -> (Run, String) {
    let (address, served) = management_api(status, body);
    let folder = Folder::new(name);
    let run = folder.run(&[&["fleet"], args, &["--mgmt", &address.to_string()]].concat());
    let request = served.join().expect("one request");
    let line = request.lines().next().unwrap_or_default().to_owned();
    let stderr = run.stderr.replace(&address.to_string(), "ADDRESS");
    (Run { stderr, ..run }, line)
}

const FULL_STATUS: &str = r#"{"cluster":"yard","node":"n0","member":true,"namesake":null,"standing":"some pairs cut","reasons":["n0 does not hear n2"],"members":[{"name":"n0","address":"10.0.0.1:7946","incarnation":4,"state":"here","voter":true,"leads":true},{"name":"n1","address":"10.0.0.2:7946","incarnation":2,"state":"suspect","voter":true},{"name":"n2","address":"[fd00::3]:7946","incarnation":1,"state":"left","voter":false,"leads":false}],"unheard":["n2"],"ill":1.25,"missed_s":3.04,"bans":["s-1","s-2"],"dropped":{"cluster":2,"length":1}}
"#;

#[test]
fn fleet_members_prints_a_table() {
    let expected = "\
n0 of yard: some pairs cut
  n0 does not hear n2
node                 state    votes  address                incarnation
n0                   here     yes    10.0.0.1:7946          4
n1                   suspect  yes    10.0.0.2:7946          2
n2                   left            [fd00::3]:7946         1
not heard from directly: n2
suspended workers: s-1, s-2
this process did not run for 3.0 s; clock slowdown 1.2 (maximum 8)
dropped datagrams and streams: cluster 2, length 1
";
    let (run, request) = fleet("members-table", &["members"], "200 OK", FULL_STATUS);
    assert_eq!(run, done(expected));
    assert_eq!(request, "GET /v1/fleet/members HTTP/1.1");
}

#[test]
fn fleet_members_prints_json_as_the_node_gave_it() {
    let (run, request) = fleet(
        "members-json",
        &["members", "--json"],
        "200 OK",
        FULL_STATUS,
    );
    assert_eq!(run, done(FULL_STATUS));
    assert_eq!(request, "GET /v1/fleet/members HTTP/1.1");
}

#[test]
fn fleet_members_reports_a_node_that_is_not_a_member_yet() {
    let body = r#"{"cluster":"yard","node":"n0","member":false,"namesake":null,"standing":"alone","reasons":[],"members":[],"unheard":[],"ill":0.0,"missed_s":0.0,"bans":[],"dropped":{}}"#;
    let expected = "\
n0 of yard: alone
  not a member yet
node                 state    votes  address                incarnation
";
    assert_eq!(
        fleet("no-member", &["members"], "200 OK", body).0,
        done(expected)
    );
}

#[test]
fn fleet_members_names_the_process_with_the_same_name() {
    let body = r#"{"cluster":"yard","node":"n0","member":false,"namesake":"10.0.0.9:7946","standing":"alone","reasons":[],"members":[],"unheard":[],"ill":0.0,"missed_s":0.0,"bans":[],"dropped":{}}"#;
    let expected = "\
n0 of yard: alone
  not a member: the process at 10.0.0.9:7946 has the same name
node                 state    votes  address                incarnation
";
    assert_eq!(
        fleet("namesake", &["members"], "200 OK", body).0,
        done(expected)
    );
}

#[test]
fn fleet_members_prints_what_the_node_rejects() {
    let (run, _) = fleet("members-404", &["members"], "404 Not Found", "no fleet\n");
    assert_eq!(run, failed("postproxy: ADDRESS: no fleet\n"));
}

#[test]
fn fleet_members_rejects_a_status_without_a_required_key() {
    let (run, _) = fleet(
        "members-short",
        &["members"],
        "200 OK",
        r#"{"cluster":"yard"}"#,
    );
    assert_eq!(
        run,
        failed("postproxy: missing field `node` at line 1 column 18\n")
    );
}

#[test]
fn fleet_members_names_an_address_without_a_listener() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let expected = format!("postproxy: {address}: Connection refused (os error 111)\n");
    Folder::new("members-nobody")
        .assert_fails(&["fleet", "members", "--mgmt", &address], &expected);
}

#[test]
fn fleet_forget_prints_the_outcome() {
    let forget = ["forget", "n 2"];
    let (run, request) = fleet("forget-200", &forget, "200 OK", "{}");
    assert_eq!(run, done("n 2: forgotten\n"));
    assert_eq!(request, "POST /v1/fleet/members/n%202/forget HTTP/1.1");
    let (run, _) = fleet("forget-409", &forget, "409 Conflict", "");
    assert_eq!(
        run,
        failed("postproxy: n 2: the node has not failed; stop it and try again\n")
    );
    let (run, _) = fleet("forget-404", &forget, "404 Not Found", "no such node\n");
    assert_eq!(run, failed("postproxy: n 2: no such node\n"));
}

// Starting a node.

/// A configuration of a node on free ports of loopback, preceded by these keys.
fn config(more: &str) -> String {
    format!(
        r#"{{{more}"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7", "settings": {{}}}}"#
    )
}

#[test]
fn serve_without_a_configuration_fails() {
    let folder = Folder::new("serve-none");
    let stderr = "postproxy: RELAY_CONFIG is not set to the path of a configuration file\n";
    folder.assert_fails(&["serve"], stderr);
    folder.assert_fails(&[], stderr);
}

#[test]
fn serve_names_an_operator_file_that_can_not_be_read() {
    let folder = Folder::new("serve-operator");
    let stderr = "postproxy: reading absent.json: No such file or directory (os error 2)\n";
    folder.assert_serve_fails(&["--operator", "absent.json"], &config(""), stderr);
    folder.write("config.json", &config(""));
    let mut command = folder.command(&["serve"]);
    command
        .env("RELAY_CONFIG", "config.json")
        .env("POSTPROXY_OPERATOR", "absent.json");
    assert_eq!(outcome(&mut command), failed(stderr));
}

#[test]
fn serve_rejects_invalid_log_levels() {
    let stderr = "postproxy: 'info,postproxy=lound' is not a valid list of log levels: error parsing level filter: expected one of \"off\", \"error\", \"warn\", \"info\", \"debug\", \"trace\", or a number 0-5\n";
    let folder = Folder::new("serve-levels");
    folder.assert_serve_fails(
        &["--log-levels", "info,postproxy=lound"],
        &config(""),
        stderr,
    );
}

#[test]
fn serve_names_an_address_in_use() {
    let folder = Folder::new("serve-taken");
    let taken = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = taken.local_addr().expect("an address");
    let stderr =
        format!("postproxy: listening on {address}: Address already in use (os error 98)\n");
    let listen = config("").replace("127.0.0.1:0", &address.to_string());
    folder.assert_serve_fails(&[], &listen, &stderr);
    folder.assert_serve_fails(&[], &config(&format!(r#""mgmt": "{address}", "#)), &stderr);
}

#[test]
fn serve_names_a_fleet_address_in_use() {
    let folder = Folder::new("serve-fleet-taken");
    let taken = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = taken.local_addr().expect("an address");
    let operator =
        format!(r#"{{"fleet": {{"cluster": "c", "listen": "{address}", "voters": ["n0"]}}}}"#);
    folder.write("operator.json", &operator);
    let stderr =
        format!("postproxy: fleet.listen: {address}: Address already in use (os error 98)\n");
    folder.assert_serve_fails(
        &["--operator", "operator.json", "--log-levels", "off"],
        &config(""),
        &stderr,
    );
}

#[test]
fn serve_rejects_a_node_name_that_is_not_a_member_name() {
    let folder = Folder::new("serve-name");
    let operator = r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:0", "voters": ["n0"]}}"#;
    folder.write("operator.json", operator);
    let stderr = "postproxy: fleet: the node's name '' must have 1 to 64 bytes\n";
    let unnamed = config("").replace("n0", "");
    folder.assert_serve_fails(&["--operator", "operator.json"], &unnamed, stderr);
}

#[test]
fn serve_rejects_a_voter_without_a_store() {
    let folder = Folder::new("serve-voter");
    let operator = r#"{"duties": {}, "fleet": {"cluster": "c", "listen": "127.0.0.1:0", "voters": ["n0", "n1", "n2"]}}"#;
    folder.write("operator.json", operator);
    let stderr = "postproxy: duties: this node is a voter and must keep its votes across restarts: configure the section store\n";
    folder.assert_serve_fails(&["--operator", "operator.json"], &config(""), stderr);
}

#[test]
fn serve_names_the_holder_of_its_store() {
    let folder = Folder::new("serve-held");
    let _engine = open_store(&folder, &["data"]);
    folder.write("operator.json", r#"{"store": {"folder": "data"}}"#);
    let stderr = "postproxy: store: data: data is held by process 1 (a test)\n";
    folder.assert_serve_fails(&["--operator", "operator.json"], &config(""), stderr);
}

// Wrong usage and help.

#[test]
fn version_is_printed() {
    assert_prints(&["--version"], "postproxy 0.1.0\n");
}

#[test]
fn an_unknown_command_is_wrong_usage() {
    let stderr = "error: unrecognized subcommand 'swerve'

  tip: a similar subcommand exists: 'serve'

Usage: postproxy [COMMAND]

For more information, try '--help'.
";
    assert_wrong_usage(&["swerve"], stderr);
}

#[test]
fn an_unknown_log_format_is_wrong_usage() {
    let stderr = "error: invalid value 'xml' for '--log-format <FORMAT>'
  [possible values: text, json]

For more information, try '--help'.
";
    assert_wrong_usage(&["serve", "--log-format", "xml"], stderr);
}

#[test]
fn a_missing_argument_is_wrong_usage() {
    let stderr = "error: the following required arguments were not provided:
  --mgmt <ADDR>

Usage: postproxy fleet members --mgmt <ADDR>

For more information, try '--help'.
";
    assert_wrong_usage(&["fleet", "members"], stderr);
}

#[test]
fn arguments_of_a_trial_have_a_range() {
    let jobs = "error: invalid value '0' for '--jobs <JOBS>': 0 is not in 1..=10000

For more information, try '--help'.
";
    assert_wrong_usage(&["try", "--jobs", "0"], jobs);
    let clients = "error: invalid value '257' for '--clients <CLIENTS>': 257 is not in 1..=256

For more information, try '--help'.
";
    assert_wrong_usage(&["try", "--clients", "257"], clients);
    let nodes = "error: invalid value '2' for '--fleet <NODES>': 2 is not in 3..=9

For more information, try '--help'.
";
    assert_wrong_usage(&["try", "--fleet", "2"], nodes);
}

#[test]
fn help_of_the_program() {
    let text = r"Route requests from clients to workers; without a command, run a node as `serve` does

Usage: postproxy [COMMAND]

Commands:
  serve        Run a node until SIGTERM or SIGINT; RELAY_CONFIG names its configuration
  check        Check an operator's file for errors
  store        Inspect or compact a store's files while its node is stopped
  fleet        Show or change the cluster membership through a running node
  try          Run a trial in one process: discovery, four workers, a node, and requests of two classes
  completions  Print a shell completion script
  help         Print this message or the help of the given subcommand(s)

Options:
  -h, --help     Print help
  -V, --version  Print version

Exit status: 0 done, 1 failed, 2 wrong usage.
";
    assert_prints(&["--help"], text);
}

#[test]
fn help_of_serve() {
    let text = r"Run a node until SIGTERM or SIGINT; RELAY_CONFIG names its configuration

Usage: postproxy serve [OPTIONS]

Options:
      --operator <FILE>
          The operator's file, which enables optional parts of the program
          
          [env: POSTPROXY_OPERATOR=]

      --log-format <FORMAT>
          Format of log lines; takes precedence over the operator's file

          Possible values:
          - text: Human-readable text
          - json: One JSON object per line

      --log-levels <LEVELS>
          Log levels by module, such as info,postproxy::net::upstream::worker_list=debug; takes precedence over the operator's file

  -h, --help
          Print help (see a summary with '-h')
";
    assert_prints(&["serve", "--help"], text);
}

#[test]
fn help_of_check() {
    let text = r"Check an operator's file for errors

Usage: postproxy check [OPTIONS] <FILE>

Arguments:
  <FILE>  The operator's file

Options:
      --config <FILE>  A node's configuration file to check as well
  -h, --help           Print help
";
    assert_prints(&["check", "--help"], text);
}

#[test]
fn help_of_store() {
    let text = r"Inspect or compact a store's files while its node is stopped

Usage: postproxy store <COMMAND>

Commands:
  verify   Read every record and report damaged, torn or lost ones; with a mirror, repair them
  dump     Print every record as a JSON object, one per line
  compact  Reclaim the space of records that are no longer live
  stat     Print statistics: records, bytes and segments
  help     Print this message or the help of the given subcommand(s)

Options:
  -h, --help  Print help
";
    assert_prints(&["store", "--help"], text);
}

#[test]
fn help_of_store_verify() {
    let text = r"Read every record and report damaged, torn or lost ones; with a mirror, repair them

Usage: postproxy store verify [OPTIONS] <DIR>

Arguments:
  <DIR>  The store's folder

Options:
      --mirror <DIR>  The folder of the store's mirror
  -h, --help          Print help
";
    assert_prints(&["store", "verify", "--help"], text);
}

#[test]
fn help_of_store_dump() {
    let text = r"Print every record as a JSON object, one per line

Usage: postproxy store dump [OPTIONS] <DIR>

Arguments:
  <DIR>  The store's folder

Options:
      --mirror <DIR>  The folder of the store's mirror
  -h, --help          Print help
";
    assert_prints(&["store", "dump", "--help"], text);
}

#[test]
fn help_of_store_compact() {
    let text = r"Reclaim the space of records that are no longer live

Usage: postproxy store compact [OPTIONS] <DIR>

Arguments:
  <DIR>  The store's folder

Options:
      --mirror <DIR>  The folder of the store's mirror
  -h, --help          Print help
";
    assert_prints(&["store", "compact", "--help"], text);
}

#[test]
fn help_of_store_stat() {
    let text = r"Print statistics: records, bytes and segments

Usage: postproxy store stat [OPTIONS] <DIR>

Arguments:
  <DIR>  The store's folder

Options:
      --mirror <DIR>  The folder of the store's mirror
  -h, --help          Print help
";
    assert_prints(&["store", "stat", "--help"], text);
}

#[test]
fn help_of_fleet() {
    let text = r"Show or change the cluster membership through a running node

Usage: postproxy fleet <COMMAND>

Commands:
  members  Show the cluster's members and its health as one node sees them
  forget   Mark a failed node that will not come back as left, at all nodes
  help     Print this message or the help of the given subcommand(s)

Options:
  -h, --help  Print help
";
    assert_prints(&["fleet", "--help"], text);
}

#[test]
fn help_of_fleet_members() {
    let text = r"Show the cluster's members and its health as one node sees them

Usage: postproxy fleet members [OPTIONS] --mgmt <ADDR>

Options:
      --mgmt <ADDR>  The management address of the node
      --json         Print the status in JSON, as the node returns it
      --watch        Print the status again every second until interrupted
  -h, --help         Print help
";
    assert_prints(&["fleet", "members", "--help"], text);
}

#[test]
fn help_of_fleet_forget() {
    let text = r"Mark a failed node that will not come back as left, at all nodes

Usage: postproxy fleet forget --mgmt <ADDR> <NAME>

Arguments:
  <NAME>  The name of the failed node

Options:
      --mgmt <ADDR>  The management address of any other node
  -h, --help         Print help
";
    assert_prints(&["fleet", "forget", "--help"], text);
}

#[test]
fn help_of_try() {
    let text = r"Run a trial in one process: discovery, four workers, a node, and requests of two classes

Usage: postproxy try [OPTIONS]

Options:
      --jobs <JOBS>        Number of requests of each class [default: 20]
      --clients <CLIENTS>  Number of concurrent clients [default: 4]
      --fleet <NODES>      Run a cluster of this many nodes, each in its own process; kill and pause some under load
  -h, --help               Print help
";
    assert_prints(&["try", "--help"], text);
}

#[test]
fn help_of_completions() {
    let text = r"Print a shell completion script

Usage: postproxy completions <SHELL>

Arguments:
  <SHELL>  The shell that the script is for [possible values: bash, elvish, fish, powershell, zsh]

Options:
  -h, --help  Print help
";
    assert_prints(&["completions", "--help"], text);
}

//! Pins the operator's file, the node's configuration with its settings, and the environment
//! variables as operators see them. The tests cover every key and, with its code, every error
//! message. All are literals, so renaming an identifier can't change a key, a value or a message
//! unnoticed.

use postproxy::decision::interface::{
    Class, DedupScope, Effect, Entry, Health, ReportField, ReportSource, RetryBudget, Settings,
    WorkerId,
};
use postproxy::net::Config;
use postproxy::operator_config::OperatorConfig;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The working directory of one test, removed on drop. The program runs in it, so that its messages
/// contain relative paths only.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("surface-settings-{name}-{}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).expect("the folder is created");
        Self(folder)
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.0.join(file), text).expect("the file is written");
    }

    /// Runs the program; returns its exit status, standard output and standard error.
    fn run(&self, args: &[&str], environment: &[(&str, &str)]) -> (Option<i32>, String, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
        command
            .args(args)
            .env_clear()
            .envs(environment.iter().copied())
            .current_dir(&self.0);
        let output = command.output().expect("the program starts");
        let text = |bytes| String::from_utf8(bytes).expect("text");
        (
            output.status.code(),
            text(output.stdout),
            text(output.stderr),
        )
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn message(text: &str) -> (Option<i32>, String, String) {
    (Some(1), String::new(), format!("postproxy: {text}\n"))
}

/// Returns the name of the running test, which is the name of its thread.
fn test_name() -> String {
    std::thread::current()
        .name()
        .expect("a test's thread has its name")
        .replace("::", "-")
}

/// Asserts that `check` ends with status 1 and this message for each of these operator's files.
fn assert_operator_file_errors(cases: &[(&str, &str)]) {
    let folder = Folder::new(&test_name());
    for (text, expected) in cases {
        folder.write("operator.json", text);
        let run = folder.run(&["check", "operator.json"], &[]);
        assert_eq!(
            run,
            message(&format!("operator.json: {expected}")),
            "{text}"
        );
    }
}

/// Asserts that `check` ends with status 1 and this message for each of these configurations.
fn assert_configuration_errors(cases: &[(&str, &str)]) {
    let folder = Folder::new(&test_name());
    folder.write("operator.json", "{}");
    for (text, expected) in cases {
        folder.write("config.json", text);
        let run = folder.run(&["check", "operator.json", "--config", "config.json"], &[]);
        assert_eq!(run, message(&format!("config.json: {expected}")), "{text}");
    }
}

/// Returns a configuration with these settings.
fn configuration(settings: &str) -> String {
    format!(
        r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7", "settings": {settings}}}"#
    )
}

/// Asserts that each of these settings is rejected with this message, followed by the code and the
/// remedy.
fn assert_settings_errors(cases: &[(&str, &str)], code_and_remedy: &str) {
    let full = |(settings, expected): &(&str, &str)| {
        (
            configuration(settings),
            format!("{expected} ({code_and_remedy})"),
        )
    };
    let full: Vec<(String, String)> = cases.iter().map(full).collect();
    let full: Vec<(&str, &str)> = full
        .iter()
        .map(|(text, expected)| (&**text, &**expected))
        .collect();
    assert_configuration_errors(&full);
}

fn assert_malformed_settings(cases: &[(&str, &str)]) {
    let code = "settings.malformed: correct the value of the named key, then start the node or signal it to reload its settings";
    assert_settings_errors(cases, code);
}

fn assert_unknown_words(cases: &[(&str, &str)]) {
    let code = "settings.word: set the named key to one of the listed values, then start the node or signal it to reload its settings";
    assert_settings_errors(cases, code);
}

fn assert_values_out_of_range(cases: &[(&str, &str)]) {
    let code = "settings.range: set the named key to a valid value, then start the node or signal it to reload its settings";
    assert_settings_errors(cases, code);
}

// The operator's file.

const FULL_OPERATOR_FILE: &str = r#"{
    "log": {"format": "json", "levels": "warn,postproxy=debug"},
    "store": {"folder": "data", "mirror": "copy", "segment_mb": 2, "most_mb": 9, "keyed_durable": true,
        "patience_ms": 501, "retention_s": 3601.5, "retention_of_s": {"day-plan": 7200.0}, "result_kb": 65,
        "most_jobs": 1001, "sync_delay_ms": 3, "trouble_file": "trouble"},
    "fleet": {"cluster": "yard", "listen": "127.0.0.1:7946", "advertise": "127.0.0.2:7947", "seeds": ["127.0.0.3:7948"],
        "voters": ["n0", "n1", "n2"], "probe_ms": 251, "answer_ms": 101, "suspicion_ms": 1101, "gossip_ms": 102,
        "hello_ms": 502, "look_back_ms": 1002},
    "duties": {"lease_ms": 3001},
    "audit": {"beat_ms": 401, "discovery": "dc"}
}"#;

#[test]
fn an_operator_file_with_every_key_is_valid() {
    let folder = Folder::new(&test_name());
    folder.write("operator.json", FULL_OPERATOR_FILE);
    let valid = (Some(0), "operator.json: valid\n".to_owned(), String::new());
    assert_eq!(folder.run(&["check", "operator.json"], &[]), valid);
}

#[test]
fn every_key_of_the_operator_file_reaches_its_field() {
    let operator = OperatorConfig::from_json(FULL_OPERATOR_FILE).expect("a valid file");
    assert_eq!(operator.log.levels, "warn,postproxy=debug");
    assert_eq!(operator.log.format, postproxy::logging::Format::Json);
    let store = operator.store.expect("a store");
    assert_eq!(
        (&*store.folder, store.mirror.as_deref()),
        ("data", Some("copy"))
    );
    assert_eq!(
        (store.segment_mb, store.most_mb, store.keyed_durable),
        (2, 9, true)
    );
    assert_eq!((store.patience_ms, store.retention_s), (501, 3601.5));
    assert_eq!(
        store.retention_of_s.into_iter().collect::<Vec<_>>(),
        [("day-plan".to_owned(), 7200.0)]
    );
    assert_eq!(
        (store.result_kb, store.most_jobs, store.sync_delay_ms),
        (65, 1001, 3)
    );
    assert_eq!(store.trouble_file.as_deref(), Some("trouble"));
    let fleet = operator.fleet.expect("a fleet");
    assert_eq!(
        (&*fleet.cluster, fleet.listen.to_string()),
        ("yard", "127.0.0.1:7946".to_owned())
    );
    assert_eq!(
        fleet.advertise,
        Some(SocketAddr::from(([127, 0, 0, 2], 7947)))
    );
    assert_eq!(fleet.seeds, [SocketAddr::from(([127, 0, 0, 3], 7948))]);
    assert_eq!(fleet.voters, ["n0", "n1", "n2"]);
    assert_eq!(
        (fleet.probe_ms, fleet.answer_ms, fleet.suspicion_ms),
        (251, 101, 1101)
    );
    assert_eq!(
        (fleet.gossip_ms, fleet.hello_ms, fleet.look_back_ms),
        (102, 502, 1002)
    );
    assert_eq!(operator.duties.expect("duties").lease_ms, 3001);
    let audit = operator.audit.expect("an audit");
    assert_eq!(
        (audit.beat_ms, audit.discovery.as_deref()),
        (401, Some("dc"))
    );
}

#[test]
fn absent_keys_of_the_operator_file_have_their_defaults() {
    let text = r#"{"store": {"folder": "data"}, "fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a", "b", "c"]}, "duties": {}, "audit": {}}"#;
    let operator = OperatorConfig::from_json(text).expect("a valid file");
    assert_eq!(operator.log.levels, "info");
    assert_eq!(operator.log.format, postproxy::logging::Format::Text);
    let store = operator.store.expect("a store");
    assert_eq!(
        (
            store.mirror,
            store.segment_mb,
            store.most_mb,
            store.keyed_durable
        ),
        (None, 16, 0, false)
    );
    assert_eq!(
        (
            store.patience_ms,
            store.retention_s,
            store.retention_of_s.len()
        ),
        (500, 3600.0, 0)
    );
    assert_eq!(
        (store.result_kb, store.most_jobs, store.sync_delay_ms),
        (64, 1_000_000, 0)
    );
    assert_eq!(store.trouble_file, None);
    let fleet = operator.fleet.expect("a fleet");
    assert_eq!((fleet.advertise, fleet.seeds.len()), (None, 0));
    assert_eq!(
        (fleet.probe_ms, fleet.answer_ms, fleet.suspicion_ms),
        (250, 100, 1100)
    );
    assert_eq!(
        (fleet.gossip_ms, fleet.hello_ms, fleet.look_back_ms),
        (100, 500, 1000)
    );
    assert_eq!(operator.duties.expect("duties").lease_ms, 3000);
    let audit = operator.audit.expect("an audit");
    assert_eq!((audit.beat_ms, audit.discovery), (400, None));
}

#[test]
fn the_operator_file_must_be_one_json_object() {
    let cases = [
        ("", ".: EOF while parsing a value at line 1 column 0"),
        (
            r#"{"log": {}"#,
            ".: EOF while parsing an object at line 1 column 10",
        ),
        ("{} {}", ".: trailing characters at line 1 column 4"),
        ("[]x", ".: trailing characters at line 1 column 3"),
        (
            "3",
            ".: invalid type: integer `3`, expected an object with the sections of the operator's file at line 1 column 1",
        ),
        (
            r#"{"log": {}, "log": {}}"#,
            ".: duplicate field `log` at line 1 column 17",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn an_unknown_section_is_rejected_with_the_nearest_name() {
    let cases = [
        (
            r#"{"lgo": {}}"#,
            "lgo: unknown name 'lgo' at line 1 column 6; the nearest known name is 'log'",
        ),
        (
            r#"{"stor": {}}"#,
            "stor: unknown name 'stor' at line 1 column 7; the nearest known name is 'store'",
        ),
        (
            r#"{"fleets": {}}"#,
            "fleets: unknown name 'fleets' at line 1 column 9; the nearest known name is 'fleet'",
        ),
        (
            r#"{"duty": {}}"#,
            "duty: unknown name 'duty' at line 1 column 7; the nearest known name is 'duties'",
        ),
        (
            r#"{"audits": {}}"#,
            "audits: unknown name 'audits' at line 1 column 9; the nearest known name is 'audit'",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn an_unknown_key_of_log_is_rejected_with_the_nearest_name() {
    let cases = [
        (
            r#"{"log": {"fromat": "json"}}"#,
            "log.fromat: unknown name 'fromat' at line 1 column 17; the nearest known name is 'format'",
        ),
        (
            r#"{"log": {"level": "info"}}"#,
            "log.level: unknown name 'level' at line 1 column 16; the nearest known name is 'levels'",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn wrong_values_in_log_are_rejected() {
    let cases = [
        (
            r#"{"log": {"format": "jsn"}}"#,
            "log.format: unknown name 'jsn' at line 1 column 24; the nearest known name is 'json'",
        ),
        (
            r#"{"log": {"format": 3}}"#,
            "log.format: expected value at line 1 column 20",
        ),
        (
            r#"{"log": {"levels": 3}}"#,
            "log.levels: invalid type: integer `3`, expected a string at line 1 column 20",
        ),
        (
            r#"{"log": {"levels": "a=b"}}"#,
            r#"log.levels: 'a=b' is not a valid list of log levels: error parsing level filter: expected one of "off", "error", "warn", "info", "debug", "trace", or a number 0-5"#,
        ),
        (
            r#"{"log": 3}"#,
            "log: invalid type: integer `3`, expected the object `log` at line 1 column 9",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn an_unknown_key_of_store_is_rejected_with_the_nearest_name() {
    let cases = [
        (
            r#"{"store": {"foldr": 1}}"#,
            "store.foldr: unknown name 'foldr' at line 1 column 18; the nearest known name is 'folder'",
        ),
        (
            r#"{"store": {"miror": 1}}"#,
            "store.miror: unknown name 'miror' at line 1 column 18; the nearest known name is 'mirror'",
        ),
        (
            r#"{"store": {"segment_md": 1}}"#,
            "store.segment_md: unknown name 'segment_md' at line 1 column 23; the nearest known name is 'segment_mb'",
        ),
        (
            r#"{"store": {"most_bm": 1}}"#,
            "store.most_bm: unknown name 'most_bm' at line 1 column 20; the nearest known name is 'most_mb'",
        ),
        (
            r#"{"store": {"keyed_durabel": 1}}"#,
            "store.keyed_durabel: unknown name 'keyed_durabel' at line 1 column 26; the nearest known name is 'keyed_durable'",
        ),
        (
            r#"{"store": {"patience": 1}}"#,
            "store.patience: unknown name 'patience' at line 1 column 21; the nearest known name is 'patience_ms'",
        ),
        (
            r#"{"store": {"retention_ms": 1}}"#,
            "store.retention_ms: unknown name 'retention_ms' at line 1 column 25; the nearest known name is 'retention_s'",
        ),
        (
            r#"{"store": {"retention_of": 1}}"#,
            "store.retention_of: unknown name 'retention_of' at line 1 column 25; the nearest known name is 'retention_of_s'",
        ),
        (
            r#"{"store": {"result_bk": 1}}"#,
            "store.result_bk: unknown name 'result_bk' at line 1 column 22; the nearest known name is 'result_kb'",
        ),
        (
            r#"{"store": {"most_job": 1}}"#,
            "store.most_job: unknown name 'most_job' at line 1 column 21; the nearest known name is 'most_jobs'",
        ),
        (
            r#"{"store": {"sync_delay": 1}}"#,
            "store.sync_delay: unknown name 'sync_delay' at line 1 column 23; the nearest known name is 'sync_delay_ms'",
        ),
        (
            r#"{"store": {"trouble": 1}}"#,
            "store.trouble: unknown name 'trouble' at line 1 column 20; the nearest known name is 'trouble_file'",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn wrong_types_in_store_are_rejected() {
    let cases = [
        (
            r#"{"store": {}}"#,
            "store: missing field `folder` at line 1 column 12",
        ),
        (
            r#"{"store": 3}"#,
            "store: invalid type: integer `3`, expected the object `store` at line 1 column 11",
        ),
        (
            r#"{"store": {"folder": 3}}"#,
            "store.folder: invalid type: integer `3`, expected a string at line 1 column 22",
        ),
        (
            r#"{"store": {"folder": "a", "mirror": {}}}"#,
            "store.mirror: invalid type: map, expected a string at line 1 column 36",
        ),
        (
            r#"{"store": {"folder": "a", "segment_mb": {}}}"#,
            "store.segment_mb: invalid type: map, expected u64 at line 1 column 40",
        ),
        (
            r#"{"store": {"folder": "a", "most_mb": {}}}"#,
            "store.most_mb: invalid type: map, expected u64 at line 1 column 37",
        ),
        (
            r#"{"store": {"folder": "a", "keyed_durable": {}}}"#,
            "store.keyed_durable: invalid type: map, expected a boolean at line 1 column 43",
        ),
        (
            r#"{"store": {"folder": "a", "patience_ms": {}}}"#,
            "store.patience_ms: invalid type: map, expected u64 at line 1 column 41",
        ),
        (
            r#"{"store": {"folder": "a", "retention_s": {}}}"#,
            "store.retention_s: invalid type: map, expected f64 at line 1 column 41",
        ),
        (
            r#"{"store": {"folder": "a", "result_kb": {}}}"#,
            "store.result_kb: invalid type: map, expected usize at line 1 column 39",
        ),
        (
            r#"{"store": {"folder": "a", "most_jobs": {}}}"#,
            "store.most_jobs: invalid type: map, expected usize at line 1 column 39",
        ),
        (
            r#"{"store": {"folder": "a", "sync_delay_ms": {}}}"#,
            "store.sync_delay_ms: invalid type: map, expected u64 at line 1 column 43",
        ),
        (
            r#"{"store": {"folder": "a", "trouble_file": {}}}"#,
            "store.trouble_file: invalid type: map, expected a string at line 1 column 42",
        ),
        (
            r#"{"store": {"folder": "a", "retention_of_s": 3}}"#,
            "store.retention_of_s: invalid type: integer `3`, expected a map at line 1 column 45",
        ),
        (
            r#"{"store": {"folder": "a", "retention_of_s": {"x": "y"}}}"#,
            r#"store.retention_of_s.x: invalid type: string "y", expected f64 at line 1 column 53"#,
        ),
        (
            r#"{"store": {"folder": "a", "segment_mb": -1}}"#,
            "store.segment_mb: invalid value: integer `-1`, expected u64 at line 1 column 42",
        ),
        (
            r#"{"store": {"folder": "a", "segment_mb": 1.5}}"#,
            "store.segment_mb: invalid type: floating point `1.5`, expected u64 at line 1 column 43",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn values_of_store_out_of_range_are_rejected() {
    let cases = [
        (
            r#"{"store": {"folder": ""}}"#,
            "store.folder: must not be empty",
        ),
        (
            r#"{"store": {"folder": "a", "mirror": "a"}}"#,
            "store.mirror: must differ from store.folder",
        ),
        (
            r#"{"store": {"folder": "a", "segment_mb": 0}}"#,
            "store.segment_mb: must be between 1 and 1024",
        ),
        (
            r#"{"store": {"folder": "a", "segment_mb": 1025}}"#,
            "store.segment_mb: must be between 1 and 1024",
        ),
        (
            r#"{"store": {"folder": "a", "most_mb": 63}}"#,
            "store.most_mb: must be 0, or at least four times store.segment_mb",
        ),
        (
            r#"{"store": {"folder": "a", "patience_ms": 0}}"#,
            "store: patience_ms and most_jobs must be above 0",
        ),
        (
            r#"{"store": {"folder": "a", "most_jobs": 0}}"#,
            "store: patience_ms and most_jobs must be above 0",
        ),
        (
            r#"{"store": {"folder": "a", "retention_s": 0.5}}"#,
            "store.retention_s: must be between 1 and 1e8",
        ),
        (
            r#"{"store": {"folder": "a", "retention_s": 1e9}}"#,
            "store.retention_s: must be between 1 and 1e8",
        ),
        (
            r#"{"store": {"folder": "a", "retention_of_s": {"x": 0}}}"#,
            "store.retention_of_s.x: must be between 1 and 1e8",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn an_unknown_key_of_fleet_is_rejected_with_the_nearest_name() {
    let cases = [
        (
            r#"{"fleet": {"clutser": 1}}"#,
            "fleet.clutser: unknown name 'clutser' at line 1 column 20; the nearest known name is 'cluster'",
        ),
        (
            r#"{"fleet": {"listn": 1}}"#,
            "fleet.listn: unknown name 'listn' at line 1 column 18; the nearest known name is 'listen'",
        ),
        (
            r#"{"fleet": {"advertized": 1}}"#,
            "fleet.advertized: unknown name 'advertized' at line 1 column 23; the nearest known name is 'advertise'",
        ),
        (
            r#"{"fleet": {"seed": 1}}"#,
            "fleet.seed: unknown name 'seed' at line 1 column 17; the nearest known name is 'seeds'",
        ),
        (
            r#"{"fleet": {"voter": 1}}"#,
            "fleet.voter: unknown name 'voter' at line 1 column 18; the nearest known name is 'voters'",
        ),
        (
            r#"{"fleet": {"probe": 1}}"#,
            "fleet.probe: unknown name 'probe' at line 1 column 18; the nearest known name is 'probe_ms'",
        ),
        (
            r#"{"fleet": {"answer": 1}}"#,
            "fleet.answer: unknown name 'answer' at line 1 column 19; the nearest known name is 'answer_ms'",
        ),
        (
            r#"{"fleet": {"suspicion": 1}}"#,
            "fleet.suspicion: unknown name 'suspicion' at line 1 column 22; the nearest known name is 'suspicion_ms'",
        ),
        (
            r#"{"fleet": {"gossip": 1}}"#,
            "fleet.gossip: unknown name 'gossip' at line 1 column 19; the nearest known name is 'gossip_ms'",
        ),
        (
            r#"{"fleet": {"helo": 1}}"#,
            "fleet.helo: unknown name 'helo' at line 1 column 17; the nearest known name is 'hello_ms'",
        ),
        (
            r#"{"fleet": {"look_back": 1}}"#,
            "fleet.look_back: unknown name 'look_back' at line 1 column 22; the nearest known name is 'look_back_ms'",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn wrong_types_in_fleet_are_rejected() {
    let cases = [
        (
            r#"{"fleet": {}}"#,
            "fleet: missing field `cluster` at line 1 column 12",
        ),
        (
            r#"{"fleet": 3}"#,
            "fleet: invalid type: integer `3`, expected the object `fleet` at line 1 column 11",
        ),
        (
            r#"{"fleet": {"cluster": "c"}}"#,
            "fleet: missing field `listen` at line 1 column 26",
        ),
        (
            r#"{"fleet": {"cluster": 3}}"#,
            "fleet.cluster: invalid type: integer `3`, expected a string at line 1 column 23",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "x"}}"#,
            "fleet.listen: invalid socket address syntax at line 1 column 40",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "advertise": {}}}"#,
            "fleet.advertise: invalid type: map, expected socket address at line 1 column 65",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "seeds": {}}}"#,
            "fleet.seeds: invalid type: map, expected a sequence at line 1 column 61",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": {}}}"#,
            "fleet.voters: invalid type: map, expected a sequence at line 1 column 62",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "probe_ms": {}}}"#,
            "fleet.probe_ms: invalid type: map, expected u64 at line 1 column 64",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "answer_ms": {}}}"#,
            "fleet.answer_ms: invalid type: map, expected u64 at line 1 column 65",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "suspicion_ms": {}}}"#,
            "fleet.suspicion_ms: invalid type: map, expected u64 at line 1 column 68",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "gossip_ms": {}}}"#,
            "fleet.gossip_ms: invalid type: map, expected u64 at line 1 column 65",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "hello_ms": {}}}"#,
            "fleet.hello_ms: invalid type: map, expected u64 at line 1 column 64",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "look_back_ms": {}}}"#,
            "fleet.look_back_ms: invalid type: map, expected u64 at line 1 column 68",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "seeds": ["127.0.0.1"]}}"#,
            "fleet.seeds[0]: invalid socket address syntax at line 1 column 90",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a", 3]}}"#,
            "fleet.voters[1]: invalid type: integer `3`, expected a string at line 1 column 69",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn values_of_fleet_out_of_range_are_rejected() {
    let cases = [
        (
            r#"{"fleet": {"cluster": "", "listen": "127.0.0.1:1", "voters": ["a"]}}"#,
            "fleet.cluster: must not be empty",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "advertise": "[::1]:1"}}"#,
            "fleet.advertise: must be of the same address family as fleet.listen",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "advertise": "0.0.0.0:1"}}"#,
            "fleet.advertise: must be an address that other nodes can reach",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "advertise": "10.0.0.1:0"}}"#,
            "fleet.advertise: must be an address that other nodes can reach",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "0.0.0.0:1", "voters": ["a"]}}"#,
            "fleet.advertise: is required when fleet.listen is a wildcard address",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "seeds": ["127.0.0.1:1", "[::1]:1"]}}"#,
            "fleet.seeds[1]: must be of the same address family as fleet.listen",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": []}}"#,
            "fleet.voters: must name 1, 3, 5 or 7 nodes",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a", "b"]}}"#,
            "fleet.voters: must name 1, 3, 5 or 7 nodes",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a", "b", "c", "d", "e", "f", "g", "h", "i"]}}"#,
            "fleet.voters: must name 1, 3, 5 or 7 nodes",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a", "", "b"]}}"#,
            "fleet.voters[1]: must be a name of 1 to 64 bytes",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a", "b", "a"]}}"#,
            "fleet.voters[2]: is listed twice",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "probe_ms": 9}}"#,
            "fleet.probe_ms: must be between 10 and 600000; fleet.answer_ms: must be at most half of fleet.probe_ms",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "probe_ms": 600001}}"#,
            "fleet.probe_ms: must be between 10 and 600000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "answer_ms": 9}}"#,
            "fleet.answer_ms: must be between 10 and 600000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "suspicion_ms": 9}}"#,
            "fleet.suspicion_ms: must be between 10 and 600000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "gossip_ms": 9}}"#,
            "fleet.gossip_ms: must be between 10 and 600000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "hello_ms": 9}}"#,
            "fleet.hello_ms: must be between 10 and 600000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "look_back_ms": 600001}}"#,
            "fleet.look_back_ms: must be between 10 and 600000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "answer_ms": 126}}"#,
            "fleet.answer_ms: must be at most half of fleet.probe_ms",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn all_invalid_values_in_fleet_are_listed_at_once() {
    let cases = [(
        r#"{"fleet": {"cluster": "", "listen": "127.0.0.1:1", "advertise": "[::1]:1", "voters": ["a", "b", "a"]}}"#,
        "fleet.cluster: must not be empty; fleet.advertise: must be of the same address family as fleet.listen; fleet.voters[2]: is listed twice",
    )];
    assert_operator_file_errors(&cases);
}

#[test]
fn wrong_audit_sections_are_rejected() {
    let cases = [
        (
            r#"{"audit": {"beat": 1}}"#,
            "audit.beat: unknown name 'beat' at line 1 column 17; the nearest known name is 'beat_ms'",
        ),
        (
            r#"{"audit": {"discovry": "x"}}"#,
            "audit.discovry: unknown name 'discovry' at line 1 column 21; the nearest known name is 'discovery'",
        ),
        (
            r#"{"audit": 3}"#,
            "audit: invalid type: integer `3`, expected the object `audit` at line 1 column 11",
        ),
        (
            r#"{"audit": {"beat_ms": "x"}}"#,
            r#"audit.beat_ms: invalid type: string "x", expected u64 at line 1 column 25"#,
        ),
        (
            r#"{"audit": {"discovery": 3}}"#,
            "audit.discovery: invalid type: integer `3`, expected a string at line 1 column 25",
        ),
        (r#"{"audit": {}}"#, "audit: needs the section fleet"),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"]}, "audit": {"beat_ms": 49}}"#,
            "audit.beat_ms: must be between 50 and 60000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"]}, "audit": {"beat_ms": 60001}}"#,
            "audit.beat_ms: must be between 50 and 60000",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"]}, "audit": {"discovery": ""}}"#,
            "audit.discovery: must be a name of 1 to 256 bytes",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn wrong_duties_sections_are_rejected() {
    let cases = [
        (
            r#"{"duties": {"lease": 1}}"#,
            "duties.lease: unknown name 'lease' at line 1 column 19; the nearest known name is 'lease_ms'",
        ),
        (
            r#"{"duties": 3}"#,
            "duties: invalid type: integer `3`, expected the object `duties` at line 1 column 12",
        ),
        (
            r#"{"duties": {"lease_ms": "x"}}"#,
            r#"duties.lease_ms: invalid type: string "x", expected u64 at line 1 column 27"#,
        ),
        (
            r#"{"duties": {"lease_ms": 999}}"#,
            "duties.lease_ms: must be between 1000 and 60000",
        ),
        (
            r#"{"duties": {"lease_ms": 60001}}"#,
            "duties.lease_ms: must be between 1000 and 60000",
        ),
        (
            r#"{"duties": {}}"#,
            "duties: needs the section fleet, which names the voters",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"]}, "duties": {}}"#,
            "fleet.voters: must name 3, 5 or 7 nodes when the section duties is present",
        ),
    ];
    assert_operator_file_errors(&cases);
}

#[test]
fn a_configuration_must_be_one_json_object() {
    let cases = [
        ("", "EOF while parsing a value at line 1 column 0"),
        ("{", "EOF while parsing an object at line 1 column 1"),
        (
            "[]",
            "invalid length 6, expected a configuration object at line 1 column 2",
        ),
        ("{} {}", "missing field `settings` at line 1 column 2"),
        ("{}", "missing field `settings` at line 1 column 2"),
        (r#"{"settings": 3}"#, "seed: '' is not a hexadecimal number"),
    ];
    assert_configuration_errors(&cases);
}

#[test]
fn wrong_types_in_the_configuration_are_named() {
    let cases = [
        (
            r#"{"name": {}, "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}}"#,
            "invalid type: map, expected a string at line 1 column 9",
        ),
        (
            r#"{"name": "n0", "listen": {}, "discovery": "127.0.0.1:1", "seed": "7", "settings": {}}"#,
            "invalid type: map, expected a string at line 1 column 25",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": {}, "seed": "7", "settings": {}}"#,
            "invalid type: map, expected a string at line 1 column 54",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "mgmt": {}}"#,
            "invalid type: map, expected a string at line 1 column 106",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": {}, "settings": {}}"#,
            "invalid type: map, expected a string at line 1 column 77",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "limits": 3}"#,
            "invalid type: integer `3`, expected the object `limits` at line 1 column 109",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "limits": {"sockets": "x"}}"#,
            r#"invalid type: string "x", expected usize at line 1 column 123"#,
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "limits": {"memory_mb": "x"}}"#,
            r#"invalid type: string "x", expected usize at line 1 column 125"#,
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": 3}"#,
            "invalid type: integer `3`, expected a worker list object at line 1 column 108",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {}}"#,
            "missing field `revision` at line 1 column 109",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1}}"#,
            "missing field `complete` at line 1 column 122",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true}}"#,
            "missing field `members` at line 1 column 140",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": "x"}}"#,
            r#"invalid type: string "x", expected u64 at line 1 column 123"#,
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"complete": 3}}"#,
            "invalid type: integer `3`, expected a boolean at line 1 column 121",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"members": 3}}"#,
            "invalid type: integer `3`, expected a sequence at line 1 column 120",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7"}"#,
            "missing field `settings` at line 1 column 81",
        ),
    ];
    assert_configuration_errors(&cases);
}

#[test]
fn wrong_members_of_the_known_list_are_named() {
    let cases = [
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": {}, "host_port": "127.0.0.1:9001", "locality": "riga", "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0}]}}"#,
            "invalid type: map, expected a string at line 1 column 160",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"host_port": "127.0.0.1:9001", "locality": "riga", "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0}]}}"#,
            "missing field `id` at line 1 column 288",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": {}, "locality": "riga", "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0}]}}"#,
            "invalid type: map, expected a string at line 1 column 180",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "locality": "riga", "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0}]}}"#,
            "missing field `host_port` at line 1 column 270",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:9001", "locality": {}, "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0}]}}"#,
            "invalid type: map, expected a string at line 1 column 210",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:9001", "locality": "riga", "flavor": {}, "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0}]}}"#,
            "invalid type: map, expected a string at line 1 column 228",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:9001", "locality": "riga", "flavor": "std-4", "cell": {}, "phase": "in_service", "size": 1.0, "up_since_ms": 0}]}}"#,
            "invalid type: map, expected u16 at line 1 column 245",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:9001", "locality": "riga", "flavor": "std-4", "cell": 1, "phase": {}, "size": 1.0, "up_since_ms": 0}]}}"#,
            "invalid type: map, expected a string at line 1 column 257",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:9001", "locality": "riga", "flavor": "std-4", "cell": 1, "size": 1.0, "up_since_ms": 0}]}}"#,
            "missing field `phase` at line 1 column 278",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:9001", "locality": "riga", "flavor": "std-4", "cell": 1, "phase": "in_service", "size": {}, "up_since_ms": 0}]}}"#,
            "invalid type: map, expected f64 at line 1 column 279",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "known": {"revision": 1, "complete": true, "members": [{"id": "s-1", "host_port": "127.0.0.1:9001", "locality": "riga", "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": {}}]}}"#,
            "invalid type: map, expected f64 at line 1 column 299",
        ),
    ];
    assert_configuration_errors(&cases);
}

#[test]
fn wrong_values_in_the_configuration_are_named() {
    let cases = [
        (
            r#"{"name": "n0", "listen": "here", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}}"#,
            "RELAY_LISTEN: 'here' is not an address with a port, such as 10.0.0.4:8080",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "", "seed": "7", "settings": {}}"#,
            "RELAY_DISCOVERY: '' is not an address with a port, such as 10.0.0.4:8080",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "mgmt": "x"}"#,
            "RELAY_MGMT: 'x' is not an address with a port, such as 10.0.0.4:8080",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}, "mgmt": "127.0.0.1:80"}"#,
            "RELAY_MGMT: 127.0.0.1:80 is already the address for clients",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "seed": "seven", "settings": {}}"#,
            "seed: 'seven' is not a hexadecimal number",
        ),
        (
            r#"{"name": "n0", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:1", "settings": {}}"#,
            "seed: '' is not a hexadecimal number",
        ),
        (
            r#"{"name": "n0", "discovery": "127.0.0.1:1", "seed": "7", "settings": {}}"#,
            "RELAY_LISTEN: '' is not an address with a port, such as 10.0.0.4:8080",
        ),
    ];
    assert_configuration_errors(&cases);
}

#[test]
fn wrong_types_at_the_top_of_settings_are_named() {
    let cases = [
        (
            r#"{"balancers": "x"}"#,
            r#"settings.balancers: invalid type: string "x", expected u32"#,
        ),
        (
            r#"{"zone": "x"}"#,
            r#"settings.zone: invalid type: string "x", expected u8"#,
        ),
        (
            r#"{"services": "x"}"#,
            r#"settings.services: invalid type: string "x", expected a sequence"#,
        ),
        (
            r#"{"tick": "x"}"#,
            r#"settings.tick: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"report": "x"}"#,
            r#"settings.report: invalid type: string "x", expected the object `report`"#,
        ),
        (
            r#"{"limits": "x"}"#,
            r#"settings.limits: invalid type: string "x", expected the object `limits`"#,
        ),
        (
            r#"{"prices": "x"}"#,
            r#"settings.prices: invalid type: string "x", expected the object `prices`"#,
        ),
        (
            r#"{"rules": "x"}"#,
            r#"settings.rules: invalid type: string "x", expected the object `rules`"#,
        ),
        (
            r#"{"extra": "x"}"#,
            r#"settings.extra: invalid type: string "x", expected the object `extra`"#,
        ),
        (
            r#"{"client-habits": "x"}"#,
            r#"settings.client-habits: invalid type: string "x", expected the object `client-habits`"#,
        ),
        (
            r#"{"dcs": "x"}"#,
            r#"settings.dcs: invalid type: string "x", expected a sequence"#,
        ),
        (
            r#"{"machine-types": "x"}"#,
            r#"settings.machine-types: invalid type: string "x", expected a sequence"#,
        ),
        (
            r#"{"orgs": "x"}"#,
            r#"settings.orgs: invalid type: string "x", expected a sequence"#,
        ),
        (
            r#"{"discovery": 3}"#,
            "settings.discovery: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"weight-source": 3}"#,
            "settings.weight-source: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"counted-by": 3}"#,
            "settings.counted-by: invalid type: integer `3`, expected a string",
        ),
    ];
    assert_malformed_settings(&cases);
}

#[test]
fn wrong_types_in_settings_services_are_named() {
    let cases = [
        (
            r#"{"services": [{"name": 3}]}"#,
            "settings.services[0].name: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"services": [{"effect": 3}]}"#,
            "settings.services[0].effect: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"services": [{"dedup-scope": 3}]}"#,
            "settings.services[0].dedup-scope: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"services": [{"memory-span": "x"}]}"#,
            r#"settings.services[0].memory-span: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"services": [{"aim": "x"}]}"#,
            r#"settings.services[0].aim: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"services": [{"aim-stretch": "x"}]}"#,
            r#"settings.services[0].aim-stretch: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"services": [{"deadline": "x"}]}"#,
            r#"settings.services[0].deadline: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"services": [{"importance": "x"}]}"#,
            r#"settings.services[0].importance: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"services": [{"late-value": "x"}]}"#,
            r#"settings.services[0].late-value: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"services": [{"stream": 3}]}"#,
            "settings.services[0].stream: invalid type: integer `3`, expected a boolean",
        ),
        (
            r#"{"services": [{"allowed-on": 3}]}"#,
            "settings.services[0].allowed-on: invalid type: integer `3`, expected a sequence",
        ),
        (
            r#"{"services": [{"confined-to": 3}]}"#,
            "settings.services[0].confined-to: invalid type: integer `3`, expected a sequence",
        ),
    ];
    assert_malformed_settings(&cases);
}

#[test]
fn wrong_types_in_sections_of_settings_are_named() {
    let cases = [
        (
            r#"{"report": {"fields": 3}}"#,
            "settings.report.fields: invalid type: integer `3`, expected a sequence",
        ),
        (
            r#"{"report": {"via": 3}}"#,
            "settings.report.via: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"limits": {"cancel": "x"}}"#,
            r#"settings.limits.cancel: invalid type: string "x", expected a boolean"#,
        ),
        (
            r#"{"limits": {"conn-idle": "x"}}"#,
            r#"settings.limits.conn-idle: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"limits": {"max-open": "x"}}"#,
            r#"settings.limits.max-open: invalid type: string "x", expected usize"#,
        ),
        (
            r#"{"limits": {"dial-timeout": "x"}}"#,
            r#"settings.limits.dial-timeout: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"limits": {"max-attempts": "x"}}"#,
            r#"settings.limits.max-attempts: invalid type: string "x", expected u16"#,
        ),
        (
            r#"{"limits": {"max-retry-after": "x"}}"#,
            r#"settings.limits.max-retry-after: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"limits": {"may-probe": "x"}}"#,
            r#"settings.limits.may-probe: invalid type: string "x", expected a boolean"#,
        ),
        (
            r#"{"limits": {"retry-after": "x"}}"#,
            r#"settings.limits.retry-after: invalid type: string "x", expected a boolean"#,
        ),
        (
            r#"{"limits": {"second-copies": "x"}}"#,
            r#"settings.limits.second-copies: invalid type: string "x", expected a boolean"#,
        ),
        (
            r#"{"prices": {"probe": "x"}}"#,
            r#"settings.prices.probe: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"prices": {"cross-zone": "x"}}"#,
            r#"settings.prices.cross-zone: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"prices": {"origin": "x"}}"#,
            r#"settings.prices.origin: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"prices": {"waste": "x"}}"#,
            r#"settings.prices.waste: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"cold": "x"}}"#,
            r#"settings.rules.cold: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"cold-from": "x"}}"#,
            r#"settings.rules.cold-from: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"fall-multiple": "x"}}"#,
            r#"settings.rules.fall-multiple: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"must-ask-in": "x"}}"#,
            r#"settings.rules.must-ask-in: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"tip-after": "x"}}"#,
            r#"settings.rules.tip-after: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"spare-attempts": "x"}}"#,
            r#"settings.rules.spare-attempts: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"repeat-ratio": "x"}}"#,
            r#"settings.rules.repeat-ratio: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"look-back": "x"}}"#,
            r#"settings.rules.look-back: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"rules": {"may-shed-begun": "x"}}"#,
            r#"settings.rules.may-shed-begun: invalid type: string "x", expected a boolean"#,
        ),
        (
            r#"{"extra": {"class-kind": "x"}}"#,
            r#"settings.extra.class-kind: invalid type: string "x", expected a sequence"#,
        ),
        (
            r#"{"extra": {"class-priority": "x"}}"#,
            r#"settings.extra.class-priority: invalid type: string "x", expected a sequence"#,
        ),
        (
            r#"{"extra": {"class-stretch": "x"}}"#,
            r#"settings.extra.class-stretch: invalid type: string "x", expected a sequence"#,
        ),
        (
            r#"{"extra": {"progress": "x"}}"#,
            r#"settings.extra.progress: invalid type: string "x", expected f64"#,
        ),
        (
            r#"{"extra": {"tells-start": "x"}}"#,
            r#"settings.extra.tells-start: invalid type: string "x", expected a boolean"#,
        ),
        (
            r#"{"extra": {"queue-order": 3}}"#,
            "settings.extra.queue-order: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"extra": {"report-x0": 3}}"#,
            "settings.extra.report-x0: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"extra": {"report-x1": 3}}"#,
            "settings.extra.report-x1: invalid type: integer `3`, expected a string",
        ),
        (
            r#"{"client-habits": {"marks-retry": 3}}"#,
            "settings.client-habits.marks-retry: invalid type: integer `3`, expected a boolean",
        ),
        (
            r#"{"orgs": [{"name": 3}]}"#,
            "settings.orgs[0].name: invalid type: integer `3`, expected a string",
        ),
    ];
    assert_malformed_settings(&cases);
}

#[test]
fn unknown_words_in_settings_are_named() {
    let cases = [
        (
            r#"{"services": [{}, {"effect": "Pure"}]}"#,
            r#"settings.services[1].effect must be one of pure, token, side_effect, but is "Pure""#,
        ),
        (
            r#"{"services": [{"dedup-scope": "rack"}]}"#,
            r#"settings.services[0].dedup-scope must be one of all, zone, cell, but is "rack""#,
        ),
        (
            r#"{"report": {"via": "pigeon"}}"#,
            r#"settings.report.via must be one of answers, probe, none, but is "pigeon""#,
        ),
        (
            r#"{"report": {"fields": ["backlog", "weight"]}}"#,
            r#"settings.report.fields[1] must be one of backlog, outstanding, utilization, recent_ms, throughput, errors_per_s, x0, x1, but is "weight""#,
        ),
    ];
    assert_unknown_words(&cases);
}

#[test]
fn values_of_settings_out_of_range_are_named() {
    let cases = [
        ("[]", "settings.(all) must be an object"),
        ("3", "settings.(all) must be an object"),
        (
            r#"{"client-habits": []}"#,
            "settings.client-habits must be an object",
        ),
        (r#"{"extra": []}"#, "settings.extra must be an object"),
        (r#"{"limits": []}"#, "settings.limits must be an object"),
        (r#"{"prices": []}"#, "settings.prices must be an object"),
        (r#"{"report": []}"#, "settings.report must be an object"),
        (r#"{"rules": []}"#, "settings.rules must be an object"),
        (r#"{"orgs": [[]]}"#, "settings.orgs[] must be an object"),
        (
            r#"{"services": [[]]}"#,
            "settings.services[] must be an object",
        ),
        (
            r#"{"balancers": 0}"#,
            "settings.balancers must be at least 1",
        ),
        (
            r#"{"limits": {"max-attempts": 0}}"#,
            "settings.limits.max-attempts must be at least 1",
        ),
        (
            r#"{"tick": -1}"#,
            "settings.tick must be a time of 0 or more",
        ),
        (
            r#"{"rules": {"must-ask-in": -1}}"#,
            "settings.rules.must-ask-in must be a time of 0 or more",
        ),
        (
            r#"{"rules": {"cold": -1}}"#,
            "settings.rules.cold must be a time of 0 or more",
        ),
        (
            r#"{"rules": {"tip-after": -1}}"#,
            "settings.rules.tip-after must be a time of 0 or more",
        ),
        (
            r#"{"rules": {"fall-multiple": -1}}"#,
            "settings.rules.fall-multiple must be 0 or more",
        ),
        (
            r#"{"rules": {"cold-from": -1}}"#,
            "settings.rules.cold-from must be between 0 and 1",
        ),
        (
            r#"{"rules": {"cold-from": 1.5}}"#,
            "settings.rules.cold-from must be between 0 and 1",
        ),
        (
            r#"{"limits": {"dial-timeout": -1}}"#,
            "settings.limits.dial-timeout must be a time of 0 or more",
        ),
        (
            r#"{"limits": {"conn-idle": -1}}"#,
            "settings.limits.conn-idle must be a time of 0 or more",
        ),
        (
            r#"{"limits": {"retry-after": true, "max-retry-after": -1}}"#,
            "settings.limits.max-retry-after must be a time of 0 or more",
        ),
        (
            r#"{"extra": {"progress": -1}}"#,
            "settings.extra.progress must be a time of 0 or more",
        ),
        (
            r#"{"prices": {"probe": -1}}"#,
            "settings.prices.probe must be 0 or more",
        ),
        (
            r#"{"prices": {"cross-zone": -1}}"#,
            "settings.prices.cross-zone must be 0 or more",
        ),
        (
            r#"{"prices": {"origin": -1}}"#,
            "settings.prices.origin must be 0 or more",
        ),
        (
            r#"{"prices": {"waste": -1}}"#,
            "settings.prices.waste must be 0 or more",
        ),
        (
            r#"{"rules": {"look-back": 0}}"#,
            "settings.rules.look-back must be a time above 0",
        ),
        (
            r#"{"rules": {"spare-attempts": 1}}"#,
            "settings.rules.look-back must be a time above 0 if spare-attempts or repeat-ratio is set",
        ),
        (
            r#"{"rules": {"spare-attempts": -1, "look-back": 1}}"#,
            "settings.rules.spare-attempts must be 0 or more",
        ),
        (
            r#"{"rules": {"repeat-ratio": -1, "look-back": 1}}"#,
            "settings.rules.repeat-ratio must be 0 or more",
        ),
        (
            r#"{"rules": {"repeat-ratio": 1, "look-back": 0}}"#,
            "settings.rules.look-back must be a time above 0",
        ),
        (
            r#"{"services": [{"name": "a"}, {"name": "a"}]}"#,
            "settings.services[].name must be unique among the classes",
        ),
        (
            r#"{"services": [{"deadline": -1}]}"#,
            "settings.services[].deadline must be a time above 0",
        ),
        (
            r#"{"services": [{"aim": -1}]}"#,
            "settings.services[].aim must be a time of 0 or more",
        ),
        (
            r#"{"services": [{"aim-stretch": -1}]}"#,
            "settings.services[].aim-stretch must be 0 or more",
        ),
        (
            r#"{"services": [{"memory-span": -1}]}"#,
            "settings.services[].memory-span must be a time of 0 or more",
        ),
        (
            r#"{"services": [{"importance": -1}]}"#,
            "settings.services[].importance must be 0 or more",
        ),
        (
            r#"{"services": [{"late-value": -1}]}"#,
            "settings.services[].importance must be 0 or more",
        ),
    ];
    assert_values_out_of_range(&cases);
}

// Valid configurations and settings.

fn unset(_: &str) -> Option<String> {
    None
}

const FULL_SETTINGS: &str = r#"{
    "balancers": 2, "zone": 1, "discovery": "on_request", "tick": 0.002, "weight-source": "list",
    "counted-by": "work", "dcs": ["riga", "cesis"], "machine-types": ["std-4"], "orgs": [{"name": "baltvedums"}],
    "services": [
        {"name": "a", "effect": "pure", "dedup-scope": "all", "memory-span": 1.5, "aim": 0.25, "aim-stretch": 2.5,
         "deadline": 6.0, "importance": 3.0, "late-value": 0.5, "stream": true, "allowed-on": [0], "confined-to": [1]},
        {"name": "b", "effect": "token", "dedup-scope": "zone"},
        {"name": "c", "effect": "side_effect", "dedup-scope": "cell"}],
    "report": {"fields": ["backlog", "outstanding", "recent_ms", "x0", "x1", "utilization", "throughput",
        "errors_per_s"], "via": "answers"},
    "limits": {"cancel": true, "conn-idle": 5.0, "max-open": 77, "dial-timeout": 0.125, "max-attempts": 4,
        "max-retry-after": 2.25, "may-probe": true, "retry-after": true, "second-copies": true},
    "prices": {"probe": 0.01, "cross-zone": 0.02, "origin": 0.03, "waste": 0.04},
    "rules": {"cold": 23.0, "cold-from": 0.12, "fall-multiple": 3.5, "must-ask-in": 11.0, "tip-after": 2.5,
        "spare-attempts": 7.0, "repeat-ratio": 0.5, "look-back": 10.5, "may-shed-begun": true},
    "extra": {"class-kind": [0, -1, 1], "class-priority": [5, 6, 7], "class-stretch": [9.0, 1.5, 1.25],
        "progress": 2.75, "queue-order": "priority", "report-x0": "free slots", "report-x1": "free memory units",
        "tells-start": true},
    "client-habits": {"marks-retry": true}}"#;

fn class(name: &str, effect: Effect, group: DedupScope) -> Class {
    Class {
        name: name.into(),
        effect,
        dedup_scope: group,
        dedup_window: 0.0,
        latency_objective: 1.0,
        objective_stretch: 0.0,
        deadline: 10.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        required_kind: None,
        priority: 0,
        stream: false,
        allowed_kinds: None,
        allowed_zones: None,
    }
}

fn full_settings() -> Settings {
    let first = Class {
        dedup_window: 1.5,
        latency_objective: 0.25,
        objective_stretch: 2.5,
        deadline: 6.0,
        priority_weight: 3.0,
        late_weight: 0.5,
        required_kind: Some(0),
        priority: 5,
        stream: true,
        allowed_kinds: Some(vec![0]),
        allowed_zones: Some(vec![1]),
        ..class("a", Effect::Idempotent, DedupScope::All)
    };
    let second = Class {
        objective_stretch: 1.5,
        priority: 6,
        ..class("b", Effect::IdempotentByKey, DedupScope::Zone)
    };
    let third = Class {
        objective_stretch: 1.25,
        priority: 7,
        required_kind: Some(1),
        ..class("c", Effect::NotIdempotent, DedupScope::Cell)
    };
    let names = [
        "backlog",
        "outstanding",
        "recent_ms",
        "x0",
        "x1",
        "utilization",
        "throughput",
        "errors_per_s",
    ];
    Settings {
        dispatcher_count: 2,
        zone: 1,
        classes: vec![first, second, third],
        discovery_on_request: true,
        max_poll_interval: 11.0,
        tick: 0.002,
        report_source: ReportSource::Answers,
        report_fields: vec![
            ReportField::Queue,
            ReportField::InFlight,
            ReportField::ServiceMs,
            ReportField::FreeSlots,
            ReportField::FreeMemory,
            ReportField::Other,
            ReportField::Other,
            ReportField::Other,
        ],
        probes_allowed: true,
        cancel_allowed: true,
        hedging_allowed: true,
        max_retry_after: 2.25,
        max_attempts: 4,
        dial_timeout: 0.125,
        weight_by_work: true,
        probe_price: 0.01,
        cross_zone_price: 0.02,
        fetch_price: 0.03,
        waste_price: 0.04,
        priority_queues: true,
        reports_start: true,
        progress_interval: 2.75,
        clients_mark_retries: true,
        sizes_are_comparable: true,
        initial_capacity_share: 0.12,
        warm_up_time: 23.0,
        overload_multiple: 3.5,
        overload_window: 2.5,
        retry_budget: Some(RetryBudget {
            min_retries: 7.0,
            ratio: 0.5,
            window: 10.5,
        }),
        rejected_may_have_run: true,
        zone_names: vec!["riga".into(), "cesis".into()],
        kind_names: vec!["std-4".into()],
        tenant_names: vec!["baltvedums".into()],
        field_names: names.map(str::to_owned).to_vec(),
        idle_timeout: 5.0,
        max_waiting_requests: 77,
    }
}

#[test]
fn every_key_of_settings_reaches_its_field() {
    assert_eq!(
        Settings::from_json(FULL_SETTINGS).expect("valid settings"),
        full_settings()
    );
}

#[test]
fn absent_keys_of_settings_have_their_defaults() {
    let expected = Settings {
        dispatcher_count: 1,
        zone: 0,
        classes: vec![class("", Effect::NotIdempotent, DedupScope::Cell)],
        discovery_on_request: false,
        max_poll_interval: 10.0,
        tick: 0.001,
        report_source: ReportSource::None,
        report_fields: vec![],
        probes_allowed: false,
        cancel_allowed: false,
        hedging_allowed: false,
        max_retry_after: 0.0,
        max_attempts: 3,
        dial_timeout: 0.25,
        weight_by_work: false,
        probe_price: 0.0,
        cross_zone_price: 0.0,
        fetch_price: 0.0,
        waste_price: 0.0,
        priority_queues: false,
        reports_start: false,
        progress_interval: 0.0,
        clients_mark_retries: false,
        sizes_are_comparable: false,
        initial_capacity_share: 1.0,
        warm_up_time: 0.0,
        overload_multiple: 3.0,
        overload_window: 2.0,
        retry_budget: None,
        rejected_may_have_run: false,
        zone_names: vec![],
        kind_names: vec![],
        tenant_names: vec![],
        field_names: vec![],
        idle_timeout: 0.0,
        max_waiting_requests: 0,
    };
    assert_eq!(
        Settings::from_json(r#"{"services": [{}]}"#).expect("valid settings"),
        expected
    );
}

#[test]
fn every_source_of_load_reports_is_known() {
    let reports = |via: &str| {
        let text = format!(r#"{{"report": {{"via": "{via}"}}}}"#);
        Settings::from_json(&text)
            .expect("valid settings")
            .report_source
    };
    assert_eq!(reports("answers"), ReportSource::Answers);
    assert_eq!(reports("probe"), ReportSource::Probes);
    assert_eq!(reports("none"), ReportSource::None);
    assert_eq!(reports(""), ReportSource::None);
}

const FULL_CONFIGURATION: &str = r#"{
    "name": "n7", "listen": "127.0.0.1:8080", "discovery": "127.0.0.2:8500", "mgmt": "127.0.0.3:8081",
    "seed": "8c1f30d27a5be964", "limits": {"sockets": 99, "memory_mb": 33},
    "known": {"revision": 12, "complete": true, "members": [
        {"id": "s-1", "host_port": "127.0.0.4:9001", "locality": "cesis", "flavor": "std-4", "cell": 5,
         "phase": "in_service", "size": 1.5, "up_since_ms": 2500},
        {"id": "s-2", "host_port": "127.0.0.4:9002", "phase": "terminated"},
        {"id": "s-3", "host_port": "127.0.0.4:9003", "phase": "draining"}]},
    "settings": {"dcs": ["riga", "cesis"], "machine-types": ["std-2", "std-4"]}}"#;

#[test]
fn every_key_of_the_configuration_reaches_its_field() {
    let config = Config::from_json(FULL_CONFIGURATION, unset).expect("a valid file");
    assert_eq!((&*config.name, config.seed), ("n7", 0x8c1f_30d2_7a5b_e964));
    assert_eq!(config.listen, SocketAddr::from(([127, 0, 0, 1], 8080)));
    assert_eq!(config.discovery, SocketAddr::from(([127, 0, 0, 2], 8500)));
    assert_eq!(
        config.management,
        Some(SocketAddr::from(([127, 0, 0, 3], 8081)))
    );
    assert_eq!((config.sockets, config.memory_mb), (99, 33));
    let known = config.cached_list.expect("a list");
    assert_eq!((known.revision, known.complete), (12, true));
    let members = known.into_workers(&config.settings);
    let names: Vec<&str> = members.iter().map(|member| &*member.id).collect();
    assert_eq!(names, ["s-1", "s-2", "s-3"]);
    let health: Vec<Health> = members.iter().map(|member| member.entry.health).collect();
    assert_eq!(health, [Health::Ready, Health::Removed, Health::Draining]);
    assert_eq!(members[0].address, SocketAddr::from(([127, 0, 0, 4], 9001)));
    let entry = Entry {
        worker: WorkerId::default(),
        identity: 0,
        ..members[0].entry.clone()
    };
    let expected = Entry {
        zone: 1,
        kind: 1,
        cell: 5,
        size: 1.5,
        started: 2.5,
        ..Entry::default()
    };
    assert_eq!(entry, expected);
}

#[test]
fn absent_keys_of_the_configuration_have_their_defaults() {
    let config = Config::from_json(&configuration("{}"), unset).expect("a valid file");
    assert_eq!((config.sockets, config.memory_mb), (1024, 192));
    assert!(
        config.management.is_none()
            && config.cached_list.is_none()
            && config.temporary_folder.is_none()
    );
}

// The environment.

#[test]
fn variables_take_precedence_over_the_configuration() {
    let variable = |name: &str| {
        let value = match name {
            "RELAY_NAME" => "n9",
            "RELAY_LISTEN" => "127.0.0.9:1",
            "RELAY_DISCOVERY" => "127.0.0.9:2",
            "RELAY_MGMT" => "127.0.0.9:3",
            "RELAY_SOCKET_FD" => "11",
            "TMPDIR" => "/run/node",
            _ => return None,
        };
        Some(value.to_owned())
    };
    let config = Config::from_json(FULL_CONFIGURATION, variable).expect("a valid file");
    assert_eq!(config.name, "n9");
    assert_eq!(config.listen, SocketAddr::from(([127, 0, 0, 9], 1)));
    assert_eq!(config.discovery, SocketAddr::from(([127, 0, 0, 9], 2)));
    assert_eq!(
        config.management,
        Some(SocketAddr::from(([127, 0, 0, 9], 3)))
    );
    assert_eq!(config.inherited_descriptor.as_deref(), Some("11"));
    assert_eq!(
        config.temporary_folder.as_deref(),
        Some(Path::new("/run/node"))
    );
}

#[test]
fn invalid_variables_are_named() {
    let folder = Folder::new(&test_name());
    folder.write(
        "config.json",
        &configuration("{}").replace("127.0.0.1:0", "127.0.0.1:80"),
    );
    let cases = [
        (
            "RELAY_LISTEN",
            "here",
            "config.json: RELAY_LISTEN: 'here' is not an address with a port, such as 10.0.0.4:8080",
        ),
        (
            "RELAY_DISCOVERY",
            "x",
            "config.json: RELAY_DISCOVERY: 'x' is not an address with a port, such as 10.0.0.4:8080",
        ),
        (
            "RELAY_MGMT",
            "y",
            "config.json: RELAY_MGMT: 'y' is not an address with a port, such as 10.0.0.4:8080",
        ),
        (
            "RELAY_MGMT",
            "127.0.0.1:80",
            "config.json: RELAY_MGMT: 127.0.0.1:80 is already the address for clients",
        ),
        (
            "RELAY_SOCKET_FD",
            "x",
            "RELAY_SOCKET_FD: 'x' is not a descriptor number above 2; expected a socket that listens at 127.0.0.1:80",
        ),
        (
            "RELAY_SOCKET_FD",
            "987",
            "RELAY_SOCKET_FD: '987' names a descriptor that is not open; expected a socket that listens at 127.0.0.1:80",
        ),
    ];
    for (name, value, expected) in cases {
        let run = folder.run(
            &["serve"],
            &[("RELAY_CONFIG", "config.json"), (name, value)],
        );
        assert_eq!(run, message(expected), "{name}={value}");
    }
}

#[test]
fn a_configuration_file_that_can_not_be_read_is_named() {
    let folder = Folder::new(&test_name());
    let absent = folder.run(&["serve"], &[("RELAY_CONFIG", "absent.json")]);
    assert_eq!(
        absent,
        message("reading absent.json: No such file or directory (os error 2)")
    );
    let directory = folder.run(&["serve"], &[("RELAY_CONFIG", ".")]);
    assert_eq!(
        directory,
        message("reading .: Is a directory (os error 21)")
    );
    let empty = folder.run(&["serve"], &[("RELAY_CONFIG", "")]);
    assert_eq!(
        empty,
        message("RELAY_CONFIG is not set to the path of a configuration file")
    );
}

#[test]
fn the_name_in_the_environment_is_the_name_of_the_node() {
    let folder = Folder::new(&test_name());
    folder.write("config.json", &configuration("{}"));
    folder.write(
        "operator.json",
        r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:0", "voters": ["n0"]}}"#,
    );
    let name = "n".repeat(65);
    let environment = [
        ("RELAY_CONFIG", "config.json"),
        ("RELAY_NAME", &*name),
        ("POSTPROXY_OPERATOR", "operator.json"),
    ];
    let expected = format!("fleet: the node's name '{name}' must have 1 to 64 bytes");
    assert_eq!(folder.run(&["serve"], &environment), message(&expected));
}

/// A node, which is killed on drop.
struct Node(Child);

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a free address. Its loopback IP address is used only by this process, so that no other
/// process takes the port.
fn free_address() -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let listener = TcpListener::bind((Ipv4Addr::new(127, 77, high, low), 0)).expect("a port");
    listener.local_addr().expect("an address")
}

/// Connects to this address; retries until something listens there.
fn connect(address: SocketAddr) -> TcpStream {
    let start = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) if start.elapsed() > Duration::from_secs(20) => panic!("{address}: {error}"),
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
}

/// Returns the status line of the response to a request with this method and path.
fn status_line(address: SocketAddr, method: &str, path: &str) -> String {
    let mut stream = connect(address);
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nConnection: close\r\n\r\n"
    )
    .expect("the request is written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    response.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn addresses_of_the_environment_take_effect() {
    let folder = Folder::new(&test_name());
    folder.write("config.json", &configuration("{}"));
    let discovery = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let discovery_address = discovery.local_addr().expect("an address");
    let (clients, management) = (free_address(), free_address());
    let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
    command
        .env_clear()
        .current_dir(&folder.0)
        .env("RELAY_CONFIG", "config.json")
        .stderr(Stdio::null());
    command
        .env("RELAY_LISTEN", clients.to_string())
        .env("RELAY_MGMT", management.to_string());
    command.env("RELAY_DISCOVERY", discovery_address.to_string());
    let _node = Node(command.spawn().expect("the program starts"));
    assert_eq!(status_line(clients, "GET", "/-/ready"), "HTTP/1.1 200 OK");
    assert_eq!(
        status_line(management, "POST", "/v1/readyz"),
        "HTTP/1.1 405 Method Not Allowed"
    );
    // The node requests the worker list from discovery.
    discovery.accept().expect("a connection");
}

#[test]
fn an_inherited_listener_is_served() {
    let folder = Folder::new(&test_name());
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    folder.write(
        "config.json",
        &configuration("{}").replace("127.0.0.1:0", &address.to_string()),
    );
    // The shell passes its standard input to the node as descriptor 3.
    let mut command = Command::new("/bin/sh");
    command.args([
        "-c",
        "exec \"$0\" serve 3<&0 </dev/null",
        env!("CARGO_BIN_EXE_postproxy"),
    ]);
    command
        .env_clear()
        .current_dir(&folder.0)
        .stderr(Stdio::null())
        .stdin(OwnedFd::from(listener));
    command
        .env("RELAY_CONFIG", "config.json")
        .env("RELAY_SOCKET_FD", "3");
    let _node = Node(command.spawn().expect("the program starts"));
    drop(command);
    assert_eq!(status_line(address, "GET", "/-/ready"), "HTTP/1.1 200 OK");
}

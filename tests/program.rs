//! The program `postproxy`: start, shutdown, reload, commands, and errors in the configuration.

use postproxy::net::Config;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{PoisonError, RwLock};

const EXAMPLE: &str = include_str!("../examples/config.json");

/// A running program, which is killed on drop.
struct RunningProgram(Child);

impl Drop for RunningProgram {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An environment without any variable.
fn empty_environment(_: &str) -> Option<String> {
    None
}

/// The outcome of a command that has exited.
struct CommandOutcome {
    exit_code: Option<i32>,
    stdout: String,
    stderr: String,
}

/// Keeps other tests from starting a child process while a test holds a store: between fork and
/// exec the child would hold the inherited lock on the store's folder, and the test's next open of
/// the store would fail.
static SPAWN_LOCK: RwLock<()> = RwLock::new(());

/// Starts a child process; waits while a test holds a store.
fn spawn(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.read().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the program starts")
}

/// Starts a child process with piped output, and waits for it to exit.
fn output_of(command: &mut Command) -> Output {
    let child = spawn(command.stdout(Stdio::piped()).stderr(Stdio::piped()));
    child.wait_with_output().expect("the program ends")
}

/// Runs the program with these arguments until it exits.
fn run(args: &[&str]) -> CommandOutcome {
    outcome(output_of(program().args(args)))
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_postproxy"))
}

fn outcome(output: Output) -> CommandOutcome {
    let Output {
        status,
        stdout,
        stderr,
    } = output;
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    CommandOutcome {
        exit_code: status.code(),
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

/// The example is a valid configuration, and its values reach the settings.
#[test]
fn the_example_is_a_valid_configuration() {
    let config = Config::from_json(EXAMPLE, empty_environment).expect("a configuration");
    assert_eq!(
        (config.name.as_str(), config.seed, config.sockets),
        ("n0", 0x8c1f_30d2_7a5b_e964, 1024)
    );
    let settings = config.settings;
    let classes: Vec<&str> = settings
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    assert_eq!(classes, ["reroute", "day-plan"]);
    assert_eq!(
        (settings.zone_names.join(","), settings.kind_names.join(",")),
        ("riga".into(), "std-4".into())
    );
    assert_eq!(
        (settings.tenant_names.join(","), settings.idle_timeout),
        ("baltvedums".into(), 5.0)
    );
    assert_eq!(settings.field_names, ["backlog", "errors_per_s", "x0"]);
    assert_eq!(config.cached_list.map(|list| list.revision), Some(1));
}

/// Environment variables take precedence over the file.
#[test]
fn the_environment_takes_precedence_over_the_file() {
    let environment = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.9:81".to_owned());
    let config = Config::from_json(EXAMPLE, environment).expect("a configuration");
    assert_eq!(config.listen.to_string(), "127.0.0.9:81");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:8500");
}

/// An invalid or incomplete configuration is an error whose message names the invalid value.
#[test]
fn an_error_names_the_invalid_value_of_a_configuration() {
    let cases = [
        (
            "\"listen\": \"127.0.0.1:8080\"",
            "\"listen\": \"here\"",
            "RELAY_LISTEN",
        ),
        ("8c1f30d27a5be964", "seven", "seed"),
        ("\"max-attempts\": 3", "\"max-attempts\": 0", "max-attempts"),
        ("\"deadline\": 6.0", "\"deadline\": \"long\"", "string"),
        ("{", "", "expected"),
    ];
    for (old, new, fragment) in cases {
        let text = EXAMPLE.replacen(old, new, 1);
        assert_ne!(text, EXAMPLE);
        let message = Config::from_json(&text, empty_environment)
            .err()
            .expect("an error");
        assert!(message.contains(fragment), "{message}");
    }
}

/// Without a configuration the program exits with an error message.
#[test]
fn the_program_fails_without_a_configuration() {
    let output = output_of(program().env_remove("RELAY_CONFIG"));
    assert!(!output.status.success());
    assert_eq!(
        String::from_utf8_lossy(&output.stderr).trim(),
        "postproxy: RELAY_CONFIG is not set to the path of a configuration file"
    );
}

/// SIGHUP reloads the configuration, including a discovery address that an environment variable
/// replaced at the start; after an invalid file the previous configuration remains; SIGTERM ends
/// the program with success.
#[test]
fn the_program_serves_reloads_and_ends_at_sigterm() {
    let path = std::env::temp_dir().join(format!("postproxy-{}.json", std::process::id()));
    std::fs::write(&path, EXAMPLE).expect("a file");
    let mut command = program();
    command
        .env("RELAY_CONFIG", &path)
        .env("RELAY_LISTEN", "127.0.0.1:0")
        .env("RELAY_DISCOVERY", "127.0.0.1:1")
        .stderr(Stdio::piped());
    let child = spawn(&mut command);
    let mut running = RunningProgram(child);
    let child = &mut running.0;
    let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a first line");
    let address = line.trim().rsplit('=').next().expect("an address");
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .write_all(b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        .expect("the file is written");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    drop(stream);
    let signal = |name: &str| {
        let mut shell = Command::new("sh");
        shell.args(["-c", &format!("kill -{name} {}", child.id())]);
        assert!(output_of(&mut shell).status.success());
    };
    let mut next_line = || {
        loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).expect("a line") > 0,
                "the log ended"
            );
            // The node repeatedly logs that it can't reach discovery.
            if !line.contains("postproxy::net::upstream::worker_list") {
                return line.trim().to_owned();
            }
        }
    };
    signal("HUP");
    let reloaded = next_line();
    assert!(
        reloaded.ends_with("configuration reloaded node=\"n0\" discovery=127.0.0.1:8500"),
        "{reloaded}"
    );
    std::fs::write(&path, "{").expect("a file");
    signal("HUP");
    let rejected = next_line();
    assert!(
        rejected.contains("ERROR")
            && rejected.contains("configuration rejected; keeping the previous one node=\"n0\""),
        "{rejected}"
    );
    std::fs::remove_file(&path).expect("it is removed");
    signal("HUP");
    assert!(next_line().contains("reading"), "the file is named");
    signal("TERM");
    assert!(next_line().ends_with("stopped node=\"n0\""));
    assert!(child.wait().expect("the program ends").success());
}

/// Wrong usage has its own exit status, the version is printed, and `check` names the error in an
/// operator's file.
#[test]
fn the_command_line_reports_wrong_usage_and_invalid_files() {
    assert_eq!(
        run(&["--version"]).stdout.trim(),
        format!("postproxy {}", env!("CARGO_PKG_VERSION"))
    );
    assert!(
        run(&["--help"])
            .stdout
            .contains("Exit status: 0 done, 1 failed, 2 wrong usage.")
    );
    assert_eq!(run(&["swerve"]).exit_code, Some(2));
    assert!(run(&["completions", "bash"]).stdout.contains("postproxy"));
    let folder = env!("CARGO_TARGET_TMPDIR");
    let bad = format!("{folder}/bad-operator-{}.json", std::process::id());
    std::fs::write(&bad, "{\n  \"log\": {\"fromat\": \"json\"}\n}").expect("a file");
    let CommandOutcome {
        exit_code, stderr, ..
    } = run(&["check", &bad]);
    assert_eq!(exit_code, Some(1));
    assert!(
        stderr.contains("log.fromat") && stderr.contains("'format'") && stderr.contains("line 2"),
        "{stderr}"
    );
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.json");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    let outcome = run(&["check", good, "--config", example]);
    assert!(
        outcome.exit_code == Some(0) && outcome.stdout.contains(": valid"),
        "{}",
        outcome.stderr
    );
}

/// A trial needs no setup, serves all requests, and runs each of them once.
#[test]
fn a_trial_needs_no_setup_and_runs_each_request_once() {
    let output = output_of(program().args(["try", "--jobs", "5"]).env_clear());
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{stdout}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(
        stdout
            .lines()
            .filter(|line| line.ends_with(" served"))
            .count(),
        10,
        "{stdout}"
    );
    for class in ["reroute", "day-plan"] {
        let line = stdout
            .lines()
            .rfind(|line| line.starts_with(class))
            .expect("a line of the table");
        let figures: Vec<&str> = line.split_whitespace().collect();
        assert_eq!(figures[1..6], ["5", "5", "0", "0", "1.00"], "{line}");
    }
}

/// The store's folder of a test, which is removed on drop.
struct StoreFolder(PathBuf);

impl StoreFolder {
    fn path(&self) -> &Path {
        &self.0
    }

    /// Runs a subcommand of `store` on the folder.
    fn run(&self, subcommand: &str) -> CommandOutcome {
        run(&["store", subcommand, self.0.to_str().expect("a plain path")])
    }
}

impl Drop for StoreFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Opens the store in a folder, and writes the records of three requests into it.
fn write_three_requests(folder: &Path) -> postproxy_store::Engine<postproxy_store::OsDisk> {
    use postproxy_idempotency::{Limits, RequestIdentity, RequestLog, Write as RecordWrite};
    use postproxy_store::{Change, Engine, Options, OsDisk};
    let mut log = RequestLog::new(Limits::default());
    let disk = OsDisk::new(folder).expect("a folder");
    let (mut engine, _) =
        Engine::open(vec![disk], Options::default(), "a test", 7, 0).expect("a store");
    for number in 0..3 {
        let id = format!("job-{number}");
        let request = RequestIdentity {
            id: &id,
            idempotency_key: Some("k"),
            class: "day-plan",
            digest: [7; 32],
        };
        for write in log.record_attempt_intent(4e9, &request, "s-1", 4e9 + 12.0) {
            let RecordWrite::Put {
                key,
                value,
                expires_at_ms,
            } = write
            else {
                panic!("a put")
            };
            engine
                .append(&[Change::Put {
                    key: &key,
                    value: &value,
                    expires_at_ms,
                }])
                .expect("room");
            engine.commit().expect("durable");
        }
    }
    engine
}

/// Returns the path of the store's first segment file.
fn segment_file(folder: &Path) -> PathBuf {
    std::fs::read_dir(folder)
        .expect("a folder")
        .flatten()
        .map(|file| file.path())
        .find(|path| path.extension().is_some_and(|end| end == "seg"))
        .expect("a file")
}

/// `store` reads the records that a node has written, names the holder of a store in use, doesn't
/// create a missing folder, and reports damage.
#[test]
fn store_commands_read_verify_and_compact_a_store() {
    let folder = StoreFolder(
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("tools-{}", std::process::id())),
    );
    assert!(folder.run("stat").exit_code == Some(1) && !folder.path().exists());
    let guard = SPAWN_LOCK.write().unwrap_or_else(PoisonError::into_inner);
    let engine = write_three_requests(folder.path());
    let mut stat = program();
    let output = stat.arg("store").arg("stat").arg(folder.path()).output();
    let stderr = outcome(output.expect("the program starts")).stderr;
    assert!(stderr.contains("is held by a test"), "{stderr}");
    drop(engine);
    drop(guard);
    let dump = folder.run("dump");
    assert_eq!((dump.exit_code, dump.stdout.lines().count()), (Some(0), 3));
    assert!(
        dump.stdout.contains(r#""job":"job-1""#) && dump.stdout.contains(r#""worker":"s-1""#),
        "{}",
        dump.stdout
    );
    assert!(folder.run("stat").stdout.contains("records      3"));
    assert_eq!(folder.run("verify").exit_code, Some(0));
    // Damage the first frame after the header.
    let file = segment_file(folder.path());
    let original_bytes = std::fs::read(&file).expect("a file");
    let mut damaged_bytes = original_bytes.clone();
    damaged_bytes[70] ^= 1;
    std::fs::write(&file, damaged_bytes).expect("the file is written");
    let verify = folder.run("verify");
    assert!(
        verify.exit_code == Some(1)
            && verify.stdout.contains("are lost")
            && verify.stderr.contains("lost"),
        "{}{}",
        verify.stdout,
        verify.stderr
    );
    std::fs::write(&file, original_bytes).expect("the file is written");
    assert_eq!(folder.run("compact").exit_code, Some(0));
    assert!(folder.run("verify").stdout.contains("3 records"));
    std::fs::remove_dir_all(folder.path()).expect("it is removed");
}

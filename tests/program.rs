//! The node's program: its start, its end, and its words on a configuration that is none.

use postproxy::net::Config;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};

const EXAMPLE: &str = include_str!("../examples/config.json");

/// A program that does not outlive its test.
struct Running(std::process::Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn none(_: &str) -> Option<String> {
    None
}

/// Guards against an example that the program does not take, and against names lost on the way.
#[test]
fn the_example_is_a_configuration() {
    let config = Config::from_json(EXAMPLE, none).expect("a configuration");
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
    assert_eq!(config.known.map(|list| list.revision), Some(1));
}

/// Guards against the environment being passed over.
#[test]
fn the_environment_goes_before_the_file() {
    let set = |name: &str| (name == "RELAY_LISTEN").then(|| "127.0.0.9:81".to_owned());
    let config = Config::from_json(EXAMPLE, set).expect("a configuration");
    assert_eq!(config.listen.to_string(), "127.0.0.9:81");
    assert_eq!(config.discovery.to_string(), "127.0.0.1:8500");
}

/// Guards against a start with a wrong or half configuration, or a message that names nothing.
#[test]
fn a_bad_configuration_is_named() {
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
    for (old, new, word) in cases {
        let text = EXAMPLE.replacen(old, new, 1);
        assert_ne!(text, EXAMPLE);
        let message = Config::from_json(&text, none).err().expect("an error");
        assert!(message.contains(word), "{message}");
    }
}

/// Guards against a program that hangs or panics without its configuration.
#[test]
fn without_a_configuration_the_program_ends() {
    let output = Command::new(env!("CARGO_BIN_EXE_postproxy"))
        .env_remove("RELAY_CONFIG")
        .output();
    let output = output.expect("the program starts");
    assert!(!output.status.success());
    assert_eq!(
        String::from_utf8_lossy(&output.stderr).trim(),
        "postproxy: RELAY_CONFIG names no configuration file"
    );
}

/// Guards against a SIGHUP or a SIGTERM that kills the node; against a reload that passes over the file's
/// discovery because the environment named one at the start, or that ends the node over a file it can't read.
#[test]
fn the_program_serves_reloads_and_ends_at_sigterm() {
    let path = std::env::temp_dir().join(format!("postproxy-{}.json", std::process::id()));
    std::fs::write(&path, EXAMPLE).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_postproxy"))
        .env("RELAY_CONFIG", &path)
        .env("RELAY_LISTEN", "127.0.0.1:0")
        .env("RELAY_DISCOVERY", "127.0.0.1:1")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut running = Running(child);
    let child = &mut running.0;
    let mut log = BufReader::new(child.stderr.take().expect("a pipe"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a first line");
    let address = line.trim().rsplit('=').next().expect("an address");
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .write_all(b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        .expect("it is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    drop(stream);
    let signal = |name: &str| {
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", child.id())])
            .status();
        assert!(status.expect("a shell").success());
    };
    let mut next = || {
        loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).expect("a line") > 0,
                "the log ended"
            );
            // That discovery is not there is told as often as it is noticed.
            if !line.contains("postproxy::net::upstream::worker_list") {
                return line.trim().to_owned();
            }
        }
    };
    signal("HUP");
    let reloaded = next();
    assert!(
        reloaded.ends_with("reloaded node=\"n0\" discovery=127.0.0.1:8500"),
        "{reloaded}"
    );
    std::fs::write(&path, "{").expect("a file");
    signal("HUP");
    let kept = next();
    assert!(
        kept.contains("ERROR") && kept.contains("the old configuration stays node=\"n0\""),
        "{kept}"
    );
    std::fs::remove_file(&path).expect("it was there");
    signal("HUP");
    assert!(next().contains("reading"), "the file is named");
    signal("TERM");
    assert!(next().ends_with("stopped node=\"n0\""));
    assert!(child.wait().expect("it ends").success());
}

/// Guards against a command line whose mistakes look like failures of the work, or that hides its version;
/// against an operator's file that is taken though it is wrong.
#[test]
fn the_command_line_says_what_is_wrong() {
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_postproxy"))
            .args(args)
            .output();
        let output = output.expect("the program starts");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (
            output.status.code(),
            text(&output.stdout),
            text(&output.stderr),
        )
    };
    assert_eq!(
        run(&["--version"]).1.trim(),
        format!("postproxy {}", env!("CARGO_PKG_VERSION"))
    );
    assert!(
        run(&["--help"])
            .1
            .contains("Exit status: 0 done, 1 failed, 2 wrong usage.")
    );
    assert_eq!(run(&["swerve"]).0, Some(2));
    assert!(run(&["completions", "bash"]).1.contains("postproxy"));
    let folder = env!("CARGO_TARGET_TMPDIR");
    let bad = format!("{folder}/bad-operator.json");
    std::fs::write(&bad, "{\n  \"log\": {\"fromat\": \"json\"}\n}").expect("a file");
    let (code, _, error) = run(&["check", &bad]);
    assert_eq!(code, Some(1));
    assert!(
        error.contains("log.fromat") && error.contains("'format'") && error.contains("line 2"),
        "{error}"
    );
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.json");
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/config.json");
    let (code, said, error) = run(&["check", good, "--config", example]);
    assert!(code == Some(0) && said.contains("sound"), "{error}");
}

/// Guards against a trial that needs anything else to run, or that ends well though jobs failed or ran twice.
#[test]
fn a_trial_runs_by_itself() {
    let output = Command::new(env!("CARGO_BIN_EXE_postproxy"))
        .args(["try", "--jobs", "5"])
        .env_clear()
        .output();
    let output = output.expect("the program starts");
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{said}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(
        said.lines()
            .filter(|line| line.ends_with(" served"))
            .count(),
        10,
        "{said}"
    );
    for class in ["reroute", "day-plan"] {
        let line = said
            .lines()
            .rfind(|line| line.starts_with(class))
            .expect("a line of the table");
        let figures: Vec<&str> = line.split_whitespace().collect();
        assert_eq!(figures[1..6], ["5", "5", "0", "0", "1.00"], "{line}");
    }
}

/// Guards against tools that can't read what the node has written, that make a folder which is not there, or
/// that say nothing of damage.
#[test]
fn a_store_can_be_looked_at() {
    use postproxy_idempotency::{Limits, RequestIdentity, RequestLog, Write as Change};
    use postproxy_store::{Change as Op, Engine, Options, OsDisk};
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("tools-{}", std::process::id()));
    let dir = folder.to_str().expect("a plain path");
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_postproxy"))
            .arg("store")
            .args(args)
            .output();
        let output = output.expect("the program starts");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        (
            output.status.code(),
            text(&output.stdout),
            text(&output.stderr),
        )
    };
    assert!(run(&["stat", dir]).0 == Some(1) && !folder.exists());
    let mut ledger = RequestLog::new(Limits::default());
    let disk = OsDisk::new(&folder).expect("a folder");
    let mut engine = Engine::open(vec![disk], Options::default(), "a test", 7, 0)
        .expect("a store")
        .0;
    for n in 0..3 {
        let id = format!("job-{n}");
        let asked = RequestIdentity {
            id: &id,
            key: Some("k"),
            class: "day-plan",
            digest: [7; 32],
        };
        for write in ledger.intend(4e9, &asked, "s-1", 4e9 + 12.0) {
            let Change::Put { key, value, until } = write else {
                panic!("a put")
            };
            engine
                .append(&[Op::Put {
                    key: &key,
                    value: &value,
                    until,
                }])
                .expect("room");
            engine.commit().expect("durable");
        }
    }
    assert!(
        run(&["stat", dir]).2.contains("is held by a test"),
        "{:?}",
        run(&["stat", dir])
    );
    drop(engine);
    let (code, said, _) = run(&["dump", dir]);
    assert_eq!((code, said.lines().count()), (Some(0), 3));
    assert!(
        said.contains(r#""job":"job-1""#) && said.contains(r#""worker":"s-1""#),
        "{said}"
    );
    assert!(run(&["stat", dir]).1.contains("records      3"));
    assert_eq!(run(&["verify", dir]).0, Some(0));
    // The first frame behind the header is changed.
    let file = std::fs::read_dir(&folder)
        .expect("a folder")
        .flatten()
        .map(|file| file.path())
        .find(|path| path.extension().is_some_and(|end| end == "seg"))
        .expect("a file");
    let bytes = std::fs::read(&file).expect("a file");
    let mut damaged = bytes.clone();
    damaged[70] ^= 1;
    std::fs::write(&file, damaged).expect("it is written");
    let (code, said, error) = run(&["verify", dir]);
    assert!(
        code == Some(1) && said.contains("are lost") && error.contains("lost"),
        "{said}{error}"
    );
    std::fs::write(&file, bytes).expect("it is written");
    assert_eq!(run(&["compact", dir]).0, Some(0));
    assert!(run(&["verify", dir]).1.contains("3 records"));
    std::fs::remove_dir_all(&folder).expect("it was there");
}

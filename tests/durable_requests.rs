//! Tests of the request manager with a request log, without disk or sockets: what waits for a
//! write, which requests are in doubt after a restart, and which answer each client gets.

#[path = "support/request_manager_harness.rs"]
mod request_manager_harness;

use postproxy::Settings;
use postproxy::net::messages::{
    Answer, AttemptEnd, AttemptId, CallbackState, ClientId, Command, Input, Payload, RequestTimer,
    Submission, WriteWaiter,
};
use postproxy::net::requests::durability::{Durability, DurabilityPolicy};
use postproxy_idempotency::{Limits, RequestLog, Write, result_key};
use request_manager_harness::{
    RequestManagerHarness, START, StartedAttempt, answers, full_worker_list, request_manager,
    started_attempt,
};
use std::collections::BTreeMap;

const SETTINGS: &str = r#"{
    "balancers": 1, "tick": 0.002, "discovery": "on_request",
    "services": [{"name": "render", "effect": "pure", "aim": 1.0, "deadline": 5.0},
                 {"name": "commit", "effect": "side_effect", "aim": 1.0, "deadline": 5.0},
                 {"name": "token", "effect": "token", "dedup-scope": "cell", "memory-span": 10.0, "aim": 1.0,
                  "deadline": 5.0}],
    "limits": {"cancel": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 2.0},
    "report": {"fields": ["backlog", "x0"], "via": "answers"},
    "extra": {"report-x0": "free slots"}}"#;

/// Class of requests that may run twice.
const RENDER: u8 = 0;
/// Class of requests that must not run twice.
const COMMIT: u8 = 1;
/// Class of requests that workers deduplicate by their idempotency key.
const TOKEN: u8 = 2;

/// How long the record of an attempt may take to become durable, in seconds.
const WRITE_TIMEOUT_SECONDS: f64 = 0.5;
/// Number of listed workers.
const WORKERS: u16 = 3;
/// Connection on which callbacks arrive.
const CALLBACK_CLIENT: ClientId = 99;

type Disk = BTreeMap<Vec<u8>, Vec<u8>>;

/// A batch of records that the disk has not written yet.
struct PendingWrite {
    records: Vec<Write>,
    waiter: WriteWaiter,
}

/// Whether the disk writes records or refuses them.
#[derive(Clone, Copy, PartialEq)]
enum DiskState {
    Working,
    Failed,
}

/// A request manager with a request log and a simulated disk.
struct DurableHarness {
    base: RequestManagerHarness,
    disk: Disk,
    pending_writes: Vec<PendingWrite>,
}

impl DurableHarness {
    fn new() -> Self {
        Self::start(Disk::new(), START, Limits::default())
    }

    /// Starts a node with the contents of the disk.
    fn start(disk: Disk, now: f64, limits: Limits) -> Self {
        let settings = Settings::from_json(SETTINGS).expect("valid settings");
        let mut request_log = RequestLog::new(limits);
        disk.iter()
            .for_each(|(key, value)| _ = request_log.load_record(key, value));
        let never_ran = request_log.finish_loading();
        let mut manager = request_manager(SETTINGS);
        manager.enable_durability(DurabilityPolicy::new(
            &settings,
            request_log,
            WRITE_TIMEOUT_SECONDS,
            Durability::Relaxed,
        ));
        let mut harness = Self {
            base: RequestManagerHarness::new(manager, now),
            disk,
            pending_writes: Vec::new(),
        };
        harness.apply(never_ran);
        harness.handle(full_worker_list(WORKERS));
        harness
    }

    /// Kills the node and starts it again; records that the disk has not written are lost.
    fn restart(self) -> Self {
        Self::start(self.disk, self.base.now + 1.0, Limits::default())
    }

    fn apply(&mut self, records: Vec<Write>) {
        for record in records {
            match record {
                Write::Put { key, value, .. } => _ = self.disk.insert(key, value),
                Write::Delete { key } => _ = self.disk.remove(&key),
            }
        }
    }

    /// Moves the writes among these commands to the pending writes, and returns the other commands.
    fn collect_writes(&mut self, commands: Vec<Command>) -> Vec<Command> {
        let mut others = Vec::new();
        for command in commands {
            match command {
                Command::WriteRecords { writes, waiter } => {
                    self.pending_writes.push(PendingWrite {
                        records: writes,
                        waiter,
                    });
                }
                other => others.push(other),
            }
        }
        others
    }

    /// Handles an event, and returns the resulting commands. Timers and writes are kept in the
    /// harness.
    fn handle(&mut self, input: Input) -> Vec<Command> {
        let commands = self.base.handle(input);
        self.collect_writes(commands)
    }

    /// Completes all pending writes: the disk writes the records, or refuses them.
    fn complete_writes(&mut self, disk: DiskState) -> Vec<Command> {
        let mut commands = Vec::new();
        let durable = disk == DiskState::Working;
        for PendingWrite { records, waiter } in std::mem::take(&mut self.pending_writes) {
            if durable {
                self.apply(records);
            }
            commands.extend(self.handle(Input::WriteCompleted { waiter, durable }));
        }
        commands
    }

    fn advance_to(&mut self, until: f64) -> Vec<Command> {
        let commands = self.base.advance_to(until);
        self.collect_writes(commands)
    }

    fn submit(
        &mut self,
        client: ClientId,
        id: &str,
        key: Option<&str>,
        class: u8,
        body: &str,
    ) -> Vec<Command> {
        let payload = Payload {
            id: id.into(),
            method: "POST".into(),
            idempotency_key: key.map(str::to_owned),
            body: body.into(),
            ..Payload::default()
        };
        let submission = Submission {
            payload,
            class,
            ..Submission::default()
        };
        self.handle(Input::RequestReceived { client, submission })
    }

    /// Submits a request that must not run twice, and reports its record as written and its attempt
    /// as written and accepted.
    fn submit_and_accept(
        &mut self,
        client: ClientId,
        id: &str,
        key: Option<&str>,
    ) -> StartedAttempt {
        assert!(
            self.submit(client, id, key, COMMIT, "body").is_empty(),
            "it waits for its record"
        );
        let commands = self.complete_writes(DiskState::Working);
        self.accept_attempt(&commands)
    }

    /// Reports the attempt that these commands start as written and accepted.
    fn accept_attempt(&mut self, commands: &[Command]) -> StartedAttempt {
        let started = started_attempt(commands).expect("an attempt");
        let attempt = started.attempt;
        self.handle(Input::AttemptWritten { attempt });
        self.end_attempt(attempt, AttemptEnd::Accepted);
        started
    }

    fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) -> Vec<Command> {
        let commands = self.base.end_attempt(attempt, end);
        self.collect_writes(commands)
    }

    fn deliver_callback(&mut self, id: &str, worker: &str, state: CallbackState) -> Vec<Command> {
        let commands = self
            .base
            .deliver_callback(CALLBACK_CLIENT, id, worker, state);
        self.collect_writes(commands)
    }
}

fn is_acknowledged(commands: &[Command]) -> bool {
    commands.iter().any(|command| {
        matches!(
            command,
            Command::AcknowledgeCallback {
                client: CALLBACK_CLIENT,
                ..
            }
        )
    })
}

fn served(text: &str) -> Answer {
    Answer::Served(text.into())
}

fn done(text: &str) -> CallbackState {
    CallbackState::Done(text.into())
}

/// Guards against sending the first byte of an attempt before its record is durable, and against
/// idempotent requests that wait as well.
#[test]
fn attempt_starts_when_its_record_is_durable() {
    let mut harness = DurableHarness::new();
    assert!(
        started_attempt(&harness.submit(1, "safe", None, RENDER, "")).is_some(),
        "it is not recorded"
    );
    assert!(harness.pending_writes.is_empty());
    assert!(
        started_attempt(&harness.submit(2, "keyed", Some("k"), TOKEN, "")).is_some(),
        "its record is written, but not waited for"
    );
    assert_eq!(harness.pending_writes.len(), 1);
    let commands = harness.submit(3, "job", None, COMMIT, "");
    assert!(started_attempt(&commands).is_none() && harness.pending_writes.len() == 2);
    harness.base.now += 0.1;
    let commands = harness.complete_writes(DiskState::Working);
    let deadline = commands.iter().find_map(|command| match command {
        Command::StartAttempt { deadline, .. } => Some(*deadline),
        _ => None,
    });
    let remaining = deadline.map(|deadline| deadline - harness.base.now);
    assert!(
        remaining.is_some_and(|remaining| remaining < 4.91),
        "the attempt's time limit runs from the decision: {remaining:?}"
    );
}

/// Guards against acknowledging a result before it is durable, since the worker then forgets it,
/// and against a client that waits until it is durable.
#[test]
fn acknowledges_a_result_when_it_is_durable() {
    let mut harness = DurableHarness::new();
    let worker = harness.submit_and_accept(1, "job", Some("k")).worker;
    let commands = harness.deliver_callback("job", &worker, done("result"));
    assert_eq!(answers(&commands), [(1, served("result"))]);
    assert!(!is_acknowledged(&commands));
    assert!(is_acknowledged(
        &harness.complete_writes(DiskState::Working)
    ));
    assert_eq!(
        harness.disk.get(&result_key("job")).map(Vec::as_slice),
        Some(&b"result"[..])
    );
    assert!(
        is_acknowledged(&harness.deliver_callback("job", &worker, done("result"))),
        "the repeated callback is acknowledged"
    );
    let mut harness = harness.restart();
    let commands = harness.submit(5, "other", Some("k"), COMMIT, "body");
    assert!(
        matches!(&commands[..], [Command::ReadResult { client: 5, id }] if id == "job"),
        "{commands:?}"
    );
    let commands = harness.handle(Input::ResultRead {
        client: 5,
        result: Some(b"result".to_vec()),
    });
    assert_eq!(answers(&commands), [(5, served("result"))]);
    assert!(
        answers(&harness.advance_to(1100.0)).is_empty(),
        "one final answer"
    );
    let commands = harness.submit(6, "third", Some("k"), COMMIT, "another body");
    assert_eq!(
        answers(&commands),
        [(6, Answer::DuplicateRequestId)],
        "409: the key belongs to a different request"
    );
    assert_eq!(harness.base.manager.pending_count(), 0);
}

/// Guards against a second attempt of a request that was sent before a restart, and against
/// rejecting its repetition, which would guarantee that nothing ran.
#[test]
fn repetition_of_a_request_in_doubt_waits_for_its_callback() {
    let mut harness = DurableHarness::new();
    let worker = harness.submit_and_accept(1, "job", Some("k")).worker;
    let mut harness = harness.restart();
    assert!(
        harness
            .submit(2, "again", Some("k"), COMMIT, "body")
            .is_empty()
    );
    assert!(
        harness.submit(3, "job", None, COMMIT, "body").is_empty(),
        "it is recognised by its id as well"
    );
    harness.base.now += 1.0;
    let commands = harness.deliver_callback("job", &worker, done("late"));
    assert_eq!(
        answers(&commands),
        [(2, served("late")), (3, served("late"))]
    );
    assert!(
        !is_acknowledged(&commands)
            && is_acknowledged(&harness.complete_writes(DiskState::Working))
    );
    assert!(answers(&harness.advance_to(1100.0)).is_empty());

    let mut harness = DurableHarness::new();
    harness.submit_and_accept(1, "job", Some("k"));
    let mut harness = harness.restart();
    harness.submit(2, "again", Some("k"), COMMIT, "body");
    let commands = harness.advance_to(harness.base.now + 4.9);
    assert!(answers(&commands).is_empty());
    let commands = harness.advance_to(harness.base.now + 0.2);
    assert_eq!(
        answers(&commands),
        [(2, Answer::Failed)],
        "a failure and not a rejection at the deadline"
    );
    assert!(
        harness
            .pending_writes
            .iter()
            .all(|write| write.records.is_empty())
            && started_attempt(&commands).is_none()
    );
}

/// Guards against not running a request although the worker has proved that it never ran, and
/// against running it twice if two clients wait for it.
#[test]
fn returned_request_runs_again_once() {
    let mut harness = DurableHarness::new();
    let worker = harness.submit_and_accept(1, "job", Some("k")).worker;
    let mut harness = harness.restart();
    harness.submit(2, "again", Some("k"), COMMIT, "body");
    harness.submit(3, "more", Some("k"), COMMIT, "body");
    harness.deliver_callback("job", &worker, CallbackState::Returned);
    let commands = harness.complete_writes(DiskState::Working);
    let starts = commands
        .iter()
        .filter(|command| matches!(command, Command::StartAttempt { .. }))
        .count();
    assert_eq!(starts, 1, "{commands:?}");
    let started = started_attempt(&commands).expect("an attempt");
    harness.end_attempt(started.attempt, AttemptEnd::Accepted);
    let commands = harness.deliver_callback("again", &started.worker, done("x"));
    assert_eq!(answers(&commands), [(3, served("x")), (2, served("x"))]);
}

/// Guards against a request that must not run twice and does: after a restart, a repeated `Returned`
/// callback must not end the attempt that runs at the same worker by then.
#[test]
fn repeated_returned_callback_after_a_restart_does_not_end_the_next_attempt() {
    let mut harness = DurableHarness::new();
    harness.handle(full_worker_list(1));
    let worker = harness.submit_and_accept(1, "job", Some("k")).worker;
    harness.deliver_callback("job", &worker, CallbackState::Returned);
    let mut commands = harness.complete_writes(DiskState::Working);
    commands.extend(harness.advance_to(harness.base.now + 1.0));
    commands.extend(harness.complete_writes(DiskState::Working));
    assert_eq!(harness.accept_attempt(&commands).worker, worker);
    let mut harness = harness.restart();
    harness.submit(2, "again", Some("k"), COMMIT, "body");
    let commands = harness.deliver_callback("job", &worker, CallbackState::Returned);
    assert!(
        is_acknowledged(&commands) && harness.pending_writes.is_empty(),
        "it changes nothing: {commands:?}"
    );
    let commands = harness.deliver_callback("job", &worker, done("x"));
    assert_eq!(answers(&commands), [(2, served("x"))]);
    assert!(started_attempt(&harness.complete_writes(DiskState::Working)).is_none());
}

/// Guards against the same if the request is run again under its id, since its client has come back
/// with that id: the callback that proved that it never ran may be repeated.
#[test]
fn repeated_returned_callback_does_not_end_the_rerun_under_the_same_id() {
    let mut harness = DurableHarness::new();
    harness.handle(full_worker_list(1));
    let worker = harness.submit_and_accept(1, "job", Some("k")).worker;
    let mut harness = harness.restart();
    harness.handle(full_worker_list(1));
    harness.submit(2, "job", Some("k"), COMMIT, "body");
    harness.deliver_callback("job", &worker, CallbackState::Returned);
    let commands = harness.complete_writes(DiskState::Working);
    assert_eq!(harness.accept_attempt(&commands).worker, worker);
    let mut commands = harness.deliver_callback("job", &worker, CallbackState::Returned);
    commands.extend(harness.complete_writes(DiskState::Working));
    commands.extend(harness.advance_to(harness.base.now + 1.0));
    commands.extend(harness.complete_writes(DiskState::Working));
    assert!(started_attempt(&commands).is_none(), "{commands:?}");
    let commands = harness.deliver_callback("job", &worker, done("x"));
    assert_eq!(answers(&commands), [(2, served("x"))]);
}

/// Guards against running a request twice if its key arrives on two connections, and against
/// cancelling it when the first of these connections closes.
#[test]
fn same_key_on_two_connections_runs_once() {
    let mut harness = DurableHarness::new();
    let worker = harness.submit_and_accept(1, "job", Some("k")).worker;
    assert!(
        harness
            .submit(2, "second", Some("k"), COMMIT, "body")
            .is_empty()
    );
    assert!(
        harness
            .submit(3, "third", Some("k"), COMMIT, "body")
            .is_empty()
    );
    let commands = harness.handle(Input::ClientDisconnected { client: 1 });
    assert!(
        commands.is_empty(),
        "not cancelled, since others wait for it: {commands:?}"
    );
    harness.handle(Input::ClientDisconnected { client: 3 });
    let commands = harness.deliver_callback("job", &worker, done("x"));
    assert_eq!(answers(&commands), [(2, served("x"))]);
    harness.complete_writes(DiskState::Working);
    assert_eq!(harness.base.manager.pending_count(), 0);
    let commands = harness.submit(4, "job", None, RENDER, "body");
    assert!(
        started_attempt(&commands).is_some(),
        "a request of a class that is not recorded is not looked up"
    );
}

/// Guards against holding, failing or sending a request that the disk can't record, and against
/// rejecting any other request.
#[test]
fn failed_store_rejects_only_unsafe_requests_at_once() {
    let mut harness = DurableHarness::new();
    harness.submit(1, "job", Some("k"), COMMIT, "body");
    let commands = harness.complete_writes(DiskState::Failed);
    assert_eq!(
        answers(&commands),
        [(1, Answer::RejectedWithRetryAfter(1.0))]
    );
    assert!(started_attempt(&commands).is_none());
    assert_eq!(
        harness.base.manager.pending_count(),
        0,
        "the request is removed"
    );
    harness.handle(Input::StoreHealthChanged { writable: false });
    assert_eq!(
        answers(&harness.submit(2, "next", None, COMMIT, "")),
        [(2, Answer::RejectedWithRetryAfter(1.0))]
    );
    assert!(started_attempt(&harness.submit(3, "safe", None, RENDER, "")).is_some());
    assert!(started_attempt(&harness.submit(4, "keyed", None, TOKEN, "")).is_some());
    harness.handle(Input::StoreHealthChanged { writable: true });
    assert!(
        harness
            .submit(5, "again", Some("k"), COMMIT, "body")
            .is_empty()
    );
    assert!(
        started_attempt(&harness.complete_writes(DiskState::Working)).is_some(),
        "the request was never sent"
    );
}

/// Guards against a hanging disk that uses up a request's whole time limit, and against an attempt
/// that starts after the rejection when the disk works again.
#[test]
fn rejects_in_time_when_a_record_write_hangs() {
    let mut harness = DurableHarness::new();
    harness.submit(1, "job", None, COMMIT, "body");
    let commands = harness.advance_to(1000.6);
    assert_eq!(
        answers(&commands),
        [(1, Answer::RejectedWithRetryAfter(1.0))]
    );
    let commands = harness.complete_writes(DiskState::Working);
    assert!(commands.is_empty(), "{commands:?}");
    let harness = harness.restart();
    assert!(
        harness.disk.is_empty(),
        "the request was never sent: {:?}",
        harness.disk.keys()
    );
}

/// Guards against a request log full of requests in doubt that drops one of them or admits another
/// request.
#[test]
fn rejects_when_the_log_is_full_of_requests_in_doubt() {
    let mut harness = DurableHarness::new();
    for n in 0..3 {
        harness.submit_and_accept(n, &format!("job-{n}"), None);
    }
    let limits = Limits {
        max_requests: 3,
        retention_seconds: 60.0,
        ..Limits::default()
    };
    let mut harness = DurableHarness::start(harness.disk, harness.base.now, limits);
    assert_eq!(
        answers(&harness.submit(1, "new", None, COMMIT, "")),
        [(1, Answer::RejectedWithRetryAfter(1.0))]
    );
    assert!(
        harness.submit(2, "job-1", None, COMMIT, "body").is_empty(),
        "it is still in doubt"
    );
    harness.handle(Input::TimerExpired {
        timer: RequestTimer::ExpireRecords,
    });
    harness.advance_to(5000.0);
    assert!(
        harness.submit(3, "new", None, COMMIT, "").is_empty(),
        "it is admitted"
    );
    assert!(started_attempt(&harness.complete_writes(DiskState::Working)).is_some());
}

/// Guards against rejecting a request after an attempt that may have run.
#[test]
fn fails_after_an_attempt_that_may_have_run() {
    let mut harness = DurableHarness::new();
    let StartedAttempt { attempt, worker } = harness.submit_and_accept(1, "job", Some("k"));
    let commands = harness.deliver_callback("job", &worker, CallbackState::Lost);
    assert_eq!(answers(&commands), [(1, Answer::Failed)]);
    assert!(
        harness.end_attempt(attempt, AttemptEnd::Reset).is_empty(),
        "the connection breaks after the callback"
    );
    harness.complete_writes(DiskState::Working);
    assert_eq!(
        answers(&harness.submit(2, "again", Some("k"), COMMIT, "body")),
        [(2, Answer::Failed)]
    );
    let mut harness = harness.restart();
    assert_eq!(
        answers(&harness.submit(3, "more", Some("k"), COMMIT, "body")),
        [(3, Answer::Failed)]
    );
}

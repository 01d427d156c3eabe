//! The hub with a ledger, without disk or sockets: what waits for a write, what a restart leaves in doubt, who is
//! owed which answer.

use postproxy::net::messages::{
    Answer, AttemptEnd, AttemptId, CallbackState, Command, Input, ListedWorker, Load, Payload,
    RequestTimer, Submission, WorkerCallback, WriteWaiter,
};
use postproxy::net::requests::durability::{Durability, DurabilityPolicy};
use postproxy::net::requests::manager::RequestManager;
use postproxy::{Entry, ListKind, Settings};
use postproxy_idempotency::{Limits, RequestLog, Write, result_key};
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

const RENDER: u8 = 0;
const COMMIT: u8 = 1;
const TOKEN: u8 = 2;

struct Bed {
    hub: RequestManager,
    now: f64,
    timers: Vec<(f64, RequestTimer)>,
    disk: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Writes that the disk has not done yet.
    pending: Vec<(Vec<Write>, WriteWaiter)>,
}

impl Bed {
    fn new() -> Self {
        Self::start(BTreeMap::new(), 1000.0, Limits::default())
    }

    fn start(disk: BTreeMap<Vec<u8>, Vec<u8>>, now: f64, limits: Limits) -> Self {
        let settings = Settings::from_json(SETTINGS).expect("sound settings");
        let mut ledger = RequestLog::new(limits);
        disk.iter()
            .for_each(|(key, value)| _ = ledger.load(key, value));
        let nothing_ran = ledger.loaded();
        let mut hub = RequestManager::new(settings.clone(), 7).expect("a hub");
        hub.enable_durability(DurabilityPolicy::new(
            &settings,
            ledger,
            0.5,
            Durability::Relaxed,
        ));
        let mut bed = Self {
            hub,
            now,
            timers: Vec::new(),
            disk,
            pending: Vec::new(),
        };
        bed.apply(nothing_ran);
        let member = |n: u16| ListedWorker {
            id: format!("s-{n}"),
            address: ([127, 0, 0, 1], 9000 + n).into(),
            entry: Entry {
                size: 1.0,
                ..Entry::default()
            },
        };
        bed.tell(Input::WorkerListReceived {
            kind: ListKind::Full,
            workers: (0..3).map(member).collect(),
        });
        bed
    }

    /// The node dies and starts again; what the disk has not done is gone.
    fn restart(self) -> Self {
        Self::start(self.disk, self.now + 1.0, Limits::default())
    }

    fn apply(&mut self, writes: Vec<Write>) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => _ = self.disk.insert(key, value),
                Write::Delete { key } => _ = self.disk.remove(&key),
            }
        }
    }

    /// The commands that follow, timers and writes apart.
    fn tell(&mut self, input: Input) -> Vec<Command> {
        let mut out = Vec::new();
        self.hub.handle(self.now, input, &mut out);
        let mut rest = Vec::new();
        for command in out {
            match command {
                Command::SetTimer { at, timer: due } => self.timers.push((at, due)),
                Command::WriteRecords {
                    writes,
                    waiter: wait,
                } => self.pending.push((writes, wait)),
                other => rest.push(other),
            }
        }
        rest
    }

    /// The disk does all that it was given, or refuses it.
    fn sync(&mut self, durable: bool) -> Vec<Command> {
        let mut all = Vec::new();
        for (writes, wait) in std::mem::take(&mut self.pending) {
            if durable {
                self.apply(writes);
            }
            all.extend(self.tell(Input::WriteCompleted {
                waiter: wait,
                durable,
            }));
        }
        all
    }

    fn play(&mut self, until: f64) -> Vec<Command> {
        let mut all = Vec::new();
        loop {
            let next = self
                .timers
                .iter()
                .enumerate()
                .min_by(|a, b| a.1.0.total_cmp(&b.1.0));
            let Some((i, &(at, due))) = next.filter(|(_, (at, _))| *at <= until) else {
                break;
            };
            self.timers.remove(i);
            self.now = self.now.max(at);
            all.extend(self.tell(Input::TimerExpired { timer: due }));
        }
        self.now = until;
        all
    }

    fn submit(
        &mut self,
        client: u64,
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
        self.tell(Input::RequestReceived {
            client,
            submission: Submission {
                payload,
                class,
                ..Submission::default()
            },
        })
    }

    /// Submits a job that must not run twice, and has its attempt started, written and accepted; its worker.
    fn accepted(&mut self, client: u64, id: &str, key: Option<&str>) -> (AttemptId, String) {
        assert!(
            self.submit(client, id, key, COMMIT, "body").is_empty(),
            "it waits for its intent"
        );
        let commands = self.sync(true);
        let (attempt, worker) = started(&commands).expect("an attempt");
        self.tell(Input::AttemptWritten { attempt });
        self.tell(Input::ExchangeEnded {
            attempt,
            end: AttemptEnd::Accepted,
            load: Load::new(),
        });
        (attempt, worker)
    }

    fn call(&mut self, id: &str, from: &str, state: CallbackState) -> Vec<Command> {
        self.tell(Input::CallbackReceived {
            client: 99,
            callback: WorkerCallback {
                id: id.into(),
                from: from.into(),
                state,
                load: Load::new(),
            },
        })
    }
}

fn started(commands: &[Command]) -> Option<(AttemptId, String)> {
    commands.iter().find_map(|command| match command {
        Command::StartAttempt {
            attempt, worker, ..
        } => Some((*attempt, format!("s-{}", worker.port() - 9000))),
        _ => None,
    })
}

fn answers(commands: &[Command]) -> Vec<(u64, Answer)> {
    let answer = |command: &Command| match command {
        Command::AnswerClient { client, answer } => Some((*client, answer.clone())),
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

fn acknowledged(commands: &[Command]) -> bool {
    commands
        .iter()
        .any(|command| matches!(command, Command::AcknowledgeCallback { client: 99, .. }))
}

fn served(text: &str) -> Answer {
    Answer::Served(text.into())
}

/// Guards against a first byte that leaves before its intent is durable, and against safe jobs that wait too.
#[test]
fn a_pass_starts_when_its_intent_is_durable() {
    let mut bed = Bed::new();
    assert!(
        started(&bed.submit(1, "safe", None, RENDER, "")).is_some(),
        "nothing is kept of it"
    );
    assert!(bed.pending.is_empty());
    assert!(
        started(&bed.submit(2, "keyed", Some("k"), TOKEN, "")).is_some(),
        "it is written, not waited for"
    );
    assert_eq!(bed.pending.len(), 1);
    let commands = bed.submit(3, "job", None, COMMIT, "");
    assert!(started(&commands).is_none() && bed.pending.len() == 2);
    bed.now += 0.1;
    let commands = bed.sync(true);
    let until = commands.iter().find_map(|c| {
        if let Command::StartAttempt {
            deadline: until, ..
        } = c
        {
            Some(*until)
        } else {
            None
        }
    });
    let wait = until.map(|until| until - bed.now);
    assert!(
        wait.is_some_and(|wait| wait < 4.91),
        "the attempt's time runs from its decision: {wait:?}"
    );
}

/// Guards against a worker that forgets a result which is not kept yet, and against a client that waits for it.
#[test]
fn a_result_is_acknowledged_when_it_is_durable() {
    let mut bed = Bed::new();
    let (_, worker) = bed.accepted(1, "job", Some("k"));
    let commands = bed.call("job", &worker, CallbackState::Done(b"result".to_vec()));
    assert_eq!(answers(&commands), [(1, served("result"))]);
    assert!(!acknowledged(&commands));
    assert!(acknowledged(&bed.sync(true)));
    assert_eq!(
        bed.disk.get(&result_key("job")).map(Vec::as_slice),
        Some(&b"result"[..])
    );
    assert!(
        acknowledged(&bed.call("job", &worker, CallbackState::Done(b"result".to_vec()))),
        "repeated"
    );
    let mut bed = bed.restart();
    let commands = bed.submit(5, "other", Some("k"), COMMIT, "body");
    assert!(
        matches!(&commands[..], [Command::ReadResult { client: 5, id }] if id == "job"),
        "{commands:?}"
    );
    assert_eq!(
        answers(&bed.tell(Input::ResultRead {
            client: 5,
            result: Some(b"result".to_vec())
        })),
        [(5, served("result"))]
    );
    assert!(answers(&bed.play(1100.0)).is_empty(), "one final answer");
    let other = bed.submit(6, "third", Some("k"), COMMIT, "another body");
    assert_eq!(
        answers(&other),
        [(6, Answer::DuplicateRequestId)],
        "409: the key came with another request"
    );
    assert_eq!(bed.hub.pending_count(), 0);
}

/// Guards against sending again what was sent in an earlier life, and against refusing it: that would promise
/// that nothing ran.
#[test]
fn in_doubt_it_waits_for_the_word_of_its_worker() {
    let mut bed = Bed::new();
    let (_, worker) = bed.accepted(1, "job", Some("k"));
    let mut bed = bed.restart();
    assert!(bed.submit(2, "again", Some("k"), COMMIT, "body").is_empty());
    assert!(
        bed.submit(3, "job", None, COMMIT, "body").is_empty(),
        "by its id as well"
    );
    bed.now += 1.0;
    let commands = bed.call("job", &worker, CallbackState::Done(b"late".to_vec()));
    assert_eq!(
        answers(&commands),
        [(2, served("late")), (3, served("late"))]
    );
    assert!(!acknowledged(&commands) && acknowledged(&bed.sync(true)));
    assert!(answers(&bed.play(1100.0)).is_empty());

    let mut bed = Bed::new();
    bed.accepted(1, "job", Some("k"));
    let mut bed = bed.restart();
    bed.submit(2, "again", Some("k"), COMMIT, "body");
    let commands = bed.play(bed.now + 4.9);
    assert!(answers(&commands).is_empty());
    let commands = bed.play(bed.now + 0.2);
    assert_eq!(
        answers(&commands),
        [(2, Answer::Failed)],
        "at its deadline: a failure, no refusal"
    );
    assert!(
        bed.pending.iter().all(|(writes, _)| writes.is_empty()) && started(&commands).is_none()
    );
}

/// Guards against no run at all where the worker has proved that none took place, and against two for two who
/// wait.
#[test]
fn what_was_handed_back_runs_afresh_and_once() {
    let mut bed = Bed::new();
    let (_, worker) = bed.accepted(1, "job", Some("k"));
    let mut bed = bed.restart();
    bed.submit(2, "again", Some("k"), COMMIT, "body");
    bed.submit(3, "more", Some("k"), COMMIT, "body");
    bed.call("job", &worker, CallbackState::Returned);
    let commands = bed.sync(true);
    let starts = commands
        .iter()
        .filter(|c| matches!(c, Command::StartAttempt { .. }))
        .count();
    assert_eq!(starts, 1, "{commands:?}");
    let (attempt, worker) = started(&commands).expect("an attempt");
    bed.tell(Input::ExchangeEnded {
        attempt,
        end: AttemptEnd::Accepted,
        load: Load::new(),
    });
    let commands = bed.call("again", &worker, CallbackState::Done(b"x".to_vec()));
    assert_eq!(answers(&commands), [(3, served("x")), (2, served("x"))]);
}

/// Guards against two runs for one key on two connections, and against a run that ends with the connection that
/// came first.
#[test]
fn one_key_on_two_connections_runs_once() {
    let mut bed = Bed::new();
    let (_, worker) = bed.accepted(1, "job", Some("k"));
    assert!(
        bed.submit(2, "second", Some("k"), COMMIT, "body")
            .is_empty()
    );
    assert!(bed.submit(3, "third", Some("k"), COMMIT, "body").is_empty());
    let commands = bed.tell(Input::ClientDisconnected { client: 1 });
    assert!(
        commands.is_empty(),
        "no cancel: others wait for it: {commands:?}"
    );
    bed.tell(Input::ClientDisconnected { client: 3 });
    let commands = bed.call("job", &worker, CallbackState::Done(b"x".to_vec()));
    assert_eq!(answers(&commands), [(2, served("x"))]);
    bed.sync(true);
    assert_eq!(bed.hub.pending_count(), 0);
    let same_id = bed.submit(4, "job", None, RENDER, "body");
    assert!(
        started(&same_id).is_some(),
        "a class of which nothing is kept is not looked up"
    );
}

/// Guards against holding, failing or sending a job that the disk has no room for; against refusing any other.
#[test]
fn without_a_disk_only_what_must_not_run_twice_is_refused_and_at_once() {
    let mut bed = Bed::new();
    bed.submit(1, "job", Some("k"), COMMIT, "body");
    let commands = bed.sync(false);
    assert_eq!(
        answers(&commands),
        [(1, Answer::RejectedWithRetryAfter(1.0))]
    );
    assert!(started(&commands).is_none());
    assert_eq!(bed.hub.pending_count(), 0, "it is forgotten");
    bed.tell(Input::StoreHealthChanged { writable: false });
    assert_eq!(
        answers(&bed.submit(2, "next", None, COMMIT, "")),
        [(2, Answer::RejectedWithRetryAfter(1.0))]
    );
    assert!(started(&bed.submit(3, "safe", None, RENDER, "")).is_some());
    assert!(started(&bed.submit(4, "keyed", None, TOKEN, "")).is_some());
    bed.tell(Input::StoreHealthChanged { writable: true });
    assert!(bed.submit(5, "again", Some("k"), COMMIT, "body").is_empty());
    assert!(
        started(&bed.sync(true)).is_some(),
        "nothing of it was ever sent"
    );
}

/// Guards against a disk that hangs and takes a job's whole time with it; against an attempt that starts when it
/// comes back, after the refusal.
#[test]
fn an_intent_that_hangs_is_refused_in_time() {
    let mut bed = Bed::new();
    bed.submit(1, "job", None, COMMIT, "body");
    let commands = bed.play(1000.6);
    assert_eq!(
        answers(&commands),
        [(1, Answer::RejectedWithRetryAfter(1.0))]
    );
    let commands = bed.sync(true);
    assert!(commands.is_empty(), "{commands:?}");
    let bed = bed.restart();
    assert!(
        bed.disk.is_empty(),
        "nothing of it was ever sent: {:?}",
        bed.disk.keys()
    );
}

/// Guards against a ledger full of jobs in doubt that drops one of them, or takes more.
#[test]
fn a_store_full_of_jobs_in_doubt_refuses() {
    let mut bed = Bed::new();
    for n in 0..3 {
        bed.accepted(n, &format!("job-{n}"), None);
    }
    let limits = Limits {
        jobs: 3,
        retention: 60.0,
        ..Limits::default()
    };
    let mut bed = Bed::start(bed.disk, bed.now, limits);
    assert_eq!(
        answers(&bed.submit(1, "new", None, COMMIT, "")),
        [(1, Answer::RejectedWithRetryAfter(1.0))]
    );
    assert!(
        bed.submit(2, "job-1", None, COMMIT, "body").is_empty(),
        "it is in doubt still"
    );
    bed.tell(Input::TimerExpired {
        timer: RequestTimer::ExpireRecords,
    });
    bed.play(5000.0);
    assert!(
        bed.submit(3, "new", None, COMMIT, "").is_empty(),
        "it is taken"
    );
    assert!(started(&bed.sync(true)).is_some());
}

/// Guards against a refusal after an attempt that may have run.
#[test]
fn after_an_attempt_that_may_have_run_it_fails() {
    let mut bed = Bed::new();
    let (attempt, worker) = bed.accepted(1, "job", Some("k"));
    let commands = bed.call("job", &worker, CallbackState::Lost);
    assert_eq!(answers(&commands), [(1, Answer::Failed)]);
    assert!(
        bed.tell(Input::ExchangeEnded {
            attempt,
            end: AttemptEnd::Reset,
            load: Load::new()
        })
        .is_empty(),
        "late"
    );
    bed.sync(true);
    assert_eq!(
        answers(&bed.submit(2, "again", Some("k"), COMMIT, "body")),
        [(2, Answer::Failed)]
    );
    let mut bed = bed.restart();
    assert_eq!(
        answers(&bed.submit(3, "more", Some("k"), COMMIT, "body")),
        [(3, Answer::Failed)]
    );
}

//! The job records of the fixture: one for each stage and each outcome of an attempt.

use postproxy_idempotency::{AttemptFailure, Limits, RequestIdentity, RequestLog, Write};
use postproxy_store::{Change, Engine, Options, OsDisk};
use sha2::{Digest, Sha256};
use std::path::Path;

/// When the jobs were asked for, in seconds of Unix time: the beginning of 2100.
const ASKED: f64 = 4_102_444_800.0;
/// The same of a job that has expired long ago: the beginning of 2001.
const ASKED_LONG_AGO: f64 = 978_307_200.0;
/// Longest result that is kept, in bytes.
const LONGEST_RESULT: usize = 64;

/// A job as a client asks for it.
pub struct Job {
    pub id: &'static str,
    pub key: Option<&'static str>,
    pub class: &'static str,
    pub body: &'static str,
}

const fn job(id: &'static str, key: &'static str, class: &'static str, body: &'static str) -> Job {
    Job {
        id,
        key: Some(key),
        class,
        body,
    }
}

pub const SERVED: Job = job("served", "key-served", "day-plan", "served plan");
pub const SERVED_TOO_LONG: Job = job("served-too-long", "key-too-long", "day-plan", "long plan");
pub const FAILED: Job = job("failed", "key-failed", "day-plan", "failed plan");
pub const IN_DOUBT: Job = job("in-doubt", "key-in-doubt", "day-plan", "doubtful plan");
pub const IN_DOUBT_AT_SECOND: Job = job("in-doubt-2", "key-in-doubt-2", "day-plan", "second plan");
pub const NEVER_RAN: Job = job("never-ran", "key-never-ran", "day-plan", "unstarted plan");
pub const ATTEMPT_ENDED: Job = job(
    "attempt-ended",
    "key-attempt-ended",
    "day-plan",
    "ended plan",
);
pub const TOKEN_SERVED: Job = job("token-served", "key-token", "reroute", "new route");
pub const WITHOUT_KEY: Job = Job {
    id: "without-key",
    key: None,
    class: "day-plan",
    body: "keyless plan",
};
const EXPIRED: Job = job("expired", "key-expired", "day-plan", "old plan");

impl Job {
    pub fn target(&self) -> String {
        format!("/{}/x", self.class)
    }

    fn digest(&self) -> [u8; 32] {
        let mut digest = Sha256::new();
        for part in ["POST", &self.target(), self.body] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        digest.finalize().into()
    }
}

/// A store that a ledger's writes go to.
struct Writer {
    log: RequestLog,
    engine: Engine<OsDisk>,
}

impl Writer {
    fn open(folder: &Path) -> Self {
        let limits = Limits {
            max_result_bytes: LONGEST_RESULT,
            ..Limits::default()
        };
        let disk = OsDisk::new(folder).expect("a folder");
        let options = Options {
            segment_bytes: 1 << 20,
            ..Options::default()
        };
        let engine = Engine::open(vec![disk], options, "a test", 7, 0)
            .expect("a store")
            .0;
        Self {
            log: RequestLog::new(limits),
            engine,
        }
    }

    fn write(&mut self, writes: Vec<Write>) {
        for write in &writes {
            let change = match write {
                Write::Put {
                    key,
                    value,
                    expires_at_ms,
                } => Change::Put {
                    key,
                    value,
                    expires_at_ms: *expires_at_ms,
                },
                Write::Delete { key } => Change::Delete { key },
            };
            self.engine.append(&[change]).expect("room");
        }
        self.engine.commit().expect("durable");
    }

    fn send(&mut self, job: &Job, worker: &str) {
        self.send_at(ASKED, job, worker);
    }

    fn send_at(&mut self, now: f64, job: &Job, worker: &str) {
        let asked = RequestIdentity {
            id: job.id,
            idempotency_key: job.key,
            class: job.class,
            digest: job.digest(),
        };
        let writes = self
            .log
            .record_attempt_intent(now, &asked, worker, now + 12.0);
        self.write(writes);
    }

    fn attempt_ended(&mut self, job: &Job, attempt: usize, may_have_run: bool) {
        let failure = if may_have_run {
            AttemptFailure::MayHaveRun
        } else {
            AttemptFailure::NeverRan
        };
        let writes = self
            .log
            .record_attempt_ended(ASKED, job.id, attempt, failure);
        self.write(writes);
    }

    fn served(&mut self, job: &Job, result: &str) {
        let writes = self.log.record_served(ASKED, job.id, result.as_bytes());
        self.write(writes);
    }

    fn over(&mut self, job: &Job) {
        let writes = self.log.record_finished(ASKED, job.id);
        self.write(writes);
    }
}

/// Writes the jobs to a store.
pub fn add_to_store(folder: &Path) {
    let mut writer = Writer::open(folder);
    writer.send(&SERVED, "s-0");
    writer.served(&SERVED, "SERVED PLAN");
    writer.send(&SERVED_TOO_LONG, "s-0");
    writer.served(&SERVED_TOO_LONG, &"LONG PLAN ".repeat(LONGEST_RESULT));
    writer.send(&FAILED, "s-1");
    writer.attempt_ended(&FAILED, 0, true);
    writer.over(&FAILED);
    writer.send(&IN_DOUBT, "s-0");
    writer.send(&IN_DOUBT_AT_SECOND, "s-1");
    writer.attempt_ended(&IN_DOUBT_AT_SECOND, 0, false);
    writer.send(&IN_DOUBT_AT_SECOND, "s-0");
    writer.send(&NEVER_RAN, "s-2");
    writer.attempt_ended(&NEVER_RAN, 0, false);
    writer.send(&ATTEMPT_ENDED, "s-0");
    writer.attempt_ended(&ATTEMPT_ENDED, 0, true);
    writer.send(&TOKEN_SERVED, "s-1");
    writer.attempt_ended(&TOKEN_SERVED, 0, true);
    writer.send(&TOKEN_SERVED, "s-0");
    writer.served(&TOKEN_SERVED, "NEW ROUTE");
    writer.send(&WITHOUT_KEY, "s-2");
    writer.served(&WITHOUT_KEY, "KEYLESS PLAN");
    writer.send_at(ASKED_LONG_AGO, &EXPIRED, "s-2");
}

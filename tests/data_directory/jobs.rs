//! The job records of the fixture: at least one for each stage of a job and each outcome of an
//! attempt.

use postproxy_idempotency::{AttemptFailure, Limits, RequestIdentity, RequestLog, Write};
use postproxy_store::{Change, Engine, Options, OsDisk};
use sha2::{Digest, Sha256};
use std::path::Path;

/// Time at which the jobs were submitted, in seconds of Unix time: the beginning of 2100, so that
/// they don't expire.
const SUBMITTED_AT: f64 = 4_102_444_800.0;
/// Time at which the expired job was submitted: the beginning of 2001.
const EXPIRED_SUBMITTED_AT: f64 = 978_307_200.0;
/// Longest result that is stored, in bytes.
const MAX_RESULT_BYTES: usize = 64;

/// A job as a client submits it.
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

/// A request log, and the store to which its writes go.
struct Writer {
    log: RequestLog,
    engine: Engine<OsDisk>,
}

impl Writer {
    fn open(folder: &Path) -> Self {
        let limits = Limits {
            max_result_bytes: MAX_RESULT_BYTES,
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

    fn record_attempt(&mut self, job: &Job, worker: &str) {
        self.record_attempt_at(SUBMITTED_AT, job, worker);
    }

    fn record_attempt_at(&mut self, now: f64, job: &Job, worker: &str) {
        let request = RequestIdentity {
            id: job.id,
            idempotency_key: job.key,
            class: job.class,
            digest: job.digest(),
        };
        let writes = self
            .log
            .record_attempt_intent(now, &request, worker, now + 12.0);
        self.write(writes);
    }

    fn record_attempt_ended(&mut self, job: &Job, attempt: usize, may_have_run: bool) {
        let failure = if may_have_run {
            AttemptFailure::MayHaveRun
        } else {
            AttemptFailure::NeverRan
        };
        let writes = self
            .log
            .record_attempt_ended(SUBMITTED_AT, job.id, attempt, failure);
        self.write(writes);
    }

    fn record_served(&mut self, job: &Job, result: &str) {
        let writes = self
            .log
            .record_served(SUBMITTED_AT, job.id, result.as_bytes());
        self.write(writes);
    }

    fn record_finished(&mut self, job: &Job) {
        let writes = self.log.record_finished(SUBMITTED_AT, job.id);
        self.write(writes);
    }
}

/// Writes the jobs to a store.
pub fn add_to_store(folder: &Path) {
    let mut writer = Writer::open(folder);
    writer.record_attempt(&SERVED, "s-0");
    writer.record_served(&SERVED, "SERVED PLAN");
    writer.record_attempt(&SERVED_TOO_LONG, "s-0");
    writer.record_served(&SERVED_TOO_LONG, &"LONG PLAN ".repeat(MAX_RESULT_BYTES));
    writer.record_attempt(&FAILED, "s-1");
    writer.record_attempt_ended(&FAILED, 0, true);
    writer.record_finished(&FAILED);
    writer.record_attempt(&IN_DOUBT, "s-0");
    writer.record_attempt(&IN_DOUBT_AT_SECOND, "s-1");
    writer.record_attempt_ended(&IN_DOUBT_AT_SECOND, 0, false);
    writer.record_attempt(&IN_DOUBT_AT_SECOND, "s-0");
    writer.record_attempt(&NEVER_RAN, "s-2");
    writer.record_attempt_ended(&NEVER_RAN, 0, false);
    writer.record_attempt(&ATTEMPT_ENDED, "s-0");
    writer.record_attempt_ended(&ATTEMPT_ENDED, 0, true);
    writer.record_attempt(&TOKEN_SERVED, "s-1");
    writer.record_attempt_ended(&TOKEN_SERVED, 0, true);
    writer.record_attempt(&TOKEN_SERVED, "s-0");
    writer.record_served(&TOKEN_SERVED, "NEW ROUTE");
    writer.record_attempt(&WITHOUT_KEY, "s-2");
    writer.record_served(&WITHOUT_KEY, "KEYLESS PLAN");
    writer.record_attempt_at(EXPIRED_SUBMITTED_AT, &EXPIRED, "s-2");
}

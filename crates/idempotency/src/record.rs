//! The form of what is kept: keys, and values in postcard behind a byte that tells their version.

use serde::{Deserialize, Serialize};

/// The version that this program writes.
const VERSION: u8 = 1;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum AttemptOutcome {
    /// Its end was not told: after a restart it may have run, run still, or be done.
    Out,
    /// It never ran.
    NeverRan,
    /// It ended, and may have run.
    MayHaveRun,
}

/// An attempt at a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// The worker, as the list names it.
    pub worker: String,
    /// What is known of it.
    pub fate: AttemptOutcome,
}

/// How far a job has come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Stage {
    /// It has no final answer that is kept.
    Open,
    /// It was served; whether its result is kept beside it.
    Served(bool),
    /// It failed, and may have run.
    Failed,
}

/// A job as it is kept.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Record {
    /// The name of its class; numbers differ between configurations.
    pub class: String,
    /// What lets a repeat be known, where the client gave it.
    pub key: Option<String>,
    /// Digest of what was asked for.
    pub digest: [u8; 32],
    /// How far it has come.
    pub stage: Stage,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
    /// When its client stops waiting, in milliseconds of Unix time.
    pub deadline: u64,
    /// When the record expires, in milliseconds of Unix time.
    pub until: u64,
}

impl Record {
    /// Whether an attempt may have run, or may yet.
    pub fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.fate != AttemptOutcome::NeverRan)
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Nothing in a record can fail to be written to memory.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// Reads it; `None` for what this version can't read.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&version, rest) = bytes.split_first()?;
        if version != VERSION {
            None
        } else {
            postcard::from_bytes(rest).ok()
        }
    }
}

/// The key of a job's record.
pub fn job_key(id: &str) -> Vec<u8> {
    [b"j/", id.as_bytes()].concat()
}

/// The key of a job's result.
pub fn result_key(id: &str) -> Vec<u8> {
    [b"r/", id.as_bytes()].concat()
}

/// The id in a job's key.
pub fn job_id(key: &[u8]) -> Option<&str> {
    std::str::from_utf8(key.strip_prefix(b"j/")?).ok()
}

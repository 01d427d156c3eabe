//! The stored form of a request: postcard behind a byte with the version of the format.
//!
//! Postcard writes fields and variants by their order, so a new name is free and a new order isn't.

use serde::{Deserialize, Serialize};

/// The format version that this program writes and reads.
const FORMAT_VERSION: u8 = 1;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum AttemptOutcome {
    /// No end was reported: after a restart it may have run, be running or be done.
    InFlight,
    /// It never ran.
    NeverRan,
    /// It ended, and may have run.
    MayHaveRun,
}

/// An attempt: one sending of a request to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// The worker's id in the worker list.
    pub worker: String,
    /// What is known of the attempt.
    pub outcome: AttemptOutcome,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Stage {
    /// It has no final answer in the log.
    Pending,
    /// It was served.
    Served {
        /// Whether its result is stored beside the record.
        result_stored: bool,
    },
    /// It failed, and may have run.
    Failed,
}

/// A request in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct RequestRecord {
    /// The name of its class; the numbers of classes differ between configurations.
    pub class: String,
    /// The idempotency key, where the client gave one.
    pub idempotency_key: Option<String>,
    /// Digest of the request's content.
    pub digest: [u8; 32],
    /// How far the request has come.
    pub stage: Stage,
    /// Its attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// When its client stops waiting, in milliseconds of Unix time.
    pub deadline_ms: u64,
    /// When the record expires, in milliseconds of Unix time.
    pub expires_at_ms: u64,
}

impl RequestRecord {
    /// Whether an attempt may have run, or may run yet.
    pub fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome != AttemptOutcome::NeverRan)
    }

    /// Whether the end of an attempt is unknown.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::InFlight)
    }

    /// Returns the stored form.
    pub fn encode(&self) -> Vec<u8> {
        // No field of a record can fail to be written to memory.
        postcard::to_extend(self, vec![FORMAT_VERSION]).unwrap_or_default()
    }

    /// Reads the stored form; `None` if it is damaged or of another version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&version, rest) = bytes.split_first()?;
        if version != FORMAT_VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }
}

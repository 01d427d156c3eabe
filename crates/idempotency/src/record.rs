//! The stored form of a request: a byte with the version of the format, then the record, encoded
//! with postcard.
//!
//! Postcard identifies fields and enum variants by their order, so they may be renamed but not
//! reordered.

use crate::callback::Completion;
use serde::{Deserialize, Serialize};

/// The format version that this program writes and reads.
const FORMAT_VERSION: u8 = 1;

/// What is known about the end of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum AttemptOutcome {
    /// No end was reported. After a restart the attempt may not have started, may be running or may
    /// have ended.
    InFlight,
    /// The attempt never ran.
    NeverRan,
    /// The attempt ended, and may have run.
    MayHaveRun,
}

/// An attempt: one transmission of a request to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Attempt {
    /// The worker's id in the worker list.
    pub worker: String,
    /// What is known about the end of the attempt.
    pub outcome: AttemptOutcome,
}

/// The stage of a request.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Stage {
    /// No final answer of the request has been recorded.
    Pending,
    /// The request was served.
    Served {
        /// Whether its result is stored in addition to the record.
        result_stored: bool,
    },
    /// The request failed, and may have run.
    Failed,
}

/// The record of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct RequestRecord {
    /// The name of the request's class. The name is stored because the numbers of classes differ
    /// between configurations.
    pub class: String,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<String>,
    /// Digest of the request's content.
    pub digest: [u8; 32],
    /// The stage of the request.
    pub stage: Stage,
    /// The attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// The client's deadline, in milliseconds of Unix time.
    pub deadline_ms: u64,
    /// When the record expires, in milliseconds of Unix time.
    pub expires_at_ms: u64,
}

impl RequestRecord {
    /// Whether an attempt may have run, or may still run.
    pub fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome != AttemptOutcome::NeverRan)
    }

    /// Returns the number of the attempt that a worker's callback ends: the worker's last one that
    /// is in flight, since it has at most one attempt of a request at a time.
    ///
    /// Returns `None` if there is no such attempt, or if the callback may be about an earlier one:
    /// a worker repeats a callback until it is acknowledged. It gets a further attempt only after
    /// one that never ran, and of the callbacks only `Returned` ends an attempt that never ran.
    pub(crate) fn attempt_of_callback(
        &self,
        worker: &str,
        completion: Completion<'_>,
    ) -> Option<usize> {
        let number = self.attempts.iter().rposition(|attempt| {
            attempt.worker == worker && attempt.outcome == AttemptOutcome::InFlight
        })?;
        let never_ran = |attempt: &Attempt| {
            attempt.worker == worker && attempt.outcome == AttemptOutcome::NeverRan
        };
        let may_be_repeated =
            completion == Completion::Returned && self.attempts[..number].iter().any(never_ran);
        (!may_be_repeated).then_some(number)
    }

    /// Whether the end of any attempt is unknown.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.outcome == AttemptOutcome::InFlight)
    }

    /// Returns the stored form.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding can't fail: it is done in memory, and postcard supports the types of all fields.
        postcard::to_extend(self, vec![FORMAT_VERSION]).unwrap_or_default()
    }

    /// Decodes the stored form; `None` if it is damaged or of another version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (&version, rest) = bytes.split_first()?;
        if version != FORMAT_VERSION {
            return None;
        }
        postcard::from_bytes(rest).ok()
    }
}

//! What is recorded of requests beyond the life of this process: the durability of each class, the
//! request log, and what identifies a request in it. No I/O.

use crate::decision::interface::{Effect, Settings};
use crate::net::messages::Submission;
use postproxy_idempotency::{RequestIdentity, RequestLog};
use sha2::{Digest, Sha256};

/// How durably the requests of a class are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Not at all: they may run again.
    None,
    /// Recorded, without waiting for the write.
    Relaxed,
    /// No attempt is sent before its record is durable.
    Durable,
}

/// What is recorded, and how.
#[derive(Debug)]
pub struct DurabilityPolicy {
    /// The recorded requests.
    pub request_log: RequestLog,
    /// Durability by the index of the class.
    by_class: Vec<Durability>,
    /// How long the record of an attempt may take to become durable, in seconds, before its request
    /// is rejected.
    pub write_timeout: f64,
    /// Retry-After of a request that is rejected for want of a working store, in seconds; 0 where
    /// settings allow no advice.
    pub retry_after: f64,
    /// Whether the store accepts no writes.
    pub store_failed: bool,
}

/// Retry-After of a request that is rejected for want of a working store, in seconds, unless
/// settings allow only less. Short, since a store that fails does so mostly for a moment.
const STORE_RETRY_AFTER_SECONDS: f64 = 1.0;

impl DurabilityPolicy {
    /// Returns the policy that follows from the effect of each class: safe requests are not
    /// recorded, those that must not run twice durably, and those with an idempotency key with the
    /// durability `keyed`.
    ///
    /// `write_timeout` is in seconds.
    pub fn new(
        settings: &Settings,
        request_log: RequestLog,
        write_timeout: f64,
        keyed: Durability,
    ) -> Self {
        let durability = |effect: Effect| match effect {
            Effect::Idempotent => Durability::None,
            Effect::IdempotentByKey => keyed,
            Effect::NotIdempotent => Durability::Durable,
        };
        let by_class = settings
            .classes
            .iter()
            .map(|class| durability(class.effect))
            .collect();
        Self {
            request_log,
            by_class,
            write_timeout,
            retry_after: STORE_RETRY_AFTER_SECONDS.min(settings.max_retry_after),
            store_failed: false,
        }
    }

    /// Returns the durability of the class with this index.
    pub fn class_durability(&self, class: u8) -> Durability {
        self.by_class
            .get(class as usize)
            .copied()
            .unwrap_or(Durability::None)
    }
}

/// What identifies a request in the request log: its names, and a digest of what it asks for.
#[derive(Debug)]
pub struct RequestFingerprint {
    id: String,
    idempotency_key: Option<String>,
    /// Name of the class: indices differ between configurations.
    class: String,
    digest: [u8; 32],
}

impl RequestFingerprint {
    /// Returns the fingerprint of a submitted request.
    pub fn new(submission: &Submission, settings: &Settings) -> Self {
        let payload = &submission.payload;
        let mut digest = Sha256::new();
        for part in [
            payload.method.as_bytes(),
            payload.target.as_bytes(),
            &payload.body,
        ] {
            // The length of each part, so that no byte can move from one part to the next.
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let class = settings.classes.get(submission.class as usize);
        Self {
            id: payload.id.clone(),
            idempotency_key: payload.idempotency_key.clone(),
            class: class.map(|class| class.name.clone()).unwrap_or_default(),
            digest: digest.finalize().into(),
        }
    }

    /// Returns the SHA-256 digest of method, target and body.
    pub fn digest(&self) -> &[u8; 32] {
        &self.digest
    }

    /// Returns the fingerprint in the form that the request log expects.
    pub fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            id: &self.id,
            idempotency_key: self.idempotency_key.as_deref(),
            class: &self.class,
            digest: self.digest,
        }
    }
}

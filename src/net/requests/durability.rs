//! Recording of requests beyond the lifetime of this process: the durability of each class, the
//! request log, and the identity of a request in it. No I/O.

use crate::decision::interface::{Effect, Settings};
use crate::net::messages::Submission;
use postproxy_idempotency::{RequestIdentity, RequestLog};
use sha2::{Digest, Sha256};

/// How durably the requests of a class are recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Not recorded; a repeated request may run again.
    None,
    /// Recorded, but attempts don't wait for the write.
    Relaxed,
    /// No attempt is sent before its record is durable.
    Durable,
}

/// Which requests are recorded, and how durably.
#[derive(Debug)]
pub struct DurabilityPolicy {
    /// The recorded requests.
    pub request_log: RequestLog,
    /// Durability by the index of the class.
    by_class: Vec<Durability>,
    /// How long the record of an attempt may take to become durable, in seconds, before its request
    /// is rejected.
    pub write_timeout: f64,
    /// Retry-After in seconds for requests that are rejected because they can't be recorded; 0 if
    /// the settings allow no Retry-After.
    pub retry_after: f64,
    /// Whether the store currently refuses writes.
    pub store_failed: bool,
}

/// Retry-After in seconds for requests that are rejected because they can't be recorded, unless the
/// settings impose a lower maximum. Short, because most store failures are brief.
const STORE_RETRY_AFTER_SECONDS: f64 = 1.0;

impl DurabilityPolicy {
    /// Derives the policy from the effect of each class: idempotent requests are not recorded,
    /// requests that must not run twice are recorded durably, and requests that are idempotent by
    /// key are recorded with the durability `keyed`.
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

/// Identity of a request in the request log: its id, idempotency key and class, and a digest of its
/// content.
#[derive(Debug)]
pub struct RequestFingerprint {
    id: String,
    idempotency_key: Option<String>,
    /// Name of the class, since indices differ between configurations.
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
            // Each part is prefixed with its length, so that moving bytes from one part to the next
            // changes the digest.
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

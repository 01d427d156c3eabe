//! What the hub keeps of jobs beyond the node's life: which care each class is owed, and the ledger. No I/O.

use crate::decision::interface::{Effect, Settings};
use crate::net::messages::Submission;
use postproxy_idempotency::{RequestIdentity, RequestLog};
use sha2::{Digest, Sha256};

/// The care that a class is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Nothing of its jobs is kept: they may run again.
    None,
    /// What is kept is written without waiting for it.
    Relaxed,
    /// No attempt is sent before it is durable that it will be.
    Durable,
}

/// What is kept, and how.
#[derive(Debug)]
pub struct DurabilityPolicy {
    /// The jobs.
    pub ledger: RequestLog,
    /// The care by class.
    care: Vec<Durability>,
    /// How long an intent may take to become durable, in seconds, before its job is refused.
    pub patience: f64,
    /// When to come back after a refusal for want of a disk, in seconds; 0 where the settings allow no advice.
    pub retry_after: f64,
    /// The disk takes no writes.
    pub broken: bool,
}

/// When a client should come back whose job the disk had no room for, in seconds; the settings may allow less.
const COME_BACK: f64 = 1.0;

impl DurabilityPolicy {
    /// Classes that must not run twice are owed durable intents; keyed ones, too, where that is asked for.
    pub fn new(
        settings: &Settings,
        ledger: RequestLog,
        patience: f64,
        keyed_durable: bool,
    ) -> Self {
        let keyed = if keyed_durable {
            Durability::Durable
        } else {
            Durability::Relaxed
        };
        let care = |effect: Effect| match effect {
            Effect::Idempotent => Durability::None,
            Effect::IdempotentByKey => keyed,
            Effect::NotIdempotent => Durability::Durable,
        };
        let care = settings
            .classes
            .iter()
            .map(|class| care(class.effect))
            .collect();
        let retry_after = COME_BACK.min(settings.max_retry_after);
        Self {
            ledger,
            care,
            patience,
            retry_after,
            broken: false,
        }
    }

    /// The care that a class is owed.
    pub fn care(&self, class: u8) -> Durability {
        self.care
            .get(class as usize)
            .copied()
            .unwrap_or(Durability::None)
    }
}

/// A job's names and digest, as they are kept.
#[derive(Debug)]
pub struct RequestFingerprint {
    id: String,
    key: Option<String>,
    class: String,
    digest: [u8; 32],
}

impl RequestFingerprint {
    /// Those of a submission.
    pub fn new(submission: &Submission, settings: &Settings) -> Self {
        let payload = &submission.payload;
        let mut digest = Sha256::new();
        for part in [
            payload.method.as_bytes(),
            payload.target.as_bytes(),
            &payload.body,
        ] {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        }
        let class = settings.classes.get(submission.class as usize);
        Self {
            id: payload.id.clone(),
            key: payload.idempotency_key.clone(),
            class: class.map(|class| class.name.clone()).unwrap_or_default(),
            digest: digest.finalize().into(),
        }
    }

    /// Digest of what is asked for.
    pub fn digest(&self) -> &[u8; 32] {
        &self.digest
    }

    /// As the ledger takes it.
    pub fn asked(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            id: &self.id,
            key: self.key.as_deref(),
            class: &self.class,
            digest: self.digest,
        }
    }
}

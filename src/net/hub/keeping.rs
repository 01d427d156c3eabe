//! What the hub keeps of jobs beyond the node's life: which care each class is owed, and the ledger. No I/O.

use crate::interface::{Effect, Settings};
use crate::net::words::Submission;
use postproxy_ledger::{Asked, Ledger};
use sha2::{Digest, Sha256};

/// The care that a class is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Care {
    /// Nothing of its jobs is kept: they may run again.
    None,
    /// What is kept is written without waiting for it.
    Relaxed,
    /// No attempt is sent before it is durable that it will be.
    Durable,
}

/// What is kept, and how.
#[derive(Debug)]
pub struct Keeping {
    /// The jobs.
    pub ledger: Ledger,
    /// The care by class.
    care: Vec<Care>,
    /// How long an intent may take to become durable, in seconds, before its job is refused.
    pub patience: f64,
    /// When to come back after a refusal for want of a disk, in seconds; 0 where the settings allow no advice.
    pub retry_after: f64,
    /// The disk takes no writes.
    pub broken: bool,
}

/// When a client should come back whose job the disk had no room for, in seconds; the settings may allow less.
const COME_BACK: f64 = 1.0;

impl Keeping {
    /// Classes that must not run twice are owed durable intents; keyed ones, too, where that is asked for.
    pub fn new(settings: &Settings, ledger: Ledger, patience: f64, keyed_durable: bool) -> Self {
        let keyed = if keyed_durable { Care::Durable } else { Care::Relaxed };
        let care = |effect: Effect| match effect {
            Effect::Safe => Care::None,
            Effect::Keyed => keyed,
            Effect::Unsafe => Care::Durable,
        };
        let care = settings.classes.iter().map(|class| care(class.effect)).collect();
        let retry_after = COME_BACK.min(settings.max_retry_after);
        Self { ledger, care, patience, retry_after, broken: false }
    }

    /// The care that a class is owed.
    pub fn care(&self, class: u8) -> Care {
        self.care.get(class as usize).copied().unwrap_or(Care::None)
    }
}

/// A job's names and digest, as they are kept.
#[derive(Debug)]
pub struct Asker {
    id: String,
    key: Option<String>,
    class: String,
    digest: [u8; 32],
}

impl Asker {
    /// Those of a submission.
    pub fn new(submission: &Submission, settings: &Settings) -> Self {
        let payload = &submission.payload;
        let mut digest = Sha256::new();
        for part in [payload.method.as_bytes(), payload.target.as_bytes(), &payload.body] {
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
    pub fn asked(&self) -> Asked<'_> {
        Asked { id: &self.id, key: self.key.as_deref(), class: &self.class, digest: self.digest }
    }
}

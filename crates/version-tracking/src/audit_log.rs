//! The audit log of a node: the versions that it has acted on, each entry chained to those before
//! it by its hash.

use crate::version::{VersionKind, VersionRecord};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::VecDeque;

/// The fewest entries that a log keeps: compaction merges two.
const MIN_ENTRIES: usize = 2;
/// The hash before the first entry.
const INITIAL_HASH: [u8; 32] = [0; 32];

/// Where a node got a version from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The node's own source: discovery, a file, the build.
    Own,
    /// The node with this name, which passed it on.
    Peer(String),
}

/// What an entry records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AuditEvent {
    /// The process started: the log has nothing from before.
    #[serde(rename = "began")]
    Started,
    /// The node acts on this version from now on. The fields have no names because this is a list
    /// in JSON.
    Adopted(VersionKind, VersionRecord, Source),
    /// This many entries were merged into this one; only their hash is left.
    #[serde(rename = "folded")]
    Compacted(u64),
}

/// An entry of the audit log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// The number of the entry, from 1 on. It is also the number of the view under which the node
    /// acts from here on.
    pub view: u64,
    /// Unix time in milliseconds by this node's clock; for readers, not for ordering.
    pub at_ms: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub event: AuditEvent,
    /// How many actions the node took under the view before.
    #[serde(rename = "acts")]
    pub action_count: u64,
    /// Hash of this entry and all before it.
    pub hash: [u8; 32],
}

impl AuditEntry {
    /// Returns the hash that this entry must have after an entry with the hash `previous`.
    ///
    /// The hashed bytes are the postcard encoding of the other fields in their order.
    fn expected_hash(&self, previous: &[u8; 32]) -> [u8; 32] {
        let fields = (self.view, self.at_ms, &self.event, self.action_count);
        let mut hasher = Sha256::new();
        hasher.update(previous);
        hasher.update(postcard::to_stdvec(&fields).unwrap_or_default());
        hasher.finalize().into()
    }

    /// Whether this entry can come directly after `previous`, or be the first one.
    fn follows(&self, previous: Option<&Self>) -> bool {
        match (previous, &self.event) {
            // The hash of a compacted entry covers entries that are gone, so that it can't be
            // checked itself.
            (None, AuditEvent::Compacted(_)) => true,
            (None, _) => self.hash == self.expected_hash(&INITIAL_HASH),
            (Some(_), AuditEvent::Compacted(_)) => false,
            (Some(previous), _) => {
                self.view == previous.view + 1 && self.hash == self.expected_hash(&previous.hash)
            }
        }
    }
}

/// The hashes of an audit log don't chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the trail does not hold together at view {view}")]
pub struct BrokenChain {
    /// The view of the first entry that doesn't follow from the one before.
    pub view: u64,
}

/// The audit log of a node since its process started.
#[derive(Clone, Debug, Default)]
pub struct AuditLog {
    entries: VecDeque<AuditEntry>,
    max_entries: usize,
    view: u64,
    /// Actions under the latest view.
    open_action_count: u64,
}

impl AuditLog {
    /// Returns a log that starts now and keeps at most `max_entries` entries, but two at least.
    pub fn new(at_ms: u64, max_entries: usize) -> Self {
        let mut log = Self {
            max_entries: max_entries.max(MIN_ENTRIES),
            ..Self::default()
        };
        log.push(at_ms, AuditEvent::Started);
        log
    }

    /// Records that the node acts on this version from now on.
    pub fn record_adoption(
        &mut self,
        at_ms: u64,
        kind: VersionKind,
        version: VersionRecord,
        source: Source,
    ) {
        self.push(at_ms, AuditEvent::Adopted(kind, version, source));
    }

    /// Counts actions under the latest view.
    pub fn count_actions(&mut self, action_count: u64) {
        self.open_action_count += action_count;
    }

    /// Returns the number of the view under which the node acts.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// Returns the hash of the latest entry, which covers the whole log.
    pub fn head_hash(&self) -> [u8; 32] {
        self.entries
            .back()
            .map(|entry| entry.hash)
            .unwrap_or_default()
    }

    /// Returns the entries that are left, the oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    /// Returns the number of actions under the latest view, which no entry has yet.
    pub fn open_action_count(&self) -> u64 {
        self.open_action_count
    }

    /// Checks that each entry follows from the one before it.
    ///
    /// # Errors
    ///
    /// [`BrokenChain`] with the first entry that doesn't.
    pub fn verify<'a>(
        entries: impl IntoIterator<Item = &'a AuditEntry>,
    ) -> Result<(), BrokenChain> {
        let mut previous = None;
        for entry in entries {
            if !entry.follows(previous) {
                return Err(BrokenChain { view: entry.view });
            }
            previous = Some(entry);
        }
        Ok(())
    }

    fn push(&mut self, at_ms: u64, event: AuditEvent) {
        let previous_hash = self.head_hash();
        self.view += 1;
        let mut entry = AuditEntry {
            view: self.view,
            at_ms,
            event,
            action_count: std::mem::take(&mut self.open_action_count),
            hash: INITIAL_HASH,
        };
        entry.hash = entry.expected_hash(&previous_hash);
        self.entries.push_back(entry);
        if self.entries.len() > self.max_entries {
            self.compact();
        }
    }

    /// Merges the two oldest entries into one that keeps the later one's hash, so that the next
    /// entry still follows.
    fn compact(&mut self) {
        let Some(oldest) = self.entries.pop_front() else {
            return;
        };
        let Some(next) = self.entries.front_mut() else {
            return;
        };
        let merged_count = if let AuditEvent::Compacted(count) = oldest.event {
            count + 1
        } else {
            2
        };
        next.event = AuditEvent::Compacted(merged_count);
        next.action_count += oldest.action_count;
    }
}

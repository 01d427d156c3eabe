//! The audit log of a node: the versions that it has acted on. The hash of each entry covers the
//! entries before it.

use crate::version::{VersionKind, VersionRecord};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::VecDeque;

/// Minimum number of entries that a log can be limited to, since compaction merges two.
const MIN_ENTRIES: usize = 2;

/// Hash that the first entry is chained to.
const INITIAL_HASH: [u8; 32] = [0; 32];

/// Where a node got a version from.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The node's own source: discovery, a file or the build.
    Own,
    /// The node with this name, which sent the content.
    Peer(String),
}

/// What an entry records.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AuditEvent {
    /// The process started. The log contains nothing from before its start.
    #[serde(rename = "began")]
    Started,
    /// The node acts on this version from now on. The fields are unnamed because their JSON is a
    /// list.
    Adopted(VersionKind, VersionRecord, Source),
    /// This many entries were merged into this one, which keeps the hash of the last of them and
    /// the sum of their actions.
    #[serde(rename = "folded")]
    Compacted(u64),
}

/// An entry of the audit log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// The number of the entry, counted from 1. It is also the number of the view under which the
    /// node acts from this entry on.
    pub view: u64,
    /// Unix time in milliseconds by this node's clock. Informational; not used for ordering.
    pub at_ms: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub event: AuditEvent,
    /// Number of actions that the node took under the previous view.
    #[serde(rename = "acts")]
    pub action_count: u64,
    /// Hash of this entry and all entries before it.
    pub hash: [u8; 32],
}

impl AuditEntry {
    /// Returns the hash that this entry must have after an entry with the hash `previous`.
    ///
    /// It is the SHA-256 hash of `previous` and the postcard encoding of the other fields in their
    /// order.
    fn expected_hash(&self, previous: &[u8; 32]) -> [u8; 32] {
        let fields = (self.view, self.at_ms, &self.event, self.action_count);
        let mut hasher = Sha256::new();
        hasher.update(previous);
        hasher.update(postcard::to_stdvec(&fields).unwrap_or_default());
        hasher.finalize().into()
    }

    /// Returns whether this entry can come directly after `previous`, or be the oldest one if that
    /// is `None`.
    fn follows(&self, previous: Option<&Self>) -> bool {
        match (previous, &self.event) {
            // The hash of a compacted entry covers entries that are no longer there, so that it
            // can't be checked.
            (None, AuditEvent::Compacted(_)) => true,
            (None, _) => self.hash == self.expected_hash(&INITIAL_HASH),
            (Some(_), AuditEvent::Compacted(_)) => false,
            (Some(previous), _) => {
                self.view == previous.view + 1 && self.hash == self.expected_hash(&previous.hash)
            }
        }
    }
}

/// An entry of an audit log does not follow from the one before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the hash chain of the audit log is broken at view {view}")]
pub struct BrokenChain {
    /// The view of the first such entry.
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
    /// Returns a log that starts now and keeps at most `max_entries` entries. A limit below two
    /// counts as two.
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

    /// Returns the hash of the latest entry, which covers all entries.
    pub fn head_hash(&self) -> [u8; 32] {
        self.entries
            .back()
            .map(|entry| entry.hash)
            .unwrap_or_default()
    }

    /// Returns the entries that the log still contains, the oldest first.
    pub fn entries(&self) -> impl Iterator<Item = &AuditEntry> {
        self.entries.iter()
    }

    /// Returns the number of actions under the latest view, which the next entry will record.
    pub fn open_action_count(&self) -> u64 {
        self.open_action_count
    }

    /// Checks that each entry follows from the one before it.
    ///
    /// # Errors
    ///
    /// [`BrokenChain`] with the view of the first entry that does not.
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

    /// Merges the two oldest entries. The result keeps the hash of the later one, so that the next
    /// entry still follows from it.
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

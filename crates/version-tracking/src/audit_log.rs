//! What a node has held, one record after another, each with the hash of those before it.

use crate::version::{Kind, VersionRecord};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::VecDeque;
use std::fmt;

/// Whence a version came.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// Its own source: discovery, the file, the build.
    Own,
    /// Another node, which passed it on.
    Peer(String),
}

/// What a record says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum AuditEvent {
    /// The node began: what was before is not known from here on.
    Began,
    /// It acts on this version from now on.
    Adopted(Kind, VersionRecord, Source),
    /// So many records are gone, this one's own text among them; what was in them is in their hash alone.
    Folded(u64),
}

/// A record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditEntry {
    /// Its number, from 1 on; the same number is the view that the node acts under from here on.
    pub view: u64,
    /// Unix time in milliseconds, by this node's clock; for people, not for order.
    pub at_ms: u64,
    /// See [`AuditEvent`].
    pub what: AuditEvent,
    /// Acts under the view before.
    pub acts: u64,
    /// The hash of all before, and of this.
    pub hash: [u8; 32],
}

/// A trail does not hold together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenChain {
    /// At the record of this view.
    pub view: u64,
}

impl fmt::Display for BrokenChain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the trail does not hold together at view {}", self.view)
    }
}

impl std::error::Error for BrokenChain {}

/// A node's trail in this life of its process.
#[derive(Clone, Debug, Default)]
pub struct AuditLog {
    records: VecDeque<AuditEntry>,
    most: usize,
    view: u64,
    /// Acts under this view.
    acts: u64,
}

fn hash(before: &[u8; 32], view: u64, at_ms: u64, what: &AuditEvent, acts: u64) -> [u8; 32] {
    let mut sum = Sha256::new();
    sum.update(before);
    sum.update(postcard::to_stdvec(&(view, at_ms, what, acts)).unwrap_or_default());
    sum.finalize().into()
}

impl AuditLog {
    /// One that begins now, and holds so many records.
    pub fn new(at_ms: u64, most: usize) -> Self {
        let mut trail = Self {
            most: most.max(2),
            ..Self::default()
        };
        trail.push(at_ms, AuditEvent::Began);
        trail
    }

    fn push(&mut self, at_ms: u64, what: AuditEvent) {
        let before = self.head();
        self.view += 1;
        let acts = std::mem::take(&mut self.acts);
        let hash = hash(&before, self.view, at_ms, &what, acts);
        self.records.push_back(AuditEntry {
            view: self.view,
            at_ms,
            what,
            acts,
            hash,
        });
        if self.records.len() > self.most {
            self.fold();
        }
    }

    /// The two oldest become one that says how many are gone; its hash is the later one's, so that what follows still fits.
    fn fold(&mut self) {
        let (Some(oldest), Some(next)) = (self.records.pop_front(), self.records.front_mut())
        else {
            return;
        };
        let gone = if let AuditEvent::Folded(count) = oldest.what {
            count + 1
        } else {
            2
        };
        next.what = AuditEvent::Folded(gone);
        next.acts += oldest.acts;
    }

    /// A version is held from now on.
    pub fn adopted(&mut self, at_ms: u64, kind: Kind, stand: VersionRecord, source: Source) {
        self.push(at_ms, AuditEvent::Adopted(kind, stand, source));
    }

    /// Something left the node that has an effect.
    pub fn act(&mut self, acts: u64) {
        self.acts += acts;
    }

    /// The view that it acts under.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// The hash of all so far.
    pub fn head(&self) -> [u8; 32] {
        self.records
            .back()
            .map(|record| record.hash)
            .unwrap_or_default()
    }

    /// All records that are left, and the acts under the latest view.
    pub fn records(&self) -> (impl Iterator<Item = &AuditEntry>, u64) {
        (self.records.iter(), self.acts)
    }

    /// Whether records follow from each other.
    ///
    /// # Errors
    ///
    /// At the first that does not.
    pub fn check<'a>(records: impl IntoIterator<Item = &'a AuditEntry>) -> Result<(), BrokenChain> {
        let mut before: Option<&AuditEntry> = None;
        for record in records {
            let follows = match (before, &record.what) {
                (None, AuditEvent::Folded(_)) => true,
                (None, _) => {
                    record.hash
                        == hash(
                            &[0; 32],
                            record.view,
                            record.at_ms,
                            &record.what,
                            record.acts,
                        )
                }
                (Some(_), AuditEvent::Folded(_)) => false,
                (Some(before), _) => {
                    let own = hash(
                        &before.hash,
                        record.view,
                        record.at_ms,
                        &record.what,
                        record.acts,
                    );
                    record.view == before.view + 1 && record.hash == own
                }
            };
            if !follows {
                return Err(BrokenChain { view: record.view });
            }
            before = Some(record);
        }
        Ok(())
    }
}

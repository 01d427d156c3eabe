//! Worker lists that leave this process: the snapshot in JSON for the store and for the sibling
//! process, and the binary list that nodes pass on to each other.

use super::list::{DiscoveryList, WorkerRecord, WorkerRecords, digest_of, index_by_id};
use postproxy_version_tracking::Digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The full list that a process last held, and the discovery whose revisions it counts in.
#[derive(Debug, Deserialize, Serialize)]
#[serde(expecting = "struct Kept")]
pub struct WorkerListSnapshot {
    pub(super) discovery: SocketAddr,
    pub(super) revision: u64,
    #[serde(rename = "members")]
    pub(super) records: Vec<WorkerRecord>,
}

impl WorkerListSnapshot {
    /// Reads a snapshot from JSON; `None` if the text isn't one.
    pub fn from_json(text: &[u8]) -> Option<Self> {
        serde_json::from_slice(text).ok()
    }

    /// Returns the list to start with: this snapshot or the configured list, whichever is newer.
    /// Revisions of another discovery can't be compared; a snapshot of such a one counts only if
    /// the configuration names no worker.
    pub fn select_initial_list(
        self,
        configured: Option<DiscoveryList>,
        discovery: SocketAddr,
    ) -> Option<DiscoveryList> {
        let use_snapshot = match &configured {
            Some(configured) if !configured.records.is_empty() => {
                self.discovery == discovery && self.revision > configured.revision
            }
            _ => !self.records.is_empty(),
        };
        if use_snapshot {
            Some(self.into_list())
        } else {
            configured
        }
    }

    /// The snapshot as a full list.
    pub(super) fn into_list(self) -> DiscoveryList {
        DiscoveryList {
            revision: self.revision,
            complete: true,
            records: self.records,
        }
    }
}

/// A list that another node passed on because it is newer than what discovery has answered here.
pub(super) struct PeerList {
    pub(super) revision: u64,
    pub(super) digest: Digest,
    pub(super) records: WorkerRecords,
}

impl PeerList {
    /// Reads a list that was written by [`encode_for_peer`]; `None` if the bytes aren't one, or
    /// don't match their digest.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (revision, digest, records): (u64, Digest, Vec<WorkerRecord>) =
            postcard::from_bytes(bytes).ok()?;
        (digest_of(&records) == digest).then(|| Self {
            revision,
            digest,
            records: index_by_id(records),
        })
    }
}

/// Writes a list for other nodes: its revision, its digest and its records, in postcard.
pub(super) fn encode_for_peer(
    revision: u64,
    digest: Digest,
    records: &WorkerRecords,
) -> Option<Vec<u8>> {
    let records: Vec<&WorkerRecord> = records.values().collect();
    postcard::to_stdvec(&(revision, digest, records)).ok()
}

//! Encodings of the worker list: the JSON snapshot for the store and for the sibling process, and
//! the binary form in which nodes send it to each other.

use super::list::{DiscoveryList, WorkerRecord, WorkerRecords, digest_of, index_by_id};
use postproxy_version_tracking::Digest;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The full list that a process last held, and the discovery that its revision belongs to.
#[derive(Debug, Deserialize, Serialize)]
#[serde(expecting = "a stored worker list object")]
pub struct WorkerListSnapshot {
    pub(super) discovery: SocketAddr,
    pub(super) revision: u64,
    #[serde(rename = "members")]
    pub(super) records: Vec<WorkerRecord>,
}

impl WorkerListSnapshot {
    /// Parses a snapshot from JSON; `None` if the text is not a snapshot.
    pub fn from_json(text: &[u8]) -> Option<Self> {
        serde_json::from_slice(text).ok()
    }

    /// Returns the list to start with: this snapshot or the configured list, whichever is newer.
    /// Revisions of different discoveries can't be compared, so a snapshot from another one is used
    /// only if the configuration lists no workers.
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

    /// Converts the snapshot to a full list.
    pub(super) fn into_list(self) -> DiscoveryList {
        DiscoveryList {
            revision: self.revision,
            complete: true,
            records: self.records,
        }
    }
}

/// A list from another node that is newer than discovery's last answer to this node.
pub(super) struct PeerList {
    pub(super) revision: u64,
    pub(super) digest: Digest,
    pub(super) records: WorkerRecords,
}

impl PeerList {
    /// Decodes a list that was encoded by [`encode_for_peer`]; `None` if the bytes are malformed or
    /// don't match the digest.
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

/// Encodes a list for other nodes: its revision, digest and records, in the postcard format.
pub(super) fn encode_for_peer(
    revision: u64,
    digest: Digest,
    records: &WorkerRecords,
) -> Option<Vec<u8>> {
    let records: Vec<&WorkerRecord> = records.values().collect();
    postcard::to_stdvec(&(revision, digest, records)).ok()
}

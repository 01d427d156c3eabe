//! The data of a worker list: discovery's JSON format, its conversion for the dispatcher, and the
//! digest of a version.

use crate::decision::affinity;
use crate::decision::interface::{Entry, Health, NO_CELL, NO_ZONE, Settings};
use crate::net::messages::ListedWorker;
use postproxy_version_tracking::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The phase of a worker that takes requests, as discovery spells it.
const IN_SERVICE: &str = "in_service";
/// The phase of a worker that no longer exists, as discovery spells it.
const TERMINATED: &str = "terminated";

/// Worker records by worker id.
pub(super) type WorkerRecords = BTreeMap<String, WorkerRecord>;

/// One worker as discovery describes it and as nodes describe it to each other.
///
/// The field names are keys of discovery's JSON and of the stored snapshot; their order and types
/// are those of the binary list between nodes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(expecting = "an object in `members`")]
pub(super) struct WorkerRecord {
    pub(super) id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default = "no_cell")]
    cell: u16,
    phase: String,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn no_cell() -> u16 {
    NO_CELL
}

impl WorkerRecord {
    /// Whether the worker no longer exists.
    pub(super) fn is_terminated(&self) -> bool {
        self.phase == TERMINATED
    }

    /// Returns this worker as `newer` describes it, with the address that this node knows. A worker
    /// that is missing in `newer` has been terminated.
    pub(super) fn updated_from(&self, newer: &WorkerRecords) -> Self {
        match newer.get(&self.id) {
            Some(record) => Self {
                host_port: self.host_port.clone(),
                ..record.clone()
            },
            None => Self {
                phase: TERMINATED.to_owned(),
                ..self.clone()
            },
        }
    }

    /// Returns the text that represents this worker in the digest of a version. The address is left
    /// out: nodes may reach the same worker at different addresses.
    fn digest_line(&self) -> String {
        let Self {
            id,
            locality,
            flavor,
            cell,
            phase,
            size,
            up_since_ms,
            ..
        } = self;
        format!("{id}\n{locality}\n{flavor}\n{cell}\n{phase}\n{size}\n{up_since_ms}")
    }

    /// Converts the record for the dispatcher; `None` without a usable address.
    fn into_worker(self, settings: &Settings) -> Option<ListedWorker> {
        let address: SocketAddr = self.host_port.parse().ok()?;
        let position = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let zone = position(&settings.zone_names, &self.locality);
        let kind = position(&settings.kind_names, &self.flavor);
        let health = match self.phase.as_str() {
            IN_SERVICE => Health::Ready,
            TERMINATED => Health::Removed,
            // A worker in an unknown phase is sent no new requests.
            _ => Health::Draining,
        };
        let entry = Entry {
            identity: affinity::hash_name(self.id.as_bytes()),
            zone: zone.map_or(NO_ZONE, |zone| zone as u8),
            kind: kind.map_or(u16::MAX, |kind| kind as u16),
            cell: self.cell,
            health,
            size: self.size,
            started: self.up_since_ms / 1000.0,
            ..Entry::default()
        };
        Some(ListedWorker {
            id: self.id,
            address,
            entry,
        })
    }
}

/// Indexes records by worker id.
pub(super) fn index_by_id(records: Vec<WorkerRecord>) -> WorkerRecords {
    records
        .into_iter()
        .map(|record| (record.id.clone(), record))
        .collect()
}

/// Returns the digest of a list's content. It depends neither on the order of the records nor on
/// the addresses of the workers.
pub(super) fn digest_of<'a>(records: impl IntoIterator<Item = &'a WorkerRecord>) -> Digest {
    let mut lines: Vec<String> = records
        .into_iter()
        .filter(|record| !record.is_terminated())
        .map(WorkerRecord::digest_line)
        .collect();
    lines.sort_unstable();
    postproxy_version_tracking::digest(lines.iter().map(String::as_bytes))
}

/// A full list, or the changes since an earlier revision, in discovery's JSON format.
#[derive(Clone, Debug, Deserialize)]
#[serde(expecting = "a worker list object")]
pub struct DiscoveryList {
    /// The revision that a node holds once it has applied this list.
    pub revision: u64,
    /// Whether this is the full list; otherwise it holds only the workers that have changed.
    pub complete: bool,
    #[serde(rename = "members")]
    pub(super) records: Vec<WorkerRecord>,
}

impl DiscoveryList {
    /// Parses a list from JSON.
    ///
    /// # Errors
    ///
    /// If the text is not JSON of this form.
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }

    /// Converts the list for the dispatcher. Workers without a usable address are left out. Times
    /// are Unix time in seconds.
    pub fn into_workers(self, settings: &Settings) -> Vec<ListedWorker> {
        self.records
            .into_iter()
            .filter_map(|record| record.into_worker(settings))
            .collect()
    }
}

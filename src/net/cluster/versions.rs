//! Version tracking of a running node: passes messages and the time to and from the state machine
//! in `postproxy-version-tracking`, and builds the management API's responses on versions.

use super::coordination::ms;
use postproxy_version_tracking::{
    AuditEntry, Event, Message, Output, PeerVersions, Settings, Source, VersionKind, VersionLine,
    VersionRecord, VersionTracker,
};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of a message with a worker list on a stream between nodes; the last byte is the version
/// of the format.
pub const WORKER_LIST_PREFIX: [u8; 3] = *b"PA\x01";

/// What the version tracking needs the node to do.
#[derive(Debug)]
pub enum VersionAction {
    /// Send these bytes in a datagram.
    Send {
        /// The receiving node's name.
        to: String,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Send the whole content that this node uses.
    SendContent {
        /// The receiving node's name.
        to: String,
        /// The kind of content.
        kind: VersionKind,
    },
}

/// A version in a response of the management API.
#[derive(Debug, Serialize)]
struct VersionStatus {
    kind: &'static str,
    generation: String,
    number: u64,
    digest: String,
    /// Difference between the highest number that this node knows of and this version's number.
    behind_by: u64,
}

/// A node's versions in a response of the management API.
#[derive(Debug, Serialize)]
struct NodeVersionsStatus<'a> {
    node: &'a str,
    /// `current`, or `behind` where another node has a newer version of the same generation.
    state: &'static str,
    /// Time since the node reported its versions, in milliseconds; 0 for the answering node.
    heard_ms: u64,
    /// Time since the answering node has known that it is behind, in milliseconds; 0 for the other
    /// nodes.
    behind_ms: u64,
    versions: Vec<VersionStatus>,
}

/// A node's audit log in a response of the management API.
#[derive(Debug, Serialize)]
struct AuditLogStatus<'a> {
    node: &'a str,
    view: u64,
    #[serde(rename = "head")]
    head_hash: String,
    /// Actions under the latest view.
    #[serde(rename = "acts")]
    action_count: u64,
    #[serde(rename = "records")]
    entries: Vec<&'a AuditEntry>,
}

/// The version tracking of a running node.
pub struct VersionService {
    tracker: VersionTracker,
    node_name: String,
}

impl VersionService {
    /// Creates the service of a node that has recorded the version of its program only.
    pub fn new(settings: Settings, node_name: &str, now: f64, seed: u64) -> Self {
        let mut tracker = VersionTracker::new(settings, ms(now), seed);
        // No peer is known yet, so there is nothing to send.
        tracker.adopt(
            ms(now),
            VersionKind::Program,
            program_version(),
            Source::Own,
            &mut Vec::new(),
        );
        Self {
            tracker,
            node_name: node_name.to_owned(),
        }
    }

    /// Returns when [`VersionService::handle_timer`] is to be called next, in seconds.
    pub fn next_timer(&self) -> f64 {
        self.tracker.next_timer_ms() as f64 / 1000.0
    }

    /// Handles the timeouts that are due.
    pub fn handle_timer(&mut self, now: f64) -> Vec<VersionAction> {
        let mut outputs = Vec::new();
        self.tracker.handle_timer(ms(now), &mut outputs);
        actions(outputs)
    }

    /// Sets the names of the other nodes.
    pub fn set_peers(&mut self, peers: BTreeSet<String>) {
        self.tracker.set_peers(peers);
    }

    /// Handles a datagram of the node `from`; one that can't be decoded is dropped.
    pub fn handle_datagram(&mut self, now: f64, from: &str, bytes: &[u8]) -> Vec<VersionAction> {
        let mut outputs = Vec::new();
        if let Ok((message, [])) = postcard::take_from_bytes::<Message>(bytes) {
            self.tracker
                .handle_message(ms(now), from, message, &mut outputs);
        }
        actions(outputs)
    }

    /// Records that the node uses this version from now on, after `action_count` actions on the one
    /// before.
    pub fn adopt(
        &mut self,
        now: f64,
        kind: VersionKind,
        version: VersionRecord,
        source: Source,
        action_count: u64,
    ) -> Vec<VersionAction> {
        let mut outputs = Vec::new();
        self.tracker.count_actions(action_count);
        self.tracker
            .adopt(ms(now), kind, version, source, &mut outputs);
        actions(outputs)
    }

    /// Returns the versions of this node and its peers as JSON, with a line feed.
    pub fn versions_json(&self, now: f64) -> String {
        let newest = self.newest_numbers();
        let lags = self.tracker.lags().values();
        let behind_ms = lags
            .map(|lag| ms(now).saturating_sub(lag.since_ms))
            .max()
            .unwrap_or(0);
        let mut nodes = vec![node_status(
            &self.node_name,
            0,
            behind_ms,
            self.tracker.versions(),
            &newest,
        )];
        for (
            name,
            PeerVersions {
                received_at_ms,
                versions,
            },
        ) in self.tracker.peer_versions()
        {
            let heard_ms = ms(now).saturating_sub(*received_at_ms);
            nodes.push(node_status(name, heard_ms, 0, versions, &newest));
        }
        to_json_line(&nodes)
    }

    /// Returns this node's audit log as JSON, with a line feed. `action_count` is the number of
    /// actions that haven't been passed to the tracker yet.
    pub fn audit_log_json(&self, action_count: u64) -> String {
        let log = self.tracker.audit_log();
        to_json_line(&AuditLogStatus {
            node: &self.node_name,
            view: log.view(),
            head_hash: hex::encode(log.head_hash()),
            action_count: log.open_action_count() + action_count,
            entries: log.entries().collect(),
        })
    }

    /// Returns the highest number that this node knows of, by kind and generation.
    fn newest_numbers(&self) -> BTreeMap<VersionLine, u64> {
        let peers = self.tracker.peer_versions().values();
        let all = peers
            .map(|peer| &peer.versions)
            .chain([self.tracker.versions()]);
        let mut newest: BTreeMap<VersionLine, u64> = BTreeMap::new();
        for (kind, version) in all.flatten() {
            let number = newest.entry(line(*kind, version)).or_default();
            *number = version.number.max(*number);
        }
        newest
    }
}

/// Returns the number of the generation that has this name.
pub fn generation(name: &str) -> u64 {
    postproxy_version_tracking::digest([name.as_bytes()])
}

/// Returns the version record of this program: its number is the version of the package, with three
/// digits for each part.
fn program_version() -> VersionRecord {
    let package = env!("CARGO_PKG_VERSION");
    let protocol = postproxy_membership::packet::VERSION;
    let number = package
        .split('.')
        .filter_map(|part| part.parse::<u64>().ok())
        .fold(0, |number, part| number * 1000 + part);
    VersionRecord {
        generation: 0,
        number,
        digest: postproxy_version_tracking::digest([package.as_bytes(), &[protocol]]),
    }
}

fn line(kind: VersionKind, version: &VersionRecord) -> VersionLine {
    VersionLine {
        kind,
        generation: version.generation,
    }
}

fn node_status<'a>(
    node: &'a str,
    heard_ms: u64,
    behind_ms: u64,
    versions: &BTreeMap<VersionKind, VersionRecord>,
    newest: &BTreeMap<VersionLine, u64>,
) -> NodeVersionsStatus<'a> {
    let version_status = |(kind, version): (&VersionKind, &VersionRecord)| VersionStatus {
        kind: kind.as_str(),
        generation: format!("{:016x}", version.generation),
        number: version.number,
        digest: format!("{:016x}", version.digest),
        behind_by: newest
            .get(&line(*kind, version))
            .map_or(0, |newest| newest - version.number),
    };
    let versions: Vec<VersionStatus> = versions.iter().map(version_status).collect();
    let is_behind = versions.iter().any(|version| version.behind_by > 0);
    NodeVersionsStatus {
        node,
        state: if is_behind { "behind" } else { "current" },
        heard_ms,
        behind_ms,
        versions,
    }
}

fn to_json_line(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default() + "\n"
}

/// Converts the tracker's outputs to actions: encodes the messages, and logs the events.
fn actions(outputs: Vec<Output>) -> Vec<VersionAction> {
    let mut actions = Vec::new();
    for output in outputs {
        match output {
            Output::Send { to, message } => actions.push(VersionAction::Send {
                to,
                bytes: postcard::to_stdvec(&message).unwrap_or_default(),
            }),
            Output::SendContent { to, kind } => {
                actions.push(VersionAction::SendContent { to, kind });
            }
            Output::Event(event) => log_event(&event),
        }
    }
    actions
}

fn log_event(event: &Event) {
    match event {
        Event::Behind {
            kind,
            peer,
            version,
        } => tracing::info!(
            kind = kind.as_str(),
            peer,
            number = version.number,
            "node is behind a peer: newer version requested"
        ),
        Event::CaughtUp {
            kind,
            source,
            version,
        } => tracing::info!(
            kind = kind.as_str(),
            ?source,
            number = version.number,
            "node caught up"
        ),
        Event::Fork {
            kind,
            peer,
            own,
            theirs,
        } => tracing::error!(
            kind = kind.as_str(),
            peer,
            number = own.number,
            digest = format!("{:016x}", own.digest),
            theirs = format!("{:016x}", theirs.digest),
            code = postproxy_version_tracking::REMEDIES[0].0,
            remedy = postproxy_version_tracking::REMEDIES[0].1,
            "version fork detected"
        ),
    }
}

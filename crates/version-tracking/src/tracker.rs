//! The version tracker of a node: its own versions, those of its peers, and the requests for newer
//! ones.

use crate::audit_log::{AuditLog, Source};
use crate::message::{Event, MAX_VERSIONS_PER_MESSAGE, Message, Output};
use crate::version::{VersionKind, VersionRecord};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unanswered request is repeated, in milliseconds.
const REQUEST_RETRY_INTERVAL_MS: u64 = 500;

/// Maximum number of audit log entries in memory.
const MAX_AUDIT_ENTRIES: usize = 1024;

/// Number of random peers that a node informs as soon as it adopts a version, so that nodes that
/// are behind learn of it before the next gossip.
const NEW_VERSION_FANOUT: usize = 2;

/// Settings of a version tracker.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Mean interval at which this node sends its versions to a random peer, in milliseconds.
    pub gossip_interval_ms: u64,
}

/// The versions that a peer reported last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerVersions {
    /// When they were received, in milliseconds.
    pub received_at_ms: u64,
    /// The versions.
    pub versions: BTreeMap<VersionKind, VersionRecord>,
}

/// Describes that this node is behind a peer in one kind of version.
#[derive(Clone, Debug)]
pub struct Lag {
    /// When this node learned that it is behind, in milliseconds.
    pub since_ms: u64,
    /// The peer that has the newer version.
    pub peer: String,
    /// The newer version.
    pub wanted: VersionRecord,
    /// When the newer version was last requested, in milliseconds.
    requested_at_ms: u64,
}

impl Lag {
    /// Returns whether the last request has been unanswered for so long that it has to be repeated.
    fn is_request_due(&self, now_ms: u64) -> bool {
        self.requested_at_ms + REQUEST_RETRY_INTERVAL_MS <= now_ms
    }

    /// Returns whether a node that acts on this version is no longer behind.
    fn is_resolved_by(&self, version: &VersionRecord) -> bool {
        self.wanted.generation != version.generation || self.wanted.number <= version.number
    }
}

/// Whether a peer is behind this node in one kind of version.
#[derive(Clone, Copy, Eq, PartialEq)]
enum PeerState {
    Behind,
    UpToDate,
}

/// The version tracker of a node. All times are in milliseconds.
#[derive(Debug)]
pub struct VersionTracker {
    settings: Settings,
    rng: Pcg64Mcg,
    versions: BTreeMap<VersionKind, VersionRecord>,
    audit_log: AuditLog,
    peers: BTreeSet<String>,
    peer_versions: BTreeMap<String, PeerVersions>,
    lags: BTreeMap<VersionKind, Lag>,
    /// The version number of the last reported fork, by kind and peer.
    reported_forks: BTreeMap<(VersionKind, String), u64>,
    next_gossip_ms: u64,
}

impl VersionTracker {
    /// Returns a tracker without any version.
    pub fn new(settings: Settings, now_ms: u64, seed: u64) -> Self {
        Self {
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            versions: BTreeMap::new(),
            audit_log: AuditLog::new(now_ms, MAX_AUDIT_ENTRIES),
            peers: BTreeSet::new(),
            peer_versions: BTreeMap::new(),
            lags: BTreeMap::new(),
            reported_forks: BTreeMap::new(),
            next_gossip_ms: now_ms,
        }
    }

    /// Returns the versions that this node acts on.
    pub fn versions(&self) -> &BTreeMap<VersionKind, VersionRecord> {
        &self.versions
    }

    /// Returns this node's audit log.
    pub fn audit_log(&self) -> &AuditLog {
        &self.audit_log
    }

    /// Returns the versions that the peers reported last, by the peers' names.
    pub fn peer_versions(&self) -> &BTreeMap<String, PeerVersions> {
        &self.peer_versions
    }

    /// Returns the kinds of version in which this node is behind.
    pub fn lags(&self) -> &BTreeMap<VersionKind, Lag> {
        &self.lags
    }

    /// Sets the names of the other nodes. What was known of nodes that are no longer among them is
    /// dropped.
    pub fn set_peers(&mut self, peers: BTreeSet<String>) {
        self.peer_versions.retain(|name, _| peers.contains(name));
        self.reported_forks
            .retain(|(_, name), _| peers.contains(name));
        self.peers = peers;
    }

    /// Counts actions of this node under the latest view.
    pub fn count_actions(&mut self, action_count: u64) {
        self.audit_log.count_actions(action_count);
    }

    /// Returns when [`VersionTracker::handle_timer`] has to be called next.
    pub fn next_timer_ms(&self) -> u64 {
        self.next_gossip_ms
    }

    /// Makes this node act on a version.
    ///
    /// **An older version never replaces a newer one of its generation**: returns `false` and
    /// changes nothing if it would.
    pub fn adopt(
        &mut self,
        now_ms: u64,
        kind: VersionKind,
        version: VersionRecord,
        source: Source,
        outputs: &mut Vec<Output>,
    ) -> bool {
        if let Some(current) = self.versions.get(&kind) {
            if current.generation == version.generation && current.number > version.number {
                return false;
            }
            if *current == version {
                return true;
            }
        }
        self.versions.insert(kind, version);
        self.audit_log
            .record_adoption(now_ms, kind, version, source.clone());
        if self
            .lags
            .get(&kind)
            .is_some_and(|lag| lag.is_resolved_by(&version))
        {
            self.lags.remove(&kind);
            outputs.push(Output::Event(Event::CaughtUp {
                kind,
                source,
                version,
            }));
        }
        for _ in 0..NEW_VERSION_FANOUT {
            self.send_versions_to_random_peer(outputs);
        }
        true
    }

    /// Sends gossip and repeats unanswered requests, if the time of
    /// [`VersionTracker::next_timer_ms`] has come.
    pub fn handle_timer(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        if now_ms < self.next_gossip_ms {
            return;
        }
        // The interval is random, so that nodes don't send at the same time.
        let interval_ms = self.settings.gossip_interval_ms;
        let jitter_ms = self.rng.next_u64() % (interval_ms / 2 + 1);
        self.next_gossip_ms = now_ms + interval_ms * 3 / 4 + jitter_ms;
        self.send_versions_to_random_peer(outputs);
        let due: Vec<VersionKind> = self
            .lags
            .iter()
            .filter(|(_, lag)| lag.is_request_due(now_ms))
            .map(|(kind, _)| *kind)
            .collect();
        for kind in due {
            self.request_version(now_ms, kind, outputs);
        }
    }

    /// Handles a message from the peer `from`.
    pub fn handle_message(
        &mut self,
        now_ms: u64,
        from: &str,
        message: Message,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            Message::Request {
                kind,
                generation,
                newer_than,
            } => {
                let has_newer = self.versions.get(&kind).is_some_and(|current| {
                    current.generation == generation && current.number > newer_than
                });
                if has_newer {
                    outputs.push(Output::SendContent {
                        to: from.to_owned(),
                        kind,
                    });
                }
            }
            Message::Versions(versions) if versions.len() <= MAX_VERSIONS_PER_MESSAGE => {
                self.handle_versions(now_ms, from, versions, outputs);
            }
            Message::Versions(_) => {}
        }
    }

    fn handle_versions(
        &mut self,
        now_ms: u64,
        from: &str,
        versions: Vec<(VersionKind, VersionRecord)>,
        outputs: &mut Vec<Output>,
    ) {
        let mut peer_is_behind = false;
        for (kind, version) in &versions {
            let peer_state = self.compare(now_ms, from, *kind, *version, outputs);
            peer_is_behind |= peer_state == PeerState::Behind;
        }
        let peer_versions = PeerVersions {
            received_at_ms: now_ms,
            versions: versions.into_iter().collect(),
        };
        self.peer_versions.insert(from.to_owned(), peer_versions);
        if peer_is_behind {
            outputs.push(Output::Send {
                to: from.to_owned(),
                message: self.versions_message(),
            });
        }
    }

    /// Compares a peer's version with this node's: reports a fork, or requests the peer's version
    /// if it is newer.
    fn compare(
        &mut self,
        now_ms: u64,
        from: &str,
        kind: VersionKind,
        theirs: VersionRecord,
        outputs: &mut Vec<Output>,
    ) -> PeerState {
        // Numbers of different generations can't be compared.
        let Some(own) = self
            .versions
            .get(&kind)
            .copied()
            .filter(|own| own.generation == theirs.generation)
        else {
            return PeerState::UpToDate;
        };
        if theirs.number == own.number && theirs.digest != own.digest {
            self.report_fork(from, kind, own, theirs, outputs);
        } else if theirs.number > own.number {
            self.handle_newer_version(now_ms, from, kind, theirs, outputs);
        }
        if theirs.number < own.number {
            PeerState::Behind
        } else {
            PeerState::UpToDate
        }
    }

    /// Reports a fork, once for each version number.
    fn report_fork(
        &mut self,
        from: &str,
        kind: VersionKind,
        own: VersionRecord,
        theirs: VersionRecord,
        outputs: &mut Vec<Output>,
    ) {
        let reported = self
            .reported_forks
            .insert((kind, from.to_owned()), theirs.number);
        if reported != Some(theirs.number) {
            outputs.push(Output::Event(Event::Fork {
                kind,
                peer: from.to_owned(),
                own,
                theirs,
            }));
        }
    }

    /// Requests a peer's newer version, unless this or a newer version was requested less than
    /// [`REQUEST_RETRY_INTERVAL_MS`] ago.
    fn handle_newer_version(
        &mut self,
        now_ms: u64,
        from: &str,
        kind: VersionKind,
        wanted: VersionRecord,
        outputs: &mut Vec<Output>,
    ) {
        let mut since_ms = now_ms;
        if let Some(lag) = self.lags.get(&kind) {
            if wanted.number <= lag.wanted.number && !lag.is_request_due(now_ms) {
                return;
            }
            since_ms = lag.since_ms;
        } else {
            outputs.push(Output::Event(Event::Behind {
                kind,
                peer: from.to_owned(),
                version: wanted,
            }));
        }
        let lag = Lag {
            since_ms,
            peer: from.to_owned(),
            wanted,
            requested_at_ms: now_ms,
        };
        self.lags.insert(kind, lag);
        self.request_version(now_ms, kind, outputs);
    }

    /// Requests the newer version of a kind from the peer that has it, if this node is behind.
    fn request_version(&mut self, now_ms: u64, kind: VersionKind, outputs: &mut Vec<Output>) {
        let Some(lag) = self.lags.get_mut(&kind) else {
            return;
        };
        lag.requested_at_ms = now_ms;
        let generation = lag.wanted.generation;
        let newer_than = self
            .versions
            .get(&kind)
            .filter(|own| own.generation == generation)
            .map_or(0, |own| own.number);
        outputs.push(Output::Send {
            to: lag.peer.clone(),
            message: Message::Request {
                kind,
                generation,
                newer_than,
            },
        });
    }

    fn send_versions_to_random_peer(&mut self, outputs: &mut Vec<Output>) {
        let peer_count = self.peers.len();
        if peer_count == 0 || self.versions.is_empty() {
            return;
        }
        let index = self.rng.next_u64() as usize % peer_count;
        if let Some(to) = self.peers.iter().nth(index).cloned() {
            let message = self.versions_message();
            outputs.push(Output::Send { to, message });
        }
    }

    fn versions_message(&self) -> Message {
        let versions = self.versions.iter();
        Message::Versions(versions.map(|(kind, version)| (*kind, *version)).collect())
    }
}

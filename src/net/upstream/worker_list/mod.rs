//! The list of workers that this node holds, and the watch on discovery that keeps it current.
//!
//! [`WorkerList`] owns the list, its revision and the calls to discovery (`calls`); `list` holds
//! the data of discovery's answers, and `snapshot` the encodings in which a list is stored or sent
//! to other processes. [`super::watch`] decides when a call is made.

mod calls;
mod list;
mod snapshot;

pub use list::DiscoveryList;
pub use snapshot::WorkerListSnapshot;

use super::backoff::ClusterPosition;
use super::watch::{AnswerContent, FirstCall, INITIAL_SYNC_TIMEOUT_SECONDS, Schedule};
use crate::decision::interface::{ListKind, Settings};
use crate::net::messages::Input;
use crate::net::transport::reactor::{Reactor, Timer};
use calls::Session;
use list::{WorkerRecords, digest_of, index_by_id};
use postproxy_version_tracking::Digest;
use snapshot::{PeerList, encode_for_peer};
use std::net::SocketAddr;

/// The log target of this module and of the modules below it. Operators filter by it, so it must
/// stay the same when code is moved.
const LOG_TARGET: &str = "postproxy::net::upstream::worker_list";

/// Lower bound of the dial timeout for connections to discovery, in seconds: with a shorter
/// timeout, a busy machine would treat a reachable discovery as unreachable.
const MIN_DIAL_TIMEOUT_SECONDS: f64 = 0.25;

/// Progress of the first call to discovery since the start.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InitialSync {
    /// Discovery has not been called yet.
    NotStarted,
    /// The node waits for the answer until `until`, in the reactor's time.
    Pending { until: f64 },
    /// Discovery has answered, could not be reached, or has not answered in time.
    Done,
}

/// The full list, kept for snapshots and for other nodes.
struct RetainedList {
    records: WorkerRecords,
    /// Whether the list has changed since the last snapshot for the store was taken.
    changed: bool,
}

impl RetainedList {
    /// Applies a full list, or the changes of a partial one.
    fn apply(&mut self, list: &DiscoveryList) {
        if list.complete {
            self.records.clear();
        }
        self.changed |= list.complete || !list.records.is_empty();
        for record in &list.records {
            if record.is_terminated() {
                self.records.remove(&record.id);
            } else {
                self.records.insert(record.id.clone(), record.clone());
            }
        }
    }
}

/// The list of workers, and the watch on discovery that keeps it current.
pub struct WorkerList {
    discovery: SocketAddr,
    settings: Settings,
    /// The revision of the list that this node holds; `None` if the next call must request the full
    /// list.
    revision: Option<u64>,
    schedule: Schedule,
    initial_sync: InitialSync,
    /// The earliest time for which a discovery timer is set, if one is.
    timer_set_for: Option<f64>,
    /// The connections to discovery: at most two, the older one first.
    sessions: Vec<Session>,
    dial_timeout: f64,
    /// A list from another node that is newer than discovery's last answer to this node.
    peer_list: Option<PeerList>,
    /// Whether the version may have changed since [`WorkerList::take_version_changed`] was last
    /// called.
    version_changed: bool,
    /// The full list, if it is retained.
    retained: Option<RetainedList>,
}

impl WorkerList {
    /// Creates a list that is not being watched yet. `initial_revision` is the revision of the list
    /// that the node starts with, `None` if there is no such list or it has no workers; `seed` sets
    /// the jitter of the calls.
    pub fn new(
        discovery: SocketAddr,
        settings: Settings,
        initial_revision: Option<u64>,
        seed: u64,
    ) -> Self {
        let dial_timeout = settings.dial_timeout.max(MIN_DIAL_TIMEOUT_SECONDS);
        let schedule = Schedule::new(settings.dispatcher_count, seed);
        Self {
            discovery,
            settings,
            revision: initial_revision,
            schedule,
            initial_sync: InitialSync::NotStarted,
            timer_set_for: None,
            sessions: Vec::new(),
            dial_timeout,
            peer_list: None,
            version_changed: true,
            retained: None,
        }
    }

    /// Retains the full list from now on, starting with `initial`, so that snapshots of it can be
    /// taken.
    pub fn retain_list(&mut self, initial: Option<&DiscoveryList>) {
        let records = initial.map(|list| list.records.clone()).unwrap_or_default();
        self.retained = Some(RetainedList {
            records: index_by_id(records),
            changed: false,
        });
    }

    /// Returns a snapshot for the store if the list has changed since the last call of this method.
    pub fn take_changed_snapshot(&mut self) -> Option<Vec<u8>> {
        self.revision?;
        let retained = self.retained.as_mut()?;
        if std::mem::take(&mut retained.changed) {
            self.snapshot()
        } else {
            None
        }
    }

    /// Returns a JSON snapshot of the retained list; `None` without a retained list or a revision.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        let revision = self.revision?;
        let retained = self.retained.as_ref()?;
        serde_json::to_vec(&WorkerListSnapshot {
            discovery: self.discovery,
            revision,
            records: retained.records.values().cloned().collect(),
        })
        .ok()
    }

    /// Adopts the snapshot of the sibling process if it is at least as new as the list held here,
    /// and watches for changes from its revision on: after the handover this process has to follow
    /// discovery.
    pub fn adopt_snapshot(&mut self, reactor: &mut Reactor, snapshot: &[u8]) {
        let Some(snapshot) = WorkerListSnapshot::from_json(snapshot)
            .filter(|snapshot| snapshot.discovery == self.discovery)
        else {
            return;
        };
        let current = self.revision.is_none_or(|own| snapshot.revision >= own);
        if current && !snapshot.records.is_empty() {
            self.close_all_sessions(reactor);
            self.apply_discovery_list(reactor, snapshot.into_list());
            self.schedule.restart(reactor.now);
            self.make_due_calls(reactor);
        }
    }

    /// Starts the watch, which runs until the node stops.
    pub fn start(&mut self, reactor: &mut Reactor) {
        self.initial_sync = match self.revision {
            Some(_) => InitialSync::Pending {
                until: reactor.now + INITIAL_SYNC_TIMEOUT_SECONDS,
            },
            // There is no outdated list that requests could be sent by, so there is nothing to wait
            // for.
            None => InitialSync::Done,
        };
        if let InitialSync::Pending { until } = self.initial_sync {
            reactor.set_timer(until, Timer::Discovery);
        }
        // Where discovery pushes lists, a change can only arrive as the answer to a call, and a
        // node without a list can't send requests: in both cases the first call is made at once.
        let first_call = if self.revision.is_some() && self.settings.discovery_on_request {
            FirstCall::Spread
        } else {
            FirstCall::Immediate
        };
        self.schedule.start(reactor.now, first_call);
        self.make_due_calls(reactor);
    }

    /// Whether requests may be sent according to the current list: since the start, discovery has
    /// answered, could not be reached, or has not answered in time.
    pub fn is_initialized(&self) -> bool {
        self.initial_sync == InitialSync::Done
    }

    /// Sets the address of discovery. The revisions of another discovery can't be compared with
    /// those of the old one, so the full list is requested at once; until it arrives, the current
    /// workers stay in use.
    pub fn set_discovery_address(&mut self, reactor: &mut Reactor, discovery: SocketAddr) {
        if discovery != self.discovery {
            self.close_all_sessions(reactor);
            self.discovery = discovery;
            self.revision = None;
            self.peer_list = None;
            self.schedule.restart(reactor.now);
            self.make_due_calls(reactor);
        }
    }

    /// Handles the expiry of the timer for calls to discovery.
    pub fn handle_timer(&mut self, reactor: &mut Reactor) {
        // If the next call has been postponed since this timer was set, no call is due now and the
        // timer is set again.
        self.timer_set_for = None;
        if matches!(self.initial_sync, InitialSync::Pending { until } if until <= reactor.now) {
            self.initial_sync = InitialSync::Done;
        }
        self.make_due_calls(reactor);
    }

    /// The number of calls made so far.
    pub fn call_count(&self) -> u64 {
        self.schedule.call_count()
    }

    /// The number of calls that wait for an answer.
    pub fn open_call_count(&self) -> usize {
        self.schedule.open_call_count()
    }

    /// The version of the list in use: its revision and the digest of its content. `None` without a
    /// list.
    pub fn version(&self) -> Option<(u64, Digest)> {
        match &self.peer_list {
            Some(peer_list) => Some((peer_list.revision, peer_list.digest)),
            None => {
                let revision = self.revision?;
                let retained = self.retained.as_ref()?;
                Some((revision, digest_of(retained.records.values())))
            }
        }
    }

    /// Whether the version may have changed since the last call of this method.
    pub fn take_version_changed(&mut self) -> bool {
        std::mem::take(&mut self.version_changed)
    }

    /// The address of discovery.
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery
    }

    /// Encodes the list in use, to be sent to another node.
    pub fn encode_for_peer(&self) -> Option<Vec<u8>> {
        let (revision, digest) = self.version()?;
        let records = match &self.peer_list {
            Some(peer_list) => &peer_list.records,
            None => &self.retained.as_ref()?.records,
        };
        encode_for_peer(revision, digest, records)
    }

    /// Applies a list from another node if it is newer than the list in use, and returns the new
    /// version if so. An older list must never replace a newer one. Addresses of workers come only
    /// from this node's own discovery, so a worker that discovery has not reported to this node is
    /// left out.
    pub fn apply_peer_list(&mut self, reactor: &mut Reactor, body: &[u8]) -> Option<(u64, Digest)> {
        let peer_list = PeerList::decode(body)?;
        let (current, _) = self.version()?;
        if peer_list.revision <= current {
            return None;
        }
        let retained = self.retained.as_ref()?;
        let records = retained
            .records
            .values()
            .map(|own| own.updated_from(&peer_list.records))
            .collect();
        let list = DiscoveryList {
            revision: peer_list.revision,
            complete: false,
            records,
        };
        reactor.queue.push_back(Input::WorkerListReceived {
            kind: ListKind::FromPeer,
            workers: list.into_workers(&self.settings),
        });
        let version = (peer_list.revision, peer_list.digest);
        self.peer_list = Some(peer_list);
        Some(version)
    }

    /// Applies a list from discovery; returns whether it contained anything new.
    fn apply_discovery_list(
        &mut self,
        reactor: &mut Reactor,
        mut list: DiscoveryList,
    ) -> AnswerContent {
        // Changes can't be applied without a list to apply them to, and an older list must not
        // replace a newer one: in both cases the full list is requested at once. That answer is
        // applied regardless of its revision, since discovery may have restarted its numbering.
        let stale = match self.revision {
            Some(held) => list.revision < held,
            None => !list.complete,
        };
        if stale {
            self.revision = None;
            return AnswerContent::Changed;
        }
        let changed =
            list.complete || !list.records.is_empty() || self.revision != Some(list.revision);
        self.revision = Some(list.revision);
        if let Some(retained) = &mut self.retained {
            retained.apply(&list);
        }
        self.version_changed = true;
        self.merge_peer_list(&mut list);
        let kind = if list.complete {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        reactor.queue.push_back(Input::WorkerListReceived {
            kind,
            workers: list.into_workers(&self.settings),
        });
        if changed {
            AnswerContent::Changed
        } else {
            AnswerContent::Unchanged
        }
    }

    /// Drops the peer's list once discovery has caught up with it; until then, replaces discovery's
    /// records by the peer's.
    fn merge_peer_list(&mut self, list: &mut DiscoveryList) {
        let Some(peer_list) = &self.peer_list else {
            return;
        };
        if list.revision >= peer_list.revision {
            self.peer_list = None;
            return;
        }
        for record in &mut list.records {
            *record = record.updated_from(&peer_list.records);
        }
    }

    /// Sets this node's position among the nodes that it knows, and their number.
    pub fn set_cluster_position(&mut self, (index, node_count): (usize, usize)) {
        self.schedule
            .set_cluster_position(ClusterPosition { index, node_count });
    }
}

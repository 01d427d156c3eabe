//! The node's event loop: waits for sockets, timers and signals, and passes each event to the
//! component that owns it.
//!
//! This file has the loop and the order of work within one turn: first the queued inputs of the
//! request manager, then the migration of connections to a process that takes over, then the
//! poller's events in the order of their owners, then the expired timers. The submodules connect
//! the loop to the components: `startup` builds the node, `commands` executes the commands of the
//! request manager, `management`, `cluster` and `handover` serve the management API, the other
//! nodes and the sibling processes, `lifecycle` starts, drains and stops the node, `signals` reads
//! the stop and reload signals, `timers` dispatches expired timers, and `descriptor_budget`
//! computes the limits of connections.

mod cluster;
mod commands;
mod descriptor_budget;
mod handover;
mod lifecycle;
mod management;
mod signals;
mod startup;
mod timers;

use crate::net::cluster::service::ClusterService;
use crate::net::config::Config;
use crate::net::downstream::clients::Clients;
use crate::net::handover::Handover;
use crate::net::handover::callbacks::ForwardedCallbacks;
use crate::net::handover::descriptors::DescriptorShares;
use crate::net::lifecycle::{Lifecycle, Stage};
use crate::net::management::{ManagementServer, ReceivedRequest};
use crate::net::requests::manager::RequestManager;
use crate::net::store_adapter::{CoordinationWriteOutcome, StoreAdapter};
use crate::net::transport::reactor::{self, Clock, Reactor, SocketOwner};
use crate::net::upstream::attempts::Attempts;
use crate::net::upstream::worker_list::WorkerList;
use descriptor_budget::DescriptorBudget;
use management::SuspensionChange;
use polling::Event;
use postproxy_version_tracking::Source;
use signals::{ReloadSource, Signal};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;

/// A node with real sockets, clock and store.
pub struct Node {
    clock: Clock,
    reactor: Reactor,
    requests: RequestManager,
    clients: Clients,
    attempts: Attempts,
    worker_list: WorkerList,
    store: Option<StoreAdapter>,
    management: Option<ManagementServer>,
    handover: Option<Handover>,
    cluster: Option<ClusterService>,
    /// Changes of suspensions requested through the management API, by the caller's connection.
    /// They are announced to the cluster once the request manager has accepted them.
    pending_suspensions: HashMap<usize, SuspensionChange>,
    forwarded_callbacks: ForwardedCallbacks,
    descriptor_shares: DescriptorShares,
    /// Links over which an older process has sent its whole snapshot.
    completed_snapshots: HashSet<usize>,
    descriptor_budget: DescriptorBudget,
    lifecycle: Lifecycle,
    stop_signal: Signal,
    reload: Option<ReloadSource>,
    address: SocketAddr,
    /// Consecutive shutdown checks that found nothing left to answer.
    quiet_checks: u32,
    /// Whether nothing is left to answer, so that the loop ends.
    finished: bool,
    /// The longest turn of the loop so far, in seconds.
    longest_turn: f64,
    /// Management requests that arrived before an older process had sent its whole snapshot.
    deferred_requests: Vec<ReceivedRequest>,
    /// Whether the cluster tracks configuration versions.
    tracks_versions: bool,
    /// Attempts started since the version of the worker list last changed.
    attempts_on_version: u64,
}

impl Node {
    /// Makes a byte on `signal` reload the configuration from `source`; if that returns `None`, the
    /// current one stays. Of a new configuration, only the address of discovery takes effect at
    /// once; the rest takes effect at the next start.
    ///
    /// # Errors
    ///
    /// If the signal can't be registered with the system's poller.
    pub fn reload_on(
        &mut self,
        signal: UnixStream,
        source: impl FnMut() -> Option<Config> + 'static,
    ) -> io::Result<()> {
        let signal = Signal::new(&mut self.reactor, signal)?;
        self.reload = Some(ReloadSource::new(signal, Box::new(source)));
        Ok(())
    }

    /// Returns the duration of the longest turn of the loop so far, in seconds.
    pub fn longest_turn(&self) -> f64 {
        self.longest_turn
    }

    /// Returns the address on which the node listens for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the management API, if it is enabled.
    pub fn management_address(&self) -> Option<SocketAddr> {
        self.management.as_ref()?.address().ok()
    }

    /// Serves until a byte has arrived on the stop signal and no request is left to answer.
    ///
    /// # Errors
    ///
    /// If the system's poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        self.reactor.now = self.clock.now();
        self.clients.set_accepting(&self.reactor, false);
        self.worker_list.start(&mut self.reactor);
        self.start_serving_when_ready();
        while !self.finished {
            self.process_queue();
            if self.tracks_versions && self.worker_list.take_version_changed() {
                self.record_worker_list_version(Source::Own);
            }
            if self.lifecycle.stage() == Stage::HandingOver {
                self.migrate_connections();
            }
            let now = self.clock.now();
            self.longest_turn = self.longest_turn.max(now - self.reactor.now);
            self.reactor.wait(&mut events, now)?;
            self.reactor.now = self.clock.now();
            for event in &events {
                self.dispatch_event(*event);
            }
            for timer in self.reactor.expired_timers() {
                self.dispatch_timer(timer);
            }
            if self.lifecycle.stage() == Stage::Starting {
                self.start_serving_when_ready();
            }
        }
        if let Some(cluster) = &mut self.cluster {
            cluster.leave(&mut self.reactor);
        }
        Ok(())
    }

    /// Passes a readiness event of the poller to the owner of its socket.
    fn dispatch_event(&mut self, event: Event) {
        let Event {
            key,
            readable,
            writable,
        } = event;
        let reactor = &mut self.reactor;
        match reactor::owner(key) {
            SocketOwner::ManagementServer => self.handle_management_ready(key, readable, writable),
            SocketOwner::Handover => self.handle_handover_ready(key, readable),
            SocketOwner::Peers => self.handle_peers_ready(key, readable, writable),
            SocketOwner::Client => self.clients.handle_ready(reactor, key, readable, writable),
            SocketOwner::Attempt => self.attempts.handle_ready(reactor, key, readable, writable),
            SocketOwner::Discovery => self
                .worker_list
                .handle_ready(reactor, key, readable, writable),
            SocketOwner::Store => self.handle_store_ready(),
            SocketOwner::Signal if key == self.stop_signal.key() => self.stop(),
            SocketOwner::Signal => self.reload(),
        }
    }

    /// Handles writes that the store has completed. The result of a write of coordination records
    /// is passed to the cluster service.
    fn handle_store_ready(&mut self) {
        let written = self
            .store
            .as_mut()
            .and_then(|store| store.handle_ready(&mut self.reactor));
        if let Some(outcome) = written {
            self.complete_coordination_write(outcome == CoordinationWriteOutcome::Durable);
        }
    }

    /// Reads a new configuration from the source, if a reload was signalled.
    fn reload(&mut self) {
        let Some(reload) = &mut self.reload else {
            return;
        };
        if let Some(config) = reload.poll(&self.reactor) {
            self.worker_list
                .set_discovery_address(&mut self.reactor, config.discovery);
        }
    }
}

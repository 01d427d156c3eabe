//! The cluster service of the node. This module owns the sockets at the cluster address, moves
//! datagrams and messages between them and the state machines of membership, coordination and
//! version tracking, and returns the resulting events to the node. Each concern has a submodule.

mod coordinated;
mod events;
mod log_lines;
mod participant;
mod status;
mod suspended_workers;
mod version_tracking;

pub use events::Event;
pub use status::{ClusterStatus, MemberStatus};

use crate::net::cluster::coordination::{CoordinationEffect, CoordinationService};
use crate::net::cluster::versions::VersionService;
use crate::net::store_adapter::RecoveredState;
use crate::net::transport::reactor::{Reactor, SocketOwner, Timer};
use crate::operator_config::{AuditSection, DutiesSection, FleetSection};
use log_lines::{DropLog, log_membership_event};
use participant::{ClusterSockets, Participant, SYNCHRONISATION_SECONDS};
use postproxy_membership::{
    ForgetError, Identity, MAX_NAME_BYTES, MemberRank, MemberState, Membership, MembershipEvent,
    Output, WorkerSuspension,
};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use suspended_workers::PendingCaller;

/// Time between two attempts to open the sockets while an earlier process of this node still uses
/// the cluster address, in seconds.
const ADDRESS_RETRY_SECONDS: f64 = 0.05;

/// Sections of the operator's file that concern the cluster.
pub struct ClusterSections {
    /// Section `fleet`.
    pub fleet: FleetSection,
    /// Section `duties`, if there is one.
    pub duties: Option<DutiesSection>,
    /// Section `audit`, if there is one.
    pub audit: Option<AuditSection>,
}

/// Whether an earlier process of this node may still use the cluster address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddressUse {
    /// This process is the only one: the address must be free.
    Exclusive,
    /// An earlier process may hand over to this one: the address becomes free when it does.
    Shared,
}

/// The size of the cluster, and this node's position in it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ClusterSize {
    /// Number of nodes that may be alive, 0 if no other one is known.
    nodes: usize,
    rank: MemberRank,
}

/// The timer of this service in the event loop. Only the one set last counts.
struct ServiceTimer {
    number: u64,
    due_at: f64,
}

/// The cluster service of one process of the node.
pub struct ClusterService {
    settings: FleetSection,
    duties_section: Option<DutiesSection>,
    audit_section: Option<AuditSection>,
    name: String,
    /// `None` while an earlier process of this node participates, and after a later one has taken
    /// over.
    participant: Option<Participant>,
    /// Whether this process has stopped participating for good.
    has_stopped: bool,
    /// Suspensions from the store, kept until this process participates.
    restored_suspensions: Vec<WorkerSuspension>,
    /// Records of the coordination service from the store, kept until this process participates.
    restored_coordination: Vec<(Vec<u8>, Vec<u8>)>,
    timer: ServiceTimer,
    /// Callers of the management API by the ticket of their suspend or resume.
    pending_callers: HashMap<u64, PendingCaller>,
    /// The size that the node was notified of last.
    notified_size: ClusterSize,
    /// Digest of the suspensions that were passed to the store last.
    stored_digest: u64,
    drop_log: DropLog,
}

impl ClusterService {
    /// Starts to participate in the cluster, or waits until an earlier process of this node has
    /// stopped participating.
    ///
    /// # Errors
    ///
    /// Returns a message for the operator if the node's name is invalid, or the sockets can't be
    /// opened.
    pub fn start(
        reactor: &mut Reactor,
        sections: ClusterSections,
        name: &str,
        recovered: RecoveredState,
        address_use: AddressUse,
    ) -> Result<(Self, Vec<Event>), String> {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(format!(
                "fleet: the node's name '{name}' must have 1 to 64 bytes"
            ));
        }
        let alone = MemberRank {
            position: 0,
            members: 1,
        };
        let mut service = Self {
            settings: sections.fleet,
            duties_section: sections.duties,
            audit_section: sections.audit,
            name: name.to_owned(),
            participant: None,
            has_stopped: false,
            restored_suspensions: postcard::from_bytes(&recovered.suspensions).unwrap_or_default(),
            restored_coordination: recovered.coordination_records,
            timer: ServiceTimer {
                number: 0,
                due_at: f64::INFINITY,
            },
            pending_callers: HashMap::new(),
            notified_size: ClusterSize {
                nodes: 0,
                rank: alone,
            },
            stored_digest: 0,
            drop_log: DropLog::new(reactor.now),
        };
        let mut events = Vec::new();
        let listen = service.settings.listen;
        match service.participate(reactor) {
            Ok(effects) => events = service.apply_coordination_effects(reactor, effects),
            Err(error)
                if address_use == AddressUse::Shared && error.kind() == ErrorKind::AddrInUse =>
            {
                tracing::info!(%listen, "waiting for an earlier process to release the cluster address");
            }
            Err(error) => return Err(format!("fleet.listen: {listen}: {error}")),
        }
        service.schedule_timer(reactor);
        Ok((service, events))
    }

    /// Opens the sockets and starts to join the cluster. Returns the first effects of the
    /// coordination service.
    fn participate(&mut self, reactor: &mut Reactor) -> io::Result<Vec<CoordinationEffect>> {
        // The process's nonce must differ from every other's, so it comes from the system, not from
        // the node's seed.
        let seed = RandomState::new().build_hasher().finish();
        let settings = &self.settings;
        let sockets = ClusterSockets::open(
            reactor,
            settings.listen,
            &settings.cluster,
            &self.name,
            seed,
        )?;
        let socket = sockets.datagrams;
        let socket_key = reactor.register(&socket, SocketOwner::Peers)?;
        reactor.rearm(&socket, socket_key, (true, false));
        let address = settings.advertised_address(socket.local_addr()?);
        let membership = self.start_membership(reactor.now, address, seed);
        self.stored_digest = membership.suspensions_digest();
        tracing::info!(name = self.name, %address, cluster = self.settings.cluster, "joining the cluster");
        let (coordination, effects) = self.start_coordination(reactor.now, seed).unzip();
        let versions = self.audit_section.as_ref().map(|section| {
            let settings = postproxy_version_tracking::Settings {
                gossip_interval_ms: section.beat_ms,
            };
            VersionService::new(settings, &self.name, reactor.now, seed)
        });
        self.participant = Some(Participant {
            socket,
            socket_key,
            membership,
            peer_connections: sockets.connections,
            received_lists: Vec::new(),
            coordination,
            versions,
            synchronised_at: reactor.now + SYNCHRONISATION_SECONDS,
        });
        Ok(effects.unwrap_or_default())
    }

    fn start_membership(&mut self, now: f64, address: SocketAddr, seed: u64) -> Membership {
        let started_ms = (now * 1000.0) as u64;
        let settings = self.settings.membership_settings();
        let mut membership = Membership::new(settings, &self.name, address, started_ms, seed, now);
        membership.restore_suspensions(self.restored_suspensions.drain(..));
        membership
    }

    /// Starts the coordination service, if it is configured. Also returns its first effects.
    fn start_coordination(
        &mut self,
        now: f64,
        seed: u64,
    ) -> Option<(CoordinationService, Vec<CoordinationEffect>)> {
        let records = std::mem::take(&mut self.restored_coordination);
        let section = self.duties_section.as_ref()?;
        let settings = postproxy_coordination::Settings {
            node: self.name.clone(),
            cluster: self.settings.cluster.clone(),
            initial_voters: self.settings.voters.iter().cloned().collect(),
            lease_timing: postproxy_coordination::LeaseTiming {
                lease_ms: section.lease_ms,
                ..Default::default()
            },
            wanted_leases: ["bans".to_owned()].into(),
        };
        Some(CoordinationService::new(settings, now, seed, records))
    }

    /// Sets the timer for the next timeout, unless a timer for an earlier time is set.
    fn schedule_timer(&mut self, reactor: &mut Reactor) {
        if self.has_stopped {
            return;
        }
        let next_timeout = match &self.participant {
            Some(participant) => participant.next_timeout(),
            None => reactor.now + ADDRESS_RETRY_SECONDS,
        };
        let due_at = self
            .pending_callers
            .values()
            .map(|pending| pending.deadline)
            .fold(next_timeout, f64::min);
        if due_at < self.timer.due_at {
            let number = self.timer.number + 1;
            self.timer = ServiceTimer { number, due_at };
            reactor.set_timer(due_at, Timer::Peers { number });
        }
    }

    /// Handles a timer of the event loop.
    pub fn handle_timer(&mut self, reactor: &mut Reactor, number: u64) -> Vec<Event> {
        let is_replaced = number != self.timer.number;
        if is_replaced || self.has_stopped {
            return Vec::new();
        }
        self.timer.due_at = f64::INFINITY;
        let mut coordination_effects = self.retry_participation(reactor);
        let mut version_actions = Vec::new();
        let mut out = Vec::new();
        let mut synchronised = false;
        if let Some(participant) = &mut self.participant {
            let now = reactor.now;
            participant.membership.handle_timeout(now, &mut out);
            for (ticket, pending) in &self.pending_callers {
                if pending.deadline <= now {
                    participant.membership.expire_ticket(now, *ticket, &mut out);
                }
            }
            let peer_events = participant.peer_connections.handle_timeout(reactor);
            coordination_effects.extend(participant.handle_peer_events(now, peer_events, &mut out));
            if let Some(coordination) = &mut participant.coordination {
                coordination_effects.extend(coordination.run_turn(now));
            }
            if let Some(versions) = &mut participant.versions {
                version_actions = versions.handle_timer(now);
            }
            synchronised = participant.check_synchronised(now);
        }
        let mut events = self.apply_coordination_effects(reactor, coordination_effects);
        events.extend(self.handle_version_actions(version_actions, &mut out));
        events.extend(self.handle_outputs(reactor, out));
        if synchronised {
            events.push(Event::Synchronised);
        }
        events
    }

    /// Starts to participate, unless this process already does or the address is still in use.
    fn retry_participation(&mut self, reactor: &mut Reactor) -> Vec<CoordinationEffect> {
        if self.participant.is_some() {
            return Vec::new();
        }
        match self.participate(reactor) {
            Ok(effects) => effects,
            Err(error) => {
                if error.kind() != ErrorKind::AddrInUse {
                    tracing::error!(listen = %self.settings.listen, %error, "cluster address unavailable");
                }
                Vec::new()
            }
        }
    }

    /// Handles readiness of a socket of the cluster.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) -> Vec<Event> {
        let Some(participant) = &mut self.participant else {
            return Vec::new();
        };
        if participant.socket_key == key {
            let out = participant.read_datagrams(reactor);
            return self.handle_outputs(reactor, out);
        }
        let peer_events = participant
            .peer_connections
            .handle_ready(reactor, key, readable, writable);
        let mut out = Vec::new();
        let effects = participant.handle_peer_events(reactor.now, peer_events, &mut out);
        let mut events = self.apply_coordination_effects(reactor, effects);
        events.extend(self.handle_outputs(reactor, out));
        events
    }

    /// Declares a failed node permanently gone, on an operator's request.
    ///
    /// # Errors
    ///
    /// Returns why the node can't be forgotten, or `None` if this process doesn't participate in
    /// the cluster.
    pub fn forget_member(
        &mut self,
        reactor: &mut Reactor,
        name: &str,
    ) -> Result<Vec<Event>, Option<ForgetError>> {
        let participant = self.participant.as_mut().ok_or(None)?;
        let mut out = Vec::new();
        participant.membership.forget(reactor.now, name, &mut out)?;
        tracing::info!(name, "node forgotten on an operator's request");
        Ok(self.handle_outputs(reactor, out))
    }

    /// Closes the sockets and stops participating without notifying other nodes: a later process of
    /// this node takes over.
    pub fn yield_socket(&mut self, reactor: &Reactor) {
        self.has_stopped = true;
        if let Some(participant) = self.participant.take() {
            participant.close(reactor);
        }
    }

    /// Leaves the cluster.
    pub fn leave(&mut self, reactor: &mut Reactor) {
        let mut out = Vec::new();
        if let Some(participant) = &mut self.participant {
            participant.membership.leave(reactor.now, &mut out);
        }
        self.handle_outputs(reactor, out);
        self.yield_socket(reactor);
    }

    /// Handles the outputs of the membership. Returns the resulting events for the node.
    fn handle_outputs(&mut self, reactor: &mut Reactor, out: Vec<Output>) -> Vec<Event> {
        let mut events = Vec::new();
        let mut membership_changed = false;
        let mut outputs = VecDeque::from(out);
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::SendDatagram { to, datagram } => {
                    if let Some(participant) = &self.participant {
                        // A datagram that can't be sent counts as lost.
                        let _ = participant.socket.send_to(&datagram, to);
                    }
                }
                Output::SendOverStream { to, message } => {
                    self.send_over_stream(reactor, &to, message);
                }
                Output::Event(MembershipEvent::ApplicationMessage { from, message }) => {
                    let mut more = Vec::new();
                    let now = reactor.now;
                    events.extend(self.handle_version_message(now, &from, &message, &mut more));
                    outputs.extend(more);
                }
                Output::Event(MembershipEvent::WorkerChanged {
                    worker,
                    is_suspended,
                }) => events.push(Event::WorkerChanged {
                    worker,
                    is_suspended,
                }),
                Output::Event(MembershipEvent::SuspensionRecorded {
                    ticket,
                    recorded,
                    nodes,
                }) => events.extend(self.finish_pending_caller(ticket, recorded, nodes)),
                Output::Event(event) => {
                    self.handle_membership_change(reactor, &event);
                    membership_changed = true;
                }
            }
        }
        if membership_changed {
            events.extend(self.update_members());
        }
        events.extend(self.take_received_lists());
        self.log_dropped(reactor.now);
        self.schedule_timer(reactor);
        events
    }

    fn send_over_stream(&mut self, reactor: &mut Reactor, to: &Identity, message: Vec<u8>) {
        let Some(participant) = &mut self.participant else {
            return;
        };
        let sent = participant
            .peer_connections
            .send(reactor, &to.name, to.address, message);
        if sent.is_err() {
            tracing::warn!(
                name = &*to.name,
                "peer's message queue is full: message dropped"
            );
        }
    }

    /// Logs a change of the membership, closes connections to peers that have failed or left, and
    /// notifies the coordination service of peers whose messages may have been lost.
    fn handle_membership_change(&mut self, reactor: &mut Reactor, event: &MembershipEvent) {
        if let Some(participant) = &mut self.participant {
            match event {
                MembershipEvent::Failed(peer) | MembershipEvent::Left(peer) => {
                    participant.peer_connections.forget(reactor, &peer.name);
                    participant.mark_reconnected(&peer.name);
                }
                MembershipEvent::Joined(peer) | MembershipEvent::IdentityChanged(peer) => {
                    participant.mark_reconnected(&peer.name);
                }
                _ => {}
            }
        }
        log_membership_event(event);
    }

    /// Passes the names of the live peers to the version tracking. Returns an event if the size of
    /// the cluster or this node's position in it has changed.
    fn update_members(&mut self) -> Option<Event> {
        let participant = self.participant.as_mut()?;
        let membership = &participant.membership;
        let nodes = membership.cluster_size();
        let size = ClusterSize {
            nodes: if nodes > 1 { nodes } else { 0 },
            rank: membership.rank(),
        };
        let live_peers: BTreeSet<String> = membership
            .peers()
            .filter(|(_, state)| matches!(state, MemberState::Alive | MemberState::Suspect))
            .map(|(identity, _)| identity.name.to_string())
            .collect();
        if let Some(versions) = &mut participant.versions {
            versions.set_peers(live_peers);
        }
        let previous = std::mem::replace(&mut self.notified_size, size);
        (previous != size).then_some(Event::ClusterSizeChanged {
            nodes: size.nodes,
            rank: size.rank,
        })
    }

    fn take_received_lists(&mut self) -> Vec<Event> {
        let Some(participant) = &mut self.participant else {
            return Vec::new();
        };
        let lists = participant.received_lists.drain(..);
        lists
            .map(|list| Event::WorkerListReceived {
                from: list.from,
                generation: list.generation,
                body: list.body,
            })
            .collect()
    }

    fn log_dropped(&mut self, now: f64) {
        if let Some(participant) = &self.participant
            && self.drop_log.is_due(now)
        {
            self.drop_log.log(now, &participant.dropped());
        }
    }
}

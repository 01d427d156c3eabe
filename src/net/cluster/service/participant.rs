//! The state of a process that participates in the cluster: its sockets, its membership, and the
//! services that use them.

use crate::net::cluster::coordination::{CoordinationEffect, CoordinationService};
use crate::net::cluster::peer_connections::{PeerConnections, PeerEvent};
use crate::net::cluster::versions::{self, VersionService};
use crate::net::transport::reactor::Reactor;
use postproxy_membership::{Membership, Output, packet};
use postproxy_streams::Streams;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};

/// Datagrams read in one turn of the event loop, at most: traffic of other nodes must never delay a
/// request.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Size of the buffer for one datagram, in bytes; the longest valid one has 1,400.
const DATAGRAM_BUFFER_BYTES: usize = 2048;
/// Attempts to find a port that is free for datagrams and for connections, if the system chooses
/// the port.
const MAX_PORT_ATTEMPTS: usize = 16;

/// Time in which a process that has started to participate learns the suspensions that the cluster
/// has recorded, in seconds. After it the process announces its own.
pub(super) const SYNCHRONISATION_SECONDS: f64 = 3.0;

/// A worker list that another node has sent.
pub(super) struct ReceivedWorkerList {
    pub(super) from: String,
    pub(super) generation: u64,
    pub(super) body: Vec<u8>,
}

/// The sockets of a node at its cluster address.
pub(super) struct ClusterSockets {
    pub(super) datagrams: UdpSocket,
    pub(super) connections: PeerConnections,
}

impl ClusterSockets {
    /// Opens a socket for datagrams and a listener for connections on the same address.
    pub(super) fn open(
        reactor: &mut Reactor,
        listen: SocketAddr,
        cluster: &str,
        name: &str,
        process_nonce: u64,
    ) -> io::Result<Self> {
        let cluster_number = packet::cluster_number(cluster);
        // A port that the system has chosen for datagrams may be in use for connections; the system
        // then chooses another one.
        let mut attempts_left = if listen.port() == 0 {
            MAX_PORT_ATTEMPTS
        } else {
            1
        };
        loop {
            let datagrams = UdpSocket::bind(listen)?;
            datagrams.set_nonblocking(true)?;
            let streams = Streams::new(cluster_number, name, process_nonce);
            attempts_left -= 1;
            match PeerConnections::start(reactor, datagrams.local_addr()?, streams) {
                Err(error) if attempts_left > 0 && error.kind() == ErrorKind::AddrInUse => {}
                connections => {
                    return Ok(Self {
                        datagrams,
                        connections: connections?,
                    });
                }
            }
        }
    }
}

/// A process that participates in the cluster.
pub(super) struct Participant {
    pub(super) socket: UdpSocket,
    pub(super) socket_key: usize,
    pub(super) membership: Membership,
    pub(super) peer_connections: PeerConnections,
    /// Worker lists that other nodes have sent and that the node hasn't been notified of yet.
    pub(super) received_lists: Vec<ReceivedWorkerList>,
    /// The coordination service, if it is configured.
    pub(super) coordination: Option<CoordinationService>,
    /// The version tracking, if it is configured.
    pub(super) versions: Option<VersionService>,
    /// Time at which the node is taken to know the cluster's suspensions; infinite once it has been
    /// notified that it does.
    pub(super) synchronised_at: f64,
}

impl Participant {
    /// Returns the time at which [`super::ClusterService::handle_timer`] is to be called next.
    pub(super) fn next_timeout(&self) -> f64 {
        [
            self.membership.next_timeout(),
            self.peer_connections.next_timeout(),
            Some(self.synchronised_at),
            self.coordination
                .as_ref()
                .map(CoordinationService::next_turn_at),
            self.versions.as_ref().map(VersionService::next_timer),
        ]
        .into_iter()
        .flatten()
        .fold(f64::INFINITY, f64::min)
    }

    /// Reads the datagrams that have arrived.
    pub(super) fn read_datagrams(&mut self, reactor: &mut Reactor) -> Vec<Output> {
        let mut out = Vec::new();
        let mut buffer = [0; DATAGRAM_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, _)) => {
                    self.membership
                        .handle_datagram(reactor.now, &buffer[..size], &mut out);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // An error caused by a datagram sent earlier, which did not reach its receiver.
                Err(_) => {}
            }
        }
        reactor.rearm(&self.socket, self.socket_key, (true, false));
        out
    }

    /// Handles events of the connections. Returns the effects of the coordination service.
    pub(super) fn handle_peer_events(
        &mut self,
        now: f64,
        events: Vec<PeerEvent>,
        out: &mut Vec<Output>,
    ) -> Vec<CoordinationEffect> {
        let mut effects = Vec::new();
        for event in events {
            match event {
                PeerEvent::Message { from, message, .. } => {
                    effects.extend(self.handle_peer_message(now, from, &message, out));
                }
                // The membership sends its messages again when digests differ; the coordination
                // service has to be notified.
                PeerEvent::PeerRestarted { node } => {
                    tracing::debug!(name = node, "peer restarted: queued messages dropped");
                    self.mark_reconnected(&node);
                }
            }
        }
        effects
    }

    /// Passes a message to the service that it is for, by its prefix.
    fn handle_peer_message(
        &mut self,
        now: f64,
        from: String,
        message: &[u8],
        out: &mut Vec<Output>,
    ) -> Vec<CoordinationEffect> {
        if let Some(list) = message.strip_prefix(&versions::WORKER_LIST_PREFIX) {
            self.receive_worker_list(from, list);
            return Vec::new();
        }
        let coordination = self.coordination.as_mut();
        match coordination.and_then(|service| service.receive(now, &from, message)) {
            Some(effects) => effects,
            None => {
                self.membership.handle_stream_message(now, message, out);
                Vec::new()
            }
        }
    }

    fn receive_worker_list(&mut self, from: String, list: &[u8]) {
        if self.versions.is_some()
            && let Ok((generation, body)) = postcard::take_from_bytes::<u64>(list)
        {
            self.received_lists.push(ReceivedWorkerList {
                from,
                generation,
                body: body.to_vec(),
            });
        }
    }

    /// Notifies the coordination service that messages to or from a node may have been lost.
    pub(super) fn mark_reconnected(&mut self, node: &str) {
        if let Some(coordination) = &mut self.coordination {
            coordination.peer_reconnected(node);
        }
    }

    /// Returns whether the node has just learned the suspensions that the cluster has recorded. A
    /// node that isn't a member can't learn them: it waits for another
    /// [`SYNCHRONISATION_SECONDS`].
    pub(super) fn check_synchronised(&mut self, now: f64) -> bool {
        if self.synchronised_at > now {
            return false;
        }
        let is_member = self.membership.is_member();
        self.synchronised_at = if is_member {
            f64::INFINITY
        } else {
            now + SYNCHRONISATION_SECONDS
        };
        is_member
    }

    /// Returns the address of a node, as far as this one knows.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.membership
            .peers()
            .find(|(identity, _)| &*identity.name == name)
            .map(|(identity, _)| identity.address)
    }

    /// Returns the numbers of datagrams and connections dropped, by reason.
    pub(super) fn dropped(&self) -> BTreeMap<String, u64> {
        let datagrams = self.membership.dropped().iter();
        let connections = self.peer_connections.dropped().iter();
        let datagrams = datagrams.map(|(error, count)| (error.as_str().to_owned(), *count));
        let connections = connections.map(|(error, count)| (error.as_str().to_owned(), *count));
        datagrams.chain(connections).collect()
    }

    /// Closes the sockets without notifying other nodes.
    pub(super) fn close(self, reactor: &Reactor) {
        reactor.deregister(&self.socket);
        self.peer_connections.close(reactor);
    }
}

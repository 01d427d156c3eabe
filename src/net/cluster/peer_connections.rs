//! The TCP connections to other nodes. This module moves bytes between the sockets and [`Streams`],
//! the state machine of the protocol.

use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::reactor::{self, Reactor, SocketOwner};
use postproxy_streams::{
    ConnectionError, Effect, MAX_INCOMING_CONNECTIONS, MAX_OUTGOING_CONNECTIONS, QueueFull, Streams,
};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

#[cfg(test)]
mod tests;

/// Bytes that a connection reads ahead, at most. Further bytes stay in the kernel's receive buffer.
const MAX_READ_AHEAD_BYTES: usize = 32 << 10;
/// Approximate limit of the bytes read from all connections in one turn of the event loop: traffic
/// of other nodes must never delay a request. The read that reaches the limit may exceed it.
const MAX_READ_BYTES_PER_TURN: usize = 256 << 10;
/// Connections accepted in one turn of the event loop, at most.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Bytes of acknowledgements that another node may leave unread before its connection is closed.
const MAX_UNREAD_ACKNOWLEDGEMENT_BYTES: usize = 64 << 10;
/// Sockets beside the connections: the datagram socket and the listener.
const OTHER_SOCKETS: usize = 2;
/// File descriptors that the connections to other nodes use, at most.
pub const MAX_DESCRIPTORS: usize =
    MAX_INCOMING_CONNECTIONS + MAX_OUTGOING_CONNECTIONS + OTHER_SOCKETS;

/// An event on the connections to other nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerEvent {
    /// A node sent a message.
    Message {
        /// Name of the node.
        from: String,
        /// Nonce of its process.
        process_nonce: u64,
        /// The message.
        message: Vec<u8>,
    },
    /// A node's process was restarted; messages queued for the earlier process are dropped.
    PeerRestarted {
        /// Name of the node.
        node: String,
    },
}

/// Events that a connection has reported during one call.
#[derive(Default)]
struct ConnectionEvents {
    opened: bool,
    ended: bool,
}

impl Callbacks<TcpStream> for ConnectionEvents {
    fn opened(&mut self, _: &mut Connection<TcpStream>) {
        self.opened = true;
    }

    fn received(&mut self, _: &mut Connection<TcpStream>) {}

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        self.ended = true;
    }
}

/// The bytes read from all connections in one turn of the event loop.
struct ReadBudget {
    /// Time of the turn.
    turn: f64,
    bytes_read: usize,
}

impl ReadBudget {
    /// Resets the count if a new turn has begun.
    fn begin_turn(&mut self, now: f64) {
        if self.turn != now {
            self.turn = now;
            self.bytes_read = 0;
        }
    }

    fn is_exhausted(&self) -> bool {
        self.bytes_read >= MAX_READ_BYTES_PER_TURN
    }
}

/// The connections to other nodes.
pub struct PeerConnections {
    listener: TcpListener,
    listener_key: usize,
    /// Source address of outgoing connections; `None` if the node listens on all addresses.
    local_ip: Option<IpAddr>,
    streams: Streams,
    connections: HashMap<usize, Connection<TcpStream>>,
    read_budget: ReadBudget,
}

impl PeerConnections {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the error of the system, for example if the address is in use.
    pub fn start(reactor: &mut Reactor, address: SocketAddr, streams: Streams) -> io::Result<Self> {
        let listener = reactor::listen(address)?;
        let listener_key = reactor.register(&listener, SocketOwner::Peers)?;
        reactor.rearm(&listener, listener_key, (true, false));
        let local_ip = Some(address.ip()).filter(|ip| !ip.is_unspecified());
        Ok(Self {
            listener,
            listener_key,
            local_ip,
            streams,
            connections: HashMap::new(),
            read_budget: ReadBudget {
                turn: 0.0,
                bytes_read: 0,
            },
        })
    }

    /// Returns the numbers of connections dropped, by reason.
    pub fn dropped(&self) -> &BTreeMap<ConnectionError, u64> {
        self.streams.dropped()
    }

    /// Returns the time at which to call [`Self::handle_timeout`] next.
    pub fn next_timeout(&self) -> Option<f64> {
        self.streams.next_timeout()
    }

    /// Sends a message to a node at this address.
    ///
    /// # Errors
    ///
    /// If too much is queued for that node, the message isn't queued.
    pub fn send(
        &mut self,
        reactor: &mut Reactor,
        to: &str,
        address: SocketAddr,
        message: Vec<u8>,
    ) -> Result<(), QueueFull> {
        let mut out = Vec::new();
        self.streams
            .send(reactor.now, to, address, message, &mut out)?;
        // Nothing is read while sending, so there are no events.
        self.apply_effects(reactor, out);
        Ok(())
    }

    /// Closes the connection to a node and drops the messages queued for it.
    pub fn forget(&mut self, reactor: &mut Reactor, node: &str) {
        let mut out = Vec::new();
        self.streams.forget(node, &mut out);
        self.apply_effects(reactor, out);
    }

    /// Handles the timeouts that are due; may be called at any time.
    pub fn handle_timeout(&mut self, reactor: &mut Reactor) -> Vec<PeerEvent> {
        let mut out = Vec::new();
        self.streams.handle_timeout(reactor.now, &mut out);
        self.apply_effects(reactor, out)
    }

    /// Handles readiness of the listener or of a connection; other keys are ignored.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) -> Vec<PeerEvent> {
        if key == self.listener_key {
            return self.accept(reactor);
        }
        self.read_budget.begin_turn(reactor.now);
        let Some(connection) = self.connections.get_mut(&key) else {
            return Vec::new();
        };
        // Bytes beyond the budget of this turn are read in a later one.
        let readable = readable && !self.read_budget.is_exhausted();
        let mut events = ConnectionEvents::default();
        connection.handle_ready(readable, writable, &mut events);
        let input = std::mem::take(&mut connection.input);
        self.read_budget.bytes_read += input.len();
        let mut out = Vec::new();
        if events.opened {
            self.streams.handle_connected(reactor.now, key, &mut out);
        }
        if !input.is_empty() {
            self.streams
                .handle_bytes(reactor.now, key, &input, &mut out);
        }
        let peer_events = self.apply_effects(reactor, out);
        self.close_or_rearm(reactor, key, events.ended);
        peer_events
    }

    /// Closes all connections and the listener.
    pub fn close(self, reactor: &Reactor) {
        reactor.deregister(&self.listener);
        for connection in self.connections.values() {
            reactor.deregister(connection.stream());
        }
    }

    fn accept(&mut self, reactor: &mut Reactor) -> Vec<PeerEvent> {
        let mut peer_events = Vec::new();
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            // The error is either of one connection, which is lost, or a lack of descriptors, of
            // which there may be some in a later turn.
            let Ok((stream, _)) = self.listener.accept() else {
                break;
            };
            let _ = stream.set_nodelay(true);
            let registered = stream
                .set_nonblocking(true)
                .and_then(|()| reactor.register(&stream, SocketOwner::Peers));
            let Ok(key) = registered else { continue };
            let connection = Connection::established(stream, MAX_READ_AHEAD_BYTES);
            self.connections.insert(key, connection);
            let mut out = Vec::new();
            self.streams.handle_accepted(reactor.now, key, &mut out);
            peer_events.extend(self.apply_effects(reactor, out));
            self.close_or_rearm(reactor, key, false);
        }
        reactor.rearm(&self.listener, self.listener_key, (true, false));
        peer_events
    }

    /// Closes a connection that has ended, or else polls it for its next readiness.
    fn close_or_rearm(&mut self, reactor: &mut Reactor, key: usize, ended: bool) {
        let Some(connection) = self.connections.get(&key) else {
            return;
        };
        if ended || connection.state() == State::Ended || connection.read_side_closed() {
            reactor.deregister(connection.stream());
            self.connections.remove(&key);
            self.streams.handle_closed(reactor.now, key);
        } else {
            reactor.rearm(connection.stream(), key, connection.interest());
        }
    }

    fn connect(
        &mut self,
        reactor: &mut Reactor,
        node: &str,
        address: SocketAddr,
        out: &mut Vec<Effect>,
    ) {
        let key = self.dial(reactor, address).ok();
        self.streams.handle_connecting(reactor.now, node, key, out);
    }

    /// Starts to connect to an address. Returns the key of the connection.
    fn dial(&mut self, reactor: &mut Reactor, address: SocketAddr) -> io::Result<usize> {
        let stream = reactor::dial_from(self.local_ip, address)?;
        let key = reactor.register(&stream, SocketOwner::Peers)?;
        let connection = Connection::dialing(stream, MAX_READ_AHEAD_BYTES);
        reactor.rearm(connection.stream(), key, connection.interest());
        self.connections.insert(key, connection);
        Ok(key)
    }

    fn write(&mut self, reactor: &mut Reactor, key: usize, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let mut events = ConnectionEvents::default();
        connection.send(bytes, &mut events);
        let reads_too_little =
            connection.unsent_bytes() > MAX_UNREAD_ACKNOWLEDGEMENT_BYTES + bytes.len();
        let drops_incoming = reads_too_little && self.streams.is_incoming(key);
        self.close_or_rearm(reactor, key, events.ended || drops_incoming);
    }

    /// Applies effects of the streams, and the further effects that these cause. Returns the events
    /// among them.
    fn apply_effects(&mut self, reactor: &mut Reactor, mut effects: Vec<Effect>) -> Vec<PeerEvent> {
        let mut peer_events = Vec::new();
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                match effect {
                    Effect::Connect { node, address } => {
                        self.connect(reactor, &node, address, &mut effects);
                    }
                    Effect::Write { connection, bytes } => self.write(reactor, connection, &bytes),
                    Effect::Close { connection } => {
                        if let Some(connection) = self.connections.remove(&connection) {
                            reactor.deregister(connection.stream());
                        }
                    }
                    Effect::Deliver {
                        from,
                        process_nonce,
                        message,
                    } => peer_events.push(PeerEvent::Message {
                        from,
                        process_nonce,
                        message,
                    }),
                    Effect::PeerRestarted { node, .. } => {
                        peer_events.push(PeerEvent::PeerRestarted { node });
                    }
                }
            }
        }
        peer_events
    }
}

//! The TCP connections to other nodes. This module moves bytes between the sockets and [`Streams`],
//! which decides.

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

/// Bytes that a connection reads ahead, at most. Further ones wait in the buffer of the system.
const MAX_READ_AHEAD_BYTES: usize = 32 << 10;
/// Bytes read from all connections in one turn of the event loop, about: other nodes must never
/// delay a request.
const MAX_READ_BYTES_PER_TURN: usize = 256 << 10;
/// Connections accepted in one turn of the event loop, at most.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Bytes of acknowledgements that another node may leave unread before its connection is dropped.
const MAX_UNREAD_ACKNOWLEDGEMENT_BYTES: usize = 64 << 10;
/// Sockets beside the connections: the datagram socket and the listener.
const OTHER_SOCKETS: usize = 2;
/// File descriptors that the connections to other nodes use, at most.
pub const MAX_DESCRIPTORS: usize =
    MAX_INCOMING_CONNECTIONS + MAX_OUTGOING_CONNECTIONS + OTHER_SOCKETS;

/// What other nodes have sent or done.
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
    /// A node's process was restarted: what was queued for the earlier one is dropped.
    PeerRestarted {
        /// Name of the node.
        node: String,
    },
}

/// What a connection reported during one call.
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
    /// Begins to count anew if this is another turn.
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
    /// Address that connections are made from; `None` if the node listens at all addresses.
    local_ip: Option<IpAddr>,
    streams: Streams,
    connections: HashMap<usize, Connection<TcpStream>>,
    read_budget: ReadBudget,
}

impl PeerConnections {
    /// Listens at an address.
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
        // Sending reads nothing, so no event comes of it.
        self.carry_out(reactor, out);
        Ok(())
    }

    /// Gives a node up: what is queued for it is dropped.
    pub fn forget(&mut self, reactor: &mut Reactor, node: &str) {
        let mut out = Vec::new();
        self.streams.forget(node, &mut out);
        self.carry_out(reactor, out);
    }

    /// Handles the timeouts that are due. It may be called at any time.
    pub fn handle_timeout(&mut self, reactor: &mut Reactor) -> Vec<PeerEvent> {
        let mut out = Vec::new();
        self.streams.handle_timeout(reactor.now, &mut out);
        self.carry_out(reactor, out)
    }

    /// Handles that a socket is ready, if it is one of these connections or the listener.
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
        // What exceeds the budget of this turn is read in the next.
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
        let peer_events = self.carry_out(reactor, out);
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
            // An error concerns one connection, which is gone, or a missing descriptor, which the
            // next turn may have.
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
            peer_events.extend(self.carry_out(reactor, out));
            self.close_or_rearm(reactor, key, false);
        }
        reactor.rearm(&self.listener, self.listener_key, (true, false));
        peer_events
    }

    /// Closes a connection that has ended, or else waits for its next readiness.
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
        let key = self.begin_connection(reactor, address).ok();
        self.streams.handle_connecting(reactor.now, node, key, out);
    }

    /// Begins to connect. Returns the key of the connection.
    fn begin_connection(
        &mut self,
        reactor: &mut Reactor,
        address: SocketAddr,
    ) -> io::Result<usize> {
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

    /// Carries out what the streams want done, and what comes of it.
    fn carry_out(&mut self, reactor: &mut Reactor, mut effects: Vec<Effect>) -> Vec<PeerEvent> {
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

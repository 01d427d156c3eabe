//! All streams of a node: the interface for the owner of the sockets, and the dispatch to outgoing
//! and incoming ones.

use crate::error::ConnectionError;
use crate::incoming::{IncomingConnection, ReceivedSessions};
use crate::outgoing::OutgoingSession;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the owner of the sockets has to do, or is notified of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Connect to a node. [`Streams::handle_connecting`] and [`Streams::handle_connected`] are to
    /// be called for it.
    Connect {
        /// Name of the node.
        node: String,
        /// Its address.
        address: SocketAddr,
    },
    /// Write to a connection.
    Write {
        /// Key of the connection.
        connection: usize,
        /// What to write.
        bytes: Vec<u8>,
    },
    /// Close a connection. Nothing more is to be reported of it.
    Close {
        /// Key of the connection.
        connection: usize,
    },
    /// A message has been received.
    Deliver {
        /// Name of the sending node.
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
        /// Nonce of its new process.
        process_nonce: u64,
    },
}

/// All streams of one process of a node. All times are in seconds of one clock.
#[derive(Debug)]
pub struct Streams {
    pub(crate) cluster: u32,
    pub(crate) name: String,
    pub(crate) process_nonce: u64,
    /// By the name of the other node.
    pub(crate) outgoing: BTreeMap<String, OutgoingSession>,
    /// The other node by the key of the connection to it.
    pub(crate) outgoing_connections: BTreeMap<usize, String>,
    /// By the key of the connection.
    pub(crate) incoming: BTreeMap<usize, IncomingConnection>,
    pub(crate) received_sessions: ReceivedSessions,
    pub(crate) next_session: u64,
    dropped: BTreeMap<ConnectionError, u64>,
}

impl Streams {
    /// Creates the streams of a process, without any connection.
    pub fn new(cluster: u32, name: &str, process_nonce: u64) -> Self {
        Self {
            cluster,
            name: name.to_owned(),
            process_nonce,
            outgoing: BTreeMap::new(),
            outgoing_connections: BTreeMap::new(),
            incoming: BTreeMap::new(),
            received_sessions: ReceivedSessions::default(),
            next_session: 1,
            dropped: BTreeMap::new(),
        }
    }

    /// Returns the numbers of connections dropped, by reason.
    pub fn dropped(&self) -> &BTreeMap<ConnectionError, u64> {
        &self.dropped
    }

    /// Returns the number of received bytes that wait for the rest of their packets.
    pub fn buffered_bytes(&self) -> usize {
        self.incoming
            .values()
            .map(|connection| connection.reader.buffered_bytes())
            .sum()
    }

    /// Handles bytes that were received on a connection.
    pub fn handle_bytes(
        &mut self,
        now: f64,
        connection: usize,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let result = if self.outgoing_connections.contains_key(&connection) {
            self.handle_outgoing_bytes(now, connection, bytes, out)
        } else {
            self.handle_incoming_bytes(now, connection, bytes, out)
        };
        if let Err(error) = result {
            self.count_dropped(error);
            out.push(Effect::Close { connection });
            self.handle_closed(now, connection);
        }
    }

    /// Handles that a connection has ended, on either side.
    pub fn handle_closed(&mut self, now: f64, connection: usize) {
        self.incoming.remove(&connection);
        if let Some(node) = self.outgoing_connections.remove(&connection)
            && let Some(session) = self.outgoing.get_mut(&node)
        {
            session.disconnect(now);
        }
    }

    /// Returns the time at which to call [`Self::handle_timeout`] next.
    pub fn next_timeout(&self) -> Option<f64> {
        let outgoing = self
            .outgoing
            .values()
            .filter_map(OutgoingSession::next_timeout);
        let incoming = self.incoming.values().map(IncomingConnection::next_timeout);
        outgoing.chain(incoming).min_by(f64::total_cmp)
    }

    /// Handles the timeouts that are due. It may be called at any time.
    pub fn handle_timeout(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.handle_outgoing_timeouts(now, out);
        self.handle_incoming_timeouts(now, out);
    }

    pub(crate) fn count_dropped(&mut self, error: ConnectionError) {
        *self.dropped.entry(error).or_default() += 1;
    }
}

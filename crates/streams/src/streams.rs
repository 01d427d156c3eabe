//! All streams of a node: the interface to the owner of the sockets, and the dispatch to outgoing
//! sessions and incoming connections.

use crate::error::ConnectionError;
use crate::incoming::{IncomingConnection, ReceivedSessions};
use crate::outgoing::OutgoingSession;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An action for the owner of the sockets, or a notification.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Connect to a node. Call [`Streams::handle_connecting`] when the attempt has been started or
    /// has failed to start, and [`Streams::handle_connected`] when the connection is established.
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
        /// The bytes to write.
        bytes: Vec<u8>,
    },
    /// Close a connection. No further events of it may be reported.
    Close {
        /// Key of the connection.
        connection: usize,
    },
    /// Notification: a message has been received.
    Deliver {
        /// Name of the sending node.
        from: String,
        /// Nonce of its process.
        process_nonce: u64,
        /// The message.
        message: Vec<u8>,
    },
    /// Notification: a node's process was restarted, and the messages queued for the earlier
    /// process are dropped.
    PeerRestarted {
        /// Name of the node.
        node: String,
        /// Nonce of its new process.
        process_nonce: u64,
    },
}

/// All streams of one process of a node. All times are in seconds and from the same clock.
#[derive(Debug)]
pub struct Streams {
    pub(crate) cluster: u32,
    pub(crate) name: String,
    pub(crate) process_nonce: u64,
    /// Sessions by the name of the other node.
    pub(crate) outgoing: BTreeMap<String, OutgoingSession>,
    /// Names of the other nodes by the key of the connection to them.
    pub(crate) outgoing_connections: BTreeMap<usize, String>,
    /// Connections that other nodes have made, by key.
    pub(crate) incoming: BTreeMap<usize, IncomingConnection>,
    pub(crate) received_sessions: ReceivedSessions,
    pub(crate) next_session: u64,
    dropped: BTreeMap<ConnectionError, u64>,
}

impl Streams {
    /// Creates the streams of a process, with no connections.
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

    /// Returns the number of dropped connections by reason.
    pub fn dropped(&self) -> &BTreeMap<ConnectionError, u64> {
        &self.dropped
    }

    /// Returns the number of bytes of incomplete packets that are buffered for all incoming
    /// connections.
    pub fn buffered_bytes(&self) -> usize {
        self.incoming
            .values()
            .map(|connection| connection.reader.buffered_bytes())
            .sum()
    }

    /// Handles bytes received on a connection.
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

    /// Handles the end of a connection, by whichever side.
    pub fn handle_closed(&mut self, now: f64, connection: usize) {
        self.incoming.remove(&connection);
        if let Some(node) = self.outgoing_connections.remove(&connection)
            && let Some(session) = self.outgoing.get_mut(&node)
        {
            session.disconnect(now);
        }
    }

    /// Returns the time at which [`Self::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<f64> {
        let outgoing = self
            .outgoing
            .values()
            .filter_map(OutgoingSession::next_timeout);
        let incoming = self.incoming.values().map(IncomingConnection::next_timeout);
        outgoing.chain(incoming).min_by(f64::total_cmp)
    }

    /// Handles all timeouts that are due. May be called at any time.
    pub fn handle_timeout(&mut self, now: f64, out: &mut Vec<Effect>) {
        self.handle_outgoing_timeouts(now, out);
        self.handle_incoming_timeouts(now, out);
    }

    pub(crate) fn count_dropped(&mut self, error: ConnectionError) {
        *self.dropped.entry(error).or_default() += 1;
    }
}

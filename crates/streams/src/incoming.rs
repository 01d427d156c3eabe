//! Connections that other nodes have made: messages are received in order, each once, and
//! acknowledged.

use crate::codec::{FrameReader, Packet, encode_frame, encode_opening};
use crate::error::ConnectionError;
use crate::streams::{Effect, Streams};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Connections that other nodes have made, at most.
pub const MAX_INCOMING_CONNECTIONS: usize = 64;
/// Bytes of incomplete packets of all connections together, at most.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Time until a connection is made and the greeting exchanged, in seconds.
pub(crate) const GREETING_TIMEOUT_SECONDS: f64 = 1.0;
/// Time without an acknowledgement, or without the rest of a packet, after which a connection is
/// stalled, in seconds.
const STALL_TIMEOUT_SECONDS: f64 = 2.0;
/// Slowest link that isn't taken for a stalled one, in bytes per second.
const MIN_BYTES_PER_SECOND: f64 = (64 << 10) as f64;
/// Time without a message after which the connecting side closes a connection, in seconds. The
/// other side waits twice as long, so that it doesn't close a connection that is about to be used.
pub(crate) const IDLE_TIMEOUT_SECONDS: f64 = 30.0;
/// Sessions of which it is remembered what has been received, at most. The least recently used one
/// is forgotten first.
const MAX_REMEMBERED_SESSIONS: usize = 4096;

/// Returns the time in which these bytes must make progress, in seconds.
pub(crate) fn stall_timeout(bytes: usize) -> f64 {
    STALL_TIMEOUT_SECONDS + bytes as f64 / MIN_BYTES_PER_SECOND
}

/// A process of another node, and its session.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Sender {
    name: String,
    process_nonce: u64,
    session: u64,
}

/// What has been received in the session of a process.
#[derive(Debug)]
struct ReceivedSession {
    session: u64,
    /// Sequence number of the last message, 0 for none.
    last_received: u64,
    /// Number of the latest greeting, to find the least recently used one.
    last_used: u64,
}

/// The name and the process nonce of a node.
type ProcessKey = (String, u64);

/// The sessions of other nodes, over all their connections.
#[derive(Debug, Default)]
pub(crate) struct ReceivedSessions {
    by_process: BTreeMap<ProcessKey, ReceivedSession>,
    greetings: u64,
}

impl ReceivedSessions {
    /// Opens or continues a session. Returns the sequence number of the last message received in
    /// it.
    fn open(&mut self, sender: &Sender) -> Result<u64, ConnectionError> {
        self.greetings += 1;
        let received = self
            .by_process
            .entry((sender.name.clone(), sender.process_nonce))
            .or_insert(ReceivedSession {
                session: sender.session,
                last_received: 0,
                last_used: 0,
            });
        received.last_used = self.greetings;
        match sender.session.cmp(&received.session) {
            // A greeting of a session that has ended, which came late.
            Ordering::Less => return Err(ConnectionError::Malformed),
            Ordering::Equal => {}
            Ordering::Greater => {
                received.session = sender.session;
                received.last_received = 0;
            }
        }
        Ok(received.last_received)
    }

    /// Returns what has been received in a session, if it is the current one of its process.
    fn current(&mut self, sender: &Sender) -> Option<&mut ReceivedSession> {
        self.by_process
            .get_mut(&(sender.name.clone(), sender.process_nonce))
            .filter(|received| received.session == sender.session)
    }

    /// Forgets the least recently used session if there are too many.
    fn evict(&mut self) {
        if self.by_process.len() <= MAX_REMEMBERED_SESSIONS {
            return;
        }
        let oldest = self
            .by_process
            .iter()
            .min_by_key(|(_, received)| received.last_used)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.by_process.remove(&key);
        }
    }
}

/// A connection that another node has made.
#[derive(Debug)]
pub(crate) struct IncomingConnection {
    pub(crate) reader: FrameReader,
    /// Who has connected, once it has greeted.
    sender: Option<Sender>,
    /// Time at which bytes were received last.
    last_received_at: f64,
    /// Time since which a greeting or a packet is incomplete.
    incomplete_since: Option<f64>,
}

impl IncomingConnection {
    fn new(now: f64) -> Self {
        Self {
            reader: FrameReader::default(),
            sender: None,
            last_received_at: now,
            incomplete_since: Some(now),
        }
    }

    pub(crate) fn next_timeout(&self) -> f64 {
        match (&self.sender, self.incomplete_since) {
            (None, Some(since)) => since + GREETING_TIMEOUT_SECONDS,
            (_, Some(since)) => since + stall_timeout(self.reader.buffered_bytes()),
            (_, None) => self.last_received_at + 2.0 * IDLE_TIMEOUT_SECONDS,
        }
    }

    /// Updates since when a packet is incomplete, after received bytes gave `packets` packets. A
    /// sender that adds a byte to a packet now and then makes no progress.
    fn update_incomplete_since(&mut self, now: f64, packets: usize) {
        if self.sender.is_none() {
            return;
        }
        if self.reader.buffered_bytes() == 0 {
            self.incomplete_since = None;
        } else if packets > 0 || self.incomplete_since.is_none() {
            self.incomplete_since = Some(now);
        }
    }
}

impl Streams {
    /// Handles that another node has connected. If there are too many connections another one is
    /// closed.
    pub fn handle_accepted(&mut self, now: f64, connection: usize, out: &mut Vec<Effect>) {
        if self.incoming.len() >= MAX_INCOMING_CONNECTIONS
            && let Some(least_useful) = self.least_useful_incoming()
        {
            self.drop_incoming(least_useful, Some(ConnectionError::TooMany), out);
        }
        self.incoming
            .insert(connection, IncomingConnection::new(now));
    }

    /// Returns a connection that hasn't greeted, or else the one that has been silent for the
    /// longest.
    fn least_useful_incoming(&self) -> Option<usize> {
        let rank = |connection: &IncomingConnection| {
            let has_greeted = connection.sender.is_some();
            (has_greeted, connection.last_received_at)
        };
        self.incoming
            .iter()
            .min_by(|(_, a), (_, b)| rank(a).partial_cmp(&rank(b)).unwrap_or(Ordering::Equal))
            .map(|(key, _)| *key)
    }

    /// Returns whether another node has made this connection.
    pub fn is_incoming(&self, connection: usize) -> bool {
        self.incoming.contains_key(&connection)
    }

    /// Handles bytes of a node that has connected.
    pub(crate) fn handle_incoming_bytes(
        &mut self,
        now: f64,
        connection: usize,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) -> Result<(), ConnectionError> {
        let Some(incoming) = self.incoming.get_mut(&connection) else {
            return Ok(());
        };
        incoming.last_received_at = now;
        incoming.reader.push(bytes);
        let mut packets = 0;
        let mut greeted = None;
        let mut acknowledge = None;
        while let Some(incoming) = self.incoming.get_mut(&connection)
            && let Some(packet) = incoming.reader.next_packet()?
        {
            packets += 1;
            match (incoming.sender.clone(), packet) {
                (None, greeting @ Packet::Greeting { .. }) => {
                    greeted = Some(self.handle_greeting(connection, greeting, out)?);
                }
                (Some(sender), Packet::Data { sequence, message }) => {
                    acknowledge = Some(self.handle_data(sender, sequence, message, out)?);
                }
                _ => return Err(ConnectionError::Malformed),
            }
        }
        if let Some(incoming) = self.incoming.get_mut(&connection) {
            incoming.update_incomplete_since(now, packets);
        }
        if let Some(sequence) = acknowledge {
            out.push(Effect::Write {
                connection,
                bytes: encode_frame(&Packet::Acknowledgement { sequence }),
            });
        }
        if let Some(node) = greeted {
            self.drop_other_connections(connection, &node, out);
            self.received_sessions.evict();
        }
        self.limit_buffered_bytes(out);
        Ok(())
    }

    /// Answers a greeting. Returns the name of the node that has greeted.
    fn handle_greeting(
        &mut self,
        connection: usize,
        greeting: Packet,
        out: &mut Vec<Effect>,
    ) -> Result<String, ConnectionError> {
        let Packet::Greeting {
            cluster,
            from,
            process_nonce,
            session,
            to,
        } = greeting
        else {
            return Err(ConnectionError::Malformed);
        };
        let is_for_this_node = cluster == self.cluster && to == self.name;
        if !is_for_this_node || from == self.name || from.is_empty() {
            return Err(ConnectionError::WrongReceiver);
        }
        let sender = Sender {
            name: from.clone(),
            process_nonce,
            session,
        };
        let accepted = Packet::GreetingAccepted {
            process_nonce: self.process_nonce,
            last_received: self.received_sessions.open(&sender)?,
        };
        out.push(Effect::Write {
            connection,
            bytes: encode_opening(&accepted),
        });
        if let Some(incoming) = self.incoming.get_mut(&connection) {
            incoming.sender = Some(sender);
        }
        Ok(from)
    }

    /// Delivers a message unless it was received before. Returns the sequence number to
    /// acknowledge.
    fn handle_data(
        &mut self,
        sender: Sender,
        sequence: u64,
        message: Vec<u8>,
        out: &mut Vec<Effect>,
    ) -> Result<u64, ConnectionError> {
        let received = self
            .received_sessions
            .current(&sender)
            .ok_or(ConnectionError::Malformed)?;
        if sequence > received.last_received + 1 {
            return Err(ConnectionError::Malformed);
        }
        if sequence == received.last_received + 1 {
            received.last_received = sequence;
            out.push(Effect::Deliver {
                from: sender.name,
                process_nonce: sender.process_nonce,
                message,
            });
        }
        Ok(received.last_received)
    }

    /// Drops earlier connections of a node that has connected again.
    fn drop_other_connections(&mut self, current: usize, node: &str, out: &mut Vec<Effect>) {
        let is_of_node = |incoming: &IncomingConnection| {
            let sender = incoming.sender.as_ref();
            sender.is_some_and(|sender| sender.name == node)
        };
        let others: Vec<usize> = self
            .incoming
            .iter()
            .filter(|(key, incoming)| **key != current && is_of_node(incoming))
            .map(|(key, _)| *key)
            .collect();
        for connection in others {
            self.drop_incoming(connection, None, out);
        }
    }

    /// Drops the connection with the most buffered bytes if all together have too many.
    fn limit_buffered_bytes(&mut self, out: &mut Vec<Effect>) {
        if self.buffered_bytes() <= MAX_BUFFERED_BYTES {
            return;
        }
        let largest = self
            .incoming
            .iter()
            .max_by_key(|(_, incoming)| incoming.reader.buffered_bytes())
            .map(|(key, _)| *key);
        if let Some(connection) = largest {
            self.drop_incoming(connection, Some(ConnectionError::TooMany), out);
        }
    }

    pub(crate) fn handle_incoming_timeouts(&mut self, now: f64, out: &mut Vec<Effect>) {
        let due: Vec<(usize, Option<ConnectionError>)> = self
            .incoming
            .iter()
            .filter(|(_, incoming)| incoming.next_timeout() <= now)
            .map(|(key, incoming)| {
                let is_stalled = incoming.incomplete_since.is_some();
                (*key, is_stalled.then_some(ConnectionError::Stalled))
            })
            .collect();
        for (connection, error) in due {
            self.drop_incoming(connection, error, out);
        }
    }

    fn drop_incoming(
        &mut self,
        connection: usize,
        error: Option<ConnectionError>,
        out: &mut Vec<Effect>,
    ) {
        if self.incoming.remove(&connection).is_some() {
            out.push(Effect::Close { connection });
            if let Some(error) = error {
                self.count_dropped(error);
            }
        }
    }
}

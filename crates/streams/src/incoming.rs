//! Connections that other nodes have made: messages are delivered once and in order, and
//! acknowledged.

use crate::codec::{FrameReader, Packet, encode_frame, encode_opening};
use crate::error::ConnectionError;
use crate::streams::{Effect, Streams};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Maximum number of open connections that other nodes have made.
pub const MAX_INCOMING_CONNECTIONS: usize = 64;
/// Maximum number of bytes of incomplete packets, over all incoming connections.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Timeout for establishing a connection, and again for the greeting on it, in seconds.
pub(crate) const GREETING_TIMEOUT_SECONDS: f64 = 1.0;
/// Time without progress (an acknowledgement, or the rest of a packet) after which a connection is
/// stalled, in seconds, not counting the time to transfer the outstanding bytes.
const STALL_TIMEOUT_SECONDS: f64 = 2.0;
/// Lowest throughput at which a connection is not considered stalled, in bytes per second.
const MIN_BYTES_PER_SECOND: f64 = (64 << 10) as f64;
/// Time without a message after which the connecting side closes a connection, in seconds. The
/// accepting side waits twice as long, so that it doesn't close a connection that is about to be
/// used.
pub(crate) const IDLE_TIMEOUT_SECONDS: f64 = 30.0;
/// Maximum number of processes whose sessions are remembered. Beyond that, the least recently used
/// one is evicted.
const MAX_REMEMBERED_SESSIONS: usize = 4096;

/// Returns the time within which the transfer of this many bytes must make progress, in seconds.
pub(crate) fn stall_timeout(bytes: usize) -> f64 {
    STALL_TIMEOUT_SECONDS + bytes as f64 / MIN_BYTES_PER_SECOND
}

/// A process of another node and its session.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Sender {
    name: String,
    process_nonce: u64,
    session: u64,
}

/// The current session of a process, and what has been received in it.
#[derive(Debug)]
struct ReceivedSession {
    session: u64,
    /// Sequence number of the last message, 0 for none.
    last_received: u64,
    /// Value of [`ReceivedSessions::greetings`] at the session's latest greeting, to find the least
    /// recently used session.
    last_used: u64,
}

/// The name and the process nonce of a node.
type ProcessKey = (String, u64);

/// The sessions of other nodes. They continue over reconnections.
#[derive(Debug, Default)]
pub(crate) struct ReceivedSessions {
    by_process: BTreeMap<ProcessKey, ReceivedSession>,
    /// Number of greetings so far.
    greetings: u64,
}

impl ReceivedSessions {
    /// Begins or continues a session, and returns the sequence number of the last message received
    /// in it, 0 for none.
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
            // A late greeting from a session that has ended.
            Ordering::Less => return Err(ConnectionError::Malformed),
            Ordering::Equal => {}
            Ordering::Greater => {
                received.session = sender.session;
                received.last_received = 0;
            }
        }
        Ok(received.last_received)
    }

    /// Returns the state of a session if it is the current one of its process.
    fn current(&mut self, sender: &Sender) -> Option<&mut ReceivedSession> {
        self.by_process
            .get_mut(&(sender.name.clone(), sender.process_nonce))
            .filter(|received| received.session == sender.session)
    }

    /// Removes the least recently used session if there are too many.
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
    /// The connected process, once its greeting has been received.
    sender: Option<Sender>,
    /// Time at which bytes were last received.
    last_received_at: f64,
    /// Time since which the greeting or a packet has been incomplete.
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

    /// Updates `incomplete_since` after received bytes have completed `packets` packets. Bytes that
    /// complete no packet don't reset it: a sender that trickles bytes makes no progress.
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
    /// Handles a connection that another node has made. If there are too many, another incoming
    /// connection is closed.
    pub fn handle_accepted(&mut self, now: f64, connection: usize, out: &mut Vec<Effect>) {
        if self.incoming.len() >= MAX_INCOMING_CONNECTIONS
            && let Some(candidate) = self.eviction_candidate()
        {
            self.drop_incoming(candidate, Some(ConnectionError::LimitExceeded), out);
        }
        self.incoming
            .insert(connection, IncomingConnection::new(now));
    }

    /// Returns the connection to close if there are too many: among those without a greeting, or
    /// else among all, the one that has been silent for the longest.
    fn eviction_candidate(&self) -> Option<usize> {
        let rank = |connection: &IncomingConnection| {
            let has_greeting = connection.sender.is_some();
            (has_greeting, connection.last_received_at)
        };
        self.incoming
            .iter()
            .min_by(|(_, a), (_, b)| rank(a).partial_cmp(&rank(b)).unwrap_or(Ordering::Equal))
            .map(|(key, _)| *key)
    }

    /// Returns whether this connection was made by another node.
    pub fn is_incoming(&self, connection: usize) -> bool {
        self.incoming.contains_key(&connection)
    }

    /// Handles bytes received on an incoming connection.
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

    /// Answers a greeting, and returns the name of the node that sent it.
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

    /// Delivers a message unless it is a duplicate, and returns the sequence number to acknowledge.
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

    /// Closes the earlier connections of a node that has connected again.
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

    /// Drops the connection with the most buffered bytes if the total exceeds the limit.
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
            self.drop_incoming(connection, Some(ConnectionError::LimitExceeded), out);
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

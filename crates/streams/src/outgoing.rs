//! Outgoing sessions: messages to a node are queued, sent on a connection to it, and removed from
//! the queue when acknowledged.

use crate::codec::{FrameReader, MAX_MESSAGE_BYTES, Packet, encode_frame, encode_opening};
use crate::error::ConnectionError;
use crate::incoming::{GREETING_TIMEOUT_SECONDS, IDLE_TIMEOUT_SECONDS, stall_timeout};
use crate::streams::{Effect, Streams};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Maximum number of connections to other nodes. Further sessions wait until one is closed.
pub const MAX_OUTGOING_CONNECTIONS: usize = 64;
/// Maximum number of bytes in the queue for one node.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Maximum number of messages in the queue for one node.
const MAX_QUEUED_MESSAGES: usize = 16_384;
/// Messages are sent while fewer bytes than this are unacknowledged. The write buffer of a
/// connection holds at most this many bytes and one message, not counting packet overhead.
const SEND_WINDOW_BYTES: usize = 256 << 10;
/// First delay before reconnecting, in seconds. It doubles with each failed attempt.
const MIN_RECONNECT_DELAY_SECONDS: f64 = 0.05;
/// Maximum delay before reconnecting, in seconds.
const MAX_RECONNECT_DELAY_SECONDS: f64 = 1.0;

/// The message was not queued, since the queue for the node is full or the message is too long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

/// The length of the queue for a node: messages that are not sent or not acknowledged.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QueueLength {
    /// Number of messages.
    pub messages: usize,
    /// Their total size in bytes.
    pub bytes: usize,
}

/// The state of the connection to a node.
#[derive(Debug, PartialEq)]
enum ConnectionState {
    /// There is no connection. The next attempt may begin at `retry_at`.
    Disconnected { retry_at: f64 },
    /// The connection is being established. `connection` is `None` until the owner of the sockets
    /// reports the key.
    Connecting {
        connection: Option<usize>,
        since: f64,
    },
    /// The connection is established, and the greeting has not been answered.
    Greeting { connection: usize, since: f64 },
    /// The greeting has been answered; messages may be sent.
    Open { connection: usize },
}

/// A session with another node. It continues over reconnections until either process ends.
#[derive(Debug)]
pub(crate) struct OutgoingSession {
    address: SocketAddr,
    state: ConnectionState,
    reader: FrameReader,
    session: u64,
    /// Nonce of the other node's process, once it has answered a greeting of this session.
    peer_nonce: Option<u64>,
    /// Messages that are not acknowledged, sent or not.
    queue: VecDeque<Vec<u8>>,
    /// Sequence number of the first message in the queue.
    first_sequence: u64,
    queued_bytes: usize,
    /// Number of messages at the start of the queue that have been sent on the current connection.
    sent: usize,
    /// Total size of these in bytes.
    sent_bytes: usize,
    /// Time of the latest progress: an accepted greeting, an acknowledgement, or sending a message
    /// when none was outstanding.
    last_progress: f64,
    /// Delay before the next attempt to connect, in seconds.
    reconnect_delay: f64,
}

/// The effect of a received packet on the session.
enum SessionOutcome {
    Continues,
    /// The greeting was answered by another process than before.
    PeerRestarted {
        process_nonce: u64,
    },
}

impl OutgoingSession {
    fn new(now: f64, address: SocketAddr, session: u64) -> Self {
        Self {
            address,
            state: ConnectionState::Disconnected { retry_at: now },
            reader: FrameReader::default(),
            session,
            peer_nonce: None,
            queue: VecDeque::new(),
            first_sequence: 1,
            queued_bytes: 0,
            sent: 0,
            sent_bytes: 0,
            last_progress: now,
            reconnect_delay: MIN_RECONNECT_DELAY_SECONDS,
        }
    }

    /// Returns the key of the connection, if there is one and its key is known.
    fn connection(&self) -> Option<usize> {
        match self.state {
            ConnectionState::Disconnected { .. } => None,
            ConnectionState::Connecting { connection, .. } => connection,
            ConnectionState::Greeting { connection, .. } | ConnectionState::Open { connection } => {
                Some(connection)
            }
        }
    }

    fn is_disconnected(&self) -> bool {
        matches!(self.state, ConnectionState::Disconnected { .. })
    }

    fn has_room_for(&self, message: &[u8]) -> bool {
        message.len() <= MAX_MESSAGE_BYTES
            && self.queued_bytes + message.len() <= MAX_QUEUED_BYTES
            && self.queue.len() < MAX_QUEUED_MESSAGES
    }

    fn queue_message(&mut self, message: Vec<u8>) {
        self.queued_bytes += message.len();
        self.queue.push_back(message);
    }

    /// Handles the loss of the connection. Unacknowledged messages are sent again on the next one.
    pub(crate) fn disconnect(&mut self, now: f64) {
        self.state = ConnectionState::Disconnected {
            retry_at: now + self.reconnect_delay,
        };
        self.reconnect_delay = (self.reconnect_delay * 2.0).min(MAX_RECONNECT_DELAY_SECONDS);
        self.sent = 0;
        self.sent_bytes = 0;
        self.last_progress = now;
        self.reader = FrameReader::default();
    }

    /// Begins a new session after a restart of the other node's process. The messages queued for
    /// the earlier process are dropped.
    fn restart(&mut self, now: f64, session: u64) {
        self.queue.clear();
        self.queued_bytes = 0;
        self.session = session;
        self.peer_nonce = None;
        self.first_sequence = 1;
        self.disconnect(now);
        self.state = ConnectionState::Disconnected { retry_at: now };
        self.reconnect_delay = MIN_RECONNECT_DELAY_SECONDS;
    }

    /// Returns the time at which the connection is stalled if no acknowledgement is received.
    fn stalled_at(&self) -> f64 {
        self.last_progress + stall_timeout(self.sent_bytes)
    }

    pub(crate) fn next_timeout(&self) -> Option<f64> {
        match self.state {
            ConnectionState::Disconnected { retry_at } => {
                (!self.queue.is_empty()).then_some(retry_at)
            }
            ConnectionState::Connecting { since, .. } | ConnectionState::Greeting { since, .. } => {
                Some(since + GREETING_TIMEOUT_SECONDS)
            }
            ConnectionState::Open { .. } if self.sent > 0 => Some(self.stalled_at()),
            ConnectionState::Open { .. } => Some(self.last_progress + IDLE_TIMEOUT_SECONDS),
        }
    }

    fn handle_packet(
        &mut self,
        now: f64,
        packet: Packet,
    ) -> Result<SessionOutcome, ConnectionError> {
        match (&self.state, packet) {
            (
                &ConnectionState::Greeting { connection, .. },
                Packet::GreetingAccepted {
                    process_nonce,
                    last_received,
                },
            ) => {
                if self.peer_nonce.is_some_and(|known| known != process_nonce) {
                    return Ok(SessionOutcome::PeerRestarted { process_nonce });
                }
                self.handle_acknowledgement(now, last_received)?;
                self.peer_nonce = Some(process_nonce);
                self.state = ConnectionState::Open { connection };
                self.reconnect_delay = MIN_RECONNECT_DELAY_SECONDS;
                self.last_progress = now;
            }
            (ConnectionState::Open { .. }, Packet::Acknowledgement { sequence }) => {
                self.handle_acknowledgement(now, sequence)?;
            }
            _ => return Err(ConnectionError::Malformed),
        }
        Ok(SessionOutcome::Continues)
    }

    /// Removes the messages up to this sequence number from the queue.
    fn handle_acknowledgement(&mut self, now: f64, sequence: u64) -> Result<(), ConnectionError> {
        let count = (sequence + 1)
            .checked_sub(self.first_sequence)
            .ok_or(ConnectionError::Malformed)? as usize;
        if count > self.queue.len() {
            return Err(ConnectionError::Malformed);
        }
        for message in self.queue.drain(..count) {
            self.queued_bytes -= message.len();
            // After a reconnection, messages sent on an earlier connection may be acknowledged.
            if self.sent > 0 {
                self.sent -= 1;
                self.sent_bytes -= message.len();
            }
        }
        self.first_sequence += count as u64;
        if count > 0 {
            self.last_progress = now;
        }
        Ok(())
    }

    /// Sends queued messages as far as the window allows.
    fn send_messages(&mut self, now: f64, connection: usize, out: &mut Vec<Effect>) {
        let mut bytes = Vec::new();
        while self.sent_bytes < SEND_WINDOW_BYTES
            && let Some(message) = self.queue.get(self.sent)
        {
            if self.sent == 0 {
                self.last_progress = now;
            }
            bytes.extend(encode_frame(&Packet::Data {
                sequence: self.first_sequence + self.sent as u64,
                message: message.clone(),
            }));
            self.sent += 1;
            self.sent_bytes += message.len();
        }
        if !bytes.is_empty() {
            out.push(Effect::Write { connection, bytes });
        }
    }
}

impl Streams {
    /// Returns the length of the queue for a node.
    pub fn queue_length(&self, to: &str) -> QueueLength {
        self.outgoing
            .get(to)
            .map_or_else(QueueLength::default, |session| QueueLength {
                messages: session.queue.len(),
                bytes: session.queued_bytes,
            })
    }

    /// Queues a message to a node at this address, and sends it if possible.
    ///
    /// # Errors
    ///
    /// If the queue for the node is full or the message is too long; it is then not queued.
    pub fn send(
        &mut self,
        now: f64,
        to: &str,
        address: SocketAddr,
        message: Vec<u8>,
        out: &mut Vec<Effect>,
    ) -> Result<(), QueueFull> {
        let next_session = &mut self.next_session;
        let session = self.outgoing.entry(to.to_owned()).or_insert_with(|| {
            let number = *next_session;
            *next_session += 1;
            OutgoingSession::new(now, address, number)
        });
        if !session.has_room_for(&message) {
            return Err(QueueFull);
        }
        session.address = address;
        session.queue_message(message);
        self.advance_session(now, to, out);
        Ok(())
    }

    /// Ends the session with a node: closes the connection to it and drops the queued messages.
    pub fn forget(&mut self, to: &str, out: &mut Vec<Effect>) {
        let connection = self
            .outgoing
            .remove(to)
            .and_then(|session| session.connection());
        if let Some(connection) = connection {
            self.outgoing_connections.remove(&connection);
            out.push(Effect::Close { connection });
        }
    }

    /// Handles the start of an attempt to connect to a node, whose connection has this key; `None`
    /// if the attempt failed at once.
    pub fn handle_connecting(
        &mut self,
        now: f64,
        to: &str,
        connection: Option<usize>,
        out: &mut Vec<Effect>,
    ) {
        let is_expected = |session: &&mut OutgoingSession| {
            matches!(
                session.state,
                ConnectionState::Connecting {
                    connection: None,
                    ..
                }
            )
        };
        let Some(session) = self.outgoing.get_mut(to).filter(is_expected) else {
            // The session was ended in the meantime.
            out.extend(connection.map(|connection| Effect::Close { connection }));
            return;
        };
        match connection {
            Some(key) => {
                session.state = ConnectionState::Connecting {
                    connection,
                    since: now,
                };
                self.outgoing_connections.insert(key, to.to_owned());
            }
            None => session.disconnect(now),
        }
    }

    /// Handles that a connection to a node is established: sends the greeting.
    pub fn handle_connected(&mut self, now: f64, connection: usize, out: &mut Vec<Effect>) {
        let Some(to) = self.outgoing_connections.get(&connection) else {
            return;
        };
        let Some(session) = self.outgoing.get_mut(to) else {
            return;
        };
        if let ConnectionState::Connecting { .. } = session.state {
            session.state = ConnectionState::Greeting {
                connection,
                since: now,
            };
            session.reader = FrameReader::default();
            let greeting = Packet::Greeting {
                cluster: self.cluster,
                from: self.name.clone(),
                process_nonce: self.process_nonce,
                session: session.session,
                to: to.clone(),
            };
            out.push(Effect::Write {
                connection,
                bytes: encode_opening(&greeting),
            });
        }
    }

    /// Handles bytes received on a connection that this node has made.
    pub(crate) fn handle_outgoing_bytes(
        &mut self,
        now: f64,
        connection: usize,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) -> Result<(), ConnectionError> {
        let Some(node) = self.outgoing_connections.get(&connection).cloned() else {
            return Ok(());
        };
        let Some(session) = self.outgoing.get_mut(&node) else {
            return Ok(());
        };
        session.reader.push(bytes);
        while let Some(packet) = session.reader.next_packet()? {
            match session.handle_packet(now, packet)? {
                SessionOutcome::Continues => {}
                SessionOutcome::PeerRestarted { process_nonce } => {
                    session.restart(now, self.next_session);
                    self.next_session += 1;
                    self.outgoing_connections.remove(&connection);
                    out.push(Effect::Close { connection });
                    out.push(Effect::PeerRestarted {
                        node,
                        process_nonce,
                    });
                    return Ok(());
                }
            }
        }
        if let ConnectionState::Open { connection } = session.state {
            session.send_messages(now, connection, out);
        }
        Ok(())
    }

    pub(crate) fn handle_outgoing_timeouts(&mut self, now: f64, out: &mut Vec<Effect>) {
        let due: Vec<String> = self
            .outgoing
            .iter()
            .filter(|(_, session)| session.next_timeout().is_some_and(|at| at <= now))
            .map(|(node, _)| node.clone())
            .collect();
        for node in due {
            self.advance_session(now, &node, out);
        }
    }

    /// Does what is due for a session: begins to connect, sends messages, or closes a connection
    /// that is stalled or idle.
    fn advance_session(&mut self, now: f64, to: &str, out: &mut Vec<Effect>) {
        let connected = self
            .outgoing
            .values()
            .filter(|session| !session.is_disconnected())
            .count();
        let Some(session) = self.outgoing.get_mut(to) else {
            return;
        };
        match session.state {
            ConnectionState::Disconnected { retry_at } => {
                if retry_at > now || session.queue.is_empty() {
                    return;
                }
                if connected >= MAX_OUTGOING_CONNECTIONS {
                    session.state = ConnectionState::Disconnected {
                        retry_at: now + MAX_RECONNECT_DELAY_SECONDS,
                    };
                    return;
                }
                session.state = ConnectionState::Connecting {
                    connection: None,
                    since: now,
                };
                out.push(Effect::Connect {
                    node: to.to_owned(),
                    address: session.address,
                });
            }
            ConnectionState::Connecting { since, .. } | ConnectionState::Greeting { since, .. } => {
                if now - since >= GREETING_TIMEOUT_SECONDS {
                    self.drop_outgoing(now, to, Some(ConnectionError::Stalled), out);
                }
            }
            ConnectionState::Open { connection } => {
                let is_stalled = session.sent > 0 && now >= session.stalled_at();
                let is_idle =
                    session.queue.is_empty() && now - session.last_progress >= IDLE_TIMEOUT_SECONDS;
                if is_stalled {
                    self.drop_outgoing(now, to, Some(ConnectionError::Stalled), out);
                } else if is_idle {
                    self.drop_outgoing(now, to, None, out);
                } else {
                    session.send_messages(now, connection, out);
                }
            }
        }
    }

    /// Closes the connection to a node. Queued messages are kept.
    fn drop_outgoing(
        &mut self,
        now: f64,
        to: &str,
        error: Option<ConnectionError>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(error) = error {
            self.count_dropped(error);
        }
        let Some(session) = self.outgoing.get_mut(to) else {
            return;
        };
        if let Some(connection) = session.connection() {
            self.outgoing_connections.remove(&connection);
            out.push(Effect::Close { connection });
        }
        session.disconnect(now);
    }
}

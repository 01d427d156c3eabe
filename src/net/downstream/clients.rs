//! The connections that clients and workers have opened to this node, with the operations that the
//! event loop calls.

use super::routing::Readiness;
use super::session::{Phase, Session, SessionHandler};
use crate::decision::interface::Settings;
use crate::net::messages::{Answer, ClientId};
use crate::net::transport::connection::{Connection, State};
use crate::net::transport::http;
use crate::net::transport::reactor::{Reactor, SocketOwner};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Size of a connection's input buffer, in bytes. Bytes of a request body are moved out of it as
/// they arrive.
pub(super) const MAX_INPUT_BYTES: usize = 2 * http::MAX_HEAD_BYTES;
/// The most memory that the data of one connection takes, in bytes: the input buffer, and the body,
/// of which there may be two copies while it arrives, waits or is forwarded.
pub const MAX_CONNECTION_MEMORY_BYTES: usize = MAX_INPUT_BYTES + 2 * http::MAX_BODY_BYTES;

/// All connections that clients and workers have opened.
pub struct Clients {
    pub(super) listener: TcpListener,
    pub(super) listener_key: usize,
    pub(super) sessions: HashMap<usize, Session>,
    settings: Settings,
    pub(super) max_connections: usize,
    /// Whether accepting is paused, because `accept` failed or no connection could be evicted.
    pub(super) accept_paused: bool,
    /// When the earliest timer resumes accepting; infinite if none is set.
    pub(super) accept_resumes_at: f64,
    /// Whether new connections are accepted.
    pub(super) accepting: bool,
    readiness: Readiness,
    /// Whether every connection is closed after its next response.
    closes_connections: bool,
}

impl Clients {
    /// Serves the connections of a non-blocking listener, at most `max_connections` at a time.
    ///
    /// # Errors
    ///
    /// If the listener can't be registered with the poller.
    pub fn new(
        reactor: &mut Reactor,
        listener: TcpListener,
        settings: Settings,
        max_connections: usize,
    ) -> io::Result<Self> {
        let listener_key = reactor.register(&listener, SocketOwner::Client)?;
        reactor.rearm(&listener, listener_key, (true, false));
        Ok(Self {
            listener,
            listener_key,
            sessions: HashMap::new(),
            settings,
            max_connections,
            accept_paused: false,
            accept_resumes_at: f64::INFINITY,
            accepting: true,
            readiness: Readiness::Ready,
            closes_connections: false,
        })
    }

    /// Handles readiness of the listener or of a connection.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) {
        if key == self.listener_key {
            return self.accept(reactor);
        }
        self.with_session(reactor, key, |connection, handler| {
            connection.handle_ready(readable, writable, handler)
        });
    }

    /// Handles a connection's timer, which was set with this round number.
    pub fn handle_timer(&mut self, reactor: &mut Reactor, key: usize, round: u64) {
        self.with_session(reactor, key, |connection, handler| {
            handler.handle_timer(connection, round)
        });
    }

    /// Sends the final answer to a client, if it still waits for one.
    pub fn send_answer(&mut self, reactor: &mut Reactor, client: ClientId, answer: &Answer) {
        self.with_session(reactor, client as usize, |connection, handler| {
            if handler.state.phase == Phase::AwaitingAnswer {
                handler.write_answer(connection, answer);
            }
        });
    }

    /// Acknowledges a worker's callback.
    pub fn acknowledge_callback(&mut self, reactor: &mut Reactor, client: ClientId) {
        self.with_session(reactor, client as usize, |connection, handler| {
            if handler.state.phase == Phase::AwaitingAcknowledgement {
                handler.acknowledge_callback(connection);
            }
        });
    }

    /// Aborts the connection of a worker whose callback can't be acknowledged: the worker retries.
    pub fn abort_connection(&mut self, reactor: &mut Reactor, client: ClientId) {
        self.with_session(reactor, client as usize, |connection, handler| {
            if handler.state.phase == Phase::AwaitingAcknowledgement {
                connection.abort();
            }
        });
    }

    /// Sets whether new connections are accepted. While they are not, they stay queued at the
    /// listener for the sibling process that shares it.
    pub fn set_accepting(&mut self, reactor: &Reactor, accepting: bool) {
        self.accepting = accepting;
        reactor.rearm(&self.listener, self.listener_key, (accepting, false));
    }

    /// Sets the largest number of connections.
    pub fn set_connection_limit(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Sets whether the readiness check reports the node as ready for new clients, and whether
    /// every connection is closed after its next response.
    pub fn set_readiness(&mut self, ready: bool, closes_connections: bool) {
        self.readiness = if ready {
            Readiness::Ready
        } else {
            Readiness::NotReady
        };
        self.closes_connections = closes_connections;
    }

    /// Returns the number of connections.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// If the operating system can't report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns the keys of all connections.
    pub fn connection_keys(&self) -> impl Iterator<Item = usize> {
        self.sessions.keys().copied()
    }

    /// Whether there is a connection with this key that neither side has begun to close.
    pub fn is_open(&self, key: usize) -> bool {
        self.sessions
            .get(&key)
            .is_some_and(|session| session.connection.state() == State::Open)
    }

    /// Whether a request for the workers or a callback has arrived on a connection.
    pub fn used_before(&self, key: usize) -> bool {
        self.sessions
            .get(&key)
            .is_some_and(|session| session.state.used_before)
    }

    /// Whether a client is connected and waits for its final answer.
    pub fn awaits_answer(&self, client: ClientId) -> bool {
        self.sessions
            .get(&(client as usize))
            .is_some_and(Session::awaits_answer)
    }

    /// Whether a client waits for its final answer and its connection can migrate to another
    /// process.
    pub fn can_migrate(&self, client: ClientId) -> bool {
        self.sessions
            .get(&(client as usize))
            .is_some_and(Session::can_migrate)
    }

    /// Closes connections that have been idle for at least this long and have no unread input.
    pub fn close_idle_connections(&mut self, reactor: &mut Reactor, min_idle_seconds: f64) {
        let keys: Vec<usize> = self.connection_keys().collect();
        for key in keys {
            let waits_for_request = |session: &Session| {
                session.state.phase == Phase::Reading
                    && reactor.now - session.state.waiting_since >= min_idle_seconds
            };
            if !self.sessions.get(&key).is_some_and(waits_for_request) {
                continue;
            }
            // Unread input may hold a request, so it is read first.
            self.handle_ready(reactor, key, true, false);
            self.with_session(reactor, key, |connection, handler| {
                if handler.state.phase == Phase::Reading {
                    handler.close_if_idle(connection);
                }
            });
        }
    }

    /// Accepts pending connections and closes all idle ones; returns whether no connection is left.
    pub fn close_for_shutdown(&mut self, reactor: &mut Reactor) -> bool {
        self.accept(reactor);
        self.close_idle_connections(reactor, 0.0);
        self.sessions.is_empty()
    }

    /// Adds a connection over a stream from which `input` has already been read; returns its key,
    /// or `None` if the stream can't be registered with the poller.
    pub(super) fn add_connection(
        &mut self,
        reactor: &mut Reactor,
        stream: TcpStream,
        input: Vec<u8>,
    ) -> Option<usize> {
        let key = stream
            .set_nonblocking(true)
            .and_then(|()| reactor.register(&stream, SocketOwner::Client))
            .ok()?;
        let mut connection = Connection::established(stream, MAX_INPUT_BYTES);
        connection.input = input;
        self.sessions.insert(key, Session::new(key, connection));
        Some(key)
    }

    /// Runs `operation` on a connection, then updates its registration with the poller, or removes
    /// the connection if it has ended.
    pub(super) fn with_session(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        operation: impl FnOnce(&mut Connection<TcpStream>, &mut SessionHandler<'_>),
    ) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        let Session { connection, state } = session;
        let mut handler = SessionHandler {
            state,
            settings: &self.settings,
            readiness: self.readiness,
            closes_connections: self.closes_connections,
            reactor,
        };
        operation(connection, &mut handler);
        connection.set_discard_excess_input(state.phase != Phase::Reading);
        if connection.state() == State::Ended {
            self.remove_connection(reactor, key);
        } else {
            reactor.rearm(connection.stream(), key, connection.interest());
        }
        self.resume_accepting_if_room(reactor, key);
    }

    /// Removes a connection and closes its socket.
    pub(super) fn remove_connection(&mut self, reactor: &Reactor, key: usize) {
        if let Some(session) = self.sessions.remove(&key) {
            reactor.deregister(session.connection.stream());
        }
    }
}

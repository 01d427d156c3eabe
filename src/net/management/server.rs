//! The management server: accepts connections, reads one request from each and writes its response.

use super::request::{self, ManagementRequest};
use super::response::{BAD_REQUEST, TextResponse, UNKNOWN_REQUEST};
use crate::net::messages::ManagementReply;
use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::http::{self, ParseStatus, Request, RequestReader};
use crate::net::transport::reactor::{Reactor, SocketOwner, Timer};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Largest number of connections at a time; as many descriptors are reserved for them.
pub const MAX_SESSIONS: usize = 32;
/// How long a request may take to arrive, from the start of its connection.
const REQUEST_TIMEOUT_SECONDS: f64 = 6.0;
/// How long the caller may take to read a response and to close its connection.
const LINGER_TIMEOUT_SECONDS: f64 = 1.0;
/// For this long a new connection is never closed to make room: its request is on its way.
pub(super) const EVICTION_GRACE_SECONDS: f64 = 0.05;
/// Pause of accepting after the system gave no connection, or no connection could be closed to make
/// room.
const ACCEPT_RETRY_SECONDS: f64 = EVICTION_GRACE_SECONDS;
/// Connections accepted in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Input that is buffered on a connection, in bytes: a whole request.
const MAX_INPUT_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;
/// The interim response that asks a caller for the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that has arrived, and the connection that waits for its response.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// Key of the connection.
    pub caller: usize,
    /// The request.
    pub request: ManagementRequest,
}

/// The state of the dialogue on a connection.
pub(super) struct SessionState {
    reader: RequestReader,
    connected_at: f64,
    /// Whether the caller has been asked for the body of its request.
    continue_sent: bool,
    /// Whether the request is being carried out.
    awaits_response: bool,
    /// Whether the method was `HEAD`: the response has no body.
    is_head: bool,
    /// The request that has just arrived.
    received: Option<ManagementRequest>,
}

impl SessionState {
    fn new(connected_at: f64) -> Self {
        Self {
            reader: RequestReader::default(),
            connected_at,
            continue_sent: false,
            awaits_response: false,
            is_head: false,
            received: None,
        }
    }

    fn respond(&mut self, connection: &mut Connection<TcpStream>, response: &TextResponse<'_>) {
        self.awaits_response = false;
        connection.send(&response.encode(self.is_head), self);
        connection.close(self);
    }

    fn handle_request(&mut self, connection: &mut Connection<TcpStream>, request: &Request) {
        self.is_head = request.method == "HEAD";
        match request::parse(request) {
            Ok(parsed) => {
                self.awaits_response = true;
                self.received = Some(parsed);
            }
            Err(rejected) => {
                let response = TextResponse {
                    allowed_methods: rejected.allowed_methods,
                    ..TextResponse::new(rejected.status, UNKNOWN_REQUEST)
                };
                self.respond(connection, &response);
            }
        }
    }
}

impl Callbacks<TcpStream> for SessionState {
    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        // There is only one request a connection: whatever follows it is ignored.
        if self.awaits_response || connection.state() == State::Closing {
            return;
        }
        let progress = match self.reader.read(&connection.input) {
            Ok(progress) => progress,
            Err(error) => {
                return self.respond(connection, &TextResponse::new(error.status(), BAD_REQUEST));
            }
        };
        connection.consume(progress.consumed);
        match progress.status {
            ParseStatus::Complete { message, .. } => self.handle_request(connection, &message),
            _ if connection.read_side_closed() => connection.close(self),
            ParseStatus::BodyIncomplete {
                expects_continue: true,
            } if !self.continue_sent => {
                self.continue_sent = true;
                connection.send(CONTINUE, self);
            }
            ParseStatus::BodyIncomplete { .. } | ParseStatus::HeadIncomplete => {}
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {}
}

/// A connection and the state of its dialogue.
pub(super) struct Session {
    connection: Connection<TcpStream>,
    state: SessionState,
}

/// The listener of the management API and its connections.
pub struct ManagementServer {
    listener: TcpListener,
    listener_key: usize,
    pub(super) sessions: HashMap<usize, Session>,
}

impl ManagementServer {
    /// Accepts connections from a listener that does not block.
    ///
    /// # Errors
    ///
    /// If the listener can't be registered with the system's poller.
    pub fn new(reactor: &mut Reactor, listener: TcpListener) -> io::Result<Self> {
        let listener_key = reactor.register(&listener, SocketOwner::ManagementServer)?;
        reactor.rearm(&listener, listener_key, (true, false));
        Ok(Self {
            listener,
            listener_key,
            sessions: HashMap::new(),
        })
    }

    /// Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// If the system does not tell it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Handles a socket that can be read or written, the listener or a connection; returns the
    /// requests that have arrived.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) -> Vec<ReceivedRequest> {
        if key == self.listener_key {
            return self.accept(reactor);
        }
        self.with_session(reactor, key, |connection, state| {
            connection.handle_ready(readable, writable, state)
        })
        .into_iter()
        .collect()
    }

    /// Sends a reply to a caller, if it still waits for one.
    pub fn send_reply(&mut self, reactor: &mut Reactor, key: usize, reply: ManagementReply) {
        self.send_response(reactor, key, &TextResponse::from(reply));
    }

    /// Sends a text to a caller, if it still waits for a response.
    pub fn send_text(&mut self, reactor: &mut Reactor, key: usize, status: u16, text: &str) {
        self.send_response(reactor, key, &TextResponse::new(status, text));
    }

    fn send_response(&mut self, reactor: &mut Reactor, key: usize, response: &TextResponse<'_>) {
        self.with_session(reactor, key, |connection, state| {
            if state.awaits_response {
                state.respond(connection, response);
            }
        });
        reactor.set_timer(
            reactor.now + LINGER_TIMEOUT_SECONDS,
            Timer::ManagementConnection { key },
        );
    }

    /// Ends a connection whose time is up.
    pub fn handle_timer(&mut self, reactor: &mut Reactor, key: usize) {
        self.remove_session(reactor, key);
    }

    /// Accepts the connections that have come, up to a number per turn; returns the requests that
    /// have arrived on them.
    pub fn accept(&mut self, reactor: &mut Reactor) -> Vec<ReceivedRequest> {
        let mut requests = Vec::new();
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.sessions.len() >= MAX_SESSIONS && !self.make_room(reactor) {
                retry_accepting(reactor);
                return requests;
            }
            match self.listener.accept() {
                Ok((stream, _)) => requests.extend(self.accept_connection(reactor, stream)),
                Err(error) => match error.kind() {
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    io::ErrorKind::WouldBlock => break,
                    _ => {
                        retry_accepting(reactor);
                        return requests;
                    }
                },
            }
        }
        reactor.rearm(&self.listener, self.listener_key, (true, false));
        requests
    }

    fn accept_connection(
        &mut self,
        reactor: &mut Reactor,
        stream: TcpStream,
    ) -> Vec<ReceivedRequest> {
        let _ = stream.set_nodelay(true);
        let registered = stream
            .set_nonblocking(true)
            .and_then(|()| reactor.register(&stream, SocketOwner::ManagementServer));
        let Ok(key) = registered else {
            return Vec::new();
        };
        let session = Session {
            connection: Connection::established(stream, MAX_INPUT_BYTES),
            state: SessionState::new(reactor.now),
        };
        self.sessions.insert(key, session);
        reactor.set_timer(
            reactor.now + REQUEST_TIMEOUT_SECONDS,
            Timer::ManagementConnection { key },
        );
        self.handle_ready(reactor, key, true, false)
    }

    /// Closes the oldest connection whose request has not arrived, or has been answered; returns
    /// whether there was one. Otherwise silent callers would keep out those with a request.
    fn make_room(&mut self, reactor: &mut Reactor) -> bool {
        let can_be_closed = |state: &SessionState| {
            !state.awaits_response && reactor.now - state.connected_at >= EVICTION_GRACE_SECONDS
        };
        let oldest = self
            .sessions
            .iter()
            .filter(|(_, session)| can_be_closed(&session.state))
            .map(|(&key, session)| (session.state.connected_at, key))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let Some((_, key)) = oldest else {
            return false;
        };
        self.remove_session(reactor, key);
        true
    }

    /// Removes a connection, which closes its socket.
    fn remove_session(&mut self, reactor: &Reactor, key: usize) {
        if let Some(session) = self.sessions.remove(&key) {
            reactor.deregister(session.connection.stream());
        }
    }

    /// Lets `act` work on a connection, then updates its registration, or removes it if it has
    /// ended; returns the request that has arrived meanwhile.
    fn with_session(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        act: impl FnOnce(&mut Connection<TcpStream>, &mut SessionState),
    ) -> Option<ReceivedRequest> {
        let Session { connection, state } = self.sessions.get_mut(&key)?;
        act(connection, state);
        let received = state.received.take();
        if connection.state() == State::Ended {
            self.remove_session(reactor, key);
        } else {
            reactor.rearm(connection.stream(), key, connection.interest());
        }
        received.map(|request| ReceivedRequest {
            caller: key,
            request,
        })
    }
}

/// Accepts again after a pause: the listener stays readable, and trying on at once would be a busy
/// loop.
fn retry_accepting(reactor: &mut Reactor) {
    reactor.set_timer(reactor.now + ACCEPT_RETRY_SECONDS, Timer::ManagementAccept);
}

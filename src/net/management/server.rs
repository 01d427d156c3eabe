//! The management server: accepts connections, reads one request from each and responds to it.

use super::request::{self, ManagementRequest};
use super::response::{BAD_REQUEST, TextResponse, UNKNOWN_REQUEST};
use crate::net::messages::ManagementReply;
use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::http::{self, ParseStatus, Request, RequestReader};
use crate::net::transport::reactor::{Reactor, SocketOwner, Timer};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Largest number of simultaneous connections; as many file descriptors are reserved for them.
pub const MAX_SESSIONS: usize = 32;
/// How long a request may take to arrive, counted from the start of its connection.
const REQUEST_TIMEOUT_SECONDS: f64 = 6.0;
/// How long the caller may take to read the response and to close the connection.
const LINGER_TIMEOUT_SECONDS: f64 = 1.0;
/// How long a new connection is exempt from eviction: its request may still be in transit.
pub(super) const EVICTION_GRACE_SECONDS: f64 = 0.05;
/// Delay before accepting is retried after `accept` has failed, or after no connection could be
/// evicted.
const ACCEPT_RETRY_SECONDS: f64 = EVICTION_GRACE_SECONDS;
/// Largest number of connections accepted in one iteration of the event loop.
const MAX_ACCEPTS_PER_ITERATION: usize = 16;
/// Size of a connection's input buffer, in bytes: it holds a complete request.
const MAX_INPUT_BYTES: usize = http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES;
/// The interim response that asks a caller for the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A request that has arrived, and the connection on which its response is awaited.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    /// Key of the connection.
    pub caller: usize,
    /// The request.
    pub request: ManagementRequest,
}

/// The HTTP state of a connection.
pub(super) struct SessionState {
    reader: RequestReader,
    connected_at: f64,
    /// Whether `100 Continue` has been sent.
    continue_sent: bool,
    /// Whether the request has been passed on and its response is due.
    awaits_response: bool,
    /// Whether the request's method is `HEAD`, so that the response has no body.
    is_head: bool,
    /// A request that has arrived and not been passed on yet.
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
        // There is only one request per connection; bytes after it are ignored.
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

/// A connection and its HTTP state.
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
    /// Serves the connections of a non-blocking listener.
    ///
    /// # Errors
    ///
    /// If the listener can't be registered with the poller.
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
    /// If the operating system can't report it.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Handles readiness of the listener or of a connection; returns the requests that have
    /// arrived.
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

    /// Removes a connection whose timeout has expired.
    pub fn handle_timer(&mut self, reactor: &mut Reactor, key: usize) {
        self.remove_session(reactor, key);
    }

    /// Accepts pending connections, up to a limit per iteration of the event loop; returns the
    /// requests that have arrived on them.
    pub fn accept(&mut self, reactor: &mut Reactor) -> Vec<ReceivedRequest> {
        let mut requests = Vec::new();
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if self.sessions.len() >= MAX_SESSIONS && !self.make_room(reactor) {
                schedule_accepting(reactor);
                return requests;
            }
            match self.listener.accept() {
                Ok((stream, _)) => requests.extend(self.accept_connection(reactor, stream)),
                Err(error) => match error.kind() {
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    io::ErrorKind::WouldBlock => break,
                    _ => {
                        schedule_accepting(reactor);
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

    /// Evicts the oldest connection on which no response is due, since its request has not arrived
    /// or has been answered; returns whether there was one. Without this, silent callers would keep
    /// out those with a request.
    fn make_room(&mut self, reactor: &mut Reactor) -> bool {
        let can_be_evicted = |state: &SessionState| {
            !state.awaits_response && reactor.now - state.connected_at >= EVICTION_GRACE_SECONDS
        };
        let oldest = self
            .sessions
            .iter()
            .filter(|(_, session)| can_be_evicted(&session.state))
            .map(|(&key, session)| (session.state.connected_at, key))
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let Some((_, key)) = oldest else {
            return false;
        };
        self.remove_session(reactor, key);
        true
    }

    /// Removes a connection and closes its socket.
    fn remove_session(&mut self, reactor: &Reactor, key: usize) {
        if let Some(session) = self.sessions.remove(&key) {
            reactor.deregister(session.connection.stream());
        }
    }

    /// Runs `operation` on a connection, then updates its registration with the poller, or removes
    /// the connection if it has ended; returns the request that arrived meanwhile, if any.
    fn with_session(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        operation: impl FnOnce(&mut Connection<TcpStream>, &mut SessionState),
    ) -> Option<ReceivedRequest> {
        let Session { connection, state } = self.sessions.get_mut(&key)?;
        operation(connection, state);
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

/// Schedules accepting after a delay: the listener stays readable, so an immediate retry would be a
/// busy loop.
fn schedule_accepting(reactor: &mut Reactor) {
    reactor.set_timer(reactor.now + ACCEPT_RETRY_SECONDS, Timer::ManagementAccept);
}

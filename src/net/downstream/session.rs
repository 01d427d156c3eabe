//! The HTTP exchanges on one connection: parses requests, writes responses, applies timeouts.

use super::response::AnswerResponse;
use super::routing::{self, BAD_REQUEST, FixedResponse, Readiness, Route};
use crate::decision::interface::Settings;
use crate::net::messages::{Answer, ClientId, Input, Submission, WorkerCallback};
use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::http::{
    self, ConnectionOption, ParseStatus, Request, RequestProgress, RequestReader,
};
use crate::net::transport::reactor::{Reactor, Timer};
use std::net::TcpStream;

/// How long a connection may be idle between requests.
pub(super) const IDLE_TIMEOUT_SECONDS: f64 = 120.0;
/// How long a request may take to arrive; for the first one this counts from the start of the
/// connection. A client that sends nothing, or an incomplete request, must get a close or an error
/// within 3 s of connecting.
pub(super) const REQUEST_TIMEOUT_SECONDS: f64 = 2.0;
/// How long a client may take to read a response.
const DELIVERY_TIMEOUT_SECONDS: f64 = 30.0;
/// How long to wait, after the last response, for the client to close its side of the connection.
const LINGER_TIMEOUT_SECONDS: f64 = 1.0;
/// How long a connection is exempt from eviction: the request of a new connection, or the last
/// response on a closing one, may still be in transit.
const EVICTION_GRACE_SECONDS: f64 = 0.05;
/// A connection without a complete request after this long is evicted before those that have
/// carried one.
const SILENT_AFTER_SECONDS: f64 = 0.3;

/// The interim response that asks a client for the body of its request.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A request, or the rest of one.
    Reading,
    /// The final answer to a request.
    AwaitingAnswer,
    /// The acknowledgement of a callback.
    AwaitingAcknowledgement,
}

/// The order in which connections are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// Closing; its last response has been written.
    Closing,
    /// Without a complete request for more than [`SILENT_AFTER_SECONDS`], or idle and never used
    /// for a request or a callback.
    Unused,
    /// Idle, after a request or a callback.
    IdleAfterUse,
    /// Without a complete request for at most [`SILENT_AFTER_SECONDS`].
    RecentlySilent,
}

/// The HTTP state of a connection.
pub(super) struct SessionState {
    key: usize,
    pub(super) phase: Phase,
    /// Whether the connection is closed after the next response.
    pub(super) close_after_response: bool,
    /// Whether `100 Continue` has been sent for the request that is arriving.
    continue_sent: bool,
    /// Whether a request for the workers or a callback has arrived on the connection.
    pub(super) used_before: bool,
    /// Whether the timeout of an incomplete request is running. For the first request it runs from
    /// the start of the connection.
    pub(super) request_timeout_runs: bool,
    reader: RequestReader,
    /// When the current timeout started.
    pub(super) waiting_since: f64,
    /// Number of the current timeout; a timer that was set with an older number is ignored.
    timer_round: u64,
}

impl SessionState {
    fn new(key: usize) -> Self {
        Self {
            key,
            phase: Phase::Reading,
            close_after_response: false,
            continue_sent: false,
            used_before: false,
            request_timeout_runs: false,
            reader: RequestReader::default(),
            waiting_since: 0.0,
            timer_round: 0,
        }
    }

    fn client_id(&self) -> ClientId {
        self.key as ClientId
    }

    /// Whether part of a request has arrived.
    fn request_has_begun(&self, connection: &Connection<TcpStream>) -> bool {
        self.reader.in_progress() || !connection.input.is_empty()
    }
}

/// A connection and its HTTP state.
pub(super) struct Session {
    pub(super) connection: Connection<TcpStream>,
    pub(super) state: SessionState,
}

impl Session {
    pub(super) fn new(key: usize, connection: Connection<TcpStream>) -> Self {
        Self {
            connection,
            state: SessionState::new(key),
        }
    }

    /// Whether the client is connected and waits for its final answer.
    pub(super) fn awaits_answer(&self) -> bool {
        self.state.phase == Phase::AwaitingAnswer && self.connection.state() == State::Open
    }

    /// Whether the connection can migrate to another process while its client waits for an answer.
    /// That process would not know of discarded input, and would read on behind the gap.
    pub(super) fn can_migrate(&self) -> bool {
        self.awaits_answer() && !self.connection.has_discarded_input()
    }

    /// Whether the connection is open, no response is due and no request head has been parsed.
    pub(super) fn is_between_requests(&self) -> bool {
        self.state.phase == Phase::Reading
            && self.connection.state() == State::Open
            && self.connection.flushed()
            && !self.state.reader.in_progress()
    }

    /// Returns the connection's rank in the order of eviction; `None` for a new connection and for
    /// one on which a response is due. Without such an order, many silent connections would
    /// displace clients with requests, and callbacks, which arrive on connections of their own.
    pub(super) fn eviction_rank(&self, now: f64) -> Option<EvictionRank> {
        if self.state.phase != Phase::Reading || !self.connection.flushed() {
            return None;
        }
        let waited = now - self.state.waiting_since;
        match self.connection.state() {
            // The client may still be sending. Closing the socket now would reset the connection,
            // and the response could be lost.
            State::Closing => (waited > EVICTION_GRACE_SECONDS).then_some(EvictionRank::Closing),
            State::Open if self.state.request_timeout_runs => {
                if waited <= EVICTION_GRACE_SECONDS {
                    None
                } else if waited <= SILENT_AFTER_SECONDS {
                    Some(EvictionRank::RecentlySilent)
                } else {
                    Some(EvictionRank::Unused)
                }
            }
            State::Open if self.state.used_before => Some(EvictionRank::IdleAfterUse),
            State::Open => Some(EvictionRank::Unused),
            _ => None,
        }
    }
}

/// Handles the HTTP exchanges on one connection. Borrows the connection's state, and what it needs
/// from the owner of the connection.
pub(super) struct SessionHandler<'a> {
    pub(super) state: &'a mut SessionState,
    pub(super) settings: &'a Settings,
    pub(super) readiness: Readiness,
    /// Whether this process closes every connection after its next response.
    pub(super) closes_connections: bool,
    pub(super) reactor: &'a mut Reactor,
}

impl SessionHandler<'_> {
    /// Starts a timeout, which replaces the current one.
    pub(super) fn start_timeout(&mut self, timeout_seconds: f64) {
        self.cancel_timeout();
        self.state.waiting_since = self.reactor.now;
        let timer = Timer::Client {
            key: self.state.key,
            round: self.state.timer_round,
        };
        self.reactor
            .set_timer(self.reactor.now + timeout_seconds, timer);
    }

    /// Cancels the current timeout: its timer is ignored when it expires.
    fn cancel_timeout(&mut self) {
        self.state.timer_round += 1;
    }

    /// Closes the connection; the client gets [`LINGER_TIMEOUT_SECONDS`] to close its side.
    fn close(&mut self, connection: &mut Connection<TcpStream>) {
        connection.close(self);
        self.start_timeout(LINGER_TIMEOUT_SECONDS);
    }

    /// Closes the connection if no response is due and no part of a request has arrived; returns
    /// whether it did.
    pub(super) fn close_if_idle(&mut self, connection: &mut Connection<TcpStream>) -> bool {
        let idle = connection.state() == State::Open
            && connection.flushed()
            && !self.state.request_has_begun(connection);
        if idle {
            self.close(connection);
        }
        idle
    }

    /// Handles an expired timeout.
    pub(super) fn handle_timer(&mut self, connection: &mut Connection<TcpStream>, round: u64) {
        if self.state.timer_round != round || self.state.phase != Phase::Reading {
            return;
        }
        if self.close_if_idle(connection) {
            return;
        }
        if connection.state() == State::Open && connection.flushed() {
            self.state.close_after_response = true;
            self.write_response(connection, 408, &[], b"too slow\n");
        } else {
            connection.abort();
        }
    }

    fn write_response(
        &mut self,
        connection: &mut Connection<TcpStream>,
        status: u16,
        fields: &[(&str, &str)],
        body: &[u8],
    ) {
        // A request of which a part has been read would be lost with its connection, so the
        // connection stays open until that request has its response.
        let closes = self.state.close_after_response
            || (self.closes_connections && !self.state.request_has_begun(connection));
        let option = if closes {
            ConnectionOption::Close
        } else {
            ConnectionOption::KeepAlive
        };
        let mut bytes = Vec::new();
        http::write_response(&mut bytes, status, fields, body, option);
        connection.send(&bytes, self);
        if closes {
            connection.close(self);
        }
        self.start_timeout(match (connection.flushed(), option) {
            (false, _) => DELIVERY_TIMEOUT_SECONDS,
            (true, ConnectionOption::Close) => LINGER_TIMEOUT_SECONDS,
            (true, ConnectionOption::KeepAlive) => IDLE_TIMEOUT_SECONDS,
        });
    }

    /// Writes the final answer to the client's request and continues with the input that follows.
    pub(super) fn write_answer(&mut self, connection: &mut Connection<TcpStream>, answer: &Answer) {
        self.state.phase = Phase::Reading;
        let response = AnswerResponse::new(answer);
        self.state.close_after_response |= response.close_connection;
        let retry_after = response.retry_after.as_deref();
        let fields: Vec<(&str, &str)> = retry_after
            .map(|seconds| ("Retry-After", seconds))
            .into_iter()
            .collect();
        self.write_response(connection, response.status, &fields, response.body);
        self.read_buffered_requests(connection);
    }

    /// Acknowledges the callback and continues with the input that follows.
    pub(super) fn acknowledge_callback(&mut self, connection: &mut Connection<TcpStream>) {
        self.state.phase = Phase::Reading;
        self.write_response(connection, 200, &[], b"");
        self.read_buffered_requests(connection);
        self.received(connection);
    }

    /// Continues with the input that was buffered while a response was due. If excess input was
    /// discarded meanwhile, closes the connection once the buffer has no further complete request.
    fn read_buffered_requests(&mut self, connection: &mut Connection<TcpStream>) {
        self.read_requests(connection);
        let open = self.state.phase == Phase::Reading && connection.state() == State::Open;
        if connection.has_discarded_input() && open {
            self.close(connection);
        }
    }

    /// Handles the requests in the input until one has to wait for its response. The timeout of an
    /// incomplete request runs from its first byte; later bytes do not extend it.
    pub(super) fn read_requests(&mut self, connection: &mut Connection<TcpStream>) {
        self.parse_requests(connection);
        let incomplete = self.state.phase == Phase::Reading
            && connection.state() == State::Open
            && self.state.request_has_begun(connection);
        if incomplete && !self.state.request_timeout_runs {
            self.state.request_timeout_runs = true;
            self.start_timeout(REQUEST_TIMEOUT_SECONDS);
        }
    }

    fn parse_requests(&mut self, connection: &mut Connection<TcpStream>) {
        while self.state.phase == Phase::Reading && !connection.input.is_empty() {
            let RequestProgress { status, consumed } =
                match self.state.reader.read(&connection.input) {
                    Ok(progress) => progress,
                    Err(error) => {
                        self.state.close_after_response = true;
                        let body = BAD_REQUEST.body.as_bytes();
                        return self.write_response(connection, error.status(), &[], body);
                    }
                };
            connection.consume(consumed);
            match status {
                ParseStatus::Complete { message, .. } => self.handle_request(connection, message),
                ParseStatus::BodyIncomplete {
                    expects_continue: true,
                } if !self.state.continue_sent => {
                    self.state.continue_sent = true;
                    return connection.send(CONTINUE, self);
                }
                ParseStatus::BodyIncomplete { .. } | ParseStatus::HeadIncomplete => return,
            }
        }
    }

    fn handle_request(&mut self, connection: &mut Connection<TcpStream>, request: Request) {
        self.state.close_after_response = !request.keep_alive;
        self.state.continue_sent = false;
        self.state.request_timeout_runs = false;
        let is_head = request.method == "HEAD";
        match routing::route(request, self.settings, self.readiness) {
            Route::Respond(response) => self.respond(connection, response, is_head),
            Route::Callback(callback) => self.queue_callback(callback),
            Route::Submission(submission) => self.queue_submission(*submission),
        }
    }

    fn respond(
        &mut self,
        connection: &mut Connection<TcpStream>,
        response: FixedResponse,
        is_head: bool,
    ) {
        // A client whose request can't be served gives up its connection, to make room for others.
        self.state.close_after_response |= (400..500).contains(&response.status);
        let body = if is_head { "" } else { response.body };
        self.write_response(
            connection,
            response.status,
            response.fields,
            body.as_bytes(),
        );
    }

    /// Queues a callback for the request manager. It is acknowledged only once the request manager
    /// has handled it: the worker may then forget the result, so it must be stored here first.
    fn queue_callback(&mut self, callback: WorkerCallback) {
        self.state.used_before = true;
        self.state.phase = Phase::AwaitingAcknowledgement;
        self.cancel_timeout();
        let client = self.state.client_id();
        self.reactor
            .queue
            .push_back(Input::CallbackReceived { client, callback });
    }

    /// Queues a request for the request manager. While it is pending, only its own deadline applies
    /// and no timeout of the connection.
    fn queue_submission(&mut self, submission: Submission) {
        self.state.used_before = true;
        self.state.phase = Phase::AwaitingAnswer;
        self.cancel_timeout();
        let client = self.state.client_id();
        self.reactor
            .queue
            .push_back(Input::RequestReceived { client, submission });
    }
}

impl Callbacks<TcpStream> for SessionHandler<'_> {
    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        // If reading stopped because the buffer was full, more input may be waiting in the socket,
        // and behind it the client's close.
        let may_have_more = connection.is_full();
        self.read_requests(connection);
        let awaits_answer = self.state.phase == Phase::AwaitingAnswer;
        if may_have_more && awaits_answer && connection.state() == State::Open {
            // Without reading on, an attempt could start for a client that has disconnected.
            connection.set_discard_excess_input(true);
            connection.handle_ready(true, false, self);
        }
        if connection.state() == State::HalfClosed {
            match self.state.phase {
                Phase::AwaitingAnswer => {
                    connection.abort();
                    self.ended(connection);
                }
                // The worker has closed its sending side, but still reads the acknowledgement.
                Phase::AwaitingAcknowledgement => {}
                Phase::Reading => connection.close(self),
            }
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        if self.state.phase != Phase::AwaitingAnswer {
            return;
        }
        self.state.phase = Phase::Reading;
        let client = self.state.client_id();
        let queue = &mut self.reactor.queue;
        let is_own_request = |input: &Input| matches!(input, Input::RequestReceived { client: from, .. } if *from == client);
        // A request that is still in the queue is removed. Otherwise its first attempt would start
        // before the disconnect, which would be queued behind it, is handled.
        match queue.iter().rposition(is_own_request) {
            Some(index) => drop(queue.remove(index)),
            None => queue.push_back(Input::ClientDisconnected { client }),
        }
    }
}

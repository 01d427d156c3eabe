//! The dialogue on one connection: parses requests, writes responses, keeps the timeouts.

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
/// How long a request may take to arrive; the first one from the start of its connection. A client
/// that sends nothing, or half a request, must get an end or an error within 3 s of connecting.
pub(super) const REQUEST_TIMEOUT_SECONDS: f64 = 2.0;
/// How long a client may take to read a response.
const DELIVERY_TIMEOUT_SECONDS: f64 = 30.0;
/// How long the client's end is awaited after the last response on a connection.
const LINGER_TIMEOUT_SECONDS: f64 = 1.0;
/// For this long a connection is never closed to make room: the request of a new one is on its way,
/// and so is the last response of one that is closing.
const EVICTION_GRACE_SECONDS: f64 = 0.05;
/// A connection without a request after this long is closed to make room before those that have
/// brought one.
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
    /// The acknowledgement of a call-back.
    AwaitingAcknowledgement,
}

/// The order in which connections are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// Its last response has been written.
    Closing,
    /// Silent for long, with half a request, or idle without ever having brought a request or a
    /// call-back.
    Unused,
    /// Idle, after a request or a call-back.
    IdleAfterUse,
    /// Without a complete request, for a short while.
    RecentlySilent,
}

/// The state of the dialogue on a connection.
pub(super) struct SessionState {
    key: usize,
    pub(super) phase: Phase,
    /// Whether the connection is closed after the next response.
    pub(super) close_after_response: bool,
    /// Whether the client has been asked for the body of the request that arrives.
    continue_sent: bool,
    /// Whether the connection has brought a request for the workers or a call-back.
    pub(super) useful: bool,
    /// Whether the timeout of an incomplete request runs; for the first request it runs from the
    /// start.
    pub(super) request_timeout_runs: bool,
    reader: RequestReader,
    /// When the current wait began.
    pub(super) waiting_since: f64,
    /// Number of the current wait: timers of earlier ones are recognised by theirs and ignored.
    timer_round: u64,
}

impl SessionState {
    fn new(key: usize) -> Self {
        Self {
            key,
            phase: Phase::Reading,
            close_after_response: false,
            continue_sent: false,
            useful: false,
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

/// A connection and the state of its dialogue.
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

    /// Whether the connection is open, no response is due and no head of a request has been parsed.
    pub(super) fn is_quiet(&self) -> bool {
        self.state.phase == Phase::Reading
            && self.connection.state() == State::Open
            && self.connection.flushed()
            && !self.state.reader.in_progress()
    }

    /// How early this connection is closed to make room; `None` for a new connection and for one on
    /// which a response is due. Without an order, a crowd of silent connections would displace
    /// clients with requests, or a call-back, which comes on a connection of its own.
    pub(super) fn eviction_rank(&self, now: f64) -> Option<EvictionRank> {
        if self.state.phase != Phase::Reading || !self.connection.flushed() {
            return None;
        }
        let waited = now - self.state.waiting_since;
        match self.connection.state() {
            // The client may still be sending: closing now would reset the connection, and the
            // response could be lost.
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
            State::Open if self.state.useful => Some(EvictionRank::IdleAfterUse),
            State::Open => Some(EvictionRank::Unused),
            _ => None,
        }
    }
}

/// Runs the dialogue on one connection: borrows its state and what it needs of its owner.
pub(super) struct SessionHandler<'a> {
    pub(super) state: &'a mut SessionState,
    pub(super) settings: &'a Settings,
    pub(super) readiness: Readiness,
    /// Whether this process closes connections after their next response.
    pub(super) closes_connections: bool,
    pub(super) reactor: &'a mut Reactor,
}

impl SessionHandler<'_> {
    /// Begins a wait that ends after this time.
    pub(super) fn start_wait(&mut self, timeout_seconds: f64) {
        self.stop_wait();
        self.state.waiting_since = self.reactor.now;
        let timer = Timer::Client {
            key: self.state.key,
            round: self.state.timer_round,
        };
        self.reactor
            .set_timer(self.reactor.now + timeout_seconds, timer);
    }

    /// Invalidates the timer of the current wait.
    fn stop_wait(&mut self) {
        self.state.timer_round += 1;
    }

    /// Closes the connection; the client's end is awaited for a short while.
    fn close(&mut self, connection: &mut Connection<TcpStream>) {
        connection.close(self);
        self.start_wait(LINGER_TIMEOUT_SECONDS);
    }

    /// Closes the connection if nothing has arrived on it and no response is due; returns whether
    /// it did.
    pub(super) fn close_if_idle(&mut self, connection: &mut Connection<TcpStream>) -> bool {
        let idle = connection.state() == State::Open
            && connection.flushed()
            && !self.state.request_has_begun(connection);
        if idle {
            self.close(connection);
        }
        idle
    }

    /// Handles the end of a wait.
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
        // A request that has been read in part would be lost with its connection: that one's
        // response closes it.
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
        self.start_wait(match (connection.flushed(), option) {
            (false, _) => DELIVERY_TIMEOUT_SECONDS,
            (true, ConnectionOption::Close) => LINGER_TIMEOUT_SECONDS,
            (true, ConnectionOption::KeepAlive) => IDLE_TIMEOUT_SECONDS,
        });
    }

    /// Writes the final answer to the client's request and continues with the input behind that.
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

    /// Acknowledges the call-back and continues with the input behind it.
    pub(super) fn acknowledge_callback(&mut self, connection: &mut Connection<TcpStream>) {
        self.state.phase = Phase::Reading;
        self.write_response(connection, 200, &[], b"");
        self.read_buffered_requests(connection);
        self.received(connection);
    }

    /// Continues with the input that was buffered while a response was due. If more of it was
    /// discarded, the connection is closed once the buffer has no further complete request.
    fn read_buffered_requests(&mut self, connection: &mut Connection<TcpStream>) {
        self.read_requests(connection);
        let open = self.state.phase == Phase::Reading && connection.state() == State::Open;
        if connection.has_discarded_input() && open {
            self.close(connection);
        }
    }

    /// Handles the requests in the input until a response is due. The timeout of an incomplete
    /// request runs from its first byte: a client that sends byte after byte gets no more time.
    pub(super) fn read_requests(&mut self, connection: &mut Connection<TcpStream>) {
        self.parse_requests(connection);
        let incomplete = self.state.phase == Phase::Reading
            && connection.state() == State::Open
            && self.state.request_has_begun(connection);
        if incomplete && !self.state.request_timeout_runs {
            self.state.request_timeout_runs = true;
            self.start_wait(REQUEST_TIMEOUT_SECONDS);
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
            Route::Callback(callback) => self.begin_callback(callback),
            Route::Submission(submission) => self.begin_submission(*submission),
        }
    }

    fn respond(
        &mut self,
        connection: &mut Connection<TcpStream>,
        response: FixedResponse,
        is_head: bool,
    ) {
        // A client whose request can't be served makes room for others.
        self.state.close_after_response |= (400..500).contains(&response.status);
        let body = if is_head { "" } else { response.body };
        self.write_response(
            connection,
            response.status,
            response.fields,
            body.as_bytes(),
        );
    }

    /// Passes a call-back on. It is acknowledged once the request manager has handled it: what the
    /// worker may forget then must be stored here before.
    fn begin_callback(&mut self, callback: WorkerCallback) {
        self.state.useful = true;
        self.state.phase = Phase::AwaitingAcknowledgement;
        self.stop_wait();
        let client = self.state.client_id();
        self.reactor
            .queue
            .push_back(Input::CallbackReceived { client, callback });
    }

    /// Passes a request on. No timeout of the connection runs then, only the request's own.
    fn begin_submission(&mut self, submission: Submission) {
        self.state.useful = true;
        self.state.phase = Phase::AwaitingAnswer;
        self.stop_wait();
        let client = self.state.client_id();
        self.reactor
            .queue
            .push_back(Input::RequestReceived { client, submission });
    }
}

impl Callbacks<TcpStream> for SessionHandler<'_> {
    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        // Reading stopped at a full buffer: more input, and the client's end behind it, may be
        // there already.
        let may_have_more = connection.is_full();
        self.read_requests(connection);
        let awaits_answer = self.state.phase == Phase::AwaitingAnswer;
        if may_have_more && awaits_answer && connection.state() == State::Open {
            // Otherwise an attempt would begin for a client that has disconnected long ago.
            connection.set_discard_excess_input(true);
            connection.handle_ready(true, false, self);
        }
        if connection.state() == State::HalfClosed {
            match self.state.phase {
                Phase::AwaitingAnswer => {
                    connection.abort();
                    self.ended(connection);
                }
                // The worker has sent all that it wanted to, and still reads.
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
        // A request that is still in the queue is withdrawn: with both events in a row, the first
        // attempt would begin for a client that has disconnected already.
        match queue.iter().rposition(is_own_request) {
            Some(index) => drop(queue.remove(index)),
            None => queue.push_back(Input::ClientDisconnected { client }),
        }
    }
}

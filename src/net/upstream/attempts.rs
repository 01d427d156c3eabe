//! Attempts and probes: the connections to workers that carry them, dialed or taken from the pool,
//! and the timers of these connections.

use super::exchange::{Exchange, ExchangeKind, OutgoingRequest};
use super::pool::Pool;
use crate::net::messages::{AttemptEnd, AttemptId, Input, Load, Payload};
use crate::net::transport::connection::{Connection, State};
use crate::net::transport::http;
use crate::net::transport::reactor::{self, Reactor, SocketOwner, Timer};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// How long the node waits for the response to a cancel, or to an attempt past its deadline, in
/// seconds.
const RESPONSE_GRACE_SECONDS: f64 = 2.0;

/// Largest response that a connection buffers, in bytes: a head, and a body with its chunk framing.
const MAX_RESPONSE_BYTES: usize = http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES;

/// A connection to a worker.
struct Session {
    connection: Connection<TcpStream>,
    exchange: Exchange,
    /// The attempt or probe that the connection carries, until its end has been handled.
    attempt: Option<AttemptId>,
    /// When its current request was started, or when it became idle, in the reactor's time.
    state_since: f64,
    /// How long it had been idle before its current request, in seconds; `None` for a new
    /// connection.
    idle_before_seconds: Option<f64>,
    /// Counts requests and idle periods, so that a timer that was set in an earlier one can be
    /// ignored.
    round: u64,
}

impl Session {
    fn is_idle(&self) -> bool {
        self.exchange.kind() == ExchangeKind::Idle
    }

    fn is_dialing(&self) -> bool {
        self.connection.state() == State::Dialing
    }
}

/// The connections to all workers.
pub struct Attempts {
    sessions: HashMap<usize, Session>,
    pool: Pool,
    by_attempt: HashMap<AttemptId, usize>,
    max_connections: usize,
    /// In seconds.
    dial_timeout: f64,
}

impl Attempts {
    /// Creates an empty set of at most `max_connections` connections. `dial_timeout` and the
    /// workers' `idle_timeout` are in seconds; an `idle_timeout` of 0 means that it is unknown.
    pub fn new(max_connections: usize, dial_timeout: f64, idle_timeout: f64) -> Self {
        Self {
            sessions: HashMap::new(),
            pool: Pool::new(idle_timeout),
            by_attempt: HashMap::new(),
            max_connections,
            dial_timeout,
        }
    }

    /// Sets the limit on the number of connections.
    pub fn set_connection_limit(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// The number of connections.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// Starts an attempt whose client waits until `deadline`.
    pub fn start_attempt(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        payload: &Rc<Payload>,
        deadline: f64,
    ) {
        let outgoing = OutgoingRequest::Attempt {
            payload: payload.clone(),
            deadline,
        };
        self.start_exchange(
            reactor,
            worker,
            ExchangeKind::Attempt(attempt),
            outgoing,
            deadline + RESPONSE_GRACE_SECONDS,
        );
    }

    /// Requests a worker's load report and waits `timeout` seconds for it. This detects a worker
    /// that accepts connections but doesn't respond.
    pub fn start_probe(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        timeout: f64,
    ) {
        let outgoing = bodyless_request("GET", "/-/load", worker);
        self.start_exchange(
            reactor,
            worker,
            ExchangeKind::Probe(attempt),
            outgoing,
            reactor.now + timeout,
        );
    }

    /// Cancels an attempt: sends a cancel to the worker if it has `accepted` the attempt, otherwise
    /// closes the attempt's connection.
    pub fn cancel_attempt(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        id: &str,
        accepted: bool,
    ) {
        if accepted {
            self.send_cancel(reactor, worker, id);
        } else {
            self.abandon_attempt(reactor, attempt, worker);
        }
    }

    fn send_cancel(&mut self, reactor: &mut Reactor, worker: SocketAddr, id: &str) {
        let outgoing = bodyless_request("DELETE", &format!("/jobs/{id}"), worker);
        self.start_exchange(
            reactor,
            worker,
            ExchangeKind::Discarded,
            outgoing,
            reactor.now + RESPONSE_GRACE_SECONDS,
        );
    }

    fn abandon_attempt(&mut self, reactor: &mut Reactor, attempt: AttemptId, worker: SocketAddr) {
        let Some(key) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        if self.is_unresponsive(reactor.now, worker) {
            self.close_idle_connections(reactor, worker);
        }
        if let Some(session) = self.sessions.get_mut(&key) {
            session.exchange.abandon(&mut session.connection);
        }
        self.update_session(reactor, key);
    }

    /// Starts a request on an idle connection or a new one. It times out at `timeout_at`, in the
    /// reactor's time.
    fn start_exchange(
        &mut self,
        reactor: &mut Reactor,
        worker: SocketAddr,
        kind: ExchangeKind,
        outgoing: OutgoingRequest,
        timeout_at: f64,
    ) {
        let connection = match self.take_idle_connection(reactor, worker) {
            Some(key) => Ok(key),
            None => self.dial(reactor, worker),
        };
        let key = match connection {
            Ok(key) => key,
            Err(end) => {
                let ended = kind.attempt_id().map(|attempt| Input::ExchangeEnded {
                    attempt,
                    end,
                    load: Load::new(),
                });
                return reactor.queue.extend(ended);
            }
        };
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        session.idle_before_seconds =
            (session.round > 0).then_some(reactor.now - session.state_since);
        session.state_since = reactor.now;
        session.round += 1;
        session.attempt = kind.attempt_id();
        self.by_attempt.extend(session.attempt.map(|id| (id, key)));
        reactor.set_timer(
            timeout_at,
            Timer::Attempt {
                key,
                round: session.round,
            },
        );
        session
            .exchange
            .start(kind, outgoing, &mut session.connection, reactor);
        self.update_session(reactor, key);
    }

    /// Whether the worker has left a request unanswered for longer than a connection may take to be
    /// established.
    fn is_unresponsive(&self, now: f64, worker: SocketAddr) -> bool {
        self.sessions.values().any(|session| {
            session.exchange.worker() == worker
                && !session.is_idle()
                && !session.is_dialing()
                && now - session.state_since > self.dial_timeout
        })
    }

    /// Closes the idle connections to a worker that may have become unreachable. They would still
    /// look open then, and a request written to one of them may have run, whereas a new connection
    /// that can't be established proves that the request has not run.
    pub fn close_idle_connections(&mut self, reactor: &mut Reactor, worker: SocketAddr) {
        for key in self.pool.take_all(worker) {
            self.close(reactor, key);
        }
    }

    /// Withdraws an attempt whose last byte has not been written: it can't have run, and this does
    /// not count against its worker. Only the connection knows how much has been written; an
    /// attempt that has been written completely goes on.
    pub fn withdraw_attempt(&mut self, reactor: &mut Reactor, attempt: AttemptId) {
        let Some(key) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        if session.exchange.kind() == ExchangeKind::Attempt(attempt)
            && session.exchange.withdraw(&mut session.connection, reactor)
        {
            self.update_session(reactor, key);
        }
    }

    /// Takes an idle connection to the worker that is still open and has not been idle too long to
    /// be reused.
    fn take_idle_connection(&mut self, reactor: &mut Reactor, worker: SocketAddr) -> Option<usize> {
        if self.pool.has_idle(worker) && self.is_unresponsive(reactor.now, worker) {
            self.close_idle_connections(reactor, worker);
        }
        let max_idle_seconds = self.pool.reusable_seconds(reactor.now);
        while let Some(key) = self.pool.take(worker) {
            let Some(session) = self.sessions.get_mut(&key) else {
                continue;
            };
            // The worker may have closed the connection, and the event may not have been handled
            // yet.
            session
                .exchange
                .handle_ready(true, false, &mut session.connection, reactor);
            if session.connection.state() == State::Open
                && reactor.now - session.state_since <= max_idle_seconds
            {
                return Some(key);
            }
            self.close(reactor, key);
        }
        None
    }

    /// Opens a connection; at the limit on connections, an idle one is closed first. A failure is
    /// [`AttemptEnd::NeverSent`] only if the worker refused the connection or can't be reached: a
    /// lack of resources on this node must not count against the worker.
    fn dial(&mut self, reactor: &mut Reactor, worker: SocketAddr) -> Result<usize, AttemptEnd> {
        if self.sessions.len() >= self.max_connections {
            let oldest = self
                .pool
                .oldest()
                .ok_or(AttemptEnd::LocalCapacityExhausted)?;
            self.close(reactor, oldest);
        }
        let stream = reactor::dial(worker).map_err(|error| dial_failure(&error))?;
        let key = reactor
            .register(&stream, SocketOwner::Attempt)
            .map_err(|_| AttemptEnd::LocalCapacityExhausted)?;
        let session = Session {
            connection: Connection::dialing(stream, MAX_RESPONSE_BYTES),
            exchange: Exchange::new(worker),
            attempt: None,
            state_since: reactor.now,
            idle_before_seconds: None,
            round: 0,
        };
        self.sessions.insert(key, session);
        reactor.set_timer(
            reactor.now + self.dial_timeout,
            Timer::AttemptConnect { key },
        );
        Ok(key)
    }

    /// Serves a connection that is ready to be read or written.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        session
            .exchange
            .handle_ready(readable, writable, &mut session.connection, reactor);
        self.update_session(reactor, key);
    }

    /// Ends the request of a connection that has not been established within the dial timeout.
    pub fn handle_dial_timer(&mut self, reactor: &mut Reactor, key: usize) {
        if let Some(session) = self.sessions.get_mut(&key).filter(|s| s.is_dialing()) {
            session
                .exchange
                .handle_timeout(&mut session.connection, reactor);
            self.update_session(reactor, key);
        }
    }

    /// Ends a request that has timed out, or closes a connection that has been idle for long
    /// enough. After a timeout the idle connections to the same worker are closed as well.
    pub fn handle_attempt_timer(&mut self, reactor: &mut Reactor, key: usize, round: u64) {
        let Some(session) = self.sessions.get_mut(&key).filter(|s| s.round == round) else {
            return;
        };
        let unanswered = !session.is_idle();
        let worker = session.exchange.worker();
        session
            .exchange
            .handle_timeout(&mut session.connection, reactor);
        self.update_session(reactor, key);
        if unanswered {
            self.close_idle_connections(reactor, worker);
        }
    }

    /// Updates a session after an event on its connection: closes the connection, returns it to the
    /// pool, or waits for its next event.
    fn update_session(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        if session.exchange.kind().attempt_id().is_none()
            && let Some(attempt) = session.attempt.take()
        {
            self.by_attempt.remove(&attempt);
        }
        // Only a connection that breaks soon after the request was started is taken to have been
        // dropped while it was idle.
        let soon = reactor.now - session.state_since <= self.dial_timeout;
        let broke = session.exchange.broke_unanswered() && soon;
        if let Some(idle_seconds) = session.idle_before_seconds.filter(|_| broke) {
            self.pool
                .record_broken_after_idle(idle_seconds, reactor.now);
        }
        if matches!(session.connection.state(), State::Ended | State::HalfClosed) {
            return self.close(reactor, key);
        }
        reactor.rearm(
            session.connection.stream(),
            key,
            session.connection.interest(),
        );
        if session.is_idle() && self.pool.add(session.exchange.worker(), key) {
            session.round += 1;
            session.state_since = reactor.now;
            reactor.set_timer(
                reactor.now + self.pool.keep_seconds(),
                Timer::Attempt {
                    key,
                    round: session.round,
                },
            );
        }
    }

    fn close(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(session) = self.sessions.remove(&key) else {
            return;
        };
        reactor.deregister(session.connection.stream());
        if let Some(attempt) = session.attempt {
            self.by_attempt.remove(&attempt);
        }
        self.pool.remove(session.exchange.worker(), key);
    }
}

/// Returns the end of an attempt whose connection could not be opened.
fn dial_failure(error: &io::Error) -> AttemptEnd {
    match error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => AttemptEnd::NeverSent,
        _ => AttemptEnd::LocalCapacityExhausted,
    }
}

/// Encodes a request without a body.
fn bodyless_request(method: &str, target: &str, worker: SocketAddr) -> OutgoingRequest {
    let host = worker.to_string();
    let mut bytes = Vec::new();
    http::write_request(&mut bytes, method, target, &[("Host", &host)], b"");
    OutgoingRequest::Encoded(bytes)
}

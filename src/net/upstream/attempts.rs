//! Attempts at workers: the connections that carry them, dialed or taken from the pool, and their
//! timers.

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

/// How long the response to a cancel, or to an attempt past its deadline, is awaited, in seconds.
const RESPONSE_GRACE_SECONDS: f64 = 2.0;

/// Most bytes of a response that a connection buffers: a head, and a body with the overhead of its
/// chunks.
const MAX_RESPONSE_BYTES: usize = http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES;

/// A connection to a worker.
struct Session {
    connection: Connection<TcpStream>,
    exchange: Exchange,
    /// The attempt that it carries or carried last.
    attempt: Option<AttemptId>,
    /// Since when it has carried its request, or been idle, in the reactor's time.
    since: f64,
    /// How long it had been idle before its request, in seconds; `None` for a new connection.
    idle_before_seconds: Option<f64>,
    /// Counts requests and idle periods, so that the timer of an earlier one is recognised.
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
    /// workers' `idle_timeout` are in seconds; an `idle_timeout` of 0 is unknown.
    pub fn new(max_connections: usize, dial_timeout: f64, idle_timeout: f64) -> Self {
        Self {
            sessions: HashMap::new(),
            pool: Pool::new(idle_timeout),
            by_attempt: HashMap::new(),
            max_connections,
            dial_timeout,
        }
    }

    /// Sets the limit on connections.
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

    /// Requests a worker's load report and waits `timeout` seconds for it. A worker that accepts
    /// connections and answers nothing is found this way.
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

    /// Cancels an attempt: sends a cancel to a worker that has `accepted` it, or else closes its
    /// connection.
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
        self.settle(reactor, key);
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
        session.idle_before_seconds = (session.round > 0).then_some(reactor.now - session.since);
        session.since = reactor.now;
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
        self.settle(reactor, key);
    }

    /// Whether the worker has left a request unanswered for longer than a connection may take to be
    /// established.
    fn is_unresponsive(&self, now: f64, worker: SocketAddr) -> bool {
        self.sessions.values().any(|session| {
            session.exchange.worker() == worker
                && !session.is_idle()
                && !session.is_dialing()
                && now - session.since > self.dial_timeout
        })
    }

    /// Closes the idle connections to a worker. One that has vanished leaves them open, and a
    /// request written to them has perhaps run; a connection that can't be established proves that
    /// it has not.
    pub fn close_idle_connections(&mut self, reactor: &mut Reactor, worker: SocketAddr) {
        for key in self.pool.take_all(worker) {
            self.close(reactor, key);
        }
    }

    /// Withdraws an attempt whose last byte has not been written: nothing ran, and its worker is
    /// not to blame. Only the connection knows that; an attempt that has been written completely
    /// goes on.
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
            self.settle(reactor, key);
        }
    }

    /// Takes an idle connection to the worker that is still open and has not been idle for too
    /// long.
    fn take_idle_connection(&mut self, reactor: &mut Reactor, worker: SocketAddr) -> Option<usize> {
        if self.pool.has_idle(worker) && self.is_unresponsive(reactor.now, worker) {
            self.close_idle_connections(reactor, worker);
        }
        let max_idle_seconds = self.pool.reusable_seconds(reactor.now);
        while let Some(key) = self.pool.take(worker) {
            let Some(session) = self.sessions.get_mut(&key) else {
                continue;
            };
            // Its end may have arrived without having been noticed.
            session
                .exchange
                .handle_ready(true, false, &mut session.connection, reactor);
            if session.connection.state() == State::Open
                && reactor.now - session.since <= max_idle_seconds
            {
                return Some(key);
            }
            self.close(reactor, key);
        }
        None
    }

    /// Opens a connection; at the limit an idle one is closed for it. Only what proves that the
    /// worker refused or can't be reached ends in [`AttemptEnd::NeverSent`]: a shortage on this
    /// side must not count against the worker.
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
            since: reactor.now,
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
        self.settle(reactor, key);
    }

    /// Ends the request of a connection that has not been established within the dial timeout.
    pub fn handle_dial_timer(&mut self, reactor: &mut Reactor, key: usize) {
        if let Some(session) = self.sessions.get_mut(&key).filter(|s| s.is_dialing()) {
            session
                .exchange
                .handle_timeout(&mut session.connection, reactor);
            self.settle(reactor, key);
        }
    }

    /// Ends a request that has timed out, or closes a connection that has been idle for long
    /// enough. A worker that left a request unanswered loses its idle connections too.
    pub fn handle_attempt_timer(&mut self, reactor: &mut Reactor, key: usize, round: u64) {
        let Some(session) = self.sessions.get_mut(&key).filter(|s| s.round == round) else {
            return;
        };
        let unanswered = !session.is_idle();
        let worker = session.exchange.worker();
        session
            .exchange
            .handle_timeout(&mut session.connection, reactor);
        self.settle(reactor, key);
        if unanswered {
            self.close_idle_connections(reactor, worker);
        }
    }

    /// Settles a connection after something has happened on it: closes it, returns it to the pool,
    /// or waits for more.
    fn settle(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        if session.exchange.kind().attempt_id().is_none()
            && let Some(attempt) = session.attempt.take()
        {
            self.by_attempt.remove(&attempt);
        }
        // Only a break soon after the request says that the idle connection had been dropped before
        // it.
        let soon = reactor.now - session.since <= self.dial_timeout;
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
            session.since = reactor.now;
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

/// The end of an attempt whose connection could not be opened.
fn dial_failure(error: &io::Error) -> AttemptEnd {
    match error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => AttemptEnd::NeverSent,
        _ => AttemptEnd::LocalCapacityExhausted,
    }
}

/// A request without a body.
fn bodyless_request(method: &str, target: &str, worker: SocketAddr) -> OutgoingRequest {
    let host = worker.to_string();
    let mut bytes = Vec::new();
    http::write_request(&mut bytes, method, target, &[("Host", &host)], b"");
    OutgoingRequest::Encoded(bytes)
}

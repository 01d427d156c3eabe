//! Attempts at workers: the connections that carry them, made or taken from the pool, and their timers.

use super::exchange::{Carries, Exchange, Outgoing};
use super::pool::Pool;
use crate::net::messages::{AttemptEnd, AttemptId, Input, Load, Payload};
use crate::net::transport::connection::{Connection, State};
use crate::net::transport::http;
use crate::net::transport::reactor::{self, Owner, Reactor, Timer};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// How long the answer to a cancel, or to an attempt that has been decided, is waited for, in seconds.
const PATIENCE: f64 = 2.0;

/// A connection to a worker.
struct Session {
    connection: Connection<TcpStream>,
    exchange: Exchange,
    /// The attempt that it carries or carried last.
    attempt: Option<AttemptId>,
    /// Since when it has carried its request, or lain idle.
    since: f64,
    /// For how long it had lain idle before its request; a new one has not.
    rested: Option<f64>,
    /// Counts requests and rests, so that a timer of an earlier one is known.
    round: u64,
}

/// The connections to all workers.
pub struct Attempts {
    sessions: HashMap<usize, Session>,
    pool: Pool,
    by_attempt: HashMap<AttemptId, usize>,
    most: usize,
    dial_timeout: f64,
}

impl Attempts {
    /// No connections yet, at most so many ever.
    pub fn new(most: usize, dial_timeout: f64, conn_idle: f64) -> Self {
        let (sessions, by_attempt) = Default::default();
        Self {
            sessions,
            pool: Pool::new(conn_idle),
            by_attempt,
            most,
            dial_timeout,
        }
    }

    /// Holds at most so many connections from now on.
    pub fn set_connection_limit(&mut self, most: usize) {
        self.most = most;
    }

    /// How many connections there are.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// Starts an attempt whose client waits until this time.
    pub fn start_attempt(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        payload: &Rc<Payload>,
        until: f64,
    ) {
        let outgoing = Outgoing::Attempt(payload.clone(), until);
        self.carry(
            reactor,
            worker,
            Carries::Attempt(attempt),
            outgoing,
            until + PATIENCE,
        );
    }

    /// Asks a worker for its load. The answer is waited for so many seconds: one that takes jobs and answers nothing shows there.
    pub fn start_probe(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        wait: f64,
    ) {
        let outgoing = bare_request("GET", "/-/load", worker);
        self.carry(
            reactor,
            worker,
            Carries::Probe(attempt),
            outgoing,
            reactor.now + wait,
        );
    }

    /// Gives an attempt up: tells its worker, or closes its connection where the worker has not answered.
    pub fn cancel_attempt(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        id: &str,
        accepted: bool,
    ) {
        if accepted {
            let outgoing = bare_request("DELETE", &format!("/jobs/{id}"), worker);
            return self.carry(
                reactor,
                worker,
                Carries::Unheeded,
                outgoing,
                reactor.now + PATIENCE,
            );
        }
        let Some(key) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        if self.silent(reactor.now, worker) {
            self.close_idle_connections(reactor, worker);
        }
        if let Some(session) = self.sessions.get_mut(&key) {
            session.exchange.give_up(&mut session.connection);
        }
        self.after(reactor, key);
    }

    fn carry(
        &mut self,
        reactor: &mut Reactor,
        worker: SocketAddr,
        carries: Carries,
        outgoing: Outgoing,
        until: f64,
    ) {
        let key = match self
            .pooled(reactor, worker)
            .map_or_else(|| self.dial(reactor, worker), Ok)
        {
            Ok(key) => key,
            Err(end) => {
                let told = carries.id().map(|id| Input::ExchangeEnded {
                    attempt: id,
                    end,
                    load: Load::new(),
                });
                return reactor.queue.extend(told);
            }
        };
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        session.rested = (session.round > 0).then_some(reactor.now - session.since);
        session.since = reactor.now;
        session.round += 1;
        session.attempt = carries.id();
        self.by_attempt.extend(session.attempt.map(|id| (id, key)));
        reactor.set_timer(until, Timer::Attempt(key, session.round));
        session
            .exchange
            .begin(carries, outgoing, &mut session.connection, reactor);
        self.after(reactor, key);
    }

    /// Whether the worker has left something without an answer for longer than a connection may take to make.
    fn silent(&self, now: f64, worker: SocketAddr) -> bool {
        let waits = |s: &Session| {
            s.exchange.carries() != Carries::Nothing && s.connection.state() != State::Dialing
        };
        let late = |s: &Session| now - s.since > self.dial_timeout;
        self.sessions
            .values()
            .any(|s| s.exchange.worker() == worker && waits(s) && late(s))
    }

    /// Lets the idle connections to a worker go. Danger: one that has vanished leaves them open, and a job
    /// written to them has perhaps run; a connection that is not made proves that it has not.
    pub fn close_idle_connections(&mut self, reactor: &mut Reactor, worker: SocketAddr) {
        for key in self.pool.take_all(worker) {
            self.drop(reactor, key);
        }
    }

    /// Gives an attempt back whose last byte is not written: nothing ran, and its worker is not to blame. Only the
    /// connection knows; what has been written whole goes on.
    pub fn withdraw_attempt(&mut self, reactor: &mut Reactor, attempt: AttemptId) {
        let Some(key) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        if session.exchange.carries() == Carries::Attempt(attempt)
            && session.exchange.withdraw(&mut session.connection, reactor)
        {
            self.after(reactor, key);
        }
    }

    /// An idle connection to the worker that is still whole.
    fn pooled(&mut self, reactor: &mut Reactor, worker: SocketAddr) -> Option<usize> {
        if self.pool.has(worker) && self.silent(reactor.now, worker) {
            self.close_idle_connections(reactor, worker);
        }
        let most = self.pool.usable(reactor.now);
        while let Some(key) = self.pool.take(worker) {
            let Some(session) = self.sessions.get_mut(&key) else {
                continue;
            };
            // Its end may have arrived without having been noticed.
            session
                .exchange
                .ready(true, false, &mut session.connection, reactor);
            if session.connection.state() == State::Open && reactor.now - session.since <= most {
                return Some(key);
            }
            self.drop(reactor, key);
        }
        None
    }

    fn dial(&mut self, reactor: &mut Reactor, worker: SocketAddr) -> Result<usize, AttemptEnd> {
        if self.sessions.len() >= self.most {
            let oldest = self.pool.oldest().ok_or(AttemptEnd::NoRoom)?;
            self.drop(reactor, oldest);
        }
        // Danger: a shortage here told as a worker's fault would take sound workers out of the draw.
        let stream = reactor::dial(worker).map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable => AttemptEnd::NeverSent,
            _ => AttemptEnd::NoRoom,
        })?;
        let key = reactor
            .register(&stream, Owner::Attempt)
            .map_err(|_| AttemptEnd::NoRoom)?;
        let connection =
            Connection::dialing(stream, http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES);
        let exchange = Exchange::new(worker);
        let (attempt, since, rested, round) = (None, reactor.now, None, 0);
        self.sessions.insert(
            key,
            Session {
                connection,
                exchange,
                attempt,
                since,
                rested,
                round,
            },
        );
        reactor.set_timer(reactor.now + self.dial_timeout, Timer::Dial(key));
        Ok(key)
    }

    /// A connection can be read or written.
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
            .ready(readable, writable, &mut session.connection, reactor);
        self.after(reactor, key);
    }

    /// A connection has had its time to be made.
    pub fn handle_dial_timer(&mut self, reactor: &mut Reactor, key: usize) {
        if let Some(s) = self
            .sessions
            .get_mut(&key)
            .filter(|s| s.connection.state() == State::Dialing)
        {
            s.exchange.time_out(&mut s.connection, reactor);
            self.after(reactor, key);
        }
    }

    /// A request, or an idle connection, has had its time.
    pub fn handle_attempt_timer(&mut self, reactor: &mut Reactor, key: usize, round: u64) {
        let Some(session) = self.sessions.get_mut(&key).filter(|s| s.round == round) else {
            return;
        };
        let silent = session.exchange.carries() != Carries::Nothing;
        let worker = session.exchange.worker();
        session.exchange.time_out(&mut session.connection, reactor);
        self.after(reactor, key);
        if silent {
            self.close_idle_connections(reactor, worker);
        }
    }

    /// Puts a connection back to where it belongs after something has happened on it.
    fn after(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        if session.exchange.carries().id().is_none() {
            session
                .attempt
                .take()
                .map(|attempt| self.by_attempt.remove(&attempt));
        }
        let at_once = reactor.now - session.since <= self.dial_timeout;
        if let Some(rested) = session
            .rested
            .filter(|_| session.exchange.broke() && at_once)
        {
            self.pool.broke_after(rested, reactor.now);
        }
        if matches!(session.connection.state(), State::Ended | State::HalfClosed) {
            return self.drop(reactor, key);
        }
        reactor.rearm(
            session.connection.stream(),
            key,
            session.connection.interest(),
        );
        let idle = session.exchange.carries() == Carries::Nothing;
        if idle && self.pool.add(session.exchange.worker(), key) {
            session.round += 1;
            session.since = reactor.now;
            reactor.set_timer(
                reactor.now + self.pool.keep(),
                Timer::Attempt(key, session.round),
            );
        }
    }

    fn drop(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(session) = self.sessions.remove(&key) else {
            return;
        };
        reactor.deregister(session.connection.stream());
        session
            .attempt
            .map(|attempt| self.by_attempt.remove(&attempt));
        self.pool.remove(session.exchange.worker(), key);
    }
}

/// A request without a body.
fn bare_request(method: &str, target: &str, worker: SocketAddr) -> Outgoing {
    let host = worker.to_string();
    let mut bytes = Vec::new();
    http::write_request(&mut bytes, method, target, &[("Host", &host)], b"");
    Outgoing::Bytes(bytes)
}

//! Attempts: connections to workers, the pool of idle ones, and one attempt's life on them.

use crate::net::ground::connection::{Callbacks, Connection, State};
use crate::net::ground::http::{self, Read, Response};
use crate::net::ground::reactor::{self, Due, Owner, Reactor};
use crate::net::words::{AttemptEnd, AttemptId, Input, Load, Payload};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};

/// Of the time after which a worker closes an idle connection, the share for which it is kept.
const IDLE_SHARE: f64 = 0.8;
/// Of the time for which a connection lay idle that its next request found broken, the share for which
/// others are used; that time doubles with each of these seconds.
const WORN_SHARE: f64 = 0.5;
const WORN_DOUBLES: f64 = 5.0;
/// It is never learned to be shorter.
const WORN_LEAST: f64 = 0.02;
/// A connection on which a worker has answered anything but that it takes the job, or a probe with its load, is used again after
/// this time, in seconds: it may answer twice, some milliseconds apart, and the second would be taken for the next attempt's.
const AGAIN_AFTER: f64 = 0.05;
/// How long the answer to a cancel, or to an attempt that has been decided, is waited for.
const PATIENCE: f64 = 2.0;

/// What a connection is carrying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Errand {
    /// Nothing.
    Idle,
    /// An attempt; whether its last byte was written.
    Attempt(AttemptId, bool),
    /// A question for the load; whether its last byte was written.
    Probe(AttemptId, bool),
    /// A cancel, or an attempt whose end no longer matters.
    Other,
}

impl Errand {
    /// Whether an answer to it matters.
    fn counts(self) -> bool {
        matches!(self, Self::Attempt(..) | Self::Probe(..))
    }
}

struct Errands {
    worker: SocketAddr,
    errand: Errand,
    /// The attempt that it carries or carried last.
    attempt: Option<AttemptId>,
    /// Since when it has carried its errand, or lain idle.
    since: f64,
    /// Since when it may be used again.
    usable_from: f64,
    /// For how long it had lain idle before its errand; a new one has not.
    rested: Option<f64>,
    /// It broke under an attempt that had no answer yet.
    broke: bool,
    /// Counts the errands, so that a timer of an earlier one is known.
    round: u64,
}

struct Session {
    connection: Connection<TcpStream>,
    errands: Errands,
}

/// The connections to all workers.
pub struct Attempts {
    sessions: HashMap<usize, Session>,
    /// Idle connections by worker; the last used comes first.
    idle: HashMap<SocketAddr, Vec<usize>>,
    by_attempt: HashMap<AttemptId, usize>,
    most: usize,
    dial_timeout: f64,
    keep: f64,
    /// How long a connection may have lain idle to be used, as it was learned last, and when.
    worn: (f64, f64),
}

/// Calls back from one connection.
struct Caller<'a> {
    errands: &'a mut Errands,
    reactor: &'a mut Reactor,
}

impl Caller<'_> {
    fn written(&mut self, connection: &Connection<TcpStream>) {
        let sent = connection.flushed() && !matches!(connection.state(), State::Dialing | State::Ended);
        match &mut self.errands.errand {
            Errand::Attempt(attempt, written @ false) if sent => {
                *written = true;
                self.reactor.queue.push_back(Input::Written(*attempt));
            }
            Errand::Probe(_, written) => *written |= sent,
            _ => {}
        }
    }

    fn over(&mut self, end: AttemptEnd, load: Load) {
        let errand = std::mem::replace(&mut self.errands.errand, Errand::Other);
        if let Errand::Attempt(attempt, _) | Errand::Probe(attempt, _) = errand {
            self.reactor.queue.push_back(Input::Attempt(attempt, end, load));
        }
    }

    fn answered(&mut self, response: &Response, early: bool) {
        if let Errand::Probe(..) = self.errands.errand {
            // Its answer brings the report as its body; a 503 says that it is not well.
            let body = std::str::from_utf8(&response.body).map(load_header).unwrap_or_default();
            let end = if response.status == 200 { AttemptEnd::Accepted } else { AttemptEnd::Error };
            return self.over(end, body);
        }
        let not_run = response.headers.get("x-not-run") == Some("1");
        let end = match response.status {
            202 if early => AttemptEnd::NeverSent, // the worker will never have it whole
            202 => AttemptEnd::Accepted,
            503 | 504 if not_run => AttemptEnd::NotRun,
            _ => AttemptEnd::Error,
        };
        self.over(end, response.headers.get("x-load").map(load_header).unwrap_or_default());
    }
}

impl Callbacks<TcpStream> for Caller<'_> {
    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        self.written(connection);
        let ended = connection.heard_all();
        // Bytes on an idle connection belong to nothing; an early answer, to a request not yet written, ends it.
        let early = matches!(self.errands.errand, Errand::Attempt(_, false) | Errand::Probe(_, false));
        match http::read_response(&connection.input, ended, http::MOST_BODY) {
            _ if self.errands.errand == Errand::Idle => connection.abort(),
            Ok(Read::Whole(response, size)) => {
                let probe = matches!(self.errands.errand, Errand::Probe(..));
                let at_once = response.status == if probe { 200 } else { 202 };
                self.answered(&response, early);
                connection.consume(size);
                if response.keeps && !early && !ended && connection.input.is_empty() {
                    self.errands.errand = Errand::Idle;
                    self.errands.usable_from = self.reactor.now + if at_once { 0.0 } else { AGAIN_AFTER };
                } else {
                    connection.abort();
                }
            }
            // Danger: of one that is full no end would be seen, and its attempt be held to its last moment.
            Ok(_) if !ended && !connection.full() => {}
            Ok(_) | Err(_) => {
                connection.abort();
                self.ended(connection);
            }
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        self.errands.broke |= self.errands.errand.counts();
        let written = matches!(self.errands.errand, Errand::Attempt(_, true) | Errand::Probe(_, true));
        self.over(if written { AttemptEnd::Reset } else { AttemptEnd::NeverSent }, Load::new());
    }
}

/// A load report from a header: `TEXT name=value, name=value`.
fn load_header(text: &str) -> Load {
    let text = text.trim();
    let pairs = text.strip_prefix("TEXT").unwrap_or(text).split(',');
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        Some((name.trim().to_owned(), value.trim().parse().ok()?))
    };
    pairs.filter_map(pair).collect()
}

impl Attempts {
    /// No connections yet, at most so many ever.
    pub fn new(most: usize, dial_timeout: f64, conn_idle: f64) -> Self {
        let keep = if conn_idle > 0.0 { conn_idle * IDLE_SHARE } else { 1.0 };
        let (sessions, idle, by_attempt) = Default::default();
        Self { sessions, idle, by_attempt, most, dial_timeout, keep, worn: (keep, 0.0) }
    }

    /// Holds at most so many connections from now on.
    pub fn limit(&mut self, most: usize) {
        self.most = most;
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.sessions.len()
    }

    /// Starts an attempt that may take so many seconds.
    pub fn start(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        payload: &Payload,
        wait: f64,
    ) {
        let deadline = format!("{:.3}", wait.max(0.001));
        let host = worker.to_string();
        let mut fields =
            vec![("Host", host.as_str()), ("X-Request-Id", payload.id.as_str()), ("X-Deadline", &deadline)];
        if let Some(key) = &payload.idempotency_key {
            fields.push(("Idempotency-Key", key));
        }
        let mut bytes = Vec::new();
        http::write_request(&mut bytes, &payload.method, &payload.target, &fields, &payload.body);
        self.carry(reactor, worker, Errand::Attempt(attempt, false), &bytes, wait + PATIENCE);
    }

    /// Asks a worker for its load. The answer is waited for so many seconds: one that takes jobs and answers nothing shows there.
    pub fn probe(&mut self, reactor: &mut Reactor, attempt: AttemptId, worker: SocketAddr, wait: f64) {
        let host = worker.to_string();
        let mut bytes = Vec::new();
        http::write_request(&mut bytes, "GET", "/-/load", &[("Host", &host)], b"");
        self.carry(reactor, worker, Errand::Probe(attempt, false), &bytes, wait);
    }

    /// Gives an attempt up: tells its worker, or closes its connection where the worker has not answered.
    pub fn abandon(
        &mut self,
        reactor: &mut Reactor,
        attempt: AttemptId,
        worker: SocketAddr,
        id: &str,
        accepted: bool,
    ) {
        if accepted {
            let (host, target) = (worker.to_string(), format!("/jobs/{id}"));
            let mut bytes = Vec::new();
            http::write_request(&mut bytes, "DELETE", &target, &[("Host", &host)], b"");
            return self.carry(reactor, worker, Errand::Other, &bytes, PATIENCE);
        }
        if let Some(key) = self.by_attempt.get(&attempt).copied() {
            if self.silent(reactor.now, worker) {
                self.forget(reactor, worker);
            }
            if let Some(session) = self.sessions.get_mut(&key) {
                session.errands.errand = Errand::Other;
                session.connection.abort();
            }
            self.after(reactor, key);
        }
    }

    fn carry(&mut self, reactor: &mut Reactor, worker: SocketAddr, errand: Errand, bytes: &[u8], wait: f64) {
        let key = match self.pooled(reactor, worker).map_or_else(|| self.dial(reactor, worker), Ok) {
            Ok(key) => key,
            Err(end) => {
                if let Errand::Attempt(attempt, _) | Errand::Probe(attempt, _) = errand {
                    reactor.queue.push_back(Input::Attempt(attempt, end, Load::new()));
                }
                return;
            }
        };
        let Some(session) = self.sessions.get_mut(&key) else { return };
        session.errands.errand = errand;
        session.errands.rested = (session.errands.round > 0).then_some(reactor.now - session.errands.since);
        session.errands.since = reactor.now;
        session.errands.round += 1;
        let round = session.errands.round;
        if let Errand::Attempt(attempt, _) | Errand::Probe(attempt, _) = errand {
            session.errands.attempt = Some(attempt);
            self.by_attempt.insert(attempt, key);
        }
        reactor.timer(reactor.now + wait, Due::Attempt(key, round));
        let mut caller = Caller { errands: &mut session.errands, reactor };
        session.connection.send(bytes, &mut caller);
        caller.written(&session.connection);
        self.after(reactor, key);
    }

    /// Whether the worker has left something without an answer for longer than a connection may take to make.
    fn silent(&self, now: f64, worker: SocketAddr) -> bool {
        let waits = |s: &Session| s.errands.errand != Errand::Idle && s.connection.state() != State::Dialing;
        let late = |s: &Session| now - s.errands.since > self.dial_timeout;
        self.sessions.values().any(|s| s.errands.worker == worker && waits(s) && late(s))
    }

    /// Lets the idle connections to a worker go. Danger: one that has vanished leaves them open, and a job
    /// written to them has perhaps run; a connection that is not made proves that it has not.
    pub fn forget(&mut self, reactor: &mut Reactor, worker: SocketAddr) {
        for key in self.idle.remove(&worker).unwrap_or_default() {
            self.drop(reactor, key);
        }
    }

    /// Gives an attempt back whose last byte is not written: nothing ran, and its worker is not to blame. Only the
    /// connection knows; what has been written whole goes on.
    pub fn withdraw(&mut self, reactor: &mut Reactor, attempt: AttemptId) {
        let Some(key) = self.by_attempt.get(&attempt).copied() else { return };
        let Some(session) = self.sessions.get_mut(&key) else { return };
        if session.errands.errand == Errand::Attempt(attempt, false) {
            session.connection.abort();
            Caller { errands: &mut session.errands, reactor }.over(AttemptEnd::NoRoom, Load::new());
            self.after(reactor, key);
        }
    }

    /// For how long a connection may have lain idle to be used. Danger: workers, or what stands before them,
    /// may let go of idle connections far earlier than they say, without a word until the next request, which
    /// then has perhaps run. One that broke so tells it of the others; it is forgotten as fast as it doubles.
    fn usable(&self, now: f64) -> f64 {
        let (learned, at) = self.worn;
        (learned * ((now - at) / WORN_DOUBLES).exp2()).min(self.keep)
    }

    /// An idle connection to the worker that is still whole.
    fn pooled(&mut self, reactor: &mut Reactor, worker: SocketAddr) -> Option<usize> {
        if self.idle.contains_key(&worker) && self.silent(reactor.now, worker) {
            self.forget(reactor, worker);
        }
        let most = self.usable(reactor.now);
        while let Some(key) = self.idle.get_mut(&worker).and_then(|pool| {
            // The last used first, of those that may be used. Danger: a second 'not run' taken for the next attempt's answer has a
            // job that runs sent elsewhere, too.
            let may =
                |key: &usize| self.sessions.get(key).is_none_or(|s| s.errands.usable_from <= reactor.now);
            pool.iter().rposition(may).map(|at| pool.remove(at))
        }) {
            let Some(session) = self.sessions.get_mut(&key) else { continue };
            // Its end may have arrived without having been noticed.
            session.connection.ready(true, false, &mut Caller { errands: &mut session.errands, reactor });
            if session.connection.state() == State::Open && reactor.now - session.errands.since <= most {
                return Some(key);
            }
            self.drop(reactor, key);
        }
        None
    }

    fn dial(&mut self, reactor: &mut Reactor, worker: SocketAddr) -> Result<usize, AttemptEnd> {
        if self.sessions.len() >= self.most {
            // The first of a pool has been idle longest there; the lowest key was opened first.
            let oldest = self.idle.values().filter_map(|keys| keys.first()).min().copied();
            self.drop(reactor, oldest.ok_or(AttemptEnd::NoRoom)?);
        }
        // Danger: a shortage here told as a worker's fault would take sound workers out of the draw.
        let stream = reactor::dial(worker).map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
                AttemptEnd::NeverSent
            }
            _ => AttemptEnd::NoRoom,
        })?;
        let key = reactor.register(&stream, Owner::Attempt).map_err(|_| AttemptEnd::NoRoom)?;
        let connection = Connection::new(stream, true, http::MOST_HEAD + 2 * http::MOST_BODY);
        let since = reactor.now;
        let (errand, attempt, rested, broke, round) = (Errand::Other, None, None, false, 0);
        let errands = Errands { worker, errand, attempt, since, usable_from: since, rested, broke, round };
        self.sessions.insert(key, Session { connection, errands });
        reactor.timer(reactor.now + self.dial_timeout, Due::Dial(key));
        Ok(key)
    }

    /// A connection can be read or written.
    pub fn ready(&mut self, reactor: &mut Reactor, key: usize, readable: bool, writable: bool) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let mut caller = Caller { errands: &mut session.errands, reactor };
        session.connection.ready(readable, writable, &mut caller);
        caller.written(&session.connection);
        self.after(reactor, key);
    }

    /// A connection has had its time to be made.
    pub fn dial_due(&mut self, reactor: &mut Reactor, key: usize) {
        if let Some(s) = self.sessions.get_mut(&key).filter(|s| s.connection.state() == State::Dialing) {
            s.connection.abort();
            Caller { errands: &mut s.errands, reactor }.over(AttemptEnd::NeverSent, Load::new());
            self.after(reactor, key);
        }
    }

    /// An errand, or an idle connection, has had its time.
    pub fn attempt_due(&mut self, reactor: &mut Reactor, key: usize, round: u64) {
        if let Some(s) = self.sessions.get_mut(&key).filter(|s| s.errands.round == round) {
            let silent = (s.errands.errand != Errand::Idle).then_some(s.errands.worker);
            s.connection.abort();
            Caller { errands: &mut s.errands, reactor }.ended(&mut s.connection);
            self.after(reactor, key);
            if let Some(worker) = silent {
                self.forget(reactor, worker);
            }
        }
    }

    /// Puts a connection back to where it belongs after something has happened on it.
    fn after(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        if !session.errands.errand.counts() {
            session.errands.attempt.take().map(|attempt| self.by_attempt.remove(&attempt));
        }
        let at_once = reactor.now - session.errands.since <= self.dial_timeout;
        if let Some(rested) = session.errands.rested.filter(|_| session.errands.broke && at_once) {
            self.worn = ((rested * WORN_SHARE).max(WORN_LEAST), reactor.now);
        }
        if matches!(session.connection.state(), State::Ended | State::HalfOpen) {
            return self.drop(reactor, key);
        }
        reactor.rearm(session.connection.stream(), key, session.connection.interest());
        let pool = self.idle.entry(session.errands.worker).or_default();
        if session.errands.errand == Errand::Idle && !pool.contains(&key) {
            session.errands.round += 1;
            session.errands.since = reactor.now;
            reactor.timer(reactor.now + self.keep, Due::Attempt(key, session.errands.round));
            pool.push(key);
        }
    }

    fn drop(&mut self, reactor: &mut Reactor, key: usize) {
        let Some(session) = self.sessions.remove(&key) else { return };
        reactor.forget(session.connection.stream());
        session.errands.attempt.map(|attempt| self.by_attempt.remove(&attempt));
        if let Some(pool) = self.idle.get_mut(&session.errands.worker) {
            pool.retain(|k| *k != key);
            if pool.is_empty() {
                self.idle.remove(&session.errands.worker);
            }
        }
    }
}

//! Accepts connections, and closes some to make room if there are too many.

use super::clients::Clients;
use super::session::{EvictionRank, REQUEST_TIMEOUT_SECONDS, Session};
use crate::net::transport::reactor::{Reactor, Timer};
use std::cmp::Ordering;
use std::io;
use std::net::TcpStream;

/// Pause of accepting after the system gave no connection, or no connection could be closed to make
/// room.
const ACCEPT_RETRY_SECONDS: f64 = 0.05;
/// Connections accepted in one turn of the event loop, so that existing ones have their turn too.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// A connection that can be closed to make room.
#[derive(PartialEq)]
struct EvictionCandidate {
    rank: EvictionRank,
    waiting_since: f64,
    key: usize,
}

impl EvictionCandidate {
    fn new(key: usize, session: &Session, now: f64) -> Option<Self> {
        Some(Self {
            rank: session.eviction_rank(now)?,
            waiting_since: session.state.waiting_since,
            key,
        })
    }

    /// Orders by rank, then by the time of waiting, then by key: of several that came in one turn
    /// of the event loop, the first.
    fn compare(&self, other: &Self) -> Ordering {
        self.rank
            .cmp(&other.rank)
            .then(self.waiting_since.total_cmp(&other.waiting_since))
            .then(self.key.cmp(&other.key))
    }
}

impl Clients {
    /// Accepts the connections that have come, up to a number per turn.
    pub fn accept(&mut self, reactor: &mut Reactor) {
        if !self.accepting {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            // One connection more than the limit: none is closed before another one is there.
            if self.sessions.len() > self.max_connections && !self.make_room(reactor) {
                return self.pause_accepting(reactor);
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.accept_connection(reactor, stream),
                Err(error) => match error.kind() {
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    io::ErrorKind::WouldBlock => break,
                    // Perhaps no descriptors: the listener stays readable, and trying on at once
                    // would be a busy loop.
                    _ => return self.pause_accepting(reactor),
                },
            }
        }
        self.accept_paused = false;
        reactor.rearm(&self.listener, self.listener_key, (true, false));
    }

    /// Resumes accepting after a pause.
    pub fn resume_accepting(&mut self, reactor: &mut Reactor) {
        self.accept_resumes_at = f64::INFINITY;
        self.accept(reactor);
    }

    /// Resumes accepting in the next turn if it is paused and this connection, which has just
    /// changed, is gone or can be closed to make room.
    pub(super) fn resume_accepting_if_room(&mut self, reactor: &mut Reactor, key: usize) {
        let makes_room = |session: &Session| session.eviction_rank(reactor.now).is_some();
        if self.accept_paused && self.sessions.get(&key).is_none_or(makes_room) {
            self.schedule_accepting(reactor, 0.0);
        }
    }

    fn pause_accepting(&mut self, reactor: &mut Reactor) {
        self.accept_paused = true;
        self.schedule_accepting(reactor, ACCEPT_RETRY_SECONDS);
    }

    /// Resumes accepting after this time, if no earlier timer does.
    fn schedule_accepting(&mut self, reactor: &mut Reactor, delay_seconds: f64) {
        let at = reactor.now + delay_seconds;
        if at < self.accept_resumes_at {
            self.accept_resumes_at = at;
            reactor.set_timer(at, Timer::ClientAccept);
        }
    }

    fn accept_connection(&mut self, reactor: &mut Reactor, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(key) = self.add_connection(reactor, stream, Vec::new()) else {
            return;
        };
        self.with_session(reactor, key, |connection, handler| {
            handler.state.request_timeout_runs = true;
            handler.start_wait(REQUEST_TIMEOUT_SECONDS);
            connection.handle_ready(true, false, handler);
        });
    }

    /// Closes the connection that comes first in the order of eviction; returns whether there is
    /// room now.
    fn make_room(&mut self, reactor: &mut Reactor) -> bool {
        // A request may have arrived unseen on the chosen connection: then a response is due, and
        // another one is chosen.
        for _ in 0..=self.sessions.len() {
            let now = reactor.now;
            let Some(candidate) = self.first_eviction_candidate(now) else {
                return false;
            };
            let key = candidate.key;
            self.with_session(reactor, key, |connection, handler| {
                connection.handle_ready(true, false, handler)
            });
            let Some(session) = self.sessions.get(&key) else {
                return true;
            };
            if EvictionCandidate::new(key, session, now) == Some(candidate) {
                self.remove_connection(reactor, key);
                return true;
            }
        }
        false
    }

    fn first_eviction_candidate(&self, now: f64) -> Option<EvictionCandidate> {
        self.sessions
            .iter()
            .filter_map(|(&key, session)| EvictionCandidate::new(key, session, now))
            .min_by(EvictionCandidate::compare)
    }
}

//! Accepts connections from clients and workers, and evicts one for each that exceeds the limit.

use super::clients::Clients;
use super::session::{EvictionRank, REQUEST_TIMEOUT_SECONDS, Session};
use crate::net::transport::reactor::{Reactor, Timer};
use std::cmp::Ordering;
use std::io;
use std::net::TcpStream;

/// Delay before accepting is retried after `accept` has failed, or after no connection could be
/// evicted.
const ACCEPT_RETRY_SECONDS: f64 = 0.05;
/// Largest number of connections accepted in one iteration of the event loop, so that existing
/// connections are served as well.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;

/// A connection that can be closed to make room for a new one.
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

    /// Orders by rank, then by waiting time, longest first. The key decides between connections
    /// that were accepted in the same iteration of the event loop: the oldest comes first.
    fn compare(&self, other: &Self) -> Ordering {
        self.rank
            .cmp(&other.rank)
            .then(self.waiting_since.total_cmp(&other.waiting_since))
            .then(self.key.cmp(&other.key))
    }
}

impl Clients {
    /// Accepts pending connections, up to a limit per iteration of the event loop.
    pub fn accept(&mut self, reactor: &mut Reactor) {
        if !self.accepting {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            // The limit may be exceeded by one: nothing is evicted before there is a connection to
            // make room for.
            if self.sessions.len() > self.max_connections && !self.make_room(reactor) {
                return self.pause_accepting(reactor);
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.accept_connection(reactor, stream),
                Err(error) => match error.kind() {
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    io::ErrorKind::WouldBlock => break,
                    // Probably out of file descriptors. The listener stays readable, so an
                    // immediate retry would be a busy loop.
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

    /// Resumes accepting in the next iteration of the event loop if it is paused and this
    /// connection, whose state has just changed, is gone or can be evicted.
    pub(super) fn resume_accepting_if_room(&mut self, reactor: &mut Reactor, key: usize) {
        let can_be_evicted = |session: &Session| session.eviction_rank(reactor.now).is_some();
        if self.accept_paused && self.sessions.get(&key).is_none_or(can_be_evicted) {
            self.schedule_accepting(reactor, 0.0);
        }
    }

    fn pause_accepting(&mut self, reactor: &mut Reactor) {
        self.accept_paused = true;
        self.schedule_accepting(reactor, ACCEPT_RETRY_SECONDS);
    }

    /// Schedules accepting after a delay, unless it is already scheduled earlier.
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
            handler.start_timeout(REQUEST_TIMEOUT_SECONDS);
            connection.handle_ready(true, false, handler);
        });
    }

    /// Evicts the connection that comes first in the order of eviction; returns whether there is
    /// room now.
    fn make_room(&mut self, reactor: &mut Reactor) -> bool {
        // The candidate may have unread input. It is read first; if it holds a request, the
        // connection is no longer a candidate, and the next one is tried.
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

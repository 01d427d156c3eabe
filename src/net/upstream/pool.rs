//! Idle connections to workers, and for how long one may have lain idle to be used again. No sockets; it is told the time.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Of the time after which a worker closes an idle connection, the share for which it is kept.
const IDLE_SHARE: f64 = 0.8;
/// How long one is kept where workers do not say, in seconds.
const IDLE_UNTOLD: f64 = 1.0;
/// Of the time for which a connection lay idle that its next request found broken, the share for which others are used; that time
/// doubles with each of these seconds.
const WORN_SHARE: f64 = 0.5;
const WORN_DOUBLES: f64 = 5.0;
/// It is never learned to be shorter.
const WORN_LEAST: f64 = 0.02;

/// The keys of idle connections by worker, and what was learned of them.
pub struct Pool {
    /// The last used comes last.
    idle: HashMap<SocketAddr, Vec<usize>>,
    keep: f64,
    /// How long a connection may have lain idle to be used, as it was learned last, and when.
    learned: (f64, f64),
}

impl Pool {
    /// An empty pool, for workers that close what has been idle for so long; 0 where that is not told.
    pub fn new(conn_idle: f64) -> Self {
        let keep = if conn_idle > 0.0 {
            conn_idle * IDLE_SHARE
        } else {
            IDLE_UNTOLD
        };
        Self {
            idle: HashMap::new(),
            keep,
            learned: (keep, 0.0),
        }
    }

    /// For how long an idle connection is kept.
    pub fn keep(&self) -> f64 {
        self.keep
    }

    /// For how long a connection may have lain idle to be used. Danger: workers, or what stands before them, may let go of idle
    /// connections far earlier than they say, without a word until the next request, which then has perhaps run. One that broke so tells
    /// it of the others; it is forgotten as fast as it doubles.
    pub fn usable(&self, now: f64) -> f64 {
        let (learned, at) = self.learned;
        (learned * ((now - at) / WORN_DOUBLES).exp2()).min(self.keep)
    }

    /// A connection that had lain idle for so long broke under its next request.
    pub fn broke_after(&mut self, idle: f64, now: f64) {
        self.learned = ((idle * WORN_SHARE).max(WORN_LEAST), now);
    }

    /// Whether there are idle connections to a worker.
    pub fn has(&self, worker: SocketAddr) -> bool {
        self.idle.contains_key(&worker)
    }

    /// Adds a connection; whether it was not there.
    pub fn add(&mut self, worker: SocketAddr, key: usize) -> bool {
        let keys = self.idle.entry(worker).or_default();
        let new = !keys.contains(&key);
        if new {
            keys.push(key);
        }
        new
    }

    /// Takes the connection to a worker that was used last.
    pub fn take(&mut self, worker: SocketAddr) -> Option<usize> {
        let key = self.idle.get_mut(&worker)?.pop();
        self.forget_empty(worker);
        key
    }

    /// Takes all connections to a worker.
    pub fn take_all(&mut self, worker: SocketAddr) -> Vec<usize> {
        self.idle.remove(&worker).unwrap_or_default()
    }

    /// The connection that was opened first among those that have lain idle longest at their worker: the first of each.
    pub fn oldest(&self) -> Option<usize> {
        self.idle
            .values()
            .filter_map(|keys| keys.first())
            .min()
            .copied()
    }

    /// Lets a connection go.
    pub fn remove(&mut self, worker: SocketAddr, key: usize) {
        if let Some(keys) = self.idle.get_mut(&worker) {
            keys.retain(|k| *k != key);
        }
        self.forget_empty(worker);
    }

    fn forget_empty(&mut self, worker: SocketAddr) {
        if self.idle.get(&worker).is_some_and(Vec::is_empty) {
            self.idle.remove(&worker);
        }
    }
}

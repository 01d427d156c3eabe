//! The pool of idle connections to workers, and the limit on how long a connection may have been
//! idle to be reused. It owns neither sockets nor a clock: connections are identified by their key,
//! and the time is passed in.

use std::collections::HashMap;
use std::net::SocketAddr;

/// The share of a worker's idle timeout for which an idle connection is kept, so that this side
/// closes it before the worker does.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// How long an idle connection is kept if the workers' idle timeout is not configured, in seconds.
const DEFAULT_IDLE_SECONDS: f64 = 1.0;
/// After a connection has broken under its next request, others are reused only if they have been
/// idle for at most this share of its idle time.
const LEARNED_SHARE: f64 = 0.5;
/// A learned limit doubles in this time, in seconds, until it no longer has an effect.
const LEARNED_DOUBLING_SECONDS: f64 = 5.0;
/// Shortest limit that is learned, in seconds, so that a connection can still be reused at once.
const MIN_LEARNED_SECONDS: f64 = 0.02;

/// A limit on idle time, learned from a connection that broke under its next request.
struct LearnedLimit {
    idle_seconds: f64,
    learned_at: f64,
}

/// The idle connections of each worker.
pub struct Pool {
    /// The keys of the connections; the one used last comes last.
    idle: HashMap<SocketAddr, Vec<usize>>,
    keep_seconds: f64,
    learned: LearnedLimit,
}

impl Pool {
    /// Creates an empty pool for workers that close a connection after it has been idle for
    /// `idle_timeout` seconds; 0 means that this time is unknown.
    pub fn new(idle_timeout: f64) -> Self {
        let keep_seconds = if idle_timeout > 0.0 {
            idle_timeout * IDLE_TIMEOUT_SHARE
        } else {
            DEFAULT_IDLE_SECONDS
        };
        Self {
            idle: HashMap::new(),
            keep_seconds,
            learned: LearnedLimit {
                idle_seconds: keep_seconds,
                learned_at: 0.0,
            },
        }
    }

    /// How long an idle connection is kept, in seconds.
    pub fn keep_seconds(&self) -> f64 {
        self.keep_seconds
    }

    /// How long a connection may have been idle to be reused, in seconds.
    ///
    /// Workers, or network devices in front of them, may drop idle connections far earlier than
    /// configured, which is not noticed until the next request fails; that request may have run. A
    /// connection that breaks in this way therefore limits the reuse of the others, and the limit
    /// doubles over time until it has no effect.
    pub fn reusable_seconds(&self, now: f64) -> f64 {
        let doublings = (now - self.learned.learned_at) / LEARNED_DOUBLING_SECONDS;
        (self.learned.idle_seconds * doublings.exp2()).min(self.keep_seconds)
    }

    /// Records that a connection which had been idle for `idle_seconds` broke under its next
    /// request.
    pub fn record_broken_after_idle(&mut self, idle_seconds: f64, now: f64) {
        self.learned = LearnedLimit {
            idle_seconds: (idle_seconds * LEARNED_SHARE).max(MIN_LEARNED_SECONDS),
            learned_at: now,
        };
    }

    /// Whether there are idle connections to a worker.
    pub fn has_idle(&self, worker: SocketAddr) -> bool {
        self.idle.contains_key(&worker)
    }

    /// Adds a connection; returns false if it is in the pool already.
    pub fn add(&mut self, worker: SocketAddr, key: usize) -> bool {
        let keys = self.idle.entry(worker).or_default();
        let is_new = !keys.contains(&key);
        if is_new {
            keys.push(key);
        }
        is_new
    }

    /// Removes and returns the connection to a worker that was used last.
    pub fn take(&mut self, worker: SocketAddr) -> Option<usize> {
        let key = self.idle.get_mut(&worker)?.pop();
        self.remove_entry_if_empty(worker);
        key
    }

    /// Removes and returns all connections to a worker.
    pub fn take_all(&mut self, worker: SocketAddr) -> Vec<usize> {
        self.idle.remove(&worker).unwrap_or_default()
    }

    /// Returns the connection to close when the limit on connections is reached: among the longest
    /// idle connections of all workers, the one that was opened first.
    pub fn oldest(&self) -> Option<usize> {
        self.idle
            .values()
            .filter_map(|keys| keys.first())
            .min()
            .copied()
    }

    /// Removes a connection.
    pub fn remove(&mut self, worker: SocketAddr, key: usize) {
        if let Some(keys) = self.idle.get_mut(&worker) {
            keys.retain(|k| *k != key);
        }
        self.remove_entry_if_empty(worker);
    }

    fn remove_entry_if_empty(&mut self, worker: SocketAddr) {
        if self.idle.get(&worker).is_some_and(Vec::is_empty) {
            self.idle.remove(&worker);
        }
    }
}

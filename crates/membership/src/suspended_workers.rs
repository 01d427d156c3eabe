//! The workers that operators have suspended for the whole cluster, as a conflict-free replicated
//! data type.
//!
//! Merging is commutative, associative and idempotent, so nodes that have received the same
//! suspensions in any order agree. A resume undoes the suspends that its node has received
//! by then, and no others.

use crate::fnv::Fnv;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of a worker's name, in bytes.
pub const MAX_WORKER_NAME_BYTES: usize = 256;
/// Maximum number of workers with a record. A suspend beyond it is rejected, so that no existing
/// record is dropped.
pub const MAX_WORKERS: usize = 4096;
/// Maximum number of processes with a record for one worker. More can only come from a faulty node.
const MAX_PROCESSES_PER_WORKER: usize = 1024;

/// The suspends of one worker that one process of a node has issued.
///
/// The order of the fields is that of the encoding, in datagrams and in the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Suspension {
    /// [`crate::Identity::process_nonce`] of the process that issued them.
    pub process_nonce: u64,
    /// Number of suspends issued.
    pub suspend_count: u32,
    /// Number of these that a resume has undone.
    pub undone_count: u32,
}

impl Suspension {
    /// Returns whether a suspend is in force.
    pub fn is_active(&self) -> bool {
        self.suspend_count > self.undone_count
    }
}

/// A suspension with the worker that it applies to.
///
/// The order of the fields is that of the encoding, in datagrams and in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSuspension {
    /// Name of the worker.
    pub worker: String,
    /// The suspends of it that one process has issued.
    pub suspension: Suspension,
}

/// Counters of one process for one worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Counters {
    suspend_count: u32,
    undone_count: u32,
}

impl Counters {
    fn is_active(self) -> bool {
        self.suspend_count > self.undone_count
    }

    fn to_suspension(self, process_nonce: u64) -> Suspension {
        Suspension {
            process_nonce,
            suspend_count: self.suspend_count,
            undone_count: self.undone_count,
        }
    }
}

/// All suspensions that a node has issued or received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspendedWorkers {
    /// By worker, then by the process that issued them.
    records: BTreeMap<String, BTreeMap<u64, Counters>>,
}

impl SuspendedWorkers {
    /// Returns whether a worker is suspended.
    pub fn is_suspended(&self, worker: &str) -> bool {
        self.records
            .get(worker)
            .is_some_and(|processes| processes.values().any(|counters| counters.is_active()))
    }

    /// Returns whether there is any record of a worker, suspended or resumed.
    pub fn has_record(&self, worker: &str) -> bool {
        self.records.contains_key(worker)
    }

    /// Returns the names of all suspended workers, in order.
    pub fn suspended(&self) -> impl Iterator<Item = &str> {
        self.records
            .keys()
            .map(String::as_str)
            .filter(|worker| self.is_suspended(worker))
    }

    /// Suspends a worker on behalf of a process. Returns the suspension to send to the other nodes,
    /// or `None` if there are too many records.
    pub fn suspend(&mut self, process_nonce: u64, worker: &str) -> Option<Suspension> {
        if !self.has_room(worker, process_nonce) {
            return None;
        }
        let counters = self
            .records
            .entry(worker.to_owned())
            .or_default()
            .entry(process_nonce)
            .or_default();
        if !counters.is_active() {
            counters.suspend_count = counters.undone_count.saturating_add(1);
        }
        Some(counters.to_suspension(process_nonce))
    }

    /// Undoes all active suspends of a worker. Returns the changed suspensions, to send to the
    /// other nodes.
    pub fn resume(&mut self, worker: &str) -> Vec<Suspension> {
        let Some(processes) = self.records.get_mut(worker) else {
            return Vec::new();
        };
        let mut changed = Vec::new();
        for (process_nonce, counters) in processes {
            if counters.is_active() {
                counters.undone_count = counters.suspend_count;
                changed.push(counters.to_suspension(*process_nonce));
            }
        }
        changed
    }

    /// Merges a suspension received from another node or read from the store. One that is invalid
    /// or beyond the limits is ignored. Returns whether the worker was suspended or resumed by it.
    pub fn merge(&mut self, worker: &str, received: Suspension) -> bool {
        if worker.is_empty()
            || worker.len() > MAX_WORKER_NAME_BYTES
            || received.undone_count > received.suspend_count
            || !self.has_room(worker, received.process_nonce)
        {
            return false;
        }
        let before = self.is_suspended(worker);
        let counters = self
            .records
            .entry(worker.to_owned())
            .or_default()
            .entry(received.process_nonce)
            .or_default();
        counters.suspend_count = counters.suspend_count.max(received.suspend_count);
        counters.undone_count = counters.undone_count.max(received.undone_count);
        self.is_suspended(worker) != before
    }

    /// Returns all suspensions with their workers, ordered by worker and process.
    pub fn records(&self) -> impl Iterator<Item = (&str, Suspension)> {
        self.records.iter().flat_map(|(worker, processes)| {
            processes
                .iter()
                .map(|(nonce, counters)| (worker.as_str(), counters.to_suspension(*nonce)))
        })
    }

    /// Returns a digest that is equal at all nodes with equal records.
    pub fn digest(&self) -> u64 {
        let mut hash = Fnv::default();
        for (worker, suspension) in self.records() {
            hash.write(worker.as_bytes());
            hash.write(&[0]);
            hash.write(&suspension.process_nonce.to_le_bytes());
            hash.write(&suspension.suspend_count.to_le_bytes());
            hash.write(&suspension.undone_count.to_le_bytes());
        }
        hash.finish()
    }

    fn has_room(&self, worker: &str, process_nonce: u64) -> bool {
        match self.records.get(worker) {
            Some(processes) => {
                processes.len() < MAX_PROCESSES_PER_WORKER || processes.contains_key(&process_nonce)
            }
            None => self.records.len() < MAX_WORKERS,
        }
    }
}

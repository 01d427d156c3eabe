//! All workers that this process has learned of since it started, by name and by index.

use crate::decision::interface::WorkerId;
use std::collections::{BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Address of a worker that no worker list has named yet. Nothing is sent to it, since the
/// dispatcher selects only listed workers.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));

/// Index of a worker in the [`WorkerTable`]. It is never reused.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct WorkerIndex(usize);

impl WorkerIndex {
    /// Returns the index that the dispatcher's id of a worker encodes.
    pub(super) fn from_id(worker: WorkerId) -> Self {
        Self(u32::from_be_bytes(worker.address) as usize)
    }

    /// Returns the dispatcher's id of the worker. It encodes the index and not the address.
    pub(super) fn id(self) -> WorkerId {
        WorkerId {
            address: (self.0 as u32).to_be_bytes(),
            port: 0,
        }
    }
}

struct KnownWorker {
    name: String,
    /// Address at which this node reaches the worker.
    address: SocketAddr,
}

/// The workers by name and by index, and which of them are suspended.
#[derive(Default)]
pub(super) struct WorkerTable {
    workers: Vec<KnownWorker>,
    by_name: HashMap<String, WorkerIndex>,
    suspended: BTreeSet<WorkerIndex>,
}

impl WorkerTable {
    /// Returns the index of the worker with this name, if it is known.
    pub(super) fn find(&self, name: &str) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the index of the worker with this name, and adds the worker if it is new.
    pub(super) fn find_or_add(&mut self, name: &str) -> WorkerIndex {
        if let Some(worker) = self.find(name) {
            return worker;
        }
        let worker = WorkerIndex(self.workers.len());
        self.by_name.insert(name.to_owned(), worker);
        self.workers.push(KnownWorker {
            name: name.to_owned(),
            address: UNKNOWN_ADDRESS,
        });
        worker
    }

    /// Whether the index belongs to this table.
    pub(super) fn contains(&self, worker: WorkerIndex) -> bool {
        worker.0 < self.workers.len()
    }

    /// Returns all indices, in the order in which the workers became known.
    pub(super) fn indices(&self) -> impl Iterator<Item = WorkerIndex> {
        (0..self.workers.len()).map(WorkerIndex)
    }

    /// Returns the name of a worker.
    pub(super) fn name(&self, worker: WorkerIndex) -> &str {
        &self.workers[worker.0].name
    }

    /// Returns the address at which this node reaches a worker.
    pub(super) fn address(&self, worker: WorkerIndex) -> SocketAddr {
        self.workers[worker.0].address
    }

    /// Sets the address at which this node reaches a worker.
    pub(super) fn set_address(&mut self, worker: WorkerIndex, address: SocketAddr) {
        self.workers[worker.0].address = address;
    }

    /// Whether an operator has suspended the worker.
    pub(super) fn is_suspended(&self, worker: WorkerIndex) -> bool {
        self.suspended.contains(&worker)
    }

    /// Marks a worker as suspended.
    pub(super) fn suspend(&mut self, worker: WorkerIndex) {
        self.suspended.insert(worker);
    }

    /// Marks a worker as not suspended.
    pub(super) fn resume(&mut self, worker: WorkerIndex) {
        self.suspended.remove(&worker);
    }

    /// Returns the names of the suspended workers, in the order in which the workers became known.
    pub(super) fn suspended_names(&self) -> impl Iterator<Item = String> {
        self.suspended
            .iter()
            .map(|worker| self.name(*worker).to_owned())
    }
}

//! Worker list changes, and suspension of workers by operators.

use super::manager::RequestManager;
use super::worker_table::WorkerIndex;
use crate::decision::interface::{Entry, Event, Health, ListKind};
use crate::net::messages::{Command, ListedWorker, ManagementReply};
use postproxy_handover::StateUpdate;
use std::collections::BTreeSet;

impl RequestManager {
    /// Returns the names of the workers that operators have suspended.
    pub fn suspended_workers(&self) -> Vec<String> {
        self.workers.suspended_names().collect()
    }

    /// Applies a worker list, and withdraws unwritten attempts to workers that are leaving.
    pub(super) fn handle_worker_list(
        &mut self,
        now: f64,
        kind: ListKind,
        workers: Vec<ListedWorker>,
        out: &mut Vec<Command>,
    ) {
        let entries: Vec<Entry> = workers
            .into_iter()
            .map(|worker| self.update_worker(worker))
            .collect();
        let leaving = self.leaving_workers(kind, &entries);
        let unwritten = self.unwritten_attempts_to(&leaving);
        self.dispatcher_events
            .push_back(Event::WorkerListReceived { kind, entries });
        self.withdraw_attempts(now, unwritten, out);
    }

    /// Updates a worker's address, and returns its entry with the dispatcher's id of the worker.
    fn update_worker(&mut self, listed: ListedWorker) -> Entry {
        let worker = self.workers.find_or_add(&listed.id);
        self.workers.set_address(worker, listed.address);
        Entry {
            worker: worker.id(),
            ..listed.entry
        }
    }

    /// Returns the workers that get no more requests after a list: for a full list, all workers
    /// that it does not name as ready; for any other, those that it names as not ready.
    fn leaving_workers(&self, kind: ListKind, entries: &[Entry]) -> BTreeSet<WorkerIndex> {
        let (ready, not_ready): (Vec<&Entry>, Vec<&Entry>) = entries
            .iter()
            .partition(|entry| entry.health == Health::Ready);
        let indices = |entries: Vec<&Entry>| -> BTreeSet<WorkerIndex> {
            entries
                .into_iter()
                .map(|entry| WorkerIndex::from_id(entry.worker))
                .collect()
        };
        match kind {
            ListKind::Full => {
                let ready = indices(ready);
                self.workers
                    .indices()
                    .filter(|worker| !ready.contains(worker))
                    .collect()
            }
            _ => indices(not_ready),
        }
    }

    /// Suspends or resumes a worker at the request of the management API, and answers that request.
    pub(super) fn handle_suspension_requested(
        &mut self,
        now: f64,
        caller: usize,
        name: &str,
        resume: bool,
        out: &mut Vec<Command>,
    ) {
        let reply = match self.workers.find(name) {
            Some(worker) => {
                self.change_suspension(now, worker, resume, out);
                ManagementReply::Done
            }
            None => ManagementReply::NotFound,
        };
        out.push(Command::ReplyToManagement { caller, reply });
    }

    /// Suspends or resumes a worker because the cluster or a sibling has done so. They may know the
    /// worker before it is in a worker list of this process.
    pub(super) fn handle_suspension_learned(
        &mut self,
        now: f64,
        name: &str,
        resume: bool,
        out: &mut Vec<Command>,
    ) {
        let worker = self.workers.find_or_add(name);
        self.change_suspension(now, worker, resume, out);
    }

    /// Suspends or resumes a worker, unless it is in that state already. Requests that run at a
    /// suspended worker finish there; attempts that have not been written completely are withdrawn,
    /// and their requests go to another worker.
    fn change_suspension(
        &mut self,
        now: f64,
        worker: WorkerIndex,
        resume: bool,
        out: &mut Vec<Command>,
    ) {
        if resume != self.workers.is_suspended(worker) {
            return;
        }
        let name = self.workers.name(worker).to_owned();
        tracing::info!(worker = name, resume, "worker suspension changed");
        self.notify_siblings(|| StateUpdate::WorkerSuspensionChanged {
            worker: name,
            resume,
        });
        if resume {
            self.workers.resume(worker);
        } else {
            self.workers.suspend(worker);
        }
        // Queued before any attempt is withdrawn, so that the dispatcher does not send its request
        // to the same worker again.
        self.dispatcher_events.push_back(Event::SuspensionChanged {
            worker: worker.id(),
            resume,
        });
        out.push(Command::CloseIdleConnections {
            worker: self.workers.address(worker),
        });
        if !resume {
            let unwritten = self.unwritten_attempts_to(&BTreeSet::from([worker]));
            self.withdraw_attempts(now, unwritten, out);
        }
    }
}

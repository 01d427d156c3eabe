//! Changes of the worker list, and suspension of workers by operators.

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

    /// Applies a worker list, and withdraws what has not been sent to workers that are leaving.
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

    /// Sets a worker's address, and returns its entry with the id that the dispatcher knows.
    fn update_worker(&mut self, listed: ListedWorker) -> Entry {
        let worker = self.workers.find_or_add(&listed.id);
        self.workers.set_address(worker, listed.address);
        Entry {
            worker: worker.id(),
            ..listed.entry
        }
    }

    /// Returns the workers that are to get no more requests after a list: in a full list, all that
    /// it does not name as ready; in any other, those that it names as not ready.
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

    /// Suspends or resumes a worker for a request of the management API, and answers that request.
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

    /// Suspends or resumes a worker as the cluster or a sibling has done, who may know it before
    /// this process has it from a worker list.
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

    /// Suspends or resumes a worker, unless that is so already. Requests that run at a suspended
    /// worker end there; those that have not been sent completely go to another one.
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
        // Before any attempt is withdrawn: what is withdrawn must not go to the same worker again.
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

//! Suspending and resuming workers for the whole cluster, and the acknowledgements of the other
//! nodes.

use super::synchronisation::{self, MAX_SUSPENSION_BYTES_PER_DATAGRAM};
use super::{Membership, Timer};
use crate::events::{MembershipEvent, Output};
use crate::identity::Identity;
use crate::packet::Message;
use crate::suspended_workers::WorkerSuspension;
use std::collections::BTreeSet;

/// Time that the other nodes have to acknowledge a suspend or resume, in seconds.
const ACKNOWLEDGEMENT_TIMEOUT_SECONDS: f64 = 0.5;

/// The change to a worker that an operator requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspensionChange {
    /// Send it no more requests.
    Suspend,
    /// Send it requests again.
    Resume,
}

/// A suspend or resume that other nodes were asked to acknowledge.
pub(super) struct Ticket {
    /// Names of the nodes that were asked to record it.
    asked: BTreeSet<String>,
    /// Names of the nodes that have acknowledged it.
    acknowledged: BTreeSet<String>,
}

impl Membership {
    /// Suspends or resumes a worker for the whole cluster. Returns a ticket:
    /// [`MembershipEvent::SuspensionRecorded`] says within half a second how many nodes have
    /// recorded it. Returns `None` if there are too many records.
    pub fn change_suspension(
        &mut self,
        now: f64,
        worker: &str,
        change: SuspensionChange,
        out: &mut Vec<Output>,
    ) -> Option<u64> {
        let local_time = self.advance_clock(now);
        let suspensions = self.record_change(worker, change)?;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let peers: Vec<Identity> = self.live_peers().cloned().collect();
        for part in synchronisation::split(&suspensions, MAX_SUSPENSION_BYTES_PER_DATAGRAM) {
            let message = Message::RecordSuspensions {
                ticket,
                suspensions: part,
            };
            for peer in &peers {
                self.send(peer.address, &message, out);
            }
        }
        // If nothing changed, no node was asked.
        let asked = if suspensions.is_empty() {
            BTreeSet::new()
        } else {
            peers.iter().map(|peer| peer.name.to_string()).collect()
        };
        let acknowledged = BTreeSet::new();
        self.tickets.insert(
            ticket,
            Ticket {
                asked,
                acknowledged,
            },
        );
        self.set_timer(
            local_time + ACKNOWLEDGEMENT_TIMEOUT_SECONDS,
            Timer::TicketExpired(ticket),
        );
        self.complete_call(out);
        self.finish_ticket_if_acknowledged(ticket, out);
        Some(ticket)
    }

    /// Records a change at this node. Returns the suspensions to send to the other nodes, or `None`
    /// if there are too many records.
    fn record_change(
        &mut self,
        worker: &str,
        change: SuspensionChange,
    ) -> Option<Vec<WorkerSuspension>> {
        let mut gossip = self.gossip.borrow_mut();
        let workers = &mut gossip.suspended_workers;
        let before = workers.is_suspended(worker);
        let suspensions = match change {
            SuspensionChange::Resume => workers.resume(worker),
            SuspensionChange::Suspend => {
                vec![workers.suspend(self.local_identity.process_nonce, worker)?]
            }
        };
        if workers.is_suspended(worker) != before {
            gossip.changed_workers.push(worker.to_owned());
        }
        let with_worker = |suspension| WorkerSuspension {
            worker: worker.to_owned(),
            suspension,
        };
        Some(suspensions.into_iter().map(with_worker).collect())
    }

    /// Stops waiting for acknowledgements of a ticket, and reports those that were received.
    pub fn expire_ticket(&mut self, now: f64, ticket: u64, out: &mut Vec<Output>) {
        self.advance_clock(now);
        self.finish_ticket(ticket, out);
    }

    /// Merges suspensions that were stored before this process started.
    pub fn restore_suspensions(&mut self, suspensions: impl IntoIterator<Item = WorkerSuspension>) {
        self.merge_suspensions(suspensions);
    }

    /// Returns all suspensions, to be stored.
    pub fn suspensions(&self) -> Vec<WorkerSuspension> {
        let gossip = self.gossip.borrow();
        let records = gossip.suspended_workers.records();
        records
            .map(|(worker, suspension)| WorkerSuspension {
                worker: worker.to_owned(),
                suspension,
            })
            .collect()
    }

    /// Returns the names of the suspended workers, in order.
    pub fn suspended_workers(&self) -> Vec<String> {
        let gossip = self.gossip.borrow();
        let suspended = gossip.suspended_workers.suspended();
        suspended.map(str::to_owned).collect()
    }

    /// Returns whether a worker was ever suspended or resumed for the cluster.
    pub fn has_suspension_record(&self, worker: &str) -> bool {
        self.gossip.borrow().suspended_workers.has_record(worker)
    }

    /// Returns a digest that is equal at all nodes with equal suspensions.
    pub fn suspensions_digest(&self) -> u64 {
        self.gossip.borrow().suspended_workers.digest()
    }

    /// Merges suspensions from another node or from the store.
    pub(super) fn merge_suspensions(
        &mut self,
        suspensions: impl IntoIterator<Item = WorkerSuspension>,
    ) {
        let mut gossip = self.gossip.borrow_mut();
        for record in suspensions {
            gossip.merge_suspension(&record.worker, record.suspension);
        }
    }

    /// Records that a node has acknowledged a ticket.
    pub(super) fn record_acknowledgement(
        &mut self,
        ticket: u64,
        from: &Identity,
        out: &mut Vec<Output>,
    ) {
        if let Some(open) = self.tickets.get_mut(&ticket)
            && open.asked.contains(&*from.name)
        {
            open.acknowledged.insert(from.name.to_string());
            self.finish_ticket_if_acknowledged(ticket, out);
        }
    }

    fn finish_ticket_if_acknowledged(&mut self, ticket: u64, out: &mut Vec<Output>) {
        let is_complete = |open: &Ticket| open.acknowledged.len() == open.asked.len();
        if self.tickets.get(&ticket).is_some_and(is_complete) {
            self.finish_ticket(ticket, out);
        }
    }

    /// Reports at how many nodes a suspend or resume is recorded, if that wasn't reported yet.
    pub(super) fn finish_ticket(&mut self, ticket: u64, out: &mut Vec<Output>) {
        let Some(open) = self.tickets.remove(&ticket) else {
            return;
        };
        self.timers
            .retain(|_, timer| *timer != Timer::TicketExpired(ticket));
        out.push(Output::Event(MembershipEvent::SuspensionRecorded {
            ticket,
            recorded: 1 + open.acknowledged.len(),
            nodes: self.cluster_size(),
        }));
    }
}

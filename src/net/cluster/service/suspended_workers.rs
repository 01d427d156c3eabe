//! Workers that are suspended for the whole cluster: announces changes that operators make at this
//! node, and returns the suspensions to store.

use super::{ClusterService, Event};
use crate::net::transport::reactor::Reactor;
use postproxy_membership::SuspensionChange;

/// Time after which a caller of the management API is answered at the latest, in seconds. The
/// caller waits for one second; the membership's own timeout may come later, because its clock runs
/// slower after a pause.
const REPLY_TIMEOUT_SECONDS: f64 = 0.8;

/// A caller of the management API that waits until the other nodes have recorded its suspend or
/// resume.
pub(super) struct PendingCaller {
    /// Key of the caller's connection.
    pub(super) caller: usize,
    /// Time at which it is answered at the latest.
    pub(super) deadline: f64,
}

impl ClusterService {
    /// Announces that a worker was suspended or resumed at this node. `caller` is the key of the
    /// management connection that is to be told the outcome, by [`Event::SuspensionRecorded`].
    /// Returns `None` if this process doesn't participate in the cluster, or too many workers are
    /// suspended.
    pub fn set_suspended(
        &mut self,
        reactor: &mut Reactor,
        caller: Option<usize>,
        worker: &str,
        resume: bool,
    ) -> Option<Vec<Event>> {
        let participant = self.participant.as_mut()?;
        let change = if resume {
            SuspensionChange::Resume
        } else {
            SuspensionChange::Suspend
        };
        let mut out = Vec::new();
        let ticket =
            participant
                .membership
                .change_suspension(reactor.now, worker, change, &mut out);
        let Some(ticket) = ticket else {
            tracing::error!(worker, "too many suspended workers: change not announced");
            return None;
        };
        if let Some(caller) = caller {
            let deadline = reactor.now + REPLY_TIMEOUT_SECONDS;
            self.pending_callers
                .insert(ticket, PendingCaller { caller, deadline });
        }
        Some(self.handle_outputs(reactor, out))
    }

    /// Returns the event that answers the caller of a ticket, if there is one.
    pub(super) fn finish_pending_caller(
        &mut self,
        ticket: u64,
        recorded: usize,
        nodes: usize,
    ) -> Option<Event> {
        let pending = self.pending_callers.remove(&ticket)?;
        Some(Event::SuspensionRecorded {
            caller: pending.caller,
            recorded,
            nodes,
        })
    }

    /// Announces those of the workers suspended at this node of which the cluster has no record:
    /// they were suspended before this process participated, or by an earlier process that didn't
    /// announce it. If the cluster has resumed a worker, that record counts.
    pub fn adopt_suspended_workers(
        &mut self,
        reactor: &mut Reactor,
        workers: Vec<String>,
    ) -> Vec<Event> {
        let mut out = Vec::new();
        if let Some(participant) = &mut self.participant {
            let membership = &mut participant.membership;
            let unknown: Vec<&String> = workers
                .iter()
                .filter(|worker| !membership.has_suspension_record(worker))
                .collect();
            for worker in unknown {
                tracing::info!(worker, "locally suspended worker announced to the cluster");
                let change = SuspensionChange::Suspend;
                let _ = membership.change_suspension(reactor.now, worker, change, &mut out);
            }
        }
        self.handle_outputs(reactor, out)
    }

    /// Returns the encoded suspensions to store, if they have changed since the last call or
    /// `force` is set.
    pub fn take_changed_suspensions(&mut self, force: bool) -> Option<Vec<u8>> {
        let membership = &self.participant.as_ref()?.membership;
        let digest = membership.suspensions_digest();
        let is_unchanged = digest == std::mem::replace(&mut self.stored_digest, digest);
        if is_unchanged && !force {
            return None;
        }
        postcard::to_stdvec(&membership.suspensions()).ok()
    }
}

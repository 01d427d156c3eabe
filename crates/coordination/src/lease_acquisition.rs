//! The leases of this node: acquiring those that it wants and giving up those that it has lost. As
//! the leader, it also proposes the expiry of leases that are not renewed in time.

use crate::calls::MAX_QUEUED_CALLS;
use crate::coordinator::{Coordinator, Event, Output};
use crate::timing::{MAX_ACQUIRE_DELAY_MS, RENEWAL_TIMEOUT_MS};
use postproxy_leases::{Command, FencingToken, LeaseClaim, Operation};
use std::collections::BTreeSet;

/// Prefix of the client name under which a voter proposes expiries; its voter ID follows. No node
/// has such a name. It is part of the stored log.
const EXPIRY_CLIENT_PREFIX: &str = "\u{1}seat ";

/// Returns whether an operation acquires or releases this lease.
fn concerns(operation: &Operation, name: &str) -> bool {
    match operation {
        Operation::Acquire { lease } | Operation::Release { lease, .. } => lease == name,
        _ => false,
    }
}

impl Coordinator {
    /// Gives up a lease that this node holds under this token or a lower one. The node does not
    /// request the lease again for the duration of a lease, so that another node can acquire it.
    pub(crate) fn give_up_lease(
        &mut self,
        now: u64,
        lease: &str,
        token: FencingToken,
        out: &mut Vec<Output>,
    ) {
        let holds = self
            .holder
            .claims()
            .iter()
            .any(|claim| claim.lease == lease && claim.token <= token);
        if !holds {
            return;
        }
        self.holder.remove(lease, token);
        let acquire_at = now + self.settings.lease_timing.lease_ms;
        self.acquire_at.insert(lease.to_owned(), acquire_at);
        out.push(Output::Event(Event::LeaseLost {
            lease: lease.to_owned(),
            token,
        }));
    }

    /// Gives up the leases that this node does not own according to the committed state. A lease
    /// with a token above the latest one of that state is kept: the entry that granted it has not
    /// been applied here yet.
    pub(crate) fn drop_leases_of_others(&mut self, now: u64, out: &mut Vec<Output>) {
        let latest_token = self.lease_table().latest_token();
        for LeaseClaim { lease, token } in self.holder.claims() {
            let is_own = self
                .reported_owners
                .get(&lease)
                .is_some_and(|owner| owner.node == self.settings.node && owner.token == token);
            if !is_own && token <= latest_token {
                self.give_up_lease(now, &lease, token, out);
            }
        }
    }

    /// Proposes the expiry of leases that were not renewed in time, if this node leads.
    pub(crate) fn expire_leases(&mut self, now: u64, out: &mut Vec<Output>) {
        self.granter.set_leading(self.replica.is_leader());
        if let Some(operation) = self.granter.expire_due_leases(now) {
            self.expiry_sequence += 1;
            let command = Command {
                node: format!("{EXPIRY_CLIENT_PREFIX}{}", self.replica.id()),
                incarnation: self.incarnation,
                sequence: self.expiry_sequence,
                operation,
            };
            self.propose(now, &command, out);
        }
    }

    /// Requests the leases that this node wants and that have no owner, and those that have been
    /// transferred to it.
    pub(crate) fn acquire_wanted_leases(&mut self, now: u64, out: &mut Vec<Output>) {
        let is_busy =
            self.pending_call.is_some() && self.queued_calls.len() >= MAX_QUEUED_CALLS / 2;
        if self.applied_index() == 0 || is_busy {
            return;
        }
        let wanted = self.leases_to_acquire();
        self.acquire_at
            .retain(|lease, at| wanted.contains(lease) || *at > now);
        for lease in wanted {
            let delay = self.random_below(MAX_ACQUIRE_DELAY_MS);
            let at = *self.acquire_at.entry(lease.clone()).or_insert(now + delay);
            if at <= now && !self.has_call_for(&lease) {
                self.acquire_at
                    .insert(lease.clone(), now + RENEWAL_TIMEOUT_MS);
                self.call(now, 0, Operation::Acquire { lease }, out);
            }
        }
    }

    /// Returns the leases that this node does not hold, but either wants while they have no owner,
    /// or owns according to the committed state.
    fn leases_to_acquire(&self) -> BTreeSet<String> {
        let held: BTreeSet<String> = self
            .holder
            .claims()
            .into_iter()
            .map(|claim| claim.lease)
            .collect();
        let unowned = self
            .settings
            .wanted_leases
            .iter()
            .filter(|lease| !self.reported_owners.contains_key(*lease));
        let owned = self
            .reported_owners
            .iter()
            .filter(|(_, owner)| owner.node == self.settings.node)
            .map(|(lease, _)| lease);
        unowned
            .chain(owned)
            .filter(|lease| !held.contains(*lease))
            .cloned()
            .collect()
    }

    fn has_call_for(&self, lease: &str) -> bool {
        let pending = self.pending_call.iter().map(|call| &call.command.operation);
        let queued = self.queued_calls.iter().map(|call| &call.operation);
        pending
            .chain(queued)
            .any(|operation| concerns(operation, lease))
    }
}

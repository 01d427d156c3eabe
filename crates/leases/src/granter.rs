//! The expiry of leases as the leader of the log measures it, by its own clock alone.

use crate::operation::{ExpiredLease, FencingToken, Operation};
use crate::{LeaseTable, LeaseTiming};
use std::collections::BTreeMap;

/// An expiry that was proposed and has not been applied is proposed again after this many
/// milliseconds, because a proposal may be lost.
const PROPOSAL_RETRY_MS: u64 = 1000;

/// An owned lease as this voter has last seen it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ObservedLease {
    token: FencingToken,
    renewals: u64,
    /// When this voter first saw this token with this many renewals, in milliseconds.
    observed_at: u64,
}

/// An expiry that this voter has proposed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ProposedExpiry {
    renewals: u64,
    proposed_at: u64,
}

/// Finds expired leases. Each voter, not only the leader, measures a lease from the moment when it
/// has itself applied the grant or the renewal, which is after the owner requested it. A new leader
/// therefore need not wait for a whole lease duration.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseGranter {
    timing: LeaseTiming,
    observed: BTreeMap<String, ObservedLease>,
    leading: bool,
    proposed: BTreeMap<String, ProposedExpiry>,
}

impl LeaseGranter {
    /// Creates the granter of a voter that does not lead and has applied nothing.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            observed: BTreeMap::new(),
            leading: false,
            proposed: BTreeMap::new(),
        }
    }

    /// Records whether this node leads the log now.
    pub fn set_leading(&mut self, leading: bool) {
        if leading != self.leading {
            self.proposed.clear();
        }
        self.leading = leading;
    }

    /// Records the state of the leases after commands were applied.
    pub fn record_applied(&mut self, now: u64, table: &LeaseTable) {
        self.observed
            .retain(|name, _| table.lease(name).is_some_and(|lease| lease.owner.is_some()));
        for (name, lease) in table.leases() {
            let Some(owner) = &lease.owner else {
                continue;
            };
            let unchanged = self.observed.get(name).is_some_and(|observed| {
                observed.token == owner.token && observed.renewals == lease.renewals
            });
            if !unchanged {
                let observed = ObservedLease {
                    token: owner.token,
                    renewals: lease.renewals,
                    observed_at: now,
                };
                self.observed.insert(name.to_owned(), observed);
            }
        }
    }

    /// Returns when the expiry of a lease is to be proposed, in milliseconds.
    fn expiry_due_at(&self, name: &str, lease: &ObservedLease) -> u64 {
        let proposed = self
            .proposed
            .get(name)
            .filter(|proposed| proposed.renewals == lease.renewals);
        let retry_at = proposed.map_or(0, |proposed| proposed.proposed_at + PROPOSAL_RETRY_MS);
        (lease.observed_at + self.timing.granter_duration_ms()).max(retry_at)
    }

    /// Returns when [`LeaseGranter::expire_due_leases`] is to be called next, in milliseconds, if
    /// this node leads.
    pub fn next_expiry(&self) -> Option<u64> {
        let leases = self.observed.iter().filter(|_| self.leading);
        leases
            .map(|(name, lease)| self.expiry_due_at(name, lease))
            .min()
    }

    /// Returns the operation that expires all leases that are due, to be proposed to the log.
    pub fn expire_due_leases(&mut self, now: u64) -> Option<Operation> {
        if !self.leading {
            return None;
        }
        let due = self
            .observed
            .iter()
            .filter(|(name, lease)| self.expiry_due_at(name, lease) <= now);
        let leases: Vec<ExpiredLease> = due
            .map(|(name, lease)| ExpiredLease {
                lease: name.clone(),
                token: lease.token,
                renewals: lease.renewals,
            })
            .collect();
        for expired in &leases {
            let proposed = ProposedExpiry {
                renewals: expired.renewals,
                proposed_at: now,
            };
            self.proposed.insert(expired.lease.clone(), proposed);
        }
        (!leases.is_empty()).then_some(Operation::Expire { leases })
    }
}

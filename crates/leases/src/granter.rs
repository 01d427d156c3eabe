//! The time of whoever leads the log: it says when a lease is over, by its own clock alone.

use crate::LeaseTiming;
use crate::state::{FencingToken, LeaseTable, Operation};
use std::collections::BTreeMap;

/// What is proposed and not applied is proposed again after this, in milliseconds.
const AGAIN: u64 = 1000;

/// Leases as one voter sees them. It counts each from when it has itself applied the grant or the renewal, which is after the
/// owner asked, wherever it is applied: so a voter that comes to lead need not wait for more than what is left.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseGranter {
    times: LeaseTiming,
    /// Of each duty that is owned: its token, its renewals, and when this node has seen them so first.
    seen: BTreeMap<String, (FencingToken, u64, u64)>,
    leads: bool,
    /// What has been proposed, and when: not again each turn.
    proposed: BTreeMap<String, (u64, u64)>,
}

impl LeaseGranter {
    /// One that does not lead and has applied nothing.
    pub fn new(times: LeaseTiming) -> Self {
        Self {
            times,
            seen: BTreeMap::new(),
            leads: false,
            proposed: BTreeMap::new(),
        }
    }

    /// Whether this node leads now.
    pub fn lead(&mut self, leads: bool) {
        if leads != self.leads {
            self.proposed.clear();
        }
        self.leads = leads;
    }

    /// Takes in what the log has come to, after commands were applied.
    pub fn applied(&mut self, now: u64, state: &LeaseTable) {
        self.seen
            .retain(|name, _| state.duty(name).is_some_and(|duty| duty.owner.is_some()));
        for (name, duty) in state.duties() {
            let Some((_, token)) = &duty.owner else {
                continue;
            };
            let known = self
                .seen
                .get(name)
                .map(|(token, renewals, _)| (*token, *renewals));
            if known != Some((*token, duty.renewals)) {
                self.seen
                    .insert(name.to_owned(), (*token, duty.renewals, now));
            }
        }
    }

    /// When a lease of this many renewals that was seen then is to be put to the log as over.
    fn over(&self, name: &str, renewals: u64, since: u64) -> u64 {
        let proposed = self.proposed.get(name).filter(|(of, _)| *of == renewals);
        (since + self.times.granter()).max(proposed.map_or(0, |(_, at)| at + AGAIN))
    }

    /// When it is to be asked next, while it leads.
    pub fn next(&self) -> Option<u64> {
        let all = self.seen.iter().filter(|_| self.leads);
        all.map(|(name, (_, renewals, since))| self.over(name, *renewals, *since))
            .min()
    }

    /// The leases that are over, to be put to the log.
    pub fn due(&mut self, now: u64) -> Option<Operation> {
        if !self.leads {
            return None;
        }
        let all = self
            .seen
            .iter()
            .filter(|(name, (_, renewals, since))| self.over(name, *renewals, *since) <= now);
        let over: Vec<(String, FencingToken, u64)> = all
            .map(|(name, (token, renewals, _))| (name.clone(), *token, *renewals))
            .collect();
        for (name, _, renewals) in &over {
            self.proposed.insert(name.clone(), (*renewals, now));
        }
        (!over.is_empty()).then_some(Operation::Expire(over))
    }
}

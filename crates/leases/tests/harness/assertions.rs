//! What must hold after a run of the simulation.

use super::{LEASES, Simulation};
use postproxy_leases::{Fence, LeaseTable};
use std::collections::BTreeMap;

impl Simulation {
    pub fn assert_all_leases_become_owned(&mut self, seed: u64) {
        for name in LEASES {
            let owned = (0..1000).any(|_| {
                self.step();
                let mut nodes = 0..self.nodes.len();
                nodes.any(|n| self.nodes[n].holder.permit(self.clock(n), name).is_some())
            });
            assert!(
                owned,
                "seed {seed}: {name} has no owner: {:?}",
                self.voters[0].table.lease(name)
            );
        }
    }

    /// Asserts that no fence admitted an effect after one of a later owner, and that each token has
    /// one owner. Returns how many tokens there were.
    pub fn assert_effects_are_ordered(&self, seed: u64) -> usize {
        let mut owners: BTreeMap<u64, usize> = BTreeMap::new();
        for ((fence, lease), admitted) in &self.admitted {
            assert!(
                admitted.windows(2).all(|two| two[0].token <= two[1].token),
                "seed {seed}: {lease} at fence {fence}: an effect of an earlier owner after one of a later owner"
            );
            for effect in admitted {
                assert_eq!(
                    owners.entry(effect.token).or_insert(effect.node),
                    &effect.node,
                    "seed {seed}: {lease}: token {} has two owners",
                    effect.token
                );
            }
        }
        owners.len()
    }

    /// Asserts that no stored value is replaced by one with a lower token, and that the voter that
    /// has applied most agrees with the log.
    pub fn assert_log_is_consistent(&self, seed: u64) {
        let mut value_tokens: BTreeMap<&str, u64> = BTreeMap::new();
        let mut table = LeaseTable::default();
        for (_, command) in &self.log {
            table.apply(command);
            for (name, lease) in table.leases() {
                let name = LEASES
                    .iter()
                    .find(|known| **known == name)
                    .expect("a known lease");
                let before = value_tokens.entry(name).or_default();
                assert!(
                    lease.value_token >= *before,
                    "seed {seed}: the value of {name} was replaced by an older one"
                );
                *before = lease.value_token;
            }
        }
        let furthest = self
            .voters
            .iter()
            .max_by_key(|voter| voter.applied)
            .expect("a voter");
        assert_eq!(
            furthest.table.latest_token(),
            table.latest_token(),
            "seed {seed}: a voter differs from the log"
        );
    }

    /// Returns how many effects the fences have admitted.
    pub fn admitted_count(&self) -> usize {
        self.admitted.values().map(Vec::len).sum()
    }

    /// Returns how many effects the fences have rejected.
    pub fn rejected_count(&self) -> u64 {
        self.fences.iter().map(Fence::rejected_count).sum()
    }
}

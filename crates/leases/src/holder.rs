//! The leases that a node holds, and whether it may still act as their owner, measured by its own
//! clock alone.

use crate::LeaseTiming;
use crate::operation::{FencingToken, LeaseClaim};
use std::collections::BTreeMap;

/// Permission of a node to act as the owner of a lease now. It covers an effect that is made
/// immediately, not one that is made later.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeasePermit {
    lease: String,
    token: FencingToken,
    remaining_ms: u64,
}

impl LeasePermit {
    /// Returns the name of the lease.
    pub fn lease(&self) -> &str {
        &self.lease
    }

    /// Returns the token to act under.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns for how long the lease is still valid, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.remaining_ms
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HeldLease {
    token: FencingToken,
    /// When the lease ends by this node's clock, in milliseconds; `None` if it must be renewed
    /// before the node may act for it.
    valid_until: Option<u64>,
}

/// The leases that a node holds.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    held: BTreeMap<String, HeldLease>,
    /// When [`LeaseHolder::detect_pause`] was last called, in milliseconds.
    last_turn: Option<u64>,
    /// When the latest pause was detected, in milliseconds; responses to calls made before it do
    /// not extend a lease.
    resumed_at: u64,
}

impl LeaseHolder {
    /// Creates a holder without leases.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            held: BTreeMap::new(),
            last_turn: None,
            resumed_at: 0,
        }
    }

    /// Records a turn of the event loop, which must come at least every half of
    /// [`LeaseTiming::pause_threshold_ms`]. Returns whether the process was paused since the
    /// previous turn; if so, every lease must be renewed before the node may act for it.
    pub fn detect_pause(&mut self, now: u64) -> bool {
        let paused = self
            .last_turn
            .is_some_and(|last| now > last + self.timing.pause_threshold_ms);
        self.last_turn = Some(now);
        if paused {
            self.resumed_at = now;
            self.held
                .values_mut()
                .for_each(|held| held.valid_until = None);
        }
        paused
    }

    /// Records a grant or a renewal that was requested at `requested_at`. The lease counts from
    /// that time, which is before the log granted it. The response to a call made before a pause
    /// does not extend the lease.
    pub fn record_grant(&mut self, requested_at: u64, lease: &str, token: FencingToken) {
        let valid_until = (requested_at >= self.resumed_at)
            .then(|| requested_at + self.timing.holder_duration_ms());
        let granted = HeldLease { token, valid_until };
        let held = self
            .held
            .entry(lease.to_owned())
            .or_insert_with(|| granted.clone());
        if held.token < token {
            *held = granted;
        } else if held.token == token {
            held.valid_until = held.valid_until.max(valid_until);
        }
    }

    /// Removes a lease that this node has lost, released or transferred, unless it holds it under a
    /// higher token than this one.
    pub fn remove(&mut self, lease: &str, token: FencingToken) {
        if self.held.get(lease).is_some_and(|held| held.token <= token) {
            self.held.remove(lease);
        }
    }

    /// Returns a permit if this node may act as the owner of the lease now; to be called before
    /// each effect.
    pub fn permit(&self, now: u64, lease: &str) -> Option<LeasePermit> {
        let held = self.held.get(lease)?;
        // The same check as in `detect_pause`, for a caller in the middle of a turn.
        let not_paused = self
            .last_turn
            .is_some_and(|last| now <= last + self.timing.pause_threshold_ms);
        let remaining_ms = held
            .valid_until?
            .checked_sub(now)
            .filter(|remaining| *remaining > 0 && not_paused)?;
        Some(LeasePermit {
            lease: lease.to_owned(),
            token: held.token,
            remaining_ms,
        })
    }

    /// Returns all leases that this node holds as far as it knows, including those that must be
    /// renewed before it may act for them.
    pub fn claims(&self) -> Vec<LeaseClaim> {
        self.held
            .iter()
            .map(|(lease, held)| LeaseClaim {
                lease: lease.clone(),
                token: held.token,
            })
            .collect()
    }

    /// Returns when to renew, in milliseconds: when two thirds of the lease that ends first are
    /// left, so that two renewals may be lost. Returns 0 if a lease must be renewed before the node
    /// may act for it.
    pub fn renew_at(&self) -> Option<u64> {
        let remaining_at_renewal = self.timing.holder_duration_ms() * 2 / 3;
        self.held
            .values()
            .map(|held| {
                held.valid_until
                    .map_or(0, |until| until.saturating_sub(remaining_at_renewal))
            })
            .min()
    }
}

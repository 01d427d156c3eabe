//! The section `duties`: leases on tasks that one node does for the whole cluster.

use super::error::OperatorConfigError;
use super::fleet::FleetSection;
use serde::Deserialize;
use std::ops::RangeInclusive;

/// Default of [`DutiesSection::lease_ms`].
const DEFAULT_LEASE_MS: u64 = 3000;
/// Allowed values of [`DutiesSection::lease_ms`].
const LEASE_MS_RANGE: RangeInclusive<u64> = 1000..=60_000;
/// Minimum number of voters with which the cluster still grants leases after the loss of one.
const MIN_VOTERS: usize = 3;

/// The section `duties`: leases on tasks that one node does for the whole cluster.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields, expecting = "the object `duties`")]
pub struct DutiesSection {
    /// How long a lease lasts without renewal, in milliseconds; the same at all nodes.
    pub lease_ms: u64,
}

impl Default for DutiesSection {
    fn default() -> Self {
        Self {
            lease_ms: DEFAULT_LEASE_MS,
        }
    }
}

impl DutiesSection {
    /// Checks the section.
    pub(super) fn validate(&self, fleet: Option<&FleetSection>) -> Result<(), OperatorConfigError> {
        let error = |path, message| Err(OperatorConfigError::new(path, message));
        if !LEASE_MS_RANGE.contains(&self.lease_ms) {
            return error("duties.lease_ms", "must be between 1000 and 60000");
        }
        match fleet {
            None => error("duties", "needs the section fleet, which names the voters"),
            Some(fleet) if fleet.voters.len() < MIN_VOTERS => error(
                "fleet.voters",
                "must name 3, 5 or 7 nodes when the section duties is present",
            ),
            Some(_) => Ok(()),
        }
    }
}

//! The section `audit`: configuration version tracking.

use super::error::OperatorConfigError;
use serde::Deserialize;
use std::ops::RangeInclusive;

/// Default of [`AuditSection::beat_ms`].
const DEFAULT_BEAT_MS: u64 = 400;
/// Allowed values of [`AuditSection::beat_ms`].
const BEAT_MS_RANGE: RangeInclusive<u64> = 50..=60_000;
/// Maximum length of the name of a discovery service, in bytes.
const MAX_DISCOVERY_NAME_BYTES: usize = 256;

/// The section `audit`: which node acts on which version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields, expecting = "the object `audit`")]
pub struct AuditSection {
    /// Mean time between two messages with this node's versions, in milliseconds.
    pub beat_ms: u64,
    /// Name of the discovery service: nodes with the same name exchange worker lists. Defaults to
    /// the discovery address in the node's configuration.
    pub discovery: Option<String>,
}

impl Default for AuditSection {
    fn default() -> Self {
        Self {
            beat_ms: DEFAULT_BEAT_MS,
            discovery: None,
        }
    }
}

/// Whether the operator's file has a section `fleet`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FleetPresence {
    Present,
    Absent,
}

impl AuditSection {
    /// Checks the section.
    pub(super) fn validate(&self, fleet: FleetPresence) -> Result<(), OperatorConfigError> {
        let error = |path, message| Err(OperatorConfigError::new(path, message));
        if fleet == FleetPresence::Absent {
            return error("audit", "needs the section fleet");
        }
        if !BEAT_MS_RANGE.contains(&self.beat_ms) {
            return error("audit.beat_ms", "must be between 50 and 60000");
        }
        let is_bad_name = |name: &String| name.is_empty() || name.len() > MAX_DISCOVERY_NAME_BYTES;
        if self.discovery.as_ref().is_some_and(is_bad_name) {
            return error("audit.discovery", "must be a name of 1 to 256 bytes");
        }
        Ok(())
    }
}

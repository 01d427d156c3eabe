//! What an auditor decides on nodes and versions.

use crate::version::VersionLine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a node in one kind of version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// It acts on the version of the majority or on a newer one.
    Current,
    /// It acts on an older one; its peers send it the newer one.
    Behind,
    /// It was behind for longer than the grace period and is excluded.
    #[serde(rename = "out")]
    Excluded,
    /// It has caught up after an exclusion and has to stay so for a while before it is readmitted.
    CatchingUp,
}

/// The decisions of the auditors: the value of the lease `audit`, which only the holder of its
/// newest token can change.
///
/// Postcard writes the fields by their order.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VersionDecisions {
    /// The oldest number under which actions are accepted. It never falls.
    pub floors: BTreeMap<VersionLine, u64>,
    /// The lines in which a node is excluded, by the node's name.
    pub excluded: BTreeMap<String, BTreeSet<VersionLine>>,
    /// How often a node was excluded, by its name.
    pub exclusion_counts: BTreeMap<String, u32>,
    /// The versions that count as faulty: no node is excluded for them until an operator clears the
    /// fault.
    pub faulty: BTreeMap<VersionLine, u64>,
}

impl VersionDecisions {
    /// Whether this version, or a newer one of the line, counts as faulty.
    pub(crate) fn is_faulty(&self, line: VersionLine, number: u64) -> bool {
        self.faulty
            .get(&line)
            .is_some_and(|faulty| *faulty >= number)
    }

    /// Returns the oldest number under which actions are accepted; 0 without a decision.
    pub(crate) fn floor(&self, line: VersionLine) -> u64 {
        self.floors.get(&line).copied().unwrap_or(0)
    }
}

/// What an auditor has decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuditorEvent {
    /// The state of a node has changed.
    StateChanged {
        /// The node's name.
        node: String,
        /// In which line.
        line: VersionLine,
        /// Its new state.
        state: NodeState,
        /// Why, for the log.
        reason: String,
    },
    /// A version counts as faulty: excluding the nodes that are behind it would leave no majority,
    /// or most nodes can't adopt it.
    VersionFaulty {
        /// The line of the version.
        line: VersionLine,
        /// Its number.
        number: u64,
        /// Why, for the log.
        reason: String,
    },
    /// The decisions have changed: they have to be saved under the lease's token before any node is
    /// told.
    DecisionsChanged,
}

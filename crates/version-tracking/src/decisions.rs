//! The decisions of an auditor on nodes and versions.

use crate::version::VersionLine;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of a node with regard to one kind of version.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// It has not been found to be behind the version of the majority.
    Current,
    /// It acts on a version older than that of the majority; its peers send it the newer one.
    Behind,
    /// It was behind for the whole grace period, and is excluded.
    #[serde(rename = "out")]
    Excluded,
    /// It has caught up after an exclusion, and is readmitted after it has stayed caught up for a
    /// while.
    CatchingUp,
}

/// The decisions of the auditors: the value of the lease `audit`, which only the holder of the
/// lease's newest fencing token can change.
///
/// Postcard encodes the fields by their order, which therefore must not change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VersionDecisions {
    /// The floor of each line: the oldest version number under which actions are accepted. It never
    /// falls.
    pub floors: BTreeMap<VersionLine, u64>,
    /// The lines in which a node is excluded, by the node's name.
    pub excluded: BTreeMap<String, BTreeSet<VersionLine>>,
    /// How often a node was excluded, by the node's name.
    pub exclusion_counts: BTreeMap<String, u32>,
    /// The number of the version that counts as faulty, by line. Until an operator clears the fault,
    /// no node is excluded for lacking it or an older version.
    pub faulty: BTreeMap<VersionLine, u64>,
}

impl VersionDecisions {
    /// Returns whether this version or a newer one of the line counts as faulty.
    pub(crate) fn is_faulty(&self, line: VersionLine, number: u64) -> bool {
        self.faulty
            .get(&line)
            .is_some_and(|faulty| *faulty >= number)
    }

    /// Returns the floor of a line; 0 if none has been decided.
    pub(crate) fn floor(&self, line: VersionLine) -> u64 {
        self.floors.get(&line).copied().unwrap_or(0)
    }
}

/// A decision of an auditor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuditorEvent {
    /// The state of a node has changed.
    StateChanged {
        /// The node's name.
        node: String,
        /// The line of the version that the node acts on.
        line: VersionLine,
        /// Its new state.
        state: NodeState,
        /// The reason, for the log.
        reason: String,
    },
    /// A version counts as faulty: excluding the nodes that are behind it would leave no majority,
    /// or most nodes can't adopt it.
    VersionFaulty {
        /// The line of the version.
        line: VersionLine,
        /// Its number.
        number: u64,
        /// The reason, for the log.
        reason: String,
    },
    /// The decisions have changed. They have to be stored under the lease's fencing token before
    /// any node is informed of them.
    DecisionsChanged,
}

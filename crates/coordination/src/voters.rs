//! The voters, as far as a node knows.

use std::collections::BTreeMap;

/// The voters as of an index of the log.
#[derive(Clone, Copy)]
pub struct VotersAt<'a> {
    /// The index of the log.
    pub applied_index: u64,
    /// The name of each voter's node, by voter ID.
    pub voters: &'a BTreeMap<u64, String>,
}

/// Returns the voter ID of a node, if it is a voter.
pub fn voter_id_of(voters: &BTreeMap<u64, String>, node: &str) -> Option<u64> {
    voters
        .iter()
        .find(|(_, name)| *name == node)
        .map(|(id, _)| *id)
}

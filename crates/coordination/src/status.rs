//! The status of the coordination service, as the management API shows it.

use crate::coordinator::Coordinator;
use crate::error::NotVotingReason;
use postproxy_leases::{FencingToken, Lease};
use serde::{Deserialize, Serialize};

/// The status of a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseStatus {
    /// The name of the lease.
    #[serde(rename = "duty")]
    pub lease: String,
    /// The node that owns it.
    pub owner: Option<String>,
    /// The token under which that node owns it.
    pub token: Option<FencingToken>,
    /// The node to which it is to be transferred.
    #[serde(rename = "next")]
    pub next_owner: Option<String>,
    /// The size of its value, in bytes.
    pub value_bytes: usize,
    /// For how long the node that shows this may still act as its owner, in milliseconds; `None` if
    /// it may not.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Option<u64>,
}

/// The status of a voter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// The voter ID.
    #[serde(rename = "seat")]
    pub voter_id: u64,
    /// The name of its node.
    pub node: String,
    /// Whether a message from it has arrived lately; `None` if the node that shows this does not
    /// vote and so does not know.
    #[serde(rename = "heard")]
    pub recently_heard: Option<bool>,
    /// Whether it has reported that it lost its promises.
    #[serde(rename = "lost")]
    pub promises_lost: bool,
}

/// The status of the coordination service, as a node knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The name of the node that shows this.
    pub node: String,
    /// Whether it votes.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Why it does not vote, if it is or was a voter.
    #[serde(rename = "why")]
    pub not_voting_reason: Option<NotVotingReason>,
    /// The leader.
    pub leader: Option<String>,
    /// The index of the log that the node has applied.
    #[serde(rename = "place")]
    pub applied_index: u64,
    /// All voters.
    pub voters: Vec<ReplicaStatus>,
    /// All leases.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseStatus>,
    /// The latest token granted.
    #[serde(rename = "token")]
    pub latest_token: FencingToken,
}

impl Coordinator {
    /// Returns the status as this node knows it.
    pub fn status(&self, now: u64) -> Status {
        let voters = self.voters().iter();
        let leases = self.lease_table().leases();
        Status {
            node: self.settings.node.clone(),
            is_voter: self.is_voter(),
            not_voting_reason: self
                .replica
                .not_voting_reason()
                .filter(|reason| **reason != NotVotingReason::NotAVoter)
                .cloned(),
            leader: self.leader().cloned(),
            applied_index: self.applied_index(),
            voters: voters
                .map(|(id, node)| self.replica_status(now, *id, node))
                .collect(),
            leases: leases
                .map(|(name, lease)| self.lease_status(now, name, lease))
                .collect(),
            latest_token: self.lease_table().latest_token(),
        }
    }

    fn replica_status(&self, now: u64, voter_id: u64, node: &str) -> ReplicaStatus {
        let is_self = voter_id == self.replica.id();
        let has_lost_promises =
            self.replica.not_voting_reason() == Some(&NotVotingReason::PromisesLost);
        ReplicaStatus {
            voter_id,
            node: node.to_owned(),
            recently_heard: self
                .is_voter()
                .then(|| is_self || self.is_recently_heard(now, voter_id)),
            promises_lost: self.promises_lost.contains(&voter_id) || is_self && has_lost_promises,
        }
    }

    fn lease_status(&self, now: u64, name: &str, lease: &Lease) -> LeaseStatus {
        let owner = lease.owner.as_ref();
        LeaseStatus {
            lease: name.to_owned(),
            owner: owner.map(|owner| owner.node.clone()),
            token: owner.map(|owner| owner.token),
            next_owner: lease.next_owner.clone(),
            value_bytes: lease.value.len(),
            remaining_ms: self.permit(now, name).map(|permit| permit.remaining_ms()),
        }
    }
}

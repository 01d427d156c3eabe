//! The status of the cluster that the management API shows.

use super::ClusterService;
use super::participant::Participant;
use postproxy_membership::{Identity, MemberState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node in the response of the management API. The JSON keys are those of earlier versions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(expecting = "an object in `members`")]
pub struct MemberStatus {
    /// Name of the node.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Grows each time the node starts or rejoins the cluster.
    pub incarnation: u64,
    /// `here` for the answering node, else `alive`, `suspect`, `failed` or `left`.
    pub state: String,
    /// Whether it is a voter.
    #[serde(rename = "voter")]
    pub is_voter: bool,
    /// Whether it is the leader, as far as the answering node knows.
    #[serde(default, rename = "leads")]
    pub is_leader: bool,
}

/// The cluster in the response of the management API. The JSON keys are those of earlier versions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(expecting = "a cluster status object")]
pub struct ClusterStatus {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the answering node.
    pub node: String,
    /// Whether the answering node is a member.
    #[serde(rename = "member")]
    pub is_member: bool,
    /// Address of another process with the answering node's name, if there is one.
    #[serde(rename = "namesake")]
    pub name_conflict: Option<SocketAddr>,
    /// Health of the cluster as the answering node sees it.
    #[serde(rename = "standing")]
    pub health: String,
    /// Reasons for this health.
    pub reasons: Vec<String>,
    /// All nodes that are or were members, the answering node first.
    pub members: Vec<MemberStatus>,
    /// Peers that the answering node monitors and from which it has lately received no heartbeat.
    #[serde(rename = "unheard")]
    pub unreachable_peers: Vec<String>,
    /// Slowdown of the answering node's clock: 0 for a process that runs on time, at most 8.
    #[serde(rename = "ill")]
    pub clock_slowdown: f64,
    /// Seconds in which the answering process didn't run although a timer was due.
    #[serde(rename = "missed_s")]
    pub skipped_seconds: f64,
    /// Workers that are suspended for the cluster.
    #[serde(rename = "bans")]
    pub suspended_workers: Vec<String>,
    /// Numbers of datagrams and connections dropped, by reason.
    pub dropped: BTreeMap<String, u64>,
}

/// The names of the voters and of the leader.
struct Voters {
    names: Vec<String>,
    leader: Option<String>,
}

impl Voters {
    fn status(&self, identity: &Identity, state: &str) -> MemberStatus {
        let name = identity.name.to_string();
        MemberStatus {
            address: identity.address,
            incarnation: identity.incarnation,
            state: state.to_owned(),
            is_voter: self.names.contains(&name),
            is_leader: self.leader.as_ref() == Some(&name),
            name,
        }
    }
}

/// Returns the text for the state of a node. Programs compare it: it must not change.
fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Failed => "failed",
        MemberState::Left => "left",
    }
}

impl ClusterService {
    /// Returns the status of the cluster, or `None` if this process doesn't participate.
    pub fn status(&self) -> Option<ClusterStatus> {
        let participant = self.participant.as_ref()?;
        let membership = &participant.membership;
        let voters = self.voters(participant);
        let local = voters.status(membership.local_identity(), "here");
        let peers = membership
            .peers()
            .map(|(identity, state)| voters.status(identity, state_text(state)));
        let local_health = membership.local_health();
        Some(ClusterStatus {
            cluster: self.settings.cluster.clone(),
            node: self.name.clone(),
            is_member: membership.is_member(),
            name_conflict: membership.name_conflict(),
            health: membership.health().as_str().to_owned(),
            reasons: membership.health().reasons(),
            members: std::iter::once(local).chain(peers).collect(),
            unreachable_peers: membership.unreachable().cloned().collect(),
            clock_slowdown: local_health.slowdown,
            skipped_seconds: local_health.skipped_seconds,
            suspended_workers: membership.suspended_workers(),
            dropped: participant.dropped(),
        })
    }

    fn voters(&self, participant: &Participant) -> Voters {
        let (names, leader) = match &participant.coordination {
            Some(coordination) => (coordination.voters(), coordination.leader()),
            None => (self.settings.voters.clone(), None),
        };
        Voters { names, leader }
    }
}

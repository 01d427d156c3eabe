//! The status of the cluster that the management API shows.

use super::ClusterService;
use super::participant::Participant;
use postproxy_membership::{Identity, MemberState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node in the answer of the management API. The names of the fields are its JSON keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Name of the node.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Grows with each start and each return.
    pub incarnation: u64,
    /// `here` for the answering node, else `alive`, `suspect`, `failed` or `left`.
    pub state: String,
    /// Whether it is a voter.
    pub voter: bool,
    /// Whether it leads the voters, as far as the answering node knows.
    #[serde(default)]
    pub leads: bool,
}

/// The cluster in the answer of the management API. The names of the fields are its JSON keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClusterStatus {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the answering node.
    pub node: String,
    /// Whether the answering node is a member.
    pub member: bool,
    /// Address of another process with the answering node's name, if there is one.
    pub namesake: Option<SocketAddr>,
    /// Health of the cluster as the answering node sees it.
    pub standing: String,
    /// Reasons for this health.
    pub reasons: Vec<String>,
    /// All nodes that are or were members, the answering node first.
    pub members: Vec<MemberStatus>,
    /// Peers that the answering node monitors and doesn't hear.
    pub unheard: Vec<String>,
    /// Slowdown of the answering node's clock: 0 for a process that runs on time, at most 8.
    pub ill: f64,
    /// Seconds in which the answering process didn't run although a timer was due.
    pub missed_s: f64,
    /// Workers that are suspended for the cluster.
    pub bans: Vec<String>,
    /// Numbers of datagrams and connections dropped, by reason.
    pub dropped: BTreeMap<String, u64>,
}

/// The voters, and the one that leads them.
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
            voter: self.names.contains(&name),
            leads: self.leader.as_ref() == Some(&name),
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
            member: membership.is_member(),
            namesake: membership.name_conflict(),
            standing: membership.health().as_str().to_owned(),
            reasons: membership.health().reasons(),
            members: std::iter::once(local).chain(peers).collect(),
            unheard: membership.unreachable().cloned().collect(),
            ill: local_health.slowdown,
            missed_s: local_health.skipped_seconds,
            bans: membership.suspended_workers(),
            dropped: participant.dropped(),
        })
    }

    fn voters(&self, participant: &Participant) -> Voters {
        let (names, leader) = match &participant.coordination {
            Some(coordination) => coordination.voters(),
            None => (self.settings.voters.clone(), None),
        };
        Voters { names, leader }
    }
}

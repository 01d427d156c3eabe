//! Queries for what a node knows of itself and of the cluster.

use super::{JoinState, Membership, swim};
use crate::cluster_health::{ClusterHealth, ClusterView};
use crate::events::{MemberState, MembershipEvent, Output};
use crate::identity::Identity;
use crate::packet::DecodeError;
use crate::reachability;
use foca::State;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Position of a node among the members that it knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberRank {
    /// Position in the order of names, from 0.
    pub position: usize,
    /// Number of members, the node included.
    pub members: usize,
}

/// Whether this process runs on time, see [`crate::LocalClock`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalHealth {
    /// 0 for a process that runs on time, at most 8.
    pub slowdown: f64,
    /// Seconds in which the process didn't run although a timer was due.
    pub skipped_seconds: f64,
}

impl Membership {
    /// Returns the identity of this node.
    pub fn local_identity(&self) -> &Identity {
        &self.local_identity
    }

    /// Returns whether this node is a member, perhaps the only one.
    pub fn is_member(&self) -> bool {
        self.join_state == JoinState::Member
    }

    /// Returns the address of the other process that holds this node's name, if there is one.
    pub fn name_conflict(&self) -> Option<SocketAddr> {
        if let JoinState::NameConflict { address, .. } = self.join_state {
            Some(address)
        } else {
            None
        }
    }

    /// Returns all other nodes that are or were members, with their states, ordered by name.
    pub fn peers(&self) -> impl Iterator<Item = (&Identity, MemberState)> {
        let suspects: BTreeSet<&str> = self
            .swim
            .iter_members()
            .filter(|member| member.state() == State::Suspect)
            .map(|member| &*member.id().name)
            .collect();
        self.nodes.values().map(move |node| {
            let name = &*node.identity.name;
            let is_suspect = node.state == MemberState::Alive && suspects.contains(name);
            let state = if is_suspect {
                MemberState::Suspect
            } else {
                node.state
            };
            (&node.identity, state)
        })
    }

    /// Returns the number of nodes that may be alive, this one included: members and nodes that
    /// failed without leaving.
    pub fn cluster_size(&self) -> usize {
        let has_left = |state: MemberState| state == MemberState::Left;
        let others = self.nodes.values().filter(|node| !has_left(node.state));
        1 + others.count()
    }

    /// Returns this node's position among the members that it knows.
    pub fn rank(&self) -> MemberRank {
        let name = &self.local_identity.name;
        MemberRank {
            position: self.live_peers().filter(|peer| peer.name < *name).count(),
            members: 1 + self.live_peers().count(),
        }
    }

    /// Returns the health of the cluster as this node sees it.
    pub fn health(&self) -> &ClusterHealth {
        &self.health
    }

    /// Returns the names of the peers that this node monitors and receives no heartbeats from, in
    /// order.
    pub fn unreachable(&self) -> impl Iterator<Item = &String> {
        self.reachability.unreachable()
    }

    /// Returns the numbers of datagrams and stream messages dropped, by reason.
    pub fn dropped(&self) -> &BTreeMap<DecodeError, u64> {
        &self.dropped
    }

    /// Returns whether this process runs on time.
    pub fn local_health(&self) -> LocalHealth {
        LocalHealth {
            slowdown: self.clock.slowdown(),
            skipped_seconds: self.clock.skipped_seconds(),
        }
    }

    /// Returns what the cluster's health is derived from.
    pub fn view(&self) -> ClusterView {
        let gossip = self.gossip.borrow();
        let reports = gossip
            .reports
            .iter()
            .filter(|(name, report)| self.is_current_process(name, report.process_nonce));
        ClusterView {
            local_node: self.local_identity.name.to_string(),
            not_a_member: !self.is_member(),
            members: self.sorted_members(),
            failed: self.names_in_state(MemberState::Failed),
            left: self.names_in_state(MemberState::Left),
            voters: self.settings.voters.clone(),
            unreachable: reports
                .map(|(name, report)| (name.clone(), report.unreachable.clone()))
                .collect(),
        }
    }

    /// Returns the members, this node among them, in the order of [`reachability::sort_by_hash`].
    pub(super) fn sorted_members(&self) -> Vec<String> {
        let peers = self.live_peers().map(|peer| peer.name.to_string());
        reachability::sort_by_hash(peers.chain([self.local_identity.name.to_string()]))
    }

    fn names_in_state(&self, state: MemberState) -> BTreeSet<String> {
        let nodes = self.nodes.values().filter(|node| node.state == state);
        nodes.map(|node| node.identity.name.to_string()).collect()
    }

    /// Returns whether reports of this process still count: they don't once another process of the
    /// node has replaced it.
    fn is_current_process(&self, name: &str, process_nonce: u64) -> bool {
        *name == *self.local_identity.name
            || self
                .nodes
                .get(name)
                .is_some_and(|node| node.identity.process_nonce == process_nonce)
    }

    /// Updates the cluster's health, and reports it if it has changed. Configures the SWIM library
    /// for the current size of the cluster.
    pub(super) fn update_health(&mut self, out: &mut Vec<Output>) {
        self.health_update_pending = false;
        let config = swim::config(&self.settings, self.nodes.len() + 1);
        let _ = self.swim.set_config(config);
        let health = self.view().health();
        if health != self.health {
            self.health = health.clone();
            out.push(Output::Event(MembershipEvent::HealthChanged(health)));
        }
    }
}

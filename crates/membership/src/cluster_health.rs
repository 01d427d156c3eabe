//! The health of the cluster as one node sees it, derived from the list of members and from the
//! nodes' reports on unreachable peers. Other nodes may see a different health at the same time.

use crate::reachability;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What one node knows of the cluster that the cluster's health is derived from.
#[derive(Clone, Debug, Default)]
pub struct ClusterView {
    /// Name of this node.
    pub local_node: String,
    /// Whether this node isn't a member: it hasn't joined, it has left or another process holds its
    /// name.
    pub not_a_member: bool,
    /// Members, this node among them, in the order of [`reachability::sort_by_hash`].
    pub members: Vec<String>,
    /// Nodes that have failed.
    pub failed: BTreeSet<String>,
    /// Nodes that have left the cluster.
    pub left: BTreeSet<String>,
    /// The configured voters; empty if there are none.
    pub voters: BTreeSet<String>,
    /// By node, the peers that it monitors and receives no heartbeats from.
    pub unreachable: BTreeMap<String, BTreeSet<String>>,
}

/// Two members of which the first receives no heartbeats from the second.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreachablePair {
    /// The node that reports it.
    pub observer: String,
    /// The node that it receives no heartbeats from.
    pub peer: String,
}

/// The health of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterHealth {
    /// No other member is known, or this node isn't a member.
    Alone,
    /// All nodes that haven't left are members and reach each other.
    Complete,
    /// No node is cut off from the others, but some members receive no heartbeats from others.
    PartiallyUnreachable(Vec<UnreachablePair>),
    /// No voters are configured, and these nodes have failed.
    SomeFailed(Vec<String>),
    /// This node reaches more than half of the voters, but not these nodes.
    MajorityPartition(Vec<String>),
    /// This node doesn't reach these voters, at least half of all. Another side may have a
    /// majority.
    MinorityPartition(Vec<String>),
    /// As far as this node knows, no side of a partition has a majority of the voters. This node
    /// doesn't reach these voters.
    NoMajority(Vec<String>),
}

impl ClusterHealth {
    /// Returns the name for logs and the management API. Programs compare it as text, so it must
    /// not change.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Complete => "whole",
            Self::PartiallyUnreachable(_) => "some pairs cut",
            Self::SomeFailed(_) => "some failed",
            Self::MajorityPartition(_) => "cut off with a majority",
            Self::MinorityPartition(_) => "cut off with a minority",
            Self::NoMajority(_) => "no majority anywhere",
        }
    }

    /// Returns the reasons as text, for logs and the management API; there are none for a complete
    /// cluster or a single node.
    pub fn reasons(&self) -> Vec<String> {
        match self {
            Self::Alone | Self::Complete => Vec::new(),
            Self::PartiallyUnreachable(pairs) => pairs
                .iter()
                .map(|pair| format!("{} does not hear {}", pair.observer, pair.peer))
                .collect(),
            Self::SomeFailed(names) => names
                .iter()
                .map(|name| format!("{name} has failed"))
                .collect(),
            Self::MajorityPartition(names) => names
                .iter()
                .map(|name| format!("{name} is not reached"))
                .collect(),
            Self::MinorityPartition(names) | Self::NoMajority(names) => names
                .iter()
                .map(|name| format!("voter {name} is not reached"))
                .collect(),
        }
    }
}

impl fmt::Display for ClusterHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl ClusterView {
    /// Returns the health of the cluster in this view.
    pub fn health(&self) -> ClusterHealth {
        if self.not_a_member || self.members.len() + self.failed.len() <= 1 {
            return ClusterHealth::Alone;
        }
        if self.voters.is_empty() {
            if !self.failed.is_empty() {
                return ClusterHealth::SomeFailed(self.failed.iter().cloned().collect());
            }
        } else if let Some(partition) = self.partition() {
            return partition;
        }
        let pairs = self.unreachable_pairs();
        if pairs.is_empty() {
            ClusterHealth::Complete
        } else {
            ClusterHealth::PartiallyUnreachable(pairs)
        }
    }

    /// Returns on which side of a partition this node is, judged by the voters; `None` if it
    /// reaches all nodes and a majority of the voters.
    fn partition(&self) -> Option<ClusterHealth> {
        let reached = self.reachable_from(&self.local_node);
        let not_reached = |names: &BTreeSet<String>| -> Vec<String> {
            names
                .iter()
                .filter(|name| !reached.contains(name.as_str()))
                .cloned()
                .collect()
        };
        let majority = self.voters.len() / 2 + 1;
        if self.max_connected_voters() < majority {
            return Some(ClusterHealth::NoMajority(not_reached(&self.voters)));
        }
        let reached_voters = self
            .member_voters()
            .filter(|voter| reached.contains(voter.as_str()))
            .count();
        if reached_voters < majority {
            return Some(ClusterHealth::MinorityPartition(not_reached(&self.voters)));
        }
        let all: BTreeSet<String> = self.members.iter().chain(&self.failed).cloned().collect();
        let away = not_reached(&all);
        (!away.is_empty()).then_some(ClusterHealth::MajorityPartition(away))
    }

    /// Returns the voters that are members.
    fn member_voters(&self) -> impl Iterator<Item = &String> {
        self.voters
            .iter()
            .filter(|voter| self.members.contains(voter))
    }

    /// Returns the largest number of voters that may reach each other on one side of a partition.
    fn max_connected_voters(&self) -> usize {
        let has_left = |voter: &String| self.left.contains(voter);
        let remaining = self.voters.iter().filter(|voter| !has_left(voter)).count();
        let largest_side = self
            .member_voters()
            .map(|voter| {
                let reached = self.reachable_from(voter);
                self.member_voters()
                    .filter(|other| reached.contains(other.as_str()))
                    .count()
            })
            .max()
            .unwrap_or(0);
        // The voters that aren't members may be alive and all reach each other on another side.
        let elsewhere = remaining
            - self
                .member_voters()
                .filter(|voter| !has_left(voter))
                .count();
        largest_side.max(elsewhere).min(remaining)
    }

    /// Returns the pairs of members of which the first monitors the second and receives no
    /// heartbeats from it.
    fn unreachable_pairs(&self) -> Vec<UnreachablePair> {
        let members: BTreeSet<&String> = self.members.iter().collect();
        let mut pairs = Vec::new();
        for (observer, peers) in &self.unreachable {
            if !members.contains(observer) {
                continue;
            }
            for peer in peers.iter().filter(|peer| members.contains(peer)) {
                pairs.push(UnreachablePair {
                    observer: observer.clone(),
                    peer: peer.clone(),
                });
            }
        }
        pairs
    }

    /// Returns the members that a member reaches, itself included, directly or through others. A
    /// link counts only if neither end reports the other as unreachable.
    fn reachable_from(&self, start: &str) -> BTreeSet<&str> {
        let is_unreachable = |observer: &str, peer: &str| {
            self.unreachable
                .get(observer)
                .is_some_and(|peers| peers.contains(peer))
        };
        let Some(start) = self.members.iter().find(|name| *name == start) else {
            return BTreeSet::new();
        };
        let mut reached = BTreeSet::from([start.as_str()]);
        let mut unvisited = vec![start];
        while let Some(node) = unvisited.pop() {
            for peer in reachability::monitored_peers(&self.members, &self.voters, node) {
                let linked = !is_unreachable(node, peer) && !is_unreachable(peer, node);
                if linked && reached.insert(peer) {
                    unvisited.push(peer);
                }
            }
        }
        reached
    }
}

//! How things stand, from the list and from who hears whom. An opinion.

use crate::reachability;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What is known, as far as it matters here.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// This node.
    pub me: String,
    /// It is no member: the name is another's, or it has not joined.
    pub apart: bool,
    /// Members, this node among them, in the order of [`reachability::order`].
    pub members: Vec<String>,
    /// Nodes that have failed, and those that have left.
    pub failed: BTreeSet<String>,
    /// Nodes that left in good order.
    pub left: BTreeSet<String>,
    /// Who votes, if anybody.
    pub voters: BTreeSet<String>,
    /// By node, whom it should hear and does not.
    pub deaf: BTreeMap<String, BTreeSet<String>>,
}

/// How things stand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClusterHealth {
    /// No other member is known, or this node is none.
    Alone,
    /// All members that have not left are there and heard.
    Whole,
    /// All are there; the second of each pair is not heard by the first.
    SomeCut(Vec<(String, String)>),
    /// These have failed, and nobody is named to vote.
    Failed(Vec<String>),
    /// Cut off with more than half of the voters; who is missing.
    Majority(Vec<String>),
    /// Cut off with at most half of the voters; who of them is missing.
    Minority(Vec<String>),
    /// The voters have no majority anywhere, as far as can be known; who is not heard or has left.
    NoMajority(Vec<String>),
}

impl ClusterHealth {
    /// A word for logs and the door.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Alone => "alone",
            Self::Whole => "whole",
            Self::SomeCut(_) => "some pairs cut",
            Self::Failed(_) => "some failed",
            Self::Majority(_) => "cut off with a majority",
            Self::Minority(_) => "cut off with a minority",
            Self::NoMajority(_) => "no majority anywhere",
        }
    }

    /// Why, in words; empty where there is nothing to say.
    pub fn reasons(&self) -> Vec<String> {
        match self {
            Self::Alone | Self::Whole => Vec::new(),
            Self::SomeCut(pairs) => pairs
                .iter()
                .map(|(a, b)| format!("{a} does not hear {b}"))
                .collect(),
            Self::Failed(names) => names
                .iter()
                .map(|name| format!("{name} has failed"))
                .collect(),
            Self::Majority(names) => names
                .iter()
                .map(|name| format!("{name} is not reached"))
                .collect(),
            Self::Minority(names) | Self::NoMajority(names) => names
                .iter()
                .map(|name| format!("voter {name} is not reached"))
                .collect(),
        }
    }
}

impl fmt::Display for ClusterHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

impl Known {
    /// The pairs of members of which the first should hear the second and does not.
    fn cuts(&self) -> Vec<(String, String)> {
        let members: BTreeSet<&String> = self.members.iter().collect();
        let is = |name: &String| members.contains(name);
        let of = |(a, names): (&String, &BTreeSet<String>)| {
            let pairs: Vec<_> = names
                .iter()
                .filter(|b| is(b))
                .map(|b| (a.clone(), b.clone()))
                .collect();
            pairs
        };
        self.deaf
            .iter()
            .filter(|(a, _)| is(a))
            .flat_map(of)
            .collect()
    }

    /// Whom a member reaches, over others or not, where each hears the next and is heard by it.
    fn reached(&self, from: &str) -> BTreeSet<&str> {
        let cut = |a: &str, b: &str| self.deaf.get(a).is_some_and(|names| names.contains(b));
        let Some(from) = self.members.iter().find(|name| *name == from) else {
            return BTreeSet::new();
        };
        let (mut found, mut next) = (BTreeSet::from([from.as_str()]), vec![from]);
        while let Some(at) = next.pop() {
            for other in reachability::pairs(&self.members, &self.voters, at) {
                if !cut(at, other) && !cut(other, at) && found.insert(other) {
                    next.push(other);
                }
            }
        }
        found
    }

    /// How things stand.
    pub fn standing(&self) -> ClusterHealth {
        if self.apart || self.members.len() + self.failed.len() <= 1 {
            return ClusterHealth::Alone;
        }
        let reached = self.reached(&self.me);
        let missing = |names: &BTreeSet<String>| {
            names
                .iter()
                .filter(|n| !reached.contains(n.as_str()))
                .cloned()
                .collect()
        };
        let majority = self.voters.len() / 2 + 1;
        if !self.voters.is_empty() {
            let possible = self
                .voters
                .iter()
                .filter(|voter| !self.left.contains(*voter))
                .count();
            let here: Vec<String> = self
                .voters
                .iter()
                .filter(|v| self.members.contains(v))
                .cloned()
                .collect();
            let part = |voter: &String| {
                let part = self.reached(voter);
                here.iter().filter(|v| part.contains(v.as_str())).count()
            };
            let largest = here.iter().map(part).max().unwrap_or(0);
            // Voters that are not members may have a majority where they are, unless they are too few.
            let elsewhere = possible - here.iter().filter(|v| !self.left.contains(*v)).count();
            if possible < majority || largest.max(elsewhere) < majority {
                return ClusterHealth::NoMajority(missing(&self.voters));
            }
            let mine = here
                .iter()
                .filter(|voter| reached.contains(voter.as_str()))
                .count();
            if mine < majority {
                return ClusterHealth::Minority(missing(&self.voters));
            }
            let all: BTreeSet<String> = self.members.iter().chain(&self.failed).cloned().collect();
            let away: Vec<String> = missing(&all);
            if !away.is_empty() {
                return ClusterHealth::Majority(away);
            }
        } else if !self.failed.is_empty() {
            return ClusterHealth::Failed(self.failed.iter().cloned().collect());
        }
        let cuts = self.cuts();
        if cuts.is_empty() {
            ClusterHealth::Whole
        } else {
            ClusterHealth::SomeCut(cuts)
        }
    }
}

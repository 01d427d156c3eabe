//! The auditor decides which nodes are behind, excluded and readmitted. It runs on the node that
//! holds the lease `audit`.

use crate::decisions::{AuditorEvent, NodeState, VersionDecisions};
use crate::version::{VersionKind, VersionLine, VersionRecord};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of times that the wait before a readmission doubles, so that the shift can't
/// overflow.
const MAX_READMISSION_DOUBLINGS: u32 = 10;

/// The delays of an auditor's decisions, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct AuditorTiming {
    /// How long a majority must have had a version before a node with an older one counts as
    /// behind.
    pub lag_ms: u64,
    /// How long a node may be behind before it is excluded.
    pub grace_ms: u64,
    /// How long a node has to stay caught up before it is readmitted. Doubles with each earlier
    /// exclusion.
    pub readmission_ms: u64,
}

impl Default for AuditorTiming {
    fn default() -> Self {
        Self {
            lag_ms: 2000,
            grace_ms: 3000,
            readmission_ms: 1000,
        }
    }
}

/// What is known of a node with regard to one kind of version.
#[derive(Clone, Debug)]
struct NodeVersion {
    version: VersionRecord,
    state: NodeState,
    /// When it entered this state, in milliseconds.
    since_ms: u64,
}

impl NodeVersion {
    fn line(&self, kind: VersionKind) -> VersionLine {
        VersionLine {
            kind,
            generation: self.version.generation,
        }
    }
}

/// The highest version number of a line that was reached, and when, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Milestone {
    number: u64,
    since_ms: u64,
}

impl Milestone {
    /// Advances the milestone of a line to this number, unless it is already as high.
    fn advance(
        milestones: &mut BTreeMap<VersionLine, Self>,
        line: VersionLine,
        number: u64,
        now_ms: u64,
    ) {
        let reached = Self {
            number,
            since_ms: now_ms,
        };
        let milestone = milestones.entry(line).or_insert(reached);
        if number > milestone.number {
            *milestone = reached;
        }
    }
}

/// What happens to a node next.
enum Step {
    /// It stays in its state.
    Stay,
    /// It changes to this state, for this reason.
    Change(NodeState, String),
    /// Its grace period is over.
    Exclude,
}

/// Decides on nodes by the versions that they report. All times are in milliseconds.
#[derive(Debug)]
pub struct Auditor {
    timing: AuditorTiming,
    members: BTreeSet<String>,
    nodes: BTreeMap<(String, VersionKind), NodeVersion>,
    /// The newest version that a majority of the nodes in a line has reached.
    majority: BTreeMap<VersionLine, Milestone>,
    /// The newest version that any node in a line has reached.
    newest: BTreeMap<VersionLine, Milestone>,
    decisions: VersionDecisions,
}

impl Auditor {
    /// Returns an auditor that continues from the decisions of the previous one. It doesn't know
    /// the nodes' versions yet, and gives each node the whole grace period again.
    pub fn new(timing: AuditorTiming, decisions: VersionDecisions) -> Self {
        Self {
            timing,
            members: BTreeSet::new(),
            nodes: BTreeMap::new(),
            majority: BTreeMap::new(),
            newest: BTreeMap::new(),
            decisions,
        }
    }

    /// Returns the decisions so far.
    pub fn decisions(&self) -> &VersionDecisions {
        &self.decisions
    }

    /// Returns the state of a node with regard to a kind of version, if the node has reported one.
    pub fn state(&self, node: &str, kind: VersionKind) -> Option<NodeState> {
        self.nodes
            .get(&(node.to_owned(), kind))
            .map(|node| node.state)
    }

    /// Sets the names of the members. Other nodes are not considered.
    pub fn set_members(&mut self, members: BTreeSet<String>) {
        self.nodes.retain(|(node, _), _| members.contains(node));
        self.members = members;
    }

    /// Records the version that a node reports.
    pub fn record_version(
        &mut self,
        now_ms: u64,
        node: &str,
        kind: VersionKind,
        version: VersionRecord,
    ) {
        if !self.members.contains(node) {
            return;
        }
        let is_excluded = self
            .decisions
            .excluded
            .get(node)
            .is_some_and(|lines| lines.iter().any(|line| line.kind == kind));
        let state = if is_excluded {
            NodeState::Excluded
        } else {
            NodeState::Current
        };
        let known = self
            .nodes
            .entry((node.to_owned(), kind))
            .or_insert(NodeVersion {
                version,
                state,
                since_ms: now_ms,
            });
        known.version = version;
    }

    /// Clears the faulty version of a line at an operator's request. Returns whether there was one.
    pub fn clear_fault(&mut self, line: VersionLine) -> bool {
        self.decisions.faulty.remove(&line).is_some()
    }

    /// Decides on all nodes and versions. To be called several times a second.
    pub fn decide(&mut self, now_ms: u64) -> Vec<AuditorEvent> {
        self.update_milestones(now_ms);
        let decisions_before = self.decisions.clone();
        let mut events = self.detect_faulty_versions(now_ms);
        let overdue = self.update_states(now_ms, &mut events);
        for (line, nodes) in overdue {
            self.exclude(now_ms, line, nodes, &mut events);
        }
        self.decisions.excluded.retain(|_, lines| !lines.is_empty());
        if self.decisions != decisions_before {
            events.push(AuditorEvent::DecisionsChanged);
        }
        events
    }

    /// Updates the newest version of each line, and the newest that a majority has.
    fn update_milestones(&mut self, now_ms: u64) {
        let mut numbers_by_line: BTreeMap<VersionLine, Vec<u64>> = BTreeMap::new();
        for ((_, kind), node) in &self.nodes {
            numbers_by_line
                .entry(node.line(*kind))
                .or_default()
                .push(node.version.number);
        }
        for (line, mut numbers) in numbers_by_line {
            numbers.sort_unstable_by(|a, b| b.cmp(a));
            let of_majority = numbers[numbers.len() / 2];
            Milestone::advance(&mut self.majority, line, of_majority, now_ms);
            Milestone::advance(&mut self.newest, line, numbers[0], now_ms);
        }
    }

    /// Marks a line's newest version as faulty if most nodes have not adopted it within the time
    /// after which a node would be excluded.
    fn detect_faulty_versions(&mut self, now_ms: u64) -> Vec<AuditorEvent> {
        let max_adoption_ms = self.timing.lag_ms + self.timing.grace_ms;
        let mut events = Vec::new();
        for (line, newest) in &self.newest {
            let of_majority = self
                .majority
                .get(line)
                .map_or(0, |majority| majority.number);
            if of_majority < newest.number
                && now_ms >= newest.since_ms + max_adoption_ms
                && !self.decisions.is_faulty(*line, newest.number)
            {
                self.decisions.faulty.insert(*line, newest.number);
                events.push(AuditorEvent::VersionFaulty {
                    line: *line,
                    number: newest.number,
                    reason: format!("most nodes are still at version {of_majority}"),
                });
            }
        }
        events
    }

    /// Updates the state of each node. Returns the nodes whose grace period is over, by line.
    fn update_states(
        &mut self,
        now_ms: u64,
        events: &mut Vec<AuditorEvent>,
    ) -> BTreeMap<VersionLine, Vec<String>> {
        let mut overdue: BTreeMap<VersionLine, Vec<String>> = BTreeMap::new();
        for ((name, kind), node) in &mut self.nodes {
            let line = node.line(*kind);
            let Some(majority) = self.majority.get(&line) else {
                continue;
            };
            let (state, reason) = match next_step(
                &self.timing,
                &self.decisions,
                majority,
                name,
                line,
                node,
                now_ms,
            ) {
                Step::Stay => continue,
                Step::Exclude => {
                    overdue.entry(line).or_default().push(name.clone());
                    continue;
                }
                Step::Change(state, reason) => (state, reason),
            };
            if state == NodeState::Current
                && let Some(lines) = self.decisions.excluded.get_mut(name)
            {
                // Also removes lines of generations that the node no longer uses.
                lines.retain(|line| line.kind != *kind);
            }
            node.state = state;
            node.since_ms = now_ms;
            events.push(AuditorEvent::StateChanged {
                node: name.clone(),
                line,
                state,
                reason,
            });
        }
        overdue
    }

    /// Excludes nodes that were behind for the whole grace period. If this would leave no majority
    /// of the members, the version counts as faulty instead.
    fn exclude(
        &mut self,
        now_ms: u64,
        line: VersionLine,
        nodes: Vec<String>,
        events: &mut Vec<AuditorEvent>,
    ) {
        let number = self
            .majority
            .get(&line)
            .map_or(0, |majority| majority.number);
        if self.decisions.is_faulty(line, number) {
            return;
        }
        let member_count = self.members.len();
        let remaining_count = member_count - self.excluded_members_with(&nodes);
        if remaining_count * 2 <= member_count {
            self.decisions.faulty.insert(line, number);
            events.push(AuditorEvent::VersionFaulty {
                line,
                number,
                reason: format!(
                    "excluding {} would leave {remaining_count} of {member_count} members",
                    nodes.join(", "),
                ),
            });
            return;
        }
        let floor = self.decisions.floors.entry(line).or_default();
        *floor = number.max(*floor);
        for node in nodes {
            self.exclude_node(now_ms, line, number, node, events);
        }
    }

    /// Returns the number of members that would be excluded together with these nodes. Excluded
    /// nodes that are not members don't serve, and don't count.
    fn excluded_members_with(&self, nodes: &[String]) -> usize {
        let mut excluded: BTreeSet<&String> = self
            .decisions
            .excluded
            .keys()
            .filter(|node| self.members.contains(*node))
            .collect();
        excluded.extend(nodes);
        excluded.len()
    }

    fn exclude_node(
        &mut self,
        now_ms: u64,
        line: VersionLine,
        floor: u64,
        node: String,
        events: &mut Vec<AuditorEvent>,
    ) {
        let decisions = &mut self.decisions;
        decisions
            .excluded
            .entry(node.clone())
            .or_default()
            .insert(line);
        *decisions.exclusion_counts.entry(node.clone()).or_default() += 1;
        if let Some(known) = self.nodes.get_mut(&(node.clone(), line.kind)) {
            known.state = NodeState::Excluded;
            known.since_ms = now_ms;
        }
        events.push(AuditorEvent::StateChanged {
            node,
            line,
            state: NodeState::Excluded,
            reason: format!("its version is below the floor {floor}"),
        });
    }
}

/// Returns what happens next to the node `name`.
fn next_step(
    timing: &AuditorTiming,
    decisions: &VersionDecisions,
    majority: &Milestone,
    name: &str,
    line: VersionLine,
    node: &NodeVersion,
    now_ms: u64,
) -> Step {
    let number = node.version.number;
    let is_behind = number < majority.number && now_ms >= majority.since_ms + timing.lag_ms;
    let has_caught_up = number >= majority.number.max(decisions.floor(line));
    match node.state {
        NodeState::Current if is_behind => {
            let reason = format!(
                "version {number} is older than version {} of the majority",
                majority.number
            );
            Step::Change(NodeState::Behind, reason)
        }
        NodeState::Behind if has_caught_up => Step::Change(
            NodeState::Current,
            format!("caught up with version {number}"),
        ),
        NodeState::Behind if now_ms >= node.since_ms + timing.grace_ms => Step::Exclude,
        NodeState::Excluded if has_caught_up => Step::Change(
            NodeState::CatchingUp,
            format!("caught up with version {number}"),
        ),
        // A node that falls behind again before it is readmitted has to wait from the beginning.
        NodeState::CatchingUp if !has_caught_up => Step::Change(
            NodeState::Excluded,
            format!("behind again with version {number}"),
        ),
        NodeState::CatchingUp
            if now_ms >= node.since_ms + readmission_ms(timing, decisions, name) =>
        {
            Step::Change(NodeState::Current, "readmitted".to_owned())
        }
        _ => Step::Stay,
    }
}

/// Returns how long a node has to stay caught up before it is readmitted. The time doubles with
/// each exclusion after the first.
fn readmission_ms(timing: &AuditorTiming, decisions: &VersionDecisions, name: &str) -> u64 {
    let exclusion_count = decisions.exclusion_counts.get(name).copied().unwrap_or(0);
    let doublings = exclusion_count
        .saturating_sub(1)
        .min(MAX_READMISSION_DOUBLINGS);
    timing.readmission_ms << doublings
}

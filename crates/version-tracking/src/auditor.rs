//! Who is behind, who is shut out, and who is let back: the decisions of whoever owns the duty `audit`.

use crate::version::{Kind, VersionRecord};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Whose numbers: a kind, and a generation of it.
pub type VersionLine = (Kind, u64);

/// What an auditor goes by, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A version that a majority has held for so long counts: who does not hold it then is behind.
    pub lag_ms: u64,
    /// Who is behind for so long is shut out.
    pub grace_ms: u64,
    /// Who has caught up is let back after this; twice as long for each time before.
    pub back_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lag_ms: 2000,
            grace_ms: 3000,
            back_ms: 1000,
        }
    }
}

/// How it is with a node in a kind.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It holds what a majority holds, or newer.
    Current,
    /// It does not, and is told by the others.
    Behind,
    /// It is shut out.
    #[serde(rename = "out")]
    Excluded,
    /// It has caught up, and is waited for a while.
    CatchingUp,
}

/// What has been ruled: the value of the duty, which only the holder of its newest token can change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct VersionDecisions {
    /// Acts under less are refused by whoever carries them out. A floor only grows.
    pub floors: BTreeMap<VersionLine, u64>,
    /// Who is shut out, in which line.
    pub out: BTreeMap<String, BTreeSet<VersionLine>>,
    /// How often a node was shut out.
    pub times: BTreeMap<String, u32>,
    /// Versions that are held to be at fault, each with its number: nobody is shut out for them until an operator says so.
    pub held: BTreeMap<VersionLine, u64>,
}

/// What is new.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuditorEvent {
    /// How it is with a node has changed, for this reason.
    Changed(String, VersionLine, State, String),
    /// The brake: to shut out those who are behind this version would leave no majority, or most can't adopt it. It is the
    /// version that is at fault.
    Held(VersionLine, u64, String),
    /// The ruling has changed: it is to be saved under the owner's token before anybody is told.
    Ruled,
}

#[derive(Clone, Debug)]
struct NodeVersion {
    stand: VersionRecord,
    state: State,
    since: u64,
}

/// Decisions on versions, from what nodes say that they hold.
#[derive(Debug)]
pub struct Auditor {
    limits: Limits,
    members: BTreeSet<String>,
    seen: BTreeMap<(String, Kind), NodeVersion>,
    /// What a majority of a line holds, since when; and what the newest is that anybody holds, since when.
    majority: BTreeMap<VersionLine, (u64, u64)>,
    newest: BTreeMap<VersionLine, (u64, u64)>,
    ruling: VersionDecisions,
}

impl Auditor {
    /// One who goes on from what was ruled before; what nodes hold it has to hear anew, and it waits for each as for a new one.
    pub fn new(limits: Limits, ruling: VersionDecisions) -> Self {
        let (members, seen, majority, newest) = Default::default();
        Self {
            limits,
            members,
            seen,
            majority,
            newest,
            ruling,
        }
    }

    /// What has been ruled.
    pub fn ruling(&self) -> &VersionDecisions {
        &self.ruling
    }

    /// How it is with a node in a kind.
    pub fn state(&self, node: &str, kind: Kind) -> Option<State> {
        self.seen
            .get(&(node.to_owned(), kind))
            .map(|seen| seen.state)
    }

    /// Who is there: of those who are not, nothing is said.
    pub fn members(&mut self, members: BTreeSet<String>) {
        self.seen.retain(|(node, _), _| members.contains(node));
        self.members = members;
    }

    /// A node holds this now.
    pub fn heard(&mut self, now: u64, node: &str, kind: Kind, stand: VersionRecord) {
        if !self.members.contains(node) {
            return;
        }
        let out = self
            .ruling
            .out
            .get(node)
            .is_some_and(|lines| lines.iter().any(|(of, _)| *of == kind));
        let state = if out { State::Excluded } else { State::Current };
        let seen = self
            .seen
            .entry((node.to_owned(), kind))
            .or_insert(NodeVersion {
                stand,
                state,
                since: now,
            });
        seen.stand = stand;
    }

    /// An operator says that a version which was held is not at fault.
    pub fn release(&mut self, line: VersionLine) -> bool {
        self.ruling.held.remove(&line).is_some()
    }

    /// What a majority of those in a line holds, and the newest that any holds.
    fn held(&mut self, now: u64) {
        let mut lines: BTreeMap<VersionLine, Vec<u64>> = BTreeMap::new();
        for ((_, kind), seen) in &self.seen {
            lines
                .entry((*kind, seen.stand.generation))
                .or_default()
                .push(seen.stand.number);
        }
        for (line, mut numbers) in lines {
            numbers.sort_unstable_by(|a, b| b.cmp(a));
            let most = numbers.len() / 2;
            for (of, number) in [
                (&mut self.majority, numbers[most]),
                (&mut self.newest, numbers[0]),
            ] {
                let known = of.entry(line).or_insert((number, now));
                if number > known.0 {
                    *known = (number, now);
                }
            }
        }
    }

    /// Decides. To be called some times a second.
    pub fn turn(&mut self, now: u64) -> Vec<AuditorEvent> {
        self.held(now);
        let before = self.ruling.clone();
        let mut verdicts = self.faulty(now);
        let mut due: BTreeMap<VersionLine, Vec<String>> = BTreeMap::new();
        for ((node, kind), seen) in &mut self.seen {
            let line = (*kind, seen.stand.generation);
            let Some((number, since)) = self.majority.get(&line).copied() else {
                continue;
            };
            let behind = seen.stand.number < number && now >= since + self.limits.lag_ms;
            let caught_up = seen.stand.number
                >= number.max(self.ruling.floors.get(&line).copied().unwrap_or(0));
            let times = self
                .ruling
                .times
                .get(node)
                .copied()
                .unwrap_or(0)
                .saturating_sub(1)
                .min(10);
            let (next, why) = match seen.state {
                State::Current if behind => (
                    State::Behind,
                    format!("it holds {}, most hold {number}", seen.stand.number),
                ),
                State::Behind if caught_up => {
                    (State::Current, format!("it holds {}", seen.stand.number))
                }
                State::Behind if now >= seen.since + self.limits.grace_ms => {
                    due.entry(line).or_default().push(node.clone());
                    continue;
                }
                State::Excluded if caught_up => {
                    (State::CatchingUp, format!("it holds {}", seen.stand.number))
                }
                // One that falters again while it is waited for begins anew.
                State::CatchingUp if !caught_up => (
                    State::Excluded,
                    format!("it holds {} again", seen.stand.number),
                ),
                State::CatchingUp if now >= seen.since + (self.limits.back_ms << times) => {
                    (State::Current, "let back".to_owned())
                }
                _ => continue,
            };
            if next == State::Current
                && let Some(lines) = self.ruling.out.get_mut(node)
            {
                // Also of generations that it has left.
                lines.retain(|(of, _)| of != kind);
            }
            (seen.state, seen.since) = (next, now);
            verdicts.push(AuditorEvent::Changed(node.clone(), line, next, why));
        }
        for (line, nodes) in due {
            self.shut_out(now, line, nodes, &mut verdicts);
        }
        self.ruling.out.retain(|_, lines| !lines.is_empty());
        if self.ruling != before {
            verdicts.push(AuditorEvent::Ruled);
        }
        verdicts
    }

    /// A version that few hold and most could not adopt for long is at fault.
    fn faulty(&mut self, now: u64) -> Vec<AuditorEvent> {
        let late = self.limits.lag_ms + self.limits.grace_ms;
        let mut verdicts = Vec::new();
        for (line, (number, since)) in &self.newest {
            let most = self.majority.get(line).map_or(0, |(number, _)| *number);
            let held = self
                .ruling
                .held
                .get(line)
                .is_some_and(|held| held >= number);
            if most < *number && now >= since + late && !held {
                self.ruling.held.insert(*line, *number);
                verdicts.push(AuditorEvent::Held(
                    *line,
                    *number,
                    format!("most still hold {most}"),
                ));
            }
        }
        verdicts
    }

    /// Shuts out those who were behind for too long, unless that would leave no majority of members.
    fn shut_out(
        &mut self,
        now: u64,
        line: VersionLine,
        nodes: Vec<String>,
        verdicts: &mut Vec<AuditorEvent>,
    ) {
        let number = self.majority.get(&line).map_or(0, |(number, _)| *number);
        if self
            .ruling
            .held
            .get(&line)
            .is_some_and(|held| *held >= number)
        {
            return;
        }
        let mut out: BTreeSet<&String> = self
            .ruling
            .out
            .keys()
            .filter(|node| self.members.contains(*node))
            .collect();
        out.extend(&nodes);
        // Who is no member can't be shut out, and does not serve either.
        let left = self.members.len() - out.len();
        if left * 2 <= self.members.len() {
            self.ruling.held.insert(line, number);
            let why = format!(
                "to shut out {} would leave {left} of {}",
                nodes.join(", "),
                self.members.len()
            );
            return verdicts.push(AuditorEvent::Held(line, number, why));
        }
        let floor = self.ruling.floors.entry(line).or_default();
        *floor = number.max(*floor);
        for node in nodes {
            self.ruling
                .out
                .entry(node.clone())
                .or_default()
                .insert(line);
            *self.ruling.times.entry(node.clone()).or_default() += 1;
            if let Some(seen) = self.seen.get_mut(&(node.clone(), line.0)) {
                (seen.state, seen.since) = (State::Excluded, now);
            }
            verdicts.push(AuditorEvent::Changed(
                node,
                line,
                State::Excluded,
                format!("it is below the floor {number}"),
            ));
        }
    }
}

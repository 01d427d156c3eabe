//! Schedules: sequences of steps against a cluster. They are generated from a seed, printed with
//! one step per line, and can be run again from that text.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// The shares of lost datagrams, in percent, from which a random step chooses.
const LOSS_PERCENT: [u8; 3] = [0, 5, 30];
/// The shortest rest after a random step, and the unit of longer ones, in milliseconds.
const REST_UNIT_MS: u64 = 50;
/// Exclusive upper bound of the number of units that are added to the shortest rest.
const MAX_REST_UNITS: usize = 40;

/// A step. Nodes and workers are given by their indexes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Kill the process of this node.
    Kill(usize),
    /// Start the process of this node again.
    Start(usize),
    /// Pause the process of this node.
    Pause(usize),
    /// Resume the process of this node.
    Wake(usize),
    /// Partition one direction between two nodes.
    Cut {
        /// The sending node.
        from: usize,
        /// The receiving node.
        to: usize,
    },
    /// Partition this node from all others.
    Isolate(usize),
    /// End the faults of all links.
    Heal,
    /// Lose datagrams on all links.
    Loss {
        /// The share of lost datagrams, in percent.
        percent: u8,
    },
    /// Suspend a worker.
    Suspend {
        /// The node whose management API is called.
        node: usize,
        /// The worker.
        worker: usize,
    },
    /// Resume a suspended worker.
    Resume {
        /// The node whose management API is called.
        node: usize,
        /// The worker.
        worker: usize,
    },
    /// Wait for this many milliseconds.
    Rest(u64),
}

/// A sequence of steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The steps, in order.
    pub steps: Vec<Step>,
}

/// Generates random steps that are valid in sequence: only running nodes are killed or paused, only
/// paused nodes are resumed, and at least one node is running at any time.
struct Generator {
    rng: Pcg64Mcg,
    node_count: usize,
    worker_count: usize,
    killed: BTreeSet<usize>,
    paused: BTreeSet<usize>,
}

impl Generator {
    fn random_below(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound.max(1) as u64) as usize
    }

    /// Returns a random step; `None` if the chosen step is not valid now.
    fn next_step(&mut self) -> Option<Step> {
        let node = self.random_below(self.node_count);
        let down_count = self.killed.len() + self.paused.len();
        let is_last_running = down_count + 1 >= self.node_count;
        let is_running = !self.killed.contains(&node) && !self.paused.contains(&node);
        match self.random_below(12) {
            0 | 1 if is_running && !is_last_running => {
                self.killed.insert(node);
                Some(Step::Kill(node))
            }
            2 | 3 if self.killed.remove(&node) => Some(Step::Start(node)),
            4 if is_running && !is_last_running => {
                self.paused.insert(node);
                Some(Step::Pause(node))
            }
            5 if self.paused.remove(&node) => Some(Step::Wake(node)),
            6 => {
                let to = self.random_below(self.node_count);
                (to != node).then_some(Step::Cut { from: node, to })
            }
            7 => Some(Step::Isolate(node)),
            8 => Some(Step::Heal),
            9 => Some(Step::Loss {
                percent: LOSS_PERCENT[self.random_below(LOSS_PERCENT.len())],
            }),
            10 if is_running => Some(Step::Suspend {
                node,
                worker: self.random_below(self.worker_count),
            }),
            11 if is_running => Some(Step::Resume {
                node,
                worker: self.random_below(self.worker_count),
            }),
            _ => None,
        }
    }

    fn next_rest(&mut self) -> Step {
        let units = self.random_below(MAX_REST_UNITS) as u64;
        Step::Rest(REST_UNIT_MS + REST_UNIT_MS * units)
    }
}

impl Schedule {
    /// Returns this many random steps for a cluster of this size, with a rest after each.
    pub fn from_seed(seed: u64, node_count: usize, worker_count: usize, step_count: usize) -> Self {
        let mut generator = Generator {
            rng: Pcg64Mcg::seed_from_u64(seed),
            node_count,
            worker_count,
            killed: BTreeSet::new(),
            paused: BTreeSet::new(),
        };
        let mut steps = Vec::new();
        while steps.len() < 2 * step_count {
            if let Some(step) = generator.next_step() {
                steps.push(step);
                steps.push(generator.next_rest());
            }
        }
        Self { steps }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(node) => write!(f, "kill {node}"),
            Self::Start(node) => write!(f, "start {node}"),
            Self::Pause(node) => write!(f, "pause {node}"),
            Self::Wake(node) => write!(f, "wake {node}"),
            Self::Cut { from, to } => write!(f, "cut {from} {to}"),
            Self::Isolate(node) => write!(f, "isolate {node}"),
            Self::Heal => write!(f, "heal"),
            Self::Loss { percent } => write!(f, "loss {percent}"),
            Self::Suspend { node, worker } => write!(f, "suspend {node} {worker}"),
            Self::Resume { node, worker } => write!(f, "resume {node} {worker}"),
            Self::Rest(ms) => write!(f, "rest {ms}"),
        }
    }
}

impl FromStr for Step {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let error = || format!("'{line}' is not a step");
        let mut words = line.split_whitespace();
        let name = words.next().ok_or_else(error)?;
        let numbers = words
            .map(str::parse)
            .collect::<Result<Vec<usize>, _>>()
            .map_err(|_| error())?;
        match (name, numbers[..].as_ref()) {
            ("kill", &[node]) => Ok(Self::Kill(node)),
            ("start", &[node]) => Ok(Self::Start(node)),
            ("pause", &[node]) => Ok(Self::Pause(node)),
            ("wake", &[node]) => Ok(Self::Wake(node)),
            ("cut", &[from, to]) => Ok(Self::Cut { from, to }),
            ("isolate", &[node]) => Ok(Self::Isolate(node)),
            ("heal", []) => Ok(Self::Heal),
            ("loss", &[percent @ 0..=100]) => Ok(Self::Loss {
                percent: percent as u8,
            }),
            ("suspend", &[node, worker]) => Ok(Self::Suspend { node, worker }),
            ("resume", &[node, worker]) => Ok(Self::Resume { node, worker }),
            ("rest", &[ms]) => Ok(Self::Rest(ms as u64)),
            _ => Err(error()),
        }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.steps.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

impl FromStr for Schedule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let steps = lines.map(str::parse).collect::<Result<_, _>>()?;
        Ok(Self { steps })
    }
}

//! What is done to a fleet, step by step: drawn from a seed, written down a line a step, and played again from that.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// One step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A node's process is killed.
    Kill(usize),
    /// It is started again.
    Start(usize),
    /// A node's process is stopped.
    Pause(usize),
    /// It goes on.
    Wake(usize),
    /// What the first sends does not reach the second.
    Cut(usize, usize),
    /// All links from and to a node are cut.
    Isolate(usize),
    /// All links are whole again.
    Heal,
    /// So many in a hundred datagrams are lost, everywhere.
    Loss(u8),
    /// An operator takes a worker out of use, at a node.
    Suspend(usize, usize),
    /// The same, back into use.
    Resume(usize, usize),
    /// Nothing, for so many milliseconds.
    Rest(u64),
}

/// Steps in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule(pub Vec<Step>);

impl Schedule {
    /// So many steps for so many nodes and workers. A step fits what was done before: only who lives is stopped, only who is
    /// stopped is woken, and one node at least goes on.
    pub fn from_seed(seed: u64, nodes: usize, workers: usize, steps: usize) -> Self {
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = move |below: usize| (draws.next_u64() % below.max(1) as u64) as usize;
        let (mut dead, mut paused, mut all) = (BTreeSet::new(), BTreeSet::new(), Vec::new());
        while all.len() < 2 * steps {
            let n = draw(nodes);
            let busy = dead.len() + paused.len() + 1 >= nodes;
            let up = !dead.contains(&n) && !paused.contains(&n);
            let step = match draw(12) {
                0 | 1 if up && !busy => {
                    dead.insert(n);
                    Step::Kill(n)
                }
                2 | 3 if dead.remove(&n) => Step::Start(n),
                4 if up && !busy => {
                    paused.insert(n);
                    Step::Pause(n)
                }
                5 if paused.remove(&n) => Step::Wake(n),
                6 => match draw(nodes) {
                    other if other != n => Step::Cut(n, other),
                    _ => continue,
                },
                7 => Step::Isolate(n),
                8 => Step::Heal,
                9 => Step::Loss([0, 5, 30][draw(3)]),
                10 if up => Step::Suspend(n, draw(workers)),
                11 if up => Step::Resume(n, draw(workers)),
                _ => continue,
            };
            all.extend([step, Step::Rest(50 + 50 * draw(40) as u64)]);
        }
        Self(all)
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kill(n) => write!(f, "kill {n}"),
            Self::Start(n) => write!(f, "start {n}"),
            Self::Pause(n) => write!(f, "pause {n}"),
            Self::Wake(n) => write!(f, "wake {n}"),
            Self::Cut(a, b) => write!(f, "cut {a} {b}"),
            Self::Isolate(n) => write!(f, "isolate {n}"),
            Self::Heal => write!(f, "heal"),
            Self::Loss(share) => write!(f, "loss {share}"),
            Self::Suspend(n, worker) => write!(f, "suspend {n} {worker}"),
            Self::Resume(n, worker) => write!(f, "resume {n} {worker}"),
            Self::Rest(ms) => write!(f, "rest {ms}"),
        }
    }
}

impl FromStr for Step {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let wrong = || format!("'{line}' is no step");
        let mut words = line.split_whitespace();
        let word = words.next().ok_or_else(wrong)?;
        let numbers: Result<Vec<usize>, _> = words.map(str::parse).collect();
        match (word, &numbers.map_err(|_| wrong())?[..]) {
            ("kill", [n]) => Ok(Self::Kill(*n)),
            ("start", [n]) => Ok(Self::Start(*n)),
            ("pause", [n]) => Ok(Self::Pause(*n)),
            ("wake", [n]) => Ok(Self::Wake(*n)),
            ("cut", [a, b]) => Ok(Self::Cut(*a, *b)),
            ("isolate", [n]) => Ok(Self::Isolate(*n)),
            ("heal", []) => Ok(Self::Heal),
            ("loss", [share @ 0..=100]) => Ok(Self::Loss(*share as u8)),
            ("suspend", [n, worker]) => Ok(Self::Suspend(*n, *worker)),
            ("resume", [n, worker]) => Ok(Self::Resume(*n, *worker)),
            ("rest", [ms]) => Ok(Self::Rest(*ms as u64)),
            _ => Err(wrong()),
        }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

impl FromStr for Schedule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.lines()
            .filter(|line| !line.trim().is_empty())
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a schedule that is another when it is played again, and steps that can't be taken.
    #[test]
    fn a_schedule_is_the_same_from_its_seed_and_from_its_text() {
        for seed in 0..200 {
            let schedule = Schedule::from_seed(seed, 5, 3, 20);
            assert_eq!(schedule, Schedule::from_seed(seed, 5, 3, 20));
            assert_eq!(schedule.to_string().parse(), Ok(schedule.clone()));
            let (mut dead, mut paused) = (BTreeSet::new(), BTreeSet::new());
            for step in &schedule.0 {
                let fits = match step {
                    Step::Kill(n) => !paused.contains(n) && dead.insert(*n),
                    Step::Start(n) => dead.remove(n),
                    Step::Pause(n) => !dead.contains(n) && paused.insert(*n),
                    Step::Wake(n) => paused.remove(n),
                    Step::Suspend(n, _) | Step::Resume(n, _) => {
                        !dead.contains(n) && !paused.contains(n)
                    }
                    _ => true,
                };
                assert!(fits && dead.len() + paused.len() < 5, "seed {seed}: {step}");
            }
        }
        for line in ["kill", "kill x", "cut 1", "loss 101", "rest -1", "sleep 3"] {
            assert!(line.parse::<Step>().is_err(), "{line}");
        }
    }
}

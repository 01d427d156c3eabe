//! Workers out of use, for the whole fleet. Merging is commutative, associative and idempotent, so that all agree who have
//! heard the same, in whatever order; a resume undoes the suspends that it had heard of, and no other.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The suspends that one life of a node has given for one worker: how many, and how many of them are undone.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Suspension {
    /// The life that gave them.
    pub life: u64,
    /// Suspends given.
    pub given: u32,
    /// Of these, undone.
    pub undone: u32,
}

/// What is known of workers out of use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SuspendedWorkers {
    /// By worker and life: given and undone.
    marks: BTreeMap<String, BTreeMap<u64, (u32, u32)>>,
}

/// The longest name of a worker that is taken in, in bytes.
pub const MAX_WORKER_NAME_BYTES: usize = 256;
/// So many workers are remembered at most; a suspend beyond is refused, not forgotten.
pub const MOST: usize = 4096;
/// So many lives are remembered for one worker; what is beyond comes from no sound node.
const MOST_LIVES: usize = 1024;

impl SuspendedWorkers {
    /// Whether a worker is out of use.
    pub fn holds(&self, worker: &str) -> bool {
        self.marks
            .get(worker)
            .is_some_and(|lives| lives.values().any(|(given, undone)| given > undone))
    }

    /// Whether anything was ever said of a worker.
    pub fn knows(&self, worker: &str) -> bool {
        self.marks.contains_key(worker)
    }

    /// All that are out of use.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.marks
            .keys()
            .map(String::as_str)
            .filter(|worker| self.holds(worker))
    }

    /// Takes a worker out of use on the word of this life; gives what is to be told, or `None` if there is no room.
    pub fn suspend(&mut self, life: u64, worker: &str) -> Option<Suspension> {
        if !self.room(worker, life) {
            return None;
        }
        let (given, undone) = self
            .marks
            .entry(worker.to_owned())
            .or_default()
            .entry(life)
            .or_default();
        if given <= undone {
            *given = undone.saturating_add(1);
        }
        Some(Suspension {
            life,
            given: *given,
            undone: *undone,
        })
    }

    /// Undoes all suspends of a worker that are known here; gives what is to be told.
    pub fn resume(&mut self, worker: &str) -> Vec<Suspension> {
        let Some(lives) = self.marks.get_mut(worker) else {
            return Vec::new();
        };
        let undone = lives
            .iter_mut()
            .filter(|(_, (given, undone))| given > undone);
        undone
            .map(|(life, (given, undone))| {
                *undone = *given;
                Suspension {
                    life: *life,
                    given: *given,
                    undone: *undone,
                }
            })
            .collect()
    }

    /// Takes in what another knows; whether the worker's use has changed by it.
    pub fn merge(&mut self, worker: &str, mark: Suspension) -> bool {
        if worker.is_empty()
            || worker.len() > MAX_WORKER_NAME_BYTES
            || mark.undone > mark.given
            || !self.room(worker, mark.life)
        {
            return false;
        }
        let before = self.holds(worker);
        let known = self
            .marks
            .entry(worker.to_owned())
            .or_default()
            .entry(mark.life)
            .or_default();
        *known = (known.0.max(mark.given), known.1.max(mark.undone));
        self.holds(worker) != before
    }

    /// All that is known, worker by worker.
    pub fn marks(&self) -> impl Iterator<Item = (&str, Suspension)> {
        self.marks.iter().flat_map(|(worker, lives)| {
            let mark = |(life, (given, undone)): (&u64, &(u32, u32))| Suspension {
                life: *life,
                given: *given,
                undone: *undone,
            };
            lives
                .iter()
                .map(move |entry| (worker.as_str(), mark(entry)))
        })
    }

    /// The same for the same knowledge, at every node.
    pub fn digest(&self) -> u64 {
        let mut sum = Fnv::default();
        for (worker, mark) in self.marks() {
            sum.add(worker.as_bytes());
            sum.add(&[0]);
            sum.add(&mark.life.to_le_bytes());
            sum.add(&mark.given.to_le_bytes());
            sum.add(&mark.undone.to_le_bytes());
        }
        sum.0
    }

    fn room(&self, worker: &str, life: u64) -> bool {
        match self.marks.get(worker) {
            Some(lives) => lives.len() < MOST_LIVES || lives.contains_key(&life),
            None => self.marks.len() < MOST,
        }
    }
}

/// FNV-1a in 64 bits: the same at every node, whatever it was built with.
pub(crate) struct Fnv(pub(crate) u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Fnv {
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        bytes
            .iter()
            .for_each(|byte| self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3));
    }

    pub(crate) fn of(name: &str) -> u64 {
        let mut sum = Self::default();
        sum.add(name.as_bytes());
        // The low bits of short names lie close together.
        sum.0 ^ sum.0.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}

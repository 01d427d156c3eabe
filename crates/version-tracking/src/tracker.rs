//! A node's own versions, and what it hears of others'.

use crate::audit_log::{AuditLog, Source};
use crate::version::{Kind, VersionRecord};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Kinds that a word may tell of, at most.
pub const MOST_HEADS: usize = 16;
/// What is wanted and does not come is asked for again after this, in milliseconds.
const AGAIN: u64 = 500;
/// Records of the trail in memory.
const MOST_RECORDS: usize = 1024;

/// What a desk goes by.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How often another node is told what this one holds, in milliseconds.
    pub beat_ms: u64,
}

/// What one node says to another; small.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// What the sender holds.
    Heads(Vec<(Kind, VersionRecord)>),
    /// It wants what this is a version of, where it is newer than this number of this generation.
    Want(Kind, u64, u64),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Say this to that node; it may get lost.
    Say(String, Message),
    /// Have that node get what this node holds of a kind, in full.
    Give(String, Kind),
    /// Something is new.
    Event(Event),
}

/// What is new.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This node is behind in a kind: that node has this version.
    Behind(Kind, String, VersionRecord),
    /// It is no more.
    BroughtUp(Kind, Source, VersionRecord),
    /// One number means two things: here, and at that node.
    Fork(Kind, String, VersionRecord, VersionRecord),
}

/// What is known of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// When it was heard last.
    pub at: u64,
    /// What it held then.
    pub heads: BTreeMap<Kind, VersionRecord>,
}

/// A node's own.
#[derive(Debug)]
pub struct VersionTracker {
    set: Settings,
    draws: Pcg64Mcg,
    heads: BTreeMap<Kind, VersionRecord>,
    trail: AuditLog,
    /// Others that may be asked.
    peers: BTreeSet<String>,
    known: BTreeMap<String, Known>,
    /// Kinds in which this node is behind: since when, by whose word, what they have, and when it was asked for last.
    behind: BTreeMap<Kind, (u64, String, VersionRecord, u64)>,
    /// Forks that were told: of each kind the number.
    forks: BTreeMap<(Kind, String), u64>,
    beat: u64,
}

impl VersionTracker {
    /// One that holds nothing yet.
    pub fn new(set: Settings, now: u64, seed: u64) -> Self {
        Self {
            set,
            draws: Pcg64Mcg::seed_from_u64(seed),
            heads: BTreeMap::new(),
            trail: AuditLog::new(now, MOST_RECORDS),
            peers: BTreeSet::new(),
            known: BTreeMap::new(),
            behind: BTreeMap::new(),
            forks: BTreeMap::new(),
            beat: now,
        }
    }

    /// What it holds.
    pub fn heads(&self) -> &BTreeMap<Kind, VersionRecord> {
        &self.heads
    }

    /// Its trail.
    pub fn trail(&self) -> &AuditLog {
        &self.trail
    }

    /// What is known of others, and in what this node is behind: since when, and what others have.
    pub fn known(
        &self,
    ) -> (
        &BTreeMap<String, Known>,
        impl Iterator<Item = (Kind, u64, VersionRecord)>,
    ) {
        (
            &self.known,
            self.behind
                .iter()
                .map(|(kind, (since, _, stand, _))| (*kind, *since, *stand)),
        )
    }

    /// Who is there.
    pub fn peers(&mut self, peers: BTreeSet<String>) {
        self.known.retain(|name, _| peers.contains(name));
        self.forks.retain(|(_, name), _| peers.contains(name));
        self.peers = peers;
    }

    /// Acts under the latest view.
    pub fn act(&mut self, acts: u64) {
        self.trail.act(acts);
    }

    /// When it is to be called next.
    pub fn next(&self) -> u64 {
        self.beat
    }

    /// The node acts on this version from now on. **Nothing older ever goes before newer of one generation**: `false`, and nothing
    /// changes, if this is that.
    pub fn adopt(
        &mut self,
        now: u64,
        kind: Kind,
        stand: VersionRecord,
        source: Source,
        out: &mut Vec<Output>,
    ) -> bool {
        let held = self.heads.get(&kind);
        if held
            .is_some_and(|held| held.generation == stand.generation && held.number > stand.number)
        {
            return false;
        }
        if held == Some(&stand) {
            return true;
        }
        self.heads.insert(kind, stand);
        self.trail.adopted(now, kind, stand, source.clone());
        let over = |(_, _, wanted, _): &mut (u64, String, VersionRecord, u64)| {
            wanted.generation != stand.generation || wanted.number <= stand.number
        };
        if let Some(behind) = self.behind.get_mut(&kind)
            && over(behind)
        {
            self.behind.remove(&kind);
            out.push(Output::Event(Event::BroughtUp(kind, source, stand)));
        }
        // News go on at once: who is behind hears of them before the next beat.
        (0..2).for_each(|_| self.tell_one(out));
        true
    }

    fn tell_one(&mut self, out: &mut Vec<Output>) {
        let count = self.peers.len();
        if count > 0 && !self.heads.is_empty() {
            let at = self.draws.next_u64() as usize % count;
            let to = self.peers.iter().nth(at).cloned();
            out.extend(to.map(|to| Output::Say(to, self.told())));
        }
    }

    fn told(&self) -> Message {
        Message::Heads(
            self.heads
                .iter()
                .map(|(kind, stand)| (*kind, *stand))
                .collect(),
        )
    }

    /// The time has come that [`VersionTracker::next`] told, or another.
    pub fn due(&mut self, now: u64, out: &mut Vec<Output>) {
        if now < self.beat {
            return;
        }
        // Not in step with others.
        self.beat =
            now + self.set.beat_ms * 3 / 4 + self.draws.next_u64() % (self.set.beat_ms / 2 + 1);
        self.tell_one(out);
        let again: Vec<(Kind, String)> = self
            .behind
            .iter()
            .filter(|(_, (_, _, _, asked))| asked + AGAIN <= now)
            .map(|(kind, (_, from, _, _))| (*kind, from.clone()))
            .collect();
        for (kind, from) in again {
            self.want(now, kind, from, out);
        }
    }

    fn want(&mut self, now: u64, kind: Kind, from: String, out: &mut Vec<Output>) {
        let Some((_, _, stand, asked)) = self.behind.get_mut(&kind) else {
            return;
        };
        *asked = now;
        let held = self
            .heads
            .get(&kind)
            .filter(|held| held.generation == stand.generation);
        let (generation, number) = (stand.generation, held.map_or(0, |held| held.number));
        out.push(Output::Say(from, Message::Want(kind, generation, number)));
    }

    /// A node says something.
    pub fn heard(&mut self, now: u64, from: &str, word: Message, out: &mut Vec<Output>) {
        match word {
            Message::Want(kind, generation, number) => {
                let held = self.heads.get(&kind);
                if held.is_some_and(|held| held.generation == generation && held.number > number) {
                    out.push(Output::Give(from.to_owned(), kind));
                }
            }
            Message::Heads(heads) if heads.len() <= MOST_HEADS => {
                let mut tell = false;
                for (kind, stand) in &heads {
                    tell |= self.compare(now, from, *kind, *stand, out);
                }
                self.known.insert(
                    from.to_owned(),
                    Known {
                        at: now,
                        heads: heads.into_iter().collect(),
                    },
                );
                if tell {
                    out.push(Output::Say(from.to_owned(), self.told()));
                }
            }
            Message::Heads(_) => {}
        }
    }

    /// Another's version beside this one's; whether that node is behind and is to be told so.
    fn compare(
        &mut self,
        now: u64,
        from: &str,
        kind: Kind,
        stand: VersionRecord,
        out: &mut Vec<Output>,
    ) -> bool {
        // Of a generation that this node does not hold nothing is taken.
        let Some(held) = self
            .heads
            .get(&kind)
            .copied()
            .filter(|held| held.generation == stand.generation)
        else {
            return false;
        };
        if stand.number == held.number && stand.digest != held.digest {
            let told = self.forks.insert((kind, from.to_owned()), stand.number);
            if told != Some(stand.number) {
                out.push(Output::Event(Event::Fork(
                    kind,
                    from.to_owned(),
                    held,
                    stand,
                )));
            }
        } else if stand.number > held.number {
            let known = self
                .behind
                .get(&kind)
                .map(|(_, _, wanted, asked)| (*wanted, *asked));
            if known
                .is_none_or(|(wanted, asked)| stand.number > wanted.number || asked + AGAIN <= now)
            {
                let since = self.behind.get(&kind).map_or(now, |behind| behind.0);
                if known.is_none() {
                    out.push(Output::Event(Event::Behind(kind, from.to_owned(), stand)));
                }
                self.behind
                    .insert(kind, (since, from.to_owned(), stand, now));
                self.want(now, kind, from.to_owned(), out);
            }
        }
        stand.number < held.number
    }
}

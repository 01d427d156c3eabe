//! The log as it is in memory, with each change noted as it is to be kept.

use crate::StateMachine;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of what is kept: a key, and its value or none any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StorageChange {
    /// The key; all begin with `a/`.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Option<Vec<u8>>,
}

/// What was kept can't be gone by.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the log of the voters: {0}")]
pub struct CorruptLog(pub String);

/// Where the log of founders begins: a place that is folded from the start, so that who is added later gets a state, never a
/// log from its first word without the voters that it began with.
pub const FOUNDED: u64 = 1;
const LOG: &[u8] = b"a/l/";
const HARD: &[u8] = b"a/hard";
/// What is folded, and where the log begins: in one value, so that one can't be kept without the other.
const FOLDED: &[u8] = b"a/folded";
/// So many words stay in the log when others are folded, for who is a little behind.
const TAIL: u64 = 64;

fn place(index: u64) -> Vec<u8> {
    [LOG, &index.to_be_bytes()].concat()
}

/// What all entries up to a place come to.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(bound = "")]
pub struct StateSnapshot<F: StateMachine> {
    pub state: F,
    /// How many words that is: the library's own entries are none.
    pub words: u64,
    /// Who votes: the number of each seat, and the node that has it.
    pub seats: BTreeMap<u64, String>,
    /// The highest number that a seat ever had: none is given twice.
    pub highest: u64,
}

/// How `StateSnapshot` is kept.
#[derive(Deserialize, Serialize)]
#[serde(bound = "")]
struct Kept<F: StateMachine> {
    index: u64,
    term: u64,
    compacted: (u64, u64),
    voters: Vec<u8>,
    folded: StateSnapshot<F>,
}

/// The term of a log that was kept, and where it ends; what can't be read counts as nothing.
pub fn stored<'a>(kept: impl IntoIterator<Item = (&'a Vec<u8>, &'a Vec<u8>)>) -> (u64, u64) {
    let (mut term, mut last) = (0, 0);
    for (key, value) in kept {
        if let Some(index) = key.strip_prefix(LOG) {
            last = last.max(index.try_into().map(u64::from_be_bytes).unwrap_or_default());
        } else if key == HARD {
            term = HardState::parse_from_bytes(value)
                .map(|hard| hard.term)
                .unwrap_or_default();
        } else if key == FOLDED {
            // The place stands first.
            last = last.max(
                postcard::take_from_bytes::<u64>(value)
                    .map(|(at, _)| at)
                    .unwrap_or_default(),
            );
        }
    }
    (term, last)
}

/// The log in memory.
#[derive(Debug)]
pub struct LogStorage<F: StateMachine> {
    log: Vec<Entry>,
    /// The last place that is no more in the log, and its term.
    compacted: (u64, u64),
    pub hard: HardState,
    pub voters: ConfState,
    /// What has been applied, up to this place.
    pub applied: u64,
    pub folded: StateSnapshot<F>,
    changes: Vec<StorageChange>,
}

fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    // Writing to memory fails at nothing but its end.
    message.write_to_bytes().unwrap_or_default()
}

fn read<M: protobuf::Message>(what: &str, value: &[u8]) -> std::result::Result<M, CorruptLog> {
    M::parse_from_bytes(value).map_err(|_| CorruptLog(format!("{what} can't be read")))
}

impl<F: StateMachine> LogStorage<F> {
    /// As it was kept. With nothing kept, the founders'; with no founders, that of one who waits to be told.
    pub fn restore(
        founders: &BTreeMap<u64, String>,
        kept: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> std::result::Result<Self, CorruptLog> {
        let mut memory = Self {
            log: Vec::new(),
            compacted: (0, 0),
            hard: HardState::default(),
            voters: ConfState::default(),
            applied: 0,
            folded: StateSnapshot::default(),
            changes: Vec::new(),
        };
        let (mut words, mut any) = (BTreeMap::new(), false);
        for (key, value) in kept {
            any = true;
            if let Some(index) = key.strip_prefix(LOG) {
                let index = index
                    .try_into()
                    .map_err(|_| CorruptLog("a place has no number".into()))?;
                words.insert(u64::from_be_bytes(index), read::<Entry>("a word", &value)?);
                continue;
            }
            match &key[..] {
                HARD => memory.hard = read("the promise", &value)?,
                FOLDED => {
                    let Ok((kept, [])) = postcard::take_from_bytes::<Kept<F>>(&value) else {
                        return Err(CorruptLog("what is folded can't be read".into()));
                    };
                    memory.voters = read("the voters", &kept.voters)?;
                    (memory.applied, memory.compacted, memory.folded) =
                        (kept.index, kept.compacted, kept.folded);
                    if kept.index < kept.compacted.0 || memory.voters.get_voters().is_empty() {
                        return Err(CorruptLog("what is folded contradicts itself".into()));
                    }
                }
                key => {
                    return Err(CorruptLog(format!(
                        "{} is nothing of it",
                        String::from_utf8_lossy(key)
                    )));
                }
            }
        }
        if !any && !founders.is_empty() {
            memory.found(founders);
        }
        for (index, entry) in words {
            let next = memory.last() + 1;
            if index != next || entry.index != index {
                return Err(CorruptLog(format!(
                    "place {next} is missing: {index} is the next that is there"
                )));
            }
            memory.log.push(entry);
        }
        if memory.applied > memory.last() || memory.hard.commit > memory.last() {
            return Err(CorruptLog("more is decided than is there".into()));
        }
        Ok(memory)
    }

    fn found(&mut self, founders: &BTreeMap<u64, String>) {
        (self.compacted, self.applied) = ((FOUNDED, FOUNDED), FOUNDED);
        self.voters.set_voters(founders.keys().copied().collect());
        self.hard.set_term(FOUNDED);
        self.hard.set_commit(FOUNDED);
        self.folded.seats = founders.clone();
        self.folded.highest = founders.keys().copied().max().unwrap_or_default();
        self.keep_folded();
        self.keep_hard(self.hard.clone());
    }

    fn put(&mut self, key: &[u8], value: Option<Vec<u8>>) {
        self.changes.push(StorageChange {
            key: key.to_vec(),
            value,
        });
    }

    /// What is to be written now.
    pub fn take(&mut self) -> Vec<StorageChange> {
        std::mem::take(&mut self.changes)
    }

    /// The last place.
    fn last(&self) -> u64 {
        self.compacted.0 + self.log.len() as u64
    }

    /// Words in memory.
    pub fn length(&self) -> usize {
        self.log.len()
    }

    pub fn keep_hard(&mut self, hard: HardState) {
        self.put(HARD, Some(bytes(&hard)));
        self.hard = hard;
    }

    fn keep_folded(&mut self) {
        let kept = Kept {
            index: self.applied,
            term: self.term(self.applied).unwrap_or_default(),
            compacted: self.compacted,
            voters: bytes(&self.voters),
            folded: self.folded.clone(),
        };
        self.put(FOLDED, Some(postcard::to_stdvec(&kept).unwrap_or_default()));
    }

    /// Takes in entries, which go before what is there from the first of them on.
    pub fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        let keep = first.saturating_sub(self.compacted.0 + 1);
        for index in first + entries.len() as u64..=self.last() {
            self.put(&place(index), None);
        }
        self.log.truncate(keep as usize);
        for entry in entries {
            self.put(&place(entry.index), Some(bytes(&entry)));
            self.log.push(entry);
        }
    }

    /// Takes a state in place of all that is there; `false` if it can't be read.
    pub fn take_over(&mut self, snapshot: &Snapshot) -> bool {
        let Ok((folded, [])) = postcard::take_from_bytes::<StateSnapshot<F>>(snapshot.get_data())
        else {
            return false;
        };
        let meta = snapshot.get_metadata();
        for index in self.compacted.0 + 1..=self.last() {
            self.put(&place(index), None);
        }
        self.log.clear();
        (self.compacted, self.applied) = ((meta.index, meta.term), meta.index);
        self.voters = meta.get_conf_state().clone();
        self.folded = folded;
        self.keep_folded();
        true
    }

    /// Folds what has been applied, and lets all but the last words go.
    pub fn compact(&mut self) {
        let upto = self.applied.saturating_sub(TAIL).max(self.compacted.0);
        let Ok(term) = self.term(upto) else { return };
        for index in self.compacted.0 + 1..=upto {
            self.put(&place(index), None);
        }
        self.log.drain(..(upto - self.compacted.0) as usize);
        self.compacted = (upto, term);
        self.keep_folded();
    }

    /// Whether so many words have been applied since they were folded last that it is time.
    pub fn grown(&self, fold: u64) -> bool {
        self.applied >= self.compacted.0 + TAIL + fold
    }
}

impl<F: StateMachine> Storage for LogStorage<F> {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.voters.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.compacted.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = |index: u64| (index - self.compacted.0 - 1) as usize;
        let all = self
            .log
            .get(at(low)..at(high))
            .ok_or(Error::Store(StorageError::Unavailable))?;
        let mut entries = all.to_vec();
        raft::util::limit_size(&mut entries, most.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.compacted.0 {
            return Ok(self.compacted.1);
        }
        if index < self.compacted.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.log.get((index - self.compacted.0 - 1) as usize);
        entry
            .map(|entry| entry.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.compacted.0 + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, wanted: u64, _: u64) -> Result<Snapshot> {
        if self.applied < wanted {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(postcard::to_stdvec(&self.folded).unwrap_or_default().into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.applied, self.term(self.applied)?);
        meta.set_conf_state(self.voters.clone());
        Ok(snapshot)
    }
}

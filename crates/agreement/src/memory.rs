//! The log as it is in memory, with each change noted as it is to be kept.

use crate::Fold;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, Snapshot, StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::fmt;
use std::marker::PhantomData;
use std::rc::Rc;

/// A word of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound = "")]
pub struct Word<F> {
    pub bytes: Vec<u8>,
    /// Its place, from 0, where it was read from the log.
    #[serde(skip)]
    pub at: usize,
    #[serde(skip)]
    pub of: PhantomData<F>,
}

/// What words come to: a state, and the words after it, from that place on.
///
/// Why the words are not folded in at once: `omnipaxos` 0.2.4 makes the snapshot that a delta is merged into from its own log as far as
/// it is *told* to be decided (`sync_log` sets the index before it asks for the snapshot), so that it holds words which the
/// delta has too, or that were never decided. The delta says where it begins; what is there beyond gives way to it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(bound = "")]
pub struct Folded<F: Fold> {
    /// What all words before the first of these come to; none in a delta.
    base: Option<F>,
    from: usize,
    words: Vec<Vec<u8>>,
}

impl<F: Fold> Folded<F> {
    /// What the words up to this place come to; none if it does not reach so far, or from the first.
    pub fn upto(self, place: usize) -> Option<F> {
        let mut state = match self.base {
            Some(state) => state,
            None if self.from == 0 => F::default(),
            None => return None,
        };
        let count = place.checked_sub(self.from).filter(|count| *count <= self.words.len())?;
        self.words[..count].iter().for_each(|word| state.apply(word));
        Some(state)
    }
}

impl<F: Fold> Entry for Word<F> {
    type Snapshot = Folded<F>;
}

impl<F: Fold> Snapshot<Word<F>> for Folded<F> {
    fn create(entries: &[Word<F>]) -> Self {
        let from = entries.first().map_or(0, |word| word.at);
        Self { base: None, from, words: entries.iter().map(|word| word.bytes.clone()).collect() }
    }

    fn merge(&mut self, delta: Self) {
        if delta.base.is_some() || delta.from == 0 && !delta.words.is_empty() {
            *self = delta;
        } else {
            // It may begin before, where this one was folded since it was asked for.
            let known = self.from.saturating_sub(delta.from).min(delta.words.len());
            let from = delta.from + known;
            let keep = from.saturating_sub(self.from);
            // One that begins beyond is none of this: what is short is found out when it is folded.
            if known < delta.words.len() && keep <= self.words.len() {
                self.words.truncate(keep);
                self.words.extend(delta.words.into_iter().skip(known));
            }
        }
    }

    fn use_snapshots() -> bool {
        true
    }
}

/// A change of what is kept: a key, and its value or none any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key; all begin with `a/`.
    pub key: Vec<u8>,
    /// Its value.
    pub value: Option<Vec<u8>>,
}

/// What was kept can't be gone by.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Damage(pub String);

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the log of the voters: {}", self.0)
    }
}

impl std::error::Error for Damage {}

const LOG: &[u8] = b"a/l/";
const PROMISE: &[u8] = b"a/promise";
const ACCEPTED: &[u8] = b"a/accepted";
const DECIDED: &[u8] = b"a/decided";
const STOP: &[u8] = b"a/stop";
/// How many words are folded, and what they come to: in one value, so that one can't be kept without the other.
const SNAPSHOT: &[u8] = b"a/snapshot";

fn place(index: usize) -> Vec<u8> {
    [LOG, &(index as u64).to_be_bytes()].concat()
}

fn bytes<T: Serialize>(value: &T) -> Vec<u8> {
    // Writing to memory fails at nothing but its end.
    postcard::to_stdvec(value).unwrap_or_default()
}

fn read<'a, T: Deserialize<'a>>(what: &str, value: &'a [u8]) -> Result<T, Damage> {
    match postcard::take_from_bytes(value) {
        Ok((read, [])) => Ok(read),
        _ => Err(Damage(format!("{what} can't be read"))),
    }
}

/// What is to be written, in its order.
#[derive(Debug, Default)]
pub struct Journal {
    changes: Vec<Change>,
    /// How far is decided, where that is to be kept: it can be found out again, so it is written with what else is.
    decided: Option<u64>,
}

impl Journal {
    /// What is to be written now; that more is decided is alone no reason to write.
    pub fn take(&mut self) -> Vec<Change> {
        let mut changes = std::mem::take(&mut self.changes);
        if !changes.is_empty()
            && let Some(upto) = self.decided.take()
        {
            changes.push(Change { key: DECIDED.to_vec(), value: Some(bytes(&upto)) });
        }
        changes
    }
}

/// The log in memory.
#[derive(Debug)]
pub struct Memory<F: Fold> {
    log: Vec<Word<F>>,
    compacted: usize,
    decided: usize,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    stop: Option<StopSign>,
    snapshot: Option<F>,
    journal: Rc<RefCell<Journal>>,
}

impl<F: Fold> Memory<F> {
    /// As it was kept; with nothing kept, empty.
    pub fn restore(
        kept: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
        journal: Rc<RefCell<Journal>>,
    ) -> Result<Self, Damage> {
        let (log, snapshot) = (Vec::new(), None);
        let mut memory = Self {
            log,
            compacted: 0,
            decided: 0,
            promise: None,
            accepted: None,
            stop: None,
            snapshot,
            journal,
        };
        let mut words: Vec<(usize, Vec<u8>)> = Vec::new();
        for (key, value) in kept {
            if let Some(index) = key.strip_prefix(LOG) {
                let index = index.try_into().map_err(|_| Damage("a place has no number".into()))?;
                words.push((u64::from_be_bytes(index) as usize, value));
                continue;
            }
            match &key[..] {
                PROMISE => memory.promise = Some(read("the promise", &value)?),
                ACCEPTED => memory.accepted = Some(read("the round", &value)?),
                DECIDED => memory.decided = read::<u64>("what is decided", &value)? as usize,
                STOP => memory.stop = Some(read("the stop", &value)?),
                SNAPSHOT => {
                    let (upto, state): (u64, F) = read("the snapshot", &value)?;
                    (memory.compacted, memory.snapshot) = (upto as usize, Some(state));
                }
                key => return Err(Damage(format!("{} is nothing of it", String::from_utf8_lossy(key)))),
            }
        }
        words.sort_unstable_by_key(|(index, _)| *index);
        for (index, bytes) in words {
            let next = memory.compacted + memory.log.len();
            if index != next {
                return Err(Damage(format!("place {next} is missing: {index} is the next that is there")));
            }
            memory.log.push(Word { bytes, at: index, of: PhantomData });
        }
        memory.decided = memory.decided.max(memory.compacted);
        if memory.decided > memory.compacted + memory.log.len() + usize::from(memory.stop.is_some()) {
            return Err(Damage("more is decided than is there".into()));
        }
        Ok(memory)
    }

    fn put(&self, key: &[u8], value: Option<Vec<u8>>) {
        self.journal.borrow_mut().changes.push(Change { key: key.to_vec(), value });
    }
}

/// The log, which the library has one hand on and the voter another: should the library lose its way, it begins anew from it.
#[derive(Debug)]
pub struct Shared<F: Fold>(pub Rc<RefCell<Memory<F>>>);

impl<F: Fold> Shared<F> {
    /// Another hand on the same.
    pub fn again(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<F: Fold> Memory<F> {
    /// The place behind the last word.
    fn end(&self) -> usize {
        self.compacted + self.log.len()
    }

    /// What was folded is decided, whatever was said of it.
    pub fn mend(&mut self) {
        self.decided = self.decided.max(self.compacted);
    }
}

impl<F: Fold> Storage<Word<F>> for Shared<F> {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Word<F>>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(promise) => self.set_promise(promise)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(round) => self.set_accepted_round(round)?,
                StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index)?,
                StorageOp::Trim(index) => self.trim(index)?,
                StorageOp::SetStopsign(stop) => self.set_stopsign(stop)?,
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Word<F>) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.put(&place(memory.compacted + memory.log.len()), Some(entry.bytes.clone()));
        memory.log.push(entry);
        Ok(())
    }

    fn append_entries(&mut self, entries: Vec<Word<F>>) -> StorageResult<()> {
        entries.into_iter().try_for_each(|entry| self.append_entry(entry))
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Word<F>>) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        let keep = from.saturating_sub(memory.compacted);
        for index in memory.compacted + keep + entries.len()..memory.compacted + memory.log.len() {
            memory.put(&place(index), None);
        }
        memory.log.truncate(keep);
        drop(memory);
        self.append_entries(entries)
    }

    fn set_promise(&mut self, promise: Ballot) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.promise = Some(promise);
        memory.put(PROMISE, Some(bytes(&promise)));
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.decided = index;
        memory.journal.borrow_mut().decided = Some(index as u64);
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        let memory = self.0.borrow();
        Ok(memory.decided)
    }

    fn set_accepted_round(&mut self, round: Ballot) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.accepted = Some(round);
        memory.put(ACCEPTED, Some(bytes(&round)));
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        let memory = self.0.borrow();
        Ok(memory.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Word<F>>> {
        let memory = self.0.borrow();
        let at = |index: usize| index.saturating_sub(memory.compacted).min(memory.log.len());
        let words = memory.log.get(at(from)..at(to)).unwrap_or_default();
        let first = memory.compacted + at(from);
        Ok(words.iter().zip(first..).map(|(word, at)| Word { at, ..word.clone() }).collect())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        let memory = self.0.borrow();
        Ok(memory.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Word<F>>> {
        let end = self.0.borrow().end();
        self.get_entries(from, end)
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        let memory = self.0.borrow();
        Ok(memory.promise)
    }

    fn set_stopsign(&mut self, stop: Option<StopSign>) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.put(STOP, stop.as_ref().map(bytes));
        memory.stop = stop;
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        let memory = self.0.borrow();
        Ok(memory.stop.clone())
    }

    fn trim(&mut self, index: usize) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        let count = index.saturating_sub(memory.compacted).min(memory.log.len());
        for index in memory.compacted..memory.compacted + count {
            memory.put(&place(index), None);
        }
        memory.log.drain(..count);
        Ok(())
    }

    fn set_compacted_idx(&mut self, index: usize) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        memory.compacted = index;
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        let memory = self.0.borrow();
        Ok(memory.compacted)
    }

    fn set_snapshot(&mut self, snapshot: Option<Folded<F>>) -> StorageResult<()> {
        let mut memory = self.0.borrow_mut();
        // Folded here, so that it does not grow with the log.
        memory.snapshot = match snapshot {
            Some(snapshot) => {
                let short = "a snapshot that does not reach to where the log begins";
                Some(snapshot.upto(memory.compacted).ok_or(short)?)
            }
            None => None,
        };
        let value = memory.snapshot.as_ref().map(|state| bytes(&(memory.compacted as u64, state)));
        memory.put(SNAPSHOT, value);
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<Folded<F>>> {
        let memory = self.0.borrow();
        Ok(memory.snapshot.clone().map(|state| Folded {
            base: Some(state),
            from: memory.compacted,
            words: Vec::new(),
        }))
    }
}

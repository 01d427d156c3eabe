//! The in-memory log. It records each change, so that the caller can write it to the store.

use crate::StateMachine;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of one key in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StorageChange {
    /// The key.
    pub key: Vec<u8>,
    /// The new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
}

/// The voter can't be restored from its stored log. Contains the reason.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the log of this voter can't be restored: {0}")]
pub struct CorruptLog(pub String);

/// Index and term of the snapshot with which the log of the initial voters begins. Because of it, a
/// voter that is added later receives a snapshot, which contains all voters; the entries do not
/// contain the initial ones.
const INITIAL_INDEX: u64 = 1;

/// Prefix of the keys of entries; the index follows as eight bytes in big-endian order.
const ENTRY_KEY_PREFIX: &[u8] = b"a/l/";

/// Key of the library's hard state: the term, the vote and the committed index.
const HARD_STATE_KEY: &[u8] = b"a/hard";

/// Key of the snapshot and of the position before the first entry of the log. They share a value,
/// so that neither is stored without the other.
const SNAPSHOT_KEY: &[u8] = b"a/folded";

/// Number of applied entries that a compaction leaves in the log, so that a voter that is only
/// slightly behind needs no snapshot.
const RETAINED_ENTRIES: u64 = 64;

fn entry_key(index: u64) -> Vec<u8> {
    [ENTRY_KEY_PREFIX, &index.to_be_bytes()].concat()
}

/// A position in the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
struct LogPosition {
    index: u64,
    term: u64,
}

/// The end of a log: the latest term and the last index.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogEnd {
    /// The latest term that the voter has reached.
    pub term: u64,
    /// The index of the last entry.
    pub index: u64,
}

/// The state after all applied entries. The leader sends it to a voter that lacks entries which are
/// no longer in the log.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(bound = "")]
pub struct StateSnapshot<S: StateMachine> {
    pub state: S,
    /// The number of entries applied to the state, without the library's own entries.
    pub entries: u64,
    /// The name of each voter's node, by the voter's number.
    pub voters: BTreeMap<u64, String>,
    /// The highest number that any voter has ever had; no number is used twice.
    pub highest_voter_id: u64,
}

/// The stored form of the snapshot.
#[derive(Deserialize, Serialize)]
#[serde(bound = "")]
struct StoredSnapshot<S: StateMachine> {
    applied: LogPosition,
    /// The position before the first entry of the log.
    compacted: LogPosition,
    /// The encoded [`ConfState`] of the library.
    conf_state: Vec<u8>,
    snapshot: StateSnapshot<S>,
}

/// Returns the end of a stored log. Values that can't be decoded count as missing.
pub fn stored_log_end<'a>(stored: impl IntoIterator<Item = (&'a Vec<u8>, &'a Vec<u8>)>) -> LogEnd {
    let mut end = LogEnd::default();
    for (key, value) in stored {
        if let Some(index) = key.strip_prefix(ENTRY_KEY_PREFIX) {
            let index = index.try_into().map(u64::from_be_bytes);
            end.index = end.index.max(index.unwrap_or_default());
        } else if key == HARD_STATE_KEY {
            let hard_state = HardState::parse_from_bytes(value);
            end.term = hard_state.map(|state| state.term).unwrap_or_default();
        } else if key == SNAPSHOT_KEY {
            // The stored form begins with the index of the last applied entry.
            let index = postcard::take_from_bytes::<u64>(value).map(|(index, _)| index);
            end.index = end.index.max(index.unwrap_or_default());
        }
    }
    end
}

/// The in-memory log of a voter, as the storage of the library.
#[derive(Debug)]
pub struct LogStorage<S: StateMachine> {
    log: Vec<Entry>,
    /// The position before the first entry of the log.
    compacted: LogPosition,
    hard_state: HardState,
    /// The voters in the library's form.
    pub conf_state: ConfState,
    /// The index of the last applied entry.
    pub applied_index: u64,
    /// The state at `applied_index`.
    pub snapshot: StateSnapshot<S>,
    /// Changes that the caller has not taken yet.
    changes: Vec<StorageChange>,
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Encoding to memory fails only when memory is exhausted.
    message.write_to_bytes().unwrap_or_default()
}

/// Decodes a stored value; `name` denotes the value in the error.
fn decode<M: protobuf::Message>(name: &str, value: &[u8]) -> std::result::Result<M, CorruptLog> {
    M::parse_from_bytes(value).map_err(|_| CorruptLog(format!("{name} can't be decoded")))
}

impl<S: StateMachine> LogStorage<S> {
    /// Restores the log from its stored keys and values. If nothing is stored, returns the log with
    /// which the initial voters begin, or without initial voters an empty log, which the leader
    /// fills.
    ///
    /// # Errors
    ///
    /// [`CorruptLog`] if a key is unknown, a value can't be decoded, entries are missing or values
    /// contradict each other.
    pub fn restore(
        initial_voters: &BTreeMap<u64, String>,
        stored: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> std::result::Result<Self, CorruptLog> {
        let mut storage = Self {
            log: Vec::new(),
            compacted: LogPosition::default(),
            hard_state: HardState::default(),
            conf_state: ConfState::default(),
            applied_index: 0,
            snapshot: StateSnapshot::default(),
            changes: Vec::new(),
        };
        let mut entries = BTreeMap::new();
        let mut is_new = true;
        for (key, value) in stored {
            is_new = false;
            if let Some(index) = key.strip_prefix(ENTRY_KEY_PREFIX) {
                let index = index
                    .try_into()
                    .map_err(|_| CorruptLog("the key of an entry has no valid index".into()))?;
                entries.insert(u64::from_be_bytes(index), decode("an entry", &value)?);
            } else {
                storage.restore_value(&key, &value)?;
            }
        }
        if is_new && !initial_voters.is_empty() {
            storage.initialize(initial_voters);
        }
        storage.restore_entries(entries)?;
        Ok(storage)
    }

    /// Restores the hard state or the snapshot.
    fn restore_value(&mut self, key: &[u8], value: &[u8]) -> std::result::Result<(), CorruptLog> {
        match key {
            HARD_STATE_KEY => self.hard_state = decode("the hard state", value)?,
            SNAPSHOT_KEY => {
                let Ok((stored, [])) = postcard::take_from_bytes::<StoredSnapshot<S>>(value) else {
                    return Err(CorruptLog("the snapshot can't be decoded".into()));
                };
                self.conf_state = decode("the voter configuration", &stored.conf_state)?;
                self.applied_index = stored.applied.index;
                self.compacted = stored.compacted;
                self.snapshot = stored.snapshot;
                if self.applied_index < self.compacted.index
                    || self.conf_state.get_voters().is_empty()
                {
                    return Err(CorruptLog(
                        "the snapshot has no voters or ends before the log begins".into(),
                    ));
                }
            }
            key => {
                return Err(CorruptLog(format!(
                    "unknown key {}",
                    String::from_utf8_lossy(key)
                )));
            }
        }
        Ok(())
    }

    fn restore_entries(
        &mut self,
        entries: BTreeMap<u64, Entry>,
    ) -> std::result::Result<(), CorruptLog> {
        for (index, entry) in entries {
            let expected = self.last_entry_index() + 1;
            if index != expected || entry.index != index {
                return Err(CorruptLog(format!(
                    "entry {expected} is missing: found key {index} with entry {}",
                    entry.index
                )));
            }
            self.log.push(entry);
        }
        let last = self.last_entry_index();
        if self.applied_index > last || self.hard_state.commit > last {
            return Err(CorruptLog(format!(
                "the log ends at index {last}, before its applied index {} or committed index {}",
                self.applied_index, self.hard_state.commit
            )));
        }
        Ok(())
    }

    /// Sets the initial state of the log of the initial voters.
    fn initialize(&mut self, initial_voters: &BTreeMap<u64, String>) {
        self.compacted = LogPosition {
            index: INITIAL_INDEX,
            term: INITIAL_INDEX,
        };
        self.applied_index = INITIAL_INDEX;
        self.conf_state
            .set_voters(initial_voters.keys().copied().collect());
        self.hard_state.set_term(INITIAL_INDEX);
        self.hard_state.set_commit(INITIAL_INDEX);
        self.snapshot.voters = initial_voters.clone();
        self.snapshot.highest_voter_id = initial_voters.keys().copied().max().unwrap_or_default();
        self.record_snapshot();
        self.set_hard_state(self.hard_state.clone());
    }

    fn record_change(&mut self, key: &[u8], value: Option<Vec<u8>>) {
        self.changes.push(StorageChange {
            key: key.to_vec(),
            value,
        });
    }

    /// Returns the changes since the last call, for the caller to write.
    pub fn take_changes(&mut self) -> Vec<StorageChange> {
        std::mem::take(&mut self.changes)
    }

    fn last_entry_index(&self) -> u64 {
        self.compacted.index + self.log.len() as u64
    }

    /// Returns the number of entries in memory.
    pub fn entries_in_memory(&self) -> usize {
        self.log.len()
    }

    /// Replaces the hard state of the library.
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.record_change(HARD_STATE_KEY, Some(encode(&hard_state)));
        self.hard_state = hard_state;
    }

    fn record_snapshot(&mut self) {
        let applied = LogPosition {
            index: self.applied_index,
            term: self.term(self.applied_index).unwrap_or_default(),
        };
        let stored = StoredSnapshot {
            applied,
            compacted: self.compacted,
            conf_state: encode(&self.conf_state),
            snapshot: self.snapshot.clone(),
        };
        let value = postcard::to_stdvec(&stored).unwrap_or_default();
        self.record_change(SNAPSHOT_KEY, Some(value));
    }

    /// Appends entries. They replace all entries in the log from the index of the first one on.
    pub fn append(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        for index in first + entries.len() as u64..=self.last_entry_index() {
            self.record_change(&entry_key(index), None);
        }
        let retained = first.saturating_sub(self.compacted.index + 1);
        self.log.truncate(retained as usize);
        for entry in entries {
            self.record_change(&entry_key(entry.index), Some(encode(&entry)));
            self.log.push(entry);
        }
    }

    /// Replaces the log and the state by a snapshot from the leader. Returns `false` and changes
    /// nothing if the snapshot can't be decoded.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot) -> bool {
        let Ok((state, [])) = postcard::take_from_bytes::<StateSnapshot<S>>(snapshot.get_data())
        else {
            return false;
        };
        let metadata = snapshot.get_metadata();
        for index in self.compacted.index + 1..=self.last_entry_index() {
            self.record_change(&entry_key(index), None);
        }
        self.log.clear();
        self.compacted = LogPosition {
            index: metadata.index,
            term: metadata.term,
        };
        self.applied_index = metadata.index;
        self.conf_state = metadata.get_conf_state().clone();
        self.snapshot = state;
        self.record_snapshot();
        true
    }

    /// Stores a snapshot and removes all applied entries but the last [`RETAINED_ENTRIES`] from the
    /// log.
    pub fn compact(&mut self) {
        let index = self
            .applied_index
            .saturating_sub(RETAINED_ENTRIES)
            .max(self.compacted.index);
        let Ok(term) = self.term(index) else { return };
        for removed in self.compacted.index + 1..=index {
            self.record_change(&entry_key(removed), None);
        }
        self.log.drain(..(index - self.compacted.index) as usize);
        self.compacted = LogPosition { index, term };
        self.record_snapshot();
    }

    /// Returns whether at least `interval_entries` have been applied since the last compaction.
    pub fn needs_compaction(&self, interval_entries: u64) -> bool {
        self.applied_index >= self.compacted.index + RETAINED_ENTRIES + interval_entries
    }
}

impl<S: StateMachine> Storage for LogStorage<S> {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.conf_state.clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.compacted.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let offset = |index: u64| (index - self.compacted.index - 1) as usize;
        let range = self
            .log
            .get(offset(low)..offset(high))
            .ok_or(Error::Store(StorageError::Unavailable))?;
        let mut entries = range.to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index < self.compacted.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.log.get((index - self.compacted.index - 1) as usize);
        entry
            .map(|entry| entry.term)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.compacted.index + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> Result<Snapshot> {
        if self.applied_index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(
            postcard::to_stdvec(&self.snapshot)
                .unwrap_or_default()
                .into(),
        );
        let metadata = snapshot.mut_metadata();
        metadata.index = self.applied_index;
        metadata.term = self.term(self.applied_index)?;
        metadata.set_conf_state(self.conf_state.clone());
        Ok(snapshot)
    }
}

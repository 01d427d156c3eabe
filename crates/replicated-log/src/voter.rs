//! A voter: its inputs, its state and its outputs.

use crate::StateMachine;
use crate::durability_gate::DurabilityGate;
use crate::message;
use crate::ready::PendingReady;
use crate::storage::{CorruptLog, LogStorage, StorageChange};
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Maximum number of voters. More of them would make each commit slower and hardly improve
/// availability.
pub const MAX_VOTERS: usize = 7;

/// Minimum number of voters after a removal.
pub const MIN_VOTERS: usize = 2;

/// Maximum number of ready states that wait for the disk. At this number the voter drops messages
/// and ticks and rejects proposals, which bounds its memory.
pub const MAX_PENDING_READIES: usize = 4096;

/// Minimum number of ticks without a message from the leader before a voter starts an election.
const ELECTION_TICKS: usize = 10;

/// Each voter waits its number modulo [`MAX_VOTERS`] times this many ticks longer, so that two
/// voters seldom start an election at the same time. The wait is not random, so that a simulation
/// is reproducible from its seed.
const ELECTION_STAGGER_TICKS: usize = 3;

/// Number of ticks between heartbeats of the leader.
const HEARTBEAT_TICKS: usize = 2;

/// Approximate maximum size of a message with entries, in bytes.
const MAX_MESSAGE_BYTES: u64 = 64 << 10;

/// Maximum total size of proposed entries that are not committed yet, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 4 << 20;

/// What the caller has to do, or what has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write these changes atomically, in the order of the numbers of the writes, and call
    /// [`Voter::record_durable`] once they are durable.
    Write {
        /// The number of the write.
        number: u64,
        /// The changes.
        changes: Vec<StorageChange>,
    },
    /// Send a message to another voter.
    Send {
        /// The number of the voter.
        to: u64,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// An entry has been committed and applied to [`Voter::state`].
    Committed {
        /// The number of the entry; the first one is 1.
        number: u64,
        /// The entry.
        entry: Vec<u8>,
    },
    /// A snapshot from the leader has replaced [`Voter::state`]. Its entries are not reported by
    /// [`Output::Committed`].
    SnapshotInstalled {
        /// The number of entries that the new state contains.
        applied_entries: u64,
    },
    /// [`Voter::voters`] has changed.
    VotersChanged,
}

/// A voter of the replicated log.
pub struct Voter<S: StateMachine> {
    id: u64,
    pub(crate) raft: RawNode<LogStorage<S>>,
    pub(crate) gate: DurabilityGate<PendingReady>,
    failure: Option<String>,
}

impl<S: StateMachine> Voter<S> {
    /// Restores the voter `id` from its stored keys and values. If nothing is stored, it is one of
    /// `initial_voters`, or without initial voters one that has been added to an existing log and
    /// waits for the leader. Also returns the first outputs.
    ///
    /// **A voter that has voted and has lost some of its stored data must not be restored under its
    /// number**, because it may break its promises. [`crate::admission`] detects this.
    ///
    /// # Errors
    ///
    /// [`CorruptLog`] if the stored log is corrupt, or `id` or the initial voters are invalid.
    pub fn new(
        id: u64,
        initial_voters: &BTreeMap<u64, String>,
        stored: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Result<(Self, Vec<Output>), CorruptLog> {
        let is_initial = initial_voters.contains_key(&id) && !initial_voters.contains_key(&0);
        let valid = initial_voters.is_empty() || is_initial;
        if !valid || id == 0 || initial_voters.len() > MAX_VOTERS {
            return Err(CorruptLog(format!(
                "voter {id} does not fit the initial voters {initial_voters:?}: there may be up to \
                 {MAX_VOTERS}, with numbers above 0 and voter {id} among them"
            )));
        }
        let storage = LogStorage::<S>::restore(initial_voters, stored)?;
        let election_ticks =
            ELECTION_TICKS + ELECTION_STAGGER_TICKS * (id % MAX_VOTERS as u64) as usize;
        let config = Config {
            id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            min_election_tick: election_ticks,
            max_election_tick: election_ticks + 1,
            applied: storage.applied_index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            max_committed_size_per_ready: u64::MAX,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let no_logs = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, storage, &no_logs)
            .map_err(|error| CorruptLog(error.to_string()))?;
        let mut voter = Self {
            id,
            raft,
            gate: DurabilityGate::default(),
            failure: None,
        };
        // The stored log is durable, so that its committed entries can be applied at once.
        let mut out = Vec::new();
        voter.process_ready(&mut out);
        Ok((voter, out))
    }

    /// Returns the number of this voter.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the state after all entries that have been committed and applied.
    pub fn state(&self) -> &S {
        &self.raft.store().snapshot.state
    }

    /// Returns the number of entries that have been applied to the state.
    pub fn applied_entries(&self) -> u64 {
        self.raft.store().snapshot.entries
    }

    /// Returns the name of each voter's node, by the voter's number.
    pub fn voters(&self) -> &BTreeMap<u64, String> {
        &self.raft.store().snapshot.voters
    }

    /// Returns the index of the last applied entry. Indexes also count the library's own entries
    /// and membership changes.
    pub fn applied_index(&self) -> u64 {
        self.raft.store().applied_index
    }

    /// Returns the number of the leader, if this voter knows of one.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|leader| *leader > 0)
    }

    /// Returns whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Returns the number of log entries in memory.
    pub fn entries_in_memory(&self) -> usize {
        self.raft.store().entries_in_memory()
    }

    /// Returns why this process has stopped voting: the library has found its log inconsistent, or
    /// a snapshot from the leader could not be decoded. Returns `None` while it votes.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    pub(crate) fn fail(&mut self, reason: String) {
        self.failure = Some(reason);
    }

    /// Advances the time by one tick. The caller ticks at even intervals, about twenty times a
    /// second.
    pub fn tick(&mut self, out: &mut Vec<Output>) {
        // While too many writes wait for the disk, ticks are dropped: the voter sends no heartbeats
        // and starts no election, so that the others elect another leader.
        if self.gate.pending_count() < MAX_PENDING_READIES {
            self.run_guarded(|raft| {
                raft.tick();
            });
        }
        self.process_ready(out);
    }

    /// Handles a message from another voter. Returns `false` if the message can't be decoded or no
    /// voter could have sent it.
    pub fn receive(&mut self, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return false;
        };
        // A forwarded proposal keeps the number of its first sender, and may be forwarded back to
        // it after a change of leader.
        let claims_own_id =
            message.from == self.id && message.get_msg_type() != MessageType::MsgPropose;
        if message.to != self.id
            || message.from == 0
            || claims_own_id
            || !message::is_valid(&message)
        {
            return false;
        }
        if self.gate.pending_count() < MAX_PENDING_READIES {
            self.run_guarded(|raft| {
                // A message that the library rejects changes nothing.
                let _ = raft.step(message);
            });
        }
        self.process_ready(out);
        true
    }

    /// Records that the connection to another voter was re-established: messages in both directions
    /// may have been lost.
    pub fn peer_reconnected(&mut self, voter: u64, out: &mut Vec<Output>) {
        self.run_guarded(|raft| {
            raft.report_unreachable(voter);
            raft.report_snapshot(voter, SnapshotStatus::Failure);
        });
        self.process_ready(out);
    }

    /// Records that all writes up to this number are durable.
    pub fn record_durable(&mut self, number: u64, out: &mut Vec<Output>) {
        self.gate.record_durable(number);
        self.process_ready(out);
    }

    /// Runs an action of the library and catches its panic. The library panics if it finds its log
    /// inconsistent; the process then stops voting and keeps running.
    pub(crate) fn run_guarded(&mut self, action: impl FnOnce(&mut RawNode<LogStorage<S>>)) {
        if self.failure.is_some() {
            return;
        }
        let raft = &mut self.raft;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| action(raft))) {
            let reason = panic
                .downcast_ref::<String>()
                .cloned()
                .or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
            self.failure = Some(
                reason.unwrap_or_else(|| "the raft library panicked without a message".to_owned()),
            );
        }
    }
}

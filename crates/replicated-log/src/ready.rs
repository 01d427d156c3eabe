//! Processes what the library has ready after an input: messages, writes, committed entries and
//! membership changes.

use crate::StateMachine;
use crate::voter::{MAX_VOTERS, MIN_VOTERS, Output, Voter};
use protobuf::Message as _;
use raft::SnapshotStatus;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, MessageType,
};

/// Number of applied entries after which the log is compacted.
const COMPACTION_INTERVAL_ENTRIES: u64 = 512;

/// Messages of one ready state of the library that wait until its writes are durable.
pub struct PendingReady {
    /// The number that the library has given the ready state.
    number: u64,
    messages: Vec<Message>,
}

/// The parts of one ready state of the library.
#[derive(Default)]
struct ReadyParts {
    number: u64,
    immediate_messages: Vec<Message>,
    persisted_messages: Vec<Message>,
    committed_entries: Vec<Entry>,
    /// Whether the leader's snapshot was installed; `None` if the ready state contains none.
    snapshot_installed: Option<bool>,
}

impl<S: StateMachine> Voter<S> {
    /// Processes everything that an input has led to. Messages that make a promise wait until the
    /// writes before them are durable. A leader's messages are sent at once: by asking other voters
    /// to store an entry, the leader does not promise that it has stored the entry itself.
    pub(crate) fn process_ready(&mut self, out: &mut Vec<Output>) {
        loop {
            self.release_durable(out);
            if self.failure().is_some() || !self.raft.has_ready() {
                break;
            }
            let ready = self.take_ready();
            match ready.snapshot_installed {
                Some(true) => {
                    out.push(Output::SnapshotInstalled {
                        applied_entries: self.applied_entries(),
                    });
                    out.push(Output::VotersChanged);
                }
                Some(false) => self.fail("a snapshot from the leader can't be decoded".to_owned()),
                None => {}
            }
            for entry in ready.committed_entries {
                self.apply_entry(entry, out);
            }
            if self
                .raft
                .store()
                .needs_compaction(COMPACTION_INTERVAL_ENTRIES)
            {
                self.raft.mut_store().compact();
            }
            self.write_changes(out);
            self.send_messages(ready.immediate_messages, out);
            self.gate.hold(PendingReady {
                number: ready.number,
                messages: ready.persisted_messages,
            });
        }
        // The initial state of a new log is written although the library has no ready state.
        self.write_changes(out);
    }

    /// Sends the messages whose writes are durable, and reports to the library up to where the log
    /// has been stored and applied.
    fn release_durable(&mut self, out: &mut Vec<Output>) {
        while let Some(ready) = self.gate.pop_released() {
            self.run_guarded(|raft| raft.on_persist_ready(ready.number));
            self.send_messages(ready.messages, out);
        }
        self.run_guarded(|raft| {
            // An installed snapshot counts as applied only once it is durable.
            let applied = raft.store().applied_index.min(raft.raft.raft_log.persisted);
            if applied > raft.raft.raft_log.applied {
                raft.advance_apply_to(applied);
            }
        });
    }

    /// Takes the next ready state from the library and stores its log entries, hard state and
    /// snapshot.
    fn take_ready(&mut self) -> ReadyParts {
        let mut parts = ReadyParts::default();
        self.run_guarded(|raft| {
            let mut ready = raft.ready();
            parts.immediate_messages = ready.take_messages();
            parts.persisted_messages = ready.take_persisted_messages();
            parts.number = ready.number();
            parts.committed_entries = ready.take_committed_entries();
            if !ready.snapshot().is_empty() {
                let installed = raft.mut_store().install_snapshot(ready.snapshot());
                parts.snapshot_installed = Some(installed);
            }
            raft.mut_store().append(ready.take_entries());
            if let Some(hard_state) = ready.hs() {
                let hard_state = hard_state.clone();
                raft.mut_store().set_hard_state(hard_state);
            }
            raft.advance_append_async(ready);
        });
        parts
    }

    fn write_changes(&mut self, out: &mut Vec<Output>) {
        let changes = self.raft.mut_store().take_changes();
        if !changes.is_empty() {
            out.push(Output::Write {
                number: self.gate.begin_write(),
                changes,
            });
        }
    }

    fn send_messages(&mut self, messages: Vec<Message>, out: &mut Vec<Output>) {
        for message in messages {
            out.push(Output::Send {
                to: message.to,
                message: message.write_to_bytes().unwrap_or_default(),
            });
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // The transport does not report whether a snapshot has arrived. Without this report
                // the leader would send this voter no more entries; the voter's next response shows
                // whether it has the snapshot.
                self.run_guarded(|raft| raft.report_snapshot(message.to, SnapshotStatus::Finish));
            }
        }
    }

    fn apply_entry(&mut self, mut entry: Entry, out: &mut Vec<Output>) {
        let data = entry.take_data();
        match entry.get_entry_type() {
            EntryType::EntryNormal => {
                let store = self.raft.mut_store();
                store.applied_index = entry.index;
                // The library's own entries are empty.
                if !data.is_empty() {
                    store.snapshot.entries += 1;
                    store.snapshot.state.apply(&data);
                    out.push(Output::Committed {
                        number: store.snapshot.entries,
                        entry: data.to_vec(),
                    });
                }
            }
            EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                let name = String::from_utf8_lossy(&entry.take_context()).into_owned();
                let change = ConfChange::parse_from_bytes(&data).ok();
                self.apply_membership_change(entry.index, change, name, out);
            }
        }
    }

    fn apply_membership_change(
        &mut self,
        index: u64,
        change: Option<ConfChange>,
        name: String,
        out: &mut Vec<Output>,
    ) {
        let change = change.filter(|change| self.is_still_valid(change, &name));
        let mut conf_state = None;
        self.run_guarded(|raft| {
            conf_state = match &change {
                Some(change) => raft.apply_conf_change(change).ok(),
                None => raft.apply_conf_change(&ConfChangeV2::default()).ok(),
            };
        });
        let store = self.raft.mut_store();
        store.applied_index = index;
        if let (Some(conf_state), Some(change)) = (conf_state, change) {
            store.conf_state = conf_state;
            if change.get_change_type() == ConfChangeType::AddNode {
                store.snapshot.highest_voter_id = change.node_id;
                store.snapshot.voters.insert(change.node_id, name);
            } else {
                store.snapshot.voters.remove(&change.node_id);
            }
            out.push(Output::VotersChanged);
        }
        // The library lets a leader continue after its own removal, and would panic when the next
        // entries are reported as durable.
        if self.is_leader() && !self.voters().contains_key(&self.id()) {
            self.run_guarded(|raft| raft.raft.become_follower(raft.raft.term, 0));
        }
    }

    /// Returns whether a membership change is still valid when it is committed: other changes may
    /// have been committed since it was proposed.
    fn is_still_valid(&self, change: &ConfChange, name: &str) -> bool {
        let snapshot = &self.raft.store().snapshot;
        match change.get_change_type() {
            ConfChangeType::AddNode => {
                let is_new = change.node_id > snapshot.highest_voter_id
                    && !snapshot.voters.values().any(|voter| voter == name);
                is_new && snapshot.voters.len() < MAX_VOTERS
            }
            ConfChangeType::RemoveNode => {
                snapshot.voters.contains_key(&change.node_id) && snapshot.voters.len() > MIN_VOTERS
            }
            ConfChangeType::AddLearnerNode => false,
        }
    }
}

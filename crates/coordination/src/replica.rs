//! A node's replica of the log: whether it is a voter, whether it may vote, and what it has stored.

use crate::error::NotVotingReason;
use crate::message::Message;
use crate::state_machine::LeaseStateMachine;
use crate::voters::{VotersAt, voter_id_of};
use postproxy_leases::Command;
use postproxy_replicated_log::admission::{
    Admission, AdmissionEffect, AdmissionMessage, AdmissionVerdict,
};
use postproxy_replicated_log::{
    MembershipChange, Output as VoterOutput, ProposalRejected, StorageChange, Voter,
    message_promise, stored_log_end,
};
use std::collections::{BTreeMap, VecDeque};

/// What the owner of a replica is to do, or what has happened.
pub enum ReplicaOutput {
    /// Send a message to a node.
    Send {
        /// The name of the node.
        to: String,
        /// The message.
        message: Message,
    },
    /// Write these changes; report them by [`Replica::record_durable`].
    Write {
        /// The number of the write.
        number: u64,
        /// The changes.
        changes: Vec<StorageChange>,
    },
    /// The committed state has changed.
    StateChanged,
}

/// The component that has requested a write, with the number that this component has given it.
enum WriteOrigin {
    Replica,
    Admission { number: u64 },
    Voter { number: u64 },
}

struct PendingWrite {
    number: u64,
    origin: WriteOrigin,
}

/// Key of the voter ID of the replica and of whether it is an initial voter.
const REPLICA_KEY: &[u8] = b"c/seat";

/// Prefix of the keys of the log.
const LOG_KEY_PREFIX: &[u8] = b"a/";

/// Prefix of the keys of the admission.
const ADMISSION_KEY_PREFIX: &[u8] = b"s/";

type StoredKeys = BTreeMap<Vec<u8>, Vec<u8>>;

/// The replica of a node, which may be a voter.
pub struct Replica {
    node: String,
    incarnation: u64,
    initial_voters: BTreeMap<u64, String>,
    /// Its voter ID; 0 if it is not a voter.
    id: u64,
    is_initial_voter: bool,
    admission: Option<Admission>,
    voter: Option<Voter<LeaseStateMachine>>,
    not_voting_reason: NotVotingReason,
    /// The stored keys, which are deleted when the voter is removed. Their values are kept up to
    /// date only until it votes.
    stored: StoredKeys,
    /// The voters that were last announced or committed; the next field is their index.
    known_voters: BTreeMap<u64, String>,
    known_voters_index: u64,
    last_write: u64,
    pending_writes: VecDeque<PendingWrite>,
}

impl Replica {
    /// Restores the replica from its stored keys (those that begin with `a/`, `c/` or `s/`) and
    /// values. An initial voter with nothing stored takes the voter ID that the settings give it.
    pub fn new(
        node: &str,
        incarnation: u64,
        initial_voters: BTreeMap<u64, String>,
        stored: StoredKeys,
        out: &mut Vec<ReplicaOutput>,
    ) -> Self {
        let stored_id = stored
            .get(REPLICA_KEY)
            .and_then(|bytes| postcard::from_bytes::<(u64, bool)>(bytes).ok());
        let initial_id = voter_id_of(&initial_voters, node).map(|id| (id, true));
        let (id, is_initial_voter) = stored_id.or(initial_id).unwrap_or((0, false));
        let mut replica = Self {
            node: node.to_owned(),
            incarnation,
            known_voters: initial_voters.clone(),
            known_voters_index: 0,
            initial_voters,
            id,
            is_initial_voter,
            admission: None,
            voter: None,
            not_voting_reason: NotVotingReason::NotAVoter,
            stored,
            last_write: 0,
            pending_writes: VecDeque::new(),
        };
        if id > 0 {
            if stored_id.is_none() {
                let change = replica_change(id, is_initial_voter);
                replica.write(WriteOrigin::Replica, vec![change], out);
            }
            replica.begin_admission();
        }
        replica
    }

    fn begin_admission(&mut self) {
        let promises = self.stored_under(ADMISSION_KEY_PREFIX);
        let mut ids: Vec<u64> = self.known_voters.keys().copied().collect();
        if !ids.contains(&self.id) {
            ids.push(self.id);
        }
        let log_end = stored_log_end(&self.stored);
        let admission = Admission::new(self.id, self.incarnation, &ids, log_end, promises);
        self.admission = Some(admission);
        self.not_voting_reason = NotVotingReason::AwaitingAdmission;
    }

    fn stored_under(&self, prefix: &[u8]) -> Vec<(Vec<u8>, Vec<u8>)> {
        self.stored
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// Returns its voter ID; 0 if it is not a voter.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the voter, if it votes.
    pub fn voter(&self) -> Option<&Voter<LeaseStateMachine>> {
        self.voter.as_ref()
    }

    /// Returns whether it leads the log.
    pub fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Returns why it does not vote.
    pub fn not_voting_reason(&self) -> Option<&NotVotingReason> {
        self.voter.is_none().then_some(&self.not_voting_reason)
    }

    /// Returns the latest voters that it knows.
    pub fn voters(&self) -> VotersAt<'_> {
        match &self.voter {
            // The log of a voter that was just added is still empty, so that the announced voters
            // are used.
            Some(voter) if voter.applied_index() >= self.known_voters_index => VotersAt {
                applied_index: voter.applied_index(),
                voters: voter.voters(),
            },
            _ => VotersAt {
                applied_index: self.known_voters_index,
                voters: &self.known_voters,
            },
        }
    }

    fn write(
        &mut self,
        origin: WriteOrigin,
        changes: Vec<StorageChange>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        for change in &changes {
            match &change.value {
                Some(value) if self.voter.is_none() => {
                    self.stored.insert(change.key.clone(), value.clone());
                }
                // Once the replica votes, only the keys are needed, to delete them with the voter.
                Some(_) => {
                    self.stored.insert(change.key.clone(), Vec::new());
                }
                None => {
                    self.stored.remove(&change.key);
                }
            }
        }
        self.last_write += 1;
        let number = self.last_write;
        self.pending_writes
            .push_back(PendingWrite { number, origin });
        out.push(ReplicaOutput::Write { number, changes });
    }

    /// Records that all writes up to this number are durable.
    pub fn record_durable(&mut self, number: u64, out: &mut Vec<ReplicaOutput>) {
        while let Some(write) = self
            .pending_writes
            .pop_front_if(|write| write.number <= number)
        {
            match write.origin {
                WriteOrigin::Replica => {}
                WriteOrigin::Admission { number } => self.with_admission(
                    |admission, effects| admission.record_durable(number, effects),
                    out,
                ),
                WriteOrigin::Voter { number } => {
                    self.with_voter(|voter, outputs| voter.record_durable(number, outputs), out);
                }
            }
        }
    }

    /// Runs an action of the admission and carries out its effects.
    fn with_admission(
        &mut self,
        action: impl FnOnce(&mut Admission, &mut Vec<AdmissionEffect>),
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        let mut effects = Vec::new();
        action(admission, &mut effects);
        let verdict = admission.verdict();
        for effect in effects {
            match effect {
                AdmissionEffect::Send { to, message } => self.send_admission(to, message, out),
                AdmissionEffect::Write { number, changes } => {
                    self.write(WriteOrigin::Admission { number }, changes, out);
                }
            }
        }
        let is_waiting = self.not_voting_reason == NotVotingReason::AwaitingAdmission;
        match verdict {
            AdmissionVerdict::Admitted if self.voter.is_none() && is_waiting => {
                self.begin_voting(out);
            }
            AdmissionVerdict::PromisesLost
                if self.not_voting_reason != NotVotingReason::PromisesLost =>
            {
                self.voter = None;
                self.not_voting_reason = NotVotingReason::PromisesLost;
                out.push(ReplicaOutput::StateChanged);
            }
            _ => {}
        }
    }

    fn send_admission(&self, to: u64, message: AdmissionMessage, out: &mut Vec<ReplicaOutput>) {
        if let Some(name) = self.voters().voters.get(&to).cloned() {
            let message = Message::Admission {
                from: self.id,
                to,
                message,
            };
            out.push(ReplicaOutput::Send { to: name, message });
        }
    }

    fn begin_voting(&mut self, out: &mut Vec<ReplicaOutput>) {
        let log = self.stored_under(LOG_KEY_PREFIX);
        let initial_voters = if self.is_initial_voter {
            self.initial_voters.clone()
        } else {
            BTreeMap::new()
        };
        match Voter::new(self.id, &initial_voters, log) {
            Ok((voter, outputs)) => {
                self.voter = Some(voter);
                self.carry_out(outputs, out);
                out.push(ReplicaOutput::StateChanged);
            }
            Err(corrupt) => self.not_voting_reason = NotVotingReason::LogDamaged(corrupt.0),
        }
    }

    /// Runs an action of the voter and carries out its outputs. Returns `None` if the replica does
    /// not vote.
    fn with_voter<T>(
        &mut self,
        action: impl FnOnce(&mut Voter<LeaseStateMachine>, &mut Vec<VoterOutput>) -> T,
        out: &mut Vec<ReplicaOutput>,
    ) -> Option<T> {
        let voter = self.voter.as_mut()?;
        let mut outputs = Vec::new();
        let result = action(voter, &mut outputs);
        self.carry_out(outputs, out);
        if let Some(reason) = self.voter.as_ref().and_then(Voter::failure) {
            self.not_voting_reason = NotVotingReason::LogDamaged(reason.to_owned());
            self.voter = None;
            out.push(ReplicaOutput::StateChanged);
        }
        Some(result)
    }

    fn carry_out(&mut self, outputs: Vec<VoterOutput>, out: &mut Vec<ReplicaOutput>) {
        let mut state_changed = false;
        for output in outputs {
            match output {
                VoterOutput::Write { number, changes } => {
                    self.write(WriteOrigin::Voter { number }, changes, out);
                }
                VoterOutput::Send { to, message } => {
                    if let Some(name) = self.voters().voters.get(&to).cloned() {
                        let incarnation = self.incarnation;
                        let message = Message::Log {
                            incarnation,
                            message,
                        };
                        out.push(ReplicaOutput::Send { to: name, message });
                    }
                }
                VoterOutput::Committed { .. } | VoterOutput::SnapshotInstalled { .. } => {
                    state_changed = true;
                }
                VoterOutput::VotersChanged => {
                    state_changed = true;
                    self.update_voters();
                }
            }
        }
        if state_changed {
            out.push(ReplicaOutput::StateChanged);
        }
    }

    /// Updates the known voters from the replica's own log.
    fn update_voters(&mut self) {
        let latest = self.voters();
        let applied_index = latest.applied_index;
        let voters = latest.voters.clone();
        self.known_voters_index = applied_index;
        self.known_voters = voters;
        let ids: Vec<u64> = self.known_voters.keys().copied().collect();
        if let Some(admission) = &mut self.admission
            && ids.contains(&self.id)
        {
            admission.set_voters(&ids);
        }
    }

    /// Advances the timeouts of the log and of the admission by one tick; there are twenty ticks
    /// per second.
    pub fn tick(&mut self, out: &mut Vec<ReplicaOutput>) {
        if self.not_voting_reason == NotVotingReason::AwaitingAdmission {
            self.with_admission(Admission::tick, out);
        }
        self.with_voter(Voter::tick, out);
        // The replica's own log may show that it was removed.
        let latest = self.voters();
        let was_removed = !latest.voters.contains_key(&self.id) && latest.applied_index > 1;
        if self.id > 0 && self.voter.is_some() && was_removed {
            self.reset(0, out);
        }
    }

    /// Handles an admission message from another voter.
    pub fn receive_admission(
        &mut self,
        from: u64,
        to: u64,
        message: AdmissionMessage,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if to == self.id {
            self.with_admission(
                |admission, effects| admission.receive(from, message, effects),
                out,
            );
        }
    }

    /// Handles a message of the log from another voter. It is dropped while the start of the
    /// sender's incarnation is not known: the sender may have lost promises, and has to announce
    /// its start first.
    pub fn receive_log(
        &mut self,
        from: u64,
        incarnation: u64,
        message: &[u8],
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        if !admission.knows(from, incarnation) {
            self.send_admission(from, AdmissionMessage::AnnounceAgain, out);
            return;
        }
        let promise = message_promise(message);
        admission.record_promise(from, promise.term, promise.index);
        self.with_voter(|voter, outputs| voter.receive(message, outputs), out);
    }

    /// Records that messages to and from a node may have been lost.
    pub fn peer_reconnected(&mut self, node: &str, out: &mut Vec<ReplicaOutput>) {
        let peer = voter_id_of(self.voters().voters, node);
        if let Some(peer) = peer.filter(|peer| *peer != self.id) {
            self.with_voter(|voter, outputs| voter.peer_reconnected(peer, outputs), out);
        }
    }

    /// Proposes a command to the log.
    ///
    /// # Errors
    ///
    /// If the proposal is rejected without an attempt.
    pub fn propose(
        &mut self,
        command: &Command,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ProposalRejected> {
        let entry = postcard::to_stdvec(command).unwrap_or_default();
        self.with_voter(|voter, outputs| voter.propose(entry, outputs), out)
            .unwrap_or(Err(ProposalRejected::NoLeader))
    }

    /// Proposes a change of the voters.
    ///
    /// # Errors
    ///
    /// If the proposal is rejected without an attempt.
    pub fn propose_membership_change(
        &mut self,
        change: &MembershipChange,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ProposalRejected> {
        self.with_voter(
            |voter, outputs| voter.propose_membership_change(change, outputs),
            out,
        )
        .unwrap_or(Err(ProposalRejected::NoLeader))
    }

    /// Records the voters that another node has announced, unless the replica knows later ones.
    pub fn voters_announced(
        &mut self,
        applied_index: u64,
        voters: BTreeMap<u64, String>,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if applied_index <= self.voters().applied_index {
            return;
        }
        let own_id = voter_id_of(&voters, &self.node);
        let ids: Vec<u64> = voters.keys().copied().collect();
        self.known_voters_index = applied_index;
        self.known_voters = voters;
        match own_id {
            Some(id) if id == self.id => {
                if let Some(admission) = self.admission.as_mut().filter(|_| self.voter.is_none()) {
                    admission.set_voters(&ids);
                }
            }
            // The node has been added under a new voter ID. IDs only increase, so that a late
            // message cannot bring back an earlier one.
            Some(id) if id > self.id => self.reset(id, out),
            Some(_) => {}
            None if self.id > 0 => self.reset(0, out),
            None => {}
        }
    }

    /// Deletes the log and the admission state of the present voter. `next_id` is the new voter ID
    /// of the node, 0 if it is no longer a voter.
    fn reset(&mut self, next_id: u64, out: &mut Vec<ReplicaOutput>) {
        self.voter = None;
        self.admission = None;
        // The starts of other voters that it had confirmed are deleted as well; those voters
        // announce them again on request.
        let is_removed =
            |key: &[u8]| key.starts_with(LOG_KEY_PREFIX) || key.starts_with(ADMISSION_KEY_PREFIX);
        let removed = self.stored.keys().filter(|key| is_removed(key));
        let mut changes: Vec<StorageChange> = removed
            .map(|key| StorageChange {
                key: key.clone(),
                value: None,
            })
            .collect();
        changes.push(replica_change(next_id, false));
        self.pending_writes.clear();
        self.id = next_id;
        self.is_initial_voter = false;
        self.not_voting_reason = NotVotingReason::Removed;
        self.write(WriteOrigin::Replica, changes, out);
        if next_id > 0 {
            self.begin_admission();
        }
        out.push(ReplicaOutput::StateChanged);
    }
}

fn replica_change(id: u64, is_initial_voter: bool) -> StorageChange {
    StorageChange {
        key: REPLICA_KEY.to_vec(),
        value: postcard::to_stdvec(&(id, is_initial_voter)).ok(),
    }
}

//! Proposals to the leader: entries of the log, and changes of the voters.

use crate::StateMachine;
use crate::voter::{MAX_PENDING_READIES, MAX_VOTERS, MIN_VOTERS, Output, Voter};
use raft::eraftpb::{ConfChange, ConfChangeType};

/// Maximum size of an entry, in bytes. Keeps a message with one entry well below the size limit of
/// messages between nodes.
pub const MAX_ENTRY_BYTES: usize = 256 << 10;

/// Why a proposal was rejected. The entry or change has not been appended to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposalRejected {
    /// The entry is longer than [`MAX_ENTRY_BYTES`].
    #[error("the entry is longer than {MAX_ENTRY_BYTES} bytes")]
    TooLong,
    /// Too much waits for the disk or for its commit, or leadership is being transferred.
    #[error("too many entries are waiting to be stored or committed")]
    Busy,
    /// This voter knows of no leader.
    #[error("no leader is known")]
    NoLeader,
    /// The voter with this number is the leader; the change has to be proposed there.
    #[error("voter {0} is the leader")]
    NotLeader(u64),
    /// Another membership change is in progress, or leadership is being transferred so that this
    /// voter can be removed.
    #[error("another change of the voters is in progress")]
    ChangePending,
    /// The number of voters would fall below two or exceed seven.
    #[error("there must be {MIN_VOTERS} to {MAX_VOTERS} voters")]
    VoterCount,
    /// This process has stopped voting, for the reason that [`Voter::failure`] returns.
    #[error("this process has stopped voting after a failure")]
    VoterFailed,
}

/// A change of the voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// Makes the node with this name a voter, with a number that no voter has ever had.
    Add(String),
    /// Removes the voter with this number.
    Remove(u64),
}

impl<S: StateMachine> Voter<S> {
    /// Proposes an entry. Success does not mean that the entry will be committed: it may be lost,
    /// and it may be committed twice if it is proposed again. [`Output::Committed`] reports the
    /// commit.
    ///
    /// # Errors
    ///
    /// [`ProposalRejected`] if the entry has not been proposed.
    pub fn propose(
        &mut self,
        entry: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<(), ProposalRejected> {
        if entry.len() > MAX_ENTRY_BYTES {
            return Err(ProposalRejected::TooLong);
        }
        self.check_can_propose()?;
        let mut proposed = false;
        self.run_guarded(|raft| proposed = raft.propose(Vec::new(), entry).is_ok());
        self.process_ready(out);
        if proposed {
            Ok(())
        } else {
            Err(ProposalRejected::Busy)
        }
    }

    /// Proposes a change of the voters. It is in effect once [`Voter::voters`] shows it. Only the
    /// leader accepts changes, one at a time. Succeeds without a proposal if the change is already
    /// in effect.
    ///
    /// # Errors
    ///
    /// [`ProposalRejected`] if the change has not been proposed.
    pub fn propose_membership_change(
        &mut self,
        change: &MembershipChange,
        out: &mut Vec<Output>,
    ) -> Result<(), ProposalRejected> {
        self.check_can_propose()?;
        if !self.is_leader() {
            return Err(self
                .leader()
                .map_or(ProposalRejected::NoLeader, ProposalRejected::NotLeader));
        }
        if self.raft.raft.has_pending_conf() {
            return Err(ProposalRejected::ChangePending);
        }
        match change {
            MembershipChange::Add(node) => self.propose_addition(node, out),
            MembershipChange::Remove(voter) => self.propose_removal(*voter, out),
        }
    }

    fn propose_addition(
        &mut self,
        node: &str,
        out: &mut Vec<Output>,
    ) -> Result<(), ProposalRejected> {
        let voters = self.voters();
        if voters.len() >= MAX_VOTERS {
            return Err(ProposalRejected::VoterCount);
        }
        if voters.values().any(|name| name == node) {
            return Ok(());
        }
        let mut change = ConfChange::default();
        change.set_change_type(ConfChangeType::AddNode);
        change.node_id = self.raft.store().snapshot.highest_voter_id + 1;
        self.propose_conf_change(node, change, out)
    }

    fn propose_removal(
        &mut self,
        voter: u64,
        out: &mut Vec<Output>,
    ) -> Result<(), ProposalRejected> {
        let voters = self.voters();
        if !voters.contains_key(&voter) {
            return Ok(());
        }
        if voters.len() <= MIN_VOTERS {
            return Err(ProposalRejected::VoterCount);
        }
        if voter == self.id() {
            // Leadership is transferred first; the next leader can then remove this voter.
            let other = voters
                .keys()
                .copied()
                .find(|id| *id != voter)
                .unwrap_or_default();
            self.run_guarded(|raft| raft.transfer_leader(other));
            self.process_ready(out);
            return Err(ProposalRejected::ChangePending);
        }
        let mut change = ConfChange::default();
        change.set_change_type(ConfChangeType::RemoveNode);
        change.node_id = voter;
        self.propose_conf_change("", change, out)
    }

    fn propose_conf_change(
        &mut self,
        node: &str,
        change: ConfChange,
        out: &mut Vec<Output>,
    ) -> Result<(), ProposalRejected> {
        let context = node.as_bytes().to_vec();
        let mut proposed = false;
        self.run_guarded(|raft| proposed = raft.propose_conf_change(context, change).is_ok());
        self.process_ready(out);
        if proposed {
            Ok(())
        } else {
            Err(ProposalRejected::Busy)
        }
    }

    fn check_can_propose(&self) -> Result<(), ProposalRejected> {
        if self.failure().is_some() {
            return Err(ProposalRejected::VoterFailed);
        }
        if self.gate.pending_count() >= MAX_PENDING_READIES {
            return Err(ProposalRejected::Busy);
        }
        match self.leader() {
            Some(_) => Ok(()),
            None => Err(ProposalRejected::NoLeader),
        }
    }
}

//! Proposals of a voter: entries of the log, and changes of the voters.

use crate::StateMachine;
use crate::voter::{MAX_PENDING_READIES, MAX_VOTERS, MIN_VOTERS, Output, Voter};
use raft::eraftpb::{ConfChange, ConfChangeType};

/// Maximum size of an entry, in bytes. It keeps one entry well below the limit of a message between
/// nodes.
pub const MAX_ENTRY_BYTES: usize = 256 << 10;

/// Why a proposal is rejected without an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposalRejected {
    /// The entry is longer than [`MAX_ENTRY_BYTES`].
    #[error("it is too long")]
    TooLong,
    /// Too much waits for the disk or to be committed.
    #[error("too much waits for the disk or to be decided")]
    Busy,
    /// This voter knows of no leader.
    #[error("no voter leads")]
    NoLeader,
    /// The voter of this number leads and is to be asked.
    #[error("voter {0} leads")]
    NotLeader(u64),
    /// Another membership change is in progress.
    #[error("another change of the voters is not decided yet")]
    ChangePending,
    /// The number of voters would be outside two to seven.
    #[error("two to seven nodes vote")]
    VoterCount,
    /// The library has found its log inconsistent; this process votes no more.
    #[error("the log of this process is at its end")]
    VoterFailed,
}

/// A change of the voters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// The node of this name becomes a voter, with a number that no voter ever had.
    Add(String),
    /// The voter of this number votes no more.
    Remove(u64),
}

impl<S: StateMachine> Voter<S> {
    /// Proposes an entry. Success does not mean that the entry will be committed: it may be lost,
    /// and it may be committed twice if it is proposed again. [`Output::Committed`] reports the
    /// commit.
    ///
    /// # Errors
    ///
    /// If the proposal is rejected without an attempt.
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

    /// Proposes a change of the voters, which holds once [`Voter::voters`] shows it. Only the
    /// leader makes changes, one at a time. A change that holds already succeeds.
    ///
    /// # Errors
    ///
    /// If the change is rejected without an attempt.
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
            // Another voter has to lead first and removes this one then.
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

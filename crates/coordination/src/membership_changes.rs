//! Changes of the voters: those that are requested at this node, and those that it carries out as
//! the leader.
//!
//! Each turn compares the present voters with the requested change and takes the next step. A new
//! leader or a lost message therefore only delays a change.

use crate::coordinator::{Coordinator, Event, Output};
use crate::error::Error;
use crate::message::Message;
use crate::timing::{CALL_RETRY_INTERVAL_MS, CALL_TIMEOUT_MS};
use crate::voters::voter_id_of;
use postproxy_leases::MAX_NAME_BYTES;
use postproxy_replicated_log::{MembershipChange, ProposalRejected};
use std::collections::BTreeMap;

/// Whether a node is to become a voter or to be removed from the voters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VoterAction {
    /// The node is to become a voter.
    Add,
    /// The node is to be removed from the voters.
    Remove,
}

/// A membership change that was requested at this node and that it requests from the leader.
#[derive(Clone)]
pub struct RequestedChange {
    action: VoterAction,
    node: String,
    /// When it was last requested from the leader, in milliseconds; 0 if not yet.
    sent_at: u64,
    /// When it fails if it is not complete by then, in milliseconds.
    deadline: u64,
}

/// Who has requested a membership change and receives its result.
#[derive(Clone, Eq, PartialEq)]
pub struct ChangeRequester {
    /// The name of the node; `None` for the leader itself.
    node: Option<String>,
    /// The ticket that this node has given the change.
    ticket: u64,
}

/// A membership change that this node carries out as the leader.
pub struct MembershipChangeInProgress {
    requester: ChangeRequester,
    action: VoterAction,
    node: String,
    /// When it fails if it is not complete by then, in milliseconds.
    deadline: u64,
}

impl Coordinator {
    /// Makes a node a voter, or removes it. `ticket` identifies the change:
    /// [`Event::MembershipChangeCompleted`] reports the result with it.
    pub fn change_membership(
        &mut self,
        now: u64,
        ticket: u64,
        action: VoterAction,
        node: &str,
        out: &mut Vec<Output>,
    ) {
        if node.is_empty() || node.len() > MAX_NAME_BYTES {
            return out.push(Output::Event(Event::MembershipChangeCompleted {
                ticket,
                result: Err(Error::InvalidName),
            }));
        }
        let change = RequestedChange {
            action,
            node: node.to_owned(),
            sent_at: 0,
            deadline: now + CALL_TIMEOUT_MS,
        };
        self.requested_changes.insert(ticket, change);
        self.advance_membership_changes(now, out);
    }

    /// Handles a request of another node for a membership change.
    pub(crate) fn handle_change_request(
        &mut self,
        now: u64,
        from: &str,
        ticket: u64,
        add: bool,
        node: String,
        out: &mut Vec<Output>,
    ) {
        let action = if add {
            VoterAction::Add
        } else {
            VoterAction::Remove
        };
        let requester = ChangeRequester {
            node: Some(from.to_owned()),
            ticket,
        };
        self.begin_change(now, requester, action, node, out);
    }

    /// Begins a change if this node leads; otherwise names the leader to the requester. If no
    /// leader is known, nothing is sent, and the requester retries.
    fn begin_change(
        &mut self,
        now: u64,
        requester: ChangeRequester,
        action: VoterAction,
        node: String,
        out: &mut Vec<Output>,
    ) {
        if !self.replica.is_leader() {
            if let Some(leader) = self.other_leader() {
                self.report_change(&requester, Err(Error::NotLeader(leader)), out);
            }
            return;
        }
        let is_known = self
            .changes_in_progress
            .iter()
            .any(|change| change.requester == requester);
        if !is_known {
            self.changes_in_progress.push(MembershipChangeInProgress {
                requester,
                action,
                node,
                deadline: now + CALL_TIMEOUT_MS,
            });
        }
    }

    /// Returns the leader if it is another node.
    fn other_leader(&self) -> Option<String> {
        self.leader()
            .filter(|leader| **leader != self.settings.node)
            .cloned()
    }

    fn report_change(
        &mut self,
        requester: &ChangeRequester,
        result: Result<(), Error>,
        out: &mut Vec<Output>,
    ) {
        let ticket = requester.ticket;
        match &requester.node {
            Some(to) => {
                let message = Message::MembershipChangeCompleted { ticket, result };
                self.send(to, &message, out);
            }
            None => self.complete_requested_change(ticket, result, out),
        }
    }

    /// Completes a change that was requested at this node.
    pub(crate) fn complete_requested_change(
        &mut self,
        ticket: u64,
        result: Result<(), Error>,
        out: &mut Vec<Output>,
    ) {
        match result {
            // The change is requested again, from this leader, until its deadline.
            Err(Error::NotLeader(leader)) if self.requested_changes.contains_key(&ticket) => {
                self.follower_snapshot.leader = Some(leader);
            }
            result => {
                if self.requested_changes.remove(&ticket).is_some() {
                    let event = Event::MembershipChangeCompleted { ticket, result };
                    out.push(Output::Event(event));
                }
            }
        }
    }

    /// Takes the next step of all membership changes.
    pub(crate) fn advance_membership_changes(&mut self, now: u64, out: &mut Vec<Output>) {
        for (ticket, change) in self.requested_changes.clone() {
            if change.deadline <= now {
                let error = self.no_majority_error(now);
                self.complete_requested_change(ticket, Err(error), out);
            } else if change.sent_at + CALL_RETRY_INTERVAL_MS <= now {
                self.send_change_request(now, ticket, change, out);
            }
        }
        for change in std::mem::take(&mut self.changes_in_progress) {
            match self.advance_change(now, &change, out) {
                Some(result) => self.report_change(&change.requester, result, out),
                None if change.deadline <= now => {
                    let error = self.no_majority_error(now);
                    self.report_change(&change.requester, Err(error), out);
                }
                None => self.changes_in_progress.push(change),
            }
        }
    }

    /// Requests a change from the leader, or from any voter if this node does not vote and knows no
    /// leader. A voter that knows of no other leader tries to begin the change itself.
    fn send_change_request(
        &mut self,
        now: u64,
        ticket: u64,
        change: RequestedChange,
        out: &mut Vec<Output>,
    ) {
        if let Some(requested) = self.requested_changes.get_mut(&ticket) {
            requested.sent_at = now;
        }
        let mut to = self.other_leader();
        if to.is_none() && !self.is_voter() {
            to = self.next_voter_to_ask();
        }
        let RequestedChange { action, node, .. } = change;
        match to {
            Some(to) => {
                let add = action == VoterAction::Add;
                let message = Message::MembershipChangeRequested { ticket, add, node };
                self.send(&to, &message, out);
            }
            None => {
                let requester = ChangeRequester { node: None, ticket };
                self.begin_change(now, requester, action, node, out);
            }
        }
    }

    /// Takes the next step of a change as the leader. Returns its result, if it is complete.
    fn advance_change(
        &mut self,
        now: u64,
        change: &MembershipChangeInProgress,
        out: &mut Vec<Output>,
    ) -> Option<Result<(), Error>> {
        let voters = self.replica.voter()?.voters().clone();
        let proposal = match self.next_proposal(now, &voters, change) {
            Ok(Some(proposal)) => proposal,
            Ok(None) => return Some(Ok(())),
            Err(error) => return Some(Err(error)),
        };
        let mut replica_outputs = Vec::new();
        let proposed = self
            .replica
            .propose_membership_change(&proposal, &mut replica_outputs);
        self.carry_out(now, replica_outputs, out);
        match proposed {
            Err(ProposalRejected::VoterCount) => Some(Err(Error::VoterCount)),
            Err(ProposalRejected::NotLeader(leader)) => Some(Err(voters
                .get(&leader)
                .cloned()
                .map_or(Error::NoVoters, Error::NotLeader))),
            // The change is complete once the voters show it. A proposal that was not possible, or
            // was lost, is made again in a later turn.
            Ok(()) | Err(_) => None,
        }
    }

    /// Returns what is to be proposed next for a change; `None` if the voters already show it.
    fn next_proposal(
        &self,
        now: u64,
        voters: &BTreeMap<u64, String>,
        change: &MembershipChangeInProgress,
    ) -> Result<Option<MembershipChange>, Error> {
        let id = voter_id_of(voters, &change.node);
        let (proposal, count) = match (change.action, id) {
            (VoterAction::Add, Some(id)) if !self.promises_lost.contains(&id) => return Ok(None),
            (VoterAction::Remove, None) => return Ok(None),
            // A voter that has lost its promises is removed first and then added under a new ID.
            (VoterAction::Add | VoterAction::Remove, Some(id)) => {
                (MembershipChange::Remove(id), voters.len() - 1)
            }
            (VoterAction::Add, None) => {
                (MembershipChange::Add(change.node.clone()), voters.len() + 1)
            }
        };
        let live = self.count_live_voters(now, voters, id);
        if live * 2 <= count {
            return Err(Error::WouldLoseMajority { live, total: count });
        }
        Ok(Some(proposal))
    }

    /// Returns how many voters other than `excluded` are alive and have not lost their promises.
    fn count_live_voters(
        &self,
        now: u64,
        voters: &BTreeMap<u64, String>,
        excluded: Option<u64>,
    ) -> usize {
        let is_live = |id: &u64| {
            let is_self = *id == self.replica.id();
            is_self || self.is_recently_heard(now, *id) && !self.promises_lost.contains(id)
        };
        voters
            .keys()
            .filter(|id| Some(**id) != excluded && is_live(id))
            .count()
    }
}

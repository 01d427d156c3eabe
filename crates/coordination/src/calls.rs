//! Calls to the log: those of this node with their retries, and those of other nodes that this
//! voter proposes for them.

use crate::coordinator::{Coordinator, Event, Output};
use crate::error::Error;
use crate::message::Message;
use crate::timing::{CALL_RETRY_INTERVAL_MS, CALL_TIMEOUT_MS, RENEWAL_TIMEOUT_MS};
use postproxy_leases::{Command, LeaseClaim, Operation, Response};
use std::collections::VecDeque;

/// Maximum number of calls of this node that wait behind the pending one.
pub const MAX_QUEUED_CALLS: usize = 64;

/// Maximum number of calls of other nodes that are proposed and not committed; bounds the memory
/// for them.
pub const MAX_FORWARDED_CALLS: usize = 4096;

/// A call that waits until no other call of this node is pending.
pub struct QueuedCall {
    /// The caller's ticket; 0 if no caller waits for the result.
    pub ticket: u64,
    pub operation: Operation,
    /// When it fails if it has no result by then, in milliseconds.
    pub deadline: u64,
}

/// The call that waits for its result.
pub struct PendingCall {
    /// The caller's ticket; 0 if no caller waits for the result.
    ticket: u64,
    pub command: Command,
    /// When it was first sent, in milliseconds; a lease that it grants or renews counts from then.
    requested_at: u64,
    /// When it was last sent, in milliseconds.
    sent_at: Option<u64>,
    /// When it fails if it has no result by then, in milliseconds.
    deadline: u64,
}

/// Identifies a call across all nodes.
#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId {
    node: String,
    incarnation: u64,
    sequence: u64,
}

impl Coordinator {
    /// Queues an operation, to be proposed to the log. `ticket` identifies the call:
    /// [`Event::CallCompleted`] reports the result with it. It must be above 0.
    pub fn call(&mut self, now: u64, ticket: u64, operation: Operation, out: &mut Vec<Output>) {
        if self.queued_calls.len() >= MAX_QUEUED_CALLS {
            return out.push(Output::Event(Event::CallCompleted {
                ticket,
                result: Err(Error::Busy),
            }));
        }
        if let Operation::Release { lease, token } = &operation {
            self.give_up_lease(now, lease, *token, out);
        }
        self.queued_calls.push_back(QueuedCall {
            ticket,
            operation,
            deadline: now + CALL_TIMEOUT_MS,
        });
        self.advance_calls(now, out);
    }

    /// Fails the calls past their deadlines, starts the next one if none is pending, and sends the
    /// pending one again if a retry is due.
    pub(crate) fn advance_calls(&mut self, now: u64, out: &mut Vec<Output>) {
        self.fail_overdue_calls(now, out);
        if self.pending_call.is_none() {
            let Some(next) = self.next_call(now) else {
                return;
            };
            self.pending_call = Some(self.begin_call(now, next));
        }
        self.send_pending_call(now, out);
    }

    fn fail_overdue_calls(&mut self, now: u64, out: &mut Vec<Output>) {
        if let Some(call) = self.pending_call.take_if(|call| call.deadline <= now) {
            self.report_call(call.ticket, Err(self.no_majority_error(now)), out);
        }
        // Queued calls have deadlines too.
        let (overdue, remaining): (VecDeque<_>, VecDeque<_>) = self
            .queued_calls
            .drain(..)
            .partition(|call| call.deadline <= now);
        self.queued_calls = remaining;
        for call in overdue {
            self.report_call(call.ticket, Err(self.no_majority_error(now)), out);
        }
    }

    /// Returns the next call to start. A renewal that is due precedes all queued calls.
    fn next_call(&mut self, now: u64) -> Option<QueuedCall> {
        if self.holder.renew_at().is_some_and(|at| at <= now) {
            let claims = self.holder.claims();
            return Some(QueuedCall {
                ticket: 0,
                operation: Operation::Renew { claims },
                deadline: now + RENEWAL_TIMEOUT_MS,
            });
        }
        let mut next = self.queued_calls.pop_front()?;
        // However long the call has been queued, there is time for one attempt.
        next.deadline = next.deadline.max(now + CALL_RETRY_INTERVAL_MS);
        Some(next)
    }

    fn begin_call(&mut self, now: u64, call: QueuedCall) -> PendingCall {
        self.call_sequence += 1;
        let command = Command {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            sequence: self.call_sequence,
            operation: call.operation,
        };
        PendingCall {
            ticket: call.ticket,
            command,
            requested_at: now,
            sent_at: None,
            deadline: call.deadline,
        }
    }

    /// Proposes the pending call, or sends it to a voter if this node does not vote, unless it was
    /// sent within the retry interval.
    fn send_pending_call(&mut self, now: u64, out: &mut Vec<Output>) {
        let Some(call) = &mut self.pending_call else {
            return;
        };
        if call
            .sent_at
            .is_some_and(|at| at + CALL_RETRY_INTERVAL_MS > now)
        {
            return;
        }
        call.sent_at = Some(now);
        let command = call.command.clone();
        if self.is_voter() {
            self.propose(now, &command, out);
        } else if let Some(to) = self.next_voter_to_ask() {
            self.send(&to, &Message::Call(command), out);
        }
    }

    /// Proposes a command. A rejected proposal is not reported: the node that makes the call
    /// retries it.
    pub(crate) fn propose(&mut self, now: u64, command: &Command, out: &mut Vec<Output>) {
        let mut replica_outputs = Vec::new();
        let _ = self.replica.propose(command, &mut replica_outputs);
        self.carry_out(now, replica_outputs, out);
    }

    /// Returns the error of a call that was not committed in time.
    pub(crate) fn no_majority_error(&self, now: u64) -> Error {
        if self.voters().is_empty() {
            return Error::NoVoters;
        }
        let silent = self
            .voters()
            .iter()
            .filter(|(id, name)| **name != self.settings.node && !self.is_recently_heard(now, **id))
            .map(|(_, name)| name.clone());
        Error::NoMajority(silent.collect())
    }

    fn report_call(&self, ticket: u64, result: Result<Response, Error>, out: &mut Vec<Output>) {
        if ticket > 0 {
            out.push(Output::Event(Event::CallCompleted { ticket, result }));
        }
    }

    /// Completes the pending call if the committed state contains its response.
    pub(crate) fn complete_committed_call(&mut self, now: u64, out: &mut Vec<Output>) {
        let Some(call) = &self.pending_call else {
            return;
        };
        let Command {
            node,
            incarnation,
            sequence,
            ..
        } = &call.command;
        let sequence = *sequence;
        let response = self
            .lease_table()
            .response_to(node, *incarnation, sequence)
            .cloned();
        if let Some(response) = response {
            self.complete_call(now, sequence, response, out);
        }
    }

    /// Completes the pending call if it has this sequence number, and starts the next one.
    pub(crate) fn complete_call(
        &mut self,
        now: u64,
        sequence: u64,
        response: Response,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self
            .pending_call
            .take_if(|call| call.command.sequence == sequence)
        else {
            return;
        };
        match (&call.command.operation, &response) {
            (Operation::Acquire { lease }, Response::Granted { token, value }) => {
                self.acquire_at.remove(lease);
                self.holder.record_grant(call.requested_at, lease, *token);
                out.push(Output::Event(Event::LeaseAcquired {
                    lease: lease.clone(),
                    token: *token,
                    value: value.clone(),
                }));
            }
            (Operation::Renew { claims }, Response::Renewed { renewed, lost }) => {
                for claim in claims {
                    if lost.contains(&claim.lease) {
                        self.give_up_lease(now, &claim.lease, claim.token, out);
                    } else if let Some(renewed) =
                        renewed.iter().find(|renewed| renewed.lease == claim.lease)
                    {
                        self.holder
                            .record_grant(call.requested_at, &claim.lease, claim.token);
                        if let Some(next_owner) = &renewed.next_owner {
                            self.transfer_lease(now, claim, next_owner, out);
                        }
                    }
                }
            }
            _ => {}
        }
        let result = match response {
            Response::Rejected(rejection) => Err(Error::Rejected(rejection)),
            response => Ok(response),
        };
        self.report_call(call.ticket, result, out);
        self.advance_calls(now, out);
    }

    /// Gives up a lease and transfers it to the node that an operator has chosen as its next owner.
    fn transfer_lease(
        &mut self,
        now: u64,
        claim: &LeaseClaim,
        next_owner: &str,
        out: &mut Vec<Output>,
    ) {
        self.give_up_lease(now, &claim.lease, claim.token, out);
        let operation = Operation::Transfer {
            lease: claim.lease.clone(),
            token: Some(claim.token),
            to: next_owner.to_owned(),
        };
        self.queued_calls.push_front(QueuedCall {
            ticket: 0,
            operation,
            deadline: now + CALL_TIMEOUT_MS,
        });
    }

    /// Proposes a call of another node, or answers it if it is committed already.
    pub(crate) fn forward_call(
        &mut self,
        now: u64,
        from: &str,
        command: Command,
        out: &mut Vec<Output>,
    ) {
        if command.node != from
            || matches!(command.operation, Operation::Expire { .. })
            || !self.is_voter()
        {
            return;
        }
        let id = CallId {
            node: command.node.clone(),
            incarnation: command.incarnation,
            sequence: command.sequence,
        };
        if let Some(response) = self.committed_response(&id) {
            self.answer_call(&id, response, out);
        } else if self.forwarded_calls.len() < MAX_FORWARDED_CALLS {
            self.forwarded_calls.insert(id);
            self.propose(now, &command, out);
        }
    }

    fn committed_response(&self, id: &CallId) -> Option<Response> {
        self.lease_table()
            .response_to(&id.node, id.incarnation, id.sequence)
            .cloned()
    }

    fn answer_call(&self, id: &CallId, response: Response, out: &mut Vec<Output>) {
        let message = Message::CallCompleted {
            incarnation: id.incarnation,
            sequence: id.sequence,
            response,
        };
        self.send(&id.node, &message, out);
    }

    /// Answers the calls of other nodes that have been committed.
    pub(crate) fn answer_forwarded_calls(&mut self, out: &mut Vec<Output>) {
        let mut forwarded = std::mem::take(&mut self.forwarded_calls);
        forwarded.retain(|id| match self.committed_response(id) {
            Some(response) => {
                self.answer_call(id, response, out);
                false
            }
            None => true,
        });
        self.forwarded_calls = forwarded;
    }
}

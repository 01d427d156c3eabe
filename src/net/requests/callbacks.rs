//! Workers' call-backs: the attempt that each belongs to, and what it changes.

use super::durability::Durability;
use super::in_flight::{Attempt, AttemptKey, CoalescedWaiter};
use super::manager::RequestManager;
use crate::decision::interface::{Event, Outcome, ProgressNote, RequestId};
use crate::net::messages::{Answer, CallbackState, ClientId, Command, WorkerCallback, WriteWaiter};
use postproxy_idempotency::{Completion, LateCallback, Resolution, Write};

/// When a call-back is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Acknowledgement {
    /// At once.
    Immediate,
    /// When what it has changed is durable: the worker then forgets the request.
    AfterWrite,
}

impl RequestManager {
    /// Handles a call-back. If its request is not in flight here, the siblings are asked first.
    pub(super) fn handle_callback_received(
        &mut self,
        now: f64,
        client: ClientId,
        callback: WorkerCallback,
        out: &mut Vec<Command>,
    ) {
        if self.siblings_linked && !self.requests_by_id.contains_key(&callback.id) {
            out.push(Command::ForwardCallback { client, callback });
        } else {
            self.handle_callback(now, client, callback, out);
        }
    }

    /// Handles a call-back whose request is in flight here or at no sibling. If it has migrated
    /// once more since the siblings were asked, the acknowledgement is negative, and the sibling
    /// that asked looks the request up again.
    pub(super) fn handle_callback(
        &mut self,
        now: f64,
        client: ClientId,
        callback: WorkerCallback,
        out: &mut Vec<Command>,
    ) {
        let request = self.requests_by_id.get(&callback.id).copied();
        let acknowledgement = match request {
            Some(request) => self.apply_callback(now, client, request, callback, out),
            None => self.apply_late_callback(now, client, callback, out),
        };
        if acknowledgement == Acknowledgement::Immediate {
            out.push(Command::AcknowledgeCallback {
                client,
                known: request.is_some(),
            });
        }
    }

    /// Applies a call-back about a request in flight.
    fn apply_callback(
        &mut self,
        now: f64,
        client: ClientId,
        request: RequestId,
        callback: WorkerCallback,
        out: &mut Vec<Command>,
    ) -> Acknowledgement {
        let Some(key) = self.attempt_of_callback(request, &callback) else {
            return Acknowledgement::Immediate;
        };
        let returned = callback.state == CallbackState::Returned;
        let (outcome, mut records) = match callback.state {
            CallbackState::Started => return self.push_note(key, ProgressNote::Started),
            CallbackState::Running(share) => {
                return self.push_note(key, ProgressNote::Progress(share));
            }
            CallbackState::Unknown => return self.push_note(key, ProgressNote::Unknown),
            CallbackState::Done(result) => {
                let records = self.record_result(now, request, &result);
                self.answer_request(request, Answer::Served(result), out);
                (Outcome::Succeeded, records)
            }
            CallbackState::Failed => (Outcome::Error, Vec::new()),
            CallbackState::Returned => (Outcome::Rejected, Vec::new()),
            CallbackState::Lost => (Outcome::Reset, Vec::new()),
        };
        if let Some(in_flight) = self.requests.get_mut(&request) {
            in_flight.attempts[key.attempt as usize].returned = returned;
        }
        // The records of the attempt's end join the same batch, so that the acknowledgement waits
        // for them as well.
        let queued_before = self.pending_writes.len();
        self.record_attempt_end(now, key, outcome, &callback.load);
        let records_of_end = self.pending_writes.drain(queued_before..);
        records.extend(records_of_end.flat_map(|write| write.records));
        self.acknowledge_after(records, client, callback.id)
    }

    /// Returns the attempt that a call-back is about; `None` if it is about none that is still
    /// open.
    ///
    /// A worker has at most one open attempt of a request. A call-back from before that attempt was
    /// written is about an earlier one.
    fn attempt_of_callback(
        &self,
        request: RequestId,
        callback: &WorkerCallback,
    ) -> Option<AttemptKey> {
        let worker = self.workers.find(&callback.from)?;
        let attempts = &self.requests.get(&request)?.attempts;
        let is_open =
            |attempt: &Attempt| attempt.worker == worker && attempt.written && !attempt.ended;
        let number = attempts.iter().position(is_open)?;
        // A worker repeats its call-back until it is acknowledged. A second `returned` may thus be
        // about an earlier attempt, while this one runs.
        let was_returned = |attempt: &Attempt| attempt.worker == worker && attempt.returned;
        if callback.state == CallbackState::Returned && attempts[..number].iter().any(was_returned)
        {
            return None;
        }
        Some(AttemptKey {
            request,
            attempt: number as u16,
        })
    }

    /// Informs the dispatcher of an attempt's progress.
    fn push_note(&mut self, key: AttemptKey, note: ProgressNote) -> Acknowledgement {
        self.dispatcher_events.push_back(Event::AttemptProgress {
            request: key.request,
            attempt: key.attempt,
            note,
        });
        Acknowledgement::Immediate
    }

    /// Returns the records of a result, if its request is recorded.
    fn record_result(&mut self, now: f64, request: RequestId, result: &[u8]) -> Vec<Write> {
        match (&mut self.durability, self.requests.get(&request)) {
            (Some(policy), Some(in_flight)) if in_flight.durability != Durability::None => policy
                .request_log
                .record_served(now, &in_flight.payload.id, result),
            _ => Vec::new(),
        }
    }

    /// Queues the records that a call-back has changed; the acknowledgement waits for them, if
    /// there are any.
    fn acknowledge_after(
        &mut self,
        records: Vec<Write>,
        client: ClientId,
        request_id: String,
    ) -> Acknowledgement {
        if records.is_empty() {
            return Acknowledgement::Immediate;
        }
        self.queue_write(records, WriteWaiter::Callback { client, request_id });
        Acknowledgement::AfterWrite
    }

    /// Applies a call-back about a request that was sent before a restart, or that is complete.
    fn apply_late_callback(
        &mut self,
        now: f64,
        client: ClientId,
        callback: WorkerCallback,
        out: &mut Vec<Command>,
    ) -> Acknowledgement {
        let Some(policy) = &mut self.durability else {
            return Acknowledgement::Immediate;
        };
        let completion = match &callback.state {
            CallbackState::Done(result) => Completion::Done(result),
            CallbackState::Failed | CallbackState::Lost => Completion::Failed,
            CallbackState::Returned => Completion::Returned,
            CallbackState::Started | CallbackState::Running(_) | CallbackState::Unknown => {
                return Acknowledgement::Immediate;
            }
        };
        let LateCallback {
            resolution,
            writes: records,
        } = policy
            .request_log
            .resolve_late_callback(now, &callback.id, &callback.from, completion);
        let acknowledgement = self.acknowledge_after(records, client, callback.id.clone());
        if resolution != Resolution::Unresolved {
            for client in self.in_doubt_waiters(&callback.id) {
                self.resolve_in_doubt(now, client, &resolution, &callback.state, out);
            }
        }
        acknowledgement
    }

    /// Returns the clients that wait for the outcome of a recorded request.
    fn in_doubt_waiters(&self, recorded_id: &str) -> Vec<ClientId> {
        let is_waiting = |waiter: &CoalescedWaiter| match waiter {
            CoalescedWaiter::InDoubt(waiting) => waiting.recorded_id == recorded_id,
            _ => false,
        };
        self.coalesced
            .iter()
            .filter(|(_, waiter)| is_waiting(waiter))
            .map(|(client, _)| *client)
            .collect()
    }

    /// Answers a client whose request repeats a recorded one of which the outcome is known now; or
    /// has it run, if the recorded one never has.
    fn resolve_in_doubt(
        &mut self,
        now: f64,
        client: ClientId,
        resolution: &Resolution,
        state: &CallbackState,
        out: &mut Vec<Command>,
    ) {
        let Some(CoalescedWaiter::InDoubt(waiting)) = self.coalesced.remove(&client) else {
            return;
        };
        let answer = match (resolution, state) {
            (Resolution::NeverRan, _) => {
                let mut submission = *waiting.submission;
                submission.budget = Some((waiting.deadline - now).max(0.0));
                return self.handle_request_received(now, client, submission, out);
            }
            (Resolution::Served, CallbackState::Done(result)) => Answer::Served(result.clone()),
            _ => Answer::Failed,
        };
        out.push(Command::AnswerClient { client, answer });
    }
}

//! Worker callbacks: assigning them to attempts and applying them.

use super::durability::Durability;
use super::in_flight::{Attempt, AttemptKey, CoalescedWaiter};
use super::manager::RequestManager;
use crate::decision::interface::{Event, Outcome, ProgressNote, RequestId};
use crate::net::messages::{Answer, CallbackState, ClientId, Command, WorkerCallback, WriteWaiter};
use postproxy_idempotency::{Completion, LateCallback, Resolution, Write};

/// When a callback is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Acknowledgement {
    /// Immediately.
    Immediate,
    /// After the records that it changed have been written, since the worker forgets the request as
    /// soon as its callback is acknowledged.
    AfterWrite,
}

impl RequestManager {
    /// Handles a callback. If its request is not in flight in this process, the siblings are asked
    /// first.
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

    /// Handles a callback whose request is in flight in this process or unknown to all siblings. If
    /// the request has migrated again since the siblings were asked, the acknowledgement says that
    /// it is not known here, and a sibling that forwarded the callback looks the request up again.
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

    /// Applies a callback about a request in flight.
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
            CallbackState::Started => return self.push_progress(key, ProgressNote::Started),
            CallbackState::Running(share) => {
                return self.push_progress(key, ProgressNote::Progress(share));
            }
            CallbackState::Unknown => return self.push_progress(key, ProgressNote::Unknown),
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
        // The records of the attempt's end are merged into the same batch so that the
        // acknowledgement waits for them as well.
        let queued_before = self.pending_writes.len();
        self.record_attempt_end(now, key, outcome, &callback.load);
        let records_of_end = self.pending_writes.drain(queued_before..);
        records.extend(records_of_end.flat_map(|write| write.records));
        self.acknowledge_after(records, client, callback.id)
    }

    /// Returns the open attempt that a callback is about, if there is one.
    ///
    /// A worker has at most one open attempt of a request. A callback that arrives before that
    /// attempt has been written completely is about an earlier one.
    fn attempt_of_callback(
        &self,
        request: RequestId,
        callback: &WorkerCallback,
    ) -> Option<AttemptKey> {
        let worker = self.workers.find(&callback.from)?;
        let in_flight = self.requests.get(&request)?;
        let attempts = &in_flight.attempts;
        let is_open =
            |attempt: &Attempt| attempt.worker == worker && attempt.written && !attempt.ended;
        let number = attempts.iter().position(is_open)?;
        // A worker repeats a callback until it is acknowledged, so a second `Returned` may be about
        // an earlier attempt while this one is running.
        let was_returned = |attempt: &Attempt| attempt.worker == worker && attempt.returned;
        let may_be_repeated =
            in_flight.returned_before || attempts[..number].iter().any(was_returned);
        if callback.state == CallbackState::Returned && may_be_repeated {
            return None;
        }
        Some(AttemptKey {
            request,
            attempt: number as u16,
        })
    }

    /// Reports an attempt's progress to the dispatcher.
    fn push_progress(&mut self, key: AttemptKey, note: ProgressNote) -> Acknowledgement {
        self.dispatcher_events.push_back(Event::AttemptProgress {
            request: key.request,
            attempt: key.attempt,
            note,
        });
        Acknowledgement::Immediate
    }

    /// Returns the records to write for a result; none if the request is not recorded.
    fn record_result(&mut self, now: f64, request: RequestId, result: &[u8]) -> Vec<Write> {
        match (&mut self.durability, self.requests.get(&request)) {
            (Some(policy), Some(in_flight)) if in_flight.durability != Durability::None => policy
                .request_log
                .record_served(now, &in_flight.payload.id, result),
            _ => Vec::new(),
        }
    }

    /// Queues the records that a callback has changed. If there are any, the acknowledgement waits
    /// for their write.
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

    /// Applies a callback about a request that was sent before a restart or is already complete.
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

    /// Answers a client whose request repeats a recorded one, now that the outcome of that one is
    /// known. If the recorded request never ran, the repeated request is run instead.
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
                submission.time_limit = Some((waiting.deadline - now).max(0.0));
                self.handle_request_received(now, client, submission, out);
                self.mark_returned_before(&waiting.recorded_id);
                return;
            }
            (Resolution::Served, CallbackState::Done(result)) => Answer::Served(result.clone()),
            _ => Answer::Failed,
        };
        out.push(Command::AnswerClient { client, answer });
    }

    /// Marks the request in flight with this id, if there is one, as run again under the id of a
    /// request that was returned.
    fn mark_returned_before(&mut self, id: &str) {
        let request = self.requests_by_id.get(id);
        if let Some(in_flight) = request.and_then(|request| self.requests.get_mut(request)) {
            in_flight.returned_before = true;
        }
    }
}

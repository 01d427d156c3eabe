//! Migration of a request in flight to a sibling process of this node.

use super::durability::Durability;
use super::in_flight::{Attempt, AttemptKey, InFlightRequest};
use super::manager::RequestManager;
use super::siblings::BudgetCounting;
use crate::decision::interface::{Event, MigratedRequest, RequestId};
use crate::net::messages::{Answer, ClientId, Command, Payload, RequestTimer};
use postproxy_handover::StateUpdate;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// Difference in seconds up to which the clocks of two processes are considered equal. Each process
/// sets its clock from the system clock when it starts; a larger difference means that the system
/// clock was stepped between the two starts, and is corrected.
const CLOCK_TOLERANCE_SECONDS: f64 = 0.05;

/// A request as it is encoded for a sibling, which may run another version of the program: the
/// order and types of the fields must not change. Times are those of the sender's clock.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct EncodedRequest {
    /// When the request was encoded.
    pub(super) sender_now: f64,
    pub(super) payload: Payload,
    /// Index of the class in the settings.
    pub(super) class: u8,
    /// When the client stops waiting.
    pub(super) deadline: f64,
    pub(super) attempts: Vec<EncodedAttempt>,
    /// Whether any of the ended attempts may have run.
    pub(super) may_have_run: bool,
    pub(super) slots: f64,
    /// Expected work in seconds, if the client has specified it.
    pub(super) expected_work: Option<f64>,
    /// The dispatcher's state of the request.
    pub(super) dispatcher_state: MigratedRequest,
}

/// An attempt of an [`EncodedRequest`].
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct EncodedAttempt {
    /// Name of the worker, since indices differ between processes.
    pub(super) worker: String,
    pub(super) sent_at: f64,
    /// When the attempt times out.
    pub(super) deadline: f64,
    pub(super) written: bool,
    pub(super) ended: bool,
}

impl EncodedRequest {
    /// Whether the parts of the request are consistent with each other.
    fn is_consistent(&self) -> bool {
        self.attempts.len() == self.dispatcher_state.workers.len() && self.deadline.is_finite()
    }

    /// Converts all times from the sender's clock to this process's.
    fn adjust_clock(&mut self, now: f64) {
        let difference = now - self.sender_now;
        let shift = if difference.abs() > CLOCK_TOLERANCE_SECONDS {
            difference
        } else {
            0.0
        };
        self.dispatcher_state.shift(shift);
        self.deadline += shift;
        for attempt in &mut self.attempts {
            attempt.sent_at += shift;
            attempt.deadline += shift;
        }
    }
}

impl RequestManager {
    /// Returns the clients whose requests can migrate now. A request can't migrate while it has an
    /// open attempt that the worker has not accepted, because neither process would learn whether
    /// the worker accepts it. Nor can a request that is recorded or that other clients wait for.
    pub fn migratable_clients(&self) -> Vec<ClientId> {
        let can_migrate = |in_flight: &InFlightRequest| {
            in_flight.fingerprint.is_none()
                && in_flight.waiters.is_empty()
                && in_flight
                    .open_attempts()
                    .all(|(_, attempt)| attempt.accepted)
        };
        self.requests
            .values()
            .filter(|in_flight| can_migrate(in_flight))
            .filter_map(|in_flight| in_flight.client)
            .collect()
    }

    /// Removes a client's request, and returns it encoded for a sibling process to take over.
    pub fn release_request(&mut self, now: f64, client: ClientId) -> Option<Vec<u8>> {
        let request = *self.requests_by_client.get(&client)?;
        let dispatcher_state = self.dispatcher.release(request)?;
        let released = self.requests.remove(&request)?;
        self.requests_by_client.remove(&client);
        self.requests_by_id.remove(&released.payload.id);
        for attempt in &released.attempts {
            self.attempts.remove(&attempt.id);
        }
        let encode_attempt = |attempt: &Attempt| EncodedAttempt {
            worker: self.workers.name(attempt.worker).to_owned(),
            sent_at: attempt.sent_at,
            deadline: attempt.deadline,
            written: attempt.written,
            ended: attempt.ended,
        };
        let encoded = EncodedRequest {
            sender_now: now,
            attempts: released.attempts.iter().map(encode_attempt).collect(),
            payload: Rc::unwrap_or_clone(released.payload),
            class: released.class,
            deadline: released.deadline,
            may_have_run: released.may_have_run,
            slots: released.slots,
            expected_work: released.expected_work,
            dispatcher_state,
        };
        postcard::to_stdvec(&encoded).ok()
    }

    /// Takes over a sibling's request. If that is impossible, its client is sent a failure.
    pub(super) fn handle_request_migrated(
        &mut self,
        now: f64,
        link: usize,
        client: Option<ClientId>,
        encoded: &[u8],
        out: &mut Vec<Command>,
    ) {
        match self.decode_migrated_request(now, link, encoded, out) {
            Some(migrated) => self.resume_migrated_request(now, client, migrated, out),
            None => out.extend(client.map(|client| Command::AnswerClient {
                client,
                answer: Answer::Failed,
            })),
        }
    }

    /// Decodes a migrated request and removes it from the sibling's requests. Returns `None` if it
    /// can't be taken over.
    fn decode_migrated_request(
        &mut self,
        now: f64,
        link: usize,
        encoded: &[u8],
        out: &mut Vec<Command>,
    ) -> Option<EncodedRequest> {
        let mut migrated: EncodedRequest = postcard::from_bytes(encoded).ok()?;
        let id = migrated.payload.id.clone();
        self.handle_sibling_update(now, link, StateUpdate::RequestFinished { id }, out);
        let is_acceptable = migrated.is_consistent()
            && !self.requests_by_id.contains_key(&migrated.payload.id)
            && (migrated.class as usize) < self.settings.classes.len();
        if !is_acceptable {
            return None;
        }
        migrated.adjust_clock(now);
        let keyless = migrated.payload.idempotency_key.is_none();
        migrated.dispatcher_state.set_without_key(keyless);
        Some(migrated)
    }

    /// Continues a migrated request. Without its client, no attempt is started, and open attempts
    /// are cancelled if the settings allow it.
    fn resume_migrated_request(
        &mut self,
        now: f64,
        client: Option<ClientId>,
        mut migrated: EncodedRequest,
        out: &mut Vec<Command>,
    ) {
        let request = self.next_request;
        self.next_request += 1;
        let attempts = self.add_migrated_attempts(request, &mut migrated, out);
        self.requests_by_id
            .insert(migrated.payload.id.clone(), request);
        self.requests_by_client
            .extend(client.map(|client| (client, request)));
        let in_flight = InFlightRequest {
            payload: Rc::new(migrated.payload),
            client,
            deadline: migrated.deadline,
            attempts,
            class: migrated.class,
            durability: Durability::None,
            fingerprint: None,
            waiters: Vec::new(),
            may_have_run: migrated.may_have_run,
            returned_before: false,
            slots: migrated.slots,
            expected_work: migrated.expected_work,
            span: tracing::Span::none(),
        };
        let open_attempts: Vec<u16> = in_flight
            .open_attempts()
            .map(|(number, _)| number)
            .collect();
        self.push_migrated_request_updates(now, &in_flight);
        self.requests.insert(request, in_flight);
        if client.is_some() {
            self.dispatcher_events.push_back(Event::RequestMigrated {
                request,
                record: Box::new(migrated.dispatcher_state),
            });
            return;
        }
        self.maybe_complete.push(request);
        if self.settings.cancel_allowed {
            for attempt in open_attempts {
                self.cancel_attempt(now, AttemptKey { request, attempt }, out);
            }
        }
    }

    /// Returns the attempts of a migrated request under ids of this process, and sets the timers of
    /// the open ones. Replaces the worker ids in the dispatcher's state with those of this process.
    fn add_migrated_attempts(
        &mut self,
        request: RequestId,
        migrated: &mut EncodedRequest,
        out: &mut Vec<Command>,
    ) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        let workers = &mut migrated.dispatcher_state.workers;
        for ((number, encoded), worker_id) in (0u16..).zip(&migrated.attempts).zip(workers) {
            let worker = self.workers.find_or_add(&encoded.worker);
            let id = self.next_attempt;
            self.next_attempt += 1;
            *worker_id = worker.id();
            attempts.push(Attempt {
                id,
                worker,
                sent_at: encoded.sent_at,
                deadline: encoded.deadline,
                may_start: true,
                written: encoded.written,
                // A request migrates only once its open attempts have been accepted, so an attempt
                // that was written and has not ended was accepted.
                accepted: encoded.written,
                ended: encoded.ended,
                // Not encoded. It is assumed to have been returned, since the worker may repeat
                // such a callback.
                returned: encoded.written && encoded.ended,
            });
            if !encoded.ended {
                let attempt = number;
                self.attempts.insert(id, AttemptKey { request, attempt });
                out.push(Command::SetTimer {
                    at: encoded.deadline,
                    timer: RequestTimer::AttemptTimeout { request, attempt },
                });
            }
        }
        attempts
    }

    /// Announces to the siblings that this process now owns the request.
    fn push_migrated_request_updates(&mut self, now: f64, in_flight: &InFlightRequest) {
        let mut updates = vec![StateUpdate::RequestAdmitted {
            id: in_flight.payload.id.clone(),
            is_new: false,
        }];
        updates.extend(in_flight.open_attempts().map(|(number, _)| {
            self.attempt_sent_update(now, in_flight, number, BudgetCounting::Counted)
        }));
        self.sibling_updates.extend(updates);
    }
}

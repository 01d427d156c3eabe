//! Admission: whether a submitted request is admitted, and what happens when its client
//! disconnects.

use super::coalescing::NewSubmission;
use super::in_flight::InFlightRequest;
use super::manager::RequestManager;
use crate::decision::interface::{Event, NewRequest, RequestId};
use crate::net::messages::{Answer, ClientId, Command, Submission};
use postproxy_handover::StateUpdate;
use std::rc::Rc;

/// Slots that a request takes if its client does not specify a number.
const DEFAULT_SLOTS: f64 = 1.0;

impl RequestManager {
    /// Admits a submitted request, makes it wait for the request that it repeats, or answers it
    /// immediately.
    pub(super) fn handle_request_received(
        &mut self,
        now: f64,
        client: ClientId,
        submission: Submission,
        out: &mut Vec<Command>,
    ) {
        let time_limit = match self.check_admissible(&submission) {
            Ok(time_limit) => time_limit,
            Err(answer) => return out.push(Command::AnswerClient { client, answer }),
        };
        if let Some(new) = self.deduplicate(client, submission, now + time_limit, out) {
            self.admit_request(now, client, new, time_limit);
        }
    }

    /// Returns the request's time limit in seconds, or the answer if the request can't be admitted.
    fn check_admissible(&self, submission: &Submission) -> Result<f64, Answer> {
        let id = &submission.payload.id;
        if self.requests_by_id.contains_key(id) || self.sibling_requests.contains_key(id) {
            return Err(Answer::DuplicateRequestId);
        }
        let limit = self.settings.max_waiting_requests;
        if limit > 0 && self.waiting_client_count() >= limit {
            return Err(Answer::Failed);
        }
        let Some(class) = self.settings.classes.get(submission.class as usize) else {
            return Err(Answer::Failed);
        };
        let time_limit = submission.time_limit.unwrap_or(class.deadline);
        Ok(time_limit.min(class.deadline))
    }

    /// Adds a request to those in flight and passes it to the dispatcher.
    fn admit_request(&mut self, now: f64, client: ClientId, new: NewSubmission, time_limit: f64) {
        let NewSubmission {
            submission,
            fingerprint,
        } = new;
        let request = self.next_request;
        self.next_request += 1;
        let payload = &submission.payload;
        self.requests_by_id.insert(payload.id.clone(), request);
        self.requests_by_client.insert(client, request);
        self.notify_siblings(|| StateUpdate::RequestAdmitted {
            id: payload.id.clone(),
            is_new: true,
        });
        if let (Some(_), Some(key)) = (&fingerprint, &payload.idempotency_key) {
            self.requests_by_key
                .insert((submission.class, key.clone()), request);
        }
        let event = self.new_request_event(request, &submission, time_limit);
        let in_flight = InFlightRequest {
            client: Some(client),
            deadline: now + time_limit,
            attempts: Vec::new(),
            class: submission.class,
            durability: self.class_durability(submission.class),
            fingerprint,
            waiters: Vec::new(),
            may_have_run: false,
            returned_before: false,
            slots: event.slots,
            expected_work: event.expected_work,
            span: self.request_span(&submission),
            payload: Rc::new(submission.payload),
        };
        self.requests.insert(request, in_flight);
        self.dispatcher_events
            .push_back(Event::RequestReceived(event));
    }

    fn new_request_event(
        &self,
        request: RequestId,
        submission: &Submission,
        time_limit: f64,
    ) -> NewRequest {
        let tenants = &self.settings.tenant_names;
        let tenant = tenants
            .iter()
            .position(|name| Some(name) == submission.tenant.as_ref())
            .unwrap_or(0);
        NewRequest {
            id: request,
            class: submission.class,
            tenant: tenant as u16,
            affinity_key: submission.affinity_key,
            time_limit,
            expected_work: submission.expected_work,
            slots: submission.slots.unwrap_or(DEFAULT_SLOTS),
            memory: submission.memory.unwrap_or(0.0),
            is_marked_retry: submission.is_marked_retry,
            without_key: submission.payload.idempotency_key.is_none(),
        }
    }

    /// Creates the request's tracing span. Its fields are evaluated only if the log level `debug`
    /// is enabled.
    fn request_span(&self, submission: &Submission) -> tracing::Span {
        tracing::debug_span!(
            target: "postproxy::request",
            "request",
            id = %submission.payload.id,
            class = self.settings.classes[submission.class as usize].name,
            attempts = tracing::field::Empty,
            answer = tracing::field::Empty
        )
    }

    /// Abandons the request of a disconnected client unless other clients wait for the same answer.
    pub(super) fn handle_client_disconnected(
        &mut self,
        now: f64,
        client: ClientId,
        out: &mut Vec<Command>,
    ) {
        if self.promote_waiter(client) || self.remove_waiter(client) {
            return;
        }
        let Some(request) = self.requests_by_client.remove(&client) else {
            return;
        };
        let mut unwritten = Vec::new();
        if let Some(in_flight) = self.requests.get_mut(&request) {
            in_flight.client = None;
            // If the settings allow cancellation, the dispatcher cancels all attempts. If they
            // don't, attempts whose last byte has not been written can still be withdrawn.
            if !self.settings.cancel_allowed {
                unwritten.extend(in_flight.unwritten_attempts(request));
            }
        }
        self.dispatcher_events
            .push_back(Event::ClientDisconnected { request });
        self.maybe_complete.push(request);
        self.withdraw_attempts(now, unwritten, out);
    }
}

//! Final answers to clients, and the end of a request.

use super::manager::RequestManager;
use crate::decision::interface::RequestId;
use crate::net::messages::{Answer, ClientId, Command, WriteWaiter};
use postproxy_handover::StateUpdate;

impl RequestManager {
    /// Answers the client of a request, if it is still waiting, and all clients that wait for the
    /// same answer.
    pub(super) fn answer_request(
        &mut self,
        request: RequestId,
        answer: Answer,
        out: &mut Vec<Command>,
    ) {
        if let Some(client) = self
            .requests
            .get(&request)
            .and_then(|in_flight| in_flight.client)
        {
            self.answer_client(client, answer, out);
        }
    }

    /// Answers the client to which a request belongs, and all clients that wait for the same
    /// answer.
    fn answer_client(&mut self, client: ClientId, answer: Answer, out: &mut Vec<Command>) {
        let Some(request) = self.requests_by_client.remove(&client) else {
            return;
        };
        if let Some(in_flight) = self.requests.get_mut(&request) {
            in_flight.client = None;
            in_flight.span.record("answer", answer.as_str());
            for waiter in std::mem::take(&mut in_flight.waiters) {
                self.coalesced.remove(&waiter);
                out.push(Command::AnswerClient {
                    client: waiter,
                    answer: answer.clone(),
                });
            }
        }
        self.maybe_complete.push(request);
        out.push(Command::AnswerClient { client, answer });
    }

    /// Removes a request if no client waits for its answer and it has no open attempt.
    pub(super) fn remove_if_complete(&mut self, now: f64, request: RequestId) {
        if !self
            .requests
            .get(&request)
            .is_some_and(|in_flight| in_flight.is_complete())
        {
            return;
        }
        let Some(completed) = self.requests.remove(&request) else {
            return;
        };
        completed.span.record("attempts", completed.attempts.len());
        let payload = &completed.payload;
        self.notify_siblings(|| StateUpdate::RequestFinished {
            id: payload.id.clone(),
        });
        self.requests_by_id.remove(&payload.id);
        if let Some(key) = &payload.idempotency_key {
            let key = (completed.class, key.clone());
            if self.requests_by_key.get(&key) == Some(&request) {
                self.requests_by_key.remove(&key);
            }
        }
        if let (Some(policy), Some(_)) = (&mut self.durability, &completed.fingerprint) {
            let records = policy.request_log.record_finished(now, &payload.id);
            let request_id = payload.id.clone();
            self.queue_write(records, WriteWaiter::NoWaiter { request_id });
        }
    }
}

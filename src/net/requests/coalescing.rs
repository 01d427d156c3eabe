//! Deduplication of recorded requests. A repeated request starts no attempts of its own: its client
//! waits for the request in flight, for the outcome of a request that was sent before a restart, or
//! for a stored result.

use super::durability::{Durability, RequestFingerprint};
use super::in_flight::{CoalescedWaiter, InDoubtRequest, InFlightRequest};
use super::manager::RequestManager;
use crate::net::messages::{Answer, ClientId, Command, RequestTimer, Submission, WriteWaiter};
use postproxy_idempotency::Lookup;
use std::rc::Rc;

/// A submitted request that repeats no other and has to run.
pub(super) struct NewSubmission {
    pub(super) submission: Submission,
    /// Identity of the request in the request log; `None` if it is not recorded there.
    pub(super) fingerprint: Option<Rc<RequestFingerprint>>,
}

impl RequestManager {
    /// Looks up a submitted request among the recorded ones, and returns it if it has to run.
    /// Otherwise its client is answered, or waits until `deadline` for the answer of the request
    /// that it repeats.
    pub(super) fn deduplicate(
        &mut self,
        client: ClientId,
        submission: Submission,
        deadline: f64,
        out: &mut Vec<Command>,
    ) -> Option<NewSubmission> {
        if self.class_durability(submission.class) == Durability::None {
            return Some(NewSubmission {
                submission,
                fingerprint: None,
            });
        }
        let fingerprint = RequestFingerprint::new(&submission, &self.settings);
        let waiter = match self.look_up(&submission, &fingerprint) {
            Lookup::New => match self.reserve_record(submission.class) {
                Ok(()) => {
                    return Some(NewSubmission {
                        submission,
                        fingerprint: Some(Rc::new(fingerprint)),
                    });
                }
                Err(answer) => Err(answer),
            },
            Lookup::InFlight(id) => self.join_request_in_flight(client, &id),
            Lookup::InDoubt(recorded_id) => Ok(CoalescedWaiter::InDoubt(InDoubtRequest {
                recorded_id,
                submission: Box::new(submission),
                deadline,
            })),
            Lookup::Served(id) => {
                out.push(Command::ReadResult { client, id });
                Ok(CoalescedWaiter::StoredResult)
            }
            Lookup::Failed => Err(Answer::Failed),
            Lookup::Conflict => Err(Answer::DuplicateRequestId),
        };
        match waiter {
            Ok(waiter) => {
                self.coalesced.insert(client, waiter);
                out.push(Command::SetTimer {
                    at: deadline,
                    timer: RequestTimer::CoalescedRequestTimeout { client },
                });
            }
            Err(answer) => out.push(Command::AnswerClient { client, answer }),
        }
        None
    }

    /// Looks up a request by its idempotency key among the requests in flight, then in the request
    /// log, which contains a request only from its first attempt on.
    fn look_up(&self, submission: &Submission, fingerprint: &RequestFingerprint) -> Lookup {
        let in_flight = submission
            .payload
            .idempotency_key
            .as_ref()
            .and_then(|key| self.requests_by_key.get(&(submission.class, key.clone())))
            .and_then(|request| self.requests.get(request));
        match (in_flight, &self.durability) {
            (Some(in_flight), _) if is_same_request(in_flight, fingerprint) => {
                Lookup::InFlight(in_flight.payload.id.clone())
            }
            (Some(_), _) => Lookup::Conflict,
            (None, Some(policy)) => policy.request_log.lookup(&fingerprint.identity()),
            (None, None) => Lookup::New,
        }
    }

    /// Makes room in the request log for another request of this class, or returns the answer with
    /// which the request is rejected.
    fn reserve_record(&mut self, class: u8) -> Result<(), Answer> {
        let Some(policy) = &mut self.durability else {
            return Ok(());
        };
        let rejected = Answer::RejectedWithRetryAfter(policy.retry_after);
        if policy.store_failed && policy.class_durability(class) == Durability::Durable {
            return Err(rejected);
        }
        let records = policy.request_log.make_room().ok_or(rejected)?;
        self.queue_write(
            records,
            WriteWaiter::NoWaiter {
                request_id: String::new(),
            },
        );
        Ok(())
    }

    /// Adds a client to those that wait for the answer of the request in flight with this id.
    fn join_request_in_flight(
        &mut self,
        client: ClientId,
        id: &str,
    ) -> Result<CoalescedWaiter, Answer> {
        let joined = self.requests_by_id.get(id).and_then(|request| {
            let in_flight = self.requests.get_mut(request)?;
            Some((*request, in_flight))
        });
        match joined.filter(|(_, in_flight)| in_flight.client.is_some()) {
            Some((request, in_flight)) => {
                in_flight.waiters.push(client);
                Ok(CoalescedWaiter::InFlight(request))
            }
            // The request with this id is no longer in flight, or no client waits for it any more
            // because it was answered or its client has disconnected: no answer will follow.
            None => Err(Answer::Failed),
        }
    }

    /// Makes the first waiter of a client's request the request's client. Returns whether there was
    /// a waiter.
    pub(super) fn promote_waiter(&mut self, client: ClientId) -> bool {
        let Some(&request) = self.requests_by_client.get(&client) else {
            return false;
        };
        let Some(in_flight) = self
            .requests
            .get_mut(&request)
            .filter(|in_flight| !in_flight.waiters.is_empty())
        else {
            return false;
        };
        let next = in_flight.waiters.remove(0);
        in_flight.client = Some(next);
        self.coalesced.remove(&next);
        self.requests_by_client.remove(&client);
        self.requests_by_client.insert(next, request);
        true
    }

    /// Removes a client that waits for the answer of a request that it repeats. Returns whether it
    /// was waiting.
    pub(super) fn remove_waiter(&mut self, client: ClientId) -> bool {
        let Some(waiter) = self.coalesced.remove(&client) else {
            return false;
        };
        if let CoalescedWaiter::InFlight(request) = waiter
            && let Some(in_flight) = self.requests.get_mut(&request)
        {
            in_flight.waiters.retain(|other| *other != client);
        }
        true
    }

    /// Answers a client with a stored result, or with a failure if the result could not be read.
    pub(super) fn handle_result_read(
        &mut self,
        client: ClientId,
        result: Option<Vec<u8>>,
        out: &mut Vec<Command>,
    ) {
        if self.remove_waiter(client) {
            let answer = result.map_or(Answer::Failed, Answer::Served);
            out.push(Command::AnswerClient { client, answer });
        }
    }

    /// Answers a client whose wait for the answer of a repeated request has timed out. The answer
    /// is a failure and not a rejection: a rejection would guarantee that the request did not run,
    /// but it may have run or may still run.
    pub(super) fn handle_coalesced_request_timeout(
        &mut self,
        client: ClientId,
        out: &mut Vec<Command>,
    ) {
        if self.remove_waiter(client) {
            out.push(Command::AnswerClient {
                client,
                answer: Answer::Failed,
            });
        }
    }
}

/// Whether a request in flight has the same content as the request with this fingerprint.
fn is_same_request(in_flight: &InFlightRequest, fingerprint: &RequestFingerprint) -> bool {
    in_flight
        .fingerprint
        .as_ref()
        .is_some_and(|other| other.digest() == fingerprint.digest())
}

//! Requests that are kept beyond the node's life: who joins one, what waits for a write, and what a stored result answers.

use super::durability::{Durability, RequestFingerprint};
use super::in_flight::{CoalescedWaiter, RequestManager};
use crate::decision::interface::{Event, Outcome};
use crate::net::messages::{
    Answer, AttemptId, ClientId, Command, Load, RequestTimer, Submission, Wait,
};
use postproxy_idempotency::{Lookup, Write};
use std::rc::Rc;

impl RequestManager {
    /// Has changes written, if there are any.
    pub(super) fn write(&mut self, writes: Vec<Write>, wait: Wait) {
        if !writes.is_empty() {
            self.writes.push((writes, wait));
        }
    }

    /// Where the client of a request leaves and others wait for the same, one of them takes its place.
    pub(super) fn promoted(&mut self, client: ClientId) -> bool {
        let Some(&request) = self.by_client.get(&client) else {
            return false;
        };
        let Some(t) = self
            .requests
            .get_mut(&request)
            .filter(|t| !t.joined.is_empty())
        else {
            return false;
        };
        let next = t.joined.remove(0);
        t.client = Some(next);
        self.joiners.remove(&next);
        self.by_client.remove(&client);
        self.by_client.insert(next, request);
        true
    }

    /// One who waits for what another asked for waits no more; whether it did.
    pub(super) fn unjoin(&mut self, client: ClientId) -> bool {
        match self.joiners.remove(&client) {
            None => false,
            Some(CoalescedWaiter::Request(request)) => {
                if let Some(t) = self.requests.get_mut(&request) {
                    t.joined.retain(|other| *other != client);
                }
                true
            }
            Some(_) => true,
        }
    }

    /// What a job of an earlier life, or of another connection, has come to decides on one that arrives. Gives
    /// back what is new and is to run.
    pub(super) fn known(
        &mut self,
        client: ClientId,
        submission: Submission,
        until: f64,
        out: &mut Vec<Command>,
    ) -> Option<(Submission, Option<Rc<RequestFingerprint>>)> {
        let class = submission.class;
        let Some(keeping) = self
            .keeping
            .as_mut()
            .filter(|k| k.care(class) != Durability::None)
        else {
            return Some((submission, None));
        };
        let asker = RequestFingerprint::new(&submission, &self.settings);
        // The ledger knows of a request once something of it is to be sent; before that, it is here alone.
        let key = submission
            .payload
            .idempotency_key
            .clone()
            .map(|key| (class, key));
        let held = key
            .and_then(|key| self.by_key.get(&key))
            .and_then(|r| self.requests.get(r));
        let standing = match held {
            Some(t)
                if t.asker
                    .as_ref()
                    .is_none_or(|held| held.digest() != asker.digest()) =>
            {
                Lookup::Conflict
            }
            Some(t) => Lookup::Running(t.payload.id.clone()),
            None => keeping.ledger.standing(&asker.asked()),
        };
        let joiner = match standing {
            Lookup::New if keeping.broken && keeping.care(class) == Durability::Durable => {
                out.push(Command::AnswerClient {
                    client,
                    answer: Answer::Unavailable(keeping.retry_after),
                });
                return None;
            }
            Lookup::New => match keeping.ledger.make_room() {
                Some(writes) => {
                    self.write(writes, Wait::Nobody(String::new()));
                    return Some((submission, Some(Rc::new(asker))));
                }
                None => {
                    out.push(Command::AnswerClient {
                        client,
                        answer: Answer::Unavailable(keeping.retry_after),
                    });
                    return None;
                }
            },
            Lookup::Running(id) => {
                let request = self.by_id.get(&id).copied();
                let t = request.and_then(|r| Some((r, self.requests.get_mut(&r)?)));
                match t.filter(|(_, t)| t.client.is_some()) {
                    Some((request, t)) => {
                        t.joined.push(client);
                        CoalescedWaiter::Request(request)
                    }
                    // Its client has had its answer; what its attempt comes to will never be told.
                    None => {
                        out.push(Command::AnswerClient {
                            client,
                            answer: Answer::Failed,
                        });
                        return None;
                    }
                }
            }
            Lookup::InDoubt(id) => CoalescedWaiter::InDoubt(id, Box::new(submission), until),
            Lookup::Served(id) => {
                out.push(Command::ReadResult { client, id });
                CoalescedWaiter::Result
            }
            Lookup::Failed => {
                out.push(Command::AnswerClient {
                    client,
                    answer: Answer::Failed,
                });
                return None;
            }
            Lookup::Conflict => {
                out.push(Command::AnswerClient {
                    client,
                    answer: Answer::Held,
                });
                return None;
            }
        };
        self.joiners.insert(client, joiner);
        out.push(Command::SetTimer {
            at: until,
            timer: RequestTimer::Joined(client),
        });
        None
    }

    pub(super) fn stored(&mut self, now: f64, wait: Wait, durable: bool, out: &mut Vec<Command>) {
        let id = match wait {
            Wait::Attempt(attempt_id) => return self.intent_stored(now, attempt_id, durable, out),
            Wait::Call(client, id) => {
                out.push(Command::AcknowledgeCallback {
                    client,
                    known: true,
                });
                id
            }
            Wait::Nobody(id) => id,
        };
        if let Some(keeping) = self.keeping.as_mut().filter(|_| !durable) {
            keeping.ledger.unwritten(&id);
        }
    }

    /// The intent of an attempt is durable, and the attempt starts; or it never will be, and the job is refused.
    pub(super) fn intent_stored(
        &mut self,
        now: f64,
        attempt_id: AttemptId,
        durable: bool,
        out: &mut Vec<Command>,
    ) {
        let Some(&key @ (request, _)) = self.by_attempt.get(&attempt_id) else {
            return;
        };
        let Some(a) = self.attempt(attempt_id).filter(|a| !a.cleared) else {
            return;
        };
        if durable {
            a.cleared = true;
            let (worker, until) = (a.worker, a.until);
            let (Some(t), address) = (self.requests.get(&request), self.workers[worker]) else {
                return;
            };
            return out.push(Command::StartAttempt {
                attempt: attempt_id,
                worker: address,
                payload: t.payload.clone(),
                deadline: until,
            });
        }
        // Nothing of this attempt was sent. What was promised to be kept can't be: the answer comes at once.
        let before = self.requests.get(&request).is_some_and(|t| t.may_have_run);
        let after = self
            .keeping
            .as_ref()
            .map_or(0.0, |keeping| keeping.retry_after);
        let answer = if before {
            Answer::Failed
        } else {
            Answer::Unavailable(after)
        };
        self.finish(request, answer, out);
        self.events.push_back(Event::ClientDisconnected { request });
        self.ended(now, key, Outcome::CancelledLocally, &Load::new());
    }
}

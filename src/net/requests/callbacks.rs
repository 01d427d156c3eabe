//! Workers' call-backs: to which attempt each belongs, and what it changes.

use super::durability::Durability;
use super::in_flight::{Attempt, CoalescedWaiter, RequestManager};
use crate::decision::interface::{Event, Outcome, ProgressNote, RequestId};
use crate::net::messages::{Answer, ClientId, Command, JobCall, JobState, Wait};
use postproxy_idempotency::{Completion, Resolution};

impl RequestManager {
    /// Takes a call-back; whether its acknowledgement waits for a write.
    pub(super) fn call(
        &mut self,
        now: f64,
        client: ClientId,
        call: JobCall,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(&request) = self.by_id.get(&call.id) else {
            return self.late_call(now, client, call, out);
        };
        let Some(&from) = self.numbers.get(&call.from) else {
            return false;
        };
        let Some(t) = self.requests.get(&request) else {
            return false;
        };
        // A worker has one attempt of a request at a time. What it told before it had all of this one
        // belongs to an earlier one.
        let open = |a: &Attempt| a.worker == from && a.written && !a.ended;
        let Some(attempt) = t.attempts.iter().position(open) else {
            return false;
        };
        // Danger: a call is repeated until it is answered. A second 'returned' may be about an earlier attempt, while this one runs.
        let returns = call.state == JobState::Returned;
        let returned = |a: &Attempt| a.worker == from && a.returned;
        if returns && t.attempts[..attempt].iter().any(returned) {
            return false;
        }
        let key = (request, attempt as u16);
        let (outcome, mut writes) = match call.state {
            JobState::Started => {
                self.note(key, ProgressNote::Started);
                return false;
            }
            JobState::Running(share) => {
                self.note(key, ProgressNote::Progress(share));
                return false;
            }
            JobState::Unknown => {
                self.note(key, ProgressNote::Unknown);
                return false;
            }
            JobState::Done(result) => {
                let care = t.care != Durability::None;
                let writes = match self.keeping.as_mut().filter(|_| care) {
                    Some(keeping) => keeping.ledger.served(now, &call.id, &result),
                    None => Vec::new(),
                };
                if let Some(client) = t.client {
                    self.answer(client, Answer::Served(result), out);
                }
                (Outcome::Succeeded, writes)
            }
            JobState::Failed => (Outcome::Error, Vec::new()),
            JobState::Returned => (Outcome::Rejected, Vec::new()),
            JobState::Lost => (Outcome::Reset, Vec::new()),
        };
        if let Some(t) = self.requests.get_mut(&request) {
            t.attempts[attempt].returned = returns;
        }
        // What the end of the attempt has written goes with it: the worker forgets once it is acknowledged.
        let before = self.writes.len();
        self.ended(now, key, outcome, &call.load);
        writes.extend(self.writes.drain(before..).flat_map(|(writes, _)| writes));
        let waits = !writes.is_empty();
        self.write(writes, Wait::Call(client, call.id));
        waits
    }

    /// A call-back on what this life of the node has not sent, or has forgotten.
    pub(super) fn late_call(
        &mut self,
        now: f64,
        client: ClientId,
        call: JobCall,
        out: &mut Vec<Command>,
    ) -> bool {
        let Some(keeping) = &mut self.keeping else {
            return false;
        };
        let word = match &call.state {
            JobState::Done(result) => Completion::Done(result),
            JobState::Failed | JobState::Lost => Completion::Failed,
            JobState::Returned => Completion::Returned,
            JobState::Started | JobState::Running(_) | JobState::Unknown => return false,
        };
        let (settled, writes) = keeping.ledger.word(now, &call.id, &call.from, word);
        let waits = !writes.is_empty();
        self.write(writes, Wait::Call(client, call.id.clone()));
        if settled == Resolution::Nothing {
            return waits;
        }
        let waiting = |joiner: &CoalescedWaiter| matches!(joiner, CoalescedWaiter::InDoubt(id, ..) if *id == call.id);
        let clients: Vec<ClientId> = self
            .joiners
            .iter()
            .filter(|(_, joiner)| waiting(joiner))
            .map(|(client, _)| *client)
            .collect();
        for client in clients {
            let Some(CoalescedWaiter::InDoubt(_, mut submission, until)) =
                self.joiners.remove(&client)
            else {
                continue;
            };
            match (&settled, &call.state) {
                (Resolution::Served, JobState::Done(result)) => {
                    out.push(Command::AnswerClient {
                        client,
                        answer: Answer::Served(result.clone()),
                    });
                }
                (Resolution::NeverRan, _) => {
                    submission.budget = Some((until - now).max(0.0));
                    self.arrived(now, client, *submission, out);
                }
                _ => out.push(Command::AnswerClient {
                    client,
                    answer: Answer::Failed,
                }),
            }
        }
        waits
    }

    pub(super) fn note(&mut self, (request, attempt): (RequestId, u16), note: ProgressNote) {
        self.events.push_back(Event::AttemptProgress {
            request,
            attempt,
            note,
        });
    }
}

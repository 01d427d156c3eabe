//! What two processes of this node tell each other of requests, and how a request moves from one to the other.

use super::durability::Durability;
use super::in_flight::{Attempt, InFlightRequest, RequestManager, SiblingRequest, worker_id};
use crate::decision::interface::{Event, MigratedRequest, Outcome, SiblingEvent, sound};
use crate::net::messages::{ClientId, Command, Load, Payload, RequestTimer};
use postproxy_handover::StateUpdate;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

#[cfg(test)]
mod tests;

/// So many of the latest requests and further attempts are told to another process: budgets count no more.
const MOST_PAST: usize = 8192;

/// Two processes' clocks, each set at its start, show the same but for so many seconds; what is beyond is taken for
/// a step of the system's clock between the starts.
const CLOCKS_APART: f64 = 0.05;

/// A request on its way to another process of this node.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct Moved {
    /// The time there.
    pub(super) now: f64,
    pub(super) payload: Payload,
    pub(super) class: u8,
    pub(super) deadline: f64,
    pub(super) attempts: Vec<MovedAttempt>,
    pub(super) may_have_run: bool,
    pub(super) need: f64,
    pub(super) hint: Option<f64>,
    pub(super) carried: MigratedRequest,
}

#[derive(Debug, Deserialize, PartialEq, Serialize)]
pub(super) struct MovedAttempt {
    pub(super) worker: String,
    pub(super) sent: f64,
    pub(super) until: f64,
    pub(super) written: bool,
    pub(super) ended: bool,
}

impl RequestManager {
    /// Tells other processes of this node, if there are any.
    pub(super) fn tell(&mut self, tale: impl FnOnce() -> StateUpdate) {
        if self.linked {
            self.tales.push(tale());
        }
    }

    /// Whether other processes of this node are linked, which are to be told what changes from now on.
    pub fn set_siblings_linked(&mut self, linked: bool) {
        self.linked = linked;
    }

    /// All that another process of this node must know of what is so now; budgets count it as old.
    pub fn snapshot_updates(&self, now: f64) -> Vec<StateUpdate> {
        let ago = |at: f64| (now - at) as f32;
        let banned = self.banned.iter();
        let mut tales: Vec<StateUpdate> = banned
            .map(|&w| StateUpdate::Use {
                worker: self.names[w].clone(),
                again: false,
            })
            .collect();
        let history = self.dispatcher.budget_history(MOST_PAST);
        let agos = |times: Vec<f64>| times.into_iter().map(ago).collect();
        tales.push(StateUpdate::Past {
            taken: agos(history.admitted),
            further: agos(history.retries),
        });
        for t in self.requests.values() {
            let id = &t.payload.id;
            tales.push(StateUpdate::Taken {
                id: id.clone(),
                counts: false,
            });
            let out = t.attempts.iter().zip(0..).filter(|(a, _)| !a.ended);
            tales.extend(out.map(|(a, attempt)| self.sent(now, t, a, attempt, false)));
        }
        // What comes from a third process.
        for (id, d) in &self.distant {
            tales.push(StateUpdate::Taken {
                id: id.clone(),
                counts: false,
            });
            tales.extend(d.out.iter().map(|&(attempt, worker)| {
                let (id, worker) = (id.clone(), self.names[worker].clone());
                StateUpdate::Sent {
                    id,
                    attempt,
                    worker,
                    need: 1.0,
                    work: 0.0,
                    ago: 0.0,
                    counts: false,
                }
            }));
        }
        tales
    }

    /// The clients whose requests can move to another process now: no attempt is on its way to its worker,
    /// and nothing of them is kept here.
    pub fn migratable_clients(&self) -> Vec<ClientId> {
        let moves = |t: &InFlightRequest| {
            t.asker.is_none()
                && t.joined.is_empty()
                && t.attempts.iter().all(|a| a.ended || a.accepted)
        };
        let client = |t: &InFlightRequest| t.client.filter(|_| moves(t));
        self.requests.values().filter_map(client).collect()
    }

    /// Lets a client's request go: what another process needs to go on with it.
    pub fn release_request(&mut self, now: f64, client: ClientId) -> Option<Vec<u8>> {
        let request = *self.by_client.get(&client)?;
        let carried = self.dispatcher.release(request)?;
        let t = self.requests.remove(&request)?;
        self.by_client.remove(&client);
        self.by_id.remove(&t.payload.id);
        for a in &t.attempts {
            self.by_attempt.remove(&a.attempt_id);
        }
        let attempt = |a: &Attempt| MovedAttempt {
            worker: self.names[a.worker].clone(),
            sent: a.sent,
            until: a.until,
            written: a.written,
            ended: a.ended,
        };
        let attempts = t.attempts.iter().map(attempt).collect();
        let payload = Rc::unwrap_or_clone(t.payload);
        let (class, may_have_run) = (t.class, t.may_have_run);
        let (deadline, need, hint) = (t.deadline, t.need, t.hint);
        let moved = Moved {
            now,
            payload,
            class,
            deadline,
            attempts,
            may_have_run,
            need,
            hint,
            carried,
        };
        postcard::to_stdvec(&moved).ok()
    }

    /// Goes on with a request of another process; `None` if it can't be read. Without its client nothing new begins,
    /// and what is out is given up.
    pub(super) fn carry_on(
        &mut self,
        now: f64,
        link: usize,
        client: Option<ClientId>,
        job: &[u8],
        out: &mut Vec<Command>,
    ) -> Option<()> {
        let mut moved: Moved = postcard::from_bytes(job).ok()?;
        let id = moved.payload.id.clone();
        self.heard(now, link, StateUpdate::Over { id: id.clone() }, out);
        let sound =
            moved.attempts.len() == moved.carried.workers.len() && moved.deadline.is_finite();
        if !sound
            || self.by_id.contains_key(&id)
            || self.settings.classes.len() <= moved.class as usize
        {
            return None;
        }
        let apart = now - moved.now;
        let shift = if apart.abs() > CLOCKS_APART {
            apart
        } else {
            0.0
        };
        moved.carried.shift(shift);
        moved
            .carried
            .set_without_key(moved.payload.idempotency_key.is_none());
        let request = self.next_request;
        self.next_request += 1;
        let mut attempts = Vec::new();
        for (a, number) in moved.attempts.iter().zip(0u16..) {
            let worker = self.number(&a.worker);
            let (attempt_id, sent, until) = (self.next_attempt, a.sent + shift, a.until + shift);
            self.next_attempt += 1;
            moved.carried.workers[number as usize] = worker_id(worker);
            let (cleared, written, ended) = (true, a.written, a.ended);
            attempts.push(Attempt {
                worker,
                attempt_id,
                sent,
                until,
                cleared,
                written,
                accepted: written,
                ended,
                // How it ended is not told; a call on it may be repeated.
                returned: written && ended,
            });
            if !ended {
                self.by_attempt.insert(attempt_id, (request, number));
                out.push(Command::SetTimer {
                    at: until,
                    timer: RequestTimer::Attempt(request, number),
                });
            }
        }
        self.by_id.insert(id, request);
        self.by_client
            .extend(client.map(|client| (client, request)));
        let t = InFlightRequest {
            payload: Rc::new(moved.payload),
            client,
            deadline: moved.deadline + shift,
            attempts,
            class: moved.class,
            care: Durability::None,
            asker: None,
            joined: Vec::new(),
            may_have_run: moved.may_have_run,
            need: moved.need,
            hint: moved.hint,
            span: tracing::Span::none(),
        };
        self.tales.push(StateUpdate::Taken {
            id: t.payload.id.clone(),
            counts: false,
        });
        let open = t.attempts.iter().zip(0..).filter(|(a, _)| !a.ended);
        let open: Vec<StateUpdate> = open
            .map(|(a, attempt)| self.sent(now, &t, a, attempt, false))
            .collect();
        self.tales.extend(open);
        let out_there: Vec<u16> = t
            .attempts
            .iter()
            .zip(0..)
            .filter(|(a, _)| !a.ended)
            .map(|(_, n)| n)
            .collect();
        self.requests.insert(request, t);
        if client.is_some() {
            self.events.push_back(Event::RequestMigrated {
                request,
                record: Box::new(moved.carried),
            });
            return Some(());
        }
        self.touched.push(request);
        if self.settings.cancel_allowed {
            for attempt in out_there {
                self.abandon(request, attempt, out);
                self.ended(now, (request, attempt), Outcome::Cancelled, &Load::new());
            }
        }
        Some(())
    }

    pub(super) fn sent(
        &self,
        now: f64,
        t: &InFlightRequest,
        a: &Attempt,
        attempt: u16,
        counts: bool,
    ) -> StateUpdate {
        let (id, worker) = (t.payload.id.clone(), self.names[a.worker].clone());
        let (need, work) = (t.need as f32, t.hint.unwrap_or(0.0) as f32);
        StateUpdate::Sent {
            id,
            attempt,
            worker,
            need,
            work,
            ago: (now - a.sent) as f32,
            counts,
        }
    }

    /// Takes in what another process of this node tells, and passes on what is new to the others.
    pub(super) fn heard(
        &mut self,
        now: f64,
        link: usize,
        tale: StateUpdate,
        out: &mut Vec<Command>,
    ) {
        let then = |ago: f32| now - f64::from(ago).max(0.0);
        let mut tell = |event| self.events.push_back(Event::SiblingEvent(event));
        match &tale {
            StateUpdate::Use { worker, again } => {
                // It may be known there before this process has it from the list.
                self.number(worker);
                self.employ(now, worker, *again, out);
                return;
            }
            StateUpdate::Past { taken, further } => {
                let times = |agos: &[f32]| agos.iter().map(|ago| then(*ago)).collect();
                tell(SiblingEvent::BudgetHistory {
                    admitted: times(taken),
                    retries: times(further),
                });
            }
            StateUpdate::Taken { id, counts } => {
                if *counts {
                    tell(SiblingEvent::BudgetHistory {
                        admitted: vec![now],
                        retries: Vec::new(),
                    });
                }
                let distant = SiblingRequest {
                    link,
                    request: self.next_request,
                    out: Vec::new(),
                };
                self.next_request += 1;
                self.distant.entry(id.clone()).or_insert(distant);
            }
            StateUpdate::Sent {
                id,
                attempt,
                worker,
                need,
                work,
                ago,
                counts,
            } => {
                let number = self.number(worker);
                let Some(d) = self.distant.get_mut(id) else {
                    return;
                };
                d.out.push((*attempt, number));
                let (request, attempt, worker, sent) =
                    (d.request, *attempt, worker_id(number), then(*ago));
                let (need, work) = (f64::from(*need), sound((*work).into()).filter(|w| *w > 0.0));
                let mut tell = |event| self.events.push_back(Event::SiblingEvent(event));
                tell(SiblingEvent::AttemptSent {
                    request,
                    attempt,
                    worker,
                    slots: need,
                    work,
                    sent,
                });
                if *counts && attempt > 0 {
                    tell(SiblingEvent::BudgetHistory {
                        admitted: Vec::new(),
                        retries: vec![now],
                    });
                }
            }
            StateUpdate::Ended { id, attempt } => {
                let Some(d) = self.distant.get_mut(id) else {
                    return;
                };
                let Some(at) = d.out.iter().position(|(a, _)| a == attempt) else {
                    return;
                };
                let (attempt, worker) = d.out.swap_remove(at);
                tell(SiblingEvent::AttemptEnded {
                    request: d.request,
                    attempt,
                    worker: worker_id(worker),
                });
            }
            StateUpdate::Over { id } => {
                let Some(d) = self.distant.remove(id) else {
                    return;
                };
                for (attempt, worker) in d.out {
                    tell(SiblingEvent::AttemptEnded {
                        request: d.request,
                        attempt,
                        worker: worker_id(worker),
                    });
                }
            }
            StateUpdate::Drain { .. } | StateUpdate::List(_) => return, // the node's own
        }
        out.push(Command::UpdateSiblings {
            except: Some(link),
            update: tale,
        });
    }
}

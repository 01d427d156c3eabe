//! The hub: every request, from its arrival to the last word on its attempts. It alone calls the [`Dispatcher`]; it knows no sockets and
//! no HTTP, so that another protocol can come through the same door. Its other parts are beside this file.

use super::durability::{Durability, DurabilityPolicy};
pub use super::in_flight::RequestManager;
use super::in_flight::{Attempt, InFlightRequest, SiblingRequest, number, worker_id};
use crate::decision::dispatcher::Dispatcher;
use crate::decision::interface::{
    Action, Entry, Event, NewRequest, Outcome, RequestId, Settings, SettingsError, WorkerId,
};
use crate::net::messages::{
    Answer, AttemptEnd, AttemptId, ClientId, Command, Input, Load, RequestTimer, Submission, Wait,
};
use postproxy_handover::StateUpdate;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// How often it is looked for records that have expired, in seconds.
const EXPIRY: f64 = 10.0;
/// What the dispatcher is told of an attempt that was turned away without proof: it takes no outcome of this number for one.
const TURNED_AWAY: u16 = 503;

impl RequestManager {
    /// A hub without requests.
    ///
    /// # Errors
    ///
    /// If the settings hold a figure out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            dispatcher: Dispatcher::new(settings.clone(), seed)?,
            settings,
            workers: Vec::new(),
            names: Vec::new(),
            numbers: HashMap::new(),
            banned: BTreeSet::new(),
            requests: BTreeMap::new(),
            by_id: HashMap::new(),
            by_client: HashMap::new(),
            by_attempt: HashMap::new(),
            probes: HashMap::new(),
            next_request: 1,
            next_attempt: 1,
            events: VecDeque::new(),
            touched: Vec::new(),
            keeping: None,
            joiners: BTreeMap::new(),
            by_key: HashMap::new(),
            writes: Vec::new(),
            linked: false,
            tales: Vec::new(),
            distant: BTreeMap::new(),
        })
    }

    /// Keeps jobs beyond this node's life from now on.
    pub fn enable_durability(&mut self, keeping: DurabilityPolicy) {
        self.keeping = Some(keeping);
    }

    /// How many requests wait for their final answer or for the end of an attempt.
    pub fn pending_count(&self) -> usize {
        self.requests.len() + self.joiners.len()
    }

    /// Takes one piece of news that happens at `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Command>) {
        self.handle_input(now, input, out);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.dispatcher.handle(now, &event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
        }
        for request in std::mem::take(&mut self.touched) {
            self.forget(now, request);
        }
        out.extend(self.tales.drain(..).map(|tale| Command::UpdateSiblings {
            except: None,
            update: tale,
        }));
        out.extend(
            self.writes
                .drain(..)
                .map(|(writes, wait)| Command::WriteRecords {
                    writes,
                    waiter: wait,
                }),
        );
    }

    pub(super) fn handle_input(&mut self, now: f64, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::RequestReceived { client, submission } => {
                self.arrived(now, client, submission, out)
            }
            Input::ClientDisconnected { client } => {
                if self.promoted(client) || self.unjoin(client) {
                    return;
                }
                if let Some(request) = self.by_client.remove(&client) {
                    let mut unwritten = Vec::new();
                    if let Some(t) = self.requests.get_mut(&request) {
                        t.client = None;
                        // With leave to cancel the dispatcher does so; what was never sent needs no leave.
                        if !self.settings.cancel_allowed {
                            unwritten.extend(t.unwritten(request));
                        }
                    }
                    self.events.push_back(Event::ClientDisconnected { request });
                    self.touched.push(request);
                    self.withdraw(now, unwritten, out);
                }
            }
            Input::AttemptWritten {
                attempt: attempt_id,
            } => {
                if let Some(a) = self.attempt(attempt_id) {
                    a.written = true;
                }
            }
            Input::ExchangeEnded {
                attempt: attempt_id,
                end: AttemptEnd::Accepted,
                ..
            } if !self.probes.contains_key(&attempt_id) => {
                if let Some(a) = self.attempt(attempt_id) {
                    (a.written, a.accepted) = (true, true);
                }
            }
            Input::ExchangeEnded {
                attempt: attempt_id,
                end,
                load,
            } => {
                if let Some((worker, asked)) = self.probes.remove(&attempt_id) {
                    return self.probed(worker, end, now - asked, &load);
                }
                let Some(&(request, attempt)) = self.by_attempt.get(&attempt_id) else {
                    return;
                };
                let Some(a) = self.attempt(attempt_id).filter(|a| !a.accepted) else {
                    return;
                };
                let outcome = match end {
                    AttemptEnd::NotRun => Outcome::Rejected,
                    AttemptEnd::TurnedAway => Outcome::Unknown(TURNED_AWAY),
                    AttemptEnd::NoRoom => Outcome::CancelledLocally,
                    AttemptEnd::NeverSent if !a.written => Outcome::ConnectFailed,
                    AttemptEnd::NeverSent | AttemptEnd::Reset => Outcome::Reset,
                    AttemptEnd::Accepted | AttemptEnd::Error => Outcome::Error,
                };
                self.ended(now, (request, attempt), outcome, &load);
            }
            Input::CallbackReceived {
                client,
                callback: call,
            } => {
                let known = self.by_id.contains_key(&call.id);
                if self.linked && !known {
                    out.push(Command::ForwardCallback {
                        client,
                        callback: call,
                    });
                } else if !self.call(now, client, call, out) {
                    out.push(Command::AcknowledgeCallback { client, known });
                }
            }
            Input::WriteCompleted {
                waiter: wait,
                durable,
            } => self.stored(now, wait, durable, out),
            Input::ResultRead { client, result } => {
                if self.unjoin(client) {
                    out.push(Command::AnswerClient {
                        client,
                        answer: result.map_or(Answer::Failed, Answer::Served),
                    });
                }
            }
            Input::StoreHealthChanged { writable: sound } => {
                let Some(keeping) = &mut self.keeping else {
                    return;
                };
                keeping.broken = !sound;
                let anew = if sound {
                    keeping.ledger.rewrite()
                } else {
                    Vec::new()
                };
                self.write(anew, Wait::Nobody(String::new()));
            }
            Input::WorkerListReceived {
                kind,
                workers: members,
            } => {
                let entries: Vec<Entry> = members
                    .into_iter()
                    .map(|member| self.member(member))
                    .collect();
                let unwritten = self.unwritten_to(&self.leaving(kind, &entries));
                self.events
                    .push_back(Event::WorkerListReceived { kind, entries });
                self.withdraw(now, unwritten, out);
            }
            Input::SuspensionRequested {
                caller,
                worker: name,
                resume: again,
            } => {
                let reply = self.employ(now, &name, again, out);
                out.push(Command::ReplyToManagement { caller, reply });
            }
            Input::SuspensionLearned {
                worker: name,
                resume: again,
            } => {
                // It may be known elsewhere before this node has it from the list.
                self.number(&name);
                self.employ(now, &name, again, out);
            }
            Input::NodeCountChanged { count } => {
                let known = u32::try_from(count).ok().filter(|count| *count > 0);
                self.events.push_back(Event::DispatcherCountChanged(
                    known.unwrap_or(self.settings.dispatcher_count),
                ));
            }
            Input::SiblingUpdate { link, update: tale } => self.heard(now, link, tale, out),
            Input::RequestMigrated {
                link,
                client,
                request: job,
            } => {
                if self.carry_on(now, link, client, &job, out).is_none() {
                    out.extend(client.map(|client| Command::AnswerClient {
                        client,
                        answer: Answer::Failed,
                    }));
                }
            }
            Input::CallbackRetried {
                client,
                callback: call,
            } => {
                // It may even have moved on: then the one who asked looks again, too.
                let known = self.by_id.contains_key(&call.id);
                if !self.call(now, client, call, out) {
                    out.push(Command::AcknowledgeCallback { client, known });
                }
            }
            Input::SiblingLost { link } => {
                let gone =
                    |(id, d): (&String, &SiblingRequest)| (d.link == link).then(|| id.clone());
                for id in self.distant.iter().filter_map(gone).collect::<Vec<_>>() {
                    self.heard(now, link, StateUpdate::Over { id }, out);
                }
            }
            Input::TimerExpired {
                timer: RequestTimer::Dispatcher(token),
            } => self.events.push_back(Event::TimerExpired { token }),
            Input::TimerExpired {
                timer: RequestTimer::Attempt(request, attempt),
            } => {
                self.abandon(request, attempt, out);
                self.ended(now, (request, attempt), Outcome::Timeout, &Load::new());
            }
            Input::TimerExpired {
                timer: RequestTimer::Intent(attempt_id),
            } => self.intent_stored(now, attempt_id, false, out),
            Input::TimerExpired {
                timer: RequestTimer::Joined(client),
            } => {
                // It may have run, and may run yet: no refusal would be true.
                if self.unjoin(client) {
                    out.push(Command::AnswerClient {
                        client,
                        answer: Answer::Failed,
                    });
                }
            }
            Input::TimerExpired {
                timer: RequestTimer::Expire,
            } => {
                if let Some(keeping) = &mut self.keeping {
                    keeping.ledger.expire(now);
                    out.push(Command::SetTimer {
                        at: now + EXPIRY,
                        timer: RequestTimer::Expire,
                    });
                }
            }
        }
    }

    /// How many clients may wait at a time.
    pub fn set_waiting_limit(&mut self, most: usize) {
        self.settings.max_waiting_requests = most;
    }

    /// How many clients wait for their final answer.
    pub fn waiting_client_count(&self) -> usize {
        self.by_client.len() + self.joiners.len()
    }

    pub(super) fn arrived(
        &mut self,
        now: f64,
        client: ClientId,
        submission: Submission,
        out: &mut Vec<Command>,
    ) {
        let id = &submission.payload.id;
        if self.by_id.contains_key(id) || self.distant.contains_key(id) {
            return out.push(Command::AnswerClient {
                client,
                answer: Answer::Held,
            });
        }
        if self.settings.max_waiting_requests > 0
            && self.by_client.len() + self.joiners.len() >= self.settings.max_waiting_requests
        {
            return out.push(Command::AnswerClient {
                client,
                answer: Answer::Failed,
            });
        }
        let Some(class) = self.settings.classes.get(submission.class as usize) else {
            return out.push(Command::AnswerClient {
                client,
                answer: Answer::Failed,
            });
        };
        let budget = submission
            .budget
            .unwrap_or(class.deadline)
            .min(class.deadline);
        let Some((submission, asker)) = self.known(client, submission, now + budget, out) else {
            return;
        };
        let request = self.next_request;
        self.next_request += 1;
        self.by_id.insert(submission.payload.id.clone(), request);
        self.by_client.insert(client, request);
        self.tell(|| StateUpdate::Taken {
            id: submission.payload.id.clone(),
            counts: true,
        });
        let tenants = &self.settings.tenant_names;
        let tenant = tenants
            .iter()
            .position(|name| Some(name) == submission.tenant.as_ref())
            .unwrap_or(0);
        let new = NewRequest {
            id: request,
            class: submission.class,
            tenant: tenant as u16,
            subject: submission.key,
            time_limit: budget,
            expected_work: submission.hint,
            slots: submission.slots.unwrap_or(1.0),
            memory: submission.memory.unwrap_or(0.0),
            is_marked_retry: submission.repeat,
            without_key: submission.payload.idempotency_key.is_none(),
        };
        if let (Some(_), Some(key)) = (&asker, &submission.payload.idempotency_key) {
            self.by_key.insert((submission.class, key.clone()), request);
        }
        let care = self
            .keeping
            .as_ref()
            .map_or(Durability::None, |keeping| keeping.care(submission.class));
        // A span that is off costs a look at a flag: its fields are then not made.
        let span = tracing::debug_span!(
            target: "postproxy::transaction",
            "transaction",
            id = %submission.payload.id,
            class = self.settings.classes[submission.class as usize].name,
            attempts = tracing::field::Empty,
            answer = tracing::field::Empty
        );
        let held = InFlightRequest {
            payload: Rc::new(submission.payload),
            client: Some(client),
            deadline: now + budget,
            attempts: Vec::new(),
            class: submission.class,
            care,
            asker,
            joined: Vec::new(),
            may_have_run: false,
            need: new.slots,
            hint: new.expected_work,
            span,
        };
        self.requests.insert(request, held);
        self.events.push_back(Event::RequestReceived(new));
    }

    /// The attempt of an attempt that has not ended.
    pub(super) fn attempt(&mut self, attempt_id: AttemptId) -> Option<&mut Attempt> {
        let &(request, attempt) = self.by_attempt.get(&attempt_id)?;
        self.requests
            .get_mut(&request)?
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| !a.ended)
    }

    /// Books the end of an attempt and tells the dispatcher, once.
    pub(super) fn ended(
        &mut self,
        now: f64,
        (request, attempt): (RequestId, u16),
        outcome: Outcome,
        load: &Load,
    ) {
        let Some(t) = self.requests.get_mut(&request) else {
            return;
        };
        let closed = t.client.is_none();
        let Some(a) = t.attempts.get_mut(attempt as usize).filter(|a| !a.ended) else {
            return;
        };
        a.ended = true;
        let never = !a.cleared || outcome.proves_never_ran(self.settings.full_may_have_run);
        t.may_have_run |= !never;
        if let (Some(keeping), Some(_)) = (&mut self.keeping, &t.asker)
            && outcome != Outcome::Succeeded
        {
            let writes = keeping
                .ledger
                .ended(now, &t.payload.id, attempt.into(), !never);
            if !writes.is_empty() {
                self.writes
                    .push((writes, Wait::Nobody(t.payload.id.clone())));
            }
        }
        let (worker, elapsed) = (worker_id(a.worker), now - a.sent);
        if self.linked {
            self.tales.push(StateUpdate::Ended {
                id: t.payload.id.clone(),
                attempt,
            });
        }
        self.by_attempt.remove(&a.attempt_id);
        let report = self.report(load);
        let event = Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            elapsed,
            answered: closed,
            report,
        };
        self.events.push_back(event);
        self.touched.push(request);
    }

    pub(super) fn answer(&mut self, client: ClientId, answer: Answer, out: &mut Vec<Command>) {
        if let Some(request) = self.by_client.remove(&client) {
            if let Some(t) = self.requests.get_mut(&request) {
                t.client = None;
                t.span.record("answer", answer.word());
                for other in std::mem::take(&mut t.joined) {
                    self.joiners.remove(&other);
                    out.push(Command::AnswerClient {
                        client: other,
                        answer: answer.clone(),
                    });
                }
            }
            self.touched.push(request);
            out.push(Command::AnswerClient { client, answer });
        }
    }

    /// Drops a request that has its final answer and no attempt out.
    pub(super) fn forget(&mut self, now: f64, request: RequestId) {
        let over = |t: &&InFlightRequest| t.client.is_none() && t.attempts.iter().all(|a| a.ended);
        if self.requests.get(&request).filter(over).is_none() {
            return;
        }
        let Some(t) = self.requests.remove(&request) else {
            return;
        };
        t.span.record("attempts", t.attempts.len());
        self.tell(|| StateUpdate::Over {
            id: t.payload.id.clone(),
        });
        self.by_id.remove(&t.payload.id);
        if let Some(key) = &t.payload.idempotency_key
            && self.by_key.get(&(t.class, key.clone())) == Some(&request)
        {
            self.by_key.remove(&(t.class, key.clone()));
        }
        if let (Some(keeping), Some(_)) = (&mut self.keeping, &t.asker) {
            let writes = keeping.ledger.over(now, &t.payload.id);
            self.write(writes, Wait::Nobody(t.payload.id.clone()));
        }
    }

    /// Does what the dispatcher asks for.
    pub(super) fn act(&mut self, now: f64, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::WatchDiscovery => {} // on sockets calls for the list have a schedule of their own
            Action::Send {
                request,
                worker,
                timeout,
            } => self.send(now, request, worker, timeout, out),
            Action::Cancel { request, attempt } => {
                self.abandon(request, attempt, out);
                self.ended(now, (request, attempt), Outcome::Cancelled, &Load::new());
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.finish(request, Answer::Unavailable(retry_after), out);
            }
            Action::Fail { request } => self.finish(request, Answer::Failed, out),
            Action::Timer { at, token } => out.push(Command::SetTimer {
                at,
                timer: RequestTimer::Dispatcher(token),
            }),
            Action::Probe { worker } => self.probe(now, number(worker), out),
        }
    }

    pub(super) fn finish(&mut self, request: RequestId, answer: Answer, out: &mut Vec<Command>) {
        if let Some(client) = self.requests.get(&request).and_then(|t| t.client) {
            self.answer(client, answer, out);
        }
    }

    pub(super) fn send(
        &mut self,
        now: f64,
        request: RequestId,
        worker: WorkerId,
        timeout: f64,
        out: &mut Vec<Command>,
    ) {
        let number = number(worker);
        let (Some(t), Some(address)) = (self.requests.get_mut(&request), self.workers.get(number))
        else {
            return;
        };
        let attempt = t.attempts.len() as u16;
        let attempt_id = self.next_attempt;
        self.next_attempt += 1;
        let (written, accepted, ended, returned) = (false, false, false, false);
        let left = t.deadline - now;
        let wait = if timeout > 0.0 {
            timeout.min(left)
        } else {
            left
        };
        let (until, cleared) = (now + wait, t.care != Durability::Durable);
        let sent = now;
        let new = Attempt {
            worker: number,
            attempt_id,
            sent,
            until,
            cleared,
            written,
            accepted,
            ended,
            returned,
        };
        t.attempts.push(new);
        self.by_attempt.insert(attempt_id, (request, attempt));
        if self.linked {
            let t = &self.requests[&request];
            self.tales
                .push(self.sent(now, t, &t.attempts[attempt as usize], attempt, true));
        }
        let Some(t) = self.requests.get_mut(&request) else {
            return;
        };
        let moot = t.client.is_none() || left <= 0.0 || attempt >= self.settings.max_attempts;
        if moot || timeout < 0.0 {
            let outcome = if moot {
                Outcome::CancelledLocally
            } else {
                Outcome::Timeout
            };
            return self.ended(now, (request, attempt), outcome, &Load::new());
        }
        out.push(Command::SetTimer {
            at: now + wait,
            timer: RequestTimer::Attempt(request, attempt),
        });
        if let (Some(keeping), Some(asker)) = (&mut self.keeping, &t.asker) {
            let writes =
                keeping
                    .ledger
                    .intend(now, &asker.asked(), &self.names[number], t.deadline);
            let id = &t.payload.id;
            let wait = if cleared {
                Wait::Nobody(id.clone())
            } else {
                Wait::Attempt(attempt_id)
            };
            self.writes.push((writes, wait));
            if !cleared {
                out.push(Command::SetTimer {
                    at: now + keeping.patience,
                    timer: RequestTimer::Intent(attempt_id),
                });
                return;
            }
        }
        out.push(Command::StartAttempt {
            attempt: attempt_id,
            worker: *address,
            payload: t.payload.clone(),
            deadline: until,
        });
    }

    /// Gives an attempt up towards its worker, if it has not ended.
    pub(super) fn abandon(&mut self, request: RequestId, attempt: u16, out: &mut Vec<Command>) {
        let Some(t) = self.requests.get(&request) else {
            return;
        };
        if let Some(a) = t.attempts.get(attempt as usize).filter(|a| !a.ended) {
            if !a.cleared {
                return; // its attempt was never started
            }
            let address = self.workers[a.worker];
            out.push(Command::CancelAttempt {
                attempt: a.attempt_id,
                worker: address,
                payload: t.payload.clone(),
                accepted: a.accepted,
            });
        }
    }
}

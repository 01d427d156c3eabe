//! State updates between the processes of one node, while one of them hands its work over to
//! another: which requests and attempts a sibling has, so that each process counts them in its
//! decisions.

use super::in_flight::{InFlightRequest, SiblingAttempt, SiblingRequest};
use super::manager::RequestManager;
use crate::decision::interface::{Event, SiblingEvent, finite_non_negative};
use crate::net::messages::Command;
use postproxy_handover::StateUpdate;

/// Number of the latest requests and of the latest retries that a sibling is sent for its budgets.
/// More would make the first message long, and budgets only count the last seconds.
const MAX_BUDGET_HISTORY: usize = 8192;

/// Slots of an attempt of a third process: this process does not store their number.
const UNKNOWN_SLOTS: f32 = 1.0;

/// Whether an attempt counts towards the siblings' budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BudgetCounting {
    /// It is new, and counts.
    New,
    /// It has been counted before.
    Counted,
}

/// Whether a sibling's update changes what the other siblings have to know.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Relay {
    /// It is relayed to them.
    ToOthers,
    /// It is not relayed: it is about an unknown request, or they are sent an update of this
    /// process instead.
    Stop,
}

impl RequestManager {
    /// Sends the siblings an update, if there are any.
    pub(super) fn notify_siblings(&mut self, update: impl FnOnce() -> StateUpdate) {
        if self.siblings_linked {
            self.sibling_updates.push(update());
        }
    }

    /// Sets whether sibling processes of this node are linked, which are sent each change from now
    /// on.
    pub fn set_siblings_linked(&mut self, linked: bool) {
        self.siblings_linked = linked;
    }

    /// Returns the updates from which a sibling learns the present state. Its budgets don't count
    /// them as new.
    pub fn snapshot_updates(&self, now: f64) -> Vec<StateUpdate> {
        let mut updates: Vec<StateUpdate> = self
            .workers
            .suspended_names()
            .map(|worker| StateUpdate::WorkerSuspensionChanged {
                worker,
                resume: false,
            })
            .collect();
        updates.push(self.budget_history(now));
        for in_flight in self.requests.values() {
            updates.push(StateUpdate::RequestAdmitted {
                id: in_flight.payload.id.clone(),
                is_new: false,
            });
            updates.extend(in_flight.open_attempts().map(|(number, _)| {
                self.attempt_sent_update(now, in_flight, number, BudgetCounting::Counted)
            }));
        }
        for (id, request) in &self.sibling_requests {
            updates.extend(self.sibling_request_updates(id, request));
        }
        updates
    }

    /// Returns when the latest requests were admitted and the latest retries sent.
    fn budget_history(&self, now: f64) -> StateUpdate {
        let history = self.dispatcher.budget_history(MAX_BUDGET_HISTORY);
        let ages = |times: Vec<f64>| times.into_iter().map(|at| (now - at) as f32).collect();
        StateUpdate::BudgetHistory {
            admissions: ages(history.admitted),
            retries: ages(history.retries),
        }
    }

    /// Returns the updates that announce a third process's request.
    fn sibling_request_updates(&self, id: &str, request: &SiblingRequest) -> Vec<StateUpdate> {
        let admitted = StateUpdate::RequestAdmitted {
            id: id.to_owned(),
            is_new: false,
        };
        let sent = request
            .open_attempts
            .iter()
            .map(|open| StateUpdate::AttemptSent {
                id: id.to_owned(),
                attempt: open.attempt,
                worker: self.workers.name(open.worker).to_owned(),
                slots: UNKNOWN_SLOTS,
                expected_work: 0.0,
                seconds_ago: 0.0,
                is_new: false,
            });
        std::iter::once(admitted).chain(sent).collect()
    }

    /// Returns the update that announces an attempt.
    pub(super) fn attempt_sent_update(
        &self,
        now: f64,
        in_flight: &InFlightRequest,
        number: u16,
        counting: BudgetCounting,
    ) -> StateUpdate {
        let attempt = &in_flight.attempts[number as usize];
        StateUpdate::AttemptSent {
            id: in_flight.payload.id.clone(),
            attempt: number,
            worker: self.workers.name(attempt.worker).to_owned(),
            slots: in_flight.slots as f32,
            expected_work: in_flight.expected_work.unwrap_or(0.0) as f32,
            seconds_ago: (now - attempt.sent_at) as f32,
            is_new: counting == BudgetCounting::New,
        }
    }

    /// Applies a sibling's update, and relays it to the other siblings.
    pub(super) fn handle_sibling_update(
        &mut self,
        now: f64,
        link: usize,
        update: StateUpdate,
        out: &mut Vec<Command>,
    ) {
        let relay = match &update {
            StateUpdate::WorkerSuspensionChanged { worker, resume } => {
                // A change is announced as this process's own.
                self.handle_suspension_learned(now, worker, *resume, out);
                Relay::Stop
            }
            StateUpdate::BudgetHistory {
                admissions,
                retries,
            } => {
                self.push_budget_history(times(now, admissions), times(now, retries));
                Relay::ToOthers
            }
            StateUpdate::RequestAdmitted { id, is_new } => {
                if *is_new {
                    self.push_budget_history(vec![now], Vec::new());
                }
                self.add_sibling_request(link, id);
                Relay::ToOthers
            }
            StateUpdate::AttemptSent { .. } => self.add_sibling_attempt(now, &update),
            StateUpdate::AttemptEnded { id, attempt } => self.remove_sibling_attempt(id, *attempt),
            StateUpdate::RequestFinished { id } => self.remove_sibling_request(id),
            // The node handles these itself.
            StateUpdate::DrainChanged { .. } | StateUpdate::WorkerList(_) => Relay::Stop,
        };
        if relay == Relay::ToOthers {
            out.push(Command::UpdateSiblings {
                except: Some(link),
                update,
            });
        }
    }

    /// Removes the requests of a sibling whose link has closed.
    pub(super) fn handle_sibling_lost(&mut self, now: f64, link: usize, out: &mut Vec<Command>) {
        let lost: Vec<String> = self
            .sibling_requests
            .iter()
            .filter(|(_, request)| request.link == link)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.handle_sibling_update(now, link, StateUpdate::RequestFinished { id }, out);
        }
    }

    fn push_sibling_event(&mut self, event: SiblingEvent) {
        self.dispatcher_events.push_back(Event::SiblingEvent(event));
    }

    /// Has the dispatcher's budgets count a sibling's requests and retries of these times.
    fn push_budget_history(&mut self, admitted: Vec<f64>, retries: Vec<f64>) {
        self.push_sibling_event(SiblingEvent::BudgetHistory { admitted, retries });
    }

    fn add_sibling_request(&mut self, link: usize, id: &str) {
        let request = SiblingRequest {
            link,
            request: self.next_request,
            open_attempts: Vec::new(),
        };
        self.next_request += 1;
        self.sibling_requests
            .entry(id.to_owned())
            .or_insert(request);
    }

    /// Adds the attempt that a [`StateUpdate::AttemptSent`] announces.
    fn add_sibling_attempt(&mut self, now: f64, update: &StateUpdate) -> Relay {
        let StateUpdate::AttemptSent {
            id,
            attempt,
            worker,
            slots,
            expected_work,
            seconds_ago,
            is_new,
        } = update
        else {
            return Relay::Stop;
        };
        let worker = self.workers.find_or_add(worker);
        let Some(request) = self.sibling_requests.get_mut(id) else {
            return Relay::Stop;
        };
        request.open_attempts.push(SiblingAttempt {
            attempt: *attempt,
            worker,
        });
        let request = request.request;
        self.push_sibling_event(SiblingEvent::AttemptSent {
            request,
            attempt: *attempt,
            worker: worker.id(),
            slots: f64::from(*slots),
            work: finite_non_negative((*expected_work).into()).filter(|seconds| *seconds > 0.0),
            sent: time_of(now, *seconds_ago),
        });
        if *is_new && *attempt > 0 {
            self.push_budget_history(Vec::new(), vec![now]);
        }
        Relay::ToOthers
    }

    fn remove_sibling_attempt(&mut self, id: &str, number: u16) -> Relay {
        let Some(request) = self.sibling_requests.get_mut(id) else {
            return Relay::Stop;
        };
        let position = request
            .open_attempts
            .iter()
            .position(|open| open.attempt == number);
        let Some(position) = position else {
            return Relay::Stop;
        };
        let ended = request.open_attempts.swap_remove(position);
        let request = request.request;
        self.push_sibling_event(SiblingEvent::AttemptEnded {
            request,
            attempt: ended.attempt,
            worker: ended.worker.id(),
        });
        Relay::ToOthers
    }

    fn remove_sibling_request(&mut self, id: &str) -> Relay {
        let Some(request) = self.sibling_requests.remove(id) else {
            return Relay::Stop;
        };
        for ended in request.open_attempts {
            self.push_sibling_event(SiblingEvent::AttemptEnded {
                request: request.request,
                attempt: ended.attempt,
                worker: ended.worker.id(),
            });
        }
        Relay::ToOthers
    }
}

/// Returns the time that lies `age` seconds back; never one in the future.
fn time_of(now: f64, age: f32) -> f64 {
    now - f64::from(age).max(0.0)
}

fn times(now: f64, ages: &[f32]) -> Vec<f64> {
    ages.iter().map(|age| time_of(now, *age)).collect()
}

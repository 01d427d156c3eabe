//! State updates between the processes of a node during a handover. They tell each process which
//! requests and attempts its siblings have, so that its decisions account for them.

use super::in_flight::{InFlightRequest, SiblingAttempt, SiblingRequest};
use super::manager::RequestManager;
use crate::decision::interface::{Event, SiblingEvent, finite_non_negative};
use crate::net::messages::Command;
use postproxy_handover::StateUpdate;

/// Maximum number of recent requests, and of recent retries, that are sent to a sibling for its
/// budgets. More would make the first message long, and budgets only count the last seconds.
const MAX_BUDGET_HISTORY: usize = 8192;

/// Slots announced for an attempt of a third process, whose actual number this process does not
/// store.
const UNKNOWN_SLOTS: f32 = 1.0;

/// Whether an attempt counts towards the siblings' budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BudgetCounting {
    /// It is new and counts.
    New,
    /// It has already been counted.
    Counted,
}

/// Whether a sibling's update is relayed to the other siblings.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Relay {
    /// It is relayed.
    ToOthers,
    /// It is not relayed: it is about an unknown request, this process sends an update of its own
    /// instead, or the node handles it.
    Stop,
}

impl RequestManager {
    /// Queues an update for the siblings, if any are linked.
    pub(super) fn notify_siblings(&mut self, update: impl FnOnce() -> StateUpdate) {
        if self.siblings_linked {
            self.sibling_updates.push(update());
        }
    }

    /// Sets whether sibling processes of this node are linked. If so, every change is sent to them
    /// from now on.
    pub fn set_siblings_linked(&mut self, linked: bool) {
        self.siblings_linked = linked;
    }

    /// Returns the updates that tell a newly linked sibling the current state. They are marked so
    /// that its budgets don't count these requests and attempts as new.
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

    /// Returns how long ago the most recent requests were admitted and the most recent retries were
    /// sent.
    fn budget_history(&self, now: f64) -> StateUpdate {
        let history = self.dispatcher.budget_history(MAX_BUDGET_HISTORY);
        let ages = |times: Vec<f64>| times.into_iter().map(|at| (now - at) as f32).collect();
        StateUpdate::BudgetHistory {
            admissions: ages(history.admitted),
            retries: ages(history.retries),
        }
    }

    /// Returns the updates that announce a request of a third process.
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

    /// Applies a sibling's update, and relays it to the other siblings if necessary.
    pub(super) fn handle_sibling_update(
        &mut self,
        now: f64,
        link: usize,
        update: StateUpdate,
        out: &mut Vec<Command>,
    ) {
        let relay = match &update {
            StateUpdate::WorkerSuspensionChanged { worker, resume } => {
                // If this changes anything, this process announces the change as its own.
                self.handle_suspension_learned(now, worker, *resume, out);
                Relay::Stop
            }
            StateUpdate::BudgetHistory {
                admissions,
                retries,
            } => {
                self.push_budget_history(
                    times_from_ages(now, admissions),
                    times_from_ages(now, retries),
                );
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

    /// Adds a sibling's requests and retries, given by their times, to the dispatcher's budgets.
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
            sent: time_from_age(now, *seconds_ago),
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

/// Returns the time `age` seconds before `now`; never a time in the future.
fn time_from_age(now: f64, age: f32) -> f64 {
    now - f64::from(age).max(0.0)
}

fn times_from_ages(now: f64, ages: &[f32]) -> Vec<f64> {
    ages.iter().map(|age| time_from_age(now, *age)).collect()
}

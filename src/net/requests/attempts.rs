//! Attempts: their start, their end, and their withdrawal.

use super::durability::Durability;
use super::in_flight::{Attempt, AttemptKey, InFlightRequest, UnwrittenAttempt};
use super::manager::RequestManager;
use super::siblings::BudgetCounting;
use super::worker_table::WorkerIndex;
use crate::decision::interface::{Event, Outcome, RequestId};
use crate::net::messages::{AttemptEnd, AttemptId, Command, Load, RequestTimer, WriteWaiter};
use postproxy_handover::StateUpdate;
use postproxy_idempotency::AttemptFailure;
use std::collections::BTreeSet;

/// Outcome code passed to the dispatcher for an ambiguous rejection. The dispatcher does not know
/// this code and therefore treats the attempt as one that may have run.
const AMBIGUOUS_REJECTION_CODE: u16 = 503;

impl RequestManager {
    /// Starts an attempt requested by the dispatcher, either immediately or once its record is
    /// durable.
    ///
    /// A `timeout` of 0 means that the attempt may last until the client's deadline. The attempt
    /// ends before anything is sent if `timeout` is negative, if the client has disconnected or its
    /// deadline has passed, or if the maximum number of attempts has been reached.
    pub(super) fn start_attempt(
        &mut self,
        now: f64,
        request: RequestId,
        worker: WorkerIndex,
        timeout: f64,
        out: &mut Vec<Command>,
    ) {
        if !self.workers.contains(worker) {
            return;
        }
        let Some(key) = self.add_attempt(now, request, worker, timeout) else {
            return;
        };
        let in_flight = &self.requests[&request];
        if self.siblings_linked {
            let update = self.attempt_sent_update(now, in_flight, key.attempt, BudgetCounting::New);
            self.sibling_updates.push(update);
        }
        if let Some(outcome) = self.outcome_before_start(now, key, timeout) {
            return self.record_attempt_end(now, key, outcome, &Load::new());
        }
        let attempt = &self.requests[&request].attempts[key.attempt as usize];
        let may_start = attempt.may_start;
        out.push(Command::SetTimer {
            at: attempt.deadline,
            timer: RequestTimer::AttemptTimeout {
                request,
                attempt: key.attempt,
            },
        });
        self.write_attempt_record(now, key, out);
        if may_start {
            self.push_start_command(key, out);
        }
    }

    /// Adds an attempt to its request.
    fn add_attempt(
        &mut self,
        now: f64,
        request: RequestId,
        worker: WorkerIndex,
        timeout: f64,
    ) -> Option<AttemptKey> {
        let in_flight = self.requests.get_mut(&request)?;
        let id = self.next_attempt;
        self.next_attempt += 1;
        let remaining = in_flight.deadline - now;
        let duration = if timeout > 0.0 {
            timeout.min(remaining)
        } else {
            remaining
        };
        let key = AttemptKey {
            request,
            attempt: in_flight.attempts.len() as u16,
        };
        in_flight.attempts.push(Attempt {
            id,
            worker,
            sent_at: now,
            deadline: now + duration,
            may_start: in_flight.durability != Durability::Durable,
            written: false,
            accepted: false,
            ended: false,
            returned: false,
        });
        self.attempts.insert(id, key);
        Some(key)
    }

    /// Returns the outcome of an attempt that ends before anything is sent; `None` if it can start.
    fn outcome_before_start(&self, now: f64, key: AttemptKey, timeout: f64) -> Option<Outcome> {
        let in_flight = &self.requests[&key.request];
        let abandoned = in_flight.client.is_none()
            || in_flight.deadline - now <= 0.0
            || key.attempt >= self.settings.max_attempts;
        if abandoned {
            Some(Outcome::CancelledLocally)
        } else if timeout < 0.0 {
            Some(Outcome::Timeout)
        } else {
            None
        }
    }

    /// Emits the command that starts an attempt's exchange with its worker.
    pub(super) fn push_start_command(&self, key: AttemptKey, out: &mut Vec<Command>) {
        let Some(in_flight) = self.requests.get(&key.request) else {
            return;
        };
        let attempt = &in_flight.attempts[key.attempt as usize];
        out.push(Command::StartAttempt {
            attempt: attempt.id,
            worker: self.workers.address(attempt.worker),
            payload: in_flight.payload.clone(),
            deadline: attempt.deadline,
        });
    }

    /// Returns an attempt if it has not ended.
    pub(super) fn open_attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let key = self.attempts.get(&id)?;
        self.requests
            .get_mut(&key.request)?
            .attempts
            .get_mut(key.attempt as usize)
            .filter(|attempt| !attempt.ended)
    }

    pub(super) fn handle_attempt_written(&mut self, id: AttemptId) {
        if let Some(attempt) = self.open_attempt(id) {
            attempt.written = true;
        }
    }

    /// Handles the end of the HTTP exchange of an attempt or of a probe.
    pub(super) fn handle_exchange_ended(
        &mut self,
        now: f64,
        id: AttemptId,
        end: AttemptEnd,
        load: &Load,
    ) {
        if let Some(probe) = self.probes.remove(&id) {
            return self.record_probe_end(now, &probe, end, load);
        }
        let Some(&key) = self.attempts.get(&id) else {
            return;
        };
        let Some(attempt) = self.open_attempt(id) else {
            return;
        };
        if end == AttemptEnd::Accepted {
            attempt.written = true;
            attempt.accepted = true;
            return;
        }
        // Once a worker has accepted an attempt, a broken connection says nothing about the
        // outcome; the worker's callback determines it.
        if !attempt.accepted {
            let outcome = outcome_of_end(end, attempt.written);
            self.record_attempt_end(now, key, outcome, load);
        }
    }

    pub(super) fn handle_attempt_timeout(
        &mut self,
        now: f64,
        key: AttemptKey,
        out: &mut Vec<Command>,
    ) {
        self.push_cancel_command(key, out);
        self.record_attempt_end(now, key, Outcome::Timeout, &Load::new());
    }

    /// Cancels an attempt at its worker and records its end.
    pub(super) fn cancel_attempt(&mut self, now: f64, key: AttemptKey, out: &mut Vec<Command>) {
        self.push_cancel_command(key, out);
        self.record_attempt_end(now, key, Outcome::Cancelled, &Load::new());
    }

    /// Emits the command that cancels an attempt at its worker, if the attempt may have started and
    /// has not ended.
    fn push_cancel_command(&self, key: AttemptKey, out: &mut Vec<Command>) {
        let Some(in_flight) = self.requests.get(&key.request) else {
            return;
        };
        let attempt = in_flight.attempts.get(key.attempt as usize);
        if let Some(attempt) = attempt.filter(|attempt| !attempt.ended && attempt.may_start) {
            out.push(Command::CancelAttempt {
                attempt: attempt.id,
                worker: self.workers.address(attempt.worker),
                payload: in_flight.payload.clone(),
                accepted: attempt.accepted,
            });
        }
    }

    /// Records the end of an attempt in its request and in the request log, and reports it to the
    /// siblings and the dispatcher. Does nothing if the attempt has already ended.
    pub(super) fn record_attempt_end(
        &mut self,
        now: f64,
        key: AttemptKey,
        outcome: Outcome,
        load: &Load,
    ) {
        let AttemptKey { request, attempt } = key;
        let Some(in_flight) = self.requests.get_mut(&request) else {
            return;
        };
        let answered = in_flight.client.is_none();
        let ended = in_flight.attempts.get_mut(attempt as usize);
        let Some(ended) = ended.filter(|attempt| !attempt.ended) else {
            return;
        };
        ended.ended = true;
        let never_ran =
            !ended.may_start || outcome.proves_never_ran(self.settings.rejected_may_have_run);
        let worker = ended.worker.id();
        let elapsed = now - ended.sent_at;
        self.attempts.remove(&ended.id);
        in_flight.may_have_run |= !never_ran;
        let request_id = &in_flight.payload.id;
        if let (Some(policy), Some(_)) = (&mut self.durability, &in_flight.fingerprint)
            && outcome != Outcome::Succeeded
        {
            let failure = if never_ran {
                AttemptFailure::NeverRan
            } else {
                AttemptFailure::MayHaveRun
            };
            let records =
                policy
                    .request_log
                    .record_attempt_ended(now, request_id, attempt.into(), failure);
            let request_id = request_id.clone();
            self.queue_write(records, WriteWaiter::NoWaiter { request_id });
        }
        if self.siblings_linked {
            let id = self.requests[&request].payload.id.clone();
            self.sibling_updates
                .push(StateUpdate::AttemptEnded { id, attempt });
        }
        let report = self.load_report(load);
        self.dispatcher_events.push_back(Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            elapsed,
            answered,
            report,
        });
        self.maybe_complete.push(request);
    }

    /// Returns the attempts to these workers whose last byte has not been written.
    ///
    /// This includes attempts whose connection is still being established. What matters to a
    /// draining worker is when the first byte is sent, and establishing a connection may take
    /// longer than the drain allows.
    pub(super) fn unwritten_attempts_to(
        &self,
        workers: &BTreeSet<WorkerIndex>,
    ) -> Vec<UnwrittenAttempt> {
        if workers.is_empty() {
            return Vec::new();
        }
        let unwritten = |(&request, in_flight): (&RequestId, &InFlightRequest)| {
            in_flight
                .unwritten_attempts(request)
                .filter(|attempt| workers.contains(&attempt.worker))
                .collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(unwritten).collect()
    }

    /// Withdraws attempts whose last byte has not been written. Workers don't run incomplete
    /// requests, so this is allowed even if the settings forbid cancellation.
    pub(super) fn withdraw_attempts(
        &mut self,
        now: f64,
        attempts: Vec<UnwrittenAttempt>,
        out: &mut Vec<Command>,
    ) {
        for attempt in attempts {
            if attempt.may_start {
                out.push(Command::WithdrawAttempt {
                    attempt: attempt.id,
                });
            } else {
                self.record_attempt_end(now, attempt.key, Outcome::CancelledLocally, &Load::new());
            }
        }
    }
}

/// Returns the dispatcher's outcome for the end of an attempt's exchange. `written` says whether
/// the attempt's last byte was written.
fn outcome_of_end(end: AttemptEnd, written: bool) -> Outcome {
    match end {
        AttemptEnd::RejectedUnstarted => Outcome::Rejected,
        AttemptEnd::RejectedAmbiguous => Outcome::Unknown(AMBIGUOUS_REJECTION_CODE),
        AttemptEnd::LocalCapacityExhausted => Outcome::CancelledLocally,
        AttemptEnd::NeverSent if !written => Outcome::ConnectFailed,
        AttemptEnd::NeverSent | AttemptEnd::Reset => Outcome::Reset,
        AttemptEnd::Accepted | AttemptEnd::Error => Outcome::Error,
    }
}

//! Writes of the request log's records: what is written, and what waits until a write is durable.

use super::in_flight::{AttemptKey, PendingWrite};
use super::manager::RequestManager;
use crate::decision::interface::{Event, Outcome};
use crate::net::messages::{Answer, AttemptId, Command, Load, RequestTimer, WriteWaiter};
use postproxy_idempotency::Write;

/// Interval at which expired records are removed from the request log, in seconds. Lookups don't
/// depend on it; it only limits how long expired records occupy memory.
const EXPIRY_INTERVAL_SECONDS: f64 = 10.0;

impl RequestManager {
    /// Queues records to be written in one batch; does nothing if there are none.
    pub(super) fn queue_write(&mut self, records: Vec<Write>, waiter: WriteWaiter) {
        if !records.is_empty() {
            self.pending_writes.push(PendingWrite { records, waiter });
        }
    }

    /// Records in the request log that an attempt is about to be sent, if its request is recorded
    /// at all. If the record has to be durable first, the attempt waits for the write up to the
    /// policy's write timeout.
    pub(super) fn write_attempt_record(
        &mut self,
        now: f64,
        key: AttemptKey,
        out: &mut Vec<Command>,
    ) {
        let Some(in_flight) = self.requests.get(&key.request) else {
            return;
        };
        let (Some(policy), Some(fingerprint)) = (&mut self.durability, &in_flight.fingerprint)
        else {
            return;
        };
        let attempt = &in_flight.attempts[key.attempt as usize];
        let records = policy.request_log.record_attempt_intent(
            now,
            &fingerprint.identity(),
            self.workers.name(attempt.worker),
            in_flight.deadline,
        );
        let waiter = if attempt.may_start {
            WriteWaiter::NoWaiter {
                request_id: in_flight.payload.id.clone(),
            }
        } else {
            out.push(Command::SetTimer {
                at: now + policy.write_timeout,
                timer: RequestTimer::DurabilityTimeout {
                    attempt: attempt.id,
                },
            });
            WriteWaiter::Attempt {
                attempt: attempt.id,
            }
        };
        // Queued even without records, since the attempt waits for the completion.
        self.pending_writes.push(PendingWrite { records, waiter });
    }

    /// Continues what waited for a write that has become durable or never will.
    pub(super) fn handle_write_completed(
        &mut self,
        now: f64,
        waiter: WriteWaiter,
        durable: bool,
        out: &mut Vec<Command>,
    ) {
        let request_id = match waiter {
            WriteWaiter::Attempt { attempt } if durable => {
                return self.start_recorded_attempt(attempt, out);
            }
            WriteWaiter::Attempt { attempt } => {
                return self.reject_unrecorded_attempt(now, attempt, out);
            }
            WriteWaiter::Callback { client, request_id } => {
                out.push(Command::AcknowledgeCallback {
                    client,
                    known: true,
                });
                request_id
            }
            WriteWaiter::NoWaiter { request_id } => request_id,
        };
        if let Some(policy) = self.durability.as_mut().filter(|_| !durable) {
            policy.request_log.mark_unwritten(&request_id);
        }
    }

    /// Starts an attempt whose record has become durable.
    fn start_recorded_attempt(&mut self, id: AttemptId, out: &mut Vec<Command>) {
        let Some(&key) = self.attempts.get(&id) else {
            return;
        };
        if let Some(attempt) = self.open_attempt(id).filter(|attempt| !attempt.may_start) {
            attempt.may_start = true;
            self.push_start_command(key, out);
        }
    }

    /// Ends an attempt whose record has not become durable, and answers its request immediately:
    /// running it would break the guarantee that it is recorded.
    pub(super) fn reject_unrecorded_attempt(
        &mut self,
        now: f64,
        id: AttemptId,
        out: &mut Vec<Command>,
    ) {
        let Some(&key) = self.attempts.get(&id) else {
            return;
        };
        if self
            .open_attempt(id)
            .is_none_or(|attempt| attempt.may_start)
        {
            return;
        }
        // This attempt was not sent, but an earlier one may have run.
        let may_have_run = self
            .requests
            .get(&key.request)
            .is_some_and(|in_flight| in_flight.may_have_run);
        let retry_after = self
            .durability
            .as_ref()
            .map_or(0.0, |policy| policy.retry_after);
        let answer = if may_have_run {
            Answer::Failed
        } else {
            Answer::RejectedWithRetryAfter(retry_after)
        };
        self.answer_request(key.request, answer, out);
        self.dispatcher_events.push_back(Event::ClientDisconnected {
            request: key.request,
        });
        self.record_attempt_end(now, key, Outcome::CancelledLocally, &Load::new());
    }

    /// Updates whether the store accepts writes. When it does again, all records that could not be
    /// written are written again.
    pub(super) fn handle_store_health_changed(&mut self, writable: bool) {
        let Some(policy) = &mut self.durability else {
            return;
        };
        policy.store_failed = !writable;
        if writable {
            let records = policy.request_log.rewrite_unwritten();
            self.queue_write(
                records,
                WriteWaiter::NoWaiter {
                    request_id: String::new(),
                },
            );
        }
    }

    /// Removes expired records from the request log, and sets the timer for the next removal.
    pub(super) fn expire_records(&mut self, now: f64, out: &mut Vec<Command>) {
        if let Some(policy) = &mut self.durability {
            policy.request_log.remove_expired(now);
            out.push(Command::SetTimer {
                at: now + EXPIRY_INTERVAL_SECONDS,
                timer: RequestTimer::ExpireRecords,
            });
        }
    }
}

//! The records of the request core: requests in flight, their attempts, the clients that wait for
//! them, and the requests of sibling processes. Plain data.

use super::durability::{Durability, RequestFingerprint};
use super::worker_table::WorkerIndex;
use crate::decision::interface::RequestId;
use crate::net::messages::{AttemptId, ClientId, Payload, Submission, WriteWaiter};
use postproxy_idempotency::Write;
use std::rc::Rc;

/// An attempt by its request and its number within the request, as the dispatcher names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub(super) attempt: u16,
}

/// One sending of a request to a worker.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) worker: WorkerIndex,
    /// When the dispatcher decided on the attempt.
    pub(super) sent_at: f64,
    /// When the attempt ends for want of an answer.
    pub(super) deadline: f64,
    /// Whether the attempt may start, or has: what must be durable before its first byte is.
    pub(super) may_start: bool,
    /// Whether its last byte has been written to the worker.
    pub(super) written: bool,
    /// Whether the worker has accepted it; from then on only its call-backs decide on it.
    pub(super) accepted: bool,
    pub(super) ended: bool,
    /// Whether the worker has handed it back in a call-back. It may repeat that call-back.
    pub(super) returned: bool,
}

/// A request that waits for its final answer or for the end of an attempt.
pub(super) struct InFlightRequest {
    pub(super) payload: Rc<Payload>,
    /// The client, while it waits for its final answer.
    pub(super) client: Option<ClientId>,
    /// When the client stops waiting.
    pub(super) deadline: f64,
    /// All attempts so far; the position is the attempt's number.
    pub(super) attempts: Vec<Attempt>,
    /// Index of the class in the settings.
    pub(super) class: u8,
    /// How durably the request is recorded.
    pub(super) durability: Durability,
    /// What identifies the request in the request log; `None` if it is not recorded there.
    pub(super) fingerprint: Option<Rc<RequestFingerprint>>,
    /// Further clients that wait for the same answer, in the order of their arrival.
    pub(super) waiters: Vec<ClientId>,
    /// Whether an attempt has ended that may have run.
    pub(super) may_have_run: bool,
    /// Slots that the request takes.
    pub(super) slots: f64,
    /// Expected work in seconds, if the client has given it.
    pub(super) expected_work: Option<f64>,
    /// The request's span in the logs; disabled where its level is off.
    pub(super) span: tracing::Span,
}

impl InFlightRequest {
    /// Returns the attempts that have not ended, each with its number.
    pub(super) fn open_attempts(&self) -> impl Iterator<Item = (u16, &Attempt)> {
        (0..)
            .zip(&self.attempts)
            .filter(|(_, attempt)| !attempt.ended)
    }

    /// Returns the attempts whose last byte has not been written.
    pub(super) fn unwritten_attempts(
        &self,
        request: RequestId,
    ) -> impl Iterator<Item = UnwrittenAttempt> {
        self.open_attempts()
            .filter(|(_, attempt)| !attempt.written)
            .map(move |(number, attempt)| UnwrittenAttempt {
                key: AttemptKey {
                    request,
                    attempt: number,
                },
                id: attempt.id,
                worker: attempt.worker,
                may_start: attempt.may_start,
            })
    }

    /// Whether the request has its final answer and no attempt out.
    pub(super) fn is_complete(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(|attempt| attempt.ended)
    }
}

/// An attempt whose last byte has not been written.
pub(super) struct UnwrittenAttempt {
    pub(super) key: AttemptKey,
    pub(super) id: AttemptId,
    pub(super) worker: WorkerIndex,
    /// Whether the attempt may start, or has.
    pub(super) may_start: bool,
}

/// What a client waits for that does not cause attempts of its own.
pub(super) enum CoalescedWaiter {
    /// The answer of a request in flight.
    InFlight(RequestId),
    /// The outcome of a request that was recorded before a restart, and may have run.
    InDoubt(InDoubtRequest),
    /// A stored result, which is being read.
    StoredResult,
}

/// A repetition of a request that was recorded before a restart, and may have run.
pub(super) struct InDoubtRequest {
    /// Id under which the request is recorded.
    pub(super) recorded_id: String,
    /// The repetition, which runs if a call-back proves that the recorded request never has.
    pub(super) submission: Box<Submission>,
    /// When the client stops waiting.
    pub(super) deadline: f64,
}

/// A request that a sibling process of this node holds.
pub(super) struct SiblingRequest {
    /// The link to the sibling.
    pub(super) link: usize,
    /// Number under which the dispatcher of this process counts it.
    pub(super) request: RequestId,
    /// Its attempts that have not ended.
    pub(super) open_attempts: Vec<SiblingAttempt>,
}

/// An attempt that a sibling process of this node has out.
#[derive(Clone, Copy)]
pub(super) struct SiblingAttempt {
    /// Number of the attempt within the request, from 0.
    pub(super) attempt: u16,
    pub(super) worker: WorkerIndex,
}

/// A probe that has not ended.
pub(super) struct PendingProbe {
    pub(super) worker: WorkerIndex,
    pub(super) sent_at: f64,
}

/// Records on their way to the store.
pub(super) struct PendingWrite {
    pub(super) records: Vec<Write>,
    pub(super) waiter: WriteWaiter,
}

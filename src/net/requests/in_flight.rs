//! Data types of the request core: requests in flight, their attempts, the clients that wait for
//! them, and the requests of sibling processes.

use super::durability::{Durability, RequestFingerprint};
use super::worker_table::WorkerIndex;
use crate::decision::interface::RequestId;
use crate::net::messages::{AttemptId, ClientId, Payload, Submission, WriteWaiter};
use postproxy_idempotency::Write;
use std::rc::Rc;

/// Identifies an attempt by its request and its number within the request, as the dispatcher does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub(super) attempt: u16,
}

/// An attempt to run a request at a worker.
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) worker: WorkerIndex,
    /// When the dispatcher decided on the attempt.
    pub(super) sent_at: f64,
    /// When the attempt times out.
    pub(super) deadline: f64,
    /// Whether the attempt may start or has started: everything that must be durable before its
    /// first byte is sent is durable.
    pub(super) may_start: bool,
    /// Whether its last byte has been written to the worker.
    pub(super) written: bool,
    /// Whether the worker has accepted it. From then on, the outcome is determined by the worker's
    /// callbacks and not by the connection.
    pub(super) accepted: bool,
    pub(super) ended: bool,
    /// Whether the worker has returned it in a callback. The worker may repeat that callback.
    pub(super) returned: bool,
}

/// A request that has not been answered or still has an open attempt.
pub(super) struct InFlightRequest {
    pub(super) payload: Rc<Payload>,
    /// The client; `None` once it has been answered or has disconnected.
    pub(super) client: Option<ClientId>,
    /// When the client stops waiting.
    pub(super) deadline: f64,
    /// All attempts so far; the position is the attempt's number.
    pub(super) attempts: Vec<Attempt>,
    /// Index of the class in the settings.
    pub(super) class: u8,
    /// How durably the request is recorded.
    pub(super) durability: Durability,
    /// Identity of the request in the request log; `None` if it is not recorded there.
    pub(super) fingerprint: Option<Rc<RequestFingerprint>>,
    /// Other clients that wait for the same answer, in order of arrival.
    pub(super) waiters: Vec<ClientId>,
    /// Whether any of the ended attempts may have run.
    pub(super) may_have_run: bool,
    /// Whether an earlier request with the same id was returned by its worker, which may repeat
    /// that callback.
    pub(super) returned_before: bool,
    /// Slots that the request takes.
    pub(super) slots: f64,
    /// Expected work in seconds, if the client has specified it.
    pub(super) expected_work: Option<f64>,
    /// The request's tracing span; disabled if its log level is.
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

    /// Whether no client waits for the request's answer and it has no open attempt.
    pub(super) fn is_complete(&self) -> bool {
        self.client.is_none() && self.attempts.iter().all(|attempt| attempt.ended)
    }
}

/// An attempt whose last byte has not been written.
pub(super) struct UnwrittenAttempt {
    pub(super) key: AttemptKey,
    pub(super) id: AttemptId,
    pub(super) worker: WorkerIndex,
    /// Whether the attempt may start or has started.
    pub(super) may_start: bool,
}

/// What a client waits for whose request starts no attempts of its own.
pub(super) enum CoalescedWaiter {
    /// The answer of a request in flight.
    InFlight(RequestId),
    /// The outcome of a request that was recorded before a restart and may have run.
    InDoubt(InDoubtRequest),
    /// A stored result, which is being read.
    StoredResult,
}

/// A repetition of a request that was recorded before a restart and may have run.
pub(super) struct InDoubtRequest {
    /// Id under which the request is recorded.
    pub(super) recorded_id: String,
    /// The repetition, which runs if a callback proves that the recorded request never ran.
    pub(super) submission: Box<Submission>,
    /// When the client stops waiting.
    pub(super) deadline: f64,
}

/// A request in flight in a sibling process of this node.
pub(super) struct SiblingRequest {
    /// The link to the sibling.
    pub(super) link: usize,
    /// Id under which the dispatcher of this process accounts for it.
    pub(super) request: RequestId,
    /// Its attempts that have not ended.
    pub(super) open_attempts: Vec<SiblingAttempt>,
}

/// An open attempt of a sibling process of this node.
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

/// Records to be written to the store in one batch.
pub(super) struct PendingWrite {
    pub(super) records: Vec<Write>,
    pub(super) waiter: WriteWaiter,
}

//! The dispatcher's records of requests and attempts. These types make no decisions.
//!
//! These records are sent along with a request that migrates to a sibling process. The order and
//! the types of the serialized fields are part of the handover protocol.

use super::worker_entry::{Entry, WorkerId};
use serde::{Deserialize, Serialize};

/// Identifies a request at this dispatcher. Ids are below 2^52 and never reused.
pub type RequestId = u64;

/// What is known about the end of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum AttemptState {
    /// The attempt has not ended.
    InFlight,
    /// The attempt has ended, and its job has definitely not run.
    NeverRan,
    /// The attempt has ended, and its job may have run.
    MayHaveRun,
}

/// An attempt to have a request served by a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Attempt {
    /// Index of the worker in the dispatcher's table.
    pub worker: usize,
    /// Zone and cell of the worker.
    pub cell: (u8, u16),
    /// When it was sent.
    pub sent: f64,
    /// What is known about its end.
    pub state: AttemptState,
    /// When the worker reported the job's start.
    pub started: Option<f64>,
    /// When the worker last reported progress; initially when the attempt was sent.
    pub last_progress: f64,
    /// Whether the worker's load report showed free capacity when it was sent.
    pub capacity_reported: bool,
    /// Whether it has been cancelled.
    pub cancelled: bool,
}

impl Attempt {
    /// Returns an attempt that is sent at `now`.
    pub fn new(worker: usize, entry: &Entry, now: f64, capacity_reported: bool) -> Self {
        Self {
            worker,
            cell: (entry.zone, entry.cell),
            sent: now,
            state: AttemptState::InFlight,
            started: None,
            last_progress: now,
            capacity_reported,
            cancelled: false,
        }
    }

    /// Returns whether the attempt has not ended.
    pub fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Returns whether the job may have run or may still run.
    pub fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// A request without its final answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Index of its class.
    pub class: usize,
    /// Its affinity key, if fetching data has a price. It is not known for a request that migrated
    /// here.
    #[serde(skip)]
    pub affinity_key: Option<u64>,
    /// Whether it has no idempotency key. The process that a request migrates to sets this from the
    /// payload.
    #[serde(skip)]
    pub without_key: bool,
    /// Number of slots that it takes.
    pub slots: f64,
    /// Number of memory units that it takes.
    pub memory: f64,
    /// Expected work, in seconds.
    pub work: f64,
    /// Minimum run time, in seconds.
    pub min_run_time: f64,
    /// When the client first submitted it, possibly as an earlier request.
    pub first_submitted: f64,
    /// When the final answer is due.
    pub deadline: f64,
    /// Its attempts, in sending order.
    pub attempts: Vec<Attempt>,
    /// Candidate workers for the next attempt.
    pub candidates: Vec<usize>,
    /// Workers that are being probed for it.
    pub probed: Vec<usize>,
    /// Until when it waits for the answers to probes.
    pub probes_until: f64,
    /// Number of probe rounds sent for the next attempt.
    pub probe_rounds: u32,
    /// The worker for which the next attempt has a slow-start permit.
    pub slow_start_permit: Option<usize>,
    /// Number of attempts, counted from 1, for which `slow_start_permit` was drawn.
    pub permit_drawn_for: usize,
    /// When it is reviewed next.
    pub review_at: f64,
    /// Whether an attempt is streaming its answer to the client.
    pub streaming: bool,
}

impl Request {
    /// Returns the number of attempts that have not ended.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_in_flight()).count()
    }

    /// Records that an attempt is streaming its answer, if it has not ended.
    pub fn record_streaming(&mut self, attempt: u16) {
        let attempt = self.attempts.get(attempt as usize);
        self.streaming |= attempt.is_some_and(Attempt::is_in_flight);
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Returns whether an attempt at this worker may have run or may still run. The worker may
    /// still be running an attempt that has ended here, if the connection broke, the attempt timed
    /// out, or a cancellation has not reached the worker.
    pub fn may_have_run_at(&self, worker: usize) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.worker == worker && attempt.may_have_run())
    }

    /// Marks attempts in flight as cancelled and returns their numbers.
    pub fn cancel_attempts(&mut self, which: impl Fn(&Attempt) -> bool) -> Vec<u16> {
        let mut cancelled = Vec::new();
        for (attempt, number) in self.attempts.iter_mut().zip(0..) {
            if attempt.is_in_flight() && !attempt.cancelled && which(attempt) {
                attempt.cancelled = true;
                cancelled.push(number);
            }
        }
        cancelled
    }
}

/// A request that is migrating to a sibling process of this node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MigratedRequest {
    pub(crate) request: Request,
    /// The worker of each attempt.
    pub workers: Vec<WorkerId>,
}

impl MigratedRequest {
    /// Sets whether the request has no idempotency key. This is known from its payload only and not
    /// included in its record.
    pub fn set_without_key(&mut self, without_key: bool) {
        self.request.without_key = without_key;
    }

    /// Shifts all times by this many seconds, to convert them to the sibling's clock.
    pub fn shift(&mut self, seconds: f64) {
        let request = &mut self.request;
        request.first_submitted += seconds;
        request.deadline += seconds;
        for attempt in &mut request.attempts {
            attempt.sent += seconds;
            attempt.last_progress += seconds;
            attempt.started = attempt.started.map(|at| at + seconds);
        }
    }
}

//! A request and its attempts as the dispatcher records them: plain types without any decision.
//!
//! A request that migrates to a sibling process carries these records. The order and the types of
//! the serialized fields are part of the handover protocol.

use super::worker_entry::{Entry, WorkerId};
use serde::{Deserialize, Serialize};

/// Number that identifies a request at this dispatcher; below 2^52 and never reused.
pub type RequestId = u64;

/// What is known of an attempt's end.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum AttemptState {
    /// The attempt has not ended.
    InFlight,
    /// The attempt has ended, and its job has certainly not run.
    NeverRan,
    /// The attempt has ended, and its job may have run.
    MayHaveRun,
}

/// One sending of a request to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Attempt {
    /// Position of the worker in the dispatcher's table.
    pub worker: usize,
    /// Zone and cell of the worker.
    pub cell: (u8, u16),
    /// When it was sent.
    pub sent: f64,
    /// What is known of its end.
    pub state: AttemptState,
    /// When the worker reported the job's start.
    pub started: Option<f64>,
    /// When the worker last reported progress.
    pub last_progress: f64,
    /// The worker's load report showed free capacity.
    pub capacity_reported: bool,
    /// It has been cancelled.
    pub cancelled: bool,
}

impl Attempt {
    /// Returns an attempt that is sent now.
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

    /// Returns whether the job may have run, or may run yet.
    pub fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// A request without its final answer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Index of its class.
    pub class: usize,
    /// Its subject, where fetching what that needs has a price. Unknown of a request that has
    /// migrated here.
    #[serde(skip)]
    pub subject: Option<u64>,
    /// It carries no idempotency key. The process that a request migrates to sets this from the
    /// payload.
    #[serde(skip)]
    pub without_key: bool,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory units that it takes.
    pub memory: f64,
    /// Expected work, in seconds.
    pub work: f64,
    /// Run time that it takes at least, in seconds.
    pub min_run_time: f64,
    /// When its client first submitted it, in an earlier request perhaps.
    pub first_submitted: f64,
    /// When the final answer is due.
    pub deadline: f64,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Workers from which the next one is drawn.
    pub candidates: Vec<usize>,
    /// Workers that are being probed for it.
    pub probed: Vec<usize>,
    /// Until when it waits for their answers.
    pub probes_until: f64,
    /// Rounds of probes sent for the next attempt.
    pub probe_rounds: u32,
    /// The worker in slow start that the next attempt may go to.
    pub slow_start_pass: Option<usize>,
    /// Number of attempts, counted from 1, for which `slow_start_pass` was drawn.
    pub pass_drawn_for: usize,
    /// When it is reviewed next.
    pub review_at: f64,
    /// An attempt streams its answer to the client.
    pub streaming: bool,
}

impl Request {
    /// Returns the number of attempts that have not ended.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_in_flight()).count()
    }

    /// Records that an attempt streams its answer, if it has not ended.
    pub fn record_streaming(&mut self, attempt: u16) {
        let attempt = self.attempts.get(attempt as usize);
        self.streaming |= attempt.is_some_and(Attempt::is_in_flight);
    }

    /// Returns whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Returns whether an attempt at this worker may have run or may run yet. An attempt that has
    /// ended here may go on there: its connection broke, its time was up, or a cancellation is on
    /// its way.
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

/// A request on its way to a sibling process of this node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MigratedRequest {
    pub(crate) request: Request,
    /// The worker of each attempt.
    pub workers: Vec<WorkerId>,
}

impl MigratedRequest {
    /// Sets whether the request carries no idempotency key, which its payload shows and its record
    /// does not.
    pub fn set_without_key(&mut self, without_key: bool) {
        self.request.without_key = without_key;
    }

    /// Moves all times by this many seconds, where the sibling's clock shows another time.
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

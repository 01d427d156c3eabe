//! The interface of the decision module: the events that a dispatcher handles and the actions that
//! it returns.
//!
//! Times are in seconds. Absent numbers are zero unless a type says otherwise; the module treats
//! numbers that are negative or not finite as absent.

pub use super::configuration::{
    Class, DedupScope, Effect, ReportField, ReportSource, RetryBudget, Settings,
};
pub use super::figures::finite_non_negative;
pub use super::request::{MigratedRequest, RequestId};
pub use super::settings_error::{REMEDIES, SettingsError};
pub use super::worker_entry::{Entry, Health, NO_CELL, NO_ZONE, WorkerId};

/// The origin and completeness of a worker list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list; workers that are not in it have been removed.
    Full,
    /// The complete list from a cache; it may be stale.
    Cached,
    /// Changed entries forwarded by a peer. They do not imply that discovery can be reached.
    FromPeer,
    /// A call to discovery failed or the watch was interrupted; there are no entries.
    Failed,
}

/// A request that a client has submitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// Its id at this dispatcher.
    pub id: RequestId,
    /// Index of its class.
    pub class: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// Affinity key; workers cache data by it. 0 for none.
    pub affinity_key: u64,
    /// Time until the client gives up, in seconds.
    pub time_limit: f64,
    /// Expected work in seconds on a standard core, if the client states it.
    pub expected_work: Option<f64>,
    /// Number of slots that it takes.
    pub slots: f64,
    /// Number of memory units that it takes.
    pub memory: f64,
    /// Whether the client marked it as a retry of an earlier request.
    pub is_marked_retry: bool,
    /// Whether the request has no idempotency key.
    pub without_key: bool,
}

/// The outcome of an attempt or a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served it successfully.
    Succeeded,
    /// The worker answered with an error.
    Error,
    /// The worker rejected it because its queue is full or it is draining. The job has not run,
    /// unless [`Settings::rejected_may_have_run`] is set.
    Rejected,
    /// The worker did not answer before the timeout.
    Timeout,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// It was cancelled after it had been sent.
    Cancelled,
    /// It was cancelled locally, before it was sent.
    CancelledLocally,
    /// An outcome that this version does not know. The job may have run.
    Unknown(u16),
}

impl Outcome {
    /// Returns whether this outcome proves that the job of the attempt has not run, according to
    /// the protocol's table of outcomes. `rejected_may_have_run` is
    /// [`Settings::rejected_may_have_run`].
    pub fn proves_never_ran(self, rejected_may_have_run: bool) -> bool {
        match self {
            Self::ConnectFailed | Self::CancelledLocally => true,
            Self::Rejected => !rejected_may_have_run,
            Self::Succeeded
            | Self::Error
            | Self::Timeout
            | Self::Reset
            | Self::Cancelled
            | Self::Unknown(_) => false,
        }
    }
}

/// A worker's progress report on an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressNote {
    /// The job has started.
    Started,
    /// The share of the job that is done, from 0 to 1.
    Progress(f64),
    /// A kind of report that this version does not know.
    Unknown,
}

/// An event of the sibling process, which sends to the same workers. Limits and budgets apply to
/// the node as a whole, so both processes count it.
#[derive(Clone, Debug, PartialEq)]
pub enum SiblingEvent {
    /// The times at which the sibling admitted requests and sent retries.
    BudgetHistory {
        /// When requests were admitted.
        admitted: Vec<f64>,
        /// When retries were sent.
        retries: Vec<f64>,
    },
    /// The sibling sent an attempt.
    AttemptSent {
        /// The request's id, which differs from those of all requests of this dispatcher.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The worker.
        worker: WorkerId,
        /// Number of slots that it takes.
        slots: f64,
        /// Expected work in seconds, if the client states it.
        work: Option<f64>,
        /// When it was sent.
        sent: f64,
    },
    /// An attempt that the sibling had sent ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The worker.
        worker: WorkerId,
    },
}

/// An event that a dispatcher handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker list arrived, or a call to discovery failed.
    WorkerListReceived {
        /// The origin and completeness of the list.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A client submitted a request.
    RequestReceived(NewRequest),
    /// An attempt has started to stream its answer to the client. From now on the request can't be
    /// retried.
    AttemptStreaming {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// A worker reported progress of an attempt in flight.
    AttemptProgress {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The report.
        note: ProgressNote,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: f64,
        /// Whether the client has received the final answer to the request.
        answered: bool,
        /// Load report, in the order of [`Settings::report_fields`]; empty for none.
        report: Vec<f32>,
    },
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An operator suspended or resumed a worker. A suspension takes precedence over the worker
    /// list.
    SuspensionChanged {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker was resumed; otherwise it was suspended.
        resume: bool,
    },
    /// The number of dispatchers that send to the workers changed. It replaces
    /// [`Settings::dispatcher_count`].
    DispatcherCountChanged(u32),
    /// The sibling process, to or from which requests migrate, reported an event.
    SiblingEvent(SiblingEvent),
    /// A request of the sibling process continues here.
    RequestMigrated {
        /// Its id at this dispatcher.
        request: RequestId,
        /// Its record in the sibling process.
        record: Box<MigratedRequest>,
    },
    /// A timer expired.
    TimerExpired {
        /// The token of the [`Action::Timer`] that set it.
        token: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: f64,
        /// Load report, in the order of [`Settings::report_fields`]; empty for none.
        report: Vec<f32>,
    },
    /// A message from another dispatcher. The module ignores it and sends none itself.
    PeerMessage,
}

/// An action that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Watch discovery for changes of the worker list.
    WatchDiscovery,
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Timeout in seconds; 0 for no timeout other than the client's deadline.
        timeout: f64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Final answer: rejected. The request has not run, or it is safe to submit it again.
    Reject {
        /// The request.
        request: RequestId,
        /// Seconds after which the client should retry; 0 for no advice.
        retry_after: f64,
    },
    /// Final answer: failed. The request may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Set a timer. Timers are never cancelled.
    Timer {
        /// When it expires.
        at: f64,
        /// Passed back in [`Event::TimerExpired`].
        token: u64,
    },
    /// Request the load report of a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
}

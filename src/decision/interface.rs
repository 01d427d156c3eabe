//! The interface of the decision module: the events that a dispatcher handles and the actions that
//! it returns.
//!
//! Times are seconds. Absent figures are zero unless a type says otherwise; figures that are not
//! finite or below zero are treated as absent by the module.

pub use super::configuration::{
    Class, DedupScope, Effect, ReportField, ReportSource, RetryBudget, Settings,
};
pub use super::figures::sound;
pub use super::request::{MigratedRequest, RequestId};
pub use super::settings_error::{REMEDIES, SettingsError};
pub use super::worker_entry::{Entry, Health, NO_CELL, NO_ZONE, WorkerId};

/// How the entries of a worker list are to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list; a worker that is absent has been removed.
    Full,
    /// The complete list from a cache; it may be stale.
    Cached,
    /// Changed entries that a peer passed on. They don't show that discovery can be reached.
    FromPeer,
    /// A call to discovery failed or the watch on it broke; there are no entries.
    Failed,
}

/// A request that a client has submitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// Its number at this dispatcher.
    pub id: RequestId,
    /// Index of its class.
    pub class: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// Number of the subject that it is about, by which workers cache data; 0 for none.
    pub subject: u64,
    /// Time until the client gives up, in seconds.
    pub time_limit: f64,
    /// Expected work in seconds on a standard core, if it is stated.
    pub expected_work: Option<f64>,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory units that it takes.
    pub memory: f64,
    /// The client marked it as a retry of an earlier request.
    pub is_marked_retry: bool,
    /// It carries no idempotency key.
    pub without_key: bool,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served it.
    Succeeded,
    /// The worker answered with an error.
    Error,
    /// The worker rejected it, because its queue is full or it is draining. It has not run, unless
    /// [`Settings::full_may_have_run`] is set.
    Rejected,
    /// The worker did not answer before the timeout.
    Timeout,
    /// No connection could be made.
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
    /// Returns whether the job of an attempt that ended so has certainly not run, by the protocol's
    /// table of outcomes. `full_may_have_run` is [`Settings::full_may_have_run`].
    pub fn proves_never_ran(self, full_may_have_run: bool) -> bool {
        match self {
            Self::ConnectFailed | Self::CancelledLocally => true,
            Self::Rejected => !full_may_have_run,
            Self::Succeeded
            | Self::Error
            | Self::Timeout
            | Self::Reset
            | Self::Cancelled
            | Self::Unknown(_) => false,
        }
    }
}

/// What a worker reports of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressNote {
    /// The job has started.
    Started,
    /// This share of the job is done, from 0 to 1.
    Progress(f64),
    /// A report that this version does not know.
    Unknown,
}

/// An event of the sibling process, which sends to the same workers. Limits and budgets are those
/// of the node, so both processes count it.
#[derive(Clone, Debug, PartialEq)]
pub enum SiblingEvent {
    /// It admitted requests and sent retries at these times.
    BudgetHistory {
        /// When requests were admitted.
        admitted: Vec<f64>,
        /// When retries were sent.
        retries: Vec<f64>,
    },
    /// It sent an attempt.
    AttemptSent {
        /// The request's number, which no request of this dispatcher has.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The worker.
        worker: WorkerId,
        /// Slots that it takes.
        slots: f64,
        /// Expected work in seconds, if it is stated.
        work: Option<f64>,
        /// When it was sent.
        sent: f64,
    },
    /// One of its attempts ended.
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
        /// How its entries are to be read.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A client submitted a request.
    RequestReceived(NewRequest),
    /// An attempt has begun to stream its answer to the client. From now on the request can't be
    /// retried.
    AttemptStreaming {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// A worker reported on an attempt in flight.
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
        /// The client has the final answer of the request.
        answered: bool,
        /// Load report, in the order of [`Settings::report_fields`]; empty for none.
        report: Vec<f32>,
    },
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An operator suspended or resumed a worker. A suspension applies whatever the worker list
    /// says.
    SuspensionChanged {
        /// The worker.
        worker: WorkerId,
        /// The worker is resumed; otherwise it is suspended.
        resume: bool,
    },
    /// The number of dispatchers that send to the workers changed. It replaces
    /// [`Settings::dispatcher_count`].
    DispatcherCountChanged(u32),
    /// The sibling process, to or from which requests migrate, sent or ended attempts.
    SiblingEvent(SiblingEvent),
    /// A request of the sibling process continues here.
    RequestMigrated {
        /// Its number at this dispatcher.
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
    /// A message from another dispatcher. The module sends none and ignores them.
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
        /// Timeout in seconds; 0 for none before the client gives up.
        timeout: f64,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Final answer: rejected. The request has not run, or may safely be submitted again.
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
        /// Returned with [`Event::TimerExpired`].
        token: u64,
    },
    /// Ask a worker for its load report.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
}

//! The interface of the decision module: the events that a dispatcher handles and the actions that
//! it returns.
//!
//! Times are seconds. Absent figures are zero unless a type says otherwise; figures that are not
//! finite or below zero are treated as absent by the module.

pub use super::configuration::{
    Class, DedupScope, Effect, ReportField, Reports, RetryBudget, Settings,
};
pub use super::figures::sound;
pub use super::request::{MigratedRequest, RequestId};
pub use super::settings_error::{REMEDIES, SettingsError};
pub use super::worker_entry::{Entry, Health, NO_CELL, NO_ZONE, WorkerId};

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list; who is absent is gone.
    Full,
    /// The complete list as it was last held, perhaps stale.
    Cached,
    /// Changed entries, passed on by another node: they tell nothing of the calls to the list.
    FromPeer,
    /// A call to the list failed or the watch on it broke; no entries.
    Failed,
}

/// A request that has just arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// Subject; 0 for none.
    pub subject: u64,
    /// Time until the client gives up.
    pub time_limit: f64,
    /// Expected work in seconds on a standard core, where told.
    pub expected_work: Option<f64>,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory units that it takes.
    pub memory: f64,
    /// The client marked it as a repeat.
    pub is_marked_retry: bool,
    /// It carries no key by which workers would know its repeats.
    pub without_key: bool,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Succeeded,
    /// The worker answered with an error.
    Error,
    /// Turned away, queue full or draining: unseen, unless [`Settings::full_may_have_run`].
    Rejected,
    /// No answer within the time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Never sent.
    CancelledLocally,
    /// An outcome that this version does not know; it proves nothing.
    Unknown(u16),
}

impl Outcome {
    /// Whether an attempt that ended so has certainly not run, by the protocol's table of outcomes.
    /// Whatever decides on a further attempt, or on what the client may do, asks here;
    /// `full_may_have_run` is what the settings say.
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

/// What a note on a running attempt says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The job has started.
    Started,
    /// This share of it is done.
    Progress(f64),
    /// A note that this version does not know.
    Unknown,
}

/// What another process of this node does with the same workers: limits and budgets are one node's.
#[derive(Clone, Debug, PartialEq)]
pub enum SiblingEvent {
    /// It took requests, and made further attempts, at these times.
    BudgetHistory {
        /// Requests.
        admitted: Vec<f64>,
        /// Further attempts.
        retries: Vec<f64>,
    },
    /// It sent an attempt.
    AttemptSent {
        /// The request's number here, which no request of this dispatcher has.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The worker.
        worker: WorkerId,
        /// Slots.
        slots: f64,
        /// Expected work in seconds, where told.
        work: Option<f64>,
        /// When.
        sent: f64,
    },
    /// An attempt of its ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The worker.
        worker: WorkerId,
    },
}

/// What a dispatcher is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of workers.
    WorkerListReceived {
        /// How to read it.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    RequestReceived(NewRequest),
    /// The stream of an attempt has started; it belongs to the client now.
    AttemptStreaming {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// News of an attempt that is still out.
    AttemptProgress {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The news.
        note: Note,
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
        /// The request has its final answer.
        closed: bool,
        /// Load report, in the order of [`Settings::fields`]; empty for none.
        report: Vec<f32>,
    },
    /// The client left; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An operator takes a worker out of use, or back into it; it holds whatever the list says.
    SuspensionChanged {
        /// The worker.
        worker: WorkerId,
        /// It is to be used again.
        resume: bool,
    },
    /// So many dispatchers may send to the workers, in place of what the settings say.
    DispatcherCountChanged(u32),
    /// News of another process of this node, which takes over or is taken over.
    SiblingEvent(SiblingEvent),
    /// A request of another process of this node goes on here.
    RequestMigrated {
        /// Its number here.
        request: RequestId,
        /// What was noted of it there.
        record: Box<MigratedRequest>,
    },
    /// A timer came due.
    TimerExpired {
        /// As set by [`Action::Timer`].
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
        /// Load report, in the order of [`Settings::fields`]; empty for none.
        report: Vec<f32>,
    },
    /// A message from another dispatcher. The module sends none and ignores them.
    Peer,
}

/// What a dispatcher asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask for the changes of the list from now on.
    WatchDiscovery,
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// Time-out; 0 until the client gives up.
        timeout: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// Final answer: refused, trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no advice.
        retry_after: f64,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Set a timer; it can't be withdrawn.
    Timer {
        /// When it comes due.
        at: f64,
        /// Comes back with [`Event::TimerExpired`].
        token: u64,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
}

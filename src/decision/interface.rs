//! The interface of the decision module: what a dispatcher is told and what it can ask for.
//!
//! Times are seconds. Absent figures are zero unless a type says otherwise; figures that are not
//! finite or below zero are treated as absent by the module.

pub use crate::decision::request::{MigratedRequest, RequestId, WorkerId};
use std::fmt;

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat anywhere.
    Safe,
    /// Carries a key: one group of workers drops its repeats, for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// The workers that drop repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, as requests give it.
    pub name: String,
    /// What may be done with a request that may have run.
    pub effect: Effect,
    /// For keyed requests, who drops the repeats.
    pub group: Group,
    /// For keyed requests, how long repeats are dropped, counted from the first send that may have run.
    pub window: f64,
    /// An answer within this time, plus `stretch` times the job's own work, earns the full worth.
    pub aim: f64,
    /// See `aim`.
    pub stretch: f64,
    /// How long a client waits.
    pub deadline: f64,
    /// Worth of a request answered in time.
    pub worth: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// The one kind of worker that can run it, if not any.
    pub kind: Option<u16>,
    /// The only machine kinds it may be sent to; `None` for any. A kind that no worker has admits none.
    pub allowed_on: Option<Vec<u32>>,
    /// The only zones it may be sent to; `None` for any. A zone that no worker is in admits none.
    pub confined_to: Option<Vec<u32>>,
    /// Priority in the workers' queues, where those go by priority.
    pub priority: i32,
    /// The answer is a stream.
    pub stream: bool,
}

impl Class {
    /// Whether it is bound neither to other kinds nor to other zones than this worker's.
    pub fn admits(&self, entry: &Entry) -> bool {
        let among =
            |only: &Option<Vec<u32>>, x: u32| only.as_ref().is_none_or(|only| only.contains(&x));
        let kind =
            among(&self.allowed_on, entry.kind.into()) && self.kind.is_none_or(|k| k == entry.kind);
        kind && among(&self.confined_to, entry.zone.into())
    }

    /// Whether a worker in the second zone and cell drops repeats of what a worker in the first has had. Where either may be any, it does not.
    pub fn drops_repeats(&self, first: (u8, u16), second: (u8, u16)) -> bool {
        let zone = first.0 == second.0 && first.0 != NO_ZONE;
        let cell = first.1 == second.1 && first.1 != NO_CELL;
        match self.group {
            Group::All => true,
            Group::Zone => zone,
            Group::Cell => cell && first.0 == second.0,
        }
    }

    /// What may be done with a request of this class that may have run. Without a key no worker can know its repeats.
    pub fn effect_of(&self, keyless: bool) -> Effect {
        if keyless && self.effect == Effect::Keyed {
            Effect::Unsafe
        } else {
            self.effect
        }
    }

    /// Whether a request that may have run can be repeated at any worker without harm.
    pub fn repeats_anywhere(&self, keyless: bool) -> bool {
        let effect = self.effect_of(keyless);
        effect == Effect::Safe || effect == Effect::Keyed && self.group == Group::All
    }
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// Requests waiting.
    Queue,
    /// Requests held, waiting or running.
    InFlight,
    /// Free slots.
    FreeSlots,
    /// Free memory units.
    FreeMemory,
    /// Recent service time without waiting, in milliseconds.
    ServiceMs,
    /// A figure that the module makes no use of.
    Other,
}

/// How load reports reach a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// In answers and in probe results.
    Answers,
    /// In probe results alone.
    Probes,
    /// Not at all.
    None,
}

/// How many attempts beyond each request's first one dispatcher may make. At each of them, those made in
/// the last `look_back`, this one counted, stay within `spare + ratio * requests taken in that time`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts however light the traffic is.
    pub spare: f64,
    /// Further attempts for each request taken.
    pub ratio: f64,
    /// The time over which both are counted.
    pub look_back: f64,
}

/// What a dispatcher is configured with at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many dispatchers there are.
    pub balancers: u32,
    /// Zone of this dispatcher.
    pub zone: u8,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// The list of workers answers only when asked.
    pub list_on_request: bool,
    /// Where the list must be asked, the longest time without a call before the list counts as told.
    pub must_ask_in: f64,
    /// Shortest time between two calls of [`crate::Dispatcher::handle`] with different clocks.
    pub tick: f64,
    /// How load reports come.
    pub reports: Reports,
    /// The figures of a load report, in their order.
    pub fields: Vec<Field>,
    /// Probes are permitted.
    pub may_probe: bool,
    /// Cancels are permitted.
    pub may_cancel: bool,
    /// Two attempts of one request may be out at a time.
    pub second_copies: bool,
    /// Clients are told how long to stay away after a refusal, at most this long; 0 where they aren't.
    pub max_retry_after: f64,
    /// Most attempts of one request.
    pub max_attempts: u16,
    /// A connection not made within this time has failed.
    pub dial_timeout: f64,
    /// A request's worth counts for each unit of its work, not once.
    pub worth_by_work: bool,
    /// Points, as a share of all, due for each probe a request.
    pub probe_price: f64,
    /// Points, as a share of all, due for each attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Points, as a share of all, due where each request makes its worker fetch what its subject needs; 0 where nothing is fetched.
    pub fetch_price: f64,
    /// Points, as a share of all, due where as much work is wasted as was asked for.
    pub waste_price: f64,
    /// Workers serve their queues by the classes' priorities.
    pub by_priority: bool,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Time between progress notes of a running job; 0 where there are none.
    pub progress: f64,
    /// Clients mark their later tries.
    pub marks_retry: bool,
    /// The list's size figure compares workers with one another.
    pub sized: bool,
    /// A worker starts at this share of its capacity or more.
    pub cold_from: f64,
    /// It is warm after this time at the latest.
    pub cold: f64,
    /// Sent more than this multiple of its present capacity for `tip_after`, a cold worker falls over.
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub tip_after: f64,
    /// Budget of further attempts; `None` where there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Workers may answer 'full' for work that they had begun, so that it proves nothing.
    pub full_proves_nothing: bool,
    /// Names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// Names of the machine kinds, in the order of their numbers.
    pub kind_names: Vec<String>,
    /// Names of the tenants, in the order of their numbers.
    pub tenant_names: Vec<String>,
    /// Names of a load report's figures, in their order.
    pub field_names: Vec<String>,
    /// A worker closes a connection that was idle for so long; 0 where that is not told.
    pub conn_idle: f64,
    /// Most requests held at a time; 0 where that is not told.
    pub max_open: usize,
}

impl Settings {
    /// Whether workers may kill a running job of this class for one of a higher priority, which is no fault of theirs.
    pub fn pushes_out(&self, class: usize) -> bool {
        let class = &self.classes[class];
        let higher = |other: &Class| other.priority > class.priority;
        self.by_priority && class.effect == Effect::Safe && self.classes.iter().any(higher)
    }

    /// A figure of a load report, if it is there and sound.
    pub fn figure(&self, report: &[f32], field: Field) -> Option<f64> {
        let at = self.fields.iter().position(|&f| f == field)?;
        report.get(at).and_then(|&v| sound(v.into()))
    }
}

/// The number, if it is finite and not below zero.
pub fn sound(x: f64) -> Option<f64> {
    Some(x).filter(|x| x.is_finite() && *x >= 0.0)
}

/// Settings that no dispatcher can work with.
#[derive(Debug)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is not JSON, or a key has a value of the wrong type; with the key's path.
    Json(serde_path_to_error::Error<serde_json::Error>),
    /// A key has a word that says nothing here; what it would stand for must not be guessed.
    Word {
        /// The key's path.
        path: String,
        /// The word.
        found: String,
        /// The words that there are.
        want: &'static str,
    },
    /// A key has a value outside of its range.
    Range {
        /// The key.
        key: &'static str,
        /// What it must be.
        want: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => match error.path().to_string().as_str() {
                "." => write!(f, "settings: {}", error.inner()),
                path => write!(f, "settings.{path}: {}", error.inner()),
            },
            Self::Word { path, found, want } => {
                write!(f, "settings.{path} must be one of {want}, and is {found:?}")
            }
            Self::Range { key, want } => write!(f, "settings.{key} must be {want}"),
        }
    }
}

impl std::error::Error for SettingsError {}

postproxy_diagnostics::diagnostics! { SettingsError, REMEDIES:
    SettingsError::Json(_) => "settings.malformed", "correct the value at the key that is named, and start the node or signal it to reload again";
    SettingsError::Word { .. } => "settings.word", "give the key that is named one of the words that are listed, and start the node or signal it to reload again";
    SettingsError::Range { .. } => "settings.range", "give the key that is named a value as it must be, and start the node or signal it to reload again";
}

/// What the list says of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// The zone of a worker of which none is told: it is in no zone with any other.
pub const NO_ZONE: u8 = u8::MAX;
/// The cell of a worker of which none is told: it is in no cell with any other.
pub const NO_CELL: u16 = u16::MAX;

/// A worker's entry in the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: u8,
    /// Its machine kind.
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// What the list says of it.
    pub health: Health,
    /// What it is called at every dispatcher alike, as a number.
    pub identity: u64,
    /// A figure of its size, for comparison with other workers.
    pub size: f64,
    /// Time of its latest start; 0 for long ago.
    pub started: f64,
}

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
    Passed,
    /// A call to the list failed or the watch on it broke; no entries.
    Failed,
}

/// A request that has just arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub request: RequestId,
    /// Index of its class.
    pub class: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// Subject; 0 for none.
    pub key: u64,
    /// Time until the client gives up.
    pub budget: f64,
    /// Expected work in seconds on a standard core, where told.
    pub hint: Option<f64>,
    /// Slots that it takes.
    pub slots: f64,
    /// Memory units that it takes.
    pub memory: f64,
    /// The client marked it as a repeat.
    pub repeat: bool,
    /// It carries no key by which workers would know its repeats.
    pub keyless: bool,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker answered with an error.
    Error,
    /// Turned away, queue full or draining: unseen, unless [`Settings::full_proves_nothing`].
    Full,
    /// No answer within the time.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Never sent.
    Moot,
    /// An outcome that this version does not know; it proves nothing.
    Unknown(u16),
}

impl Outcome {
    /// Whether an attempt that ended so has certainly not run, by the protocol's table of outcomes. Whatever decides on a further
    /// attempt, or on what the client may do, asks here; `full_proves_nothing` is what the settings say.
    pub fn proves_never_ran(self, full_proves_nothing: bool) -> bool {
        match self {
            Self::ConnectFailed | Self::Moot => true,
            Self::Full => !full_proves_nothing,
            Self::Ok
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
    Other,
}

/// What another process of this node does with the same workers: limits and budgets are one node's.
#[derive(Clone, Debug, PartialEq)]
pub enum SiblingEvent {
    /// It took requests, and made further attempts, at these times.
    Past {
        /// Requests.
        taken: Vec<f64>,
        /// Further attempts.
        further: Vec<f64>,
    },
    /// It sent an attempt.
    Sent {
        /// The request's number here, which no request of this dispatcher has.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The worker.
        worker: WorkerId,
        /// Slots.
        need: f64,
        /// Expected work in seconds, where told.
        work: Option<f64>,
        /// When.
        sent: f64,
    },
    /// An attempt of its ended.
    Ended {
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
    List {
        /// How to read it.
        kind: ListKind,
        /// Its entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    Request(NewRequest),
    /// The stream of an attempt has started; it belongs to the client now.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
    },
    /// News of an attempt that is still out.
    Note {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u16,
        /// The news.
        note: Note,
    },
    /// An attempt ended.
    Outcome {
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
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// An operator takes a worker out of use, or back into it; it holds whatever the list says.
    Use {
        /// The worker.
        worker: WorkerId,
        /// It is to be used again.
        again: bool,
    },
    /// So many dispatchers may send to the workers, in place of what the settings say.
    Balancers(u32),
    /// News of another process of this node, which takes over or is taken over.
    SiblingEvent(SiblingEvent),
    /// A request of another process of this node goes on here.
    MigratedRequest {
        /// Its number here.
        request: RequestId,
        /// What was noted of it there.
        carried: Box<MigratedRequest>,
    },
    /// A timer came due.
    Timer {
        /// As set by [`Action::Timer`].
        token: u64,
    },
    /// A probe ended.
    Probed {
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
    Watch,
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
    Refuse {
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
        /// Comes back with [`Event::Timer`].
        token: u64,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
}

//! What a dispatcher is configured with: classes of requests, limits, prices and the figures of
//! load reports.

use super::figures::sound;
use super::worker_entry::{Entry, NO_CELL, NO_ZONE};

/// What may be done with a request that may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat anywhere.
    Idempotent,
    /// Carries a key: one group of workers drops its repeats, for a while.
    IdempotentByKey,
    /// Must never run twice.
    NotIdempotent,
}

/// The workers that drop repeats of one keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
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
    pub dedup_scope: DedupScope,
    /// For keyed requests, how long repeats are dropped, counted from the first send that may have
    /// run.
    pub dedup_window: f64,
    /// An answer within this time, plus `stretch` times the job's own work, earns the full worth.
    pub latency_objective: f64,
    /// See `aim`.
    pub objective_stretch: f64,
    /// How long a client waits.
    pub deadline: f64,
    /// Worth of a request answered in time.
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// The one kind of worker that can run it, if not any.
    pub required_kind: Option<u16>,
    /// The only machine kinds it may be sent to; `None` for any. A kind that no worker has admits
    /// none.
    pub allowed_kinds: Option<Vec<u32>>,
    /// The only zones it may be sent to; `None` for any. A zone that no worker is in admits none.
    pub allowed_zones: Option<Vec<u32>>,
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
        let kind = among(&self.allowed_kinds, entry.kind.into())
            && self.required_kind.is_none_or(|k| k == entry.kind);
        kind && among(&self.allowed_zones, entry.zone.into())
    }

    /// Whether a worker in the second zone and cell drops repeats of what a worker in the first has
    /// had. Where either may be any, it does not.
    pub fn drops_repeats(&self, first: (u8, u16), second: (u8, u16)) -> bool {
        let zone = first.0 == second.0 && first.0 != NO_ZONE;
        let cell = first.1 == second.1 && first.1 != NO_CELL;
        match self.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => zone,
            DedupScope::Cell => cell && first.0 == second.0,
        }
    }

    /// What may be done with a request of this class that may have run. Without a key no worker can
    /// know its repeats.
    pub fn effect_of(&self, keyless: bool) -> Effect {
        if keyless && self.effect == Effect::IdempotentByKey {
            Effect::NotIdempotent
        } else {
            self.effect
        }
    }

    /// Whether a request that may have run can be repeated at any worker without harm.
    pub fn repeats_anywhere(&self, keyless: bool) -> bool {
        let effect = self.effect_of(keyless);
        effect == Effect::Idempotent
            || effect == Effect::IdempotentByKey && self.dedup_scope == DedupScope::All
    }
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
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

/// How many attempts beyond each request's first one dispatcher may make. At each of them, those
/// made in the last `look_back`, this one counted, stay within `spare + ratio * requests taken in
/// that time`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts however light the traffic is.
    pub min_retries: f64,
    /// Further attempts for each request taken.
    pub ratio: f64,
    /// The time over which both are counted.
    pub window: f64,
}

/// What a dispatcher is configured with at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many dispatchers there are.
    pub dispatcher_count: u32,
    /// Zone of this dispatcher.
    pub zone: u8,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// The list of workers answers only when asked.
    pub discovery_on_request: bool,
    /// Where the list must be asked, the longest time without a call before the list counts as
    /// told.
    pub max_poll_interval: f64,
    /// Shortest time between two calls of [`crate::Dispatcher::handle`] with different clocks.
    pub tick: f64,
    /// How load reports come.
    pub reports: Reports,
    /// The figures of a load report, in their order.
    pub fields: Vec<ReportField>,
    /// Probes are permitted.
    pub probes_allowed: bool,
    /// Cancels are permitted.
    pub cancel_allowed: bool,
    /// Two attempts of one request may be out at a time.
    pub hedging_allowed: bool,
    /// Clients are told how long to stay away after a refusal, at most this long; 0 where they
    /// aren't.
    pub max_retry_after: f64,
    /// Most attempts of one request.
    pub max_attempts: u16,
    /// A connection not made within this time has failed.
    pub dial_timeout: f64,
    /// A request's worth counts for each unit of its work, not once.
    pub weight_by_work: bool,
    /// Points, as a share of all, due for each probe a request.
    pub probe_price: f64,
    /// Points, as a share of all, due for each attempt that crosses zones.
    pub cross_zone_price: f64,
    /// Points, as a share of all, due where each request makes its worker fetch what its subject
    /// needs; 0 where nothing is fetched.
    pub fetch_price: f64,
    /// Points, as a share of all, due where as much work is wasted as was asked for.
    pub waste_price: f64,
    /// Workers serve their queues by the classes' priorities.
    pub priority_queues: bool,
    /// Workers tell when a job starts.
    pub reports_start: bool,
    /// Time between progress notes of a running job; 0 where there are none.
    pub progress_interval: f64,
    /// Clients mark their later tries.
    pub clients_mark_retries: bool,
    /// The list's size figure compares workers with one another.
    pub sizes_compare: bool,
    /// A worker starts at this share of its capacity or more.
    pub initial_capacity_share: f64,
    /// It is warm after this time at the latest.
    pub warm_up_time: f64,
    /// Sent more than this multiple of its present capacity for `tip_after`, a cold worker falls
    /// over.
    pub overload_multiple: f64,
    /// See `fall_multiple`.
    pub overload_window: f64,
    /// Budget of further attempts; `None` where there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Workers may answer 'full' for work that they had begun, so that it proves nothing.
    pub full_may_have_run: bool,
    /// Names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// Names of the machine kinds, in the order of their numbers.
    pub kind_names: Vec<String>,
    /// Names of the tenants, in the order of their numbers.
    pub tenant_names: Vec<String>,
    /// Names of a load report's figures, in their order.
    pub field_names: Vec<String>,
    /// A worker closes a connection that was idle for so long; 0 where that is not told.
    pub idle_timeout: f64,
    /// Most requests held at a time; 0 where that is not told.
    pub max_waiting_requests: usize,
}

impl Settings {
    /// Whether workers may kill a running job of this class for one of a higher priority, which is
    /// no fault of theirs.
    pub fn may_preempt(&self, class: usize) -> bool {
        let class = &self.classes[class];
        let higher = |other: &Class| other.priority > class.priority;
        self.priority_queues
            && class.effect == Effect::Idempotent
            && self.classes.iter().any(higher)
    }

    /// A figure of a load report, if it is there and sound.
    pub fn figure(&self, report: &[f32], field: ReportField) -> Option<f64> {
        let at = self.fields.iter().position(|&f| f == field)?;
        report.get(at).and_then(|&v| sound(v.into()))
    }
}

//! The configuration of a dispatcher: classes of requests, limits, prices and the figures of load
//! reports. Times are seconds.

use super::figures::sound;
use super::worker_entry::{Entry, NO_CELL, NO_ZONE};

/// Whether a request that may already have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It can be sent again to any worker.
    Idempotent,
    /// It carries an idempotency key: for some time, the workers of one [`DedupScope`] drop its
    /// duplicates.
    IdempotentByKey,
    /// It must never run twice.
    NotIdempotent,
}

/// The workers that share the idempotency keys they have seen.
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
    /// Whether a request that may have run can be sent again.
    pub effect: Effect,
    /// For requests with an idempotency key, the workers that drop duplicates of one another's.
    pub dedup_scope: DedupScope,
    /// For requests with an idempotency key, how long duplicates are dropped, counted from the
    /// first attempt that may have run.
    pub dedup_window: f64,
    /// Latency objective: an answer within this time, plus `objective_stretch` times the job's own
    /// work, earns the full weight.
    pub latency_objective: f64,
    /// Multiple of the job's own work that is added to the latency objective.
    pub objective_stretch: f64,
    /// How long a client waits at most.
    pub deadline: f64,
    /// Weight of a request that is answered within its objective.
    pub priority_weight: f64,
    /// Share of the weight that an answer after the objective still earns.
    pub late_weight: f64,
    /// The only machine kind that can run it; `None` for any.
    pub required_kind: Option<u16>,
    /// The machine kinds that it may be sent to; `None` for any.
    pub allowed_kinds: Option<Vec<u32>>,
    /// The zones that it may be sent to; `None` for any.
    pub allowed_zones: Option<Vec<u32>>,
    /// Priority in the workers' queues, if [`Settings::priority_queues`] is set.
    pub priority: i32,
    /// The answer is a stream.
    pub stream: bool,
}

impl Class {
    /// Returns whether requests of this class may be sent to a worker of this kind and zone.
    pub fn admits(&self, entry: &Entry) -> bool {
        let allows = |allowed: &Option<Vec<u32>>, number: u32| {
            allowed
                .as_ref()
                .is_none_or(|allowed| allowed.contains(&number))
        };
        let kind = allows(&self.allowed_kinds, entry.kind.into())
            && self.required_kind.is_none_or(|k| k == entry.kind);
        kind && allows(&self.allowed_zones, entry.zone.into())
    }

    /// Returns whether a worker in the second zone and cell drops duplicates of requests that a
    /// worker in the first has received. It does not where a zone or cell that matters is unknown.
    pub fn deduplicates_between(&self, first: (u8, u16), second: (u8, u16)) -> bool {
        let zone = first.0 == second.0 && first.0 != NO_ZONE;
        let cell = first.1 == second.1 && first.1 != NO_CELL;
        match self.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => zone,
            DedupScope::Cell => cell && first.0 == second.0,
        }
    }

    /// Returns the effect of a request of this class. Without an idempotency key no worker can
    /// recognise its duplicates.
    pub fn effect_of(&self, without_key: bool) -> Effect {
        if without_key && self.effect == Effect::IdempotentByKey {
            Effect::NotIdempotent
        } else {
            self.effect
        }
    }

    /// Returns whether a request that may have run can be sent again to any worker.
    pub fn can_resend_anywhere(&self, without_key: bool) -> bool {
        let effect = self.effect_of(without_key);
        effect == Effect::Idempotent
            || effect == Effect::IdempotentByKey && self.dedup_scope == DedupScope::All
    }
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests waiting.
    Queue,
    /// Requests at the worker, waiting or running.
    InFlight,
    /// Free slots.
    FreeSlots,
    /// Free memory units.
    FreeMemory,
    /// Recent service time without waiting, in milliseconds.
    ServiceMs,
    /// A figure that the module does not use.
    Other,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Answers to attempts and to probes.
    Answers,
    /// Answers to probes only.
    Probes,
    /// There are none.
    None,
}

/// How many attempts beyond each request's first one a dispatcher may send. Within any `window`,
/// they stay at or below `min_retries + ratio * requests admitted in the window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are always allowed, however light the traffic is.
    pub min_retries: f64,
    /// Retries for each admitted request.
    pub ratio: f64,
    /// The time over which retries and admitted requests are counted, in seconds.
    pub window: f64,
}

/// The configuration that a dispatcher is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that send to the workers.
    pub dispatcher_count: u32,
    /// Zone of this dispatcher.
    pub zone: u8,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Discovery answers polls only; it can't be watched.
    pub discovery_on_request: bool,
    /// Where discovery is polled, the longest time between two polls.
    pub max_poll_interval: f64,
    /// Shortest time between two calls of [`crate::Dispatcher::handle`] with different clocks.
    pub tick: f64,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// The figures of a load report, in their order.
    pub report_fields: Vec<ReportField>,
    /// Probes are allowed.
    pub probes_allowed: bool,
    /// Attempts in flight may be cancelled.
    pub cancel_allowed: bool,
    /// Hedged requests are allowed: two attempts of one request may be in flight at a time.
    pub hedging_allowed: bool,
    /// Longest Retry-After that a rejected client is given; 0 if it is given none.
    pub max_retry_after: f64,
    /// Maximum number of attempts of one request.
    pub max_attempts: u16,
    /// Time after which connecting to a worker has failed.
    pub dial_timeout: f64,
    /// The weight of a request counts for each unit of its work, not once.
    pub weight_by_work: bool,
    /// Price of one probe for each request, as a share of all weight.
    pub probe_price: f64,
    /// Price of an attempt that crosses zones, as a share of all weight.
    pub cross_zone_price: f64,
    /// Price, as a share of all weight, if every request makes its worker fetch the data of its
    /// subject; 0 if nothing is fetched.
    pub fetch_price: f64,
    /// Price, as a share of all weight, if as much work is wasted as was requested.
    pub waste_price: f64,
    /// Workers serve their queues in the order of the classes' priorities.
    pub priority_queues: bool,
    /// Workers report the start of a job.
    pub reports_start: bool,
    /// Time between two progress reports of a running job; 0 if there are none.
    pub progress_interval: f64,
    /// Clients mark the requests that are retries of earlier ones.
    pub clients_mark_retries: bool,
    /// The sizes in the worker list can be compared between workers.
    pub sizes_compare: bool,
    /// Share of its capacity, from 0 to 1, that a worker has at its start at least.
    pub initial_capacity_share: f64,
    /// Time after its start in which a worker has warmed up at the latest.
    pub warm_up_time: f64,
    /// A worker that is warming up fails if it is sent more than this multiple of its present
    /// capacity for `overload_window`.
    pub overload_multiple: f64,
    /// How long a worker that is warming up withstands an overload.
    pub overload_window: f64,
    /// Budget of retries; `None` if they are not limited.
    pub retry_budget: Option<RetryBudget>,
    /// Workers may reject a job that they had begun, so that a rejected attempt may have run.
    pub full_may_have_run: bool,
    /// Names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// Names of the machine kinds, in the order of their numbers.
    pub kind_names: Vec<String>,
    /// Names of the tenants, in the order of their numbers.
    pub tenant_names: Vec<String>,
    /// Names of the figures of a load report, in their order.
    pub field_names: Vec<String>,
    /// Time after which a worker closes an idle connection; 0 if it is unknown.
    pub idle_timeout: f64,
    /// Maximum number of requests that wait for an answer at a time; 0 for no limit.
    pub max_waiting_requests: usize,
}

impl Settings {
    /// Returns whether workers may stop a running job of this class for one of a higher priority.
    /// Such an end is no fault of the worker.
    pub fn may_preempt(&self, class: usize) -> bool {
        let class = &self.classes[class];
        let higher = |other: &Class| other.priority > class.priority;
        self.priority_queues
            && class.effect == Effect::Idempotent
            && self.classes.iter().any(higher)
    }

    /// Returns a value of a load report, if it is present, finite and not negative.
    pub fn report_value(&self, report: &[f32], field: ReportField) -> Option<f64> {
        let at = self.report_fields.iter().position(|&f| f == field)?;
        report.get(at).and_then(|&v| sound(v.into()))
    }
}

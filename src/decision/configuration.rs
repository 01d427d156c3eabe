//! The configuration of a dispatcher: request classes, limits, prices and the fields of load
//! reports. Times are in seconds.

use super::figures::finite_non_negative;
use super::worker_entry::{Entry, NO_CELL, NO_ZONE};

/// Timeout of a probe as a multiple of the connection timeout: one for the connection, and the rest
/// for the answer of a busy worker.
const PROBE_TIMEOUT_FACTOR: f64 = 4.0;

/// The side effects of a request, which decide whether it can be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It can be sent again to any worker.
    Idempotent,
    /// It has an idempotency key: for some time, the workers of one [`DedupScope`] drop its
    /// duplicates.
    IdempotentByKey,
    /// It must never run twice.
    NotIdempotent,
}

/// The workers that share their record of idempotency keys.
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
    /// Name of the class, as given in requests.
    pub name: String,
    /// Whether a request that may have run can be sent again.
    pub effect: Effect,
    /// For requests with an idempotency key, the workers that recognise each other's requests as
    /// duplicates.
    pub dedup_scope: DedupScope,
    /// For requests with an idempotency key, how long duplicates are dropped, counted from the
    /// first attempt that may have run.
    pub dedup_window: f64,
    /// Latency objective: an answer within this time, plus `objective_stretch` times the job's
    /// work, counts with the full weight.
    pub latency_objective: f64,
    /// Multiple of the job's work that is added to the latency objective.
    pub objective_stretch: f64,
    /// Maximum time that a client waits for an answer.
    pub deadline: f64,
    /// Weight of a request that is answered within its latency objective.
    pub priority_weight: f64,
    /// Share of the weight with which an answer after the latency objective still counts.
    pub late_weight: f64,
    /// The only machine kind that can run its requests; `None` for any.
    pub required_kind: Option<u16>,
    /// The machine kinds that its requests may be sent to; `None` for any.
    pub allowed_kinds: Option<Vec<u32>>,
    /// The zones that its requests may be sent to; `None` for any.
    pub allowed_zones: Option<Vec<u32>>,
    /// Priority in the workers' queues, if [`Settings::priority_queues`] is set.
    pub priority: i32,
    /// Whether answers are streamed.
    pub stream: bool,
}

impl Class {
    /// Returns whether requests of this class may be sent to a worker of this machine kind and
    /// zone.
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
    /// worker in the first has received. If a zone or cell that is relevant is unknown, it does
    /// not.
    pub fn deduplicates_between(&self, first: (u8, u16), second: (u8, u16)) -> bool {
        let zone = first.0 == second.0 && first.0 != NO_ZONE;
        let cell = first.1 == second.1 && first.1 != NO_CELL;
        match self.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => zone,
            DedupScope::Cell => cell && first.0 == second.0,
        }
    }

    /// Returns the effect of a request of this class. Without an idempotency key, workers cannot
    /// recognise duplicates of the request.
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

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Number of requests waiting.
    Queue,
    /// Number of requests at the worker, waiting or running.
    InFlight,
    /// Number of free slots.
    FreeSlots,
    /// Free memory units.
    FreeMemory,
    /// Recent service time without waiting, in milliseconds.
    ServiceMs,
    /// A field that the module does not use.
    Other,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Answers to attempts and to probes.
    Answers,
    /// Answers to probes only.
    Probes,
    /// There are no load reports.
    None,
}

/// Limit on the number of attempts beyond the first one of each request. Within any `window` a
/// dispatcher sends at most `min_retries + ratio * requests admitted in the window` of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries that are always allowed, regardless of the traffic.
    pub min_retries: f64,
    /// Number of retries per admitted request.
    pub ratio: f64,
    /// The time over which retries and admitted requests are counted, in seconds.
    pub window: f64,
}

/// The configuration of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of dispatchers that send to the workers.
    pub dispatcher_count: u32,
    /// Zone of this dispatcher.
    pub zone: u8,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Discovery must be polled; it can't be watched.
    pub discovery_on_request: bool,
    /// If discovery is polled, the longest time between two polls.
    pub max_poll_interval: f64,
    /// Resolution of the clock: the shortest time between two calls of
    /// [`crate::Dispatcher::handle`] at different times.
    pub tick: f64,
    /// Where load reports come from.
    pub report_source: ReportSource,
    /// The fields of a load report, in their order.
    pub report_fields: Vec<ReportField>,
    /// Whether probes may be sent.
    pub probes_allowed: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancel_allowed: bool,
    /// Whether hedged requests are allowed: two attempts of one request may be in flight at a time.
    pub hedging_allowed: bool,
    /// Maximum `Retry-After` value for rejected clients; 0 if none is sent.
    pub max_retry_after: f64,
    /// Maximum number of attempts of one request.
    pub max_attempts: u16,
    /// Timeout for connecting to a worker.
    pub dial_timeout: f64,
    /// Whether the weight of a request counts per unit of its work instead of once per request.
    pub weight_by_work: bool,
    /// Cost of sending one probe per request, as a share of the total weight of all requests.
    pub probe_price: f64,
    /// Cost of sending an attempt to another zone, as a share of the total weight of all requests.
    pub cross_zone_price: f64,
    /// Cost if for every request the worker has to fetch the data of its affinity key, as a share
    /// of the total weight of all requests; 0 if nothing is fetched.
    pub fetch_price: f64,
    /// Cost if as much work is wasted as was requested, as a share of the total weight of all
    /// requests.
    pub waste_price: f64,
    /// Whether workers serve their queues in the order of the classes' priorities.
    pub priority_queues: bool,
    /// Whether workers report the start of a job.
    pub reports_start: bool,
    /// Interval between progress reports of a running job; 0 if there are none.
    pub progress_interval: f64,
    /// Whether clients mark requests that are retries of earlier ones.
    pub clients_mark_retries: bool,
    /// Whether the sizes in the worker list can be compared between workers.
    pub sizes_are_comparable: bool,
    /// Minimum share of its capacity that a worker has right after its start, from 0 to 1.
    pub initial_capacity_share: f64,
    /// Maximum time after its start that a worker takes to reach its full capacity.
    pub warm_up_time: f64,
    /// A worker that is warming up fails if it is sent more than this multiple of its current
    /// capacity for `overload_window`.
    pub overload_multiple: f64,
    /// Time for which a worker that is warming up withstands an overload.
    pub overload_window: f64,
    /// Retry budget; `None` if retries are not limited.
    pub retry_budget: Option<RetryBudget>,
    /// Whether workers may reject a job after starting it, so that a rejected attempt may have run.
    pub rejected_may_have_run: bool,
    /// Names of the zones, in the order of their numbers.
    pub zone_names: Vec<String>,
    /// Names of the machine kinds, in the order of their numbers.
    pub kind_names: Vec<String>,
    /// Names of the tenants, in the order of their numbers.
    pub tenant_names: Vec<String>,
    /// Names of the fields of a load report, in their order.
    pub field_names: Vec<String>,
    /// Time after which a worker closes an idle connection; 0 if it is unknown.
    pub idle_timeout: f64,
    /// Maximum number of requests waiting for an answer at a time; 0 for no limit.
    pub max_waiting_requests: usize,
}

impl Settings {
    /// Returns how long a probe may take. After that an unanswered one may be sent again.
    pub fn probe_timeout(&self) -> f64 {
        PROBE_TIMEOUT_FACTOR * self.dial_timeout
    }

    /// Returns whether workers may stop a running job of this class in favour of one with a higher
    /// priority. This is not a fault of the worker.
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
        report.get(at).and_then(|&v| finite_non_negative(v.into()))
    }
}

//! Tuning parameters of the decision module; see the design note `docs/design/deployments.md`.
//!
//! Unless another unit is given, times are multiples of the mean run time: the smoothed run time of
//! a job at a worker, as observed by this dispatcher.

// ---- Candidates and load reports ----

/// Number of workers that are sampled as candidates in a large fleet. Half as many of the latest
/// reporters are added. Larger samples take more time and hardly improve the choice.
pub(super) const CANDIDATE_POOL_SIZE: usize = 32;
/// Number of workers probed per round for one request. A fourth probe costs more than it gains.
pub(super) const PROBE_SAMPLE_SIZE: usize = 3;
/// Number of workers probed per round for a request with an affinity key. It is higher than
/// [`PROBE_SAMPLE_SIZE`] because missing free capacity at a preferred worker costs a fetch.
pub(super) const AFFINITY_PROBE_SAMPLE_SIZE: usize = 8;
/// Maximum number of probe rounds before a request is placed with the information at hand.
pub(super) const MAX_PROBE_ROUNDS: u32 = 2;
/// Maximum average number of probes per request, including probes for deferred requests.
pub(super) const PROBES_PER_REQUEST: f64 = 5.0;
/// Maximum cost of all probes, as a share of the total weight of all requests. The higher the price
/// of a probe, the fewer probes are sent.
pub(super) const PROBE_COST_SHARE: f64 = 0.0075;
/// Maximum time that a request waits for probe answers, as a share of its latency objective. A
/// longer wait costs more than a better choice of worker gains.
pub(super) const MAX_PROBE_WAIT: f64 = 0.1;
/// Assumed age of a load report when it arrives. Attempts that this dispatcher sent within this
/// time before the arrival are not included in the report.
pub(super) const REPORT_DELAY: f64 = 0.2;
/// Time constant with which the mean load decays exponentially while no reports arrive.
pub(super) const MEAN_LOAD_DECAY: f64 = 4.0;
/// Smoothing weight of a new report in a worker's load from other dispatchers. Reports are delayed
/// and noisy.
pub(super) const OTHERS_LOAD_WEIGHT: f64 = 0.3;
/// Time constant with which a worker's load from other dispatchers decays exponentially towards the
/// mean of its machine kind.
pub(super) const OTHERS_LOAD_DECAY: f64 = 4.0;
/// Age up to which a load report is evidence of free capacity.
pub(super) const REPORT_LIFETIME: f64 = 4.0;
/// Share of requests that go to a worker without a recent report although others are known to have
/// free capacity.
pub(super) const EXPLORATION_RATE: f64 = 0.05;
/// Age up to which a report counts as fresh where workers can be probed.
pub(super) const FRESH_REPORT_AGE: f64 = 0.5;
/// Weight of a new value in an exponential moving average, which thus covers about ten values.
pub(super) const SMOOTHING: f64 = 0.1;
/// Maximum run time that is recorded for a job, as a multiple of its expected work. Anything beyond
/// this is attributed to waiting.
pub(super) const MAX_RUN_TIME_FACTOR: f64 = 2.0;
/// Share of accurate reports below which reports of free capacity are ignored. Also the acceptance
/// rate below which a worker's reports of free capacity are ignored.
pub(super) const MIN_REPORT_ACCURACY: f64 = 0.5;
/// Exponent of the acceptance rate in a worker's lottery tickets. It is high because there are few
/// answers per worker, so that each of them must have a strong effect.
pub(super) const ACCEPTANCE_POWER: i32 = 3;
/// Acceptance rate of a worker right after it rejected a request of the class. It is above 0
/// because the worker may have been full only briefly.
pub(super) const REJECTED_ACCEPTANCE: f64 = 0.1;
/// Factor on a worker's lottery tickets for each candidate that ranks above it for the request's
/// affinity key.
pub(super) const LESS_PREFERRED_FACTOR: f64 = 0.005;
/// Maximum number of candidates that may rank above a worker in slow start for the request's
/// affinity key if the request is to use its slow-start permit.
pub(super) const MAX_PREFERRED_BEFORE_SLOW_START: i32 = 2;
/// Requests stay in the own zone until its load exceeds the mean of all zones by more than this
/// many jobs per worker.
pub(super) const OWN_ZONE_EXCESS_LOAD: f64 = 1.0;

// ---- Queueing, retries and hedged requests ----

/// Interval at which a deferred request is reconsidered, as a share of its latency objective.
pub(super) const DEFER_INTERVAL: f64 = 0.4;
/// Multiple of [`DEFER_INTERVAL`] for requests that are already late, so that requests that can
/// still meet their objective go first.
pub(super) const LATE_DEFER_FACTOR: f64 = 3.0;
/// Delay after which a job is hedged if its start has not been reported, as a share of the
/// request's latency objective including its allowance for the job's work.
pub(super) const HEDGE_DELAY: f64 = 0.1;
/// Number of progress intervals without a report after which a job is considered waiting or hung.
pub(super) const MAX_SILENT_INTERVALS: f64 = 1.15;
/// Maximum average number of hedged requests per request.
pub(super) const HEDGES_PER_REQUEST: f64 = 0.05;
/// Maximum cost of work wasted by hedged requests, as a share of the total weight of all requests.
/// The higher the price of waste, the fewer hedged requests are sent.
pub(super) const HEDGE_COST_SHARE: f64 = 0.0025;
/// Maximum unused budget that is kept for later. For hedged requests this is a number of hedges;
/// for probes it is the budget of this many requests, but at least this many probes.
pub(super) const MAX_SAVED_BUDGET: f64 = 10.0;
/// Share of the deduplication window within which a request may be sent again. The margin covers
/// the time that sending takes.
pub(super) const USABLE_DEDUP_SHARE: f64 = 0.9;
/// Minimum run time of a job as a share of its hinted work, for a fast worker and a hint that is
/// too high.
pub(super) const MIN_RUN_TIME_SHARE: f64 = 0.25;
/// Number of ticks before the client's deadline at which the final answer is sent.
pub(super) const ANSWER_LEAD_TICKS: f64 = 2.0;
/// Share of marked first requests with a short time limit above which a short time limit is no
/// longer taken as evidence of a client's retry. Also the relative shortfall that makes a time
/// limit short.
pub(super) const SHORT_TIME_LIMIT_SHARE: f64 = 0.1;

// ---- Ejection ----

/// Duration of a worker's first ejection. With little traffic a worker is drawn rarely, so a
/// shorter ejection would have no effect.
pub(super) const EJECTION_TIME: f64 = 8.0;
/// Maximum duration of an ejection. Each consecutive failure doubles the duration.
pub(super) const MAX_EJECTION_TIME: f64 = 32.0;
/// Maximum number of consecutive failures that are counted.
pub(super) const MAX_COUNTED_FAILURES: i32 = 16;
/// Minimum share of the eligible workers that must not be ejected. Below it the workers are
/// unlikely to be the cause, and ejections are ignored.
pub(super) const MIN_SHARE_NOT_EJECTED: f64 = 0.5;

// ---- Slow start ----

/// Share of the overload multiple up to which all dispatchers together send to a worker in slow
/// start. The rest is a margin for overload, which multiplies the traffic to every worker.
pub(super) const SLOW_START_TRAFFIC_SHARE: f64 = 0.7;
/// Maximum share of a worker's slow-start budget that one dispatcher may use per window.
pub(super) const SLOW_START_BUDGET_SHARE: f64 = 0.8;
/// Multiple of an equal share of the slow-start budget that one dispatcher may use, since traffic
/// is not distributed evenly over the dispatchers.
pub(super) const TRAFFIC_IMBALANCE: f64 = 4.0;
/// Multiple of the usual traffic up to which slow-start permits grow in proportion to the traffic.
pub(super) const MAX_BURST: f64 = 1.5;
/// Number of slow-start budget windows over which the usual traffic is measured.
pub(super) const USUAL_TRAFFIC_WINDOWS: f64 = 10.0;
/// Expected number of requests that all dispatchers together send to a resumed worker in addition
/// to those of the lottery.
pub(super) const RESUMED_WORKER_REQUESTS: f64 = 1.0;
/// Time within which these requests become due, in seconds. It is short because the operator checks
/// whether the worker is in use again.
pub(super) const RESUMED_WORKER_SPREAD_SECONDS: f64 = 3.0;

// ---- Discovery ----

/// Maximum delay before discovery is called after a cached list was loaded, as a share of the
/// longest interval between calls. The actual delay is random.
pub(super) const CACHED_LIST_CHECK: f64 = 0.4;
/// Delay before a failed call is repeated, as a share of the longest interval between calls. Each
/// consecutive failure doubles it.
pub(super) const FAILED_CALL_RETRY: f64 = 0.05;
/// Maximum number of consecutive failed calls that lengthen the delay.
pub(super) const MAX_FAILED_CALLS: i32 = 3;
/// Delay before a call without any response is repeated, as a share of the longest interval between
/// calls.
pub(super) const SILENT_CALL_RETRY: f64 = 0.5;

// ---- Sibling processes ----

/// Maximum time for which a sibling's attempts are counted towards slow-start budgets, in seconds.
pub(super) const MAX_SIBLING_WINDOW_SECONDS: f64 = 60.0;

//! Tuning parameters of the decision module. Each one was measured on the simulator and on real
//! sockets; the design note `docs/design/deployments.md` has the runs.
//!
//! Where no other unit is named, a time is a multiple of the mean run time: the smoothed time that
//! a job runs at a worker, as this dispatcher has seen it.

// ---- Candidates and load reports ----

/// Number of workers in a draw, and of workers whose reports came last. More cost time and gain
/// little.
pub(super) const CANDIDATE_POOL_SIZE: usize = 32;
/// Workers probed at a time for one request. A fourth adds less than it costs.
pub(super) const PROBE_SAMPLE_SIZE: usize = 3;
/// Workers probed at a time for a request with a subject: free capacity that is overlooked costs a
/// fetch.
pub(super) const SUBJECT_PROBE_SAMPLE_SIZE: usize = 8;
/// Rounds of probes before a request is placed by what is known.
pub(super) const MAX_PROBE_ROUNDS: u32 = 2;
/// Probes that a request may cost on average, waiting requests included.
pub(super) const PROBES_PER_REQUEST: f64 = 5.0;
/// Share of all points that probes may cost; more expensive probes are sent as much less often.
pub(super) const PROBE_SPENDING: f64 = 0.0075;
/// Share of the latency objective for which a request waits for probes. A longer wait costs more
/// than a better worker gains.
pub(super) const PROBE_WAIT: f64 = 0.1;
/// Age of a load report when it arrives. Attempts that this dispatcher has sent since are not in
/// it.
pub(super) const REPORT_DELAY: f64 = 0.2;
/// Without any report the mean load decays by a factor of e in this time.
pub(super) const MEAN_LOAD_DECAY: f64 = 4.0;
/// Weight of a new report in the load of other dispatchers at a worker: a report is old and noisy.
pub(super) const OTHERS_LOAD_WEIGHT: f64 = 0.3;
/// The load of other dispatchers at a worker decays towards the mean of its kind by a factor of e
/// in this time.
pub(super) const OTHERS_LOAD_DECAY: f64 = 4.0;
/// A worker without a report for longer than this is not known to have free capacity.
pub(super) const REPORT_LIFETIME: f64 = 4.0;
/// Share of the requests that go to a worker without a report although others are known to have
/// free capacity.
pub(super) const EXPLORATION_RATE: f64 = 0.05;
/// A report up to this age counts as fresh where workers could be probed instead.
pub(super) const FRESH_REPORT_AGE: f64 = 0.5;
/// Weight of a new figure in the smoothed ones: about ten figures make a mean.
pub(super) const SMOOTHING: f64 = 0.1;
/// Multiple of its own work up to which a job's run time counts. What goes beyond it was waiting
/// time.
pub(super) const MAX_RUN_TIME: f64 = 2.0;
/// Share of right reports of free capacity below which these reports are not used.
pub(super) const MIN_TRUST: f64 = 0.5;
/// Power of the acceptance rate in a worker's tickets: few answers are known, so each must weigh
/// much.
pub(super) const ACCEPTANCE_POWER: i32 = 3;
/// Share of its tickets that a worker keeps after it has rejected a request of the class: it may
/// have been full for once.
pub(super) const REJECTED_ACCEPTANCE: f64 = 0.1;
/// Share of its tickets that a worker keeps for each worker that the request's subject prefers to
/// it.
pub(super) const LESS_PREFERRED_FACTOR: f64 = 0.005;
/// Number of preferred workers up to which a worker in slow start is near enough to a subject.
pub(super) const MAX_PREFERRED_BEFORE_SLOW_START: i32 = 2;
/// Own zone first, up to this many jobs a worker above the mean load of all zones.
pub(super) const OWN_ZONE_EXCESS_LOAD: f64 = 1.0;

// ---- Queueing, retries and hedged requests ----

/// Share of the latency objective after which a waiting request looks for free capacity again.
pub(super) const DEFER_INTERVAL: f64 = 0.4;
/// Multiple of this interval for a request that is late already: requests in time go first.
pub(super) const LATE_DEFER_FACTOR: f64 = 3.0;
/// Share of the time that is left to a waiting job after which it is hedged if its start was not
/// reported.
pub(super) const HEDGE_DELAY: f64 = 0.1;
/// Progress intervals without a report after which a job counts as waiting or hanging.
pub(super) const SILENCE_INTERVALS: f64 = 1.15;
/// Hedged requests that a request may cost on average.
pub(super) const HEDGES_PER_REQUEST: f64 = 0.05;
/// Share of all points that wasted work may cost; where waste is more expensive there are fewer
/// hedged requests.
pub(super) const HEDGE_SPENDING: f64 = 0.0025;
/// Requests' weight of the probe and hedge budgets that may be saved for a bad moment.
pub(super) const MAX_SAVED_BUDGET: f64 = 10.0;
/// Share of the idempotency window that may be used: sending again takes time, too.
pub(super) const USABLE_WINDOW: f64 = 0.9;
/// Share of its hinted work that a job takes at least, on a fast worker and with a high hint.
pub(super) const MIN_RUN_TIME: f64 = 0.25;
/// Ticks before the client's deadline at which the final answer is given.
pub(super) const ANSWER_LEAD_TICKS: f64 = 2.0;
/// Share of first requests with less time left from which a shorter time says nothing of a
/// request's age.
pub(super) const SHORT_BUDGET_SHARE: f64 = 0.1;

// ---- Ejection ----

/// Length of a worker's first ejection. With little traffic a worker is drawn seldom, so that a
/// shorter one would have no effect.
pub(super) const EJECTION_TIME: f64 = 8.0;
/// Longest ejection. Each failure in a row doubles the time.
pub(super) const MAX_EJECTION_TIME: f64 = 32.0;
/// Failures in a row that are counted.
pub(super) const MAX_FAILURES: i32 = 16;
/// Share of workers that must be left; with more of them ejected the cause is not the workers, and
/// none is left out.
pub(super) const MIN_SHARE_NOT_EJECTED: f64 = 0.5;

// ---- Slow start ----

/// Share of the overload multiple that all dispatchers together use: an overload multiplies what
/// arrives.
pub(super) const SLOW_START_TRAFFIC_SHARE: f64 = 0.7;
/// Share of a slow-start budget for one window that one dispatcher may use.
pub(super) const SLOW_START_BUDGET_SHARE: f64 = 0.8;
/// Multiple of its mean part that a dispatcher may take: traffic is uneven among dispatchers.
pub(super) const UNEVEN_TRAFFIC: f64 = 4.0;
/// Multiple of the usual traffic up to which passes to workers in slow start grow with it.
pub(super) const MAX_BURST: f64 = 1.5;
/// Windows of the slow-start budget over which the usual traffic is measured.
pub(super) const USUAL_TRAFFIC_WINDOWS: f64 = 10.0;
/// Requests that all dispatchers together send to a resumed worker beside those that are drawn.
pub(super) const RESUMED_WORKER_REQUESTS: f64 = 1.0;
/// Seconds over which these are spread: an operator looks whether the worker is used again.
pub(super) const RESUMED_WORKER_SPREAD_SECONDS: f64 = 3.0;

// ---- Discovery ----

/// Share of the longest interval between calls after which a cached list is checked at the latest,
/// by chance.
pub(super) const CACHED_LIST_CHECK: f64 = 0.4;
/// Share of the longest interval between calls after which a failed call is made again; doubled by
/// each failure.
pub(super) const FAILED_CALL_RETRY: f64 = 0.05;
/// Failed calls in a row that lengthen the interval.
pub(super) const MAX_FAILED_CALLS: i32 = 3;
/// Share of the longest interval between calls after which a call without any answer is made again.
pub(super) const SILENT_CALL_RETRY: f64 = 0.5;

// ---- Limits of what sibling processes send ----

/// Longest window of a slow-start budget for which a sibling's attempts are counted, in seconds.
pub(super) const MAX_SIBLING_WINDOW_SECONDS: f64 = 60.0;

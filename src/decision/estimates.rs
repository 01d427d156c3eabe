//! Estimates that a dispatcher derives from the behaviour of all workers and clients.

use super::parameters::SMOOTHING;
use std::collections::BTreeMap;

/// Moving averages and extreme values over all workers, by class, zone or machine kind.
#[derive(Default)]
pub struct Estimates {
    /// Mean run time of a job, in seconds; most tuning parameters are multiples of it.
    pub mean_run_time: f64,
    /// Mean run time of each class's jobs, in seconds.
    pub run_time_by_class: Vec<f64>,
    /// Longest time limit of a request of each class, in seconds.
    pub longest_time_limit_by_class: Vec<f64>,
    /// Share of each class's first requests with a short time limit, where clients mark their
    /// retries.
    pub short_time_limit_share_by_class: Vec<f64>,
    /// Mean load of a worker, in jobs.
    pub mean_load: f64,
    /// Mean load of a worker by zone, in jobs.
    pub load_by_zone: BTreeMap<u8, f64>,
    /// Load of other dispatchers on a worker, by machine kind, in jobs.
    pub others_load_by_kind: BTreeMap<u16, f64>,
    /// Highest number of free slots ever reported by a worker of each machine kind.
    pub slots_by_kind: BTreeMap<u16, f64>,
    /// When the last load report arrived.
    pub last_report_at: f64,
    /// Share of the reports of free capacity that proved accurate.
    pub report_accuracy: f64,
    /// Share of each class's attempts that were accepted. Rejections count only where the report
    /// showed free capacity.
    pub acceptance_by_class: Vec<f64>,
}

impl Estimates {
    /// Returns the initial estimates for the expected run time of each class, in seconds.
    pub fn new(run_time_by_class: Vec<f64>) -> Self {
        let classes = run_time_by_class.len();
        Self {
            mean_run_time: run_time_by_class
                .iter()
                .copied()
                .reduce(f64::min)
                .unwrap_or(1.0),
            longest_time_limit_by_class: vec![0.0; classes],
            short_time_limit_share_by_class: vec![0.0; classes],
            acceptance_by_class: vec![1.0; classes],
            run_time_by_class,
            mean_load: 1.0,
            report_accuracy: 1.0,
            ..Self::default()
        }
    }
}

/// Updates an exponential moving average with a new value.
pub fn smooth(average: &mut f64, value: f64) {
    *average += SMOOTHING * (value - *average);
}

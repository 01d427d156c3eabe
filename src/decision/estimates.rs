//! Smoothed figures of what a dispatcher has seen of the workers together.

use super::parameters::SMOOTHING;
use std::collections::BTreeMap;

/// Smoothed and counted figures of all workers, by class, zone and machine kind where that matters.
#[derive(Default)]
pub struct Estimates {
    /// Mean run time of a job, in seconds: the unit of most tuning parameters.
    pub mean_run_time: f64,
    /// Mean run time of each class's jobs, in seconds.
    pub run_time_by_class: Vec<f64>,
    /// Longest time until a client gives up, in seconds, seen of each class.
    pub longest_budget_by_class: Vec<f64>,
    /// Share of each class's first requests with a shorter time, where clients mark their retries.
    pub short_budget_share_by_class: Vec<f64>,
    /// Mean load of a worker, in jobs.
    pub mean_load: f64,
    /// Mean load of a worker by zone, in jobs.
    pub load_by_zone: BTreeMap<u8, f64>,
    /// Load of other dispatchers on a worker, by machine kind, in jobs.
    pub others_load_by_kind: BTreeMap<u16, f64>,
    /// Most free slots ever reported by a worker of each machine kind.
    pub slots_by_kind: BTreeMap<u16, f64>,
    /// When the last load report came.
    pub last_report_at: f64,
    /// Share of the reports of free capacity that were right.
    pub trust: f64,
    /// Share of each class's attempts that were not rejected although the report showed capacity.
    pub acceptance_by_class: Vec<f64>,
}

impl Estimates {
    /// Returns the estimates before anything was seen, from the expected run time of each class in
    /// seconds.
    pub fn new(run_time_by_class: Vec<f64>) -> Self {
        let classes = run_time_by_class.len();
        Self {
            mean_run_time: run_time_by_class
                .iter()
                .copied()
                .reduce(f64::min)
                .unwrap_or(1.0),
            longest_budget_by_class: vec![0.0; classes],
            short_budget_share_by_class: vec![0.0; classes],
            acceptance_by_class: vec![1.0; classes],
            run_time_by_class,
            mean_load: 1.0,
            trust: 1.0,
            ..Self::default()
        }
    }
}

/// Moves a smoothed figure towards a new one.
pub fn smooth(figure: &mut f64, new: f64) {
    *figure += SMOOTHING * (new - *figure);
}

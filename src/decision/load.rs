//! Load reports and what follows from them: a worker's load, its expected wait, its free capacity.

use super::dispatcher::Dispatcher;
use super::estimates::smooth;
use super::interface::{ReportField, ReportSource};
use super::parameters::{
    CANDIDATE_POOL_SIZE, MAX_EJECTION_TIME, MEAN_LOAD_DECAY, OTHERS_LOAD_DECAY, OTHERS_LOAD_WEIGHT,
    REPORT_DELAY, REPORT_LIFETIME,
};
use super::request::Request;
use super::workers::{LoadReport, Worker, WorkerIndex};

impl Dispatcher {
    /// Records the figures of a load report. `ended_slots` are those of an own job that has just
    /// ended, which the report still counts.
    pub(super) fn record_figures(&mut self, index: WorkerIndex, figures: &[f32], ended_slots: f64) {
        let Some(load) = self.reported_load(index, figures) else {
            return;
        };
        let memory = self.settings.figure(figures, ReportField::FreeMemory);
        let report = LoadReport {
            load: (load - ended_slots).max(0.0),
            memory: memory.unwrap_or(f64::INFINITY),
            at: self.now,
        };
        self.record_report(index, report);
    }

    /// Returns the load in a report, in slots; `None` if it has none. The most free slots ever seen
    /// on a machine kind count as its slots.
    fn reported_load(&mut self, index: WorkerIndex, figures: &[f32]) -> Option<f64> {
        let queue = self.settings.figure(figures, ReportField::Queue);
        let in_flight = self.settings.figure(figures, ReportField::InFlight);
        let free = self.settings.figure(figures, ReportField::FreeSlots);
        let kind = self.workers.all[index].entry.kind;
        let slots = self.estimates.slots_by_kind.entry(kind).or_insert(0.0);
        *slots = slots.max(free.unwrap_or(0.0).round());
        // An empty queue looks the same on a full worker and on an idle one; the slots in use tell
        // them apart.
        let busy = free.map(|free| *slots - free);
        let queued = queue.map(|queue| queue + busy.unwrap_or(0.0));
        in_flight.or(queued).or(busy)
    }

    /// Records a load report in the figures of its worker, its zone, its kind and all workers.
    pub(super) fn record_report(&mut self, index: WorkerIndex, report: LoadReport) {
        self.workers.record_reporter(index, CANDIDATE_POOL_SIZE / 2);
        let measured_at = self.run_times_ago(REPORT_DELAY);
        let worker = &mut self.workers.all[index];
        let others = (report.load - worker.own_load_before(measured_at)).max(0.0);
        worker.others_load = match worker.report {
            Some(_) => worker.others_load + OTHERS_LOAD_WEIGHT * (others - worker.others_load),
            None => others,
        };
        worker.report = Some(report);
        let (zone, kind) = (worker.entry.zone, worker.entry.kind);
        let estimates = &mut self.estimates;
        estimates.last_report_at = self.now;
        smooth(&mut estimates.mean_load, report.load);
        let zone_load = estimates.load_by_zone.entry(zone).or_insert(report.load);
        smooth(zone_load, report.load);
        let kind_load = estimates.others_load_by_kind.entry(kind).or_insert(others);
        smooth(kind_load, others);
    }

    /// Returns a worker's load plus the correction, in slots.
    ///
    /// Reports are old when they come, at times by seconds, but the own attempts at the worker are
    /// known exactly. So only the load of other dispatchers is taken from a report, smoothed and
    /// decaying towards the mean of its kind; the correction is all own attempts that have not
    /// ended. By the last report alone, every request would go to the workers that have just
    /// answered.
    pub(super) fn load(&self, worker: &Worker) -> f64 {
        // A dispatcher that sends nothing gets no reports, and would never send again.
        let silence = (self.now - self.estimates.last_report_at).max(0.0)
            / (MEAN_LOAD_DECAY * self.estimates.mean_run_time);
        let kind_load = self.estimates.others_load_by_kind.get(&worker.entry.kind);
        let mean = kind_load.copied().unwrap_or(self.estimates.mean_load) * (-silence).exp();
        let deviation = worker.report.map_or(0.0, |report| {
            let age = (self.now - report.at).max(0.0)
                / (OTHERS_LOAD_DECAY * self.estimates.mean_run_time);
            (-age).exp() * (worker.others_load - mean)
        });
        // Without reports the own attempts alone show no queue: other dispatchers are assumed to
        // have as much load there.
        let dispatchers = match self.settings.report_source {
            ReportSource::None => self.settings.dispatcher_count.max(1).into(),
            ReportSource::Answers | ReportSource::Probes => 1.0,
        };
        (mean + deviation).max(0.0) + worker.own_load_before(f64::INFINITY) * dispatchers
    }

    /// Returns whether the dispatcher sends so much that the answers report on all workers of a
    /// class.
    pub(super) fn hears_all_workers(&self, class: usize) -> bool {
        let since = self.run_times_ago(REPORT_LIFETIME);
        self.budgets.admitted.count_since(since) >= self.workers.ready_by_class[class].len()
    }

    /// Returns the slots of a worker, 0 if unknown.
    pub(super) fn slots(&self, worker: &Worker) -> f64 {
        let slots = self.estimates.slots_by_kind.get(&worker.entry.kind);
        slots.copied().unwrap_or(0.0)
    }

    /// Returns the expected wait for a slot of a worker, in seconds.
    pub(super) fn expected_wait(&self, worker: &Worker) -> f64 {
        let is_known = self.settings.report_source == ReportSource::None
            || self
                .estimates
                .others_load_by_kind
                .contains_key(&worker.entry.kind);
        if !is_known {
            return 0.0;
        }
        let slots = self.slots(worker).max(1.0);
        (self.load(worker) - slots).max(0.0) / slots * self.estimates.mean_run_time
    }

    /// Returns the share of a class's requests that a worker accepts: its last answer, decaying
    /// towards the rate of all workers.
    ///
    /// It is a factor of the tickets, and 1 until a report of free capacity is followed by a
    /// rejection. A worker that rejects one class, or everything, looks idle and would win the
    /// draws.
    pub(super) fn acceptance(&self, worker: &Worker, class: usize) -> f64 {
        let mean = self.estimates.acceptance_by_class[class];
        let decay_time = MAX_EJECTION_TIME * self.estimates.mean_run_time;
        worker.acceptance.get(&class).map_or(mean, |last| {
            let decay = (-(self.now - last.at) / decay_time).exp();
            mean + (last.share - mean) * decay
        })
    }

    /// Returns whether a request should find a free slot, by what a recent report says.
    pub(super) fn has_free_capacity(&self, worker: &Worker, request: &Request) -> bool {
        let free = self.slots(worker) - self.load(worker);
        worker.reported_since(self.run_times_ago(REPORT_LIFETIME))
            && worker
                .report
                .is_some_and(|report| free >= request.slots && report.memory >= request.memory)
    }
}

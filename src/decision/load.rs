//! Load reports and what is derived from them: a worker's load, expected wait and free capacity.

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
    /// Records the values of a load report. `ended_slots` are the slots of a job of this dispatcher
    /// that has just ended and is still included in the report.
    pub(super) fn record_report_values(
        &mut self,
        index: WorkerIndex,
        values: &[f32],
        ended_slots: f64,
    ) {
        let Some(load) = self.reported_load(index, values) else {
            return;
        };
        let memory = self.settings.report_value(values, ReportField::FreeMemory);
        let report = LoadReport {
            load: (load - ended_slots).max(0.0),
            memory: memory.unwrap_or(f64::INFINITY),
            at: self.now,
        };
        self.record_report(index, report);
    }

    /// Returns the load in a report, in slots, or `None` if the report does not contain it. The
    /// highest number of free slots ever reported for a machine kind is taken as its number of
    /// slots.
    fn reported_load(&mut self, index: WorkerIndex, values: &[f32]) -> Option<f64> {
        let queue = self.settings.report_value(values, ReportField::Queue);
        let in_flight = self.settings.report_value(values, ReportField::InFlight);
        let free = self.settings.report_value(values, ReportField::FreeSlots);
        let kind = self.workers.all[index].entry.kind;
        let slots = self.estimates.slots_by_kind.entry(kind).or_insert(0.0);
        *slots = slots.max(free.unwrap_or(0.0).round());
        // An empty queue does not distinguish a full worker from an idle one, but the number of
        // busy slots does.
        let busy = free.map(|free| *slots - free);
        let queued = queue.map(|queue| queue + busy.unwrap_or(0.0));
        in_flight.or(queued).or(busy)
    }

    /// Updates the load of a worker and the mean loads of its zone, its machine kind and all
    /// workers.
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
    /// Reports may be seconds old when they arrive, while this dispatcher's own attempts at the
    /// worker are known exactly. Only the load of other dispatchers is therefore taken from
    /// reports; it is smoothed and decays towards the mean of the machine kind. The correction
    /// consists of all own attempts that have not ended. With the last report alone, every request
    /// would go to the workers that answered most recently.
    pub(super) fn load(&self, worker: &Worker) -> f64 {
        // The mean decays because a dispatcher that sends nothing receives no reports, and a high
        // mean would keep it from sending anything again.
        let silence = (self.now - self.estimates.last_report_at).max(0.0)
            / (MEAN_LOAD_DECAY * self.estimates.mean_run_time);
        let kind_load = self.estimates.others_load_by_kind.get(&worker.entry.kind);
        let mean = kind_load.copied().unwrap_or(self.estimates.mean_load) * (-silence).exp();
        let deviation = worker.report.map_or(0.0, |report| {
            let age = (self.now - report.at).max(0.0)
                / (OTHERS_LOAD_DECAY * self.estimates.mean_run_time);
            (-age).exp() * (worker.others_load - mean)
        });
        // Without reports, this dispatcher's own attempts alone do not reveal a queue. The other
        // dispatchers are assumed to put the same load on the worker.
        let dispatchers = match self.settings.report_source {
            ReportSource::None => self.settings.dispatcher_count.max(1).into(),
            ReportSource::Answers | ReportSource::Probes => 1.0,
        };
        (mean + deviation).max(0.0) + worker.own_load_before(f64::INFINITY) * dispatchers
    }

    /// Returns whether this dispatcher's traffic is high enough to receive recent reports from all
    /// workers of a class: at least one admitted request per worker within the report lifetime.
    pub(super) fn reports_cover_all_workers(&self, class: usize) -> bool {
        let since = self.run_times_ago(REPORT_LIFETIME);
        self.budgets.admitted.count_since(since) >= self.workers.ready_by_class[class].len()
    }

    /// Returns the number of slots of a worker, or 0 if it is unknown.
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

    /// Returns the estimated share of a class's requests that a worker accepts. It follows from the
    /// worker's last answer and decays towards the rate of all workers.
    ///
    /// The rate affects the worker's lottery tickets and is 1 until a request is rejected in spite
    /// of reported free capacity. Without it, a worker that rejects one class or all requests would
    /// appear idle and win most lotteries.
    pub(super) fn acceptance(&self, worker: &Worker, class: usize) -> f64 {
        let mean = self.estimates.acceptance_by_class[class];
        let decay_time = MAX_EJECTION_TIME * self.estimates.mean_run_time;
        worker.acceptance.get(&class).map_or(mean, |last| {
            let decay = (-(self.now - last.at) / decay_time).exp();
            mean + (last.share - mean) * decay
        })
    }

    /// Returns whether a recent report shows enough free slots and memory for a request.
    pub(super) fn has_free_capacity(&self, worker: &Worker, request: &Request) -> bool {
        let free = self.slots(worker) - self.load(worker);
        worker.reported_since(self.run_times_ago(REPORT_LIFETIME))
            && worker
                .report
                .is_some_and(|report| free >= request.slots && report.memory >= request.memory)
    }
}

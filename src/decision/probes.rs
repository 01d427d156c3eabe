//! Probes: requests for the load reports of a few workers before one of them is drawn.

use super::dispatcher::Dispatcher;
use super::interface::{Action, Outcome, RequestId, WorkerId};
use super::parameters::MAX_PROBE_WAIT;
use super::request::Request;
use super::workers::WorkerIndex;

impl Dispatcher {
    /// Probes some workers, drawn by lottery, for a request. With little traffic, load reports in
    /// answers are so rare that they are outdated by the time of the next request.
    pub(super) fn probe_candidates(&mut self, id: RequestId, from: &[WorkerIndex], count: usize) {
        let probed = self.draw(id, from, count);
        let timeout = self.settings.probe_timeout();
        for &index in &probed {
            let worker = &mut self.workers.all[index];
            let is_waiting = worker.probe_sent.is_some_and(|at| self.now - at <= timeout);
            if !is_waiting {
                worker.probe_sent = Some(self.now);
                self.budgets.probes -= 1.0;
                let worker = worker.entry.worker;
                self.actions.push(Action::Probe { worker });
            }
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let wait = MAX_PROBE_WAIT * self.settings.classes[request.class].latency_objective;
        request.probed = probed;
        request.probes_until = self.now + wait;
        request.probe_rounds += 1;
        self.schedule_review(wait, id);
    }

    /// Handles the end of a probe that was sent `elapsed` seconds ago. The answer is ignored if the
    /// probe was sent before the latest one answered or before the worker started, since its load
    /// report is outdated.
    pub(super) fn handle_probe_result(
        &mut self,
        id: WorkerId,
        outcome: Outcome,
        report: &[f32],
        elapsed: f64,
    ) {
        let Some(&index) = self.workers.index.get(&id) else {
            return;
        };
        let sent = self.now - elapsed;
        let worker = &mut self.workers.all[index];
        if sent < worker.answered_probe_sent.max(worker.started()) {
            return;
        }
        worker.probe_sent = None;
        worker.answered_probe_sent = sent;
        match outcome {
            Outcome::Succeeded => self.record_report_values(index, report, 0.0),
            Outcome::Rejected | Outcome::CancelledLocally => {}
            _ => self.eject(index),
        }
        self.place_requests_that_waited_for(index);
    }

    /// Places each request that was waiting for this worker's probe only.
    fn place_requests_that_waited_for(&mut self, index: WorkerIndex) {
        let waits =
            |(&id, request): (&RequestId, &Request)| request.probed.contains(&index).then_some(id);
        let waiting: Vec<RequestId> = self.requests.iter().filter_map(waits).collect();
        for id in waiting {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.probed.retain(|&probed| probed != index);
            if request.probed.is_empty() {
                self.place_request(id);
            }
        }
    }
}

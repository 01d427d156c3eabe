//! Probes: asking a few workers for their load before the draw.

use super::dispatcher::Dispatcher;
use super::interface::{Action, Outcome, RequestId, WorkerId};
use super::parameters::PROBE_WAIT;
use super::request::Request;
use super::workers::WorkerIndex;

/// Multiple of the connection timeout after which a probe without an answer may be sent again.
const PROBE_TIMEOUT_DIALS: f64 = 4.0;

impl Dispatcher {
    /// Probes some workers drawn at random for a request. With little traffic a dispatcher gets so
    /// few reports that they are older than its jobs.
    pub(super) fn probe_candidates(&mut self, id: RequestId, from: &[WorkerIndex], count: usize) {
        let probed = self.draw(id, from, count);
        let timeout = PROBE_TIMEOUT_DIALS * self.settings.dial_timeout;
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
        let wait = PROBE_WAIT * self.settings.classes[request.class].latency_objective;
        request.probed = probed;
        request.probes_until = self.now + wait;
        request.probe_rounds += 1;
        self.schedule_review(wait, id);
    }

    /// Handles the end of a probe that was sent `elapsed` seconds ago. An answer that is older than
    /// the last one, or than the worker's start, is ignored: its figures are outdated.
    pub(super) fn handle_probe_result(
        &mut self,
        id: WorkerId,
        outcome: Outcome,
        figures: &[f32],
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
            Outcome::Succeeded => self.record_figures(index, figures, 0.0),
            Outcome::Rejected | Outcome::CancelledLocally => {}
            _ => self.eject(index),
        }
        self.place_requests_that_waited_for(index);
    }

    /// Places each request whose last probe has ended with this worker's.
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

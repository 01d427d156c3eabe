//! Probes that ask workers for their load, and conversion of load reports.

use super::in_flight::PendingProbe;
use super::manager::RequestManager;
use super::worker_table::WorkerIndex;
use crate::decision::interface::{Event, Outcome};
use crate::net::messages::{AttemptEnd, Command, Load};

impl RequestManager {
    /// Sends a probe to a worker.
    pub(super) fn start_probe(&mut self, now: f64, worker: WorkerIndex, out: &mut Vec<Command>) {
        let id = self.next_attempt;
        self.next_attempt += 1;
        self.probes.insert(
            id,
            PendingProbe {
                worker,
                sent_at: now,
            },
        );
        out.push(Command::ProbeWorker {
            attempt: id,
            worker: self.workers.address(worker),
            timeout: self.settings.probe_timeout(),
        });
    }

    /// Reports the end of a probe to the dispatcher.
    pub(super) fn record_probe_end(
        &mut self,
        now: f64,
        probe: &PendingProbe,
        end: AttemptEnd,
        load: &Load,
    ) {
        let outcome = match end {
            AttemptEnd::Accepted => Outcome::Succeeded,
            // Not the worker's fault.
            AttemptEnd::LocalCapacityExhausted => Outcome::CancelledLocally,
            AttemptEnd::NeverSent => Outcome::ConnectFailed,
            AttemptEnd::Reset => Outcome::Timeout,
            AttemptEnd::RejectedUnstarted | AttemptEnd::RejectedAmbiguous | AttemptEnd::Error => {
                Outcome::Error
            }
        };
        let report = self.load_report(load);
        self.dispatcher_events.push_back(Event::ProbeEnded {
            worker: probe.worker.id(),
            outcome,
            elapsed: now - probe.sent_at,
            report,
        });
    }

    /// Returns the figures of a load report in the order of the settings' fields. Absent figures
    /// are NaN, never 0; if all are absent, the result is empty.
    pub fn load_report(&self, load: &Load) -> Vec<f32> {
        let figure = |field: &String| {
            let found = load
                .iter()
                .find(|(name, _)| settings_field(name) == field || name == field);
            found.map_or(f32::NAN, |(_, value)| *value as f32)
        };
        let report: Vec<f32> = self.settings.field_names.iter().map(figure).collect();
        if report.iter().all(|figure| figure.is_nan()) {
            Vec::new()
        } else {
            report
        }
    }
}

/// Returns the settings' name of the load figure that has this name on the wire.
fn settings_field(wire_name: &str) -> &str {
    match wire_name {
        "queue" => "backlog",
        "eps" => "errors_per_s",
        "inflight" => "outstanding",
        "util" => "utilization",
        "latency_ms" => "recent_ms",
        "qps" => "throughput",
        name => name,
    }
}

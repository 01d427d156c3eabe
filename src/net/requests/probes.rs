//! Probes that ask workers for their load, and the reading of load reports.

use super::in_flight::PendingProbe;
use super::manager::RequestManager;
use super::worker_table::WorkerIndex;
use crate::decision::interface::{Event, Outcome};
use crate::net::messages::{AttemptEnd, Command, Load};

/// Time-out of a probe, in multiples of the settings' connect time-out: one for the connection, and
/// some for the answer of a busy worker.
const PROBE_TIMEOUT_DIAL_TIMEOUTS: f64 = 4.0;

impl RequestManager {
    /// Sends a worker a probe.
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
            timeout: PROBE_TIMEOUT_DIAL_TIMEOUTS * self.settings.dial_timeout,
        });
    }

    /// Informs the dispatcher of the end of a probe.
    pub(super) fn record_probe_end(
        &mut self,
        now: f64,
        probe: &PendingProbe,
        end: AttemptEnd,
        load: &Load,
    ) {
        let outcome = match end {
            AttemptEnd::Accepted => Outcome::Succeeded,
            // No fault of the worker.
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

    /// Returns a load report with its figures in the order of the settings' fields. Absent figures
    /// are NaN, never 0; without any known figure, the report is empty.
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

/// Returns the name in the settings of a load figure that has this name on the wire.
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

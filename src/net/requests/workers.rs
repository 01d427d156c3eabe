//! Workers by name and number: what the list, operators and probes say of them, and what is taken back with that.

use super::in_flight::{InFlightRequest, RequestManager, Unwritten, number, worker_id};
use crate::decision::interface::{Entry, Event, Health, ListKind, Outcome, RequestId};
use crate::net::messages::{AttemptEnd, Command, Load, Member, Reply};
use postproxy_handover::StateUpdate;
use std::collections::BTreeSet;

/// A worker is given so many times the time of a connection to tell its load; then it counts as silent.
const PROBE_DIALS: f64 = 4.0;

/// Where a worker is that the list has not named yet: nobody is reached there, and none is sent there.
const NOWHERE: std::net::SocketAddr = std::net::SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::UNSPECIFIED,
    0,
));

/// The name that settings have for a figure of this name on the sockets.
fn field(name: &str) -> &str {
    match name {
        "queue" => "backlog",
        "eps" => "errors_per_s",
        "inflight" => "outstanding",
        "util" => "utilization",
        "latency_ms" => "recent_ms",
        "qps" => "throughput",
        name => name,
    }
}

impl RequestManager {
    /// Workers that operators have taken out of use.
    pub fn suspended_workers(&self) -> Vec<String> {
        self.banned
            .iter()
            .map(|&worker| self.names[worker].clone())
            .collect()
    }

    /// Takes a worker out of use, or back into it. What runs there ends there; what has not been sent whole
    /// goes elsewhere.
    pub(super) fn employ(
        &mut self,
        now: f64,
        name: &str,
        again: bool,
        out: &mut Vec<Command>,
    ) -> Reply {
        let Some(&worker) = self.numbers.get(name) else {
            return Reply::Nobody;
        };
        if again != self.banned.contains(&worker) {
            return Reply::Yes;
        }
        tracing::info!(worker = name, again, "an operator's word on a worker's use");
        self.tell(|| StateUpdate::Use {
            worker: name.to_owned(),
            again,
        });
        if again {
            self.banned.remove(&worker);
        } else {
            self.banned.insert(worker);
        }
        // First of all: what comes back now must not go there again.
        self.events.push_back(Event::SuspensionChanged {
            worker: worker_id(worker),
            resume: again,
        });
        out.push(Command::CloseIdleConnections {
            worker: self.workers[worker],
        });
        if !again {
            let unwritten = self.unwritten_to(&BTreeSet::from([worker]));
            self.withdraw(now, unwritten, out);
        }
        Reply::Yes
    }

    /// Workers that a list says want nothing new. What it does not name has gone, if it is the whole list.
    pub(super) fn leaving(&self, kind: ListKind, entries: &[Entry]) -> BTreeSet<usize> {
        let of = |wanted: bool| {
            let fits = move |e: &&Entry| (e.health == Health::Ready) == wanted;
            entries
                .iter()
                .filter(fits)
                .map(|e| number(e.worker))
                .collect::<BTreeSet<usize>>()
        };
        match kind {
            ListKind::Full => {
                let ready = of(true);
                (0..self.workers.len())
                    .filter(|worker| !ready.contains(worker))
                    .collect()
            }
            _ => of(false),
        }
    }

    /// Danger: what counts for a drain is the first byte, and a connection may take longer to come up than the drain allows.
    pub(super) fn unwritten_to(&self, workers: &BTreeSet<usize>) -> Vec<Unwritten> {
        if workers.is_empty() {
            return Vec::new();
        }
        let to_them = |(&request, t): (&RequestId, &InFlightRequest)| {
            let to_one = |u: &Unwritten| workers.contains(&t.attempts[u.attempt as usize].worker);
            t.unwritten(request).filter(to_one).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(to_them).collect()
    }

    /// Takes attempts back whose last byte has not been written. This gives up nothing that runs, so that it needs no leave
    /// to cancel.
    pub(super) fn withdraw(&mut self, now: f64, attempts: Vec<Unwritten>, out: &mut Vec<Command>) {
        for Unwritten {
            request,
            attempt,
            attempt_id,
            cleared,
        } in attempts
        {
            if cleared {
                out.push(Command::WithdrawAttempt {
                    attempt: attempt_id,
                });
            } else {
                self.ended(
                    now,
                    (request, attempt),
                    Outcome::CancelledLocally,
                    &Load::new(),
                );
            }
        }
    }

    /// Asks a worker for its load.
    pub(super) fn probe(&mut self, now: f64, worker: usize, out: &mut Vec<Command>) {
        let attempt_id = self.next_attempt;
        self.next_attempt += 1;
        self.probes.insert(attempt_id, (worker, now));
        out.push(Command::ProbeWorker {
            attempt: attempt_id,
            worker: self.workers[worker],
            timeout: PROBE_DIALS * self.settings.dial_timeout,
        });
    }

    /// What became of it. A shortage here says nothing of the worker.
    pub(super) fn probed(&mut self, worker: usize, end: AttemptEnd, elapsed: f64, load: &Load) {
        let outcome = match end {
            AttemptEnd::Accepted => Outcome::Succeeded,
            AttemptEnd::NoRoom => Outcome::CancelledLocally,
            AttemptEnd::NeverSent => Outcome::ConnectFailed,
            AttemptEnd::Reset => Outcome::Timeout,
            AttemptEnd::NotRun | AttemptEnd::TurnedAway | AttemptEnd::Error => Outcome::Error,
        };
        let (worker, report) = (worker_id(worker), self.report(load));
        self.events.push_back(Event::ProbeEnded {
            worker,
            outcome,
            elapsed,
            report,
        });
    }

    /// A load report in the settings' order; figures that are not there are no numbers, never 0.
    pub fn report(&self, load: &Load) -> Vec<f32> {
        let figure = |wanted: &String| {
            let found = load
                .iter()
                .find(|(name, _)| field(name) == wanted || name == wanted);
            found.map_or(f32::NAN, |(_, value)| *value as f32)
        };
        let report: Vec<f32> = self.settings.field_names.iter().map(figure).collect();
        if report.iter().all(|figure| figure.is_nan()) {
            Vec::new()
        } else {
            report
        }
    }

    /// The number of the worker of this name, which may be new.
    pub(super) fn number(&mut self, name: &str) -> usize {
        if let Some(&at) = self.numbers.get(name) {
            return at;
        }
        let at = self.workers.len();
        self.numbers.insert(name.to_owned(), at);
        self.workers.push(NOWHERE);
        self.names.push(name.to_owned());
        at
    }

    pub(super) fn member(&mut self, member: Member) -> Entry {
        let at = self.number(&member.id);
        self.workers[at] = member.address;
        Entry {
            worker: worker_id(at),
            ..member.entry
        }
    }
}

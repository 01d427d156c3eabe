//! A test harness for a dispatcher, with settings, worker entries and helpers to inspect actions.
#![allow(dead_code)]

use postproxy::{
    Action, Dispatcher, Entry, Event, Health, ListKind, NewRequest, Outcome, ProgressNote,
    RequestId, Settings, WorkerId,
};

/// Returns default settings, whose JSON is modified by `change`. There are three classes: 0 is
/// idempotent, 1 is idempotent by key within a cell, and 2 is not idempotent.
pub fn settings(change: impl FnOnce(&mut serde_json::Value)) -> Settings {
    let mut json = serde_json::json!({
        "balancers": 4, "zone": 0, "discovery": "pushed", "tick": 0.004, "counted-by": "request",
        "services": [
            {"effect": "pure", "aim": 0.4, "deadline": 5.0, "importance": 3.0, "late-value": 0.2},
            {"effect": "token", "dedup-scope": "cell", "memory-span": 4.0, "aim": 0.4, "deadline": 10.0, "importance": 3.0},
            {"effect": "side_effect", "aim": 0.4, "deadline": 10.0, "importance": 3.0}],
        "limits": {"cancel": true, "dial-timeout": 0.25, "max-attempts": 4, "max-retry-after": 2.0, "may-probe": false,
                   "retry-after": true, "second-copies": true},
        "report": {"fields": ["backlog", "x0"], "via": "answers"},
        "rules": {"answer-slack": 0.016, "cold": 10.0, "cold-from": 0.2, "drain-grace": 0.5, "fall-multiple": 3.0,
                  "must-ask-in": 10.0, "tip-after": 2.0},
        "extra": {"class-stretch": [1.5, 2.0, 2.0], "report-x0": "free slots", "progress": 1.0, "tells-start": false},
    });
    change(&mut json);
    Settings::from_json(&json.to_string()).expect("valid settings")
}

/// Returns the id of worker `n`.
pub fn worker_id(n: u16) -> WorkerId {
    WorkerId {
        address: [10, 0, (n >> 8) as u8, n as u8],
        port: 80,
    }
}

/// Returns the entry of worker `n`, which is ready and in a cell with four workers.
pub fn entry(n: u16) -> Entry {
    Entry {
        worker: worker_id(n),
        cell: n / 4,
        size: 1.0,
        ..Entry::default()
    }
}

/// A dispatcher and the current time.
pub struct DispatcherHarness {
    pub dispatcher: Dispatcher,
    pub now: f64,
}

impl DispatcherHarness {
    /// Returns a harness whose dispatcher has received a list of `workers` workers.
    pub fn new(settings: Settings, workers: u16) -> Self {
        let dispatcher = Dispatcher::new(settings, 7).expect("valid settings");
        let mut harness = Self {
            dispatcher,
            now: 100.0,
        };
        harness.receive_list(ListKind::Full, (0..workers).map(entry).collect());
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, &event, &mut actions);
        actions
    }

    pub fn receive_list(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.handle(Event::WorkerListReceived { kind, entries })
    }

    pub fn submit(&mut self, request: RequestId, class: u8) -> Vec<Action> {
        self.handle(Event::RequestReceived(NewRequest {
            id: request,
            class,
            time_limit: if class == 0 { 5.0 } else { 10.0 },
            expected_work: Some(0.5),
            slots: 1.0,
            ..NewRequest::default()
        }))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u16,
        to: WorkerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_with_report(request, attempt, to, outcome, Vec::new())
    }

    pub fn end_attempt_with_report(
        &mut self,
        request: RequestId,
        attempt: u16,
        to: WorkerId,
        outcome: Outcome,
        report: Vec<f32>,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            request,
            attempt,
            worker: to,
            outcome,
            elapsed: 0.1,
            answered: outcome == Outcome::Succeeded,
            report,
        })
    }

    pub fn end_probe(&mut self, to: WorkerId, outcome: Outcome, report: Vec<f32>) -> Vec<Action> {
        self.handle(Event::ProbeEnded {
            worker: to,
            outcome,
            elapsed: 0.01,
            report,
        })
    }

    pub fn report_progress(
        &mut self,
        request: RequestId,
        attempt: u16,
        note: ProgressNote,
    ) -> Vec<Action> {
        self.handle(Event::AttemptProgress {
            request,
            attempt,
            note,
        })
    }

    /// Advances the time to `until`, handles the timers in `due` and returns the resulting actions.
    pub fn run_until(&mut self, until: f64, due: &mut Vec<(f64, u64)>) -> Vec<Action> {
        let mut all = Vec::new();
        loop {
            due.sort_by(|a, b| a.0.total_cmp(&b.0));
            if due.first().is_none_or(|d| d.0 > until) {
                self.now = until;
                return all;
            }
            let (at, token) = due.remove(0);
            self.now = at.max(self.now);
            let actions = self.handle(Event::TimerExpired { token });
            due.extend(timers_set(&actions));
            all.extend(actions);
        }
    }
}

pub fn timers_set(actions: &[Action]) -> Vec<(f64, u64)> {
    let timer = |a: &Action| {
        if let Action::Timer { at, token } = *a {
            Some((at, token))
        } else {
            None
        }
    };
    actions.iter().filter_map(timer).collect()
}

pub fn workers_sent_to(actions: &[Action]) -> Vec<WorkerId> {
    let send = |a: &Action| {
        if let Action::Send { worker, .. } = *a {
            Some(worker)
        } else {
            None
        }
    };
    actions.iter().filter_map(send).collect()
}

pub fn workers_probed(actions: &[Action]) -> Vec<WorkerId> {
    let probe = |a: &Action| {
        if let Action::Probe { worker } = *a {
            Some(worker)
        } else {
            None
        }
    };
    actions.iter().filter_map(probe).collect()
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Returns the entry of worker `n` with this health.
pub fn entry_with_health(n: u16, health: Health) -> Entry {
    Entry { health, ..entry(n) }
}

//! Generated settings with unusual, invalid and missing values. They are rejected with an error
//! that names the key, or a dispatcher with these settings follows its rules in a simulation.

use postproxy::decision::dispatcher::Dispatcher;
use postproxy::decision::interface::{
    Action, DedupScope, Effect, Entry, Event, Health, ListKind, NewRequest, Outcome, Settings,
    SettingsError, WorkerId,
};
use postproxy::decision::random::Random;
use postproxy::net::Config;
use postproxy_diagnostics::Diagnostic;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Returns a value that may be in range, out of range, of the wrong type, or null.
fn unusual_value(rng: &mut Random) -> Value {
    let values = [
        json!(0),
        json!(0.05),
        json!(1),
        json!(2.5),
        json!(30),
        json!(-1),
        json!(1e300),
        json!("5"),
        json!(null),
        json!([1]),
        json!(true),
        json!({}),
    ];
    values[(rng.uniform() * values.len() as f64) as usize].clone()
}

/// Returns valid settings in which some values are replaced.
fn generated_settings(rng: &mut Random) -> Value {
    // The last keyword is unknown and rarely picked.
    let pick = |rng: &mut Random, keywords: &[&str]| {
        let known = keywords.len() - 1;
        json!(if rng.uniform() < 0.05 {
            keywords[known]
        } else {
            keywords[(rng.uniform() * known as f64) as usize]
        })
    };
    let classes = 1 + (rng.uniform() * 3.0) as usize;
    let service = |rng: &mut Random, n: usize| {
        json!({"name": format!("c{n}"), "effect": pick(rng, &["pure", "token", "side_effect", "unheard-of"]),
            "dedup-scope": pick(rng, &["all", "zone", "cell", "rack"]), "memory-span": 8.0 * rng.uniform(),
            "aim": rng.uniform(), "deadline": 0.2 + 5.0 * rng.uniform(), "importance": 9.0 * rng.uniform(),
            "late-value": rng.uniform()})
    };
    let services: Vec<Value> = (0..classes).map(|n| service(rng, n)).collect();
    let mut all = json!({
        "balancers": 1 + (rng.uniform() * 300.0) as u32, "tick": 0.004, "discovery": pick(rng, &["pushed", "on_request", "gossip"]),
        "services": services,
        "limits": {"cancel": rng.uniform() < 0.5, "second-copies": rng.uniform() < 0.5, "max-attempts": 1 + (rng.uniform() * 5.0) as u16,
            "dial-timeout": 0.25, "max-retry-after": 2.0, "retry-after": rng.uniform() < 0.5, "conn-idle": 5.0, "may-probe": rng.uniform() < 0.5},
        "report": {"fields": ["backlog", "x0"], "via": pick(rng, &["answers", "probe", "none", "pigeon"])},
        "rules": {"cold": 10.0 * rng.uniform(), "cold-from": rng.uniform(), "fall-multiple": 4.0 * rng.uniform(),
            "must-ask-in": 10.0, "tip-after": 2.0 * rng.uniform()},
        "prices": {"cross-zone": 0.01, "probe": 0.02 * rng.uniform(), "origin": 0.3 * rng.uniform(), "waste": 0.3 * rng.uniform()},
        "extra": {"report-x0": "free slots", "progress": 2.0 * rng.uniform(), "tells-start": rng.uniform() < 0.5,
            "class-priority": [1, 0, 1], "queue-order": "priority"},
        "orgs": [{"name": "a", "share": 0.0, "quota-per-s": 0.0}, {"name": "b", "share": 1.0}],
    });
    // Some sections are removed, and some keys get unusual values.
    for section in [
        "limits",
        "report",
        "rules",
        "prices",
        "extra",
        "services",
        "discovery",
        "balancers",
        "orgs",
    ] {
        if rng.uniform() < 0.05 {
            all.as_object_mut().expect("an object").remove(section);
        }
    }
    for _ in 0..(rng.uniform() * 2.5) as usize {
        let sections = ["limits", "rules", "extra", "prices"];
        let section = sections[(rng.uniform() * 4.0) as usize];
        let value = unusual_value(rng);
        if let Some(map) = all.get_mut(section).and_then(Value::as_object_mut) {
            let keys: Vec<String> = map.keys().cloned().collect();
            map.insert(
                keys[(rng.uniform() * keys.len() as f64) as usize].clone(),
                value,
            );
        } else if let Some(service) = all["services"].get_mut(0).and_then(Value::as_object_mut) {
            let keys: Vec<String> = service.keys().cloned().collect();
            service.insert(
                keys[(rng.uniform() * keys.len() as f64) as usize].clone(),
                value,
            );
        }
    }
    all
}

/// An attempt as the checker records it.
struct ObservedAttempt {
    sent: f64,
    place: Place,
    may_have_run: bool,
}

struct ObservedRequest {
    class: usize,
    deadline: f64,
    attempts: Vec<ObservedAttempt>,
    answers: u32,
}

/// Zone and cell of a worker.
#[derive(Clone, Copy, PartialEq)]
struct Place {
    zone: u8,
    cell: u16,
}

impl Place {
    fn of(worker: u16) -> Self {
        Self {
            zone: (worker / 4) as u8,
            cell: worker / 2,
        }
    }
}

const WORKERS: u16 = 8;

fn entry(number: u16) -> Entry {
    let place = Place::of(number);
    Entry {
        worker: WorkerId {
            address: [10, 0, 0, number as u8],
            port: 80,
        },
        zone: place.zone,
        cell: place.cell,
        size: 1.0,
        ..Entry::default()
    }
}

/// A dispatcher with generated settings, simulated clients and workers, and a checker of its rules.
struct Simulation<'a> {
    settings: &'a Settings,
    random: Random,
    now: f64,
    /// Future events with their times.
    scheduled: Vec<(f64, Event)>,
    requests: BTreeMap<u64, ObservedRequest>,
    unavailable: Vec<WorkerId>,
    sends: u32,
}

/// Simulates 60 requests, which workers serve, fail, reject or don't answer. Returns the number of
/// attempts, or the first rule that is violated.
fn run_requests(settings: &Settings, seed: u64) -> Result<u32, String> {
    let mut dispatcher =
        Dispatcher::new(settings.clone(), seed).map_err(|error| error.to_string())?;
    let mut simulation = Simulation {
        settings,
        random: Random::new(seed),
        now: 100.0,
        scheduled: Vec::new(),
        requests: BTreeMap::new(),
        unavailable: Vec::new(),
        sends: 0,
    };
    let mut actions = Vec::new();
    let list = Event::WorkerListReceived {
        kind: ListKind::Full,
        entries: (0..WORKERS).map(entry).collect(),
    };
    dispatcher.handle(simulation.now, &list, &mut actions);
    simulation.schedule_requests();
    simulation.schedule_list_changes();
    while let Some(event) = simulation.next_event() {
        if !simulation.observe_event(&event) {
            continue;
        }
        dispatcher.handle(simulation.now, &event, &mut actions);
        for action in actions.drain(..) {
            simulation.check_action(action)?;
        }
    }
    let unanswered = simulation
        .requests
        .iter()
        .find(|(_, request)| request.answers != 1);
    match unanswered {
        Some((id, request)) => Err(format!("{id} has {} answers", request.answers)),
        None => Ok(simulation.sends),
    }
}

impl Simulation<'_> {
    fn schedule_requests(&mut self) {
        for request in 1..=60u64 {
            let class = (self.random.uniform() * self.settings.classes.len() as f64) as u8;
            let new = NewRequest {
                id: request,
                class,
                // Some have no affinity key, and most have one of a few.
                affinity_key: (self.random.uniform() * 5.0) as u64,
                time_limit: 0.1 + 5.0 * self.random.uniform(),
                slots: 1.0,
                ..NewRequest::default()
            };
            let at = 100.0 + 3.0 * self.random.uniform();
            self.scheduled.push((at, Event::RequestReceived(new)));
            if self.random.uniform() < 0.1 {
                let at = 101.0 + 5.0 * self.random.uniform();
                self.scheduled
                    .push((at, Event::ClientDisconnected { request }));
            }
        }
    }

    /// Schedules list changes in which one worker starts draining and another is removed.
    fn schedule_list_changes(&mut self) {
        let draining = (8.0 * self.random.uniform()) as u16;
        let removed = (8.0 * self.random.uniform()) as u16;
        for (number, health) in [(draining, Health::Draining), (removed, Health::Removed)] {
            let list = Event::WorkerListReceived {
                kind: ListKind::Delta,
                entries: vec![Entry {
                    health,
                    ..entry(number)
                }],
            };
            self.scheduled.push((100.5 + self.random.uniform(), list));
        }
    }

    /// Advances the time to the next event.
    fn next_event(&mut self) -> Option<Event> {
        if self.now >= 160.0 {
            return None;
        }
        let scheduled = &self.scheduled;
        let next =
            (0..scheduled.len()).min_by(|a, b| scheduled[*a].0.total_cmp(&scheduled[*b].0))?;
        let (at, event) = self.scheduled.swap_remove(next);
        self.now = at.max(self.now);
        Some(event)
    }

    /// Records an event. Returns whether the dispatcher is to handle it.
    fn observe_event(&mut self, event: &Event) -> bool {
        match event {
            Event::RequestReceived(new) => self.observe_request(new),
            Event::ClientDisconnected { request } => {
                let Some(request) = self.requests.get_mut(request) else {
                    return false;
                };
                if request.answers > 0 {
                    return false;
                }
                // Counts as an answer: the request must get neither an answer nor another attempt.
                request.answers += 1;
            }
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                ..
            } => {
                if let Some(request) = self.requests.get_mut(request) {
                    let never_ran = *outcome == Outcome::ConnectFailed
                        || *outcome == Outcome::Rejected && !self.settings.rejected_may_have_run;
                    request.attempts[*attempt as usize].may_have_run = !never_ran;
                    let succeeded = *outcome == Outcome::Succeeded;
                    request.answers += u32::from(succeeded && request.answers == 0);
                }
            }
            Event::WorkerListReceived { entries, .. } => {
                let workers = entries.iter().map(|entry| entry.worker);
                self.unavailable.extend(workers);
            }
            _ => {}
        }
        true
    }

    fn observe_request(&mut self, new: &NewRequest) {
        let class = new.class as usize;
        let longest = self
            .settings
            .classes
            .get(class)
            .map_or(0.0, |class| class.deadline);
        let request = ObservedRequest {
            class,
            deadline: self.now + new.time_limit.min(longest),
            attempts: Vec::new(),
            answers: 0,
        };
        self.requests.insert(new.id, request);
    }

    fn check_action(&mut self, action: Action) -> Result<(), String> {
        match action {
            Action::Timer { at, token } => {
                let timer = Event::TimerExpired { token };
                self.scheduled.push((at.max(self.now), timer));
            }
            Action::Send {
                request, worker, ..
            } => {
                self.sends += 1;
                self.check_send(request, worker)?;
                self.schedule_outcome(request, worker);
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.check_answer(request)?;
            }
            Action::Cancel { .. } if !self.settings.cancel_allowed => {
                return Err("a cancellation although cancelling is not allowed".into());
            }
            Action::Probe { .. } if !self.settings.probes_allowed => {
                return Err("a probe although probing is not allowed".into());
            }
            // One probe answer in four is lost. The others arrive with a random delay and thus in
            // any order, some of them as failures.
            Action::Probe { worker } if self.random.uniform() < 0.75 => {
                self.schedule_probe_answer(worker);
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks an attempt and records it.
    fn check_send(&mut self, id: u64, worker: WorkerId) -> Result<(), String> {
        if self.unavailable.contains(&worker) {
            return Err(format!("{id} is sent to a worker that is not ready"));
        }
        let request = self
            .requests
            .get_mut(&id)
            .ok_or("an attempt for an unknown request")?;
        if request.answers > 0 {
            return Err(format!(
                "an attempt for {id}, which has been answered or whose client has disconnected"
            ));
        }
        let class = &self.settings.classes[request.class];
        let place = Place::of(u16::from(worker.address[3]));
        let arrival = self.now + self.settings.dial_timeout;
        let deduplicates = |attempt: &ObservedAttempt| {
            let is_in_scope = match class.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => attempt.place.zone == place.zone,
                DedupScope::Cell => attempt.place == place,
            };
            is_in_scope && arrival < attempt.sent + class.dedup_window
        };
        let mut may_have_run = request.attempts.iter().filter(|a| a.may_have_run);
        let is_allowed = match class.effect {
            Effect::Idempotent => true,
            Effect::NotIdempotent => may_have_run.next().is_none(),
            Effect::IdempotentByKey => may_have_run.all(deduplicates),
        };
        let number = request.attempts.len();
        let has_attempts_left = number < self.settings.max_attempts as usize;
        if !is_allowed || !has_attempts_left || self.now >= request.deadline {
            return Err(format!("attempt {number} of {id}, {:?}", class.effect));
        }
        request.attempts.push(ObservedAttempt {
            sent: self.now,
            place,
            may_have_run: true,
        });
        Ok(())
    }

    /// Schedules the end of the latest attempt of a request, unless its worker does not answer.
    fn schedule_outcome(&mut self, request: u64, worker: WorkerId) {
        let attempt = self.requests[&request].attempts.len() as u16 - 1;
        let outcome = match (self.random.uniform() * 6.0) as u32 {
            0 => Outcome::Rejected,
            1 => Outcome::Reset,
            2 => Outcome::ConnectFailed,
            3 => return,
            _ => Outcome::Succeeded,
        };
        let report = vec![3.0 * self.random.uniform() as f32, 2.0];
        let end = Event::AttemptEnded {
            request,
            attempt,
            worker,
            outcome,
            elapsed: 0.1,
            answered: outcome == Outcome::Succeeded,
            report,
        };
        let at = self.now + self.random.uniform();
        self.scheduled.push((at, end));
    }

    fn schedule_probe_answer(&mut self, worker: WorkerId) {
        let elapsed = self.random.uniform() * self.random.uniform();
        let outcome = if self.random.uniform() < 0.1 {
            Outcome::Timeout
        } else {
            Outcome::Succeeded
        };
        let report = vec![
            6.0 * self.random.uniform() as f32,
            (4.0 * self.random.uniform()).floor() as f32,
        ];
        let answer = Event::ProbeEnded {
            worker,
            outcome,
            elapsed,
            report,
        };
        self.scheduled.push((self.now + elapsed, answer));
    }

    fn check_answer(&mut self, id: u64) -> Result<(), String> {
        let now = self.now;
        let request = self
            .requests
            .get_mut(&id)
            .ok_or("an answer to an unknown request")?;
        request.answers += 1;
        if request.answers > 1 || now > request.deadline + 0.05 {
            return Err(format!(
                "answer {} to {id}, {:.3} s late",
                request.answers,
                now - request.deadline
            ));
        }
        Ok(())
    }
}

/// With generated settings, the dispatcher neither panics nor violates a rule. Rejected settings
/// give an error that names the key and a remedy.
#[test]
fn generated_settings_work_or_are_rejected_with_the_key() {
    let (mut accepted, mut rejected, mut sends) = (0, 0, 0);
    for seed in 0..400 {
        let mut rng = Random::new(seed);
        let text = generated_settings(&mut rng).to_string();
        match Settings::from_json(&text) {
            Ok(set) => {
                accepted += 1;
                sends += run_requests(&set, seed)
                    .unwrap_or_else(|error| panic!("seed {seed}: {error}: {text}"));
            }
            Err(error) => {
                rejected += 1;
                let message = error.to_string();
                let key = message
                    .strip_prefix("settings.")
                    .and_then(|rest| rest.split([':', ' ']).next());
                let last = key
                    .and_then(|key| key.rsplit('.').next())
                    .unwrap_or_default();
                assert!(
                    !last.is_empty() && text.contains(last),
                    "seed {seed}: {message}"
                );
                assert!(error.remedy().contains("the named key"), "{message}");
            }
        }
    }
    assert!(
        accepted > 150 && rejected > 40 && sends > 5000,
        "{accepted} accepted, {rejected} rejected, {sends} attempts"
    );
}

/// An error contains the path of the key, the expected value, its code and its remedy.
#[test]
fn error_names_the_path_and_the_remedy() {
    let error = |settings: Value| {
        let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "7", "settings": settings});
        Config::from_json(&config.to_string(), |_| None)
            .err()
            .expect("an error")
    };
    let cases = [
        (
            json!({"services": [{}, {"deadline": "long"}]}),
            "settings.services[1].deadline: invalid type: string",
            "malformed",
        ),
        (
            json!({"services": [{"deadline": -2.0}]}),
            "settings.services[].deadline must be a time above 0",
            "range",
        ),
        (
            json!({"limits": {"cancel": 1}}),
            "settings.limits.cancel: invalid type: integer",
            "malformed",
        ),
        (
            json!({"rules": {"cold-from": 1.5}}),
            "settings.rules.cold-from must be between 0 and 1",
            "range",
        ),
        (json!([]), "settings.(all) must be an object", "range"),
        (
            json!({"limits": [true]}),
            "settings.limits must be an object",
            "range",
        ),
        (
            json!({"services": [["a"]]}),
            "settings.services[] must be an object",
            "range",
        ),
        (
            json!({"services": {}}),
            "settings.services: invalid type: map",
            "malformed",
        ),
        (
            json!({"services": [{}, {"effect": "Pure"}]}),
            "settings.services[1].effect must be one of pure, token, side_effect, but is \"Pure\"",
            "word",
        ),
        (
            json!({"services": [{"dedup-scope": "rack"}]}),
            "settings.services[0].dedup-scope must be one of",
            "word",
        ),
        (
            json!({"report": {"via": "pigeon"}}),
            "settings.report.via must be one of answers, probe, none",
            "word",
        ),
        (
            json!({"report": {"fields": ["backlog", "weight"]}}),
            "settings.report.fields[1] must be one of",
            "word",
        ),
        (
            json!({"prices": {"origin": -0.1}}),
            "settings.prices.origin must be 0 or more",
            "range",
        ),
        (
            json!({"prices": {"probe": -0.1}}),
            "settings.prices.probe must be 0 or more",
            "range",
        ),
        (
            json!({"prices": {"waste": "dear"}}),
            "settings.prices.waste: invalid type: string",
            "malformed",
        ),
        (
            json!({"services": [{"name": "a"}, {"name": "a"}]}),
            "settings.services[].name must be unique among the classes",
            "range",
        ),
    ];
    for (settings, expected, code) in cases {
        let message = error(settings);
        assert!(
            message.contains(expected) && message.contains(&format!("settings.{code}: ")),
            "{message}"
        );
        assert!(
            message.contains("signal it to reload its settings"),
            "{message}"
        );
    }
    assert!(
        matches!(Settings::from_json("{} {}"), Err(SettingsError::Json(_))),
        "text after the settings is an error"
    );
}

//! Generated settings with unusual, invalid and missing values: they give an error that names the
//! key, or a dispatcher that follows its rules in simulated time.

use postproxy::decision::dispatcher::Dispatcher;
use postproxy::decision::interface::{
    Action, Effect, Entry, Event, Health, ListKind, NewRequest, Outcome, Settings, SettingsError,
    WorkerId,
};
use postproxy::decision::random::Random;
use postproxy::net::Config;
use postproxy_diagnostics::Diagnostic;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Returns a value that may be in range, out of range, of another type, or null.
fn odd(rng: &mut Random) -> Value {
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

/// Returns valid settings in which some keys are replaced.
fn generated(rng: &mut Random) -> Value {
    // The last of the words is unknown, and rare.
    let pick = |rng: &mut Random, words: &[&str]| {
        let known = words.len() - 1;
        json!(if rng.uniform() < 0.05 {
            words[known]
        } else {
            words[(rng.uniform() * known as f64) as usize]
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
    // Sections are removed, and keys get unusual values.
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
        let value = odd(rng);
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

struct ObservedRequest {
    class: usize,
    until: f64,
    /// Each attempt's time, worker's cell and zone, and whether it may have run.
    attempts: Vec<(f64, (u8, u16), bool)>,
    answers: u32,
}

/// Runs 60 requests in simulated time; workers serve, fail, reject or don't answer. Returns the
/// number of attempts, or the first rule that is broken.
fn run_requests(set: &Settings, seed: u64) -> Result<u32, String> {
    let mut rng = Random::new(seed);
    let mut dispatcher = Dispatcher::new(set.clone(), seed).map_err(|error| error.to_string())?;
    let id = |n: u16| WorkerId {
        address: [10, 0, 0, n as u8],
        port: 80,
    };
    let home = |n: u16| ((n / 4) as u8, n / 2);
    let entry = |n: u16| Entry {
        worker: id(n),
        zone: home(n).0,
        cell: home(n).1,
        size: 1.0,
        ..Entry::default()
    };
    let (mut now, mut actions) = (100.0, Vec::new());
    dispatcher.handle(
        now,
        &Event::WorkerListReceived {
            kind: ListKind::Full,
            entries: (0..8).map(entry).collect(),
        },
        &mut actions,
    );
    // Events that will happen, with their times.
    let mut due: Vec<(f64, Event)> = Vec::new();
    for request in 1..=60u64 {
        let class = (rng.uniform() * set.classes.len() as f64) as u8;
        let new = NewRequest {
            id: request,
            class,
            // Some have no subject, most have one of a few.
            subject: (rng.uniform() * 5.0) as u64,
            time_limit: 0.1 + 5.0 * rng.uniform(),
            slots: 1.0,
            ..NewRequest::default()
        };
        due.push((100.0 + 3.0 * rng.uniform(), Event::RequestReceived(new)));
        if rng.uniform() < 0.1 {
            due.push((
                101.0 + 5.0 * rng.uniform(),
                Event::ClientDisconnected { request },
            ));
        }
    }
    // One worker drains meanwhile, and another is removed.
    let (drains, leaves) = ((8.0 * rng.uniform()) as u16, (8.0 * rng.uniform()) as u16);
    for (n, health) in [(drains, Health::Draining), (leaves, Health::Removed)] {
        let entries = vec![Entry { health, ..entry(n) }];
        due.push((
            100.5 + rng.uniform(),
            Event::WorkerListReceived {
                kind: ListKind::Delta,
                entries,
            },
        ));
    }
    let (mut asked, mut sends) = (BTreeMap::<u64, ObservedRequest>::new(), 0);
    let mut out_of_use = Vec::new();
    while !due.is_empty() && now < 160.0 {
        let next = (0..due.len())
            .min_by(|a, b| due[*a].0.total_cmp(&due[*b].0))
            .expect("some");
        let (at, event) = due.swap_remove(next);
        now = at.max(now);
        match &event {
            Event::RequestReceived(new) => {
                let class = new.class as usize;
                let deadline = set.classes.get(class).map_or(0.0, |c| c.deadline);
                let until = now + new.time_limit.min(deadline);
                asked.insert(
                    new.id,
                    ObservedRequest {
                        class,
                        until,
                        attempts: Vec::new(),
                        answers: 0,
                    },
                );
            }
            Event::ClientDisconnected { request }
                if asked.get(request).is_none_or(|a| a.answers > 0) =>
            {
                continue;
            }
            // The request needs neither an answer nor an attempt any more.
            Event::ClientDisconnected { request } => asked
                .get_mut(request)
                .into_iter()
                .for_each(|a| a.answers += 1),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                ..
            } => {
                if let Some(a) = asked.get_mut(request) {
                    let unseen = *outcome == Outcome::Rejected && !set.full_may_have_run;
                    let ran = !(unseen || *outcome == Outcome::ConnectFailed);
                    a.attempts[*attempt as usize].2 = ran;
                    a.answers += u32::from(*outcome == Outcome::Succeeded && a.answers == 0);
                }
            }
            Event::WorkerListReceived { entries, .. } => {
                out_of_use.extend(entries.iter().map(|entry| entry.worker))
            }
            _ => {}
        }
        dispatcher.handle(now, &event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Timer { at, token } => {
                    due.push((at.max(now), Event::TimerExpired { token }))
                }
                Action::Send {
                    request, worker, ..
                } => {
                    sends += 1;
                    if out_of_use.contains(&worker) {
                        return Err(format!("{request} is sent to a worker told off"));
                    }
                    let a = asked.get_mut(&request).ok_or("a send for nobody")?;
                    let (n, class) = (u16::from(worker.address[3]), &set.classes[a.class]);
                    if a.answers > 0 {
                        return Err(format!(
                            "an attempt for {request}, which has its answer or no client"
                        ));
                    }
                    let ran: Vec<_> = a.attempts.iter().filter(|(.., ran)| *ran).collect();
                    let inside = |at: f64, to: (u8, u16)| {
                        let group = match class.dedup_scope {
                            postproxy::decision::interface::DedupScope::All => true,
                            postproxy::decision::interface::DedupScope::Zone => to.0 == home(n).0,
                            postproxy::decision::interface::DedupScope::Cell => to == home(n),
                        };
                        group && now + set.dial_timeout < at + class.dedup_window
                    };
                    let may = match class.effect {
                        Effect::Idempotent => true,
                        Effect::NotIdempotent => ran.is_empty(),
                        Effect::IdempotentByKey => ran.iter().all(|(at, to, _)| inside(*at, *to)),
                    };
                    if !may || a.attempts.len() >= set.max_attempts as usize || now >= a.until {
                        return Err(format!(
                            "attempt {} of {request}, {:?}",
                            a.attempts.len(),
                            class.effect
                        ));
                    }
                    let attempt = a.attempts.len() as u16;
                    a.attempts.push((now, home(n), true));
                    let outcome = match (rng.uniform() * 6.0) as u32 {
                        0 => Outcome::Rejected,
                        1 => Outcome::Reset,
                        2 => Outcome::ConnectFailed,
                        3 => continue, // silent
                        _ => Outcome::Succeeded,
                    };
                    let (elapsed, closed) = (0.1, outcome == Outcome::Succeeded);
                    let report = vec![3.0 * rng.uniform() as f32, 2.0];
                    let end = Event::AttemptEnded {
                        request,
                        attempt,
                        worker,
                        outcome,
                        elapsed,
                        answered: closed,
                        report,
                    };
                    due.push((now + rng.uniform(), end));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let a = asked.get_mut(&request).ok_or("an answer to nobody")?;
                    a.answers += 1;
                    if a.answers > 1 || now > a.until + 0.05 {
                        return Err(format!(
                            "answer {} to {request}, {:.3} s late",
                            a.answers,
                            now - a.until
                        ));
                    }
                }
                Action::Cancel { .. } if !set.cancel_allowed => {
                    return Err("a cancel without leave".into());
                }
                Action::Probe { .. } if !set.probes_allowed => {
                    return Err("a probe without leave".into());
                }
                // One answer in four is lost; the others arrive late and in any order, some as
                // failures.
                Action::Probe { worker } if rng.uniform() < 0.75 => {
                    let elapsed = rng.uniform() * rng.uniform();
                    let outcome = if rng.uniform() < 0.1 {
                        Outcome::Timeout
                    } else {
                        Outcome::Succeeded
                    };
                    let report = vec![
                        6.0 * rng.uniform() as f32,
                        (4.0 * rng.uniform()).floor() as f32,
                    ];
                    due.push((
                        now + elapsed,
                        Event::ProbeEnded {
                            worker,
                            outcome,
                            elapsed,
                            report,
                        },
                    ));
                }
                _ => {}
            }
        }
    }
    match asked.iter().find(|(_, a)| a.answers != 1) {
        Some((request, a)) => Err(format!("{request} has {} answers", a.answers)),
        None => Ok(sends),
    }
}

/// No generated setting makes the dispatcher panic or break a rule; an error names the key and a
/// remedy.
#[test]
fn generated_settings_are_served_or_rejected_with_their_key() {
    let (mut served, mut named, mut sends) = (0, 0, 0);
    for seed in 0..400 {
        let mut rng = Random::new(seed);
        let text = generated(&mut rng).to_string();
        match Settings::from_json(&text) {
            Ok(set) => {
                served += 1;
                sends += run_requests(&set, seed)
                    .unwrap_or_else(|error| panic!("seed {seed}: {error}: {text}"));
            }
            Err(error) => {
                named += 1;
                let said = error.to_string();
                let key = said
                    .strip_prefix("settings.")
                    .and_then(|rest| rest.split([':', ' ']).next());
                let last = key
                    .and_then(|key| key.rsplit('.').next())
                    .unwrap_or_default();
                assert!(
                    !last.is_empty() && text.contains(last),
                    "seed {seed}: {said}"
                );
                assert!(error.remedy().contains("the key that is named"), "{said}");
            }
        }
    }
    assert!(
        served > 150 && named > 40 && sends > 5000,
        "{served} served, {named} named, {sends} sends"
    );
}

/// An error has the path of the key, what was expected, its code and its remedy.
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
            "settings.services[1].effect must be one of pure, token, side_effect, and is \"Pure\"",
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
            "settings.services[].name must be of one class alone",
            "range",
        ),
    ];
    for (settings, said, code) in cases {
        let message = error(settings);
        assert!(
            message.contains(said) && message.contains(&format!("settings.{code}: ")),
            "{message}"
        );
        assert!(message.contains("signal it to reload again"), "{message}");
    }
    assert!(
        matches!(Settings::from_json("{} {}"), Err(SettingsError::Json(_))),
        "what follows is no settings"
    );
}

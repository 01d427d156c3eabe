//! Tests of how the request manager handles workers: load reports, probes, suspension, and workers
//! that leave the worker list.

#[path = "support/request_fixtures.rs"]
mod request_fixtures;
#[path = "support/request_manager_harness.rs"]
mod request_manager_harness;

use postproxy::net::messages::{
    Answer, AttemptEnd, Command, Input, ListedWorker, Load, ManagementReply,
};
use postproxy::{Entry, Health, ListKind};
use request_fixtures::{
    CLIENT, COMMIT, RENDER, SETTINGS, harness, submission, submit, submit_and_start, withdraws,
};
use request_manager_harness::{
    RequestManagerHarness, StartedAttempt, listed_worker, started_attempt, started_probes,
};

/// Management connection on which workers are suspended and resumed.
const MANAGEMENT_CALLER: usize = 9;

/// Guards against load figures that are mistaken for others, and against an absent figure that is
/// read as 0.
#[test]
fn load_report_figures_are_matched_by_name() {
    let harness = harness(1);
    let report = |figures: &[(&str, f64)]| {
        let load: Load = figures
            .iter()
            .map(|(name, value)| ((*name).to_owned(), *value))
            .collect();
        harness.manager.load_report(&load)
    };
    let wire_names = report(&[("x0", 3.0), ("inflight", 7.0), ("queue", 2.0)]);
    assert_eq!(
        (wire_names[0], wire_names[2], wire_names[3]),
        (2.0, 7.0, 3.0)
    );
    assert!(wire_names[1].is_nan());
    let settings_names = report(&[
        ("backlog", 1.0),
        ("errors_per_s", 0.5),
        ("outstanding", 4.0),
    ]);
    assert_eq!(settings_names[..3], [1.0, 0.5, 4.0]);
    assert!(report(&[("cpu", 1.0)]).is_empty());
}

/// Suspends or resumes a worker, and returns the resulting commands.
fn set_suspension(harness: &mut RequestManagerHarness, name: &str, resume: bool) -> Vec<Command> {
    harness.handle(Input::SuspensionRequested {
        caller: MANAGEMENT_CALLER,
        worker: name.into(),
        resume,
    })
}

fn suspend(harness: &mut RequestManagerHarness, name: &str) -> Vec<Command> {
    set_suspension(harness, name, false)
}

fn resume(harness: &mut RequestManagerHarness, name: &str) -> Vec<Command> {
    set_suspension(harness, name, true)
}

fn management_reply(commands: &[Command]) -> Option<ManagementReply> {
    commands.iter().find_map(|command| match command {
        Command::ReplyToManagement {
            caller: MANAGEMENT_CALLER,
            reply,
        } => Some(*reply),
        _ => None,
    })
}

/// Submits requests until one is sent to this worker, and reports each attempt as written. Returns
/// the attempt at this worker.
fn write_attempt_at(harness: &mut RequestManagerHarness, worker: &str) -> StartedAttempt {
    loop {
        let submission = submission(&format!("b{}", harness.now), COMMIT);
        let started = started_attempt(&harness.submit(3, submission)).expect("an attempt");
        harness.write_attempt(started.attempt);
        if started.worker == worker {
            return started;
        }
        harness.now += 0.01;
    }
}

/// Sends a full list in which both workers are ready and have restarted.
fn list_restarted_workers(harness: &mut RequestManagerHarness) {
    let restarted = |n: u16| {
        let mut worker = listed_worker(n);
        worker.entry.started = 1000.0;
        worker
    };
    harness.handle(Input::WorkerListReceived {
        kind: ListKind::Full,
        workers: vec![restarted(0), restarted(1)],
    });
}

/// Guards against a suspension that is lost with the next worker list, that does not withdraw
/// unwritten attempts to the worker, or that withdraws attempts which have been written completely.
#[test]
fn suspended_worker_gets_no_requests_and_keeps_running_ones() {
    let mut harness = harness(2);
    let not_found = Some(ManagementReply::NotFound);
    let done = Some(ManagementReply::Done);
    assert_eq!(management_reply(&suspend(&mut harness, "s-9")), not_found);
    assert_eq!(management_reply(&resume(&mut harness, "s-9")), not_found);
    assert_eq!(
        management_reply(&resume(&mut harness, "s-1")),
        done,
        "it was never suspended"
    );
    let unsent = submit_and_start(&mut harness, "a", COMMIT);
    let suspended = unsent.worker.clone();
    let sent = write_attempt_at(&mut harness, &suspended);
    let commands = suspend(&mut harness, &suspended);
    assert_eq!(management_reply(&commands), done);
    assert!(withdraws(&commands, &unsent));
    assert!(!withdraws(&commands, &sent));
    assert!(
        commands
            .iter()
            .any(|command| matches!(command, Command::CloseIdleConnections { .. }))
    );
    assert_eq!(
        management_reply(&suspend(&mut harness, &suspended)),
        done,
        "suspending twice has the same effect as once"
    );
    // The withdrawn request goes to the other worker, and so do new requests, even after a full
    // list that names the suspended worker as ready.
    let commands = harness.end_attempt(unsent.attempt, AttemptEnd::LocalCapacityExhausted);
    let other = started_attempt(&commands).expect("another attempt").worker;
    assert_ne!(other, suspended);
    list_restarted_workers(&mut harness);
    for n in 0..20 {
        let started = submit_and_start(&mut harness, &format!("c{n}"), RENDER);
        assert_ne!(started.worker, suspended);
    }
    assert_eq!(management_reply(&suspend(&mut harness, &other)), done);
    let commands = submit(&mut harness, "d", RENDER);
    assert!(
        commands.iter().any(|command| matches!(
            command,
            Command::AnswerClient {
                client: CLIENT,
                answer: Answer::RejectedWithRetryAfter(_)
            }
        )),
        "all workers are suspended: {commands:?}"
    );
    assert_eq!(management_reply(&resume(&mut harness, &suspended)), done);
    let started = submit_and_start(&mut harness, "e", RENDER);
    assert_eq!(
        started.worker, suspended,
        "resuming once undoes two suspensions"
    );
}

/// How a worker list announces that a worker is leaving.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// A delta names the worker as draining.
    DrainingInDelta,
    /// A full list names the worker as draining.
    DrainingInFullList,
    /// A full list does not name the worker.
    AbsentFromFullList,
}

/// Returns a listed worker with this name and health.
fn listed_worker_named(name: &str, health: Health) -> ListedWorker {
    let n: u16 = name.trim_start_matches("s-").parse().expect("a number");
    let listed = listed_worker(n);
    ListedWorker {
        entry: Entry {
            health,
            ..listed.entry
        },
        ..listed
    }
}

/// Guards against sending an attempt to a worker that has been announced as leaving. This happens
/// if the attempt is decided on before the announcement and its connection is established
/// afterwards; what matters to the worker is when the first byte is sent. The request goes to
/// another worker, since nothing ran. An attempt that has been written completely continues.
#[test]
fn withdraws_unwritten_attempts_to_a_leaving_worker() {
    let other_worker = |name: &str| if name == "s-0" { "s-1" } else { "s-0" };
    for written in [false, true] {
        for departure in [
            Departure::DrainingInDelta,
            Departure::DrainingInFullList,
            Departure::AbsentFromFullList,
        ] {
            let mut harness = harness(2);
            let started = submit_and_start(&mut harness, "a", COMMIT);
            let no_change = Input::WorkerListReceived {
                kind: ListKind::Delta,
                workers: vec![],
            };
            assert!(harness.handle(no_change).is_empty(), "no change");
            if written {
                harness.write_attempt(started.attempt);
            }
            let leaving = listed_worker_named(&started.worker, Health::Draining);
            let staying = listed_worker_named(other_worker(&started.worker), Health::Ready);
            let (kind, workers) = match departure {
                Departure::DrainingInDelta => (ListKind::Delta, vec![leaving]),
                Departure::DrainingInFullList => (ListKind::Full, vec![leaving, staying]),
                Departure::AbsentFromFullList => (ListKind::Full, vec![staying]),
            };
            let commands = harness.handle(Input::WorkerListReceived { kind, workers });
            let withdrawn = withdraws(&commands, &started);
            assert_eq!(withdrawn, !written, "{departure:?}: {commands:?}");
            if withdrawn {
                let commands =
                    harness.end_attempt(started.attempt, AttemptEnd::LocalCapacityExhausted);
                let retry = started_attempt(&commands).expect("another attempt");
                assert_eq!(retry.worker, other_worker(&started.worker));
            }
        }
    }
}

/// Guards against probes that the dispatcher requests but that are not sent, or whose answers do
/// not reach it: if probes are the only source of load reports, a request goes to the worker that
/// has reported free slots. Also guards against probes where the settings forbid them.
#[test]
fn probes_workers_only_where_settings_allow() {
    assert!(started_probes(&submit(&mut harness(3), "a", RENDER)).is_empty());
    let settings = SETTINGS
        .replace("\"via\": \"answers\"", "\"via\": \"probe\"")
        .replace("\"cancel\": true", "\"cancel\": true, \"may-probe\": true");
    for reported_slots in [Some(4.0), None] {
        let mut harness = RequestManagerHarness::with_workers(&settings, 3);
        let commands = submit(&mut harness, "a", RENDER);
        assert!(
            started_attempt(&commands).is_none(),
            "the workers are probed first"
        );
        let probes = started_probes(&commands);
        assert!(!probes.is_empty());
        let mut sent = None;
        for probe in &probes {
            let free_slots = if probe.worker == probes[0].worker {
                reported_slots.unwrap_or(0.0)
            } else {
                0.0
            };
            let load = vec![
                ("x0".to_owned(), free_slots),
                ("backlog".to_owned(), 0.0),
                ("outstanding".to_owned(), 4.0 - free_slots),
            ];
            let end = if reported_slots.is_some() {
                AttemptEnd::Accepted
            } else {
                AttemptEnd::Reset
            };
            let commands = harness.handle(Input::ExchangeEnded {
                attempt: probe.attempt,
                end,
                load,
            });
            sent = sent.or(started_attempt(&commands));
            assert!(
                harness
                    .end_attempt(probe.attempt, AttemptEnd::Accepted)
                    .is_empty(),
                "a probe ends once"
            );
        }
        match reported_slots {
            Some(_) => assert_eq!(
                sent.map(|started| started.worker),
                Some(probes[0].worker.clone())
            ),
            // No load is known, but the request is still sent.
            None => {
                assert!(sent.is_some() || started_attempt(&harness.advance_to(1001.0)).is_some())
            }
        }
    }
}

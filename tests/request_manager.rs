//! The request manager without sockets: one final answer a request, one outcome an attempt, call-backs in any order.

#[path = "support/request_manager_harness.rs"]
mod request_manager_harness;

use postproxy::net::messages::{
    Answer, AttemptEnd, CallbackState, ClientId, Command, Input, ListedWorker, Load,
    ManagementReply, Payload, Submission,
};
use postproxy::{Entry, Health, ListKind};
use request_manager_harness::{
    RequestManagerHarness, StartedAttempt, listed_worker, request_manager, started_attempt,
    started_probes,
};

const SETTINGS: &str = r#"{
    "balancers": 1, "tick": 0.002, "discovery": "on_request",
    "services": [{"name": "render", "effect": "pure", "aim": 1.0, "deadline": 5.0},
                 {"name": "commit", "effect": "side_effect", "aim": 1.0, "deadline": 5.0}],
    "limits": {"cancel": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 2.0},
    "report": {"fields": ["backlog", "errors_per_s", "outstanding", "x0"], "via": "answers"},
    "extra": {"report-x0": "free slots"}}"#;

/// Class of requests that may run twice.
const RENDER: u8 = 0;
/// Class of requests that must not run twice.
const COMMIT: u8 = 1;

/// The client of the requests, unless a test says otherwise.
const CLIENT: ClientId = 1;
/// The connection of the call-backs.
const CALLBACK_CLIENT: ClientId = 2;
/// The management connection of suspensions.
const MANAGEMENT_CALLER: usize = 9;

fn harness(workers: u16) -> RequestManagerHarness {
    RequestManagerHarness::with_workers(SETTINGS, workers)
}

fn submission(id: &str, class: u8) -> Submission {
    let payload = Payload {
        id: id.into(),
        method: "POST".into(),
        ..Payload::default()
    };
    Submission {
        payload,
        class,
        ..Submission::default()
    }
}

fn submit(harness: &mut RequestManagerHarness, id: &str, class: u8) -> Vec<Command> {
    harness.submit(CLIENT, submission(id, class))
}

/// Submits a request, and returns the attempt that is started for it.
fn submit_and_start(harness: &mut RequestManagerHarness, id: &str, class: u8) -> StartedAttempt {
    started_attempt(&submit(harness, id, class)).expect("an attempt")
}

/// Submits a request, and has its attempt written and accepted by the worker.
fn submit_and_accept(harness: &mut RequestManagerHarness, id: &str, class: u8) -> StartedAttempt {
    let started = submit_and_start(harness, id, class);
    assert!(harness.write_attempt(started.attempt).is_empty());
    assert!(
        harness
            .end_attempt(started.attempt, AttemptEnd::Accepted)
            .is_empty()
    );
    started
}

/// Delivers a call-back, and returns the commands that follow but its acknowledgement.
fn call_back(
    harness: &mut RequestManagerHarness,
    id: &str,
    worker: &str,
    state: CallbackState,
) -> Vec<Command> {
    let mut commands = harness.call_back(CALLBACK_CLIENT, id, worker, state);
    commands.retain(|command| {
        !matches!(
            command,
            Command::AcknowledgeCallback {
                client: CALLBACK_CLIENT,
                ..
            }
        )
    });
    commands
}

fn answers(commands: &[Command]) -> Vec<Answer> {
    request_manager_harness::answers(commands)
        .into_iter()
        .map(|(_, answer)| answer)
        .collect()
}

fn withdraws(commands: &[Command], wanted: &StartedAttempt) -> bool {
    commands.iter().any(
        |command| matches!(command, Command::WithdrawAttempt { attempt } if *attempt == wanted.attempt),
    )
}

/// Guards against a second final answer, and against call-backs that change what has ended.
#[test]
fn answers_a_client_once() {
    let mut harness = harness(2);
    let worker = submit_and_accept(&mut harness, "a", RENDER).worker;
    let done = |result: &[u8]| CallbackState::Done(result.into());
    assert!(call_back(&mut harness, "a", "s-unknown", done(b"x")).is_empty());
    assert!(call_back(&mut harness, "unknown", &worker, done(b"x")).is_empty());
    assert!(call_back(&mut harness, "a", &worker, CallbackState::Running(0.4)).is_empty());
    let commands = call_back(&mut harness, "a", &worker, done(b"result"));
    assert_eq!(answers(&commands), [Answer::Served(b"result".into())]);
    assert!(call_back(&mut harness, "a", &worker, done(b"result")).is_empty());
    assert!(call_back(&mut harness, "a", &worker, CallbackState::Lost).is_empty());
    assert_eq!(harness.manager.pending_count(), 0);
    assert!(
        harness.advance_to(1010.0).is_empty(),
        "no timer of the past may answer again"
    );
}

/// Guards against losing a call-back that comes before the 202, and against the 202 reviving its attempt.
#[test]
fn applies_a_callback_that_precedes_the_202() {
    let mut harness = harness(1);
    let StartedAttempt { attempt, worker } = submit_and_start(&mut harness, "a", RENDER);
    harness.write_attempt(attempt);
    let commands = call_back(&mut harness, "a", &worker, CallbackState::Done(b"r".into()));
    assert_eq!(answers(&commands), [Answer::Served(b"r".into())]);
    assert!(
        harness
            .end_attempt(attempt, AttemptEnd::Accepted)
            .is_empty()
    );
    assert_eq!(harness.manager.pending_count(), 0);
}

/// Guards against applying a repeated call-back to the next attempt at the same worker.
#[test]
fn repeated_callback_does_not_end_the_next_attempt() {
    let mut harness = harness(1);
    let worker = submit_and_accept(&mut harness, "a", RENDER).worker;
    let mut commands = call_back(&mut harness, "a", &worker, CallbackState::Returned);
    commands.extend(harness.advance_to(1001.0));
    let retry = started_attempt(&commands).expect("a retry of what never ran");
    assert!(call_back(&mut harness, "a", &worker, CallbackState::Returned).is_empty());
    harness.write_attempt(retry.attempt);
    // Repeated also after the retry's last byte has been written: the retry runs.
    for _ in 0..8 {
        assert!(call_back(&mut harness, "a", &worker, CallbackState::Returned).is_empty());
    }
    assert!(
        started_attempt(&harness.advance_to(1002.0)).is_none(),
        "no third attempt"
    );
    let commands = call_back(&mut harness, "a", &worker, CallbackState::Done(b"r".into()));
    assert_eq!(answers(&commands).len(), 1);
}

/// Guards against a retry of what may have run; only the protocol's cases prove that nothing has.
#[test]
fn retries_only_attempts_that_never_ran() {
    let cases = [
        (AttemptEnd::NeverSent, false, true),
        (AttemptEnd::LocalCapacityExhausted, false, true),
        (AttemptEnd::RejectedUnstarted, true, true),
        (AttemptEnd::Reset, true, false),
        (AttemptEnd::Error, true, false),
        (AttemptEnd::NeverSent, true, false),
    ];
    for (end, written, retried) in cases {
        let mut harness = harness(3);
        let attempt = submit_and_start(&mut harness, "a", COMMIT).attempt;
        if written {
            harness.write_attempt(attempt);
        }
        let mut commands = harness.end_attempt(attempt, end);
        commands.extend(harness.advance_to(1006.0));
        assert_eq!(started_attempt(&commands).is_some(), retried, "{end:?}");
        assert_eq!(answers(&commands), [Answer::Failed], "{end:?}");
        assert_eq!(harness.manager.pending_count(), 0);
    }
}

/// Guards against a worker that is no longer selected because this node had no connection to spare.
#[test]
fn local_capacity_shortage_does_not_count_against_the_worker() {
    let mut harness = harness(2);
    let first = submit_and_start(&mut harness, "a", RENDER);
    harness.end_attempt(first.attempt, AttemptEnd::LocalCapacityExhausted);
    let later: Vec<_> = (0..12)
        .filter_map(|n| started_attempt(&submit(&mut harness, &format!("b{n}"), RENDER)))
        .collect();
    assert!(
        later.iter().any(|started| started.worker == first.worker),
        "{later:?}"
    );
}

/// Guards against a broken connection that decides on a request which its worker has accepted.
#[test]
fn connection_reset_after_acceptance_is_ignored() {
    let mut harness = harness(2);
    let StartedAttempt { attempt, worker } = submit_and_accept(&mut harness, "a", RENDER);
    assert!(harness.end_attempt(attempt, AttemptEnd::Reset).is_empty());
    let commands = call_back(&mut harness, "a", &worker, CallbackState::Done(b"r".into()));
    assert_eq!(answers(&commands).len(), 1);
}

/// Guards against work that goes on for nobody: the attempt is cancelled, by a message to the worker only if the worker
/// has accepted it.
#[test]
fn cancels_the_attempt_of_a_disconnected_client() {
    for accepted_before in [false, true] {
        let mut harness = harness(1);
        let started = submit_and_start(&mut harness, "a", RENDER);
        if accepted_before {
            harness.end_attempt(started.attempt, AttemptEnd::Accepted);
        }
        let commands = harness.handle(Input::ClientDisconnected { client: CLIENT });
        assert!(
            matches!(
                commands[..],
                [Command::CancelAttempt { attempt, accepted, .. }]
                    if attempt == started.attempt && accepted == accepted_before
            ),
            "{commands:?}"
        );
        assert_eq!(harness.manager.pending_count(), 0);
        assert!(harness.advance_to(1010.0).is_empty());
    }
}

/// Guards against silence: without any worker the request is rejected before its deadline, with a Retry-After.
#[test]
fn rejects_in_time_without_workers() {
    let mut harness = harness(0);
    assert!(submit(&mut harness, "a", RENDER).is_empty());
    let commands = harness.advance_to(1005.0);
    assert!(
        matches!(answers(&commands)[..], [Answer::RejectedWithRetryAfter(after)] if after > 0.0),
        "{commands:?}"
    );
    assert_eq!(harness.manager.pending_count(), 0);
}

/// Guards against an attempt without end: a time-out of 0 is the client's deadline, and is followed by the final answer;
/// the worker is sent a cancel.
#[test]
fn silent_attempt_ends_at_the_deadline() {
    let mut harness = harness(1);
    submit_and_accept(&mut harness, "a", COMMIT);
    let commands = harness.advance_to(1005.01);
    assert_eq!(answers(&commands), [Answer::Failed]);
    assert!(
        commands
            .iter()
            .any(|command| matches!(command, Command::CancelAttempt { accepted: true, .. })),
        "{commands:?}"
    );
    assert_eq!(harness.manager.pending_count(), 0);
}

/// Guards against two requests of one id, whose call-backs could not be distinguished.
#[test]
fn rejects_a_duplicate_request_id() {
    let mut harness = harness(1);
    submit_and_accept(&mut harness, "a", RENDER);
    let payload = Payload {
        id: "a".into(),
        ..Payload::default()
    };
    let duplicate = Submission {
        payload,
        ..Submission::default()
    };
    let commands = harness.submit(2, duplicate);
    assert_eq!(answers(&commands), [Answer::DuplicateRequestId]);
    assert_eq!(harness.manager.pending_count(), 1);
}

/// Guards against more requests than the settings allow; the first ones stay untouched.
#[test]
fn fails_requests_beyond_max_open_at_once() {
    let settings = SETTINGS.replace("\"max-attempts\"", "\"max-open\": 1, \"max-attempts\"");
    let mut manager = request_manager(&settings);
    let mut commands = Vec::new();
    for (client, id) in [(1, "a"), (2, "b")] {
        let payload = Payload {
            id: id.into(),
            ..Payload::default()
        };
        let submission = Submission {
            payload,
            ..Submission::default()
        };
        let input = Input::RequestReceived { client, submission };
        manager.handle(1000.0, input, &mut commands);
    }
    assert!(
        commands.iter().any(|command| matches!(
            command,
            Command::AnswerClient {
                client: 2,
                answer: Answer::Failed
            }
        )),
        "{commands:?}"
    );
    assert_eq!((answers(&commands).len(), manager.pending_count()), (1, 1));
}

/// Guards against load figures that are taken for others, and against an absent one that reads as 0.
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

/// Suspends or resumes a worker, and returns the commands that follow.
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

/// Submits requests until one is sent to this worker, and has each written; returns the last one's attempt.
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

/// Guards against a suspension that is forgotten with the next worker list, that leaves unsent attempts on their way to the
/// worker, or that withdraws what has been sent completely.
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
        "suspending twice is as once"
    );
    // What never ran goes to the other worker; also after a full list that names the suspended one as ready.
    let commands = harness.end_attempt(unsent.attempt, AttemptEnd::LocalCapacityExhausted);
    let other = started_attempt(&commands).expect("another attempt").worker;
    assert_ne!(other, suspended);
    let restarted = |n: u16| {
        let mut worker = listed_worker(n);
        worker.entry.started = 1000.0;
        worker
    };
    harness.handle(Input::WorkerListReceived {
        kind: ListKind::Full,
        workers: vec![restarted(0), restarted(1)],
    });
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
        "all are suspended: {commands:?}"
    );
    assert_eq!(management_reply(&resume(&mut harness, &suspended)), done);
    let started = submit_and_start(&mut harness, "e", RENDER);
    assert_eq!(
        started.worker, suspended,
        "one resumption undoes two suspensions"
    );
}

/// Guards against an attempt whose connection is being made and that begins after its client has disconnected, where
/// settings forbid cancels: nothing was sent, so there is nothing to cancel. One that was written completely goes on.
#[test]
fn withdraws_unwritten_attempts_of_a_disconnected_client() {
    for may_cancel in [true, false] {
        for class in [RENDER, COMMIT] {
            let settings =
                SETTINGS.replace("\"cancel\": true", &format!("\"cancel\": {may_cancel}"));
            let mut harness = RequestManagerHarness::with_workers(&settings, 2);
            let unwritten = submit_and_start(&mut harness, "a", class).attempt;
            let commands = harness.handle(Input::ClientDisconnected { client: CLIENT });
            let takes_back = |command: &Command| match command {
                Command::CancelAttempt { attempt, .. } => may_cancel && *attempt == unwritten,
                Command::WithdrawAttempt { attempt } => !may_cancel && *attempt == unwritten,
                _ => false,
            };
            assert!(
                commands.iter().any(takes_back),
                "cancel {may_cancel}: {commands:?}"
            );
            assert!(
                harness
                    .end_attempt(unwritten, AttemptEnd::LocalCapacityExhausted)
                    .is_empty()
            );
            assert!(
                started_attempt(&harness.advance_to(1010.0)).is_none()
                    && harness.manager.pending_count() == 0,
                "cancel {may_cancel}"
            );
            let StartedAttempt { attempt, worker } = submit_and_accept(&mut harness, "b", class);
            let commands = harness.handle(Input::ClientDisconnected { client: CLIENT });
            assert!(
                !commands
                    .iter()
                    .any(|command| matches!(command, Command::WithdrawAttempt { .. })),
                "{attempt} has been written"
            );
            let commands = call_back(&mut harness, "b", &worker, CallbackState::Lost);
            assert!(started_attempt(&commands).is_none(), "no retry");
            assert!(
                started_attempt(&harness.advance_to(1020.0)).is_none()
                    && harness.manager.pending_count() == 0,
                "cancel {may_cancel}"
            );
        }
    }
}

/// The ways in which a worker list announces that a worker leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// A change names the worker as draining.
    DrainingInDelta,
    /// A full list names the worker as draining.
    DrainingInFullList,
    /// A full list does not name the worker.
    AbsentFromFullList,
}

/// Returns the worker of this name as a worker list names it, with this health.
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

/// Guards against an attempt that is sent to a worker which has been announced as leaving: the attempt was decided on
/// before, and its connection comes up after; what counts is the first byte. It goes to another worker, since nothing ran;
/// one that is written completely goes on.
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

/// Guards against an attempt for nobody in a handover: the client disconnects between the one process's last look at the
/// connection and the other's first. No further attempt begins there, and those that are out are cancelled; with its
/// client, the request goes on.
#[test]
fn cancels_a_migrated_request_without_its_client() {
    for (client, goes_on) in [(Some(9), true), (None, false)] {
        let mut sender = harness(2);
        let mut receiver = harness(2);
        let worker = submit_and_accept(&mut sender, "a", RENDER).worker;
        let request = sender
            .manager
            .release_request(sender.now, CLIENT)
            .expect("it can migrate");
        let commands = receiver.handle(Input::RequestMigrated {
            link: 1,
            client,
            request,
        });
        let cancelled = commands.iter().any(|command| {
            matches!(
                command,
                Command::CancelAttempt { payload, accepted: true, .. } if payload.id == "a"
            )
        });
        assert_eq!(
            (cancelled, started_attempt(&commands)),
            (!goes_on, None),
            "{commands:?}"
        );
        let commands = call_back(&mut receiver, "a", &worker, CallbackState::Lost);
        assert_eq!(started_attempt(&commands).is_some(), goes_on);
        assert_eq!(receiver.manager.pending_count(), usize::from(goes_on));
    }
}

/// Guards against late call-backs of a lost attempt after the retry has started: they are about what has ended, and end
/// nothing of what runs.
#[test]
fn callbacks_of_a_lost_attempt_do_not_change_the_next_one() {
    let mut harness = harness(2);
    let first_worker = submit_and_accept(&mut harness, "a", RENDER).worker;
    assert!(call_back(&mut harness, "a", &first_worker, CallbackState::Started).is_empty());
    let commands = call_back(&mut harness, "a", &first_worker, CallbackState::Lost);
    let retry = started_attempt(&commands).expect("a retry");
    assert_ne!(retry.worker, first_worker);
    harness.write_attempt(retry.attempt);
    harness.end_attempt(retry.attempt, AttemptEnd::Accepted);
    for late in [
        CallbackState::Lost,
        CallbackState::Failed,
        CallbackState::Returned,
        CallbackState::Started,
        CallbackState::Running(0.9),
    ] {
        let commands = call_back(&mut harness, "a", &first_worker, late.clone());
        assert!(commands.is_empty(), "{late:?}: {commands:?}");
    }
    let done = CallbackState::Done(b"result".into());
    let commands = call_back(&mut harness, "a", &retry.worker, done);
    assert_eq!(answers(&commands), [Answer::Served(b"result".into())]);
}

/// Guards against probes that the dispatcher asks for and nobody makes, or whose answers it never gets: where load comes by
/// probes alone, a request goes to the worker that has reported free slots. And against probes where the settings allow none.
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
            // No load is known, and the request is sent all the same.
            None => {
                assert!(sent.is_some() || started_attempt(&harness.advance_to(1001.0)).is_some())
            }
        }
    }
}

/// Guards against an attempt that migrates while its last byte is on its way: there it would count as never sent.
#[test]
fn request_migrates_only_when_its_attempts_are_decided() {
    let mut harness = harness(2);
    let attempt = submit_and_start(&mut harness, "a", COMMIT).attempt;
    assert!(
        harness.manager.migratable_clients().is_empty(),
        "its connection is being made"
    );
    harness.write_attempt(attempt);
    assert!(
        harness.manager.migratable_clients().is_empty(),
        "it is written, and nobody knows whether it was accepted"
    );
    harness.end_attempt(attempt, AttemptEnd::Accepted);
    assert_eq!(
        harness.manager.migratable_clients(),
        [CLIENT],
        "it was accepted"
    );
}

//! The request manager without sockets: one final answer a request, one outcome an attempt,
//! call-backs in any order.

#[path = "support/request_fixtures.rs"]
mod request_fixtures;
#[path = "support/request_manager_harness.rs"]
mod request_manager_harness;

use postproxy::net::messages::{
    Answer, AttemptEnd, CallbackState, Command, Input, Payload, Submission,
};
use request_fixtures::{
    CLIENT, COMMIT, RENDER, SETTINGS, answers, call_back, harness, submit, submit_and_accept,
    submit_and_start,
};
use request_manager_harness::{
    RequestManagerHarness, StartedAttempt, request_manager, started_attempt,
};

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

/// Guards against losing a call-back that comes before the 202, and against the 202 reviving its
/// attempt.
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

/// Guards against work that goes on for nobody: the attempt is cancelled, by a message to the
/// worker only if the worker has accepted it.
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

/// Guards against silence: without any worker the request is rejected before its deadline, with a
/// Retry-After.
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

/// Guards against an attempt without end: a time-out of 0 is the client's deadline, and is followed
/// by the final answer; the worker is sent a cancel.
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

/// Guards against an attempt whose connection is being made and that begins after its client has
/// disconnected, where settings forbid cancels: nothing was sent, so there is nothing to cancel.
/// One that was written completely goes on.
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

/// Guards against an attempt for nobody in a handover: the client disconnects between the one
/// process's last look at the connection and the other's first. No further attempt begins there,
/// and those that are out are cancelled; with its client, the request goes on.
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

/// Guards against late call-backs of a lost attempt after the retry has started: they are about
/// what has ended, and end nothing of what runs.
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

/// Guards against an attempt that migrates while its last byte is on its way: there it would count
/// as never sent.
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

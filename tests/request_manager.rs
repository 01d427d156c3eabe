//! Tests of the request manager without sockets: one final answer per request, one outcome per
//! attempt, and callbacks in any order.

#[path = "support/request_fixtures.rs"]
mod request_fixtures;
#[path = "support/request_manager_harness.rs"]
mod request_manager_harness;

use postproxy::net::messages::{
    Answer, AttemptEnd, CallbackState, Command, Input, Payload, Submission,
};
use request_fixtures::{
    CLIENT, COMMIT, RENDER, SETTINGS, answers, deliver_callback, harness, submit,
    submit_and_accept, submit_and_start,
};
use request_manager_harness::{
    RequestManagerHarness, StartedAttempt, request_manager, started_attempt,
};

/// Guards against a second final answer, and against callbacks that change a request which has
/// ended.
#[test]
fn answers_a_client_once() {
    let mut harness = harness(2);
    let worker = submit_and_accept(&mut harness, "a", RENDER).worker;
    let done = |result: &[u8]| CallbackState::Done(result.into());
    assert!(deliver_callback(&mut harness, "a", "s-unknown", done(b"x")).is_empty());
    assert!(deliver_callback(&mut harness, "unknown", &worker, done(b"x")).is_empty());
    assert!(deliver_callback(&mut harness, "a", &worker, CallbackState::Running(0.4)).is_empty());
    let commands = deliver_callback(&mut harness, "a", &worker, done(b"result"));
    assert_eq!(answers(&commands), [Answer::Served(b"result".into())]);
    assert!(deliver_callback(&mut harness, "a", &worker, done(b"result")).is_empty());
    assert!(deliver_callback(&mut harness, "a", &worker, CallbackState::Lost).is_empty());
    assert_eq!(harness.manager.pending_count(), 0);
    assert!(
        harness.advance_to(1010.0).is_empty(),
        "no old timer may answer again"
    );
}

/// Guards against losing a callback that arrives before the 202 response, and against a 202
/// response that reopens the ended attempt.
#[test]
fn applies_a_callback_that_precedes_the_202() {
    let mut harness = harness(1);
    let StartedAttempt { attempt, worker } = submit_and_start(&mut harness, "a", RENDER);
    harness.write_attempt(attempt);
    let commands = deliver_callback(&mut harness, "a", &worker, CallbackState::Done(b"r".into()));
    assert_eq!(answers(&commands), [Answer::Served(b"r".into())]);
    assert!(
        harness
            .end_attempt(attempt, AttemptEnd::Accepted)
            .is_empty()
    );
    assert_eq!(harness.manager.pending_count(), 0);
}

/// Guards against applying a repeated callback to the next attempt at the same worker.
#[test]
fn repeated_callback_does_not_end_the_next_attempt() {
    let mut harness = harness(1);
    let worker = submit_and_accept(&mut harness, "a", RENDER).worker;
    let mut commands = deliver_callback(&mut harness, "a", &worker, CallbackState::Returned);
    commands.extend(harness.advance_to(1001.0));
    let retry = started_attempt(&commands).expect("a retry of an attempt that never ran");
    assert!(deliver_callback(&mut harness, "a", &worker, CallbackState::Returned).is_empty());
    harness.write_attempt(retry.attempt);
    // The callback is repeated even after the retry's last byte has been written; the retry must
    // keep running.
    for _ in 0..8 {
        assert!(deliver_callback(&mut harness, "a", &worker, CallbackState::Returned).is_empty());
    }
    assert!(
        started_attempt(&harness.advance_to(1002.0)).is_none(),
        "no third attempt"
    );
    let commands = deliver_callback(&mut harness, "a", &worker, CallbackState::Done(b"r".into()));
    assert_eq!(answers(&commands).len(), 1);
}

/// Guards against retrying an attempt that may have run. Only the cases that the protocol defines
/// prove that it has not.
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

/// Guards against a worker that is no longer selected because this node had no connection
/// available.
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

/// Guards against a broken connection that ends an attempt which its worker has accepted.
#[test]
fn connection_reset_after_acceptance_is_ignored() {
    let mut harness = harness(2);
    let StartedAttempt { attempt, worker } = submit_and_accept(&mut harness, "a", RENDER);
    assert!(harness.end_attempt(attempt, AttemptEnd::Reset).is_empty());
    let commands = deliver_callback(&mut harness, "a", &worker, CallbackState::Done(b"r".into()));
    assert_eq!(answers(&commands).len(), 1);
}

/// Guards against work that continues after its client has disconnected. The attempt is cancelled;
/// the command says whether the worker has accepted it and has to be sent a cancel message.
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

/// Guards against leaving a client without an answer: without any worker, the request is rejected
/// before its deadline, with a Retry-After.
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

/// Guards against an attempt that never ends: a timeout of 0 lets it last until the client's
/// deadline. Then the client gets its final answer, and the worker is sent a cancel.
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

/// Guards against two requests with the same id, whose callbacks could not be distinguished.
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

/// Guards against admitting more requests than the settings allow. The admitted ones are not
/// affected.
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

/// Guards against an attempt that starts after its client has disconnected because its connection
/// was still being established, where the settings forbid cancellation: nothing was sent, so there
/// is nothing to cancel, and the attempt is withdrawn. An attempt that was written completely
/// continues.
#[test]
fn withdraws_unwritten_attempts_of_a_disconnected_client() {
    for may_cancel in [true, false] {
        for class in [RENDER, COMMIT] {
            let settings =
                SETTINGS.replace("\"cancel\": true", &format!("\"cancel\": {may_cancel}"));
            let mut harness = RequestManagerHarness::with_workers(&settings, 2);
            let unwritten = submit_and_start(&mut harness, "a", class).attempt;
            let commands = harness.handle(Input::ClientDisconnected { client: CLIENT });
            let revokes_attempt = |command: &Command| match command {
                Command::CancelAttempt { attempt, .. } => may_cancel && *attempt == unwritten,
                Command::WithdrawAttempt { attempt } => !may_cancel && *attempt == unwritten,
                _ => false,
            };
            assert!(
                commands.iter().any(revokes_attempt),
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
            let commands = deliver_callback(&mut harness, "b", &worker, CallbackState::Lost);
            assert!(started_attempt(&commands).is_none(), "no retry");
            assert!(
                started_attempt(&harness.advance_to(1020.0)).is_none()
                    && harness.manager.pending_count() == 0,
                "cancel {may_cancel}"
            );
        }
    }
}

/// Guards against attempts without a client after a handover: the client disconnects between the
/// last check of its connection by the old process and the first check by the new one. The new
/// process starts no further attempt and cancels the open ones. With its client, the request
/// continues.
#[test]
fn cancels_a_migrated_request_without_its_client() {
    for (client, continues) in [(Some(9), true), (None, false)] {
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
            (!continues, None),
            "{commands:?}"
        );
        let commands = deliver_callback(&mut receiver, "a", &worker, CallbackState::Lost);
        assert_eq!(started_attempt(&commands).is_some(), continues);
        assert_eq!(receiver.manager.pending_count(), usize::from(continues));
    }
}

/// Guards against late callbacks of a lost attempt that end the retry, which has started in the
/// meantime.
#[test]
fn callbacks_of_a_lost_attempt_do_not_change_the_next_one() {
    let mut harness = harness(2);
    let first_worker = submit_and_accept(&mut harness, "a", RENDER).worker;
    assert!(deliver_callback(&mut harness, "a", &first_worker, CallbackState::Started).is_empty());
    let commands = deliver_callback(&mut harness, "a", &first_worker, CallbackState::Lost);
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
        let commands = deliver_callback(&mut harness, "a", &first_worker, late.clone());
        assert!(commands.is_empty(), "{late:?}: {commands:?}");
    }
    let done = CallbackState::Done(b"result".into());
    let commands = deliver_callback(&mut harness, "a", &retry.worker, done);
    assert_eq!(answers(&commands), [Answer::Served(b"result".into())]);
}

/// Guards against an attempt that migrates while it is being sent: the new process would treat it
/// as never sent.
#[test]
fn request_migrates_only_when_its_attempts_are_accepted() {
    let mut harness = harness(2);
    let attempt = submit_and_start(&mut harness, "a", COMMIT).attempt;
    assert!(
        harness.manager.migratable_clients().is_empty(),
        "its connection is being established"
    );
    harness.write_attempt(attempt);
    assert!(
        harness.manager.migratable_clients().is_empty(),
        "it has been written, and it is unknown whether it was accepted"
    );
    harness.end_attempt(attempt, AttemptEnd::Accepted);
    assert_eq!(
        harness.manager.migratable_clients(),
        [CLIENT],
        "it was accepted"
    );
}

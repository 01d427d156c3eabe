//! Fixtures for tests of the request manager without a store: settings, requests and callbacks.
#![allow(dead_code)]

use crate::request_manager_harness::{
    self, RequestManagerHarness, StartedAttempt, started_attempt,
};
use postproxy::net::messages::{
    Answer, AttemptEnd, CallbackState, ClientId, Command, Payload, Submission,
};

/// Settings with a class of requests that may run twice, and one of requests that must not.
pub const SETTINGS: &str = r#"{
    "balancers": 1, "tick": 0.002, "discovery": "on_request",
    "services": [{"name": "render", "effect": "pure", "aim": 1.0, "deadline": 5.0},
                 {"name": "commit", "effect": "side_effect", "aim": 1.0, "deadline": 5.0}],
    "limits": {"cancel": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 2.0},
    "report": {"fields": ["backlog", "errors_per_s", "outstanding", "x0"], "via": "answers"},
    "extra": {"report-x0": "free slots"}}"#;

/// Class of requests that may run twice.
pub const RENDER: u8 = 0;
/// Class of requests that must not run twice.
pub const COMMIT: u8 = 1;

/// Client of the requests, unless a test specifies another one.
pub const CLIENT: ClientId = 1;
/// Connection on which callbacks arrive.
pub const CALLBACK_CLIENT: ClientId = 2;

/// Returns a harness with [`SETTINGS`] and this number of listed workers.
pub fn harness(workers: u16) -> RequestManagerHarness {
    RequestManagerHarness::with_workers(SETTINGS, workers)
}

/// Returns a request with this id and class, as a client submits it.
pub fn submission(id: &str, class: u8) -> Submission {
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

/// Submits a request.
pub fn submit(harness: &mut RequestManagerHarness, id: &str, class: u8) -> Vec<Command> {
    harness.submit(CLIENT, submission(id, class))
}

/// Submits a request, and returns the attempt that is started for it.
pub fn submit_and_start(
    harness: &mut RequestManagerHarness,
    id: &str,
    class: u8,
) -> StartedAttempt {
    started_attempt(&submit(harness, id, class)).expect("an attempt")
}

/// Submits a request, and reports its attempt as written and as accepted by the worker.
pub fn submit_and_accept(
    harness: &mut RequestManagerHarness,
    id: &str,
    class: u8,
) -> StartedAttempt {
    let started = submit_and_start(harness, id, class);
    assert!(harness.write_attempt(started.attempt).is_empty());
    assert!(
        harness
            .end_attempt(started.attempt, AttemptEnd::Accepted)
            .is_empty()
    );
    started
}

/// Delivers a callback, and returns the resulting commands except its acknowledgement.
pub fn deliver_callback(
    harness: &mut RequestManagerHarness,
    id: &str,
    worker: &str,
    state: CallbackState,
) -> Vec<Command> {
    let mut commands = harness.deliver_callback(CALLBACK_CLIENT, id, worker, state);
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

/// Returns the final answers among these commands.
pub fn answers(commands: &[Command]) -> Vec<Answer> {
    request_manager_harness::answers(commands)
        .into_iter()
        .map(|(_, answer)| answer)
        .collect()
}

/// Whether these commands withdraw the attempt.
pub fn withdraws(commands: &[Command], wanted: &StartedAttempt) -> bool {
    commands.iter().any(
        |command| matches!(command, Command::WithdrawAttempt { attempt } if *attempt == wanted.attempt),
    )
}

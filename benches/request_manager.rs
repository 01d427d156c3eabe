//! Cost of a request in the request manager, from its arrival to its end, with and without logging.
//!
//!     cargo bench --bench request_manager

#[path = "../tests/support/request_manager_harness.rs"]
mod request_manager_harness;

use criterion::{Criterion, criterion_group, criterion_main};
use postproxy::net::messages::{
    AttemptEnd, CallbackState, Command, Input, Load, Payload, Submission, WorkerCallback,
};
use postproxy::net::requests::manager::RequestManager;
use request_manager_harness::{
    START, StartedAttempt, full_worker_list, request_manager, started_attempt,
};
use tracing_subscriber::EnvFilter;

const SETTINGS: &str = r#"{
    "balancers": 1, "tick": 0.002, "discovery": "on_request",
    "services": [{"name": "render", "effect": "pure", "aim": 1.0, "deadline": 5.0}],
    "limits": {"cancel": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 2.0},
    "report": {"fields": ["backlog", "x0"], "via": "answers"},
    "extra": {"report-x0": "free slots"}}"#;

/// Number of workers in the list.
const WORKERS: u16 = 9;
/// Simulated time per client number, in seconds.
const CLIENT_NUMBER_SECONDS: f64 = 0.001;
/// Number of client numbers per request: one for the client's connection and one for the
/// callback's.
const CONNECTIONS_PER_REQUEST: u64 = 2;

fn manager_with_workers() -> RequestManager {
    let mut manager = request_manager(SETTINGS);
    manager.handle(START, full_worker_list(WORKERS), &mut Vec::new());
    manager
}

/// Runs one request from its arrival to its end.
fn run_request(manager: &mut RequestManager, client: u64, now: f64) {
    let payload = Payload {
        id: format!("job-{client}"),
        method: "POST".into(),
        ..Payload::default()
    };
    let submission = Submission {
        payload,
        ..Submission::default()
    };
    let mut commands: Vec<Command> = Vec::new();
    let submitted = Input::RequestReceived { client, submission };
    manager.handle(now, submitted, &mut commands);
    let StartedAttempt { attempt, worker } = started_attempt(&commands).expect("an attempt");
    manager.handle(now, Input::AttemptWritten { attempt }, &mut commands);
    let accepted = Input::ExchangeEnded {
        attempt,
        end: AttemptEnd::Accepted,
        load: Load::new(),
    };
    manager.handle(now, accepted, &mut commands);
    let callback = WorkerCallback {
        id: format!("job-{client}"),
        from: worker,
        state: CallbackState::Done(b"result".to_vec()),
        load: vec![("queue".to_owned(), 0.0), ("x0".to_owned(), 4.0)],
    };
    let called_back = Input::CallbackReceived {
        client: client + 1,
        callback,
    };
    manager.handle(now, called_back, &mut commands);
    assert_eq!(manager.pending_count(), 0);
}

fn request_at_each_log_level(criterion: &mut Criterion) {
    let levels = [
        ("no subscriber", None),
        ("info (default)", Some("info")),
        ("debug (with all spans)", Some("debug")),
    ];
    for (name, level) in levels {
        let (writer, _guard) = tracing_appender::non_blocking(std::io::sink());
        let subscriber = level.map(|level| {
            tracing_subscriber::fmt()
                .with_env_filter(EnvFilter::new(level))
                .with_span_events(tracing_subscriber::fmt::format::FmtSpan::CLOSE)
                .with_ansi(false)
                .with_writer(writer)
                .finish()
        });
        let measure = |criterion: &mut Criterion| {
            let mut manager = manager_with_workers();
            let mut client = 0;
            criterion.bench_function(&format!("request manager, logs: {name}"), |bencher| {
                bencher.iter(|| {
                    client += CONNECTIONS_PER_REQUEST;
                    let now = START + client as f64 * CLIENT_NUMBER_SECONDS;
                    run_request(&mut manager, client, now);
                });
            });
        };
        match subscriber {
            Some(subscriber) => {
                tracing::subscriber::with_default(subscriber, || measure(criterion))
            }
            None => measure(criterion),
        }
    }
}

criterion_group!(benches, request_at_each_log_level);
criterion_main!(benches);

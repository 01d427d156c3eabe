//! The cost of a transaction in the hub, and what logs add to it.
//!
//!     cargo bench --bench hub

use criterion::{Criterion, criterion_group, criterion_main};
use postproxy::net::messages::{
    AttemptEnd, CallbackState, Command, Input, ListedWorker, Load, Payload, Submission,
    WorkerCallback,
};
use postproxy::net::requests::manager::RequestManager;
use postproxy::{Entry, ListKind, Settings};
use tracing_subscriber::EnvFilter;

const SETTINGS: &str = r#"{
    "balancers": 1, "tick": 0.002, "discovery": "on_request",
    "services": [{"name": "render", "effect": "pure", "aim": 1.0, "deadline": 5.0}],
    "limits": {"cancel": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 2.0},
    "report": {"fields": ["backlog", "x0"], "via": "answers"},
    "extra": {"report-x0": "free slots"}}"#;

fn hub() -> RequestManager {
    let mut hub = RequestManager::new(Settings::from_json(SETTINGS).expect("sound settings"), 7)
        .expect("a hub");
    let member = |n: u16| ListedWorker {
        id: format!("s-{n}"),
        address: ([127, 0, 0, 1], 9000 + n).into(),
        entry: Entry {
            size: 1.0,
            ..Entry::default()
        },
    };
    let members = (0..9).map(member).collect();
    hub.handle(
        1000.0,
        Input::WorkerListReceived {
            kind: ListKind::Full,
            workers: members,
        },
        &mut Vec::new(),
    );
    hub
}

/// One job from its arrival to its end.
fn job(hub: &mut RequestManager, n: u64, now: f64) {
    let payload = Payload {
        id: format!("job-{n}"),
        method: "POST".into(),
        ..Payload::default()
    };
    let mut out = Vec::new();
    hub.handle(
        now,
        Input::RequestReceived {
            client: n,
            submission: Submission {
                payload,
                ..Submission::default()
            },
        },
        &mut out,
    );
    let started = out.iter().find_map(|command| match command {
        Command::StartAttempt {
            attempt, worker, ..
        } => Some((*attempt, worker.port() - 9000)),
        _ => None,
    });
    let (attempt, worker) = started.expect("an attempt");
    hub.handle(now, Input::AttemptWritten { attempt }, &mut out);
    hub.handle(
        now,
        Input::ExchangeEnded {
            attempt,
            end: AttemptEnd::Accepted,
            load: Load::new(),
        },
        &mut out,
    );
    let load = vec![("queue".to_owned(), 0.0), ("x0".to_owned(), 4.0)];
    let state = CallbackState::Done(b"result".to_vec());
    let call = WorkerCallback {
        id: format!("job-{n}"),
        from: format!("s-{worker}"),
        state,
        load,
    };
    hub.handle(
        now,
        Input::CallbackReceived {
            client: n + 1,
            callback: call,
        },
        &mut out,
    );
    assert_eq!(hub.pending_count(), 0);
}

fn jobs(c: &mut Criterion) {
    let levels = [
        ("no subscriber", None),
        ("info, the default", Some("info")),
        ("debug, every span", Some("debug")),
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
        let run = |c: &mut Criterion| {
            let (mut hub, mut n) = (hub(), 0);
            c.bench_function(&format!("hub, logs: {name}"), |b| {
                b.iter(|| {
                    n += 2;
                    job(&mut hub, n, 1000.0 + n as f64 * 0.001);
                });
            });
        };
        match subscriber {
            Some(subscriber) => tracing::subscriber::with_default(subscriber, || run(c)),
            None => run(c),
        }
    }
}

criterion_group!(benches, jobs);
criterion_main!(benches);

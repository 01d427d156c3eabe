//! Harness for tests of the request manager: a manager without sockets, its clock and its timers.
#![allow(dead_code)]

use postproxy::net::messages::{
    Answer, AttemptEnd, AttemptId, CallbackState, ClientId, Command, Input, ListedWorker, Load,
    RequestTimer, Submission, WorkerCallback,
};
use postproxy::net::requests::manager::RequestManager;
use postproxy::{Entry, ListKind, Settings};

/// Time at which each harness starts, in seconds.
pub const START: f64 = 1000.0;
/// Seed of the dispatcher's random draws.
const SEED: u64 = 7;
/// Port of worker 0; worker `n` has port `FIRST_PORT + n`.
const FIRST_PORT: u16 = 9000;

/// Returns a request manager with these settings, in JSON, and without workers.
pub fn request_manager(settings: &str) -> RequestManager {
    let settings = Settings::from_json(settings).expect("valid settings");
    RequestManager::new(settings, SEED).expect("a request manager")
}

/// Returns the name of worker `n`.
pub fn worker_name(n: u16) -> String {
    format!("s-{n}")
}

/// Returns worker `n` as a listed worker that is ready.
pub fn listed_worker(n: u16) -> ListedWorker {
    ListedWorker {
        id: worker_name(n),
        address: ([127, 0, 0, 1], FIRST_PORT + n).into(),
        entry: Entry {
            size: 1.0,
            ..Entry::default()
        },
    }
}

/// Returns a full worker list with `count` workers, numbered from 0.
pub fn full_worker_list(count: u16) -> Input {
    Input::WorkerListReceived {
        kind: ListKind::Full,
        workers: (0..count).map(listed_worker).collect(),
    }
}

/// A request manager under test, with its clock and its timers.
pub struct RequestManagerHarness {
    pub manager: RequestManager,
    /// The time of the next event, in seconds.
    pub now: f64,
    timers: Vec<PendingTimer>,
}

#[derive(Clone, Copy)]
struct PendingTimer {
    at: f64,
    timer: RequestTimer,
}

impl RequestManagerHarness {
    /// Returns a harness for a request manager, with its clock set to `now`.
    pub fn new(manager: RequestManager, now: f64) -> Self {
        Self {
            manager,
            now,
            timers: Vec::new(),
        }
    }

    /// Returns a harness with these settings, in JSON, and this number of listed workers.
    pub fn with_workers(settings: &str, workers: u16) -> Self {
        let mut harness = Self::new(request_manager(settings), START);
        harness.handle(full_worker_list(workers));
        harness
    }

    /// Handles an event, and returns the resulting commands except `SetTimer`, which sets a timer
    /// of the harness.
    pub fn handle(&mut self, input: Input) -> Vec<Command> {
        let mut commands = Vec::new();
        self.manager.handle(self.now, input, &mut commands);
        let mut others = Vec::new();
        for command in commands {
            match command {
                Command::SetTimer { at, timer } => self.timers.push(PendingTimer { at, timer }),
                other => others.push(other),
            }
        }
        others
    }

    /// Advances the clock to `until`, and returns the commands that result from the timers that
    /// expire.
    pub fn advance_to(&mut self, until: f64) -> Vec<Command> {
        let mut commands = Vec::new();
        loop {
            let next = self
                .timers
                .iter()
                .enumerate()
                .min_by(|(_, a), (_, b)| a.at.total_cmp(&b.at));
            let Some((position, &next)) = next.filter(|(_, next)| next.at <= until) else {
                break;
            };
            self.timers.remove(position);
            self.now = self.now.max(next.at);
            commands.extend(self.handle(Input::TimerExpired { timer: next.timer }));
        }
        self.now = until;
        commands
    }

    /// Submits a request.
    pub fn submit(&mut self, client: ClientId, submission: Submission) -> Vec<Command> {
        self.handle(Input::RequestReceived { client, submission })
    }

    /// Reports that the last byte of an attempt has been written.
    pub fn write_attempt(&mut self, attempt: AttemptId) -> Vec<Command> {
        self.handle(Input::AttemptWritten { attempt })
    }

    /// Ends the exchange of an attempt or of a probe, without a load report.
    pub fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) -> Vec<Command> {
        self.handle(Input::ExchangeEnded {
            attempt,
            end,
            load: Load::new(),
        })
    }

    /// Delivers a callback of a worker, without a load report.
    pub fn deliver_callback(
        &mut self,
        client: ClientId,
        id: &str,
        worker: &str,
        state: CallbackState,
    ) -> Vec<Command> {
        self.handle(Input::CallbackReceived {
            client,
            callback: WorkerCallback {
                id: id.into(),
                from: worker.into(),
                state,
                load: Load::new(),
            },
        })
    }
}

/// An attempt or a probe that a command has started.
#[derive(Clone, Debug, PartialEq)]
pub struct StartedAttempt {
    pub attempt: AttemptId,
    /// Name of the worker.
    pub worker: String,
}

/// Returns the first attempt that these commands start.
pub fn started_attempt(commands: &[Command]) -> Option<StartedAttempt> {
    commands.iter().find_map(|command| match command {
        Command::StartAttempt {
            attempt, worker, ..
        } => Some(StartedAttempt {
            attempt: *attempt,
            worker: worker_name(worker.port() - FIRST_PORT),
        }),
        _ => None,
    })
}

/// Returns the probes that these commands start.
pub fn started_probes(commands: &[Command]) -> Vec<StartedAttempt> {
    let probe = |command: &Command| match command {
        Command::ProbeWorker {
            attempt, worker, ..
        } => Some(StartedAttempt {
            attempt: *attempt,
            worker: worker_name(worker.port() - FIRST_PORT),
        }),
        _ => None,
    };
    commands.iter().filter_map(probe).collect()
}

/// Returns the final answers among these commands, each with its client.
pub fn answers(commands: &[Command]) -> Vec<(ClientId, Answer)> {
    let answer = |command: &Command| match command {
        Command::AnswerClient { client, answer } => Some((*client, answer.clone())),
        _ => None,
    };
    commands.iter().filter_map(answer).collect()
}

//! Tests the request log with scenarios, and with random steps among which are restarts of the node
//! that lose any number of the last writes.

use postproxy_idempotency::{
    AttemptFailure, Completion, Limits, Lookup, RequestIdentity, RequestLog, Resolution, Write,
    result_key,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};

const DIGEST: [u8; 32] = [7; 32];

fn identity<'a>(id: &'a str, key: Option<&'a str>) -> RequestIdentity<'a> {
    RequestIdentity {
        id,
        idempotency_key: key,
        class: "day-plan",
        digest: DIGEST,
    }
}

/// The durable keys and values.
#[derive(Clone, Debug, Default)]
struct Disk {
    values: BTreeMap<Vec<u8>, Vec<u8>>,
}

impl Disk {
    fn write(&mut self, writes: Vec<Write>) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => _ = self.values.insert(key, value),
                Write::Delete { key } => _ = self.values.remove(&key),
            }
        }
    }

    fn restart(&mut self, limits: Limits) -> RequestLog {
        let mut log = RequestLog::new(limits);
        for (key, value) in &self.values {
            log.load_record(key, value);
        }
        let writes = log.finish_loading();
        self.write(writes);
        log
    }
}

/// Guards against a repeated request that is run again, and against one that is mistaken for
/// another: its client waits, or gets the result, or a conflict.
#[test]
fn a_repeated_request_gets_the_state_of_the_first() {
    let (mut disk, mut log) = (Disk::default(), RequestLog::new(Limits::default()));
    let lookup = |log: &RequestLog, id, key| log.lookup(&identity(id, key));
    assert_eq!(lookup(&log, "a", Some("k")), Lookup::New);
    disk.write(log.record_attempt_intent(100.0, &identity("a", Some("k")), "w-1", 112.0));
    assert_eq!(lookup(&log, "b", Some("k")), Lookup::InFlight("a".into()));
    let mut other = identity("b", Some("k"));
    other.digest = [8; 32];
    assert_eq!(log.lookup(&other), Lookup::Conflict);
    let mut log = disk.restart(Limits::default());
    assert_eq!(log.in_doubt_count(), 1);
    assert_eq!(lookup(&log, "b", Some("k")), Lookup::InDoubt("a".into()));
    assert_eq!(lookup(&log, "a", None), Lookup::InDoubt("a".into()));
    // The callback of another worker changes nothing.
    assert_eq!(
        log.resolve_late_callback(101.0, "a", "w-2", Completion::Done(b"x"))
            .resolution,
        Resolution::Unresolved
    );
    let callback = log.resolve_late_callback(101.0, "a", "w-1", Completion::Done(b"result"));
    assert_eq!(
        (callback.resolution, log.in_doubt_count()),
        (Resolution::Served, 0)
    );
    disk.write(callback.writes);
    assert_eq!(
        log.resolve_late_callback(102.0, "a", "w-1", Completion::Failed)
            .resolution,
        Resolution::Unresolved,
        "it is resolved already"
    );
    let log = disk.restart(Limits::default());
    assert_eq!(lookup(&log, "c", Some("k")), Lookup::Served("a".into()));
    assert_eq!(
        disk.values.get(&result_key("a")).map(Vec::as_slice),
        Some(&b"result"[..])
    );
}

/// Guards against a request that is run again because a callback about an earlier attempt is taken
/// as proof that the last one never ran. Only once all attempts are known never to have run is the
/// request new again.
#[test]
fn only_a_request_that_never_ran_is_new_again() {
    let (mut disk, mut log) = (Disk::default(), RequestLog::new(Limits::default()));
    disk.write(log.record_attempt_intent(100.0, &identity("a", None), "w-1", 112.0));
    disk.write(log.record_attempt_ended(100.1, "a", 0, AttemptFailure::NeverRan));
    let restarted = disk.restart(Limits::default());
    assert_eq!(
        restarted.lookup(&identity("a", None)),
        Lookup::New,
        "its only attempt never ran"
    );
    assert!(disk.values.is_empty());
    disk.write(log.record_attempt_intent(100.2, &identity("a", None), "w-2", 112.0));
    let mut log = disk.restart(Limits::default());
    assert_eq!(
        log.resolve_late_callback(101.0, "a", "w-1", Completion::Returned)
            .resolution,
        Resolution::Unresolved,
        "the callback is about an earlier attempt"
    );
    let callback = log.resolve_late_callback(101.0, "a", "w-2", Completion::Returned);
    disk.write(callback.writes);
    assert_eq!(callback.resolution, Resolution::NeverRan);
    assert_eq!(log.lookup(&identity("a", None)), Lookup::New);
    disk.write(log.record_attempt_intent(102.0, &identity("a", None), "w-1", 112.0));
    disk.write(log.record_attempt_ended(103.0, "a", 0, AttemptFailure::MayHaveRun));
    disk.write(log.record_finished(103.0, "a"));
    assert_eq!(log.lookup(&identity("a", None)), Lookup::Failed);
    assert_eq!(
        disk.restart(Limits::default()).lookup(&identity("a", None)),
        Lookup::Failed
    );
}

/// Guards against a request that runs twice: a worker repeats a `Returned` callback until it is
/// acknowledged, and after a restart the repetition must not end a later attempt that is running.
#[test]
fn a_repeated_returned_callback_after_a_restart_does_not_end_the_next_attempt() {
    let (mut disk, mut log) = (Disk::default(), RequestLog::new(Limits::default()));
    disk.write(log.record_attempt_intent(100.0, &identity("a", Some("k")), "w-1", 112.0));
    disk.write(log.record_attempt_ended(100.1, "a", 0, AttemptFailure::NeverRan));
    disk.write(log.record_attempt_intent(100.2, &identity("a", Some("k")), "w-1", 112.0));
    let mut log = disk.restart(Limits::default());
    let repeated = log.resolve_late_callback(101.0, "a", "w-1", Completion::Returned);
    assert_eq!(
        (repeated.resolution, repeated.writes),
        (Resolution::Unresolved, Vec::new())
    );
    assert_eq!(
        log.lookup(&identity("b", Some("k"))),
        Lookup::InDoubt("a".into())
    );
    let done = log.resolve_late_callback(102.0, "a", "w-1", Completion::Done(b"result"));
    assert_eq!(done.resolution, Resolution::Served);
}

/// Results over the size limit aren't stored, a full log removes only requests with a final answer,
/// and expired requests are removed.
#[test]
fn a_full_log_removes_only_requests_with_a_final_answer() {
    let limits = Limits {
        max_requests: 2,
        max_result_bytes: 4,
        retention_seconds_by_class: HashMap::from([("day-plan".into(), 50.0)]),
        retention_seconds: 9.0,
    };
    let (mut disk, mut log) = (Disk::default(), RequestLog::new(limits.clone()));
    disk.write(log.record_attempt_intent(100.0, &identity("a", None), "w", 112.0));
    disk.write(log.record_attempt_intent(100.0, &identity("b", None), "w", 112.0));
    assert_eq!(log.make_room(), None, "both may still run");
    let mut in_doubt = disk.restart(limits.clone());
    assert_eq!((in_doubt.make_room(), in_doubt.in_doubt_count()), (None, 2));
    disk.write(log.record_served(101.0, "b", b"far too long"));
    assert_eq!(
        log.lookup(&identity("b", None)),
        Lookup::Failed,
        "its result is not kept"
    );
    assert!(!disk.values.contains_key(&result_key("b")));
    disk.write(log.make_room().expect("one request was served"));
    assert_eq!(
        (log.len(), log.lookup(&identity("b", None))),
        (1, Lookup::New)
    );
    let mut log = disk.restart(limits);
    log.remove_expired(149.9);
    assert_eq!(log.len(), 1);
    log.remove_expired(150.1);
    assert!(log.is_empty() && log.in_doubt_count() == 0);
}

/// Writes that failed while the disk was full are repeated once it accepts writes again.
#[test]
fn failed_writes_are_repeated_when_the_disk_accepts_writes() {
    let (mut disk, mut log) = (Disk::default(), RequestLog::new(Limits::default()));
    disk.write(log.record_attempt_intent(100.0, &identity("a", None), "w", 112.0));
    drop(log.record_served(101.0, "a", b"lost"));
    log.mark_unwritten("a");
    disk.write(log.rewrite_unwritten());
    assert_eq!(log.rewrite_unwritten(), []);
    assert_eq!(
        disk.restart(Limits::default()).lookup(&identity("a", None)),
        Lookup::Failed
    );
}

#[derive(Clone, Debug)]
enum Step {
    Submit(u8),
    NeverRan(u8),
    MayHaveRun(u8),
    Done(u8),
    Restart(u8),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..5u8, 0..4u8).prop_map(|(kind, n)| match kind {
        0 => Step::Submit(n),
        1 => Step::NeverRan(n),
        2 => Step::MayHaveRun(n),
        3 => Step::Done(n),
        _ => Step::Restart(n),
    });
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a request that is run twice, for any order in which attempts end, callbacks
    /// arrive and the node restarts. A worker runs each attempt that is sent, and an attempt is sent
    /// only after its intent is durable; all other writes may be lost at a restart.
    #[test]
    fn a_request_that_may_have_run_never_runs_again(steps in steps()) {
        let (mut disk, mut log) = (Disk::default(), RequestLog::new(Limits::default()));
        let mut unsynced: Vec<Vec<Write>> = Vec::new();
        // For each request: how often it may have run, the number of its attempt in flight, and how
        // many attempts were sent.
        let (mut runs, mut in_flight, mut attempts_sent) = ([0u32; 4], [None::<usize>; 4], [0usize; 4]);
        let mut served = [false; 4];
        let mut now = 100.0;
        for step in steps {
            now += 0.1;
            match step {
                Step::Submit(n) => {
                    let id = format!("request-{n}");
                    let lookup = log.lookup(&identity(&id, None));
                    let at = n as usize;
                    match lookup {
                        Lookup::New => {
                            prop_assert_eq!(runs[at], 0, "{} would be run again", id);
                            // Group commit: earlier writes become durable together with this one.
                            unsynced.drain(..).for_each(|writes| disk.write(writes));
                            disk.write(log.record_attempt_intent(now, &identity(&id, None), "w", now + 10.0));
                            (runs[at], in_flight[at], attempts_sent[at]) = (1, Some(0), 1);
                        }
                        Lookup::InFlight(_) => prop_assert!(in_flight[at].is_some()),
                        // A request that never ran only fails if the write that says so was lost.
                        Lookup::InDoubt(_) | Lookup::Failed => prop_assert!(in_flight[at].is_none()),
                        Lookup::Served(_) => prop_assert!(served[at]),
                        Lookup::Conflict => prop_assert!(false, "no other request has this id"),
                    }
                }
                Step::NeverRan(n) => {
                    let (id, at) = (format!("request-{n}"), n as usize);
                    if let Some(attempt) = in_flight[at].take() {
                        runs[at] = 0;
                        unsynced.push(log.record_attempt_ended(now, &id, attempt, AttemptFailure::NeverRan));
                        unsynced.push(log.record_finished(now, &id));
                    }
                }
                Step::MayHaveRun(n) => {
                    let (id, at) = (format!("request-{n}"), n as usize);
                    if let Some(attempt) = in_flight[at].take() {
                        unsynced.push(log.record_attempt_ended(now, &id, attempt, AttemptFailure::MayHaveRun));
                        unsynced.push(log.record_finished(now, &id));
                    }
                }
                Step::Done(n) => {
                    let (id, at) = (format!("request-{n}"), n as usize);
                    if in_flight[at].take().is_some() {
                        unsynced.push(log.record_served(now, &id, b"result"));
                        served[at] = true;
                    } else if runs[at] > 0 && !served[at] {
                        let callback = log.resolve_late_callback(now, &id, "w", Completion::Done(b"result"));
                        served[at] = callback.resolution == Resolution::Served;
                        unsynced.push(callback.writes);
                    }
                }
                Step::Restart(keep) => {
                    let keep = unsynced.len() * keep as usize / 3;
                    unsynced.drain(..).take(keep).for_each(|writes| disk.write(writes));
                    log = disk.restart(Limits::default());
                    in_flight = [None; 4];
                    // A served request whose record was lost is in doubt or failed, never new.
                    for n in 0..4 {
                        let lookup = log.lookup(&identity(&format!("request-{n}"), None));
                        prop_assert!(runs[n] == 0 || lookup != Lookup::New, "request-{} is new again", n);
                        served[n] &= matches!(lookup, Lookup::Served(_));
                    }
                }
            }
        }
        prop_assert!(attempts_sent.iter().all(|sent| *sent <= 1));
    }
}

/// What happens in the model of a request with repeated callbacks.
#[derive(Clone, Copy, Debug)]
enum RepeatedCallbackStep {
    /// The client submits the request, or the node retries it after an attempt that never ran.
    Send,
    /// The worker returns the attempt that is running.
    Return,
    /// The worker completes the attempt that is running, and its callback arrives.
    Complete,
    /// A `Returned` callback arrives that the worker has sent before; the number selects it.
    RepeatReturned(usize),
    /// The node is killed and starts again.
    Restart,
}

fn repeated_callback_steps() -> impl Strategy<Value = Vec<RepeatedCallbackStep>> {
    let step = prop_oneof![
        4 => Just(RepeatedCallbackStep::Send),
        2 => Just(RepeatedCallbackStep::Return),
        1 => Just(RepeatedCallbackStep::Complete),
        3 => (0..8usize).prop_map(RepeatedCallbackStep::RepeatReturned),
        2 => Just(RepeatedCallbackStep::Restart),
    ];
    prop::collection::vec(step, 1..40)
}

/// The state of an attempt at its worker.
#[derive(Clone, Copy, PartialEq)]
enum WorkerState {
    Running,
    /// Returned without having run. The callback may arrive at any time, and repeatedly.
    Returned,
    Completed,
}

/// An attempt, as its worker and its node see it.
struct ModelAttempt {
    id: String,
    /// Number of the attempt within the request.
    number: usize,
    state: WorkerState,
    /// Whether it is in flight in the process that sent it.
    in_flight: bool,
}

/// A node with a request log and one worker, to which all attempts of one idempotency key are sent.
struct RepeatedCallbackModel {
    disk: Disk,
    log: RequestLog,
    attempts: Vec<ModelAttempt>,
    requests: usize,
    now: f64,
}

impl RepeatedCallbackModel {
    fn new() -> Self {
        Self {
            disk: Disk::default(),
            log: RequestLog::new(Limits::default()),
            attempts: Vec::new(),
            requests: 0,
            now: 100.0,
        }
    }

    /// Sends an attempt if the log allows it: the first of a new request, or the next one of a
    /// request whose attempts never ran.
    fn send(&mut self) -> Result<(), TestCaseError> {
        let id = match self.log.lookup(&identity("unknown", Some("k"))) {
            Lookup::New => {
                self.requests += 1;
                format!("request-{}", self.requests)
            }
            Lookup::InFlight(id) if self.attempts.iter().all(|attempt| !attempt.in_flight) => id,
            _ => return Ok(()),
        };
        let never_ran = |attempt: &ModelAttempt| attempt.state == WorkerState::Returned;
        prop_assert!(
            self.attempts.iter().all(never_ran),
            "{} would run a second time",
            id
        );
        let of_request = |attempt: &&ModelAttempt| attempt.id == id;
        let number = self.attempts.iter().filter(of_request).count();
        let intent = self.log.record_attempt_intent(
            self.now,
            &identity(&id, Some("k")),
            "w",
            self.now + 60.0,
        );
        self.disk.write(intent);
        self.attempts.push(ModelAttempt {
            id,
            number,
            state: WorkerState::Running,
            in_flight: true,
        });
        Ok(())
    }

    /// Delivers the `Returned` callback of an attempt. In the process that sent the attempt, it is
    /// recognised as a repetition.
    fn deliver_returned(&mut self, index: usize) {
        let ModelAttempt {
            id,
            number,
            in_flight,
            ..
        } = &mut self.attempts[index];
        if std::mem::take(in_flight) {
            let ended =
                self.log
                    .record_attempt_ended(self.now, id, *number, AttemptFailure::NeverRan);
            self.disk.write(ended);
        } else {
            let callback = self
                .log
                .resolve_late_callback(self.now, id, "w", Completion::Returned);
            self.disk.write(callback.writes);
        }
    }

    /// Records the result of the attempt that is running, if there is one.
    fn complete(&mut self) {
        let Some(running) = self.running() else {
            return;
        };
        running.state = WorkerState::Completed;
        let id = running.id.clone();
        let served = if std::mem::take(&mut running.in_flight) {
            self.log.record_served(self.now, &id, b"result")
        } else {
            let done = Completion::Done(b"result");
            let callback = self.log.resolve_late_callback(self.now, &id, "w", done);
            callback.writes
        };
        self.disk.write(served);
    }

    /// Returns the attempt that is running.
    fn running(&mut self) -> Option<&mut ModelAttempt> {
        let is_running = |attempt: &&mut ModelAttempt| attempt.state == WorkerState::Running;
        self.attempts.iter_mut().find(is_running)
    }

    fn take_step(&mut self, step: RepeatedCallbackStep) -> Result<(), TestCaseError> {
        self.now += 0.1;
        match step {
            RepeatedCallbackStep::Send => self.send()?,
            RepeatedCallbackStep::Return => {
                if let Some(running) = self.running() {
                    running.state = WorkerState::Returned;
                }
            }
            RepeatedCallbackStep::Complete => self.complete(),
            RepeatedCallbackStep::RepeatReturned(choice) => {
                let is_returned =
                    |index: &usize| self.attempts[*index].state == WorkerState::Returned;
                let returned: Vec<usize> = (0..self.attempts.len()).filter(is_returned).collect();
                if !returned.is_empty() {
                    self.deliver_returned(returned[choice % returned.len()]);
                }
            }
            RepeatedCallbackStep::Restart => {
                self.log = self.disk.restart(Limits::default());
                for attempt in &mut self.attempts {
                    attempt.in_flight = false;
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: proptest::test_runner::RngSeed::Fixed(46), ..ProptestConfig::default() })]

    /// Guards against a request that runs twice, for any order of attempts at one worker, of
    /// `Returned` callbacks that arrive late and repeatedly, and of restarts of the node.
    #[test]
    fn repeated_returned_callbacks_never_make_a_request_run_twice(steps in repeated_callback_steps()) {
        let mut model = RepeatedCallbackModel::new();
        for step in steps {
            model.take_step(step)?;
        }
    }
}

//! The hub without sockets: one final answer, one outcome for each send, call-backs in any order.

use postproxy::net::messages::ManagementReply;
use postproxy::net::messages::{
    Answer, AttemptEnd, AttemptId, CallbackState, Command, Input, ListedWorker, Load, Payload,
    RequestTimer, Submission, WorkerCallback,
};
use postproxy::net::requests::manager::RequestManager;
use postproxy::{Entry, ListKind, Settings};

const SETTINGS: &str = r#"{
    "balancers": 1, "tick": 0.002, "discovery": "on_request",
    "services": [{"name": "render", "effect": "pure", "aim": 1.0, "deadline": 5.0},
                 {"name": "commit", "effect": "side_effect", "aim": 1.0, "deadline": 5.0}],
    "limits": {"cancel": true, "max-attempts": 3, "retry-after": true, "max-retry-after": 2.0},
    "report": {"fields": ["backlog", "errors_per_s", "outstanding", "x0"], "via": "answers"},
    "extra": {"report-x0": "free slots"}}"#;

struct Bed {
    hub: RequestManager,
    now: f64,
    timers: Vec<(f64, RequestTimer)>,
}

impl Bed {
    fn new(workers: u16) -> Self {
        Self::with(workers, SETTINGS)
    }

    fn with(workers: u16, settings: &str) -> Self {
        let hub = RequestManager::new(Settings::from_json(settings).expect("sound settings"), 7)
            .expect("a hub");
        let mut bed = Self {
            hub,
            now: 1000.0,
            timers: Vec::new(),
        };
        let member = |n: u16| ListedWorker {
            id: format!("s-{n}"),
            address: ([127, 0, 0, 1], 9000 + n).into(),
            entry: Entry {
                size: 1.0,
                ..Entry::default()
            },
        };
        bed.tell(Input::WorkerListReceived {
            kind: ListKind::Full,
            workers: (0..workers).map(member).collect(),
        });
        bed
    }

    /// The commands that follow, timers apart.
    fn tell(&mut self, input: Input) -> Vec<Command> {
        let mut out = Vec::new();
        self.hub.handle(self.now, input, &mut out);
        let (timers, rest) = out
            .into_iter()
            .partition(|c| matches!(c, Command::SetTimer { .. }));
        let timers: Vec<Command> = timers;
        self.timers
            .extend(timers.into_iter().filter_map(|c| match c {
                Command::SetTimer { at, timer: due } => Some((at, due)),
                _ => None,
            }));
        // Acknowledgements have a test of their own.
        let rest: Vec<Command> = rest;
        rest.into_iter()
            .filter(|c| !matches!(c, Command::AcknowledgeCallback { client: 2, .. }))
            .collect()
    }

    /// Plays the timers up to a time.
    fn play(&mut self, until: f64) -> Vec<Command> {
        let mut all = Vec::new();
        loop {
            let next = self
                .timers
                .iter()
                .enumerate()
                .min_by(|a, b| a.1.0.total_cmp(&b.1.0));
            let Some((i, &(at, due))) = next.filter(|(_, (at, _))| *at <= until) else {
                break;
            };
            self.timers.remove(i);
            self.now = self.now.max(at);
            all.extend(self.tell(Input::TimerExpired { timer: due }));
        }
        self.now = until;
        all
    }

    fn submit(&mut self, id: &str, class: u8) -> Vec<Command> {
        let payload = Payload {
            id: id.into(),
            method: "POST".into(),
            ..Payload::default()
        };
        self.tell(Input::RequestReceived {
            client: 1,
            submission: Submission {
                payload,
                class,
                ..Submission::default()
            },
        })
    }

    /// Submits, and has the attempt written and accepted; the attempt and its worker's name.
    fn accepted(&mut self, id: &str, class: u8) -> (AttemptId, String) {
        let (attempt, from) = start(&self.submit(id, class)).expect("an attempt");
        assert!(self.tell(Input::AttemptWritten { attempt }).is_empty());
        assert!(
            self.tell(Input::ExchangeEnded {
                attempt,
                end: AttemptEnd::Accepted,
                load: Load::new()
            })
            .is_empty()
        );
        (attempt, from)
    }

    fn call(&mut self, id: &str, from: &str, state: CallbackState) -> Vec<Command> {
        self.tell(Input::CallbackReceived {
            client: 2,
            callback: WorkerCallback {
                id: id.into(),
                from: from.into(),
                state,
                load: Load::new(),
            },
        })
    }
}

fn start(commands: &[Command]) -> Option<(AttemptId, String)> {
    commands.iter().find_map(|c| match c {
        Command::StartAttempt {
            attempt, worker, ..
        } => Some((*attempt, format!("s-{}", worker.port() - 9000))),
        _ => None,
    })
}

fn answers<'a>(commands: &'a [Command]) -> Vec<&'a Answer> {
    let answer = |c: &'a Command| {
        if let Command::AnswerClient { answer, .. } = c {
            Some(answer)
        } else {
            None
        }
    };
    commands.iter().filter_map(answer).collect()
}

/// Guards against a second final answer, and against call-backs that change what has ended.
#[test]
fn a_result_is_given_once() {
    let mut bed = Bed::new(2);
    let (_, from) = bed.accepted("a", 0);
    assert!(
        bed.call("a", "s-unknown", CallbackState::Done(b"x".into()))
            .is_empty()
    );
    assert!(
        bed.call("unknown", &from, CallbackState::Done(b"x".into()))
            .is_empty()
    );
    assert!(bed.call("a", &from, CallbackState::Running(0.4)).is_empty());
    let done = bed.call("a", &from, CallbackState::Done(b"result".into()));
    assert_eq!(answers(&done), [&Answer::Served(b"result".into())]);
    assert!(
        bed.call("a", &from, CallbackState::Done(b"result".into()))
            .is_empty()
    );
    assert!(bed.call("a", &from, CallbackState::Lost).is_empty());
    assert_eq!(bed.hub.pending_count(), 0);
    assert!(
        bed.play(1010.0).is_empty(),
        "no timer of the past may answer again"
    );
}

/// Guards against losing a call-back that comes before the 202, and against the 202 reviving its attempt.
#[test]
fn a_call_may_come_before_the_202() {
    let mut bed = Bed::new(1);
    let (attempt, from) = start(&bed.submit("a", 0)).expect("an attempt");
    bed.tell(Input::AttemptWritten { attempt });
    assert_eq!(
        answers(&bed.call("a", &from, CallbackState::Done(b"r".into()))),
        [&Answer::Served(b"r".into())]
    );
    assert!(
        bed.tell(Input::ExchangeEnded {
            attempt,
            end: AttemptEnd::Accepted,
            load: Load::new()
        })
        .is_empty()
    );
    assert_eq!(bed.hub.pending_count(), 0);
}

/// Guards against taking a repeated call for news of the next attempt at the same worker.
#[test]
fn a_repeated_call_does_not_end_the_next_attempt() {
    let mut bed = Bed::new(1);
    let (_, from) = bed.accepted("a", 0);
    let mut again = bed.call("a", &from, CallbackState::Returned);
    again.extend(bed.play(1001.0));
    let (attempt, _) = start(&again).expect("what never ran is sent again");
    assert!(bed.call("a", &from, CallbackState::Returned).is_empty());
    bed.tell(Input::AttemptWritten { attempt });
    // Up to ten times, also behind the next attempt's last byte: that one runs.
    for _ in 0..8 {
        assert!(bed.call("a", &from, CallbackState::Returned).is_empty());
    }
    assert!(start(&bed.play(1002.0)).is_none(), "no third attempt");
    assert_eq!(
        answers(&bed.call("a", &from, CallbackState::Done(b"r".into()))).len(),
        1
    );
}

/// Guards against sending again what may have run; only PROTOCOL's cases prove that nothing has.
#[test]
fn only_what_never_ran_is_sent_again() {
    let cases = [
        (AttemptEnd::NeverSent, false, true),
        (AttemptEnd::LocalCapacityExhausted, false, true),
        (AttemptEnd::RejectedUnstarted, true, true),
        (AttemptEnd::Reset, true, false),
        (AttemptEnd::Error, true, false),
        (AttemptEnd::NeverSent, true, false),
    ];
    for (end, written, again) in cases {
        let mut bed = Bed::new(3);
        let (attempt, _) = start(&bed.submit("a", 1)).expect("an attempt");
        if written {
            bed.tell(Input::AttemptWritten { attempt });
        }
        let mut after = bed.tell(Input::ExchangeEnded {
            attempt,
            end,
            load: Load::new(),
        });
        after.extend(bed.play(1006.0));
        assert_eq!(start(&after).is_some(), again, "{end:?}");
        assert_eq!(answers(&after), [&Answer::Failed], "{end:?}");
        assert_eq!(bed.hub.pending_count(), 0);
    }
}

/// Guards against a worker left out of the draw because this node had no connection to spare.
#[test]
fn a_shortage_here_is_not_held_against_the_worker() {
    let mut bed = Bed::new(2);
    let (attempt, blamed) = start(&bed.submit("a", 0)).expect("an attempt");
    bed.tell(Input::ExchangeEnded {
        attempt,
        end: AttemptEnd::LocalCapacityExhausted,
        load: Load::new(),
    });
    let more: Vec<_> = (0..12)
        .filter_map(|n| start(&bed.submit(&format!("b{n}"), 0)))
        .collect();
    assert!(more.iter().any(|(_, worker)| *worker == blamed), "{more:?}");
}

/// Guards against a broken connection deciding on a job that its worker has taken.
#[test]
fn after_the_202_a_broken_connection_decides_nothing() {
    let mut bed = Bed::new(2);
    let (attempt, from) = bed.accepted("a", 0);
    assert!(
        bed.tell(Input::ExchangeEnded {
            attempt,
            end: AttemptEnd::Reset,
            load: Load::new()
        })
        .is_empty()
    );
    assert_eq!(
        answers(&bed.call("a", &from, CallbackState::Done(b"r".into()))).len(),
        1
    );
}

/// Guards against work that goes on for nobody: the worker is told, by a message only after its 202.
#[test]
fn a_client_that_leaves_has_its_pass_given_up() {
    for taken in [false, true] {
        let mut bed = Bed::new(1);
        let (attempt, _) = start(&bed.submit("a", 0)).expect("an attempt");
        if taken {
            bed.tell(Input::ExchangeEnded {
                attempt,
                end: AttemptEnd::Accepted,
                load: Load::new(),
            });
        }
        let left = bed.tell(Input::ClientDisconnected { client: 1 });
        assert!(
            matches!(left[..], [Command::CancelAttempt { attempt: p, accepted: t, .. }] if (p, t) == (attempt, taken)),
            "{left:?}"
        );
        assert_eq!(bed.hub.pending_count(), 0);
        assert!(bed.play(1010.0).is_empty());
    }
}

/// Guards against silence: without any worker the unavailable answer comes before the deadline, with advice.
#[test]
fn without_workers_the_answer_is_unavailable_in_time() {
    let mut bed = Bed::new(0);
    assert!(bed.submit("a", 0).is_empty());
    let all = bed.play(1005.0);
    assert!(
        matches!(answers(&all)[..], [Answer::RejectedWithRetryAfter(after)] if *after > 0.0),
        "{all:?}"
    );
    assert_eq!(bed.hub.pending_count(), 0);
}

/// Guards against an attempt without end: a time-out of 0 is the client's deadline, and is followed by
/// the final answer; the worker is told.
#[test]
fn an_attempt_that_stays_silent_ends_at_the_deadline() {
    let mut bed = Bed::new(1);
    bed.accepted("a", 1);
    let all = bed.play(1005.01);
    assert_eq!(answers(&all), [&Answer::Failed]);
    assert!(
        all.iter()
            .any(|c| matches!(c, Command::CancelAttempt { accepted: true, .. })),
        "{all:?}"
    );
    assert_eq!(bed.hub.pending_count(), 0);
}

/// Guards against two transactions of one id, whose call-backs could not be told apart.
#[test]
fn an_id_that_is_held_is_not_taken_twice() {
    let mut bed = Bed::new(1);
    bed.accepted("a", 0);
    let payload = Payload {
        id: "a".into(),
        ..Payload::default()
    };
    let twice = bed.tell(Input::RequestReceived {
        client: 2,
        submission: Submission {
            payload,
            ..Submission::default()
        },
    });
    assert_eq!(answers(&twice), [&Answer::DuplicateRequestId]);
    assert_eq!(bed.hub.pending_count(), 1);
}

/// Guards against more transactions than the settings allow; the first ones stay untouched.
#[test]
fn what_exceeds_max_open_fails_at_once() {
    let settings = SETTINGS.replace("\"max-attempts\"", "\"max-open\": 1, \"max-attempts\"");
    let mut hub = RequestManager::new(Settings::from_json(&settings).expect("sound settings"), 7)
        .expect("a hub");
    let mut out = Vec::new();
    for (client, id) in [(1, "a"), (2, "b")] {
        let payload = Payload {
            id: id.into(),
            ..Payload::default()
        };
        hub.handle(
            1000.0,
            Input::RequestReceived {
                client,
                submission: Submission {
                    payload,
                    ..Submission::default()
                },
            },
            &mut out,
        );
    }
    assert!(
        out.iter().any(|c| matches!(
            c,
            Command::AnswerClient {
                client: 2,
                answer: Answer::Failed
            }
        )),
        "{out:?}"
    );
    assert_eq!((answers(&out).len(), hub.pending_count()), (1, 1));
}

/// Guards against load figures that are taken for others, and against an absent one that reads as 0.
#[test]
fn load_reports_are_joined_by_name() {
    let bed = Bed::new(1);
    let load = |pairs: &[(&str, f64)]| -> Load {
        pairs.iter().map(|(n, v)| ((*n).to_owned(), *v)).collect()
    };
    let report = bed
        .hub
        .load_report(&load(&[("x0", 3.0), ("inflight", 7.0), ("queue", 2.0)]));
    assert_eq!((report[0], report[2], report[3]), (2.0, 7.0, 3.0));
    assert!(report[1].is_nan());
    let report = bed.hub.load_report(&load(&[
        ("backlog", 1.0),
        ("errors_per_s", 0.5),
        ("outstanding", 4.0),
    ]));
    assert_eq!(report[..3], [1.0, 0.5, 4.0]);
    assert!(bed.hub.load_report(&load(&[("cpu", 1.0)])).is_empty());
}

/// Guards against a ban that is forgotten with the list, that leaves unsent what was on its way there, or that
/// tells what has been sent whole to run elsewhere, too.
#[test]
fn a_worker_out_of_use_gets_nothing_more_and_keeps_what_it_has() {
    let mut bed = Bed::new(2);
    let employ = |bed: &mut Bed, name: &str, again| {
        bed.tell(Input::SuspensionRequested {
            caller: 9,
            worker: name.into(),
            resume: again,
        })
    };
    let reply = |out: &[Command]| {
        out.iter().find_map(|c| {
            if let Command::ReplyToManagement { caller: 9, reply } = c {
                Some(*reply)
            } else {
                None
            }
        })
    };
    assert_eq!(
        reply(&employ(&mut bed, "s-9", false)),
        Some(ManagementReply::NotFound)
    );
    assert_eq!(
        reply(&employ(&mut bed, "s-9", true)),
        Some(ManagementReply::NotFound)
    );
    assert_eq!(
        reply(&employ(&mut bed, "s-1", true)),
        Some(ManagementReply::Done),
        "it was never out"
    );
    let (unsent, to) = start(&bed.submit("a", 1)).expect("an attempt");
    let (sent, _) = loop {
        let (attempt, from) = start(&bed.tell(Input::RequestReceived {
            client: 3,
            submission: Submission {
                payload: Payload {
                    id: format!("b{}", bed.now),
                    method: "POST".into(),
                    ..Payload::default()
                },
                class: 1,
                ..Submission::default()
            },
        }))
        .expect("an attempt");
        bed.tell(Input::AttemptWritten { attempt });
        if from == to {
            break (attempt, from);
        }
        bed.now += 0.01;
    };
    let out = employ(&mut bed, &to, false);
    assert_eq!(reply(&out), Some(ManagementReply::Done));
    assert!(
        out.iter()
            .any(|c| matches!(c, Command::WithdrawAttempt { attempt } if *attempt == unsent))
    );
    assert!(
        !out.iter()
            .any(|c| matches!(c, Command::WithdrawAttempt { attempt } if *attempt == sent))
    );
    assert!(
        out.iter()
            .any(|c| matches!(c, Command::CloseIdleConnections { .. }))
    );
    assert_eq!(
        reply(&employ(&mut bed, &to, false)),
        Some(ManagementReply::Done),
        "twice is once"
    );
    // What never ran goes elsewhere; also after a whole list that names the worker as ready.
    let (_, other) = start(&bed.tell(Input::ExchangeEnded {
        attempt: unsent,
        end: AttemptEnd::LocalCapacityExhausted,
        load: Load::new(),
    }))
    .expect("another attempt");
    assert_ne!(other, to);
    let member = |n: u16| ListedWorker {
        id: format!("s-{n}"),
        address: ([127, 0, 0, 1], 9000 + n).into(),
        entry: Entry {
            size: 1.0,
            started: 1000.0,
            ..Entry::default()
        },
    };
    bed.tell(Input::WorkerListReceived {
        kind: ListKind::Full,
        workers: vec![member(0), member(1)],
    });
    for n in 0..20 {
        let (_, from) = start(&bed.submit(&format!("c{n}"), 0)).expect("an attempt");
        assert_ne!(from, to);
    }
    assert_eq!(
        reply(&employ(&mut bed, &other, false)),
        Some(ManagementReply::Done)
    );
    let out = bed.submit("d", 0);
    assert!(
        out.iter().any(|c| matches!(
            c,
            Command::AnswerClient {
                client: 1,
                answer: Answer::RejectedWithRetryAfter(_)
            }
        )),
        "all are out: {out:?}"
    );
    assert_eq!(
        reply(&employ(&mut bed, &to, true)),
        Some(ManagementReply::Done)
    );
    let (_, from) = start(&bed.submit("e", 0)).expect("an attempt");
    assert_eq!(from, to, "one call back undoes two out");
}

/// Guards against an attempt that is dialled for and begins after its client has left, where settings forbid cancels:
/// nothing was sent, so there is nothing to cancel. One that was written whole goes on there.
#[test]
fn what_is_not_written_is_taken_back_when_the_client_leaves() {
    for cancel in ["true", "false"] {
        for class in [0, 1] {
            let settings = SETTINGS.replace("\"cancel\": true", &format!("\"cancel\": {cancel}"));
            let mut bed = Bed::with(2, &settings);
            let (attempt, _) = start(&bed.submit("a", class)).expect("an attempt");
            let out = bed.tell(Input::ClientDisconnected { client: 1 });
            let back = |c: &Command| match c {
                Command::CancelAttempt { attempt: p, .. } => cancel == "true" && *p == attempt,
                Command::WithdrawAttempt { attempt: p } => cancel == "false" && *p == attempt,
                _ => false,
            };
            assert!(out.iter().any(back), "cancel {cancel}: {out:?}");
            assert!(
                bed.tell(Input::ExchangeEnded {
                    attempt,
                    end: AttemptEnd::LocalCapacityExhausted,
                    load: Load::new()
                })
                .is_empty()
            );
            assert!(
                start(&bed.play(1010.0)).is_none() && bed.hub.pending_count() == 0,
                "cancel {cancel}"
            );
            let (sent, from) = bed.accepted("b", class);
            let out = bed.tell(Input::ClientDisconnected { client: 1 });
            assert!(
                !out.iter()
                    .any(|c| matches!(c, Command::WithdrawAttempt { .. })),
                "{sent} has been written"
            );
            assert!(
                start(&bed.call("b", &from, CallbackState::Lost)).is_none(),
                "no further attempt"
            );
            assert!(
                start(&bed.play(1020.0)).is_none() && bed.hub.pending_count() == 0,
                "cancel {cancel}"
            );
        }
    }
}

/// Guards against a send to a worker that has been announced as leaving: the attempt was decided before, and its connection
/// comes up after; what counts is the first byte. It goes elsewhere, since nothing ran; one that is written whole goes on.
#[test]
fn what_is_not_written_is_taken_back_when_its_worker_leaves() {
    use postproxy::Health;
    let member = |name: &str, health: Health| {
        let n: u16 = name.trim_start_matches("s-").parse().expect("a number");
        let entry = Entry {
            size: 1.0,
            health,
            ..Entry::default()
        };
        ListedWorker {
            id: name.to_owned(),
            address: ([127, 0, 0, 1], 9000 + n).into(),
            entry,
        }
    };
    let other = |name: &str| if name == "s-0" { "s-1" } else { "s-0" };
    for written in [false, true] {
        for how in 0..3 {
            let mut bed = Bed::new(2);
            let (attempt, to) = start(&bed.submit("a", 1)).expect("an attempt");
            assert!(
                bed.tell(Input::WorkerListReceived {
                    kind: ListKind::Delta,
                    workers: vec![]
                })
                .is_empty(),
                "no change"
            );
            if written {
                bed.tell(Input::AttemptWritten { attempt });
            }
            let stays = member(other(&to), Health::Ready);
            let out = bed.tell(match how {
                0 => Input::WorkerListReceived {
                    kind: ListKind::Delta,
                    workers: vec![member(&to, Health::Draining)],
                },
                1 => Input::WorkerListReceived {
                    kind: ListKind::Full,
                    workers: vec![member(&to, Health::Draining), stays],
                },
                _ => Input::WorkerListReceived {
                    kind: ListKind::Full,
                    workers: vec![stays],
                },
            });
            let back = out
                .iter()
                .any(|c| matches!(c, Command::WithdrawAttempt { attempt: p } if *p == attempt));
            assert_eq!(back, !written, "{how}: {out:?}");
            if back {
                let again = start(&bed.tell(Input::ExchangeEnded {
                    attempt,
                    end: AttemptEnd::LocalCapacityExhausted,
                    load: Load::new(),
                }));
                assert_eq!(again.expect("another attempt").1, other(&to));
            }
        }
    }
}

/// Guards against an attempt for nobody in a hand-over: the client leaves between the one process's last look and the
/// other's first. Its job's next attempt does not begin there, and what is out is given up; with it, the job goes on.
#[test]
fn a_job_that_moves_without_its_client_is_given_up() {
    for (client, goes_on) in [(Some(9), true), (None, false)] {
        let (mut old, mut new) = (Bed::new(2), Bed::new(2));
        let (_, from) = old.accepted("a", 0);
        let job = old.hub.release_request(old.now, 1).expect("it can move");
        let out = new.tell(Input::RequestMigrated {
            link: 1,
            client,
            request: job,
        });
        let given_up = out
            .iter()
            .any(|c| matches!(c, Command::CancelAttempt { payload: p, accepted: true, .. } if p.id == "a"));
        assert_eq!((given_up, start(&out)), (!goes_on, None), "{out:?}");
        let again = start(&new.call("a", &from, CallbackState::Lost));
        assert_eq!(again.is_some(), goes_on);
        assert_eq!(new.hub.pending_count(), usize::from(goes_on));
    }
}

/// Guards against a killed job whose call-backs come after its second start: they are about what is over, and end nothing of what runs.
#[test]
fn call_backs_of_a_killed_job_change_nothing_of_its_second_start() {
    let mut bed = Bed::new(2);
    let (_, first) = bed.accepted("a", 0);
    assert!(bed.call("a", &first, CallbackState::Started).is_empty());
    let (attempt, second) =
        start(&bed.call("a", &first, CallbackState::Lost)).expect("it starts over");
    assert_ne!(second, first);
    bed.tell(Input::AttemptWritten { attempt });
    bed.tell(Input::ExchangeEnded {
        attempt,
        end: AttemptEnd::Accepted,
        load: Load::new(),
    });
    for late in [
        CallbackState::Lost,
        CallbackState::Failed,
        CallbackState::Returned,
        CallbackState::Started,
        CallbackState::Running(0.9),
    ] {
        let out = bed.call("a", &first, late.clone());
        assert!(out.is_empty(), "{late:?}: {out:?}");
    }
    let done = bed.call("a", &second, CallbackState::Done(b"result".into()));
    assert_eq!(answers(&done), [&Answer::Served(b"result".into())]);
}

fn probes(commands: &[Command]) -> Vec<(AttemptId, String)> {
    let probe = |c: &Command| match c {
        Command::ProbeWorker {
            attempt: id,
            worker,
            ..
        } => Some((*id, format!("s-{}", worker.port() - 9000))),
        _ => None,
    };
    commands.iter().filter_map(probe).collect()
}

/// Guards against probes that the dispatcher asks for and nobody makes, or whose answers it never hears: where load comes by
/// probes alone, a job goes to the worker that has told of room. And against probes where the settings allow none.
#[test]
fn workers_are_asked_for_their_load_where_that_is_allowed() {
    assert!(probes(&Bed::new(3).submit("a", 0)).is_empty());
    let settings = SETTINGS
        .replace("\"via\": \"answers\"", "\"via\": \"probe\"")
        .replace("\"cancel\": true", "\"cancel\": true, \"may-probe\": true");
    for told in [Some(4.0), None] {
        let mut bed = Bed::with(3, &settings);
        let out = bed.submit("a", 0);
        assert!(start(&out).is_none(), "it is asked first");
        let asked = probes(&out);
        assert!(!asked.is_empty());
        let mut sent = None;
        for (id, worker) in &asked {
            let free = if *worker == asked[0].1 {
                told.unwrap_or(0.0)
            } else {
                0.0
            };
            let load = vec![
                ("x0".to_owned(), free),
                ("backlog".to_owned(), 0.0),
                ("outstanding".to_owned(), 4.0 - free),
            ];
            let end = if told.is_some() {
                AttemptEnd::Accepted
            } else {
                AttemptEnd::Reset
            };
            sent = sent.or(start(&bed.tell(Input::ExchangeEnded {
                attempt: *id,
                end,
                load,
            })));
            assert!(
                bed.tell(Input::ExchangeEnded {
                    attempt: *id,
                    end: AttemptEnd::Accepted,
                    load: Load::new()
                })
                .is_empty(),
                "once"
            );
        }
        match told {
            Some(_) => assert_eq!(sent.map(|(_, worker)| worker), Some(asked[0].1.clone())),
            // Nothing is known: the job is not lost for it.
            None => assert!(sent.is_some() || start(&bed.play(1001.0)).is_some()),
        }
    }
}

/// Guards against an attempt that moves to another process while its last byte is on its way: there it would count as never sent.
#[test]
fn a_job_moves_only_when_its_attempts_are_decided() {
    let mut bed = Bed::new(2);
    let (attempt, _) = start(&bed.submit("a", 1)).expect("an attempt");
    assert!(bed.hub.migratable_clients().is_empty(), "it is dialled for");
    bed.tell(Input::AttemptWritten { attempt });
    assert!(
        bed.hub.migratable_clients().is_empty(),
        "it is written, and nobody knows whether it was taken"
    );
    bed.tell(Input::ExchangeEnded {
        attempt,
        end: AttemptEnd::Accepted,
        load: Load::new(),
    });
    assert_eq!(bed.hub.migratable_clients(), [1], "it was taken");
}

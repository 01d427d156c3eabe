//! Checks of histories: which violations they find, and which faults explain a failure report.

use postproxy_fault_injection::check::{
    NodeLog, check_failure_reports, check_responses, parse_log_time,
};
use postproxy_fault_injection::{Event, History, HistoryEntry, LogPosition};

fn note(at: f64, what: &str) -> HistoryEntry {
    HistoryEntry::new(at, Event::Note(what.into()))
}

fn sent(at: f64, id: &str, node: usize) -> HistoryEntry {
    HistoryEntry::new(
        at,
        Event::RequestSent {
            id: id.into(),
            node,
        },
    )
}

fn received(at: f64, id: &str, status: Option<u16>, plausible: bool) -> HistoryEntry {
    HistoryEntry::new(
        at,
        Event::ResponseReceived {
            id: id.into(),
            status,
            plausible,
        },
    )
}

/// A violation names the guarantee that a history violates; a valid history has no violation.
#[test]
fn each_violation_in_a_history_is_named() {
    let cases: Vec<(&str, Vec<HistoryEntry>)> = vec![
        (
            "a request has at most one response",
            vec![
                sent(1.0, "a", 0),
                received(2.0, "a", Some(200), true),
                received(3.0, "a", Some(502), true),
            ],
        ),
        (
            "every response body comes from a worker or a node",
            vec![sent(1.0, "a", 0), received(2.0, "a", Some(200), false)],
        ),
        (
            "every response belongs to a request",
            vec![received(2.0, "a", Some(200), true)],
        ),
        (
            "each request id is sent once",
            vec![sent(1.0, "a", 0), sent(1.5, "a", 1)],
        ),
        (
            "a running node responds to its requests",
            vec![
                note(0.5, "kill 1"),
                sent(1.0, "a", 0),
                received(2.0, "a", None, true),
            ],
        ),
        (
            "a running node responds to its requests",
            vec![
                note(0.5, "kill 0"),
                sent(3.0, "a", 0),
                received(4.0, "a", None, true),
            ],
        ),
        (
            "every request has a response",
            vec![note(0.1, "heal"), sent(1.0, "a", 0)],
        ),
        (
            "a request runs no more often than its class allows",
            vec![HistoryEntry::new(
                1.0,
                Event::RequestRun {
                    key: "k".into(),
                    run_count: 2,
                },
            )],
        ),
    ];
    for (guarantee, events) in cases {
        let violation =
            check_responses(&History::with_entries(0.0, events.clone()), 1).expect_err(guarantee);
        assert_eq!(violation.guarantee, guarantee, "{events:?}");
    }
    let valid_history = vec![
        sent(1.0, "a", 0),
        note(1.5, "kill 0"),
        received(2.0, "a", None, true),
        sent(2.5, "b", 1),
        received(3.0, "b", Some(503), true),
        HistoryEntry::new(
            3.0,
            Event::RequestRun {
                key: "k".into(),
                run_count: 1,
            },
        ),
    ];
    assert_eq!(
        check_responses(&History::with_entries(0.0, valid_history), 1),
        Ok(())
    );
}

/// A failure report without a cause is a violation that names the report's log line. A fault of the
/// reporting or the reported node or of a link, shortly before the report, is a cause.
#[test]
fn a_failure_report_without_a_cause_is_named_with_its_log_line() {
    let start = parse_log_time("2026-12-01T22:45:50.5Z").expect("a time");
    assert_eq!(parse_log_time("1970-01-02T00:00:01.25Z"), Some(86_401.25));
    assert_eq!(
        parse_log_time("2024-03-01T00:00:00Z"),
        Some(1_709_251_200.0)
    );
    let log = "2026-12-01T22:45:51.000000Z  INFO x: among the nodes\n\
               2026-12-01T22:46:00.500000Z  WARN x: peer failed name=\"n2\" address=127.0.0.1:1\n";
    let logs = [NodeLog {
        node: 0,
        path: "n0/log".to_owned(),
        text: log.to_owned(),
    }];
    let check = |events: Vec<HistoryEntry>| {
        check_failure_reports(&History::with_entries(start, events), &logs)
    };
    let violation = check(vec![note(1.0, "kill 1")]).expect_err("no cause");
    assert_eq!(
        (violation.at_seconds, violation.position),
        (
            10.0,
            Some(LogPosition {
                path: "n0/log".into(),
                line: 2
            })
        )
    );
    assert_eq!(violation.step, "kill 1");
    for (step, is_violation) in [
        ("kill 2", false),
        ("pause 2", false),
        ("pause 0", false),
        ("kill 1", true),
        ("cut 0 1", false),
        ("isolate 3", false),
        ("loss 5", false),
        ("loss 0", true),
        ("suspend 0 2", true),
    ] {
        assert_eq!(
            check(vec![note(8.0, step)]).is_err(),
            is_violation,
            "{step}"
        );
    }
    let ended_fault_is_violation =
        |ended: f64, end: &str| check(vec![note(-40.0, "isolate 2"), note(ended, end)]).is_err();
    assert!(
        !ended_fault_is_violation(5.0, "heal")
            && ended_fault_is_violation(-5.0, "heal")
            && !ended_fault_is_violation(-5.0, "suspend 0 1")
    );
    assert!(check(vec![note(-40.0, "kill 2"), note(-5.0, "start 2")]).is_err());
    assert!(
        check(vec![note(10.5, "kill 2")]).is_err(),
        "a cause precedes the report"
    );
}

//! Reads a history and the nodes' logs after the fact, and names the first step that broke a promise.

use crate::{Event, History, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long after a fault ended others may still speak of it, in seconds: detection, and datagrams on their way.
const AFTER: f64 = 10.0;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub promise: &'static str,
    /// When, in seconds from the history's start.
    pub at: f64,
    /// What was seen.
    pub seen: String,
    /// The latest step before it.
    pub step: String,
    /// The log and its line, where it was seen in one.
    pub place: Option<(String, usize)>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at {:.3} s: {}: {}; the step before: {}",
            self.at, self.promise, self.seen, self.step
        )?;
        match &self.place {
            Some((log, line)) => write!(f, "; {log}:{line}"),
            None => Ok(()),
        }
    }
}

fn step_before(events: &[(f64, Event)], at: f64) -> String {
    let steps = events
        .iter()
        .take_while(|(time, _)| *time <= at)
        .filter_map(|(_, event)| match event {
            Event::Note(what) => Some(what.as_str()),
            _ => None,
        });
    steps.last().unwrap_or("none").to_owned()
}

/// Each request has at most one answer; an answer that claims a worker's work is one; a node that was not killed, stopped or
/// told to end since it was asked answers; no job of a key runs more often than this.
///
/// # Errors
///
/// The first of these that is broken.
pub fn answers(history: &History, most_runs: u32) -> Result<(), Violation> {
    let events = history.all();
    let broken = |promise, at, seen: String| {
        Err(Violation {
            promise,
            at,
            seen,
            step: step_before(&events, at),
            place: None,
        })
    };
    let (mut asked, mut answered) = (BTreeMap::new(), BTreeSet::new());
    let mut touched: BTreeMap<usize, f64> = BTreeMap::new();
    for (at, event) in &events {
        match event {
            Event::Note(what) => {
                if let Ok(Step::Kill(n) | Step::Start(n) | Step::Pause(n) | Step::Wake(n)) =
                    what.parse()
                {
                    touched.insert(n, *at);
                }
            }
            Event::Asked(id, node) => {
                if asked.insert(id.clone(), (*at, *node)).is_some() {
                    return broken("ids are a client's own", *at, format!("{id} asked twice"));
                }
            }
            Event::Answered(id, status, sound) => {
                let Some((since, node)) = asked.get(id) else {
                    return broken(
                        "an answer has a question",
                        *at,
                        format!("{id} was not asked"),
                    );
                };
                if !answered.insert(id.clone()) {
                    return broken("one final answer", *at, format!("{id} answered twice"));
                }
                if !sound {
                    return broken(
                        "no body that no worker made",
                        *at,
                        format!("{id}: {status:?}"),
                    );
                }
                let since = *since;
                if status.is_none() && touched.get(node).is_none_or(|last| *last < since - 1.0) {
                    return broken(
                        "who serves on answers",
                        *at,
                        format!("{id} broken off by n{node}"),
                    );
                }
            }
            Event::Ran(key, times) => {
                if *times > most_runs {
                    return broken(
                        "no more runs than its class allows",
                        *at,
                        format!("{key} run {times} times"),
                    );
                }
            }
        }
    }
    match asked.iter().find(|(id, _)| !answered.contains(*id)) {
        Some((id, (at, node))) => broken(
            "a final word for all",
            *at,
            format!("{id} at n{node} has none"),
        ),
        None => Ok(()),
    }
}

/// Nobody is called failed who was not killed, stopped, cut off or behind a link that lost datagrams, by whom
/// none of this had befallen either. The logs are those of nodes by their number, each with its name for the message.
///
/// # Errors
///
/// The first of these words that has no cause.
pub fn blame(history: &History, logs: &[(usize, String, String)]) -> Result<(), Violation> {
    let events = history.all();
    let mut first: Option<Violation> = None;
    for (n, name, log) in logs {
        for (line, text) in log.lines().enumerate() {
            let Some((before, after)) = text.split_once("peer failed name=\"n") else {
                continue;
            };
            let whom = after
                .split('"')
                .next()
                .and_then(|number| number.parse::<usize>().ok());
            let at = before
                .split_whitespace()
                .next()
                .and_then(unix)
                .map(|unix| history.at(unix));
            let (Some(whom), Some(at)) = (whom, at) else {
                continue;
            };
            if caused(&events, at, *n, whom) || first.as_ref().is_some_and(|first| first.at <= at) {
                continue;
            }
            first = Some(Violation {
                promise: "nobody is blamed without a cause",
                at,
                seen: format!("n{n} calls n{whom} failed"),
                step: step_before(&events, at),
                place: Some((name.clone(), line + 1)),
            });
        }
    }
    first.map_or(Ok(()), Err)
}

/// Whether something that was done explains that one node takes another for failed then.
fn caused(events: &[(f64, Event)], at: f64, who: usize, whom: usize) -> bool {
    let mut down: BTreeMap<usize, f64> = BTreeMap::new();
    let (mut links, mut ended) = (None, f64::NEG_INFINITY);
    for (time, event) in events.iter().take_while(|(time, _)| *time <= at) {
        let Event::Note(what) = event else { continue };
        match what.parse::<Step>() {
            Ok(Step::Kill(n) | Step::Pause(n)) => {
                down.insert(n, f64::INFINITY);
            }
            Ok(Step::Start(n) | Step::Wake(n)) => {
                down.insert(n, *time);
            }
            Ok(Step::Cut(..) | Step::Isolate(_)) => links = Some(*time),
            Ok(Step::Loss(share)) if share > 0 => links = Some(*time),
            Ok(Step::Heal | Step::Loss(_)) if links.take().is_some() => ended = *time,
            _ => {}
        }
    }
    let lately = |n: usize| down.get(&n).is_some_and(|until| at - *until < AFTER);
    // What is lost between others can bring word of a third that was wrongly suspected there.
    lately(who) || lately(whom) || links.is_some() || at - ended < AFTER
}

/// The Unix time of a log's line, such as `2026-12-01T22:45:50.576671Z`.
fn unix(text: &str) -> Option<f64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let date: Vec<i64> = date
        .split('-')
        .map(str::parse)
        .collect::<Result<_, _>>()
        .ok()?;
    let time: Vec<f64> = time
        .split(':')
        .map(str::parse)
        .collect::<Result<_, _>>()
        .ok()?;
    let ([year, month, day], [hour, minute, second]) = (&date[..], &time[..]) else {
        return None;
    };
    // Days from 1970 in the proleptic calendar, years beginning in March.
    let (y, m) = if *month <= 2 {
        (year - 1, month + 9)
    } else {
        (*year, month - 3)
    };
    let days =
        365 * y + y.div_euclid(4) - y.div_euclid(100) + y.div_euclid(400) + (153 * m + 2) / 5 + day
            - 719_469;
    Some(days as f64 * 86_400.0 + hour * 3600.0 + minute * 60.0 + second)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn note(at: f64, what: &str) -> (f64, Event) {
        (at, Event::Note(what.into()))
    }

    fn asked(at: f64, id: &str, node: usize) -> (f64, Event) {
        (at, Event::Asked(id.into(), node))
    }

    fn answered(at: f64, id: &str, status: Option<u16>, sound: bool) -> (f64, Event) {
        (at, Event::Answered(id.into(), status, sound))
    }

    /// Guards against a check that passes whatever the history holds.
    #[test]
    fn broken_histories_are_told_with_their_step() {
        let cases: Vec<(&str, Vec<(f64, Event)>)> = vec![
            (
                "one final answer",
                vec![
                    asked(1.0, "a", 0),
                    answered(2.0, "a", Some(200), true),
                    answered(3.0, "a", Some(502), true),
                ],
            ),
            (
                "no body that no worker made",
                vec![asked(1.0, "a", 0), answered(2.0, "a", Some(200), false)],
            ),
            (
                "an answer has a question",
                vec![answered(2.0, "a", Some(200), true)],
            ),
            (
                "ids are a client's own",
                vec![asked(1.0, "a", 0), asked(1.5, "a", 1)],
            ),
            (
                "who serves on answers",
                vec![
                    note(0.5, "kill 1"),
                    asked(1.0, "a", 0),
                    answered(2.0, "a", None, true),
                ],
            ),
            (
                "who serves on answers",
                vec![
                    note(0.5, "kill 0"),
                    asked(3.0, "a", 0),
                    answered(4.0, "a", None, true),
                ],
            ),
            (
                "a final word for all",
                vec![note(0.1, "heal"), asked(1.0, "a", 0)],
            ),
            (
                "no more runs than its class allows",
                vec![(1.0, Event::Ran("k".into(), 2))],
            ),
        ];
        for (promise, events) in cases {
            let broken = answers(&History::of(0.0, events.clone()), 1).expect_err(promise);
            assert_eq!(broken.promise, promise, "{events:?}");
        }
        let sound = vec![
            asked(1.0, "a", 0),
            note(1.5, "kill 0"),
            answered(2.0, "a", None, true),
            asked(2.5, "b", 1),
            answered(3.0, "b", Some(503), true),
            (3.0, Event::Ran("k".into(), 1)),
        ];
        assert_eq!(answers(&History::of(0.0, sound), 1), Ok(()));
    }

    /// Guards against a blame without cause that is passed over, and one with a cause that is not.
    #[test]
    fn a_blame_without_cause_is_told_with_its_line() {
        let start = unix("2026-12-01T22:45:50.5Z").expect("a time");
        assert_eq!(unix("1970-01-02T00:00:01.25Z"), Some(86_401.25));
        assert_eq!(unix("2024-03-01T00:00:00Z"), Some(1_709_251_200.0));
        let log = "2026-12-01T22:45:51.000000Z  INFO x: joining the cluster\n\
                   2026-12-01T22:46:00.500000Z  WARN x: peer failed name=\"n2\" address=127.0.0.1:1\n";
        let logs = [(0, "n0/log".to_owned(), log.to_owned())];
        let check = |events: Vec<(f64, Event)>| blame(&History::of(start, events), &logs);
        let broken = check(vec![note(1.0, "kill 1")]).expect_err("no cause");
        assert_eq!(
            (broken.at, broken.place),
            (10.0, Some(("n0/log".into(), 2)))
        );
        assert_eq!(broken.step, "kill 1");
        for (cause, innocent) in [
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
            assert_eq!(check(vec![note(8.0, cause)]).is_err(), innocent, "{cause}");
        }
        let over = |ended: f64, end: &str| {
            check(vec![note(-40.0, "isolate 2"), note(ended, end)]).is_err()
        };
        assert!(!over(5.0, "heal") && over(-5.0, "heal") && !over(-5.0, "suspend 0 1"));
        assert!(check(vec![note(-40.0, "kill 2"), note(-5.0, "start 2")]).is_err());
        assert!(
            check(vec![note(10.5, "kill 2")]).is_err(),
            "a cause comes before"
        );
    }
}

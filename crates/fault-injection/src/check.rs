//! Checks a history and the nodes' logs after the fact, and names the first violation of a promise.

pub use crate::failure_reports::{NodeLog, check_failure_reports, parse_log_time};

use crate::{Event, History, HistoryEntry, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long before a request a fault of its node still explains that the connection ended, in
/// seconds: the node may have been back for less than that.
const FAULT_MARGIN_SECONDS: f64 = 1.0;

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogPosition {
    /// The log's path.
    pub path: String,
    /// The line's number, from 1 on.
    pub line: usize,
}

/// A promise that was violated.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// When it was violated, in seconds from the history's start.
    pub at_seconds: f64,
    /// What was seen.
    pub seen: String,
    /// The latest step before it.
    pub step: String,
    /// Where it was seen, if in a log.
    pub position: Option<LogPosition>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at {:.3} s: {}: {}; the step before: {}",
            self.at_seconds, self.promise, self.seen, self.step
        )?;
        match &self.position {
            Some(LogPosition { path, line }) => write!(f, "; {path}:{line}"),
            None => Ok(()),
        }
    }
}

/// Returns the text of the latest step or note up to this time.
pub(crate) fn step_before(entries: &[HistoryEntry], at_seconds: f64) -> String {
    let notes = entries
        .iter()
        .take_while(|entry| entry.at_seconds <= at_seconds)
        .filter_map(|entry| match &entry.event {
            Event::Note(text) => Some(text.as_str()),
            _ => None,
        });
    notes.last().unwrap_or("none").to_owned()
}

/// Checks what clients and workers saw:
///
/// - each request has one response;
/// - a response that claims to be a worker's is one;
/// - a node that wasn't killed, paused or shut down since it got a request responds to it;
/// - no request runs more often than `max_run_count` times.
///
/// # Errors
///
/// The first violation.
pub fn check_responses(history: &History, max_run_count: u32) -> Result<(), Violation> {
    let entries = history.entries();
    let mut check = ResponseCheck {
        max_run_count,
        sent: BTreeMap::new(),
        answered: BTreeSet::new(),
        last_faults: BTreeMap::new(),
    };
    let result = entries
        .iter()
        .try_for_each(|entry| check.apply(entry))
        .and_then(|()| check.finish());
    result.map_err(|broken| Violation {
        promise: broken.promise,
        at_seconds: broken.at_seconds,
        seen: broken.seen,
        step: step_before(&entries, broken.at_seconds),
        position: None,
    })
}

/// A violation without the step before it.
struct BrokenPromise {
    promise: &'static str,
    at_seconds: f64,
    seen: String,
}

/// A request that a client has sent.
struct SentRequest {
    at_seconds: f64,
    node: usize,
}

/// What [`check_responses`] knows up to an entry of the history.
struct ResponseCheck {
    max_run_count: u32,
    /// The requests by their ids.
    sent: BTreeMap<String, SentRequest>,
    /// The ids of the requests that have a response.
    answered: BTreeSet<String>,
    /// When each node was last killed, started, paused or resumed, in seconds.
    last_faults: BTreeMap<usize, f64>,
}

impl BrokenPromise {
    fn new(promise: &'static str, at_seconds: f64, seen: String) -> Self {
        Self {
            promise,
            at_seconds,
            seen,
        }
    }
}

impl ResponseCheck {
    fn apply(&mut self, entry: &HistoryEntry) -> Result<(), BrokenPromise> {
        let at_seconds = entry.at_seconds;
        match &entry.event {
            Event::Note(text) => {
                self.apply_note(at_seconds, text);
                Ok(())
            }
            Event::RequestSent { id, node } => self.apply_sent(at_seconds, id, *node),
            Event::ResponseReceived {
                id,
                status,
                plausible: true,
            } => self.apply_response(at_seconds, id, *status),
            Event::ResponseReceived {
                id,
                status,
                plausible: false,
            } => self.apply_implausible_response(at_seconds, id, *status),
            Event::RequestRun { key, run_count } => self.apply_run(at_seconds, key, *run_count),
        }
    }

    fn apply_note(&mut self, at_seconds: f64, text: &str) {
        if let Ok(Step::Kill(node) | Step::Start(node) | Step::Pause(node) | Step::Wake(node)) =
            text.parse()
        {
            self.last_faults.insert(node, at_seconds);
        }
    }

    fn apply_sent(&mut self, at_seconds: f64, id: &str, node: usize) -> Result<(), BrokenPromise> {
        let request = SentRequest { at_seconds, node };
        match self.sent.insert(id.to_owned(), request) {
            Some(_) => {
                let seen = format!("{id} asked twice");
                Err(BrokenPromise::new(
                    "ids are a client's own",
                    at_seconds,
                    seen,
                ))
            }
            None => Ok(()),
        }
    }

    /// Checks that this is the only response, and to a request that was sent; returns the request.
    fn apply_answer(&mut self, at_seconds: f64, id: &str) -> Result<&SentRequest, BrokenPromise> {
        let Some(request) = self.sent.get(id) else {
            let seen = format!("{id} was not asked");
            return Err(BrokenPromise::new(
                "an answer has a question",
                at_seconds,
                seen,
            ));
        };
        if !self.answered.insert(id.to_owned()) {
            let seen = format!("{id} answered twice");
            return Err(BrokenPromise::new("one final answer", at_seconds, seen));
        }
        Ok(request)
    }

    fn apply_implausible_response(
        &mut self,
        at_seconds: f64,
        id: &str,
        status: Option<u16>,
    ) -> Result<(), BrokenPromise> {
        self.apply_answer(at_seconds, id)?;
        let seen = format!("{id}: {status:?}");
        Err(BrokenPromise::new(
            "no body that no worker made",
            at_seconds,
            seen,
        ))
    }

    fn apply_response(
        &mut self,
        at_seconds: f64,
        id: &str,
        status: Option<u16>,
    ) -> Result<(), BrokenPromise> {
        let request = self.apply_answer(at_seconds, id)?;
        let node = request.node;
        let earliest_fault = request.at_seconds - FAULT_MARGIN_SECONDS;
        let last_fault = self.last_faults.get(&node);
        if status.is_none() && last_fault.is_none_or(|last| *last < earliest_fault) {
            let seen = format!("{id} broken off by n{node}");
            return Err(BrokenPromise::new(
                "who serves on answers",
                at_seconds,
                seen,
            ));
        }
        Ok(())
    }

    fn apply_run(&self, at_seconds: f64, key: &str, run_count: u32) -> Result<(), BrokenPromise> {
        if run_count <= self.max_run_count {
            return Ok(());
        }
        let seen = format!("{key} run {run_count} times");
        let promise = "no more runs than its class allows";
        Err(BrokenPromise::new(promise, at_seconds, seen))
    }

    /// Checks that all requests have a response.
    fn finish(&self) -> Result<(), BrokenPromise> {
        let mut sent = self.sent.iter();
        match sent.find(|(id, _)| !self.answered.contains(*id)) {
            Some((id, request)) => {
                let seen = format!("{id} at n{} has none", request.node);
                Err(BrokenPromise::new(
                    "a final word for all",
                    request.at_seconds,
                    seen,
                ))
            }
            None => Ok(()),
        }
    }
}

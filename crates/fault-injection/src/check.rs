//! Checks a recorded history and the nodes' logs, and reports the first violation of a guarantee.

pub use crate::failure_reports::{NodeLog, check_failure_reports, parse_log_time};

use crate::{Event, History, HistoryEntry, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How long before a request a fault of its node still explains a closed connection, in seconds: a
/// node that came back this recently may still close connections.
const FAULT_MARGIN_SECONDS: f64 = 1.0;

/// A line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogPosition {
    /// The log's path.
    pub path: String,
    /// The line's number, from 1 on.
    pub line: usize,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// When it was violated, in seconds from the history's start.
    pub at_seconds: f64,
    /// What was observed.
    pub observed: String,
    /// The latest step or note before it.
    pub step: String,
    /// The log line that shows it, if any.
    pub position: Option<LogPosition>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at {:.3} s: {}: {}; preceding step: {}",
            self.at_seconds, self.guarantee, self.observed, self.step
        )?;
        match &self.position {
            Some(LogPosition { path, line }) => write!(f, "; {path}:{line}"),
            None => Ok(()),
        }
    }
}

/// Returns the text of the latest step or note up to this time.
pub(crate) fn preceding_step(entries: &[HistoryEntry], at_seconds: f64) -> String {
    let notes = entries
        .iter()
        .take_while(|entry| entry.at_seconds <= at_seconds)
        .filter_map(|entry| match &entry.event {
            Event::Note(text) => Some(text.as_str()),
            _ => None,
        });
    notes.last().unwrap_or("none").to_owned()
}

/// Checks the observations of clients and workers:
///
/// - each request has exactly one response;
/// - each response body comes from a worker or from the node itself;
/// - a node that wasn't killed, started, paused or resumed shortly before or after it received a
///   request responds to it;
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
    result.map_err(|violation| Violation {
        guarantee: violation.guarantee,
        at_seconds: violation.at_seconds,
        observed: violation.observed,
        step: preceding_step(&entries, violation.at_seconds),
        position: None,
    })
}

/// A violation whose preceding step hasn't been looked up yet.
struct PartialViolation {
    guarantee: &'static str,
    at_seconds: f64,
    observed: String,
}

/// A request that a client has sent.
struct SentRequest {
    at_seconds: f64,
    node: usize,
}

/// State of [`check_responses`] after the entries that have been checked so far.
struct ResponseCheck {
    max_run_count: u32,
    /// The requests by their ids.
    sent: BTreeMap<String, SentRequest>,
    /// The ids of the requests that have a response.
    answered: BTreeSet<String>,
    /// When each node was last killed, started, paused or resumed, in seconds.
    last_faults: BTreeMap<usize, f64>,
}

impl PartialViolation {
    fn new(guarantee: &'static str, at_seconds: f64, observed: String) -> Self {
        Self {
            guarantee,
            at_seconds,
            observed,
        }
    }
}

impl ResponseCheck {
    fn apply(&mut self, entry: &HistoryEntry) -> Result<(), PartialViolation> {
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

    fn apply_sent(
        &mut self,
        at_seconds: f64,
        id: &str,
        node: usize,
    ) -> Result<(), PartialViolation> {
        let request = SentRequest { at_seconds, node };
        match self.sent.insert(id.to_owned(), request) {
            Some(_) => {
                let observed = format!("{id} sent twice");
                Err(PartialViolation::new(
                    "each request id is sent once",
                    at_seconds,
                    observed,
                ))
            }
            None => Ok(()),
        }
    }

    /// Checks that this is the first response to a request that was sent; returns the request.
    fn record_response(
        &mut self,
        at_seconds: f64,
        id: &str,
    ) -> Result<&SentRequest, PartialViolation> {
        let Some(request) = self.sent.get(id) else {
            let observed = format!("{id} was not sent");
            return Err(PartialViolation::new(
                "every response belongs to a request",
                at_seconds,
                observed,
            ));
        };
        if !self.answered.insert(id.to_owned()) {
            let observed = format!("{id} answered twice");
            return Err(PartialViolation::new(
                "a request has at most one response",
                at_seconds,
                observed,
            ));
        }
        Ok(request)
    }

    fn apply_implausible_response(
        &mut self,
        at_seconds: f64,
        id: &str,
        status: Option<u16>,
    ) -> Result<(), PartialViolation> {
        self.record_response(at_seconds, id)?;
        let observed = format!("{id}: {status:?}");
        Err(PartialViolation::new(
            "every response body comes from a worker or a node",
            at_seconds,
            observed,
        ))
    }

    fn apply_response(
        &mut self,
        at_seconds: f64,
        id: &str,
        status: Option<u16>,
    ) -> Result<(), PartialViolation> {
        let request = self.record_response(at_seconds, id)?;
        let node = request.node;
        let earliest_fault = request.at_seconds - FAULT_MARGIN_SECONDS;
        let last_fault = self.last_faults.get(&node);
        if status.is_none() && last_fault.is_none_or(|last| *last < earliest_fault) {
            let observed = format!("n{node} closed the connection of {id} without a response");
            return Err(PartialViolation::new(
                "a running node responds to its requests",
                at_seconds,
                observed,
            ));
        }
        Ok(())
    }

    fn apply_run(
        &self,
        at_seconds: f64,
        key: &str,
        run_count: u32,
    ) -> Result<(), PartialViolation> {
        if run_count <= self.max_run_count {
            return Ok(());
        }
        let observed = format!("{key} run {run_count} times");
        let guarantee = "a request runs no more often than its class allows";
        Err(PartialViolation::new(guarantee, at_seconds, observed))
    }

    /// Checks that all requests have a response.
    fn finish(&self) -> Result<(), PartialViolation> {
        let mut sent = self.sent.iter();
        match sent.find(|(id, _)| !self.answered.contains(*id)) {
            Some((id, request)) => {
                let observed = format!("{id}, sent to n{}, has no response", request.node);
                Err(PartialViolation::new(
                    "every request has a response",
                    request.at_seconds,
                    observed,
                ))
            }
            None => Ok(()),
        }
    }
}

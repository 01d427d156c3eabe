//! Checks the failure reports in the nodes' logs: each must be caused by a fault in the history.

use crate::check::{LogPosition, Violation, preceding_step};
use crate::{Event, History, HistoryEntry, Step};
use std::collections::BTreeMap;

/// How long after the end of a fault nodes may still report a failure for it, in seconds: detection
/// takes time, and datagrams may still be in transit.
const DETECTION_MARGIN_SECONDS: f64 = 10.0;
/// The text before the index of the failed node in the log line that reports it.
const REPORT_PREFIX: &str = "peer failed name=\"n";

/// The log of a node.
#[derive(Clone, Debug)]
pub struct NodeLog {
    /// The index of the node.
    pub node: usize,
    /// The log's path, for error messages.
    pub path: String,
    /// The content of the log.
    pub text: String,
}

/// A log line in which a node reports another as failed.
struct FailureReport {
    at_seconds: f64,
    reporter: usize,
    failed: usize,
    position: LogPosition,
}

/// Checks that every failure report has a cause: the reporting or the reported node was killed or
/// paused, or a link was partitioned or lost datagrams.
///
/// # Errors
///
/// The earliest report without a cause.
pub fn check_failure_reports(history: &History, logs: &[NodeLog]) -> Result<(), Violation> {
    let entries = history.entries();
    let mut first: Option<FailureReport> = None;
    for report in logs.iter().flat_map(|log| failure_reports(history, log)) {
        let is_first = first
            .as_ref()
            .is_none_or(|first| report.at_seconds < first.at_seconds);
        if is_first && !has_cause(&entries, &report) {
            first = Some(report);
        }
    }
    match first {
        None => Ok(()),
        Some(report) => Err(Violation {
            guarantee: "every failure report has a cause",
            at_seconds: report.at_seconds,
            observed: format!("n{} reports n{} as failed", report.reporter, report.failed),
            step: preceding_step(&entries, report.at_seconds),
            position: Some(report.position),
        }),
    }
}

/// Returns the failure reports in a log.
fn failure_reports(history: &History, log: &NodeLog) -> Vec<FailureReport> {
    let report = |(index, line): (usize, &str)| {
        let (before, after) = line.split_once(REPORT_PREFIX)?;
        let failed = after.split('"').next()?.parse().ok()?;
        let unix_seconds = parse_log_time(before.split_whitespace().next()?)?;
        Some(FailureReport {
            at_seconds: history.seconds_since_start(unix_seconds),
            reporter: log.node,
            failed,
            position: LogPosition {
                path: log.path.clone(),
                line: index + 1,
            },
        })
    };
    log.text.lines().enumerate().filter_map(report).collect()
}

/// Whether a fault in the history explains the report.
fn has_cause(entries: &[HistoryEntry], report: &FailureReport) -> bool {
    let at_seconds = report.at_seconds;
    // The time until which each node was down; infinite while it still is.
    let mut down_until: BTreeMap<usize, f64> = BTreeMap::new();
    let mut links_faulty = false;
    let mut link_faults_ended = f64::NEG_INFINITY;
    let before = entries
        .iter()
        .take_while(|entry| entry.at_seconds <= at_seconds);
    for entry in before {
        let Event::Note(text) = &entry.event else {
            continue;
        };
        match text.parse::<Step>() {
            Ok(Step::Kill(node) | Step::Pause(node)) => {
                down_until.insert(node, f64::INFINITY);
            }
            Ok(Step::Start(node) | Step::Wake(node)) => {
                down_until.insert(node, entry.at_seconds);
            }
            Ok(Step::Cut { .. } | Step::Isolate(_)) => links_faulty = true,
            Ok(Step::Loss { percent }) if percent > 0 => links_faulty = true,
            Ok(Step::Heal | Step::Loss { .. }) if links_faulty => {
                links_faulty = false;
                link_faults_ended = entry.at_seconds;
            }
            _ => {}
        }
    }
    let was_down = |node: usize| {
        down_until
            .get(&node)
            .is_some_and(|until| at_seconds - *until < DETECTION_MARGIN_SECONDS)
    };
    // A fault of any link counts: gossip can carry a wrong suspicion from other nodes to the
    // reporting one.
    was_down(report.reporter)
        || was_down(report.failed)
        || links_faulty
        || at_seconds - link_faults_ended < DETECTION_MARGIN_SECONDS
}

/// Parses the timestamp of a log line, such as `2026-12-01T22:45:50.576671Z`, to a Unix time in
/// seconds; `None` if the text is not a timestamp.
pub fn parse_log_time(text: &str) -> Option<f64> {
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
    let [year, month, day] = date[..] else {
        return None;
    };
    let [hour, minute, second] = time[..] else {
        return None;
    };
    Some(
        days_since_epoch(year, month, day) as f64 * 86_400.0
            + hour * 3600.0
            + minute * 60.0
            + second,
    )
}

/// Returns the number of days from 1 January 1970 in the proleptic Gregorian calendar.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    // Years are counted from March, so that the leap day is the last day of a year.
    let (year, month) = if month <= 2 {
        (year - 1, month + 9)
    } else {
        (year, month - 3)
    };
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    let days_of_months = (153 * month + 2) / 5;
    365 * year + leap_days + days_of_months + day - 719_469
}

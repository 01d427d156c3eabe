//! Structured logs on standard error.
//!
//! A dedicated thread writes the lines, so that logging never blocks an event loop when the reader
//! of standard error is slow. Lines are dropped when the queue is full.

use serde::Deserialize;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Capacity of the queue of lines to be written.
const MAX_QUEUED_LINES: usize = 16_384;

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The section `log` of the operator's configuration file.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields, expecting = "the object `log`")]
pub struct LogSection {
    /// `text` or `json`.
    pub format: Format,
    /// Levels by module, such as `info,postproxy::net::upstream::worker_list=debug`. Requests have
    /// spans at `debug`.
    pub levels: String,
}

impl Default for LogSection {
    fn default() -> Self {
        Self {
            format: Format::default(),
            levels: "info".into(),
        }
    }
}

impl LogSection {
    /// Checks the levels.
    ///
    /// # Errors
    ///
    /// A message that contains the levels, if they can't be parsed.
    pub fn validate(&self) -> Result<(), String> {
        parse_levels(&self.levels).map(|_| ())
    }
}

fn parse_levels(levels: &str) -> Result<EnvFilter, String> {
    EnvFilter::builder()
        .parse(levels)
        .map_err(|error| format!("'{levels}' is not a valid list of log levels: {error}"))
}

/// Sends all logs of this process to standard error until the guard is dropped. Dropping it flushes
/// the queue.
///
/// # Errors
///
/// If the levels can't be parsed, or logging was already started.
pub fn start(section: &LogSection) -> Result<WorkerGuard, String> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .thread_name("postproxy-logs")
        .finish(std::io::stderr());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(parse_levels(&section.levels)?)
        .with_span_events(FmtSpan::CLOSE)
        .with_ansi(false)
        .with_writer(writer);
    let started = match section.format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map(|()| guard).map_err(|error| error.to_string())
}

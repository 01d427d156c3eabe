//! Structured logs on standard error. Lines are written by a thread of their own: a loop that logs never waits
//! for whoever reads, and what a full queue has no room for is left out.

use serde::Deserialize;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::FmtSpan;

/// Lines that wait to be written at most.
const QUEUED: usize = 16_384;

/// How a line looks.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// An object a line.
    Json,
}

/// The operator's section on logs.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// `text` or `json`.
    pub format: Format,
    /// Levels by module, such as `info,postproxy::net::upstream::worker_list=debug`. Requests have spans at `debug`.
    pub levels: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: Format::default(),
            levels: "info".into(),
        }
    }
}

impl Log {
    /// Says what is wrong with the levels.
    ///
    /// # Errors
    ///
    /// Names the part that is no directive.
    pub fn check(&self) -> Result<(), String> {
        filter(&self.levels).map(|_| ())
    }
}

fn filter(levels: &str) -> Result<EnvFilter, String> {
    EnvFilter::builder()
        .parse(levels)
        .map_err(|error| format!("'{levels}' names no levels: {error}"))
}

/// Has all that this program logs go to standard error, until the guard is dropped: then what is queued is
/// written.
///
/// # Errors
///
/// If the levels can't be read, or logs were started before.
pub fn start(log: &Log) -> Result<WorkerGuard, String> {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUED)
        .lossy(true)
        .thread_name("postproxy-logs")
        .finish(std::io::stderr());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter(&log.levels)?)
        .with_span_events(FmtSpan::CLOSE)
        .with_ansi(false)
        .with_writer(writer);
    let started = match log.format {
        Format::Text => builder.try_init(),
        Format::Json => builder.json().flatten_event(true).try_init(),
    };
    started.map(|()| guard).map_err(|error| error.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a start with levels that say nothing, and against a message without the word at fault.
    #[test]
    fn levels_are_checked() {
        let log = |levels: &str| Log {
            levels: levels.into(),
            ..Log::default()
        };
        assert_eq!(
            log("warn,postproxy::net::upstream::worker_list=debug").check(),
            Ok(())
        );
        let error = log("info,postproxy=lound").check().expect_err("no level");
        assert!(error.contains("lound"), "{error}");
    }
}

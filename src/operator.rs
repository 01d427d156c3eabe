//! The operator's own file: JSON, a section for each part of the program that can be switched on. A part whose
//! section is absent is off. A name that is not known is refused with the nearest one that is.

use crate::logs::Log;
use postproxy_ledger::Limits;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt;

/// All sections.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Logs.
    pub log: Log,
    /// What is kept of jobs beyond the node's life.
    pub store: Option<StoreSection>,
}

/// The section on what is kept.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    /// The folder; it is made if it is not there.
    pub folder: String,
    /// A second folder that holds the same, best on another disk.
    #[serde(default)]
    pub mirror: Option<String>,
    /// Size of a segment, in MiB.
    #[serde(default = "segment_mb")]
    pub segment_mb: u64,
    /// What all files may come to, in MiB; 0 for no limit.
    #[serde(default)]
    pub most_mb: u64,
    /// Whether the intents of keyed classes must be durable, too, before they are sent.
    #[serde(default)]
    pub keyed_durable: bool,
    /// How long an intent may take to become durable, in milliseconds, before its job is refused.
    #[serde(default = "patience_ms")]
    pub patience_ms: u64,
    /// How long a job is kept after its last change, in seconds.
    #[serde(default = "retention_s")]
    pub retention_s: f64,
    /// The same for classes of these names.
    #[serde(default)]
    pub retention_of_s: HashMap<String, f64>,
    /// The longest result that is kept, in KiB.
    #[serde(default = "result_kb")]
    pub result_kb: usize,
    /// How many jobs are kept at most.
    #[serde(default = "most_jobs")]
    pub most_jobs: usize,
    /// For trials: every sync takes so many milliseconds longer, as on a slow disk.
    #[serde(default)]
    pub sync_delay_ms: u64,
}

fn segment_mb() -> u64 {
    16
}

fn patience_ms() -> u64 {
    500
}

fn retention_s() -> f64 {
    3600.0
}

fn result_kb() -> usize {
    64
}

fn most_jobs() -> usize {
    1_000_000
}

impl StoreSection {
    /// The store in these folders, all else as by default.
    pub fn of(folder: &str, mirror: Option<&str>) -> Self {
        Self {
            folder: folder.to_owned(),
            mirror: mirror.map(str::to_owned),
            segment_mb: segment_mb(),
            most_mb: 0,
            keyed_durable: false,
            patience_ms: patience_ms(),
            retention_s: retention_s(),
            retention_of_s: HashMap::new(),
            result_kb: result_kb(),
            most_jobs: most_jobs(),
            sync_delay_ms: 0,
        }
    }

    /// What the ledger keeps to.
    pub fn limits(&self) -> Limits {
        Limits {
            retention: self.retention_s,
            retention_of: self.retention_of_s.clone(),
            result: self.result_kb << 10,
            jobs: self.most_jobs,
        }
    }

    fn check(&self) -> Result<(), Problem> {
        let wrong = |path: &str, what: &str| Err(Problem { path: path.into(), what: what.into() });
        if self.folder.is_empty() {
            return wrong("store.folder", "names no folder");
        }
        if self.mirror.as_ref() == Some(&self.folder) {
            return wrong("store.mirror", "is the same folder as store.folder");
        }
        if !(1..=1024).contains(&self.segment_mb) {
            return wrong("store.segment_mb", "must be between 1 and 1024");
        }
        if self.most_mb > 0 && self.most_mb < 4 * self.segment_mb {
            return wrong("store.most_mb", "must be 0, or at least four times store.segment_mb");
        }
        if self.patience_ms == 0 || self.most_jobs == 0 {
            return wrong("store", "patience_ms and most_jobs must be above 0");
        }
        let sound = |seconds: &f64| seconds.is_finite() && (1.0..=1e8).contains(seconds);
        if !sound(&self.retention_s) {
            return wrong("store.retention_s", "must be between 1 and 1e8");
        }
        match self.retention_of_s.iter().find(|(_, seconds)| !sound(seconds)) {
            Some((class, _)) => wrong(&format!("store.retention_of_s.{class}"), "must be between 1 and 1e8"),
            None => Ok(()),
        }
    }
}

/// What is wrong with an operator's file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The way to the value at fault, such as `store.retention`; `.` for the whole document.
    pub path: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

impl std::error::Error for Problem {}

impl Operator {
    /// Reads the sections.
    ///
    /// # Errors
    ///
    /// The first problem, with its place.
    pub fn from_json(text: &str) -> Result<Self, Problem> {
        let mut json = serde_json::Deserializer::from_str(text);
        let operator: Self = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let path = error.path().to_string().replace('?', ".");
            let what = error.inner().to_string();
            Problem { path, what: nearest(&what).unwrap_or(what) }
        })?;
        json.end().map_err(|error| Problem { path: ".".into(), what: error.to_string() })?;
        operator.check()?;
        Ok(operator)
    }

    /// Reads the file of this path.
    ///
    /// # Errors
    ///
    /// A message that begins with the path.
    pub fn from_file(path: &str) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("reading {path}: {error}"))?;
        Self::from_json(&text).map_err(|problem| format!("{path}: {problem}"))
    }

    fn check(&self) -> Result<(), Problem> {
        self.log.check().map_err(|what| Problem { path: "log.levels".into(), what })?;
        self.store.as_ref().map_or(Ok(()), StoreSection::check)
    }
}

/// A message of serde's on an unknown name, with the nearest known one in place of the whole list.
fn nearest(message: &str) -> Option<String> {
    let rest =
        message.strip_prefix("unknown field `").or_else(|| message.strip_prefix("unknown variant `"))?;
    let (name, rest) = rest.split_once('`')?;
    let known = rest.split('`').skip(1).step_by(2);
    let near =
        known.max_by(|a, b| strsim::jaro_winkler(name, a).total_cmp(&strsim::jaro_winkler(name, b)))?;
    let place = message.rfind(" at line ").map_or("", |at| &message[at..]);
    Some(format!("'{name}' is not known here; the nearest name is '{near}'{place}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a section that is passed over for a slip of the pen, and against an error without place.
    #[test]
    fn what_is_unknown_is_refused_with_its_place_and_the_nearest_name() {
        let cases = [
            (r#"{"lgo": {}}"#, "lgo", "'lgo' is not known here; the nearest name is 'log' at line 1"),
            (r#"{"log": {"level": "info"}}"#, "log.level", "nearest name is 'levels'"),
            (r#"{"log": {"format": "jsn"}}"#, "log.format", "nearest name is 'json'"),
            (r#"{"log": {"levels": 3}}"#, "log.levels", "invalid type"),
            (r#"{"log": {"levels": "a=b"}}"#, "log.levels", "names no levels"),
            (r#"{"log": {}"#, ".", "EOF"),
            (r#"{"store": {"folder": "a", "retntion_s": 3}}"#, "store.retntion_s", "'retention_s'"),
            (r#"{"store": {}}"#, "store", "missing field `folder`"),
            (r#"{"store": {"folder": "a", "mirror": "a"}}"#, "store.mirror", "same folder"),
            (r#"{"store": {"folder": "a", "most_mb": 20}}"#, "store.most_mb", "four times"),
            (
                r#"{"store": {"folder": "a", "retention_of_s": {"x": 0}}}"#,
                "store.retention_of_s.x",
                "between",
            ),
            (r#"{} {}"#, ".", "trailing"),
        ];
        for (text, path, what) in cases {
            let problem = Operator::from_json(text).expect_err(text);
            assert!(problem.what.contains(what), "{text}: {problem}");
            assert_eq!(problem.path, path, "{text}");
        }
    }

    /// Guards against parts that are on without having been asked for.
    #[test]
    fn absent_sections_are_off() {
        assert_eq!(Operator::from_json("{}"), Ok(Operator::default()));
    }
}

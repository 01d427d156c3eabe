//! The operator's own file: JSON, a section for each part of the program that can be switched on. A part whose
//! section is absent is off. A name that is not known is refused with the nearest one that is.

use crate::logs::Log;
use serde::Deserialize;
use std::fmt;

/// All sections.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Logs.
    pub log: Log,
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
        self.log.check().map_err(|what| Problem { path: "log.levels".into(), what })
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

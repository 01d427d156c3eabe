//! Errors of the operator's configuration file.

use std::fmt;

/// An error in an operator's configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorConfigError {
    /// The path of the invalid value, such as `store.retention_s`; `.` for the whole document.
    pub path: String,
    /// What is wrong with the value.
    pub message: String,
}

impl OperatorConfigError {
    /// Returns an error in the value at `path`.
    pub(super) fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl std::error::Error for OperatorConfigError {}

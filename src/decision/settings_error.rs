//! Errors in the settings of a dispatcher.

use std::fmt;

/// An error in the settings of a dispatcher.
#[derive(Debug)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is not valid JSON, or the value of a key has the wrong type. Includes the key's
    /// path.
    Json(serde_path_to_error::Error<serde_json::Error>),
    /// The value of a key is not one of the allowed keywords. There is no default for it, since its
    /// meaning must not be guessed.
    UnknownKeyword {
        /// The key's path.
        path: String,
        /// The value.
        found: String,
        /// The allowed keywords.
        want: &'static str,
    },
    /// The value of a key is out of range.
    Range {
        /// The key.
        key: &'static str,
        /// A description of valid values.
        want: &'static str,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Json(error) => match error.path().to_string().as_str() {
                "." => write!(f, "settings: {}", error.inner()),
                path => write!(f, "settings.{path}: {}", error.inner()),
            },
            Self::UnknownKeyword { path, found, want } => {
                write!(f, "settings.{path} must be one of {want}, but is {found:?}")
            }
            Self::Range { key, want } => write!(f, "settings.{key} must be {want}"),
        }
    }
}

impl std::error::Error for SettingsError {}

postproxy_diagnostics::diagnostics! { SettingsError, REMEDIES:
    SettingsError::Json(_) => "settings.malformed",
        "correct the value of the named key, then start the node or signal it to reload its \
         settings";
    SettingsError::UnknownKeyword { .. } => "settings.word",
        "set the named key to one of the listed values, then start the node or signal it to reload \
         its settings";
    SettingsError::Range { .. } => "settings.range",
        "set the named key to a valid value, then start the node or signal it to reload its \
         settings";
}

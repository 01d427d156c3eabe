//! Settings that no dispatcher can work with.

use std::fmt;

/// Settings that no dispatcher can work with.
#[derive(Debug)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is not JSON, or a key has a value of the wrong type; with the key's path.
    Json(serde_path_to_error::Error<serde_json::Error>),
    /// A key has a word that says nothing here; what it would stand for must not be guessed.
    Word {
        /// The key's path.
        path: String,
        /// The word.
        found: String,
        /// The words that there are.
        want: &'static str,
    },
    /// A key has a value outside of its range.
    Range {
        /// The key.
        key: &'static str,
        /// What it must be.
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
            Self::Word { path, found, want } => {
                write!(f, "settings.{path} must be one of {want}, and is {found:?}")
            }
            Self::Range { key, want } => write!(f, "settings.{key} must be {want}"),
        }
    }
}

impl std::error::Error for SettingsError {}

postproxy_diagnostics::diagnostics! { SettingsError, REMEDIES:
    SettingsError::Json(_) => "settings.malformed",
        "correct the value at the key that is named, and start the node or signal it to reload \
         again";
    SettingsError::Word { .. } => "settings.word",
        "give the key that is named one of the words that are listed, and start the node or signal \
         it to reload again";
    SettingsError::Range { .. } => "settings.range",
        "give the key that is named a value as it must be, and start the node or signal it to \
         reload again";
}

//! Errors that say what an operator can do. Each has a stable code, such as `duties.no_majority`, and a remedy in plain words;
//! the operators' door, the log and `check` show both. `docs/operate/errors.md` lists them all.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::{Deserialize, Serialize};

/// An error with a remedy.
pub trait Diagnostic: std::error::Error {
    /// What it is about, and a word for it: `SUBJECT.WORD`. It never changes.
    fn code(&self) -> &'static str;

    /// What an operator can do.
    fn remedy(&self) -> &'static str;

    /// As it is shown.
    fn told(&self) -> ErrorBody {
        let code = self.code();
        ErrorBody {
            error: code.split('.').next().unwrap_or_default().to_owned(),
            code: code.to_owned(),
            what: self.to_string(),
            remedy: self.remedy().to_owned(),
        }
    }
}

/// An error as the door shows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// What it is about.
    pub error: String,
    /// Its code.
    pub code: String,
    /// What is wrong.
    pub what: String,
    /// What an operator can do.
    pub remedy: String,
}

/// Gives an error type its codes and remedies, each pattern with its own, and a constant of this name that lists them all.
#[macro_export]
macro_rules! diagnostics {
    ($type:ty, $all:ident: $($pattern:pat => $code:literal, $remedy:literal;)+) => {
        impl $crate::Diagnostic for $type {
            fn code(&self) -> &'static str {
                match self {
                    $($pattern => $code,)+
                }
            }

            fn remedy(&self) -> &'static str {
                match self {
                    $($pattern => $remedy,)+
                }
            }
        }

        /// All codes of this type, each with what an operator can do.
        pub const $all: &[(&str, &str)] = &[$(($code, $remedy)),+];
    };
}

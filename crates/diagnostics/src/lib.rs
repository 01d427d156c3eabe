//! Diagnostics: errors with a stable code, such as `duties.no_majority`, and a remedy for
//! operators.
//!
//! The management API, the log and the command `check` show both; `docs/operate/errors.md` lists
//! all of them.

use serde::{Deserialize, Serialize};

/// An error with a code and a remedy. [`diagnostics!`] implements it for an error type.
pub trait Diagnostic: std::error::Error {
    /// Returns the code, in the form `SUBJECT.WORD`. The code of an error never changes.
    fn code(&self) -> &'static str;

    /// Returns what an operator can do about the error.
    fn remedy(&self) -> &'static str;

    /// Returns the body of the management API's response for the error.
    fn error_body(&self) -> ErrorBody {
        let code = self.code();
        let subject = code.split('.').next().unwrap_or_default();
        ErrorBody {
            error: subject.to_owned(),
            code: code.to_owned(),
            what: self.to_string(),
            remedy: self.remedy().to_owned(),
        }
    }
}

/// The body of an error response of the management API. The names of the fields are its JSON keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorBody {
    /// The subject of the error: the code up to its dot.
    pub error: String,
    /// The code.
    pub code: String,
    /// The error's message.
    pub what: String,
    /// What an operator can do.
    pub remedy: String,
}

/// Implements [`Diagnostic`] for an error type from a list of patterns, each with a code and a
/// remedy, and defines a constant with all codes and their remedies.
///
/// ```
/// # #[derive(Debug)]
/// enum StartError {
///     AddressInUse,
///     NoPermission,
/// }
/// # impl std::fmt::Display for StartError {
/// #     fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
/// #         f.write_str("it can't start")
/// #     }
/// # }
/// # impl std::error::Error for StartError {}
///
/// postproxy_diagnostics::diagnostics! {
///     StartError, REMEDIES:
///     Self::AddressInUse => "start.address_in_use", "end the process that listens at this address";
///     Self::NoPermission => "start.no_permission", "use a port above 1023";
/// }
///
/// use postproxy_diagnostics::Diagnostic;
/// assert_eq!(StartError::AddressInUse.code(), "start.address_in_use");
/// assert_eq!(REMEDIES[1], ("start.no_permission", "use a port above 1023"));
/// ```
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

        /// All codes of this error type with their remedies.
        pub const $all: &[(&str, &str)] = &[$(($code, $remedy)),+];
    };
}

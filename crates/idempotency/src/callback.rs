//! Late callbacks: what a worker reports about a request that an earlier process of the node sent
//! to it.

use crate::request_log::Write;

/// How a request ended at a worker, as its callback reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion<'a> {
    /// It was served with this result.
    Done(&'a [u8]),
    /// It ended in an error or was killed.
    Failed,
    /// The worker returned it without starting it.
    Returned,
}

/// The outcome of a request after a late callback.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The callback has not decided the outcome: the request isn't in doubt, or the end of another
    /// attempt is unknown.
    Unresolved,
    /// The request was served.
    Served,
    /// The request failed.
    Failed,
    /// The request never ran, so it may be run for a client that is waiting for it.
    NeverRan,
}

/// The effect of a late callback on the request log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateCallback {
    /// The outcome of the request.
    pub resolution: Resolution,
    /// The writes that store the change.
    pub writes: Vec<Write>,
}

impl LateCallback {
    /// Returns the effect of a callback that changes nothing.
    pub(crate) fn ignored() -> Self {
        Self {
            resolution: Resolution::Unresolved,
            writes: Vec::new(),
        }
    }
}

//! Late call-backs: what a worker reports of a request that an earlier process of the node sent to
//! it.

use crate::request_log::Write;

/// How a request ended at a worker, by its call-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion<'a> {
    /// It was served with this result.
    Done(&'a [u8]),
    /// It ended in an error or was killed.
    Failed,
    /// The worker returned it before it started.
    Returned,
}

/// What a late call-back settles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Nothing: the request isn't in doubt, or another attempt of it still is.
    Unresolved,
    /// The request was served.
    Served,
    /// The request failed.
    Failed,
    /// The request never ran: a client that waits for it may have it run.
    NeverRan,
}

/// A late call-back that the request log has recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateCallback {
    /// What it settles.
    pub resolution: Resolution,
    /// What has to be written.
    pub writes: Vec<Write>,
}

impl LateCallback {
    /// A call-back that changes nothing.
    pub(crate) fn ignored() -> Self {
        Self {
            resolution: Resolution::Unresolved,
            writes: Vec::new(),
        }
    }
}

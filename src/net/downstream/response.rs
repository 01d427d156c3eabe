//! Maps final answers to HTTP responses.

use crate::net::messages::Answer;

/// The HTTP response that carries a final answer.
pub(super) struct AnswerResponse<'a> {
    pub(super) status: u16,
    /// Value of the field `Retry-After`, in seconds.
    pub(super) retry_after: Option<String>,
    pub(super) body: &'a [u8],
    /// Whether the connection is closed after the response, even if the client asked to keep it.
    pub(super) close_connection: bool,
}

impl<'a> AnswerResponse<'a> {
    pub(super) fn new(answer: &'a Answer) -> Self {
        match answer {
            Answer::Served(result) => Self::with_body(200, result),
            Answer::RejectedWithRetryAfter(retry_after) => Self {
                // 0 stands for no advice. Sent as a field, it would make the client retry at once.
                retry_after: (*retry_after > 0.0).then(|| format!("{retry_after:.3}")),
                ..Self::with_body(503, b"unavailable\n")
            },
            Answer::Failed => Self::with_body(502, b"failed\n"),
            Answer::DuplicateRequestId => Self {
                close_connection: true,
                ..Self::with_body(409, b"held already\n")
            },
        }
    }

    fn with_body(status: u16, body: &'a [u8]) -> Self {
        Self {
            status,
            retry_after: None,
            body,
            close_connection: false,
        }
    }
}

//! The responses of the management API.

use crate::net::messages::ManagementReply;
use crate::net::transport::http::{self, ConnectionOption};
use std::borrow::Cow;

/// The body of a response to what is not a request of the management API.
pub(super) const UNKNOWN_REQUEST: &str = "no call of mine\n";
/// The body of a response to what can't be parsed.
pub(super) const BAD_REQUEST: &str = "bad request\n";

/// A response in text, after which the connection is closed.
pub(super) struct TextResponse<'a> {
    pub(super) status: u16,
    /// Value of the field `Allow`.
    pub(super) allowed_methods: Option<&'a str>,
    pub(super) body: Cow<'a, str>,
}

impl<'a> TextResponse<'a> {
    pub(super) fn new(status: u16, body: impl Into<Cow<'a, str>>) -> Self {
        Self {
            status,
            allowed_methods: None,
            body: body.into(),
        }
    }

    /// The bytes of the response.
    pub(super) fn encode(&self, is_head: bool) -> Vec<u8> {
        let fields: Vec<(&str, &str)> = self
            .allowed_methods
            .map(|methods| ("Allow", methods))
            .into_iter()
            .collect();
        let body = if is_head { "" } else { &*self.body };
        let mut bytes = Vec::new();
        http::write_response(
            &mut bytes,
            self.status,
            &fields,
            body.as_bytes(),
            ConnectionOption::Close,
        );
        bytes
    }
}

impl From<ManagementReply> for TextResponse<'static> {
    fn from(reply: ManagementReply) -> Self {
        match reply {
            ManagementReply::Done => Self::new(200, "yes\n"),
            ManagementReply::PartiallyApplied {
                applied: at,
                nodes: of,
            } => Self::new(200, format!("yes, at {at} of {of} nodes\n")),
            ManagementReply::NotNow => Self::new(503, "not now\n"),
            ManagementReply::NotFound => Self::new(404, "nobody has that name\n"),
            ManagementReply::StillAlive => Self::new(409, "it has not failed\n"),
            ManagementReply::AuditDisabled => Self::new(404, "the section audit is not on here\n"),
            ManagementReply::CoordinationDisabled => {
                Self::new(404, "the section duties is not on here\n")
            }
            ManagementReply::ClusterDisabled => Self::new(404, "this node knows no others\n"),
        }
    }
}

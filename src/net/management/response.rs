//! The responses of the management API.

use crate::net::messages::ManagementReply;
use crate::net::transport::http::{self, ConnectionOption};
use std::borrow::Cow;

/// The body of the response to an unknown path, a wrong method or an invalid name.
pub(super) const UNKNOWN_REQUEST: &str = "not a request of the management API\n";
/// The body of the response to input that is not a valid HTTP request.
pub(super) const BAD_REQUEST: &str = "bad request\n";

/// A plain-text response, after which the connection is closed.
pub(super) struct TextResponse<'a> {
    pub(super) status: u16,
    /// Value of the header field `Allow`.
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

    /// Encodes the response; a response to `HEAD` has no body.
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
            ManagementReply::PartiallyApplied { applied, nodes } => {
                Self::new(200, format!("yes, at {applied} of {nodes} nodes\n"))
            }
            ManagementReply::Unavailable => Self::new(503, "unavailable at the moment\n"),
            ManagementReply::NotFound => Self::new(404, "no worker or node has this name\n"),
            ManagementReply::StillAlive => Self::new(409, "the node has not failed\n"),
            ManagementReply::AuditDisabled => {
                Self::new(404, "the section audit is not enabled here\n")
            }
            ManagementReply::CoordinationDisabled => {
                Self::new(404, "the section duties is not enabled here\n")
            }
            ManagementReply::ClusterDisabled => {
                Self::new(404, "this node is not part of a cluster\n")
            }
        }
    }
}

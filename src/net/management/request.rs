//! Parses the requests of the management API.

use crate::net::transport::http::Request;

/// Longest name of a worker, a node or a lease in a path, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 256;

/// An operator's request.
#[derive(Clone, Debug, PartialEq)]
pub enum ManagementRequest {
    /// Report whether this process serves requests.
    CheckReadiness,
    /// Drain the node.
    Drain,
    /// End the drain.
    Activate,
    /// Stop sending requests to a worker.
    SuspendWorker {
        /// Name of the worker.
        worker: String,
    },
    /// Send requests to a suspended worker again.
    ResumeWorker {
        /// Name of the worker.
        worker: String,
    },
    /// List the nodes of the cluster.
    ListMembers,
    /// Remove a failed node from the cluster's members.
    ForgetMember {
        /// Name of the node.
        node: String,
    },
    /// Show the voters, and the leases with their owners.
    ShowCoordination,
    /// List the configuration versions that each node uses.
    ListVersions,
    /// Show the audit log of the configuration versions that this node has used.
    ShowAuditLog,
    /// Have the owner of a lease release it.
    ReleaseLease {
        /// Name of the lease.
        lease: String,
    },
    /// Transfer a lease to another node.
    TransferLease {
        /// Name of the lease.
        lease: String,
        /// Name of the node that is to own it.
        to: String,
    },
    /// Add or remove a voter.
    SetVoter {
        /// Name of the node.
        node: String,
        /// Whether the node is to be a voter.
        votes: bool,
    },
}

/// The response to a request that the management API does not accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RejectedRequest {
    /// The status code of the response.
    pub(super) status: u16,
    /// The methods that the path allows, if the request's method is not one of them.
    pub(super) allowed_methods: Option<&'static str>,
}

impl RejectedRequest {
    const BAD_REQUEST: Self = Self {
        status: 400,
        allowed_methods: None,
    };
    const NOT_FOUND: Self = Self {
        status: 404,
        allowed_methods: None,
    };

    fn method_not_allowed(allowed_methods: &'static str) -> Self {
        Self {
            status: 405,
            allowed_methods: Some(allowed_methods),
        }
    }
}

/// Methods of a path that only reads.
const READ_METHODS: &str = "GET, HEAD";
/// Method of a path that changes something.
const WRITE_METHODS: &str = "POST";

/// Decodes a percent-encoded name in a path segment.
fn decode_name(segment: &str) -> Result<String, RejectedRequest> {
    let name = percent_encoding::percent_decode_str(segment)
        .decode_utf8()
        .map_err(|_| RejectedRequest::BAD_REQUEST)?;
    let is_valid =
        !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(char::is_control);
    if has_valid_escapes(segment) && is_valid {
        Ok(name.into_owned())
    } else {
        Err(RejectedRequest::BAD_REQUEST)
    }
}

/// Whether each `%` is followed by two hexadecimal digits. The decoder does not check this: it
/// leaves an invalid escape as it is.
fn has_valid_escapes(segment: &str) -> bool {
    let mut escapes = segment.split('%').skip(1);
    escapes.all(|escape| {
        let mut bytes = escape.bytes();
        let mut is_next_digit = || bytes.next().is_some_and(|byte| byte.is_ascii_hexdigit());
        is_next_digit() && is_next_digit()
    })
}

/// Parses a request of the management API.
///
/// # Errors
///
/// If the path is unknown, does not allow the method or contains an invalid name.
pub(super) fn parse(request: &Request) -> Result<ManagementRequest, RejectedRequest> {
    use ManagementRequest::*;
    let path = request.target.split('?').next().unwrap_or_default();
    let segments: Vec<&str> = path.split('/').collect();
    let (parsed, methods) = match segments[..] {
        ["", "v1", "readyz"] => (CheckReadiness, READ_METHODS),
        ["", "v1", "fleet", "members"] => (ListMembers, READ_METHODS),
        ["", "v1", "fleet", "members", node, "forget"] => {
            let node = decode_name(node)?;
            (ForgetMember { node }, WRITE_METHODS)
        }
        ["", "v1", "fleet", "versions"] => (ListVersions, READ_METHODS),
        ["", "v1", "fleet", "audit"] => (ShowAuditLog, READ_METHODS),
        ["", "v1", "fleet", "owners"] => (ShowCoordination, READ_METHODS),
        ["", "v1", "fleet", "owners", lease, "release"] => {
            let lease = decode_name(lease)?;
            (ReleaseLease { lease }, WRITE_METHODS)
        }
        ["", "v1", "fleet", "owners", lease, "hand", to] => {
            let lease = decode_name(lease)?;
            let to = decode_name(to)?;
            (TransferLease { lease, to }, WRITE_METHODS)
        }
        [
            "",
            "v1",
            "fleet",
            "voters",
            node,
            action @ ("add" | "remove"),
        ] => {
            let node = decode_name(node)?;
            let votes = action == "add";
            (SetVoter { node, votes }, WRITE_METHODS)
        }
        ["", "v1", "node", "drain"] => (Drain, WRITE_METHODS),
        ["", "v1", "node", "activate"] => (Activate, WRITE_METHODS),
        ["", "v1", "route-workers", worker, "suspend"] => {
            let worker = decode_name(worker)?;
            (SuspendWorker { worker }, WRITE_METHODS)
        }
        ["", "v1", "route-workers", worker, "resume"] => {
            let worker = decode_name(worker)?;
            (ResumeWorker { worker }, WRITE_METHODS)
        }
        _ => return Err(RejectedRequest::NOT_FOUND),
    };
    if methods.split(", ").any(|method| method == request.method) {
        Ok(parsed)
    } else {
        Err(RejectedRequest::method_not_allowed(methods))
    }
}

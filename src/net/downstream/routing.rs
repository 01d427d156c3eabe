//! Routes the requests that arrive at the clients' listener.

use super::{callback, submission};
use crate::decision::interface::Settings;
use crate::net::messages::{Submission, WorkerCallback};
use crate::net::transport::http::Request;

/// Path of the readiness check.
const READINESS_PATH: &str = "/-/ready";
/// Path to which workers post their callbacks.
const CALLBACK_PATH: &str = "/v1/job-events";

/// Whether this node takes new clients, as the readiness check reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// New clients may connect to this node.
    Ready,
    /// New clients should connect to another node.
    NotReady,
}

/// A predefined response, which does not depend on the request's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FixedResponse {
    /// The status code.
    pub status: u16,
    /// Header fields, as name and value.
    pub fields: &'static [(&'static str, &'static str)],
    /// The body.
    pub body: &'static str,
}

impl FixedResponse {
    const fn new(status: u16, body: &'static str) -> Self {
        Self {
            status,
            fields: &[],
            body,
        }
    }

    const fn method_not_allowed(fields: &'static [(&'static str, &'static str)]) -> Self {
        Self {
            status: 405,
            fields,
            body: "wrong method\n",
        }
    }
}

/// The response to a request that can't be parsed.
pub const BAD_REQUEST: FixedResponse = FixedResponse::new(400, "bad request\n");
const NOT_FOUND: FixedResponse = FixedResponse::new(404, "unknown path\n");
const READY: FixedResponse = FixedResponse::new(200, "ready\n");
/// Not a 503, which would count as the answer `unavailable` to a request.
const NOT_READY: FixedResponse = FixedResponse::new(500, "not ready\n");
const ONLY_GET: FixedResponse = FixedResponse::method_not_allowed(&[("Allow", "GET, HEAD")]);
const ONLY_POST: FixedResponse = FixedResponse::method_not_allowed(&[("Allow", "POST")]);

/// How a request is handled.
#[derive(Debug, PartialEq)]
pub enum Route {
    /// With a predefined response.
    Respond(FixedResponse),
    /// As a worker's callback.
    Callback(WorkerCallback),
    /// As a request for the workers.
    Submission(Box<Submission>),
}

/// Routes a request by its path and method.
pub fn route(request: Request, settings: &Settings, readiness: Readiness) -> Route {
    let method = request.method.as_str();
    let path = request.target.split('?').next().unwrap_or_default();
    match path {
        READINESS_PATH => Route::Respond(readiness_response(method, readiness)),
        CALLBACK_PATH if method == "POST" => {
            callback::parse(&request.body).map_or(Route::Respond(BAD_REQUEST), Route::Callback)
        }
        CALLBACK_PATH => Route::Respond(ONLY_POST),
        _ => match class_of_path(path, settings) {
            None => Route::Respond(NOT_FOUND),
            Some(_) if method != "POST" => Route::Respond(ONLY_POST),
            Some(class) => submission::parse(request, class)
                .map_or(Route::Respond(BAD_REQUEST), |submission| {
                    Route::Submission(Box::new(submission))
                }),
        },
    }
}

fn readiness_response(method: &str, readiness: Readiness) -> FixedResponse {
    match (method, readiness) {
        ("GET" | "HEAD", Readiness::Ready) => READY,
        ("GET" | "HEAD", Readiness::NotReady) => NOT_READY,
        _ => ONLY_GET,
    }
}

/// Returns the index of the class that the first segment of a path names.
fn class_of_path(path: &str, settings: &Settings) -> Option<u8> {
    let segment = path.strip_prefix('/')?.split('/').next()?;
    if segment.is_empty() {
        return None;
    }
    let class = settings
        .classes
        .iter()
        .position(|class| class.name == segment)?;
    Some(class as u8)
}

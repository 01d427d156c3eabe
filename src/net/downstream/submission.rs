//! Parses the header fields of a client's request.

use crate::decision::interface::finite_non_negative;
use crate::net::messages::{Payload, Submission};
use crate::net::transport::http::{Headers, ParseError, Request};

/// Longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;
/// Microseconds in a second; `X-Cost-Hint` is given in microseconds.
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Builds the submission of a request for the class with this index.
///
/// # Errors
///
/// [`ParseError::Malformed`] if the request can't be forwarded safely. A worker that can't parse a
/// request closes the connection, which also fails the other requests on it.
pub(super) fn parse(request: Request, class: u8) -> Result<Submission, ParseError> {
    let headers = &request.headers;
    let id = headers
        .get_unique("x-request-id")?
        .filter(|id| is_valid_request_id(id))
        .ok_or(ParseError::Malformed)?;
    let idempotency_key = headers.get_unique("idempotency-key")?;
    if !is_visible_ascii(&request.target) || !idempotency_key.is_none_or(is_visible_ascii) {
        return Err(ParseError::Malformed);
    }
    // An invalid hint is ignored, unlike an invalid deadline: the request can be served without it.
    let cost_hint = unique_number(headers, "x-cost-hint").ok().flatten();
    Ok(Submission {
        class,
        tenant: headers.get("x-tenant").map(str::to_owned),
        affinity_key: affinity_key(headers),
        time_limit: unique_number(headers, "x-deadline")?,
        expected_work: cost_hint.map(|microseconds| microseconds / MICROSECONDS_PER_SECOND),
        slots: extra_number(headers, "slots"),
        memory: extra_number(headers, "memory"),
        is_marked_retry: headers.get("x-retry") == Some("1"),
        payload: Payload {
            id: id.to_owned(),
            idempotency_key: idempotency_key.map(str::to_owned),
            method: request.method,
            target: request.target,
            body: request.body,
        },
    })
}

/// Returns the value of a numeric header field, which may occur only once.
fn unique_number(headers: &Headers, name: &str) -> Result<Option<f64>, ParseError> {
    let Some(value) = headers.get_unique(name)? else {
        return Ok(None);
    };
    let number = value.parse().map_err(|_| ParseError::Malformed)?;
    finite_non_negative(number)
        .map(Some)
        .ok_or(ParseError::Malformed)
}

/// Returns the affinity key, which the cookie `k` holds in hexadecimal digits; 0 if there is none.
fn affinity_key(headers: &Headers) -> u64 {
    let cookies = headers.get("cookie").unwrap_or_default();
    cookies
        .split(';')
        .find_map(|cookie| cookie.trim().strip_prefix("k="))
        .and_then(|value| u64::from_str_radix(value.trim(), 16).ok())
        .unwrap_or(0)
}

/// Returns the number with this name in the field `X-Extras`, a list of `name=number` pairs.
fn extra_number(headers: &Headers, name: &str) -> Option<f64> {
    let extras = headers.get("x-extras").unwrap_or_default();
    let (_, value) = extras
        .split(',')
        .filter_map(|extra| extra.split_once('='))
        .find(|(extra_name, _)| extra_name.trim() == name)?;
    value.trim().parse().ok().and_then(finite_non_negative)
}

/// Whether an id can be a path segment, since attempts are cancelled with `DELETE /jobs/ID`.
fn is_valid_request_id(id: &str) -> bool {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && id.bytes().all(is_unreserved)
}

/// Whether the text has only visible ASCII characters and no `#`, which a request target can't
/// contain.
fn is_visible_ascii(text: &str) -> bool {
    text.bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'#')
}

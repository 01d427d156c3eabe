//! Serialization of requests and responses.

use super::message::ConnectionOption;
use std::fmt::Write as _;

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}

/// Appends a response with these header fields to `out`; `Content-Length` and `Connection` are
/// added.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
    connection: ConnectionOption,
) {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n",
        reason_phrase(status),
        body.len()
    );
    write_fields(&mut head, fields);
    if connection == ConnectionOption::Close {
        head.push_str("Connection: close\r\n");
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Appends a request with these header fields to `out`; `Content-Length` is added if there is a
/// body or the method is `POST`.
pub fn write_request(
    out: &mut Vec<u8>,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    write_fields(&mut head, fields);
    if !body.is_empty() || method == "POST" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

fn write_fields(head: &mut String, fields: &[(&str, &str)]) {
    for (name, value) in fields {
        let _ = write!(head, "{name}: {value}\r\n");
    }
}

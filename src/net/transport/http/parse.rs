//! Parsing of requests and responses; requests are parsed incrementally.

use super::body::{BodyFraming, BodyReader};
use super::message::{
    Headers, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, ParseError, ParseStatus, Request,
    Response,
};

/// The minor version of HTTP/1.0, as `httparse` reports it.
const HTTP_1_0: Option<u8> = Some(0);

/// Returns the size of a head, or `None` if more input is needed.
fn head_size(
    result: Result<httparse::Status<usize>, httparse::Error>,
    input: &[u8],
) -> Result<Option<usize>, ParseError> {
    match result {
        Ok(httparse::Status::Complete(size)) => Ok(Some(size)),
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => {
            Err(ParseError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::Malformed),
    }
}

/// Returns the framing of a body, or `default` if no header field states it.
///
/// # Errors
///
/// If recipients could disagree about where the body ends: different lengths, a length together
/// with a coding, or an unknown coding.
fn body_framing(headers: &Headers, default: BodyFraming) -> Result<BodyFraming, ParseError> {
    let mut lengths = headers
        .get_all("content-length")
        .flat_map(|value| value.split(','))
        .map(str::trim);
    let codings: Vec<&str> = headers.get_all("transfer-encoding").collect();
    match (lengths.next(), &codings[..]) {
        (None, []) => Ok(default),
        (None, [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyFraming::Chunked),
        (Some(length), []) if lengths.all(|other| other == length) => parse_content_length(length),
        _ => Err(ParseError::Malformed),
    }
}

fn parse_content_length(length: &str) -> Result<BodyFraming, ParseError> {
    // `parse` alone would accept a plus sign.
    if length.is_empty() || !length.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ParseError::Malformed);
    }
    let length = length.parse().map_err(|_| ParseError::BodyTooLarge)?;
    Ok(BodyFraming::Length(length))
}

/// Whether the sender of a message keeps the connection open after it.
fn keeps_alive(version: Option<u8>, headers: &Headers) -> bool {
    let persistent = version != HTTP_1_0 || headers.has_token("connection", "keep-alive");
    persistent && !headers.has_token("connection", "close")
}

/// A request whose head has been parsed and whose body is still arriving.
struct PendingRequest {
    /// The request without its body.
    request: Request,
    expects_continue: bool,
    body: BodyReader,
}

/// The parsed head of a request.
struct RequestHead {
    /// Size of the head in bytes.
    size: usize,
    pending: PendingRequest,
}

/// Parses the head of a request; `None` if it is incomplete.
fn parse_request_head(input: &[u8]) -> Result<Option<RequestHead>, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let Some(size) = head_size(head.parse(input), input)? else {
        return Ok(None);
    };
    if size > MAX_HEAD_BYTES {
        return Err(ParseError::HeadTooLarge);
    }
    let headers = Headers::from_parsed(head.headers);
    let framing = body_framing(&headers, BodyFraming::Length(0))?;
    // HTTP/1.0 has no chunked coding: an intermediary may have determined a different length.
    if head.version == HTTP_1_0 && matches!(framing, BodyFraming::Chunked) {
        return Err(ParseError::Malformed);
    }
    let expects_continue = headers.has_token("expect", "100-continue");
    let request = Request {
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        keep_alive: keeps_alive(head.version, &headers),
        headers,
        body: Vec::new(),
    };
    let pending = PendingRequest {
        request,
        expects_continue,
        body: BodyReader::new(&framing, MAX_BODY_BYTES)?,
    };
    Ok(Some(RequestHead { size, pending }))
}

/// The result of one call of [`RequestReader::read`].
#[derive(Clone, Debug, PartialEq)]
pub struct RequestProgress {
    /// How much of the request has arrived.
    pub status: ParseStatus<Request>,
    /// Bytes consumed from the front of the input; they must not be passed in again.
    pub consumed: usize,
}

/// Parses the requests of one connection. Input is not parsed again with each piece that arrives,
/// so that a peer that sends byte by byte costs little more than one that sends everything at once.
#[derive(Default)]
pub struct RequestReader {
    /// Length of the input that has been searched for the end of a head without success.
    searched: usize,
    /// The request whose body is still arriving.
    pending: Option<PendingRequest>,
}

impl RequestReader {
    /// Whether the head of a request has been consumed and its body is incomplete.
    pub fn in_progress(&self) -> bool {
        self.pending.is_some()
    }

    /// Continues parsing with the input that has not been consumed yet.
    ///
    /// # Errors
    ///
    /// If the input can't become a request that this node accepts; nothing more can be read from
    /// the connection then.
    pub fn read(&mut self, input: &[u8]) -> Result<RequestProgress, ParseError> {
        let mut consumed = 0;
        let pending = match self.pending.take() {
            Some(pending) => pending,
            None => match self.read_head(input)? {
                Some(head) => {
                    consumed = head.size;
                    head.pending
                }
                None => {
                    return Ok(RequestProgress {
                        status: ParseStatus::HeadIncomplete,
                        consumed,
                    });
                }
            },
        };
        self.read_body(pending, input, consumed)
    }

    /// Parses a head if the input may contain a complete one.
    fn read_head(&mut self, input: &[u8]) -> Result<Option<RequestHead>, ParseError> {
        // Only a line end can complete a head. Input that has doubled in size is parsed without one
        // as well, since bytes that can't be part of a head would go undetected otherwise.
        let unsearched = &input[self.searched.min(input.len())..];
        let has_doubled = input.len() >= 2 * self.searched;
        if !unsearched.contains(&b'\n') && !has_doubled && input.len() <= MAX_HEAD_BYTES {
            return Ok(None);
        }
        self.searched = input.len();
        let head = parse_request_head(input)?;
        if head.is_some() {
            self.searched = 0;
        }
        Ok(head)
    }

    /// Decodes the body, which starts `consumed` bytes into the input.
    fn read_body(
        &mut self,
        mut pending: PendingRequest,
        input: &[u8],
        mut consumed: usize,
    ) -> Result<RequestProgress, ParseError> {
        let progress = pending.body.read(&input[consumed..], false)?;
        consumed += progress.consumed;
        let status = if progress.complete {
            let message = Request {
                body: pending.body.into_data(),
                ..pending.request
            };
            ParseStatus::Complete {
                message,
                size: consumed,
            }
        } else {
            let expects_continue = pending.expects_continue;
            self.pending = Some(pending);
            ParseStatus::BodyIncomplete { expects_continue }
        };
        Ok(RequestProgress { status, consumed })
    }
}

/// Parses the request at the start of the input.
///
/// # Errors
///
/// If the input can't become a request that this node accepts.
pub fn read_request(input: &[u8]) -> Result<ParseStatus<Request>, ParseError> {
    RequestReader::default()
        .read(input)
        .map(|progress| progress.status)
}

/// Parses the final response at the start of the input, after any interim ones; `end_of_stream`
/// says that no more input can follow. Bodies of up to `max_body_bytes` are accepted.
///
/// # Errors
///
/// If the input can't become a response.
pub fn read_response(
    input: &[u8],
    end_of_stream: bool,
    max_body_bytes: usize,
) -> Result<ParseStatus<Response>, ParseError> {
    let mut skipped = 0;
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut fields);
        let rest = &input[skipped..];
        let Some(size) = head_size(head.parse(rest), rest)? else {
            return Ok(ParseStatus::HeadIncomplete);
        };
        let status = head.code.unwrap_or_default();
        match status {
            100..=199 => {
                skipped += size;
                continue;
            }
            200..=599 => {}
            _ => return Err(ParseError::Malformed),
        }
        let headers = Headers::from_parsed(head.headers);
        let framing = response_framing(status, &headers)?;
        let keep_alive =
            keeps_alive(head.version, &headers) && !matches!(framing, BodyFraming::UntilClose);
        let mut body = BodyReader::new(&framing, max_body_bytes)?;
        let progress = body.read(&rest[size..], end_of_stream)?;
        if !progress.complete {
            return Ok(ParseStatus::BodyIncomplete {
                expects_continue: false,
            });
        }
        let message = Response {
            status,
            headers,
            body: body.into_data(),
            keep_alive,
        };
        return Ok(ParseStatus::Complete {
            message,
            size: skipped + size + progress.consumed,
        });
    }
}

fn response_framing(status: u16, headers: &Headers) -> Result<BodyFraming, ParseError> {
    // 204 (No Content) and 304 (Not Modified) never have a body.
    if matches!(status, 204 | 304) {
        Ok(BodyFraming::Length(0))
    } else {
        body_framing(headers, BodyFraming::UntilClose)
    }
}

//! HTTP/1.1 as bytes: requests and responses are read from and written to buffers, without any socket.

use std::fmt::Write as _;

/// Longest head of a message.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest body of a message between clients, this node and workers.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
const MOST_HEADERS: usize = 64;
/// Framing that a chunked body may have beside its data.
const MOST_FRAMING: usize = 64 * 1024;

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Not HTTP/1, or lengths that conflict.
    Malformed,
    /// The head is too large.
    Head,
    /// The body is too large.
    Body,
}

impl ParseError {
    /// The status that tells a client of it.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Head => 431,
            Self::Body => 413,
        }
    }
}

/// The header fields of a message.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The first field of a name, in any case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// The only field of a name, in any case.
    ///
    /// # Errors
    ///
    /// If there are several: each reader could go by another one.
    pub fn only(&self, name: &str) -> Result<Option<&str>, ParseError> {
        if self.all(name).count() > 1 {
            Err(ParseError::Malformed)
        } else {
            Ok(self.get(name))
        }
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether one of a field's comma-separated words is this one.
    pub fn says(&self, name: &str, word: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

/// A request that has arrived whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Its header fields.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection stays open behind it.
    pub keeps: bool,
}

/// A response that has arrived whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its header fields.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// The connection stays open behind it.
    pub keeps: bool,
}

/// How far a message has arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum Read<T> {
    /// Its head has not arrived.
    Nothing,
    /// Its head has arrived, its body has not; whether the peer waits for word before it sends that.
    Head {
        /// It said `Expect: 100-continue`.
        expects: bool,
    },
    /// It has arrived, and took so many bytes.
    Whole(T, usize),
}

enum Framing {
    Length(usize),
    Chunked,
    ToEnd,
}

fn headers(raw: &[httparse::Header<'_>]) -> Headers {
    let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
    Headers(
        raw.iter()
            .map(|h| (h.name.to_owned(), text(h.value)))
            .collect(),
    )
}

fn parsed<T>(
    result: Result<httparse::Status<T>, httparse::Error>,
    input: &[u8],
) -> Result<Option<T>, ParseError> {
    match result {
        Ok(httparse::Status::Complete(size)) => Ok(Some(size)),
        Ok(httparse::Status::Partial) if input.len() > MAX_HEAD_BYTES => Err(ParseError::Head),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::Head),
        Err(_) => Err(ParseError::Malformed),
    }
}

fn framing(headers: &Headers, otherwise: Framing) -> Result<Framing, ParseError> {
    let mut lengths = headers
        .all("content-length")
        .flat_map(|value| value.split(','))
        .map(str::trim);
    let coded: Vec<&str> = headers.all("transfer-encoding").collect();
    match (lengths.next(), &coded[..]) {
        (None, []) => Ok(otherwise),
        (None, [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(length), []) if lengths.all(|l| l == length) => {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            if digits {
                length
                    .parse()
                    .map(Framing::Length)
                    .map_err(|_| ParseError::Body)
            } else {
                Err(ParseError::Malformed)
            }
        }
        _ => Err(ParseError::Malformed),
    }
}

/// What a body that is being read comes to next.
enum Step {
    /// So many bytes; of a chunk, or the last ones.
    Data(usize, bool),
    /// All up to the end of the connection.
    ToEnd,
    /// The end of a chunk's data.
    Line,
    /// The size of a chunk.
    Size,
    /// What follows the last chunk.
    Trailers,
}

/// A body that arrives piece by piece; what it has taken is not looked at again.
struct Body {
    step: Step,
    most: usize,
    /// Bytes of the framing so far.
    framing: usize,
    data: Vec<u8>,
}

impl Body {
    fn new(framing: &Framing, most: usize) -> Result<Self, ParseError> {
        let step = match framing {
            Framing::Length(size) if *size > most => return Err(ParseError::Body),
            Framing::Length(size) => Step::Data(*size, false),
            Framing::Chunked => Step::Size,
            Framing::ToEnd => Step::ToEnd,
        };
        Ok(Self {
            step,
            most,
            framing: 0,
            data: Vec::new(),
        })
    }

    /// Takes what it can of the input, `ended` if no more can come: how many bytes, and whether it is whole.
    fn read(&mut self, input: &[u8], ended: bool) -> Result<(usize, bool), ParseError> {
        let mut at = 0;
        loop {
            let rest = &input[at..];
            if self.framing > self.data.len() + MOST_FRAMING {
                return Err(ParseError::Body);
            }
            match self.step {
                Step::Data(left, chunk) => {
                    let size = left.min(rest.len());
                    if self.data.is_empty() {
                        self.data.reserve_exact(left);
                    }
                    self.data.extend_from_slice(&rest[..size]);
                    at += size;
                    self.step = if size < left {
                        Step::Data(left - size, chunk)
                    } else {
                        Step::Line
                    };
                    if size < left || !chunk {
                        return Ok((at, size == left));
                    }
                }
                Step::ToEnd if self.data.len() + rest.len() > self.most => {
                    return Err(ParseError::Body);
                }
                Step::ToEnd => {
                    self.data.extend_from_slice(rest);
                    return Ok((input.len(), ended));
                }
                Step::Line if rest.len() < 2 => return Ok((at, false)),
                Step::Line if !rest.starts_with(b"\r\n") => return Err(ParseError::Malformed),
                Step::Line => {
                    (at, self.framing, self.step) = (at + 2, self.framing + 2, Step::Size)
                }
                Step::Size => {
                    match httparse::parse_chunk_size(rest).map_err(|_| ParseError::Malformed)? {
                        httparse::Status::Partial if rest.len() > 1024 => {
                            return Err(ParseError::Malformed);
                        }
                        httparse::Status::Partial => return Ok((at, false)),
                        httparse::Status::Complete((line, size)) => {
                            if size > (self.most - self.data.len()) as u64 {
                                return Err(ParseError::Body);
                            }
                            (at, self.framing) = (at + line, self.framing + line);
                            self.step = if size > 0 {
                                Step::Data(size as usize, true)
                            } else {
                                Step::Trailers
                            };
                        }
                    }
                }
                Step::Trailers => {
                    let mut fields = [httparse::EMPTY_HEADER; MOST_HEADERS];
                    return match httparse::parse_headers(rest, &mut fields)
                        .map_err(|_| ParseError::Malformed)?
                    {
                        httparse::Status::Complete((size, _)) => Ok((at + size, true)),
                        httparse::Status::Partial if rest.len() > MAX_HEAD_BYTES => {
                            Err(ParseError::Head)
                        }
                        httparse::Status::Partial => Ok((at, false)),
                    };
                }
            }
        }
    }
}

fn keeps(version: Option<u8>, headers: &Headers) -> bool {
    let kept = version != Some(0) || headers.says("connection", "keep-alive");
    kept && !headers.says("connection", "close")
}

/// Reads the requests of one connection, each piece of input once: a peer that sends byte after byte costs no
/// more than one that sends at once.
#[derive(Default)]
pub struct RequestReader {
    /// How much of the input a head was looked for in.
    seen: usize,
    /// What a head that has arrived says, and its body so far.
    begun: Option<(Request, bool, Body)>,
}

impl RequestReader {
    /// Whether a request has arrived in part, beside what is left of the input.
    pub fn begun(&self) -> bool {
        self.begun.is_some()
    }

    /// Reads on in the input, of which it takes so many bytes off the front: they must not be shown again.
    ///
    /// # Errors
    ///
    /// If it can't become a request that this node takes; nothing more can be read then.
    pub fn read(&mut self, input: &[u8]) -> Result<(Read<Request>, usize), ParseError> {
        let mut at = 0;
        if self.begun.is_none() {
            // Only a line's end can complete a head. Danger: without a look at the rest, bytes that are no
            // head would not be known as such.
            let news = &input[self.seen.min(input.len())..];
            if !news.contains(&b'\n')
                && input.len() < 2 * self.seen
                && input.len() <= MAX_HEAD_BYTES
            {
                return Ok((Read::Nothing, 0));
            }
            self.seen = input.len();
            let Some((size, begun)) = read_head(input)? else {
                return Ok((Read::Nothing, 0));
            };
            (self.seen, self.begun, at) = (0, Some(begun), size);
        }
        let Some((request, expects, mut body)) = self.begun.take() else {
            return Ok((Read::Nothing, at));
        };
        let (taken, whole) = body.read(&input[at..], false)?;
        at += taken;
        if whole {
            return Ok((
                Read::Whole(
                    Request {
                        body: body.data,
                        ..request
                    },
                    at,
                ),
                at,
            ));
        }
        self.begun = Some((request, expects, body));
        Ok((Read::Head { expects }, at))
    }
}

/// The size of a request's head, the request without its body, whether its peer waits for word, and its body.
type Head = (usize, (Request, bool, Body));

fn read_head(input: &[u8]) -> Result<Option<Head>, ParseError> {
    let mut raw = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut raw);
    let Some(size) = parsed(head.parse(input), input)? else {
        return Ok(None);
    };
    if size > MAX_HEAD_BYTES {
        return Err(ParseError::Head);
    }
    let (method, target) = (
        head.method.unwrap_or_default().to_owned(),
        head.path.unwrap_or_default().to_owned(),
    );
    let (version, headers) = (head.version, headers(head.headers));
    let framing = framing(&headers, Framing::Length(0))?;
    // HTTP/1.0 knows no chunks: who stands between may have read another length.
    if version == Some(0) && matches!(framing, Framing::Chunked) {
        return Err(ParseError::Malformed);
    }
    let (keeps, expects) = (
        keeps(version, &headers),
        headers.says("expect", "100-continue"),
    );
    let request = Request {
        method,
        target,
        headers,
        body: Vec::new(),
        keeps,
    };
    Ok(Some((
        size,
        (request, expects, Body::new(&framing, MAX_BODY_BYTES)?),
    )))
}

/// Reads the request at the start of what has arrived.
///
/// # Errors
///
/// If it can't become a request that this node takes.
pub fn read_request(input: &[u8]) -> Result<Read<Request>, ParseError> {
    RequestReader::default().read(input).map(|(read, _)| read)
}

/// Reads the response at the start of what has arrived, `ended` if no more can come; bodies up to `most`.
///
/// # Errors
///
/// If it can't become a response.
pub fn read_response(input: &[u8], ended: bool, most: usize) -> Result<Read<Response>, ParseError> {
    let mut skipped = 0;
    loop {
        let mut raw = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut head = httparse::Response::new(&mut raw);
        let rest = &input[skipped..];
        let Some(size) = parsed(head.parse(rest), rest)? else {
            return Ok(Read::Nothing);
        };
        let (version, status) = (head.version, head.code.unwrap_or_default());
        let headers = headers(head.headers);
        match status {
            100..=199 => {
                skipped += size;
                continue;
            }
            200..=599 => {}
            _ => return Err(ParseError::Malformed),
        }
        let none = matches!(status, 204 | 304);
        let framing = if none {
            Framing::Length(0)
        } else {
            framing(&headers, Framing::ToEnd)?
        };
        let keeps = keeps(version, &headers) && !matches!(framing, Framing::ToEnd);
        let mut body = Body::new(&framing, most)?;
        let (taken, whole) = body.read(&rest[size..], ended)?;
        if !whole {
            return Ok(Read::Head { expects: false });
        }
        return Ok(Read::Whole(
            Response {
                status,
                headers,
                body: body.data,
                keeps,
            },
            skipped + size + taken,
        ));
    }
}

/// The usual words for a status.
fn reason(status: u16) -> &'static str {
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

/// Writes a response; `closes` says that the connection ends behind it.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
    closes: bool,
) {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    write_fields(&mut head, fields);
    head.push_str(if closes {
        "Connection: close\r\n\r\n"
    } else {
        "\r\n"
    });
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

/// Writes a request; a body comes with its length.
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

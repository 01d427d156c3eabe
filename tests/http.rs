//! Parsing of HTTP messages: complete ones and partial ones, with both framings, and malformed
//! input.

use postproxy::net::transport::http::{
    self, ParseError, ParseStatus, Request, RequestProgress, RequestReader, read_request,
    read_response,
};
use quickcheck::{Gen, QuickCheck};

/// Returns a request with a body in the chunked coding, in chunks of up to these sizes.
fn chunked_request(body: &[u8], chunk_sizes: &[u8]) -> Vec<u8> {
    let mut request =
        b"POST /a/b?c=d HTTP/1.1\r\nx-request-id: x\r\ncookie: k=1\r\nTransfer-Encoding: chunked\r\n\r\n"
            .to_vec();
    let mut rest = body;
    let sizes = chunk_sizes.iter().map(|&size| usize::from(size));
    for size in sizes.chain([body.len()]) {
        let (chunk, after) = rest.split_at(size.min(rest.len()));
        if !chunk.is_empty() {
            request.extend(format!("{:x};note=1\r\n", chunk.len()).bytes());
            request.extend(chunk);
            request.extend(b"\r\n");
        }
        rest = after;
    }
    request.extend(b"0\r\nTrailer: x\r\n\r\n");
    request
}

/// Parses a request byte by byte; bytes that have been consumed are not passed in again. `None` if
/// there is an error, no complete request, or unconsumed input.
fn parse_byte_by_byte(bytes: &[u8]) -> Option<Request> {
    let mut reader = RequestReader::default();
    let mut input = Vec::new();
    let mut parsed = None;
    for byte in bytes {
        input.push(*byte);
        let RequestProgress { status, consumed } = reader.read(&input).ok()?;
        input.drain(..consumed);
        if let ParseStatus::Complete { message, .. } = status {
            parsed = Some(message);
        }
    }
    parsed.filter(|_| input.is_empty() && !reader.in_progress())
}

/// Guards against accepting a request before it is complete, and against a result that depends on
/// how the request arrives.
#[test]
fn a_request_is_parsed_alike_however_it_arrives() {
    fn is_parsed_alike(request: &[u8], body: &[u8], trailing_bytes: &[u8]) -> bool {
        let complete_too_early = (0..request.len()).any(|end| {
            matches!(
                read_request(&request[..end]),
                Ok(ParseStatus::Complete { .. }) | Err(_)
            )
        });
        let bytes = [request, trailing_bytes].concat();
        let Ok(ParseStatus::Complete { message, size }) = read_request(&bytes) else {
            return false;
        };
        let fields = [
            message.headers.get("X-REQUEST-ID"),
            message.headers.get("cookie"),
        ];
        !complete_too_early
            && parse_byte_by_byte(request).as_ref() == Some(&message)
            && size == request.len()
            && message.body == body
            && message.keep_alive
            && (message.method.as_str(), message.target.as_str(), fields)
                == ("POST", "/a/b?c=d", [Some("x"), Some("k=1")])
    }
    fn holds(body: Vec<u8>, trailing_bytes: Vec<u8>, chunk_sizes: Vec<u8>) -> bool {
        let mut plain = Vec::new();
        let fields = [("X-Request-Id", "x"), ("Cookie", "k=1")];
        http::write_request(&mut plain, "POST", "/a/b?c=d", &fields, &body);
        let chunked = chunked_request(&body, &chunk_sizes);
        [plain, chunked]
            .iter()
            .all(|request| is_parsed_alike(request, &body, &trailing_bytes))
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 3))
        .tests(300);
    check.quickcheck(holds as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against input that makes a parser panic or consume more than there is.
#[test]
fn arbitrary_bytes_neither_panic_nor_overrun() {
    fn holds(start: u8, bytes: Vec<u8>) -> bool {
        let starts: [&[u8]; 4] = [
            b"",
            b"POST / HTTP/1.1\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        ];
        let input = [starts[usize::from(start) % starts.len()], &bytes].concat();
        let request = !matches!(read_request(&input), Ok(ParseStatus::Complete { size, .. }) if size > input.len());
        request
            && !matches!(read_response(&input, true, 100), Ok(ParseStatus::Complete { size, .. }) if size > input.len())
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 5))
        .tests(3000);
    check.quickcheck(holds as fn(u8, Vec<u8>) -> bool);
}

/// Guards against framing that two recipients could read as different messages, and against
/// unbounded bodies.
#[test]
fn conflicting_or_excessive_framing_is_rejected() {
    let error_of = |fields: &str, rest: &str| {
        read_request(format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n{rest}").as_bytes())
            .expect_err("an error")
    };
    for fields in [
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: 1, 2",
        "Content-Length: +1",
        "Content-Length:",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 1",
        "Content-Length: -1",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked, chunked",
    ] {
        assert_eq!(error_of(fields, "xx"), ParseError::Malformed, "{fields}");
    }
    let old = b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(
        read_request(old),
        Err(ParseError::Malformed),
        "HTTP/1.0 has no chunked coding"
    );
    assert_eq!(
        error_of("Content-Length: 65537", ""),
        ParseError::BodyTooLarge
    );
    assert_eq!(
        error_of("Content-Length: 99999999999999999999999", ""),
        ParseError::BodyTooLarge
    );
    assert_eq!(
        error_of("Transfer-Encoding: chunked", "10001\r\n"),
        ParseError::BodyTooLarge
    );
    assert_eq!(
        error_of("Transfer-Encoding: chunked", "1\r\nabc"),
        ParseError::Malformed
    );
    assert_eq!(
        error_of(&"X: y\r\n".repeat(70), ""),
        ParseError::HeadTooLarge
    );
    let same = b"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx";
    assert!(matches!(
        read_request(same),
        Ok(ParseStatus::Complete { .. })
    ));
}

/// Guards against parsing the input again with each piece: a body is consumed as it arrives, and a
/// line without its end is not parsed again before it has doubled.
#[test]
fn input_is_not_parsed_again_with_each_piece() {
    let mut reader = RequestReader::default();
    let head = b"POST / HTTP/1.1\r\nContent-Length: 65536\r\n\r\n";
    assert_eq!(
        reader.read(head),
        Ok(RequestProgress {
            status: ParseStatus::BodyIncomplete {
                expects_continue: false
            },
            consumed: head.len()
        })
    );
    for _ in 0..63 {
        assert_eq!(
            reader.read(&[b'x'; 1024]),
            Ok(RequestProgress {
                status: ParseStatus::BodyIncomplete {
                    expects_continue: false
                },
                consumed: 1024
            })
        );
    }
    assert!(
        matches!(reader.read(&[b'x'; 1024]), Ok(RequestProgress { status: ParseStatus::Complete { message, .. }, consumed: 1024 }) if message.body.len() == 65536)
    );
    // A head without an end is rejected as too large however it arrives.
    let long = [b"POST /".as_slice(), &[b'x'; http::MAX_HEAD_BYTES]].concat();
    let mut reader = RequestReader::default();
    let first_error =
        (1..=long.len()).find_map(|end| reader.read(&long[..end]).err().map(|error| (end, error)));
    assert_eq!(
        first_error,
        Some((http::MAX_HEAD_BYTES + 1, ParseError::HeadTooLarge))
    );
    assert_eq!(
        RequestReader::default().read(b"\0\x01 what").unwrap_err(),
        ParseError::Malformed,
        "at once"
    );
}

/// Guards against an interim response that is mistaken for the final one, a body cut short by the
/// end of the connection that is mistaken for a complete one, and a connection that is reused
/// though its peer closes it.
#[test]
fn responses_end_where_their_framing_says() {
    let parse = |text: &str, end_of_stream| match read_response(text.as_bytes(), end_of_stream, 100)
    {
        Ok(ParseStatus::Complete {
            message: response, ..
        }) => Some((response.status, response.body, response.keep_alive)),
        _ => None,
    };
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(parse(interim, false), Some((202, vec![], true)));
    assert_eq!(
        parse("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true),
        None
    );
    assert_eq!(parse("HTTP/1.1 200 OK\r\n\r\nab", false), None);
    assert_eq!(
        parse("HTTP/1.1 200 OK\r\n\r\nab", true),
        Some((200, b"ab".to_vec(), false))
    );
    assert_eq!(
        parse("HTTP/1.1 204 No Content\r\n\r\n", false),
        Some((204, vec![], true))
    );
    let closes =
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: Keep-Alive, Close\r\n\r\n";
    assert_eq!(parse(closes, false), Some((202, vec![], false)));
    assert_eq!(
        parse("HTTP/1.0 202 Accepted\r\nContent-Length: 0\r\n\r\n", false),
        Some((202, vec![], false))
    );
}

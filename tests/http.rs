//! Messages in buffers: whole and in parts, in both framings, and what is no message.

use postproxy::net::transport::http::{
    self, ParseError, ParseStatus, RequestProgress, RequestReader, read_request, read_response,
};
use quickcheck::{Gen, QuickCheck};

/// Guards against a message that is taken before it is whole, or changed by how it arrived.
#[test]
fn a_request_is_the_same_however_it_arrives() {
    fn holds(body: Vec<u8>, extra: Vec<u8>, chunks: Vec<u8>) -> bool {
        let mut plain = Vec::new();
        http::write_request(
            &mut plain,
            "POST",
            "/a/b?c=d",
            &[("X-Request-Id", "x"), ("Cookie", "k=1")],
            &body,
        );
        let mut chunked =
            b"POST /a/b?c=d HTTP/1.1\r\nx-request-id: x\r\ncookie: k=1\r\nTransfer-Encoding: chunked\r\n\r\n"
                .to_vec();
        let mut rest = &body[..];
        for size in chunks
            .iter()
            .map(|&size| usize::from(size))
            .chain([body.len()])
        {
            let (piece, after) = rest.split_at(size.min(rest.len()));
            if !piece.is_empty() {
                chunked.extend(format!("{:x};note=1\r\n", piece.len()).bytes());
                chunked.extend(piece);
                chunked.extend(b"\r\n");
            }
            rest = after;
        }
        chunked.extend(b"0\r\nTrailer: x\r\n\r\n");
        [plain, chunked].into_iter().all(|message| {
            let early = (0..message.len()).any(|end| {
                matches!(
                    read_request(&message[..end]),
                    Ok(ParseStatus::Complete { .. }) | Err(_)
                )
            });
            let bytes = [&message[..], &extra[..]].concat();
            // Byte by byte: what a body has taken is not shown again.
            let (mut reader, mut input, mut slow) = (RequestReader::default(), Vec::new(), None);
            for byte in &message {
                input.push(*byte);
                let Ok(RequestProgress { status, consumed }) = reader.read(&input) else {
                    return false;
                };
                input.drain(..consumed);
                if let ParseStatus::Complete {
                    message: request, ..
                } = status
                {
                    slow = Some(request);
                }
            }
            let Ok(ParseStatus::Complete {
                message: request,
                size,
            }) = read_request(&bytes)
            else {
                return false;
            };
            if slow.as_ref() != Some(&request) || !input.is_empty() || reader.in_progress() {
                return false;
            }
            let names = [
                request.headers.get("X-REQUEST-ID"),
                request.headers.get("cookie"),
            ];
            !early
                && size == message.len()
                && request.body == body
                && request.keep_alive
                && (request.method.as_str(), request.target.as_str(), names)
                    == ("POST", "/a/b?c=d", [Some("x"), Some("k=1")])
        })
    }
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 3))
        .tests(300);
    check.quickcheck(holds as fn(Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against bytes that panic a reader, or make it claim more than has come.
#[test]
fn no_bytes_do_harm() {
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

/// Guards against lengths by which two readers could see two messages, and against bodies without bound.
#[test]
fn flawed_lengths_are_refused() {
    let flaw = |fields: &str, rest: &str| {
        read_request(format!("POST / HTTP/1.1\r\n{fields}\r\n\r\n{rest}").as_bytes())
            .expect_err("a flaw")
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
        assert_eq!(flaw(fields, "xx"), ParseError::Malformed, "{fields}");
    }
    let old = b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(
        read_request(old),
        Err(ParseError::Malformed),
        "HTTP/1.0 knows no chunks"
    );
    assert_eq!(flaw("Content-Length: 65537", ""), ParseError::BodyTooLarge);
    assert_eq!(
        flaw("Content-Length: 99999999999999999999999", ""),
        ParseError::BodyTooLarge
    );
    assert_eq!(
        flaw("Transfer-Encoding: chunked", "10001\r\n"),
        ParseError::BodyTooLarge
    );
    assert_eq!(
        flaw("Transfer-Encoding: chunked", "1\r\nabc"),
        ParseError::Malformed
    );
    assert_eq!(flaw(&"X: y\r\n".repeat(70), ""), ParseError::HeadTooLarge);
    let same = b"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx";
    assert!(matches!(
        read_request(same),
        Ok(ParseStatus::Complete { .. })
    ));
}

/// Guards against reading what has come again with each piece: a body is taken as it comes, and a line
/// without its end is not looked at again until it has doubled.
#[test]
fn what_has_been_read_is_not_read_again() {
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
    // A head without an end is found too long however it comes.
    let long = [b"POST /".as_slice(), &[b'x'; http::MAX_HEAD_BYTES]].concat();
    let mut reader = RequestReader::default();
    let found =
        (1..=long.len()).find_map(|end| reader.read(&long[..end]).err().map(|flaw| (end, flaw)));
    assert_eq!(
        found,
        Some((http::MAX_HEAD_BYTES + 1, ParseError::HeadTooLarge))
    );
    assert_eq!(
        RequestReader::default().read(b"\0\x01 what").unwrap_err(),
        ParseError::Malformed,
        "at once"
    );
}

/// Guards against an interim answer taken for the final one, a body cut short by the connection's end taken
/// for whole, and a connection that is kept though its peer ends it.
#[test]
fn responses_end_where_they_say() {
    let whole = |text: &str, ended| match read_response(text.as_bytes(), ended, 100) {
        Ok(ParseStatus::Complete {
            message: response, ..
        }) => Some((response.status, response.body, response.keep_alive)),
        _ => None,
    };
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(whole(interim, false), Some((202, vec![], true)));
    assert_eq!(
        whole("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true),
        None
    );
    assert_eq!(whole("HTTP/1.1 200 OK\r\n\r\nab", false), None);
    assert_eq!(
        whole("HTTP/1.1 200 OK\r\n\r\nab", true),
        Some((200, b"ab".to_vec(), false))
    );
    assert_eq!(
        whole("HTTP/1.1 204 No Content\r\n\r\n", false),
        Some((204, vec![], true))
    );
    let closes =
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: Keep-Alive, Close\r\n\r\n";
    assert_eq!(whole(closes, false), Some((202, vec![], false)));
    assert_eq!(
        whole("HTTP/1.0 202 Accepted\r\nContent-Length: 0\r\n\r\n", false),
        Some((202, vec![], false))
    );
}

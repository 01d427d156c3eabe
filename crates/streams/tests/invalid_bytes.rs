//! Bytes that no valid node sends end their connection and nothing else.

mod support;

use postproxy_streams::{
    ConnectionError, Effect, MAX_MESSAGE_BYTES, PREAMBLE, Packet, QueueLength, Streams,
    encode_frame,
};
use support::{CLUSTER, address, data, greeting, greeting_accepted, greeting_of_n1};

/// What a node does with the bytes of one connection.
#[derive(Debug, PartialEq)]
struct Received {
    messages: Vec<Vec<u8>>,
    /// Why the connection was dropped.
    error: Option<ConnectionError>,
}

/// Has a node receive bytes in these pieces.
fn receive(pieces: &[&[u8]]) -> Received {
    let mut streams = Streams::new(CLUSTER, "n0", 1);
    let mut out = Vec::new();
    streams.handle_accepted(0.0, 1, &mut out);
    for piece in pieces {
        if !out.contains(&Effect::Close { connection: 1 }) {
            streams.handle_bytes(0.0, 1, piece, &mut out);
        }
    }
    let messages = out.into_iter().filter_map(|effect| match effect {
        Effect::Deliver { message, .. } => Some(message),
        _ => None,
    });
    Received {
        messages: messages.collect(),
        error: streams.dropped().keys().next().copied(),
    }
}

/// Returns a frame with a valid checksum and a packet that doesn't exist.
fn frame_of_unknown_packet() -> Vec<u8> {
    let mut body = postcard::to_stdvec(&(9u32, 1u64)).expect("encoded bytes");
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(crc32fast::hash(&body).to_be_bytes());
    frame.append(&mut body);
    frame
}

/// Returns names, bytes and the errors that they end their connections with. It is long as it is
/// one table.
fn invalid_bytes() -> Vec<(&'static str, Vec<u8>, ConnectionError)> {
    let valid = greeting_of_n1(1);
    let after_greeting = |bytes: &[u8]| [&valid[..], bytes].concat();
    let after_preamble = |bytes: &[u8]| [&PREAMBLE[..], bytes].concat();
    let acknowledgement = encode_frame(&Packet::Acknowledgement { sequence: 1 });
    let mut other_version = greeting_of_n1(1);
    other_version[7] = 9;
    let four_gib = [0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0];
    vec![
        (
            "HTTP",
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            ConnectionError::Foreign,
        ),
        ("another version", other_version, ConnectionError::Version),
        (
            "another cluster",
            greeting(8, "n1", "n0", 1),
            ConnectionError::WrongReceiver,
        ),
        (
            "for another node",
            greeting(7, "n1", "n9", 1),
            ConnectionError::WrongReceiver,
        ),
        (
            "from itself",
            greeting(7, "n0", "n0", 1),
            ConnectionError::WrongReceiver,
        ),
        (
            "from nobody",
            greeting(7, "", "n0", 1),
            ConnectionError::WrongReceiver,
        ),
        (
            "a name too long",
            greeting(7, &"x".repeat(65), "n0", 1),
            ConnectionError::Malformed,
        ),
        ("4 GiB", after_greeting(&four_gib), ConnectionError::TooLong),
        (
            "4 GiB at once",
            after_preamble(&four_gib),
            ConnectionError::TooLong,
        ),
        (
            "a message first",
            after_preamble(&data(1, b"hi")),
            ConnectionError::Malformed,
        ),
        (
            "a gap",
            after_greeting(&data(2, b"")),
            ConnectionError::Malformed,
        ),
        (
            "greeting twice",
            after_greeting(&valid[8..]),
            ConnectionError::Malformed,
        ),
        (
            "an acknowledgement",
            after_greeting(&acknowledgement),
            ConnectionError::Malformed,
        ),
        (
            "no packet",
            after_greeting(&frame_of_unknown_packet()),
            ConnectionError::Malformed,
        ),
        (
            "a message too long",
            after_greeting(&data(1, &vec![0; MAX_MESSAGE_BYTES + 1])),
            ConnectionError::Malformed,
        ),
    ]
}

#[test]
fn valid_bytes_deliver_their_message() {
    assert_eq!(
        receive(&[&greeting_of_n1(1), &data(1, b"hi")]),
        Received {
            messages: vec![b"hi".to_vec()],
            error: None
        }
    );
}

#[test]
fn invalid_bytes_end_their_connection() {
    for (name, bytes, error) in invalid_bytes() {
        let expected = Received {
            messages: Vec::new(),
            error: Some(error),
        };
        assert_eq!(receive(&[&bytes]), expected, "{name}");
        // The same in pieces, most in single bytes.
        let piece_size = if bytes.len() > 1000 { 1000 } else { 1 };
        let pieces: Vec<&[u8]> = bytes.chunks(piece_size).collect();
        assert_eq!(receive(&pieces).error, Some(error), "{name}, in pieces");
    }
}

#[test]
fn flipped_bit_delivers_no_message() {
    let valid = [&greeting_of_n1(1)[..], &data(1, b"hi")].concat();
    for bit in 0..valid.len() * 8 {
        let mut bytes = valid.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let received = receive(&[&bytes]);
        assert!(
            received.messages.is_empty() && (received.error.is_some() || bytes.len() > 8),
            "bit {bit}: {:?}",
            received.messages
        );
    }
}

/// The queued message must not count as acknowledged, either: it is sent again.
#[test]
fn invalid_answers_end_their_connection_and_lose_no_message() {
    let cases = [
        ("a message", data(1, b"")),
        (
            "acknowledgement of what wasn't sent",
            encode_frame(&Packet::Acknowledgement { sequence: 2 }),
        ),
        (
            "greeting accepted twice",
            encode_frame(&Packet::GreetingAccepted {
                process_nonce: 9,
                last_received: 0,
            }),
        ),
    ];
    let connect = Effect::Connect {
        node: "n1".into(),
        address: address(1),
    };
    for (name, bytes) in cases {
        let mut streams = Streams::new(CLUSTER, "n0", 1);
        let mut out = Vec::new();
        streams
            .send(0.0, "n1", address(1), b"hi".to_vec(), &mut out)
            .expect("room");
        assert_eq!(out, std::slice::from_ref(&connect));
        streams.handle_connecting(0.0, "n1", Some(3), &mut out);
        streams.handle_connected(0.0, 3, &mut out);
        streams.handle_bytes(0.0, 3, &greeting_accepted(), &mut out);
        out.clear();
        streams.handle_bytes(0.0, 3, &bytes, &mut out);
        assert_eq!(out, [Effect::Close { connection: 3 }], "{name}");
        let queued = QueueLength {
            messages: 1,
            bytes: 2,
        };
        assert_eq!(streams.queue_length("n1"), queued, "{name}");
        let retry_at = streams.next_timeout().expect("an attempt to connect");
        streams.handle_timeout(retry_at, &mut out);
        assert_eq!(out.last(), Some(&connect), "{name}");
    }
}

//! Invalid bytes end the connection on which they are received, and have no other effect.

mod support;

use postproxy_streams::{
    ConnectionError, Effect, MAX_MESSAGE_BYTES, PREAMBLE, Packet, QueueLength, Streams,
    encode_frame,
};
use support::{CLUSTER, address, data, greeting, greeting_accepted, greeting_of_n1};

/// The effects of the bytes received on one connection.
#[derive(Debug, PartialEq)]
struct Received {
    messages: Vec<Vec<u8>>,
    /// Why the connection was dropped.
    error: Option<ConnectionError>,
}

/// Passes these pieces to a node on one connection.
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

/// Returns a frame with a valid checksum and an unknown packet variant.
fn frame_of_unknown_packet() -> Vec<u8> {
    let mut body = postcard::to_stdvec(&(9u32, 1u64)).expect("encode the packet");
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(crc32fast::hash(&body).to_be_bytes());
    frame.append(&mut body);
    frame
}

/// Returns a table of cases: name, received bytes, and the error with which the connection is
/// dropped.
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
            ConnectionError::UnknownProtocol,
        ),
        (
            "another version",
            other_version,
            ConnectionError::VersionMismatch,
        ),
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
            "from the receiver itself",
            greeting(7, "n0", "n0", 1),
            ConnectionError::WrongReceiver,
        ),
        (
            "empty sender name",
            greeting(7, "", "n0", 1),
            ConnectionError::WrongReceiver,
        ),
        (
            "a sender name that is too long",
            greeting(7, &"x".repeat(65), "n0", 1),
            ConnectionError::Malformed,
        ),
        (
            "a claimed length of 4 GiB",
            after_greeting(&four_gib),
            ConnectionError::TooLong,
        ),
        (
            "a claimed length of 4 GiB without a greeting",
            after_preamble(&four_gib),
            ConnectionError::TooLong,
        ),
        (
            "a message before the greeting",
            after_preamble(&data(1, b"hi")),
            ConnectionError::Malformed,
        ),
        (
            "a gap in the sequence numbers",
            after_greeting(&data(2, b"")),
            ConnectionError::Malformed,
        ),
        (
            "a second greeting",
            after_greeting(&valid[8..]),
            ConnectionError::Malformed,
        ),
        (
            "an acknowledgement",
            after_greeting(&acknowledgement),
            ConnectionError::Malformed,
        ),
        (
            "an unknown packet variant",
            after_greeting(&frame_of_unknown_packet()),
            ConnectionError::Malformed,
        ),
        (
            "a message that is too long",
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
        // The same in pieces: single bytes, except for long inputs.
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

/// The queued message must not be treated as acknowledged: it is sent again.
#[test]
fn invalid_answers_end_their_connection_and_lose_no_message() {
    let cases = [
        ("a message", data(1, b"")),
        (
            "an acknowledgement of a message that was not sent",
            encode_frame(&Packet::Acknowledgement { sequence: 2 }),
        ),
        (
            "a second answer to the greeting",
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
            .expect("queue the message");
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
        let retry_at = streams.next_timeout().expect("a timeout to reconnect");
        streams.handle_timeout(retry_at, &mut out);
        assert_eq!(out.last(), Some(&connect), "{name}");
    }
}

//! Pins the wire format between nodes: the preamble, the frames and every packet. Nodes of a
//! cluster may run different versions of the program, so these bytes must not change. The literals
//! were recorded from an earlier version.

use postproxy_streams::{
    ConnectionError, Effect, FrameReader, MAX_MESSAGE_BYTES, PREAMBLE, Packet, QueueLength,
    Streams, encode_frame,
};

/// Decodes hexadecimal digits.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the packet is encoded as this literal frame (length, checksum, body) and decoded
/// from it.
#[track_caller]
fn assert_encoding(packet: Packet, literal: &str) {
    let bytes = encode_frame(&packet);
    assert_eq!(hex::encode(&bytes), literal, "{packet:?}");
    let mut reader = FrameReader::default();
    reader.push(PREAMBLE);
    reader.push(&decode_hex(literal));
    assert_eq!(reader.next_packet(), Ok(Some(packet)));
    assert_eq!(
        (reader.next_packet(), reader.buffered_bytes()),
        (Ok(None), 0)
    );
}

#[test]
fn preamble_and_limits_are_unchanged() {
    assert_eq!(hex::encode(PREAMBLE), "7070666c0d0a0001");
    assert_eq!(MAX_MESSAGE_BYTES, 1_048_576);
}

#[test]
fn packets_keep_their_frames() {
    let (from, to) = ("n-1".to_owned(), "n-2".to_owned());
    assert_encoding(
        Packet::Greeting {
            cluster: 0x0102_0304,
            from,
            process_nonce: u64::MAX,
            session: 300,
            to,
        },
        "0000001903dedd500084868808036e2d31ffffffffffffffffff01ac02036e2d32",
    );
    let (from, to) = (String::new(), String::new());
    assert_encoding(
        Packet::Greeting {
            cluster: 0,
            from,
            process_nonce: 0,
            session: 0,
            to,
        },
        "00000006b1c2a1a3000000000000",
    );
    assert_encoding(
        Packet::GreetingAccepted {
            process_nonce: 301,
            last_received: 2,
        },
        "00000004946075e401ad0202",
    );
    assert_encoding(
        Packet::Data {
            sequence: 3,
            message: vec![1, 2, 255],
        },
        "00000006b7e932ae0203030102ff",
    );
    assert_encoding(
        Packet::Data {
            sequence: 0,
            message: Vec::new(),
        },
        "00000003fcc50d7c020000",
    );
    assert_encoding(
        Packet::Acknowledgement { sequence: 302 },
        "00000003238d970003ae02",
    );
}

/// Returns the error of decoding these bytes.
#[track_caller]
fn decode_error(digits: &str) -> ConnectionError {
    let mut reader = FrameReader::default();
    reader.push(&decode_hex(digits));
    reader.next_packet().expect_err("a decoding error")
}

#[test]
fn damaged_bytes_keep_their_errors() {
    assert_eq!(decode_error("70706870"), ConnectionError::UnknownProtocol);
    assert_eq!(
        decode_error("7070666c0d0a0002"),
        ConnectionError::VersionMismatch
    );
    assert_eq!(
        decode_error("7070666c0d0a0100"),
        ConnectionError::VersionMismatch
    );
    // One byte more than the maximum message length plus 256 bytes for the rest of the packet.
    assert_eq!(
        decode_error("7070666c0d0a00010010010100000000"),
        ConnectionError::TooLong
    );
    assert_eq!(
        decode_error("7070666c0d0a0001000000020000000003ae"),
        ConnectionError::ChecksumMismatch
    );
    // Correct checksums: an empty body, an unknown variant, and trailing bytes.
    assert_eq!(
        decode_error("7070666c0d0a00010000000000000000"),
        ConnectionError::Malformed
    );
    let framed = |body: &str| {
        let sum = crc32fast::hash(&decode_hex(body));
        format!("7070666c0d0a0001{:08x}{sum:08x}{body}", body.len() / 2)
    };
    assert_eq!(decode_error(&framed("04")), ConnectionError::Malformed);
    assert_eq!(decode_error(&framed("030100")), ConnectionError::Malformed);
}

/// Returns the bytes written to this connection.
fn written(out: &[Effect], key: usize) -> String {
    let written = |effect: &Effect| match effect {
        Effect::Write { connection, bytes } if *connection == key => Some(hex::encode(bytes)),
        _ => None,
    };
    out.iter().filter_map(written).collect()
}

/// The first bytes from the connecting node: the preamble and `Greeting`.
const GREETING: &str = "7070666c0d0a0001000000108b23ed820084868808036e2d31ac0201036e2d32";
/// The answer of the accepting node: the preamble and `GreetingAccepted`.
const GREETING_ACCEPTED: &str = "7070666c0d0a0001000000047a6e14c801ad0200";
/// The message of the connecting node.
const DATA: &str = "00000007d69a113f020104776f7264";
/// The acknowledgement of the message.
const ACKNOWLEDGEMENT: &str = "000000021df371aa0301";

#[test]
fn connecting_node_writes_the_recorded_bytes() {
    let (mut streams, mut out) = (Streams::new(0x0102_0304, "n-1", 300), Vec::new());
    let address = "127.0.0.1:7070".parse().expect("parse the address");
    streams
        .send(0.0, "n-2", address, b"word".to_vec(), &mut out)
        .expect("queue the message");
    assert_eq!(
        out,
        [Effect::Connect {
            node: "n-2".into(),
            address
        }]
    );
    streams.handle_connecting(0.0, "n-2", Some(5), &mut out);
    streams.handle_connected(0.0, 5, &mut out);
    assert_eq!(written(&out, 5), GREETING);
    out.clear();
    streams.handle_bytes(0.0, 5, &decode_hex(GREETING_ACCEPTED), &mut out);
    assert_eq!(written(&out, 5), DATA);
    assert_eq!(
        streams.queue_length("n-2"),
        QueueLength {
            messages: 1,
            bytes: 4
        }
    );
    streams.handle_bytes(0.0, 5, &decode_hex(ACKNOWLEDGEMENT), &mut out);
    assert_eq!(
        streams.queue_length("n-2"),
        QueueLength {
            messages: 0,
            bytes: 0
        }
    );
    assert!(streams.dropped().is_empty());
}

#[test]
fn accepting_node_writes_the_recorded_bytes() {
    let (mut streams, mut out) = (Streams::new(0x0102_0304, "n-2", 301), Vec::new());
    streams.handle_accepted(0.0, 6, &mut out);
    streams.handle_bytes(0.0, 6, &decode_hex(GREETING), &mut out);
    assert_eq!(written(&out, 6), GREETING_ACCEPTED);
    out.clear();
    streams.handle_bytes(0.0, 6, &decode_hex(DATA), &mut out);
    assert!(out.contains(&Effect::Deliver {
        from: "n-1".into(),
        process_nonce: 300,
        message: b"word".to_vec()
    }));
    assert_eq!(written(&out, 6), ACKNOWLEDGEMENT);
    assert!(streams.dropped().is_empty());
}

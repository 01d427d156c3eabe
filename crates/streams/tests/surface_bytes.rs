//! Pins the streams between nodes: the greeting, the frames, and every packet. Nodes of a fleet may run different versions,
//! so these bytes must not change with a rename. The literals were written by the version before the renames.

use postproxy_streams::{DecodeError, Effect, GREETING, MOST_WORD, Packet, Reader, Streams, frame};

/// Returns the bytes as lower-case hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the bytes that the hexadecimal digits stand for.
fn unhex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte =
        |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("digits"), 16).expect("a byte");
    pairs.map(byte).collect()
}

/// Asserts that the frame of the packet (length, checksum, body) is this literal, and that the packet is read from it.
#[track_caller]
fn pin(packet: Packet, literal: &str) {
    let bytes = frame(&packet);
    assert_eq!(hex(&bytes), literal, "{packet:?}");
    let mut reader = Reader::default();
    reader.push(GREETING);
    reader.push(&unhex(literal));
    assert_eq!(reader.packet(), Ok(Some(packet)));
    assert_eq!((reader.packet(), reader.held()), (Ok(None), 0));
}

#[test]
fn greeting_and_limits_are_unchanged() {
    assert_eq!(hex(GREETING), "7070666c0d0a0001");
    assert_eq!(MOST_WORD, 1_048_576);
}

#[test]
fn packets_keep_their_frames() {
    let (from, to) = ("n-1".to_owned(), "n-2".to_owned());
    pin(
        Packet::Hello {
            cluster: 0x0102_0304,
            from,
            life: u64::MAX,
            session: 300,
            to,
        },
        "0000001903dedd500084868808036e2d31ffffffffffffffffff01ac02036e2d32",
    );
    let (from, to) = (String::new(), String::new());
    pin(
        Packet::Hello {
            cluster: 0,
            from,
            life: 0,
            session: 0,
            to,
        },
        "00000006b1c2a1a3000000000000",
    );
    pin(
        Packet::Welcome { life: 301, got: 2 },
        "00000004946075e401ad0202",
    );
    pin(
        Packet::Word(3, vec![1, 2, 255]),
        "00000006b7e932ae0203030102ff",
    );
    pin(Packet::Word(0, Vec::new()), "00000003fcc50d7c020000");
    pin(Packet::Got(302), "00000003238d970003ae02");
}

/// The error that comes of these bytes.
#[track_caller]
fn flaw(digits: &str) -> DecodeError {
    let mut reader = Reader::default();
    reader.push(&unhex(digits));
    reader.packet().expect_err("an error")
}

#[test]
fn damaged_bytes_keep_their_errors() {
    assert_eq!(flaw("70706870"), DecodeError::Foreign);
    assert_eq!(flaw("7070666c0d0a0002"), DecodeError::Version);
    assert_eq!(flaw("7070666c0d0a0100"), DecodeError::Version);
    // The longest word and 256 bytes beside it may come.
    assert_eq!(flaw("7070666c0d0a00010010010100000000"), DecodeError::Long);
    assert_eq!(
        flaw("7070666c0d0a0001000000020000000003ae"),
        DecodeError::Damaged
    );
    // Sound checksums: no body, a variant that does not exist, a byte too many.
    assert_eq!(
        flaw("7070666c0d0a00010000000000000000"),
        DecodeError::Unknown
    );
    let framed = |body: &str| {
        let sum = crc32fast::hash(&unhex(body));
        format!("7070666c0d0a0001{:08x}{sum:08x}{body}", body.len() / 2)
    };
    assert_eq!(flaw(&framed("04")), DecodeError::Unknown);
    assert_eq!(flaw(&framed("030100")), DecodeError::Unknown);
}

/// The bytes that are written to this connection.
fn written(out: &[Effect], key: usize) -> String {
    let written = |one: &Effect| match one {
        Effect::Write(to, bytes) if *to == key => Some(hex(bytes)),
        _ => None,
    };
    out.iter().filter_map(written).collect()
}

/// What the dialing node writes at first: the greeting and `Hello`.
const HELLO: &str = "7070666c0d0a0001000000108b23ed820084868808036e2d31ac0201036e2d32";
/// What the other node answers: the greeting and `Welcome`.
const WELCOME: &str = "7070666c0d0a0001000000047a6e14c801ad0200";
/// The message that the dialing node has queued.
const WORD: &str = "00000007d69a113f020104776f7264";
/// The acknowledgement.
const GOT: &str = "000000021df371aa0301";

#[test]
fn dialing_node_keeps_its_side_of_the_conversation() {
    let (mut streams, mut out) = (Streams::new(0x0102_0304, "n-1", 300), Vec::new());
    let address = "127.0.0.1:7070".parse().expect("an address");
    streams
        .say(0.0, "n-2", address, b"word".to_vec(), &mut out)
        .expect("room");
    assert_eq!(out, [Effect::Dial("n-2".into(), address)]);
    streams.dialled(0.0, "n-2", Some(5), &mut out);
    streams.opened(0.0, 5, &mut out);
    assert_eq!(written(&out, 5), HELLO);
    out.clear();
    streams.received(0.0, 5, &unhex(WELCOME), &mut out);
    assert_eq!(written(&out, 5), WORD);
    assert_eq!(streams.queued("n-2"), (1, 4));
    streams.received(0.0, 5, &unhex(GOT), &mut out);
    assert_eq!(streams.queued("n-2"), (0, 0));
    assert!(streams.flaws().is_empty());
}

#[test]
fn answering_node_keeps_its_side_of_the_conversation() {
    let (mut streams, mut out) = (Streams::new(0x0102_0304, "n-2", 301), Vec::new());
    streams.accepted(0.0, 6, &mut out);
    streams.received(0.0, 6, &unhex(HELLO), &mut out);
    assert_eq!(written(&out, 6), WELCOME);
    out.clear();
    streams.received(0.0, 6, &unhex(WORD), &mut out);
    assert!(out.contains(&Effect::Arrived("n-1".into(), 300, b"word".to_vec())));
    assert_eq!(written(&out, 6), GOT);
    assert!(streams.flaws().is_empty());
}

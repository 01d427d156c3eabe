//! Stalled connections are dropped, incoming and outgoing ones; slow ones are not.

mod support;

use postproxy_streams::{Effect, MAX_MESSAGE_BYTES, Streams};
use support::{CLUSTER, address, data, greeting_accepted, greeting_of_n1};

/// Returns the streams of node `n0` and the effects so far, after another node has made connection
/// 1.
fn accepted() -> (Streams, Vec<Effect>) {
    let mut streams = Streams::new(CLUSTER, "n0", 1);
    let mut out = Vec::new();
    streams.handle_accepted(0.0, 1, &mut out);
    (streams, out)
}

fn is_closed(out: &[Effect], connection: usize) -> bool {
    out.contains(&Effect::Close { connection })
}

#[test]
fn connection_that_stalls_at_any_byte_is_dropped() {
    let greeting = greeting_of_n1(1);
    let bytes = [&greeting[..], &data(1, &[1; 40])].concat();
    for cut in 0..=bytes.len() {
        let (mut streams, mut out) = accepted();
        streams.handle_bytes(0.0, 1, &bytes[..cut], &mut out);
        streams.handle_timeout(2.5, &mut out);
        let is_between_packets = cut == bytes.len() || cut == greeting.len();
        assert_eq!(is_closed(&out, 1), !is_between_packets, "cut at {cut}");
        streams.handle_timeout(60.5, &mut out);
        assert!(is_closed(&out, 1), "idle, cut at {cut}");
    }
}

#[test]
fn trickling_greeting_is_dropped() {
    let greeting = greeting_of_n1(1);
    let (mut streams, mut out) = accepted();
    for n in 0..8 {
        let now = f64::from(n) * 0.5;
        streams.handle_bytes(now, 1, &greeting[n as usize..][..1], &mut out);
        streams.handle_timeout(now, &mut out);
    }
    assert!(is_closed(&out, 1), "a byte every 0.5 s");
}

#[test]
fn slow_message_is_received() {
    let (mut streams, mut out) = accepted();
    streams.handle_bytes(0.0, 1, &greeting_of_n1(1), &mut out);
    let frame = data(1, &vec![1; MAX_MESSAGE_BYTES]);
    // 128 KiB per second.
    for (n, piece) in frame.chunks(64 << 10).enumerate() {
        let now = n as f64 * 0.5;
        streams.handle_timeout(now, &mut out);
        streams.handle_bytes(now, 1, piece, &mut out);
    }
    assert!(out.iter().any(
        |effect| matches!(effect, Effect::Deliver { message, .. } if message.len() == MAX_MESSAGE_BYTES)
    ));
}

#[test]
fn stalled_outgoing_connection_is_closed_and_made_again() {
    let mut streams = Streams::new(CLUSTER, "n0", 1);
    let mut out = Vec::new();
    streams
        .send(0.0, "n1", address(1), b"hi".to_vec(), &mut out)
        .expect("queue the message");
    streams.handle_connecting(0.0, "n1", Some(3), &mut out);
    streams.handle_timeout(1.0, &mut out);
    assert!(is_closed(&out, 3), "the connection was not established");
    streams.handle_timeout(1.1, &mut out);
    streams.handle_connecting(1.1, "n1", Some(5), &mut out);
    streams.handle_connected(1.1, 5, &mut out);
    streams.handle_timeout(2.2, &mut out);
    assert!(is_closed(&out, 5), "the greeting was not answered");
    streams.handle_timeout(2.5, &mut out);
    streams.handle_connecting(2.5, "n1", Some(7), &mut out);
    streams.handle_connected(2.5, 7, &mut out);
    streams.handle_bytes(2.6, 7, &greeting_accepted(), &mut out);
    streams.handle_timeout(4.0, &mut out);
    assert!(
        !is_closed(&out, 7),
        "closed before the acknowledgement timeout"
    );
    streams.handle_timeout(4.7, &mut out);
    assert!(is_closed(&out, 7), "the message was not acknowledged");
}

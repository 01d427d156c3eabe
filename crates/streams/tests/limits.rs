//! Limits on queues, unacknowledged bytes, connections and incomplete packets.

mod support;

use postproxy_streams::{
    ConnectionError, Effect, MAX_INCOMING_CONNECTIONS, MAX_MESSAGE_BYTES, MAX_QUEUED_BYTES, Streams,
};
use support::{CLUSTER, address, data, greeting, greeting_accepted};

#[test]
fn queue_and_unacknowledged_bytes_are_bounded() {
    let mut streams = Streams::new(CLUSTER, "n0", 1);
    let mut out = Vec::new();
    let mut queued = 0;
    while streams
        .send(0.0, "n1", address(1), vec![0; 100_000], &mut out)
        .is_ok()
    {
        queued += 1;
    }
    assert_eq!(queued, MAX_QUEUED_BYTES / 100_000);
    assert!(
        streams
            .send(
                0.0,
                "n2",
                address(2),
                vec![0; MAX_MESSAGE_BYTES + 1],
                &mut out
            )
            .is_err()
    );
    streams.handle_connecting(0.0, "n1", Some(3), &mut out);
    streams.handle_connected(0.0, 3, &mut out);
    out.clear();
    streams.handle_bytes(0.0, 3, &greeting_accepted(), &mut out);
    let written: usize = out
        .iter()
        .map(|effect| match effect {
            Effect::Write { bytes, .. } => bytes.len(),
            _ => 0,
        })
        .sum();
    assert!((200_000..400_000).contains(&written), "{written}");
}

#[test]
fn incoming_connections_are_bounded() {
    let mut streams = Streams::new(CLUSTER, "n0", 1);
    let mut out = Vec::new();
    for key in 0..10 * MAX_INCOMING_CONNECTIONS {
        streams.handle_accepted(key as f64 * 1e-3, key, &mut out);
    }
    assert_eq!(
        out.len(),
        9 * MAX_INCOMING_CONNECTIONS,
        "all connections over the limit must be closed"
    );
}

#[test]
fn incomplete_packets_of_all_connections_are_bounded() {
    let mut streams = Streams::new(CLUSTER, "n0", 1);
    let mut out = Vec::new();
    let frame = data(1, &vec![0; MAX_MESSAGE_BYTES]);
    for key in 0..MAX_INCOMING_CONNECTIONS {
        streams.handle_accepted(0.0, key, &mut out);
        let greeting = greeting(CLUSTER, &format!("m{key}"), "n0", 1);
        streams.handle_bytes(0.0, key, &greeting, &mut out);
        streams.handle_bytes(0.0, key, &frame[..MAX_MESSAGE_BYTES - 1], &mut out);
    }
    assert!(
        streams.buffered_bytes() <= 17 << 20,
        "{}",
        streams.buffered_bytes()
    );
    assert!(streams.dropped()[&ConnectionError::LimitExceeded] >= 40);
}

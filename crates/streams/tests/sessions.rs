//! Sessions continue over reconnections, and end when a newer session of the same process begins.

mod support;

use postproxy_streams::{Effect, Streams};
use support::{CLUSTER, data, greeting_of_n1};

fn delivered(message: &[u8]) -> Effect {
    Effect::Deliver {
        from: "n1".into(),
        process_nonce: 5,
        message: message.to_vec(),
    }
}

#[test]
fn ended_session_delivers_nothing_and_current_one_continues() {
    let mut streams = Streams::new(CLUSTER, "n0", 1);
    let mut out = Vec::new();
    let mut receive = |connection: usize, bytes: &[u8]| {
        streams.handle_accepted(0.0, connection, &mut out);
        streams.handle_bytes(0.0, connection, bytes, &mut out);
        std::mem::take(&mut out)
    };
    receive(1, &[greeting_of_n1(4), data(1, b"a")].concat());
    // A newer session of the same process: its sequence numbers start again, and the older
    // connection is closed.
    let out = receive(2, &[greeting_of_n1(5), data(1, b"b")].concat());
    assert!(out.contains(&Effect::Close { connection: 1 }));
    let out = receive(3, &[greeting_of_n1(4), data(2, b"c")].concat());
    assert_eq!(out, [Effect::Close { connection: 3 }]);
    // The current session continues on another connection: only the new message is delivered.
    let repeated = [greeting_of_n1(5), data(1, b"b"), data(2, b"d")].concat();
    let out = receive(4, &repeated);
    let delivered_again: Vec<&Effect> = out
        .iter()
        .filter(|effect| matches!(effect, Effect::Deliver { .. }))
        .collect();
    assert_eq!(delivered_again, [&delivered(b"d")]);
}

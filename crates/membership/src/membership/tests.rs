//! Checks the encoding of the messages that gossip carries in addition to the SWIM library's own
//! updates. Nodes of a cluster may run different versions, so the encoding must not change, for
//! example when a type or field is renamed. The literals were recorded with an earlier version.

use super::dissemination::GossipMessage;

/// Asserts that the message is encoded as this literal, and decoded from it.
#[track_caller]
fn assert_encoding(message: GossipMessage, literal: &[u8]) {
    assert_eq!(
        postcard::to_stdvec(&message).expect("an encoded message"),
        literal,
        "{message:?}"
    );
    assert_eq!(
        postcard::from_bytes::<GossipMessage>(literal).expect("a message"),
        message
    );
}

#[test]
fn gossip_messages_keep_their_bytes() {
    let report = GossipMessage::ReachabilityReport {
        name: "n-1".into(),
        process_nonce: 300,
        sequence: 515,
        unreachable: vec!["n-2".into(), "n-3".into()],
    };
    assert_encoding(report, b"\x00\x03n-1\xac\x02\x83\x04\x02\x03n-2\x03n-3");
    let empty_report = GossipMessage::ReachabilityReport {
        name: "n-1".into(),
        process_nonce: 1,
        sequence: 2,
        unreachable: Vec::new(),
    };
    assert_encoding(empty_report, b"\x00\x03n-1\x01\x02\x00");
    let left = GossipMessage::Left {
        name: "n-4".into(),
        process_nonce: u64::MAX,
    };
    assert_encoding(left, b"\x01\x03n-4\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01");
}

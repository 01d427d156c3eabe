//! Pins the bytes of what the gossip carries beside the library's own updates. Nodes of a fleet may run different versions,
//! so these bytes must not change with a rename. The literals were written by the version before the renames.

use super::GossipMessage;

/// Asserts that the word is encoded as this literal, and decoded from it.
#[track_caller]
fn pin(word: GossipMessage, literal: &[u8]) {
    assert_eq!(
        postcard::to_stdvec(&word).expect("an encoded word"),
        literal,
        "{word:?}"
    );
    assert_eq!(
        postcard::from_bytes::<GossipMessage>(literal).expect("a word"),
        word
    );
}

#[test]
fn gossip_words_keep_their_bytes() {
    let deaf = GossipMessage::Deaf("n-1".into(), 300, 515, vec!["n-2".into(), "n-3".into()]);
    pin(deaf, b"\x00\x03n-1\xac\x02\x83\x04\x02\x03n-2\x03n-3");
    pin(
        GossipMessage::Deaf("n-1".into(), 1, 2, Vec::new()),
        b"\x00\x03n-1\x01\x02\x00",
    );
    pin(
        GossipMessage::Left("n-4".into(), u64::MAX),
        b"\x01\x03n-4\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01",
    );
}

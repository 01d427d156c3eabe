//! Pins the words of this crate that stand in the JSON body of `GET /v1/fleet/members`: the keys of
//! `dropped`.
//!
//! Programs compare them as text: they are literal here, so that renaming the type and its variants
//! can't change them unseen.

use postproxy_streams::ConnectionError;

#[test]
fn each_reason_for_dropping_a_stream_has_this_word() {
    let flaws = [
        ConnectionError::Foreign,
        ConnectionError::Version,
        ConnectionError::WrongReceiver,
        ConnectionError::TooLong,
        ConnectionError::Damaged,
        ConnectionError::Malformed,
        ConnectionError::Stalled,
        ConnectionError::TooMany,
    ];
    assert_eq!(
        flaws.map(ConnectionError::as_str),
        [
            "stream: foreign",
            "stream: another version",
            "stream: for another node",
            "stream: too long",
            "stream: damaged",
            "stream: not understood",
            "stream: stalled",
            "stream: too many",
        ]
    );
}

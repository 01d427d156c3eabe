//! Pins the words of this crate that stand in the JSON body of `GET /v1/fleet/members`: the keys of `dropped`.
//!
//! Programs compare them as text: they are literal here, so that renaming the type and its variants can't change them unseen.

use postproxy_streams::DecodeError;

#[test]
fn each_reason_for_dropping_a_stream_has_this_word() {
    let flaws = [
        DecodeError::Foreign,
        DecodeError::Version,
        DecodeError::Other,
        DecodeError::Long,
        DecodeError::Damaged,
        DecodeError::Unknown,
        DecodeError::Stalled,
        DecodeError::Crowded,
    ];
    assert_eq!(
        flaws.map(DecodeError::word),
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

//! Pins the words with which the log and the management API name streams that were closed for their bytes. They must not
//! change with a name in the code.

use postproxy_streams::DecodeError;

#[test]
fn reasons_to_drop_a_stream_have_their_words() {
    let cases = [
        (DecodeError::Foreign, "stream: foreign"),
        (DecodeError::Version, "stream: another version"),
        (DecodeError::Other, "stream: for another node"),
        (DecodeError::Long, "stream: too long"),
        (DecodeError::Damaged, "stream: damaged"),
        (DecodeError::Unknown, "stream: not understood"),
        (DecodeError::Stalled, "stream: stalled"),
        (DecodeError::Crowded, "stream: too many"),
    ];
    for (flaw, word) in cases {
        assert_eq!(flaw.word(), word);
    }
}

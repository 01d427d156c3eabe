//! Pins the words with which the log and the management API name streams that were closed for their
//! bytes. They must not change with a name in the code.

use postproxy_streams::ConnectionError;

#[test]
fn reasons_to_drop_a_stream_have_their_words() {
    let cases = [
        (ConnectionError::Foreign, "stream: foreign"),
        (ConnectionError::Version, "stream: another version"),
        (ConnectionError::WrongReceiver, "stream: for another node"),
        (ConnectionError::TooLong, "stream: too long"),
        (ConnectionError::Damaged, "stream: damaged"),
        (ConnectionError::Malformed, "stream: not understood"),
        (ConnectionError::Stalled, "stream: stalled"),
        (ConnectionError::TooMany, "stream: too many"),
    ];
    for (error, text) in cases {
        assert_eq!(error.as_str(), text);
    }
}

//! Pins the texts by which the log and the management API name the reasons for dropping a
//! connection, so that a rename in the code does not change them.

use postproxy_streams::ConnectionError;

#[test]
fn connection_errors_keep_their_texts() {
    let cases = [
        (ConnectionError::UnknownProtocol, "stream: foreign"),
        (ConnectionError::VersionMismatch, "stream: another version"),
        (ConnectionError::WrongReceiver, "stream: for another node"),
        (ConnectionError::TooLong, "stream: too long"),
        (ConnectionError::ChecksumMismatch, "stream: damaged"),
        (ConnectionError::Malformed, "stream: not understood"),
        (ConnectionError::Stalled, "stream: stalled"),
        (ConnectionError::LimitExceeded, "stream: too many"),
    ];
    for (error, text) in cases {
        assert_eq!(error.as_str(), text);
    }
}

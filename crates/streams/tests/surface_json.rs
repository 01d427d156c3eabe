//! Pins the strings of this crate in the JSON body of `GET /v1/fleet/members`: the keys of
//! `dropped`.
//!
//! Programs compare these strings. They are literals here, so that renaming the type or its
//! variants does not change them unnoticed.

use postproxy_streams::ConnectionError;

#[test]
fn connection_errors_keep_their_json_keys() {
    let errors = [
        ConnectionError::UnknownProtocol,
        ConnectionError::VersionMismatch,
        ConnectionError::WrongReceiver,
        ConnectionError::TooLong,
        ConnectionError::ChecksumMismatch,
        ConnectionError::Malformed,
        ConnectionError::Stalled,
        ConnectionError::LimitExceeded,
    ];
    assert_eq!(
        errors.map(ConnectionError::as_str),
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

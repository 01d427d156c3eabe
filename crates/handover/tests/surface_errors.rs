//! Pins the texts with which the log says why a link was closed. They must not change when a name
//! in the code changes.

use postproxy_handover::LinkError;

#[test]
fn every_error_has_its_text() {
    let cases = [
        (
            LinkError::UnknownProtocol,
            "the other process does not use the handover protocol",
        ),
        (
            LinkError::UnsupportedVersion(9),
            "the other process uses version 9 of the handover protocol, this one version 1",
        ),
        (
            LinkError::FrameTooLong(70_000),
            "message of 70000 bytes exceeds the limit of 8388608 bytes",
        ),
        (LinkError::Malformed, "malformed message received"),
        (
            LinkError::UnexpectedMessage,
            "message received that the state of the link does not allow",
        ),
        (
            LinkError::OtherNode("n1".into()),
            "the other process belongs to another node: n1",
        ),
        (
            LinkError::TimedOut,
            "timed out waiting for the other process",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

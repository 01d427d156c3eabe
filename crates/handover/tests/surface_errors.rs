//! Pins the messages with which the log names a fault of the other process. They must not change
//! with a name in the code.

use postproxy_handover::DecodeError;

#[test]
fn every_fault_has_its_message() {
    let cases = [
        (DecodeError::UnknownProtocol, "it speaks another language"),
        (
            DecodeError::UnsupportedVersion(9),
            "it speaks version 9, this is 1",
        ),
        (
            DecodeError::FrameTooLong(70_000),
            "a message of 70000 bytes is too long",
        ),
        (DecodeError::Malformed, "a message that can't be read"),
        (
            DecodeError::UnexpectedMessage,
            "a message that can't come now",
        ),
        (DecodeError::OtherNode("n1".into()), "it is n1"),
        (DecodeError::TimedOut, "it took too long"),
    ];
    for (fault, message) in cases {
        assert_eq!(fault.to_string(), message);
    }
}

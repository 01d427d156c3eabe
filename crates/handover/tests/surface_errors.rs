//! Pins the messages with which the log names a fault of the other process. They must not change with a name in the
//! code.

use postproxy_handover::DecodeError;

#[test]
fn every_fault_has_its_message() {
    let cases = [
        (DecodeError::Foreign, "it speaks another language"),
        (DecodeError::Version(9), "it speaks version 9, this is 1"),
        (
            DecodeError::Long(70_000),
            "a message of 70000 bytes is too long",
        ),
        (DecodeError::Malformed, "a message that can't be read"),
        (DecodeError::OutOfTurn, "a message that can't come now"),
        (DecodeError::OtherNode("n1".into()), "it is n1"),
        (DecodeError::Stalled, "it took too long"),
    ];
    for (fault, message) in cases {
        assert_eq!(fault.to_string(), message);
    }
}

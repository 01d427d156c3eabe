//! Pins the messages with which the log names a fault of the other process. They must not change with a name in the
//! code.

use postproxy_handover::Fault;

#[test]
fn every_fault_has_its_message() {
    let cases = [
        (Fault::Foreign, "it speaks another language"),
        (Fault::Version(9), "it speaks version 9, this is 1"),
        (Fault::Long(70_000), "a message of 70000 bytes is too long"),
        (Fault::Malformed, "a message that can't be read"),
        (Fault::OutOfTurn, "a message that can't come now"),
        (Fault::OtherNode("n1".into()), "it is n1"),
        (Fault::Stalled, "it took too long"),
    ];
    for (fault, message) in cases {
        assert_eq!(fault.to_string(), message);
    }
}

//! Pins the messages with which a node's start says why an inherited descriptor is not taken over.
//! They must not change with a name in the code.

use postproxy_inherited_listener::InheritError;
use std::io::ErrorKind;
use std::net::SocketAddr;

#[test]
fn every_problem_has_its_message() {
    let other = SocketAddr::from(([127, 0, 0, 1], 80));
    let cases = [
        (
            InheritError::InvalidNumber,
            "is no number of a descriptor above 2",
        ),
        (InheritError::AlreadyAdopted, "was taken over before"),
        (InheritError::NotOpen, "names a descriptor that is not open"),
        (
            InheritError::NotASocket,
            "names a descriptor that is no socket",
        ),
        (
            InheritError::NotListening,
            "names a socket that does not listen for streams",
        ),
        (
            InheritError::OtherAddress(Some(other)),
            "names a socket that listens at 127.0.0.1:80",
        ),
        (
            InheritError::OtherAddress(None),
            "names a socket that listens at no internet address",
        ),
        (
            InheritError::System(ErrorKind::PermissionDenied),
            "names a socket that can't be used: permission denied",
        ),
    ];
    for (problem, message) in cases {
        assert_eq!(problem.to_string(), message);
    }
}

//! Pins the texts with which a node that fails to start says why it can't adopt an inherited
//! descriptor. They must not change when a name in the code changes.

use postproxy_inherited_listener::InheritError;
use std::io::ErrorKind;
use std::net::SocketAddr;

#[test]
fn every_error_has_its_text() {
    let other = SocketAddr::from(([127, 0, 0, 1], 80));
    let cases = [
        (
            InheritError::InvalidNumber,
            "is not a descriptor number above 2",
        ),
        (
            InheritError::AlreadyAdopted,
            "names a descriptor that was adopted before",
        ),
        (InheritError::NotOpen, "names a descriptor that is not open"),
        (
            InheritError::NotASocket,
            "names a descriptor that is not a socket",
        ),
        (
            InheritError::NotListening,
            "names a socket that does not listen for stream connections",
        ),
        (
            InheritError::OtherAddress(Some(other)),
            "names a socket that listens at 127.0.0.1:80",
        ),
        (
            InheritError::OtherAddress(None),
            "names a socket that does not listen at an IP address",
        ),
        (
            InheritError::System(ErrorKind::PermissionDenied),
            "names a socket that cannot be used: permission denied",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

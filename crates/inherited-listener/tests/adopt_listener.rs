//! Adopts descriptors of every kind by their numbers. The test is alone in its process, because it
//! relies on which numbers are free.

use postproxy_inherited_listener::{InheritError, adopt_listener};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{IntoRawFd, OwnedFd};

/// Returns a loopback address whose port, 0, lets the system choose a free one.
fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Guards against adopting what a wrong number refers to: no open descriptor, a file, a socket that
/// does not listen, or a listener at another address; and against two owners of one descriptor.
#[test]
fn adopts_only_a_listener_at_the_address_and_only_once() {
    let into_number = |owned: OwnedFd| owned.into_raw_fd().to_string();
    for text in ["", "x", "-1", "0", "2", "3.5", "99999999999"] {
        assert_eq!(
            adopt_listener(text, any_address()).err(),
            Some(InheritError::InvalidNumber),
            "{text}"
        );
    }
    assert_eq!(
        adopt_listener("987654", any_address()).err(),
        Some(InheritError::NotOpen)
    );
    // All are opened before the first is adopted: a rejected descriptor is closed, and the next one
    // to be opened would get its number.
    let file = std::fs::File::open("/dev/null").expect("a file");
    let datagrams = UdpSocket::bind(any_address()).expect("a port");
    let real = TcpListener::bind(any_address()).expect("a port");
    let at = real.local_addr().expect("an address");
    let client = TcpStream::connect(at).expect("a connection");
    let other = real.try_clone().expect("a second descriptor");
    assert_eq!(
        adopt_listener(&into_number(file.into()), any_address()).err(),
        Some(InheritError::NotASocket)
    );
    assert_eq!(
        adopt_listener(&into_number(datagrams.into()), any_address()).err(),
        Some(InheritError::NotListening)
    );
    assert_eq!(
        adopt_listener(&into_number(client.into()), any_address()).err(),
        Some(InheritError::NotListening)
    );
    assert_eq!(
        adopt_listener(&into_number(other.into()), any_address()).err(),
        Some(InheritError::OtherAddress(Some(at)))
    );
    let number = into_number(real.into());
    let adopted = adopt_listener(&number, at).expect("the listener");
    assert_eq!(
        adopt_listener(&number, at).err(),
        Some(InheritError::AlreadyAdopted)
    );
    let peer = TcpStream::connect(at).expect("another connection");
    assert!(
        adopted.accept().is_ok(),
        "the first connection is waiting to be accepted"
    );
    assert!(
        std::iter::repeat_with(|| adopted.accept())
            .take(1000)
            .any(|a| a.is_ok())
    );
    drop(peer);
    assert!(
        adopted
            .accept()
            .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
    );
}

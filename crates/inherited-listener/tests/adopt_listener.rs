//! Descriptors of every kind, passed by their number. The one test is alone in its process: it
//! relies on which numbers are free.

use postproxy_inherited_listener::{InheritError, adopt_listener};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{IntoRawFd, OwnedFd};

/// Any free port.
fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Guards against serving on whatever a wrong number names: nothing open, a file, a socket that
/// does not listen, one of another address; and against two owners of one descriptor.
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
    // All are opened first: the number of one that was refused and closed would be given out again.
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
    assert!(adopted.accept().is_ok(), "the first one waits");
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

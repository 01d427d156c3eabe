//! A listening socket that this process was started with, taken over by its number. The one block of unsafe code
//! of the project is here.

use socket2::{Socket, Type};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::Mutex;

/// Why a number names no listener that can be taken over.
#[derive(Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum InheritError {
    /// No number of a descriptor that a program is started with: 0 to 2 are its standard streams.
    Number,
    /// It was taken over before.
    Taken,
    /// No descriptor of that number is open.
    Closed,
    /// It is open, and no socket.
    NoSocket,
    /// A socket, but none that listens for streams.
    NotListening,
    /// It listens somewhere else.
    Elsewhere(Option<SocketAddr>),
    /// The system does not let it be worked with.
    System(std::io::ErrorKind),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number => write!(f, "is no number of a descriptor above 2"),
            Self::Taken => write!(f, "was taken over before"),
            Self::Closed => write!(f, "names a descriptor that is not open"),
            Self::NoSocket => write!(f, "names a descriptor that is no socket"),
            Self::NotListening => write!(f, "names a socket that does not listen for streams"),
            Self::Elsewhere(Some(at)) => write!(f, "names a socket that listens at {at}"),
            Self::Elsewhere(None) => {
                write!(f, "names a socket that listens at no internet address")
            }
            Self::System(kind) => write!(f, "names a socket that can't be used: {kind}"),
        }
    }
}

impl std::error::Error for InheritError {}

static TAKEN: Mutex<Vec<RawFd>> = Mutex::new(Vec::new());

/// The socket of this number. Call it before the program opens descriptors of its own.
fn socket(text: &str) -> Result<Socket, InheritError> {
    let number: RawFd = text
        .parse()
        .ok()
        .filter(|number| *number > 2)
        .ok_or(InheritError::Number)?;
    let mut taken = TAKEN.lock().map_err(|_| InheritError::Taken)?;
    if taken.contains(&number) {
        return Err(InheritError::Taken);
    }
    let what =
        std::fs::read_link(format!("/proc/self/fd/{number}")).map_err(|_| InheritError::Closed)?;
    if !what.to_string_lossy().starts_with("socket:") {
        return Err(InheritError::NoSocket);
    }
    taken.push(number);
    // SAFETY: the descriptor is open, as its link in /proc has just shown, and so was it when this process began:
    // the caller opens nothing before, so no other part of the program owns it. Each number is taken once, which
    // the list above sees to, so there is never a second owner, and what is returned closes it once.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(number) };
    Ok(owned.into())
}

/// The listener of the number in `text`, which must listen at `at`. It is shared with whoever holds it too: it is
/// made non-blocking, and not passed on to programs started from here.
///
/// # Errors
///
/// If it is not open, is no socket that listens for streams, or listens elsewhere.
pub fn listener(text: &str, at: SocketAddr) -> Result<TcpListener, InheritError> {
    let socket = socket(text)?;
    let system = |error: std::io::Error| InheritError::System(error.kind());
    let streams = socket.r#type().map_err(system)? == Type::STREAM;
    if !streams || !socket.is_listener().map_err(system)? {
        return Err(InheritError::NotListening);
    }
    let local = socket.local_addr().map_err(system)?.as_socket();
    if local != Some(at) {
        return Err(InheritError::Elsewhere(local));
    }
    socket.set_nonblocking(true).map_err(system)?;
    socket.set_cloexec(true).map_err(system)?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::IntoRawFd;

    fn any() -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 0))
    }

    /// Guards against serving on whatever a wrong number names: nothing open, a file, a socket that does not
    /// listen, one of another address; and against two owners of one descriptor.
    #[test]
    fn only_a_listener_at_the_address_is_taken_over_and_once() {
        let free = |owned: OwnedFd| owned.into_raw_fd().to_string();
        for text in ["", "x", "-1", "0", "2", "3.5", "99999999999"] {
            assert_eq!(
                listener(text, any()).err(),
                Some(InheritError::Number),
                "{text}"
            );
        }
        assert_eq!(listener("987654", any()).err(), Some(InheritError::Closed));
        // All are opened first: the number of one that was refused and closed would be given out again.
        let file = std::fs::File::open("/dev/null").expect("a file");
        let datagrams = UdpSocket::bind(any()).expect("a port");
        let real = TcpListener::bind(any()).expect("a port");
        let at = real.local_addr().expect("an address");
        let client = TcpStream::connect(at).expect("a connection");
        let other = real.try_clone().expect("a second descriptor");
        assert_eq!(
            listener(&free(file.into()), any()).err(),
            Some(InheritError::NoSocket)
        );
        assert_eq!(
            listener(&free(datagrams.into()), any()).err(),
            Some(InheritError::NotListening)
        );
        assert_eq!(
            listener(&free(client.into()), any()).err(),
            Some(InheritError::NotListening)
        );
        assert_eq!(
            listener(&free(other.into()), any()).err(),
            Some(InheritError::Elsewhere(Some(at)))
        );
        let number = free(real.into());
        let taken = listener(&number, at).expect("the listener");
        assert_eq!(listener(&number, at).err(), Some(InheritError::Taken));
        let peer = TcpStream::connect(at).expect("another connection");
        assert!(taken.accept().is_ok(), "the first one waits");
        assert!(
            std::iter::repeat_with(|| taken.accept())
                .take(1000)
                .any(|a| a.is_ok())
        );
        drop(peer);
        assert!(
            taken
                .accept()
                .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
        );
    }
}

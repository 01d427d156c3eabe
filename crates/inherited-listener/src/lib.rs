//! Adopts a listening socket that this process inherited from its parent, by the number of its file
//! descriptor. This crate contains the project's only unsafe block.

use socket2::{Socket, Type};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::Mutex;

/// The descriptor of standard error. The standard streams, 0 to 2, are never adopted.
const STANDARD_ERROR: RawFd = 2;

/// Why an inherited descriptor can't be adopted. The texts continue a sentence whose subject is the
/// descriptor number.
#[derive(Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum InheritError {
    /// The text is not a number above those of the standard streams, 0 to 2.
    InvalidNumber,
    /// The descriptor was adopted before.
    AlreadyAdopted,
    /// No descriptor of that number is open.
    NotOpen,
    /// The descriptor is not a socket.
    NotASocket,
    /// The socket is not a stream socket, or does not listen.
    NotListening,
    /// The socket listens at this other address; `None` if that is not an IP address.
    OtherAddress(Option<SocketAddr>),
    /// A system call on the socket failed.
    System(std::io::ErrorKind),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidNumber => write!(f, "is not a descriptor number above 2"),
            Self::AlreadyAdopted => write!(f, "names a descriptor that was adopted before"),
            Self::NotOpen => write!(f, "names a descriptor that is not open"),
            Self::NotASocket => write!(f, "names a descriptor that is not a socket"),
            Self::NotListening => write!(
                f,
                "names a socket that does not listen for stream connections"
            ),
            Self::OtherAddress(Some(at)) => write!(f, "names a socket that listens at {at}"),
            Self::OtherAddress(None) => {
                write!(f, "names a socket that does not listen at an IP address")
            }
            Self::System(kind) => write!(f, "names a socket that cannot be used: {kind}"),
        }
    }
}

impl std::error::Error for InheritError {}

/// The numbers of the descriptors that were adopted, so that none gets a second owner.
static ADOPTED: Mutex<Vec<RawFd>> = Mutex::new(Vec::new());

/// Adopts the socket whose descriptor number is in `text`.
fn adopt_socket(text: &str) -> Result<Socket, InheritError> {
    let number: RawFd = text
        .parse()
        .ok()
        .filter(|number| *number > STANDARD_ERROR)
        .ok_or(InheritError::InvalidNumber)?;
    let mut adopted = ADOPTED.lock().map_err(|_| InheritError::AlreadyAdopted)?;
    if adopted.contains(&number) {
        return Err(InheritError::AlreadyAdopted);
    }
    let link = format!("/proc/self/fd/{number}");
    let target = std::fs::read_link(link).map_err(|_| InheritError::NotOpen)?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(InheritError::NotASocket);
    }
    adopted.push(number);
    // SAFETY: the link in /proc has shown that the descriptor is open. No other part of the program
    // owns it, because it was inherited: callers adopt descriptors before the program opens any of
    // its own. `ADOPTED` ensures that each number is adopted at most once, so the returned value is
    // the only owner and closes the descriptor once.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(number) };
    Ok(owned.into())
}

/// Adopts the listener whose descriptor number is in `text`; it must listen at `address`. Must be
/// called before the program opens descriptors of its own. The listener may be shared with other
/// processes. It is made non-blocking, and child processes do not inherit it.
///
/// # Errors
///
/// If the descriptor is not open, is not a stream socket that listens, listens at another address,
/// or was adopted before.
pub fn adopt_listener(text: &str, address: SocketAddr) -> Result<TcpListener, InheritError> {
    let socket = adopt_socket(text)?;
    let system = |error: std::io::Error| InheritError::System(error.kind());
    let is_stream = socket.r#type().map_err(system)? == Type::STREAM;
    if !is_stream || !socket.is_listener().map_err(system)? {
        return Err(InheritError::NotListening);
    }
    let local = socket.local_addr().map_err(system)?.as_socket();
    if local != Some(address) {
        return Err(InheritError::OtherAddress(local));
    }
    socket.set_nonblocking(true).map_err(system)?;
    socket.set_cloexec(true).map_err(system)?;
    Ok(socket.into())
}

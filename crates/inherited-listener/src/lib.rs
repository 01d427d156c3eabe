//! Adopts a listening socket that this process inherited at its start, by the number of its
//! descriptor. The one block of unsafe code of the project is here.

use socket2::{Socket, Type};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::Mutex;

/// The highest descriptor of the standard streams, which are never adopted.
const LAST_STANDARD_STREAM: RawFd = 2;

/// Why a number names no listener that can be adopted.
#[derive(Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum InheritError {
    /// The text is not the number of a descriptor above those of the standard streams, 0 to 2.
    InvalidNumber,
    /// The descriptor was adopted before.
    AlreadyAdopted,
    /// No descriptor of that number is open.
    NotOpen,
    /// The descriptor is not a socket.
    NotASocket,
    /// The socket does not listen for streams.
    NotListening,
    /// The socket listens at this other address; `None` if that is not an internet address.
    OtherAddress(Option<SocketAddr>),
    /// The system refused an operation on the socket.
    System(std::io::ErrorKind),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidNumber => write!(f, "is no number of a descriptor above 2"),
            Self::AlreadyAdopted => write!(f, "was taken over before"),
            Self::NotOpen => write!(f, "names a descriptor that is not open"),
            Self::NotASocket => write!(f, "names a descriptor that is no socket"),
            Self::NotListening => write!(f, "names a socket that does not listen for streams"),
            Self::OtherAddress(Some(at)) => write!(f, "names a socket that listens at {at}"),
            Self::OtherAddress(None) => {
                write!(f, "names a socket that listens at no internet address")
            }
            Self::System(kind) => write!(f, "names a socket that can't be used: {kind}"),
        }
    }
}

impl std::error::Error for InheritError {}

/// The descriptors that were adopted, so that none gets a second owner.
static ADOPTED: Mutex<Vec<RawFd>> = Mutex::new(Vec::new());

/// Adopts the socket whose descriptor number is in `text`.
fn adopt_socket(text: &str) -> Result<Socket, InheritError> {
    let number: RawFd = text
        .parse()
        .ok()
        .filter(|number| *number > LAST_STANDARD_STREAM)
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
    // SAFETY: the descriptor is open, as its link in /proc has just shown, and so was it when this
    // process began: the caller opens nothing before, so no other part of the program owns it. Each
    // number is adopted once, which the list above ensures, so there is never a second owner, and
    // what is returned closes it once.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(number) };
    Ok(owned.into())
}

/// Adopts the listener whose descriptor number is in `text`; it must listen at `address`. Call it
/// before the program opens descriptors of its own. The listener may be shared with other
/// processes. It is made non-blocking, and programs started from this process do not inherit it.
///
/// # Errors
///
/// If the descriptor is not open, is not a socket that listens for streams, listens at another
/// address, or was adopted before.
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

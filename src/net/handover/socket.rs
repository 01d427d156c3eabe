//! The Unix socket on which the processes of one node find each other.

use std::io::{self, ErrorKind};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// The longest path that surely fits into the address of a Unix socket, in bytes; the limit of
/// Linux is 108.
const MAX_PATH_BYTES: usize = 100;
/// Characters of the node's name that the file name holds.
const MAX_NAME_CHARS: usize = 40;

/// Returns the path of the socket of the node with this name. Only the letters, digits, `-` and `_`
/// of the name are used.
pub(super) fn socket_path(folder: &Path, name: &str) -> PathBuf {
    let is_plain = |c: &char| c.is_ascii_alphanumeric() || "-_".contains(*c);
    let plain: String = name.chars().filter(is_plain).take(MAX_NAME_CHARS).collect();
    folder.join(format!("postproxy-{plain}.handover"))
}

/// A path short enough for the address of a Unix socket.
struct SocketAddress {
    path: PathBuf,
    /// The folder of a long path, which the address names by its descriptor: it must stay open
    /// meanwhile.
    _folder: Option<std::fs::File>,
}

impl SocketAddress {
    fn new(path: &Path) -> io::Result<Self> {
        if path.as_os_str().len() <= MAX_PATH_BYTES {
            return Ok(Self {
                path: path.to_owned(),
                _folder: None,
            });
        }
        let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
            return Err(ErrorKind::InvalidInput.into());
        };
        let folder = std::fs::File::open(folder)?;
        let number = folder.as_raw_fd();
        Ok(Self {
            path: Path::new(&format!("/proc/self/fd/{number}")).join(name),
            _folder: Some(folder),
        })
    }
}

/// Connects to the socket at a path of any length.
pub(super) fn connect(path: &Path) -> io::Result<UnixStream> {
    let address = SocketAddress::new(path)?;
    UnixStream::connect(&address.path)
}

/// Listens, non-blocking, at a path of any length. The socket is bound at `temporary` and then
/// renamed to `path`, so that it replaces an earlier process's in one step.
pub(super) fn listen(temporary: &Path, path: &Path) -> io::Result<UnixListener> {
    let address = SocketAddress::new(temporary)?;
    let _ = std::fs::remove_file(temporary);
    let listener = UnixListener::bind(&address.path)?;
    listener.set_nonblocking(true)?;
    std::fs::rename(temporary, path)?;
    Ok(listener)
}

/// Whether the other end is a process of the same user.
pub(super) fn is_same_user(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream)
        .is_ok_and(|peer| peer.uid == rustix::process::getuid())
}

//! The Unix socket at which the newer process of a node connects to the older one.

use std::io::{self, ErrorKind};
use std::os::fd::AsRawFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Maximum length of a path that is used as the address of a Unix socket, in bytes; the limit of
/// Linux is 108.
const MAX_PATH_BYTES: usize = 100;
/// Maximum number of characters of the node's name in the file name.
const MAX_NAME_CHARS: usize = 40;

/// Returns the path of the handover socket of the node with this name. Characters of the name other
/// than ASCII letters, digits, `-` and `_` are left out.
pub(super) fn socket_path(folder: &Path, name: &str) -> PathBuf {
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || "-_".contains(*c);
    let sanitized: String = name
        .chars()
        .filter(is_allowed)
        .take(MAX_NAME_CHARS)
        .collect();
    folder.join(format!("postproxy-{sanitized}.handover"))
}

/// A path that fits into the address of a Unix socket.
struct SocketPath {
    path: PathBuf,
    /// The folder of a path that is too long. `path` names it by its descriptor, so it must stay
    /// open while `path` is in use.
    _folder: Option<std::fs::File>,
}

impl SocketPath {
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
    let short = SocketPath::new(path)?;
    UnixStream::connect(&short.path)
}

/// Returns a non-blocking listener at a path of any length. The socket is bound at `temporary` and
/// then renamed to `path`, which atomically replaces the socket of an earlier process.
pub(super) fn listen(temporary: &Path, path: &Path) -> io::Result<UnixListener> {
    let short = SocketPath::new(temporary)?;
    let _ = std::fs::remove_file(temporary);
    let listener = UnixListener::bind(&short.path)?;
    listener.set_nonblocking(true)?;
    std::fs::rename(temporary, path)?;
    Ok(listener)
}

/// Whether the process at the other end runs as the same user.
pub(super) fn is_same_user(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream)
        .is_ok_and(|peer| peer.uid == rustix::process::getuid())
}

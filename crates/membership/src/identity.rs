//! The identity of a member.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum length of a node's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One incarnation of a node.
///
/// The encoding follows the order of the fields, which must not change.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Identity {
    /// Name of the node, unique in the cluster.
    pub name: Arc<str>,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// Increases with each start of the node's process and each time that the node rejoins after it
    /// was declared failed.
    pub incarnation: u64,
    /// Random number drawn at the start of the process. It tells apart processes that claim the
    /// same name.
    pub process_nonce: u64,
}

impl Identity {
    /// Returns whether this identity takes precedence over another one that claims the same name.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.process_nonce) > (other.incarnation, other.process_nonce)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {}, incarnation {}",
            self.name, self.address, self.incarnation
        )
    }
}

impl foca::Identity for Identity {
    type Addr = Arc<str>;

    /// Returns `None`, so that the library does not rejoin by itself: [`crate::Membership`] decides
    /// on that, as another process may hold the name by then.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> Arc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.supersedes(other)
    }
}

//! Who a member is.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The longest name of a node, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One life of a node.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Identity {
    /// The node's name.
    pub name: Arc<str>,
    /// Where it is told to be.
    pub address: SocketAddr,
    /// Grows with each start and each return.
    pub incarnation: u64,
    /// Drawn at each start of a process: two processes that claim one name differ in it.
    pub life: u64,
}

impl Identity {
    /// Whether this one counts, where both claim one name.
    pub fn beats(&self, other: &Self) -> bool {
        (self.incarnation, self.life) > (other.incarnation, other.life)
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

    /// Returning is the wrapper's to decide: another may bear the name by now.
    fn renew(&self) -> Option<Self> {
        None
    }

    fn addr(&self) -> Arc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.beats(other)
    }
}

//! What a node acts on.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// What there are versions of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Discovery's list of workers.
    List,
    /// The program: package and protocol.
    Program,
}

impl Kind {
    /// As operators write it.
    pub fn word(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Program => "program",
        }
    }
}

/// The digest of what a version means: of its meaning, never of its text.
pub type Digest = u64;

/// A version that a node holds. Numbers are compared within one generation alone: another discovery counts anew.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VersionRecord {
    /// Whose numbers these are.
    pub generation: u64,
    /// The number.
    pub number: u64,
    /// What it means.
    pub digest: Digest,
}

/// A digest of parts, each told from the next.
pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    let mut sum = Sha256::new();
    for part in parts {
        sum.update((part.len() as u64).to_le_bytes());
        sum.update(part);
    }
    let sum = sum.finalize();
    sum.iter()
        .take(8)
        .fold(0, |all, byte| all << 8 | u64::from(*byte))
}

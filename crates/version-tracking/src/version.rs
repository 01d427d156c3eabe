//! Versions: what they are versions of, how they are numbered, and their digests.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// What a version is a version of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionKind {
    /// Discovery's worker list.
    #[serde(rename = "list")]
    WorkerList,
    /// The program: package and protocol.
    Program,
}

impl VersionKind {
    /// Returns the name that the management API and the log use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkerList => "list",
            Self::Program => "program",
        }
    }
}

/// Digest of what a version means: equal digests mean that nodes act alike, however the version was
/// written down.
pub type Digest = u64;

/// A version that a node acts on.
///
/// Numbers are compared within one generation only: another discovery service numbers its lists
/// independently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VersionRecord {
    /// The source of the numbers.
    pub generation: u64,
    /// The number; a newer version has a higher one.
    pub number: u64,
    /// Digest of the version's meaning.
    pub digest: Digest,
}

/// A sequence of versions whose numbers can be compared: a kind, and a generation of it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VersionLine {
    /// What the versions are of.
    pub kind: VersionKind,
    /// The source of their numbers.
    pub generation: u64,
}

/// Returns the digest of these parts. Each part is hashed with its length, so that moving a byte
/// from one part to the next changes the digest.
pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Digest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let hash = hasher.finalize();
    hash.iter()
        .take(size_of::<Digest>())
        .fold(0, |digest, byte| digest << 8 | u64::from(*byte))
}

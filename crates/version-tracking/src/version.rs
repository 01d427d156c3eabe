//! Versions: their kinds, their numbers and their digests.

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
    /// Returns the name that the management API and log lines use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkerList => "list",
            Self::Program => "program",
        }
    }
}

/// Digest of the meaning of a version. Nodes on versions with equal digests act alike, however
/// these are encoded.
pub type Digest = u64;

/// A version that a node acts on.
///
/// Numbers are compared within one generation only, since each discovery service numbers its lists
/// independently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VersionRecord {
    /// Identifies the source that assigns the numbers.
    pub generation: u64,
    /// The number; a newer version has a higher one.
    pub number: u64,
    /// Digest of the version's meaning.
    pub digest: Digest,
}

/// A sequence of versions whose numbers can be compared: those of one kind and one generation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct VersionLine {
    /// The kind of the versions.
    pub kind: VersionKind,
    /// Identifies the source that assigns their numbers.
    pub generation: u64,
}

/// Returns the digest of these parts. Each part is hashed with its length, so that moving a byte
/// from one part to the next changes the digest. The digest is the first eight bytes of the SHA-256
/// hash.
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

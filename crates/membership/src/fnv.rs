//! 64-bit FNV-1a hash. Unlike the standard library's hasher it gives the same value in every
//! version of the program, so that nodes of different versions can compare digests.

/// Offset basis of 64-bit FNV-1a.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0100_0000_01b3;

/// State of a hash computation.
pub(crate) struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Self {
        Self(OFFSET_BASIS)
    }
}

impl Fnv {
    /// Adds bytes to the hash.
    pub(crate) fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(PRIME);
        }
    }

    /// Returns the hash of all bytes written.
    pub(crate) fn finish(&self) -> u64 {
        self.0
    }

    /// Returns the hash of a node's name, by which nodes are ordered.
    pub(crate) fn hash_name(name: &str) -> u64 {
        let mut hash = Self::default();
        hash.write(name.as_bytes());
        // The FNV-1a hashes of similar short names differ in few bits, hardly in the high ones,
        // which decide the order. This spreads the difference over all bits.
        hash.0 ^ hash.0.rotate_left(29).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }
}

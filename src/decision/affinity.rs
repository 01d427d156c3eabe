//! Rendezvous hashing of affinity keys to workers. Dispatchers that share no state prefer the same
//! workers, and when a worker is added or removed, only the keys of that worker move.

/// Returns the 64-bit FNV-1a hash of a name, which is the same on every machine.
pub fn hash_name(name: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    name.iter().fold(BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Returns the score of a worker for an affinity key. The worker with the highest score is the most
/// preferred one.
pub fn score(affinity_key: u64, worker: u64) -> u64 {
    mix(affinity_key ^ mix(worker))
}

/// The finalizer of SplitMix64: each bit of the result depends on all bits of the value.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

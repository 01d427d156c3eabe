//! Which workers are preferred for a subject: rendezvous hashing, so that dispatchers that share
//! nothing prefer the same ones, and a worker that comes or goes moves no subject but its own.

/// A name as a number, the same on every machine: 64-bit FNV-1a.
pub fn number_of(name: &[u8]) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    name.iter().fold(BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// How much this worker is preferred for this subject: of all workers, the one with the highest
/// score is its home.
pub fn score(subject: u64, worker: u64) -> u64 {
    mix(subject ^ mix(worker))
}

/// The finalizer of SplitMix64: each bit of the result hangs on all bits of the value.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

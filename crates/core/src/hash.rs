//! Mixing of numbers, the source of every pseudo-random choice.

/// Mixes the bits of a number, so that nearby numbers give unrelated results.
pub const fn mix(number: u64) -> u64 {
    let z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the index below `bound` that a mixed number selects.
pub const fn index_below(mixed: u64, bound: usize) -> usize {
    ((mixed as u128 * bound as u128) >> 64) as usize
}

/// Maps a mixed number to a fraction in `0.0..1.0`.
pub fn fraction(mixed: u64) -> f64 {
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

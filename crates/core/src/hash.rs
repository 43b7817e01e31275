//! Seeded mixing: the source of every random pick.

/// Mixes a number so that nearby numbers land far apart.
pub const fn mix(number: u64) -> u64 {
    let z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The position below `bound` that a mixed number falls on.
pub const fn index_below(mixed: u64, bound: usize) -> usize {
    ((mixed as u128 * bound as u128) >> 64) as usize
}

/// The fraction of one, from 0 up to but not 1, that a mixed number stands for.
pub fn fraction(mixed: u64) -> f64 {
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

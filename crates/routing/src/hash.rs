//! Hashes and seeded mixing, the source of every random choice and of rendezvous weights.

use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::Xxh3Default;

pub use snipemast_core::hash::{index_below, mix};

/// Returns a hash that is the same in every process.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3Default::new();
    value.hash(&mut hasher);
    hasher.finish()
}

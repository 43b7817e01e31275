//! Seeded mixing: the source of every random pick, and of rendezvous weights.

use std::hash::{Hash, Hasher};

use xxhash_rust::xxh3::Xxh3Default;

pub use snipemast_core::hash::{below, mix};

/// A hash that every process computes alike.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = Xxh3Default::new();
    value.hash(&mut hasher);
    hasher.finish()
}

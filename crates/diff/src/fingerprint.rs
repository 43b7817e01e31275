//! Length and hash of a text.

use snipemast_core::data;
use xxhash_rust::xxh3::xxh3_64;

data! {
    /// Identifies a text by its length and hash, against damage and mistakes but not against forgery.
    #[derive(Copy, Default, Hash)]
    pub struct Fingerprint {
        /// The length in bytes.
        pub length: u64,
        /// The XXH3 hash.
        pub hash: u64,
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a text.
    pub fn new(text: &[u8]) -> Self {
        Self {
            length: text.len() as u64,
            hash: xxh3_64(text),
        }
    }
}

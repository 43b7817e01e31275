//! Hashes of bearer keys. The configuration never holds a key itself.

use std::fmt;
use std::str::FromStr;

use subtle::ConstantTimeEq;

use snipemast_core::ids::IdError;

/// The hash of a bearer key, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes a key.
    pub fn from_key(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Returns the first eight bytes as a big-endian number.
    pub fn prefix(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_be_bytes([a, b, c, d, e, f, g, h])
    }

    /// Compares in constant time, so that the duration reveals nothing about a key's hash.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({:02x}..)", self.0[0])
    }
}

impl FromStr for KeyHash {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError {
            kind: "KeyHash",
            text: text.chars().take(8).collect(),
        };
        let hash = blake3::Hash::from_hex(text).map_err(|_| error())?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}

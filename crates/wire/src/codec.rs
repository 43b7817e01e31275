//! Encoding and decoding of messages with rmp-serde.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// The result of decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Bytes that are not the expected message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CodecError {
    /// The message that was expected.
    pub expected: &'static str,
    /// The error of the decoder.
    pub reason: String,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a {}: {}", self.expected, self.reason)
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message with its fields by name, so that processes of different releases understand
/// each other.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("messages hold nothing that MessagePack can't")
}

/// Encodes a message and appends it to `bytes`.
pub fn encode_into<T: Serialize>(message: &T, bytes: &mut Vec<u8>) {
    rmp_serde::encode::write_named(bytes, message)
        .expect("messages hold nothing that MessagePack can't");
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).map_err(|e| CodecError {
        expected: std::any::type_name::<T>(),
        reason: e.to_string(),
    })
}

//! The paths and the compact encoding of membership messages.
//!
//! Membership sends many small messages, so their fields are encoded by position, without names. To
//! stay compatible with other releases, a field may be added only at the end of a message, with a
//! default.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::codec::{CodecError, Result};

/// Paths of membership messages on the HTTP server of each process.
pub mod path {
    /// An entry starts an exchange with another.
    pub const EXCHANGE: &str = "/own/exchange";
    /// A process is asked for a page of its events.
    pub const PAGE: &str = "/own/events/page";
    /// An agent asks an entry to grant, renew or end its lease.
    pub const LEASE: &str = "/own/lease";
}

/// A message that is encoded with its fields by position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed(#[serde(with = "serde_bytes")] Vec<u8>);

impl Packed {
    /// Encodes a message.
    pub fn new<T: Serialize>(message: &T) -> Self {
        let bytes = rmp_serde::to_vec(message);
        Self(bytes.expect("messages hold nothing that MessagePack can't"))
    }

    /// Decodes the message.
    pub fn unpack<T: DeserializeOwned>(&self) -> Result<T> {
        rmp_serde::from_slice(&self.0).map_err(|e| CodecError {
            expected: std::any::type_name::<T>(),
            reason: e.to_string(),
        })
    }

    /// Returns the size of the encoded message in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

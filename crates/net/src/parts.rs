//! Messages that arrive in parts.
//!
//! A time limit on a message of any size would end the transfer of a large one again and again. So it is sent in parts,
//! each a call with a limit of its own; what arrived is kept, and a part that is lost is sent again alone.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use hyper::HeaderMap;
use parking_lot::Mutex;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// The path of a part.
pub const PATH: &str = "/part";

/// Names the [`UploadId`]: of a part, or of the parts that are the body of a call.
pub const UPLOAD_HEADER: &str = "snipemast-upload";

/// The offset of a part in its message in bytes.
pub const OFFSET_HEADER: &str = "snipemast-offset";

/// The most messages of which parts are kept.
const MAX_UPLOADS: usize = 8;

/// How long after its last part a message is kept.
const UPLOAD_TIMEOUT: Span = Span::from_secs(5);

data! {
    /// Identifies a message that is sent in parts; drawn at random.
    #[derive(Copy, PartialOrd, Ord)]
    pub struct UploadId(pub u64);

    /// The answer to a part.
    pub struct PartAck {
        /// How many bytes of the message have arrived in order; the next part starts there.
        pub received: u64,
    }
}

impl fmt::Display for UploadId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for UploadId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Returns the upload that a request names.
pub fn upload_of(headers: &HeaderMap) -> Option<UploadId> {
    headers.get(UPLOAD_HEADER)?.to_str().ok()?.parse().ok()
}

/// Returns the offset of the part that a request carries.
pub fn offset_of(headers: &HeaderMap) -> Option<u64> {
    headers.get(OFFSET_HEADER)?.to_str().ok()?.parse().ok()
}

/// Joins the parts of messages.
#[derive(Debug)]
pub struct Uploads {
    max_bytes: usize,
    incomplete: Mutex<BTreeMap<UploadId, Upload>>,
}

#[derive(Debug)]
struct Upload {
    bytes: Vec<u8>,
    last: Moment,
}

impl Uploads {
    /// Creates a collection of messages, each of which may have this many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            incomplete: Mutex::default(),
        }
    }

    /// Adds a part; one that doesn't continue its message is dropped. Returns nothing if the message is too large.
    pub fn receive(&self, now: Moment, id: UploadId, offset: u64, bytes: &[u8]) -> Option<PartAck> {
        let mut incomplete = self.incomplete.lock();
        incomplete.retain(|_, upload| now < upload.last + UPLOAD_TIMEOUT);
        if !incomplete.contains_key(&id) && incomplete.len() >= MAX_UPLOADS {
            let oldest = incomplete.iter().min_by_key(|(_, upload)| upload.last);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                incomplete.remove(&oldest);
            }
        }
        let upload = incomplete.entry(id).or_insert_with(|| Upload {
            bytes: Vec::new(),
            last: now,
        });
        upload.last = now;
        if offset == upload.bytes.len() as u64 {
            if upload.bytes.len() + bytes.len() > self.max_bytes {
                incomplete.remove(&id);
                return None;
            }
            upload.bytes.extend_from_slice(bytes);
        }
        Some(PartAck {
            received: upload.bytes.len() as u64,
        })
    }

    /// Removes and returns a message whose parts have all arrived, as its sender says.
    pub fn take(&self, id: UploadId) -> Option<Bytes> {
        let upload = self.incomplete.lock().remove(&id)?;
        Some(upload.bytes.into())
    }
}

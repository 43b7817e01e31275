//! Reads the bodies of callers' requests, and counts the bytes that are held.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use snipemast_core::prelude::*;
use snipemast_placement::memory::{HeldBytes, MemoryBudget};

/// The result of reading a body.
pub(crate) type Result<T> = std::result::Result<T, BodyError>;

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than the configuration allows.
    TooLarge,
    /// The connection failed, or its bytes are no body.
    Unreadable,
    /// The process holds too much. The body was read and not kept, so that its caller gets an answer.
    NoMemory,
}

/// Bytes that are counted as long as they are held.
struct Counted<B> {
    bytes: B,
    _held: HeldBytes,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for Counted<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that count as held until the last copy of them is dropped.
pub(crate) fn count<B>(budget: &Arc<MemoryBudget>, bytes: B) -> Bytes
where
    B: AsRef<[u8]> + Send + 'static,
{
    let held = budget.hold(bytes.as_ref().len() as u64);
    Bytes::from_owner(Counted { bytes, _held: held })
}

/// Reads a body within a bound, if the process has room for it.
pub(crate) async fn read(
    budget: &Arc<MemoryBudget>,
    mut body: Incoming,
    bound: Size,
) -> Result<Bytes> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint().exact().unwrap_or(0);
    if announced > bound.as_bytes() {
        return Err(BodyError::TooLarge);
    }
    let mut held = budget.try_hold(announced);
    let mut bytes = Vec::new();
    if held.is_some() {
        // Neither grown nor copied later.
        bytes.reserve_exact(announced as usize);
    }
    let (mut length, mut counted) = (0, announced);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Unreadable)?;
        // Trailers concern this connection only.
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        length += piece.len() as u64;
        if length > bound.as_bytes() {
            return Err(BodyError::TooLarge);
        }
        if length > counted {
            held = held.and_then(|h| h.grown(length - counted));
            counted = length;
        }
        match held {
            Some(_) => bytes.extend_from_slice(&piece),
            None => bytes = Vec::new(),
        }
    }
    let held = held.ok_or(BodyError::NoMemory)?;
    Ok(Bytes::from_owner(Counted { bytes, _held: held }))
}

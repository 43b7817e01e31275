//! How many bytes of requests and answers a process holds at once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use snipemast_core::prelude::*;

/// The process's memory divided by this is what requests and answers may hold. The HTTP library copies a body once more when
/// it sends it, and the process itself needs the rest.
const MEMORY_PARTS: u64 = 4;

/// A body up to this size is small.
const SMALL_BODY: Size = Size::from_bytes(64 << 10);

/// The part of the budget, in quarters, that bodies may use that aren't small: the rest is left to usual callers.
const LARGE_QUARTERS: u64 = 3;

/// The bytes that requests and answers of a process may hold at once, and those that they do.
///
/// Load answered: many callers send large bodies at once. What does not fit is not kept, and its request is refused, so that
/// the process does not run out of memory.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    held: AtomicU64,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: Arc<MemoryBudget>,
    bytes: u64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use this much memory.
    pub fn new(memory: Size) -> Arc<Self> {
        Arc::new(Self {
            limit: memory.as_bytes() / MEMORY_PARTS,
            held: AtomicU64::new(0),
        })
    }

    /// Returns how many bytes may be held.
    pub fn limit(&self) -> Size {
        Size::from_bytes(self.limit)
    }

    /// Returns how many bytes are held.
    pub fn held(&self) -> Size {
        Size::from_bytes(self.held.load(Ordering::Relaxed))
    }

    /// Holds bytes that have to be held, whether they fit or not.
    pub fn hold(self: &Arc<Self>, bytes: u64) -> HeldBytes {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        HeldBytes {
            budget: Arc::clone(self),
            bytes,
        }
    }

    /// Holds the bytes of a body, if they fit.
    pub fn try_hold(self: &Arc<Self>, bytes: u64) -> Option<HeldBytes> {
        self.hold(0).grown(bytes)
    }

    /// Whether a body of this size fits, beside what is held. A body that is alone always fits.
    fn fits(&self, held: u64, body: u64) -> bool {
        let room = match body <= SMALL_BODY.as_bytes() {
            true => self.limit,
            false => self.limit / 4 * LARGE_QUARTERS,
        };
        held == 0 || held + body <= room
    }
}

impl HeldBytes {
    /// Holds more bytes of the same body, or none any more if it doesn't fit.
    pub fn grown(mut self, bytes: u64) -> Option<Self> {
        let size = self.bytes + bytes;
        let grow = |held: u64| {
            let others = held - self.bytes;
            self.budget.fits(others, size).then_some(held + bytes)
        };
        let (relaxed, held) = (Ordering::Relaxed, &self.budget.held);
        held.fetch_update(relaxed, relaxed, grow).ok()?;
        self.bytes = size;
        Some(self)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

//! A weight store that is slow or fails on demand.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

use error_stack::Report;

use snipemast_backing::weights::{Result, WeightError, WeightStore};
use snipemast_core::prelude::*;

/// A fake weight store.
#[derive(Debug, Clone)]
pub struct FakeStore {
    size: Size,
    pace: Span,
    broken: Arc<AtomicBool>,
    loads: Arc<AtomicU64>,
}

impl FakeStore {
    /// Creates a store whose weights have this size and load immediately.
    pub fn new(size: Size) -> Self {
        Self {
            size,
            pace: Span::default(),
            broken: Arc::default(),
            loads: Arc::default(),
        }
    }

    /// Sets how long each load takes.
    #[must_use]
    pub fn with_pace(mut self, pace: Span) -> Self {
        self.pace = pace;
        self
    }

    /// Sets whether loads fail.
    pub fn set_broken(&self, broken: bool) {
        self.broken.store(broken, Ordering::SeqCst);
    }

    /// Returns how many loads have succeeded.
    pub fn loads(&self) -> u64 {
        self.loads.load(Ordering::SeqCst)
    }
}

impl WeightStore for FakeStore {
    async fn load(&self, _model: &ModelId, _layer: u16, _expert: u16) -> Result<Size> {
        if self.pace > Span::default() {
            smol::Timer::after(self.pace.as_duration()).await;
        }
        if self.broken.load(Ordering::SeqCst) {
            return Err(Report::new(WeightError::Unreachable));
        }
        self.loads.fetch_add(1, Ordering::SeqCst);
        Ok(self.size)
    }
}

//! What lately showed that it does not crash servers.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::claim::Fingerprint;

/// The number of entries after which the older half is forgotten.
const MAX_ENTRIES: usize = 4_096;

/// When requests completed, or parts of prompts survived, in two generations.
#[derive(Debug, Default)]
pub(crate) struct Survivals {
    newer: HashMap<Fingerprint, Moment>,
    older: HashMap<Fingerprint, Moment>,
}

impl Survivals {
    /// Returns when a request or part last did.
    pub(crate) fn get(&self, cause: &Fingerprint) -> Option<Moment> {
        let newer = self.newer.get(cause);
        newer.or_else(|| self.older.get(cause)).copied()
    }

    /// Records that a request or part did at a moment, unless a later one is known.
    pub(crate) fn insert(&mut self, at: Moment, cause: Fingerprint) {
        let latest = self.get(&cause).map_or(at, |known| known.max(at));
        if self.newer.len() >= MAX_ENTRIES {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(cause, latest);
    }
}

//! The latest changes of the configuration, for processes that have an earlier version.

use std::collections::VecDeque;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_diff::Diff;

/// The size of the changes that are kept of a small configuration: hundreds of small changes.
const MIN_KEPT: Size = Size::from_bytes(64 << 10);

/// The latest changes, which lead from one version to the next without a gap.
#[derive(Debug, Clone, Default)]
pub struct History {
    changes: VecDeque<Change>,
    /// The size of all changes in bytes.
    size: usize,
}

#[derive(Debug, Clone)]
struct Change {
    from: Version,
    diff: Arc<Diff>,
}

impl History {
    /// Adds the change from a version to the one in force, whose text has this length.
    ///
    /// Earlier changes are dropped once all take more than the text itself, which is then sent instead.
    pub(crate) fn push(&mut self, from: Version, diff: Arc<Diff>, text_length: usize) {
        self.size += diff.approx_size();
        self.changes.push_back(Change { from, diff });
        let limit = text_length.max(MIN_KEPT.as_bytes() as usize);
        while self.size > limit {
            let Some(dropped) = self.changes.pop_front() else {
                return;
            };
            self.size -= dropped.diff.approx_size();
        }
    }

    /// Drops all changes.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the changes that lead from a version to the one in force, or `None` if they are not kept.
    pub fn since(&self, version: Version) -> Option<Vec<Arc<Diff>>> {
        let first = self.changes.iter().position(|c| c.from == version)?;
        let changes = self.changes.iter().skip(first);
        Some(changes.map(|c| Arc::clone(&c.diff)).collect())
    }
}

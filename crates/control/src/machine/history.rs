//! The last versions of the configuration, with their authors, times and reasons.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use snipemast_config::{Config, Delta, Patch, WallTime};
use snipemast_core::prelude::*;

/// The result of reading the history.
pub type Result<T> = std::result::Result<T, HistoryError>;

/// The history cannot show a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryError {
    /// The version is no longer kept, or does not exist yet.
    Unknown {
        /// The requested version.
        asked: Version,
        /// The oldest version that is kept.
        oldest: Version,
        /// The newest version that is kept.
        newest: Version,
    },
    /// The stored history does not lead to this version.
    Broken {
        /// The version that could not be reached.
        version: Version,
    },
}

impl fmt::Display for HistoryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown {
                asked,
                oldest,
                newest,
            } => write!(
                f,
                "version {asked} is not kept; the history holds {oldest} to {newest}"
            ),
            Self::Broken { version } => {
                write!(f, "the history does not lead to version {version}")
            }
        }
    }
}

impl std::error::Error for HistoryError {}

data! {
    /// One version and the change that led to it.
    pub struct HistoryEntry {
        /// The version.
        pub version: Version,
        /// The patch that created it; none if a lost majority was replaced.
        pub patch: Option<PatchId>,
        /// The operator who submitted the patch.
        pub author: Option<OperatorId>,
        /// The wall-clock time of the host that received the patch.
        pub time: WallTime,
        /// The reason, in the author's words.
        pub reason: String,
        /// The difference from the previous version.
        pub delta: Delta,
    }
}

impl HistoryEntry {
    /// Creates the entry of an accepted patch.
    pub fn new(patch: &Patch, author: Option<OperatorId>, time: WallTime, delta: Delta) -> Self {
        Self {
            version: delta.to,
            patch: Some(patch.id.clone()),
            author,
            time,
            reason: patch.reason.clone(),
            delta,
        }
    }

    /// Creates the entry that skips versions which a lost majority may have assigned.
    pub fn replaced(delta: Delta) -> Self {
        Self {
            version: delta.to,
            patch: None,
            author: None,
            time: WallTime::default(),
            reason: "a lost majority was replaced".into(),
            delta,
        }
    }
}

/// The limits of a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The number of versions that are kept at least.
    pub versions: usize,
    /// The number of versions from one full configuration to the next.
    pub checkpoint_interval: usize,
}

impl Default for Bounds {
    /// Keeps somewhat more than two days of 430 changes each, with a full configuration every 64.
    fn default() -> Self {
        Self {
            versions: 1_024,
            checkpoint_interval: 64,
        }
    }
}

/// The last versions.
///
/// Deltas lead from version to version. Some versions are also kept as full configurations, so that
/// every version can be rebuilt with at most [`Bounds::checkpoint_interval`] deltas.
#[derive(Debug)]
pub struct History {
    bounds: Bounds,
    checkpoints: VecDeque<Arc<Config>>,
    entries: VecDeque<HistoryEntry>,
    newest: Arc<Config>,
}

impl Default for History {
    fn default() -> Self {
        Self::new(Arc::default(), Bounds::default())
    }
}

impl History {
    /// Creates a history that begins with this version.
    pub fn new(base: Arc<Config>, bounds: Bounds) -> Self {
        Self {
            bounds,
            checkpoints: VecDeque::from([Arc::clone(&base)]),
            entries: VecDeque::new(),
            newest: base,
        }
    }

    /// Adds the next version.
    pub fn push(&mut self, entry: HistoryEntry, config: &Arc<Config>) {
        self.entries.push_back(entry);
        self.newest = Arc::clone(config);
        let last = self.checkpoints.back().map_or(0, |c| c.version.get());
        if config.version.get() - last >= self.bounds.checkpoint_interval as u64 {
            self.checkpoints.push_back(Arc::clone(config));
        }
        if self.entries.len() > self.bounds.versions + self.bounds.checkpoint_interval
            && self.checkpoints.len() > 1
        {
            self.drop_oldest();
        }
    }

    /// Drops the oldest versions, up to the next full configuration.
    fn drop_oldest(&mut self) {
        self.checkpoints.pop_front();
        let oldest = self.base().version;
        while self.entries.front().is_some_and(|e| e.version <= oldest) {
            self.entries.pop_front();
        }
    }

    /// Returns the oldest full configuration.
    pub fn base(&self) -> &Arc<Config> {
        self.checkpoints.front().unwrap_or(&self.newest)
    }

    /// Returns the newest configuration.
    pub fn newest(&self) -> &Arc<Config> {
        &self.newest
    }

    /// Returns the entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.entries.iter()
    }

    /// Rebuilds the configuration of a version.
    pub fn config_at(&self, version: Version) -> Result<Arc<Config>> {
        if version == self.newest.version {
            return Ok(Arc::clone(&self.newest));
        }
        let (oldest, newest) = (self.base().version, self.newest.version);
        let unknown = HistoryError::Unknown {
            asked: version,
            oldest,
            newest,
        };
        let start = self.checkpoints.iter().rev().find(|c| c.version <= version);
        let start = start.filter(|_| version < newest).ok_or(unknown)?;
        let mut config = start.as_ref().clone();
        for entry in &self.entries {
            if entry.version > config.version && entry.version <= version {
                let broken = |_| HistoryError::Broken {
                    version: entry.version,
                };
                entry.delta.apply_in_place(&mut config).map_err(broken)?;
            }
        }
        Ok(Arc::new(config))
    }

    /// Returns the delta from one version to another, in either direction.
    pub fn diff(&self, from: Version, to: Version) -> Result<Delta> {
        Ok(Delta::between(
            self.config_at(from)?.as_ref(),
            self.config_at(to)?.as_ref(),
        ))
    }

    /// Returns the delta from a version to the newest, or `None` if the version is no longer kept.
    pub fn delta_since(&self, version: Version) -> Option<Delta> {
        Delta::combined(self.entries.iter().map(|e| &e.delta), version)
    }
}

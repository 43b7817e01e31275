//! The last versions of the configuration: who made them, when, and why.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use snipemast_config::{Config, Delta, Patch, WallTime};
use snipemast_core::prelude::*;

/// The result of looking into the history.
pub type Result<T> = std::result::Result<T, HistoryError>;

/// A version that the history can't show.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryError {
    /// It fell out, or it is not there yet.
    Unknown {
        /// The version that was asked for.
        asked: Version,
        /// The oldest version that is kept.
        oldest: Version,
        /// The newest version.
        newest: Version,
    },
    /// The stored history does not lead to this version.
    Broken {
        /// The version.
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
    /// One version: how it came about.
    pub struct HistoryEntry {
        /// The version.
        pub version: Version,
        /// The patch that made it; none where a lost majority was replaced.
        pub patch: Option<PatchId>,
        /// Who submitted the patch.
        pub author: Option<OperatorId>,
        /// When, by the wall clock of the host that took it.
        pub time: WallTime,
        /// Why, in the author's words.
        pub reason: String,
        /// What changed.
        pub delta: Delta,
    }
}

impl HistoryEntry {
    /// The entry of an accepted patch.
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

    /// The entry that passes over versions which a lost majority may have given out.
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

/// How much a history keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The number of versions.
    pub versions: usize,
    /// The number of versions between two that are kept whole.
    pub stride: usize,
}

impl Default for Bounds {
    /// Two days of 430 changes each and some, with a whole version for each 64.
    fn default() -> Self {
        Self {
            versions: 1_024,
            stride: 64,
        }
    }
}

/// The last versions.
///
/// Deltas lead from version to version. Some versions are kept whole besides, so that no
/// version is more than [`Bounds::stride`] deltas away.
#[derive(Debug)]
pub struct History {
    bounds: Bounds,
    whole: VecDeque<Arc<Config>>,
    entries: VecDeque<HistoryEntry>,
    newest: Arc<Config>,
}

impl Default for History {
    fn default() -> Self {
        Self::new(Arc::default(), Bounds::default())
    }
}

impl History {
    /// A history that begins with this version.
    pub fn new(base: Arc<Config>, bounds: Bounds) -> Self {
        Self {
            bounds,
            whole: VecDeque::from([Arc::clone(&base)]),
            entries: VecDeque::new(),
            newest: base,
        }
    }

    /// Adds the version that follows.
    pub fn push(&mut self, entry: HistoryEntry, config: &Arc<Config>) {
        self.entries.push_back(entry);
        self.newest = Arc::clone(config);
        let last = self.whole.back().map_or(0, |c| c.version.get());
        if config.version.get() - last >= self.bounds.stride as u64 {
            self.whole.push_back(Arc::clone(config));
        }
        if self.entries.len() > self.bounds.versions + self.bounds.stride && self.whole.len() > 1 {
            self.forget();
        }
    }

    /// Forgets the oldest versions, up to the next one that is kept whole.
    fn forget(&mut self) {
        self.whole.pop_front();
        let oldest = self.base().version;
        while self.entries.front().is_some_and(|e| e.version <= oldest) {
            self.entries.pop_front();
        }
    }

    /// The oldest version, whole.
    pub fn base(&self) -> &Arc<Config> {
        self.whole.front().unwrap_or(&self.newest)
    }

    /// The newest version, whole.
    pub fn newest(&self) -> &Arc<Config> {
        &self.newest
    }

    /// The entries, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.entries.iter()
    }

    /// A version, whole.
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
        let start = self.whole.iter().rev().find(|c| c.version <= version);
        let start = start.filter(|_| version < newest).ok_or(unknown)?;
        let mut config = start.as_ref().clone();
        for entry in &self.entries {
            if entry.version > config.version && entry.version <= version {
                let broken = |_| HistoryError::Broken {
                    version: entry.version,
                };
                entry.delta.advance(&mut config).map_err(broken)?;
            }
        }
        Ok(Arc::new(config))
    }

    /// What leads from one version to another, in either direction.
    pub fn diff(&self, from: Version, to: Version) -> Result<Delta> {
        Ok(Delta::between(
            self.config_at(from)?.as_ref(),
            self.config_at(to)?.as_ref(),
        ))
    }

    /// What leads from a version to the newest, or nothing where it fell out.
    pub fn since(&self, version: Version) -> Option<Delta> {
        Delta::joined(self.entries.iter().map(|e| &e.delta), version)
    }
}

//! The log in memory: the last snapshot, and the entries around and after it.

use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::entry::{LogEntry, Snapshot, StoredState};
use crate::voters::Voters;

/// The last snapshot and the entries kept in memory.
///
/// Some entries before the snapshot stay, so that a voter a little behind gets entries
/// instead of the whole state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log {
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<LogEntry>,
    /// The index and term before the first entry kept.
    base: (Index, Term),
    /// The voters at the base, and each later set with its place.
    history: Vec<(Index, Voters)>,
}

impl Log {
    /// The log that a disk holds, formed with these voters if it holds no snapshot.
    pub fn new(stored: StoredState, first_voters: Voters) -> Self {
        let StoredState {
            snapshot, entries, ..
        } = stored;
        let at = snapshot
            .as_ref()
            .map_or((Index(0), Term(0)), |s| (s.index, s.term));
        let voters = snapshot.as_ref().map_or(first_voters, |s| s.voters.clone());
        let mut log = Self {
            snapshot,
            entries: Vec::new(),
            base: at,
            history: vec![(at.0, voters)],
        };
        log.adopt(entries);
        log
    }

    /// Takes entries from the disk, where they join the snapshot.
    ///
    /// Failure guarded against: a crash after an installed snapshot was kept, before the older
    /// log was replaced. The old log's later entries may differ from what was committed; they
    /// count only where the log has the snapshot's last entry itself.
    fn adopt(&mut self, entries: Vec<LogEntry>) {
        let (index, term) = self.base;
        let joins = match entries.first() {
            None => return,
            Some(first) if first.index == index.next() => true,
            Some(_) => entries.iter().any(|e| e.index == index && e.term == term),
        };
        if joins {
            let later = entries.into_iter().filter(|e| e.index > index).collect();
            self.append(later);
        }
    }

    /// The last snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// The last place that the snapshot covers.
    pub fn covered(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |s| s.index)
    }

    /// The place before the first entry kept.
    pub fn base(&self) -> Index {
        self.base.0
    }

    /// The last place.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.base.0, |e| e.index)
    }

    /// The last entry's term.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base.1, |e| e.term)
    }

    /// The term at a place that is kept.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at a place that is kept.
    pub fn get(&self, index: Index) -> Option<&LogEntry> {
        let offset = index.get().checked_sub(self.base.0.get() + 1)?;
        self.entries.get(offset as usize)
    }

    /// The entries after a place, as many as fit the bound, at least one.
    pub fn after(&self, index: Index, bound: usize) -> Vec<LogEntry> {
        let skip = index.get().saturating_sub(self.base.0.get()) as usize;
        let mut weight = 0;
        let mut found = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            weight += entry.weight();
            if weight > bound && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        found
    }

    /// The voters in force: the last set in the log, committed or not.
    pub fn voters(&self) -> &Voters {
        &self.history.last().expect("the base has its voters").1
    }

    /// Where the last set of voters stands.
    pub fn voters_index(&self) -> Index {
        self.history.last().expect("the base has its voters").0
    }

    /// The voters as of a place.
    pub fn voters_at(&self, index: Index) -> &Voters {
        let found = self.history.iter().rev().find(|(i, _)| *i <= index);
        &found.unwrap_or(&self.history[0]).1
    }

    /// Adds entries at their places; whatever stood there and after is gone.
    pub fn append(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first() else {
            return;
        };
        self.truncate(first.index);
        for entry in entries {
            if let Some(voters) = entry.voters() {
                self.history.push((entry.index, voters.clone()));
            }
            self.entries.push(entry);
        }
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.get().saturating_sub(self.base.0.get() + 1) as usize;
        self.entries.truncate(keep);
        let base = self.base.0;
        self.history.retain(|(i, _)| *i < from || *i == base);
    }

    /// Whether a log that ends so holds all that this one may have committed.
    pub fn is_covered_by(&self, term: Term, index: Index) -> bool {
        (term, index) >= (self.last_term(), self.last_index())
    }

    /// Takes a snapshot of one's own state and drops entries but the last `keep` before it.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, keep: u64) {
        let base = Index(snapshot.index.get().saturating_sub(keep));
        if base > self.base.0 {
            let term = self.term_at(base).expect("the place is kept");
            let voters = self.voters_at(base).clone();
            let drop = (base.get() - self.base.0.get()) as usize;
            self.entries.drain(..drop);
            self.history.retain(|(i, _)| *i > base);
            self.history.insert(0, (base, voters));
            self.base = (base, term);
        }
        self.snapshot = Some(snapshot);
    }

    /// Takes a snapshot from the leader; entries stay only where they join it.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        let joins = self.term_at(snapshot.index) == Some(snapshot.term);
        let later = if joins {
            self.after(snapshot.index, usize::MAX)
        } else {
            Vec::new()
        };
        self.base = (snapshot.index, snapshot.term);
        self.history = vec![(snapshot.index, snapshot.voters.clone())];
        self.entries.clear();
        self.snapshot = Some(snapshot);
        self.append(later);
    }

    /// All that a disk must hold to bring this log back.
    pub fn to_stored(&self, hard: crate::entry::Hard) -> StoredState {
        StoredState {
            hard,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}

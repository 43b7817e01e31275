//! The log in memory: the last snapshot, and the entries shortly before and after it.

use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::entry::{LogEntry, Snapshot, StoredState};
use crate::voters::Voters;

/// The last snapshot and the entries kept in memory.
///
/// Some entries before the snapshot are kept, so that a voter that is a little behind gets entries
/// instead of the whole state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log {
    snapshot: Option<Arc<Snapshot>>,
    entries: Vec<LogEntry>,
    /// The index and term of the entry before the first one kept.
    base: (Index, Term),
    /// The voters at the base, and each later set of voters with its index.
    voter_sets: Vec<(Index, Voters)>,
}

impl Log {
    /// Creates the log from stored state; without a snapshot it begins with `first_voters`.
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
            voter_sets: vec![(at.0, voters)],
        };
        log.load_entries(entries);
        log
    }

    /// Loads the entries from the disk that continue the snapshot.
    ///
    /// After a crash between storing an installed snapshot and replacing the older log, that log's
    /// later entries may differ from what was committed. They are used only if the log contains the
    /// snapshot's last entry itself.
    fn load_entries(&mut self, entries: Vec<LogEntry>) {
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

    /// Returns the last snapshot.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the last index that the snapshot covers, or 0 without one.
    pub fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |s| s.index)
    }

    /// Returns the index before the first entry kept.
    pub fn base(&self) -> Index {
        self.base.0
    }

    /// Returns the last index.
    pub fn last_index(&self) -> Index {
        self.entries.last().map_or(self.base.0, |e| e.index)
    }

    /// Returns the last entry's term.
    pub fn last_term(&self) -> Term {
        self.entries.last().map_or(self.base.1, |e| e.term)
    }

    /// Returns the term at an index, if it is kept.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the entry at an index, if it is kept.
    pub fn get(&self, index: Index) -> Option<&LogEntry> {
        let offset = index.get().checked_sub(self.base.0.get() + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the entries after an index, as many as fit into `bound` bytes but at least one.
    pub fn entries_after(&self, index: Index, bound: usize) -> Vec<LogEntry> {
        let skip = index.get().saturating_sub(self.base.0.get()) as usize;
        let mut size = 0;
        let mut found = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            size += entry.approx_size();
            if size > bound && !found.is_empty() {
                break;
            }
            found.push(entry.clone());
        }
        found
    }

    /// Returns the voters in force: the last set in the log, committed or not.
    pub fn voters(&self) -> &Voters {
        &self
            .voter_sets
            .last()
            .expect("the base has a set of voters")
            .1
    }

    /// Returns the index of the last set of voters.
    pub fn voters_index(&self) -> Index {
        self.voter_sets
            .last()
            .expect("the base has a set of voters")
            .0
    }

    /// Returns the voters as of an index.
    pub fn voters_at(&self, index: Index) -> &Voters {
        let found = self.voter_sets.iter().rev().find(|(i, _)| *i <= index);
        &found.unwrap_or(&self.voter_sets[0]).1
    }

    /// Appends entries; they replace all earlier entries from the first one's index on.
    pub fn append(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first() else {
            return;
        };
        self.truncate(first.index);
        for entry in entries {
            if let Some(voters) = entry.voters() {
                self.voter_sets.push((entry.index, voters.clone()));
            }
            self.entries.push(entry);
        }
    }

    fn truncate(&mut self, from: Index) {
        let keep = from.get().saturating_sub(self.base.0.get() + 1) as usize;
        self.entries.truncate(keep);
        let base = self.base.0;
        self.voter_sets.retain(|(i, _)| *i < from || *i == base);
    }

    /// Whether a log that ends at this term and index is at least as up to date as this one, so
    /// that it holds every entry that may be committed here.
    pub fn is_up_to_date(&self, term: Term, index: Index) -> bool {
        (term, index) >= (self.last_term(), self.last_index())
    }

    /// Stores a snapshot of the own state, and drops all entries before it but the last `keep`.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, keep: u64) {
        let base = Index(snapshot.index.get().saturating_sub(keep));
        if base > self.base.0 {
            let term = self
                .term_at(base)
                .expect("the index is at or after the base");
            let voters = self.voters_at(base).clone();
            let drop = (base.get() - self.base.0.get()) as usize;
            self.entries.drain(..drop);
            self.voter_sets.retain(|(i, _)| *i > base);
            self.voter_sets.insert(0, (base, voters));
            self.base = (base, term);
        }
        self.snapshot = Some(snapshot);
    }

    /// Stores a snapshot from the leader; later entries are kept only if they continue it.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        let joins = self.term_at(snapshot.index) == Some(snapshot.term);
        let later = if joins {
            self.entries_after(snapshot.index, usize::MAX)
        } else {
            Vec::new()
        };
        self.base = (snapshot.index, snapshot.term);
        self.voter_sets = vec![(snapshot.index, snapshot.voters.clone())];
        self.entries.clear();
        self.snapshot = Some(snapshot);
        self.append(later);
    }

    /// Returns the state that a disk must hold to restore this log.
    pub fn to_stored(&self, hard: crate::entry::HardState) -> StoredState {
        StoredState {
            hard,
            snapshot: self.snapshot.clone(),
            entries: self.entries.clone(),
        }
    }
}

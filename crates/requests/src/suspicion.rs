//! The requests that are suspected of crashing backend servers.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::claim::Fingerprint;

/// The number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// The most facts of one source that are kept. Older ones are dropped.
const MAX_FACTS: usize = 1_024;
/// The most sources that are kept.
const MAX_SOURCES: usize = 1_024;

data! {
    /// One crash of one backend server.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Crash {
        /// The agent that saw the crash.
        pub agent: ProcessId,
        /// The number that the agent gave the crash.
        pub number: u64,
    }

    /// A fact about one request, which one entry found.
    #[derive(PartialOrd, Ord)]
    pub enum Fact {
        /// The request was in flight at a crash.
        Crashed {
            /// The fingerprint of the request.
            fingerprint: Fingerprint,
            /// The crash.
            crash: Crash,
        },
        /// The request finished or an operator cleared it, so it did not cause these crashes.
        Cleared {
            /// The fingerprint of the request.
            fingerprint: Fingerprint,
            /// The crashes.
            crashes: BTreeSet<Crash>,
        },
    }

    /// A fact with its source and its number there.
    pub struct SuspicionEntry {
        /// The entry that found the fact.
        pub source: ProcessId,
        /// The number of the fact among those of the source.
        pub number: u64,
        /// The time left until the fact expires.
        pub left: Span,
        /// The fact.
        pub fact: Fact,
    }

    /// The facts that an entry knows, by the highest number of each source.
    #[derive(Default)]
    pub struct KnownFacts {
        /// The highest known number of each source.
        pub sources: BTreeMap<ProcessId, u64>,
    }
}

/// Whether a request is suspected of crashing backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspicionState {
    /// The request is not suspected.
    Clear,
    /// The request was in flight at this crash.
    Suspect(Crash),
    /// The request was in flight at two crashes, at one of them alone.
    Quarantined,
}

/// The facts of one entry, merged with those of the other entries.
///
/// Facts are only added, each source numbers its own, and they expire. Merging therefore needs no
/// order: two entries agree once they have exchanged the facts that the other lacked.
#[derive(Debug)]
pub struct Suspicions {
    own: ProcessId,
    retention: Span,
    facts: BTreeMap<ProcessId, BTreeMap<u64, (Moment, Fact)>>,
    next_number: u64,
}

impl Suspicions {
    /// Creates an empty set of facts. Each fact expires after `retention`.
    pub fn new(own: ProcessId, retention: Span) -> Self {
        Self {
            own,
            retention,
            facts: BTreeMap::new(),
            next_number: 1,
        }
    }

    /// Records that a request was in flight at a crash.
    pub fn record_crash(&mut self, now: Moment, fingerprint: Fingerprint, crash: Crash) {
        let fact = Fact::Crashed { fingerprint, crash };
        let until = now + self.retention;
        if !self.live_facts(now).any(|known| *known == fact) {
            self.add_own(until, fact);
        }
    }

    /// Records that a request finished, which clears it of the crash that it was suspected of.
    pub fn record_completion(&mut self, now: Moment, fingerprint: Fingerprint) {
        if let SuspicionState::Suspect(_) = self.state(now, fingerprint) {
            self.lift(now, fingerprint);
        }
    }

    /// Clears a request of all crashes known so far. Returns whether it was suspected of any.
    pub fn lift(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let crashes = self.open_crashes(now, fingerprint);
        if crashes.is_empty() {
            return false;
        }
        let fact = Fact::Cleared {
            fingerprint,
            crashes,
        };
        self.add_own(now + self.retention, fact);
        true
    }

    /// Returns whether a request is suspected.
    pub fn state(&self, now: Moment, fingerprint: Fingerprint) -> SuspicionState {
        let open = self.open_crashes(now, fingerprint);
        match open.first() {
            None => SuspicionState::Clear,
            Some(_) if open.len() >= QUARANTINE_CRASHES => SuspicionState::Quarantined,
            Some(crash) => SuspicionState::Suspect(crash.clone()),
        }
    }

    /// Returns every request that is suspected or quarantined, with its crashes.
    pub fn list(&self, now: Moment) -> BTreeMap<Fingerprint, BTreeSet<Crash>> {
        let all = self.live_facts(now).filter_map(|fact| match fact {
            Fact::Crashed { fingerprint, .. } => Some(*fingerprint),
            Fact::Cleared { .. } => None,
        });
        let all: BTreeSet<_> = all.collect();
        let open = all.into_iter().map(|f| (f, self.open_crashes(now, f)));
        open.filter(|(_, crashes)| !crashes.is_empty()).collect()
    }

    /// Returns whether no fact is known. This is the common case, so it must be cheap.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Returns the highest known number of each source.
    pub fn known_facts(&self) -> KnownFacts {
        let last = |(source, facts): (&ProcessId, &BTreeMap<u64, _>)| {
            let number = facts.last_key_value().map_or(0, |(n, _)| *n);
            (source.clone(), number)
        };
        let sources = self.facts.iter().map(last).collect();
        KnownFacts { sources }
    }

    /// Returns the facts that another entry lacks.
    pub fn delta(&self, now: Moment, known: &KnownFacts) -> Vec<SuspicionEntry> {
        let mut delta = Vec::new();
        for (source, facts) in &self.facts {
            let after = known.sources.get(source).copied().unwrap_or(0);
            let fresh = facts
                .range(after + 1..)
                .filter(|(_, (until, _))| *until > now);
            delta.extend(fresh.map(|(number, (until, fact))| SuspicionEntry {
                source: source.clone(),
                number: *number,
                left: now.until(*until),
                fact: fact.clone(),
            }));
        }
        delta
    }

    /// Merges the facts of another entry.
    pub fn merge(&mut self, now: Moment, delta: Vec<SuspicionEntry>) {
        for entry in delta {
            if entry.source == self.own {
                continue;
            }
            let full = self.facts.len() >= MAX_SOURCES && !self.facts.contains_key(&entry.source);
            if !full {
                let until = now + entry.left.min(self.retention);
                self.store(entry.source, entry.number, until, entry.fact);
            }
        }
    }

    /// Forgets the facts that have expired.
    pub fn expire(&mut self, now: Moment) {
        for facts in self.facts.values_mut() {
            // The last fact stays, so that the highest known number of a source doesn't decrease.
            let last = facts.last_key_value().map(|(n, _)| *n);
            facts.retain(|n, (until, _)| *until > now || Some(*n) == last);
        }
        self.facts
            .retain(|_, facts| facts.values().any(|(until, _)| *until > now));
    }

    /// Returns the crashes that a request was in flight at and is not cleared of.
    fn open_crashes(&self, now: Moment, fingerprint: Fingerprint) -> BTreeSet<Crash> {
        let mut open = BTreeSet::new();
        let mut cleared = BTreeSet::new();
        for fact in self.live_facts(now) {
            match fact {
                Fact::Crashed {
                    fingerprint: f,
                    crash,
                } if *f == fingerprint => {
                    open.insert(crash.clone());
                }
                Fact::Cleared {
                    fingerprint: f,
                    crashes,
                } if *f == fingerprint => cleared.extend(crashes.iter().cloned()),
                Fact::Crashed { .. } | Fact::Cleared { .. } => {}
            }
        }
        open.difference(&cleared).cloned().collect()
    }

    /// Returns the facts that have not expired.
    fn live_facts(&self, now: Moment) -> impl Iterator<Item = &Fact> {
        let facts = self.facts.values().flat_map(|facts| facts.values());
        facts
            .filter(move |(until, _)| *until > now)
            .map(|(_, fact)| fact)
    }

    fn add_own(&mut self, until: Moment, fact: Fact) {
        let number = self.next_number;
        self.next_number += 1;
        self.store(self.own.clone(), number, until, fact);
    }

    fn store(&mut self, source: ProcessId, number: u64, until: Moment, fact: Fact) {
        let facts = self.facts.entry(source).or_default();
        facts.entry(number).or_insert((until, fact));
        while facts.len() > MAX_FACTS {
            facts.pop_first();
        }
    }
}

//! Which requests are suspected of crashing backend servers.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::claim::Fingerprint;

/// The crashes after which a request is held back.
const QUARANTINE: usize = 2;
/// The facts of one source that are kept; older ones fall out.
const FACTS: usize = 1_024;
/// The sources that are kept.
const SOURCES: usize = 1_024;

data! {
    /// One death of one backend server.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Crash {
        /// The agent that saw it.
        pub agent: ProcessId,
        /// The number that the agent gave it.
        pub number: u64,
    }

    /// What one entry knows of one request.
    #[derive(PartialOrd, Ord)]
    pub enum Fact {
        /// It was in flight at a crash.
        Crashed {
            /// The request.
            fingerprint: Fingerprint,
            /// The crash.
            crash: Crash,
        },
        /// It finished, or an operator lifted it: these crashes are not its fault.
        Cleared {
            /// The request.
            fingerprint: Fingerprint,
            /// The crashes.
            crashes: BTreeSet<Crash>,
        },
    }

    /// A fact with its place among those of its source.
    pub struct SuspicionEntry {
        /// The entry that found it.
        pub source: ProcessId,
        /// Its number among the source's facts.
        pub number: u64,
        /// How long it still holds.
        pub left: Span,
        /// The fact.
        pub fact: Fact,
    }

    /// How many facts of each source are known.
    #[derive(Default)]
    pub struct KnownFacts {
        /// The highest number of each.
        pub sources: BTreeMap<ProcessId, u64>,
    }
}

/// What a request is, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspicionState {
    /// Nothing speaks against it.
    Clear,
    /// It was in flight at this crash.
    Suspect(Crash),
    /// It was in flight at two crashes, once of them alone.
    Quarantined,
}

/// The suspicions of one entry, merged with those of the others.
///
/// Facts only grow, each source numbers its own, and they expire, so merging needs no order:
/// any two entries that have exchanged what the other lacked agree.
#[derive(Debug)]
pub struct Suspicions {
    own: ProcessId,
    hold: Span,
    facts: BTreeMap<ProcessId, BTreeMap<u64, (Moment, Fact)>>,
    next: u64,
}

impl Suspicions {
    /// No suspicions yet; a fact holds for this long.
    pub fn new(own: ProcessId, hold: Span) -> Self {
        Self {
            own,
            hold,
            facts: BTreeMap::new(),
            next: 1,
        }
    }

    /// Takes note that a request was in flight at a crash.
    pub fn record_crash(&mut self, now: Moment, fingerprint: Fingerprint, crash: Crash) {
        let fact = Fact::Crashed { fingerprint, crash };
        let until = now + self.hold;
        if !self.all(now).any(|known| *known == fact) {
            self.add(until, fact);
        }
    }

    /// Takes note that a request finished: it did not crash what it was suspected of.
    pub fn record_completion(&mut self, now: Moment, fingerprint: Fingerprint) {
        if let SuspicionState::Suspect(_) = self.state(now, fingerprint) {
            self.lift(now, fingerprint);
        }
    }

    /// Clears a request of everything known so far; true where there was something.
    pub fn lift(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let crashes = self.open(now, fingerprint);
        if crashes.is_empty() {
            return false;
        }
        let fact = Fact::Cleared {
            fingerprint,
            crashes,
        };
        self.add(now + self.hold, fact);
        true
    }

    /// What a request is.
    pub fn state(&self, now: Moment, fingerprint: Fingerprint) -> SuspicionState {
        let open = self.open(now, fingerprint);
        match open.first() {
            None => SuspicionState::Clear,
            Some(_) if open.len() >= QUARANTINE => SuspicionState::Quarantined,
            Some(crash) => SuspicionState::Suspect(crash.clone()),
        }
    }

    /// Every request under suspicion, with its crashes.
    pub fn list(&self, now: Moment) -> BTreeMap<Fingerprint, BTreeSet<Crash>> {
        let all = self.all(now).filter_map(|fact| match fact {
            Fact::Crashed { fingerprint, .. } => Some(*fingerprint),
            Fact::Cleared { .. } => None,
        });
        let all: BTreeSet<_> = all.collect();
        let open = all.into_iter().map(|f| (f, self.open(now, f)));
        open.filter(|(_, crashes)| !crashes.is_empty()).collect()
    }

    /// Whether nothing is known: the common case, which must cost nothing.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// How many facts of each source are known.
    pub fn known_facts(&self) -> KnownFacts {
        let last = |(source, facts): (&ProcessId, &BTreeMap<u64, _>)| {
            let number = facts.last_key_value().map_or(0, |(n, _)| *n);
            (source.clone(), number)
        };
        let sources = self.facts.iter().map(last).collect();
        KnownFacts { sources }
    }

    /// What another entry lacks.
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

    /// Takes what another entry knows.
    pub fn merge(&mut self, now: Moment, delta: Vec<SuspicionEntry>) {
        for entry in delta {
            if entry.source == self.own {
                continue;
            }
            let full = self.facts.len() >= SOURCES && !self.facts.contains_key(&entry.source);
            if !full {
                let until = now + entry.left.min(self.hold);
                self.put(entry.source, entry.number, until, entry.fact);
            }
        }
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Moment) {
        for facts in self.facts.values_mut() {
            // The last fact stays, so that the numbers known of a source don't fall back.
            let last = facts.last_key_value().map(|(n, _)| *n);
            facts.retain(|n, (until, _)| *until > now || Some(*n) == last);
        }
        self.facts
            .retain(|_, facts| facts.values().any(|(until, _)| *until > now));
    }

    fn open(&self, now: Moment, fingerprint: Fingerprint) -> BTreeSet<Crash> {
        let mut open = BTreeSet::new();
        let mut cleared = BTreeSet::new();
        for fact in self.all(now) {
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

    fn all(&self, now: Moment) -> impl Iterator<Item = &Fact> {
        let facts = self.facts.values().flat_map(|facts| facts.values());
        facts
            .filter(move |(until, _)| *until > now)
            .map(|(_, fact)| fact)
    }

    fn add(&mut self, until: Moment, fact: Fact) {
        let number = self.next;
        self.next += 1;
        self.put(self.own.clone(), number, until, fact);
    }

    fn put(&mut self, source: ProcessId, number: u64, until: Moment, fact: Fact) {
        let facts = self.facts.entry(source).or_default();
        facts.entry(number).or_insert((until, fact));
        while facts.len() > FACTS {
            facts.pop_first();
        }
    }
}

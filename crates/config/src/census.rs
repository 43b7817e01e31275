//! Who has which version in force, counted on the way to the control hosts.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

/// The most processes that a census names; the others are only counted.
const NAMED: usize = 32;
/// The most versions that a census counts one by one.
const COUNTED: usize = 16;
/// The most processes that a roll remembers.
const REMEMBERED: usize = 4_096;

data! {
    /// What one process has in force.
    pub struct ProcessVersion {
        /// The process.
        pub process: ProcessId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// The version in force there.
        pub version: Version,
        /// How long ago the control leader confirmed it; nothing where it never did.
        pub age: Option<Span>,
    }

    /// How many processes have which version, and who is behind.
    #[derive(Default)]
    pub struct Census {
        /// Processes by version; the oldest versions are counted together.
        pub versions: BTreeMap<Version, u32>,
        /// Those that are furthest behind, the oldest version first.
        pub lagging: Vec<ProcessVersion>,
    }
}

/// The processes that asked lately, with those that asked them.
///
/// A process that changes its source is counted at both until the first forgets it.
#[derive(Debug)]
pub struct CensusTracker {
    keep: Span,
    known: BTreeMap<ProcessId, Known>,
}

#[derive(Debug)]
struct Known {
    noted: Moment,
    standing: ProcessVersion,
    below: Census,
}

impl CensusTracker {
    /// An empty roll that forgets whoever has not asked for this long.
    pub fn new(keep: Span) -> Self {
        Self {
            keep,
            known: BTreeMap::new(),
        }
    }

    /// Notes who asked, and what it knows of those that ask it.
    pub fn record(&mut self, now: Moment, standing: ProcessVersion, below: Census) {
        let process = standing.process.clone();
        self.forget(now);
        if self.known.len() >= REMEMBERED && !self.known.contains_key(&process) {
            return;
        }
        // A restarted process is one process.
        self.known.retain(|p, _| p.host != process.host);
        let known = Known {
            noted: now,
            standing,
            below,
        };
        self.known.insert(process, known);
    }

    /// Everyone that is known of, with the process itself.
    pub fn census(&mut self, now: Moment, own: &ProcessVersion) -> Census {
        let mut census = self.census_below(now, own.version);
        census.count(own.version, 1);
        census
    }

    /// Everyone that is known of beside the process itself, which has this version.
    pub fn census_below(&mut self, now: Moment, newest: Version) -> Census {
        self.forget(now);
        let mut census = Census::default();
        for known in self.known.values() {
            census.count(known.standing.version, 1);
            for (version, count) in &known.below.versions {
                census.count(*version, *count);
            }
            census.lagging.push(known.standing.clone());
            census.lagging.extend(known.below.lagging.iter().cloned());
        }
        census.lagging.retain(|s| s.version < newest);
        census.lagging.sort_by(|a, b| {
            let key = |s: &ProcessVersion| (s.version, std::cmp::Reverse(s.age));
            key(a).cmp(&key(b)).then_with(|| a.process.cmp(&b.process))
        });
        census.lagging.truncate(NAMED);
        census
    }

    fn forget(&mut self, now: Moment) {
        let keep = self.keep;
        self.known.retain(|_, k| now.since(k.noted) < keep);
    }
}

impl Census {
    /// How many processes are counted.
    pub fn total(&self) -> u32 {
        self.versions.values().sum()
    }

    /// Failure guarded against: a census that grows with the age of its fleet, because each
    /// straggler adds a version. The two oldest are counted as one beyond a bound.
    fn count(&mut self, version: Version, processes: u32) {
        *self.versions.entry(version).or_default() += processes;
        if self.versions.len() > COUNTED {
            if let Some((_, oldest)) = self.versions.pop_first() {
                if let Some(mut next) = self.versions.first_entry() {
                    *next.get_mut() += oldest;
                }
            }
        }
    }
}

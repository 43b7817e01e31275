//! Counts which processes have which version in force.
//!
//! Each process adds up the counts of the processes that poll it, so that the totals arrive at
//! the control hosts.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

/// How many lagging processes a census names; the others are only counted.
const MAX_LAGGING: usize = 32;
/// How many versions a census counts separately.
const MAX_VERSIONS: usize = 16;
/// How many processes a tracker remembers.
const MAX_PROCESSES: usize = 4_096;

data! {
    /// The version that one process has in force.
    pub struct ProcessVersion {
        /// The process.
        pub process: ProcessId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// The version in force at the process.
        pub version: Version,
        /// How long ago the control leader confirmed the version, or `None` if it never did.
        pub age: Option<Span>,
    }

    /// How many processes have each version, and which processes lag behind.
    #[derive(Default)]
    pub struct Census {
        /// The number of processes by version. Beyond a bound, the oldest versions are counted
        /// together.
        pub versions: BTreeMap<Version, u32>,
        /// The processes that lag furthest behind, the oldest version first.
        pub lagging: Vec<ProcessVersion>,
    }
}

/// Tracks the processes that polled this one recently, and the censuses that they sent along.
///
/// A process that moves to another source is counted at both until the first source forgets it.
#[derive(Debug)]
pub struct CensusTracker {
    retention: Span,
    reports: BTreeMap<ProcessId, Report>,
}

#[derive(Debug)]
struct Report {
    received: Moment,
    sender: ProcessVersion,
    below: Census,
}

impl CensusTracker {
    /// Creates an empty tracker that forgets a process which has not polled for `retention`.
    pub fn new(retention: Span) -> Self {
        Self {
            retention,
            reports: BTreeMap::new(),
        }
    }

    /// Records the version of a process that polled, and the census of the processes below it.
    pub fn record(&mut self, now: Moment, sender: ProcessVersion, below: Census) {
        let process = sender.process.clone();
        self.expire(now);
        if self.reports.len() >= MAX_PROCESSES && !self.reports.contains_key(&process) {
            return;
        }
        // A restarted process replaces its predecessor on the same host.
        self.reports.retain(|p, _| p.host != process.host);
        let report = Report {
            received: now,
            sender,
            below,
        };
        self.reports.insert(process, report);
    }

    /// Returns the census of all known processes, including this one.
    pub fn census(&mut self, now: Moment, own: &ProcessVersion) -> Census {
        let mut census = self.census_below(now, own.version);
        census.count(own.version, 1);
        census
    }

    /// Returns the census of all known processes except this one, which has version `newest`.
    pub fn census_below(&mut self, now: Moment, newest: Version) -> Census {
        self.expire(now);
        let mut census = Census::default();
        for report in self.reports.values() {
            census.count(report.sender.version, 1);
            for (version, count) in &report.below.versions {
                census.count(*version, *count);
            }
            census.lagging.push(report.sender.clone());
            census.lagging.extend(report.below.lagging.iter().cloned());
        }
        census.lagging.retain(|s| s.version < newest);
        census.lagging.sort_by(|a, b| {
            let key = |s: &ProcessVersion| (s.version, std::cmp::Reverse(s.age));
            key(a).cmp(&key(b)).then_with(|| a.process.cmp(&b.process))
        });
        census.lagging.truncate(MAX_LAGGING);
        census
    }

    fn expire(&mut self, now: Moment) {
        let retention = self.retention;
        self.reports
            .retain(|_, r| now.since(r.received) < retention);
    }
}

impl Census {
    /// Returns the number of processes counted.
    pub fn total(&self) -> u32 {
        self.versions.values().sum()
    }

    /// Adds processes to the count of a version.
    ///
    /// Each lagging process can add a version, so that the census of an old fleet would grow
    /// without limit. Beyond [`MAX_VERSIONS`], the two oldest versions are counted as one.
    fn count(&mut self, version: Version, processes: u32) {
        *self.versions.entry(version).or_default() += processes;
        if self.versions.len() > MAX_VERSIONS {
            if let Some((_, oldest)) = self.versions.pop_first() {
                if let Some(mut next) = self.versions.first_entry() {
                    *next.get_mut() += oldest;
                }
            }
        }
    }
}

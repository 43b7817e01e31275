//! How many of servers' recent answers failed, and which servers fail far more than the others.
//!
//! A server may fail many of its requests while it passes its health checks. Because it fails fast,
//! it looks idle and gets more requests than the others. One of many gateways sees too few of its
//! answers to notice, so they report them to the leader, which sums them up.
//!
//! - [`Outcomes`]: what one gateway saw of each server, with a decay of some seconds.
//! - [`Suspect`]: what the leader tells of a server.
//! - [`OutcomeCount`]: what a gateway reports of one server. A report holds all that still counts
//!   and replaces the one before it, so it can be repeated.
//! - [`find_outliers`]: which servers fail far more than the others of their service.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_core::starts::StartMap;

/// How long an answer counts in full on average. A server that gets three requests a second has
/// some six answers that count.
const DECAY: Span = Span::from_millis(2_000);

/// The sum of failures from which a server may be an outlier: three in two seconds, or two at
/// nearly the same time.
const MIN_FAILED: f64 = 1.8;

/// The sum of failures below which an outlier is none any more. It is lower than the one above, so
/// that the trials of a server that still fails keep it out.
const MAX_FORGIVEN: f64 = 0.5;

/// How long after its last failure a server is no outlier any more, however many there were.
const QUIET_TIME: Span = Span::from_millis(3_000);

/// The failed share from which a server may be an outlier, and the least multiple of the median
/// share of its service's servers.
const MIN_SHARE: f64 = 0.25;
const MEDIAN_FACTOR: f64 = 3.0;

/// The number of servers that a gateway must see failing before it takes its own path for the
/// cause.
const MIN_PATH_SERVERS: usize = 3;

/// The smallest sum that still counts.
const MIN_WEIGHT: f64 = 0.05;

/// The largest number of starts of servers that a gateway remembers.
const MAX_STARTS: usize = 4_096;

/// The largest number of servers in a report.
pub const MAX_REPORTED: usize = 128;

/// How an answer of a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerResult {
    /// It was complete, or its stream began.
    Good,
    /// It was an error of the server's own, was broken, or nothing came.
    Failed,
}

data! {
    /// What a gateway saw of a start of a server lately, in hundredths of answers. The field names
    /// are short because the reports are sent with each poll.
    pub struct OutcomeCount {
        /// The server.
        #[serde(rename = "i")]
        pub server: ServerId,
        /// Its start.
        #[serde(rename = "s")]
        pub start: Incarnation,
        /// The good answers.
        #[serde(rename = "g")]
        pub good: u32,
        /// The failed answers.
        #[serde(rename = "f")]
        pub failed: u32,
        /// How long ago the last one failed, in milliseconds.
        #[serde(rename = "q")]
        pub quiet: u32,
    }
}

data! {
    /// A start of a server that many answers of failed, as the leader tells gateways.
    pub struct Suspect {
        /// The server.
        #[serde(rename = "i")]
        pub server: ServerId,
        /// Its start.
        #[serde(rename = "s")]
        pub start: Incarnation,
        /// The percentage of its answers that failed, if it fails far more than the others. Until
        /// that is known, gateways are only asked what they saw of it.
        #[serde(rename = "o")]
        pub outlier: Option<u32>,
    }
}

/// Sums of good and failed answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    good: f64,
    failed: f64,
    /// How long ago the last answer failed, if one did.
    quiet: Option<Span>,
}

/// What is known of a server that is compared with others.
#[derive(Debug, Clone, Copy)]
pub struct Seen<'a> {
    /// The server.
    pub server: &'a ServerId,
    /// Its service.
    pub service: &'a ServiceId,
    /// Its availability zone.
    pub zone: &'a ZoneId,
    /// The group of ranks that it runs with, if there is one.
    pub group: Option<&'a GroupId>,
    /// Whether it was an outlier before.
    pub outlier: bool,
    /// Its recent answers.
    pub tally: Tally,
}

/// What one gateway saw of each start of a server.
#[derive(Debug, Clone, Default)]
pub struct Outcomes {
    known: StartMap<Decaying>,
}

#[derive(Debug, Clone, Copy)]
struct Decaying {
    tally: Tally,
    updated: Moment,
}

impl Outcomes {
    /// Records an answer of a start of a server.
    pub fn record(
        &mut self,
        now: Moment,
        server: &ServerId,
        start: Incarnation,
        ended: AnswerResult,
    ) {
        let mut tally = self.tally(now, server, start);
        match ended {
            AnswerResult::Good => tally.good += 1.0,
            AnswerResult::Failed => {
                tally.failed += 1.0;
                tally.quiet = Some(Span::default());
            }
        }
        let updated = now;
        self.known
            .insert(server, start, Decaying { tally, updated });
        self.known.evict_lowest(MAX_STARTS, |d| d.updated);
    }

    /// Returns the recent answers of a start of a server.
    pub fn tally(&self, now: Moment, server: &ServerId, start: Incarnation) -> Tally {
        let known = self.known.get(server, start);
        known.map_or_else(Tally::default, |decaying| decaying.at(now))
    }

    /// Returns what is reported to the leader: the servers that failed here, and those that it asks
    /// about although they were not seen here. Nothing is reported if most servers failed, because
    /// then this gateway's own path is the likely cause.
    pub fn report(&self, now: Moment, suspects: &[Suspect]) -> Vec<OutcomeCount> {
        let recent = self
            .known
            .iter()
            .map(|(server, start, d)| (server, start, d.at(now)));
        let recent: Vec<_> = recent.filter(|(_, _, tally)| tally.counts()).collect();
        let failing = |tally: &Tally| tally.failed >= MIN_WEIGHT;
        let bad = recent.iter().filter(|(_, _, tally)| failing(tally)).count();
        let ill_path = bad >= MIN_PATH_SERVERS && 2 * bad > recent.len();
        let asked = suspects.iter().map(|Suspect { server, start, .. }| {
            let tally = if ill_path {
                Tally::default()
            } else {
                self.tally(now, server, *start)
            };
            tally.to_count(server, *start)
        });
        let mut counts: Vec<OutcomeCount> = asked.collect();
        let own = recent.iter().filter(|(server, start, tally)| {
            let is_asked = || {
                suspects
                    .iter()
                    .any(|s| s.server == **server && s.start == *start)
            };
            !ill_path && failing(tally) && !is_asked()
        });
        counts.extend(own.map(|(server, start, tally)| tally.to_count(server, *start)));
        counts.sort_by_key(|count| Reverse(count.failed));
        counts.truncate(MAX_REPORTED);
        counts
    }

    /// Forgets the answers that no longer count.
    pub fn forget(&mut self, now: Moment) {
        self.known
            .retain(|_, _, decaying| decaying.at(now).counts());
    }
}

impl Decaying {
    fn at(&self, now: Moment) -> Tally {
        let age = now.since(self.updated).as_micros();
        let left = (-(age as f64) / DECAY.as_micros() as f64).exp();
        Tally {
            good: self.tally.good * left,
            failed: self.tally.failed * left,
            quiet: self
                .tally
                .quiet
                .map(|q| Span::from_micros(q.as_micros() + age)),
        }
    }
}

impl Tally {
    /// Adds what a gateway reported.
    pub fn add(&mut self, count: &OutcomeCount) {
        // Whole hundredths, so that the order of the reports changes nothing.
        let sum = |sum: f64, count: u32| ((sum * 100.0).round() + f64::from(count)) / 100.0;
        self.good = sum(self.good, count.good);
        self.failed = sum(self.failed, count.failed);
        if count.failed > 0 {
            let quiet = Span::from_millis(count.quiet.into());
            self.quiet = Some(self.quiet.map_or(quiet, |q| q.min(quiet)));
        }
    }

    /// Returns the failed share of all answers.
    pub fn failed_share(&self) -> f64 {
        let all = self.good + self.failed;
        if all > 0.0 {
            self.failed / all
        } else {
            0.0
        }
    }

    /// Returns the failed share in percent.
    pub fn failed_percent(&self) -> u32 {
        (self.failed_share() * 100.0).round() as u32
    }

    /// Whether so much failed that the server may be an outlier, or may still be one.
    pub fn is_suspect(&self, outlier: bool) -> bool {
        let least = if outlier { MAX_FORGIVEN } else { MIN_FAILED };
        let quiet = self.quiet.is_none_or(|q| q >= QUIET_TIME);
        !quiet && self.failed >= least && self.failed_share() >= MIN_SHARE
    }

    fn counts(&self) -> bool {
        self.good + self.failed >= MIN_WEIGHT
    }

    fn to_count(self, server: &ServerId, start: Incarnation) -> OutcomeCount {
        let hundredths = |weight: f64| (weight * 100.0).round() as u32;
        OutcomeCount {
            server: server.clone(),
            start,
            good: hundredths(self.good),
            failed: hundredths(self.failed),
            quiet: self.quiet.map_or(0, |q| q.as_millis() as u32),
        }
    }
}

/// Returns the servers that fail far more than most of their service, out of all servers.
///
/// Where more than half of the servers of a service, or several and more than half of an
/// availability zone or group, fail like this, the cause is not the single server, and none of
/// these is an outlier.
pub fn find_outliers<'a>(all: &[Seen<'a>]) -> BTreeSet<&'a ServerId> {
    let mut services: BTreeMap<&ServiceId, Vec<&Seen<'a>>> = BTreeMap::new();
    for seen in all {
        services.entry(seen.service).or_default().push(seen);
    }
    let mut outliers = BTreeSet::new();
    for servers in services.values() {
        let median = median_share(servers);
        let fails = |seen: &Seen<'_>| {
            let share = seen.tally.failed_share();
            seen.tally.is_suspect(seen.outlier) && share >= MEDIAN_FACTOR * median
        };
        let ill_part = |part: &dyn Fn(&Seen<'_>) -> bool| {
            let members = servers.iter().filter(|seen| part(seen));
            let (count, bad) = members.fold((0, 0), |(count, bad), seen| {
                (count + 1, bad + usize::from(fails(seen)))
            });
            bad > 1 && 2 * bad > count
        };
        let failing: Vec<_> = servers.iter().filter(|seen| fails(seen)).collect();
        if 2 * failing.len() > servers.len() {
            continue;
        }
        let zones: BTreeSet<&ZoneId> = failing.iter().map(|s| s.zone).collect();
        let groups: BTreeSet<&GroupId> = failing.iter().filter_map(|s| s.group).collect();
        let ill_zones: BTreeSet<_> = zones
            .into_iter()
            .filter(|z| ill_part(&|s| s.zone == *z))
            .collect();
        let ill_groups: BTreeSet<_> = groups
            .into_iter()
            .filter(|g| ill_part(&|s| s.group == Some(*g)))
            .collect();
        let single = failing.iter().filter(|seen| {
            !ill_zones.contains(seen.zone) && !seen.group.is_some_and(|g| ill_groups.contains(g))
        });
        outliers.extend(single.map(|seen| seen.server));
    }
    outliers
}

/// Returns the median of the failed shares of servers.
fn median_share(servers: &[&Seen<'_>]) -> f64 {
    let mut shares: Vec<f64> = servers.iter().map(|s| s.tally.failed_share()).collect();
    shares.sort_by(f64::total_cmp);
    shares.get((shares.len() - 1) / 2).copied().unwrap_or(0.0)
}

//! Servers that fail far more requests than others: they are left out, and tried again by few
//! requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use snipemast_core::hash::{fraction, mix};
use snipemast_core::prelude::*;

use super::open::OpenServers;
use super::Servers;
use crate::outcomes::{find_outliers, AnswerResult, OutcomeCount, Outcomes, Seen, Suspect};
use crate::pick::Pick;

/// How long the leader's news of failing servers hold: twice the longest interval between polls.
const SHARED_TIMEOUT: Span = Span::from_millis(1_000);

/// How often this gateway's own view of failing servers is updated.
const REFRESH_INTERVAL: Span = Span::from_millis(100);

/// How often a server that is left out is sent a request by any of the gateways. Each of these may
/// fail, and one in two seconds is enough to see that it goes on.
const PROBE_INTERVAL: Span = Span::from_millis(2_000);

data! {
    /// The ways to treat servers that fail more often than others.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum FailingServers {
        /// Each gateway ejects the servers that fail several of its own requests in a row.
        #[default]
        Alone,
        /// Gateways also tell each other how servers' answers end, and leave out those that fail far
        /// more of them than others.
        Shared,
    }
}

/// What the leader's news changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutlierChanges {
    /// The servers that are left out from now on, with the percentage of answers that failed.
    pub put_out: Vec<(ServerId, u32)>,
    /// The servers that are no longer left out.
    pub taken_back: Vec<ServerId>,
}

/// The servers that fail far more than others.
#[derive(Debug, Clone, Default)]
pub(super) struct Outliers {
    way: FailingServers,
    seed: u64,
    gateways: u32,
    outcomes: Outcomes,
    /// What the leader told last, and when.
    suspects: Vec<Suspect>,
    told: Moment,
    /// The servers that are left out, with the percentage of answers that failed.
    left_out: BTreeMap<ServerId, u32>,
    refreshed: Moment,
    /// When this gateway tries each server that is left out.
    next_probes: HashMap<ServerId, Moment>,
}

impl Outliers {
    pub(super) fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    pub(super) fn set_way(&mut self, way: FailingServers) {
        self.way = way;
    }

    pub(super) fn observe_gateways(&mut self, count: u32) {
        self.gateways = self.gateways.max(count);
    }

    pub(super) fn record(
        &mut self,
        now: Moment,
        server: &ServerId,
        start: Incarnation,
        ended: AnswerResult,
    ) {
        if self.way == FailingServers::Shared {
            self.outcomes.record(now, server, start, ended);
        }
    }

    /// Returns the percentage of answers that failed, if the server is left out.
    pub(super) fn failed_percent(&self, server: &ServerId) -> Option<u32> {
        self.left_out.get(server).copied()
    }

    /// Whether it is this gateway's turn to try a server that is left out.
    pub(super) fn is_probe_due(&self, now: Moment, server: &ServerId) -> bool {
        let next = self.next_probes.get(server);
        next.is_some_and(|next| now >= *next)
    }

    /// Records that a request is sent to a server.
    pub(super) fn spend(&mut self, now: Moment, server: &ServerId) {
        let interval = self.probe_interval();
        if let Some(next) = self.next_probes.get_mut(server) {
            *next = now + interval;
        }
    }

    /// Returns the time between two of this gateway's turns.
    fn probe_interval(&self) -> Span {
        PROBE_INTERVAL.times(self.gateways.max(1).into())
    }

    /// Sets the servers that are left out. The first turn of each gateway is drawn, so that their
    /// turns are spread.
    fn set_left_out(&mut self, now: Moment, left_out: BTreeMap<ServerId, u32>) {
        self.next_probes.retain(|id, _| left_out.contains_key(id));
        let interval = self.probe_interval().as_micros() as f64;
        for id in left_out.keys() {
            let salt = id
                .as_str()
                .bytes()
                .fold(self.seed, |s, b| mix(s ^ u64::from(b)));
            let first = now
                + Span::from_micros(
                    (interval * fraction(mix(salt ^ now.since(Moment::ZERO).as_micros()))) as u64,
                );
            self.next_probes.entry(id.clone()).or_insert(first);
        }
        self.left_out = left_out;
    }
}

impl<P: Pick> Servers<P> {
    /// Records how an answer of a start of a server ended.
    pub fn record_outcome(
        &mut self,
        now: Moment,
        server: &ServerId,
        start: Incarnation,
        ended: AnswerResult,
    ) {
        if self.knows_start(server, start) {
            self.outliers.record(now, server, start, ended);
        }
    }

    /// Returns what this gateway saw, for the leader.
    pub fn report_outcomes(&mut self, now: Moment) -> Vec<OutcomeCount> {
        self.outliers.outcomes.forget(now);
        let suspects = if now < self.outliers.told + SHARED_TIMEOUT {
            self.outliers.suspects.as_slice()
        } else {
            &[]
        };
        self.outliers.outcomes.report(now, suspects)
    }

    /// Sets the servers that fail by what all gateways saw, as the leader tells.
    pub fn set_suspects(&mut self, now: Moment, suspects: Vec<Suspect>) -> OutlierChanges {
        if self.outliers.way == FailingServers::Alone {
            return OutlierChanges::default();
        }
        let named = |s: &[Suspect]| -> BTreeMap<ServerId, u32> {
            let outliers = s
                .iter()
                .filter_map(|s| Some((s.server.clone(), s.outlier?)));
            outliers.collect()
        };
        let (before, after) = (named(&self.outliers.suspects), named(&suspects));
        self.outliers.suspects = suspects;
        self.outliers.told = now;
        self.update_outliers(now);
        let new = after.iter().filter(|(id, _)| !before.contains_key(*id));
        OutlierChanges {
            put_out: new.map(|(id, failed)| (id.clone(), *failed)).collect(),
            taken_back: before
                .into_keys()
                .filter(|id| !after.contains_key(id))
                .collect(),
        }
    }

    /// Whether a server is left out because it fails far more than others.
    pub fn is_failing(&self, server: &ServerId) -> bool {
        self.outliers.failed_percent(server).is_some()
    }

    /// Updates the servers that are left out, if that is due.
    pub(super) fn refresh_outliers(&mut self, now: Moment) {
        let is_due = now >= self.outliers.refreshed + REFRESH_INTERVAL;
        if is_due && self.outliers.way == FailingServers::Shared {
            self.update_outliers(now);
        }
    }

    /// Returns the index of a server that is left out and that this gateway tries now.
    pub(super) fn due_probe(&self, now: Moment, open: &OpenServers<'_>) -> Option<usize> {
        let mut servers = open.servers.iter();
        servers.position(|id| {
            self.outliers.failed_percent(id).is_some() && self.outliers.is_probe_due(now, id)
        })
    }

    /// Updates the servers that are left out: those that fail by this gateway's own requests or by
    /// those of all. Where these are more than half of a service, none is left out.
    fn update_outliers(&mut self, now: Moment) {
        self.outliers.refreshed = now;
        let outcomes = &self.outliers.outcomes;
        let seen = self.known.iter().map(|(id, server)| Seen {
            server: id,
            service: &server.announced.pool.service,
            zone: &server.announced.zone,
            group: server.announced.pool.group.as_ref(),
            outlier: self.outliers.left_out.contains_key(id),
            tally: outcomes.tally(now, id, server.announced.start),
        });
        let seen: Vec<Seen<'_>> = seen.collect();
        let mut failing = BTreeMap::new();
        for id in find_outliers(&seen) {
            let start = self.known[id].announced.start;
            failing.insert(id.clone(), outcomes.tally(now, id, start).failed_percent());
        }
        let is_fresh = now < self.outliers.told + SHARED_TIMEOUT;
        let shared = self.outliers.suspects.iter().filter(|_| is_fresh);
        for suspect in shared {
            let known = self.known.get(&suspect.server);
            let same = known.is_some_and(|s| s.announced.start == suspect.start);
            if let Some(failed) = suspect.outlier.filter(|_| same) {
                let entry = failing.entry(suspect.server.clone()).or_insert(failed);
                *entry = failed.max(*entry);
            }
        }
        let mut counts: BTreeMap<&ServiceId, (usize, usize)> = BTreeMap::new();
        for seen in &seen {
            let (all, bad) = counts.entry(seen.service).or_default();
            *all += 1;
            *bad += usize::from(failing.contains_key(seen.server));
        }
        let ill: BTreeSet<&ServiceId> = counts
            .iter()
            .filter(|(_, (all, bad))| 2 * bad > *all)
            .map(|(service, _)| *service)
            .collect();
        failing.retain(|id, _| {
            let known = self.known.get(id);
            known.is_some_and(|s| !ill.contains(&s.announced.pool.service))
        });
        self.outliers.set_left_out(now, failing);
    }
}

//! The pool of servers that offer one model or service, in tiers from near to far.

use snipemast_core::prelude::*;

use crate::server::Server;

/// The number of tiers of a pool.
pub(crate) const TIERS: usize = 3;

/// How near a server is to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// The server is in the entry's own availability zone.
    Zone,
    /// The server is in another availability zone of the entry's region.
    Region,
    /// The server is in another region.
    Far,
}

impl Proximity {
    pub(crate) const ALL: [Self; TIERS] = [Self::Zone, Self::Region, Self::Far];

    pub(crate) fn between(entry: &Location, server: &Server) -> Self {
        if server.facts.region != entry.region {
            Self::Far
        } else if server.facts.zone != entry.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }
}

/// The location of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The availability zone of the entry.
    pub zone: ZoneId,
    /// The region of the entry.
    pub region: RegionId,
}

/// When requests spill to servers of the next tier.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillPolicy {
    /// The load per slot at which requests begin to spill.
    pub begin: f64,
    /// The load per slot below which they stop.
    pub end: f64,
}

impl Default for SpillPolicy {
    fn default() -> Self {
        Self {
            begin: 0.8,
            end: 0.7,
        }
    }
}

/// Means over the servers of a tier, which are refreshed at intervals.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Means {
    /// The requests of other entries per slot.
    pub(crate) others: f64,
    /// All requests per slot.
    pub(crate) load: f64,
    /// The time of an engine step, in microseconds.
    pub(crate) step: f64,
    /// The usual time to the first sign of an answer.
    pub(crate) first_sign: Span,
    /// The slots of all servers that accept requests.
    pub(crate) slots: f64,
}

/// The servers of a pool that are equally near.
#[derive(Debug, Default)]
pub(crate) struct Tier {
    pub(crate) servers: Vec<u32>,
    /// The servers' seeds in rendezvous hashing. They are stored next to each other, as a scan of
    /// the servers themselves would miss the processor's cache for each one.
    pub(crate) seeds: Vec<u64>,
    /// The number of servers in the tier for each one in the list, which may be a subset.
    pub(crate) listed_ratio: f64,
    pub(crate) means: Means,
    pub(crate) spilling: bool,
}

impl Tier {
    /// Starts spilling at one load and stops it below a lower one. Returns the new state if it
    /// changed.
    ///
    /// With a single bound, a zone whose load is close to it would switch its whole excess back
    /// and forth.
    pub(crate) fn update_spilling(&mut self, policy: &SpillPolicy) -> Option<bool> {
        let is_high = self.means.load >= policy.begin;
        let is_low = self.means.load < policy.end;
        let next = if self.spilling { !is_low } else { is_high };
        let changed = next != self.spilling;
        self.spilling = next;
        changed.then_some(next)
    }
}

/// The servers that offer one model or service.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) tiers: [Tier; TIERS],
    pub(crate) refreshed: Option<Moment>,
}

impl Pool {
    pub(crate) fn len(&self) -> usize {
        self.tiers.iter().map(|t| t.servers.len()).sum()
    }
}

//! The servers that answer for one thing, in tiers from near to far.

use snipemast_core::prelude::*;

use crate::server::Server;

/// The tiers of a pool, from near to far.
pub(crate) const TIERS: usize = 3;

/// How near a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the entry's own availability zone.
    Zone,
    /// In another availability zone of its region.
    Region,
    /// In another region.
    Far,
}

impl Proximity {
    pub(crate) const ALL: [Self; TIERS] = [Self::Zone, Self::Region, Self::Far];

    pub(crate) fn of(place: &Location, server: &Server) -> Self {
        if server.facts.region != place.region {
            Self::Far
        } else if server.facts.zone != place.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }
}

/// Where an entry stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// When requests go to servers farther away.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpillPolicy {
    /// The load a slot at which requests begin to spill.
    pub begin: f64,
    /// The load a slot at which they stop.
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

/// What the servers of a tier have in common, worked out now and then.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Means {
    /// Requests of other entries, a slot.
    pub(crate) others: f64,
    /// All requests, a slot.
    pub(crate) load: f64,
    /// The time of a step, in microseconds.
    pub(crate) step: f64,
    /// The usual time to the first sign of an answer.
    pub(crate) first: Span,
    /// Slots of servers that take work.
    pub(crate) slots: f64,
}

/// Servers that are equally near.
#[derive(Debug, Default)]
pub(crate) struct Tier {
    pub(crate) list: Vec<u32>,
    /// The servers' weights in rendezvous hashing, beside each other: a scan of the servers
    /// themselves would miss the processor's cache for each.
    pub(crate) seeds: Vec<u64>,
    /// How many servers the tier has for each one in the list.
    pub(crate) cut: f64,
    pub(crate) means: Means,
    pub(crate) spilling: bool,
}

impl Tier {
    /// Turns spilling on over one bound and off under a lower one.
    ///
    /// With one bound, a zone that hovers there would throw its whole excess back and forth.
    pub(crate) fn judge(&mut self, policy: &SpillPolicy) -> Option<bool> {
        let full = self.means.load >= policy.begin;
        let calm = self.means.load < policy.end;
        let next = if self.spilling { !calm } else { full };
        let changed = next != self.spilling;
        self.spilling = next;
        changed.then_some(next)
    }
}

/// The servers that answer for one thing.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) tiers: [Tier; TIERS],
    pub(crate) refreshed: Option<Moment>,
}

impl Pool {
    pub(crate) fn len(&self) -> usize {
        self.tiers.iter().map(|t| t.list.len()).sum()
    }
}

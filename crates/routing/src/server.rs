//! One backend server, as one entry knows it.

use snipemast_core::prelude::*;

use crate::health::Health;
use crate::load::Load;
use crate::wanted::Wanted;

/// A backend server's word about itself, as its agent announced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerFacts {
    /// Its agent.
    pub agent: ProcessId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// What it offers and can do.
    pub info: ServerInfo,
    /// Whether it takes no new work.
    pub draining: bool,
}

impl ServerFacts {
    /// Whether lists that are built from other facts still hold.
    pub(crate) fn is_listed_like(&self, other: &Self) -> bool {
        self.zone == other.zone && self.region == other.region && self.info == other.info
    }
}

/// A backend server in the table.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) facts: ServerFacts,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Whether membership has doubts that it is alive.
    pub(crate) suspect: bool,
    /// Weight of the server in rendezvous hashing.
    pub(crate) seed: u64,
    /// Position of its group among all groups.
    pub(crate) group: Option<u32>,
}

impl Server {
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.facts.info.slots.max(1))
    }

    pub(crate) fn wanted(&self) -> Vec<Wanted> {
        let offers = self.facts.info.offers.iter();
        let mut all: Vec<_> = offers.flat_map(Wanted::offered_by).collect();
        all.sort();
        all.dedup();
        all
    }

    pub(crate) fn covers(&self, needs: &Capabilities) -> bool {
        let has = &self.facts.info.capabilities;
        (has.fencing || !needs.fencing)
            && (has.resume || !needs.resume)
            && (has.prefix || !needs.prefix)
            && (has.priority || !needs.priority)
    }
}

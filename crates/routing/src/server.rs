//! One backend server in the router's table.

use snipemast_core::prelude::*;

use crate::health::Health;
use crate::load::Load;
use crate::wanted::Wanted;

/// What the agent of a backend server announced about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerFacts {
    /// The agent process of the server.
    pub agent: ProcessId,
    /// The availability zone of the server.
    pub zone: ZoneId,
    /// The region of the server.
    pub region: RegionId,
    /// What the server offers and is capable of.
    pub info: ServerInfo,
    /// Whether the server accepts no new requests.
    pub draining: bool,
}

impl ServerFacts {
    /// Whether pools that were built from other facts stay the same with these.
    pub(crate) fn has_same_pools(&self, other: &Self) -> bool {
        self.zone == other.zone && self.region == other.region && self.info == other.info
    }
}

/// A backend server in the table.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) facts: ServerFacts,
    pub(crate) load: Load,
    pub(crate) health: Health,
    /// Whether membership suspects that the server is dead.
    pub(crate) suspect: bool,
    /// The seed of the server's weights in rendezvous hashing.
    pub(crate) seed: u64,
    /// The index of the server's group among all groups.
    pub(crate) group: Option<u32>,
}

impl Server {
    pub(crate) fn slots(&self) -> f64 {
        f64::from(self.facts.info.slots.max(1))
    }

    pub(crate) fn offered(&self) -> Vec<Wanted> {
        let offers = self.facts.info.offers.iter();
        let mut all: Vec<_> = offers.flat_map(Wanted::offered_by).collect();
        all.sort();
        all.dedup();
        all
    }

    pub(crate) fn has_capabilities(&self, needs: &Capabilities) -> bool {
        let has = &self.facts.info.capabilities;
        (has.fencing || !needs.fencing)
            && (has.resume || !needs.resume)
            && (has.prefix || !needs.prefix)
            && (has.priority || !needs.priority)
    }
}

//! The agents that announced themselves, each under a lease.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use parking_lot::RwLock;

use snipemast_core::prelude::*;
use snipemast_wire::{Announce, Peer};

/// An agent as its last announcement described it.
#[derive(Debug)]
pub struct Member {
    /// The announcement.
    pub announce: Announce,
    /// The connections to it.
    pub peer: Arc<Peer>,
    /// Requests that this entry has in flight there.
    pub inflight: Arc<AtomicU32>,
    expires: Moment,
}

impl Member {
    /// Whether the backend server answers for this offer.
    fn offers(&self, wanted: &Wanted) -> bool {
        self.announce
            .info
            .offers
            .iter()
            .any(|offer| wanted.matches(offer))
    }

    fn pressure(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }
}

/// What a backend server must offer to answer a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wanted {
    /// This model, in this version, with this adapter.
    Model {
        /// The model.
        model: ModelId,
        /// The version.
        version: String,
        /// The adapter.
        adapter: Option<AdapterId>,
    },
    /// This plain service.
    Service(ServiceId),
}

impl Wanted {
    fn matches(&self, offer: &Offer) -> bool {
        match (self, offer) {
            (
                Self::Model {
                    model,
                    version,
                    adapter,
                },
                Offer::Model {
                    model: m,
                    version: v,
                    adapters,
                },
            ) => {
                model == m && version == v && adapter.as_ref().is_none_or(|a| adapters.contains(a))
            }
            (Self::Service(service), Offer::Service { service: s }) => service == s,
            _ => false,
        }
    }
}

/// Every agent that this entry knows.
#[derive(Debug)]
pub struct Registry {
    clock: Clock,
    lease: Span,
    members: RwLock<BTreeMap<HostId, Arc<Member>>>,
}

impl Registry {
    /// An empty registry that grants leases of this length.
    pub fn new(lease: Span) -> Self {
        Self {
            clock: Clock::new(),
            lease,
            members: RwLock::default(),
        }
    }

    /// Takes an announcement; true where the agent is new.
    pub fn renew(&self, announce: Announce) -> bool {
        let expires = self.clock.now() + self.lease;
        let mut members = self.members.write();
        let host = announce.agent.host.clone();
        let old = members
            .get(&host)
            .filter(|m| m.announce.agent == announce.agent);
        let known = old.is_some();
        let (peer, inflight) = match old {
            Some(old) => (Arc::clone(&old.peer), Arc::clone(&old.inflight)),
            None => (Arc::new(Peer::new(announce.address)), Arc::default()),
        };
        members.insert(
            host,
            Arc::new(Member {
                announce,
                peer,
                inflight,
                expires,
            }),
        );
        !known
    }

    /// Forgets the agents whose lease ran out, and returns them.
    pub fn expire(&self) -> Vec<Arc<Member>> {
        let now = self.clock.now();
        let mut members = self.members.write();
        let gone: Vec<_> = members
            .values()
            .filter(|m| m.expires < now)
            .cloned()
            .collect();
        members.retain(|_, m| m.expires >= now);
        gone
    }

    /// Chooses the agent with the fewest requests of this entry in flight.
    pub fn choose(&self, wanted: &Wanted, tried: &[ProcessId]) -> Option<Arc<Member>> {
        let members = self.members.read();
        let able = members.values().filter(|m| {
            !m.announce.draining && m.offers(wanted) && !tried.contains(&m.announce.agent)
        });
        able.min_by_key(|m| m.pressure()).cloned()
    }

    /// Every agent.
    pub fn members(&self) -> Vec<Arc<Member>> {
        self.members.read().values().cloned().collect()
    }
}

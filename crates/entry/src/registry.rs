//! The agents that announced themselves, each under a lease.

use std::collections::BTreeMap;
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
    expires: Moment,
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
        let peer = match old {
            Some(old) => Arc::clone(&old.peer),
            None => Arc::new(Peer::new(announce.address)),
        };
        members.insert(
            host,
            Arc::new(Member {
                announce,
                peer,
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

    /// Every agent.
    pub fn members(&self) -> Vec<Arc<Member>> {
        self.members.read().values().cloned().collect()
    }
}

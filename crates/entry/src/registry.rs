//! The agents that this entry's requests can be sent to, as membership sees them.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::RwLock;

use snipemast_core::prelude::*;
use snipemast_wire::{Announce, Peer};

/// An agent with its latest announcement.
#[derive(Debug)]
pub struct Member {
    /// The announcement, with the latest load.
    pub announce: Announce,
    /// The connections to the agent.
    pub peer: Arc<Peer>,
}

/// Every agent that this entry can reach, draining ones included.
#[derive(Debug)]
pub struct Registry {
    ring: Arc<Ring>,
    members: RwLock<BTreeMap<HostId, Arc<Member>>>,
}

impl Registry {
    /// Creates an empty registry, whose calls are stamped by the clock of this ring.
    pub fn new(ring: Arc<Ring>) -> Self {
        Self {
            ring,
            members: RwLock::default(),
        }
    }

    /// Updates an agent's announcement; connections to the same process are kept.
    pub fn update(&self, announce: Announce) {
        let mut members = self.members.write();
        let old = members.get(&announce.agent.host);
        let same = |m: &&Arc<Member>| {
            m.announce.agent == announce.agent && m.announce.address == announce.address
        };
        let peer = match old.filter(same) {
            Some(old) => Arc::clone(&old.peer),
            None => Arc::new(Peer::new(announce.address).with_ring(Arc::clone(&self.ring))),
        };
        let host = announce.agent.host.clone();
        members.insert(host, Arc::new(Member { announce, peer }));
    }

    /// Updates an agent's load, if it is newer than the stored one.
    pub fn update_load(&self, agent: &ProcessId, load: LoadReport) {
        let is_old = {
            let members = self.members.read();
            let known = members.get(&agent.host);
            known.is_none_or(|m| m.announce.agent != *agent || !is_newer(&m.announce.load, &load))
        };
        if is_old {
            return;
        }
        let mut members = self.members.write();
        if let Some(member) = members.get_mut(&agent.host) {
            let mut announce = member.announce.clone();
            announce.load = load;
            let peer = Arc::clone(&member.peer);
            *member = Arc::new(Member { announce, peer });
        }
    }

    /// Removes an agent.
    pub fn remove(&self, host: &HostId) {
        self.members.write().remove(host);
    }

    /// Returns every agent.
    pub fn members(&self) -> Vec<Arc<Member>> {
        self.members.read().values().cloned().collect()
    }
}

/// Returns whether a report has other values, or the same values at a later time.
fn is_newer(old: &LoadReport, new: &LoadReport) -> bool {
    let same = LoadReport {
        age: old.age,
        ..*new
    } == *old;
    !same || new.age < old.age
}

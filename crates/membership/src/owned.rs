//! The agents that one entry owns, as that entry and every other keeps them.
//!
//! Only the owner changes its set, each change raises the set's version, and a receiver takes
//! changes in that order. Sets of different owners stand under different keys. So nothing that
//! two processes do to the table needs to commute beyond "different keys".

use std::collections::BTreeMap;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::card::{AgentCard, NodeCard};

/// How many removals a set remembers; a peer further behind gets the whole set.
pub const MAX_GONE: usize = 64;

data! {
    /// One change of an owned set.
    pub struct Change {
        /// The set's version that the change made.
        pub version: u64,
        /// The agent's host.
        pub host: HostId,
        /// The agent as it is now, or nothing where it was removed.
        pub card: Option<AgentCard>,
    }

    /// The changes of one owner's set between two versions.
    pub struct Delta {
        /// The owner.
        pub card: NodeCard,
        /// The version that the receiver must have; 0 with the whole set.
        pub from: u64,
        /// The version that the receiver then has.
        pub to: u64,
        /// The changes, by version.
        pub changes: Vec<Change>,
    }
}

impl Delta {
    /// Roughly what the delta takes on the wire.
    pub fn size(&self) -> usize {
        80 + self.changes.iter().map(Change::size).sum::<usize>()
    }
}

impl Change {
    fn size(&self) -> usize {
        30 + self
            .card
            .as_ref()
            .map_or(0, |c| 80 + 60 * c.info.offers.len())
    }
}

/// A delta that starts after the version which the receiver has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap;

/// One owner's agents, with the version of each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnedSet {
    version: u64,
    floor: u64,
    cards: BTreeMap<HostId, (u64, AgentCard)>,
    gone: BTreeMap<HostId, u64>,
}

impl OwnedSet {
    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The agents.
    pub fn cards(&self) -> impl Iterator<Item = &AgentCard> {
        self.cards.values().map(|(_, card)| card)
    }

    /// The agent on this host.
    pub fn card(&self, host: &HostId) -> Option<&AgentCard> {
        self.cards.get(host).map(|(_, card)| card)
    }

    /// The version at which an agent was last written, and whether it was put or removed then.
    pub fn last_write(&self, host: &HostId) -> Option<(u64, bool)> {
        let put = self.cards.get(host).map(|(at, _)| (*at, true));
        put.or_else(|| self.gone.get(host).map(|at| (*at, false)))
    }

    /// How many agents there are.
    pub fn len(&self) -> usize {
        self.cards.len()
    }

    /// Whether there is no agent.
    pub fn is_empty(&self) -> bool {
        self.cards.is_empty()
    }

    /// Raises the version past this one, without changing an agent.
    pub fn raise(&mut self, past: u64) {
        self.version = self.version.max(past) + 1;
    }

    /// Adds or replaces an agent.
    pub fn put(&mut self, card: AgentCard) {
        self.version += 1;
        let host = card.agent.host.clone();
        self.gone.remove(&host);
        self.cards.insert(host, (self.version, card));
    }

    /// Removes an agent; true where it was there.
    pub fn remove(&mut self, host: &HostId) -> bool {
        if self.cards.remove(host).is_none() {
            return false;
        }
        self.version += 1;
        self.gone.insert(host.clone(), self.version);
        self.trim();
        true
    }

    /// The changes since a version: the starting version and the changes by version.
    ///
    /// Where a removal since then may be forgotten, the whole set goes out instead.
    pub fn since(&self, version: u64) -> (u64, Vec<Change>) {
        let from = if version < self.floor { 0 } else { version };
        let put = |(host, (at, card)): (&HostId, &(u64, AgentCard))| Change {
            version: *at,
            host: host.clone(),
            card: Some(card.clone()),
        };
        let removed = |(host, at): (&HostId, &u64)| Change {
            version: *at,
            host: host.clone(),
            card: None,
        };
        let mut changes: Vec<_> = self.cards.iter().map(put).collect();
        if from > 0 {
            changes.extend(self.gone.iter().map(removed));
        }
        changes.retain(|c| c.version > from);
        changes.sort_by_key(|c| c.version);
        (from, changes)
    }

    /// Takes an owner's changes; returns the hosts that they touch.
    ///
    /// Failure guarded against: a late or repeated delta that brings a removed agent back. It
    /// shows as an agent that comes and goes. A delta that ends at or below the version here is
    /// passed over, and one that starts above it is a [`Gap`], so versions are never skipped.
    pub fn apply(&mut self, delta: &Delta) -> Result<Vec<HostId>, Gap> {
        if delta.to <= self.version {
            return Ok(Vec::new());
        }
        if delta.from > self.version {
            return Err(Gap);
        }
        if delta.from == 0 {
            return Ok(self.replace(delta));
        }
        let mut touched = Vec::new();
        for change in &delta.changes {
            if change.version > self.version {
                self.change(change);
                touched.push(change.host.clone());
            }
        }
        self.version = delta.to;
        self.trim();
        Ok(touched)
    }

    fn replace(&mut self, delta: &Delta) -> Vec<HostId> {
        let mut touched: Vec<_> = self.cards.keys().cloned().collect();
        *self = Self {
            version: delta.to,
            floor: delta.to,
            ..Self::default()
        };
        for change in &delta.changes {
            self.change(change);
            touched.push(change.host.clone());
        }
        touched.sort();
        touched.dedup();
        touched
    }

    fn change(&mut self, change: &Change) {
        let host = change.host.clone();
        match &change.card {
            Some(card) => {
                self.gone.remove(&host);
                self.cards.insert(host, (change.version, card.clone()));
            }
            None => {
                self.cards.remove(&host);
                self.gone.insert(host, change.version);
            }
        }
    }

    /// Forgets the oldest removals over the bound, and remembers up to where it has forgotten.
    fn trim(&mut self) {
        while self.gone.len() > MAX_GONE {
            let oldest = self.gone.iter().min_by_key(|(_, at)| **at);
            let Some((host, at)) = oldest.map(|(h, at)| (h.clone(), *at)) else {
                return;
            };
            self.gone.remove(&host);
            self.floor = self.floor.max(at);
        }
    }
}

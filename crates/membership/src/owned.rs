//! The agents that one entry owns, as that entry and all others store them.
//!
//! Only the owner changes its set. Each change raises the set's version, and receivers apply the
//! changes in that order. The sets of different owners are stored under different keys, so no
//! operations of two processes on the table need to commute, except for those on different keys.

use std::collections::BTreeMap;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::card::{AgentCard, NodeCard};

/// How many removals a set remembers; a peer that is further behind gets the whole set.
pub const MAX_REMOVALS: usize = 64;

data! {
    /// One change of an owned set.
    pub struct Change {
        /// The set's version after the change.
        pub version: u64,
        /// The agent's host.
        pub host: HostId,
        /// The agent's current description, or `None` if it was removed.
        pub card: Option<AgentCard>,
    }

    /// The changes of one owner's set between two versions.
    pub struct Delta {
        /// The owner.
        pub card: NodeCard,
        /// The version that the receiver must have, or 0 if the delta holds the whole set.
        pub from: u64,
        /// The version that the receiver has afterwards.
        pub to: u64,
        /// The changes, ordered by version.
        pub changes: Vec<Change>,
    }
}

impl Delta {
    /// Returns the approximate size of the delta on the wire, in bytes.
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

/// The error for a delta that starts after the version that the receiver has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Gap;

/// One owner's agents, each with the version at which it was last written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnedSet {
    version: u64,
    /// The version below which removals may have been forgotten.
    low_water: u64,
    /// The agents, each with the version at which it was last put.
    cards: BTreeMap<HostId, (u64, AgentCard)>,
    /// The removed agents, each with the version of its removal.
    removed: BTreeMap<HostId, u64>,
}

impl OwnedSet {
    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the agents.
    pub fn cards(&self) -> impl Iterator<Item = &AgentCard> {
        self.cards.values().map(|(_, card)| card)
    }

    /// Returns the agent on this host.
    pub fn card(&self, host: &HostId) -> Option<&AgentCard> {
        self.cards.get(host).map(|(_, card)| card)
    }

    /// Returns the version at which an agent was last written, and whether it was put
    /// (`true`) or removed (`false`) then.
    pub fn last_write(&self, host: &HostId) -> Option<(u64, bool)> {
        let put = self.cards.get(host).map(|(at, _)| (*at, true));
        put.or_else(|| self.removed.get(host).map(|at| (*at, false)))
    }

    /// Returns the number of agents.
    pub fn len(&self) -> usize {
        self.cards.len()
    }

    /// Whether there are no agents.
    pub fn is_empty(&self) -> bool {
        self.cards.is_empty()
    }

    /// Raises the version above another one, without changing an agent.
    pub fn raise(&mut self, past: u64) {
        self.version = self.version.max(past).saturating_add(1);
    }

    /// Adds or replaces an agent.
    pub fn put(&mut self, card: AgentCard) {
        self.version = self.version.saturating_add(1);
        let host = card.agent.host.clone();
        self.removed.remove(&host);
        self.cards.insert(host, (self.version, card));
    }

    /// Removes an agent; returns whether it was present.
    pub fn remove(&mut self, host: &HostId) -> bool {
        if self.cards.remove(host).is_none() {
            return false;
        }
        self.version = self.version.saturating_add(1);
        self.removed.insert(host.clone(), self.version);
        self.trim_removals();
        true
    }

    /// Returns the changes since a version: the version that they start from, and the changes
    /// ordered by version.
    ///
    /// If a removal since then may have been forgotten, this returns the whole set.
    pub fn since(&self, version: u64) -> (u64, Vec<Change>) {
        let from = if version < self.low_water { 0 } else { version };
        let put = |(host, (at, card)): (&HostId, &(u64, AgentCard))| Change {
            version: *at,
            host: host.clone(),
            card: Some(card.clone()),
        };
        let removal = |(host, at): (&HostId, &u64)| Change {
            version: *at,
            host: host.clone(),
            card: None,
        };
        let mut changes: Vec<_> = self.cards.iter().map(put).collect();
        if from > 0 {
            changes.extend(self.removed.iter().map(removal));
        }
        changes.retain(|c| c.version > from);
        changes.sort_by_key(|c| c.version);
        (from, changes)
    }

    /// Applies an owner's changes; returns the hosts that they touch.
    ///
    /// Failure guarded against: a late or repeated delta brings back a removed agent, which then
    /// seems to come and go. A delta that ends at or below the known version is ignored, and one
    /// that starts above it is a [`Gap`], so that no version is ever skipped.
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
                self.apply_change(change);
                touched.push(change.host.clone());
            }
        }
        self.version = delta.to;
        self.trim_removals();
        Ok(touched)
    }

    fn replace(&mut self, delta: &Delta) -> Vec<HostId> {
        let mut touched: Vec<_> = self.cards.keys().cloned().collect();
        *self = Self {
            version: delta.to,
            low_water: delta.to,
            ..Self::default()
        };
        for change in &delta.changes {
            self.apply_change(change);
            touched.push(change.host.clone());
        }
        touched.sort();
        touched.dedup();
        touched
    }

    fn apply_change(&mut self, change: &Change) {
        let host = change.host.clone();
        match &change.card {
            Some(card) => {
                self.removed.remove(&host);
                self.cards.insert(host, (change.version, card.clone()));
            }
            None => {
                self.cards.remove(&host);
                self.removed.insert(host, change.version);
            }
        }
    }

    /// Forgets the oldest removals beyond the bound, and raises the low-water mark to the last
    /// forgotten one.
    fn trim_removals(&mut self) {
        while self.removed.len() > MAX_REMOVALS {
            let oldest = self.removed.iter().min_by_key(|(_, at)| **at);
            let Some((host, at)) = oldest.map(|(h, at)| (h.clone(), *at)) else {
                return;
            };
            self.removed.remove(&host);
            self.low_water = self.low_water.max(at);
        }
    }
}

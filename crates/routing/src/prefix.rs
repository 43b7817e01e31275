//! Prefix affinity: hints of which servers have a prompt's prefix in their caches.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::hash::stable_hash;

/// How many servers are remembered for one prefix.
const HOLDERS: usize = 4;

/// A workspace's prompt prefix, as a hash that every entry computes alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix(pub u64);

impl Prefix {
    /// The prefix of a workspace's prompt.
    ///
    /// The workspace is part of it: many workspaces that share one long prefix spread over as many
    /// servers, and none learns from timings what another has asked.
    pub fn new(workspace: &WorkspaceId, text: &[u8]) -> Self {
        Self(stable_hash(&(workspace, text)))
    }
}

/// How far a cached prefix may draw requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixPolicy {
    /// The load, as a multiple of the tier's mean, up to which a server attracts.
    pub bound: f64,
    /// The load a slot over which a server does not attract: a wait costs more than a prefill.
    pub cap: f64,
    /// The load, as a multiple of the mean, up to which it does while requests wait at the entry.
    pub backlog: f64,
    /// The load a slot up to which a server attracts whatever the mean.
    pub floor: f64,
    /// How many prefixes are remembered.
    pub hints: usize,
}

impl Default for PrefixPolicy {
    fn default() -> Self {
        Self {
            bound: 1.25,
            cap: 0.95,
            backlog: 1.15,
            floor: 0.5,
            hints: 16_384,
        }
    }
}

impl PrefixPolicy {
    /// The load a slot up to which a server attracts, where the tier's mean is this.
    ///
    /// In a tier with free slots no prefix is worth a wait. While requests wait at the entry they
    /// wait wherever they go, and prompts computed anew would eat into what the tier gets through.
    pub(crate) fn limit(&self, mean: f64, backlog: bool) -> f64 {
        if backlog {
            (self.backlog * mean).max(self.cap)
        } else {
            (self.bound * mean).min(self.cap).max(self.floor)
        }
    }
}

/// Which servers have said that they hold a prefix.
#[derive(Debug)]
pub(crate) struct Hints {
    bound: usize,
    holders: HashMap<Prefix, [Option<u32>; HOLDERS]>,
    numbers: HashMap<u32, u64>,
}

impl Hints {
    pub(crate) fn new(bound: usize) -> Self {
        Self {
            bound,
            holders: HashMap::new(),
            numbers: HashMap::new(),
        }
    }

    /// Takes one cache event; a gap before it drops what the server said earlier.
    ///
    /// The lost event may have been an eviction: a hint kept over it would send a hot prefix to
    /// a server that must compute it anew, again and again.
    pub(crate) fn note(&mut self, server: u32, number: u64, prefix: Prefix, held: bool) {
        let last = self.numbers.get(&server).copied();
        if last.is_some_and(|l| number <= l) {
            return;
        }
        if last.is_some_and(|l| number > l + 1) {
            self.drop_holder(server);
        }
        self.numbers.insert(server, number);
        if held {
            self.add(server, prefix);
        } else {
            self.forget(server, prefix);
        }
    }

    pub(crate) fn holders(&self, prefix: Prefix) -> impl Iterator<Item = u32> + '_ {
        self.holders
            .get(&prefix)
            .into_iter()
            .flatten()
            .flatten()
            .copied()
    }

    pub(crate) fn forget(&mut self, server: u32, prefix: Prefix) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            clear(holders, server);
            if holders.iter().all(Option::is_none) {
                self.holders.remove(&prefix);
            }
        }
    }

    pub(crate) fn forget_server(&mut self, server: u32) {
        self.numbers.remove(&server);
        self.drop_holder(server);
    }

    fn add(&mut self, server: u32, prefix: Prefix) {
        let full = self.holders.len() >= self.bound && !self.holders.contains_key(&prefix);
        if full {
            // Any one gives way: a hint that is missed costs one prefill.
            if let Some(old) = self.holders.keys().next().copied() {
                self.holders.remove(&old);
            }
        }
        let holders = self.holders.entry(prefix).or_default();
        if holders.contains(&Some(server)) {
            return;
        }
        holders.rotate_right(1);
        holders[0] = Some(server);
    }

    fn drop_holder(&mut self, server: u32) {
        self.holders.retain(|_, holders| {
            clear(holders, server);
            holders.iter().any(Option::is_some)
        });
    }
}

fn clear(holders: &mut [Option<u32>; HOLDERS], server: u32) {
    for holder in holders {
        if *holder == Some(server) {
            *holder = None;
        }
    }
}

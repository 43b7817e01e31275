//! Prefix affinity: hints on which servers have the prefix of a prompt in their caches.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::hash::stable_hash;

/// The most servers that are remembered for one prefix.
const HOLDERS: usize = 4;

/// The prefix of a workspace's prompt, as a hash that is the same at every entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix(pub u64);

impl Prefix {
    /// Returns the prefix of a workspace's prompt.
    ///
    /// The workspace is part of the hash. Workspaces that share one long prefix therefore spread
    /// over many servers, and none can learn from timings what another one has asked.
    pub fn new(workspace: &WorkspaceId, text: &[u8]) -> Self {
        Self(stable_hash(&(workspace, text)))
    }
}

/// The loads up to which a server attracts requests by a cached prefix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixPolicy {
    /// The load up to which a server attracts requests, as a multiple of the tier's mean.
    pub bound: f64,
    /// The load per slot over which a server attracts none, as a wait costs more than a prefill.
    pub cap: f64,
    /// The load up to which a server attracts requests while others wait at the entry, as a
    /// multiple of the tier's mean.
    pub backlog: f64,
    /// The load per slot up to which a server attracts requests for any mean.
    pub floor: f64,
    /// The most prefixes that are remembered.
    pub max_prefixes: usize,
}

impl Default for PrefixPolicy {
    fn default() -> Self {
        Self {
            bound: 1.25,
            cap: 0.95,
            backlog: 1.15,
            floor: 0.5,
            max_prefixes: 16_384,
        }
    }
}

impl PrefixPolicy {
    /// Returns the load per slot up to which a server attracts requests in a tier with this mean.
    ///
    /// In a tier with free slots no prefix is worth a wait. While requests wait at the entry, they
    /// wait at every server, and prompts that are computed again would reduce the tier's
    /// throughput.
    pub(crate) fn load_limit(&self, mean: f64, backlog: bool) -> f64 {
        if backlog {
            (self.backlog * mean).max(self.cap)
        } else {
            (self.bound * mean).min(self.cap).max(self.floor)
        }
    }
}

/// The servers that have reported that they cache a prefix.
#[derive(Debug)]
pub(crate) struct Hints {
    max_prefixes: usize,
    holders: HashMap<Prefix, [Option<u32>; HOLDERS]>,
    /// The number of the last event of each server.
    last_events: HashMap<u32, u64>,
}

impl Hints {
    pub(crate) fn new(max_prefixes: usize) -> Self {
        Self {
            max_prefixes,
            holders: HashMap::new(),
            last_events: HashMap::new(),
        }
    }

    /// Records a cache event. If events before it are missing, earlier hints of the server are
    /// dropped.
    ///
    /// A missing event may have been an eviction. A hint that was kept would then send a frequent
    /// prefix to a server that has to compute it again.
    pub(crate) fn record_event(&mut self, server: u32, number: u64, prefix: Prefix, held: bool) {
        let last = self.last_events.get(&server).copied();
        if last.is_some_and(|l| number <= l) {
            return;
        }
        if last.is_some_and(|l| number > l + 1) {
            self.drop_hints(server);
        }
        self.last_events.insert(server, number);
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
            remove_holder(holders, server);
            if holders.iter().all(Option::is_none) {
                self.holders.remove(&prefix);
            }
        }
    }

    pub(crate) fn forget_server(&mut self, server: u32) {
        self.last_events.remove(&server);
        self.drop_hints(server);
    }

    fn add(&mut self, server: u32, prefix: Prefix) {
        let full = self.holders.len() >= self.max_prefixes && !self.holders.contains_key(&prefix);
        if full {
            // Any prefix may be dropped, as a missing hint costs only one prefill.
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

    fn drop_hints(&mut self, server: u32) {
        self.holders.retain(|_, holders| {
            remove_holder(holders, server);
            holders.iter().any(Option::is_some)
        });
    }
}

fn remove_holder(holders: &mut [Option<u32>; HOLDERS], server: u32) {
    for holder in holders {
        if *holder == Some(server) {
            *holder = None;
        }
    }
}

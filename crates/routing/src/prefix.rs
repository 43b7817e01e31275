//! Prefix affinity: the prefix of a prompt, and the loads up to which it decides on the server.

use snipemast_core::prelude::*;

use crate::hash::stable_hash;

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
}

impl Default for PrefixPolicy {
    fn default() -> Self {
        Self {
            bound: 1.25,
            cap: 0.95,
            backlog: 1.15,
            floor: 0.5,
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

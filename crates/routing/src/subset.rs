//! Deterministic subsets of the servers that an entry keeps connections to.
//!
//! The entries of a zone are numbered from 0. A round of consecutive entries shuffles the servers
//! in the same way and divides them up, so each server belongs to one entry of a round. For any
//! number of entries, the counts of entries that the servers have differ by at most one.

use crate::hash::{index_below, mix};

/// The subset of servers that one entry keeps connections to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subset {
    /// The number of the entry in its zone, from 0.
    pub number: usize,
    /// The number of servers in the subset, if there are enough.
    pub size: usize,
}

impl Subset {
    /// Creates the subset of the entry with this number, with this many servers.
    pub const fn new(number: usize, size: usize) -> Self {
        Self { number, size }
    }

    /// Reduces a list of servers to the subset. All entries must have the list in the same order.
    pub fn narrow(self, servers: &mut Vec<u32>) {
        let parts = servers.len() / self.size.max(1);
        if parts < 2 {
            return;
        }
        let round = (self.number / parts) as u64;
        shuffle(servers, round);
        let part = self.number % parts;
        let total = servers.len();
        let (from, to) = (part * total / parts, (part + 1) * total / parts);
        servers.truncate(to);
        servers.drain(..from);
    }
}

fn shuffle(servers: &mut [u32], round: u64) {
    for n in (1..servers.len()).rev() {
        let pick = index_below(mix(mix(round) ^ n as u64), n + 1);
        servers.swap(n, pick);
    }
}

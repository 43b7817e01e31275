//! Deterministic subsets: which servers an entry keeps connections to.
//!
//! Entries have seats, numbered from 0 within their zone. A round of seats shuffles the servers
//! alike and shares them out, so each server is taken once a round: whatever the number of
//! entries, the servers' counts of entries differ by one at most.

use crate::hash::{below, mix};

/// An entry's place among the entries that share servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subset {
    /// The position, from 0.
    pub number: usize,
    /// How many servers the entry keeps to, where there are more.
    pub size: usize,
}

impl Subset {
    /// A seat that keeps to this many servers.
    pub const fn new(number: usize, size: usize) -> Self {
        Self { number, size }
    }

    /// Cuts a list of servers, in an order that all entries share, down to the seat's own.
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
        let pick = below(mix(mix(round) ^ n as u64), n + 1);
        servers.swap(n, pick);
    }
}

//! Timeouts and bounds of a voter, and its source of chance.

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// Timeouts and bounds of a voter.
    #[derive(Copy, Hash)]
    pub struct Timing {
        /// How often a leader speaks to each follower.
        pub heartbeat: Span,
        /// How long a follower waits for a leader at least before it stands for election.
        pub election: Span,
        /// How much longer it may wait, by chance.
        pub spread: Span,
        /// How long a majority's answer lets a leader speak for the cluster.
        pub lease: Span,
        /// How many entries lie between two snapshots.
        pub snapshot: u64,
        /// How many entries before the snapshot stay in memory.
        pub keep: u64,
        /// The largest piece of a snapshot, and about the largest batch of entries.
        pub chunk: Size,
        /// How many commands may wait for their commit.
        pub waiting: u32,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Span::from_millis(500),
            election: Span::from_millis(1_500),
            spread: Span::from_millis(600),
            // Shorter than the election timeout, so that clocks that run apart by a tenth do
            // not let two leaders speak at once.
            lease: Span::from_millis(1_300),
            snapshot: 2_000,
            keep: 1_000,
            chunk: Size::from_bytes(256 << 10),
            waiting: 1_024,
        }
    }
}

/// A small generator of chance, seeded from outside (splitmix64).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Chance(u64);

impl Chance {
    /// A generator with this seed.
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub fn next_number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below the bound; 0 where that is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_number() % bound.max(1)
    }

    /// A span below the bound.
    pub fn span(&mut self, bound: Span) -> Span {
        Span::from_micros(self.below(bound.as_micros()))
    }
}

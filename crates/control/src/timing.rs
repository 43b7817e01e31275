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
        #[serde(rename = "election")]
        pub election_timeout: Span,
        /// How much longer it may wait, by chance.
        #[serde(rename = "spread")]
        pub election_jitter: Span,
        /// How long a majority's answer lets a leader speak for the cluster.
        pub lease: Span,
        /// How many entries lie between two snapshots.
        #[serde(rename = "snapshot")]
        pub snapshot_entries: u64,
        /// How many entries before the snapshot stay in memory.
        #[serde(rename = "keep")]
        pub retained_entries: u64,
        /// The largest piece of a snapshot, and about the largest batch of entries.
        #[serde(rename = "chunk")]
        pub chunk_size: Size,
        /// How many commands may wait for their commit.
        #[serde(rename = "waiting")]
        pub max_waiting: u32,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Span::from_millis(500),
            election_timeout: Span::from_millis(1_500),
            election_jitter: Span::from_millis(600),
            // Shorter than the election timeout, so that clocks that run apart by a tenth do
            // not let two leaders speak at once.
            lease: Span::from_millis(1_300),
            snapshot_entries: 2_000,
            retained_entries: 1_000,
            chunk_size: Size::from_bytes(256 << 10),
            max_waiting: 1_024,
        }
    }
}

/// A small generator of chance, seeded from outside (splitmix64).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// A generator with this seed.
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below the bound; 0 where that is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// A span below the bound.
    pub fn span_below(&mut self, bound: Span) -> Span {
        Span::from_micros(self.below(bound.as_micros()))
    }
}

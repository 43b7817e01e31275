//! Timeouts and limits of a voter, and its random number generator.

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// Timeouts and limits of a voter.
    #[derive(Copy, Hash)]
    pub struct Timing {
        /// The interval at which a leader sends to each follower.
        pub heartbeat: Span,
        /// How long a follower waits at least for a leader before it starts an election.
        #[serde(rename = "election")]
        pub election_timeout: Span,
        /// The upper bound of the random time that a follower waits in addition.
        #[serde(rename = "spread")]
        pub election_jitter: Span,
        /// How long an answer from a majority lets a leader act for the cluster.
        pub lease: Span,
        /// The number of entries between two snapshots.
        #[serde(rename = "snapshot")]
        pub snapshot_entries: u64,
        /// The number of entries before the snapshot that are kept.
        #[serde(rename = "keep")]
        pub retained_entries: u64,
        /// The largest piece of a snapshot, and roughly the largest batch of entries.
        #[serde(rename = "chunk")]
        pub chunk_size: Size,
        /// The number of commands that may wait to be committed.
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
            // Shorter than the election timeout, so that even with clock rates that differ by a
            // tenth no two leaders act at once.
            lease: Span::from_millis(1_300),
            snapshot_entries: 2_000,
            retained_entries: 1_000,
            chunk_size: Size::from_bytes(256 << 10),
            max_waiting: 1_024,
        }
    }
}

/// A small random number generator with a given seed (splitmix64).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator with this seed.
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next random number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a random number below the bound, or 0 if that is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// Returns a random span below the bound.
    pub fn span_below(&mut self, bound: Span) -> Span {
        Span::from_micros(self.below(bound.as_micros()))
    }
}

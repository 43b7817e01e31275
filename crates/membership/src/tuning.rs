//! How often, how long and how much, in one place.

use snipemast_core::prelude::*;

/// The bounds and intervals of an entry's membership protocol.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// How often it looks after the next entry of its zone in the ring.
    pub probe_interval: Span,
    /// How often it exchanges news with a random entry of its zone.
    pub gossip_interval: Span,
    /// How often it exchanges news with a random entry of another zone.
    pub cross_interval: Span,
    /// How often it compares all rows with a random entry.
    pub compare_interval: Span,
    /// How often it tries a seed that is no member, to find a fleet that it lost.
    pub seed_interval: Span,
    /// How often leases, suspicions and expiries are looked through.
    pub sweep_interval: Span,
    /// How long an exchange may take.
    pub timeout: Span,
    /// How long an agent's lease runs.
    pub lease: Span,
    /// How long a suspected entry has to prove that it lives.
    pub suspicion_timeout: Span,
    /// How many entries must get no answer until one counts as dead.
    pub witnesses: usize,
    /// How many entries of the zone news goes to at once, and one more of another zone.
    pub fanout: usize,
    /// How often news goes out at once before it waits for the rounds.
    pub bursts: u32,
    /// How often one process passes one piece of news on.
    pub retransmits: u32,
    /// How many bytes of news one exchange carries.
    pub news_budget: usize,
    /// How many bytes of news it sends a second, over several seconds.
    pub news_rate: u64,
    /// How long a zone that is cut off is remembered.
    pub zone_retention: Span,
    /// How long an entry that is gone is remembered; longer than a zone, so that a zone which
    /// returns finds the traces of what went while it was away.
    pub tombstone_retention: Span,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            probe_interval: Span::from_secs(1),
            gossip_interval: Span::from_secs(3),
            cross_interval: Span::from_secs(3),
            compare_interval: Span::from_secs(30),
            seed_interval: Span::from_secs(30),
            sweep_interval: Span::from_millis(200),
            timeout: Span::from_millis(600),
            lease: Span::from_secs(3),
            suspicion_timeout: Span::from_millis(1_200),
            witnesses: 3,
            fanout: 3,
            bursts: 2,
            retransmits: 8,
            news_budget: 1_200,
            news_rate: 1_500,
            zone_retention: Span::from_secs(24 * 3_600),
            tombstone_retention: Span::from_secs(25 * 3_600),
        }
    }
}

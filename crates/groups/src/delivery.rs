//! How orders reach the ranks of a large group over narrow links.
//!
//! With 192 ranks, links of 6 Mbit/s and a seventh of a processor for each, orders that one host
//! sends to all ranks wait for its link and its processor. Some of the ranks relay them instead, so
//! that no host sends more than about the square root of the number of ranks.

use crate::order::RankOrder;

/// The largest number of equal orders that one host sends by itself; more are relayed. A map of 72
/// ranks and 12 sets takes 3 kB, and over one link of 8 Mbit/s it takes 0.3 s to reach all of them.
pub const MAX_DIRECT: usize = 18;

/// A call with which orders leave a lead's host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delivery {
    /// One order, sent to its rank.
    Direct(RankOrder),
    /// Equal orders, sent to one of their ranks, which relays them to the others.
    Relayed {
        /// The rank that relays them.
        through: usize,
        /// The orders.
        orders: Vec<RankOrder>,
    },
}

/// Returns how many calls follow one another until this many ranks have an order.
pub fn sequential_calls(ranks: usize) -> usize {
    match ranks <= MAX_DIRECT {
        true => ranks,
        false => 2 * ranks.isqrt(),
    }
}

/// Plans how some orders leave the host.
///
/// Each `turn` chooses other relays, so that a rank that does not answer is a relay only once.
pub fn plan_deliveries(sends: Vec<RankOrder>, turn: u64) -> Vec<Delivery> {
    let alike = sends.windows(2).all(|pair| pair[0].order == pair[1].order);
    if sends.len() <= MAX_DIRECT || !alike {
        return sends.into_iter().map(Delivery::Direct).collect();
    }
    let size = sends.len().isqrt();
    let parts = sends.chunks(size).map(|part| Delivery::Relayed {
        through: part[turn as usize % part.len()].rank,
        orders: part.to_vec(),
    });
    parts.collect()
}

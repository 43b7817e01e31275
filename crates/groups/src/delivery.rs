//! How orders reach the ranks of a large group over narrow links.
//!
//! Load answered: 192 ranks behind links of 6 Mbit/s each and a seventh of a processor. Orders that one
//! host sends to all of them wait for its link and for its processor; passed on by some of the ranks, none
//! sends more than the square root of them.

use crate::order::RankOrder;

/// With more orders than this, those that all ranks get alike are passed on by some of them. A map of 72 ranks
/// and 12 sets takes 3 kB: from one host with 8 Mbit/s it was 0.3 s until all had it.
pub const DIRECT: usize = 18;

/// How orders leave a lead's host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Delivery {
    /// One order, to its rank.
    Direct(RankOrder),
    /// Orders that are alike, to one of their ranks, which passes them on to the others.
    Relayed {
        /// The rank that passes them on.
        through: usize,
        /// The orders.
        orders: Vec<RankOrder>,
    },
}

/// How many calls follow one another on some host until so many ranks have an order.
pub fn calls_in_turn(ranks: usize) -> usize {
    match ranks <= DIRECT {
        true => ranks,
        false => 2 * ranks.isqrt(),
    }
}

/// How some orders are to leave.
///
/// Another rank passes them on for each `turn`, so that one that does not answer is in the way once.
pub fn plan_deliveries(sends: Vec<RankOrder>, turn: u64) -> Vec<Delivery> {
    let alike = sends.windows(2).all(|pair| pair[0].order == pair[1].order);
    if sends.len() <= DIRECT || !alike {
        return sends.into_iter().map(Delivery::Direct).collect();
    }
    let size = sends.len().isqrt();
    let parts = sends.chunks(size).map(|part| Delivery::Relayed {
        through: part[turn as usize % part.len()].rank,
        orders: part.to_vec(),
    });
    parts.collect()
}

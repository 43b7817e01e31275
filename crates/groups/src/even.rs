//! Rebalances a group whose demand for experts has shifted, with few copies, the most useful first.
//!
//! For each set of layers, a step takes as long as its fullest rank. What matters is therefore how
//! far the load of the fullest rank lies above the mean, and a copy is useful where it reduces
//! that.

use std::iter::repeat;

use snipemast_core::data;

use crate::map::{ExpertMap, EMPTY};
use crate::search::search_while;

data! {
    float
    /// The conditions that a new map must meet.
    #[derive(Copy)]
    pub struct Thresholds {
        /// The most experts of a set that may be new to one rank, which the engine limits.
        pub spare: usize,
        /// The share of a token's work that is done by experts.
        pub share: f64,
        /// The least reduction of the fullest rank's load, with the mean at 1, that justifies a
        /// copy.
        pub copy: f64,
        /// The least fraction by which a step must get shorter for a map to be proposed.
        pub step: f64,
    }

    /// A proposed map.
    pub struct Rebalanced {
        /// The map.
        pub map: ExpertMap,
        /// The number of experts that are copied.
        pub copies: usize,
        /// The load of the fullest rank before and after, averaged over the sets, with the mean
        /// load at 1.
        pub fullest: (f64, f64),
        /// The part of a step that the map saves.
        pub saving: f64,
    }
}

/// Returns a map that balances the ranks for a demand, given by set and expert, where one is worth
/// it.
///
/// A slow rank takes longer for the same load by its factor in `paces`, and so keeps little load.
pub fn rebalance(
    map: &ExpertMap,
    demand: &[Vec<f64>],
    paces: &[f64],
    thresholds: &Thresholds,
) -> Option<Rebalanced> {
    let sets = demand.len().max(1) as f64;
    let length = |load: f64| 1.0 - thresholds.share + thresholds.share * load;
    let shorter = |from: f64, to: f64| 1.0 - length(to) / length(from);
    // A search over 12 sets and 72 ranks takes 14 ms of a processor, and a process may have only a
    // seventh of one. Where not even a perfect map would be worth a switch, there is no search.
    let before = mean_fullest(map, demand, paces);
    if shorter(before, 1.0) < thresholds.step {
        return None;
    }
    let mut next = map.clone();
    let (mut copies, mut after) = (0, 0.0);
    for (number, shares) in demand.iter().enumerate() {
        let (last, copied) = rebalance_set(&mut next, map, number, shares, paces, thresholds);
        after += last / sets;
        copies += copied;
    }
    let saving = shorter(before, after);
    (copies > 0 && saving >= thresholds.step).then_some(Rebalanced {
        map: next,
        copies,
        fullest: (before, after),
        saving,
    })
}

/// Returns the load of the fullest rank, averaged over the sets, with the mean load at 1.
fn mean_fullest(map: &ExpertMap, demand: &[Vec<f64>], paces: &[f64]) -> f64 {
    let sets = map.layers.iter().zip(demand);
    let loads = sets.map(|(layer, shares)| {
        let paces = paces.iter().copied().chain(repeat(1.0));
        let paced = layer.rank_loads(shares).into_iter().zip(paces);
        let fullest = paced.map(|(load, pace)| load * pace).fold(0.0, f64::max);
        let mean = shares.iter().sum::<f64>() / f64::from(layer.ranks());
        fullest / mean.max(f64::MIN_POSITIVE)
    });
    loads.sum::<f64>() / demand.len().max(1) as f64
}

/// Rebalances one set, and returns the load of the fullest rank afterwards and the number of
/// copies.
fn rebalance_set(
    next: &mut ExpertMap,
    old: &ExpertMap,
    number: usize,
    shares: &[f64],
    paces: &[f64],
    thresholds: &Thresholds,
) -> (f64, usize) {
    /// The most copies of one set in a new map, per rank.
    const COPIES_PER_RANK: usize = 1;
    /// The most copies that the search makes without an improvement before it gives up.
    ///
    /// This limits the time for 192 ranks and 10 sets on a seventh of a processor. A full search
    /// that also recomputed all weights for each change took 24 to 39 ms of a whole processor for
    /// eight maps for shifting demands, with a fullest rank of 1.29 on average. With this limit
    /// they take 11 to 12 ms, with 1.30.
    const MAX_FUTILE: usize = 32;
    let old = &old.layers[number];
    let bound = usize::from(old.ranks()) * thresholds.spare.min(COPIES_PER_RANK);
    // The load of the fullest rank at the last improvement, and the number of copies up to there.
    let (mut lowest, mut since) = (f64::INFINITY, 0);
    let path = search_while(number as u16, old, shares, paces, |point| {
        if lowest - point.fullest >= thresholds.copy * (point.loads - since).max(1) as f64 {
            (lowest, since) = (point.fullest, point.loads);
        }
        point.loads < bound && point.loads < since + MAX_FUTILE
    });
    let mut best = path.points[0];
    let mut new = vec![0; usize::from(old.ranks())];
    let mut at = 0;
    for point in &path.points[1..] {
        for m in &path.moves[at..point.moves] {
            let copied = m.loads != EMPTY && !old.holds(m.rank, m.loads);
            new[usize::from(m.rank)] += usize::from(copied);
        }
        at = point.moves;
        if new.iter().any(|n| *n > thresholds.spare) {
            break;
        }
        let extra = (point.loads - best.loads).max(1) as f64;
        if best.fullest - point.fullest >= thresholds.copy * extra {
            best = *point;
        }
    }
    for m in &path.moves[..best.moves] {
        next.layers[number].set(m.rank, m.slot, m.loads);
    }
    (best.fullest, best.loads)
}

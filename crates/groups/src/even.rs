//! A map for a group whose demand for experts has shifted: few copies, the most useful first.
//!
//! A step lasts as long as the fullest rank's part, layer set by layer set. So what counts is how
//! far the fullest rank lies above the mean, and a copy is worth it where it lowers that.

use std::iter::repeat;

use snipemast_core::data;

use crate::map::{ExpertMap, EMPTY};
use crate::search::search_while;

data! {
    float
    /// What a new map is measured by.
    #[derive(Copy)]
    pub struct Thresholds {
        /// The most experts of a set that are new to one rank, as the engine allows.
        pub spare: usize,
        /// The share of a token's work that experts do.
        pub share: f64,
        /// A copy is made only where it takes at least this part off the fullest rank's load,
        /// with the mean at 1.
        pub copy: f64,
        /// A map is proposed only where a step gets shorter by at least this part.
        pub step: f64,
    }

    /// A proposed map.
    pub struct Rebalanced {
        /// The map.
        pub map: ExpertMap,
        /// How many experts are copied.
        pub copies: usize,
        /// The fullest rank's load, mean over the sets, before and after, with the mean at 1.
        pub fullest: (f64, f64),
    }
}

/// A map that evens out the ranks for a demand, by set and expert, where one is worth it.
///
/// A rank that is slow takes its factor in `paces` longer for the same load, and keeps little.
pub fn rebalance(
    map: &ExpertMap,
    demand: &[Vec<f64>],
    paces: &[f64],
    thresholds: &Thresholds,
) -> Option<Rebalanced> {
    let sets = demand.len().max(1) as f64;
    let length = |load: f64| 1.0 - thresholds.share + thresholds.share * load;
    let shorter = |from: f64, to: f64| 1.0 - length(to) / length(from);
    // A search of 12 sets and 72 ranks takes 14 ms of a processor, of which a process may have a
    // seventh; where even a perfect map is not worth a switch, there is none.
    let before = fullest(map, demand, paces);
    if shorter(before, 1.0) < thresholds.step {
        return None;
    }
    let mut next = map.clone();
    let (mut copies, mut after) = (0, 0.0);
    for (number, shares) in demand.iter().enumerate() {
        let (last, copied) = even_set(&mut next, map, number, shares, paces, thresholds);
        after += last / sets;
        copies += copied;
    }
    (copies > 0 && shorter(before, after) >= thresholds.step).then_some(Rebalanced {
        map: next,
        copies,
        fullest: (before, after),
    })
}

/// The fullest rank's load, mean over the sets, with the mean at 1.
fn fullest(map: &ExpertMap, demand: &[Vec<f64>], paces: &[f64]) -> f64 {
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

/// Evens out one set; the fullest rank's load after it, and the copies.
fn even_set(
    next: &mut ExpertMap,
    old: &ExpertMap,
    number: usize,
    shares: &[f64],
    paces: &[f64],
    thresholds: &Thresholds,
) -> (f64, usize) {
    /// Copies that one set may get at a time, for each rank.
    const BOUND: usize = 1;
    /// Copies that the search makes without getting further before it gives up.
    ///
    /// Load answered: 192 ranks and 10 sets, on a seventh of a processor. Searched to the end, and with all weights
    /// worked out anew for each change, eight maps for shifting demands took 24 to 39 ms of a whole processor and had
    /// a fullest rank of 1.29 on average; now they take 11 to 12 ms, and it is 1.30.
    const FUTILE: usize = 32;
    let old = &old.layers[number];
    let bound = usize::from(old.ranks()) * thresholds.spare.min(BOUND);
    // How far the search got when it found a better point last.
    let (mut lowest, mut since) = (f64::INFINITY, 0);
    let path = search_while(number as u16, old, shares, paces, |point| {
        if lowest - point.fullest >= thresholds.copy * (point.loads - since).max(1) as f64 {
            (lowest, since) = (point.fullest, point.loads);
        }
        point.loads < bound && point.loads < since + FUTILE
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

//! Rebalanced maps for a demand that has shifted.

use quickcheck::quickcheck;

use snipemast_control::SplitMix64;
use snipemast_groups::even::{rebalance, Thresholds};
use snipemast_groups::map::{ExpertMap, Layer};
use snipemast_groups::search::search_paced;

const RANKS: u16 = 16;
const SLOTS: u16 = 5;
const EXPERTS: u16 = 64;

const THRESHOLDS: Thresholds = Thresholds {
    spare: 2,
    share: 0.85,
    copy: 0.05,
    step: 0.14,
};

fn first_map() -> ExpertMap {
    ExpertMap::round_robin(1, RANKS, SLOTS, EXPERTS)
}

/// Returns a demand in which one expert has a fifth of the load and the others share the rest.
fn hot(expert: usize) -> Vec<Vec<f64>> {
    let mut shares = vec![0.8 / 63.0; usize::from(EXPERTS)];
    shares[expert] = 0.2;
    vec![shares]
}

/// Returns how long each rank takes for a demand, with the mean load at 1.
fn loads(map: &ExpertMap, demand: &[Vec<f64>], paces: &[f64]) -> Vec<f64> {
    let loads = map.layers[0].rank_loads(&demand[0]);
    loads
        .iter()
        .zip(paces)
        .map(|(load, pace)| load * pace * f64::from(RANKS))
        .collect()
}

/// Failure guarded against: every pass waits for one rank, which has three times the mean load
/// because its expert has a fifth of all tokens. A few copies must reduce that.
#[test]
fn hot_expert_copied() {
    let demand = hot(7);
    let paces = [1.0; RANKS as usize];
    let rebalanced = rebalance(&first_map(), &demand, &paces, &THRESHOLDS).expect("a better map");
    let fullest = loads(&rebalanced.map, &demand, &paces)
        .into_iter()
        .fold(0.0, f64::max);
    assert!(rebalanced.fullest.0 > 3.0, "{:?}", rebalanced.fullest);
    assert!(fullest < 1.5, "{fullest}");
    assert!(rebalanced.copies <= 16, "{}", rebalanced.copies);
    assert!(rebalanced.map.is_whole(usize::from(EXPERTS)));
}

/// Failure guarded against: copies are made for noise and cost more than they gain. A map that is
/// balanced well enough must stay.
#[test]
fn balanced_map_stays() {
    let demand = vec![vec![1.0 / 64.0; usize::from(EXPERTS)]];
    assert!(rebalance(&first_map(), &demand, &[], &THRESHOLDS).is_none());
}

/// Failure guarded against: every pass waits for the experts of one slow server for as long as it
/// is slow. Its rank takes five times as long and must shed load.
#[test]
fn slow_rank_sheds() {
    let demand = vec![vec![1.0 / 64.0; usize::from(EXPERTS)]];
    let mut paces = [1.0; RANKS as usize];
    paces[3] = 5.0;
    let mut map = first_map();
    for _ in 0..4 {
        if let Some(rebalanced) = rebalance(&map, &demand, &paces, &THRESHOLDS) {
            map = rebalanced.map;
        }
    }
    let before = loads(&first_map(), &demand, &paces)[3];
    let after = loads(&map, &demand, &paces)[3];
    assert!(after < 0.7 * before, "{before} to {after}");
    assert!(map.is_whole(usize::from(EXPERTS)));
}

quickcheck! {
    /// Whatever the demand, every expert stays on some rank, and no rank gets more new experts of a
    /// set than the engine allows.
    fn complete_and_allowed(weights: Vec<u16>) -> bool {
        let weight = |e: usize| f64::from(weights.get(e).copied().unwrap_or(1)) + 1.0;
        let total: f64 = (0..usize::from(EXPERTS)).map(weight).sum();
        let demand = vec![(0..usize::from(EXPERTS)).map(|e| weight(e) / total).collect()];
        let old = first_map();
        let Some(rebalanced) = rebalance(&old, &demand, &[], &THRESHOLDS) else {
            return true;
        };
        let allowed = (0..RANKS).all(|rank| {
            let held = rebalanced.map.layers[0].rank_slots(rank).iter();
            let new = held.filter(|e| **e != u16::MAX && !old.layers[0].holds(rank, **e));
            new.count() <= THRESHOLDS.spare
        });
        allowed && rebalanced.map.is_whole(usize::from(EXPERTS))
    }
}

quickcheck! {
    /// The load of the fullest rank that a search states after its changes is exact.
    fn fullest_load_exact(seed: u64) -> bool {
        let mut chance = SplitMix64::new(seed);
        let (ranks, experts) = (24, 40);
        let mut layer = Layer::round_robin(ranks, 3, experts);
        let shares: Vec<f64> = (0..experts).map(|_| 1.0 + chance.below(300) as f64).collect();
        let paces: Vec<f64> = (0..ranks).map(|_| 1.0 + chance.below(2) as f64).collect();
        let path = search_paced(0, &layer, &shares, &paces, 30);
        for m in &path.moves {
            layer.set(m.rank, m.slot, m.loads);
        }
        let mean = shares.iter().sum::<f64>() / f64::from(ranks);
        let loads = layer.rank_loads(&shares).into_iter().zip(&paces);
        let fullest = loads.map(|(load, pace)| load * pace).fold(0.0, f64::max) / mean;
        let stated = path.points[path.points.len() - 1].fullest;
        (stated - fullest).abs() < 1e-9
    }
}

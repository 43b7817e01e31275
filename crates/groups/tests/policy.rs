//! The policy: the moves that it makes, and the reasons to make none.

use snipemast_core::prelude::*;
use snipemast_groups::estimate::{Counts, Popularity, Smoothing};
use snipemast_groups::map::{weight_loads, ExpertMap};
use snipemast_groups::pace::{rank_health, Health, Work};
use snipemast_groups::policy::{Decision, Phase, Policy, Reason, Situation, Weights};

const SKEW: Weights = Weights {
    skew: 900,
    disturbance: 100,
};
const STABLE: Weights = Weights {
    skew: 100,
    disturbance: 900,
};

fn zipf(experts: usize) -> Vec<f64> {
    let shares: Vec<f64> = (0..experts).map(|n| 1.0 / (n as f64 + 1.0)).collect();
    let sum: f64 = shares.iter().sum();
    shares.into_iter().map(|s| s / sum).collect()
}

fn situation<'a>(map: &'a ExpertMap, shares: &'a [Vec<f64>]) -> Situation<'a> {
    Situation {
        map,
        shares,
        health: &[],
        phase: Phase::Stepping,
        since: Span::from_secs(3_600),
        age: Span::from_secs(10),
    }
}

fn gap(map: &ExpertMap, shares: &[Vec<f64>]) -> f64 {
    let loads = map.layers[0].rank_loads(&shares[0]);
    let most = loads.iter().copied().fold(0.0, f64::max);
    let least = loads.iter().copied().fold(f64::INFINITY, f64::min);
    (most - least) * loads.len() as f64
}

fn settled(weights: Weights) -> (ExpertMap, usize) {
    let shares = vec![zipf(64)];
    let mut map = ExpertMap::round_robin(1, 16, 5, 64);
    let mut loads = 0;
    for _ in 0..20 {
        let decision = Policy::new(weights).decide(&situation(&map, &shares));
        loads += weight_loads(&map, &decision.moves);
        map = map.with_moves(&decision.moves);
    }
    (map, loads)
}

#[test]
fn weights_differ() {
    let shares = vec![zipf(64)];
    let (even, many) = settled(SKEW);
    let (stable, few) = settled(STABLE);
    assert!(gap(&even, &shares) < gap(&stable, &shares));
    assert!(few < many);
    assert!(even.is_whole(64) && stable.is_whole(64));
}

#[test]
fn moves_say_evictions() {
    let shares = vec![zipf(64)];
    let map = ExpertMap::round_robin(1, 16, 5, 64);
    let decision = Policy::new(SKEW).decide(&situation(&map, &shares));
    assert!(!decision.moves.is_empty());
    // Applied in order, each move evicts the expert that it names.
    let mut now = map.clone();
    for m in &decision.moves {
        assert_eq!(now.layers[0].expert_at(m.rank, m.slot), m.evicts);
        now = now.with_moves(&[*m]);
    }
}

/// Failure guarded against: experts move back and forth although the load does not change, which
/// disturbs requests for nothing.
#[test]
fn settled_map_stays() {
    let shares = vec![zipf(64)];
    let (map, _) = settled(SKEW);
    let decision = Policy::new(SKEW).decide(&situation(&map, &shares));
    assert!(decision.moves.is_empty(), "{}", decision.reason);
}

#[test]
fn unsettled_groups_stay() {
    let shares = vec![zipf(64)];
    let map = ExpertMap::round_robin(1, 16, 5, 64);
    for phase in [
        Phase::Forming,
        Phase::CutOff,
        Phase::Restarting,
        Phase::Frozen,
    ] {
        let situation = Situation {
            phase,
            ..situation(&map, &shares)
        };
        let reason = Reason::Unsettled(phase);
        let moves = Vec::new();
        assert_eq!(
            Policy::new(SKEW).decide(&situation),
            Decision { moves, reason }
        );
    }
}

#[test]
fn old_reports_decline() {
    let shares = vec![zipf(64)];
    let map = ExpertMap::round_robin(1, 16, 5, 64);
    let situation = Situation {
        age: Span::from_secs(300),
        ..situation(&map, &shares)
    };
    let decision = Policy::new(SKEW).decide(&situation);
    assert_eq!(decision.reason, Reason::Stale);
}

#[test]
fn switches_cool() {
    let shares = vec![zipf(64)];
    let map = ExpertMap::round_robin(1, 16, 5, 64);
    let situation = Situation {
        since: Span::from_secs(4),
        ..situation(&map, &shares)
    };
    let left = Span::from_secs(6);
    let decision = Policy::new(SKEW).decide(&situation);
    assert_eq!(decision.reason, Reason::Cooling { left });
}

/// Failure guarded against: experts are moved off a rank whose host is slow, although none of them
/// is hot. That would load the other ranks and not make steps shorter.
#[test]
fn slow_rank_detected() {
    let work = |busy| Work {
        tokens: 1_000,
        busy: Span::from_millis(busy),
    };
    let health = rank_health(&[work(5), work(5), work(15), work(5)]);
    assert_eq!(health[2], Health::Slow(300));
    let hot = Work {
        tokens: 3_000,
        busy: Span::from_millis(15),
    };
    assert!(rank_health(&[work(5), hot, work(5)])
        .iter()
        .all(|h| *h == Health::Sound));
    let shares = vec![zipf(64)];
    let map = ExpertMap::round_robin(1, 16, 5, 64);
    let situation = Situation {
        health: &health,
        ..situation(&map, &shares)
    };
    let reason = Policy::new(SKEW).decide(&situation).reason;
    assert_eq!(
        reason,
        Reason::Straggler {
            rank: 2,
            health: Health::Slow(300)
        }
    );
}

fn counts(second: u64, hot: u32) -> Counts {
    let mut layer = vec![1_000; 16];
    layer[3] = hot;
    Counts {
        at: Moment::from_millis(second * 1_000),
        layers: vec![layer],
    }
}

fn share_after(hot: impl Fn(u64) -> u32) -> f64 {
    let mut popularity = Popularity::new(Smoothing::default());
    for n in 1..30 {
        popularity.record(&counts(n * 10, hot(n)));
    }
    popularity.shares()[0][3]
}

/// A short burst is ignored, and lasting drift is followed: an expert is four times as popular for
/// two reports, or from some report on.
#[test]
fn burst_and_drift() {
    let burst = share_after(|n| if n == 27 || n == 28 { 4_000 } else { 1_000 });
    let drift = share_after(|n| if n > 20 { 4_000 } else { 1_000 });
    assert!((burst - 1.0 / 16.0).abs() < 0.01, "{burst}");
    assert!((drift - 4.0 / 19.0).abs() < 0.02, "{drift}");
}

#[test]
fn late_reports_drop() {
    let mut popularity = Popularity::new(Smoothing::default());
    popularity.record(&counts(20, 1_000));
    popularity.record(&counts(10, 9_000));
    assert_eq!(popularity.late_reports(), 1);
    assert!((popularity.shares()[0][3] - 1.0 / 16.0).abs() < 1e-9);
}

#[test]
fn reason_text() {
    let reason = Reason::Worthwhile {
        loads: 12,
        before: 1_400,
        after: 93,
    };
    assert_eq!(
        reason.to_string(),
        "12 loads bring the gap from 140.0 % to 9.3 %"
    );
}

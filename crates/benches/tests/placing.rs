//! Many gateways that place requests on the ranks of one group.

use snipemast_benches::placing::{simulate, Outcome, Setup};
use snipemast_core::prelude::*;
use snipemast_placement::pick::{Least, Pick, PickPolicy, Sampled};

/// Returns the middle setup with a shorter poll, so that gateways have fresher counts.
fn fresh(seed: u64) -> Setup {
    Setup {
        wait: Span::from_millis(66),
        seed,
        ..Setup::middle()
    }
}

fn mean(outcomes: &[Outcome], figure: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
}

fn simulate_seeds<P: Pick>() -> Vec<Outcome> {
    (1..=5).map(|seed| simulate::<P>(&fresh(seed))).collect()
}

/// Guards against users who wait a second or more for the first token although half of all slots are free:
/// 40 gateways see the same server idle in counts some tens of milliseconds old and overfill it.
///
/// Fewer than one request in 100 waits for a slot while another rank has two free, fewer than one arrival in
/// 100 is refused, and the fullest rank has less than twice the mean load over half a second.
#[test]
fn gateways_spread() {
    let seen = simulate_seeds::<PickPolicy>();
    assert!(mean(&seen, |s| s.waited) < 0.01, "{seen:?}");
    assert!(mean(&seen, |s| s.refused) < 0.01, "{seen:?}");
    assert!(mean(&seen, |s| s.fullest) < 2.0, "{seen:?}");
    let herd = simulate_seeds::<Least>();
    assert!(mean(&herd, |s| s.waited) > 0.1, "{herd:?}");
}

/// Guards against many gateways that all choose the least loaded server: the older their counts, the more
/// requests it must refuse. Choosing between two sampled servers keeps refusals few, even with counts as
/// old as hundreds of gateways have.
#[test]
fn old_counts_herd() {
    let old = Setup {
        length: Span::from_secs(6),
        seed: 3,
        ..Setup::large()
    };
    let (herd, spread) = (simulate::<Least>(&old), simulate::<Sampled>(&old));
    assert!(herd.refused > 0.2, "{herd:?}");
    assert!(spread.refused < 0.05, "{spread:?}");
}

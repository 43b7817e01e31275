//! The demand for experts, from a sample of the ranks.

use snipemast_core::prelude::*;
use snipemast_groups::demand::{Demand, Tally};

const LAYERS: usize = 2;
const EXPERTS: usize = 4;

fn counts(by: u64) -> Vec<u64> {
    (0..LAYERS * EXPERTS).map(|n| by * (n as u64 + 1)).collect()
}

/// Only the choices since the last poll are added, and earlier demand decays.
#[test]
fn differences_counted() {
    let (mut demand, mut tally) = (Demand::new(LAYERS, 1), Tally::new(70));
    for (at, by) in [(0, 100), (200, 110), (400, 120)] {
        let place = demand.sample_cursor(0).unwrap_or_default();
        demand.add(0, &tally.report(place, counts(by)));
        demand.finish_poll(Moment::from_millis(at));
    }
    // The first expert has 10 new choices, and 0.6 of the 10 before.
    let first = demand.sums()[0][0];
    assert!((15.9..16.1).contains(&first), "{first}");
    let last = demand.sums()[1][EXPERTS - 1];
    assert!((127.0..129.0).contains(&last), "{last}");
}

/// Failure guarded against: answers are late after a sidecar has restarted, because all choices
/// since its rank's start, which are minutes of them, are counted as the demand since the last
/// poll.
#[test]
fn restart_counts_nothing() {
    let (mut demand, mut tally) = (Demand::new(LAYERS, 1), Tally::new(70));
    for by in [100, 110] {
        let place = demand.sample_cursor(0).unwrap_or_default();
        demand.add(0, &tally.report(place, counts(by)));
        demand.finish_poll(Moment::from_millis(by));
    }
    let before = demand.total();
    let mut tally = Tally::new(9_000);
    let place = demand.sample_cursor(0).unwrap_or_default();
    demand.add(0, &tally.report(place, counts(5_000)));
    demand.finish_poll(Moment::from_millis(110));
    assert_eq!(demand.total(), before);
}

/// Failure guarded against: answers are late for two seconds instead of one after each shift of the
/// demand. The shift falls into a poll, a map is computed for the mixture, and the right map waits
/// until that one is in force.
#[test]
fn shift_settles() {
    let (mut demand, mut tally) = (Demand::new(1, 1), Tally::new(70));
    let mut counts = vec![0, 0, 0, 0];
    let mut poll = |at, chosen: [u64; 4]| {
        for (count, chosen) in counts.iter_mut().zip(chosen) {
            *count += chosen;
        }
        let place = demand.sample_cursor(0).unwrap_or_default();
        demand.add(0, &tally.report(place, counts.clone()));
        let steady = demand.finish_poll(Moment::from_millis(at));
        let total = demand.total();
        let shares = demand.sums()[0].iter().map(|s| s / total);
        (steady, shares.collect::<Vec<f64>>())
    };
    for n in 0..10 {
        let steady = poll(n * 200, [7_000, 1_000, 1_100, 900]).0;
        assert!(steady, "poll {n}");
    }
    // The demand shifts in the middle of a poll.
    assert!(!poll(2_000, [4_000, 1_000, 4_000, 1_000]).0);
    assert!(!poll(2_200, [1_000, 1_000, 7_100, 900]).0);
    let (steady, shares) = poll(2_400, [1_050, 950, 7_000, 1_000]);
    assert!(steady);
    assert!(shares[0] < 0.12 && shares[2] > 0.68, "{shares:?}");
}

/// In a large group a quarter of the ranks is sampled, spread over all of it; in a small one all
/// ranks are.
#[test]
fn sample_spread() {
    let large = Demand::new(LAYERS, 72);
    let sampled: Vec<usize> = (0..72)
        .filter(|r| large.sample_cursor(*r).is_some())
        .collect();
    assert_eq!(sampled.len(), 18);
    let zones = (0..4).map(|z| sampled.iter().filter(|r| *r % 4 == z).count());
    assert!(zones.clone().all(|n| n >= 4), "{sampled:?}");
    assert!(sampled.contains(&0));
    let small = Demand::new(LAYERS, 16);
    assert_eq!(
        (0..16)
            .filter(|r| small.sample_cursor(*r).is_some())
            .count(),
        16
    );
}

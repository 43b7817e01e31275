//! The fault matrix of the agreement: every fault at every message, singly and in pairs.
//!
//! It guards against tokens that were computed with two maps, and against groups that hang. Each
//! run proposes a map, injects the faults at the chosen messages and lets them end. Then no step
//! may have had two maps, no map that a rank has stepped with may be lost, and the group must step
//! and accept another map.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use common::sim::{run_checked, Fault, Sim, Strike, Violation};

/// The number of messages between agents in a run without faults: load, loaded, prepare, promise,
/// decide and settled, for three ranks.
const MESSAGES: u64 = 18;

/// Runs all cells of the matrix and returns those that fail.
fn run_all(cells: &[Vec<Strike>]) -> Vec<(Vec<Strike>, Violation)> {
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let Some(strikes) = cells.get(n) else { return };
                if let Err(violation) = run_checked(3, n as u64, strikes) {
                    failed.lock().unwrap().push((strikes.clone(), violation));
                }
            });
        }
    });
    failed.into_inner().unwrap()
}

fn singles() -> Vec<Vec<Strike>> {
    let at = |at| move |fault: &Fault| vec![Strike { at, fault: *fault }];
    (1..=MESSAGES)
        .flat_map(|m| Fault::ALL.iter().map(at(m)))
        .collect()
}

#[test]
fn no_fault() {
    let sim = run_checked(3, 1, &[]).expect("a run without faults violates nothing");
    assert_eq!(sim.world.held, 0);
}

/// In normal operation a switch lies far enough ahead: no attempt is refused as late and retried
/// under another version, and no rank waits at the switch.
#[test]
fn first_attempt_succeeds() {
    for seed in 0..50 {
        let mut sim = Sim::new(3, seed, &[]);
        sim.run_until(300_000);
        let versions = sim
            .world
            .agents
            .iter()
            .map(|a| a.active_map().map(|s| s.version.get()));
        assert!(versions.into_iter().all(|v| v == Some(2)));
        assert_eq!((sim.world.held, sim.world.rejected), (0, 0));
    }
}

#[test]
fn single_faults() {
    let cells = singles();
    println!("cells: {}", cells.len());
    let failed = run_all(&cells);
    assert!(
        failed.is_empty(),
        "{} fail: {:?}",
        failed.len(),
        &failed[..failed.len().min(8)]
    );
}

#[test]
fn paired_faults() {
    let mut cells = Vec::new();
    for first in singles() {
        for m in first[0].at..=first[0].at + MESSAGES {
            for fault in Fault::ALL {
                cells.push(vec![first[0], Strike { at: m, fault }]);
            }
        }
    }
    println!("cells: {}", cells.len());
    let failed = run_all(&cells);
    assert!(
        failed.is_empty(),
        "{} fail: {:?}",
        failed.len(),
        &failed[..failed.len().min(8)]
    );
}

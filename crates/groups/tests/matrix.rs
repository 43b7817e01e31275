//! The fault matrix of the agreement: every fault at every message, singly and in pairs.
//!
//! What a user would see otherwise: tokens that two maps computed, or a group that hangs. In each
//! run a map is proposed, the faults strike at the chosen messages, everything heals, and then:
//! no step had two maps, no map that any rank stepped with is lost, the group steps, and it takes
//! another map.

mod common;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use common::sim::{run_checked, Fault, Sim, Strike, Verdict};

/// Messages between agents in a run without faults: load, loaded, prepare, promise, decide,
/// settled, for three ranks.
const MESSAGES: u64 = 18;

/// Runs all the cells and returns those that fail.
fn run_all(cells: &[Vec<Strike>]) -> Vec<(Vec<Strike>, Verdict)> {
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let Some(strikes) = cells.get(n) else { return };
                if let Err(verdict) = run_checked(3, n as u64, strikes) {
                    failed.lock().unwrap().push((strikes.clone(), verdict));
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
    let sim = run_checked(3, 1, &[]).expect("a group without faults does well");
    assert_eq!(sim.world.held, 0);
}

#[test]
fn first_try() {
    // In ordinary running a switch lies far enough ahead: no attempt is refused as too near and
    // made again under another version, and no step is held.
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

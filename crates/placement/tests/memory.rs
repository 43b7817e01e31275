//! Tests of the bytes that requests and answers may hold.

use quickcheck::quickcheck;
use snipemast_core::prelude::*;
use snipemast_placement::memory::{HeldBytes, MemoryBudget};

const MEMORY: Size = Size::from_mib(160);

/// Guards against usual callers that are refused because large bodies hold everything.
#[test]
fn small_beside_large() {
    let budget = MemoryBudget::new(MEMORY);
    let large: Vec<HeldBytes> = (0..64).map_while(|_| budget.try_hold(4 << 20)).collect();
    assert!((2..64).contains(&large.len()), "{} bodies", large.len());
    let small: Vec<HeldBytes> = (0..1_000).map_while(|_| budget.try_hold(2_000)).collect();
    assert_eq!(small.len(), 1_000);
    drop(large);
    assert!(budget.try_hold(4 << 20).is_some());
}

/// Guards against a body that fits nowhere, however little is held.
#[test]
fn single_body_fits() {
    let budget = MemoryBudget::new(Size::from_mib(8));
    let first = budget.try_hold(4 << 20);
    assert!(first.is_some());
    assert!(budget.try_hold(4 << 20).is_none());
}

quickcheck! {
    /// Guards against bodies that together hold more than the budget, and against bytes that stay counted.
    fn budget_kept(pieces: Vec<(u8, u16)>) -> bool {
        let budget = MemoryBudget::new(Size::from_bytes(400_000));
        let mut bodies: Vec<(HeldBytes, u64)> = Vec::new();
        let mut kept = true;
        for (body, size) in pieces {
            let (index, size) = (usize::from(body) % (bodies.len() + 1), u64::from(size));
            if index == bodies.len() {
                bodies.extend(budget.try_hold(size).map(|held| (held, size)));
            } else {
                let (held, before) = bodies.swap_remove(index);
                let grown = held.grown(size).filter(|_| body < 200);
                bodies.extend(grown.map(|held| (held, before + size)));
            }
            let holding = bodies.iter().filter(|(_, size)| *size > 0).count();
            let sum: u64 = bodies.iter().map(|(_, size)| size).sum();
            kept &= budget.held().as_bytes() == sum;
            kept &= budget.held() <= budget.limit() || holding == 1;
        }
        bodies.clear();
        kept && budget.held() == Size::from_bytes(0)
    }
}

//! Random groups under random faults, beyond what can be explored exhaustively.
//!
//! They guard against tokens that were computed with two maps, and against groups that hang, after
//! more faults than the fault matrix combines.

mod common;

use common::sim::{run_checked, Fault, Strike};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Debug, Clone)]
struct Scenario {
    ranks: u32,
    seed: u64,
    strikes: Vec<Strike>,
}

impl Arbitrary for Scenario {
    fn arbitrary(gen: &mut Gen) -> Self {
        let strikes = (0..u64::arbitrary(gen) % 8).map(|_| Strike {
            at: u64::arbitrary(gen) % 120,
            fault: *gen.choose(&Fault::ALL).expect("there are faults"),
        });
        Self {
            strikes: strikes.collect(),
            ranks: 3 + u32::arbitrary(gen) % 10,
            seed: u64::from(u32::arbitrary(gen)),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let all = self.clone();
        let fewer = (0..all.strikes.len()).map(move |n| {
            let mut less = all.clone();
            less.strikes.remove(n);
            less
        });
        Box::new(fewer)
    }
}

fn recovers(scenario: Scenario) -> bool {
    match run_checked(scenario.ranks, scenario.seed, &scenario.strikes) {
        Ok(_) => true,
        Err(violation) => {
            println!("{violation:?}");
            false
        }
    }
}

#[test]
fn random_faults() {
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(100, 7))
        .quickcheck(recovers as fn(Scenario) -> bool);
}

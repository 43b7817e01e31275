//! Compares policies that pick a server, by the number of gateways, the age of their counts and the load.
//!
//! The simulation runs in virtual time, and all policies get the same arrivals.

use snipemast_benches::placing::{simulate, Outcome, Setup};
use snipemast_benches::plots::{draw, Line, Scale};
use snipemast_benches::report::{BenchArgs, Figures};
use snipemast_core::prelude::*;
use snipemast_placement::pick::{Expected, Least, Sampled};

/// A pick policy: its name in the figures, and its simulation.
type Policy = (&'static str, fn(&Setup) -> Outcome);

const POLICIES: [Policy; 3] = [
    ("least", simulate::<Least>),
    ("sampled", simulate::<Sampled>),
    ("expected", simulate::<Expected>),
];

fn main() {
    let args = BenchArgs::parse();
    let length = Span::from_secs(if args.quick { 10 } else { 30 });
    let mut figures = Figures::new();
    for setup in [Setup::small(), Setup::middle(), Setup::large()] {
        for load in [1.0, 1.5] {
            for wait in [60, 250, 500] {
                let setup = Setup {
                    rate: setup.rate * load,
                    wait: Span::from_millis(wait),
                    length,
                    ..setup.clone()
                };
                compare(args, load, &setup, &mut figures);
            }
        }
    }
    if std::env::args().any(|a| a == "--plots") {
        plot(length);
    }
    figures.print(args);
}

fn compare(args: BenchArgs, load: f64, setup: &Setup, figures: &mut Figures) {
    let name = setup.gateways;
    let wait = setup.wait.as_micros() / 1_000;
    for (policy, simulate) in POLICIES {
        let outcome = simulate(setup);
        if !args.json {
            println!(
                "{name:>4} gateways, load {load}, counts each {wait:>3} ms, {policy:>8}: late {:.4}, waited {:.4}, refused {:.4}, failed {:.4}, fullest {:.2}, mean in flight {:.2}",
                outcome.late, outcome.waited, outcome.refused, outcome.failed, outcome.fullest, outcome.load
            );
        }
        let key = format!("{policy}_{name}_gateways_{load}_load_{wait}_ms");
        figures.add(&format!("{key}_late"), outcome.late);
        figures.add(&format!("{key}_waited"), outcome.waited);
        figures.add(&format!("{key}_refused"), outcome.refused);
        figures.add(&format!("{key}_fullest"), outcome.fullest);
    }
}

fn plot(length: Span) {
    let gateways = [3, 7, 15, 30, 60, 100, 150];
    let lines = POLICIES.map(|(policy, simulate)| {
        let points = gateways.map(|gateways| {
            let setup = Setup {
                gateways,
                length,
                ..Setup::middle()
            };
            (gateways as f64, 100.0 * simulate(&setup).late)
        });
        Line::new(policy, points.to_vec())
    });
    draw(
        "docs/plots/placing.svg",
        [
            "First pieces that come late, 63 ranks of 10 slots, counts each 250 ms",
            "gateways",
            "late, of 100",
        ],
        Scale::Linear,
        &lines,
    );
}

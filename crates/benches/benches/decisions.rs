//! Ways to pick a server, side by side: by the number of gateways, the age of their counts and the load.
//!
//! Virtual time; all ways get the same arrivals.

use snipemast_benches::placing::{play, Outcome, Setup};
use snipemast_benches::plots::{draw, Line, Scale};
use snipemast_benches::report::{BenchArgs, Figures};
use snipemast_core::prelude::*;
use snipemast_placement::pick::{Expected, Least, Sampled};

/// A way to pick a server, by its name in the figures.
type Way = (&'static str, fn(&Setup) -> Outcome);

const WAYS: [Way; 3] = [
    ("least", play::<Least>),
    ("sampled", play::<Sampled>),
    ("expected", play::<Expected>),
];

fn main() {
    let args = BenchArgs::parse();
    let length = Span::from_secs(if args.quick { 10 } else { 30 });
    let mut figures = Figures::new();
    for (name, setup) in [
        ("9", few(length)),
        ("40", many(length)),
        ("149", most(length)),
    ] {
        for load in [1.0, 1.5] {
            for wait in [60, 250, 500] {
                let setup = Setup {
                    rate: setup.rate * load,
                    wait: Span::from_millis(wait),
                    ..setup.clone()
                };
                compare(args, name, load, &setup, &mut figures);
            }
        }
    }
    if std::env::args().any(|a| a == "--plots") {
        plot(length);
    }
    figures.print(args);
}

fn compare(args: BenchArgs, name: &str, load: f64, setup: &Setup, figures: &mut Figures) {
    let wait = setup.wait.as_micros() / 1_000;
    for (way, play) in WAYS {
        let seen = play(setup);
        if !args.json {
            println!(
                "{name:>4} gateways, load {load}, counts each {wait:>3} ms, {way:>8}: late {:.4}, waited {:.4}, refused {:.4}, failed {:.4}, fullest {:.2}, mean in flight {:.2}",
                seen.late, seen.waited, seen.refused, seen.failed, seen.fullest, seen.load
            );
        }
        let key = format!("{way}_{name}_gateways_{load}_load_{wait}_ms");
        figures.add(&format!("{key}_late"), seen.late);
        figures.add(&format!("{key}_waited"), seen.waited);
        figures.add(&format!("{key}_refused"), seen.refused);
        figures.add(&format!("{key}_fullest"), seen.fullest);
    }
}

fn plot(length: Span) {
    let gateways = [3, 7, 15, 30, 60, 100, 150];
    let lines = WAYS.map(|(way, play)| {
        let points = gateways.map(|gateways| {
            let setup = Setup {
                gateways,
                ..many(length)
            };
            (gateways as f64, 100.0 * play(&setup).late)
        });
        Line::new(way, points.to_vec())
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

/// 9 gateways before 16 ranks of 12 slots.
fn few(length: Span) -> Setup {
    Setup {
        gateways: 9,
        ranks: 16,
        slots: 12,
        rate: 75.0,
        ..many(length)
    }
}

/// 40 gateways before 63 ranks of 10 slots, at half of what those run.
fn many(length: Span) -> Setup {
    Setup {
        gateways: 40,
        zones: 3,
        ranks: 63,
        slots: 10,
        queue: 5,
        rate: 220.0,
        wait: Span::from_millis(250),
        base: 36.0,
        each: 2.2,
        prompt: 14.0,
        pieces: 23,
        objective: Span::from_millis(400),
        length,
        seed: 7,
    }
}

/// 149 gateways before 192 ranks of 6 slots, in five zones.
fn most(length: Span) -> Setup {
    Setup {
        gateways: 149,
        zones: 5,
        ranks: 192,
        slots: 6,
        queue: 3,
        rate: 469.0,
        pieces: 17,
        objective: Span::from_millis(500),
        ..many(length)
    }
}
